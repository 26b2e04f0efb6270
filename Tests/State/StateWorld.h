//===- Tests/State/StateWorld.h - The state that must survive, as a world -===//
///
/// \file
/// Three voters (a1, b1, c1) that are entry hosts too, and two more entry hosts
/// (a2, b2), with a fake service that counts executions. Gives the verbs of the
/// scenario language their meaning and checks the invariants:
///
/// * a key is executed at most once;
/// * a "not run" is true when given, and stays true for every call that was
///   opened before the refusal was committed;
/// * an accepted version stays in the history, with its text;
/// * one leader a term, one lease at a time, equal committed entries.
///
/// `leader` stands for the voter that holds the lease; `as=NAME` of a fault
/// gives the host that it hit a name for later steps.
///
//===----------------------------------------------------------------------===//

#ifndef STATE_STATEWORLD_H
#define STATE_STATEWORLD_H

#include "EntryHost.h"

#include <Scenario/World.h>

namespace carobhinge::state {

class StateWorld : public scenario::World {
public:
  explicit StateWorld(std::uint64_t Seed);

  [[nodiscard]] std::span<const std::string_view> verbs() const override;
  void advance(Duration Passed) override;
  void act(const scenario::Step &What) override;
  std::optional<std::string> unmet(const scenario::Step &Expectation) override;
  std::optional<std::string> brokenInvariant() override;

  /// Called at each named step of any host; true ends the host's life there.
  std::function<bool(const HostName &Host, std::string_view Step)> Hook;

  void kill(const HostName &Host);
  void restart(const HostName &Host);
  void loseDisk(const HostName &Host);
  void freeze(const HostName &Host);
  void thaw(const HostName &Host);
  void cut(const HostName &Host, const HostName &Other, bool Cut);
  void stall(const HostName &Host) { this->Entries.at(Host)->stall(); }
  [[nodiscard]] ReplicaCluster &cluster() { return this->Cluster; }
  [[nodiscard]] Truth &truth() { return this->Real; }
  [[nodiscard]] bool alive(const HostName &Host) const {
    return this->Alive.at(Host);
  }
  [[nodiscard]] static std::span<const HostName> hosts();

private:
  using Handler = void (StateWorld::*)(const scenario::Step &);
  struct Verb {
    std::string_view Name;
    Handler Handle;
  };
  static std::span<const Verb> table();

  void doKill(const scenario::Step &What);
  void doRestart(const scenario::Step &What);
  void doLoseDisk(const scenario::Step &What);
  void doFreeze(const scenario::Step &What);
  void doThaw(const scenario::Step &What);
  void doCut(const scenario::Step &What);
  void doHeal(const scenario::Step &What);
  void doDelay(const scenario::Step &What);
  void doDrop(const scenario::Step &What);
  void doDuplicate(const scenario::Step &What);
  void doReorder(const scenario::Step &What);
  void doStall(const scenario::Step &What);
  void doOverload(const scenario::Step &What);
  void doRelieve(const scenario::Step &What);
  void doHoldSlots(const scenario::Step &What);
  void doGrantSlots(const scenario::Step &What);
  void doStop(const scenario::Step &What);
  void doHandOver(const scenario::Step &What);
  void doCall(const scenario::Step &What);
  void doApply(const scenario::Step &What);
  void doResend(const scenario::Step &What);

  HostName hostOf(const scenario::Step &What);
  EntryHost &entryOf(const scenario::Step &What);
  void eachLink(const scenario::Step &What,
                const std::function<void(LinkFaults &)> &Change);
  bool atStep(const HostName &Host, std::string_view Step);
  void checkAccepted();
  std::optional<std::string> unmetOfCluster(const scenario::Step &Expectation);
  std::optional<std::string> unmetOfKey(const scenario::Step &Expectation);
  std::optional<std::string> unmetOfStory(const scenario::Step &Expectation);

  ReplicaCluster Cluster;
  Wire Wires;
  Truth Real;
  ControlPlane Control;
  Surroundings Around;
  std::map<HostName, std::unique_ptr<EntryHost>> Entries;
  /// Earlier lives: what the service still holds of them refers to them.
  std::vector<std::unique_ptr<EntryHost>> Ended;
  std::map<HostName, bool> Alive;
  std::map<HostName, Incarnation> Lives;
  std::map<std::string, HostName> Aliases;
  /// Hosts whose life ended within a step of their own.
  std::set<HostName> Dying;
  std::map<std::uint64_t, std::string> AcceptedTexts;
};

} // namespace carobhinge::state

#endif // STATE_STATEWORLD_H
