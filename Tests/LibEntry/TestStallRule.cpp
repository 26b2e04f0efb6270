//===- Tests/LibEntry/TestStallRule.cpp - Streams given up for silence ----===//
///
/// \file
/// Guards against streams that are given up at sound but slow engines, and
/// against callers that get no whole answer because the stream that was given
/// up can't be repeated.
///
//===----------------------------------------------------------------------===//

#include <LibEntry/StallRule.h>
#include <array>
#include <gtest/gtest.h>

using namespace carobhinge;
static constexpr Duration Millisecond = std::chrono::milliseconds(1);

static constexpr Duration Limit = 450 * Millisecond;

TEST(StallRule, SilentTargetComesIntoDoubt) {
  const std::array<Duration, 2> UsualTimes = {60 * Millisecond,
                                              70 * Millisecond};
  EXPECT_FALSE(isDoubtedBySilence(Limit - Duration(1), Limit, UsualTimes));
  EXPECT_TRUE(isDoubtedBySilence(Limit, Limit, UsualTimes));
  // No other target has sent events.
  EXPECT_TRUE(isDoubtedBySilence(Limit, Limit, {}));
}

TEST(StallRule, WaitsLongerWhereEventsAreFarApart) {
  const std::array<Duration, 1> UsualTimes = {300 * Millisecond};
  EXPECT_FALSE(isDoubtedBySilence(899 * Millisecond, Limit, UsualTimes));
  EXPECT_TRUE(isDoubtedBySilence(900 * Millisecond, Limit, UsualTimes));
}

/// Guards against streams that nobody repeats although their callers leave, and
/// against repeats that aren't granted.
TEST(StallRule, StandbyStartsInHalfThePatienceOfTheCaller) {
  EXPECT_EQ(callerPatience(300 * Millisecond, 200 * Millisecond),
            2000 * Millisecond);
  EXPECT_EQ(callerPatience(600 * Millisecond, 200 * Millisecond),
            2400 * Millisecond);
  EXPECT_EQ(callerPatience(300 * Millisecond, 300 * Millisecond),
            2400 * Millisecond);
  const StandbyFacts Repeatable{.Silence = 1000 * Millisecond,
                                .IsResumable = true,
                                .PossibleRuns = 1,
                                .EndpointsPerRequest = 2,
                                .RemainingTime = 2000 * Millisecond,
                                .Objective = 300 * Millisecond,
                                .PauseObjective = 200 * Millisecond};
  EXPECT_TRUE(shouldStartStandby(Repeatable));
  StandbyFacts Facts = Repeatable;
  Facts.Silence = 999 * Millisecond;
  EXPECT_FALSE(shouldStartStandby(Facts));
  Facts.IsStalled = true;
  EXPECT_TRUE(shouldStartStandby(Facts));
  Facts = Repeatable;
  Facts.IsResumable = false;
  EXPECT_FALSE(shouldStartStandby(Facts));
  Facts = Repeatable;
  Facts.PossibleRuns = 2;
  EXPECT_FALSE(shouldStartStandby(Facts));
  Facts = Repeatable;
  Facts.RemainingTime = Facts.Objective;
  EXPECT_FALSE(shouldStartStandby(Facts));
  Facts = Repeatable;
  Facts.IsPromptSound = false;
  EXPECT_FALSE(shouldStartStandby(Facts));
}
