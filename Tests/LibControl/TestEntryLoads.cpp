//===- Tests/LibControl/TestEntryLoads.cpp - Sums over entry hosts --------===//

#include <LibControl/EntryLoads.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using Totals = std::map<std::string, int>;

static message::PulseCall call(std::initializer_list<Totals::value_type> Each) {
  message::PulseCall Call;
  for (const auto &[Place, Count] : Each) {
    message::PlaceLoadMessage &Load = *Call.add_loads();
    Load.set_place(Place);
    Load.set_in_flight(Count);
  }
  return Call;
}

TEST(EntryLoads, TheNewestWordOfEachHostCounts) {
  EntryLoads Loads;
  TimePoint Now{std::chrono::hours(1)};
  Loads.said(Now, "a", call({{"g1", 3}, {"g2", 1}}));
  Loads.said(Now, "b", call({{"g1", 2}}));
  EXPECT_EQ(Loads.totals(), (Totals{{"g1", 5}, {"g2", 1}}));
  Loads.said(Now, "a", call({{"g2", 4}, {"g3", 0}}));
  EXPECT_EQ(Loads.totals(), (Totals{{"g1", 2}, {"g2", 4}}));
}

TEST(EntryLoads, AHostThatWentSilentIsLeftOut) {
  EntryLoads Loads;
  TimePoint Now{std::chrono::hours(1)};
  Loads.said(Now, "a", call({{"g1", 3}}));
  Loads.said(Now + std::chrono::seconds(1), "b", call({{"g1", 2}}));
  Loads.expire(Now + std::chrono::seconds(1));
  EXPECT_EQ(Loads.totals(), (Totals{{"g1", 2}}));
}
