//===- Tests/LibHTTP/TestConnectionLimits.cpp - Limits and their answers --===//
///
/// \file
/// Guards against requests and calls that end at a limit without a true answer
/// or without the reason, and against bytes that count in the budget of the
/// process after they are gone. Callers and endpoints are raw sockets.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/Address.h>
#include <LibHTTP/HttpClient.h>
#include <LibHTTP/HttpServer.h>
#include <Processes/AllocatedBytes.h>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

using namespace carobhinge;
namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;
using std::chrono::seconds;

namespace {

constexpr auto WaitLimit = seconds(30);
constexpr std::size_t Kilobyte = 1024;

struct StartOptions {
  /// By default longer than a slow machine takes for any test.
  Duration TransferTimeout = 2 * WaitLimit;
  bool TakesWholeBudget = false;
};

class ConnectionLimits : public testing::Test {
protected:
  /// A connection that sends bytes and collects what comes until its end.
  struct Caller {
    Caller(asio::io_context &Context, const std::string &Address)
        : Socket(Context) {
      this->Socket.connect(parseAddress(Address));
      asio::async_read(this->Socket, asio::dynamic_buffer(this->Answer),
                       [this](auto Error, auto) {
                         this->IsEnded = true;
                         this->IsReset = Error != asio::error::eof;
                       });
    }
    void send(std::string Bytes) {
      this->Sent = std::move(Bytes);
      asio::async_write(this->Socket, asio::buffer(this->Sent),
                        [](auto, auto) {});
    }
    tcp::socket Socket;
    std::string Sent;
    std::string Answer;
    bool IsEnded = false;
    bool IsReset = false;
  };

  void start(std::size_t BodyBytes, const StartOptions &Chosen = {}) {
    HttpServerOptions Options{.Listen = "127.0.0.1:0",
                              .BodyBytes = BodyBytes,
                              .TransferTimeout = Chosen.TransferTimeout,
                              .Budget = &this->Budget,
                              .TakesWholeBudget = Chosen.TakesWholeBudget};
    Options.OnRefused = [this](const HttpRefusal &Refusal) {
      this->Refusals.push_back(Refusal);
    };
    this->Server.emplace(
        this->Context.get_executor(), Options,
        [this](HttpExchange &Exchange) -> asio::awaitable<void> {
          this->HeldWhileHandled = this->Budget.heldBytes();
          HttpResponse Response{.Body = "handled"};
          co_await Exchange.respond(std::move(Response));
        });
    this->Server->start();
  }
  std::unique_ptr<Caller> open() {
    return std::make_unique<Caller>(this->Context, this->Server->address());
  }
  template <class Predicate> bool runUntil(Predicate Done) {
    TimePoint End = monotonicNow() + WaitLimit;
    while (!Done() && monotonicNow() < End)
      this->Context.run_one_for(10ms);
    return Done();
  }
  static std::string post(std::size_t Length) {
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(Length) +
           "\r\nConnection: close\r\n\r\n";
  }

  /// Outlives the connections.
  SharedByteBudget Budget{100 * Kilobyte};
  asio::io_context Context;
  std::optional<HttpServer> Server;
  std::vector<HttpRefusal> Refusals;
  std::size_t HeldWhileHandled = 0;
};

/// Answers the first request by fixed bytes and keeps the connection.
class FixedEndpoint {
public:
  FixedEndpoint(asio::io_context &Context, std::string Answer)
      : Acceptor(Context, parseAddress("127.0.0.1:0")), Socket(Context),
        Answer(std::move(Answer)) {
    this->Acceptor.async_accept(this->Socket, [this](auto) {
      this->Socket.async_read_some(
          asio::buffer(this->Request), [this](auto, auto) {
            asio::async_write(this->Socket, asio::buffer(this->Answer),
                              [this](auto, auto) { this->awaitClose(); });
          });
    });
  }
  std::string address() {
    return formatAddress(this->Acceptor.local_endpoint());
  }
  /// Returns whether the other end has closed the connection.
  [[nodiscard]] bool isClosed() const { return this->IsClosed; }

private:
  void awaitClose() {
    this->Socket.async_read_some(
        asio::buffer(this->Request), [this](auto Error, auto) {
          this->IsClosed = this->IsClosed || Error == asio::error::eof;
        });
  }

  tcp::acceptor Acceptor;
  tcp::socket Socket;
  std::string Answer;
  bool IsClosed = false;
  std::array<char, 4096> Request{};
};

HttpFetchResult fetchBy(HttpClient &Client, FixedEndpoint &Endpoint,
                        asio::io_context &Context, HttpCallOptions Options) {
  auto Future = asio::co_spawn(Context,
                               Client.fetch(Endpoint.address(),
                                            {.Method = "GET", .Target = "/"},
                                            std::move(Options), 64 * Kilobyte),
                               asio::use_future);
  TimePoint End = monotonicNow() + WaitLimit;
  while (Future.wait_for(seconds(0)) != std::future_status::ready &&
         monotonicNow() < End)
    Context.run_one_for(10ms);
  if (Future.wait_for(seconds(0)) != std::future_status::ready)
    throw std::runtime_error("the call did not end");
  return Future.get();
}

HttpFetchResult fetchFrom(FixedEndpoint &Endpoint, asio::io_context &Context,
                          HttpCallOptions Options,
                          SharedByteBudget *Budget = nullptr) {
  HttpClient Client(Context.get_executor(),
                    {.SingleThread = true, .Budget = Budget});
  return fetchBy(Client, Endpoint, Context, std::move(Options));
}

} // namespace

// Guards against a slow request whose connection is closed without the answer
// that it did not run.
TEST_F(ConnectionLimits, LateRequestsAreAnswered) {
  this->start(100, {.TransferTimeout = 500ms});
  for (const std::string &Bytes : {std::string("GET / HT"), post(10) + "x"}) {
    auto Late = this->open();
    Late->send(Bytes);
    ASSERT_TRUE(this->runUntil([&] { return Late->IsEnded; }));
    EXPECT_TRUE(Late->Answer.starts_with("HTTP/1.1 408")) << Late->Answer;
  }
  ASSERT_EQ(this->Refusals.size(), 2U);
  EXPECT_EQ(this->Refusals[0].Reason, HttpRefusalReason::TransferTime);
  EXPECT_EQ(this->Refusals[0].CallerIp, "127.0.0.1");
}

// Guards against a head that drips for as long as a whole request may take, and
// against a slow body that is ended by the time for the head.
TEST_F(ConnectionLimits, HeadsHaveATimeOfTheirOwn) {
  constexpr auto HeadTimeout = seconds(1);
  constexpr auto DripLimit = seconds(20);
  HttpServerOptions Options{.Listen = "127.0.0.1:0",
                            .HeadTimeout = HeadTimeout,
                            .TransferTimeout = 4 * DripLimit};
  this->Server.emplace(this->Context.get_executor(), Options,
                       [](HttpExchange &Exchange) -> asio::awaitable<void> {
                         HttpResponse Response{.Body = "handled"};
                         co_await Exchange.respond(std::move(Response));
                       });
  this->Server->start();
  auto Dripping = this->open();
  auto Slow = this->open();
  Slow->send(post(2) + "x");
  TimePoint Begin = monotonicNow();
  auto After = [Begin](Duration Time) {
    return [End = Begin + Time] { return monotonicNow() >= End; };
  };
  std::string Head = "GET /" + std::string(DripLimit / 20ms, 'x');
  for (std::size_t I = 0;
       I < Head.size() && !Dripping->IsEnded && !After(DripLimit)(); ++I) {
    boost::system::error_code Ignored;
    asio::write(Dripping->Socket, asio::buffer(&Head[I], 1), Ignored);
    this->runUntil(
        [&, Next = After(20ms * I)] { return Dripping->IsEnded || Next(); });
  }
  EXPECT_TRUE(Dripping->Answer.starts_with("HTTP/1.1 408")) << Dripping->Answer;
  EXPECT_LT(monotonicNow() - Begin, DripLimit);
  EXPECT_GE(monotonicNow() - Begin, HeadTimeout);
  ASSERT_FALSE(Slow->IsEnded);
  Slow->send("x");
  ASSERT_TRUE(this->runUntil([&] { return Slow->IsEnded; }));
  EXPECT_TRUE(Slow->Answer.ends_with("handled")) << Slow->Answer;
}

// Guards against a refusal that is lost because the connection is reset while
// the caller still sends its body.
TEST_F(ConnectionLimits, RefusalsCanBeReadByCallersThatStillSend) {
  this->start(50 * Kilobyte);
  auto Large = this->open();
  Large->send(post(1500 * Kilobyte) + std::string(1500 * Kilobyte, 'x'));
  ASSERT_TRUE(this->runUntil([&] { return Large->IsEnded; }));
  EXPECT_TRUE(Large->Answer.starts_with("HTTP/1.1 413")) << Large->Answer;
  EXPECT_FALSE(Large->IsReset);
}

// Guards against a request without a place that waits for its body, and against
// small requests that are refused because others hold large ones open.
TEST_F(ConnectionLimits, RequestsWithoutAPlaceAreRefusedAtOnce) {
  this->start(1024 * Kilobyte);
  auto Holder = this->open();
  Holder->send(post(70 * Kilobyte) + std::string(60 * Kilobyte, 'x'));
  ASSERT_TRUE(
      this->runUntil([&] { return this->Budget.heldBytes() > 60 * Kilobyte; }));
  auto Large = this->open();
  Large->send(post(80 * Kilobyte));
  auto Small = this->open();
  Small->send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  ASSERT_TRUE(this->runUntil([&] { return Large->IsEnded && Small->IsEnded; }));
  EXPECT_FALSE(Holder->IsEnded);
  EXPECT_TRUE(Large->Answer.starts_with("HTTP/1.1 503")) << Large->Answer;
  EXPECT_NE(Large->Answer.find("Retry-After: 1\r\n"), std::string::npos);
  EXPECT_NE(Large->Answer.find(R"("outcome":"not-run")"), std::string::npos);
  EXPECT_TRUE(Small->Answer.ends_with("handled")) << Small->Answer;
  ASSERT_EQ(this->Refusals.size(), 1U);
  EXPECT_EQ(this->Refusals[0].Reason, HttpRefusalReason::ProcessBytes);
}

// Guards against a host that counts as not ready, and against reports that are
// lost, while callers fill the part of the budget for new work.
TEST_F(ConnectionLimits, RequestsOfObserversTakeTheWholeBudget) {
  this->start(Kilobyte, {.TakesWholeBudget = true});
  HeldBytes Answers(this->Budget, HeldWork::SingleAnswer, {});
  ASSERT_TRUE(Answers.resize(90 * Kilobyte));
  ASSERT_FALSE(this->Budget.mayAdmitRequest(0));
  auto Observer = this->open();
  Observer->send(post(500) + std::string(500, 'x'));
  ASSERT_TRUE(this->runUntil([&] { return Observer->IsEnded; }));
  EXPECT_TRUE(Observer->Answer.ends_with("handled")) << Observer->Answer;
  ASSERT_TRUE(Answers.resize(100 * Kilobyte));
  auto Late = this->open();
  Late->send(post(500) + std::string(500, 'x'));
  ASSERT_TRUE(this->runUntil([&] { return Late->IsEnded; }));
  EXPECT_TRUE(Late->Answer.starts_with("HTTP/1.1 503")) << Late->Answer;
}

// Guards against a request that is given up for others without an answer, and
// against bytes that still count when nothing is held any more.
TEST_F(ConnectionLimits, RequestsThatAreGivenUpAreAnswered) {
  this->start(1024 * Kilobyte);
  auto GivenUp = this->open();
  GivenUp->send(post(70 * Kilobyte) + std::string(60 * Kilobyte, 'x'));
  ASSERT_TRUE(
      this->runUntil([&] { return this->Budget.heldBytes() > 60 * Kilobyte; }));
  {
    HeldBytes Answer(this->Budget, HeldWork::SingleAnswer, {});
    EXPECT_TRUE(Answer.resize(60 * Kilobyte));
    ASSERT_TRUE(this->runUntil([&] { return GivenUp->IsEnded; }));
  }
  EXPECT_TRUE(GivenUp->Answer.starts_with("HTTP/1.1 503")) << GivenUp->Answer;
  auto Whole = this->open();
  Whole->send(post(50 * Kilobyte) + std::string(50 * Kilobyte, 'x'));
  ASSERT_TRUE(this->runUntil([&] { return Whole->IsEnded; }));
  EXPECT_TRUE(Whole->Answer.ends_with("handled")) << Whole->Answer;
  EXPECT_GE(this->HeldWhileHandled, 50 * Kilobyte);
  EXPECT_TRUE(this->runUntil([&] { return this->Budget.heldBytes() == 0; }));
}

// Guards against an answer that its caller doesn't take and that keeps its
// place while others are refused, and against one cut off while its caller
// reads on.
TEST_F(ConnectionLimits, AnswersThatAreNotTakenMakeRoom) {
  constexpr std::size_t BodyBytes = 32 * 1024 * Kilobyte;
  SharedByteBudget Answers(BodyBytes * 2);
  std::vector<std::string> Ends;
  HttpServerOptions Options{.Listen = "127.0.0.1:0",
                            .TransferTimeout = 2 * WaitLimit,
                            .UntakenTimeout = seconds(3),
                            .OnRefused = [this](const HttpRefusal &Refusal) {
                              this->Refusals.push_back(Refusal);
                            }};
  this->Server.emplace(
      this->Context.get_executor(), Options,
      [&](HttpExchange &Exchange) -> asio::awaitable<void> {
        std::string Target = Exchange.request().Target;
        HeldBytes Place(Answers, HeldWork::CompleteAnswer, {});
        EXPECT_TRUE(Place.resize(BodyBytes));
        HttpResponse Response{.Body = std::string(BodyBytes, 'x')};
        Exchange.setResponsePlace(Place);
        bool IsComplete = true;
        try {
          co_await Exchange.respond(std::move(Response));
        } catch (const boost::system::system_error &) {
          IsComplete = false;
        }
        Ends.push_back(Target + (IsComplete ? " complete" : " cut off"));
        if (!IsComplete)
          throw boost::system::system_error(asio::error::connection_reset);
      });
  this->Server->start();
  auto Open = [this](const std::string &Target) {
    tcp::socket Socket(this->Context);
    Socket.connect(parseAddress(this->Server->address()));
    asio::write(Socket, asio::buffer("GET " + Target + " HTTP/1.1\r\n\r\n"));
    return Socket;
  };
  tcp::socket Untaken = Open("/untaken");
  tcp::socket Slow = Open("/slow");
  ASSERT_TRUE(
      this->runUntil([&] { return Answers.heldBytes() == 2 * BodyBytes; }));
  EXPECT_FALSE(Answers.mayAdmitRequest(0));
  // Takes far longer than the time for an untaken answer.
  std::string Piece(BodyBytes / 32, ' ');
  asio::steady_timer Pause(this->Context);
  std::size_t Taken = 0;
  std::function<void()> Read = [&] {
    Pause.expires_after(300ms);
    Pause.async_wait([&](auto) {
      asio::async_read(Slow, asio::buffer(Piece),
                       [&](auto Error, std::size_t Count) {
                         Taken += Count;
                         if (!Error)
                           Read();
                       });
    });
  };
  Read();
  ASSERT_TRUE(this->runUntil([&] { return Answers.mayAdmitRequest(0); }));
  EXPECT_LT(Taken, BodyBytes);
  EXPECT_TRUE(this->Refusals.empty());
  HeldBytes Other(Answers, HeldWork::UnreadRequest, {});
  EXPECT_TRUE(Other.resize(BodyBytes / 2));
  ASSERT_TRUE(this->runUntil([&] { return Ends.size() == 2; }));
  EXPECT_EQ(Ends[0], "/untaken cut off");
  EXPECT_EQ(Ends[1], "/slow complete");
  ASSERT_EQ(this->Refusals.size(), 1U);
  EXPECT_EQ(this->Refusals[0].Reason, HttpRefusalReason::UntakenAnswer);
  EXPECT_EQ(this->Refusals[0].CallerIp, "127.0.0.1");
}

// Guards against limits that hold for a connection's next request although they
// were changed while it waited, and against new ones for a request that has
// begun.
TEST_F(ConnectionLimits, ChangesHoldForRequestsThatBeginLater) {
  constexpr std::size_t SmallHead = Kilobyte;
  constexpr std::size_t LargeHead = 20 * Kilobyte;
  this->start(100);
  auto ChangeLimits = [this](std::size_t HeaderBytes, std::size_t BodyBytes) {
    HttpServerOptions Defaults;
    this->Server->setLimits({.HeaderBytes = HeaderBytes,
                             .BodyBytes = BodyBytes,
                             .HeadTimeout = Defaults.HeadTimeout,
                             .TransferTimeout = 2 * WaitLimit,
                             .UntakenTimeout = Defaults.UntakenTimeout,
                             .IdleTimeout = Defaults.IdleTimeout});
  };
  auto Settle = [this] {
    while (this->Context.run_one_for(100ms) > 0)
      ;
  };
  std::string Field = "X: " + std::string(LargeHead - 2 * SmallHead, 'x');
  std::string Request = "POST / HTTP/1.1\r\nConnection: close\r\n" + Field +
                        "\r\nContent-Length: 200\r\n\r\n" +
                        std::string(200, 'x');
  auto Waiting = this->open();
  Settle();
  ChangeLimits(LargeHead, 200);
  Waiting->send(Request);
  ASSERT_TRUE(this->runUntil([&] { return Waiting->IsEnded; }));
  EXPECT_TRUE(Waiting->Answer.starts_with("HTTP/1.1 200")) << Waiting->Answer;
  auto Begun = this->open();
  Begun->send(Request.substr(0, Request.size() / 2));
  Settle();
  ChangeLimits(SmallHead, 100);
  Begun->send(Request.substr(Request.size() / 2));
  ASSERT_TRUE(this->runUntil([&] { return Begun->IsEnded; }));
  EXPECT_TRUE(Begun->Answer.starts_with("HTTP/1.1 200")) << Begun->Answer;
  auto Late = this->open();
  Late->send(Request);
  ASSERT_TRUE(this->runUntil([&] { return Late->IsEnded; }));
  EXPECT_TRUE(Late->Answer.starts_with("HTTP/1.1 431")) << Late->Answer;
}

// Guards against bodies that idle connections keep after their answers, where
// they count in no budget.
TEST_F(ConnectionLimits, AnsweredRequestsKeepNoBodies) {
  constexpr std::size_t BodyBytes = 60 * Kilobyte;
  constexpr std::size_t Callers = 64;
  this->start(BodyBytes);
  std::vector<std::unique_ptr<Caller>> Idle;
  std::size_t Before = allocatedBytes();
  for (std::size_t I = 0; I < Callers; ++I) {
    Idle.push_back(this->open());
    Caller &Each = *Idle.back();
    Each.send(
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(BodyBytes) +
        "\r\n\r\n" + std::string(BodyBytes, 'x'));
    ASSERT_TRUE(this->runUntil(
        [&] { return Each.Answer.find("handled") != std::string::npos; }));
    std::string().swap(Each.Sent);
  }
  EXPECT_TRUE(this->runUntil([&] { return this->Budget.heldBytes() == 0; }));
  EXPECT_LT(allocatedBytes(), Before + Callers * BodyBytes);
}

// Guards against a body collected by fetch() that does not count in the budget
// of the process.
TEST(CallLimits, BodiesCountInTheBudget) {
  asio::io_context Context;
  const std::string Answer =
      "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" +
      std::string(40000, 'x');
  SharedByteBudget Budget(30 * Kilobyte);
  FixedEndpoint TooLarge(Context, Answer);
  HttpFetchResult Result = fetchFrom(TooLarge, Context, {}, &Budget);
  EXPECT_EQ(Result.Outcome, HttpCallOutcome::Incomplete);
  EXPECT_EQ(Result.Limit, HttpCallLimit::ProcessBytes);
  EXPECT_EQ(Budget.heldBytes(), 0U);
  SharedByteBudget LargeBudget(50 * Kilobyte);
  FixedEndpoint Fitting(Context, Answer);
  Result = fetchFrom(Fitting, Context, {}, &LargeBudget);
  EXPECT_EQ(Result.Outcome, HttpCallOutcome::Complete);
  EXPECT_EQ(Result.Limit, HttpCallLimit::None);
  EXPECT_EQ(LargeBudget.heldBytes(), 0U);
}

// Guards against a call that is given up for others and goes on to wait.
TEST(CallLimits, CallsThatAreGivenUpEnd) {
  asio::io_context Context;
  SharedByteBudget Budget(30 * Kilobyte);
  FixedEndpoint Endpoint(Context,
                         "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" +
                             std::string(20 * Kilobyte, 'x'));
  HeldBytes Single(Budget, HeldWork::SingleAnswer, {});
  asio::steady_timer Timer(Context, 200ms);
  Timer.async_wait([&](auto) { EXPECT_TRUE(Single.resize(20 * Kilobyte)); });
  HttpFetchResult Result = fetchFrom(Endpoint, Context, {}, &Budget);
  EXPECT_EQ(Result.Outcome, HttpCallOutcome::Incomplete);
  EXPECT_EQ(Result.Limit, HttpCallLimit::ProcessBytes);
  EXPECT_EQ(Budget.heldBytes(), 20 * Kilobyte);
}

// Guards against connections to endpoints that have left, which a process kept
// for ever: each address had a limit, and all addresses had none.
TEST(CallLimits, IdleConnectionsEndWhenOthersAreCalled) {
  asio::io_context Context;
  const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  FixedEndpoint Left(Context, Answer);
  FixedEndpoint Other(Context, Answer);
  HttpClient Client(Context.get_executor(),
                    {.SingleThread = true, .MaxIdleTime = 50ms});
  ASSERT_EQ(fetchBy(Client, Left, Context, {}).Outcome,
            HttpCallOutcome::Complete);
  Context.run_for(100ms);
  ASSERT_EQ(fetchBy(Client, Other, Context, {}).Outcome,
            HttpCallOutcome::Complete);
  TimePoint End = monotonicNow() + WaitLimit;
  while (!Left.isClosed() && monotonicNow() < End)
    Context.run_one_for(10ms);
  EXPECT_TRUE(Left.isClosed());
}

// Guards against logs that name the wrong limit.
TEST(CallLimits, AreNamed) {
  const struct {
    std::string Answer;
    HttpCallOptions Options;
    HttpCallLimit Expected;
  } Cases[] = {
      {.Answer = "HTTP/1.1 200 OK\r\nA: " + std::string(40 * Kilobyte, 'x'),
       .Options = {},
       .Expected = HttpCallLimit::HeldBytes},
      {.Answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=" +
                 std::string(40 * Kilobyte, 'x'),
       .Options = {},
       .Expected = HttpCallLimit::HeldBytes},
      {.Answer = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" +
                 std::string(100000, 'x'),
       .Options = {},
       .Expected = HttpCallLimit::BodyBytes},
      {.Answer = "HTTP/1.1 102 Processing\r\n\r\n",
       .Options = {.HeadTimeout = seconds(1)},
       .Expected = HttpCallLimit::HeadTime},
      {.Answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nx",
       .Options = {.ChunkTimeout = seconds(1)},
       .Expected = HttpCallLimit::ChunkTime},
      {.Answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nx",
       .Options = {.CallTimeout = seconds(1)},
       .Expected = HttpCallLimit::CallTime},
      {.Answer = "no answer in this protocol\r\n\r\n",
       .Options = {},
       .Expected = HttpCallLimit::None},
  };
  for (const auto &Case : Cases) {
    asio::io_context Context;
    FixedEndpoint Endpoint(Context, Case.Answer);
    HttpFetchResult Result = fetchFrom(Endpoint, Context, Case.Options);
    EXPECT_EQ(Result.Outcome, HttpCallOutcome::Incomplete);
    EXPECT_EQ(httpCallLimitName(Result.Limit), httpCallLimitName(Case.Expected))
        << Case.Answer.substr(0, 60);
  }
}
