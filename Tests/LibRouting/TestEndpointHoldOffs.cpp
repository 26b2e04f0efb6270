//===- Tests/LibRouting/TestEndpointHoldOffs.cpp - Pauses and leaving -----===//
///
/// \file
/// Guards against requests to endpoints that asked for a pause or are leaving,
/// a burst at the end of a pause, and endpoints that are avoided for what an
/// earlier life of theirs asked for.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/EndpointHoldOffs.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>
#include <vector>

using namespace carobhinge;
using std::chrono::seconds;

static constexpr TimePoint Start{std::chrono::hours(1)};
static const EndpointHoldOffs::Endpoint First{.Name = "e1", .Number = 7};
static const EndpointHoldOffs::Endpoint Restarted{.Name = "e1", .Number = 8};
static const EndpointHoldOffs::Endpoint Second{.Name = "e2", .Number = 7};

TEST(EndpointHoldOffs, PauseHoldsForItsEndpointAndToItsEnd) {
  EndpointHoldOffs HoldOffs;
  HoldOffs.recordPause(Start, First, seconds(2), 0);
  EXPECT_FALSE(HoldOffs.mayReceive(Start, First));
  EXPECT_FALSE(
      HoldOffs.mayWrite(Start + std::chrono::milliseconds(1999), First));
  EXPECT_TRUE(HoldOffs.mayReceive(Start + seconds(2), First));
  EXPECT_TRUE(HoldOffs.mayReceive(Start, Second));
  EXPECT_TRUE(HoldOffs.mayReceive(Start, Restarted));
}

TEST(EndpointHoldOffs, ShorterPauseDoesNotEndALongerOne) {
  EndpointHoldOffs HoldOffs;
  HoldOffs.recordPause(Start, First, seconds(5), 0);
  EXPECT_EQ(HoldOffs.recordPause(Start + seconds(1), First, seconds(1), 0),
            Start + seconds(5));
  EXPECT_FALSE(
      HoldOffs.mayReceive(Start + std::chrono::milliseconds(4900), First));
  EXPECT_EQ(HoldOffs.recordPause(Start + seconds(4), First, seconds(3), 0),
            Start + seconds(7));
}

TEST(EndpointHoldOffs, OneRequestFollowsAPauseUntilItIsServed) {
  EndpointHoldOffs HoldOffs;
  HoldOffs.recordPause(Start, First, seconds(1), 0);
  TimePoint End = Start + seconds(1);
  HoldOffs.recordSent(End, First);
  EXPECT_FALSE(HoldOffs.mayReceive(End + std::chrono::milliseconds(10), First));
  // The chosen request itself may be written.
  EXPECT_TRUE(HoldOffs.mayWrite(End + std::chrono::milliseconds(10), First));
  // The answer to a request from before the pause says nothing.
  HoldOffs.recordServed(First, Start - std::chrono::milliseconds(1));
  EXPECT_FALSE(HoldOffs.mayReceive(End + std::chrono::milliseconds(20), First));
  HoldOffs.recordServed(First, End);
  EXPECT_TRUE(HoldOffs.mayReceive(End + std::chrono::milliseconds(30), First));
  EXPECT_EQ(HoldOffs.size(), 0U);
}

TEST(EndpointHoldOffs, UnansweredRequestIsFollowedByAnotherOne) {
  EndpointHoldOffs HoldOffs;
  HoldOffs.recordPause(Start, First, seconds(1), 0);
  TimePoint End = Start + seconds(1);
  HoldOffs.recordSent(End, First);
  EXPECT_EQ(HoldOffs.pauseEnd(First), End + seconds(1));
  EXPECT_TRUE(HoldOffs.mayReceive(End + seconds(1), First));
}

TEST(EndpointHoldOffs, LeavingEndpointStaysExcludedUntilItStartsAgain) {
  EndpointHoldOffs HoldOffs;
  EXPECT_TRUE(HoldOffs.recordLeaving(Start, First));
  EXPECT_FALSE(HoldOffs.recordLeaving(Start, First));
  HoldOffs.recordPause(Start, First, seconds(1), 0);
  HoldOffs.recordServed(First, Start + seconds(2));
  EXPECT_FALSE(HoldOffs.mayReceive(Start + std::chrono::hours(1), First));
  EXPECT_FALSE(HoldOffs.mayWrite(Start + std::chrono::hours(1), First));
  EXPECT_TRUE(HoldOffs.mayReceive(Start, Restarted));
  HoldOffs.recordPause(Start, Restarted, seconds(1), 0);
  // An answer of the earlier life comes late.
  EXPECT_FALSE(HoldOffs.recordLeaving(Start, First));
  EXPECT_TRUE(HoldOffs.mayReceive(Start + seconds(2), Restarted));
}

TEST(EndpointHoldOffs, UnknownLifeIsTheSameAsAnyOther) {
  EndpointHoldOffs HoldOffs;
  EndpointHoldOffs::Endpoint Unknown{.Name = "e1", .Number = 0};
  HoldOffs.recordPause(Start, First, seconds(2), 0);
  EXPECT_FALSE(HoldOffs.mayReceive(Start, Unknown));
  HoldOffs.recordPause(Start, Unknown, seconds(4), 0);
  EXPECT_FALSE(HoldOffs.mayReceive(Start + seconds(3), First));
  EXPECT_TRUE(HoldOffs.mayReceive(Start, Restarted));
}

TEST(EndpointHoldOffs, UnlistedEndpointsAreForgotten) {
  EndpointHoldOffs HoldOffs;
  HoldOffs.recordLeaving(Start, First);
  HoldOffs.recordPause(Start, Second, std::chrono::hours(24 * 365), 0);
  auto IsSecond = [](const EndpointName &Name) { return Name == "e2"; };
  HoldOffs.removeUnlisted(Start + seconds(60), IsSecond);
  EXPECT_EQ(HoldOffs.size(), 2U);
  HoldOffs.removeUnlisted(Start + seconds(121), IsSecond);
  EXPECT_EQ(HoldOffs.size(), 1U);
  EXPECT_FALSE(HoldOffs.mayReceive(Start + seconds(121), Second));
}

// 59 hosts that were asked at the same moment.
TEST(EndpointHoldOffs, HostsReturnOneByOne) {
  static constexpr int Hosts = 59;
  std::mt19937_64 Random(1);
  std::uniform_real_distribution<double> Uniform(0, 1);
  std::vector<TimePoint> Returns;
  Returns.reserve(Hosts);
  for (int I = 0; I < Hosts; ++I)
    Returns.push_back(EndpointHoldOffs().recordPause(Start, First, seconds(4),
                                                     Uniform(Random)));
  std::ranges::sort(Returns);
  EXPECT_GE(Returns.front(), Start + seconds(4));
  EXPECT_LE(Returns.back(), Start + seconds(5));
  for (std::size_t I = 0; I + 12 < Returns.size(); ++I)
    EXPECT_GT(Returns[I + 12] - Returns[I], std::chrono::milliseconds(50));
}

// Drawn answers and requests: between half a second after an answer that asks
// for a pause and its end, none of the requests that may be sent is sent.
RC_GTEST_PROP(EndpointHoldOffsProperties, NoRequestIsSentInAPause, ()) {
  EndpointHoldOffs HoldOffs;
  TimePoint Now = Start;
  TimePoint PausedUntil = Start;
  std::vector<TimePoint> Sent;
  auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
  for (int Step : Steps) {
    Now += std::chrono::milliseconds(1 + Step % 97);
    if (Step % 5 == 0) {
      Duration Length =
          std::chrono::milliseconds(1 + *rc::gen::inRange(0, 5000));
      HoldOffs.recordPause(Now, First, Length, 0.5);
      PausedUntil = std::max(PausedUntil, Now + Length);
    } else if (Step % 5 == 1 && !Sent.empty()) {
      HoldOffs.recordServed(First, Sent[Sent.size() * Step / 1000]);
    } else if (HoldOffs.mayReceive(Now, First)) {
      RC_ASSERT(Now >= PausedUntil);
      HoldOffs.recordSent(Now, First);
      Sent.push_back(Now);
    }
  }
}
