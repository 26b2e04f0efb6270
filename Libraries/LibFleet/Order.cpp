//===- LibFleet/Order.cpp - What the planner tells an engine --------------===//
///
/// \file
/// JSON form of orders.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/Order.h>

#include <LibCore/JsonReader.h>
#include <array>

namespace json = boost::json;

namespace carobhinge {

/// In the order of the enumerators of OrderAction.
static constexpr std::array<std::string_view, 2> ActionNames = {"join",
                                                                "leave"};
static constexpr IntegerRange RankRange = {.Least = 0, .Most = 1000000};
static constexpr IntegerRange FromOne = {.Least = 1, .Most = INT64_MAX};

static void readMembers(JsonReader &Reader, Order &Result) {
  Reader.eachObject("members", [&Result](JsonReader &Each) {
    std::string Endpoint = Each.requiredString("endpoint");
    std::string Address = Each.requiredString("address");
    Result.Members.push_back({.Endpoint = Endpoint, .Address = Address});
  });
}

std::optional<Order> parseOrder(std::string_view Json, Findings &Out) {
  std::size_t Before = Out.items().size();
  std::optional<json::value> Value = parseJson(Json, Out);
  if (!Value)
    return std::nullopt;
  JsonReader Reader(*Value, "", Out);
  Order Result;
  Result.Number = Reader.requiredInteger("number", FromOne);
  if (Reader.optionalChoice("action", ActionNames) == ActionNames[1])
    Result.Action = OrderAction::Leave;
  Result.Place.Group = Reader.requiredString("group");
  Result.Place.Number = Reader.requiredInteger("group_number", FromOne);
  Result.Place.Rank = Reader.optionalInteger("rank", 0, RankRange);
  Result.Place.Size = Reader.optionalInteger("group_size", 0, RankRange);
  readMembers(Reader, Result);
  Result.Service = Reader.requiredString("service");
  Result.Version = Reader.optionalString("version", "");
  Result.ForLife = Reader.requiredInteger("for_incarnation", FromOne);
  Reader.finish();
  if (Out.items().size() != Before)
    return std::nullopt;
  return Result;
}

std::string toJson(const Order &From) {
  json::array Members;
  for (const OrderMember &Member : From.Members)
    Members.push_back(json::object{{"endpoint", Member.Endpoint},
                                   {"address", Member.Address}});
  json::object Object = {
      {"number", static_cast<std::int64_t>(From.Number)},
      {"action", ActionNames.at(static_cast<std::size_t>(From.Action))},
      {"group", From.Place.Group},
      {"group_number", static_cast<std::int64_t>(From.Place.Number)},
      {"rank", From.Place.Rank},
      {"group_size", From.Place.Size},
      {"members", Members},
      {"service", From.Service},
      {"for_incarnation", static_cast<std::int64_t>(From.ForLife)}};
  if (!From.Version.empty())
    Object["version"] = From.Version;
  return json::serialize(Object);
}

} // namespace carobhinge
