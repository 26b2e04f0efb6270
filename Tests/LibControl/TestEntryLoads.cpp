//===- Tests/LibControl/TestEntryLoads.cpp - Totals over entry hosts ------===//
///
/// \file
/// Guards against wrong totals of the entry hosts' loads: an older report that
/// is added to the newer one of its host, or a host that still counts after it
/// has stopped reporting.
///
//===----------------------------------------------------------------------===//

#include <LibControl/EntryLoads.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using Totals = std::map<std::string, int>;

static message::PulseCall
makeCall(std::initializer_list<Totals::value_type> Counts) {
  message::PulseCall Call;
  for (const auto &[Target, Count] : Counts) {
    message::PlaceLoadMessage &Load = *Call.add_loads();
    Load.set_place(Target);
    Load.set_in_flight(Count);
  }
  return Call;
}

TEST(EntryLoads, CountsTheNewestLoadOfEachHost) {
  EntryLoads Loads;
  TimePoint Now{std::chrono::hours(1)};
  Loads.setLoad(Now, "a", makeCall({{"g1", 3}, {"g2", 1}}));
  Loads.setLoad(Now, "b", makeCall({{"g1", 2}}));
  EXPECT_EQ(Loads.totals(), (Totals{{"g1", 5}, {"g2", 1}}));
  Loads.setLoad(Now, "a", makeCall({{"g2", 4}, {"g3", 0}}));
  EXPECT_EQ(Loads.totals(), (Totals{{"g1", 2}, {"g2", 4}}));
}

TEST(EntryLoads, LeavesOutExpiredHosts) {
  EntryLoads Loads;
  TimePoint Now{std::chrono::hours(1)};
  Loads.setLoad(Now, "a", makeCall({{"g1", 3}}));
  Loads.setLoad(Now + std::chrono::seconds(1), "b", makeCall({{"g1", 2}}));
  Loads.expire(Now + std::chrono::seconds(1));
  EXPECT_EQ(Loads.totals(), (Totals{{"g1", 2}}));
}
