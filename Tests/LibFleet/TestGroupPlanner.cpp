//===- Tests/LibFleet/TestGroupPlanner.cpp - Groups through faults --------===//
///
/// \file
/// The planner and the directories of one failure domain, with every invariant
/// checked at each tick of the cluster.
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
