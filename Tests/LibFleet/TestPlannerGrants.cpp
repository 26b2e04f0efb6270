//===- Tests/LibFleet/TestPlannerGrants.cpp - Planner grants and messages -===//
///
/// \file
/// Guards against two hosts that hold the planner grant at a time. Checks that
/// grants are assigned by compare-and-set, are kept in a snapshot, and move
/// only when their holder is stalled and another entry host is not. Also checks
/// the conversion of fleet messages.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/FleetMessages.h>
#include <LibFleet/PlannerMonitor.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

static message::PlannerCommand makeGrant(const HostName &Host,
                                         std::uint64_t ExpectedEpoch) {
  message::PlannerCommand Command;
  Command.mutable_grant()->set_failure_domain("tanta-a");
  Command.mutable_grant()->set_host(Host);
  Command.mutable_grant()->set_incarnation(7);
  Command.mutable_grant()->set_expected_epoch(ExpectedEpoch);
  return Command;
}

static message::PlannerCommand makeRecord(std::uint64_t Epoch,
                                          std::uint64_t Number) {
  message::PlannerCommand Command;
  Command.mutable_record()->set_failure_domain("tanta-a");
  Command.mutable_record()->set_epoch(Epoch);
  auto *Order = Command.mutable_record()->add_orders();
  Order->set_endpoint("a");
  Order->set_incarnation(3);
  Order->set_number(Number);
  return Command;
}

TEST(PlannerGrants, AppliesOnlyCommandsOfCurrentEpoch) {
  PlannerGrants Grants;
  EXPECT_FALSE(Grants.apply(makeRecord(0, 5)));
  EXPECT_TRUE(Grants.apply(makeGrant("entry-1", 0)));
  EXPECT_FALSE(Grants.apply(makeGrant("entry-2", 0)));
  EXPECT_EQ(Grants.find("tanta-a")->Host, "entry-1");
  EXPECT_TRUE(Grants.apply(makeRecord(1, 5)));
  EXPECT_TRUE(Grants.apply(makeGrant("entry-2", 1)));
  EXPECT_FALSE(Grants.apply(makeRecord(1, 6))) << "an earlier holder";
  RecordedOrder Expected = {
      .Endpoint = "a", .IncarnationNumber = 3, .Number = 5};
  EXPECT_EQ(Grants.find("tanta-a")->Orders.at("a"), Expected);
  PlannerGrants Restored;
  Restored.restore(Grants.snapshot());
  EXPECT_EQ(*Restored.find("tanta-a"), *Grants.find("tanta-a"));
  message::PlannerCommand Next = makeRecord(2, 8);
  *Next.mutable_record()->add_settled() = makeRecord(1, 5).record().orders(0);
  Next.mutable_record()->mutable_orders(0)->set_endpoint("b");
  EXPECT_TRUE(Grants.apply(Next));
  EXPECT_EQ(Grants.find("tanta-a")->Orders.size(), 1U);
  EXPECT_THROW(Restored.restore("\xff\xff"), std::invalid_argument);
}

TEST(PlannerMonitor, GrantMovesOnlyFromStalledHolderToActiveEntryHost) {
  PlannerGrants Grants;
  Grants.apply(makeGrant("entry-1", 0));
  TimePoint Now(seconds(100));
  PlannerMonitor Monitor(Now, {});
  EXPECT_TRUE(Monitor.tick(Now, Grants).empty());
  Now += seconds(4);
  Monitor.recordPresence(Now, "tanta-a", "entry-2", 1);
  EXPECT_TRUE(Monitor.tick(Now, Grants).empty()) << "a new leader waits first";
  Now += seconds(1);
  std::vector<message::PlannerCommand> Moves = Monitor.tick(Now, Grants);
  ASSERT_EQ(Moves.size(), 1U);
  EXPECT_EQ(Moves[0].grant().host(), "entry-2");
  EXPECT_EQ(Moves[0].grant().expected_epoch(), 1U);
  Monitor.recordPresence(Now, "tanta-a", "entry-1", 7);
  EXPECT_TRUE(Monitor.tick(Now, Grants).empty());
  Monitor.recordPresence(Now, "tanta-a", "entry-1", 8);
  EXPECT_EQ(Monitor.tick(Now, Grants).size(), 1U) << "the holder was restarted";
  Now += seconds(60);
  EXPECT_TRUE(Monitor.tick(Now, Grants).empty()) << "the domain is cut off";
}

TEST(FleetMessages, RoundTripsRosterAndOutstandingWork) {
  Roster Full = {.FailureDomain = "tanta-a", .Epoch = 3, .Sequence = 4};
  RosterGroup &Group = Full.Groups.emplace_back();
  Group.Group = "g";
  Group.Number = 5;
  Group.Service = "sheets";
  Group.Version = "v1";
  Group.FabricDomain = "fabric-1";
  Group.State = GroupState::Broken;
  Group.Members = {{.Endpoint = "a", .IncarnationNumber = 9}};
  EXPECT_EQ(fromMessage(toMessage(Full)), Full);
  EXPECT_EQ(makeDigest(Full).sequence(), 4U);
  OutstandingReport Report = {.EntryHost = "entry-1",
                              .Epoch = 3,
                              .Sequence = 4,
                              .KnownEpoch = 5,
                              .Count = {{"g", 2}}};
  EXPECT_EQ(fromMessage(toMessage(Report)), Report);
}
