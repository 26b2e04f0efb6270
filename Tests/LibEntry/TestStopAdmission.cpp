//===- Tests/LibEntry/TestStopAdmission.cpp - Admission during a stop -----===//
///
/// \file
/// Guards against requests that are taken on late in the grace time of a stop
/// and cut off at its end.
///
//===----------------------------------------------------------------------===//

#include <LibEntry/StopAdmission.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

static const TimePoint Start{seconds(1000)};

static ExpectedWork work(Duration TimeBudget, bool IsRepeatable) {
  return {.Route = "r", .TimeBudget = TimeBudget, .IsRepeatable = IsRepeatable};
}

TEST(StopAdmission, AdmitsEverythingUnlessTheHostStops) {
  StopAdmission Stop;
  EXPECT_TRUE(Stop.mayAdmit(Start, work(seconds(100), false)));
  EXPECT_FALSE(Stop.deadline());
}

TEST(StopAdmission, AdmitsWhatMayNotRepeatOnlyIfItEndsInTime) {
  StopAdmission Stop;
  Stop.recordEnd(work(seconds(8), false), seconds(1));
  Stop.beginStop(Start + seconds(8));
  EXPECT_TRUE(Stop.mayAdmit(Start, work(seconds(8), false)));
  EXPECT_FALSE(Stop.mayAdmit(Start, work(seconds(8) + Duration(1), false)));
  EXPECT_FALSE(Stop.mayAdmit(Start + seconds(5), work(seconds(4), false)));
}

TEST(StopAdmission, AdmitsOthersIfTheyAreExpectedToEndInTime) {
  StopAdmission Stop;
  ExpectedWork Work = work(seconds(8), true);
  Stop.recordEnd(Work, seconds(3));
  Stop.recordEnd(Work, seconds(3) / 2);
  Stop.beginStop(Start + seconds(8));
  EXPECT_TRUE(Stop.mayAdmit(Start + seconds(5), Work));
  EXPECT_FALSE(Stop.mayAdmit(Start + seconds(6), Work));
  Work.Route = "unknown";
  EXPECT_FALSE(Stop.mayAdmit(Start + seconds(5), Work));
  // They have become slow, and fast again.
  Work.Route = "r";
  Stop.recordEnd(Work, seconds(9));
  EXPECT_FALSE(Stop.mayAdmit(Start + seconds(1), Work));
  for (int I = 0; I < 200; ++I)
    Stop.recordEnd(Work, seconds(1));
  EXPECT_TRUE(Stop.mayAdmit(Start + seconds(6), Work));
}

TEST(StopAdmission, LongAnswersTakeLonger) {
  StopAdmission Stop;
  ExpectedWork Work = work(seconds(8), true);
  Work.AnswerTokens = 100;
  Stop.recordEnd(Work, seconds(1));
  Stop.beginStop(Start + seconds(8));
  Work.AnswerTokens = 500;
  EXPECT_TRUE(Stop.mayAdmit(Start + seconds(3), Work));
  Work.AnswerTokens = 501;
  EXPECT_FALSE(Stop.mayAdmit(Start + seconds(3), Work));
}
