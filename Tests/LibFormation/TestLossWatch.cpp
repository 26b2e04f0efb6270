//===- Tests/LibFormation/TestLossWatch.cpp - Lost engines ----------------===//

#include <LibFormation/LossWatch.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

namespace {

class LossWatchTest : public testing::Test {
protected:
  LossWatchTest() {
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

  EngineRegister Engines;
  LossWatch Detector{{}, this->Engines};
  TimePoint Now{seconds(100)};
  std::uint64_t Sequence = 0;
};

} // namespace

TEST_F(LossWatchTest, ProbesOverdueEngineAndReportsItLostWithoutAnswer) {
  EXPECT_TRUE(this->Detector.toAsk(this->Now).empty());
  this->Now += seconds(1);
  this->receiveReport("two", 7);
  this->Now += std::chrono::milliseconds(700);
  EXPECT_EQ(this->Detector.toAsk(this->Now), std::vector<EndpointName>{"one"});
  EXPECT_TRUE(this->Detector.lost(this->Now).empty());
  this->Detector.unanswered(this->Now, "one");
  EXPECT_EQ(this->Detector.lost(this->Now), std::set<EndpointName>{"one"});
}

TEST_F(LossWatchTest, StalledStreamTriggersProbesBeforeAHeartbeatIsOverdue) {
  this->Now += std::chrono::milliseconds(300);
  this->Detector.silent(this->Now, "g");
  EXPECT_TRUE(this->Detector.suspects(this->Now, "g"));
  EXPECT_EQ(this->Detector.toAsk(this->Now).size(), 2U);
  // An event after the stall clears the suspicion.
  this->Now += std::chrono::milliseconds(50);
  this->Detector.flowed("g", 7, this->Now);
  EXPECT_FALSE(this->Detector.suspects(this->Now, "g"));
}

TEST_F(LossWatchTest, UnreachableEngineOfAGroupWithProgressIsNotLost) {
  this->Now += seconds(3);
  this->Detector.flowed("g", 7, this->Now);
  EXPECT_TRUE(this->Detector.toAsk(this->Now).empty());
  this->Detector.unanswered(this->Now, "one");
  EXPECT_TRUE(this->Detector.lost(this->Now).empty());
}

TEST_F(LossWatchTest, ProgressOfANewerEpochDoesNotClearAReplacedEngine) {
  this->Now += seconds(3);
  this->Detector.unanswered(this->Now, "one");
  this->Detector.flowed("g", 8, this->Now);
  EXPECT_EQ(this->Detector.lost(this->Now), std::set<EndpointName>{"one"});
}

TEST_F(LossWatchTest, HeartbeatClearsALostEngine) {
  this->Now += seconds(3);
  this->Detector.unanswered(this->Now, "one");
  this->Now += std::chrono::milliseconds(10);
  this->receiveReport("one", 7);
  EXPECT_TRUE(this->Detector.lost(this->Now).empty());
}
