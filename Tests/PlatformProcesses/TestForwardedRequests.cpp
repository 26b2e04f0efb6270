//===- Tests/PlatformProcesses/TestForwardedRequests.cpp - Other hosts ----===//
///
/// \file
/// Guards against requests that end although another entry host, to which
/// theirs hands them on, could serve them.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/BlockingFetch.h>
#include <LibRouting/EngineContact.h>
#include <PlatformWorld/PlatformVerifyingCaller.h>
#include <csignal>
#include <future>
#include <gtest/gtest.h>
#include <platform/WireNames.h>

using namespace carobhinge;
using std::chrono::seconds;

namespace {

class ForwardedRequests : public testing::Test {
protected:
  /// Cuts the first entry host off from all endpoints. The others serve its
  /// callers from then on.
  void SetUp() override {
    this->Deployment.start();
    for (CallKind Kind : {CallKind::Post, CallKind::Get})
      this->waitUntilAnswered(Kind);
    this->Deployment.setEndpointLinks(CutOff, LinkMode::Cut);
    for (CallKind Kind : {CallKind::Post, CallKind::Get})
      this->waitUntilAnswered(Kind);
  }
  void waitUntilAnswered(CallKind Kind) {
    PlatformDeployment::waitFor("calls are answered", [this, Kind] {
      return this->Caller.callOnce(CutOff, Kind) == CallEnd::Answered;
    });
  }
  /// \returns the status of an answer to a request with a long head.
  [[nodiscard]] unsigned fetchStatus(std::size_t Host,
                                     std::size_t Padding) const {
    HttpRequest Request{.Method = "GET", .Target = "/v2/padded"};
    Request.Headers.add("Host", "callers.example");
    Request.Headers.add(platform::AttemptIdField,
                        "padded-" + std::to_string(Host) + "-" +
                            std::to_string(Padding));
    Request.Headers.add(platform::KeyField, this->Deployment.key());
    Request.Headers.add("X-Padding", std::string(Padding, 'x'));
    return blockingFetch(this->Deployment.callerAddress(Host),
                         std::move(Request))
        .Head.Status;
  }

  static constexpr std::size_t CutOff = 3;
  PlatformDeployment Deployment{PlatformPlan{.VariesCatalog = true}};
  PlatformVerifyingCaller Caller{this->Deployment, 1};
};

} // namespace

// Guards against a silence of a second of the other hosts that ends requests,
// on new connections to them and on kept ones.
TEST_F(ForwardedRequests, SilenceOfTheOtherHostsEndsNone) {
  static constexpr auto Silence = std::chrono::milliseconds(1200);
  for (std::size_t Peer : {CutOff + 1, CutOff + 2})
    this->Deployment.process(Peer).signal(SIGSTOP);
  std::vector<std::future<CallEnd>> Ends;
  for (int I = 0; I < 4; ++I)
    for (CallKind Kind : {CallKind::Post, CallKind::Get})
      Ends.push_back(std::async(std::launch::async, [this, Kind] {
        return this->Caller.callOnce(CutOff, Kind);
      }));
  std::this_thread::sleep_for(Silence);
  for (std::size_t Peer : {CutOff + 1, CutOff + 2})
    this->Deployment.process(Peer).signal(SIGCONT);
  for (auto &Each : Ends)
    EXPECT_EQ(Each.get(), CallEnd::Answered);
  EXPECT_EQ(this->Caller.findViolations(this->Deployment.executionLog()),
            std::vector<std::string>());
}

// Guards against a head within the caller's limit that is refused since another
// host got it with the fields which hosts add.
TEST_F(ForwardedRequests, LongestHeadIsServed) {
  static constexpr std::size_t Step = 16;
  // The hosts' limit is then lower than that of the endpoints.
  ASSERT_TRUE(this->Deployment.putCatalog(2));
  for (std::size_t Host : {CutOff, CutOff + 1})
    PlatformDeployment::waitFor("the new limits hold", [this, Host] {
      return this->fetchStatus(Host, 0) == 200;
    });
  std::size_t Padding = std::size_t(16) * 1024;
  unsigned Status = 431;
  while (Status == 431 && Padding > Step) {
    Padding -= Step;
    Status = this->fetchStatus(CutOff + 1, Padding);
  }
  ASSERT_EQ(Status, 200U);
  // One request at a time tries to reach an endpoint, and has no repeat here;
  // the next ones are handed on.
  static_cast<void>(this->fetchStatus(CutOff, 1));
  EXPECT_EQ(this->fetchStatus(CutOff, Padding), 200U);
}

// Guards against a request that is lost since it tries to reach an endpoint
// during the cut, although its route allows no second one.
TEST_F(ForwardedRequests, RequestsWithoutARepeatAreRarelyTried) {
  ASSERT_TRUE(this->Deployment.putCatalog(2));
  // At last one is tried, for want of others, and lost.
  std::size_t Padding = 0;
  PlatformDeployment::waitFor("a request is tried", [this, &Padding] {
    return this->fetchStatus(CutOff, ++Padding) == 502;
  });
  std::this_thread::sleep_for(2 * EngineContactOptions().ProbeInterval);
  EXPECT_EQ(this->fetchStatus(CutOff, ++Padding), 200U);
}
