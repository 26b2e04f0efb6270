//===- Tests/LibRouting/TestRateGate.cpp - Rates of workspaces ------------===//
///
/// \file
/// No workspace gets more than its rate and one second's burst, and what it is
/// told to wait is enough.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/RateGate.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;

RC_GTEST_PROP(RateGate, NeverLetsMoreThroughThanTheRate, ()) {
  auto Rate = *rc::gen::inRange(1, 50);
  RateGate Gate;
  TimePoint Start;
  Gate.ratesChanged(Start, {{"limited", static_cast<double>(Rate)}});
  TimePoint Now = Start;
  int Passed = 0;
  for (int I = 0; I < 300; ++I) {
    Now += std::chrono::milliseconds(*rc::gen::inRange(0, 40));
    std::optional<Duration> Wait = Gate.refuse(Now, "limited");
    Passed += Wait ? 0 : 1;
    RC_ASSERT(!Gate.refuse(Now, "unlimited"));
    if (!Wait)
      continue;
    RC_ASSERT(*Wait > Duration::zero());
    // Asking again at the told time is answered.
    Now += *Wait;
    RC_ASSERT(!Gate.refuse(Now, "limited"));
    ++Passed;
  }
  double Seconds = std::chrono::duration<double>(Now - Start).count();
  RC_ASSERT(Passed <= Rate * (Seconds + 1) + 1);
}

TEST(RateGate, WorkspaceWithoutARateAnyMoreIsFree) {
  RateGate Gate;
  TimePoint Now;
  Gate.ratesChanged(Now, {{"w", 1}});
  EXPECT_FALSE(Gate.refuse(Now, "w"));
  EXPECT_TRUE(Gate.refuse(Now, "w"));
  Gate.ratesChanged(Now, {});
  EXPECT_FALSE(Gate.refuse(Now, "w"));
}
