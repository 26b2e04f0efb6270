//===- Tests/LibRouting/TestRoutingScenarios.cpp - Routing*.scenario ------===//
///
/// \file
/// Runs the scenarios of routing faults on a RoutingScenarioWorld.
///
//===----------------------------------------------------------------------===//

#include "RoutingScenarioWorld.h"

#include <Scenario/Parser.h>
#include <Scenario/Runner.h>
#include <algorithm>

using namespace carobhinge;

static const bool Registered = scenario::registerScenarios(
    std::filesystem::path(CAROBHINGE_SOURCE_FOLDER) / "Tests/Scenarios",
    "Routing",
    [](std::uint64_t) { return std::make_unique<RoutingScenarioWorld>(); });

static Duration durationOf(const scenario::Step &What, std::string_view Name,
                           std::string_view Default) {
  return scenario::parseDuration(What.option(Name, Default)).value();
}

static std::uint32_t numberOf(const scenario::Step &What, std::string_view Name,
                              std::string_view Default) {
  return static_cast<std::uint32_t>(std::stoul(What.option(Name, Default)));
}

std::span<const std::string_view> RoutingScenarioWorld::verbs() const {
  static constexpr std::array<std::string_view, 9> Verbs{
      "list", "unlist", "serve", "break", "unreached",
      "hold", "submit", "tell",  "drain"};
  return Verbs;
}

void RoutingScenarioWorld::advance(Duration Passed) {
  constexpr Duration Step = 10ms;
  for (; Passed > Duration::zero(); Passed -= Step) {
    this->Entry.advance(std::min(Step, Passed));
    this->stepEngines();
  }
}

/// Each running attempt goes as its engine behaves.
void RoutingScenarioWorld::stepEngines() {
  for (AttemptId Each : this->Entry.running()) {
    TimePoint Since =
        this->SeenAt.try_emplace(Each, this->Entry.Now).first->second;
    std::string Engine = this->Entry.whereIs(Each);
    Behaviour Does = this->Behaviours[Engine.substr(0, Engine.find('#'))];
    if (this->Entry.Cancelled.contains(Each))
      this->Entry.finish(Each, AttemptResult::Cancelled);
    else if (Does.Verb == "hold" || this->Entry.Now - Since < Does.Time)
      continue;
    else if (Does.Verb == "serve")
      this->Entry.finish(Each, AttemptResult::Complete);
    else
      this->Entry.finish(Each, Does.Verb == "break"
                                   ? AttemptResult::FailedAfterByte
                                   : AttemptResult::FailedBeforeByte);
  }
}

void RoutingScenarioWorld::submit(const scenario::Step &What) {
  for (std::uint32_t Left = numberOf(What, "count", "1"); Left > 0; --Left) {
    RoutedRequest Request = this->Entry.request(What.option("workspace", "w"));
    Request.Deadline = this->Entry.Now + durationOf(What, "deadline", "30s");
    Request.Idempotent = What.option("payout") != "yes";
    this->Submitted[What.Who].push_back(this->Entry.submit(Request));
  }
}

void RoutingScenarioWorld::act(const scenario::Step &What) {
  if (What.Verb == "submit")
    return this->submit(What);
  if (What.Verb == "drain")
    return this->Entry.drain();
  if (What.Verb == "tell") {
    this->Neighbours[What.Who] = {.FailureDomain = What.Who,
                                  .SpareSlots = numberOf(What, "spare", "0"),
                                  .Out = What.option("out") == "yes",
                                  .ReceivedAt = this->Entry.Now};
    std::vector<DomainSummary> All;
    for (const auto &[Name, Each] : this->Neighbours)
      All.push_back(Each);
    return this->Entry.setNeighbours(All);
  }
  bool ChangesList = What.Verb == "list" || What.Verb == "unlist";
  if (!ChangesList) {
    this->Behaviours[What.Who] = {.Verb = What.Verb,
                                  .Time = durationOf(What, "time", "0ms")};
    return;
  }
  this->Listed.erase(What.Who);
  if (What.Verb == "list") {
    Target Each = RouterWorld::target(What.Who, numberOf(What, "slots", "1"),
                                      numberOf(What, "life", "1"));
    Each.Draining = What.option("draining") == "yes";
    this->Listed[What.Who] = Each;
  }
  std::vector<Target> All;
  for (const auto &[Name, Each] : this->Listed)
    All.push_back(Each);
  this->Entry.setTargets(All);
}

std::uint64_t RoutingScenarioWorld::count(const scenario::Step &Wanted) const {
  if (Wanted.Words.empty())
    throw scenario::StepError("expect needs a word");
  const std::string &What = Wanted.Words[0];
  if (What == "retried")
    return this->Entry.Retried;
  if (What == "hedged")
    return this->Entry.Hedged;
  if (What == "running") {
    auto Running = this->Entry.running();
    return std::ranges::count_if(Running, [&](AttemptId Each) {
      return this->Entry.whereIs(Each).starts_with(Wanted.Who + "#");
    });
  }
  auto Found = this->Submitted.find(Wanted.Who);
  if (Found == this->Submitted.end())
    throw scenario::StepError("nothing submitted as " + Wanted.Who);
  std::string Ending = What == "served" ? "complete" : What;
  return std::ranges::count_if(Found->second, [&](RequestId Each) {
    return this->Entry.ending(Each) == (Ending == "open" ? "" : Ending);
  });
}

std::optional<std::string>
RoutingScenarioWorld::unmet(const scenario::Step &Wanted) {
  std::uint64_t Count = this->count(Wanted);
  bool Held = Count >= numberOf(Wanted, "least", "0") &&
              Count <= numberOf(Wanted, "most", "1000000");
  if (Held)
    return std::nullopt;
  return Wanted.Words[0] + " " + std::to_string(Count);
}

std::optional<std::string> RoutingScenarioWorld::brokenInvariant() {
  if (this->Entry.Violations.empty())
    return std::nullopt;
  return this->Entry.Violations.front();
}
