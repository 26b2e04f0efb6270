//===- Tests/LibFormation/TestFormationPlanner.cpp - Groups and takeover --===//
///
/// \file
/// Guards against engines in two groups, orders that violate the protocol and
/// capacity that is not restored. Covers formation and repair of groups and
/// changes of leader, with simulated engines that follow the protocol.
///
//===----------------------------------------------------------------------===//

#include "FormationWorld.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

using namespace carobhinge;
using std::chrono::seconds;

/// Three failure domains with two fabric domains of nine engines each.
static void addAllDomains(FormationWorld &World) {
  for (const char *FailureDomain : {"a", "b", "c"})
    for (const char *Fabric : {"1", "2"})
      World.addEngines(FailureDomain, std::string(FailureDomain) + Fabric, 9);
}

static void startService(FormationWorld &World) {
  addAllDomains(World);
  World.run(seconds(25));
  World.Planner->markTrafficStarted();
}

TEST(FormationPlanner, EachFabricDomainServesOneModelAndEachFailureDomainBoth) {
  FormationWorld World;
  startService(World);
  EXPECT_EQ(World.countOpenGroups("large"), 6);
  EXPECT_EQ(World.countOpenGroups("small"), 9);
  std::map<FabricDomainName, std::set<ModelName>> ModelsByFabric;
  std::map<char, std::set<ModelName>> ModelsByFailureDomain;
  for (const auto &[Name, Group] : World.Planner->groups()) {
    ModelsByFabric[Group.Fabric].insert(Group.Model);
    ModelsByFailureDomain[Group.Fabric.front()].insert(Group.Model);
  }
  for (const auto &[Fabric, Served] : ModelsByFabric)
    EXPECT_EQ(Served.size(), 1U) << Fabric;
  for (const auto &[FailureDomain, Served] : ModelsByFailureDomain)
    EXPECT_EQ(Served.size(), 2U) << FailureDomain;
  EXPECT_TRUE(World.violations().empty());
}

TEST(FormationPlanner, FormsNoGroupsWhileEnginesAppear) {
  FormationWorld World;
  World.addEngines("a", "a1", 4);
  World.run(std::chrono::milliseconds(500));
  World.addEngines("a", "a1", 5);
  World.run(std::chrono::milliseconds(500));
  EXPECT_TRUE(World.Orders.empty());
  World.run(seconds(1));
  EXPECT_FALSE(World.Orders.empty());
}

TEST(FormationPlanner,
     LostMemberIsReplacedWithinOneSecondAndGroupKeepsItsName) {
  FormationWorld World;
  startService(World);
  EndpointName Victim = World.anyMemberExceptHead("large");
  GroupName Name = World.Engines.at(Victim).Report.Group->Group;
  std::uint64_t Epoch = World.Planner->groups().at(Name).Epoch;
  World.crash(Victim);
  World.run(seconds(1));
  const PlannedGroup &Repaired = World.Planner->groups().at(Name);
  EXPECT_EQ(Repaired.Phase, GroupPhase::Open);
  EXPECT_GT(Repaired.Epoch, Epoch);
  EXPECT_EQ(World.countOpenGroups("large"), 6);
  EXPECT_TRUE(World.violations().empty());
}

TEST(FormationPlanner, MembersOfADissolvedGroupReplaceLaterLosses) {
  FormationWorld World;
  startService(World);
  // The domain has three full groups and no reserves, so the first loss
  // dissolves a group and leaves two of its members as reserves.
  World.crash(World.anyMemberExceptHead("small"));
  World.run(seconds(2));
  EXPECT_EQ(World.countOpenGroups("small"), 8);
  World.crash(World.anyMemberExceptHead("small"));
  World.run(seconds(2));
  World.crash(World.anyMemberExceptHead("small"));
  World.run(seconds(2));
  EXPECT_EQ(World.countOpenGroups("small"), 8);
  EXPECT_TRUE(World.violations().empty());
}

TEST(FormationPlanner, LoadsDuringServiceAreBounded) {
  FormationWorld World;
  startService(World);
  World.addEngines("a", "a1", 9);
  World.addEngines("b", "b1", 9);
  int MaxLoading = 0;
  for (int I = 0; I < 150; ++I) {
    World.run(std::chrono::milliseconds(100));
    MaxLoading = std::max(MaxLoading, World.countLoading());
  }
  EXPECT_GT(MaxLoading, 0);
  EXPECT_LE(MaxLoading, 6);
}

/// The large model has 24 engines for 0.57 of the load and the small model 27
/// for 0.43, so that the limited number of concurrent loads must all go to the
/// large model when new engines appear in all domains.
TEST(FormationPlanner, LoadsGoToTheModelWithTheLowestCapacityForItsShare) {
  FormationWorld World;
  startService(World);
  for (const char *FailureDomain : {"a", "b", "c"})
    for (const char *Fabric : {"1", "2"})
      World.addEngines(FailureDomain, std::string(FailureDomain) + Fabric, 3);
  World.run(seconds(4));
  std::map<ModelName, int> Loading;
  for (const auto &[Id, Engine] : World.Engines)
    if (Engine.Alive && Engine.Report.Group &&
        Engine.Report.Group->State == MemberState::Joining)
      ++Loading[World.loadedModel(Id)];
  EXPECT_EQ(Loading["large"], 6);
  EXPECT_EQ(Loading["small"], 0);
}

/// After a partition the engines of a fabric domain reconnect one by one. At
/// first there are too few of them for a group of the large model, and the
/// planner must not assign the small one.
TEST(FormationPlanner, ReconnectedDomainKeepsItsModel) {
  FormationWorld World;
  startService(World);
  FabricDomainName Fabric = World.Planner->groups().begin()->second.Fabric;
  for (const auto &[Name, Group] : World.Planner->groups())
    if (Group.Model == "large")
      Fabric = Group.Fabric;
  std::vector<EndpointName> Disconnected;
  for (const auto &[Id, Engine] : World.Engines)
    if (Engine.Report.Fabric == Fabric)
      Disconnected.push_back(Id);
  for (const EndpointName &Id : Disconnected)
    World.setPartitioned(Id, true);
  World.run(seconds(4));
  ASSERT_EQ(World.countOpenGroups("large"), 4);
  for (const EndpointName &Id : Disconnected) {
    World.setPartitioned(Id, false);
    World.run(std::chrono::milliseconds(200));
  }
  World.run(seconds(5));
  EXPECT_EQ(World.countOpenGroups("large"), 6);
  EXPECT_EQ(World.countOpenGroups("small"), 9);
  EXPECT_TRUE(World.violations().empty());
}

/// \returns the orders since the first \p Before that aren't about reserves.
static std::vector<EngineOrder> servingOrders(const FormationWorld &World,
                                              std::size_t Before) {
  std::vector<EngineOrder> Result;
  for (std::size_t I = Before; I < World.Orders.size(); ++I)
    if (!isReserveName(World.Orders[I].Group))
      Result.push_back(World.Orders[I]);
  return Result;
}

// Guards against orders to leave for engines that a leader didn't hear, and
// that went on with their requests meanwhile.
RC_GTEST_PROP(FormationPlanner, SilentGroupsGoOnWithoutOrders, ()) {
  FormationWorld World;
  startService(World);
  std::size_t OrdersBefore = World.Orders.size();
  std::vector<EndpointName> Silent;
  std::vector<GroupName> Names;
  for (const auto &[Name, Group] : World.Planner->groups())
    if (*rc::gen::arbitrary<bool>()) {
      Names.push_back(Name);
      Silent.insert(Silent.end(), Group.Members.begin(), Group.Members.end());
    }
  auto Draw = [](int To) {
    return std::chrono::milliseconds(100 * *rc::gen::inRange(0, To));
  };
  std::mt19937 Random(*rc::gen::arbitrary<unsigned>());
  std::ranges::shuffle(Silent, Random);
  // All of a group are silent before the first of them is called lost.
  for (const EndpointName &Id : Silent)
    World.Engines.at(Id).Partitioned = true;
  World.run(Draw(20));
  for (const EndpointName &Id : Silent)
    World.setPartitioned(Id, true);
  World.run(Draw(80));
  for (const GroupName &Name : Names)
    RC_ASSERT(World.Planner->groups().at(Name).Phase == GroupPhase::Silent ||
              World.Planner->groups().at(Name).Phase == GroupPhase::Open);
  // They are heard again within the time of a report of each other.
  TimePoint FoundAt = World.Now;
  for (const EndpointName &Id : Silent) {
    if (World.Now - FoundAt < std::chrono::milliseconds(1200))
      World.run(Draw(3));
    World.setPartitioned(Id, false);
  }
  World.run(seconds(4));
  RC_ASSERT(servingOrders(World, OrdersBefore).empty());
  for (const GroupName &Name : Names)
    RC_ASSERT(World.Planner->groups().at(Name).Phase == GroupPhase::Open);
}

// Guards against a group that waits for ever for the member that ended while
// all of them were out of reach.
TEST(FormationPlanner, MemberThatStaysSilentWhenOthersAreHeardIsReplaced) {
  FormationWorld World;
  startService(World);
  EndpointName Victim = World.anyMemberExceptHead("large");
  GroupName Name = World.Engines.at(Victim).Report.Group->Group;
  std::vector<EndpointName> Members = World.Planner->groups().at(Name).Members;
  for (const EndpointName &Id : Members)
    World.setPartitioned(Id, true);
  World.run(seconds(3));
  EXPECT_EQ(World.Planner->groups().at(Name).Phase, GroupPhase::Silent);
  for (const EndpointName &Id : Members)
    if (Id != Victim)
      World.setPartitioned(Id, false);
  World.run(EndingSilence - std::chrono::milliseconds(100));
  EXPECT_EQ(World.Planner->groups().at(Name).Phase, GroupPhase::Silent);
  World.run(seconds(2));
  EXPECT_EQ(World.Planner->groups().at(Name).Phase, GroupPhase::Open);
  EXPECT_EQ(
      std::ranges::count(World.Planner->groups().at(Name).Members, Victim), 0);
  EXPECT_TRUE(World.violations().empty());
}

// Guards against a refusal that is not passed on because the engine was lost by
// silence before.
TEST(FormationPlanner, LossIsNewsWhenItsReasonBecomesARefusal) {
  FormationWorld World;
  EngineLoss Silent;
  EngineLoss Refused;
  Refused.Reason = LossReason::Refused;
  EXPECT_TRUE(World.Planner->markEngineLost("x", Silent));
  EXPECT_FALSE(World.Planner->markEngineLost("x", Silent));
  EXPECT_TRUE(World.Planner->markEngineLost("x", Refused));
  EXPECT_FALSE(World.Planner->markEngineLost("x", Refused));
  EXPECT_FALSE(World.Planner->markEngineLost("x", Silent));
}

// Guards against a group that is kept although one of its silent members is
// known to have ended.
TEST(FormationPlanner, RefusalOfOneMemberBreaksASilentGroup) {
  FormationWorld World;
  startService(World);
  EndpointName Victim = World.anyMemberExceptHead("large");
  GroupName Name = World.Engines.at(Victim).Report.Group->Group;
  std::vector<EndpointName> Members = World.Planner->groups().at(Name).Members;
  for (const EndpointName &Id : Members)
    World.setPartitioned(Id, true);
  World.run(seconds(1));
  World.crash(Victim);
  World.run(seconds(1));
  EXPECT_EQ(World.countOpenGroups("large"), 5);
  EXPECT_FALSE(World.Planner->groups().contains(Name));
}

// Guards against a dead failure domain whose groups are never given up.
TEST(FormationPlanner, ForgottenEnginesEndTheirSilentGroup) {
  FormationWorld World;
  startService(World);
  std::set<GroupName> Names;
  for (const auto &[Name, Group] : World.Planner->groups())
    if (Group.Fabric.front() == 'a')
      Names.insert(Name);
  TimePoint CutAt = World.Now;
  for (const auto &[Id, Engine] : World.Engines)
    if (Engine.Report.Fabric.front() == 'a')
      World.setPartitioned(Id, true);
  World.run(seconds(10));
  for (const GroupName &Name : Names)
    EXPECT_EQ(World.Planner->groups().at(Name).Phase, GroupPhase::Silent);
  World.Registry.expire(CutAt + seconds(1), CutAt + seconds(1));
  World.run(seconds(1));
  for (const GroupName &Name : Names)
    EXPECT_FALSE(World.Planner->groups().contains(Name)) << Name;
}

// Guards against a group that one member holds up for seconds while all of them
// answer, so that nobody calls it broken.
TEST(FormationPlanner, GroupThatStandsStillIsFormedAnewOfTheSameEngines) {
  FormationWorld World;
  startService(World);
  EndpointName Member = World.anyMemberExceptHead("large");
  GroupName Name = World.Engines.at(Member).Report.Group->Group;
  PlannedGroup Before = World.Planner->groups().at(Name);
  EXPECT_TRUE(World.Planner->markStandingStill(Name, Before.Epoch));
  EXPECT_FALSE(World.Planner->markStandingStill(Name, Before.Epoch));
  World.run(seconds(3));
  const PlannedGroup &After = World.Planner->groups().at(Name);
  EXPECT_EQ(After.Phase, GroupPhase::Open);
  EXPECT_EQ(After.Members, Before.Members);
  EXPECT_GT(After.Epoch, Before.Epoch);
  // The finding holds for the old member list only.
  World.run(seconds(3));
  EXPECT_EQ(World.Planner->groups().at(Name).Epoch, After.Epoch);
  EXPECT_TRUE(World.violations().empty());
}

TEST(FormationPlanner, ReconnectedEngineLeavesItsOldGroupFirst) {
  FormationWorld World;
  startService(World);
  // The head of an open group is unreachable while its group is dissolved.
  GroupName Name;
  for (const auto &[GroupId, Group] : World.Planner->groups())
    if (Group.Model == "small")
      Name = GroupId;
  EndpointName Head = World.Planner->groups().at(Name).head();
  World.setPartitioned(Head, true);
  World.run(seconds(3));
  World.setPartitioned(Head, false);
  World.run(seconds(5));
  EXPECT_TRUE(World.violations().empty()) << World.violations().front();
}

TEST(FormationPlanner, NewLeaderKeepsOpenGroups) {
  FormationWorld World;
  startService(World);
  std::size_t OrdersBefore = World.Orders.size();
  World.changeLeader();
  World.run(std::chrono::milliseconds(200));
  EXPECT_EQ(World.countOpenGroups("large"), 6);
  EXPECT_EQ(World.countOpenGroups("small"), 9);
  World.run(seconds(4));
  for (std::size_t I = OrdersBefore; I < World.Orders.size(); ++I)
    EXPECT_TRUE(isReserveName(World.Orders[I].Group)) << World.Orders[I].Group;
}

/// After a restart of all control hosts the engines report one after the other.
/// A group serves as soon as its head has reported.
TEST(FormationPlanner, GroupServesBeforeAllItsMembersHaveReported) {
  FormationWorld World;
  startService(World);
  EndpointName Silent = World.anyMemberExceptHead("large");
  GroupName Name = World.Engines.at(Silent).Report.Group->Group;
  World.restartControlWithoutReportOf(Silent, seconds(3));
  World.run(std::chrono::milliseconds(200));
  EXPECT_EQ(World.Planner->groups().at(Name).Phase, GroupPhase::Open);
  EXPECT_EQ(World.countOpenGroups("large"), 6);
  // The member reports before the takeover is complete: nothing changes.
  std::size_t OrdersBefore = World.Orders.size();
  World.run(seconds(6));
  for (std::size_t I = OrdersBefore; I < World.Orders.size(); ++I)
    EXPECT_TRUE(isReserveName(World.Orders[I].Group)) << World.Orders[I].Group;
  EXPECT_TRUE(World.violations().empty());
}

/// A member that was lost while no control host ran is replaced.
TEST(FormationPlanner, MemberLostDuringARestartIsReplaced) {
  FormationWorld World;
  startService(World);
  EndpointName Victim = World.anyMemberExceptHead("large");
  GroupName Name = World.Engines.at(Victim).Report.Group->Group;
  World.crash(Victim);
  World.restartControlWithoutReportOf(Victim, seconds(3));
  World.run(seconds(5));
  EXPECT_EQ(World.Planner->groups().at(Name).Phase, GroupPhase::Open);
  EXPECT_EQ(World.countOpenGroups("large"), 6);
  EXPECT_TRUE(World.violations().empty());
}

TEST(FormationPlanner, NewLeaderUsesOnlyEnginesThatReportedSinceTakeover) {
  FormationWorld World;
  startService(World);
  // The change of leader falls between two reports of the engine.
  World.run(std::chrono::milliseconds(300));
  World.changeLeaderWithStaleReport(World.anyMemberExceptHead("large"));
  World.run(seconds(5));
  EXPECT_EQ(World.countOpenGroups("large"), 6);
  for (const EngineOrder &Order : World.Orders)
    EXPECT_NE(Order.Verb, OrderVerb::Leave) << Order.Group;
  EXPECT_TRUE(World.violations().empty()) << World.violations().front();
}

TEST(FormationPlanner, DelayedOrderChangesNothing) {
  FormationWorld World;
  startService(World);
  std::vector<EngineOrder> Old = World.Orders;
  World.crash(World.anyMemberExceptHead("large"));
  World.run(seconds(3));
  for (const EngineOrder &Order : Old)
    if (!isReserveName(Order.Group))
      World.deliver(Order);
  World.run(seconds(3));
  EXPECT_EQ(World.countOpenGroups("large"), 6);
  EXPECT_TRUE(World.violations().empty()) << World.violations().front();
}

TEST(FormationPlanner, MemberThatFailsToJoinIsQuarantined) {
  FormationWorld World;
  startService(World);
  EndpointName Victim = World.anyMemberExceptHead("large");
  FabricDomainName Fabric = World.Engines.at(Victim).Report.Fabric;
  std::set<EndpointName> Reserves;
  for (const auto &[Id, Engine] : World.Engines)
    if (Engine.Report.Fabric == Fabric && Engine.Report.Group &&
        isReserveName(Engine.Report.Group->Group))
      Reserves.insert(Id);
  World.dropOrdersIf([&](const EngineOrder &Order) {
    return Reserves.contains(Order.Recipient) && !isReserveName(Order.Group);
  });
  World.crash(Victim);
  World.run(seconds(10));
  // The other group of the domain stays open and no engine joins two groups.
  EXPECT_EQ(World.countOpenGroups("large"), 5);
  EXPECT_TRUE(World.violations().empty()) << World.violations().front();
}

/// Random sequences of crashes, partitions, lost and delayed orders, changes of
/// leader and new engines must not violate the protocol.
RC_GTEST_PROP(FormationPlanner, ProtocolHoldsUnderRandomFaults, ()) {
  FormationWorld World;
  startService(World);
  int Steps = *rc::gen::inRange(1, 25);
  std::mt19937 Random(*rc::gen::arbitrary<unsigned>());
  std::vector<EngineOrder> DroppedOrders;
  World.dropOrdersIf([&](const EngineOrder &Order) {
    if (Random() % 5 != 0)
      return false;
    DroppedOrders.push_back(Order);
    return true;
  });
  auto AnyEngine = [&] {
    return std::next(World.Engines.begin(),
                     static_cast<long>(Random() % World.Engines.size()))
        ->first;
  };
  for (int Step = 0; Step < Steps; ++Step) {
    switch (Random() % 6) {
    case 0:
      World.crash(AnyEngine());
      break;
    case 1:
      World.setPartitioned(AnyEngine(), true);
      break;
    case 2: {
      EndpointName Id = AnyEngine();
      if (World.Engines.at(Id).Alive)
        World.setPartitioned(Id, false);
      break;
    }
    case 3:
      World.changeLeader();
      break;
    case 4:
      World.addEngines("b", "b2", 1);
      break;
    default:
      // Orders that were dropped before are delivered late.
      for (const EngineOrder &Order : std::exchange(DroppedOrders, {}))
        World.deliver(Order);
    }
    World.run(std::chrono::milliseconds(Random() % 3000));
  }
  RC_ASSERT(World.violations() == std::vector<std::string>());
}
