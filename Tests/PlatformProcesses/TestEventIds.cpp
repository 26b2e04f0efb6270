//===- Tests/PlatformProcesses/TestEventIds.cpp - Ids of any form ---------===//
///
/// \file
/// Guards against streams that are broken off, or brought twice, since the ids
/// of their events don't count by one. Real processes run in front of endpoints
/// whose ids rise by one, by seven, by drawn steps and beyond 64 bits.
///
//===----------------------------------------------------------------------===//

#include <PlatformWorld/LogReader.h>
#include <PlatformWorld/PlatformVerifyingCaller.h>
#include <csignal>
#include <gtest/gtest.h>

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
