//===- Tests/LibRouting/TestRoutingScenarios.cpp - Routing*.scenario ------===//
///
/// \file
/// Runs the scenarios of routing faults on a RoutingScenarioWorld, such as a
/// retry storm, a cold start and a failure domain that leaves. Guards against
/// retries and warm-up requests beyond their limits, and against calls that run
/// twice.
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

static Duration durationOption(const scenario::Step &Action,
                               std::string_view Name,
                               std::string_view Default) {
  return scenario::parseDuration(Action.option(Name, Default)).value();
}

static std::uint32_t numberOption(const scenario::Step &Action,
                                  std::string_view Name,
                                  std::string_view Default) {
  return static_cast<std::uint32_t>(std::stoul(Action.option(Name, Default)));
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

/// Ends each running attempt as its engine's behaviour specifies.
void RoutingScenarioWorld::stepEngines() {
  for (AttemptId Each : this->Entry.running()) {
    TimePoint FirstSeen =
        this->FirstSeenAt.try_emplace(Each, this->Entry.Now).first->second;
    std::string Engine = this->Entry.findTargetKey(Each);
    Behaviour Current = this->Behaviours[Engine.substr(0, Engine.find('#'))];
    if (this->Entry.Cancelled.contains(Each))
      this->Entry.finish(Each, AttemptResult::Cancelled);
    else if (Current.Verb == "hold" ||
             this->Entry.Now - FirstSeen < Current.Time)
      continue;
    else if (Current.Verb == "serve")
      this->Entry.finish(Each, AttemptResult::Complete);
    else
      this->Entry.finish(Each, Current.Verb == "break"
                                   ? AttemptResult::FailedAfterSend
                                   : AttemptResult::FailedBeforeSend);
  }
}

void RoutingScenarioWorld::submit(const scenario::Step &Action) {
  for (std::uint32_t Remaining = numberOption(Action, "count", "1");
       Remaining > 0; --Remaining) {
    RoutedRequest Request =
        this->Entry.request(Action.option("workspace", "w"));
    Request.Deadline =
        this->Entry.Now + durationOption(Action, "deadline", "30s");
    Request.Idempotent = Action.option("payout") != "yes";
    this->Submitted[Action.Subject].push_back(this->Entry.submit(Request));
  }
}

void RoutingScenarioWorld::execute(const scenario::Step &Action) {
  if (Action.Verb == "submit")
    return this->submit(Action);
  if (Action.Verb == "drain")
    return this->Entry.drain();
  if (Action.Verb == "tell") {
    this->SpilloverDomains[Action.Subject] = {
        .FailureDomain = Action.Subject,
        .SpareSlots = numberOption(Action, "spare", "0"),
        .Unavailable = Action.option("out") == "yes",
        .ReceivedAt = this->Entry.Now};
    std::vector<DomainSummary> All;
    for (const auto &[Name, Each] : this->SpilloverDomains)
      All.push_back(Each);
    return this->Entry.setSpilloverDomains(All);
  }
  bool ChangesList = Action.Verb == "list" || Action.Verb == "unlist";
  if (!ChangesList) {
    this->Behaviours[Action.Subject] = {
        .Verb = Action.Verb, .Time = durationOption(Action, "time", "0ms")};
    return;
  }
  this->Listed.erase(Action.Subject);
  if (Action.Verb == "list") {
    Target Each = RouterTestDriver::target(Action.Subject,
                                           numberOption(Action, "slots", "1"),
                                           numberOption(Action, "life", "1"));
    Each.Draining = Action.option("draining") == "yes";
    this->Listed[Action.Subject] = Each;
  }
  std::vector<Target> All;
  for (const auto &[Name, Each] : this->Listed)
    All.push_back(Each);
  this->Entry.setTargets(All);
}

std::uint64_t
RoutingScenarioWorld::count(const scenario::Step &Expectation) const {
  if (Expectation.Arguments.empty())
    throw scenario::StepError("expect needs a word");
  const std::string &Category = Expectation.Arguments[0];
  if (Category == "retried")
    return this->Entry.RetryCount;
  if (Category == "hedged")
    return this->Entry.HedgeCount;
  if (Category == "running") {
    auto Running = this->Entry.running();
    return std::ranges::count_if(Running, [&](AttemptId Each) {
      return this->Entry.findTargetKey(Each).starts_with(Expectation.Subject +
                                                         "#");
    });
  }
  auto Found = this->Submitted.find(Expectation.Subject);
  if (Found == this->Submitted.end())
    throw scenario::StepError("nothing submitted as " + Expectation.Subject);
  std::string Ending = Category == "served" ? "complete" : Category;
  return std::ranges::count_if(Found->second, [&](RequestId Each) {
    return this->Entry.ending(Each) == (Ending == "open" ? "" : Ending);
  });
}

std::optional<std::string>
RoutingScenarioWorld::expectationFailure(const scenario::Step &Expectation) {
  std::uint64_t Count = this->count(Expectation);
  bool IsMet = Count >= numberOption(Expectation, "least", "0") &&
               Count <= numberOption(Expectation, "most", "1000000");
  if (IsMet)
    return std::nullopt;
  return Expectation.Arguments[0] + " " + std::to_string(Count);
}

std::optional<std::string> RoutingScenarioWorld::brokenInvariant() {
  if (this->Entry.Violations.empty())
    return std::nullopt;
  return this->Entry.Violations.front();
}
