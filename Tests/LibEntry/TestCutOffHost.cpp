//===- Tests/LibEntry/TestCutOffHost.cpp - A host that reaches no engine --===//
///
/// \file
/// Guards against callers of a host without contact to engines that get no
/// answer, though another entry host could serve them. Runs whole requests
/// against an engine and another entry host on loopback.
///
//===----------------------------------------------------------------------===//

#include "PlainProtocol.h"
#include "RecordingCaller.h"

#include <LibEntry/CallerSession.h>
#include <array>
#include <boost/asio.hpp>
#include <gtest/gtest.h>

using namespace carobhinge;
namespace asio = boost::asio;

static constexpr auto Millisecond = std::chrono::milliseconds(1);
static constexpr PromptPart SharedPart = 7;
static constexpr std::string_view WholeStream = "id: 1\ndata: x\n\n";

namespace {

/// Sends a whole stream after a pause.
class TestServer {
public:
  explicit TestServer(asio::io_context &Context)
      : Pause(Context.get_executor()),
        Server(
            Context.get_executor(), {.Listen = "127.0.0.1:0"},
            [this](HttpExchange &Exchange) { return this->serve(Exchange); }) {
    this->Server.start();
  }
  asio::awaitable<void> serve(HttpExchange &Exchange) {
    ++this->Requests;
    co_await this->Pause.wait(this->AnswerDelay);
    co_await Exchange.startStream({});
    co_await Exchange.writeChunk(std::string(WholeStream));
    co_await Exchange.finishStream();
  }

  Signal Pause;
  Duration AnswerDelay = Duration::zero();
  int Requests = 0;
  HttpServer Server;
};

/// Closes each connection once a request has come.
class ClosingEngine {
public:
  explicit ClosingEngine(asio::io_context &Context)
      : Acceptor(Context, {asio::ip::address_v4::loopback(), 0}) {
    asio::co_spawn(Context, this->acceptLoop(), asio::detached);
  }
  asio::awaitable<void> acceptLoop() {
    std::array<char, 4096> Request{};
    for (;;) {
      asio::ip::tcp::socket Socket =
          co_await this->Acceptor.async_accept(asio::use_awaitable);
      co_await Socket.async_read_some(asio::buffer(Request),
                                      asio::use_awaitable);
      ++this->Requests;
    }
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->Acceptor.local_endpoint().port());
  }

  asio::ip::tcp::acceptor Acceptor;
  int Requests = 0;
};

class CutOffHost : public ::testing::Test {
protected:
  void SetUp() override {
    Catalog Content{.Version = 1};
    Content.Routes.push_back({.Name = "stream",
                              .Host = "host",
                              .Prefix = "/a/",
                              .Retries = RetryRule::Stream,
                              .Timeout = std::chrono::seconds(5),
                              .Objective = 50 * Millisecond,
                              .PauseObjective = 50 * Millisecond,
                              .Services = {{.Service = "s"}},
                              .EndpointsPerRequest = 2,
                              .Public = true,
                              .Resumable = true});
    this->State.Routes = std::make_shared<RouteTable>(std::move(Content));
    std::string PeerAddress = this->Peer.Server.address();
    this->Settings.PeerPort = static_cast<std::uint16_t>(
        std::stoul(PeerAddress.substr(PeerAddress.find(':') + 1)));
    this->State.Peers.setPeers({{.Host = "127.0.0.1"}});
    this->Protocol.SharedParts = {SharedPart};
  }

  void list(std::string Address) {
    DispatchTarget Target{.Name = "t",
                          .Endpoint = "e",
                          .Address = std::move(Address),
                          .Service = "s"};
    this->State.RequestDispatcher.update({&Target, 1});
  }
  /// Three engines were lost in a row. The next request that can be handed on
  /// probes an engine, and one that can't does after \p UnsafeProbeIntervals.
  void cutOff(int UnsafeProbeIntervals) {
    EngineContactOptions Options{.UnsafeProbeIntervals = UnsafeProbeIntervals};
    EngineContact &Contact = this->State.Contacts["s"];
    Contact = EngineContact(Options);
    for (const char *Lost : {"e1", "e2", "e3"})
      Contact.recordFailure(monotonicNow() - Options.ProbeInterval, Lost);
  }
  /// Engines were lost with the part of the prompt, as in a crash by it.
  void suspectPrompt() {
    this->State.Guard.setSuspects(
        {.Parts = {SharedPart}, .NotRetried = {SharedPart}});
  }
  void runRequest() {
    bool IsOver = false;
    asio::co_spawn(
        this->Context,
        [this]() -> asio::awaitable<void> {
          CallerSession Session(this->Shared, this->Caller);
          co_await Session.run();
        },
        [&IsOver](const std::exception_ptr &) { IsOver = true; });
    TimePoint End = monotonicNow() + std::chrono::seconds(8);
    while (!IsOver && monotonicNow() < End)
      this->Context.run_one_for(10 * Millisecond);
    ASSERT_TRUE(IsOver);
  }
  void expectWholeAnswer() {
    EXPECT_EQ(this->Caller.Status, 0U);
    EXPECT_EQ(this->Caller.Body, WholeStream);
    EXPECT_TRUE(this->Caller.IsFinished);
  }

  asio::io_context Context{1};
  ClosingEngine LostEngine{Context};
  TestServer SlowEngine{Context};
  TestServer Peer{Context};
  HostSettings Settings;
  EntryState State{Settings};
  PlainProtocol Protocol;
  HttpClient Client{Context.get_executor(), {.SingleThread = true}};
  Metrics ProcessMetrics;
  SharedByteBudget Budget{std::size_t(16) * 1024 * 1024};
  LimitLog Limits{ProcessMetrics};
  SessionContext Shared{.Executor = Context.get_executor(),
                        .State = State,
                        .Protocol = Protocol,
                        .Client = Client,
                        .ProcessMetrics = ProcessMetrics,
                        .Budget = Budget,
                        .Limits = Limits,
                        .StandbyCallbacks = {},
                        .ActiveSessions = {}};
  RecordingCaller Caller;
};

} // namespace

TEST_F(CutOffHost, ProbesWithARequestThatItHandsOnAfterwards) {
  this->list(this->LostEngine.address());
  this->cutOff(/*UnsafeProbeIntervals=*/1000);
  this->runRequest();
  EXPECT_EQ(this->LostEngine.Requests, 1);
  EXPECT_EQ(this->Peer.Requests, 1);
  this->expectWholeAnswer();
}

// Guards against a request that is lost in a probe, since its prompt must not
// run again after engines were lost with a part of it.
TEST_F(CutOffHost, DoesNotProbeWithASuspectPrompt) {
  this->list(this->LostEngine.address());
  this->cutOff(/*UnsafeProbeIntervals=*/1000);
  this->suspectPrompt();
  this->runRequest();
  EXPECT_EQ(this->LostEngine.Requests, 0);
  EXPECT_EQ(this->Peer.Requests, 1);
  this->expectWholeAnswer();
}

// Guards against an answer that is given up in a probe, though its request
// can't be handed on.
TEST_F(CutOffHost, AwaitsTheAnswerToAProbeWithASuspectPrompt) {
  this->list(this->SlowEngine.Server.address());
  this->SlowEngine.AnswerDelay = std::chrono::seconds(1);
  this->cutOff(/*UnsafeProbeIntervals=*/1);
  this->suspectPrompt();
  this->runRequest();
  EXPECT_EQ(this->SlowEngine.Requests, 1);
  EXPECT_EQ(this->Peer.Requests, 0);
  this->expectWholeAnswer();
}
