//===- Tests/LibStandIn/TestLinkStandIn.cpp - Links that are held ---------===//

#include <LibStandIn/LinkStandIn.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <gtest/gtest.h>
#include <thread>

using namespace carobhinge;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// A link to a server socket of the test.
class HeldLink : public testing::Test {
protected:
  static constexpr auto ListenAddress = "127.0.44.1:8301";

  void SetUp() override {
    this->Link.start();
    this->Thread = std::jthread([this] { this->Context.run(); });
  }
  void TearDown() override {
    this->Context.stop();
    this->Thread.join();
  }
  void hold(bool IsHeld) {
    std::promise<void> Done;
    asio::post(this->Context, [&] {
      this->Link.setHeld(IsHeld);
      Done.set_value();
    });
    Done.get_future().wait();
  }
  tcp::socket connect() {
    tcp::socket Client(this->Sockets);
    Client.connect({asio::ip::make_address("127.0.44.1"), 8301});
    return Client;
  }
  static std::string readText(tcp::socket &From, std::size_t Length) {
    std::string Text(Length, ' ');
    asio::read(From, asio::buffer(Text));
    return Text;
  }
  /// Whether something, or the end, comes within a moment.
  static bool hasMore(tcp::socket &From) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    From.non_blocking(true);
    char Byte = 0;
    boost::system::error_code Error;
    From.read_some(asio::buffer(&Byte, 1), Error);
    From.non_blocking(false);
    return Error != asio::error::would_block;
  }

  asio::io_context Sockets;
  tcp::acceptor Server{Sockets, {asio::ip::make_address("127.0.44.1"), 0}};
  asio::io_context Context{1};
  asio::executor_work_guard<asio::io_context::executor_type> Guard{
      Context.get_executor()};
  LinkStandIn Link{
      Context.get_executor(),
      {.Listen = ListenAddress,
       .TargetAddress =
           "127.0.44.1:" + std::to_string(Server.local_endpoint().port()),
       .Control = ""}};
  std::jthread Thread;
};

} // namespace

// Guards against a simulated silence that loses bytes, or that closes.
TEST_F(HeldLink, PassesEverythingOnAfterwards) {
  tcp::socket Client = this->connect();
  tcp::socket Served = this->Server.accept();
  asio::write(Client, asio::buffer("before", 6));
  EXPECT_EQ(readText(Served, 6), "before");
  this->hold(true);
  asio::write(Client, asio::buffer("request", 7));
  asio::write(Served, asio::buffer("answer", 6));
  EXPECT_FALSE(hasMore(Client));
  EXPECT_FALSE(hasMore(Served));
  this->hold(false);
  EXPECT_EQ(readText(Served, 7), "request");
  EXPECT_EQ(readText(Client, 6), "answer");
}

// Guards against a simulated silence that the end of a connection breaks.
TEST_F(HeldLink, PassesTheEndOnAfterwards) {
  tcp::socket Client = this->connect();
  tcp::socket Served = this->Server.accept();
  this->hold(true);
  asio::write(Served, asio::buffer("last", 4));
  Served.close();
  EXPECT_FALSE(hasMore(Client));
  this->hold(false);
  EXPECT_EQ(readText(Client, 4), "last");
  EXPECT_TRUE(hasMore(Client));
}

// Guards against a simulated silence that answers or refuses new connections.
TEST_F(HeldLink, ConnectsAfterwards) {
  this->hold(true);
  tcp::socket Client = this->connect();
  asio::write(Client, asio::buffer("request", 7));
  EXPECT_FALSE(hasMore(Client));
  this->Server.non_blocking(true);
  boost::system::error_code Error;
  tcp::socket Early = this->Server.accept(Error);
  EXPECT_EQ(Error, asio::error::would_block);
  this->Server.non_blocking(false);
  this->hold(false);
  tcp::socket Served = this->Server.accept();
  EXPECT_EQ(readText(Served, 7), "request");
}
