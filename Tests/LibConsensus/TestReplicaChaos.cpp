//===- Tests/LibConsensus/TestReplicaChaos.cpp - Random replica faults ----===//
///
/// \file
/// Random sequences of faults and requests. Guards against lost or changed
/// commands, which only some orders of crashes, lost messages and lost disks
/// cause. The cluster checks its invariants after every event. At the end, with
/// all faults removed, the log must accept commands again and every host must
/// hold all committed ones.
///
//===----------------------------------------------------------------------===//

#include <LibConsensus/ReplicaCluster.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace carobhinge {
namespace {

using namespace std::chrono_literals;

/// Limits small enough that short runs reach the edge cases of snapshots,
/// chunks, batches and pipelining.
constexpr ReplicaBounds SmallBounds{.EntriesPerMessage = 3,
                                    .EntriesInFlight = 7,
                                    .SnapshotChunkBytes = 50,
                                    .SnapshotEntries = 6,
                                    .RetainedEntries = 3};

struct Step {
  unsigned Action = 0;
  unsigned Host = 0;
  unsigned RandomValue = 0;
};

/// Found by RapidCheck through argument-dependent lookup.
[[maybe_unused]] void showValue(const Step &Value, std::ostream &Out) {
  Out << "{" << Value.Action % 14 << ", " << Value.Host << ", "
      << Value.RandomValue << "}";
}

class ChaosRun {
public:
  ChaosRun(std::vector<HostName> Names, std::uint64_t Seed)
      : Names(Names),
        Cluster({.Hosts = Names, .Seed = Seed, .Bounds = SmallBounds}) {
    for (std::size_t I = 0; I < Names.size(); ++I)
      this->Cluster.setClockRate(Names[I],
                                 0.98 + 0.02 * double((Seed + I) % 3));
    this->Cluster.advance(3s);
  }

  void performStep(const Step &Next) {
    const HostName &Host = this->Names[Next.Host % this->Names.size()];
    using Action = void (ChaosRun::*)(const HostName &, unsigned);
    static constexpr Action Table[] = {
        &ChaosRun::proposeAndRead, &ChaosRun::proposeAndRead,
        &ChaosRun::proposeAndRead, &ChaosRun::kill,
        &ChaosRun::start,          &ChaosRun::freeze,
        &ChaosRun::isolate,        &ChaosRun::cutLink,
        &ChaosRun::degradeLinks,   &ChaosRun::heal,
        &ChaosRun::cutPowerAtStep, &ChaosRun::limitDiskSpace,
        &ChaosRun::loseDisk,       &ChaosRun::requestTransfer,
    };
    (this->*Table[Next.Action % std::size(Table)])(Host, Next.RandomValue);
    this->Cluster.advance(std::chrono::milliseconds(Next.RandomValue % 1500));
  }

  /// Removes all faults. \returns whether the log works again and is equal on
  /// all hosts.
  bool recover() {
    this->Cluster.heal();
    this->Cluster.Hook = {};
    for (const HostName &Host : this->Names) {
      this->Cluster.thaw(Host);
      this->start(Host, 0);
    }
    this->Cluster.advance(20s);
    HostName Leader = this->Cluster.leader();
    if (Leader.empty())
      return false;
    std::size_t Last = this->Cluster.propose(Leader, "last");
    this->Cluster.advance(2s);
    bool Equal =
        this->Cluster.outcome(Last) == Outcome::Committed &&
        this->Cluster.replica(Leader).repairComplete(this->Cluster.now(Leader));
    for (const HostName &Host : this->Names)
      Equal &= this->Cluster.machine(Host).Commands ==
               this->Cluster.machine(Leader).Commands;
    return Equal;
  }

  std::vector<HostName> Names;
  ReplicaCluster Cluster;
  unsigned Commands = 0;
  unsigned LostDisks = 0;

private:
  void proposeAndRead(const HostName &Host, unsigned RandomValue) {
    for (unsigned I = 0; I < RandomValue % 9; ++I) {
      HostName Leader = this->Cluster.leader();
      const HostName &Target = Leader.empty() || I % 4 == 0 ? Host : Leader;
      this->Cluster.propose(Target, "c" + std::to_string(++this->Commands));
      this->Cluster.read(Target);
    }
  }
  void kill(const HostName &Host, unsigned /*Amount*/) {
    this->Cluster.kill(Host);
  }
  void start(const HostName &Host, unsigned /*Amount*/) {
    this->Cluster.disk(Host).SpaceLeft.reset();
    if (!this->Cluster.isRunning(Host) && !this->Cluster.restart(Host))
      this->Cluster.Violations.push_back(
          Host + " cannot open its files: " + this->Cluster.failure(Host));
  }
  void freeze(const HostName &Host, unsigned RandomValue) {
    RandomValue % 3 == 0 ? this->Cluster.freeze(Host)
                         : this->Cluster.thaw(Host);
  }
  void isolate(const HostName &Host, unsigned /*Amount*/) {
    this->Cluster.isolate(Host);
  }
  void cutLink(const HostName &Host, unsigned RandomValue) {
    const HostName &Other = this->Names[RandomValue % this->Names.size()];
    this->Cluster.link(Host, Other).Cut = true;
  }
  void degradeLinks(const HostName &Host, unsigned RandomValue) {
    for (const HostName &Other : this->Names)
      this->Cluster.link(Host, Other) = {
          .Delay = std::chrono::milliseconds(RandomValue % 40),
          .Jitter = std::chrono::milliseconds(RandomValue % 300),
          .DropPercent = RandomValue % 30,
          .DuplicatePercent = RandomValue % 20};
  }
  void heal(const HostName & /*Host*/, unsigned /*Amount*/) {
    this->Cluster.heal();
  }
  /// Cuts the host's power at one of its next steps.
  void cutPowerAtStep(const HostName &Host, unsigned RandomValue) {
    this->Cluster.Hook = [Host, StepsLeft = RandomValue % 40](
                             const HostName &SteppingHost,
                             std::string_view /*Step*/) mutable {
      if (SteppingHost == Host && StepsLeft-- == 0)
        throw PowerCut();
    };
  }
  void limitDiskSpace(const HostName &Host, unsigned RandomValue) {
    this->Cluster.disk(Host).SpaceLeft = RandomValue;
  }
  /// Loses one disk, unless the log is still repairing an earlier loss.
  void loseDisk(const HostName &Host, unsigned /*Amount*/) {
    HostName Leader = this->Cluster.leader();
    if (Leader.empty())
      return;
    Replica &Node = this->Cluster.replica(Leader);
    if (!Node.repairComplete(this->Cluster.now(Leader)))
      return;
    // The leader may not have noticed an earlier loss yet.
    for (const HostName &Other : this->Names)
      if (!this->Cluster.isRunning(Other) ||
          !isVoter(Node.log().configuration(), Other,
                   this->Cluster.replica(Other).disk()))
        return;
    ++this->LostDisks;
    this->Cluster.kill(Host);
    this->Cluster.disk(Host).restore({});
    this->start(Host, 0);
  }
  void requestTransfer(const HostName & /*Host*/, unsigned /*Amount*/) {
    HostName Leader = this->Cluster.leader();
    if (!Leader.empty())
      this->Cluster.runOn(Leader, [](Replica &Node, TimePoint Now) {
        Node.transferLeadership(Now);
      });
  }
};

void runChaos(const std::vector<HostName> &Names) {
  auto Number = rc::gen::inRange(0U, 3000U);
  auto Seed = *rc::gen::inRange<std::uint64_t>(1, 1U << 30U);
  auto Steps = *rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
      rc::gen::set(&Step::Action, Number), rc::gen::set(&Step::Host, Number),
      rc::gen::set(&Step::RandomValue, Number)));
  ChaosRun Run(Names, Seed);
  for (const Step &Next : Steps)
    Run.performStep(Next);
  bool Recovered = Run.recover();
  if (!Run.Cluster.Violations.empty())
    RC_FAIL(Run.Cluster.Violations.front());
  RC_ASSERT(Recovered);
  RC_TAG(Run.LostDisks);
}

RC_GTEST_PROP(ReplicaChaos, InvariantsHoldOnThreeHosts, ()) {
  runChaos({"a", "b", "c"});
}

RC_GTEST_PROP(ReplicaChaos, InvariantsHoldOnFiveHosts, ()) {
  runChaos({"a", "b", "c", "d", "e"});
}

} // namespace

} // namespace carobhinge
