//===- Tests/State/StateWorld.h - Simulated control state and entry hosts -===//
///
/// \file
/// Three voters (a1, b1, c1) that are also entry hosts, two more entry hosts
/// (a2, b2), and a fake service that counts executions. Implements the verbs of
/// the scenario language and checks these invariants:
///
/// * a key is executed at most once;
/// * a "not run" answer is true when it is given, and stays true for every call
///   that was opened before the refusal was committed;
/// * an accepted version stays in the history with its text;
/// * each term has one leader, one lease is valid at a time, and committed
///   entries are equal on all voters.
///
/// In scenarios, `leader` refers to the voter that holds the lease. `as=NAME`
/// on a fault names the affected host for later steps.
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
  void advance(Duration Interval) override;
  void execute(const scenario::Step &Action) override;
  std::optional<std::string>
  expectationFailure(const scenario::Step &Expectation) override;
  std::optional<std::string> brokenInvariant() override;

  /// Called at each named step of any host. Returning true kills the host at
  /// that step.
  std::function<bool(const HostName &Host, std::string_view Step)> Hook;

  void kill(const HostName &Host);
  void restart(const HostName &Host);
  void loseDisk(const HostName &Host);
  void freeze(const HostName &Host);
  void thaw(const HostName &Host);
  void cut(const HostName &Host, const HostName &Other, bool Cut);
  void stall(const HostName &Host) { this->EntryHosts.at(Host)->stall(); }
  [[nodiscard]] ReplicaCluster &cluster() { return this->Cluster; }
  [[nodiscard]] GroundTruth &groundTruth() { return this->Records; }
  [[nodiscard]] bool isRunning(const HostName &Host) const {
    return this->IsRunning.at(Host);
  }
  [[nodiscard]] static std::span<const HostName> hosts();

private:
  using Handler = void (StateWorld::*)(const scenario::Step &);
  struct Verb {
    std::string_view Name;
    Handler Handle;
  };
  static std::span<const Verb> table();

  void doKill(const scenario::Step &Action);
  void doRestart(const scenario::Step &Action);
  void doLoseDisk(const scenario::Step &Action);
  void doFreeze(const scenario::Step &Action);
  void doThaw(const scenario::Step &Action);
  void doCut(const scenario::Step &Action);
  void doHeal(const scenario::Step &Action);
  void doDelay(const scenario::Step &Action);
  void doDrop(const scenario::Step &Action);
  void doDuplicate(const scenario::Step &Action);
  void doReorder(const scenario::Step &Action);
  void doStall(const scenario::Step &Action);
  void doOverload(const scenario::Step &Action);
  void doRelieve(const scenario::Step &Action);
  void doHoldSlots(const scenario::Step &Action);
  void doGrantSlots(const scenario::Step &Action);
  void doStop(const scenario::Step &Action);
  void doHandOver(const scenario::Step &Action);
  void doCall(const scenario::Step &Action);
  void doApply(const scenario::Step &Action);
  void doResend(const scenario::Step &Action);

  HostName hostOf(const scenario::Step &Action);
  EntryHost &entryOf(const scenario::Step &Action);
  void eachLink(const scenario::Step &Action,
                const std::function<void(LinkFaults &)> &Edit);
  bool endsAtStep(const HostName &Host, std::string_view Step);
  void checkAcceptedVersions();
  std::optional<std::string>
  clusterExpectationFailure(const scenario::Step &Expectation);
  std::optional<std::string>
  keyExpectationFailure(const scenario::Step &Expectation);
  std::optional<std::string>
  requestExpectationFailure(const scenario::Step &Expectation);

  ReplicaCluster Cluster;
  SimulatedNetwork Network;
  GroundTruth Records;
  ControlPlane Control;
  EntryHostEnvironment Environment;
  std::map<HostName, std::unique_ptr<EntryHost>> EntryHosts;
  /// Earlier incarnations. Calls still at the service refer to them.
  std::vector<std::unique_ptr<EntryHost>> EndedHosts;
  std::map<HostName, bool> IsRunning;
  std::map<HostName, Incarnation> Incarnations;
  std::map<std::string, HostName> Aliases;
  /// Hosts to kill at the end of the current clock step, because the hook ended
  /// them at one of their own steps.
  std::set<HostName> EndingHosts;
  std::map<std::uint64_t, std::string> AcceptedTexts;
};

} // namespace carobhinge::state

#endif // STATE_STATEWORLD_H
