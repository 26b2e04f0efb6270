//===- Tests/State/StateVerbs.cpp - Verbs of the state world --------------===//
///
/// \file
/// Implements the verbs and the expectations of the scenario language.
///
//===----------------------------------------------------------------------===//

#include "StateWorld.h"

#include <Scenario/Parser.h>
#include <array>

namespace carobhinge::state {

using scenario::Step;
using scenario::StepError;

std::span<const StateWorld::Verb> StateWorld::table() {
  using Self = StateWorld;
  static constexpr std::array<Verb, 21> Table{{
      {"kill", &Self::doKill},
      {"restart", &Self::doRestart},
      {"lose-disk", &Self::doLoseDisk},
      {"freeze", &Self::doFreeze},
      {"thaw", &Self::doThaw},
      {"cut", &Self::doCut},
      {"heal", &Self::doHeal},
      {"delay", &Self::doDelay},
      {"drop", &Self::doDrop},
      {"duplicate", &Self::doDuplicate},
      {"reorder", &Self::doReorder},
      {"stall", &Self::doStall},
      {"overload", &Self::doOverload},
      {"relieve", &Self::doRelieve},
      {"hold-slots", &Self::doHoldSlots},
      {"grant-slots", &Self::doGrantSlots},
      {"stop", &Self::doStop},
      {"hand-over", &Self::doHandOver},
      {"call", &Self::doCall},
      {"apply", &Self::doApply},
      {"resend", &Self::doResend},
  }};
  return Table;
}

std::span<const std::string_view> StateWorld::verbs() const {
  static const std::vector<std::string_view> Names = [] {
    std::vector<std::string_view> VerbNames;
    for (const Verb &Each : table())
      VerbNames.push_back(Each.Name);
    return VerbNames;
  }();
  return Names;
}

void StateWorld::execute(const Step &Action) {
  for (const Verb &Each : table())
    if (Each.Name == Action.Verb) {
      (this->*Each.Handle)(Action);
      return;
    }
  throw StepError("unknown verb " + Action.Verb);
}

HostName StateWorld::hostOf(const Step &Action) {
  HostName Host = Action.Subject;
  if (auto Alias = this->Aliases.find(Host); Alias != this->Aliases.end())
    Host = Alias->second;
  if (Host == "leader")
    Host = this->Cluster.leader();
  if (!this->IsRunning.contains(Host))
    throw StepError("unknown host " + Action.Subject);
  if (Action.Options.contains("as"))
    this->Aliases[Action.option("as")] = Host;
  return Host;
}

EntryHost &StateWorld::entryOf(const Step &Action) {
  HostName Host = this->hostOf(Action);
  if (!this->IsRunning[Host])
    throw StepError(Host + " is down");
  return *this->EntryHosts[Host];
}

/// Applies \p Edit to both directions of the link between WHO and to=HOST, or
/// of all links of WHO.
void StateWorld::eachLink(const Step &Action,
                          const std::function<void(LinkFaults &)> &Edit) {
  HostName Host = this->hostOf(Action);
  std::vector<HostName> OtherHosts(hosts().begin(), hosts().end());
  OtherHosts.push_back(ServiceHost);
  if (Action.Options.contains("to"))
    OtherHosts = {Action.option("to")};
  for (const HostName &Other : OtherHosts) {
    if (Other == Host)
      continue;
    Edit(this->Cluster.link(Host, Other));
    Edit(this->Cluster.link(Other, Host));
  }
}

static Duration durationOf(const Step &Action, std::string_view Name) {
  auto Length = scenario::parseDuration(Action.option(Name));
  if (!Length)
    throw StepError("missing or invalid duration " + std::string(Name) + "=");
  return *Length;
}

static unsigned percentOf(const Step &Action) {
  return static_cast<unsigned>(std::stoul(Action.option("percent", "100")));
}

void StateWorld::doKill(const Step &Action) {
  this->kill(this->hostOf(Action));
}
void StateWorld::doRestart(const Step &Action) {
  this->restart(this->hostOf(Action));
}
void StateWorld::doLoseDisk(const Step &Action) {
  this->loseDisk(this->hostOf(Action));
}
void StateWorld::doFreeze(const Step &Action) {
  this->freeze(this->hostOf(Action));
}
void StateWorld::doThaw(const Step &Action) {
  this->thaw(this->hostOf(Action));
}
void StateWorld::doCut(const Step &Action) {
  this->eachLink(Action, [](LinkFaults &Link) { Link.Cut = true; });
}
void StateWorld::doHeal(const Step &Action) {
  this->eachLink(Action, [](LinkFaults &Link) { Link = {}; });
}
void StateWorld::doDelay(const Step &Action) {
  Duration Delay = durationOf(Action, "by");
  this->eachLink(Action, [Delay](LinkFaults &Link) { Link.Delay = Delay; });
}
void StateWorld::doDrop(const Step &Action) {
  unsigned Percent = percentOf(Action);
  this->eachLink(Action, [&](LinkFaults &Link) { Link.DropPercent = Percent; });
}
void StateWorld::doDuplicate(const Step &Action) {
  unsigned Percent = percentOf(Action);
  this->eachLink(Action,
                 [&](LinkFaults &Link) { Link.DuplicatePercent = Percent; });
}
void StateWorld::doReorder(const Step &Action) {
  Duration Jitter = durationOf(Action, "by");
  this->eachLink(Action, [Jitter](LinkFaults &Link) { Link.Jitter = Jitter; });
}
void StateWorld::doStall(const Step &Action) { this->entryOf(Action).stall(); }
void StateWorld::doOverload(const Step &Action) {
  this->entryOf(Action).overload(true);
}
void StateWorld::doRelieve(const Step &Action) {
  this->entryOf(Action).overload(false);
}
void StateWorld::doHoldSlots(const Step &Action) {
  this->entryOf(Action).holdQueue(true);
}
void StateWorld::doGrantSlots(const Step &Action) {
  this->entryOf(Action).holdQueue(false);
}
void StateWorld::doStop(const Step &Action) {
  this->entryOf(Action).shutDown();
}
void StateWorld::doHandOver(const Step &Action) {
  this->Cluster.runOn(this->hostOf(Action), [](Replica &Leader, TimePoint Now) {
    Leader.transferLeadership(Now);
  });
}

/// WHO call NAME key=KEY [content=TEXT] [deadline=D]
void StateWorld::doCall(const Step &Action) {
  EntryHost &Entry = this->entryOf(Action);
  if (Action.Arguments.size() != 1 || !Action.Options.contains("key"))
    throw StepError("'call NAME key=KEY' needs a name and a key");
  RequestRecord &Record = this->Records.Requests[Action.Arguments[0]];
  Record.Host = this->hostOf(Action);
  Record.Key = Action.option("key");
  Record.Content = Action.option("content", "sheet");
  Entry.call(Action.Arguments[0], Action.Options.contains("deadline")
                                      ? durationOf(Action, "deadline")
                                      : Duration(std::chrono::seconds(5)));
}

/// WHO apply NAME base=VERSION text=TEXT
void StateWorld::doApply(const Step &Action) {
  EntryHost &Entry = this->entryOf(Action);
  if (Action.Arguments.size() != 1 || !Action.Options.contains("base"))
    throw StepError(
        "'apply NAME base=VERSION text=TEXT' needs a name and a base");
  RequestRecord &Record = this->Records.Requests[Action.Arguments[0]];
  Record.Host = this->hostOf(Action);
  Record.IsChange = true;
  Record.Key = Action.option("base");
  Record.Content = Action.option("text");
  Entry.apply(Action.Arguments[0], std::stoull(Record.Key), Record.Content);
}

/// WHO resend NAME as-call=NEW: repeats the call or change through WHO.
void StateWorld::doResend(const Step &Action) {
  EntryHost &Entry = this->entryOf(Action);
  std::string Name = Action.Arguments.empty() ? "" : Action.Arguments[0];
  auto Original = this->Records.Requests.find(Name);
  std::string ResentName = Action.option("as-call", Name + "-again");
  if (Original == this->Records.Requests.end())
    throw StepError("unknown call or change " + Name);
  RequestRecord &Record = this->Records.Requests[ResentName];
  Record = RequestRecord{};
  Record.Host = this->hostOf(Action);
  Record.Key = Original->second.Key;
  Record.Content = Original->second.Content;
  Record.IsChange = Original->second.IsChange;
  if (Record.IsChange)
    Entry.apply(ResentName, std::stoull(Record.Key), Record.Content);
  else
    Entry.call(ResentName, std::chrono::seconds(5));
}

std::optional<std::string>
StateWorld::expectationFailure(const Step &Expectation) {
  if (Expectation.Subject == "cluster")
    return this->clusterExpectationFailure(Expectation);
  if (Expectation.Subject == "key")
    return this->keyExpectationFailure(Expectation);
  return this->requestExpectationFailure(Expectation);
}

/// cluster expect leader|no-leader|repaired
std::optional<std::string>
StateWorld::clusterExpectationFailure(const Step &Expectation) {
  HostName Leader = this->Cluster.leader();
  std::string Expected =
      Expectation.Arguments.empty() ? "" : Expectation.Arguments.front();
  if (Expected == "no-leader")
    return Leader.empty() ? std::nullopt : std::optional(Leader + " leads");
  if (Leader.empty())
    return "no leader";
  if (Expected == "leader")
    return std::nullopt;
  if (Expected != "repaired")
    throw StepError("the expectation 'cluster expect " + Expected +
                    "' is not known");
  bool Complete =
      this->Cluster.replica(Leader).repairComplete(this->Cluster.now(Leader));
  return Complete ? std::nullopt : std::optional<std::string>("not repaired");
}

/// key expect KEY executions=N
std::optional<std::string>
StateWorld::keyExpectationFailure(const Step &Expectation) {
  if (Expectation.Arguments.size() != 1)
    throw StepError("'key expect KEY executions=N' needs a key");
  std::string Actual =
      std::to_string(this->Records.executions(Expectation.Arguments[0]));
  if (Actual == Expectation.option("executions"))
    return std::nullopt;
  return Actual + " executions";
}

/// NAME expect RESULT [reason=R] [version=V] [opened=yes]; RESULT may be a|b.
/// `opened=yes` requires that the ledger was read for the call.
std::optional<std::string>
StateWorld::requestExpectationFailure(const Step &Expectation) {
  auto Found = this->Records.Requests.find(Expectation.Subject);
  if (Found == this->Records.Requests.end())
    throw StepError("unknown call or change " + Expectation.Subject);
  const RequestRecord &Record = Found->second;
  std::string Actual = Record.Result + " reason=" + Record.Reason +
                       " version=" + std::to_string(Record.Version);
  if (Expectation.Arguments.empty())
    throw StepError("an expected result is missing");
  std::string Expected = "|" + Expectation.Arguments[0] + "|";
  bool IsMet = Expected.find("|" + Record.Result + "|") != std::string::npos;
  if (Expectation.Options.contains("reason"))
    IsMet = IsMet && Record.Reason == Expectation.option("reason");
  if (Expectation.Options.contains("version"))
    IsMet = IsMet &&
            std::to_string(Record.Version) == Expectation.option("version");
  if (Expectation.Options.contains("opened"))
    IsMet = IsMet && Record.OpenIndex.has_value();
  return IsMet ? std::nullopt : std::optional(Actual);
}

} // namespace carobhinge::state
