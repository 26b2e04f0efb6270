//===- Tests/FleetCluster/FleetWorld.cpp - Fleet scenarios ----------------===//
///
/// \file
/// Verbs and expectations of fleet scenarios.
///
//===----------------------------------------------------------------------===//

#include "FleetWorld.h"

#include <array>

namespace carobhinge {

using scenario::Step;
using scenario::StepError;

std::span<const std::string_view> FleetWorld::verbs() const {
  static constexpr std::array<std::string_view, 14> Verbs = {
      "kill", "restart", "pause", "resume", "leave", "chill",   "freeze",
      "thaw", "cut",     "heal",  "out",    "back",  "version", "remember"};
  return Verbs;
}

void FleetWorld::advance(Duration Passed) {
  static constexpr Duration Tick = std::chrono::milliseconds(50);
  for (this->Pending += Passed; this->Pending >= Tick; this->Pending -= Tick)
    this->Cluster.run(Tick);
}

std::vector<RosterGroup> FleetWorld::groups() {
  for (const auto &[Name, Host] : this->Cluster.EntryHosts)
    if (Host.Alive && !Host.Frozen)
      return Host.Directory->roster().Groups;
  return {};
}

EndpointName FleetWorld::engineOf(const std::string &Subject) {
  if (this->Cluster.Engines.contains(Subject))
    return Subject;
  if (this->MemberEngines.contains(Subject))
    return this->MemberEngines.at(Subject);
  std::vector<RosterGroup> Groups = this->groups();
  if (!Subject.starts_with("member-") || Groups.empty())
    throw StepError("no engine " + Subject);
  std::size_t Rank = std::stoul(Subject.substr(std::string("member-").size()));
  if (Rank >= Groups.front().Members.size())
    throw StepError("the first group has no rank " + std::to_string(Rank));
  return this->MemberEngines[Subject] = Groups.front().Members[Rank].Endpoint;
}

void FleetWorld::execute(const Step &Action) {
  if (Action.Subject == "domain")
    this->actOnDomain(Action);
  else if (this->Cluster.EntryHosts.contains(Action.Subject))
    this->actOnEntryHost(Action);
  else
    this->actOnEngine(Action);
}

void FleetWorld::actOnDomain(const Step &Action) {
  FleetIntent NewIntent = this->Cluster.Intent;
  if (Action.Verb == "remember") {
    this->Remembered = this->groups();
    this->RememberedRequests = this->Cluster.RequestsStarted;
    return;
  }
  if (Action.Verb == "heal")
    return this->Cluster.heal();
  if (Action.Verb == "out" || Action.Verb == "back")
    NewIntent.IsDomainDrained = Action.Verb == "out";
  else if (Action.Verb == "version" && !Action.Arguments.empty())
    NewIntent.Services.at("sheets").Version = Action.Arguments.front();
  else
    throw StepError("a domain cannot " + Action.Verb);
  this->Cluster.setIntent(NewIntent);
}

void FleetWorld::actOnEntryHost(const Step &Action) {
  if (Action.Verb == "kill")
    this->Cluster.killEntryHost(Action.Subject);
  else if (Action.Verb == "restart")
    this->Cluster.restartEntryHost(Action.Subject);
  else if (Action.Verb == "freeze" || Action.Verb == "thaw")
    this->Cluster.setFrozen(Action.Subject, Action.Verb == "freeze");
  else if (Action.Verb == "cut" && !Action.Arguments.empty())
    this->Cluster.cut(Action.Subject, Action.Arguments.front());
  else
    throw StepError("an entry host cannot " + Action.Verb);
}

void FleetWorld::actOnEngine(const Step &Action) {
  EndpointName Name = this->engineOf(Action.Subject);
  if (Action.Verb == "kill")
    this->Cluster.kill(Name);
  else if (Action.Verb == "restart")
    this->Cluster.restart(Name);
  else if (Action.Verb == "pause")
    this->Cluster.pause(Name);
  else if (Action.Verb == "resume")
    this->Cluster.resume(Name);
  else if (Action.Verb == "leave")
    this->Cluster.leave(Name);
  else if (Action.Verb == "chill")
    this->Cluster.engine(Name).coolDown(this->Cluster.now());
  else
    throw StepError("an engine cannot " + Action.Verb);
}

std::optional<std::string>
FleetWorld::expectationFailure(const Step &Expectation) {
  if (Expectation.Subject == "domain")
    return this->unmetDomain(Expectation);
  std::string Expected = Expectation.option("group");
  if (Expected != "none" && Expected != "some")
    throw StepError("group=none or group=some is needed");
  const FakeEngine &Engine =
      this->Cluster.engine(this->engineOf(Expectation.Subject));
  bool InNone = Engine.Status.Position.Group.empty();
  if (InNone == (Expected == "none"))
    return std::nullopt;
  return "group " + Engine.Status.Position.Group;
}

std::optional<std::string> FleetWorld::unmetDomain(const Step &Expectation) {
  if (Expectation.Options.contains("serving")) {
    std::string Count = std::to_string(this->Cluster.minTargetCount());
    if (Count == Expectation.option("serving"))
      return std::nullopt;
    return "serving=" + Count;
  }
  if (Expectation.Options.contains("started")) {
    bool More = this->Cluster.RequestsStarted > this->RememberedRequests;
    if (More == (Expectation.option("started") == "more"))
      return std::nullopt;
    return More ? "more requests" : "no more requests";
  }
  if (Expectation.Arguments.empty() ||
      Expectation.Arguments.front() != "same-groups")
    throw StepError("serving=, started= or same-groups is needed");
  if (this->groups() == this->Remembered)
    return std::nullopt;
  return "other groups";
}

std::optional<std::string> FleetWorld::brokenInvariant() {
  if (this->Cluster.Violations.empty())
    return std::nullopt;
  return this->Cluster.Violations.front();
}

} // namespace carobhinge
