//===- Tests/Matrix/StateScripts.cpp - Ledger and intent scripts ----------===//
///
/// \file
/// Scripts on the replicated ledger and intent. A fault is injected into the
/// host that reaches the selected point. Afterwards all faults end and the
/// world must recover: a leader, repaired voters and an answer to a new payout.
///
//===----------------------------------------------------------------------===//

#include "Script.h"

#include <Scenario/Parser.h>
#include <State/StateWorld.h>
#include <array>

namespace carobhinge::matrix {

namespace {

using scenario::Step;
using state::StateWorld;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Duration of faults that do not end by themselves. Longer than every lease.
constexpr Duration Outage = seconds(3);
/// Duration of a link fault, and of the downtime before a quick restart.
constexpr Duration ShortOutage = milliseconds(120);
/// Simulated time between two checks of the invariants.
constexpr Duration Slice = milliseconds(20);

/// "cut" cuts all links of the host; "cut-pair" only the link to one voter.
constexpr std::array<std::string_view, 10> Faults = {
    "kill",     "kill-restart", "lose-disk", "freeze", "cut",
    "cut-pair", "drop",         "duplicate", "delay",  "stall"};

/// One run of a script: its world, the injected faults and the result.
class Cell {
public:
  Cell(std::uint64_t Seed, std::span<const FaultInjection> Injections)
      : World(Seed), Injections(Injections) {
    this->World.Hook = [this](const HostName &Host, std::string_view) {
      return this->handlePoint(Host);
    };
  }

  /// Executes one line of the scenario language.
  void runStep(std::string_view Line) {
    Findings Problems;
    scenario::Scenario Parsed =
        scenario::parseScenario("script", "scenario s\n" + std::string(Line),
                                this->World.verbs(), Problems);
    if (!Problems.empty())
      throw FindingsError(std::move(Problems));
    try {
      this->World.execute(Parsed.Steps.front());
    } catch (const scenario::StepError &) {
      // The acting host is down: the script continues without the step.
    }
  }

  void advance(Duration Length) {
    for (Duration PassedTime{}; PassedTime < Length; PassedTime += Slice) {
      this->World.advance(Slice);
      this->Elapsed += Slice;
      this->endFaults();
      if (!this->Result.Violation)
        this->Result.Violation = this->World.brokenInvariant();
    }
  }

  /// Advances the clock until the expectation holds, by \p Bound at most.
  void waitFor(std::string_view Line, Duration Bound) {
    Findings Problems;
    scenario::Scenario Parsed =
        scenario::parseScenario("script", "scenario s\n" + std::string(Line),
                                this->World.verbs(), Problems);
    const Step &Expectation = Parsed.Steps.front();
    auto Failure = this->World.expectationFailure(Expectation);
    for (Duration WaitedTime{}; Failure && WaitedTime < Bound;
         WaitedTime += Slice) {
      this->advance(Slice);
      Failure = this->World.expectationFailure(Expectation);
    }
    if (Failure && !this->Result.Violation)
      this->Result.Violation =
          "did not recover: " + std::string(Line) + ": " + *Failure;
  }

  /// Sets whether points are counted and faults are injected.
  void setArmed(bool Enabled) { this->IsArmed = Enabled; }

  /// Waits for all faults to end, restarts all hosts and checks that the world
  /// recovers.
  void recover() {
    this->setArmed(false);
    this->advance(Outage);
    for (const HostName &Host : StateWorld::hosts())
      if (!this->World.isRunning(Host))
        this->World.restart(Host);
    // The log ends when more disks are lost than a quorum tolerates. The
    // invariants still hold, but nothing recovers.
    if (this->DisksLost.size() > 1)
      return;
    this->advance(seconds(2));
    this->waitFor("cluster expect leader", seconds(20));
    this->waitFor("cluster expect repaired", seconds(30));
    this->runStep("a2 call fresh key=2026-12-01-fresh");
    this->waitFor("fresh expect answered", seconds(6));
    for (const auto &[Name, Record] : this->World.groundTruth().Requests)
      if (Record.Result == "open" && !this->Result.Violation)
        this->Result.Violation = Name + " was never answered";
  }

  void loseDisk(const HostName &Host) {
    this->World.loseDisk(Host);
    this->recordDiskLoss(Host);
  }
  [[nodiscard]] Observation result() { return this->Result; }

private:
  struct ScheduledEnd {
    Duration DueTime{};
    state::Callback Action;
  };

  bool handlePoint(const HostName &Host) {
    if (!this->IsArmed)
      return false;
    std::size_t Point = this->Result.Points++;
    bool EndsHost = false;
    for (const FaultInjection &Each : this->Injections)
      if (Each.Point == Point)
        EndsHost = this->inject(Each.Fault, Host) || EndsHost;
    return EndsHost;
  }

  void schedule(Duration StartDelay, state::Callback Action) {
    this->ScheduledEnds.push_back(
        {this->Elapsed + StartDelay, std::move(Action)});
  }

  void endFaults() {
    for (std::size_t Index = 0; Index < this->ScheduledEnds.size();) {
      if (this->ScheduledEnds[Index].DueTime > this->Elapsed) {
        ++Index;
        continue;
      }
      state::Callback Action = std::move(this->ScheduledEnds[Index].Action);
      this->ScheduledEnds.erase(this->ScheduledEnds.begin() + Index);
      Action();
    }
  }

  /// Returns whether the host must end at this point.
  bool inject(std::string_view Fault, const HostName &Host) {
    if (Fault == "kill" || Fault == "kill-restart") {
      this->schedule(Fault == "kill" ? Outage : ShortOutage,
                     [this, Host] { this->World.restart(Host); });
      return true;
    }
    if (Fault == "lose-disk") {
      this->recordDiskLoss(Host);
      this->schedule(ShortOutage, [this, Host] {
        this->World.loseDisk(Host);
        this->World.restart(Host);
      });
      return true;
    }
    if (Fault == "freeze") {
      this->World.freeze(Host);
      this->schedule(Outage, [this, Host] { this->World.thaw(Host); });
    } else if (Fault == "stall") {
      if (this->World.isRunning(Host))
        this->World.stall(Host);
    } else {
      this->injectLinkFault(Fault, Host);
    }
    return false;
  }

  void recordDiskLoss(const HostName &Host) {
    constexpr std::size_t Voters = 3;
    if (Host != "a2" && Host != "b2")
      this->DisksLost.insert(Host);
    // After the loss of every copy the voters start a new, empty log.
    this->Result.IsUnrecoverable = this->DisksLost.size() == Voters;
  }

  void injectLinkFault(std::string_view Fault, const HostName &Host) {
    if (Fault == "cut-pair") {
      HostName Voter = Host == "a1" ? "b1" : Host == "b1" ? "c1" : "a1";
      this->World.cut(Host, Voter, true);
      this->schedule(
          Outage, [this, Host, Voter] { this->World.cut(Host, Voter, false); });
      return;
    }
    LinkFaults Link;
    Link.Cut = Fault == "cut";
    Link.DropPercent = Fault == "drop" ? 100 : 0;
    Link.DuplicatePercent = Fault == "duplicate" ? 100 : 0;
    if (Fault == "delay")
      Link.Delay = milliseconds(250);
    this->setLinks(Host, Link);
    // "drop" lasts one clock slice, which loses about one message.
    Duration Length = Fault == "cut"    ? Outage
                      : Fault == "drop" ? Slice
                                        : ShortOutage;
    this->schedule(Length, [this, Host] { this->setLinks(Host, {}); });
  }

  void setLinks(const HostName &Host, const LinkFaults &Link) {
    for (const HostName &Other : StateWorld::hosts())
      if (Other != Host) {
        this->World.cluster().link(Host, Other) = Link;
        this->World.cluster().link(Other, Host) = Link;
      }
    this->World.cluster().link(Host, state::ServiceHost) = Link;
    this->World.cluster().link(state::ServiceHost, Host) = Link;
  }

  StateWorld World;
  std::span<const FaultInjection> Injections;
  Observation Result;
  bool IsArmed = false;
  std::set<HostName> DisksLost;
  Duration Elapsed{};
  std::vector<ScheduledEnd> ScheduledEnds;
};

/// A script with a name and a function that runs it in a cell.
class StateScript : public Script {
public:
  StateScript(std::string_view Name, bool Pairs, void (*Workload)(Cell &))
      : Name(Name), Pairs(Pairs), Workload(Workload) {}

  [[nodiscard]] std::string_view name() const override { return this->Name; }
  [[nodiscard]] std::span<const std::string_view> faults() const override {
    return Faults;
  }
  [[nodiscard]] bool pairs() const override { return this->Pairs; }
  [[nodiscard]] Observation
  run(std::uint64_t Seed,
      std::span<const FaultInjection> Injections) const override {
    Cell TestCell(Seed, Injections);
    TestCell.waitFor("cluster expect leader", seconds(10));
    this->Workload(TestCell);
    TestCell.recover();
    return TestCell.result();
  }

private:
  std::string_view Name;
  bool Pairs;
  void (*Workload)(Cell &);
};

/// A payout, its resend through another host while it runs, a refusal of a
/// third copy, and another resend afterwards.
void payout(Cell &TestCell) {
  TestCell.runStep("b2 call warm key=2026-12-01-w");
  TestCell.waitFor("warm expect answered", seconds(5));
  TestCell.runStep("b1 overload");
  TestCell.setArmed(true);
  TestCell.runStep("a2 call first key=2026-12-01-a");
  TestCell.advance(milliseconds(20));
  TestCell.runStep("b2 resend first as-call=second");
  TestCell.runStep("b1 resend first as-call=refused");
  TestCell.advance(milliseconds(280));
  TestCell.setArmed(false);
  TestCell.advance(seconds(4));
  TestCell.runStep("c1 resend first as-call=third");
  TestCell.advance(seconds(6));
}

/// Two operators change the same base version; one resends, and a later change
/// follows.
void intentChange(Cell &TestCell) {
  TestCell.setArmed(true);
  TestCell.runStep("a2 apply one base=0 text=A");
  TestCell.runStep("b2 apply two base=0 text=B");
  TestCell.advance(milliseconds(150));
  TestCell.runStep("b1 resend one as-call=one-again");
  TestCell.runStep("c1 apply next base=1 text=C");
  TestCell.advance(milliseconds(150));
  TestCell.setArmed(false);
  TestCell.advance(seconds(4));
  TestCell.runStep("a1 resend next as-call=next-again");
  TestCell.advance(seconds(2));
}

/// A voter restarts with an empty disk while a payout is in progress.
void voterRepair(Cell &TestCell) {
  TestCell.runStep("a2 call warm key=2026-12-01-w");
  TestCell.waitFor("warm expect answered", seconds(5));
  TestCell.loseDisk("c1");
  TestCell.advance(seconds(2));
  TestCell.setArmed(true);
  TestCell.runStep("c1 restart");
  TestCell.runStep("a2 call first key=2026-12-01-a");
  TestCell.advance(milliseconds(400));
  TestCell.setArmed(false);
  TestCell.advance(seconds(4));
  TestCell.runStep("b2 resend first as-call=second");
  TestCell.advance(seconds(2));
}

/// The leader transfers its leadership and an entry host shuts down while
/// payouts run.
void plannedStop(Cell &TestCell) {
  TestCell.runStep("a2 call warm key=2026-12-01-w");
  TestCell.waitFor("warm expect answered", seconds(5));
  TestCell.setArmed(true);
  TestCell.runStep("a2 call first key=2026-12-01-a");
  TestCell.runStep("b2 call second key=2026-12-01-b");
  TestCell.advance(milliseconds(20));
  TestCell.runStep("leader hand-over");
  TestCell.runStep("a2 stop");
  TestCell.advance(milliseconds(280));
  TestCell.setArmed(false);
  TestCell.advance(seconds(4));
  TestCell.runStep("b2 resend first as-call=first-again");
  TestCell.advance(seconds(2));
}

const bool Registered =
    registerScript(std::make_unique<StateScript>("payout", true, payout)) &&
    registerScript(
        std::make_unique<StateScript>("intent-change", false, intentChange)) &&
    registerScript(
        std::make_unique<StateScript>("voter-repair", true, voterRepair)) &&
    registerScript(
        std::make_unique<StateScript>("planned-stop", false, plannedStop));

} // namespace

} // namespace carobhinge::matrix
