//===- Tests/LibControl/TestGroupCoordinator.cpp - Engines that end -------===//
///
/// \file
/// Guards against targets whose engine is known to have ended. Runs in real
/// time, with an engine that is a listening socket of this process.
///
//===----------------------------------------------------------------------===//

#include <LibControl/GroupCoordinator.h>
#include <LibFormation/DispatchTargetMode.h>
#include <boost/asio.hpp>
#include <gtest/gtest.h>
#include <memory>

using namespace carobhinge;
using std::chrono::seconds;
namespace asio = boost::asio;

namespace {

class ProbesOnly : public ControlProtocol {
public:
  [[nodiscard]] ControlCall
  readCall(const HttpRequest & /*Call*/) const override {
    return {};
  }
  [[nodiscard]] std::optional<Catalog>
  readCatalog(std::string_view /*Text*/, Findings & /*Out*/) const override {
    return {};
  }
  [[nodiscard]] std::optional<EngineReport>
  readReport(const EndpointName & /*Id*/, std::string_view /*Text*/,
             Findings & /*Out*/) const override {
    return {};
  }
  [[nodiscard]] HttpRequest
  makeOrderRequest(const EngineOrder & /*Order*/) const override {
    return {.Method = "POST", .Target = "/"};
  }
  [[nodiscard]] OrderResult
  readOrderResult(unsigned /*Status*/) const override {
    return OrderResult::Unanswered;
  }
  [[nodiscard]] Duration
  readPause(const HttpResponseHead & /*Answer*/) const override {
    return {};
  }
  [[nodiscard]] std::optional<Incarnation>
  readLife(std::string_view /*Body*/) const override {
    return {};
  }
  [[nodiscard]] HttpRequest makeProbeRequest() const override {
    return {.Method = "GET", .Target = "/"};
  }
};

class GroupCoordinatorTest : public testing::Test {
protected:
  GroupCoordinatorTest() {
    EngineSpec Spec{.Slots = 4};
    Spec.Models = {{.Name = "small", .GroupSize = 1, .InitialShare = 1}};
    this->Active.Version = 1;
    this->Active.Services = {
        {.Name = "sheets", .HealthPath = "/", .Engine = Spec},
        {.Name = "plain", .HealthPath = "/"}};
  }

  /// Runs steps, with reports of plain endpoints, until the target of the group
  /// is absent or in \p Mode. \returns whether that was within \p Limit.
  bool runUntil(std::optional<DispatchTargetMode> Mode, Duration Limit) {
    for (TimePoint End = monotonicNow() + Limit; monotonicNow() < End;) {
      for (const char *Id : {"p1", "p2"})
        this->Coordinator.recordReport(monotonicNow(),
                                       {.Id = Id,
                                        .Address = Id,
                                        .Service = "plain",
                                        .Sequence = ++this->Sequence});
      this->Coordinator.step(monotonicNow(), this->Active);
      this->Context.restart();
      this->Context.run_for(std::chrono::milliseconds(50));
      auto Target = this->Coordinator.targets().find("small.g-1");
      std::optional<DispatchTargetMode> Current;
      if (Target != this->Coordinator.targets().end() &&
          !Target->second.Removed)
        Current =
            static_cast<DispatchTargetMode>(Target->second.Message.mode());
      if (Current == Mode)
        return true;
    }
    return false;
  }

  void reportEngine(std::string Address) {
    ASSERT_TRUE(this->Coordinator.recordReport(
        monotonicNow(),
        {.Id = "e",
         .Address = std::move(Address),
         .Service = "sheets",
         .StartedAtMs = 1,
         .Sequence = 1,
         .Slots = 4,
         .Group = GroupMembership{.Group = "small.g-1",
                                  .Epoch = 1,
                                  .Rank = 0,
                                  .State = MemberState::Open}}));
    this->Coordinator.startLeading(monotonicNow(), 1, this->Active,
                                   monotonicNow());
  }

  asio::io_context Context;
  HostSettings Settings;
  ProbesOnly Protocol;
  SharedByteBudget Budget{std::size_t(16) << 20U};
  Metrics Output;
  LimitLog ReachedLimits{this->Output};
  Catalog Active;
  std::uint64_t Sequence = 0;
  GroupCoordinator Coordinator{this->Context.get_executor(), this->Settings,
                               this->Protocol, this->Budget,
                               this->ReachedLimits};
};

/// Answers each connection with bytes that are no answer.
class BrokenListener {
public:
  explicit BrokenListener(asio::io_context &Context)
      : Acceptor(Context, {asio::ip::address_v4::loopback(), 0}) {
    this->accept();
  }
  std::string address() {
    return "127.0.0.1:" +
           std::to_string(this->Acceptor.local_endpoint().port());
  }

private:
  void accept() {
    this->Acceptor.async_accept(
        [this](auto Error, asio::ip::tcp::socket Accepted) {
          if (Error)
            return;
          auto Socket =
              std::make_shared<asio::ip::tcp::socket>(std::move(Accepted));
          auto Request = std::make_shared<std::array<char, 4096>>();
          Socket->async_read_some(asio::buffer(*Request),
                                  [Socket, Request](auto, auto) {
                                    asio::write(*Socket, asio::buffer(Answer));
                                  });
          this->accept();
        });
  }

  static constexpr std::string_view Answer = "HTTP/1.1 000 OK\r\n\r\n";
  asio::ip::tcp::acceptor Acceptor;
};

} // namespace

// Guards against an engine that is taken for lost, and whose group is taken
// apart, since its answers to probes are broken.
TEST_F(GroupCoordinatorTest, BrokenAnswersToProbesAreNoSilence) {
  BrokenListener Listener(this->Context);
  this->reportEngine(Listener.address());
  ASSERT_TRUE(this->runUntil(DispatchTargetMode::Open, seconds(3)));
  EXPECT_FALSE(this->runUntil(DispatchTargetMode::Stalled, seconds(8)));
  this->Coordinator.updateMetrics(this->Output);
  std::string Text = this->Output.render();
  EXPECT_EQ(Text.find("engines_lost_total"), std::string::npos) << Text;
  EXPECT_NE(Text.find("broken_answer_status_total"), std::string::npos) << Text;
}

// Guards against a group that is kept for the engine that it lost by silence,
// although the engine's address refuses connections by now.
TEST_F(GroupCoordinatorTest, SilentEngineThatRefusesLaterEndsItsGroup) {
  // The system accepts connections, and nothing answers them.
  asio::io_context ListenContext;
  auto Listener = std::make_unique<asio::ip::tcp::acceptor>(
      ListenContext,
      asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::string Address =
      "127.0.0.1:" + std::to_string(Listener->local_endpoint().port());
  this->reportEngine(Address);
  ASSERT_TRUE(this->runUntil(DispatchTargetMode::Open, seconds(3)));
  ASSERT_TRUE(this->runUntil(DispatchTargetMode::Stalled, seconds(8)));
  Listener.reset();
  EXPECT_TRUE(this->runUntil(std::nullopt, seconds(6)));
  this->Coordinator.updateMetrics(this->Output);
  std::string Text = this->Output.render();
  EXPECT_NE(Text.find("engines_lost_total{reason=\"refused\"} 1\n"),
            std::string::npos)
      << Text;
}
