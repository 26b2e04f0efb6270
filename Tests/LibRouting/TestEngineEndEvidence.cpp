//===- Tests/LibRouting/TestEngineEndEvidence.cpp - Crash or not ----------===//
///
/// \file
/// Guards against prompts that are judged by crashes that were none, and
/// against crashes that are excused by an order or an answer from before them.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/EngineEndEvidence.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;

static constexpr TimePoint Start{std::chrono::hours(1)};

static TimePoint at(int Ms) { return Start + std::chrono::milliseconds(Ms); }

static CrashReport report(int LostMs, int BeganMs) {
  return {.Engine = "engine",
          .At = at(LostMs),
          .Prompts = {{.Parts = {1}, .BeganAt = at(BeganMs)}}};
}

static EngineAnswer order(int SentMs, int AnsweredMs) {
  return {.Engine = "engine",
          .SentAt = at(SentMs),
          .AnsweredAt = at(AnsweredMs),
          .EndsRequests = true};
}

/// The answer of an engine in a life that has been known since \p KnownMs.
static EngineAnswer answer(int SentMs, int KnownMs = 0) {
  return {.Engine = "engine",
          .SentAt = at(SentMs),
          .AnsweredAt = at(SentMs + 5),
          .StatedLife = 17,
          .KnownLife = 17,
          .KnownSince = at(KnownMs)};
}

/// An engine that was ordered to leave its group closed its connections, and
/// that counted as a crash.
TEST(EngineEndEvidence, RequestsThatAnOrderEndedAreNoCrash) {
  EngineEndEvidence Evidence;
  Evidence.recordAnswer(order(1000, 1005));
  CrashReport Report = report(1003, 200);
  EXPECT_EQ(Evidence.recordReport(at(1110), Report),
            ReportVerdict::EndedByOrder);
  EXPECT_TRUE(Evidence.enginesToAsk().empty());
  // A host that was suspended notices it late.
  Report = report(2400, 200);
  EXPECT_EQ(Evidence.recordReport(at(2510), Report),
            ReportVerdict::EndedByOrder);
}

TEST(EngineEndEvidence, AnOrderExcusesNoOtherLoss) {
  struct Case {
    const char *What;
    int LostMs;
    int BeganMs;
  };
  for (const Case &Each : {Case{"lost before the order", 900, 200},
                           Case{"began after the order", 1300, 1100},
                           Case{"lost long after the order", 4000, 200}}) {
    EngineEndEvidence Evidence;
    Evidence.recordAnswer(order(1000, 1005));
    CrashReport Report = report(Each.LostMs, Each.BeganMs);
    EXPECT_EQ(Evidence.recordReport(at(Each.LostMs + 110), Report),
              ReportVerdict::Counts)
        << Each.What;
    EXPECT_EQ(Report.Prompts.size(), 1U) << Each.What;
  }
}

TEST(EngineEndEvidence, OrderLeavesLaterPromptsOfTheReport) {
  EngineEndEvidence Evidence;
  Evidence.recordAnswer(order(1000, 1005));
  CrashReport Report = report(1500, 200);
  Report.Prompts.push_back({.Parts = {2}, .BeganAt = at(1300)});
  EXPECT_EQ(Evidence.recordReport(at(1610), Report), ReportVerdict::Counts);
  ASSERT_EQ(Report.Prompts.size(), 1U);
  EXPECT_EQ(Report.Prompts.front().Parts, PromptParts{2});
}

TEST(EngineEndEvidence, EngineThatAnswersAfterTheReportGoesOn) {
  EngineEndEvidence Evidence;
  CrashReport Report = report(1000, 200);
  EXPECT_EQ(Evidence.recordReport(at(1110), Report), ReportVerdict::Counts);
  EXPECT_TRUE(Evidence.enginesToAsk().contains("engine"));
  Evidence.recordAsked("engine");
  EXPECT_TRUE(Evidence.enginesToAsk().empty());
  EXPECT_TRUE(Evidence.recordAnswer(answer(1150)));
}

/// The next life of an engine took its crash back: it answered under the same
/// id at the same address.
TEST(EngineEndEvidence, OnlyTheLifeThatLostTheRequestsTakesItsCrashBack) {
  EngineEndEvidence Evidence;
  CrashReport Report = report(1000, 200);
  Report.Prompts.push_back({.Parts = {2}, .BeganAt = at(900)});
  EXPECT_EQ(Evidence.recordReport(at(1110), Report), ReportVerdict::Counts);
  EngineAnswer Unknown = answer(1500);
  Unknown.StatedLife = 18;
  EXPECT_FALSE(Evidence.recordAnswer(Unknown)) << "its heartbeat is to come";
  EngineAnswer Nameless = answer(1500);
  Nameless.StatedLife.reset();
  EXPECT_FALSE(Evidence.recordAnswer(Nameless));
  Nameless.KnownLife.reset();
  EXPECT_FALSE(Evidence.recordAnswer(Nameless)) << "nothing is known at all";
  EXPECT_FALSE(Evidence.recordAnswer(answer(1500, 1300))) << "known since then";
  EXPECT_FALSE(Evidence.recordAnswer(answer(1500, 500))) << "one ran before";
  EXPECT_TRUE(Evidence.recordAnswer(answer(1500, 199)));
}

/// A host loses one connection by chance, and the others some time later in a
/// crash; it reports the time of the first one.
TEST(EngineEndEvidence, AnswerToACallFromBeforeTheReportShowsNothing) {
  EngineEndEvidence Evidence;
  EXPECT_FALSE(Evidence.recordAnswer(answer(1080)));
  CrashReport Report = report(1000, 200);
  EXPECT_EQ(Evidence.recordReport(at(1110), Report), ReportVerdict::Counts);
  EXPECT_FALSE(Evidence.recordAnswer(answer(1090)));
  // Another host reports while the question is on its way.
  Evidence.recordAsked("engine");
  Report = report(1140, 200);
  EXPECT_EQ(Evidence.recordReport(at(1250), Report), ReportVerdict::Counts);
  EXPECT_FALSE(Evidence.recordAnswer(answer(1200)));
  EXPECT_TRUE(Evidence.enginesToAsk().contains("engine"));
}

/// Prompts that were sent to an engine half a second after its crash, and reset
/// there, counted as in progress at the crash.
TEST(EngineEndEvidence, PromptsSentToAnEngineThatHasEndedAreNoCause) {
  EngineEndEvidence Evidence;
  CrashReport Report = report(1000, 200);
  EXPECT_EQ(Evidence.recordReport(at(1110), Report), ReportVerdict::Counts);
  Evidence.recordRefused("engine", at(1150));
  Report = report(1400, 1390);
  EXPECT_EQ(Evidence.recordReport(at(1510), Report),
            ReportVerdict::SentAfterEnd);
  // One that was sent before, and whose host notices the crash late.
  Report = report(1400, 900);
  EXPECT_EQ(Evidence.recordReport(at(1510), Report), ReportVerdict::Counts);
  // By then the engine may have started again.
  Report = report(2600, 2500);
  EXPECT_EQ(Evidence.recordReport(at(2710), Report), ReportVerdict::Counts);
}

TEST(EngineEndEvidence, RefusalHoldsForOneCrash) {
  EngineEndEvidence Evidence;
  Evidence.recordRefused("engine", at(500));
  CrashReport Report = report(1000, 200);
  EXPECT_EQ(Evidence.recordReport(at(1110), Report), ReportVerdict::Counts);
  Evidence.recordRefused("engine", at(900));
  Report = report(1200, 1100);
  EXPECT_EQ(Evidence.recordReport(at(1310), Report), ReportVerdict::Counts);
  Evidence.recordRefused("engine", at(1350));
  Report = report(4000, 3000);
  EXPECT_EQ(Evidence.recordReport(at(4110), Report), ReportVerdict::Counts);
  Report = report(4200, 4100);
  EXPECT_EQ(Evidence.recordReport(at(4310), Report), ReportVerdict::Counts);
}

/// Draws one engine that is ordered to leave now and then, answers all calls
/// while it runs, and crashes once.
RC_GTEST_PROP(EngineEndEvidenceProperties, CrashCountsAndOrderedEndsDoNot, ()) {
  EngineEndEvidence Evidence;
  const int CrashMs = *rc::gen::inRange(0, 8000);
  const auto OrderTimes =
      *rc::gen::container<std::set<int>>(rc::gen::inRange(0, 8000));
  int LastOrderMs = -1;
  for (int SentMs : OrderTimes) {
    const int TakesMs = *rc::gen::inRange(1, 40);
    if (SentMs + TakesMs >= CrashMs)
      break;
    if (SentMs < LastOrderMs)
      continue;
    Evidence.recordAnswer(order(SentMs, SentMs + TakesMs));
    LastOrderMs = SentMs + TakesMs;
    const int LostMs = SentMs + *rc::gen::inRange(0, TakesMs + 100);
    const int BeganMs = SentMs - *rc::gen::inRange(1, 2000);
    CrashReport Ended = report(LostMs, BeganMs);
    RC_ASSERT(Evidence.recordReport(Ended.At + std::chrono::milliseconds(110),
                                    Ended) == ReportVerdict::EndedByOrder);
  }
  // What ran at the crash began after the last order.
  CrashReport Crash = report(
      CrashMs, LastOrderMs + *rc::gen::inRange(1, CrashMs - LastOrderMs + 1));
  RC_ASSERT(Evidence.recordReport(at(CrashMs + 110), Crash) ==
            ReportVerdict::Counts);
  RC_ASSERT(!Evidence.recordAnswer(answer(CrashMs - 1)));
}
