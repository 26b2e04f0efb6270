//===- Tests/Matrix/StateScripts.cpp - Payout, intent, repair, stop -------===//
///
/// \file
/// The scripts of work on the state that must survive. A fault strikes the
/// host that passes the chosen point. Afterwards everything is healed, and the
/// world must come back: a leader, whole voters, and a new payout answered.
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

/// How long a fault lasts that does not end by itself: past every lease.
constexpr Duration Outage = seconds(3);
/// How long a link fault lasts.
constexpr Duration Flicker = milliseconds(120);
/// How often invariants are looked at.
constexpr Duration Slice = milliseconds(20);

constexpr std::array<std::string_view, 9> Faults = {
    "kill", "kill-restart", "lose-disk", "freeze", "cut",
    "drop", "duplicate",    "delay",     "stall"};

/// One run of a script: its world, its faults and what it showed.
class Cell {
public:
  Cell(std::uint64_t Seed, std::span<const Injection> Wanted)
      : World(Seed), Wanted(Wanted) {
    this->World.Hook = [this](const HostName &Host, std::string_view) {
      return this->atPoint(Host);
    };
  }

  /// One line of the scenario language.
  void say(std::string_view Line) {
    Findings Out;
    scenario::Scenario Read = scenario::parseScenario(
        "script", "scenario s\n" + std::string(Line), this->World.verbs(), Out);
    if (!Out.empty())
      throw FindingsError(std::move(Out));
    try {
      this->World.act(Read.Steps.front());
    } catch (const scenario::StepError &) {
      // The host that should act is down: the script goes on without it.
    }
  }

  void pass(Duration Length) {
    for (Duration Passed{}; Passed < Length; Passed += Slice) {
      this->World.advance(Slice);
      this->Elapsed += Slice;
      this->endFaults();
      if (!this->Seen.Broken)
        this->Seen.Broken = this->World.brokenInvariant();
    }
  }

  /// Lets time pass until the expectation holds.
  void await(std::string_view Line, Duration Bound) {
    Findings Out;
    scenario::Scenario Read = scenario::parseScenario(
        "script", "scenario s\n" + std::string(Line), this->World.verbs(), Out);
    const Step &Wanted = Read.Steps.front();
    auto Unmet = this->World.unmet(Wanted);
    for (Duration Waited{}; Unmet && Waited < Bound; Waited += Slice) {
      this->pass(Slice);
      Unmet = this->World.unmet(Wanted);
    }
    if (Unmet && !this->Seen.Broken)
      this->Seen.Broken =
          "did not recover: " + std::string(Line) + ": " + *Unmet;
  }

  /// From here on points count and faults strike.
  void arm(bool On) { this->Armed = On; }

  /// Ends all faults at once and asks for everything to work again.
  void recover() {
    this->arm(false);
    this->pass(Outage);
    for (const HostName &Host : StateWorld::hosts())
      if (!this->World.alive(Host))
        this->World.restart(Host);
    // More lost disks than a quorum bears end the log; what must hold still
    // holds, but nothing comes back.
    if (this->DisksLost.size() > 1)
      return;
    this->pass(seconds(2));
    this->await("cluster expect leader", seconds(20));
    this->await("cluster expect repaired", seconds(30));
    this->say("a2 call fresh key=2026-12-01-fresh");
    this->await("fresh expect answered", seconds(6));
    for (const auto &[Name, Told] : this->World.truth().Stories)
      if (Told.Result == "open" && !this->Seen.Broken)
        this->Seen.Broken = Name + " was never answered";
  }

  void loseDisk(const HostName &Host) {
    this->World.loseDisk(Host);
    this->diskLost(Host);
  }
  [[nodiscard]] Observation result() { return this->Seen; }

private:
  struct Ending {
    Duration At{};
    state::Action Run;
  };

  bool atPoint(const HostName &Host) {
    if (!this->Armed)
      return false;
    std::size_t Point = this->Seen.Points++;
    bool Dies = false;
    for (const Injection &Each : this->Wanted)
      if (Each.Point == Point)
        Dies = this->strike(Each.Fault, Host) || Dies;
    return Dies;
  }

  void later(Duration After, state::Action Run) {
    this->Endings.push_back({this->Elapsed + After, std::move(Run)});
  }

  void endFaults() {
    for (std::size_t At = 0; At < this->Endings.size();) {
      if (this->Endings[At].At > this->Elapsed) {
        ++At;
        continue;
      }
      state::Action Run = std::move(this->Endings[At].Run);
      this->Endings.erase(this->Endings.begin() + At);
      Run();
    }
  }

  /// \returns whether the host's life ends here.
  bool strike(std::string_view Fault, const HostName &Host) {
    if (Fault == "kill" || Fault == "kill-restart") {
      this->later(Fault == "kill" ? Outage : Flicker,
                  [this, Host] { this->World.restart(Host); });
      return true;
    }
    if (Fault == "lose-disk") {
      this->diskLost(Host);
      this->later(Flicker, [this, Host] {
        this->World.loseDisk(Host);
        this->World.restart(Host);
      });
      return true;
    }
    if (Fault == "freeze") {
      this->World.freeze(Host);
      this->later(Outage, [this, Host] { this->World.thaw(Host); });
    } else if (Fault == "stall") {
      if (this->World.alive(Host))
        this->World.stall(Host);
    } else {
      this->strikeLinks(Fault, Host);
    }
    return false;
  }

  void diskLost(const HostName &Host) {
    constexpr std::size_t Voters = 3;
    if (Host != "a2" && Host != "b2")
      this->DisksLost.insert(Host);
    // With every copy gone a new, empty log comes into being.
    this->Seen.Beyond = this->DisksLost.size() == Voters;
  }

  void strikeLinks(std::string_view Fault, const HostName &Host) {
    LinkFaults Link;
    Link.Cut = Fault == "cut";
    Link.DropPercent = Fault == "drop" ? 100 : 0;
    Link.DuplicatePercent = Fault == "duplicate" ? 100 : 0;
    if (Fault == "delay")
      Link.Delay = milliseconds(250);
    this->setLinks(Host, Link);
    // One lost message is one turn of the clock.
    Duration Length = Fault == "cut"    ? Outage
                      : Fault == "drop" ? Slice
                                        : Flicker;
    this->later(Length, [this, Host] { this->setLinks(Host, {}); });
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
  std::span<const Injection> Wanted;
  Observation Seen;
  bool Armed = false;
  std::set<HostName> DisksLost;
  Duration Elapsed{};
  std::vector<Ending> Endings;
};

/// A script is a name and what it does with a cell.
class StateScript : public Script {
public:
  StateScript(std::string_view Name, bool Pairs, void (*Work)(Cell &))
      : Name(Name), Pairs(Pairs), Work(Work) {}

  [[nodiscard]] std::string_view name() const override { return this->Name; }
  [[nodiscard]] std::span<const std::string_view> faults() const override {
    return Faults;
  }
  [[nodiscard]] bool pairs() const override { return this->Pairs; }
  [[nodiscard]] Observation
  run(std::uint64_t Seed, std::span<const Injection> Wanted) const override {
    Cell Tried(Seed, Wanted);
    Tried.await("cluster expect leader", seconds(10));
    this->Work(Tried);
    Tried.recover();
    return Tried.result();
  }

private:
  std::string_view Name;
  bool Pairs;
  void (*Work)(Cell &);
};

/// A payout, its resend through another host while it runs, a refusal of a
/// third copy, and one more resend afterwards.
void payout(Cell &Tried) {
  Tried.say("b2 call warm key=2026-12-01-w");
  Tried.await("warm expect answered", seconds(5));
  Tried.say("b1 overload");
  Tried.arm(true);
  Tried.say("a2 call first key=2026-12-01-a");
  Tried.pass(milliseconds(20));
  Tried.say("b2 resend first as-call=second");
  Tried.say("b1 resend first as-call=refused");
  Tried.pass(milliseconds(280));
  Tried.arm(false);
  Tried.pass(seconds(4));
  Tried.say("c1 resend first as-call=third");
  Tried.pass(seconds(6));
}

/// Operators race on the same base; one resends, and a later change follows.
void intentChange(Cell &Tried) {
  Tried.arm(true);
  Tried.say("a2 apply one base=0 text=A");
  Tried.say("b2 apply two base=0 text=B");
  Tried.pass(milliseconds(150));
  Tried.say("b1 resend one as-call=one-again");
  Tried.say("c1 apply next base=1 text=C");
  Tried.pass(milliseconds(150));
  Tried.arm(false);
  Tried.pass(seconds(4));
  Tried.say("a1 resend next as-call=next-again");
  Tried.pass(seconds(2));
}

/// A voter comes back with an empty disk while a payout is under way.
void voterRepair(Cell &Tried) {
  Tried.say("a2 call warm key=2026-12-01-w");
  Tried.await("warm expect answered", seconds(5));
  Tried.loseDisk("c1");
  Tried.pass(seconds(2));
  Tried.arm(true);
  Tried.say("c1 restart");
  Tried.say("a2 call first key=2026-12-01-a");
  Tried.pass(milliseconds(400));
  Tried.arm(false);
  Tried.pass(seconds(4));
  Tried.say("b2 resend first as-call=second");
  Tried.pass(seconds(2));
}

/// The leader hands over and an entry host drains while payouts run.
void plannedStop(Cell &Tried) {
  Tried.say("a2 call warm key=2026-12-01-w");
  Tried.await("warm expect answered", seconds(5));
  Tried.arm(true);
  Tried.say("a2 call first key=2026-12-01-a");
  Tried.say("b2 call second key=2026-12-01-b");
  Tried.pass(milliseconds(20));
  Tried.say("leader hand-over");
  Tried.say("a2 stop");
  Tried.pass(milliseconds(280));
  Tried.arm(false);
  Tried.pass(seconds(4));
  Tried.say("b2 resend first as-call=first-again");
  Tried.pass(seconds(2));
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
