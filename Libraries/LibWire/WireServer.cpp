//===- LibWire/WireServer.cpp - Server for calls from peer hosts ----------===//
///
/// \file
/// The accept loop and the coroutine that runs the handler of a stream.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/Address.h>
#include <LibTelemetry/Supervision.h>
#include <LibWire/ConnectionPlaces.h>
#include <LibWire/PeerName.h>
#include <LibWire/WireServer.h>
#include <LibWire/WireSession.h>

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <mutex>
#include <optional>

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace carobhinge {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// Reply bytes queued on one stream above which send() waits.
static constexpr std::size_t SendBacklogBytes = 256 * 1024;
static constexpr auto AcceptRetryDelay = std::chrono::milliseconds(100);
static constexpr unsigned StatusOk = 200;
static constexpr unsigned StatusMisdirected = 421;
static constexpr unsigned StatusUnknownMethod = 404;

using HandlerTable = std::map<std::string, WireHandler, std::less<>>;

class WireServer::Implementation
    : public std::enable_shared_from_this<WireServer::Implementation> {
public:
  Implementation(asio::any_io_executor Executor, std::string_view Listen,
                 WireOptions Options, HandlerTable Handlers)
      : Executor(std::move(Executor)), Options(std::move(Options)),
        Handlers(std::move(Handlers)), Places(this->Options.Connections),
        Acceptor(listenAt(asio::make_strand(this->Executor), Listen)) {}

  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> serve(tcp::socket Socket);
  static asio::awaitable<void>
  serveConnection(std::shared_ptr<Implementation> Self, tcp::socket Socket,
                  ConnectionPlaces::Place Taken);
  std::optional<ConnectionPlaces::Place> takePlace(const std::string &Ip);
  void handleNewStream(const std::shared_ptr<WireSession> &Session,
                       const std::shared_ptr<WireStreamState> &Stream);

  asio::any_io_executor Executor;
  const WireOptions Options;
  const HandlerTable Handlers;
  /// Guards Places: a connection ends on its own strand.
  std::mutex PlacesLock;
  ConnectionPlaces Places;
  tcp::acceptor Acceptor;
  std::atomic<bool> Stopping = false;
};

namespace {

class Exchange : public WireExchange {
public:
  Exchange(std::shared_ptr<WireSession> Session,
           std::shared_ptr<WireStreamState> Stream, std::string Message)
      : Session(std::move(Session)), Stream(std::move(Stream)),
        Request(std::move(Message)),
        Caller(this->Stream->Headers.at("carobhinge-host")),
        DrainedSignal(this->Session->executor()) {
    this->Stream->OnDrained = [this] { this->DrainedSignal.cancel(); };
    this->Stream->OnClose = [this](std::uint32_t) { this->handleClose(); };
  }
  ~Exchange() override {
    this->Stream->OnDrained = nullptr;
    this->Stream->OnClose = nullptr;
  }
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  [[nodiscard]] const HostName &caller() const override { return this->Caller; }
  [[nodiscard]] const std::string &message() const override {
    return this->Request;
  }
  [[nodiscard]] bool callerDisconnected() const override {
    return this->Disconnected;
  }
  void onCallerDisconnected(std::function<void()> Callback) override {
    this->OnDisconnect = std::move(Callback);
  }

  asio::awaitable<void> send(std::string Message) override {
    while (!this->Disconnected &&
           this->Stream->Outgoing.size() > SendBacklogBytes) {
      this->DrainedSignal.expires_at(asio::steady_timer::time_point::max());
      co_await this->DrainedSignal.async_wait(UseTuple);
    }
    if (this->Disconnected)
      throw boost::system::system_error(asio::error::connection_aborted);
    this->Session->queueMessage(*this->Stream, Message);
  }

private:
  void handleClose() {
    this->Disconnected = true;
    this->DrainedSignal.cancel();
    if (auto Notify = std::exchange(this->OnDisconnect, nullptr))
      Notify();
  }

  std::shared_ptr<WireSession> Session;
  std::shared_ptr<WireStreamState> Stream;
  std::string Request;
  HostName Caller;
  /// Never expires; cancelled to wake send() when the stream drains or closes.
  asio::steady_timer DrainedSignal;
  bool Disconnected = false;
  std::function<void()> OnDisconnect;
};

/// Runs the handler, then ends the stream, or resets it if the handler threw.
asio::awaitable<void> handleCall(std::shared_ptr<WireSession> Session,
                                 std::shared_ptr<WireStreamState> Stream,
                                 const WireHandler &Handler,
                                 std::string Message) {
  bool Completed = false;
  {
    Exchange Call(Session, Stream, std::move(Message));
    Session->submitResponse(*Stream, StatusOk);
    try {
      co_await Handler(Call);
      Completed = true;
    } catch (...) {
      // A host that disconnects ends the answers to it with an exception.
      if (!Call.callerDisconnected())
        logTaskFailure("call of a host", "answered with a reset",
                       std::current_exception());
    }
    if (Call.callerDisconnected())
      co_return;
  }
  if (Completed)
    Session->endMessages(*Stream);
  else
    Session->resetStream(*Stream, NGHTTP2_INTERNAL_ERROR);
}

} // namespace

void WireServer::Implementation::handleNewStream(
    const std::shared_ptr<WireSession> &Session,
    const std::shared_ptr<WireStreamState> &Stream) {
  auto Refuse = [&](unsigned Status) {
    Session->submitResponse(*Stream, Status);
    Session->endMessages(*Stream);
  };
  const auto &Headers = Stream->Headers;
  auto Cluster = Headers.find("carobhinge-cluster");
  auto Name = Headers.find("carobhinge-host");
  if (Cluster == Headers.end() || Cluster->second != this->Options.Cluster ||
      Name == Headers.end())
    return Refuse(StatusMisdirected);
  if (Findings Found = checkPeerName(Name->second); !Found.empty()) {
    if (this->Options.OnNameRefused)
      this->Options.OnNameRefused(Session->peer(), Found);
    return Refuse(StatusMisdirected);
  }
  auto Path = Headers.find(":path");
  auto Handler = Path == Headers.end() || Path->second.empty()
                     ? this->Handlers.end()
                     : this->Handlers.find(Path->second.substr(1));
  if (Handler == this->Handlers.end())
    return Refuse(StatusUnknownMethod);
  // Weak pointers, since the session owns the stream and its callbacks.
  std::weak_ptr<WireSession> WeakSession = Session;
  std::weak_ptr<WireStreamState> WeakStream = Stream;
  Stream->OnMessage = [WeakSession, WeakStream, Handler,
                       Self = this->shared_from_this()](std::string Message) {
    auto Session = WeakSession.lock();
    auto Stream = WeakStream.lock();
    if (!Session || !Stream)
      return;
    Session->consume(Stream->Id, Message.size() + 4);
    // A call carries one request message; further messages are ignored.
    spawnTask(
        Session->executor(), "call of a host",
        [Session, Stream, Handler, Self,
         Message = std::move(Message)]() mutable -> asio::awaitable<void> {
          co_await handleCall(Session, Stream, Handler->second,
                              std::move(Message));
        });
    Stream->OnMessage = nullptr;
  };
}

asio::awaitable<void> WireServer::Implementation::serve(tcp::socket Socket) {
  auto Session = std::make_shared<WireSession>(
      std::move(Socket), WireSession::Role::Server, this->Options);
  std::weak_ptr<WireSession> WeakSession = Session;
  Session->OnNewStream =
      [this, WeakSession](const std::shared_ptr<WireStreamState> &Stream) {
        if (auto Locked = WeakSession.lock())
          this->handleNewStream(Locked, Stream);
      };
  co_await Session->run();
}

/// Keeps the server alive while it serves \p Socket.
asio::awaitable<void> WireServer::Implementation::serveConnection(
    std::shared_ptr<Implementation> Self, tcp::socket Socket,
    ConnectionPlaces::Place Taken) {
  auto GiveBack = [Taken = std::move(Taken)](Implementation *Server) {
    std::lock_guard Guard(Server->PlacesLock);
    Server->Places.giveBack(Taken);
  };
  std::unique_ptr<Implementation, decltype(GiveBack)> Place(
      Self.get(), std::move(GiveBack));
  co_await Self->serve(std::move(Socket));
}

std::optional<ConnectionPlaces::Place>
WireServer::Implementation::takePlace(const std::string &Ip) {
  bool IsKnownHost =
      this->Options.HasOwnPlaces && this->Options.HasOwnPlaces(Ip);
  std::lock_guard Guard(this->PlacesLock);
  return this->Places.take(Ip, IsKnownHost);
}

asio::awaitable<void> WireServer::Implementation::acceptLoop() {
  while (!this->Stopping) {
    tcp::socket Socket(asio::make_strand(this->Executor));
    auto [Error] = co_await this->Acceptor.async_accept(Socket, UseTuple);
    if (this->Stopping || Error == asio::error::operation_aborted)
      co_return;
    if (Error) {
      // Out of file descriptors: wait for some connections to end.
      asio::steady_timer RetryTimer(this->Acceptor.get_executor(),
                                    AcceptRetryDelay);
      co_await RetryTimer.async_wait(UseTuple);
      continue;
    }
    boost::system::error_code Ignored;
    std::string Ip = Socket.remote_endpoint(Ignored).address().to_string();
    std::optional<ConnectionPlaces::Place> Taken = this->takePlace(Ip);
    if (!Taken) {
      if (this->Options.OnLimitReached)
        this->Options.OnLimitReached("peer-connections", Ip);
      continue;
    }
    Socket.set_option(tcp::no_delay(true), Ignored);
    auto Strand = Socket.get_executor();
    spawnTask(Strand, "connection of a host",
              serveConnection(this->shared_from_this(), std::move(Socket),
                              std::move(*Taken)));
  }
}

WireServer::WireServer(asio::any_io_executor Executor, std::string_view Listen,
                       WireOptions Options, HandlerTable Handlers)
    : Impl(std::make_shared<Implementation>(std::move(Executor), Listen,
                                            std::move(Options),
                                            std::move(Handlers))) {}

WireServer::~WireServer() { this->stop(); }

void WireServer::start() {
  spawnLoop(this->Impl->Acceptor.get_executor(), "accepted hosts",
            [Self = this->Impl] { return Self->acceptLoop(); });
}

void WireServer::stop() {
  this->Impl->Stopping = true;
  asio::post(this->Impl->Acceptor.get_executor(), [Self = this->Impl] {
    boost::system::error_code Ignored;
    Self->Acceptor.close(Ignored);
  });
}

std::string WireServer::address() const {
  return formatAddress(this->Impl->Acceptor.local_endpoint());
}

} // namespace carobhinge
