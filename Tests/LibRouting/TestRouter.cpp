//===- Tests/LibRouting/TestRouter.cpp - Admission, deadlines, attempts ---===//
///
/// \file
/// Tests of the Router's rules, each with a minimal setup. They guard against
/// requests that wait for a deadline that cannot be met, retries and hedges
/// beyond their budgets, and retries of calls that must not run twice.
///
//===----------------------------------------------------------------------===//

#include "RouterTestDriver.h"

#include <gtest/gtest.h>

using namespace carobhinge;

static RouterOptions smallOptions() {
  RouterOptions Options;
  Options.QueueLimit = 4;
  return Options;
}

/// Serves \p Count requests of \p Time each, so that the Router has measured
/// times.
static void measureTimes(RouterTestDriver &Driver, unsigned Count,
                         Duration Time) {
  for (unsigned I = 0; I < Count; ++I) {
    Driver.submit(Driver.request());
    Driver.advance(Time);
    Driver.reportFirstByte(Driver.running().back());
    Driver.finish(Driver.running().back(), AttemptResult::Complete);
  }
}

TEST(Router, RefusesImmediatelyIfDeadlineCannotBeMet) {
  RouterTestDriver Driver(smallOptions());
  Driver.setTargets({RouterTestDriver::target("a", 1)});
  measureTimes(Driver, 5, 1s);
  Driver.submit(Driver.request());
  Driver.submit(Driver.request());
  RoutedRequest Late = Driver.request();
  Late.Deadline = Driver.Now + 2500ms;
  Driver.submit(Late);
  ASSERT_EQ(Driver.ending(Late.Id), "refused");
  EXPECT_EQ(Driver.refusal(Late.Id).Reason, RefusalReason::DeadlineCannotBeMet);
  EXPECT_TRUE(Driver.dispatches(Late.Id).empty());
  // Two requests of one second each are ahead of it.
  EXPECT_GE(Driver.refusal(Late.Id).RetryAfter, 1500ms);
  EXPECT_LE(Driver.refusal(Late.Id).RetryAfter, 4s);
}

TEST(Router, RefusesAQueuedRequestAfterItsLatestStart) {
  RouterTestDriver Driver(smallOptions());
  Driver.setTargets({RouterTestDriver::target("a", 1)});
  measureTimes(Driver, 5, 1s);
  Driver.submit(Driver.request());
  // A request with a later deadline is ahead of it.
  Driver.submit(Driver.request());
  RoutedRequest Waiting = Driver.request();
  Waiting.Deadline = Driver.Now + 5s;
  Driver.submit(Waiting);
  // Twice its expected service time of one second is reserved.
  Driver.advance(2900ms);
  EXPECT_EQ(Driver.ending(Waiting.Id), "");
  Driver.advance(200ms);
  EXPECT_EQ(Driver.ending(Waiting.Id), "refused");
  EXPECT_TRUE(Driver.dispatches(Waiting.Id).empty());
}

TEST(Router, EstimatesDecaySoThatRefusalsStop) {
  RouterTestDriver Driver(smallOptions());
  Driver.setTargets({RouterTestDriver::target("a", 1)});
  measureTimes(Driver, 5, 30s);
  for (bool Later : {false, true}) {
    RoutedRequest Request = Driver.request();
    Request.Deadline = Driver.Now + 10s;
    Driver.submit(Request);
    EXPECT_EQ(Driver.dispatches(Request.Id).size(), Later ? 1U : 0U);
    Driver.advance(21s);
  }
}

TEST(Router, UrgentRequestDisplacesALessUrgentOne) {
  RouterTestDriver Driver(smallOptions());
  Driver.setTargets({RouterTestDriver::target("a", 1)});
  std::vector<RequestId> Reports;
  for (int I = 0; I < 6; ++I) {
    RoutedRequest Report = Driver.request();
    Report.Priority = 1;
    Reports.push_back(Driver.submit(Report));
  }
  EXPECT_EQ(Driver.refusal(Reports[5]).Reason, RefusalReason::QueueFull);
  RequestId UrgentRequest = Driver.submit(Driver.request());
  EXPECT_EQ(Driver.ending(UrgentRequest), "");
  EXPECT_EQ(Driver.refusal(Reports[4]).Reason, RefusalReason::Displaced);
  Driver.finish(Driver.running().front(), AttemptResult::Complete);
  EXPECT_EQ(Driver.dispatches(UrgentRequest).size(), 1U);
}

TEST(Router, RefusesQueuedRequestsIfNoTargetIsLeft) {
  RouterTestDriver Driver(smallOptions());
  Driver.setTargets({RouterTestDriver::target("a", 1)});
  Driver.submit(Driver.request());
  RequestId Waiting = Driver.submit(Driver.request());
  Target Leaving = RouterTestDriver::target("a", 1);
  Leaving.Draining = true;
  Driver.setTargets({Leaving});
  EXPECT_EQ(Driver.refusal(Waiting).Reason, RefusalReason::NoTarget);
  RequestId Next = Driver.submit(Driver.request());
  EXPECT_EQ(Driver.refusal(Next).Reason, RefusalReason::NoTarget);
  EXPECT_FALSE(Driver.refusal(Next).MayHaveRun);
}

TEST(Router, DrainingServesTheQueueAndRefusesNewRequests) {
  RouterTestDriver Driver(smallOptions());
  Driver.setTargets({RouterTestDriver::target("a", 1)});
  Driver.submit(Driver.request());
  RequestId Waiting = Driver.submit(Driver.request());
  Driver.drain();
  RequestId Late = Driver.submit(Driver.request());
  EXPECT_EQ(Driver.refusal(Late).Reason, RefusalReason::Draining);
  Driver.finish(Driver.running().front(), AttemptResult::Complete);
  EXPECT_EQ(Driver.dispatches(Waiting).size(), 1U);
}

namespace {

/// Expected result of a failed attempt.
struct FailureCase {
  const char *Name;
  bool Idempotent;
  bool Resumable;
  bool AnswerStarted;
  AttemptResult Result;
  /// A second dispatch is expected, otherwise a refusal.
  bool IsSentAgain;
  bool MayHaveRun;
};

} // namespace

TEST(Router, RetriesAFailedAttemptOnlyIfAllowed) {
  using enum AttemptResult;
  const std::vector<FailureCase> Cases = {
      {"lookup, nothing sent", true, false, false, FailedBeforeSend, true,
       false},
      {"lookup, sent", true, false, false, FailedAfterSend, true, true},
      {"lookup, overloaded", true, false, false, Overloaded, true, true},
      {"lookup, answer broke off", true, false, true, FailedAfterSend, false,
       true},
      {"stream, answer broke off", true, true, true, FailedAfterSend, true,
       true},
      {"payout, nothing sent", false, false, false, FailedBeforeSend, true,
       false},
      {"payout, sent", false, false, false, FailedAfterSend, false, true},
      {"payout, overloaded", false, false, false, Overloaded, false, true},
      {"payout, answer broke off", false, true, true, FailedAfterSend, false,
       true},
  };
  for (const FailureCase &Case : Cases) {
    SCOPED_TRACE(Case.Name);
    RouterTestDriver Driver(smallOptions());
    Driver.setTargets(
        {RouterTestDriver::target("a", 1), RouterTestDriver::target("b", 1)});
    RoutedRequest Request = Driver.request();
    Request.Idempotent = Case.Idempotent;
    Request.Resumable = Case.Resumable;
    Driver.submit(Request);
    AttemptId First = Driver.running().front();
    if (Case.AnswerStarted)
      Driver.reportFirstByte(First);
    Driver.finish(First, Case.Result, 700ms);
    EXPECT_EQ(Driver.dispatches(Request.Id).size(), Case.IsSentAgain ? 2U : 1U);
    EXPECT_EQ(Driver.ending(Request.Id), Case.IsSentAgain ? "" : "refused");
    if (!Case.IsSentAgain) {
      EXPECT_EQ(Driver.refusal(Request.Id).MayHaveRun, Case.MayHaveRun);
    } else {
      auto Sent = Driver.dispatches(Request.Id);
      EXPECT_NE(Sent[0].TargetName, Sent[1].TargetName);
      EXPECT_EQ(Sent[1].IsResume, Case.AnswerStarted);
    }
    EXPECT_TRUE(Driver.Violations.empty());
  }
}

TEST(Router, DisconnectedCallerCancelsOnlyIdempotentRequests) {
  RouterTestDriver Driver(smallOptions());
  Driver.setTargets({RouterTestDriver::target("a", 2)});
  RequestId Lookup = Driver.submit(Driver.request());
  RoutedRequest Payout = Driver.request();
  Payout.Idempotent = false;
  Driver.submit(Payout);
  std::vector<AttemptId> Running = Driver.running();
  Driver.callerDisconnected(Lookup);
  Driver.callerDisconnected(Payout.Id);
  EXPECT_EQ(Driver.Cancelled, std::set<AttemptId>{Running[0]});
  // Both slots stay in use until the attempts finish.
  RequestId Next = Driver.submit(Driver.request());
  EXPECT_TRUE(Driver.dispatches(Next).empty());
  Driver.finish(Running[0], AttemptResult::Cancelled);
  EXPECT_EQ(Driver.dispatches(Next).size(), 1U);
}

TEST(Router, HedgesALateAnswerAndCancelsTheSlowerAttempt) {
  RouterTestDriver Driver(smallOptions());
  Driver.setTargets(
      {RouterTestDriver::target("a", 4), RouterTestDriver::target("b", 4)});
  measureTimes(Driver, 30, 100ms);
  RequestId Lookup = Driver.submit(Driver.request());
  RoutedRequest Payout = Driver.request();
  Payout.Idempotent = false;
  Driver.submit(Payout);
  Driver.advance(300ms);
  auto Sent = Driver.dispatches(Lookup);
  ASSERT_EQ(Sent.size(), 2U);
  EXPECT_TRUE(Sent[1].IsHedge);
  EXPECT_NE(Sent[0].TargetName, Sent[1].TargetName);
  EXPECT_EQ(Driver.dispatches(Payout.Id).size(), 1U);
  Driver.reportFirstByte(Sent[1].Attempt);
  EXPECT_EQ(Driver.Cancelled, std::set<AttemptId>{Sent[0].Attempt});
}

TEST(Router, TargetsSlowerThanTheirHedgesBecomeStragglers) {
  RouterTestDriver Driver(smallOptions());
  Driver.setTargets(
      {RouterTestDriver::target("a", 8), RouterTestDriver::target("b", 8)});
  // A few answers take longer, so that a hedge starts well after the median.
  for (int I = 0; I < 10; ++I) {
    measureTimes(Driver, 6, 100ms);
    measureTimes(Driver, 1, 300ms);
  }
  auto FinishAll = [&Driver](std::string_view TargetKey, AttemptResult Result) {
    for (AttemptId Each : Driver.running())
      if (Driver.findTargetKey(Each) == TargetKey)
        Driver.finish(Each, Result);
  };
  // From here on, target a does not answer.
  for (int I = 0; I < 12; ++I) {
    for (int J = 0; J < 8; ++J)
      Driver.submit(Driver.request());
    Driver.advance(100ms);
    FinishAll("b#1", AttemptResult::Complete);
    Driver.advance(300ms);
    FinishAll("b#1", AttemptResult::Complete);
    FinishAll("a#1", AttemptResult::Cancelled);
  }
  for (const TargetUsage &Each : Driver.status().Targets)
    EXPECT_EQ(Each.Straggler, Each.TargetName == "a");
}

TEST(Router, HedgesStayWithinTheirBudgetWhenAllAnswersAreLate) {
  RouterTestDriver Driver(smallOptions());
  Driver.setTargets(
      {RouterTestDriver::target("a", 100), RouterTestDriver::target("b", 100)});
  measureTimes(Driver, 30, 100ms);
  for (int I = 0; I < 40; ++I)
    Driver.submit(Driver.request());
  Driver.advance(10s);
  // The burst is used up; RouterTestDriver checks that hedges do not exceed it.
  EXPECT_EQ(Driver.HedgeCount, 10U);
  EXPECT_TRUE(Driver.Violations.empty());
}

TEST(Router, FailuresBackOffFromAtMostHalfOfTheTargets) {
  RouterTestDriver Driver(smallOptions());
  Driver.setTargets({RouterTestDriver::target("a", 9),
                     RouterTestDriver::target("b", 9),
                     RouterTestDriver::target("c", 9)});
  // As many requests as the retry budget has attempts.
  for (int I = 0; I < 10; ++I) {
    RequestId Request = Driver.submit(Driver.request());
    ASSERT_EQ(Driver.dispatches(Request).size(), 1U);
    Driver.finish(Driver.running().front(), AttemptResult::FailedAfterSend);
    ASSERT_EQ(Driver.dispatches(Request).size(), 2U);
    // A failed target is not retried immediately even if it is not in back-off.
    EXPECT_NE(Driver.dispatches(Request)[0].TargetName,
              Driver.dispatches(Request)[1].TargetName);
    Driver.callerDisconnected(Request);
    if (!Driver.running().empty())
      Driver.finish(Driver.running().front(), AttemptResult::Cancelled);
  }
}

// Guards against requests to a target that asked for a longer pause than any
// back-off of the router's own.
TEST(Router, SendsNothingToATargetInThePauseThatItAskedFor) {
  RouterTestDriver Driver(smallOptions());
  Target Head = RouterTestDriver::target("a", 9);
  Head.GroupNumber = 4;
  Head.Address = "10.0.0.1:80";
  Target Other = RouterTestDriver::target("b", 1);
  Driver.setTargets({Head});
  RequestId Stream = Driver.submit(Driver.request());
  AttemptId StreamAttempt = Driver.running().front();
  Driver.submit(Driver.request());
  Driver.finish(Driver.running().back(), AttemptResult::Overloaded, 20s);
  // A shorter time does not end it, nor an event of a stream in progress, nor a
  // new number of the group.
  Driver.reportFirstByte(StreamAttempt);
  Head.IncarnationNumber = Head.GroupNumber = 5;
  Driver.setTargets({Head, Other});
  RequestId Busy = Driver.submit(Driver.request());
  ASSERT_EQ(Driver.dispatches(Busy).size(), 1U);
  EXPECT_EQ(Driver.dispatches(Busy)[0].TargetName, "b");
  RequestId Next = Driver.submit(Driver.request());
  Driver.advance(19900ms);
  EXPECT_TRUE(Driver.dispatches(Next).empty());
  Driver.advance(1200ms);
  ASSERT_EQ(Driver.dispatches(Next).size(), 1U);
  EXPECT_EQ(Driver.dispatches(Next)[0].TargetName, "a");
  // One request until it is answered.
  RequestId Third = Driver.submit(Driver.request());
  EXPECT_TRUE(Driver.dispatches(Third).empty());
  Driver.reportFirstByte(Driver.dispatches(Next)[0].Attempt);
  Driver.advance(1ms);
  EXPECT_EQ(Driver.dispatches(Third).size(), 1U);
  EXPECT_EQ(Driver.ending(Stream), "");
}

// Replaces a test in which such a request waited in the queue: all that is
// known is that no target takes it before the pause ends.
TEST(Router, RefusesAtOnceWhileAllTargetsAskForAPause) {
  RouterTestDriver Driver(smallOptions());
  Driver.setTargets(
      {RouterTestDriver::target("a", 1), RouterTestDriver::target("b", 1)});
  Driver.submit(Driver.request());
  Driver.submit(Driver.request());
  RequestId Queued = Driver.submit(Driver.request());
  std::vector<AttemptId> Running = Driver.running();
  Driver.finish(Running[0], AttemptResult::Overloaded, 2s);
  Driver.finish(Running[1], AttemptResult::Overloaded, 5s);
  EXPECT_EQ(Driver.ending(Queued), "refused");
  Driver.advance(1s);
  RequestId Late = Driver.submit(Driver.request());
  ASSERT_EQ(Driver.ending(Late), "refused");
  EXPECT_FALSE(Driver.refusal(Late).MayHaveRun);
  // The first pause ends a second later, and a spread of a quarter is added to
  // it here and for each caller.
  EXPECT_GE(Driver.refusal(Late).RetryAfter, 1s);
  EXPECT_LE(Driver.refusal(Late).RetryAfter, 1900ms);
  Driver.advance(1600ms);
  EXPECT_EQ(Driver.dispatches(Driver.submit(Driver.request())).size(), 1U);
}

TEST(Router, BacksOffFromAFailingTarget) {
  RouterTestDriver Driver(smallOptions());
  Driver.setTargets(
      {RouterTestDriver::target("a", 9), RouterTestDriver::target("b", 9)});
  Driver.submit(Driver.request());
  std::string Failing = Driver.findTargetKey(Driver.running().front());
  Driver.finish(Driver.running().front(), AttemptResult::FailedBeforeSend);
  for (int I = 0; I < 6; ++I)
    Driver.submit(Driver.request());
  for (AttemptId Each : Driver.running())
    EXPECT_NE(Driver.findTargetKey(Each), Failing);
  Driver.advance(300ms);
  std::set<std::string> Used;
  for (int I = 0; I < 6; ++I) {
    Driver.submit(Driver.request());
    Used.insert(Driver.findTargetKey(Driver.running().back()));
  }
  EXPECT_TRUE(Used.contains(Failing));
}
