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
