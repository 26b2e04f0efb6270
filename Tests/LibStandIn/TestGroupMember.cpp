//===- Tests/LibStandIn/TestGroupMember.cpp - An engine's side of orders --===//

#include <LibStandIn/EngineCrowd.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

namespace {

EngineSpec specOfPairs() {
  EngineSpec Spec{.Slots = 4, .OpenTime = std::chrono::milliseconds(300)};
  Spec.Models = {{.Name = "pair",
                  .GroupSize = 2,
                  .LoadTime = seconds(12),
                  .StagedJoinTime = std::chrono::milliseconds(1100)}};
  return Spec;
}

EngineOrder join(const EndpointName &To, std::uint64_t Epoch,
                 const GroupName &Group = "g") {
  return {.To = To,
          .Verb = OrderVerb::Join,
          .Group = Group,
          .Epoch = Epoch,
          .Model = "pair",
          .Members = {"a", "b"},
          .Token = 1};
}

EngineOrder other(OrderVerb Verb, const EndpointName &To, std::uint64_t Epoch) {
  return {.To = To, .Verb = Verb, .Group = "g", .Epoch = Epoch, .Token = 1};
}

} // namespace

TEST(GroupMember, LoadsOnceAndRejoinsAtOnce) {
  EngineSpec Spec = specOfPairs();
  GroupMember Member(Spec);
  TimePoint Now{};
  EXPECT_EQ(Member.take(Now, join("a", 1)), OrderResult::Accepted);
  EXPECT_TRUE(Member.isLoading());
  EXPECT_FALSE(Member.advance(Now + seconds(11)));
  EXPECT_TRUE(Member.advance(Now + seconds(12)));
  EXPECT_EQ(Member.take(Now, join("a", 2)), OrderResult::Accepted);
  EXPECT_TRUE(Member.advance(Now + std::chrono::milliseconds(200)));
  // A restart keeps the weights on the host, not those in memory.
  Member.restart();
  EXPECT_EQ(Member.take(Now, join("a", 3)), OrderResult::Accepted);
  EXPECT_FALSE(Member.advance(Now + std::chrono::milliseconds(1000)));
  EXPECT_TRUE(Member.advance(Now + std::chrono::milliseconds(1100)));
}

TEST(GroupMember, RefusesWhatIsOlderThanItHasSeen) {
  EngineSpec Spec = specOfPairs();
  GroupMember Member(Spec);
  EXPECT_EQ(Member.take({}, join("a", 5)), OrderResult::Accepted);
  EXPECT_EQ(Member.take({}, join("a", 4)), OrderResult::Outdated);
  EngineOrder OtherList = join("a", 5);
  OtherList.Members = {"a", "c"};
  EXPECT_EQ(Member.take({}, OtherList), OrderResult::Outdated);
  EngineOrder Late = join("a", 6);
  Late.Token = 0;
  EXPECT_EQ(Member.take({}, Late), OrderResult::Outdated);
  EXPECT_EQ(Member.take({}, other(OrderVerb::Leave, "a", 4)),
            OrderResult::Refused);
}

TEST(EngineCrowd, SeesAGroupThatOpensWithoutAMember) {
  EngineSpec Spec = specOfPairs();
  EngineCrowd Crowd;
  Crowd.add("a", Spec);
  Crowd.add("b", Spec);
  TimePoint Now{};
  Crowd.carryOut(Now, join("a", 1));
  Crowd.carryOut(Now, join("b", 1));
  Now += seconds(12);
  Crowd.member("a").advance(Now);
  Crowd.carryOut(Now, other(OrderVerb::Open, "a", 1));
  EXPECT_EQ(Crowd.broken().size(), 1U);
}

TEST(EngineCrowd, SeesAJoinAwayFromAGroupThatServes) {
  EngineSpec Spec = specOfPairs();
  EngineCrowd Crowd;
  Crowd.add("a", Spec);
  Crowd.add("b", Spec);
  TimePoint Now{};
  for (const char *Id : {"a", "b"}) {
    Crowd.carryOut(Now, join(Id, 1));
    Crowd.member(Id).advance(Now + seconds(12));
  }
  Crowd.carryOut(Now, other(OrderVerb::Open, "a", 1));
  Crowd.member("a").advance(Now + seconds(13));
  EXPECT_TRUE(Crowd.isWhole("a"));
  EXPECT_TRUE(Crowd.broken().empty());
  Crowd.carryOut(Now, join("b", 2, "other"));
  EXPECT_EQ(Crowd.broken().size(), 1U);
  EXPECT_FALSE(Crowd.isWhole("a"));
}
