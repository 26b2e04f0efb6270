//===- Tests/LibFleet/TestGroupPlanner.cpp - Planner under faults ---------===//
///
/// \file
/// Runs the planners and directories of one failure domain in a simulated
/// cluster that checks the invariants over time. Guards against two active
/// planners, conflicting orders and cut-off requests.
///
//===----------------------------------------------------------------------===//

#include <FleetCluster/FleetCluster.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;
using std::chrono::minutes;
using std::chrono::seconds;

static void expectAllGroupsServing(FleetCluster &Cluster, Duration Limit) {
  bool IsComplete = Cluster.runUntil(
      [&Cluster] {
        return Cluster.minTargetCount() == Cluster.possibleGroups();
      },
      Limit);
  EXPECT_TRUE(IsComplete) << Cluster.minTargetCount() << " targets of "
                          << Cluster.possibleGroups();
  EXPECT_EQ(Cluster.Violations, std::vector<std::string>());
}

TEST(GroupPlanner, FormsGroupsOfAllEngines) {
  FleetCluster Cluster({.EnginesPerFabric = 6});
  expectAllGroupsServing(Cluster, minutes(2));
  EXPECT_EQ(Cluster.minTargetCount(), 3U);
}

namespace {

/// A fault or change in the failure domain, see applyFault().
struct Fault {
  std::uint32_t Kind = 0;
  std::uint32_t Index = 0;
  std::uint32_t SecondsAfter = 0;
};

std::ostream &operator<<(std::ostream &Out, const Fault &Printed) {
  return Out << "{" << Printed.Kind << ", " << Printed.Index << ", "
             << Printed.SecondsAfter << "}";
}

} // namespace

static EndpointName engineName(const FleetCluster &Cluster,
                               std::uint32_t Index) {
  return std::next(Cluster.Engines.begin(), Index % Cluster.Engines.size())
      ->first;
}

static void applyFault(FleetCluster &Cluster, const Fault &Injected) {
  EndpointName Engine = engineName(Cluster, Injected.Index);
  HostName Host = "entry-" + std::to_string(1 + Injected.Index % 3);
  switch (Injected.Kind) {
  case 0:
    return Cluster.kill(Engine);
  case 1:
    return Cluster.restart(Engine);
  case 2:
    return Cluster.pause(Engine);
  case 3:
    return Cluster.resume(Engine);
  case 4:
    return Cluster.leave(Engine);
  case 5:
    return Cluster.engine(Engine).coolDown(Cluster.now());
  case 6:
    return Cluster.restartEntryHost(Host);
  case 7:
    return Cluster.setFrozen(Host, true);
  case 8:
    return Cluster.setFrozen(Host, false);
  case 9:
    return Cluster.cut(Host, "control");
  case 10:
    return Cluster.cut("entry-1", "entry-2");
  default:
    return Cluster.heal();
  }
}

/// Ends all partitions and pauses, and stops engines that are leaving.
static void recover(FleetCluster &Cluster) {
  Cluster.heal();
  for (auto &[Name, Host] : Cluster.EntryHosts)
    Host.Frozen = false;
  for (auto &[Name, Engine] : Cluster.Engines) {
    Engine.resume();
    if (Engine.Status.Leaving)
      Cluster.kill(Name);
  }
}

static void checkConvergence(bool ChecksFencing) {
  auto Faults = *rc::gen::container<std::vector<Fault>>(rc::gen::build<Fault>(
      rc::gen::set(&Fault::Kind, rc::gen::inRange<std::uint32_t>(0, 12)),
      rc::gen::set(&Fault::Index, rc::gen::inRange<std::uint32_t>(0, 12)),
      rc::gen::set(&Fault::SecondsAfter,
                   rc::gen::inRange<std::uint32_t>(0, 30))));
  FleetCluster Cluster({.Seed = *rc::gen::arbitrary<std::uint64_t>(),
                        .EntryHosts = 3,
                        .FabricDomains = 2,
                        .EnginesPerFabric = 5,
                        .ChecksFencing = ChecksFencing});
  for (const Fault &Each : Faults) {
    Cluster.run(seconds(Each.SecondsAfter));
    applyFault(Cluster, Each);
  }
  recover(Cluster);
  // An engine without fencing whose order was lost stays idle until it is
  // restarted, see OrderTracker.
  if (!ChecksFencing)
    for (auto &[Name, Engine] : Cluster.Engines)
      if (Engine.Alive)
        Cluster.restart(Name);
  Cluster.run(minutes(4));
  RC_ASSERT(Cluster.Violations == std::vector<std::string>());
  RC_ASSERT(Cluster.minTargetCount() == Cluster.possibleGroups());
  RC_ASSERT(Cluster.servingGroups() == Cluster.possibleGroups());
}

RC_GTEST_PROP(GroupPlanner, ConvergesAfterAnyFaults, ()) {
  checkConvergence(true);
}

RC_GTEST_PROP(GroupPlanner, ConvergesAfterAnyFaultsWithoutFencing, ()) {
  checkConvergence(false);
}

static const RosterGroup &onlyGroup(FleetCluster &Cluster) {
  return Cluster.entryHost("entry-1").Directory->roster().Groups.at(0);
}

TEST(GroupPlanner, SpareReplacesLostMember) {
  FleetCluster Cluster({.EnginesPerFabric = 3});
  expectAllGroupsServing(Cluster, minutes(2));
  RosterGroup Before = onlyGroup(Cluster);
  Cluster.kill(Before.Members[1].Endpoint);
  EXPECT_TRUE(Cluster.runUntil(
      [&] { return onlyGroup(Cluster).Number != Before.Number; }, seconds(20)));
  expectAllGroupsServing(Cluster, minutes(1));
  RosterGroup After = onlyGroup(Cluster);
  EXPECT_EQ(After.Group, Before.Group);
  EXPECT_EQ(After.Members[0], Before.Members[0]);
  EXPECT_NE(After.Members[1].Endpoint, Before.Members[1].Endpoint);
  // The replaced member returns and must not disturb the group.
  Cluster.restart(Before.Members[1].Endpoint);
  Cluster.run(minutes(1));
  EXPECT_EQ(onlyGroup(Cluster), After);
}

TEST(GroupPlanner, PausedMemberKeepsItsPosition) {
  FleetCluster Cluster({.EnginesPerFabric = 3});
  expectAllGroupsServing(Cluster, minutes(2));
  RosterGroup Before = onlyGroup(Cluster);
  Cluster.pause(Before.Members[1].Endpoint);
  EXPECT_TRUE(Cluster.runUntil([&] { return Cluster.minTargetCount() == 0; },
                               seconds(4)));
  Cluster.run(seconds(4));
  Cluster.resume(Before.Members[1].Endpoint);
  expectAllGroupsServing(Cluster, seconds(3));
  EXPECT_EQ(onlyGroup(Cluster), Before);
}

TEST(GroupPlanner, ReplacedMemberIsOrderedToLeaveAfterPause) {
  FleetCluster Cluster({.EnginesPerFabric = 3});
  expectAllGroupsServing(Cluster, minutes(2));
  EndpointName Paused = onlyGroup(Cluster).Members[1].Endpoint;
  Cluster.pause(Paused);
  Cluster.run(minutes(1));
  Cluster.resume(Paused);
  EXPECT_TRUE(Cluster.runUntil(
      [&] { return Cluster.engine(Paused).Status.Position.Group.empty(); },
      seconds(5)));
  expectAllGroupsServing(Cluster, minutes(1));
}

TEST(GroupPlanner, SurvivorsOfTwoGroupsFormOne) {
  FleetCluster Cluster({.EnginesPerFabric = 4});
  expectAllGroupsServing(Cluster, minutes(2));
  for (const RosterGroup &Each :
       Cluster.entryHost("entry-1").Directory->roster().Groups)
    Cluster.kill(Each.Members[0].Endpoint);
  EXPECT_EQ(Cluster.possibleGroups(), 1U);
  Cluster.run(seconds(20));
  expectAllGroupsServing(Cluster, minutes(1));
}

TEST(GroupPlanner, UnreachableFabricDomainRecoversWithoutLoading) {
  FleetCluster Cluster({.EnginesPerFabric = 4});
  expectAllGroupsServing(Cluster, minutes(2));
  std::vector<RosterGroup> Before =
      Cluster.entryHost("entry-1").Directory->roster().Groups;
  for (auto &[Name, Engine] : Cluster.Engines)
    Cluster.pause(Name);
  Cluster.run(minutes(2));
  EXPECT_EQ(Cluster.minTargetCount(), 0U);
  for (auto &[Name, Engine] : Cluster.Engines)
    Cluster.resume(Name);
  expectAllGroupsServing(Cluster, seconds(5));
  EXPECT_EQ(Cluster.entryHost("entry-1").Directory->roster().Groups, Before);
}

TEST(GroupPlanner, PlannedChangesCutOffNoRequests) {
  FleetCluster Cluster({.EnginesPerFabric = 5, .RequestsPerSecond = 20});
  expectAllGroupsServing(Cluster, minutes(2));
  Cluster.leave(onlyGroup(Cluster).Members[0].Endpoint);
  Cluster.run(seconds(40));
  FleetIntent Newer = Cluster.Intent;
  Newer.Services["sheets"].Version = "v2";
  Cluster.setIntent(Newer);
  Cluster.run(minutes(3));
  expectAllGroupsServing(Cluster, minutes(1));
  EXPECT_GT(Cluster.RequestsStarted, 100U);
  for (const auto &[Name, Engine] : Cluster.Engines)
    EXPECT_TRUE(Engine.Status.Leaving || Engine.Status.Position.Group.empty() ||
                Engine.Status.Version == "v2")
        << Name;
}

TEST(GroupPlanner, DrainWaitsForStalledEntryHost) {
  FleetCluster Cluster({.EnginesPerFabric = 3, .RequestsPerSecond = 20});
  expectAllGroupsServing(Cluster, minutes(2));
  EndpointName Leaving = onlyGroup(Cluster).Members[0].Endpoint;
  Cluster.setFrozen("entry-2", true);
  Cluster.run(seconds(1));
  Cluster.leave(Leaving);
  Cluster.run(minutes(1));
  EXPECT_FALSE(Cluster.engine(Leaving).Status.Position.Group.empty());
  Cluster.setFrozen("entry-2", false);
  Cluster.run(seconds(10));
  expectAllGroupsServing(Cluster, minutes(1));
  EXPECT_TRUE(Cluster.engine(Leaving).Status.Position.Group.empty());
}

TEST(GroupPlanner, DrainedDomainKeepsItsGroupsWithoutNewRequests) {
  FleetCluster Cluster({.RequestsPerSecond = 20});
  expectAllGroupsServing(Cluster, minutes(2));
  FleetIntent Changed = Cluster.Intent;
  Changed.IsDomainDrained = true;
  Cluster.setIntent(Changed);
  Cluster.run(seconds(10));
  std::uint64_t Started = Cluster.RequestsStarted;
  Cluster.run(minutes(1));
  EXPECT_EQ(Cluster.RequestsStarted, Started);
  EXPECT_EQ(Cluster.servingGroups(), 2U);
  Changed.IsDomainDrained = false;
  Cluster.setIntent(Changed);
  Cluster.run(seconds(10));
  EXPECT_GT(Cluster.RequestsStarted, Started);
}

TEST(GroupPlanner, IsolatedDomainContinuesPlanning) {
  FleetCluster Cluster({.EnginesPerFabric = 3});
  expectAllGroupsServing(Cluster, minutes(2));
  Cluster.cut("entry-1", "control");
  Cluster.cut("entry-2", "control");
  Cluster.run(seconds(20));
  Cluster.kill(onlyGroup(Cluster).Members[1].Endpoint);
  Cluster.run(seconds(20));
  expectAllGroupsServing(Cluster, minutes(1));
}

/// Guards against two active planners: a grant holder that was frozen resumes
/// after another host got the grant. Engines with fencing must refuse its
/// orders, and it must not send any to engines without fencing.
TEST(GroupPlanner, EarlierGrantHolderIsFenced) {
  for (bool ChecksFencing : {true, false}) {
    FleetCluster Cluster(
        {.EnginesPerFabric = 5, .ChecksFencing = ChecksFencing});
    Cluster.run(seconds(8));
    HostName Earlier = Cluster.holder();
    Cluster.setFrozen(Earlier, true);
    Cluster.run(seconds(30));
    EXPECT_NE(Cluster.holder(), Earlier);
    Cluster.setFrozen(Earlier, false);
    Cluster.run(seconds(10));
    expectAllGroupsServing(Cluster, minutes(2));
  }
}

/// Guards against two orders in progress to one engine without fencing: the
/// first order arrives a minute late, after the grant has moved.
TEST(GroupPlanner, NoSecondOrderWhileFirstMayArrive) {
  FleetCluster Cluster({.EnginesPerFabric = 3, .ChecksFencing = false});
  bool Delayed = false;
  EndpointName LateEngine;
  Cluster.OnSend = [&](const Envelope &Message, MessageFault &AppliedFault) {
    if (Message.Kind != MessageKind::Order || Delayed)
      return;
    Delayed = true;
    LateEngine = Message.To;
    AppliedFault.Delay = minutes(1);
  };
  Cluster.run(seconds(30));
  ASSERT_TRUE(Delayed);
  HostName Earlier = Cluster.holder();
  Cluster.killEntryHost(Earlier);
  Cluster.run(seconds(20));
  EXPECT_EQ(Cluster.engine(LateEngine).Status.LastOrder, 0U);
  Cluster.run(minutes(2));
  Cluster.restartEntryHost(Earlier);
  expectAllGroupsServing(Cluster, minutes(1));
}

TEST(GroupPlanner, LimitsConcurrentWeightLoads) {
  FleetClusterOptions Options = {.FabricDomains = 2, .EnginesPerFabric = 8};
  Options.Planner.MaxConcurrentLoads = 3;
  FleetCluster Cluster(Options);
  std::uint32_t MaxLoading = 0;
  for (int I = 0; I < 400; ++I) {
    Cluster.run(std::chrono::milliseconds(500));
    std::uint32_t Loading = 0;
    for (const auto &[Name, Engine] : Cluster.Engines)
      Loading += !Engine.Status.Position.Group.empty() &&
                         Engine.Status.State == Readiness::Starting
                     ? 1
                     : 0;
    MaxLoading = std::max(MaxLoading, Loading);
  }
  EXPECT_EQ(MaxLoading, 3U);
  expectAllGroupsServing(Cluster, minutes(1));
}

/// While the control log is unreachable, engines without fencing get no orders.
TEST(GroupPlanner, UnrecordedOrderIsNotSent) {
  FleetCluster Cluster({.EnginesPerFabric = 3, .ChecksFencing = false});
  expectAllGroupsServing(Cluster, minutes(2));
  Cluster.cut("entry-1", "control");
  Cluster.cut("entry-2", "control");
  std::uint32_t Orders = 0;
  Cluster.OnSend = [&Orders](const Envelope &Message, MessageFault &) {
    Orders += Message.Kind == MessageKind::Order ? 1 : 0;
  };
  Cluster.kill(onlyGroup(Cluster).Members[1].Endpoint);
  Cluster.run(minutes(1));
  EXPECT_EQ(Orders, 0U);
  Cluster.heal();
  expectAllGroupsServing(Cluster, minutes(2));
  EXPECT_GT(Orders, 0U);
}

/// A holder that is cut off from the control log and from another entry host
/// makes no changes, because that host may hold a newer grant.
TEST(GroupPlanner, HolderWithoutConfirmationStops) {
  FleetCluster Cluster({.EnginesPerFabric = 3});
  expectAllGroupsServing(Cluster, minutes(2));
  HostName Holder = Cluster.holder();
  for (const HostName &Other :
       {HostName("control"), HostName("entry-1"), HostName("entry-2")})
    if (Other != Holder)
      Cluster.cut(Holder, Other);
  Cluster.run(seconds(10));
  Roster Before = Cluster.entryHost(Holder).Planner->roster();
  Cluster.kill(onlyGroup(Cluster).Members[1].Endpoint);
  Cluster.run(seconds(40));
  EXPECT_EQ(Cluster.entryHost(Holder).Planner->roster(), Before);
  EXPECT_NE(Cluster.holder(), Holder);
  Cluster.heal();
  expectAllGroupsServing(Cluster, minutes(2));
}

TEST(GroupPlanner, OnlyOneEndpointOfAHostIsInAGroup) {
  FleetCluster Cluster({.EnginesPerFabric = 3});
  Cluster.engine("engine-1-3").Status.Host = "shared";
  Cluster.engine("engine-1-2").Status.Host = "shared";
  expectAllGroupsServing(Cluster, minutes(2));
  bool First = Cluster.engine("engine-1-3").Status.Position.Group.empty();
  bool Second = Cluster.engine("engine-1-2").Status.Position.Group.empty();
  EXPECT_NE(First, Second);
}

/// Guards against a drain that ends too early: a report with the roster of a
/// newer planner does not prove that a group of the older roster is drained.
TEST(DrainTracker, RequiresSameRosterOnAllEntryHosts) {
  TimePoint Now(seconds(100));
  DrainTracker Tracker({"entry-1", "entry-2"}, seconds(10));
  using Status = DrainTracker::Status;
  auto StatusAfter = [&](std::uint64_t Epoch, std::uint64_t Sequence) {
    Tracker.recordReport(
        Now, {.EntryHost = "entry-2", .Epoch = Epoch, .Sequence = Sequence});
    return Tracker.drainStatus(Now, "g", 2, 5);
  };
  Tracker.recordReport(Now,
                       {.EntryHost = "entry-1", .Epoch = 2, .Sequence = 6});
  EXPECT_EQ(Tracker.drainStatus(Now, "g", 2, 5), Status::AwaitingStalledHosts);
  EXPECT_EQ(StatusAfter(2, 4), Status::Busy);
  EXPECT_EQ(StatusAfter(3, 9), Status::Busy);
  EXPECT_EQ(StatusAfter(2, 5), Status::Drained);
  EXPECT_EQ(Tracker.drainStatus(Now + seconds(10), "g", 2, 5),
            Status::AwaitingStalledHosts);
}

/// Guards against cut-off requests when a member leaves at any time around a
/// change of the grant.
TEST(GroupPlanner, LeaveDuringGrantChangeIsDrained) {
  for (int Quarters = 0; Quarters < 40; ++Quarters) {
    FleetCluster Cluster({.EnginesPerFabric = 5, .RequestsPerSecond = 20});
    expectAllGroupsServing(Cluster, minutes(2));
    Cluster.restartEntryHost(Cluster.holder());
    Cluster.run(std::chrono::milliseconds(250 * Quarters));
    Cluster.leave("engine-1-4");
    Cluster.run(seconds(20));
    EXPECT_EQ(Cluster.Violations, std::vector<std::string>()) << Quarters;
  }
}
