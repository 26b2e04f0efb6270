//===- Tests/LibRouting/TestReturnTime.cpp - Return of refused callers ----===//
///
/// \file
/// Guards against refused callers who return while there is no room, and who
/// then take the slots of requests that could be answered in time.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/ReturnTime.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

static constexpr auto Millisecond = std::chrono::milliseconds(1);
static const TimePoint Start{seconds(1000)};

/// A single full moment: the caller can still be answered in time.
TEST(ReturnTime, RareRefusalReturnsWithinTheObjective) {
  ReturnTime Return;
  for (int I = 0; I < 50; ++I)
    Return.recordArrival(Start + 20 * Millisecond * I, I == 49);
  EXPECT_LT(Return.estimate(Start + seconds(1), RefusalCause::NoCapacity,
                            500 * Millisecond, seconds(8), 0.5),
            500 * Millisecond);
}

/// A sustained burst of one and a half times the capacity: a third of all
/// requests is refused, and nobody who comes back at once finds room.
TEST(ReturnTime, SustainedOverloadSpreadsReturnsOverTheTimeLeft) {
  ReturnTime Return;
  for (int I = 0; I < 150; ++I)
    Return.recordArrival(Start + 20 * Millisecond * I, I % 3 == 0);
  TimePoint Now = Start + seconds(3);
  Duration Earliest = Return.estimate(Now, RefusalCause::NoCapacity,
                                      500 * Millisecond, seconds(6), 0.999);
  Duration Latest = Return.estimate(Now, RefusalCause::NoCapacity,
                                    500 * Millisecond, seconds(6), 0);
  EXPECT_GT(Earliest, seconds(1));
  EXPECT_GT(Latest - Earliest, 500 * Millisecond);
  EXPECT_LE(Latest, seconds(2));
  // Ten seconds later the overload is forgotten.
  EXPECT_LT(Return.estimate(Now + seconds(10), RefusalCause::NoCapacity,
                            500 * Millisecond, seconds(6), 0.5),
            500 * Millisecond);
}

/// A host that is cut off can't serve, but its neighbours can.
TEST(ReturnTime, CallersOfAHostWithoutConfirmationGoToAnotherAtOnce) {
  EXPECT_EQ(ReturnTime().estimate(Start, RefusalCause::StateUnconfirmed,
                                  500 * Millisecond, seconds(8), 0.5),
            Duration::zero());
}

RC_GTEST_PROP(ReturnTime, CallersReturnWithinTheTimeTheyHave, ()) {
  ReturnTime Return;
  TimePoint Now = Start;
  int Count = *rc::gen::inRange(0, 40);
  for (int I = 0; I < Count; ++I) {
    Now += Millisecond * *rc::gen::inRange(0, 500);
    Return.recordArrival(Now, *rc::gen::arbitrary<bool>());
  }
  Duration Remaining = Millisecond * *rc::gen::inRange(1, 10000);
  Duration Objective = Millisecond * *rc::gen::inRange(0, 2000);
  double Random = *rc::gen::inRange(0, 100) / 100.0;
  Duration Estimate = Return.estimate(Now, RefusalCause::NoCapacity, Objective,
                                      Remaining, Random);
  RC_ASSERT(Estimate >= Duration::zero());
  RC_ASSERT(Estimate <= Remaining / 3 + 1 * Millisecond);
}

TEST(ReturnTime, CallersReturnSpreadAfterTheFirstPauseEnds) {
  ReturnTime Times;
  auto At = [&](Duration PauseLeft, double Random) {
    return Times.estimate(TimePoint(), RefusalCause::EndpointsPaused,
                          std::chrono::milliseconds(300),
                          std::chrono::seconds(8), Random, PauseLeft);
  };
  EXPECT_EQ(At(std::chrono::seconds(2), 0), std::chrono::seconds(2));
  EXPECT_GT(At(std::chrono::seconds(2), 0.9), std::chrono::milliseconds(2600));
  EXPECT_EQ(At(std::chrono::seconds(-1), 0), std::chrono::milliseconds(100));
}
