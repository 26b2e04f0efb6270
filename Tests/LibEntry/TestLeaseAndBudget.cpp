//===- Tests/LibEntry/TestLeaseAndBudget.cpp - Lease and retry budget -----===//
///
/// \file
/// Guards against a lease that is too long because it counts from a delayed
/// answer or confirms a state that is not applied yet, and against entry hosts
/// whose retries together exceed the deployment's bound.
///
//===----------------------------------------------------------------------===//

#include <LibEntry/ConfirmationLease.h>
#include <LibEntry/RetryBudget.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

static constexpr auto Millisecond = std::chrono::milliseconds(1);
static const TimePoint Start{seconds(1000)};

TEST(ConfirmationLease, CountsFromRequestNotFromAnswer) {
  ConfirmationLease Lease(seconds(4));
  EXPECT_FALSE(Lease.isValid(Start));
  Lease.recordApplied(3);
  // Requested at the start, answered three seconds later.
  Lease.recordConfirmation(Start, 3);
  EXPECT_TRUE(Lease.isValid(Start + 3999 * Millisecond));
  EXPECT_FALSE(Lease.isValid(Start + seconds(4)));
}

TEST(ConfirmationLease, ConfirmationOfNewerStateWaitsUntilApplied) {
  ConfirmationLease Lease(seconds(4));
  Lease.recordApplied(3);
  Lease.recordConfirmation(Start, 4);
  EXPECT_FALSE(Lease.isValid(Start));
  Lease.recordApplied(4);
  EXPECT_TRUE(Lease.isValid(Start));
}

TEST(ConfirmationLease, OlderAnswerDoesNotShortenLease) {
  ConfirmationLease Lease(seconds(4));
  Lease.recordApplied(1);
  Lease.recordConfirmation(Start + seconds(2), 1);
  Lease.recordConfirmation(Start, 1);
  EXPECT_TRUE(Lease.isValid(Start + seconds(5)));
}

/// The bound of a deployment applies to all entry hosts together: here each of
/// them retries as often as its budget allows, in one window.
TEST(RetryBudget, AllEntryHostsTogetherKeepBound) {
  for (int Hosts : {1, 9, 79}) {
    RetryBudgetOptions Options{.Ratio = 0.2, .Slack = 136};
    int Requests = 0;
    int Retries = 0;
    for (int Host = 0; Host < Hosts; ++Host) {
      RetryBudget Budget(Options);
      for (int I = 0; I < 200; ++I) {
        TimePoint Now = Start + I * 50 * Millisecond;
        Budget.recordRequest(Now);
        ++Requests;
        while (Budget.tryAcquire(Now, Hosts))
          ++Retries;
      }
    }
    EXPECT_LE(Retries, 0.2 * Requests + 136) << Hosts;
    EXPECT_GT(Retries, 0) << Hosts;
  }
}

TEST(RetryBudget, RetriesOutsideWindowAreForgotten) {
  RetryBudget Budget({.Ratio = 0, .Slack = 10});
  int Acquired = 0;
  while (Budget.tryAcquire(Start, 1))
    ++Acquired;
  EXPECT_EQ(Acquired, 8);
  EXPECT_FALSE(Budget.tryAcquire(Start + seconds(10), 1));
  EXPECT_TRUE(Budget.tryAcquire(Start + seconds(11), 1));
}
