//===- Tests/LibControl/TestVoteHandover.cpp - Stop of a voter ------------===//
///
/// \file
/// Guards against a control host that ends while it still counts as a voter
/// although another one could replace it, and against a stop that waits in
/// vain.
///
//===----------------------------------------------------------------------===//

#include <LibControl/VoteHandover.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

static const TimePoint Start{seconds(1000)};
static const std::vector<HostName> Voters{"a", "b", "c"};

TEST(VoteHandover, WaitsUntilTheLeaderHasReleasedTheHost) {
  VoteHandover Handover(Start, seconds(8), "a", Voters);
  EXPECT_FALSE(Handover.isFinished(Start + seconds(3), true));
  Handover.recordRelease();
  EXPECT_TRUE(Handover.isFinished(Start + seconds(3), true));
  EXPECT_EQ(Handover.outcome(true), "released");
}

TEST(VoteHandover, EndsAtOnceWithoutSuccessorOrVote) {
  VoteHandover Restart(Start, seconds(8), "a", Voters);
  EXPECT_TRUE(Restart.isFinished(Start, false));
  EXPECT_EQ(Restart.outcome(false), "no-successor");
  VoteHandover Spare(Start, seconds(8), "d", Voters);
  EXPECT_TRUE(Spare.isFinished(Start, true));
  EXPECT_EQ(Spare.outcome(true), "no-vote");
}

TEST(VoteHandover, LeavesHalfOfTheGraceTimeForCallsInProgress) {
  VoteHandover Handover(Start, seconds(8), "a", Voters);
  EXPECT_FALSE(Handover.isFinished(Start + seconds(4) - Duration(1), true));
  EXPECT_TRUE(Handover.isFinished(Start + seconds(4), true));
  EXPECT_EQ(Handover.outcome(true), "timeout");
}
