//===- Tests/LibHTTP/TestHttp.cpp - Tests of the HTTP server and client ---===//
///
/// \file
/// Guards against truncated messages taken as complete, and against a server
/// that blocks or fails on malformed input. Runs server and client against each
/// other on loopback, and the server against malformed bytes. No check depends
/// on elapsed time.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/Address.h>
#include <LibHTTP/HttpClient.h>
#include <LibHTTP/HttpServer.h>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

using namespace carobhinge;
namespace asio = boost::asio;

namespace {

asio::awaitable<void> handleRequest(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  if (Request.path() == "/echo") {
    HttpResponse Response{.Body = Request.Body};
    co_await Exchange.respond(std::move(Response));
    co_return;
  }
  if (Request.path() == "/later") {
    asio::steady_timer Timer(co_await asio::this_coro::executor,
                             std::chrono::milliseconds(1));
    co_await Timer.async_wait(asio::use_awaitable);
    HttpResponse Response{.Body = Request.Body};
    co_return co_await Exchange.respond(std::move(Response));
  }
  if (Request.path() == "/throws")
    throw std::runtime_error("handler failed");
  HttpResponseHead Head{.Status = 200};
  co_await Exchange.startStream(Head);
  std::string First = "one ";
  std::string Second = "two";
  co_await Exchange.writeChunk(First);
  co_await Exchange.writeChunk(Second);
  if (Request.path() == "/whole")
    co_await Exchange.finishStream();
}

class Http : public ::testing::Test {
protected:
  Http()
      : Server(this->Context.get_executor(),
               {.Listen = "127.0.0.1:0", .HeaderBytes = 2048, .BodyBytes = 100},
               handleRequest) {
    this->Server.start();
  }

  HttpFetchResult fetch(HttpRequest Request) {
    HttpClient Client(this->Context.get_executor());
    std::string Address = this->Server.address();
    auto Future = asio::co_spawn(
        this->Context,
        Client.fetch(Address, std::move(Request), HttpCallOptions(), 4096),
        asio::use_future);
    this->runUntil([&Future] {
      return Future.wait_for(std::chrono::seconds(0)) ==
             std::future_status::ready;
    });
    return Future.get();
  }

  /// Sends raw bytes and returns everything received until the server closes
  /// the connection.
  std::string exchangeRaw(std::string_view Bytes) {
    asio::ip::tcp::socket Socket(this->Context);
    Socket.connect(parseAddress(this->Server.address()));
    asio::write(Socket, asio::buffer(Bytes));
    std::string Response;
    bool Closed = false;
    asio::async_read(Socket, asio::dynamic_buffer(Response),
                     [&Closed](auto, auto) { Closed = true; });
    this->runUntil([&Closed] { return Closed; });
    return Response;
  }

  template <class Predicate> void runUntil(Predicate Done) {
    while (!Done())
      this->Context.run_one();
  }

  asio::io_context Context;
  HttpServer Server;
};

} // namespace

TEST_F(Http, CompleteResponsesEndAsComplete) {
  HttpFetchResult Response =
      this->fetch({.Method = "POST", .Target = "/echo", .Body = "abc"});
  EXPECT_EQ(Response.Outcome, HttpCallOutcome::Complete);
  EXPECT_EQ(Response.Body, "abc");
  HttpFetchResult Streamed = this->fetch({.Method = "GET", .Target = "/whole"});
  EXPECT_EQ(Streamed.Outcome, HttpCallOutcome::Complete);
  EXPECT_EQ(Streamed.Body, "one two");
}

TEST_F(Http, StreamWithoutLastChunkIsIncomplete) {
  HttpFetchResult Truncated = this->fetch({.Method = "GET", .Target = "/cut"});
  EXPECT_EQ(Truncated.Outcome, HttpCallOutcome::Incomplete);
  EXPECT_EQ(Truncated.Body, "one two");
}

// Guards against the answer "not-run" for work that the handler may have begun
// before it threw.
TEST_F(Http, FailedHandlerGetsStatus500WithUnknownOutcome) {
  HttpFetchResult Response =
      this->fetch({.Method = "GET", .Target = "/throws"});
  EXPECT_EQ(Response.Head.Status, 500U);
  EXPECT_NE(Response.Body.find(R"("outcome":"unknown")"), std::string::npos)
      << Response.Body;
}

// Guards against a name that another host gave itself, and that ends the
// request which is to be forwarded to it by an exception.
TEST_F(Http, UnreadableAddressIsNotWritten) {
  HttpClient Client(this->Context.get_executor());
  for (std::string Address : {"x:1", "127.0.0.1", ""}) {
    auto Future =
        asio::co_spawn(this->Context,
                       Client.fetch(Address, {.Method = "GET", .Target = "/"},
                                    HttpCallOptions(), 4096),
                       asio::use_future);
    this->runUntil([&Future] {
      return Future.wait_for(std::chrono::seconds(0)) ==
             std::future_status::ready;
    });
    HttpFetchResult Result = Future.get();
    EXPECT_EQ(Result.Outcome, HttpCallOutcome::NotWritten) << Address;
    EXPECT_FALSE(Result.ConnectionRefused) << Address;
  }
}

TEST_F(Http, RefusedConnectionIsNotWritten) {
  asio::ip::tcp::acceptor Closed(this->Context, parseAddress("127.0.0.1:0"));
  std::string Address = formatAddress(Closed.local_endpoint());
  Closed.close();
  HttpClient Client(this->Context.get_executor());
  auto Future =
      asio::co_spawn(this->Context,
                     Client.fetch(Address, {.Method = "GET", .Target = "/"},
                                  HttpCallOptions(), 4096),
                     asio::use_future);
  this->runUntil([&Future] {
    return Future.wait_for(std::chrono::seconds(0)) ==
           std::future_status::ready;
  });
  HttpFetchResult Result = Future.get();
  EXPECT_EQ(Result.Outcome, HttpCallOutcome::NotWritten);
  EXPECT_TRUE(Result.ConnectionRefused);
}

// Guards against a connection that was made and then reset, as an endpoint over
// its limit does, and which is taken for one that nothing listens for.
TEST_F(Http, ResetConnectionIsNotRefused) {
  asio::ip::tcp::acceptor Open(this->Context, parseAddress("127.0.0.1:0"));
  std::string Address = formatAddress(Open.local_endpoint());
  Open.async_accept([](boost::system::error_code, asio::ip::tcp::socket Peer) {
    Peer.set_option(asio::socket_base::linger(true, 0));
  });
  HttpClient Client(this->Context.get_executor());
  auto Future =
      asio::co_spawn(this->Context,
                     Client.fetch(Address, {.Method = "GET", .Target = "/"},
                                  HttpCallOptions(), 4096),
                     asio::use_future);
  this->runUntil([&Future] {
    return Future.wait_for(std::chrono::seconds(0)) ==
           std::future_status::ready;
  });
  HttpFetchResult Result = Future.get();
  EXPECT_NE(Result.Outcome, HttpCallOutcome::Complete);
  EXPECT_FALSE(Result.ConnectionRefused);
}

TEST_F(Http, FragmentedRequestsDoNotBlockTheServer) {
  // The server must not mistake the read readiness left by a late piece for a
  // close, nor block on it: everything here runs on one thread.
  std::string_view Pieces[] = {"GET /who", "le HTTP/1.1\r\nConnection: cl",
                               "ose\r\n\r\n"};
  for (int Round = 0; Round < 300; ++Round) {
    asio::ip::tcp::socket Socket(this->Context);
    Socket.connect(parseAddress(this->Server.address()));
    std::string Response;
    bool Closed = false;
    asio::async_read(Socket, asio::dynamic_buffer(Response),
                     [&Closed](auto, auto) { Closed = true; });
    for (std::string_view Piece : Pieces) {
      asio::write(Socket, asio::buffer(Piece));
      if (Round % 2 == 0)
        this->Context.poll_one();
    }
    this->runUntil([&Closed] { return Closed; });
    ASSERT_TRUE(Response.ends_with("0\r\n\r\n")) << Response;
  }
}

TEST_F(Http, MalformedOrTooLargeRequestsGetA4xxStatus) {
  std::string Long(5000, 'x');
  struct {
    std::string Bytes;
    std::string Expected;
  } Cases[] = {
      {"NONSENSE\r\n\r\n", "HTTP/1.1 400"},
      {"GET / HTTP/1.1\r\nA: " + Long + "\r\n\r\n", "HTTP/1.1 431"},
      {"POST /echo HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", "HTTP/1.1 413"},
      {"POST /echo HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 400"},
      {"POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
       "HTTP/1.1 400"},
      {"POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
       "Content-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
       "HTTP/1.1 400"},
      {"POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" + Long,
       "HTTP/1.1 413"},
  };
  for (const auto &Case : Cases)
    EXPECT_TRUE(this->exchangeRaw(Case.Bytes).starts_with(Case.Expected))
        << Case.Bytes.substr(0, 80);
}

// Guards against a request whose length its readers take differently: what one
// of them takes for its body, another one runs as a request that nobody sent.
TEST_F(Http, RequestsOfAmbiguousLengthAreRefusedAndEndTheirConnection) {
  const std::string Next = "GET /echo HTTP/1.1\r\nConnection: close\r\n\r\n";
  const std::string Chunks = "3\r\nabc\r\n0\r\n\r\n";
  struct {
    std::string Head;
    std::string Expected;
  } Cases[] = {
      {"HTTP/1.1\r\nTransfer-Encoding: gzip", "HTTP/1.1 400"},
      {"HTTP/1.1\r\nTransfer-Encoding: identity", "HTTP/1.1 400"},
      {"HTTP/1.1\r\nTransfer-Encoding: made-up", "HTTP/1.1 400"},
      {"HTTP/1.1\r\nTransfer-Encoding: chunked, gzip", "HTTP/1.1 400"},
      {"HTTP/1.1\r\nTransfer-Encoding: chunked, chunked", "HTTP/1.1 400"},
      {"HTTP/1.1\r\nTransfer-Encoding:", "HTTP/1.1 400"},
      {"HTTP/1.1\r\nTransfer-Encoding: gzip\r\nContent-Length: 3",
       "HTTP/1.1 400"},
      {"HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked",
       "HTTP/1.1 400"},
      {"HTTP/1.1\r\nTransfer-Encoding: gzip, chunked", "HTTP/1.1 501"},
      {"HTTP/1.1\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
       "HTTP/1.1 501"},
  };
  for (const auto &Case : Cases)
    for (const std::string &Body : {std::string(), Chunks}) {
      std::string Head = "POST /echo ";
      Head.append(Case.Head).append("\r\n\r\n");
      std::string Sent = Head;
      std::string Response = this->exchangeRaw(Sent.append(Body).append(Next));
      EXPECT_TRUE(Response.starts_with(Case.Expected)) << Head << Response;
      EXPECT_EQ(Response.find("HTTP/1.1", 1), std::string::npos)
          << Head << Response;
    }
}

// Guards against a process that ends because requests on one connection arrive
// before the one before them is answered: each is monitored by itself.
TEST_F(Http, RequestsSentAtOnceAreAnsweredInOrder) {
  static constexpr int Requests = 9;
  for (std::string Path : {"/echo", "/later"})
    for (int Round = 0; Round < 50; ++Round) {
      std::string Sent;
      for (int I = 1; I <= Requests; ++I)
        Sent += "POST " + Path + " HTTP/1.1\r\nContent-Length: 1\r\n" +
                (I == Requests ? "Connection: close\r\n" : "") + "\r\n" +
                std::to_string(I);
      std::string Response = this->exchangeRaw(Sent);
      std::string Bodies;
      for (std::size_t At = 0;
           (At = Response.find("\r\n\r\n", At)) != std::string::npos; At += 4)
        Bodies += Response.at(At + 4);
      EXPECT_EQ(Bodies, "123456789") << Path;
    }
}

// Guards against a process that ends because a request on a kept connection
// breaks off, or can't be read, after another one was answered.
TEST_F(Http, UnreadableRequestOnAKeptConnectionEndsThatConnectionOnly) {
  const std::string Answered = "POST /echo HTTP/1.1\r\nContent-Length: 1\r\n"
                               "\r\na";
  const std::string Whole = "GET /echo HTTP/1.1\r\nX: y\r\n\r\n";
  std::vector<std::string> Unreadable = {
      "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
      "POST /echo HTTP/1.1\r\nContent-Length: 1000\r\n\r\na",
      "GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n",
      "no request\r\n\r\n"};
  for (std::size_t Length = 1; Length < Whole.size(); ++Length)
    Unreadable.push_back(Whole.substr(0, Length));
  for (const std::string &Bytes : Unreadable) {
    asio::ip::tcp::socket Socket(this->Context);
    Socket.connect(parseAddress(this->Server.address()));
    asio::write(Socket, asio::buffer(Answered));
    std::string Response;
    bool IsAnswered = false;
    asio::async_read_until(Socket, asio::dynamic_buffer(Response), "\r\n\r\na",
                           [&](auto, auto) { IsAnswered = true; });
    this->runUntil([&] { return IsAnswered; });
    asio::write(Socket, asio::buffer(Bytes));
    bool Closed = false;
    asio::async_read(Socket, asio::dynamic_buffer(Response),
                     [&Closed](auto, auto) { Closed = true; });
    Socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    this->runUntil([&Closed] { return Closed; });
  }
  HttpFetchResult Response =
      this->fetch({.Method = "POST", .Target = "/echo", .Body = "abc"});
  EXPECT_EQ(Response.Body, "abc");
}

TEST_F(Http, StoppingClosesIdleConnectionsAndCompletesActiveRequests) {
  auto Open = [this](std::string_view Bytes, std::string &Response,
                     bool &Closed) {
    auto Socket = std::make_unique<asio::ip::tcp::socket>(this->Context);
    Socket->connect(parseAddress(this->Server.address()));
    asio::write(*Socket, asio::buffer(Bytes));
    asio::async_read(*Socket, asio::dynamic_buffer(Response),
                     [&Closed](auto, auto) { Closed = true; });
    return Socket;
  };
  std::string IdleResponse;
  std::string BusyResponse;
  bool IdleClosed = false;
  bool BusyClosed = false;
  auto Idle = Open("", IdleResponse, IdleClosed);
  auto Busy = Open("GET /whole HTTP/1.1\r\n", BusyResponse, BusyClosed);
  for (int I = 0; I < 20; ++I)
    this->Context.poll();
  this->Server.stop();
  this->runUntil([&] { return IdleClosed; });
  EXPECT_EQ(IdleResponse, "");
  EXPECT_FALSE(BusyClosed);
  // The server reads the rest of a started request and completes its response.
  asio::write(*Busy, asio::buffer(std::string_view("\r\n")));
  this->runUntil([&] { return BusyClosed; });
  EXPECT_TRUE(BusyResponse.ends_with("0\r\n\r\n")) << BusyResponse;
  EXPECT_NE(BusyResponse.find("Connection: close"), std::string::npos);
}

/// The client of a stream that began before the stop was told that it may send
/// its next request on the same connection.
// Guards against requests that have arrived when the server stops and get a
// closed connection: on one that waits to be accepted, on one that has just
// been accepted, and on a kept one.
TEST_F(Http, RequestsThatHaveArrivedAtTheStopAreAnswered) {
  const std::string Request =
      "POST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\n";
  asio::ip::tcp::socket Kept(this->Context);
  Kept.connect(parseAddress(this->Server.address()));
  asio::write(Kept, asio::buffer(Request + "k"));
  std::string KeptResponse;
  bool IsAnswered = false;
  asio::async_read_until(Kept, asio::dynamic_buffer(KeptResponse), "\r\n\r\nk",
                         [&](auto, auto) { IsAnswered = true; });
  this->runUntil([&] { return IsAnswered; });
  asio::ip::tcp::socket Accepted(this->Context);
  Accepted.connect(parseAddress(this->Server.address()));
  this->runUntil([&] { return this->Server.openConnections() == 2; });
  // The server waits for the next request on the kept connection.
  while (this->Context.poll() > 0)
    ;
  asio::ip::tcp::socket Waiting(this->Context);
  Waiting.connect(parseAddress(this->Server.address()));
  asio::write(Kept, asio::buffer(Request + "1"));
  asio::write(Accepted, asio::buffer(Request + "2"));
  asio::write(Waiting, asio::buffer(Request + "3"));
  this->Server.stop();
  int Closed = 0;
  std::string Responses[3];
  asio::ip::tcp::socket *Sockets[] = {&Kept, &Accepted, &Waiting};
  for (int I = 0; I < 3; ++I)
    asio::async_read(*Sockets[I], asio::dynamic_buffer(Responses[I]),
                     [&](auto, auto) { ++Closed; });
  this->runUntil([&] { return Closed == 3; });
  for (int I = 0; I < 3; ++I)
    EXPECT_TRUE(Responses[I].ends_with("\r\n\r\n" + std::to_string(I + 1)))
        << I << ": " << Responses[I];
}

TEST(HttpServer, TakesNoRequestAfterAStreamThatOutlastsTheStop) {
  asio::io_context Context;
  asio::steady_timer StreamEnd(Context, std::chrono::hours(1));
  int Handled = 0;
  HttpServer Server(Context.get_executor(), {.Listen = "127.0.0.1:0"},
                    [&](HttpExchange &Exchange) -> asio::awaitable<void> {
                      ++Handled;
                      HttpResponseHead Head{.Status = 200};
                      co_await Exchange.startStream(Head);
                      auto Token = asio::as_tuple(asio::use_awaitable);
                      co_await StreamEnd.async_wait(Token);
                      co_await Exchange.finishStream();
                    });
  Server.start();
  asio::ip::tcp::socket Socket(Context);
  Socket.connect(parseAddress(Server.address()));
  asio::write(Socket, asio::buffer(std::string_view("GET / HTTP/1.1\r\n\r\n")));
  std::string Response;
  bool Closed = false;
  std::array<char, 512> Bytes{};
  auto ReadSome = [&](auto &Self) -> void {
    Socket.async_read_some(asio::buffer(Bytes), [&](auto Error, auto Count) {
      Response.append(Bytes.data(), Count);
      Closed = static_cast<bool>(Error);
      if (!Closed)
        Self(Self);
    });
  };
  ReadSome(ReadSome);
  while (Response.empty())
    Context.run_one();
  EXPECT_EQ(Response.find("Connection: close"), std::string::npos);
  Server.stop();
  EXPECT_EQ(Server.openConnections(), 1U);
  StreamEnd.expires_after(std::chrono::seconds(0));
  while (!Response.ends_with("0\r\n\r\n"))
    Context.run_one();
  boost::system::error_code Ignored;
  asio::write(Socket, asio::buffer(std::string_view("GET / HTTP/1.1\r\n\r\n")),
              Ignored);
  while (!Closed)
    Context.run_one();
  EXPECT_EQ(Handled, 1);
  while (Server.openConnections() > 0)
    Context.run_one();
}

/// A stop that looks only at running handlers would end while this request is
/// still being read.
TEST(HttpServer, ConnectionStaysOpenUntilAHalfReadRequestIsAnswered) {
  asio::io_context Context;
  HttpServer Server(Context.get_executor(), {.Listen = "127.0.0.1:0"},
                    handleRequest);
  Server.start();
  asio::ip::tcp::socket Socket(Context);
  Socket.connect(parseAddress(Server.address()));
  asio::write(Socket,
              asio::buffer(std::string_view("GET /whole HTTP/1.1\r\n")));
  for (int I = 0; I < 20; ++I)
    Context.poll();
  Server.stop();
  EXPECT_EQ(Server.activeExchanges(), 0U);
  EXPECT_EQ(Server.openConnections(), 1U);
  asio::write(Socket, asio::buffer(std::string_view("\r\n")));
  std::string Response;
  bool Closed = false;
  asio::async_read(Socket, asio::dynamic_buffer(Response),
                   [&Closed](auto, auto) { Closed = true; });
  while (!Closed || Server.openConnections() > 0)
    Context.run_one();
  EXPECT_TRUE(Response.ends_with("0\r\n\r\n")) << Response;
}

namespace {

/// An endpoint that sends given bytes as the response on one connection, then
/// closes or resets it.
class RawEndpoint {
public:
  RawEndpoint(asio::io_context &Context, const std::string &Bytes, bool Reset)
      : Acceptor(Context, parseAddress("127.0.0.1:0")), Socket(Context) {
    this->Acceptor.async_accept(this->Socket, [this, Bytes, Reset](auto) {
      this->Socket.async_read_some(
          asio::buffer(this->Request), [this, Bytes, Reset](auto, auto) {
            asio::write(this->Socket, asio::buffer(Bytes));
            if (Reset)
              this->Socket.set_option(asio::socket_base::linger(true, 0));
            this->Socket.close();
          });
    });
  }
  std::string address() {
    return formatAddress(this->Acceptor.local_endpoint());
  }

private:
  asio::ip::tcp::acceptor Acceptor;
  asio::ip::tcp::socket Socket;
  std::array<char, 4096> Request{};
};

/// An endpoint that keeps a connection and sends the next of given responses
/// for each request, then closes.
class KeptEndpoint {
public:
  KeptEndpoint(asio::io_context &Context, std::vector<std::string> Responses)
      : Acceptor(Context, parseAddress("127.0.0.1:0")), Socket(Context),
        Responses(std::move(Responses)) {
    this->Acceptor.async_accept(this->Socket, [this](auto) {
      ++this->Connections;
      this->respond(0);
    });
  }
  std::string address() {
    return formatAddress(this->Acceptor.local_endpoint());
  }
  [[nodiscard]] int connections() const { return this->Connections; }

private:
  void respond(std::size_t Index) {
    this->Socket.async_read_some(
        asio::buffer(this->Request), [this, Index](auto Error, auto) {
          if (Error || Index == this->Responses.size())
            return this->Socket.close();
          asio::write(this->Socket, asio::buffer(this->Responses[Index]));
          if (Index + 1 == this->Responses.size())
            return this->Socket.close();
          this->respond(Index + 1);
        });
  }

  asio::ip::tcp::acceptor Acceptor;
  asio::ip::tcp::socket Socket;
  std::vector<std::string> Responses;
  std::array<char, 4096> Request{};
  int Connections = 0;
};

HttpFetchResult fetchRawResponse(const std::string &Bytes, bool Reset) {
  asio::io_context Context;
  RawEndpoint Endpoint(Context, Bytes, Reset);
  HttpClient Client(Context.get_executor(), {.SingleThread = true});
  HttpCallOptions Options;
  Options.CompleteOnClose = true;
  Options.FindOwner = [](const HttpResponseHead &Head,
                         const ResponseContext &ContextOfResponse) {
    return findResponseOwner(Head.Headers.value("Id"), "mine",
                             ContextOfResponse);
  };
  auto Future = asio::co_spawn(Context,
                               Client.fetch(Endpoint.address(),
                                            {.Method = "GET", .Target = "/"},
                                            Options, 4096),
                               asio::use_future);
  Context.run();
  return Future.get();
}

} // namespace

TEST(HttpClient, DiscardsResponsesToOtherCalls) {
  HttpFetchResult Response = fetchRawResponse(
      "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
      "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nright",
      false);
  EXPECT_EQ(Response.Outcome, HttpCallOutcome::Complete);
  EXPECT_EQ(Response.Body, "right");
}

TEST(HttpClient, ResponseWithoutAnIdOnAFreshConnectionIsToItsOnlyCall) {
  HttpFetchResult Response = fetchRawResponse(
      "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno", false);
  EXPECT_EQ(Response.Outcome, HttpCallOutcome::Complete);
}

// Guards against an earlier refusal that an endpoint writes once more where the
// answer to the next call on a kept connection is due: it would be read as the
// refusal of a call that the endpoint runs.
TEST(HttpClient, EarlierResponseWrittenAgainIsNoResponseToTheNextCall) {
  for (std::string_view Id : {"Id: mine\r\n", ""}) {
    asio::io_context Context;
    std::string Refusal =
        "HTTP/1.1 503 Busy\r\n" + std::string(Id) + "Content-Length: 0\r\n\r\n";
    KeptEndpoint Endpoint(Context, {Refusal, Refusal});
    HttpClient Client(Context.get_executor(), {.SingleThread = true});
    auto Call = [&](std::string_view CallId) {
      HttpCallOptions Options;
      Options.FindOwner = [CallId](const HttpResponseHead &Head,
                                   const ResponseContext &ContextOfResponse) {
        return findResponseOwner(Head.Headers.value("Id"), CallId,
                                 ContextOfResponse);
      };
      auto Future = asio::co_spawn(
          Context,
          Client.fetch(Endpoint.address(), {.Method = "GET"}, Options, 4096),
          asio::use_future);
      Context.restart();
      while (Future.wait_for(std::chrono::seconds(0)) !=
             std::future_status::ready)
        Context.run_one();
      return Future.get();
    };
    HttpFetchResult First = Call("mine");
    // The first one without an id is the only call of its connection.
    ASSERT_EQ(First.Outcome, HttpCallOutcome::Complete);
    EXPECT_EQ(Call("next").Outcome, HttpCallOutcome::Incomplete) << Id;
    EXPECT_EQ(Endpoint.connections(), 1);
  }
}

// Guards against an answer that ends within its head and is taken for a whole
// one with an empty body: on a fresh and on a kept connection, after interim
// answers, closed or reset.
TEST(HttpClient, ResponseThatEndsWithinItsHeadIsIncomplete) {
  const std::string Head = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Type: "
                           "text/event-stream\r\nLast: field\r\n\r\n";
  for (std::string Interim : {"", "HTTP/1.1 100 Continue\r\n\r\n",
                              "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"})
    for (std::size_t Length = 0; Length < Head.size(); ++Length) {
      std::string Bytes = Interim + Head.substr(0, Length);
      for (bool Reset : {false, true}) {
        HttpFetchResult Response = fetchRawResponse(Bytes, Reset);
        EXPECT_EQ(Response.Outcome, HttpCallOutcome::Incomplete) << Bytes;
      }
      asio::io_context Context;
      KeptEndpoint Endpoint(
          Context,
          {"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 0\r\n\r\n", Bytes});
      HttpClient Client(Context.get_executor(), {.SingleThread = true});
      for (HttpCallOutcome Expected :
           {HttpCallOutcome::Complete, HttpCallOutcome::Incomplete}) {
        HttpCallOptions Options;
        Options.CompleteOnClose = true;
        auto Future = asio::co_spawn(
            Context,
            Client.fetch(Endpoint.address(), {.Method = "GET", .Target = "/"},
                         Options, 4096),
            asio::use_future);
        Context.restart();
        while (Future.wait_for(std::chrono::seconds(0)) !=
               std::future_status::ready)
          Context.run_one();
        EXPECT_EQ(Future.get().Outcome, Expected) << Bytes;
      }
      EXPECT_EQ(Endpoint.connections(), 1);
    }
  // With all of its head, it ends where its connection does.
  EXPECT_EQ(fetchRawResponse(Head, false).Outcome, HttpCallOutcome::Complete);
}

TEST(ResponseOwner, FollowsFromTheIdOrTheConnection) {
  auto Find = [](std::string_view Id, bool IsReused, bool IsEarly) {
    return findResponseOwner(
        Id, "mine", {.IsReusedConnection = IsReused, .IsEarly = IsEarly});
  };
  for (bool IsReused : {false, true})
    for (bool IsEarly : {false, true}) {
      EXPECT_EQ(Find("mine", IsReused, IsEarly), ResponseOwner::ThisCall);
      EXPECT_EQ(Find("other", IsReused, IsEarly), ResponseOwner::AnotherCall);
      EXPECT_EQ(Find("", IsReused, IsEarly), IsReused || IsEarly
                                                 ? ResponseOwner::Unknown
                                                 : ResponseOwner::ThisCall);
    }
}

TEST(HttpClient, ResponseWithoutLengthIsCompleteOnlyAfterOrderlyClose) {
  std::string Bytes = "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nall of it";
  HttpFetchResult Closed = fetchRawResponse(Bytes, false);
  EXPECT_EQ(Closed.Outcome, HttpCallOutcome::Complete);
  EXPECT_EQ(Closed.Body, "all of it");
  EXPECT_EQ(fetchRawResponse(Bytes, true).Outcome, HttpCallOutcome::Incomplete);
}

namespace {

/// An endpoint that sends \p Beginning and then the same bytes without end,
/// until its caller closes. It counts what it has sent.
class EndlessEndpoint {
public:
  EndlessEndpoint(asio::io_context &Context, std::string Beginning)
      : Acceptor(Context, parseAddress("127.0.0.1:0")), Socket(Context),
        Beginning(std::move(Beginning)) {
    this->Acceptor.async_accept(this->Socket, [this](auto) {
      this->Socket.async_read_some(
          asio::buffer(this->Request), [this](auto, auto) {
            asio::write(this->Socket, asio::buffer(this->Beginning));
            this->writeMore();
          });
    });
  }
  std::string address() {
    return formatAddress(this->Acceptor.local_endpoint());
  }
  [[nodiscard]] std::size_t bytesSent() const { return this->BytesSent; }

private:
  void writeMore() {
    asio::async_write(this->Socket, asio::buffer(this->Filler),
                      [this](auto Error, std::size_t Count) {
                        this->BytesSent += Count;
                        if (!Error)
                          this->writeMore();
                      });
  }

  asio::ip::tcp::acceptor Acceptor;
  asio::ip::tcp::socket Socket;
  std::string Beginning;
  std::string Filler = std::string(16 * 1024, 'x');
  std::array<char, 4096> Request{};
  std::size_t BytesSent = 0;
};

} // namespace

// Guards against an endpoint that fills the memory with a head or a body that
// never ends.
TEST(HttpClient, GivesUpOnHeadsAndBodiesWithoutEnd) {
  // What the kernel's socket buffers may hold beyond what is read.
  constexpr std::size_t BufferedBytes = 8 * 1024 * 1024;
  for (std::string Beginning :
       {"HTTP/1.1 200 OK\r\nField: ", "HTTP/1.1 200 OK\r\n\r\n"}) {
    asio::io_context Context;
    EndlessEndpoint Endpoint(Context, Beginning);
    HttpClient Client(Context.get_executor(), {.SingleThread = true});
    HttpCallOptions Options;
    Options.CompleteOnClose = true;
    auto Future = asio::co_spawn(Context,
                                 Client.fetch(Endpoint.address(),
                                              {.Method = "GET", .Target = "/"},
                                              Options, 64 * 1024),
                                 asio::use_future);
    Context.run_for(std::chrono::seconds(10));
    ASSERT_EQ(Future.wait_for(std::chrono::seconds(0)),
              std::future_status::ready)
        << Beginning;
    EXPECT_EQ(Future.get().Outcome, HttpCallOutcome::Incomplete);
    EXPECT_LT(Endpoint.bytesSent(), BufferedBytes);
  }
}
