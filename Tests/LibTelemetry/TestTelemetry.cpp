//===- Tests/LibTelemetry/TestTelemetry.cpp - Metrics and log lines -------===//
///
/// \file
/// Guards against metrics that mix workspaces and output that collectors cannot
/// parse: histograms are separate for each workspace and class and are printed
/// as collectors expect them, and a log line is one valid JSON object for any
/// content of its fields.
///
//===----------------------------------------------------------------------===//

#include <LibCore/Utf8.h>
#include <LibTelemetry/Log.h>
#include <LibTelemetry/Metrics.h>

#include <boost/json.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <thread>

using namespace carobhinge;
using ::testing::HasSubstr;
using ::testing::Not;

TEST(Metrics, SeriesAreSeparateByWorkspaceAndClass) {
  Metrics Collected;
  TrafficClass Sheets{.Workspace = "centre-1", .Class = "sheet"};
  TrafficClass Quoted{.Workspace = "a\"b", .Class = "sheet"};
  Collected.observe(Sheets, RequestTiming::FirstByte,
                    std::chrono::milliseconds(3));
  Collected.observe(Sheets, RequestTiming::FirstByte, std::chrono::hours(1));
  Collected.countOutcome(Quoted, "not-run", "queue-full");
  std::string Text = Collected.render();
  EXPECT_THAT(Text, HasSubstr("carobhinge_request_first_byte_seconds_bucket{"
                              "workspace=\"centre-1\",class=\"sheet\","
                              "le=\"0.004\"} 1\n"));
  EXPECT_THAT(Text, HasSubstr("le=\"0.002\"} 0\n"));
  EXPECT_THAT(Text, HasSubstr("le=\"+Inf\"} 2\n"));
  EXPECT_THAT(Text, HasSubstr("{workspace=\"a\\\"b\",class=\"sheet\",outcome="
                              "\"not-run\",reason=\"queue-full\"} 1\n"));
  EXPECT_THAT(Text, Not(HasSubstr("first_byte_seconds_bucket{workspace=\"a")));
}

TEST(Metrics, CountsFromManyThreadsAddUp) {
  Metrics Collected;
  {
    std::vector<std::jthread> Threads;
    Threads.reserve(8);
    for (int I = 0; I < 8; ++I)
      Threads.emplace_back([&Collected] {
        for (int J = 0; J < 1000; ++J)
          Collected.countOutcome({.Workspace = "w", .Class = "c"}, "answered",
                                 "");
      });
  }
  EXPECT_THAT(Collected.render(), HasSubstr("reason=\"\"} 8000\n"));
}

TEST(Log, LineIsOneJsonObjectForAnyContent) {
  std::string Line =
      formatLogLine(Severity::Warning, "request refused",
                    {{"reason", "line\nbreak \"quoted\""}, {"status", 503}});
  EXPECT_THAT(Line, Not(HasSubstr("\n")));
  boost::json::value Value = boost::json::parse(Line);
  EXPECT_EQ(Value.at("reason").as_string(), "line\nbreak \"quoted\"");
  EXPECT_EQ(Value.at("status").as_int64(), 503);
  EXPECT_EQ(Value.at("severity").as_string(), "warning");
}

// Guards against a line that no collector can read since a field holds bytes of
// a caller or an endpoint as they came.
RC_GTEST_PROP(Log, LineIsTextWhateverBytesAFieldHolds, (std::string Bytes)) {
  std::string Line =
      formatLogLine(Severity::Info, "attempt",
                    {{"last_event", "\xff" + Bytes}, {"refused_event", Bytes}});
  RC_ASSERT(isUtf8(Line));
  boost::json::value Value = boost::json::parse(Line);
  RC_ASSERT(Value.at("last_event").as_string() == escapeBytes("\xff" + Bytes));
  if (isUtf8(Bytes))
    RC_ASSERT(Value.at("refused_event").as_string() == Bytes);
}
