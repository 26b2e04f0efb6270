//===- Tests/LibStandIn/TestGroupMember.cpp - Group orders ----------------===//
///
/// \file
/// Guards against simulated engines that hide a planner's faults: they must
/// reject outdated orders and report orders that violate the protocol.
///
//===----------------------------------------------------------------------===//

#include <LibStandIn/EnginePool.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

namespace {

EngineSpec pairSpec() {
  EngineSpec Spec{.Slots = 4, .OpenTime = std::chrono::milliseconds(300)};
  Spec.Models = {{.Name = "pair",
                  .GroupSize = 2,
                  .LoadTime = seconds(12),
                  .StagedJoinTime = std::chrono::milliseconds(1100)}};
  return Spec;
}

EngineOrder join(const EndpointName &To, std::uint64_t Epoch,
                 const GroupName &Group = "g") {
  return {.Recipient = To,
          .Verb = OrderVerb::Join,
          .Group = Group,
          .Epoch = Epoch,
          .Model = "pair",
          .Members = {"a", "b"},
          .Token = 1};
}

EngineOrder groupOrder(OrderVerb Verb, const EndpointName &To,
                       std::uint64_t Epoch) {
  return {
      .Recipient = To, .Verb = Verb, .Group = "g", .Epoch = Epoch, .Token = 1};
}

} // namespace

TEST(GroupMember, LoadsWeightsOnceAndRejoinsFromMemoryOrDisk) {
  EngineSpec Spec = pairSpec();
  GroupMember Member(Spec);
  TimePoint Now{};
  EXPECT_EQ(Member.handleOrder(Now, join("a", 1)), OrderResult::Accepted);
  EXPECT_TRUE(Member.isLoading());
  EXPECT_FALSE(Member.advance(Now + seconds(11)));
  EXPECT_TRUE(Member.advance(Now + seconds(12)));
  EXPECT_EQ(Member.handleOrder(Now, join("a", 2)), OrderResult::Accepted);
  EXPECT_TRUE(Member.advance(Now + std::chrono::milliseconds(200)));
  // A restart keeps the weights on the host but not those in memory.
  Member.restart();
  EXPECT_EQ(Member.handleOrder(Now, join("a", 3)), OrderResult::Accepted);
  EXPECT_FALSE(Member.advance(Now + std::chrono::milliseconds(1000)));
  EXPECT_TRUE(Member.advance(Now + std::chrono::milliseconds(1100)));
}

TEST(GroupMember, RejectsOrdersWithAnOutdatedEpochMemberListOrToken) {
  EngineSpec Spec = pairSpec();
  GroupMember Member(Spec);
  EXPECT_EQ(Member.handleOrder({}, join("a", 5)), OrderResult::Accepted);
  EXPECT_EQ(Member.handleOrder({}, join("a", 4)), OrderResult::Outdated);
  EngineOrder OtherMembers = join("a", 5);
  OtherMembers.Members = {"a", "c"};
  EXPECT_EQ(Member.handleOrder({}, OtherMembers), OrderResult::Outdated);
  EngineOrder OldToken = join("a", 6);
  OldToken.Token = 0;
  EXPECT_EQ(Member.handleOrder({}, OldToken), OrderResult::Outdated);
  EXPECT_EQ(Member.handleOrder({}, groupOrder(OrderVerb::Leave, "a", 4)),
            OrderResult::Refused);
}

TEST(EnginePool, ReportsAGroupThatOpensBeforeAMemberIsReady) {
  EngineSpec Spec = pairSpec();
  EnginePool Pool;
  Pool.add("a", Spec);
  Pool.add("b", Spec);
  TimePoint Now{};
  Pool.executeOrder(Now, join("a", 1));
  Pool.executeOrder(Now, join("b", 1));
  Now += seconds(12);
  Pool.member("a").advance(Now);
  Pool.executeOrder(Now, groupOrder(OrderVerb::Open, "a", 1));
  EXPECT_EQ(Pool.violations().size(), 1U);
}

TEST(EnginePool, ReportsAJoinThatLeavesAnOpenGroup) {
  EngineSpec Spec = pairSpec();
  EnginePool Pool;
  Pool.add("a", Spec);
  Pool.add("b", Spec);
  TimePoint Now{};
  for (const char *Id : {"a", "b"}) {
    Pool.executeOrder(Now, join(Id, 1));
    Pool.member(Id).advance(Now + seconds(12));
  }
  Pool.executeOrder(Now, groupOrder(OrderVerb::Open, "a", 1));
  Pool.member("a").advance(Now + seconds(13));
  EXPECT_TRUE(Pool.isComplete("a"));
  EXPECT_TRUE(Pool.violations().empty());
  Pool.executeOrder(Now, join("b", 2, "other"));
  EXPECT_EQ(Pool.violations().size(), 1U);
  EXPECT_FALSE(Pool.isComplete("a"));
}
