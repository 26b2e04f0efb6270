//===- LibFleet/Order.cpp - Orders from the planner to engines ------------===//
///
/// \file
/// Conversion of orders from and to JSON.
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
static constexpr IntegerRange RankRange = {.Min = 0, .Max = 1000000};
static constexpr IntegerRange PositiveRange = {.Min = 1, .Max = INT64_MAX};

static void readMembers(JsonReader &Reader, Order &Result) {
  Reader.eachObject("members", [&Result](JsonReader &Each) {
    std::string Endpoint = Each.requiredString("endpoint");
    std::string Address = Each.requiredString("address");
    Result.Members.push_back({.Endpoint = Endpoint, .Address = Address});
  });
}

std::optional<Order> parseOrder(std::string_view Json, Findings &Out) {
  std::size_t FindingsBefore = Out.items().size();
  std::optional<json::value> Value = parseJson(Json, Out);
  if (!Value)
    return std::nullopt;
  JsonReader Reader(*Value, "", Out);
  Order Result;
  Result.Number = Reader.requiredInteger("number", PositiveRange);
  if (Reader.optionalChoice("action", ActionNames) == ActionNames[1])
    Result.Action = OrderAction::Leave;
  Result.Position.Group = Reader.requiredString("group");
  Result.Position.Number =
      Reader.requiredInteger("group_number", PositiveRange);
  Result.Position.Rank = Reader.optionalInteger("rank", 0, RankRange);
  Result.Position.Size = Reader.optionalInteger("group_size", 0, RankRange);
  readMembers(Reader, Result);
  Result.Service = Reader.requiredString("service");
  Result.Version = Reader.optionalString("version", "");
  Result.ForIncarnation =
      Reader.requiredInteger("for_incarnation", PositiveRange);
  Reader.finish();
  if (Out.items().size() != FindingsBefore)
    return std::nullopt;
  return Result;
}

std::string toJson(const Order &Source) {
  json::array Members;
  for (const OrderMember &Member : Source.Members)
    Members.push_back(json::object{{"endpoint", Member.Endpoint},
                                   {"address", Member.Address}});
  json::object Object = {
      {"number", static_cast<std::int64_t>(Source.Number)},
      {"action", ActionNames.at(static_cast<std::size_t>(Source.Action))},
      {"group", Source.Position.Group},
      {"group_number", static_cast<std::int64_t>(Source.Position.Number)},
      {"rank", Source.Position.Rank},
      {"group_size", Source.Position.Size},
      {"members", Members},
      {"service", Source.Service},
      {"for_incarnation", static_cast<std::int64_t>(Source.ForIncarnation)}};
  if (!Source.Version.empty())
    Object["version"] = Source.Version;
  return json::serialize(Object);
}

} // namespace carobhinge
