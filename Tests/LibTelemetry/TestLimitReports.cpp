//===- Tests/LibTelemetry/TestLimitReports.cpp - Reports of limits --------===//
///
/// \file
/// Guards against limits that are reached without a word, and against a log
/// that a flood of them fills.
///
//===----------------------------------------------------------------------===//

#include <LibTelemetry/LimitReports.h>
#include <LibTelemetry/RefusedMessageLog.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

TEST(LimitReports, FirstTimeIsLoggedAtOnceAndTheNextOnesTogether) {
  LimitReports Reports;
  TimePoint Start{};
  auto First = Reports.record(Start, "held-bytes", "engine-1");
  ASSERT_TRUE(First);
  EXPECT_EQ(First->Count, 1U);
  for (int I = 0; I < 5; ++I)
    EXPECT_FALSE(Reports.record(Start + seconds(9), "held-bytes", "engine-1"));
  EXPECT_TRUE(Reports.record(Start + seconds(9), "held-bytes", "engine-2"));
  auto Next = Reports.record(Start + seconds(10), "held-bytes", "engine-1");
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Count, 6U);
}

TEST(LimitReports, FloodOfPeersWritesABoundedNumberOfLines) {
  LimitReports Reports;
  TimePoint Start{};
  std::size_t Lines = 0;
  for (int I = 0; I < 10'000; ++I)
    if (Reports.record(Start, "body-bytes", "10.0.0." + std::to_string(I)))
      ++Lines;
  EXPECT_EQ(Lines, LimitReports::MaxEntries + 1);
  auto Other = Reports.record(Start + seconds(5), "body-bytes", "10.9.9.9");
  EXPECT_FALSE(Other);
  auto Later = Reports.record(Start + seconds(10), "body-bytes", "10.9.9.9");
  ASSERT_TRUE(Later);
  EXPECT_EQ(Later->Peer, "10.9.9.9");
}

// Guards against broken answers that nobody can count, by their fault.
TEST(LimitLog, CountsBrokenAnswersByTheirFault) {
  Metrics Collected;
  LimitLog Log(Collected);
  for (const char *Peer : {"engine-1", "engine-1", "engine-2"})
    Log.recordBrokenAnswer("transfer-coding", "gzip", Peer);
  Log.record("held-bytes", "engine-1");
  std::string Text = Collected.render();
  EXPECT_NE(Text.find("broken_answer_transfer_coding_total 3\n"),
            std::string::npos)
      << Text;
  EXPECT_NE(Text.find("limit_reached_held_bytes_total 1\n"), std::string::npos);
}

// Guards against refused messages that nobody can count.
TEST(RefusedMessageLog, CountsEachMessage) {
  Metrics Collected;
  RefusedMessageLog Log(Collected);
  Findings Found;
  Found.add("/term", "1", "0");
  for (const char *Peer : {"host-1", "host-1", "\xff"})
    Log.record(Peer, Found);
  EXPECT_NE(Collected.render().find("messages_refused_total 3\n"),
            std::string::npos);
}
