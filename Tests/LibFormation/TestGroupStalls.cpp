//===- Tests/LibFormation/TestGroupStalls.cpp - Groups that stand still ---===//
///
/// \file
/// Guards against groups that are stuck in one step and are never left, and
/// against sound groups that are formed anew on the word of one host, for a
/// short silence or while any host still gets events.
///
//===----------------------------------------------------------------------===//

#include <LibFormation/GroupStalls.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;

static constexpr TimePoint Start{std::chrono::hours(1)};
static constexpr Duration Step = std::chrono::milliseconds(100);

/// Reports of \p Hosts hosts every 100 ms from Start to \p End.
static void reportSilence(GroupStalls &Stalls, int Hosts, TimePoint End,
                          bool IsSilent = true) {
  for (TimePoint Now = Start; Now <= End; Now += Step)
    for (int Host = 0; Host < Hosts; ++Host)
      Stalls.recordWork(Now, "g", 7, "host" + std::to_string(Host), IsSilent);
  Stalls.recordWork(End, "sound", 1, "host0", false);
}

TEST(GroupStalls, GroupSilentToAllHostsForEndingSilenceStandsStill) {
  GroupStalls Stalls;
  reportSilence(Stalls, 2, Start + EndingSilence);
  EXPECT_FALSE(Stalls.isStandingStill(Start + EndingSilence - Step, "g", 7));
  EXPECT_TRUE(Stalls.isStandingStill(Start + EndingSilence, "g", 7));
  EXPECT_FALSE(Stalls.isStandingStill(Start + EndingSilence, "g", 8));
}

TEST(GroupStalls, WordOfOneHostIsNoEvidence) {
  GroupStalls Stalls;
  reportSilence(Stalls, 1, Start + 2 * EndingSilence);
  EXPECT_FALSE(Stalls.isStandingStill(Start + 2 * EndingSilence, "g", 7));
}

TEST(GroupStalls, EventAtOneHostOutweighsTheSilenceOfOthers) {
  GroupStalls Stalls;
  TimePoint Now = Start + EndingSilence;
  reportSilence(Stalls, 3, Now);
  Stalls.recordWork(Now, "g", 7, "host1", false);
  EXPECT_FALSE(Stalls.isStandingStill(Now, "g", 7));
  Stalls.recordIdle("g", "host1");
  EXPECT_TRUE(Stalls.isStandingStill(Now, "g", 7));
}

// Guards against streams of slow engines that end although no other group could
// take them, because all are slow.
TEST(GroupStalls, NoneStandsStillWhereMostAreSilent) {
  GroupStalls Stalls;
  TimePoint Now = Start + EndingSilence;
  reportSilence(Stalls, 2, Now);
  EXPECT_TRUE(Stalls.isStandingStill(Now, "g", 7));
  Stalls.recordWork(Now, "slow", 1, "host0", true);
  EXPECT_FALSE(Stalls.isStandingStill(Now, "g", 7));
}

TEST(GroupStalls, OldStatementsAndOtherMemberListsDontCount) {
  GroupStalls Stalls;
  TimePoint Now = Start + EndingSilence;
  reportSilence(Stalls, 3, Now);
  TimePoint Later = Now + MaxSoundSilence + Step;
  EXPECT_FALSE(Stalls.isStandingStill(Later, "g", 7));
  // What happened in a gap is not known.
  Stalls.recordWork(Later, "g", 7, "host0", true);
  Stalls.recordWork(Later, "g", 7, "host1", true);
  EXPECT_FALSE(Stalls.isStandingStill(Later, "g", 7));
  Stalls.removeExpired(Later + MaxSoundSilence + Step);
  Stalls.recordWork(Now, "g", 8, "host0", true);
  EXPECT_FALSE(Stalls.isStandingStill(Now, "g", 7));
}

// Guards against sound groups whose requests are ended by a new member list
// because they said nothing for a second or so.
RC_GTEST_PROP(GroupStalls, SilencesOfSoundLengthAreNoStall, ()) {
  GroupStalls Stalls;
  int Hosts = *rc::gen::inRange(1, 5);
  TimePoint Now = Start;
  for (int Round = 0; Round < 5; ++Round) {
    Duration Silence = std::chrono::milliseconds(*rc::gen::inRange(300, 1501));
    for (TimePoint End = Now + Silence; Now < End; Now += Step)
      for (int Host = 0; Host < Hosts; ++Host) {
        Stalls.recordWork(Now, "g", 7, "host" + std::to_string(Host), true);
        RC_ASSERT(!Stalls.isStandingStill(Now, "g", 7));
      }
    int Speaker = *rc::gen::inRange(0, Hosts);
    for (int Host = 0; Host < Hosts; ++Host)
      Stalls.recordWork(Now, "g", 7, "host" + std::to_string(Host),
                        Host != Speaker);
    RC_ASSERT(!Stalls.isStandingStill(Now, "g", 7));
    for (int Host = 0; Host < Hosts; ++Host)
      Stalls.recordWork(Now, "g", 7, "host" + std::to_string(Host), false);
  }
}
