//===- Tests/LibFleet/TestWarmUpShare.cpp - Shares of warm-up budgets -----===//
///
/// \file
/// Guards against an overloaded cold target: the entry hosts' shares together
/// must never exceed its warm-up budget.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/WarmUpShare.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

static std::vector<HostName> hosts(std::uint32_t From, std::uint32_t Count) {
  std::vector<HostName> Result;
  for (std::uint32_t I = 0; I < Count; ++I)
    Result.push_back("entry-" + std::to_string(From + I));
  return Result;
}

RC_GTEST_PROP(WarmUpShare, SharesAddUpToTheBudget, ()) {
  auto Count = *rc::gen::inRange<std::uint32_t>(1, 40);
  auto Budget = *rc::gen::inRange<std::uint32_t>(0, 40);
  auto IncarnationNumber = *rc::gen::inRange<Incarnation>(1, 1000);
  std::vector<HostName> All = hosts(0, Count);
  std::uint32_t Sum = 0;
  for (const HostName &Self : All)
    Sum += WarmUpShare(Self, All, seconds(15))
               .share(TimePoint(), "sheets-1", IncarnationNumber, Budget);
  RC_ASSERT(Sum == Budget);
}

/// Entry hosts switch to a changed list at different times within the overlap.
RC_GTEST_PROP(WarmUpShare, SharesNeverExceedTheBudgetDuringListChange, ()) {
  auto Budget = *rc::gen::inRange<std::uint32_t>(1, 30);
  std::vector<HostName> OldHosts =
      hosts(0, *rc::gen::inRange<std::uint32_t>(1, 6));
  auto FirstNew = *rc::gen::inRange<std::uint32_t>(0, 4);
  auto NewCount = *rc::gen::inRange<std::uint32_t>(1, 6);
  std::vector<HostName> NewHosts = hosts(FirstNew, NewCount);
  std::vector<WarmUpShare> Shares;
  std::vector<TimePoint> ChangeAt;
  for (const HostName &Self : hosts(0, 10)) {
    Shares.emplace_back(Self, OldHosts, seconds(15));
    ChangeAt.emplace_back(seconds(*rc::gen::inRange(1, 15)));
  }
  for (TimePoint Now; Now < TimePoint(seconds(40)); Now += seconds(1)) {
    std::uint32_t Sum = 0;
    for (std::size_t I = 0; I < Shares.size(); ++I) {
      if (ChangeAt[I] == Now)
        Shares[I].setEntryHosts(Now, NewHosts);
      Sum += Shares[I].share(Now, "sheets-1", 7, Budget);
    }
    RC_ASSERT(Sum <= Budget);
    RC_ASSERT(Sum == Budget ||
              (Now > TimePoint() && Now < TimePoint(seconds(31))));
  }
}

TEST(WarmUpShare, BudgetGrowthRequiresAnswersAndTime) {
  WarmUpCurve Curve{.AnswersPerDoubling = 10, .TimePerDoubling = seconds(5)};
  struct Case {
    int ColdSeconds;
    std::uint64_t Answered;
    std::uint32_t Expected;
  };
  for (const Case &Each :
       {Case{0, 1000, 2}, Case{1000, 0, 2}, Case{5, 10, 4}, Case{10, 19, 4},
        Case{10, 20, 8}, Case{10000, 100000, 64}})
    EXPECT_EQ(
        warmUpBudget(2, 64, seconds(Each.ColdSeconds), Each.Answered, Curve),
        Each.Expected)
        << Each.ColdSeconds << " s, " << Each.Answered << " answers";
}
