//===- Tests/LibRouting/TestRateLimiter.cpp - Rate limits of workspaces ---===//
///
/// \file
/// Guards against a workspace that exceeds its rate plus one second's burst,
/// and against a reported wait that is too short.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/RateLimiter.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;

RC_GTEST_PROP(RateLimiter, NeverExceedsTheRate, ()) {
  auto Rate = *rc::gen::inRange(1, 50);
  RateLimiter Limiter;
  TimePoint Start;
  Limiter.setRates(Start, {{"limited", static_cast<double>(Rate)}});
  TimePoint Now = Start;
  int Passed = 0;
  for (int I = 0; I < 300; ++I) {
    Now += std::chrono::milliseconds(*rc::gen::inRange(0, 40));
    std::optional<Duration> Wait = Limiter.acquire(Now, "limited");
    Passed += Wait ? 0 : 1;
    RC_ASSERT(!Limiter.acquire(Now, "unlimited"));
    if (!Wait)
      continue;
    RC_ASSERT(*Wait > Duration::zero());
    // A request after the reported wait is admitted.
    Now += *Wait;
    RC_ASSERT(!Limiter.acquire(Now, "limited"));
    ++Passed;
  }
  double Seconds = std::chrono::duration<double>(Now - Start).count();
  RC_ASSERT(Passed <= Rate * (Seconds + 1) + 1);
}

TEST(RateLimiter, RemovedRateNoLongerLimits) {
  RateLimiter Limiter;
  TimePoint Now;
  Limiter.setRates(Now, {{"w", 1}});
  EXPECT_FALSE(Limiter.acquire(Now, "w"));
  EXPECT_TRUE(Limiter.acquire(Now, "w"));
  Limiter.setRates(Now, {});
  EXPECT_FALSE(Limiter.acquire(Now, "w"));
}
