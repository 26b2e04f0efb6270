//===- Tests/LibHTTP/TestIdleEnd.cpp - Requests at the end of a wait ------===//
///
/// \file
/// Guards against requests that end in silence because they arrive just when
/// the wait for them ends, by the idle timeout or by the stop. The server's
/// threads are halted across that moment, so that both are due at once.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/Address.h>
#include <LibHTTP/HttpServer.h>

#include <boost/asio.hpp>
#include <gtest/gtest.h>
#include <latch>
#include <list>
#include <optional>
#include <thread>

using namespace carobhinge;
namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

/// More than one wait of the event loop reports at once.
constexpr int CallerCount = 400;
/// Longer than a slow machine takes for any test.
constexpr auto LongTimeout = std::chrono::seconds(60);
constexpr std::string_view KeptRequest = "GET / HTTP/1.1\r\n\r\n";
constexpr std::string_view LastRequest =
    "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";

asio::awaitable<void> handleRequest(HttpExchange &Exchange) {
  HttpResponse Response{.Body = "handled."};
  co_await Exchange.respond(std::move(Response));
}

int countAnswers(std::string_view Bytes) {
  int Count = 0;
  for (std::size_t At = Bytes.find("handled."); At != std::string_view::npos;
       At = Bytes.find("handled.", At + 1))
    ++Count;
  return Count;
}

/// Runs a server on its own threads. The test's thread is its callers.
class IdleEnd : public testing::TestWithParam<int> {
protected:
  void start(Duration IdleTimeout) {
    HttpServerOptions Options{.Listen = "127.0.0.1:0",
                              .IdleTimeout = IdleTimeout};
    this->Server.emplace(this->Context.get_executor(), Options, handleRequest);
    this->Server->start();
    for (int I = 0; I < GetParam(); ++I)
      this->Threads.emplace_back([this] { this->Context.run(); });
  }
  ~IdleEnd() override {
    this->release();
    if (this->Server)
      this->Server->stop();
    this->Work.reset();
  }

  /// Opens connections whose first request has been answered.
  void openKept() {
    for (int I = 0; I < CallerCount; ++I) {
      tcp::socket &Socket = this->Sockets.emplace_back(this->CallerContext);
      Socket.connect(parseAddress(this->Server->address()));
      asio::write(Socket, asio::buffer(KeptRequest));
      std::string Answer;
      asio::read_until(Socket, asio::dynamic_buffer(Answer), "handled.");
    }
  }

  /// Returns when no thread of the server handles anything, until release().
  void halt() {
    this->Released.emplace(1);
    std::latch Halted(GetParam());
    for (int I = 0; I < GetParam(); ++I)
      asio::post(this->Context, [this, &Halted] {
        Halted.count_down();
        this->Released->wait();
      });
    Halted.wait();
  }
  void release() {
    if (this->Released && !this->Released->try_wait())
      this->Released->count_down();
  }

  /// Forgets connections that the server closed before it was halted.
  void forgetClosed() {
    this->Sockets.remove_if([](tcp::socket &Socket) {
      char Byte = 0;
      boost::system::error_code Error;
      Socket.non_blocking(true);
      Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Error);
      Socket.non_blocking(false);
      return Error != asio::error::would_block;
    });
    ASSERT_FALSE(this->Sockets.empty());
  }

  void sendAll(std::string_view Bytes) {
    boost::system::error_code Ignored;
    for (tcp::socket &Each : this->Sockets)
      asio::write(Each, asio::buffer(Bytes), Ignored);
  }

  /// Returns how many connections ended with fewer answers than \p Expected.
  int countLost(int Expected) {
    int Lost = 0;
    for (tcp::socket &Each : this->Sockets) {
      std::string Bytes;
      boost::system::error_code Ignored;
      asio::read(Each, asio::dynamic_buffer(Bytes), Ignored);
      Lost += countAnswers(Bytes) < Expected ? 1 : 0;
    }
    return Lost;
  }

  asio::io_context Context;
  asio::executor_work_guard<asio::io_context::executor_type> Work{
      this->Context.get_executor()};
  std::optional<HttpServer> Server;
  std::optional<std::latch> Released;
  asio::io_context CallerContext;
  std::list<tcp::socket> Sockets;
  /// Joined before what they use is gone.
  std::list<std::jthread> Threads;
};

} // namespace

// Guards against a connection that is closed as idle although a request has
// arrived, or has even been read.
TEST_P(IdleEnd, RequestsThatArriveBeforeItAreAnswered) {
  constexpr auto IdleTimeout = 500ms;
  this->start(IdleTimeout);
  this->openKept();
  this->halt();
  this->forgetClosed();
  std::this_thread::sleep_for(IdleTimeout);
  // The event loop learns of the timeout before it learns of most requests.
  this->sendAll(LastRequest);
  this->release();
  EXPECT_EQ(this->countLost(1), 0) << "of " << this->Sockets.size();
}

// Guards against the same for requests sent at once, the last of them in
// pieces.
TEST_P(IdleEnd, RequestsThatHaveBegunBeforeItAreAnswered) {
  constexpr auto IdleTimeout = 500ms;
  this->start(IdleTimeout);
  this->openKept();
  this->halt();
  this->forgetClosed();
  this->sendAll(KeptRequest);
  this->sendAll(LastRequest.substr(0, 4));
  std::this_thread::sleep_for(IdleTimeout);
  this->release();
  this->sendAll(LastRequest.substr(4));
  EXPECT_EQ(this->countLost(2), 0) << "of " << this->Sockets.size();
}

// Guards against a stop that drops requests between their read and its
// handling: on connections that have not had one yet, and so have a moment to
// begin.
TEST_P(IdleEnd, RequestsThatArriveAfterTheStopAreAnswered) {
  constexpr auto FirstByteTime = 200ms;
  this->start(LongTimeout);
  for (int I = 0; I < CallerCount; ++I)
    this->Sockets.emplace_back(this->CallerContext)
        .connect(parseAddress(this->Server->address()));
  this->Server->stop();
  std::this_thread::sleep_for(FirstByteTime / 2);
  this->halt();
  this->forgetClosed();
  this->sendAll(LastRequest);
  std::this_thread::sleep_for(FirstByteTime);
  this->release();
  EXPECT_EQ(this->countLost(1), 0) << "of " << this->Sockets.size();
}

// Guards against a raised timeout that doesn't hold for callers who wait: they
// reuse a connection for as long as the limits now allow.
TEST_P(IdleEnd, RaisedTimeoutHoldsForWaitingConnections) {
  constexpr auto IdleTimeout = 500ms;
  this->start(IdleTimeout);
  this->openKept();
  this->halt();
  this->forgetClosed();
  HttpServerOptions Defaults;
  this->Server->setLimits({.HeaderBytes = Defaults.HeaderBytes,
                           .BodyBytes = Defaults.BodyBytes,
                           .HeadTimeout = Defaults.HeadTimeout,
                           .TransferTimeout = Defaults.TransferTimeout,
                           .UntakenTimeout = Defaults.UntakenTimeout,
                           .IdleTimeout = LongTimeout});
  this->release();
  std::this_thread::sleep_for(2 * IdleTimeout);
  this->sendAll(LastRequest);
  EXPECT_EQ(this->countLost(1), 0) << "of " << this->Sockets.size();
}

INSTANTIATE_TEST_SUITE_P(Threads, IdleEnd, testing::Values(1, 4));
