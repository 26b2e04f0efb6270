//===- Tests/LibEntry/TestStandby.cpp - Two attempts at one stream --------===//
///
/// \file
/// Guards against callers that get no whole answer because an attempt was given
/// up before its repeat had brought anything, against events that come twice or
/// not at all where two attempts run, and against attempts that nobody ends.
/// Runs whole requests against two engines on loopback.
///
//===----------------------------------------------------------------------===//

#include "PlainProtocol.h"
#include "RecordingCaller.h"

#include <LibEntry/CallerSession.h>
#include <array>
#include <boost/asio.hpp>
#include <gtest/gtest.h>
#include <random>

using namespace carobhinge;
namespace asio = boost::asio;

static constexpr std::uint64_t EventCount = 6;
static constexpr auto Millisecond = std::chrono::milliseconds(1);

/// Events \p First to \p Last of a stream whose ids rise by \p Step; 0 for one
/// without ids.
static std::string makeEvents(std::uint64_t First, std::uint64_t Last,
                              std::uint64_t Step = 1) {
  std::string Events;
  for (std::uint64_t Number = First; Number <= Last; ++Number)
    Events += (Step > 0 ? "id: " + std::to_string(Number * Step) + "\n" : "") +
              "data: x\n\n";
  return Events;
}

namespace {

/// Sends events as the test tells it to.
class TestEngine {
public:
  explicit TestEngine(asio::io_context &Context)
      : Wakeup(Context.get_executor()),
        Server(
            Context.get_executor(), {.Listen = "127.0.0.1:0"},
            [this](HttpExchange &Exchange) { return this->serve(Exchange); }) {
    this->Server.start();
  }

  asio::awaitable<void> serve(HttpExchange &Exchange) {
    // A write to a caller that is gone throws.
    struct ActiveGuard {
      bool &IsActive;
      ~ActiveGuard() { this->IsActive = false; }
    } Guard{this->IsActive};
    this->IsActive = true;
    ++this->Requests;
    Exchange.onCallerDisconnected([this] { this->wake(); });
    std::uint64_t Next =
        std::stoull(std::string(Exchange.request().Headers.value("Resume"))) /
            std::max<std::uint64_t>(this->IdStep, 1) +
        1;
    HttpResponseHead Head;
    co_await Exchange.startStream(Head);
    while (!Exchange.callerDisconnected() && !this->MustBreakOff) {
      this->Wakeup.reset();
      std::uint64_t Last = std::min(this->Allowed, EventCount);
      if (Last >= Next) {
        std::string Events = makeEvents(Next, Last, this->IdStep);
        Next = Last + 1;
        co_await Exchange.writeChunk(Events);
      }
      if (Next > EventCount) {
        co_await Exchange.finishStream();
        break;
      }
      co_await this->Wakeup.wait(std::chrono::seconds(10));
    }
  }
  void allow(std::uint64_t Last) {
    this->Allowed = std::max(this->Allowed, Last);
    this->wake();
  }
  void breakOff() {
    this->MustBreakOff = true;
    this->wake();
  }
  void wake() { this->Wakeup.fire(); }

  Signal Wakeup;
  std::uint64_t IdStep = 1;
  std::uint64_t Allowed = 0;
  int Requests = 0;
  bool MustBreakOff = false;
  bool IsActive = false;
  HttpServer Server;
};

/// Answers one request with bytes that are no answer.
class BrokenEngine {
public:
  explicit BrokenEngine(asio::io_context &Context)
      : Acceptor(Context, {asio::ip::address_v4::loopback(), 0}),
        Socket(Context) {
    this->Acceptor.async_accept(this->Socket, [this](auto) {
      this->Socket.async_read_some(
          asio::buffer(this->Request), [this](auto, auto) {
            asio::write(this->Socket, asio::buffer(this->Answer));
            this->HasAnswered = true;
          });
    });
  }
  std::string address() {
    return "127.0.0.1:" +
           std::to_string(this->Acceptor.local_endpoint().port());
  }

  bool HasAnswered = false;

private:
  asio::ip::tcp::acceptor Acceptor;
  asio::ip::tcp::socket Socket;
  std::array<char, 4096> Request{};
  const std::string Answer = "HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n"
                             "\r\n15\r\nid: 3\ndata: broken\n\n\r\n";
};

class Standby : public ::testing::Test {
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
    this->list(0);
  }

  void list(std::size_t Engine) {
    this->list(Engine, this->Engines[Engine].Server.address());
  }
  void list(std::size_t Engine, std::string Address) {
    DispatchTarget Target{.Name = "t" + std::to_string(Engine),
                          .Endpoint = "e" + std::to_string(Engine),
                          .Address = std::move(Address),
                          .Service = "s"};
    this->State.RequestDispatcher.update({&Target, 1});
  }

  /// Starts the request at the first engine, which sends two events.
  void startFirst() {
    asio::co_spawn(
        this->Context,
        [this]() -> asio::awaitable<void> {
          CallerSession Session(this->Shared, this->Caller);
          co_await Session.run();
        },
        [this](const std::exception_ptr &) { this->IsOver = true; });
    this->Engines[0].allow(2);
    this->runUntil([this] {
      return this->Caller.Body == makeEvents(1, 2, this->Engines[0].IdStep);
    });
  }
  /// Starts a standby at the second engine, too.
  void startBoth() {
    this->startFirst();
    this->list(1);
    ASSERT_EQ(this->Shared.StandbyCallbacks.size(), 1U);
    this->Shared.StandbyCallbacks.begin()->second(/*IsStalled=*/true);
    this->runUntil([this] { return this->Engines[1].IsActive; });
  }

  template <class Predicate> void runUntil(Predicate Done) {
    TimePoint End = monotonicNow() + std::chrono::seconds(8);
    while (!Done() && monotonicNow() < End)
      this->Context.run_one_for(10 * Millisecond);
    EXPECT_TRUE(Done());
  }
  void runFor(Duration Time) { this->Context.run_for(Time); }

  /// Nothing is in progress, here or at the engines.
  void expectNothingLeft() {
    this->runUntil([this] {
      return this->IsOver && !this->Engines[0].IsActive &&
             !this->Engines[1].IsActive;
    });
    this->runFor(20 * Millisecond);
    for (const Dispatcher::TargetLoad &Load :
         this->State.RequestDispatcher.targetLoads(monotonicNow()))
      EXPECT_EQ(Load.InFlight, 0) << Load.Name;
    EXPECT_TRUE(this->Shared.StandbyCallbacks.empty());
  }
  void expectWholeAnswer() {
    this->expectNothingLeft();
    EXPECT_EQ(this->Caller.Body,
              makeEvents(1, EventCount, this->Engines[0].IdStep));
    EXPECT_TRUE(this->Caller.IsFinished);
    EXPECT_EQ(this->Caller.Heads, 1);
  }

  static HostSettings makeSettings() {
    HostSettings Result;
    Result.Bounds.RetrySlack = 100;
    return Result;
  }

  asio::io_context Context{1};
  std::array<TestEngine, 2> Engines{TestEngine(Context), TestEngine(Context)};
  HostSettings Settings = makeSettings();
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
  bool IsOver = false;
};

} // namespace

TEST_F(Standby, GoesOnAfterTheLastEventOfASilentStream) {
  this->startBoth();
  EXPECT_TRUE(this->Engines[0].IsActive);
  this->Engines[1].allow(EventCount);
  this->expectWholeAnswer();
}

/// Guards against a stream that is broken off since the ids of its events don't
/// count by one, where one engine goes on after another and beside it.
TEST_F(Standby, GoesOnAfterIdsOfAnyStep) {
  for (TestEngine &Engine : this->Engines)
    Engine.IdStep = 7;
  this->startBoth();
  this->Engines[1].allow(EventCount);
  this->expectWholeAnswer();
}

/// Guards against events that come twice, and against work in vain, since a
/// stream without ids can only be begun anew at the next engine.
TEST_F(Standby, StreamWithoutIdsIsNotContinued) {
  for (TestEngine &Engine : this->Engines)
    Engine.IdStep = 0;
  this->startFirst();
  this->list(1);
  this->Engines[1].allow(EventCount);
  ASSERT_EQ(this->Shared.StandbyCallbacks.size(), 1U);
  this->Shared.StandbyCallbacks.begin()->second(/*IsStalled=*/true);
  this->runFor(20 * Millisecond);
  this->Engines[0].breakOff();
  this->expectNothingLeft();
  EXPECT_EQ(this->Engines[1].Requests, 0);
  EXPECT_EQ(this->Caller.Body, makeEvents(1, 2, 0));
  EXPECT_FALSE(this->Caller.IsFinished);
}

TEST_F(Standby, IsCancelledOnceTheFirstAttemptSpeaks) {
  this->startBoth();
  this->Engines[0].allow(3);
  this->runUntil([this] { return !this->Engines[1].IsActive; });
  this->Engines[0].allow(EventCount);
  this->expectWholeAnswer();
}

TEST_F(Standby, GoesOnAloneIfTheFirstAttemptBreaksOff) {
  this->startBoth();
  this->Engines[0].breakOff();
  this->runFor(50 * Millisecond);
  EXPECT_FALSE(this->IsOver);
  this->Engines[1].allow(EventCount);
  this->expectWholeAnswer();
}

TEST_F(Standby, LeavesTheRequestToTheFirstAttemptIfItBreaksOff) {
  this->startBoth();
  this->Engines[1].breakOff();
  this->runFor(50 * Millisecond);
  EXPECT_FALSE(this->IsOver);
  this->Engines[0].allow(EventCount);
  this->expectWholeAnswer();
}

TEST_F(Standby, RequestEndsWhenBothAttemptsHaveEnded) {
  this->startBoth();
  this->Engines[0].breakOff();
  this->Engines[1].breakOff();
  this->expectNothingLeft();
  EXPECT_FALSE(this->Caller.IsFinished);
}

TEST_F(Standby, EndsWithItsCaller) {
  this->startBoth();
  this->Caller.leave();
  this->expectNothingLeft();
  EXPECT_EQ(this->Caller.Body, makeEvents(1, 2));
}

/// Guards against prompts that are blamed for the crash of a sound engine
/// because their caller left while the standby was the only attempt.
TEST_F(Standby, LastAttemptThatThisHostEndsIsNoCrash) {
  this->startBoth();
  this->Engines[0].breakOff();
  this->runFor(50 * Millisecond);
  this->Caller.leave();
  this->expectNothingLeft();
  for (const CrashReport &Crash : this->State.Crashes.takeCrashes(
           monotonicNow() + std::chrono::seconds(2)))
    EXPECT_NE(Crash.Engine, "e1");
}

/// Guards against a broken answer that is joined to the stream beside it, and
/// against prompts that are blamed for a crash of its engine.
TEST_F(Standby, BrokenAnswerLeavesTheRequestToTheFirstAttempt) {
  BrokenEngine Broken(this->Context);
  this->startFirst();
  this->list(1, Broken.address());
  ASSERT_EQ(this->Shared.StandbyCallbacks.size(), 1U);
  this->Shared.StandbyCallbacks.begin()->second(/*IsStalled=*/true);
  this->runUntil([&Broken] { return Broken.HasAnswered; });
  this->runFor(50 * Millisecond);
  EXPECT_FALSE(this->IsOver);
  EXPECT_EQ(this->Caller.Body, makeEvents(1, 2));
  EXPECT_TRUE(
      this->State.Crashes.takeCrashes(monotonicNow() + std::chrono::seconds(2))
          .empty());
  this->Engines[0].allow(EventCount);
  this->expectWholeAnswer();
  EXPECT_NE(
      this->ProcessMetrics.render().find("broken_answer_status_total 1\n"),
      std::string::npos);
}

/// Guards against streams that end because no other place is there at the
/// moment at which their engine ends.
TEST_F(Standby, StreamOfALostEngineWaitsForAPlace) {
  this->startFirst();
  this->Engines[0].breakOff();
  this->runFor(100 * Millisecond);
  EXPECT_FALSE(this->IsOver);
  this->Engines[1].allow(EventCount);
  this->list(1);
  this->expectWholeAnswer();
}

/// Whatever two engines do: the caller gets each event once and in order, and
/// the end of the stream after the last one only.
class StandbyProperty : public Standby,
                        public ::testing::WithParamInterface<unsigned> {};

TEST_P(StandbyProperty, PassesOnEachEventOnce) {
  std::mt19937 Random(GetParam());
  for (TestEngine &Engine : this->Engines)
    Engine.IdStep = GetParam() % 2 == 0 ? 1 : 7;
  this->startBoth();
  for (int Step = 0; Step < 12 && !this->IsOver; ++Step) {
    TestEngine &Engine = this->Engines[Random() % 2];
    switch (Random() % 8) {
    case 0:
      Engine.breakOff();
      break;
    case 1:
      this->runFor((Random() % 5) * Millisecond);
      break;
    case 2:
      if (Step > 6 && !this->Caller.IsGone)
        this->Caller.leave();
      break;
    default:
      Engine.allow(Engine.Allowed + Random() % 3);
    }
    this->Context.poll_one();
  }
  for (TestEngine &Engine : this->Engines)
    Engine.allow(EventCount);
  this->expectNothingLeft();
  std::string Whole = makeEvents(1, EventCount, this->Engines[0].IdStep);
  EXPECT_TRUE(Whole.starts_with(this->Caller.Body)) << this->Caller.Body;
  EXPECT_TRUE(!this->Caller.IsFinished || this->Caller.Body == Whole);
}

INSTANTIATE_TEST_SUITE_P(Seeds, StandbyProperty, ::testing::Range(1U, 61U));
