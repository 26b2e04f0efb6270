//===- Tests/LibCommands/TestRequestTrace.cpp - Causes in the logs --------===//
///
/// \file
/// Guards against a trace that hides why a request failed or that a log line is
/// missing. The input is log lines as the processes write them, for a request
/// that was refused, one whose stream was cut off and one whose end is not
/// logged.
///
//===----------------------------------------------------------------------===//

#include <LibCommands/RequestTrace.h>
#include <gtest/gtest.h>

using namespace carobhinge;

static std::string renderTrace(const std::string &Id,
                               std::initializer_list<std::string_view> Lines) {
  RequestTrace Trace(Id);
  for (std::string_view Line : Lines)
    Trace.addLine(Line);
  return Trace.render().Text;
}

static constexpr std::string_view RefusedLine =
    R"({"time":"T2","severity":"warning","host":"e1","event":"request",)"
    R"("request":"a","outcome":"refused","reason":"all places are full",)"
    R"("in_flight":70,"slots":78,"took_ms":1})";

TEST(RequestTrace, RefusalShowsSlotsInUse) {
  std::string Text = renderTrace("a", {RefusedLine, "no json"});
  EXPECT_NE(Text.find("cause: It was refused and did not run: all places are "
                      "full (70 requests in progress on 78 slots)."),
            std::string::npos)
      << Text;
  EXPECT_NE(Text.find("not read: 1 lines"), std::string::npos);
}

static constexpr std::string_view CutOffLine =
    R"({"time":"T9","host":"e1","event":"request","request":"b",)"
    R"("outcome":"cut-off","reason":"repeat not allowed"})";

static constexpr std::string_view EngineLostLine =
    R"({"time":"T4","host":"c1","event":"engine-lost","endpoint":"x",)"
    R"("group":"g","reason":"silent","silent_ms":1900,"heard_by":"answer",)"
    R"("heard_ms_ago":2500})";

static constexpr std::string_view AttemptLine =
    R"({"time":"T5","host":"e1","event":"attempt","request":"b",)"
    R"("endpoint":"h","place":"g","end":"lost","reason":"place stood still"})";

static constexpr std::string_view OmittedLine =
    R"({"time":"T1","host":"e1","event":"log-lines-omitted","count":7})";

TEST(RequestTrace, CutOffStreamShowsTheLostEngineOfItsGroup) {
  std::string Text = renderTrace(
      "b", {CutOffLine, EngineLostLine, AttemptLine, OmittedLine, RefusedLine});
  EXPECT_LT(Text.find("T5"), Text.find("T9"));
  EXPECT_NE(Text.find("engine-lost endpoint=x group=g reason=silent "
                      "silent_ms=1900 heard_by=answer heard_ms_ago=2500"),
            std::string::npos)
      << Text;
  EXPECT_NE(Text.find("Its stream was cut off: repeat not allowed; its last "
                      "attempt at h ended lost because: place stood still."),
            std::string::npos)
      << Text;
  EXPECT_NE(Text.find("7 lines were left out"), std::string::npos);
  EXPECT_EQ(Text.find("\"a\""), std::string::npos);
}

TEST(RequestTrace, OmitsEndpointsThatNeverReceivedTheRequest) {
  std::string Text = renderTrace(
      "a",
      {RefusedLine,
       R"({"time":"T1","event":"engine-lost","endpoint":"x","group":""})"});
  EXPECT_EQ(Text.find("engine-lost"), std::string::npos) << Text;
}

TEST(RequestTrace, ReportsMissingLines) {
  std::string Text =
      renderTrace("b", {R"({"time":"T5","event":"attempt","request":"b"})"});
  EXPECT_NE(Text.find("do not show how the request ended"), std::string::npos);
  EXPECT_EQ(RequestTrace("z").render().Exit, ExitRefused);
}

static constexpr std::string_view RefusedPromptLine =
    R"({"time":"T9","host":"e1","event":"request","request":"d",)"
    R"("outcome":"refused","reason":"engines crash on this prompt",)"
    R"("prompt_parts":"c0ffee bad0"})";

static constexpr std::string_view RefusalLine =
    R"({"time":"T5","host":"c1","event":"prompt-refused",)"
    R"("prompt_parts":"bad0","engines":"i-1 i-2"})";

static constexpr std::string_view OtherRefusalLine =
    R"({"time":"T6","host":"c1","event":"prompt-refused",)"
    R"("prompt_parts":"0ther","engines":"i-3"})";

static constexpr std::string_view CrashLine =
    R"({"time":"T1","host":"e2","event":"engine-crashed",)"
    R"("endpoint":"i-1","prompts":4})";

static constexpr std::string_view OtherCrashLine =
    R"({"time":"T2","host":"e2","event":"engine-crashed",)"
    R"("endpoint":"i-3","prompts":4})";

// Guards against a refusal that does not lead to the crashes that were its
// reason.
TEST(RequestTrace, RefusedPromptShowsTheCrashesBehindTheRefusal) {
  std::string Text =
      renderTrace("d", {RefusedPromptLine, RefusalLine, OtherRefusalLine,
                        CrashLine, OtherCrashLine});
  EXPECT_NE(Text.find("prompt-refused prompt_parts=bad0 engines=i-1 i-2"),
            std::string::npos)
      << Text;
  EXPECT_NE(Text.find("engine-crashed endpoint=i-1"), std::string::npos);
  EXPECT_EQ(Text.find("i-3"), std::string::npos) << Text;
  EXPECT_NE(Text.find("It was refused and did not run: engines crash on this "
                      "prompt."),
            std::string::npos);
}
