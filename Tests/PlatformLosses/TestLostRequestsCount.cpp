//===- Tests/PlatformLosses/TestLostRequestsCount.cpp - Lost requests -----===//
///
/// \file
/// Checks which requests without a whole answer count, and by which cause.
///
//===----------------------------------------------------------------------===//

#include <PlatformWorld/LostRequests.h>
#include <array>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

namespace {

TimePoint at(int Ms) { return TimePoint() + std::chrono::milliseconds(Ms); }

/// A lost call at host 3 that was run.
CallRecord lostCall(int SentMs, int EndedMs) {
  return {.AttemptId = "lost",
          .Host = 3,
          .SentAt = at(SentMs),
          .EndedAt = at(EndedMs),
          .Timeout = seconds(5),
          .IsLost = true,
          .IsExecuted = true,
          .IsOnKeptConnection = true};
}

} // namespace

TEST(LostRequestsCount, CountsEachCallByItsCause) {
  LostRequests Lost;
  Lost.add(LossCause::Stop, 3, at(10000), at(19000));
  Lost.add(LossCause::Fault, 3, at(30000), at(31000));
  std::vector<CallRecord> Calls = {
      lostCall(0, 100),       lostCall(9900, 10100),  lostCall(33900, 34100),
      lostCall(34100, 34200), lostCall(50000, 55000), lostCall(50000, 50100)};
  Calls.back().IsLost = false;
  LossSummary Summary = Lost.review(Calls);
  EXPECT_EQ(Summary.Calls, 6U);
  EXPECT_EQ(Summary.Lost,
            (std::map<LossCause, unsigned>{{LossCause::Deadline, 1},
                                           {LossCause::Fault, 1},
                                           {LossCause::Stop, 1},
                                           {LossCause::None, 2}}));
  EXPECT_EQ(Summary.Violations.size(), 1U);
  EXPECT_EQ(Summary.describe(),
            "833.33 per 1,000 without a whole answer (5 of 6; at its deadline: "
            "1; fault: 1; stop: 1; no cause: 2) and 0 not read");
}

TEST(LostRequestsCount, PlannedWorkIsExcusedByFaultsAndForUnreadRequestsOnly) {
  LostRequests Lost;
  Lost.add(LossCause::Reload, 3, at(10000), at(12000));
  CallRecord Unread = lostCall(10500, 10600);
  Unread.IsExecuted = false;
  LossSummary Summary = Lost.review(std::array{Unread});
  EXPECT_TRUE(Summary.Violations.empty());
  EXPECT_EQ(Summary.lost(), 0U);
  EXPECT_EQ(Summary.NotRead, 1U);
  Unread.EndedAt = at(10701);
  EXPECT_EQ(Lost.review(std::array{Unread}).Violations.size(), 1U);
  // Callers that run late see the end late.
  EXPECT_EQ(
      Lost.review(std::array{Unread}, std::chrono::milliseconds(1)).NotRead,
      1U);
  Unread.EndedAt = at(10702);
  EXPECT_EQ(Lost.review(std::array{Unread}, std::chrono::milliseconds(1))
                .Violations.size(),
            1U);
  CallRecord Elsewhere = lostCall(10500, 10600);
  Elsewhere.Host = 4;
  EXPECT_TRUE(Lost.review(std::array{Elsewhere}).Violations.empty());
  Lost.add(LossCause::Fault, std::nullopt, at(8000), at(8500));
  EXPECT_TRUE(Lost.review(std::array{Unread}).Violations.empty());
}

TEST(LostRequestsCount, MoreThanThreeClosesOfKeptConnectionsAreTooMany) {
  LostRequests Lost;
  std::vector<CallRecord> Calls(3, lostCall(0, 100));
  EXPECT_TRUE(Lost.review(Calls).Violations.empty());
  Calls.push_back(lostCall(0, 100));
  EXPECT_EQ(Lost.review(Calls).Violations.size(), 4U);
  Calls.back().IsExecuted = false;
  EXPECT_TRUE(Lost.review(Calls).Violations.empty());
}

TEST(LostRequestsCount, ChangesMayLoseAsManyAsOtherTimes) {
  LostRequests Lost;
  Lost.add(LossCause::Change, std::nullopt, at(10000), at(13000));
  std::vector<CallRecord> Calls = {lostCall(10000, 10300)};
  EXPECT_EQ(Lost.review(Calls).Violations.size(), 1U);
  Calls.push_back(lostCall(0, 300));
  EXPECT_TRUE(Lost.review(Calls).Violations.empty());
  // Beside the change one of one, otherwise one of ten.
  for (int I = 0; I < 9; ++I) {
    Calls.push_back(lostCall(0, 300));
    Calls.back().IsLost = false;
  }
  EXPECT_EQ(Lost.review(Calls).Violations.size(), 1U);
  Calls.front().EndedAt = at(13500);
  EXPECT_TRUE(Lost.review(Calls).Violations.empty());
}

TEST(LostRequestsCount, SilenceOfSoundEndpointsExcusesNothing) {
  LostRequests Lost;
  Lost.add(LossCause::Silence, std::nullopt, at(10000), at(11500));
  CallRecord Unknown = lostCall(9000, 11600);
  Unknown.IsLost = false;
  EXPECT_TRUE(Lost.review(std::array{Unknown}).Violations.empty());
  Unknown.IsUnknown = true;
  EXPECT_EQ(Lost.review(std::array{Unknown}).Violations.size(), 1U);
  // It may show until the contact time has passed.
  EXPECT_EQ(Lost.review(std::array{lostCall(14400, 14500)}).Violations.size(),
            1U);
  EXPECT_TRUE(
      Lost.review(std::array{lostCall(14600, 14700)}).Violations.empty());
  Lost.add(LossCause::Fault, std::nullopt, at(9000), at(9500));
  EXPECT_TRUE(Lost.review(std::array{Unknown}).Violations.empty());
}
