//===- Tests/LibRouting/TestRouter.cpp - Admission, deadlines, attempts ---===//
///
/// \file
/// The Router's rules one by one, each on the smallest world that shows it.
///
//===----------------------------------------------------------------------===//

#include "RouterWorld.h"

#include <gtest/gtest.h>

using namespace carobhinge;

static RouterOptions smallOptions() {
  RouterOptions Options;
  Options.QueueLimit = 4;
  return Options;
}

/// Lets \p Count requests of \p Time each through, so that times are known.
static void learnTimes(RouterWorld &World, unsigned Count, Duration Time) {
  for (unsigned I = 0; I < Count; ++I) {
    World.submit(World.request());
    World.advance(Time);
    World.firstByte(World.running().back());
    World.finish(World.running().back(), AttemptResult::Complete);
  }
}

TEST(Router, RefusesAtOnceWhatCannotBeInTime) {
  RouterWorld World(smallOptions());
  World.setTargets({RouterWorld::target("a", 1)});
  learnTimes(World, 5, 1s);
  World.submit(World.request());
  World.submit(World.request());
  RoutedRequest Late = World.request();
  Late.Deadline = World.Now + 2500ms;
  World.submit(Late);
  ASSERT_EQ(World.ending(Late.Id), "refused");
  EXPECT_EQ(World.refusal(Late.Id).Reason, RefusalReason::DeadlineCannotBeMet);
  EXPECT_TRUE(World.dispatches(Late.Id).empty());
  // Two requests of a second each stand before it.
  EXPECT_GE(World.refusal(Late.Id).RetryAfter, 1500ms);
  EXPECT_LE(World.refusal(Late.Id).RetryAfter, 4s);
}

TEST(Router, RefusesAQueuedRequestWhenItsTimeIsUp) {
  RouterWorld World(smallOptions());
  World.setTargets({RouterWorld::target("a", 1)});
  learnTimes(World, 5, 1s);
  World.submit(World.request());
  // Ahead of it stands one that may wait longer.
  World.submit(World.request());
  RoutedRequest Waiting = World.request();
  Waiting.Deadline = World.Now + 5s;
  World.submit(Waiting);
  // Twice the second that it is expected to take is left for it.
  World.advance(2900ms);
  EXPECT_EQ(World.ending(Waiting.Id), "");
  World.advance(200ms);
  EXPECT_EQ(World.ending(Waiting.Id), "refused");
  EXPECT_TRUE(World.dispatches(Waiting.Id).empty());
}

TEST(Router, EstimatesFadeSoThatRefusalsEnd) {
  RouterWorld World(smallOptions());
  World.setTargets({RouterWorld::target("a", 1)});
  learnTimes(World, 5, 30s);
  for (bool Later : {false, true}) {
    RoutedRequest Request = World.request();
    Request.Deadline = World.Now + 10s;
    World.submit(Request);
    EXPECT_EQ(World.dispatches(Request.Id).size(), Later ? 1U : 0U);
    World.advance(21s);
  }
}

TEST(Router, UrgentRequestTakesThePlaceOfALessUrgentOne) {
  RouterWorld World(smallOptions());
  World.setTargets({RouterWorld::target("a", 1)});
  std::vector<RequestId> Reports;
  for (int I = 0; I < 6; ++I) {
    RoutedRequest Report = World.request();
    Report.Priority = 1;
    Reports.push_back(World.submit(Report));
  }
  EXPECT_EQ(World.refusal(Reports[5]).Reason, RefusalReason::QueueFull);
  RequestId Sheet = World.submit(World.request());
  EXPECT_EQ(World.ending(Sheet), "");
  EXPECT_EQ(World.refusal(Reports[4]).Reason, RefusalReason::Displaced);
  World.finish(World.running().front(), AttemptResult::Complete);
  EXPECT_EQ(World.dispatches(Sheet).size(), 1U);
}

TEST(Router, WithoutTargetsWhoeverWaitsIsAnsweredNow) {
  RouterWorld World(smallOptions());
  World.setTargets({RouterWorld::target("a", 1)});
  World.submit(World.request());
  RequestId Waiting = World.submit(World.request());
  Target Leaving = RouterWorld::target("a", 1);
  Leaving.Draining = true;
  World.setTargets({Leaving});
  EXPECT_EQ(World.refusal(Waiting).Reason, RefusalReason::NoTarget);
  RequestId Next = World.submit(World.request());
  EXPECT_EQ(World.refusal(Next).Reason, RefusalReason::NoTarget);
  EXPECT_FALSE(World.refusal(Next).MayHaveRun);
}

TEST(Router, DrainingServesWhatWaitsAndTakesNothingNew) {
  RouterWorld World(smallOptions());
  World.setTargets({RouterWorld::target("a", 1)});
  World.submit(World.request());
  RequestId Waiting = World.submit(World.request());
  World.drain();
  RequestId Late = World.submit(World.request());
  EXPECT_EQ(World.refusal(Late).Reason, RefusalReason::Draining);
  World.finish(World.running().front(), AttemptResult::Complete);
  EXPECT_EQ(World.dispatches(Waiting).size(), 1U);
}

namespace {

/// What follows one failed attempt.
struct FailureCase {
  const char *Name;
  bool Idempotent;
  bool Resumable;
  bool AnswerBegan;
  AttemptResult Result;
  /// A second dispatch is expected, else a refusal.
  bool SentAgain;
  bool MayHaveRun;
};

} // namespace

TEST(Router, OnlyAllowedAttemptsFollowAFailure) {
  using enum AttemptResult;
  const std::vector<FailureCase> Cases = {
      {"lookup, nothing sent", true, false, false, FailedBeforeByte, true,
       false},
      {"lookup, sent", true, false, false, FailedAfterByte, true, true},
      {"lookup, overloaded", true, false, false, Overloaded, true, true},
      {"lookup, answer broke off", true, false, true, FailedAfterByte, false,
       true},
      {"stream, answer broke off", true, true, true, FailedAfterByte, true,
       true},
      {"payout, nothing sent", false, false, false, FailedBeforeByte, true,
       false},
      {"payout, sent", false, false, false, FailedAfterByte, false, true},
      {"payout, overloaded", false, false, false, Overloaded, false, true},
      {"payout, answer broke off", false, true, true, FailedAfterByte, false,
       true},
  };
  for (const FailureCase &Case : Cases) {
    SCOPED_TRACE(Case.Name);
    RouterWorld World(smallOptions());
    World.setTargets(
        {RouterWorld::target("a", 1), RouterWorld::target("b", 1)});
    RoutedRequest Request = World.request();
    Request.Idempotent = Case.Idempotent;
    Request.Resumable = Case.Resumable;
    World.submit(Request);
    AttemptId First = World.running().front();
    if (Case.AnswerBegan)
      World.firstByte(First);
    World.finish(First, Case.Result, 700ms);
    EXPECT_EQ(World.dispatches(Request.Id).size(), Case.SentAgain ? 2U : 1U);
    EXPECT_EQ(World.ending(Request.Id), Case.SentAgain ? "" : "refused");
    if (!Case.SentAgain) {
      EXPECT_EQ(World.refusal(Request.Id).MayHaveRun, Case.MayHaveRun);
    } else {
      auto Sent = World.dispatches(Request.Id);
      EXPECT_NE(Sent[0].TargetName, Sent[1].TargetName);
      EXPECT_EQ(Sent[1].IsResume, Case.AnswerBegan);
    }
    EXPECT_TRUE(World.Violations.empty());
  }
}

TEST(Router, CallerGoneCancelsOnlyWhatMayRepeat) {
  RouterWorld World(smallOptions());
  World.setTargets({RouterWorld::target("a", 2)});
  RequestId Lookup = World.submit(World.request());
  RoutedRequest Payout = World.request();
  Payout.Idempotent = false;
  World.submit(Payout);
  std::vector<AttemptId> Running = World.running();
  World.callerGone(Lookup);
  World.callerGone(Payout.Id);
  EXPECT_EQ(World.Cancelled, std::set<AttemptId>{Running[0]});
  // Both slots count as taken until the attempts are over.
  RequestId Next = World.submit(World.request());
  EXPECT_TRUE(World.dispatches(Next).empty());
  World.finish(Running[0], AttemptResult::Cancelled);
  EXPECT_EQ(World.dispatches(Next).size(), 1U);
}

TEST(Router, HedgesALateAnswerAndCancelsTheLoser) {
  RouterWorld World(smallOptions());
  World.setTargets({RouterWorld::target("a", 4), RouterWorld::target("b", 4)});
  learnTimes(World, 30, 100ms);
  RequestId Lookup = World.submit(World.request());
  RoutedRequest Payout = World.request();
  Payout.Idempotent = false;
  World.submit(Payout);
  World.advance(300ms);
  auto Sent = World.dispatches(Lookup);
  ASSERT_EQ(Sent.size(), 2U);
  EXPECT_TRUE(Sent[1].IsHedge);
  EXPECT_NE(Sent[0].TargetName, Sent[1].TargetName);
  EXPECT_EQ(World.dispatches(Payout.Id).size(), 1U);
  World.firstByte(Sent[1].Attempt);
  EXPECT_EQ(World.Cancelled, std::set<AttemptId>{Sent[0].Attempt});
}

TEST(Router, TargetsThatLoseAgainstHedgesBecomeStragglers) {
  RouterWorld World(smallOptions());
  World.setTargets({RouterWorld::target("a", 8), RouterWorld::target("b", 8)});
  // A few answers take longer, so that a hedge starts well after the median.
  for (int I = 0; I < 10; ++I) {
    learnTimes(World, 6, 100ms);
    learnTimes(World, 1, 300ms);
  }
  auto FinishAll = [&World](std::string_view Where, AttemptResult Result) {
    for (AttemptId Each : World.running())
      if (World.whereIs(Each) == Where)
        World.finish(Each, Result);
  };
  // From now on a does not answer.
  for (int I = 0; I < 12; ++I) {
    for (int J = 0; J < 8; ++J)
      World.submit(World.request());
    World.advance(100ms);
    FinishAll("b#1", AttemptResult::Complete);
    World.advance(300ms);
    FinishAll("b#1", AttemptResult::Complete);
    FinishAll("a#1", AttemptResult::Cancelled);
  }
  for (const TargetUse &Each : World.status().Targets)
    EXPECT_EQ(Each.Straggler, Each.TargetName == "a");
}

TEST(Router, HedgesStayWithinTheirShareWhenAllAnswersAreLate) {
  RouterWorld World(smallOptions());
  World.setTargets(
      {RouterWorld::target("a", 100), RouterWorld::target("b", 100)});
  learnTimes(World, 30, 100ms);
  for (int I = 0; I < 40; ++I)
    World.submit(World.request());
  World.advance(10s);
  // The burst is all used up; RouterWorld checks that no more than that is.
  EXPECT_EQ(World.Hedged, 10U);
  EXPECT_TRUE(World.Violations.empty());
}

TEST(Router, FailuresSetAsideAtMostHalfOfTheTargets) {
  RouterWorld World(smallOptions());
  World.setTargets({RouterWorld::target("a", 9), RouterWorld::target("b", 9),
                    RouterWorld::target("c", 9)});
  // As many as the retry budget pays for.
  for (int I = 0; I < 10; ++I) {
    RequestId Request = World.submit(World.request());
    ASSERT_EQ(World.dispatches(Request).size(), 1U);
    World.finish(World.running().front(), AttemptResult::FailedAfterByte);
    ASSERT_EQ(World.dispatches(Request).size(), 2U);
    // Also a failed target that is not set aside is not tried again at once.
    EXPECT_NE(World.dispatches(Request)[0].TargetName,
              World.dispatches(Request)[1].TargetName);
    World.callerGone(Request);
    if (!World.running().empty())
      World.finish(World.running().front(), AttemptResult::Cancelled);
  }
}

TEST(Router, AnOverloadedTargetIsLeftAloneAsLongAsItAsked) {
  RouterWorld World(smallOptions());
  World.setTargets({RouterWorld::target("a", 9)});
  World.submit(World.request());
  World.finish(World.running().front(), AttemptResult::Overloaded, 2s);
  RequestId Next = World.submit(World.request());
  World.advance(1900ms);
  EXPECT_TRUE(World.dispatches(Next).empty());
  World.advance(200ms);
  EXPECT_EQ(World.dispatches(Next).size(), 1U);
}

TEST(Router, AFailingTargetIsLeftAloneForAWhile) {
  RouterWorld World(smallOptions());
  World.setTargets({RouterWorld::target("a", 9), RouterWorld::target("b", 9)});
  World.submit(World.request());
  std::string Failing = World.whereIs(World.running().front());
  World.finish(World.running().front(), AttemptResult::FailedBeforeByte);
  for (int I = 0; I < 6; ++I)
    World.submit(World.request());
  for (AttemptId Each : World.running())
    EXPECT_NE(World.whereIs(Each), Failing);
  World.advance(300ms);
  std::set<std::string> Used;
  for (int I = 0; I < 6; ++I) {
    World.submit(World.request());
    Used.insert(World.whereIs(World.running().back()));
  }
  EXPECT_TRUE(Used.contains(Failing));
}
