//===- LibConsensus/TestReplica.cpp - Tests of the replicated log ---------===//

#include <LibConsensus/ReplicaCluster.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carobhinge {
namespace {

using namespace std::chrono_literals;
using testing::IsEmpty;

const std::vector<HostName> Three = {"a", "b", "c"};

TEST(Replica, FirstStartFindsALeaderAndCommits) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    ReplicaCluster Cluster({.Hosts = Three, .Seed = Seed});
    Cluster.advance(3s);
    HostName Leader = Cluster.leader();
    ASSERT_NE(Leader, "") << "seed " << Seed;
    std::size_t First = Cluster.propose(Leader, "one");
    std::size_t Read = Cluster.read(Leader);
    Cluster.advance(1s);
    EXPECT_EQ(Cluster.outcome(First), Outcome::Committed);
    EXPECT_EQ(Cluster.outcome(Read), Outcome::Committed);
    for (const HostName &Host : Three)
      EXPECT_THAT(Cluster.machine(Host).Commands, testing::ElementsAre("one"));
    EXPECT_TRUE(Cluster.replica(Leader).repairComplete(Cluster.now(Leader)));
    EXPECT_THAT(Cluster.Violations, IsEmpty());
  }
}

} // namespace
} // namespace carobhinge
