//===- Tests/PlatformProcesses/TestEventIds.cpp - Ids of any form ---------===//
///
/// \file
/// Guards against streams that are broken off, or brought twice, since the ids
/// of their events don't count by one, and against logs that ids make
/// unreadable. Real processes run in front of endpoints whose ids rise by one,
/// by seven, by drawn steps and beyond 64 bits.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/BlockingFetch.h>
#include <PlatformWorld/LogReader.h>
#include <PlatformWorld/PlatformVerifyingCaller.h>
#include <csignal>
#include <fstream>
#include <gtest/gtest.h>
#include <platform/WireNames.h>

using namespace carobhinge;
using std::chrono::seconds;

namespace {

class EventIds : public testing::Test {
protected:
  void SetUp() override {
    this->Deployment.start();
    this->waitForStreams(FirstEntryHost);
  }
  /// Engines of one model may be ready before those of the other.
  void waitForStreams(std::size_t Host) {
    for (std::string_view Model : {"threes", "pairs"})
      PlatformDeployment::waitFor("streams are answered", [&] {
        return this->Caller.callOnce(Host, CallKind::Stream,
                                     {.Model = Model}) == CallEnd::Answered;
      });
  }
  /// Enough for each form of ids to be among them.
  void expectWholeStreams(std::size_t Host) {
    for (int I = 0; I < 40; ++I)
      EXPECT_EQ(this->Caller.callOnce(Host, CallKind::Stream),
                CallEnd::Answered);
    EXPECT_EQ(this->Caller.findViolations(this->Deployment.executionLog()),
              std::vector<std::string>());
  }
  /// \returns the length of the longest line of \p Event in any log, in bytes.
  std::size_t longestLine(const std::string &Event) {
    std::size_t Longest = 0;
    for (const std::filesystem::path &Path : this->Deployment.logs()) {
      std::ifstream File(Path);
      for (std::string Line; std::getline(File, Line);)
        if (Line.find("\"event\":\"" + Event + "\"") != std::string::npos)
          Longest = std::max(Longest, Line.size());
    }
    return Longest;
  }

  static constexpr std::size_t FirstEntryHost = 3;
  PlatformDeployment Deployment{PlatformPlan{.TimeoutFactor = 7}};
  PlatformVerifyingCaller Caller{this->Deployment, 20261208};
};

} // namespace

// Guards against a stream that is broken off at its second event.
TEST_F(EventIds, OfAnyStepLeaveStreamsWhole) {
  this->expectWholeStreams(FirstEntryHost);
}

// Guards against the same where two entry hosts in a row pass events on.
TEST_F(EventIds, OfAnyStepLeaveStreamsThroughAnotherHostWhole) {
  this->Deployment.setEndpointLinks(FirstEntryHost, LinkMode::Cut);
  this->waitForStreams(FirstEntryHost);
  this->expectWholeStreams(FirstEntryHost);
}

// Guards against streams in progress that a stop of their host breaks off.
TEST_F(EventIds, OfAnyStepLeaveStreamsWholeWhileTheirHostStops) {
  static constexpr unsigned Callers = 12;
  this->Caller.start(Callers, std::chrono::milliseconds(20));
  this->Caller.waitUntilAnswered(100);
  ChildProcess &Stopped = this->Deployment.process(FirstEntryHost);
  Stopped.signal(SIGTERM);
  EXPECT_EQ(Stopped.wait(seconds(60)), 0);
  this->Caller.stop();
  // A call may arrive while its connection is being closed; it isn't executed.
  std::map<std::string, unsigned> Executions =
      this->Deployment.executionLog().executions();
  for (const auto &[Id, End] : this->Caller.ends())
    if (End == CallEnd::CutOff || End == CallEnd::Unknown) {
      EXPECT_FALSE(Executions.contains(Id)) << Id;
    }
  EXPECT_EQ(this->Caller.findViolations(this->Deployment.executionLog()),
            std::vector<std::string>());
}

// Guards against a line of the log that is no JSON, or as long as the head of a
// request, since a caller resumes after an id that is no text or names itself
// so.
TEST_F(EventIds, ThatAreNoTextLeaveTheLogReadable) {
  this->Deployment.setEndpointLinks(FirstEntryHost, LinkMode::Cut);
  LogSummary Summary;
  PlatformDeployment::waitFor("an attempt is lost", [&] {
    HttpRequest Request{.Method = "POST",
                        .Target = "/draft/1",
                        .Headers = {{"Host", "callers.example"}},
                        .Body = "{}"};
    Request.Headers.add(platform::AttemptIdField, "no text \xff\xfe");
    Request.Headers.add(platform::KeyField, this->Deployment.key());
    Request.Headers.add(platform::DeadlineField, "5000");
    Request.Headers.add(platform::ModelField, "pairs");
    Request.Headers.add(platform::TokensField, "50,80");
    Request.Headers.add(platform::ResumeField,
                        "7\xff" + std::string(4096, '7'));
    blockingFetch(this->Deployment.callerAddress(FirstEntryHost),
                  std::move(Request));
    std::vector<std::filesystem::path> Paths = this->Deployment.logs();
    Summary = readLogs(Paths);
    return !Summary.Faults.empty() || Summary.Events["attempt"] > 0;
  });
  EXPECT_EQ(Summary.Faults, std::vector<std::string>());
  EXPECT_LT(this->longestLine("attempt"), 2048U);
}
