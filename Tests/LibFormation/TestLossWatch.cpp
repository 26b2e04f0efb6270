//===- Tests/LibFormation/TestLossWatch.cpp - Which engines are lost ------===//

#include <LibFormation/LossWatch.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

namespace {

class LossWatchTest : public testing::Test {
protected:
  LossWatchTest() {
    this->hear("one", 7);
    this->hear("two", 7);
  }

  void hear(const EndpointName &Id, std::uint64_t Epoch) {
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
  LossWatch Watch{{}, this->Engines};
  TimePoint Now{seconds(100)};
  std::uint64_t Sequence = 0;
};

} // namespace

TEST_F(LossWatchTest, AsksAnOverdueEngineAndBelievesItsSilence) {
  EXPECT_TRUE(this->Watch.toAsk(this->Now).empty());
  this->Now += seconds(1);
  this->hear("two", 7);
  this->Now += std::chrono::milliseconds(700);
  EXPECT_EQ(this->Watch.toAsk(this->Now), std::vector<EndpointName>{"one"});
  EXPECT_TRUE(this->Watch.lost(this->Now).empty());
  this->Watch.unanswered(this->Now, "one");
  EXPECT_EQ(this->Watch.lost(this->Now), std::set<EndpointName>{"one"});
}

TEST_F(LossWatchTest, SilenceOfStreamsIsAskedAboutBeforeAHeartbeatIsMissed) {
  this->Now += std::chrono::milliseconds(300);
  this->Watch.silent(this->Now, "g");
  EXPECT_TRUE(this->Watch.suspects(this->Now, "g"));
  EXPECT_EQ(this->Watch.toAsk(this->Now).size(), 2U);
  // An event ends the suspicion.
  this->Now += std::chrono::milliseconds(50);
  this->Watch.flowed("g", 7, this->Now);
  EXPECT_FALSE(this->Watch.suspects(this->Now, "g"));
}

TEST_F(LossWatchTest, AnEngineOutOfReachWhoseGroupAnswersIsNotLost) {
  this->Now += seconds(3);
  this->Watch.flowed("g", 7, this->Now);
  EXPECT_TRUE(this->Watch.toAsk(this->Now).empty());
  this->Watch.unanswered(this->Now, "one");
  EXPECT_TRUE(this->Watch.lost(this->Now).empty());
}

TEST_F(LossWatchTest, AReplacedEngineIsNotFoundByWhatItsOldGroupAnswers) {
  this->Now += seconds(3);
  this->Watch.unanswered(this->Now, "one");
  this->Watch.flowed("g", 8, this->Now);
  EXPECT_EQ(this->Watch.lost(this->Now), std::set<EndpointName>{"one"});
}

TEST_F(LossWatchTest, AHeartbeatBringsALostEngineBack) {
  this->Now += seconds(3);
  this->Watch.unanswered(this->Now, "one");
  this->Now += std::chrono::milliseconds(10);
  this->hear("one", 7);
  EXPECT_TRUE(this->Watch.lost(this->Now).empty());
}
