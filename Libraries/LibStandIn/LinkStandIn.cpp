//===- LibStandIn/LinkStandIn.cpp - A faulty network link for tests -------===//
///
/// \file
/// The accept loop, two pumps per connection, and the control request.
///
//===----------------------------------------------------------------------===//

#include <LibStandIn/LinkStandIn.h>

#include <LibCore/JsonReader.h>
#include <LibHTTP/Address.h>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace carobhinge {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

namespace {

/// One passed-on connection.
struct Pipe {
  explicit Pipe(const asio::any_io_executor &Executor)
      : Near(Executor), Far(Executor) {}
  void close() {
    boost::system::error_code Ignored;
    this->Near.close(Ignored);
    this->Far.close(Ignored);
  }
  tcp::socket Near;
  tcp::socket Far;
  /// Swallows every byte from now on.
  bool Stalled = false;
};

} // namespace

class LinkStandIn::Implementation {
public:
  Implementation(const asio::any_io_executor &Executor,
                 const LinkStandInOptions &Options)
      : Executor(Executor), To(parseAddress(Options.To)),
        Acceptor(Executor, parseAddress(Options.Listen), true),
        Control(Executor, {.Listen = Options.Control},
                [this](HttpExchange &Exchange) -> asio::awaitable<void> {
                  return this->control(Exchange);
                }) {}

  asio::awaitable<void> acceptLoop();

  asio::any_io_executor Executor;
  const tcp::endpoint To;
  tcp::acceptor Acceptor;
  HttpServer Control;

private:
  asio::awaitable<void> control(HttpExchange &Exchange);
  asio::awaitable<void> open(std::shared_ptr<Pipe> Opened);
  asio::awaitable<void> pump(std::shared_ptr<Pipe> Between, tcp::socket &From,
                             tcp::socket &To);

  bool Cut = false;
  Duration Delay = Duration::zero();
  std::list<std::weak_ptr<Pipe>> Pipes;
};

asio::awaitable<void> LinkStandIn::Implementation::acceptLoop() {
  for (;;) {
    auto Opened = std::make_shared<Pipe>(this->Executor);
    auto [Error] = co_await this->Acceptor.async_accept(Opened->Near, UseTuple);
    if (Error == asio::error::operation_aborted)
      co_return;
    if (Error || this->Cut)
      continue;
    this->Pipes.remove_if([](const auto &Weak) { return Weak.expired(); });
    this->Pipes.push_back(Opened);
    asio::co_spawn(this->Executor, this->open(Opened), asio::detached);
  }
}

asio::awaitable<void>
LinkStandIn::Implementation::open(std::shared_ptr<Pipe> Opened) {
  auto [Error] = co_await Opened->Far.async_connect(this->To, UseTuple);
  if (Error || this->Cut) {
    Opened->close();
    co_return;
  }
  asio::co_spawn(this->Executor, this->pump(Opened, Opened->Near, Opened->Far),
                 asio::detached);
  asio::co_spawn(this->Executor, this->pump(Opened, Opened->Far, Opened->Near),
                 asio::detached);
}

asio::awaitable<void>
LinkStandIn::Implementation::pump(std::shared_ptr<Pipe> Between,
                                  tcp::socket &From, tcp::socket &To) {
  std::array<char, 16 * 1024> Buffer;
  asio::steady_timer Timer(this->Executor);
  for (;;) {
    auto [ReadError, Count] =
        co_await From.async_read_some(asio::buffer(Buffer), UseTuple);
    if (ReadError)
      break;
    if (this->Delay > Duration::zero()) {
      Timer.expires_after(this->Delay);
      co_await Timer.async_wait(UseTuple);
    }
    if (Between->Stalled)
      continue;
    auto [WriteError, Written] = co_await asio::async_write(
        To, asio::buffer(Buffer.data(), Count), UseTuple);
    if (WriteError)
      break;
  }
  // A stalled connection hides also that its other end has closed.
  if (!Between->Stalled)
    Between->close();
}

asio::awaitable<void>
LinkStandIn::Implementation::control(HttpExchange &Exchange) {
  static constexpr std::array<std::string_view, 3> Modes = {"pass", "cut",
                                                            "stall"};
  Findings Faults;
  auto Value = parseJson(Exchange.request().Body, Faults);
  std::string Mode;
  std::int64_t DelayMs = 0;
  if (Value) {
    JsonReader Reader(*Value, "", Faults);
    Mode = Reader.optionalChoice("mode", Modes);
    DelayMs =
        Reader.optionalInteger("delay_ms", 0, {.Least = 0, .Most = 60000});
    Reader.finish();
  }
  HttpResponse Response{.Body = "{}"};
  if (!Faults.empty()) {
    Response.Status = 400;
    Response.Body = Faults.report();
    co_await Exchange.respond(std::move(Response));
    co_return;
  }
  this->Cut = Mode == "cut";
  this->Delay = std::chrono::milliseconds(DelayMs);
  for (const auto &Weak : this->Pipes) {
    auto Each = Weak.lock();
    if (Each && this->Cut)
      Each->close();
    if (Each && Mode == "stall")
      Each->Stalled = true;
  }
  co_await Exchange.respond(std::move(Response));
}

LinkStandIn::LinkStandIn(const asio::any_io_executor &Executor,
                         const LinkStandInOptions &Options)
    : Impl(std::make_unique<Implementation>(Executor, Options)) {}
LinkStandIn::~LinkStandIn() = default;

void LinkStandIn::start() {
  this->Impl->Control.start();
  asio::co_spawn(this->Impl->Executor, this->Impl->acceptLoop(),
                 asio::detached);
}

} // namespace carobhinge
