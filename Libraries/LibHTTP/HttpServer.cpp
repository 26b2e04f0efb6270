//===- LibHTTP/HttpServer.cpp - HTTP server on one address ----------------===//
///
/// \file
/// The accept loop and the connections, as Asio coroutines over Beast. Each
/// connection has its own strand.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/Address.h>
#include <LibHTTP/HttpServer.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cassert>
#include <mutex>
#include <optional>
#include <vector>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace carobhinge {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// Delay before accepting again after accept failed or the limit of connections
/// was reached.
static constexpr auto AcceptRetryDelay = std::chrono::milliseconds(50);

/// At the stop, a connection that has just been opened has this long to begin
/// its first request: its caller may have sent it already.
static constexpr auto FirstByteTime = std::chrono::milliseconds(200);

/// Returns a problem response of the server itself, for a request that no
/// handler has processed.
static HttpResponse problem(unsigned Status, std::string_view Title) {
  return {.Status = Status,
          .ContentType = "application/problem+json",
          .Body = R"({"type":"about:blank","title":")" + std::string(Title) +
                  R"(","status":)" + std::to_string(Status) +
                  R"(,"outcome":"not-run"})"};
}

namespace {
class Connection;
} // namespace

class HttpServer::Implementation
    : public std::enable_shared_from_this<HttpServer::Implementation> {
public:
  Implementation(asio::any_io_executor Executor, HttpServerOptions Options,
                 HttpHandler Handler)
      : Executor(std::move(Executor)), Options(std::move(Options)),
        Handler(std::move(Handler)),
        Acceptor(listenAt(asio::make_strand(this->Executor),
                          this->Options.Listen)) {}

  asio::awaitable<void> acceptLoop();
  void open(tcp::socket Socket);
  void acceptWaiting();
  void closeAcceptor();
  void closeIdle();
  void track(const std::shared_ptr<Connection> &NewConnection);

  asio::any_io_executor Executor;
  HttpServerOptions Options;
  const HttpHandler Handler;
  tcp::acceptor Acceptor;
  std::atomic<bool> Stopping = false;
  std::atomic<bool> Draining = false;
  std::atomic<std::size_t> Active = 0;
  std::atomic<std::size_t> Connections = 0;

private:
  std::mutex Lock;
  /// All open connections, and some that have ended.
  std::vector<std::weak_ptr<Connection>> TrackedConnections;
};

namespace {

/// One connection from accept to close, and its current exchange.
class Connection : public HttpExchange,
                   public std::enable_shared_from_this<Connection> {
public:
  Connection(beast::tcp_stream Stream, const HttpServerOptions &Options,
             const HttpHandler &Handler, std::atomic<bool> &Stopping,
             std::atomic<bool> &Draining, std::atomic<std::size_t> &Active)
      : Stream(std::move(Stream)), Options(Options), Handler(Handler),
        Stopping(Stopping), Draining(Draining), Active(Active),
        MonitorEnded(this->Stream.get_executor(),
                     asio::steady_timer::time_point::max()) {}

  asio::awaitable<void> serve();

  /// Closes the connection if no byte of a request has arrived, at once or, if
  /// it has never had one, after FirstByteTime. Runs on the connection's
  /// strand.
  void closeIfIdle();
  asio::any_io_executor executor() { return this->Stream.get_executor(); }

  [[nodiscard]] const HttpRequest &request() const override {
    return this->CurrentRequest;
  }
  [[nodiscard]] std::string callerIp() const override;
  asio::awaitable<void> respond(HttpResponse Response) override;
  asio::awaitable<void> startStream(HttpResponseHead Head) override;
  asio::awaitable<void> writeChunk(std::string Data) override;
  asio::awaitable<void> finishStream() override;
  void onCallerDisconnected(std::function<void()> Callback) override {
    this->OnDisconnect = std::move(Callback);
  }
  [[nodiscard]] bool callerDisconnected() const override {
    return this->Disconnected;
  }

private:
  void closeNowIfIdle();
  asio::awaitable<bool> readRequest();
  asio::awaitable<void> refuse(unsigned Status, std::string_view Title);
  asio::awaitable<void> handle();
  asio::awaitable<void> monitorCaller();
  /// Ends monitorCaller() and waits until it has returned: the next request may
  /// have arrived already, and is monitored by itself.
  asio::awaitable<void> stopMonitoring();
  asio::awaitable<void> awaitFirstByte();

  beast::tcp_stream Stream;
  const HttpServerOptions &Options;
  const HttpHandler &Handler;
  std::atomic<bool> &Stopping;
  std::atomic<bool> &Draining;
  std::atomic<std::size_t> &Active;
  beast::flat_buffer Buffer;
  HttpRequest CurrentRequest;
  bool KeepAlive = true;
  /// True while waiting for the first byte of a request.
  bool Idle = false;
  /// No request has been read yet.
  bool IsFresh = true;
  /// Set by closeNowIfIdle(). Bytes whose read had completed by then are
  /// dropped: their request could run, but its response could not be written.
  bool ClosedWhileIdle = false;
  bool Disconnected = false;
  /// True if the last byte of the response was written. A connection with an
  /// incomplete response is closed, never reused.
  bool ResponseComplete = false;
  bool ResponseStarted = false;
  std::function<void()> OnDisconnect;
  /// monitorCaller() has been started and has not returned.
  bool IsMonitoring = false;
  bool IsMonitorStopped = false;
  /// Never expires; cancelled when monitorCaller() returns.
  asio::steady_timer MonitorEnded;
};

asio::awaitable<void> Connection::serve() {
  while (co_await this->readRequest()) {
    co_await this->handle();
    if (!this->ResponseComplete || !this->KeepAlive || this->Disconnected)
      break;
  }
  beast::error_code Ignored;
  this->Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  this->Stream.close();
}

void Connection::closeIfIdle() {
  if (!this->IsFresh)
    return this->closeNowIfIdle();
  auto Timer = std::make_shared<asio::steady_timer>(this->Stream.get_executor(),
                                                    FirstByteTime);
  Timer->async_wait(
      [Self = this->shared_from_this(),
       Timer](const boost::system::error_code &) { Self->closeNowIfIdle(); });
}

void Connection::closeNowIfIdle() {
  beast::error_code Ignored;
  // The read of bytes that have arrived is about to complete.
  if (!this->Idle || this->Stream.socket().available(Ignored) > 0)
    return;
  this->ClosedWhileIdle = true;
  this->Stream.close();
}

std::string Connection::callerIp() const {
  beast::error_code Error;
  tcp::endpoint Caller = this->Stream.socket().remote_endpoint(Error);
  return Error ? std::string() : Caller.address().to_string();
}

/// Reads one request. Returns false if the connection must be closed.
asio::awaitable<bool> Connection::readRequest() {
  // A request that can't be read is answered too.
  this->ResponseComplete = false;
  this->ResponseStarted = false;
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(static_cast<std::uint32_t>(this->Options.HeaderBytes));
  Parser.body_limit(this->Options.BodyBytes);
  if (this->Buffer.size() == 0) {
    // The response before may have promised to keep the connection open, as it
    // began before the stop. A request that is read now might not be finished.
    if (this->Stopping && !this->IsFresh)
      co_return false;
    this->Stream.expires_after(this->Stopping ? FirstByteTime
                                              : this->Options.IdleTimeout);
    this->Idle = true;
    auto [Error, Count] = co_await this->Stream.async_read_some(
        this->Buffer.prepare(this->Options.HeaderBytes), UseTuple);
    this->Idle = false;
    if (Error || this->ClosedWhileIdle)
      co_return false;
    this->Buffer.commit(Count);
  }
  this->IsFresh = false;
  this->Stream.expires_after(this->Options.TransferTimeout);
  auto [Error, Count] =
      co_await http::async_read(this->Stream, this->Buffer, Parser, UseTuple);
  if (Error == http::error::end_of_stream)
    co_return false;
  if (Error) {
    if (Error == http::error::header_limit)
      co_await this->refuse(431, "The header fields are too large.");
    else if (Error == http::error::body_limit)
      co_await this->refuse(413, "The body is too large.");
    else if (Error == beast::error::timeout)
      co_await this->refuse(408, "The request did not arrive in time.");
    else if (Error.category() ==
             http::make_error_code(http::error::bad_method).category())
      co_await this->refuse(400, "The request is malformed HTTP.");
    co_return false;
  }
  auto Message = Parser.release();
  this->KeepAlive = Message.keep_alive();
  this->CurrentRequest =
      HttpRequest{.Method = std::string(Message.method_string()),
                  .Target = std::string(Message.target()),
                  .Headers = {},
                  .Body = std::move(Message.body())};
  for (const auto &Field : Message)
    this->CurrentRequest.Headers.add(Field.name_string(), Field.value());
  co_return true;
}

asio::awaitable<void> Connection::refuse(unsigned Status,
                                         std::string_view Title) {
  this->KeepAlive = false;
  try {
    HttpResponse Refusal = problem(Status, Title);
    co_await this->respond(std::move(Refusal));
  } catch (const boost::system::system_error &) {
    // The caller disconnected; the response cannot be delivered.
    this->Disconnected = true;
  }
}

/// Runs the handler while monitoring whether the caller disconnects.
asio::awaitable<void> Connection::handle() {
  this->Stream.expires_never();
  this->IsMonitoring = true;
  this->IsMonitorStopped = false;
  asio::co_spawn(
      this->Stream.get_executor(),
      [Self = this->shared_from_this()]() -> asio::awaitable<void> {
        co_await Self->monitorCaller();
        Self->IsMonitoring = false;
        Self->MonitorEnded.cancel();
      },
      asio::detached);
  ++this->Active;
  try {
    co_await this->Handler(*this);
  } catch (const boost::system::system_error &) {
    // Writing to the caller failed; the connection is closed below.
    this->ResponseComplete = false;
  } catch (const std::exception &) {
    this->ResponseComplete = false;
    if (this->ResponseStarted)
      this->Disconnected = true;
  }
  --this->Active;
  this->OnDisconnect = nullptr;
  co_await this->stopMonitoring();
  if (!this->ResponseComplete && !this->ResponseStarted && !this->Disconnected)
    co_await this->refuse(500, "The request could not be handled.");
}

asio::awaitable<void> Connection::stopMonitoring() {
  this->IsMonitorStopped = true;
  // The handler has ended, so only monitorCaller() waits for the socket.
  beast::error_code Ignored;
  this->Stream.socket().cancel(Ignored);
  while (this->IsMonitoring)
    co_await this->MonitorEnded.async_wait(UseTuple);
}

/// Returns when the caller closed the connection or stopMonitoring() ends it.
/// Bytes of a pipelined request also end the monitoring, since a close after
/// them cannot be detected.
asio::awaitable<void> Connection::monitorCaller() {
  while (!this->IsMonitorStopped) {
    auto [Error] = co_await this->Stream.socket().async_wait(
        tcp::socket::wait_read, UseTuple);
    if (Error == asio::error::operation_aborted || this->IsMonitorStopped ||
        this->ResponseComplete)
      co_return;
    beast::error_code PeekError;
    char Byte = 0;
    this->Stream.socket().receive(asio::buffer(&Byte, 1),
                                  tcp::socket::message_peek, PeekError);
    if (!PeekError)
      co_return;
    // The socket was reported ready for bytes that have already been read.
    if (PeekError == asio::error::would_block)
      continue;
    this->Disconnected = true;
    if (auto Notify = std::exchange(this->OnDisconnect, nullptr))
      Notify();
    co_return;
  }
}

template <class Message>
static void setHeaders(Message &Output, const HttpHeaders &Headers) {
  for (const HttpHeader &Field : Headers.fields())
    Output.insert(Field.Name, Field.Value);
}

asio::awaitable<void> Connection::respond(HttpResponse Response) {
  assert(!this->ResponseStarted && "An exchange has one response");
  this->ResponseStarted = true;
  http::response<http::string_body> Message;
  Message.version(11);
  Message.result(Response.Status);
  setHeaders(Message, Response.Headers);
  if (!Response.ContentType.empty())
    Message.set(http::field::content_type, Response.ContentType);
  Message.body() = std::move(Response.Body);
  this->KeepAlive = this->KeepAlive && !this->Stopping && !this->Draining;
  Message.keep_alive(this->KeepAlive);
  Message.prepare_payload();
  this->Stream.expires_after(this->Options.TransferTimeout);
  co_await http::async_write(this->Stream, Message, asio::use_awaitable);
  this->ResponseComplete = true;
}

asio::awaitable<void> Connection::startStream(HttpResponseHead Head) {
  assert(!this->ResponseStarted && "An exchange has one response");
  this->ResponseStarted = true;
  http::response<http::empty_body> Message;
  Message.version(11);
  Message.result(Head.Status);
  setHeaders(Message, Head.Headers);
  this->KeepAlive = this->KeepAlive && !this->Stopping && !this->Draining;
  Message.keep_alive(this->KeepAlive);
  Message.chunked(true);
  http::response_serializer<http::empty_body> Serializer(Message);
  this->Stream.expires_after(this->Options.TransferTimeout);
  co_await http::async_write_header(this->Stream, Serializer,
                                    asio::use_awaitable);
}

asio::awaitable<void> Connection::writeChunk(std::string Data) {
  if (Data.empty())
    co_return;
  this->Stream.expires_after(this->Options.TransferTimeout);
  co_await asio::async_write(this->Stream, http::make_chunk(asio::buffer(Data)),
                             asio::use_awaitable);
}

asio::awaitable<void> Connection::finishStream() {
  this->Stream.expires_after(this->Options.TransferTimeout);
  co_await asio::async_write(this->Stream, http::make_chunk_last(),
                             asio::use_awaitable);
  this->ResponseComplete = true;
}

} // namespace

asio::awaitable<void> HttpServer::Implementation::acceptLoop() {
  while (!this->Stopping) {
    tcp::socket Socket(asio::make_strand(this->Executor));
    auto [Error] = co_await this->Acceptor.async_accept(Socket, UseTuple);
    if (!Error && this->Connections < this->Options.Connections) {
      this->open(std::move(Socket));
      continue;
    }
    if (this->Stopping)
      break;
    // Out of file descriptors, or the limit of connections is reached: wait for
    // some connections to end.
    Socket.close();
    asio::steady_timer RetryTimer(this->Acceptor.get_executor(),
                                  AcceptRetryDelay);
    co_await RetryTimer.async_wait(UseTuple);
  }
}

void HttpServer::Implementation::open(tcp::socket Socket) {
  beast::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  // monitorCaller() peeks at the socket, which must never block the thread.
  Socket.non_blocking(true, Ignored);
  auto Executor = Socket.get_executor();
  auto NewConnection = std::make_shared<Connection>(
      beast::tcp_stream(std::move(Socket)), this->Options, this->Handler,
      this->Stopping, this->Draining, this->Active);
  ++this->Connections;
  this->track(NewConnection);
  asio::co_spawn(
      Executor,
      [NewConnection, Self = this->shared_from_this()]()
          -> asio::awaitable<void> { co_await NewConnection->serve(); },
      [Self = this->shared_from_this()](const std::exception_ptr &) {
        --Self->Connections;
      });
}

/// Accepts the connections that wait: their callers may have sent requests.
void HttpServer::Implementation::acceptWaiting() {
  beast::error_code Error;
  this->Acceptor.non_blocking(true, Error);
  while (!Error && this->Connections < this->Options.Connections) {
    tcp::socket Socket(asio::make_strand(this->Executor));
    this->Acceptor.accept(Socket, Error);
    if (!Error)
      this->open(std::move(Socket));
  }
}

void HttpServer::Implementation::track(
    const std::shared_ptr<Connection> &NewConnection) {
  /// Number of entries below which expired ones are not removed.
  static constexpr std::size_t MinCleanUpSize = 256;
  std::lock_guard Guard(this->Lock);
  if (this->TrackedConnections.size() >=
      std::max(MinCleanUpSize, 2 * this->Connections.load()))
    std::erase_if(this->TrackedConnections,
                  [](const auto &Each) { return Each.expired(); });
  this->TrackedConnections.push_back(NewConnection);
}

void HttpServer::Implementation::closeIdle() {
  std::lock_guard Guard(this->Lock);
  for (const std::weak_ptr<Connection> &Each : this->TrackedConnections)
    if (auto Locked = Each.lock())
      asio::post(Locked->executor(), [Locked] { Locked->closeIfIdle(); });
}

void HttpServer::Implementation::closeAcceptor() {
  this->Stopping = true;
  asio::post(this->Acceptor.get_executor(), [Self = this->shared_from_this()] {
    Self->acceptWaiting();
    beast::error_code Ignored;
    Self->Acceptor.close(Ignored);
  });
  this->closeIdle();
}

HttpServer::HttpServer(asio::any_io_executor Executor,
                       HttpServerOptions Options, HttpHandler Handler)
    : Impl(std::make_shared<Implementation>(
          std::move(Executor), std::move(Options), std::move(Handler))) {}

HttpServer::~HttpServer() { this->stop(); }

void HttpServer::start() {
  asio::co_spawn(
      this->Impl->Acceptor.get_executor(),
      [Self = this->Impl]() -> asio::awaitable<void> {
        co_await Self->acceptLoop();
      },
      asio::detached);
}

void HttpServer::drain() { this->Impl->Draining = true; }

void HttpServer::setLimits(std::size_t HeaderBytes, std::size_t BodyBytes,
                           Duration TransferTimeout, Duration IdleTimeout) {
  this->Impl->Options.HeaderBytes = HeaderBytes;
  this->Impl->Options.BodyBytes = BodyBytes;
  this->Impl->Options.TransferTimeout = TransferTimeout;
  this->Impl->Options.IdleTimeout = IdleTimeout;
}

void HttpServer::stop() { this->Impl->closeAcceptor(); }

std::size_t HttpServer::activeExchanges() const { return this->Impl->Active; }

std::size_t HttpServer::openConnections() const {
  return this->Impl->Connections;
}

std::string HttpServer::address() const {
  return formatAddress(this->Impl->Acceptor.local_endpoint());
}

} // namespace carobhinge
