//===- Tests/Matrix/FleetScripts.cpp - Groups under every fault -----------===//
///
/// \file
/// The scripts of work on the groups of one failure domain. The points are the
/// announcements, orders, answers and rosters that are sent. A fault strikes
/// that message, the engine it concerns, or the planner. Afterwards everything
/// that can come back does, and all groups that the engines allow must serve.
///
//===----------------------------------------------------------------------===//

#include "Script.h"

#include <FleetCluster/FleetCluster.h>
#include <array>

namespace carobhinge::matrix {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/// Within the planner's wait for a paused member, and beyond it.
constexpr Duration ShortPause = seconds(6);
constexpr Duration LongPause = seconds(25);
/// How long a planner or a link is out: past every timeout.
constexpr Duration Outage = seconds(15);
constexpr Duration Lateness = seconds(7);
/// Between the two halves of a script.
constexpr Duration HalfTime = seconds(20);

constexpr std::array<std::string_view, 13> Faults = {
    "member-kill",     "member-restart",  "member-pause", "member-freeze",
    "message-lost",    "message-doubled", "message-late", "planner-kill",
    "planner-restart", "planner-freeze",  "planner-deaf", "entry-hosts-cut",
    "domain-cut"};

/// What a script does: at its start and after half of its time.
struct Work {
  std::string_view Name;
  /// Whether the groups serve before the script starts.
  bool StartsWhole = true;
  std::function<void(FleetCluster &)> First;
  std::function<void(FleetCluster &)> Second;
};

EndpointName anyMember(FleetCluster &On) {
  for (const auto &[Name, Engine] : On.Engines)
    if (!Engine.Said.Position.Group.empty())
      return Name;
  return On.Engines.begin()->first;
}

/// Changes the intent of the fleet's only grouped service, or of the domain.
void change(FleetCluster &On, const std::function<void(FleetIntent &)> &How) {
  FleetIntent New = On.Intent;
  How(New);
  On.setIntent(New);
}

std::vector<Work> works() {
  auto Nothing = [](FleetCluster &) {};
  auto Dissolve = [](FleetCluster &On) {
    change(On, [](FleetIntent &New) { New.Services["sheets"].Version = "v2"; });
  };
  auto Out = [](FleetCluster &On) {
    change(On, [](FleetIntent &New) { New.IsDomainDrained = true; });
  };
  auto Back = [](FleetCluster &On) {
    change(On, [](FleetIntent &New) { New.IsDomainDrained = false; });
  };
  return {
      {"fleet-forming", false, Nothing, Nothing},
      {"fleet-repairing", true,
       [](FleetCluster &On) { On.kill(anyMember(On)); }, Nothing},
      {"fleet-dissolving", true, Dissolve, Nothing},
      {"fleet-draining", true,
       [](FleetCluster &On) { On.leave(anyMember(On)); }, Nothing},
      {"fleet-warming", true,
       [](FleetCluster &On) {
         for (auto &[Name, Engine] : On.Engines)
           Engine.chill(On.now());
       },
       Nothing},
      {"fleet-returning", true,
       [](FleetCluster &On) { On.pause(anyMember(On)); },
       [](FleetCluster &On) {
         for (const auto &[Name, Engine] : On.Engines)
           On.resume(Name);
       }},
      {"fleet-domain-out", true, Out, Back},
  };
}

/// One run: the cluster, its faults and what it showed.
class Cell {
public:
  Cell(std::uint64_t Seed, bool Fencing, std::span<const Injection> Wanted)
      : On({.Seed = Seed, .EnginesPerFabric = 5, .ChecksFencing = Fencing}),
        Fencing(Fencing), Wanted(Wanted) {
    this->On.OnSend = [this](const Envelope &What, MessageFate &Fate) {
      this->sent(What, Fate);
    };
  }

  Observation run(const Work &Script) {
    if (Script.StartsWhole)
      this->On.run(seconds(50));
    this->Open = true;
    Script.First(this->On);
    this->pass(HalfTime);
    Script.Second(this->On);
    this->pass(HalfTime);
    this->Open = false;
    this->recover();
    return this->Seen;
  }

private:
  void sent(const Envelope &What, MessageFate &Fate) {
    bool IsPoint = What.Kind == MessageKind::Announcement ||
                   What.Kind == MessageKind::Order ||
                   What.Kind == MessageKind::OrderAnswer ||
                   What.Kind == MessageKind::Roster;
    if (!this->Open || !IsPoint)
      return;
    std::size_t Point = this->Seen.Points++;
    for (const Injection &Each : this->Wanted)
      if (Each.Point == Point)
        this->strike(Each.Fault, What, Fate);
  }

  /// Faults of nodes strike after the tick, as they change what it walks over.
  void strike(std::string_view Fault, const Envelope &What, MessageFate &Fate) {
    // A stream delivers once: an order is doubled only where it was resent,
    // which the stricter path never does.
    if (Fault == "message-doubled")
      Fate.Doubled = this->Fencing || What.Kind != MessageKind::Order;
    else if (Fault == "message-lost")
      Fate.Lost = true;
    else if (Fault == "message-late")
      Fate.Late = Lateness;
    else if (Fault.starts_with("member-"))
      this->strikeMember(Fault, this->concerned(What));
    else
      this->strikePlanner(Fault);
  }

  EndpointName concerned(const Envelope &What) {
    if (this->On.Engines.contains(What.From))
      return What.From;
    if (this->On.Engines.contains(What.To))
      return What.To;
    return anyMember(this->On);
  }

  void strikeMember(std::string_view Fault, const EndpointName &Name) {
    if (Fault == "member-kill")
      this->later(Duration::zero(), [=, this] { this->On.kill(Name); });
    if (Fault == "member-restart")
      this->later(Duration::zero(), [=, this] { this->On.restart(Name); });
    if (Fault == "member-pause" || Fault == "member-freeze") {
      Duration Length = Fault == "member-pause" ? ShortPause : LongPause;
      this->later(Duration::zero(), [=, this] { this->On.pause(Name); });
      this->later(Length, [=, this] { this->On.resume(Name); });
    }
  }

  void strikePlanner(std::string_view Fault) {
    HostName Name = this->On.holder();
    if (Name.empty())
      Name = "entry-1";
    auto Now = [this](std::function<void()> Do) {
      this->later(Duration::zero(), std::move(Do));
    };
    if (Fault == "planner-kill") {
      Now([=, this] { this->On.killEntryHost(Name); });
      this->later(Outage, [=, this] { this->On.restartEntryHost(Name); });
    }
    if (Fault == "planner-restart")
      Now([=, this] { this->On.restartEntryHost(Name); });
    if (Fault == "planner-freeze") {
      Now([=, this] { this->On.setFrozen(Name, true); });
      this->later(Outage, [=, this] { this->On.setFrozen(Name, false); });
    }
    if (Fault == "planner-deaf")
      Now([=, this] { this->On.cut(Name, "control"); });
    if (Fault == "entry-hosts-cut")
      Now([this] { this->On.cut("entry-1", "entry-2"); });
    if (Fault == "domain-cut")
      for (HostName Host : {"entry-1", "entry-2"})
        Now([=, this] { this->On.cut(Host, "control"); });
    this->later(Outage, [this] { this->On.heal(); });
  }

  void later(Duration After, std::function<void()> Do) {
    this->Due.emplace(this->On.now() + After, std::move(Do));
  }

  void pass(Duration Length) {
    static constexpr Duration Slice = std::chrono::milliseconds(50);
    for (Duration Passed{}; Passed < Length; Passed += Slice) {
      this->On.run(Slice);
      while (!this->Due.empty() && this->Due.begin()->first <= this->On.now())
        this->Due.extract(this->Due.begin()).mapped()();
    }
  }

  [[nodiscard]] bool isWhole() const {
    return this->On.targetsEverywhere() == this->On.possibleGroups() &&
           this->On.servingGroups() == this->On.possibleGroups();
  }

  void recover() {
    this->pass(LongPause);
    this->On.heal();
    auto Whole = [this] { return this->isWhole(); };
    if (!this->On.runUntil(Whole, minutes(2)) && !this->Fencing) {
      // The price of the stricter path: a lost order takes a restart.
      const OrderTracker &Orders =
          this->On.entryHost(this->On.holder()).Planner->orders();
      for (const auto &[Name, Engine] : this->On.Engines)
        if (Engine.isRunning() && Orders.mayArriveLate(Engine.Said))
          this->On.restart(Name);
      this->On.runUntil(Whole, minutes(2));
    }
    if (!this->On.Violations.empty())
      this->Seen.Broken = this->On.Violations.front();
    else if (!this->isWhole())
      this->Seen.Broken = "only " + std::to_string(this->On.servingGroups()) +
                          " groups serve in the end";
  }

  FleetCluster On;
  bool Fencing;
  std::span<const Injection> Wanted;
  std::multimap<TimePoint, std::function<void()>> Due;
  bool Open = false;
  Observation Seen;
};

class FleetScript : public Script {
public:
  FleetScript(Work Given, bool Fencing)
      : Given(std::move(Given)), Fencing(Fencing),
        Name(std::string(this->Given.Name) + (Fencing ? "" : "-unfenced")) {}

  [[nodiscard]] std::string_view name() const override { return this->Name; }
  [[nodiscard]] std::span<const std::string_view> faults() const override {
    return Faults;
  }
  [[nodiscard]] bool pairs() const override {
    return this->Given.Name == "fleet-repairing";
  }
  [[nodiscard]] Observation
  run(std::uint64_t Seed, std::span<const Injection> Wanted) const override {
    return Cell(Seed, this->Fencing, Wanted).run(this->Given);
  }

private:
  Work Given;
  bool Fencing;
  std::string Name;
};

bool registerAll() {
  for (const Work &Each : works())
    for (bool Fencing : {true, false})
      registerScript(std::make_unique<FleetScript>(Each, Fencing));
  return true;
}

const bool Registered = registerAll();

} // namespace
} // namespace carobhinge::matrix
