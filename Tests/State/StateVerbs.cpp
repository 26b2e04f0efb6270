//===- Tests/State/StateVerbs.cpp - The state world's verbs ---------------===//
///
/// \file
/// What each verb of the scenario language does, and the expectations.
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
    std::vector<std::string_view> Out;
    for (const Verb &Each : table())
      Out.push_back(Each.Name);
    return Out;
  }();
  return Names;
}

void StateWorld::act(const Step &What) {
  for (const Verb &Each : table())
    if (Each.Name == What.Verb) {
      (this->*Each.Handle)(What);
      return;
    }
  throw StepError("no verb " + What.Verb);
}

HostName StateWorld::hostOf(const Step &What) {
  HostName Host = What.Who;
  if (auto Known = this->Aliases.find(Host); Known != this->Aliases.end())
    Host = Known->second;
  if (Host == "leader")
    Host = this->Cluster.leader();
  if (!this->Alive.contains(Host))
    throw StepError("no host " + What.Who);
  if (What.Options.contains("as"))
    this->Aliases[What.option("as")] = Host;
  return Host;
}

EntryHost &StateWorld::entryOf(const Step &What) {
  HostName Host = this->hostOf(What);
  if (!this->Alive[Host])
    throw StepError(Host + " is down");
  return *this->Entries[Host];
}

/// Changes both ways of the links between WHO and to=HOST, or all of WHO's.
void StateWorld::eachLink(const Step &What,
                          const std::function<void(LinkFaults &)> &Change) {
  HostName Host = this->hostOf(What);
  std::vector<HostName> Others(hosts().begin(), hosts().end());
  Others.push_back(ServiceHost);
  if (What.Options.contains("to"))
    Others = {What.option("to")};
  for (const HostName &Other : Others) {
    if (Other == Host)
      continue;
    Change(this->Cluster.link(Host, Other));
    Change(this->Cluster.link(Other, Host));
  }
}

static Duration durationOf(const Step &What, std::string_view Name) {
  auto Length = scenario::parseDuration(What.option(Name));
  if (!Length)
    throw StepError("no duration " + std::string(Name) + "=");
  return *Length;
}

static unsigned percentOf(const Step &What) {
  return static_cast<unsigned>(std::stoul(What.option("percent", "100")));
}

void StateWorld::doKill(const Step &What) { this->kill(this->hostOf(What)); }
void StateWorld::doRestart(const Step &What) {
  this->restart(this->hostOf(What));
}
void StateWorld::doLoseDisk(const Step &What) {
  this->loseDisk(this->hostOf(What));
}
void StateWorld::doFreeze(const Step &What) {
  this->freeze(this->hostOf(What));
}
void StateWorld::doThaw(const Step &What) { this->thaw(this->hostOf(What)); }
void StateWorld::doCut(const Step &What) {
  this->eachLink(What, [](LinkFaults &Link) { Link.Cut = true; });
}
void StateWorld::doHeal(const Step &What) {
  this->eachLink(What, [](LinkFaults &Link) { Link = {}; });
}
void StateWorld::doDelay(const Step &What) {
  Duration By = durationOf(What, "by");
  this->eachLink(What, [By](LinkFaults &Link) { Link.Delay = By; });
}
void StateWorld::doDrop(const Step &What) {
  unsigned Percent = percentOf(What);
  this->eachLink(What, [&](LinkFaults &Link) { Link.DropPercent = Percent; });
}
void StateWorld::doDuplicate(const Step &What) {
  unsigned Percent = percentOf(What);
  this->eachLink(What,
                 [&](LinkFaults &Link) { Link.DuplicatePercent = Percent; });
}
void StateWorld::doReorder(const Step &What) {
  Duration By = durationOf(What, "by");
  this->eachLink(What, [By](LinkFaults &Link) { Link.Jitter = By; });
}
void StateWorld::doStall(const Step &What) { this->entryOf(What).stall(); }
void StateWorld::doOverload(const Step &What) {
  this->entryOf(What).overload(true);
}
void StateWorld::doRelieve(const Step &What) {
  this->entryOf(What).overload(false);
}
void StateWorld::doHoldSlots(const Step &What) {
  this->entryOf(What).holdSlots(true);
}
void StateWorld::doGrantSlots(const Step &What) {
  this->entryOf(What).holdSlots(false);
}
void StateWorld::doStop(const Step &What) { this->entryOf(What).shutDown(); }
void StateWorld::doHandOver(const Step &What) {
  this->Cluster.with(this->hostOf(What), [](Replica &Leader, TimePoint Now) {
    Leader.transferLeadership(Now);
  });
}

/// WHO call NAME key=KEY [content=TEXT] [deadline=D]
void StateWorld::doCall(const Step &What) {
  EntryHost &Entry = this->entryOf(What);
  if (What.Words.size() != 1 || !What.Options.contains("key"))
    throw StepError("'call NAME key=KEY' needs both");
  Story &Told = this->Real.Stories[What.Words[0]];
  Told.Host = this->hostOf(What);
  Told.Key = What.option("key");
  Told.Content = What.option("content", "sheet");
  Entry.call(What.Words[0], What.Options.contains("deadline")
                                ? durationOf(What, "deadline")
                                : Duration(std::chrono::seconds(5)));
}

/// WHO apply NAME base=VERSION text=TEXT
void StateWorld::doApply(const Step &What) {
  EntryHost &Entry = this->entryOf(What);
  if (What.Words.size() != 1 || !What.Options.contains("base"))
    throw StepError("'apply NAME base=VERSION text=TEXT' needs all");
  Story &Told = this->Real.Stories[What.Words[0]];
  Told.Host = this->hostOf(What);
  Told.IsChange = true;
  Told.Key = What.option("base");
  Told.Content = What.option("text");
  Entry.apply(What.Words[0], std::stoull(Told.Key), Told.Content);
}

/// WHO resend NAME as-call=NEW: the same call or change again, through WHO.
void StateWorld::doResend(const Step &What) {
  EntryHost &Entry = this->entryOf(What);
  std::string Name = What.Words.empty() ? "" : What.Words[0];
  auto First = this->Real.Stories.find(Name);
  std::string Again = What.option("as-call", Name + "-again");
  if (First == this->Real.Stories.end())
    throw StepError("no call or change " + Name);
  Story &Told = this->Real.Stories[Again];
  Told = Story{};
  Told.Host = this->hostOf(What);
  Told.Key = First->second.Key;
  Told.Content = First->second.Content;
  Told.IsChange = First->second.IsChange;
  if (Told.IsChange)
    Entry.apply(Again, std::stoull(Told.Key), Told.Content);
  else
    Entry.call(Again, std::chrono::seconds(5));
}

std::optional<std::string> StateWorld::unmet(const Step &Expectation) {
  if (Expectation.Who == "cluster")
    return this->unmetOfCluster(Expectation);
  if (Expectation.Who == "key")
    return this->unmetOfKey(Expectation);
  return this->unmetOfStory(Expectation);
}

/// cluster expect leader|no-leader|repaired
std::optional<std::string> StateWorld::unmetOfCluster(const Step &Expectation) {
  HostName Leader = this->Cluster.leader();
  std::string Wanted =
      Expectation.Words.empty() ? "" : Expectation.Words.front();
  if (Wanted == "no-leader")
    return Leader.empty() ? std::nullopt : std::optional(Leader + " leads");
  if (Leader.empty())
    return "no leader";
  if (Wanted == "leader")
    return std::nullopt;
  if (Wanted != "repaired")
    throw StepError("'cluster expect " + Wanted + "' is not known");
  bool Complete =
      this->Cluster.replica(Leader).repairComplete(this->Cluster.now(Leader));
  return Complete ? std::nullopt : std::optional<std::string>("not repaired");
}

/// key expect KEY executions=N
std::optional<std::string> StateWorld::unmetOfKey(const Step &Expectation) {
  if (Expectation.Words.size() != 1)
    throw StepError("'key expect KEY executions=N' needs a key");
  std::string Found =
      std::to_string(this->Real.executions(Expectation.Words[0]));
  if (Found == Expectation.option("executions"))
    return std::nullopt;
  return Found + " executions";
}

/// NAME expect RESULT [reason=R] [version=V] [opened=yes]; RESULT may be a|b.
/// Opened says that the ledger was read for the call.
std::optional<std::string> StateWorld::unmetOfStory(const Step &Expectation) {
  auto Found = this->Real.Stories.find(Expectation.Who);
  if (Found == this->Real.Stories.end())
    throw StepError("no call or change " + Expectation.Who);
  const Story &Told = Found->second;
  std::string Seen = Told.Result + " reason=" + Told.Reason +
                     " version=" + std::to_string(Told.Version);
  if (Expectation.Words.empty())
    throw StepError("an expected result is missing");
  std::string Wanted = "|" + Expectation.Words[0] + "|";
  bool Holds = Wanted.find("|" + Told.Result + "|") != std::string::npos;
  if (Expectation.Options.contains("reason"))
    Holds = Holds && Told.Reason == Expectation.option("reason");
  if (Expectation.Options.contains("version"))
    Holds =
        Holds && std::to_string(Told.Version) == Expectation.option("version");
  if (Expectation.Options.contains("opened"))
    Holds = Holds && Told.OpenedAt.has_value();
  return Holds ? std::nullopt : std::optional(Seen);
}

} // namespace carobhinge::state
