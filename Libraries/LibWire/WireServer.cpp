//===- LibWire/WireServer.cpp - Answers calls of other hosts --------------===//
///
/// \file
/// The accept loop, and the bridge from a stream to its handler coroutine.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/Address.h>
#include <LibWire/WireServer.h>
#include <LibWire/WireSession.h>

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace carobhinge {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// Queued reply bytes of one call above which send() waits.
static constexpr std::size_t SendBacklogBytes = 256 * 1024;
static constexpr unsigned StatusOk = 200;
static constexpr unsigned StatusOtherCluster = 421;
static constexpr unsigned StatusUnknownMethod = 404;

using HandlerTable = std::map<std::string, WireHandler, std::less<>>;

class WireServer::Implementation
    : public std::enable_shared_from_this<WireServer::Implementation> {
public:
  Implementation(asio::any_io_executor Executor, std::string_view Listen,
                 WireOptions Options, HandlerTable Handlers)
      : Executor(std::move(Executor)), Options(std::move(Options)),
        Handlers(std::move(Handlers)),
        Acceptor(listenAt(asio::make_strand(this->Executor), Listen)) {}

  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> serve(tcp::socket Socket);
  void newStream(const std::shared_ptr<WireSession> &Session,
                 const std::shared_ptr<WireStreamState> &Stream);

  asio::any_io_executor Executor;
  const WireOptions Options;
  const HandlerTable Handlers;
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
        Drained(this->Session->executor()) {
    this->Stream->OnDrained = [this] { this->Drained.cancel(); };
    this->Stream->OnClose = [this](std::uint32_t) { this->closed(); };
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
  [[nodiscard]] bool callerGone() const override { return this->Gone; }
  void onCallerGone(std::function<void()> Notify) override {
    this->WhenGone = std::move(Notify);
  }

  asio::awaitable<void> send(std::string Message) override {
    while (!this->Gone && this->Stream->Outgoing.size() > SendBacklogBytes) {
      this->Drained.expires_at(asio::steady_timer::time_point::max());
      co_await this->Drained.async_wait(UseTuple);
    }
    if (this->Gone)
      throw boost::system::system_error(asio::error::connection_aborted);
    this->Session->queueMessage(*this->Stream, Message);
  }

private:
  void closed() {
    this->Gone = true;
    this->Drained.cancel();
    if (auto Notify = std::exchange(this->WhenGone, nullptr))
      Notify();
  }

  std::shared_ptr<WireSession> Session;
  std::shared_ptr<WireStreamState> Stream;
  std::string Request;
  HostName Caller;
  asio::steady_timer Drained;
  bool Gone = false;
  std::function<void()> WhenGone;
};

/// Runs the handler and ends the stream according to how it went.
asio::awaitable<void> handleCall(std::shared_ptr<WireSession> Session,
                                 std::shared_ptr<WireStreamState> Stream,
                                 const WireHandler &Handler,
                                 std::string Message) {
  bool Complete = false;
  {
    Exchange Call(Session, Stream, std::move(Message));
    Session->submitResponse(*Stream, StatusOk);
    try {
      co_await Handler(Call);
      Complete = true;
    } catch (const std::exception &) {
      Complete = false;
    }
    if (Call.callerGone())
      co_return;
  }
  if (Complete)
    Session->endMessages(*Stream);
  else
    Session->resetStream(*Stream, NGHTTP2_INTERNAL_ERROR);
}

} // namespace

void WireServer::Implementation::newStream(
    const std::shared_ptr<WireSession> &Session,
    const std::shared_ptr<WireStreamState> &Stream) {
  auto Refuse = [&](unsigned Status) {
    Session->submitResponse(*Stream, Status);
    Session->endMessages(*Stream);
  };
  const auto &Headers = Stream->Headers;
  auto Cluster = Headers.find("carobhinge-cluster");
  if (Cluster == Headers.end() || Cluster->second != this->Options.Cluster ||
      !Headers.contains("carobhinge-host"))
    return Refuse(StatusOtherCluster);
  auto Path = Headers.find(":path");
  auto Handler = Path == Headers.end() || Path->second.empty()
                     ? this->Handlers.end()
                     : this->Handlers.find(Path->second.substr(1));
  if (Handler == this->Handlers.end())
    return Refuse(StatusUnknownMethod);
  // Weak, since the stream belongs to the session.
  std::weak_ptr<WireSession> Weak = Session;
  std::weak_ptr<WireStreamState> WeakStream = Stream;
  Stream->OnMessage = [Weak, WeakStream, Handler,
                       Self = this->shared_from_this()](std::string Message) {
    auto Session = Weak.lock();
    auto Stream = WeakStream.lock();
    if (!Session || !Stream)
      return;
    Session->consume(Stream->Id, Message.size() + 4);
    // A call carries one request message; anything behind it is ignored.
    asio::co_spawn(
        Session->executor(),
        [Session, Stream, Handler, Self,
         Message = std::move(Message)]() mutable -> asio::awaitable<void> {
          co_await handleCall(Session, Stream, Handler->second,
                              std::move(Message));
        },
        asio::detached);
    Stream->OnMessage = nullptr;
  };
}

asio::awaitable<void> WireServer::Implementation::serve(tcp::socket Socket) {
  auto Session = std::make_shared<WireSession>(
      std::move(Socket), WireSession::End::Server, this->Options);
  std::weak_ptr<WireSession> Weak = Session;
  Session->OnNewStream =
      [this, Weak](const std::shared_ptr<WireStreamState> &Stream) {
        if (auto Locked = Weak.lock())
          this->newStream(Locked, Stream);
      };
  co_await Session->run();
}

asio::awaitable<void> WireServer::Implementation::acceptLoop() {
  while (!this->Stopping) {
    tcp::socket Socket(asio::make_strand(this->Executor));
    auto [Error] = co_await this->Acceptor.async_accept(Socket, UseTuple);
    if (this->Stopping || Error == asio::error::operation_aborted)
      co_return;
    if (Error)
      continue;
    boost::system::error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    auto Strand = Socket.get_executor();
    asio::co_spawn(
        Strand,
        [Self = this->shared_from_this(), Socket = std::move(Socket)]() mutable
        -> asio::awaitable<void> { co_await Self->serve(std::move(Socket)); },
        asio::detached);
  }
}

WireServer::WireServer(asio::any_io_executor Executor, std::string_view Listen,
                       WireOptions Options, HandlerTable Handlers)
    : Impl(std::make_shared<Implementation>(std::move(Executor), Listen,
                                            std::move(Options),
                                            std::move(Handlers))) {}

WireServer::~WireServer() { this->stop(); }

void WireServer::start() {
  asio::co_spawn(
      this->Impl->Acceptor.get_executor(),
      [Self = this->Impl]() -> asio::awaitable<void> {
        co_await Self->acceptLoop();
      },
      asio::detached);
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
