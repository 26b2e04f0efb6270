//===- Tests/FleetCluster/FleetWorld.cpp - Fleet scenarios ----------------===//
///
/// \file
/// The verbs and expectations of fleet scenarios.
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
  for (this->Owed += Passed; this->Owed >= Tick; this->Owed -= Tick)
    this->Cluster.run(Tick);
}

std::vector<RosterGroup> FleetWorld::groups() {
  for (const auto &[Name, Host] : this->Cluster.EntryHosts)
    if (Host.Alive && !Host.Frozen)
      return Host.Directory->roster().Groups;
  return {};
}

EndpointName FleetWorld::engineOf(const std::string &Who) {
  if (this->Cluster.Engines.contains(Who))
    return Who;
  if (this->Named.contains(Who))
    return this->Named.at(Who);
  std::vector<RosterGroup> Groups = this->groups();
  if (!Who.starts_with("member-") || Groups.empty())
    throw StepError("no engine " + Who);
  std::size_t Rank = std::stoul(Who.substr(std::string("member-").size()));
  if (Rank >= Groups.front().Members.size())
    throw StepError("no rank " + std::to_string(Rank));
  return this->Named[Who] = Groups.front().Members[Rank].Endpoint;
}

void FleetWorld::act(const Step &What) {
  if (What.Who == "domain")
    this->actOnDomain(What);
  else if (this->Cluster.EntryHosts.contains(What.Who))
    this->actOnEntryHost(What);
  else
    this->actOnEngine(What);
}

void FleetWorld::actOnDomain(const Step &What) {
  FleetIntent New = this->Cluster.Intent;
  if (What.Verb == "remember") {
    this->Remembered = this->groups();
    this->RememberedRequests = this->Cluster.RequestsStarted;
    return;
  }
  if (What.Verb == "heal")
    return this->Cluster.heal();
  if (What.Verb == "out" || What.Verb == "back")
    New.IsDomainDrained = What.Verb == "out";
  else if (What.Verb == "version" && !What.Words.empty())
    New.Services.at("sheets").Version = What.Words.front();
  else
    throw StepError("a domain cannot " + What.Verb);
  this->Cluster.setIntent(New);
}

void FleetWorld::actOnEntryHost(const Step &What) {
  if (What.Verb == "kill")
    this->Cluster.killEntryHost(What.Who);
  else if (What.Verb == "restart")
    this->Cluster.restartEntryHost(What.Who);
  else if (What.Verb == "freeze" || What.Verb == "thaw")
    this->Cluster.setFrozen(What.Who, What.Verb == "freeze");
  else if (What.Verb == "cut" && !What.Words.empty())
    this->Cluster.cut(What.Who, What.Words.front());
  else
    throw StepError("an entry host cannot " + What.Verb);
}

void FleetWorld::actOnEngine(const Step &What) {
  EndpointName Name = this->engineOf(What.Who);
  if (What.Verb == "kill")
    this->Cluster.kill(Name);
  else if (What.Verb == "restart")
    this->Cluster.restart(Name);
  else if (What.Verb == "pause")
    this->Cluster.pause(Name);
  else if (What.Verb == "resume")
    this->Cluster.resume(Name);
  else if (What.Verb == "leave")
    this->Cluster.leave(Name);
  else if (What.Verb == "chill")
    this->Cluster.engine(Name).chill(this->Cluster.now());
  else
    throw StepError("an engine cannot " + What.Verb);
}

std::optional<std::string> FleetWorld::unmet(const Step &Expectation) {
  if (Expectation.Who == "domain")
    return this->unmetDomain(Expectation);
  std::string Wanted = Expectation.option("group");
  if (Wanted != "none" && Wanted != "some")
    throw StepError("group=none or group=some is needed");
  const FakeEngine &Engine =
      this->Cluster.engine(this->engineOf(Expectation.Who));
  bool InNone = Engine.Said.Position.Group.empty();
  if (InNone == (Wanted == "none"))
    return std::nullopt;
  return "group " + Engine.Said.Position.Group;
}

std::optional<std::string> FleetWorld::unmetDomain(const Step &Expectation) {
  if (Expectation.Options.contains("serving")) {
    std::string Count = std::to_string(this->Cluster.targetsEverywhere());
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
  if (Expectation.Words.empty() || Expectation.Words.front() != "same-groups")
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
