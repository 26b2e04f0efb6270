//===- Tests/LibFleet/TestGroupPlanner.cpp - Groups through faults --------===//
///
/// \file
/// The planner and the directories of one failure domain, with every invariant
/// checked as time passes.
///
//===----------------------------------------------------------------------===//

#include <FleetCluster/FleetCluster.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;
using std::chrono::minutes;
using std::chrono::seconds;

static void expectWhole(FleetCluster &Cluster, Duration Limit) {
  bool Whole = Cluster.runUntil(
      [&Cluster] {
        return Cluster.targetsEverywhere() == Cluster.possibleGroups();
      },
      Limit);
  EXPECT_TRUE(Whole) << Cluster.targetsEverywhere() << " targets of "
                     << Cluster.possibleGroups();
  EXPECT_EQ(Cluster.Violations, std::vector<std::string>());
}

TEST(GroupPlanner, FormsGroupsOfAllEngines) {
  FleetCluster Cluster({.EnginesPerFabric = 6});
  expectWhole(Cluster, minutes(2));
  EXPECT_EQ(Cluster.targetsEverywhere(), 3U);
}

namespace {

/// One thing that happens to the domain.
struct Event {
  std::uint32_t What = 0;
  std::uint32_t Which = 0;
  std::uint32_t SecondsAfter = 0;
};

std::ostream &operator<<(std::ostream &Out, const Event &Each) {
  return Out << "{" << Each.What << ", " << Each.Which << ", "
             << Each.SecondsAfter << "}";
}

} // namespace

static EndpointName engineName(const FleetCluster &Cluster,
                               std::uint32_t Which) {
  return std::next(Cluster.Engines.begin(), Which % Cluster.Engines.size())
      ->first;
}

static void happen(FleetCluster &Cluster, const Event &Each) {
  EndpointName Engine = engineName(Cluster, Each.Which);
  HostName Host = "entry-" + std::to_string(1 + Each.Which % 3);
  switch (Each.What) {
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
    return Cluster.engine(Engine).chill(Cluster.now());
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

/// Everything that can come back comes back.
static void recover(FleetCluster &Cluster) {
  Cluster.heal();
  for (auto &[Name, Host] : Cluster.EntryHosts)
    Host.Frozen = false;
  for (auto &[Name, Engine] : Cluster.Engines) {
    Engine.resume();
    if (Engine.Said.Leaving)
      Cluster.kill(Name);
  }
}

static void convergesWhatever(bool ChecksFencing) {
  auto Events = *rc::gen::container<std::vector<Event>>(rc::gen::build<Event>(
      rc::gen::set(&Event::What, rc::gen::inRange<std::uint32_t>(0, 12)),
      rc::gen::set(&Event::Which, rc::gen::inRange<std::uint32_t>(0, 12)),
      rc::gen::set(&Event::SecondsAfter,
                   rc::gen::inRange<std::uint32_t>(0, 30))));
  FleetCluster Cluster({.Seed = *rc::gen::arbitrary<std::uint64_t>(),
                        .EntryHosts = 3,
                        .FabricDomains = 2,
                        .EnginesPerFabric = 5,
                        .ChecksFencing = ChecksFencing});
  for (const Event &Each : Events) {
    Cluster.run(seconds(Each.SecondsAfter));
    happen(Cluster, Each);
  }
  recover(Cluster);
  // Engines without fencing whose order was lost are of no use until they are
  // restarted: that is the price of the stricter path.
  if (!ChecksFencing)
    for (auto &[Name, Engine] : Cluster.Engines)
      if (Engine.Alive)
        Cluster.restart(Name);
  Cluster.run(minutes(4));
  RC_ASSERT(Cluster.Violations == std::vector<std::string>());
  RC_ASSERT(Cluster.targetsEverywhere() == Cluster.possibleGroups());
  RC_ASSERT(Cluster.servingGroups() == Cluster.possibleGroups());
}

RC_GTEST_PROP(GroupPlanner, ConvergesAfterAnyFaults, ()) {
  convergesWhatever(true);
}

RC_GTEST_PROP(GroupPlanner, ConvergesAfterAnyFaultsWithoutFencing, ()) {
  convergesWhatever(false);
}

static const RosterGroup &onlyGroup(FleetCluster &Cluster) {
  return Cluster.entryHost("entry-1").Directory->roster().Groups.at(0);
}

TEST(GroupPlanner, SpareTakesThePlaceOfALostMember) {
  FleetCluster Cluster({.EnginesPerFabric = 3});
  expectWhole(Cluster, minutes(2));
  RosterGroup Before = onlyGroup(Cluster);
  Cluster.kill(Before.Members[1].Endpoint);
  EXPECT_TRUE(Cluster.runUntil(
      [&] { return onlyGroup(Cluster).Number != Before.Number; }, seconds(20)));
  expectWhole(Cluster, minutes(1));
  RosterGroup After = onlyGroup(Cluster);
  EXPECT_EQ(After.Group, Before.Group);
  EXPECT_EQ(After.Members[0], Before.Members[0]);
  EXPECT_NE(After.Members[1].Endpoint, Before.Members[1].Endpoint);
  // The lost member comes back from its pause and finds its place taken.
  Cluster.restart(Before.Members[1].Endpoint);
  Cluster.run(minutes(1));
  EXPECT_EQ(onlyGroup(Cluster), After);
}

TEST(GroupPlanner, MemberThatPausesKeepsItsPlace) {
  FleetCluster Cluster({.EnginesPerFabric = 3});
  expectWhole(Cluster, minutes(2));
  RosterGroup Before = onlyGroup(Cluster);
  Cluster.pause(Before.Members[1].Endpoint);
  EXPECT_TRUE(Cluster.runUntil([&] { return Cluster.targetsEverywhere() == 0; },
                               seconds(4)));
  Cluster.run(seconds(4));
  Cluster.resume(Before.Members[1].Endpoint);
  expectWhole(Cluster, seconds(3));
  EXPECT_EQ(onlyGroup(Cluster), Before);
}

TEST(GroupPlanner, PausedMemberThatWasReplacedIsSentAway) {
  FleetCluster Cluster({.EnginesPerFabric = 3});
  expectWhole(Cluster, minutes(2));
  EndpointName Paused = onlyGroup(Cluster).Members[1].Endpoint;
  Cluster.pause(Paused);
  Cluster.run(minutes(1));
  Cluster.resume(Paused);
  EXPECT_TRUE(Cluster.runUntil(
      [&] { return Cluster.engine(Paused).Said.Place.Group.empty(); },
      seconds(5)));
  expectWhole(Cluster, minutes(1));
}

TEST(GroupPlanner, SurvivorsOfTwoGroupsFormOne) {
  FleetCluster Cluster({.EnginesPerFabric = 4});
  expectWhole(Cluster, minutes(2));
  for (const RosterGroup &Each :
       Cluster.entryHost("entry-1").Directory->roster().Groups)
    Cluster.kill(Each.Members[0].Endpoint);
  EXPECT_EQ(Cluster.possibleGroups(), 1U);
  Cluster.run(seconds(20));
  expectWhole(Cluster, minutes(1));
}

TEST(GroupPlanner, FabricDomainThatWasDarkServesWithoutLoading) {
  FleetCluster Cluster({.EnginesPerFabric = 4});
  expectWhole(Cluster, minutes(2));
  std::vector<RosterGroup> Before =
      Cluster.entryHost("entry-1").Directory->roster().Groups;
  for (auto &[Name, Engine] : Cluster.Engines)
    Cluster.pause(Name);
  Cluster.run(minutes(2));
  EXPECT_EQ(Cluster.targetsEverywhere(), 0U);
  for (auto &[Name, Engine] : Cluster.Engines)
    Cluster.resume(Name);
  expectWhole(Cluster, seconds(5));
  EXPECT_EQ(Cluster.entryHost("entry-1").Directory->roster().Groups, Before);
}

TEST(GroupPlanner, PlannedChangesCutOffNothing) {
  FleetCluster Cluster({.EnginesPerFabric = 5, .RequestsPerSecond = 20});
  expectWhole(Cluster, minutes(2));
  Cluster.leave(onlyGroup(Cluster).Members[0].Endpoint);
  Cluster.run(seconds(40));
  FleetIntent Newer = Cluster.Intent;
  Newer.Services["sheets"].Version = "v2";
  Cluster.setIntent(Newer);
  Cluster.run(minutes(3));
  expectWhole(Cluster, minutes(1));
  EXPECT_GT(Cluster.RequestsStarted, 100U);
  for (const auto &[Name, Engine] : Cluster.Engines)
    EXPECT_TRUE(Engine.Said.Leaving || Engine.Said.Place.Group.empty() ||
                Engine.Said.Version == "v2")
        << Name;
}

TEST(GroupPlanner, DrainWaitsForAnEntryHostThatIsSilent) {
  FleetCluster Cluster({.EnginesPerFabric = 3, .RequestsPerSecond = 20});
  expectWhole(Cluster, minutes(2));
  EndpointName Leaving = onlyGroup(Cluster).Members[0].Endpoint;
  Cluster.setFrozen("entry-2", true);
  Cluster.run(seconds(1));
  Cluster.leave(Leaving);
  Cluster.run(minutes(1));
  EXPECT_FALSE(Cluster.engine(Leaving).Said.Place.Group.empty());
  Cluster.setFrozen("entry-2", false);
  Cluster.run(seconds(10));
  expectWhole(Cluster, minutes(1));
  EXPECT_TRUE(Cluster.engine(Leaving).Said.Place.Group.empty());
}

TEST(GroupPlanner, DomainThatIsOutGetsNoNewWorkAndKeepsItsGroups) {
  FleetCluster Cluster({.RequestsPerSecond = 20});
  expectWhole(Cluster, minutes(2));
  FleetIntent Out = Cluster.Intent;
  Out.DomainOut = true;
  Cluster.setIntent(Out);
  Cluster.run(seconds(10));
  std::uint64_t Started = Cluster.RequestsStarted;
  Cluster.run(minutes(1));
  EXPECT_EQ(Cluster.RequestsStarted, Started);
  EXPECT_EQ(Cluster.servingGroups(), 2U);
  Out.DomainOut = false;
  Cluster.setIntent(Out);
  Cluster.run(seconds(10));
  EXPECT_GT(Cluster.RequestsStarted, Started);
}

TEST(GroupPlanner, CutOffDomainGoesOnPlanning) {
  FleetCluster Cluster({.EnginesPerFabric = 3});
  expectWhole(Cluster, minutes(2));
  Cluster.cut("entry-1", "control");
  Cluster.cut("entry-2", "control");
  Cluster.run(seconds(20));
  Cluster.kill(onlyGroup(Cluster).Members[1].Endpoint);
  Cluster.run(seconds(20));
  expectWhole(Cluster, minutes(1));
}

/// A frozen holder wakes up beside its successor: its orders are refused by
/// engines with fencing, and never sent to those without.
TEST(GroupPlanner, EarlierHolderDoesNoHarm) {
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
    expectWhole(Cluster, minutes(2));
  }
}

/// The first order to an engine without fencing arrives a minute late.
TEST(GroupPlanner, LateOrderMeetsNoOtherOne) {
  FleetCluster Cluster({.EnginesPerFabric = 3, .ChecksFencing = false});
  bool Delayed = false;
  EndpointName Late;
  Cluster.OnSend = [&](const Envelope &What, MessageFate &Fate) {
    if (What.Kind != MessageKind::Order || Delayed)
      return;
    Delayed = true;
    Late = What.To;
    Fate.Late = minutes(1);
  };
  Cluster.run(seconds(30));
  ASSERT_TRUE(Delayed);
  HostName Earlier = Cluster.holder();
  Cluster.killEntryHost(Earlier);
  Cluster.run(seconds(20));
  EXPECT_EQ(Cluster.engine(Late).Said.LastOrder, 0U);
  Cluster.run(minutes(2));
  Cluster.restartEntryHost(Earlier);
  expectWhole(Cluster, minutes(1));
}

TEST(GroupPlanner, LoadsNoMoreAtOnceThanTheWeightStoreBears) {
  FleetClusterOptions Options = {.FabricDomains = 2, .EnginesPerFabric = 8};
  Options.Planner.LoadsAtOnce = 3;
  FleetCluster Cluster(Options);
  std::uint32_t Most = 0;
  for (int I = 0; I < 400; ++I) {
    Cluster.run(std::chrono::milliseconds(500));
    std::uint32_t Loading = 0;
    for (const auto &[Name, Engine] : Cluster.Engines)
      Loading += !Engine.Said.Place.Group.empty() &&
                         Engine.Said.State == Readiness::Starting
                     ? 1
                     : 0;
    Most = std::max(Most, Loading);
  }
  EXPECT_EQ(Most, 3U);
  expectWhole(Cluster, minutes(1));
}

/// An order to an engine without fencing needs the control log's record.
TEST(GroupPlanner, UnrecordedOrderIsNotSent) {
  FleetCluster Cluster({.EnginesPerFabric = 3, .ChecksFencing = false});
  expectWhole(Cluster, minutes(2));
  Cluster.cut("entry-1", "control");
  Cluster.cut("entry-2", "control");
  std::uint32_t Orders = 0;
  Cluster.OnSend = [&Orders](const Envelope &What, MessageFate &) {
    Orders += What.Kind == MessageKind::Order ? 1 : 0;
  };
  Cluster.kill(onlyGroup(Cluster).Members[1].Endpoint);
  Cluster.run(minutes(1));
  EXPECT_EQ(Orders, 0U);
  Cluster.heal();
  expectWhole(Cluster, minutes(2));
  EXPECT_GT(Orders, 0U);
}

/// Cut off from the control log and from another entry host, which may have
/// the grant by now, the holder changes nothing.
TEST(GroupPlanner, HolderWithoutConfirmationStops) {
  FleetCluster Cluster({.EnginesPerFabric = 3});
  expectWhole(Cluster, minutes(2));
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
  expectWhole(Cluster, minutes(2));
}

TEST(GroupPlanner, OnlyOneEndpointOfAHostIsInAGroup) {
  FleetCluster Cluster({.EnginesPerFabric = 3});
  Cluster.engine("engine-1-3").Said.Host = "shared";
  Cluster.engine("engine-1-2").Said.Host = "shared";
  expectWhole(Cluster, minutes(2));
  bool First = Cluster.engine("engine-1-3").Said.Place.Group.empty();
  bool Second = Cluster.engine("engine-1-2").Said.Place.Group.empty();
  EXPECT_NE(First, Second);
}

/// A report under a newer planner's roster says nothing about an older drain.
TEST(DrainWatch, EveryEntryHostMustKnowTheVeryRoster) {
  TimePoint Now(seconds(100));
  DrainWatch Watch({"entry-1", "entry-2"}, seconds(10));
  using Verdict = DrainWatch::Verdict;
  auto After = [&](std::uint64_t Epoch, std::uint64_t Sequence) {
    Watch.reported(
        Now, {.EntryHost = "entry-2", .Epoch = Epoch, .Sequence = Sequence});
    return Watch.verdict(Now, "g", 2, 5);
  };
  Watch.reported(Now, {.EntryHost = "entry-1", .Epoch = 2, .Sequence = 6});
  EXPECT_EQ(Watch.verdict(Now, "g", 2, 5), Verdict::SilentOnly);
  EXPECT_EQ(After(2, 4), Verdict::Busy);
  EXPECT_EQ(After(3, 9), Verdict::Busy);
  EXPECT_EQ(After(2, 5), Verdict::Drained);
  EXPECT_EQ(Watch.verdict(Now + seconds(10), "g", 2, 5), Verdict::SilentOnly);
}

/// A member leaves at any moment around a change of the grant.
TEST(GroupPlanner, LeaveAroundANewGrantIsDrained) {
  for (int Quarters = 0; Quarters < 40; ++Quarters) {
    FleetCluster Cluster({.EnginesPerFabric = 5, .RequestsPerSecond = 20});
    expectWhole(Cluster, minutes(2));
    Cluster.restartEntryHost(Cluster.holder());
    Cluster.run(std::chrono::milliseconds(250 * Quarters));
    Cluster.leave("engine-1-4");
    Cluster.run(seconds(20));
    EXPECT_EQ(Cluster.Violations, std::vector<std::string>()) << Quarters;
  }
}
