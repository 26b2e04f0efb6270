//===- Tests/LibFormation/TestEngineRegister.cpp - Late and forged reports ===//

#include <LibFormation/EngineRegister.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

static EngineReport report(const EndpointName &Id, const std::string &Address,
                           std::int64_t BornMs, std::uint64_t Sequence) {
  return {.Id = Id,
          .Address = Address,
          .Service = "sheets",
          .BornMs = BornMs,
          .Sequence = Sequence};
}

TEST(EngineRegister, ALateReportIsNoNews) {
  EngineRegister Engines;
  EXPECT_TRUE(Engines.accept(TimePoint(), report("e", "a:1", 10, 5)));
  EXPECT_FALSE(Engines.accept(TimePoint(), report("e", "a:1", 10, 5)));
  EXPECT_FALSE(Engines.accept(TimePoint(), report("e", "a:1", 10, 4)));
  EXPECT_FALSE(Engines.accept(TimePoint(), report("e", "a:1", 9, 99)));
  // A new life under the same name begins to count anew.
  EXPECT_TRUE(Engines.accept(TimePoint(), report("e", "a:1", 11, 1)));
}

TEST(EngineRegister, AReportOfAnEndedLifeAtATakenAddressIsDropped) {
  EngineRegister Engines;
  Engines.accept(TimePoint(), report("old", "a:1", 10, 5));
  Engines.accept(TimePoint(), report("new", "a:1", 20, 1));
  EXPECT_EQ(Engines.find("old"), nullptr);
  EXPECT_FALSE(Engines.accept(TimePoint(), report("old", "a:1", 10, 6)));
  EXPECT_EQ(Engines.find("old"), nullptr);
}

TEST(EngineRegister, AnAnnouncedEndIsNotTakenBackWithinALife) {
  EngineRegister Engines;
  Engines.accept(TimePoint(), report("e", "a:1", 10, 1));
  EXPECT_TRUE(Engines.leave("e"));
  Engines.accept(TimePoint(), report("e", "a:1", 10, 2));
  EXPECT_TRUE(Engines.find("e")->Report.Leaving);
  Engines.accept(TimePoint(), report("e", "a:1", 11, 1));
  EXPECT_FALSE(Engines.find("e")->Report.Leaving);
}

TEST(EngineRegister, SilentEndpointsAreForgottenLeavingOnesSooner) {
  EngineRegister Engines;
  Engines.accept(TimePoint(seconds(10)), report("stays", "a:1", 1, 1));
  Engines.accept(TimePoint(seconds(10)), report("leaves", "a:2", 1, 1));
  Engines.leave("leaves");
  Engines.expire(TimePoint(seconds(5)), TimePoint(seconds(15)));
  EXPECT_NE(Engines.find("stays"), nullptr);
  EXPECT_EQ(Engines.find("leaves"), nullptr);
}
