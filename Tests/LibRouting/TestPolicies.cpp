//===- Tests/LibRouting/TestPolicies.cpp - The policies one by one --------===//
///
/// \file
/// Choice of target, stragglers, spillover and names of policies.
///
//===----------------------------------------------------------------------===//

#include "RouterWorld.h"

#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;

static const TimePoint Noon{std::chrono::hours(12)};

static std::vector<Target> engines(unsigned Count, std::uint32_t SlotLimit) {
  std::vector<Target> Result;
  for (unsigned I = 0; I < Count; ++I)
    Result.push_back(
        RouterWorld::target("engine-" + std::to_string(I), SlotLimit));
  return Result;
}

static std::unique_ptr<TargetChoice> choiceNamed(std::string_view Name) {
  RouterOptions Options;
  Options.Policies.Choice = Name;
  return makeTargetChoice(Options);
}

/// Most requests on one target after \p Count choices.
static std::uint32_t mostLoaded(TargetBoard &Board, TargetChoice &Choice,
                                unsigned Count, std::uint64_t PrefixHash) {
  std::uint32_t Most = 0;
  for (unsigned I = 0; I < Count; ++I) {
    TargetIndex Where =
        Choice.choose(Noon, Board, {.PrefixHash = PrefixHash}).value();
    Board.take(Where);
    Most = std::max(Most, Board[Where].Outstanding);
  }
  return Most;
}

TEST(TargetChoice, TwoChoicesKeepTheLoadEven) {
  TargetBoard Board;
  Board.replace(engines(50, 100));
  // Random placing of 500 puts about 18 on the fullest of 50.
  EXPECT_LE(mostLoaded(Board, *choiceNamed("two-choices"), 500, 0), 13U);
}

TEST(TargetChoice, AFreshLoadReportCountsAndAnOldOneDoesNot) {
  TargetBoard Board;
  std::vector<Target> Targets = engines(2, 100);
  Targets[0].Load = {.Running = 80, .ReceivedAt = Noon};
  Board.replace(Targets);
  Board.reportLoad("engine-0", 1, {.ReceivedAt = Noon - 1s});
  auto Choice = choiceNamed("two-choices");
  std::map<TimePoint, unsigned> Busy;
  for (TimePoint Now : {Noon, Noon + 10s})
    for (int I = 0; I < 40; ++I) {
      TargetIndex Where = Choice->choose(Now, Board, {}).value();
      Busy[Now] += Board[Where].Info.Name == "engine-0";
      Board.take(Where);
      Board.release(Where);
    }
  EXPECT_EQ(Busy[Noon], 0U);
  EXPECT_GT(Busy[Noon + 10s], 5U);
  EXPECT_LT(Busy[Noon + 10s], 35U);
}

TEST(TargetChoice, AffinityKeepsAPrefixTogetherUpToTheLoadBound) {
  TargetBoard Board;
  Board.replace(engines(50, 20));
  auto Choice = choiceNamed("prefix-affinity");
  std::set<TargetIndex> Used;
  for (int I = 0; I < 20; ++I) {
    TargetIndex Where = Choice->choose(Noon, Board, {.PrefixHash = 42}).value();
    Board.take(Where);
    Board.release(Where);
    Used.insert(Where);
  }
  EXPECT_EQ(Used.size(), 1U);
  // What other entry hosts send there does not end it.
  for (const Target &Each : engines(50, 20))
    Board.reportLoad(Each.Name, Each.Life,
                     {.Running = 30, .Queued = 0, .ReceivedAt = Noon});
  EXPECT_EQ(Choice->choose(Noon, Board, {.PrefixHash = 42}), *Used.begin());
  // Even if all requests have the same prefix, no target is swamped.
  EXPECT_LE(mostLoaded(Board, *Choice, 500, 42), 17U);
}

TEST(TargetChoice, AffinityLeavesStragglersOutAlsoUnderLoad) {
  TargetBoard Board;
  Board.replace(engines(50, 20));
  auto Choice = choiceNamed("prefix-affinity");
  TargetIndex Affine = Choice->choose(Noon, Board, {.PrefixHash = 42}).value();
  Board.setHealth(Affine, {.Straggler = true});
  mostLoaded(Board, *Choice, 600, 0);
  while (Board[Affine].Outstanding > 0)
    Board.release(Affine);
  EXPECT_NE(Choice->choose(Noon, Board, {.PrefixHash = 42}), Affine);
}

TEST(TargetChoice, AffinityMovesLittleWhenATargetLeaves) {
  TargetBoard Board;
  std::vector<Target> Targets = engines(50, 20);
  Board.replace(Targets);
  auto Choice = choiceNamed("prefix-affinity");
  std::vector<std::string> Before;
  for (std::uint64_t Prefix = 1; Prefix <= 500; ++Prefix) {
    std::uint64_t Hash = Prefix * 0x9E3779B97F4A7C15U;
    TargetIndex Where =
        Choice->choose(Noon, Board, {.PrefixHash = Hash}).value();
    Before.push_back(Board[Where].Info.Name);
  }
  Targets.erase(Targets.begin() + 7);
  Board.replace(Targets);
  unsigned Moved = 0;
  for (std::uint64_t Prefix = 1; Prefix <= 500; ++Prefix) {
    std::uint64_t Hash = Prefix * 0x9E3779B97F4A7C15U;
    TargetIndex Where =
        Choice->choose(Noon, Board, {.PrefixHash = Hash}).value();
    const std::string &Was = Before[Prefix - 1];
    Moved += Was != "engine-7" && Was != Board[Where].Info.Name;
  }
  EXPECT_EQ(Moved, 0U);
}

RC_GTEST_PROP(Stragglers, NoSingleAnswerChangesTheVerdict,
              (const std::vector<int> &Before)) {
  auto Policy = makeStragglerPolicy("peer-mean");
  TargetHealth Health;
  for (int Each : Before)
    Health = Policy->judge(Health, std::exp(Each % 3 / 4.0));
  // One answer, a thousand times slower or faster, between answers like the
  // peers': the verdict before it and after it is the same.
  for (int I = 0; I < 30; ++I)
    Health = Policy->judge(Health, 1);
  RC_ASSERT(!Health.Straggler);
  RC_ASSERT(!Policy->judge(Health, 1000).Straggler);
  for (int I = 0; I < 30; ++I)
    Health = Policy->judge(Health, 4);
  RC_ASSERT(Health.Straggler);
  RC_ASSERT(Policy->judge(Health, 0.001).Straggler);
}

TEST(Stragglers, OneOutlierHardlyMovesThePeersMean) {
  ServiceTimes Times;
  for (int I = 0; I < 100; ++I)
    Times.addFirstByte(100ms);
  Times.addFirstByte(std::chrono::hours(1));
  EXPECT_GE(Times.typicalFirstByte().value(), 99ms);
  EXPECT_LE(Times.typicalFirstByte().value(), 105ms);
}

TEST(Stragglers, ASlowTargetKeepsOneSlotAndComesBack) {
  TargetBoard Board;
  Board.replace(engines(1, 4));
  EXPECT_EQ(Board.usableSlots(), 4U);
  Board.setHealth(0, {.Straggler = true});
  EXPECT_EQ(Board.usableSlots(), 1U);
  Board.take(0);
  EXPECT_FALSE(Board.isOpen(0));
  Board.setHealth(0, {});
  EXPECT_TRUE(Board.isOpen(0));
}

TEST(Deadlines, TwiceTheServiceIsLeftAfterAWaitAndOnceWithout) {
  auto Policy = makeDeadlinePolicy("estimate");
  RoutedRequest Request;
  Request.ArrivedAt = Noon;
  Request.Deadline = Noon + 10s;
  EXPECT_EQ(Policy->latestStart(Request, 3s), Noon + 4s);
  EXPECT_EQ(Policy->latestStart(Request, 8s), Noon);
  EXPECT_EQ(Policy->latestStart(Request, 12s), Noon - 2s);
  EXPECT_EQ(makeDeadlinePolicy("none")->latestStart(Request, 12s), Noon + 10s);
}

static DomainSummary neighbour(std::string_view Name, std::uint32_t SpareSlots,
                               TimePoint ReceivedAt, Duration Distance = 1ms) {
  DomainSummary Result;
  Result.FailureDomain = Name;
  Result.SpareSlots = SpareSlots;
  Result.Distance = Distance;
  Result.ReceivedAt = ReceivedAt;
  return Result;
}

/// How many requests the neighbours take at \p Now.
static unsigned forwarded(Spillover &Spill, TimePoint Now) {
  unsigned Count = 0;
  while (Count < 1000 && Spill.choose(Now))
    ++Count;
  return Count;
}

TEST(Spillover, FillsAShareOfWhatANeighbourReportedAsSpare) {
  auto Spill = makeSpillover({.SpareShare = 0.5});
  std::vector<DomainSummary> Summaries{neighbour("far", 10, Noon, 5ms),
                                       neighbour("near", 6, Noon)};
  Spill->neighboursChanged(Noon, Summaries);
  for (std::string_view Expected : {"near", "near", "near", "far"})
    EXPECT_EQ(Spill->choose(Noon), Expected);
  EXPECT_EQ(forwarded(*Spill, Noon), 4U);
  // The same summary again is no new allowance, a newer one is.
  Spill->neighboursChanged(Noon + 1s, Summaries);
  EXPECT_EQ(forwarded(*Spill, Noon + 1s), 0U);
  Summaries[1].ReceivedAt = Noon + 1s;
  Spill->neighboursChanged(Noon + 1s, Summaries);
  EXPECT_EQ(forwarded(*Spill, Noon + 1s), 3U);
  // An old summary promises nothing.
  Summaries[1].ReceivedAt = Noon + 2s;
  Spill->neighboursChanged(Noon + 2s, Summaries);
  EXPECT_EQ(forwarded(*Spill, Noon + 9s), 0U);
}

TEST(Spillover, ShortRequestsUseASpareSlotManyTimes) {
  auto Spill = makeSpillover({.SpareShare = 0.5});
  DomainSummary Summary = neighbour("near", 4, Noon);
  Summary.SlotTime = 100ms;
  Spill->neighboursChanged(Noon, std::vector{Summary});
  EXPECT_EQ(forwarded(*Spill, Noon), 2U);
  EXPECT_EQ(forwarded(*Spill, Noon + 500ms), 10U);
}

TEST(Spillover, AShareBelowOneSlotAddsUpToRequests) {
  auto Spill = makeSpillover({.SpareShare = 0.4});
  unsigned Sent = 0;
  for (int Summary = 0; Summary < 10; ++Summary) {
    TimePoint Now = Noon + Summary * 250ms;
    Spill->neighboursChanged(Now, std::vector{neighbour("near", 1, Now)});
    Sent += forwarded(*Spill, Now);
  }
  // Ten summaries of 0.4 slots each.
  EXPECT_EQ(Sent, 4U);
}

TEST(Spillover, ANeighbourThatReturnsStartsSlowly) {
  auto Spill = makeSpillover({.SpareShare = 1, .SlowStart = 20s});
  DomainSummary Summary = neighbour("near", 40, Noon);
  Spill->neighboursChanged(Noon, std::vector{Summary});
  EXPECT_EQ(forwarded(*Spill, Noon), 40U);
  Summary = neighbour("near", 40, Noon + 1s);
  Summary.Out = true;
  Spill->neighboursChanged(Noon + 1s, std::vector{Summary});
  EXPECT_EQ(forwarded(*Spill, Noon + 1s), 0U);
  for (auto [Later, Expected] : {std::pair(0s, 0U), {10s, 20U}, {20s, 40U}}) {
    TimePoint Now = Noon + 10s;
    for (std::chrono::seconds Passed = 0s; Passed <= Later; Passed += 1s)
      Spill->neighboursChanged(
          Now + Passed, std::vector{neighbour("near", 40, Now + Passed)});
    EXPECT_EQ(forwarded(*Spill, Now + Later), Expected);
  }
}

TEST(Policies, AnUnknownNameIsAnError) {
  using Member = std::string RouterPolicies::*;
  for (Member Each : {&RouterPolicies::Admission, &RouterPolicies::Choice,
                      &RouterPolicies::Deadlines, &RouterPolicies::Retries,
                      &RouterPolicies::Hedges, &RouterPolicies::Stragglers,
                      &RouterPolicies::Spillover}) {
    RouterOptions Options;
    Options.Policies.*Each = "fare";
    EXPECT_THROW(Router Refused(Options), std::invalid_argument);
  }
}
