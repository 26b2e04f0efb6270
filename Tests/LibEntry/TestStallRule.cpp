//===- Tests/LibEntry/TestStallRule.cpp - Streams given up for silence ----===//
///
/// \file
/// Guards against streams that are given up at sound but slow engines, and
/// against callers that get no whole answer because the stream that was given
/// up can't be repeated.
///
//===----------------------------------------------------------------------===//

#include <LibEntry/StallRule.h>
#include <gtest/gtest.h>

using namespace carobhinge;
static constexpr Duration Millisecond = std::chrono::milliseconds(1);

static constexpr Duration Limit = 450 * Millisecond;

TEST(StallRule, SilentTargetAmongSoundOnesIsStalled) {
  OtherTargets Others{.Silences = {20 * Millisecond, 60 * Millisecond},
                      .UsualTimes = {60 * Millisecond, 70 * Millisecond}};
  EXPECT_FALSE(isStalledBySilence(Limit - Duration(1), Limit, Others));
  EXPECT_TRUE(isStalledBySilence(Limit, Limit, Others));
  // No other target has work, so nothing speaks against it.
  EXPECT_TRUE(isStalledBySilence(Limit, Limit, {}));
}

TEST(StallRule, SilenceOfMostTargetsIsNoStallOfOne) {
  OtherTargets Others{
      .Silences = {500 * Millisecond, 600 * Millisecond, 20 * Millisecond}};
  EXPECT_FALSE(isStalledBySilence(Limit, Limit, Others));
  Others.Silences.push_back(20 * Millisecond);
  EXPECT_TRUE(isStalledBySilence(Limit, Limit, Others));
}

TEST(StallRule, WaitsLongerWhereEventsAreFarApart) {
  OtherTargets Others{.Silences = {100 * Millisecond},
                      .UsualTimes = {300 * Millisecond}};
  EXPECT_FALSE(isStalledBySilence(899 * Millisecond, Limit, Others));
  EXPECT_TRUE(isStalledBySilence(900 * Millisecond, Limit, Others));
}

TEST(StallRule, GivesUpOnlyWhatCanBeRepeatedAtOnce) {
  const AbandonFacts Repeatable{.IsResumable = true,
                                .PossibleRuns = 1,
                                .EndpointsPerRequest = 2,
                                .RemainingTime = 2000 * Millisecond,
                                .Objective = 300 * Millisecond,
                                .HasOtherTarget = true};
  EXPECT_TRUE(canRepeatAtOnce(Repeatable));
  AbandonFacts Facts = Repeatable;
  Facts.IsResumable = false;
  EXPECT_FALSE(canRepeatAtOnce(Facts));
  Facts = Repeatable;
  Facts.PossibleRuns = 2;
  EXPECT_FALSE(canRepeatAtOnce(Facts));
  Facts = Repeatable;
  Facts.RemainingTime = Facts.Objective;
  EXPECT_FALSE(canRepeatAtOnce(Facts));
  Facts = Repeatable;
  Facts.HasOtherTarget = false;
  EXPECT_FALSE(canRepeatAtOnce(Facts));
  Facts = Repeatable;
  Facts.IsPromptSound = false;
  EXPECT_FALSE(canRepeatAtOnce(Facts));
}
