//===- LibFleet/Announcement.cpp - State that an endpoint reports ---------===//
///
/// \file
/// Conversion of announcements from and to JSON.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/Announcement.h>

#include <LibCore/JsonReader.h>
#include <array>
#include <tuple>

namespace json = boost::json;

namespace carobhinge {

/// In the order of the enumerators of Readiness.
static constexpr std::array<std::string_view, 3> ReadinessNames = {
    "starting", "ready", "cold"};

static constexpr IntegerRange CountRange = {.Min = 0, .Max = 1000000};
static constexpr IntegerRange GroupSizeRange = {.Min = 0, .Max = 1024};
static constexpr IntegerRange LifetimeMsRange = {.Min = 100, .Max = 600000};
static constexpr IntegerRange PositiveRange = {.Min = 1, .Max = INT64_MAX};

static Readiness readReadiness(JsonReader &Reader) {
  std::string Name = Reader.optionalChoice("readiness", ReadinessNames);
  std::size_t Index = 0;
  while (ReadinessNames.at(Index) != Name)
    ++Index;
  return static_cast<Readiness>(Index);
}

static GroupPosition readGroupPosition(JsonReader &Reader) {
  GroupPosition Position;
  Position.Group = Reader.optionalString("group", "");
  Position.Number = Reader.optionalInteger("group_number", 0, {});
  Position.Rank = Reader.optionalInteger("rank", 0, GroupSizeRange);
  Position.Size = Reader.optionalInteger("group_size", 0, GroupSizeRange);
  if (!Position.Group.empty() && Position.Number == 0)
    Reader.report("group_number", "the number of the group", "nothing");
  if (!Position.Group.empty() && Position.Rank >= Position.Size)
    Reader.report("rank", "less than group_size",
                  std::to_string(Position.Rank));
  return Position;
}

static Announcement readAnnouncement(JsonReader &Reader) {
  Announcement Result;
  Result.Endpoint = Reader.requiredString("endpoint");
  Result.Host = Reader.requiredString("host");
  Result.FailureDomain = Reader.requiredString("failure_domain");
  Result.FabricDomain = Reader.requiredString("fabric_domain");
  Result.Service = Reader.requiredString("service");
  Result.Version = Reader.optionalString("version", "");
  Result.Address = Reader.requiredString("address");
  Result.Accelerators = Reader.optionalInteger("accelerators", 0, CountRange);
  Result.IncarnationNumber =
      Reader.requiredInteger("incarnation", PositiveRange);
  Result.Sequence = Reader.requiredInteger("sequence", PositiveRange);
  Result.State = readReadiness(Reader);
  Result.Leaving = Reader.optionalBool("leaving", false);
  Result.Lifetime = std::chrono::milliseconds(
      Reader.optionalInteger("lifetime_ms", 3000, LifetimeMsRange));
  Result.Position = readGroupPosition(Reader);
  Result.LastOrder = Reader.optionalInteger("last_order", 0, {});
  Result.ChecksFencing = Reader.optionalBool("checks_fencing", false);
  Reader.optionalObject("load", [&Result](JsonReader &Load) {
    Result.Running = Load.optionalInteger("running", 0, CountRange);
    Result.Queued = Load.optionalInteger("queued", 0, CountRange);
  });
  Result.BatchLimit = Reader.optionalInteger("batch_limit", 1,
                                             {.Min = 1, .Max = CountRange.Max});
  Result.Answered = Reader.optionalInteger("answered", 0, {});
  Result.RequestLimit = Reader.optionalNumber(
      "request_limit", 0, 0, static_cast<double>(CountRange.Max));
  return Result;
}

std::optional<Announcement> parseAnnouncement(std::string_view Json,
                                              Findings &Out) {
  std::size_t FindingsBefore = Out.items().size();
  std::optional<json::value> Value = parseJson(Json, Out);
  if (!Value)
    return std::nullopt;
  JsonReader Reader(*Value, "", Out);
  Announcement Result = readAnnouncement(Reader);
  Reader.finish();
  if (Out.items().size() != FindingsBefore)
    return std::nullopt;
  return Result;
}

std::string toJson(const Announcement &Source) {
  json::object Object = {
      {"endpoint", Source.Endpoint},
      {"host", Source.Host},
      {"failure_domain", Source.FailureDomain},
      {"fabric_domain", Source.FabricDomain},
      {"service", Source.Service},
      {"address", Source.Address},
      {"accelerators", Source.Accelerators},
      {"incarnation", static_cast<std::int64_t>(Source.IncarnationNumber)},
      {"sequence", static_cast<std::int64_t>(Source.Sequence)},
      {"readiness", ReadinessNames.at(static_cast<std::size_t>(Source.State))},
      {"leaving", Source.Leaving},
      {"lifetime_ms", milliseconds(Source.Lifetime)},
      {"last_order", static_cast<std::int64_t>(Source.LastOrder)},
      {"checks_fencing", Source.ChecksFencing},
      {"load", {{"running", Source.Running}, {"queued", Source.Queued}}},
      {"batch_limit", Source.BatchLimit},
      {"answered", static_cast<std::int64_t>(Source.Answered)}};
  if (Source.RequestLimit > 0)
    Object["request_limit"] = Source.RequestLimit;
  if (!Source.Version.empty())
    Object["version"] = Source.Version;
  if (!Source.Position.Group.empty()) {
    Object["group"] = Source.Position.Group;
    Object["group_number"] = static_cast<std::int64_t>(Source.Position.Number);
    Object["rank"] = Source.Position.Rank;
    Object["group_size"] = Source.Position.Size;
  }
  return json::serialize(Object);
}

bool isNewer(const Announcement &Candidate, const Announcement &Current) {
  return std::tie(Candidate.IncarnationNumber, Candidate.Sequence) >
         std::tie(Current.IncarnationNumber, Current.Sequence);
}

} // namespace carobhinge
