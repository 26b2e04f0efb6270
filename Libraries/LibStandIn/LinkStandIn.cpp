//===- LibStandIn/LinkStandIn.cpp - A faulty network link for tests -------===//
///
/// \file
/// The accept loop, one relay per direction of a connection, and the control
/// request.
///
//===----------------------------------------------------------------------===//

#include <LibStandIn/LinkStandIn.h>

#include <LibCore/JsonReader.h>
#include <LibCore/Signal.h>
#include <LibHTTP/Address.h>
#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <map>
#include <optional>

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace carobhinge {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// A held link is released by a signal; the wait for it needs some limit.
static constexpr auto HeldCheckInterval = std::chrono::seconds(30);
/// Between two looks whether the client of a broken answer has gone.
static constexpr auto ClosedCheckInterval = std::chrono::milliseconds(20);

namespace {

/// A client's connection and the connection to the server it is forwarded to.
struct ProxiedConnection {
  explicit ProxiedConnection(const asio::any_io_executor &Executor)
      : Client(Executor), Server(Executor) {}
  void close() {
    boost::system::error_code Ignored;
    this->Client.close(Ignored);
    this->Server.close(Ignored);
  }
  tcp::socket Client;
  tcp::socket Server;
  std::string ClientIp = {};
  /// Drops the bytes of both directions. Never reset.
  bool DropsAll = false;
  /// Drops the bytes that the client sends. Never reset.
  bool DropsToServer = false;
};

} // namespace

class LinkStandIn::Implementation {
public:
  Implementation(const asio::any_io_executor &Executor,
                 const LinkStandInOptions &Options)
      : Executor(Executor), TargetAddress(parseAddress(Options.TargetAddress)),
        Acceptor(Executor, parseAddress(Options.Listen), true),
        Released(Executor) {
    this->Released.fire();
    if (!Options.Control.empty())
      this->Control.emplace(
          Executor, HttpServerOptions{.Listen = Options.Control},
          [this](HttpExchange &Exchange) -> asio::awaitable<void> {
            return this->control(Exchange);
          });
  }

  asio::awaitable<void> acceptLoop();
  void setMode(LinkMode Mode, Duration Delay);
  void setClientMode(const std::string &ClientIp, LinkMode Mode);
  void setHeld(bool IsHeld);

  asio::any_io_executor Executor;
  const tcp::endpoint TargetAddress;
  tcp::acceptor Acceptor;
  std::optional<HttpServer> Control;
  /// Null: none.
  const EndlessForm *EndlessAnswer = nullptr;
  std::atomic<std::size_t> EndlessBytesWritten = 0;
  /// Null: none.
  const BrokenAnswer *BrokenForm = nullptr;
  AfterBrokenAnswer AfterBroken = AfterBrokenAnswer::Close;
  std::atomic<unsigned> BrokenCount = 0;

private:
  asio::awaitable<void> control(HttpExchange &Exchange);
  asio::awaitable<void> connect(std::shared_ptr<ProxiedConnection> Connection);
  asio::awaitable<void> relay(std::shared_ptr<ProxiedConnection> Connection,
                              tcp::socket &Source, tcp::socket &Sink);

  asio::awaitable<void> writeWithoutEnd(tcp::socket &Client, EndlessForm Form);
  /// Writes a broken answer in place of \p Sound. Returns once the connection
  /// is to be closed.
  asio::awaitable<void> writeBroken(ProxiedConnection &Connection,
                                    std::string_view Sound);

  void applyDropMode(ProxiedConnection &Each) const;

  /// The mode of \p Each: that of its client, if it has one.
  [[nodiscard]] LinkMode modeOf(const ProxiedConnection &Each) const;
  /// Returns once the link is not held.
  asio::awaitable<void> waitWhileHeld();

  /// Fired unless the link is held.
  Signal Released;
  LinkMode Mode = LinkMode::Pass;
  Duration Delay = Duration::zero();
  /// By IP address; never Pass.
  std::map<std::string, LinkMode> ClientModes;
  std::list<std::weak_ptr<ProxiedConnection>> Connections;
};

asio::awaitable<void> LinkStandIn::Implementation::acceptLoop() {
  for (;;) {
    auto Connection = std::make_shared<ProxiedConnection>(this->Executor);
    auto [Error] =
        co_await this->Acceptor.async_accept(Connection->Client, UseTuple);
    if (Error == asio::error::operation_aborted)
      co_return;
    if (Error)
      continue;
    boost::system::error_code Ignored;
    Connection->ClientIp =
        Connection->Client.remote_endpoint(Ignored).address().to_string();
    if (this->modeOf(*Connection) == LinkMode::Cut)
      continue;
    this->applyDropMode(*Connection);
    this->Connections.remove_if(
        [](const auto &WeakConnection) { return WeakConnection.expired(); });
    this->Connections.push_back(Connection);
    asio::co_spawn(this->Executor, this->connect(Connection), asio::detached);
  }
}

asio::awaitable<void> LinkStandIn::Implementation::connect(
    std::shared_ptr<ProxiedConnection> Connection) {
  co_await this->waitWhileHeld();
  // The server sees the client's address, as it does without the link.
  boost::system::error_code Ignored;
  Connection->Server.open(this->TargetAddress.protocol(), Ignored);
  Connection->Server.bind(
      {asio::ip::make_address(Connection->ClientIp, Ignored), 0}, Ignored);
  auto [Error] =
      co_await Connection->Server.async_connect(this->TargetAddress, UseTuple);
  if (Error || this->modeOf(*Connection) == LinkMode::Cut) {
    Connection->close();
    co_return;
  }
  asio::co_spawn(
      this->Executor,
      this->relay(Connection, Connection->Client, Connection->Server),
      asio::detached);
  asio::co_spawn(
      this->Executor,
      this->relay(Connection, Connection->Server, Connection->Client),
      asio::detached);
}

asio::awaitable<void> LinkStandIn::Implementation::relay(
    std::shared_ptr<ProxiedConnection> Connection, tcp::socket &Source,
    tcp::socket &Sink) {
  std::array<char, 16 * 1024> Buffer;
  asio::steady_timer Timer(this->Executor);
  for (;;) {
    auto [ReadError, Count] =
        co_await Source.async_read_some(asio::buffer(Buffer), UseTuple);
    co_await this->waitWhileHeld();
    if (ReadError)
      break;
    if (this->Delay > Duration::zero()) {
      Timer.expires_after(this->Delay);
      co_await Timer.async_wait(UseTuple);
    }
    bool Dropped = Connection->DropsAll ||
                   (Connection->DropsToServer && &Sink == &Connection->Server);
    if (Dropped)
      continue;
    if (this->EndlessAnswer != nullptr && &Sink == &Connection->Client) {
      co_await this->writeWithoutEnd(Sink, *this->EndlessAnswer);
      break;
    }
    if (this->BrokenForm != nullptr && &Sink == &Connection->Client) {
      co_await this->writeBroken(*Connection, {Buffer.data(), Count});
      break;
    }
    auto [WriteError, Written] = co_await asio::async_write(
        Sink, asio::buffer(Buffer.data(), Count), UseTuple);
    if (WriteError)
      break;
  }
  // A connection that drops all bytes must not pass on the close of its other
  // end either.
  if (!Connection->DropsAll)
    Connection->close();
}

/// Returns when the client no longer takes bytes.
asio::awaitable<void>
LinkStandIn::Implementation::writeWithoutEnd(tcp::socket &Client,
                                             EndlessForm Form) {
  static constexpr std::size_t PieceBytes = 64 * 1024;
  std::string Piece = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                      std::string(Form.Beginning);
  const std::string Repeated = Form.repeat(PieceBytes);
  for (;;) {
    auto [Error, Written] =
        co_await asio::async_write(Client, asio::buffer(Piece), UseTuple);
    this->EndlessBytesWritten += Written;
    if (Error)
      co_return;
    Piece = Repeated;
  }
}

asio::awaitable<void>
LinkStandIn::Implementation::writeBroken(ProxiedConnection &Connection,
                                         std::string_view Sound) {
  ++this->BrokenCount;
  AfterBrokenAnswer After = this->AfterBroken;
  std::string Bytes = this->BrokenForm->makeFrom(Sound);
  if (After == AfterBrokenAnswer::Answer)
    Bytes += Sound;
  co_await asio::async_write(Connection.Client, asio::buffer(Bytes), UseTuple);
  if (After == AfterBrokenAnswer::Close)
    co_return;
  // The other direction closes the connection once its client has done so.
  Signal Pause(this->Executor);
  while (Connection.Client.is_open())
    co_await Pause.wait(ClosedCheckInterval);
}

/// Applies the byte drops of the current mode to a connection.
void LinkStandIn::Implementation::applyDropMode(ProxiedConnection &Each) const {
  LinkMode Current = this->modeOf(Each);
  Each.DropsAll = Each.DropsAll || Current == LinkMode::Blackhole;
  Each.DropsToServer = Each.DropsToServer || Current == LinkMode::OneWay;
}

LinkMode
LinkStandIn::Implementation::modeOf(const ProxiedConnection &Each) const {
  auto Found = this->ClientModes.find(Each.ClientIp);
  return Found == this->ClientModes.end() ? this->Mode : Found->second;
}

void LinkStandIn::Implementation::setClientMode(const std::string &ClientIp,
                                                LinkMode NewMode) {
  this->ClientModes.erase(ClientIp);
  if (NewMode == LinkMode::Pass)
    return;
  this->ClientModes[ClientIp] = NewMode;
  for (const auto &WeakConnection : this->Connections) {
    auto Each = WeakConnection.lock();
    if (!Each || Each->ClientIp != ClientIp)
      continue;
    this->applyDropMode(*Each);
    if (NewMode == LinkMode::Cut)
      Each->close();
  }
}

void LinkStandIn::Implementation::setHeld(bool IsHeld) {
  if (IsHeld)
    this->Released.reset();
  else
    this->Released.fire();
}

asio::awaitable<void> LinkStandIn::Implementation::waitWhileHeld() {
  while (!this->Released.fired())
    co_await this->Released.wait(HeldCheckInterval);
}

void LinkStandIn::Implementation::setMode(LinkMode NewMode, Duration NewDelay) {
  this->Mode = NewMode;
  this->Delay = NewDelay;
  for (const auto &WeakConnection : this->Connections) {
    auto Each = WeakConnection.lock();
    if (!Each)
      continue;
    // A connection that has dropped bytes continues to drop them.
    this->applyDropMode(*Each);
    if (NewMode == LinkMode::Cut)
      Each->close();
    if (NewMode == LinkMode::Stall)
      Each->DropsAll = true;
  }
}

asio::awaitable<void>
LinkStandIn::Implementation::control(HttpExchange &Exchange) {
  // In the order of the enumerators of LinkMode.
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
  auto Position = std::ranges::find(Modes, Name);
  this->setMode(static_cast<LinkMode>(
                    Position == Modes.end() ? 0 : Position - Modes.begin()),
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

void LinkStandIn::setHeld(bool IsHeld) { this->Impl->setHeld(IsHeld); }

void LinkStandIn::setEndlessAnswers(const EndlessForm *Form) {
  this->Impl->EndlessAnswer = Form;
}

void LinkStandIn::setBrokenAnswers(const BrokenAnswer *Form,
                                   AfterBrokenAnswer After) {
  this->Impl->BrokenForm = Form;
  this->Impl->AfterBroken = After;
}

unsigned LinkStandIn::brokenAnswerCount() const {
  return this->Impl->BrokenCount;
}

std::size_t LinkStandIn::endlessBytes() const {
  return this->Impl->EndlessBytesWritten;
}

void LinkStandIn::setClientMode(const std::string &ClientIp, LinkMode Mode) {
  this->Impl->setClientMode(ClientIp, Mode);
}

} // namespace carobhinge
