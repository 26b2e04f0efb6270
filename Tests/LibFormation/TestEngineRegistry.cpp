//===- Tests/LibFormation/TestEngineRegistry.cpp - Stale reports ----------===//
///
/// \file
/// Guards against stale state of an engine: reports may be delayed, repeated or
/// from an earlier incarnation, or stop altogether.
///
//===----------------------------------------------------------------------===//

#include <LibFormation/EngineRegistry.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

static EngineReport report(const EndpointName &Id, const std::string &Address,
                           std::int64_t StartedAtMs, std::uint64_t Sequence) {
  return {.Id = Id,
          .Address = Address,
          .Service = "sheets",
          .StartedAtMs = StartedAtMs,
          .Sequence = Sequence};
}

TEST(EngineRegistry, RejectsDelayedAndDuplicateReports) {
  EngineRegistry Registry;
  EXPECT_TRUE(Registry.accept(TimePoint(), report("e", "a:1", 10, 5)));
  EXPECT_FALSE(Registry.accept(TimePoint(), report("e", "a:1", 10, 5)));
  EXPECT_FALSE(Registry.accept(TimePoint(), report("e", "a:1", 10, 4)));
  EXPECT_FALSE(Registry.accept(TimePoint(), report("e", "a:1", 9, 99)));
  // A new incarnation with the same id restarts the sequence numbers.
  EXPECT_TRUE(Registry.accept(TimePoint(), report("e", "a:1", 11, 1)));
}

TEST(EngineRegistry, RejectsReportsOfAnEarlierIncarnationAtAReusedAddress) {
  EngineRegistry Registry;
  Registry.accept(TimePoint(), report("old", "a:1", 10, 5));
  Registry.accept(TimePoint(), report("new", "a:1", 20, 1));
  EXPECT_EQ(Registry.find("old"), nullptr);
  EXPECT_FALSE(Registry.accept(TimePoint(), report("old", "a:1", 10, 6)));
  EXPECT_EQ(Registry.find("old"), nullptr);
}

TEST(EngineRegistry, LeavingIsFinalWithinAnIncarnation) {
  EngineRegistry Registry;
  Registry.accept(TimePoint(), report("e", "a:1", 10, 1));
  EXPECT_TRUE(Registry.leave("e"));
  Registry.accept(TimePoint(), report("e", "a:1", 10, 2));
  EXPECT_TRUE(Registry.find("e")->Report.Leaving);
  Registry.accept(TimePoint(), report("e", "a:1", 11, 1));
  EXPECT_FALSE(Registry.find("e")->Report.Leaving);
}

TEST(EngineRegistry, ExpiresEndpointsWithoutReportsAndLeavingOnesSooner) {
  EngineRegistry Registry;
  Registry.accept(TimePoint(seconds(10)), report("stays", "a:1", 1, 1));
  Registry.accept(TimePoint(seconds(10)), report("leaves", "a:2", 1, 1));
  Registry.leave("leaves");
  Registry.expire(TimePoint(seconds(5)), TimePoint(seconds(15)));
  EXPECT_NE(Registry.find("stays"), nullptr);
  EXPECT_EQ(Registry.find("leaves"), nullptr);
}

// Guards against an endpoint that ended and is used again because a host that
// had not heard of it gets a delayed report.
TEST(EngineRegistry, EndedLifeIsLeavingWheneverItsReportsArrive) {
  EngineRegistry Registry;
  Registry.accept(TimePoint(), report("known", "a:1", 10, 1));
  std::uint64_t Revision = Registry.revision();
  EndpointEnds Ends;
  Ends.record("known", 10);
  Ends.record("unknown", 10);
  Registry.setEnds(Ends);
  EXPECT_TRUE(Registry.find("known")->Report.Leaving);
  EXPECT_GT(Registry.revision(), Revision);
  Registry.accept(TimePoint(), report("unknown", "a:2", 10, 1));
  EXPECT_TRUE(Registry.find("unknown")->Report.Leaving);
  // The next lives, under the same name and at the same address.
  Registry.accept(TimePoint(), report("known", "a:1", 11, 1));
  Registry.accept(TimePoint(), report("other", "a:2", 12, 1));
  EXPECT_FALSE(Registry.find("known")->Report.Leaving);
  EXPECT_FALSE(Registry.find("other")->Report.Leaving);
}
