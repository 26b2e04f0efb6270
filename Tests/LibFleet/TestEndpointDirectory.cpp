//===- Tests/LibFleet/TestEndpointDirectory.cpp - What may be routed to ---===//
///
/// \file
/// One entry host's view: lifetimes, incarnations, partial groups, endpoints
/// that turn cold, and the judgement of slow targets.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/EndpointDirectory.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using Milliseconds = std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class EndpointDirectoryTest : public testing::Test {
public:
  EndpointDirectoryTest() : Directory(options()) {
    FleetIntent Intent;
    Intent.Services["ledger"] = {.HostsPerGroup = 0};
    Intent.Services["sheets"] = {.HostsPerGroup = 2, .Version = "v1"};
    this->Directory.intentChanged(Intent);
  }

  static DirectoryOptions options() {
    DirectoryOptions Options;
    Options.Self = "entry-1";
    Options.FailureDomain = "tanta-a";
    Options.EntryHosts = {"entry-1"};
    return Options;
  }

  static Announcement said(const EndpointName &Name, std::uint64_t Sequence) {
    Announcement Result;
    Result.Endpoint = Name;
    Result.Host = Name;
    Result.FailureDomain = "tanta-a";
    Result.FabricDomain = "fabric-1";
    Result.Service = "ledger";
    Result.Address = Name;
    Result.Life = 1;
    Result.Sequence = Sequence;
    Result.State = Readiness::Ready;
    Result.BatchLimit = 8;
    return Result;
  }

  static Announcement member(const EndpointName &Name, std::uint32_t Rank) {
    Announcement Result = said(Name, 1);
    Result.Service = "sheets";
    Result.Place = {.Group = "g", .Number = 5, .Rank = Rank, .Size = 2};
    return Result;
  }

  static Roster roster(std::uint64_t Sequence, GroupState State) {
    Roster Result = {.FailureDomain = "tanta-a", .Epoch = 1};
    Result.Sequence = Sequence;
    RosterGroup &Group = Result.Groups.emplace_back();
    Group.Group = "g";
    Group.Number = 5;
    Group.Service = "sheets";
    Group.State = State;
    Group.Members = {{.Endpoint = "a", .Life = 1},
                     {.Endpoint = "b", .Life = 1}};
    return Result;
  }

  std::size_t sheets() {
    return this->Directory.targets(this->Now, "sheets").size();
  }

  void hear(const Announcement &Said) {
    this->Directory.announced(this->Now, Said, Duration::zero());
  }

  EndpointDirectory Directory;
  TimePoint Now = TimePoint(seconds(100));
};

} // namespace

TEST_F(EndpointDirectoryTest, OnlyTheNewestWordCounts) {
  Announcement Newer = said("a", 4);
  Newer.Life = 2;
  Newer.Leaving = true;
  this->hear(Newer);
  Announcement Late = said("a", 9);
  EXPECT_FALSE(this->Directory.announced(this->Now, Late, seconds(1)));
  EXPECT_EQ(this->Directory.state("a"), EndpointState::Leaving);
  EXPECT_TRUE(this->Directory.targets(this->Now, "ledger").at(0).Draining);
  this->Now += seconds(2);
  EXPECT_FALSE(this->Directory.announced(this->Now, Newer, Duration::zero()));
  this->Now += seconds(1);
  this->Directory.tick(this->Now);
  EXPECT_EQ(this->Directory.state("a"), EndpointState::Silent);
  Late.FailureDomain = "mansoura-b";
  Late.Life = 3;
  EXPECT_FALSE(this->Directory.announced(this->Now, Late, Duration::zero()));
}

TEST_F(EndpointDirectoryTest, GroupNeedsTheRosterAndEveryMembersOwnWord) {
  this->hear(member("a", 0));
  this->hear(member("b", 1));
  EXPECT_EQ(this->sheets(), 0U) << "no roster";
  this->Directory.rosterUpdated(roster(2, GroupState::Serving));
  EXPECT_EQ(this->sheets(), 1U);
  EXPECT_FALSE(this->Directory.rosterUpdated(roster(1, GroupState::Forming)));
  EXPECT_EQ(this->sheets(), 1U) << "a late roster";
  this->Directory.rosterUpdated(roster(3, GroupState::Draining));
  EXPECT_TRUE(this->Directory.targets(this->Now, "sheets").at(0).Draining);

  std::uint64_t Sequence = 1;
  auto CountAfter = [&](const std::function<void(Announcement &)> &Change) {
    Announcement Changed = member("b", 1);
    Change(Changed);
    Changed.Sequence = ++Sequence;
    this->hear(Changed);
    return this->sheets();
  };
  auto Same = [](Announcement &) {};
  EXPECT_EQ(CountAfter(Same), 1U);
  EXPECT_EQ(CountAfter([](Announcement &B) { B.Place.Number = 6; }), 0U);
  EXPECT_EQ(CountAfter(Same), 1U);
  EXPECT_EQ(CountAfter([](Announcement &B) { B.Place.Group = "h"; }), 0U);
  EXPECT_EQ(CountAfter([](Announcement &B) { B.Place.Rank = 0; }), 0U);
  EXPECT_EQ(CountAfter([](Announcement &B) { B.Place = {}; }), 0U);
  EXPECT_EQ(CountAfter([](Announcement &B) { B.State = Readiness::Starting; }),
            0U);
  EXPECT_EQ(CountAfter(Same), 1U);
  EXPECT_EQ(CountAfter([](Announcement &B) { B.Life = 2; }), 0U);
  for (GroupState State : {GroupState::Forming, GroupState::Broken}) {
    EndpointDirectory Other = EndpointDirectory(options());
    Other.intentChanged({.Services = {{"sheets", {.HostsPerGroup = 2}}}});
    Other.announced(this->Now, member("a", 0), Duration::zero());
    Other.announced(this->Now, member("b", 1), Duration::zero());
    Other.rosterUpdated(roster(9, State));
    EXPECT_TRUE(Other.targets(this->Now, "sheets").empty());
  }
}

TEST_F(EndpointDirectoryTest, ColdAgainIsFoundFromTheNextWord) {
  this->hear(said("a", 1));
  EXPECT_EQ(this->Directory.targets(this->Now, "ledger").at(0).SlotLimit, 8U);
  Announcement Cold = said("a", 2);
  Cold.State = Readiness::Cold;
  this->hear(Cold);
  Target Seen = this->Directory.targets(this->Now, "ledger").at(0);
  EXPECT_TRUE(Seen.WarmingUp);
  EXPECT_EQ(Seen.SlotLimit, 2U);
  // Warming up goes on through further announcements of the same life.
  this->Now += seconds(6);
  Cold.Sequence = 3;
  Cold.Answered = 16;
  this->hear(Cold);
  EXPECT_EQ(this->Directory.targets(this->Now, "ledger").at(0).SlotLimit, 4U);
  // A new incarnation starts over.
  Cold.Life = 2;
  this->hear(Cold);
  EXPECT_EQ(this->Directory.targets(this->Now, "ledger").at(0).SlotLimit, 2U);
}

TEST_F(EndpointDirectoryTest, SlownessAgainstPeersIsFoundWithoutFlapping) {
  std::vector<EndpointName> Names = {"a", "b", "c", "d"};
  std::uint64_t Sequence = 0;
  // Answers once per target and second and tells whether "a" is held back.
  auto Round = [&](Duration LatencyOfA) {
    this->Now += seconds(1);
    ++Sequence;
    for (const EndpointName &Name : Names)
      this->hear(said(Name, Sequence));
    for (const Target &Each : this->Directory.targets(this->Now, "ledger"))
      this->Directory.answered(Each, Each.Name == "a" ? LatencyOfA
                                                      : Milliseconds(100));
    this->Directory.tick(this->Now);
    return this->Directory.targets(this->Now, "ledger").at(0).WarmingUp;
  };
  for (int I = 0; I < 10; ++I)
    EXPECT_FALSE(Round(Milliseconds(110)));
  EXPECT_FALSE(Round(seconds(5))) << "one slow answer";
  EXPECT_FALSE(Round(Milliseconds(110)));
  bool Found = false;
  for (int I = 0; I < 6; ++I)
    Found = Round(seconds(1));
  EXPECT_TRUE(Found);
  EXPECT_TRUE(Round(Milliseconds(110))) << "one quick answer";
  for (int I = 0; I < 8; ++I)
    Found = Round(Milliseconds(110));
  EXPECT_FALSE(Found);
}
