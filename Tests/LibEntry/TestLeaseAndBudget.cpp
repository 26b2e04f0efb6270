//===- Tests/LibEntry/TestLeaseAndBudget.cpp - Old states, many repeats ---===//

#include <LibEntry/ConfirmationLease.h>
#include <LibEntry/RepeatBudget.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

static constexpr auto Millisecond = std::chrono::milliseconds(1);
static const TimePoint Start{seconds(1000)};

TEST(ConfirmationLease, CountsFromTheQuestionNotFromTheAnswer) {
  ConfirmationLease Lease(seconds(4));
  EXPECT_FALSE(Lease.holds(Start));
  Lease.applied(3);
  // Asked at the start, answered three seconds later.
  Lease.confirmed(Start, 3);
  EXPECT_TRUE(Lease.holds(Start + 3999 * Millisecond));
  EXPECT_FALSE(Lease.holds(Start + seconds(4)));
}

TEST(ConfirmationLease, AConfirmationOfANewerStateWaitsForIt) {
  ConfirmationLease Lease(seconds(4));
  Lease.applied(3);
  Lease.confirmed(Start, 4);
  EXPECT_FALSE(Lease.holds(Start));
  Lease.applied(4);
  EXPECT_TRUE(Lease.holds(Start));
}

TEST(ConfirmationLease, AnOlderAnswerDoesNotShortenIt) {
  ConfirmationLease Lease(seconds(4));
  Lease.applied(1);
  Lease.confirmed(Start + seconds(2), 1);
  Lease.confirmed(Start, 1);
  EXPECT_TRUE(Lease.holds(Start + seconds(5)));
}

/// The bound of a deployment holds over all entry hosts together: here all of
/// them repeat as much as they are let, in one window.
TEST(RepeatBudget, AllEntryHostsTogetherKeepTheBound) {
  for (int Hosts : {1, 9, 79}) {
    RepeatBudgetOptions Options{.Ratio = 0.2, .Slack = 136};
    int Requests = 0;
    int Repeats = 0;
    for (int Host = 0; Host < Hosts; ++Host) {
      RepeatBudget Budget(Options);
      for (int I = 0; I < 200; ++I) {
        TimePoint Now = Start + I * 50 * Millisecond;
        Budget.request(Now);
        ++Requests;
        while (Budget.take(Now, Hosts))
          ++Repeats;
      }
    }
    EXPECT_LE(Repeats, 0.2 * Requests + 136) << Hosts;
    EXPECT_GT(Repeats, 0) << Hosts;
  }
}

TEST(RepeatBudget, OldRepeatsAreForgotten) {
  RepeatBudget Budget({.Ratio = 0, .Slack = 10});
  int First = 0;
  while (Budget.take(Start, 1))
    ++First;
  EXPECT_EQ(First, 8);
  EXPECT_FALSE(Budget.take(Start + seconds(10), 1));
  EXPECT_TRUE(Budget.take(Start + seconds(11), 1));
}
