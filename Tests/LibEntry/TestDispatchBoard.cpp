//===- Tests/LibEntry/TestDispatchBoard.cpp - Where requests go -----------===//
///
/// \file
/// Choice of places, silence, cold endpoints, and the load patterns that the
/// choice answers.
///
//===----------------------------------------------------------------------===//

#include <LibEntry/DispatchBoard.h>
#include <algorithm>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

static constexpr auto Millisecond = std::chrono::milliseconds(1);

static Place group(int Number, int Slots = 26) {
  std::string Name = "g" + std::to_string(Number);
  return {.Name = Name,
          .Endpoint = "e" + std::to_string(Number),
          .Address = "10.0.0.1:" + std::to_string(Number),
          .Service = "sheets",
          .Model = "large",
          .FailureDomain = "a",
          .Slots = Slots};
}

static std::vector<Place> groups(int Count) {
  std::vector<Place> Result;
  Result.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Result.push_back(group(I));
  return Result;
}

static DispatchBoard board(std::uint64_t Seed = 1) {
  return DispatchBoard({.FailureDomain = "a", .Seed = Seed});
}

static const TimePoint Start{seconds(1000)};

TEST(DispatchBoard, FullGroupsAreRefusedAtOnceButNotToAdmittedRequests) {
  DispatchBoard Board = board();
  Board.update(groups(1));
  Board.othersInFlight("g0", 26);
  DispatchChoice New = Board.choose(Start, "sheets", "large", {});
  EXPECT_FALSE(New.Where);
  EXPECT_TRUE(New.Full);
  EXPECT_TRUE(Board.choose(Start, "sheets", "large", {}, true).Where);
  // No place at all is something else than full places.
  EXPECT_FALSE(Board.choose(Start, "sheets", "small", {}).Full);
}

TEST(DispatchBoard, AnEmptiedFailureDomainGetsNothing) {
  DispatchBoard Board = board();
  Board.update(groups(3));
  Board.emptied({"a"});
  EXPECT_FALSE(Board.choose(Start, "sheets", "large", {}).Where);
  Board.emptied({});
  EXPECT_TRUE(Board.choose(Start, "sheets", "large", {}).Where);
}

/// Nine entry hosts that know of each other's requests half a second late must
/// not meet at the place that was best then.
TEST(DispatchBoard, ABurstOfManyEntryHostsIsSpreadOverAllGroups) {
  static constexpr int Hosts = 9;
  static constexpr int Groups = 6;
  static constexpr int RequestsPerHost = 7;
  std::vector<DispatchBoard> Boards;
  for (int Host = 0; Host < Hosts; ++Host) {
    Boards.push_back(board(static_cast<std::uint64_t>(Host) + 1));
    Boards.back().update(groups(Groups));
    // All were told that one group has less than the others.
    for (int I = 0; I < Groups; ++I)
      Boards.back().othersInFlight("g" + std::to_string(I), I == 0 ? 8 : 11);
  }
  std::map<PlaceName, int> Arrived;
  for (DispatchBoard &Board : Boards)
    for (int I = 0; I < RequestsPerHost; ++I) {
      DispatchChoice Choice = Board.choose(Start, "sheets", "large", {});
      ASSERT_TRUE(Choice.Where);
      Board.begin(Start, Choice.Where->Name, true);
      ++Arrived[Choice.Where->Name];
    }
  double Mean = double(Hosts * RequestsPerHost) / Groups;
  for (const auto &[Name, Count] : Arrived)
    EXPECT_LT(Count, 2.2 * Mean) << Name;
}

TEST(DispatchBoard, AGroupThatStopsIsToldOfAndThenLeft) {
  DispatchBoard Board = board();
  Board.update(groups(2));
  AttemptNumber Stream = Board.begin(Start, "g0", true);
  Board.progressed(Start, Stream);
  EXPECT_TRUE(Board.findStanding(Start + 200 * Millisecond).empty());
  EXPECT_FALSE(Board.takeSuspicion());
  EXPECT_TRUE(Board.findStanding(Start + 300 * Millisecond).empty());
  EXPECT_TRUE(Board.takeSuspicion());
  TimePoint Later = Start + 500 * Millisecond;
  EXPECT_EQ(Board.findStanding(Later), std::vector<AttemptNumber>{Stream});
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(Board.choose(Later, "sheets", "large", {}).Where->Name, "g1");
  // A silence that was wrong isn't held against it for ever.
  Board.end(Later, Stream, AttemptEnd::Lost);
  bool Again = false;
  TimePoint Much = Later + seconds(5);
  for (int I = 0; I < 3; ++I)
    Board.begin(Much, "g1", true);
  for (int I = 0; I < 50; ++I)
    Again =
        Again || Board.choose(Much, "sheets", "large", {}).Where->Name == "g0";
  EXPECT_TRUE(Again);
}

TEST(DispatchBoard, OneStreamsEventsShowThatTheWholeGroupLives) {
  DispatchBoard Board = board();
  Board.update(groups(1));
  AttemptNumber Waiting = Board.begin(Start, "g0", true);
  AttemptNumber Flowing = Board.begin(Start, "g0", true);
  for (int I = 1; I <= 20; ++I) {
    TimePoint Now = Start + I * 100 * Millisecond;
    Board.progressed(Now, Flowing);
    EXPECT_TRUE(Board.findStanding(Now).empty()) << Waiting;
  }
}

TEST(DispatchBoard, StreamsOfAGroupThatIsSaidToStandStillMoveAtOnce) {
  DispatchBoard Board = board();
  Place Where = group(0);
  Board.update({&Where, 1});
  AttemptNumber Stream = Board.begin(Start, "g0", true);
  Where.Mode = PlaceMode::Standing;
  Board.update({&Where, 1});
  EXPECT_EQ(Board.findStanding(Start), std::vector<AttemptNumber>{Stream});
}

/// What a cold endpoint bears holds over all entry hosts together, however
/// many there are, in any second.
TEST(DispatchBoard, AllEntryHostsTogetherKeepToWhatAColdEndpointBears) {
  for (int Hosts : {1, 6, 9, 79, 300}) {
    static constexpr double PerSecond = 14;
    std::vector<DispatchBoard> Boards;
    for (int Host = 0; Host < Hosts; ++Host) {
      Boards.push_back(board(static_cast<std::uint64_t>(Host) + 1));
      Place Cold = group(0, 100000);
      Cold.ColdUntil = Start + seconds(100);
      Boards.back().update({&Cold, 1});
      Boards.back().coldLimit("sheets", PerSecond);
      Boards.back().shareWith(Host, Hosts);
    }
    std::vector<TimePoint> Arrivals;
    for (int Step = 0; Step < 300; ++Step) {
      TimePoint Now = Start + Step * 10 * Millisecond;
      for (DispatchBoard &Board : Boards)
        if (Board.choose(Now, "sheets", "large", {}).Where)
          Arrivals.push_back(Now);
    }
    ASSERT_FALSE(Arrivals.empty());
    // Half above what it bears and five more is what deployments promise.
    for (std::size_t I = 0; I < Arrivals.size(); ++I) {
      auto End = std::ranges::upper_bound(Arrivals, Arrivals[I] + seconds(1) -
                                                        Millisecond);
      EXPECT_LE(End - Arrivals.begin() - static_cast<long>(I),
                1.5 * PerSecond + 5)
          << Hosts << " entry hosts";
    }
  }
}

TEST(DispatchBoard, APlaceThatFailsRestsLongerEachTime) {
  DispatchBoard Board = board();
  Board.update(groups(2));
  TimePoint Now = Start;
  for (int I = 0; I < 3; ++I) {
    AttemptNumber Failed = Board.begin(Now, "g0", true);
    Board.end(Now, Failed, AttemptEnd::Unreachable);
  }
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(Board.choose(Now + 900 * Millisecond, "sheets", "large", {})
                  .Where->Name,
              "g1");
}

TEST(DispatchBoard, ANewListOfMembersIsJudgedAnew) {
  DispatchBoard Board = board();
  Place Where = group(0);
  Board.update({&Where, 1});
  AttemptNumber Stream = Board.begin(Start, "g0", true);
  Board.progressed(Start, Stream);
  TimePoint Later = Start + seconds(1);
  EXPECT_FALSE(Board.findStanding(Later).empty());
  EXPECT_FALSE(Board.choose(Later, "sheets", "large", {}).Where);
  Where.Epoch = 2;
  Board.update({&Where, 1});
  EXPECT_TRUE(Board.choose(Later, "sheets", "large", {}).Where);
}
