//===- LibHTTP/HttpServer.cpp - HTTP server on one address ----------------===//
///
/// \file
/// The accept loop and the connections, as Asio coroutines over Beast. Each
/// connection has its own strand.
///
//===----------------------------------------------------------------------===//

#include <LibCore/StringStorage.h>
#include <LibHTTP/Address.h>
#include <LibHTTP/ChunkFraming.h>
#include <LibHTTP/HttpServer.h>
#include <LibHTTP/MessageRule.h>
#include <LibTelemetry/Supervision.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
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

/// A caller whose request is refused may still be sending it. A close with
/// unread bytes resets the connection and can destroy the answer, so that what
/// arrives is discarded within these limits.
static constexpr auto DiscardTime = std::chrono::seconds(1);
static constexpr std::size_t MaxDiscardedBytes = 2 * 1024 * 1024;
/// A size line of a chunk must fit where the limit of a head is tiny.
static constexpr std::size_t MinBufferBytes = 1024;
static constexpr std::size_t MaxReadBytes = 64 * 1024;

std::string_view httpRefusalReasonName(HttpRefusalReason Reason) {
  switch (Reason) {
  case HttpRefusalReason::Malformed:
    return "malformed";
  case HttpRefusalReason::UnknownCoding:
    return "unknown-coding";
  case HttpRefusalReason::HeaderBytes:
    return "header-bytes";
  case HttpRefusalReason::HeldBytes:
    return "held-bytes";
  case HttpRefusalReason::BodyBytes:
    return "body-bytes";
  case HttpRefusalReason::TransferTime:
    return "transfer-time";
  case HttpRefusalReason::ProcessBytes:
    return "process-bytes";
  case HttpRefusalReason::UntakenAnswer:
    return "untaken-answer";
  }
  return "unknown";
}

bool isLimit(HttpRefusalReason Reason) {
  return Reason != HttpRefusalReason::Malformed &&
         Reason != HttpRefusalReason::UnknownCoding;
}

namespace {

/// What the server answers for each reason.
struct RefusalText {
  unsigned Status;
  std::string_view Title;
};

} // namespace

static RefusalText refusalText(HttpRefusalReason Reason) {
  switch (Reason) {
  case HttpRefusalReason::HeaderBytes:
    return {.Status = 431, .Title = "The header fields are too large."};
  case HttpRefusalReason::HeldBytes:
    return {.Status = 431,
            .Title = "A size line or the fields after the body are too large."};
  case HttpRefusalReason::BodyBytes:
    return {.Status = 413, .Title = "The body is too large."};
  case HttpRefusalReason::TransferTime:
    return {.Status = 408, .Title = "The request did not arrive in time."};
  case HttpRefusalReason::ProcessBytes:
    return {.Status = 503, .Title = "The host has no memory for the request."};
  case HttpRefusalReason::UnknownCoding:
    return {.Status = 501, .Title = "The transfer coding is not known."};
  case HttpRefusalReason::Malformed:
  case HttpRefusalReason::UntakenAnswer:
    break;
  }
  return {.Status = 400, .Title = "The request is malformed HTTP."};
}

/// Returns a problem response of the server itself. \p Outcome is "not-run" for
/// a request that no handler has got.
static HttpResponse problem(unsigned Status, std::string_view Title,
                            std::string_view Outcome) {
  return {.Status = Status,
          .ContentType = "application/problem+json",
          .Body = R"({"type":"about:blank","title":")" + std::string(Title) +
                  R"(","status":)" + std::to_string(Status) +
                  R"(,"outcome":")" + std::string(Outcome) + "\"}"};
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
                     asio::steady_timer::time_point::max()),
        ReadTimer(this->Stream.get_executor()) {}

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
  void setResponsePlace(HeldBytes &Place) override {
    this->ResponsePlace = &Place;
  }
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
  using RequestParser = http::request_parser<http::string_body>;

  asio::awaitable<bool> readRequest();
  void applyHeaderLimit();
  /// Reads the first bytes of a request. Returns false if none came.
  asio::awaitable<bool> readFirstBytes();
  /// Lets the wait for a request end when it has lasted the idle timeout since
  /// \p Since. A timeout that is raised meanwhile holds too.
  void setIdleTimeout(TimePoint Since);
  /// Ends the wait for a request, but drops no byte: readFirstBytes() still
  /// gets what was read and reads what has arrived.
  void endIdle();
  /// Parses what has arrived and reads on until the request is whole. \returns
  /// why it must be refused. Without a reason and with a parser that is not
  /// done, the connection is lost.
  asio::awaitable<std::optional<HttpRefusalReason>>
  readRest(RequestParser &Parser);
  /// Reads more bytes. \returns as readRest().
  asio::awaitable<std::optional<HttpRefusalReason>>
  readMore(RequestParser &Parser, beast::error_code &Error);
  /// Counts the bytes of the request in the budget. Returns false if it must be
  /// refused.
  bool chargeRequest(const RequestParser &Parser, std::size_t ParsedBytes);
  /// Ends the reading of the request, which is then refused.
  void interruptReading(std::uint64_t Number, HttpRefusalReason Reason);
  void startReading();
  /// Lets the reading of the request end after \p Timeout from its first byte.
  void setReadingTimeout(Duration Timeout);

  /// Writes \p Message and records what the caller takes of it.
  asio::awaitable<void> write(http::response<http::string_body> &Message);
  /// Lets cutOffResponse() follow if the response is given up.
  void watchResponse();
  void cutOffResponse(std::uint64_t Number);

  asio::awaitable<void> refuse(HttpRefusalReason Reason);
  asio::awaitable<void> respondOnce(HttpResponse Response);
  /// Ends the sending direction and discards what arrives, so that the caller
  /// can read the response.
  asio::awaitable<void> discardRest();
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
  /// The limit for the head of the current request.
  std::size_t HeaderBytes = 0;
  /// Never larger than the limit of a head.
  beast::flat_buffer Buffer;
  HttpRequest CurrentRequest;
  /// The place of the current request in the budget, from its first byte until
  /// it has been answered.
  std::optional<HeldBytes> Held;
  /// Its whole length, as far as the head tells it, has a place in the budget.
  bool IsAdmitted = false;
  /// Counts requests, so that a late interruption meets no other one.
  std::uint64_t RequestNumber = 0;
  /// True while the rest of a request is awaited.
  bool IsReading = false;
  /// While a request is read: it has a whole head, and its first byte came at
  /// this time.
  bool IsHeadRead = false;
  TimePoint ReadingSince;
  std::optional<HttpRefusalReason> Interruption;
  bool KeepAlive = true;
  /// True while waiting for the first byte of a request.
  bool Idle = false;
  /// No request has been read yet.
  bool IsFresh = true;
  bool Disconnected = false;
  /// True if the last byte of the response was written. A connection with an
  /// incomplete response is closed, never reused.
  bool ResponseComplete = false;
  bool ResponseStarted = false;
  /// The place of the current response in the budget; null if it has none.
  HeldBytes *ResponsePlace = nullptr;
  std::function<void()> OnDisconnect;
  /// monitorCaller() has been started and has not returned.
  bool IsMonitoring = false;
  bool IsMonitorStopped = false;
  /// Never expires; cancelled when monitorCaller() returns.
  asio::steady_timer MonitorEnded;
  /// Runs while a request, or the rest of one, is awaited. The timeout of the
  /// stream would close it, with a request that has arrived or before one that
  /// has begun can be answered.
  asio::steady_timer ReadTimer;
};

asio::awaitable<void> Connection::serve() {
  while (co_await this->readRequest()) {
    co_await this->handle();
    freeStorage(this->CurrentRequest.Body);
    this->Held.reset();
    if (!this->ResponseComplete || !this->KeepAlive || this->Disconnected)
      break;
  }
  beast::error_code Ignored;
  this->Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  this->Stream.close();
}

void Connection::closeIfIdle() {
  if (!this->IsFresh)
    return this->endIdle();
  auto Timer = std::make_shared<asio::steady_timer>(this->Stream.get_executor(),
                                                    FirstByteTime);
  Timer->async_wait(
      [Self = this->shared_from_this(),
       Timer](const boost::system::error_code &) { Self->endIdle(); });
}

void Connection::setIdleTimeout(TimePoint Since) {
  this->ReadTimer.expires_at(
      Since + (this->Stopping ? FirstByteTime : this->Options.IdleTimeout));
  this->ReadTimer.async_wait([Weak = this->weak_from_this(),
                              Number = this->RequestNumber,
                              Since](const boost::system::error_code &Error) {
    auto Self = Weak.lock();
    if (!Self || Error || Number != Self->RequestNumber)
      return;
    if (Self->Stopping || monotonicNow() >= Since + Self->Options.IdleTimeout)
      return Self->endIdle();
    Self->setIdleTimeout(Since);
  });
}

void Connection::endIdle() {
  // A close would drop bytes whose read has completed but has not been handled.
  beast::error_code Ignored;
  if (this->Idle)
    this->Stream.socket().cancel(Ignored);
}

std::string Connection::callerIp() const {
  beast::error_code Error;
  tcp::endpoint Caller = this->Stream.socket().remote_endpoint(Error);
  return Error ? std::string() : Caller.address().to_string();
}

template <class Fields> static HttpHeaders toHeaders(const Fields &Input) {
  HttpHeaders Headers;
  for (const auto &Field : Input)
    Headers.add(Field.name_string(), Field.value());
  return Headers;
}

/// Returns why a request with this head is refused before its body is read.
static std::optional<HttpRefusalReason>
judgeHead(const http::request<http::string_body> &Message) {
  // Most requests have no coding, and their fields need no copy.
  if (Message.count(http::field::transfer_encoding) == 0)
    return std::nullopt;
  HttpVersion Version =
      Message.version() < 11 ? HttpVersion::Http10 : HttpVersion::Http11;
  auto Fault = findRequestFault(Version, toHeaders(Message.base()));
  if (!Fault)
    return std::nullopt;
  return Fault->Kind == MessageFaultKind::UnknownCoding
             ? HttpRefusalReason::UnknownCoding
             : HttpRefusalReason::Malformed;
}

/// Reads one request. Returns false if the connection must be closed.
asio::awaitable<bool> Connection::readRequest() {
  // A request that can't be read is answered too.
  this->ResponseComplete = false;
  this->ResponseStarted = false;
  this->ResponsePlace = nullptr;
  ++this->RequestNumber;
  this->IsAdmitted = false;
  this->applyHeaderLimit();
  if (this->Buffer.size() == 0 && !co_await this->readFirstBytes())
    co_return false;
  this->IsFresh = false;
  // The limits may have changed while the connection waited.
  this->applyHeaderLimit();
  RequestParser Parser;
  Parser.header_limit(static_cast<std::uint32_t>(this->HeaderBytes));
  Parser.body_limit(this->Options.BodyBytes);
  auto Reason = co_await this->readRest(Parser);
  this->IsReading = false;
  this->ReadTimer.cancel();
  if (!Reason && Parser.is_done() && this->Held &&
      !this->Held->change(HeldWork::ArrivedRequest))
    Reason = HttpRefusalReason::ProcessBytes;
  if (Reason) {
    // What has arrived makes room before the caller has read the answer.
    freeStorage(Parser.get().body());
    this->Held.reset();
    co_await this->refuse(*Reason);
    co_return false;
  }
  if (!Parser.is_done())
    co_return false;
  auto Message = Parser.release();
  this->KeepAlive = Message.keep_alive();
  this->CurrentRequest =
      HttpRequest{.Method = std::string(Message.method_string()),
                  .Target = std::string(Message.target()),
                  .Headers = toHeaders(Message.base()),
                  .Body = std::move(Message.body())};
  co_return true;
}

void Connection::applyHeaderLimit() {
  this->HeaderBytes = this->Options.HeaderBytes;
  // Bytes of a pipelined request may have come under another limit.
  this->Buffer.max_size(
      std::max({this->HeaderBytes, MinBufferBytes, this->Buffer.size()}));
}

asio::awaitable<bool> Connection::readFirstBytes() {
  // The response before may have promised to keep the connection open, as it
  // began before the stop. A request that is read now might not be finished.
  if (this->Stopping && !this->IsFresh)
    co_return false;
  this->Stream.expires_never();
  this->Idle = true;
  this->setIdleTimeout(monotonicNow());
  auto [Error, Count] = co_await this->Stream.async_read_some(
      this->Buffer.prepare(this->Buffer.max_size()), UseTuple);
  this->Idle = false;
  this->ReadTimer.cancel();
  // The wait has ended; a request may have arrived before it did.
  if (Error == asio::error::operation_aborted)
    Count = this->Stream.socket().read_some(
        this->Buffer.prepare(this->Buffer.max_size()), Error);
  this->Buffer.commit(Count);
  co_return Count > 0;
}

/// Returns why a request whose reading ended by \p Error is refused; none if
/// the connection was lost.
static std::optional<HttpRefusalReason>
findRefusal(const beast::error_code &Error) {
  if (Error == http::error::header_limit)
    return HttpRefusalReason::HeaderBytes;
  if (Error == http::error::buffer_overflow)
    return HttpRefusalReason::HeldBytes;
  if (Error == http::error::body_limit)
    return HttpRefusalReason::BodyBytes;
  if (Error.category() ==
      http::make_error_code(http::error::bad_method).category())
    return HttpRefusalReason::Malformed;
  return std::nullopt;
}

asio::awaitable<std::optional<HttpRefusalReason>>
Connection::readRest(RequestParser &Parser) {
  std::size_t ParsedBytes = 0;
  while (!Parser.is_done()) {
    beast::error_code Error;
    // The head is parsed by itself, as its body has a place only afterwards.
    const bool IsHead = !Parser.is_header_done();
    Parser.eager(!IsHead);
    std::size_t Used = Parser.put(this->Buffer.data(), Error);
    this->Buffer.consume(Used);
    ParsedBytes += Used;
    if (Error && Error != http::error::need_more)
      co_return findRefusal(Error);
    // The limit of the parser holds only for what it has not parsed.
    if (IsHead && ParsedBytes > this->HeaderBytes)
      co_return HttpRefusalReason::HeaderBytes;
    if (IsHead && Parser.is_header_done())
      if (auto Reason = judgeHead(Parser.get()))
        co_return Reason;
    if (!this->chargeRequest(Parser, ParsedBytes))
      co_return HttpRefusalReason::ProcessBytes;
    if (Parser.is_done() || (!Error && this->Buffer.size() > 0))
      continue;
    std::size_t Wanted = Parser.is_header_done()
                             ? bytesBeforeNextParse(this->Buffer.size())
                             : this->Buffer.size() + 1;
    do {
      auto Reason = co_await this->readMore(Parser, Error);
      if (Reason || Error)
        co_return Reason;
    } while (this->Buffer.size() < Wanted && !Parser.is_done());
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<HttpRefusalReason>>
Connection::readMore(RequestParser &Parser, beast::error_code &Error) {
  if (!this->IsReading)
    this->startReading();
  if (Parser.is_header_done() != this->IsHeadRead) {
    this->IsHeadRead = true;
    this->setReadingTimeout(this->Options.TransferTimeout);
  }
  std::size_t Size = beast::read_size(this->Buffer, MaxReadBytes);
  if (Size == 0)
    co_return HttpRefusalReason::HeldBytes;
  auto [ReadError, Count] = co_await this->Stream.async_read_some(
      this->Buffer.prepare(Size), UseTuple);
  if (this->Interruption)
    co_return this->Interruption;
  this->Buffer.commit(Count);
  Error = ReadError;
  if (ReadError != asio::error::eof)
    co_return std::nullopt;
  Parser.put_eof(Error);
  co_return findRefusal(Error);
}

bool Connection::chargeRequest(const RequestParser &Parser,
                               std::size_t ParsedBytes) {
  SharedByteBudget *Budget = this->Options.Budget;
  if (!Budget)
    return true;
  std::size_t Bytes =
      ParsedBytes + (Parser.is_done() ? 0 : this->Buffer.size());
  std::size_t Expected = Bytes;
  if (Parser.is_header_done())
    Expected = std::max<std::size_t>(
        Bytes, ParsedBytes + Parser.content_length_remaining().value_or(0));
  if (!this->IsAdmitted && !this->Options.TakesWholeBudget &&
      !Budget->mayAdmitRequest(Expected))
    return false;
  this->IsAdmitted = Parser.is_header_done();
  if (!this->Held)
    this->Held.emplace(
        *Budget, HeldWork::UnreadRequest,
        [Weak = this->weak_from_this(), Executor = this->executor(),
         Number = this->RequestNumber] {
          asio::post(Executor, [Weak, Number] {
            if (auto Self = Weak.lock())
              Self->interruptReading(Number, HttpRefusalReason::ProcessBytes);
          });
        });
  return this->Held->resize(Bytes);
}

void Connection::interruptReading(std::uint64_t Number,
                                  HttpRefusalReason Reason) {
  if (!this->IsReading || Number != this->RequestNumber)
    return;
  this->Interruption = Reason;
  this->Stream.cancel();
}

void Connection::startReading() {
  this->IsReading = true;
  this->IsHeadRead = false;
  this->Interruption.reset();
  this->Stream.expires_never();
  this->ReadingSince = monotonicNow();
  this->setReadingTimeout(
      std::min(this->Options.HeadTimeout, this->Options.TransferTimeout));
}

void Connection::setReadingTimeout(Duration Timeout) {
  this->ReadTimer.expires_at(this->ReadingSince + Timeout);
  this->ReadTimer.async_wait(
      [Weak = this->weak_from_this(),
       Number = this->RequestNumber](const boost::system::error_code &Error) {
        auto Self = Weak.lock();
        if (Self && !Error && monotonicNow() >= Self->ReadTimer.expiry())
          Self->interruptReading(Number, HttpRefusalReason::TransferTime);
      });
}

asio::awaitable<void> Connection::refuse(HttpRefusalReason Reason) {
  RefusalText Text = refusalText(Reason);
  if (this->Options.OnRefused) {
    HttpRefusal Refusal{
        .Status = Text.Status, .Reason = Reason, .CallerIp = this->callerIp()};
    this->Options.OnRefused(Refusal);
  }
  HttpResponse Response = problem(Text.Status, Text.Title, "not-run");
  if (Text.Status == 503)
    Response.Headers.add("Retry-After", "1");
  co_await this->respondOnce(std::move(Response));
  if (this->ResponseComplete)
    co_await this->discardRest();
}

/// Responds and closes the connection afterwards.
asio::awaitable<void> Connection::respondOnce(HttpResponse Response) {
  this->KeepAlive = false;
  try {
    co_await this->respond(std::move(Response));
  } catch (const boost::system::system_error &) {
    // The caller disconnected; the response cannot be delivered.
    this->Disconnected = true;
  }
}

asio::awaitable<void> Connection::discardRest() {
  beast::error_code Ignored;
  this->Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  this->Buffer.clear();
  this->Stream.expires_after(DiscardTime);
  std::size_t Discarded = 0;
  while (Discarded < MaxDiscardedBytes) {
    auto [Error, Count] = co_await this->Stream.async_read_some(
        this->Buffer.prepare(this->Buffer.max_size()), UseTuple);
    if (Error)
      co_return;
    Discarded += Count;
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
      },
      [Self = this->shared_from_this()](const std::exception_ptr &Cause) {
        if (Cause)
          logTaskFailure("watch of a caller", "ended", Cause);
        Self->IsMonitoring = false;
        Self->MonitorEnded.cancel();
      });
  ++this->Active;
  try {
    co_await this->Handler(*this);
  } catch (const boost::system::system_error &) {
    // Writing to the caller failed; the connection is closed below.
    this->ResponseComplete = false;
  } catch (const std::exception &) {
    logTaskFailure("request", "ended", std::current_exception());
    this->ResponseComplete = false;
    if (this->ResponseStarted)
      this->Disconnected = true;
  }
  --this->Active;
  this->ResponsePlace = nullptr;
  this->OnDisconnect = nullptr;
  co_await this->stopMonitoring();
  if (!this->ResponseComplete && !this->ResponseStarted &&
      !this->Disconnected) {
    HttpResponse Failure =
        problem(500, "The request could not be handled.", "unknown");
    co_await this->respondOnce(std::move(Failure));
  }
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
  co_await this->write(Message);
  this->ResponseComplete = true;
}

asio::awaitable<void>
Connection::write(http::response<http::string_body> &Message) {
  http::response_serializer<http::string_body> Serializer(Message);
  if (this->ResponsePlace)
    this->watchResponse();
  while (!Serializer.is_done()) {
    if (this->ResponsePlace)
      this->ResponsePlace->expectProgress(this->Options.UntakenTimeout);
    co_await http::async_write_some(this->Stream, Serializer,
                                    asio::use_awaitable);
  }
  this->ResponsePlace = nullptr;
}

void Connection::watchResponse() {
  auto OnGivenUp = [Weak = this->weak_from_this(), Executor = this->executor(),
                    Number = this->RequestNumber] {
    asio::post(Executor, [Weak, Number] {
      if (auto Self = Weak.lock())
        Self->cutOffResponse(Number);
    });
  };
  if (!this->ResponsePlace->replaceCallback(std::move(OnGivenUp)))
    throw boost::system::system_error(asio::error::operation_aborted);
}

void Connection::cutOffResponse(std::uint64_t Number) {
  if (this->ResponsePlace == nullptr || Number != this->RequestNumber)
    return;
  if (this->Options.OnRefused) {
    HttpRefusal Refusal{.Status = 0,
                        .Reason = HttpRefusalReason::UntakenAnswer,
                        .CallerIp = this->callerIp()};
    this->Options.OnRefused(Refusal);
  }
  this->Stream.cancel();
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
  spawnLoop(this->Impl->Acceptor.get_executor(), "accepted callers",
            [Self = this->Impl] { return Self->acceptLoop(); });
}

void HttpServer::drain() { this->Impl->Draining = true; }

void HttpServer::setLimits(const HttpServerLimits &Limits) {
  HttpServerOptions &Options = this->Impl->Options;
  Options.HeaderBytes = Limits.HeaderBytes;
  Options.BodyBytes = Limits.BodyBytes;
  Options.HeadTimeout = Limits.HeadTimeout;
  Options.TransferTimeout = Limits.TransferTimeout;
  Options.UntakenTimeout = Limits.UntakenTimeout;
  Options.IdleTimeout = Limits.IdleTimeout;
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
