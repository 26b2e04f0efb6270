//===- LibStandIn/LinkStandIn.cpp - A faulty network link for tests -------===//
///
/// \file
/// The accept loop, two pumps per connection, and the control request.
///
//===----------------------------------------------------------------------===//

#include <LibStandIn/LinkStandIn.h>

#include <LibCore/JsonReader.h>
#include <LibHTTP/Address.h>
#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <optional>

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
  /// Swallows every byte from now on, of one direction or of both.
  bool Stalled = false;
  bool DeafFar = false;
};

} // namespace

class LinkStandIn::Implementation {
public:
  Implementation(const asio::any_io_executor &Executor,
                 const LinkStandInOptions &Options)
      : Executor(Executor), To(parseAddress(Options.To)),
        Acceptor(Executor, parseAddress(Options.Listen), true) {
    if (!Options.Control.empty())
      this->Control.emplace(
          Executor, HttpServerOptions{.Listen = Options.Control},
          [this](HttpExchange &Exchange) -> asio::awaitable<void> {
            return this->control(Exchange);
          });
  }

  asio::awaitable<void> acceptLoop();
  void setMode(LinkMode Mode, Duration Delay);

  asio::any_io_executor Executor;
  const tcp::endpoint To;
  tcp::acceptor Acceptor;
  std::optional<HttpServer> Control;

private:
  asio::awaitable<void> control(HttpExchange &Exchange);
  asio::awaitable<void> open(std::shared_ptr<Pipe> Opened);
  asio::awaitable<void> pump(std::shared_ptr<Pipe> Between, tcp::socket &From,
                             tcp::socket &To);

  void silence(Pipe &Each) const;

  LinkMode Mode = LinkMode::Pass;
  Duration Delay = Duration::zero();
  std::list<std::weak_ptr<Pipe>> Pipes;
};

asio::awaitable<void> LinkStandIn::Implementation::acceptLoop() {
  for (;;) {
    auto Opened = std::make_shared<Pipe>(this->Executor);
    auto [Error] = co_await this->Acceptor.async_accept(Opened->Near, UseTuple);
    if (Error == asio::error::operation_aborted)
      co_return;
    if (Error || this->Mode == LinkMode::Cut)
      continue;
    this->silence(*Opened);
    this->Pipes.remove_if([](const auto &Weak) { return Weak.expired(); });
    this->Pipes.push_back(Opened);
    asio::co_spawn(this->Executor, this->open(Opened), asio::detached);
  }
}

asio::awaitable<void>
LinkStandIn::Implementation::open(std::shared_ptr<Pipe> Opened) {
  auto [Error] = co_await Opened->Far.async_connect(this->To, UseTuple);
  if (Error || this->Mode == LinkMode::Cut) {
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
    bool Swallowed =
        Between->Stalled || (Between->DeafFar && &To == &Between->Far);
    if (Swallowed)
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

/// What the mode does to a connection that is made now.
void LinkStandIn::Implementation::silence(Pipe &Each) const {
  Each.Stalled = Each.Stalled || this->Mode == LinkMode::Dark;
  Each.DeafFar = Each.DeafFar || this->Mode == LinkMode::OneWay;
}

void LinkStandIn::Implementation::setMode(LinkMode Next, Duration Late) {
  this->Mode = Next;
  this->Delay = Late;
  for (const auto &Weak : this->Pipes) {
    auto Each = Weak.lock();
    if (!Each)
      continue;
    // A connection that was silent once stays so.
    this->silence(*Each);
    if (Next == LinkMode::Cut)
      Each->close();
    if (Next == LinkMode::Stall)
      Each->Stalled = true;
  }
}

asio::awaitable<void>
LinkStandIn::Implementation::control(HttpExchange &Exchange) {
  // In the order of LinkMode.
  static constexpr std::array<std::string_view, 5> Modes = {
      "pass", "cut", "stall", "one-way", "dark"};
  Findings Faults;
  auto Value = parseJson(Exchange.request().Body, Faults);
  std::string Name;
  std::int64_t DelayMs = 0;
  if (Value) {
    JsonReader Reader(*Value, "", Faults);
    Name = Reader.optionalChoice("mode", Modes);
    DelayMs = Reader.optionalInteger("delay_ms", 0, {.Min = 0, .Max = 60000});
    Reader.finish();
  }
  HttpResponse Response{.Body = "{}"};
  if (!Faults.empty()) {
    Response.Status = 400;
    Response.Body = Faults.report();
    co_await Exchange.respond(std::move(Response));
    co_return;
  }
  auto Found = std::ranges::find(Modes, Name);
  this->setMode(
      static_cast<LinkMode>(Found == Modes.end() ? 0 : Found - Modes.begin()),
      std::chrono::milliseconds(DelayMs));
  co_await Exchange.respond(std::move(Response));
}

LinkStandIn::LinkStandIn(const asio::any_io_executor &Executor,
                         const LinkStandInOptions &Options)
    : Impl(std::make_unique<Implementation>(Executor, Options)) {}
LinkStandIn::~LinkStandIn() = default;

void LinkStandIn::start() {
  if (this->Impl->Control)
    this->Impl->Control->start();
  asio::co_spawn(this->Impl->Executor, this->Impl->acceptLoop(),
                 asio::detached);
}

void LinkStandIn::setMode(LinkMode Mode, Duration Delay) {
  this->Impl->setMode(Mode, Delay);
}

} // namespace carobhinge
