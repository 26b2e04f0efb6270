//===- Tests/PlatformProcesses/TestLeavingRecords.cpp - What counts -------===//
///
/// \file
/// Guards against tests and runs of the soak that fail since the simulated
/// endpoints count what is no request of a caller. The endpoints run alone.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/BlockingFetch.h>
#include <PlatformWorld/PlatformDeployment.h>
#include <gtest/gtest.h>
#include <platform/WireNames.h>
#include <thread>

using namespace carobhinge;

namespace {

class LeavingRecords : public testing::Test {
protected:
  void SetUp() override {
    for (std::size_t I = 0; I < this->Endpoints.size(); ++I)
      this->Endpoints.leaveInAnswersOnly(I);
    this->Endpoints.start();
  }
  /// \returns whether endpoint \p Index says that it leaves in its answer. The
  /// next request comes later than \p Grace.
  bool isToldBy(std::size_t Index, HttpRequest Request) {
    Request.Headers.add("Host", "endpoints.example");
    Request.Headers.add(platform::AttemptIdField, "leaving");
    Request.Headers.add(platform::WorkspaceField, "first");
    Request.Headers.add(platform::DeadlineField, "20000");
    HttpFetchResult Result =
        blockingFetch(this->Endpoints.address(Index), std::move(Request));
    EXPECT_EQ(Result.Outcome, HttpCallOutcome::Complete);
    std::this_thread::sleep_for(2 * Grace);
    return Result.Head.Headers.value(platform::LeavingField) == "1";
  }
  /// \returns whether endpoint \p Index says so in its answer to an order.
  bool isToldByOrder(std::size_t Index) {
    return this->isToldBy(Index,
                          {.Method = "POST",
                           .Target = "/order",
                           .Headers = {},
                           .Body = R"({"op":"leave","group":"g","epoch":1,)"
                                   R"("fencing_token":1})"});
  }

  static constexpr auto Grace = std::chrono::milliseconds(20);
  PlatformDeployment Deployment{PlatformPlan{}};
  EndpointSimulator &Endpoints = Deployment.endpoints();
};

} // namespace

// Guards against a run that fails since a control host, which passes on no
// answers, orders an engine once more whose refusal of an order said that it
// leaves.
TEST_F(LeavingRecords, OrdersAreNoRequestsOfCallers) {
  this->Endpoints.setRequestedPause(Grace);
  bool IsTold = false;
  for (std::size_t I = 0; I < this->Endpoints.size(); ++I)
    for (int Repeat = 0; Repeat < 3; ++Repeat)
      IsTold |= this->isToldByOrder(I);
  EXPECT_TRUE(IsTold);
  EXPECT_EQ(this->Endpoints.describeArrivalsAfterLeaving(Grace),
            std::vector<std::string>());
}

// Guards against records that miss what they are for: a caller's request after
// an answer that said so, also if orders come before it and after it.
TEST_F(LeavingRecords, RequestsOfCallersCount) {
  std::size_t Plain = 0;
  while (!this->Endpoints.name(Plain).starts_with("plain-"))
    ++Plain;
  HttpRequest Request{.Method = "GET", .Target = "/get/1", .Headers = {}};
  this->isToldByOrder(Plain);
  EXPECT_TRUE(this->isToldBy(Plain, Request));
  this->isToldByOrder(Plain);
  EXPECT_EQ(this->Endpoints.arrivalsAfterLeaving(Grace), 0U);
  EXPECT_TRUE(this->isToldBy(Plain, Request));
  EXPECT_TRUE(this->isToldBy(Plain, Request));
  EXPECT_EQ(this->Endpoints.arrivalsAfterLeaving(Grace), 2U);
}
