//===- Tests/LibEntry/TestStandbyRace.cpp - One answer of two attempts ----===//
///
/// \file
/// Guards against callers that get parts of two answers, or none because each
/// of two attempts was taken for the loser.
///
//===----------------------------------------------------------------------===//

#include <LibEntry/StandbyRace.h>
#include <gtest/gtest.h>
#include <optional>
#include <random>

using namespace carobhinge;
using Runner = StandbyRace::Runner;

TEST(StandbyRace, AttemptThatDeliversFirstIsPassedOn) {
  StandbyRace Race;
  EXPECT_TRUE(Race.deliver(Runner::First));
  Race.start();
  EXPECT_FALSE(Race.canStart());
  EXPECT_FALSE(Race.hasLost(Runner::First));
  EXPECT_FALSE(Race.hasLost(Runner::Standby));
  EXPECT_TRUE(Race.deliver(Runner::Standby));
  EXPECT_TRUE(Race.hasLost(Runner::First));
  EXPECT_FALSE(Race.deliver(Runner::First));
  EXPECT_TRUE(Race.deliver(Runner::Standby));
  Race.endFirst();
  EXPECT_TRUE(Race.canStart());
}

TEST(StandbyRace, FirstAttemptThatSpeaksAgainGoesOn) {
  StandbyRace Race;
  Race.start();
  EXPECT_TRUE(Race.deliver(Runner::First));
  EXPECT_TRUE(Race.hasLost(Runner::Standby));
  EXPECT_FALSE(Race.deliver(Runner::Standby));
  EXPECT_TRUE(Race.canStart());
}

/// Whatever the order: between two starts only one attempt delivers, and the
/// one that delivers first.
TEST(StandbyRace, NeverPassesOnBoth) {
  std::mt19937 Random(1);
  for (int Round = 0; Round < 2000; ++Round) {
    StandbyRace Race;
    Race.start();
    std::optional<Runner> Winner;
    for (int Step = 0; Step < 6; ++Step) {
      Runner Each = Random() % 2 == 0 ? Runner::First : Runner::Standby;
      bool MayPassOn = Race.deliver(Each);
      Winner = Winner.value_or(Each);
      ASSERT_EQ(MayPassOn, Each == *Winner);
      ASSERT_FALSE(Race.hasLost(*Winner));
    }
  }
}
