//===- Tests/LibFormation/TestEngineFailureDetector.cpp - Lost engines ----===//
///
/// \file
/// Guards against lost engines that are noticed late, and against engines
/// reported as lost although they answer or their group makes progress.
///
//===----------------------------------------------------------------------===//

#include <LibFormation/EngineFailureDetector.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

namespace {

class EngineFailureDetectorTest : public testing::Test {
protected:
  EngineFailureDetectorTest() {
    this->receiveReport("one", 7);
    this->receiveReport("two", 7);
  }

  void receiveReport(const EndpointName &Id, std::uint64_t Epoch) {
    this->Engines.accept(
        this->Now, {.Id = Id,
                    .Address = Id,
                    .Service = "sheets",
                    .Sequence = ++this->Sequence,
                    .Group = GroupMembership{.Group = "g",
                                             .Epoch = Epoch,
                                             .Rank = 0,
                                             .State = MemberState::Open}});
  }

  EngineRegistry Engines;
  EngineFailureDetector Detector{{}, this->Engines};
  TimePoint Now{seconds(100)};
  std::uint64_t Sequence = 0;
};

} // namespace

TEST_F(EngineFailureDetectorTest,
       ProbesOverdueEngineAndReportsItLostWithoutAnswer) {
  EXPECT_TRUE(this->Detector.enginesToProbe(this->Now).empty());
  this->Now += seconds(1);
  this->receiveReport("two", 7);
  this->Now += std::chrono::milliseconds(700);
  EXPECT_EQ(this->Detector.enginesToProbe(this->Now),
            std::vector<EndpointName>{"one"});
  EXPECT_TRUE(this->Detector.lostEngines(this->Now).empty());
  this->Detector.probeFailed(this->Now, "one");
  EXPECT_EQ(this->Detector.lostEngines(this->Now),
            std::set<EndpointName>{"one"});
}

TEST_F(EngineFailureDetectorTest,
       StalledStreamTriggersProbesBeforeAHeartbeatIsOverdue) {
  this->Now += std::chrono::milliseconds(300);
  this->Detector.recordStall(this->Now, "g");
  EXPECT_TRUE(this->Detector.isSuspect(this->Now, "g"));
  EXPECT_EQ(this->Detector.enginesToProbe(this->Now).size(), 2U);
  // An event after the stall clears the suspicion.
  this->Now += std::chrono::milliseconds(50);
  this->Detector.recordProgress("g", 7, this->Now);
  EXPECT_FALSE(this->Detector.isSuspect(this->Now, "g"));
}

TEST_F(EngineFailureDetectorTest,
       UnreachableEngineOfAGroupWithProgressIsNotLost) {
  this->Now += seconds(3);
  this->Detector.recordProgress("g", 7, this->Now);
  EXPECT_TRUE(this->Detector.enginesToProbe(this->Now).empty());
  this->Detector.probeFailed(this->Now, "one");
  EXPECT_TRUE(this->Detector.lostEngines(this->Now).empty());
}

TEST_F(EngineFailureDetectorTest,
       ProgressOfANewerEpochDoesNotClearAReplacedEngine) {
  this->Now += seconds(3);
  this->Detector.probeFailed(this->Now, "one");
  this->Detector.recordProgress("g", 8, this->Now);
  EXPECT_EQ(this->Detector.lostEngines(this->Now),
            std::set<EndpointName>{"one"});
}

TEST_F(EngineFailureDetectorTest, HeartbeatClearsALostEngine) {
  this->Now += seconds(3);
  this->Detector.probeFailed(this->Now, "one");
  this->Now += std::chrono::milliseconds(10);
  this->receiveReport("one", 7);
  EXPECT_TRUE(this->Detector.lostEngines(this->Now).empty());
}
