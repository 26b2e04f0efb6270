//===- Tests/Matrix/FleetScripts.cpp - Group scripts of the matrix --------===//
///
/// \file
/// Scripts on the groups of one failure domain. The points are the sent
/// announcements, orders, answers and rosters. A fault is injected into that
/// message, the engine that it concerns, or the planner. Afterwards all
/// engines, hosts and links that can recover do, and every group that the
/// engines can form must serve.
///
//===----------------------------------------------------------------------===//

#include "Script.h"

#include <FleetCluster/FleetCluster.h>
#include <array>

namespace carobhinge::matrix {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/// Shorter and longer than the planner waits for a paused member.
constexpr Duration ShortPause = seconds(6);
constexpr Duration LongPause = seconds(25);
/// Outage of a planner or a link. Longer than every timeout.
constexpr Duration Outage = seconds(15);
constexpr Duration MessageDelay = seconds(7);
/// Duration of each half of a script.
constexpr Duration HalfDuration = seconds(20);

constexpr std::array<std::string_view, 13> Faults = {
    "member-kill",     "member-restart",  "member-pause", "member-freeze",
    "message-lost",    "message-doubled", "message-late", "planner-kill",
    "planner-restart", "planner-freeze",  "planner-deaf", "entry-hosts-cut",
    "domain-cut"};

/// The actions of a script, at its start and after half of its time.
struct Workload {
  std::string_view Name;
  /// Set if the groups must serve before the script starts.
  bool StartsServing = true;
  std::function<void(FleetCluster &)> Start;
  std::function<void(FleetCluster &)> AtHalfTime;
};

EndpointName anyMember(FleetCluster &Cluster) {
  for (const auto &[Name, Engine] : Cluster.Engines)
    if (!Engine.Status.Position.Group.empty())
      return Name;
  return Cluster.Engines.begin()->first;
}

/// Changes the intent of the fleet's only grouped service or of the domain.
void changeIntent(FleetCluster &Cluster,
                  const std::function<void(FleetIntent &)> &Edit) {
  FleetIntent NewIntent = Cluster.Intent;
  Edit(NewIntent);
  Cluster.setIntent(NewIntent);
}

std::vector<Workload> workloads() {
  auto NoAction = [](FleetCluster &) {};
  auto ChangeVersion = [](FleetCluster &Cluster) {
    changeIntent(Cluster, [](FleetIntent &NewIntent) {
      NewIntent.Services["sheets"].Version = "v2";
    });
  };
  auto DrainDomain = [](FleetCluster &Cluster) {
    changeIntent(Cluster, [](FleetIntent &NewIntent) {
      NewIntent.IsDomainDrained = true;
    });
  };
  auto ReturnDomain = [](FleetCluster &Cluster) {
    changeIntent(Cluster, [](FleetIntent &NewIntent) {
      NewIntent.IsDomainDrained = false;
    });
  };
  return {
      {"fleet-forming", false, NoAction, NoAction},
      {"fleet-repairing", true,
       [](FleetCluster &Cluster) { Cluster.kill(anyMember(Cluster)); },
       NoAction},
      {"fleet-dissolving", true, ChangeVersion, NoAction},
      {"fleet-draining", true,
       [](FleetCluster &Cluster) { Cluster.leave(anyMember(Cluster)); },
       NoAction},
      {"fleet-warming", true,
       [](FleetCluster &Cluster) {
         for (auto &[Name, Engine] : Cluster.Engines)
           Engine.coolDown(Cluster.now());
       },
       NoAction},
      {"fleet-returning", true,
       [](FleetCluster &Cluster) { Cluster.pause(anyMember(Cluster)); },
       [](FleetCluster &Cluster) {
         for (const auto &[Name, Engine] : Cluster.Engines)
           Cluster.resume(Name);
       }},
      {"fleet-domain-out", true, DrainDomain, ReturnDomain},
  };
}

/// One run: the cluster, the injected faults and the result.
class Cell {
public:
  Cell(std::uint64_t Seed, bool Fencing,
       std::span<const FaultInjection> Injections)
      : Cluster(
            {.Seed = Seed, .EnginesPerFabric = 5, .ChecksFencing = Fencing}),
        Fencing(Fencing), Injections(Injections) {
    this->Cluster.OnSend = [this](const Envelope &Message,
                                  MessageFault &AppliedFault) {
      this->onSend(Message, AppliedFault);
    };
  }

  Observation run(const Workload &Script) {
    if (Script.StartsServing)
      this->Cluster.run(seconds(50));
    this->InjectionEnabled = true;
    Script.Start(this->Cluster);
    this->advance(HalfDuration);
    Script.AtHalfTime(this->Cluster);
    this->advance(HalfDuration);
    this->InjectionEnabled = false;
    this->recoverAndCheck();
    return this->Result;
  }

private:
  void onSend(const Envelope &Message, MessageFault &AppliedFault) {
    bool IsPoint = Message.Kind == MessageKind::Announcement ||
                   Message.Kind == MessageKind::Order ||
                   Message.Kind == MessageKind::OrderAnswer ||
                   Message.Kind == MessageKind::Roster;
    if (!this->InjectionEnabled || !IsPoint)
      return;
    std::size_t Point = this->Result.Points++;
    for (const FaultInjection &Each : this->Injections)
      if (Each.Point == Point)
        this->inject(Each.Fault, Message, AppliedFault);
  }

  /// Faults of engines and hosts are injected after the tick, because they
  /// modify the containers that the tick iterates over.
  void inject(std::string_view Fault, const Envelope &Message,
              MessageFault &AppliedFault) {
    // A stream delivers each message once. An order is duplicated only by a
    // resend, which the path for engines without fencing never does.
    if (Fault == "message-doubled")
      AppliedFault.Duplicated =
          this->Fencing || Message.Kind != MessageKind::Order;
    else if (Fault == "message-lost")
      AppliedFault.Lost = true;
    else if (Fault == "message-late")
      AppliedFault.Delay = MessageDelay;
    else if (Fault.starts_with("member-"))
      this->injectMemberFault(Fault, this->affectedEngine(Message));
    else
      this->injectPlannerFault(Fault);
  }

  EndpointName affectedEngine(const Envelope &Message) {
    if (this->Cluster.Engines.contains(Message.From))
      return Message.From;
    if (this->Cluster.Engines.contains(Message.To))
      return Message.To;
    return anyMember(this->Cluster);
  }

  void injectMemberFault(std::string_view Fault, const EndpointName &Name) {
    if (Fault == "member-kill")
      this->schedule(Duration::zero(), [=, this] { this->Cluster.kill(Name); });
    if (Fault == "member-restart")
      this->schedule(Duration::zero(),
                     [=, this] { this->Cluster.restart(Name); });
    if (Fault == "member-pause" || Fault == "member-freeze") {
      Duration Length = Fault == "member-pause" ? ShortPause : LongPause;
      this->schedule(Duration::zero(),
                     [=, this] { this->Cluster.pause(Name); });
      this->schedule(Length, [=, this] { this->Cluster.resume(Name); });
    }
  }

  void injectPlannerFault(std::string_view Fault) {
    HostName Name = this->Cluster.holder();
    if (Name.empty())
      Name = "entry-1";
    auto ScheduleNow = [this](std::function<void()> Action) {
      this->schedule(Duration::zero(), std::move(Action));
    };
    if (Fault == "planner-kill") {
      ScheduleNow([=, this] { this->Cluster.killEntryHost(Name); });
      this->schedule(Outage,
                     [=, this] { this->Cluster.restartEntryHost(Name); });
    }
    if (Fault == "planner-restart")
      ScheduleNow([=, this] { this->Cluster.restartEntryHost(Name); });
    if (Fault == "planner-freeze") {
      ScheduleNow([=, this] { this->Cluster.setFrozen(Name, true); });
      this->schedule(Outage,
                     [=, this] { this->Cluster.setFrozen(Name, false); });
    }
    if (Fault == "planner-deaf")
      ScheduleNow([=, this] { this->Cluster.cut(Name, "control"); });
    if (Fault == "entry-hosts-cut")
      ScheduleNow([this] { this->Cluster.cut("entry-1", "entry-2"); });
    if (Fault == "domain-cut")
      for (HostName Host : {"entry-1", "entry-2"})
        ScheduleNow([=, this] { this->Cluster.cut(Host, "control"); });
    this->schedule(Outage, [this] { this->Cluster.heal(); });
  }

  void schedule(Duration StartDelay, std::function<void()> Action) {
    this->ScheduledActions.emplace(this->Cluster.now() + StartDelay,
                                   std::move(Action));
  }

  void advance(Duration Length) {
    static constexpr Duration Slice = std::chrono::milliseconds(50);
    for (Duration PassedTime{}; PassedTime < Length; PassedTime += Slice) {
      this->Cluster.run(Slice);
      while (!this->ScheduledActions.empty() &&
             this->ScheduledActions.begin()->first <= this->Cluster.now())
        this->ScheduledActions.extract(this->ScheduledActions.begin())
            .mapped()();
    }
  }

  [[nodiscard]] bool allGroupsServe() const {
    return this->Cluster.minTargetCount() == this->Cluster.possibleGroups() &&
           this->Cluster.servingGroups() == this->Cluster.possibleGroups();
  }

  void recoverAndCheck() {
    this->advance(LongPause);
    this->Cluster.heal();
    auto AllServing = [this] { return this->allGroupsServe(); };
    if (!this->Cluster.runUntil(AllServing, minutes(2)) && !this->Fencing) {
      // Without fencing, orders are never resent: after a lost order the engine
      // must be restarted.
      const OrderTracker &Orders =
          this->Cluster.entryHost(this->Cluster.holder()).Planner->orders();
      for (const auto &[Name, Engine] : this->Cluster.Engines)
        if (Engine.isRunning() && Orders.mayArriveLate(Engine.Status))
          this->Cluster.restart(Name);
      this->Cluster.runUntil(AllServing, minutes(2));
    }
    if (!this->Cluster.Violations.empty())
      this->Result.Violation = this->Cluster.Violations.front();
    else if (!this->allGroupsServe())
      this->Result.Violation = "only " +
                               std::to_string(this->Cluster.servingGroups()) +
                               " groups serve in the end";
  }

  FleetCluster Cluster;
  bool Fencing;
  std::span<const FaultInjection> Injections;
  std::multimap<TimePoint, std::function<void()>> ScheduledActions;
  bool InjectionEnabled = false;
  Observation Result;
};

class FleetScript : public Script {
public:
  FleetScript(Workload Definition, bool Fencing)
      : Definition(std::move(Definition)), Fencing(Fencing),
        Name(std::string(this->Definition.Name) +
             (Fencing ? "" : "-unfenced")) {}

  [[nodiscard]] std::string_view name() const override { return this->Name; }
  [[nodiscard]] std::span<const std::string_view> faults() const override {
    return Faults;
  }
  [[nodiscard]] bool pairs() const override {
    return this->Definition.Name == "fleet-repairing";
  }
  [[nodiscard]] Observation
  run(std::uint64_t Seed,
      std::span<const FaultInjection> Injections) const override {
    return Cell(Seed, this->Fencing, Injections).run(this->Definition);
  }

private:
  Workload Definition;
  bool Fencing;
  std::string Name;
};

bool registerAll() {
  for (const Workload &Each : workloads())
    for (bool Fencing : {true, false})
      registerScript(std::make_unique<FleetScript>(Each, Fencing));
  return true;
}

const bool Registered = registerAll();

} // namespace
} // namespace carobhinge::matrix
