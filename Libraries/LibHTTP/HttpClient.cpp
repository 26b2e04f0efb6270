//===- LibHTTP/HttpClient.cpp - HTTP client with exact call outcomes ------===//
///
/// \file
/// One Beast coroutine per call, and a pool of idle connections by address. A
/// connection returns to the pool only after a complete response.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/Address.h>
#include <LibHTTP/ChunkFraming.h>
#include <LibHTTP/HttpClient.h>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <map>
#include <mutex>
#include <optional>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace carobhinge {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// Limit of idle connections per address.
static constexpr std::size_t MaxIdlePerAddress = 32;
/// An idle connection is discarded this long before the Keep-Alive timeout of
/// the endpoint, which would close it while a request is being written.
static constexpr auto IdleMargin = std::chrono::milliseconds(800);
static constexpr std::size_t ReadBufferBytes = 16 * 1024;
/// Limit of the bytes that are kept or discarded before they become part of a
/// body: the heads of all responses that one call reads, interim ones included;
/// the line of a chunk's size; the fields after the last chunk.
static constexpr std::uint32_t MaxResponseHeaderBytes = 32 * 1024;

class HttpCallControl::State {
public:
  /// Sets the connection that cancel() closes; null detaches it. Returns false
  /// if the call has already been cancelled.
  bool attach(beast::tcp_stream *Stream) {
    std::lock_guard Guard(this->Lock);
    this->ActiveStream = Stream;
    return !this->Cancelled;
  }

  void cancel(const std::shared_ptr<State> &Self) {
    std::lock_guard Guard(this->Lock);
    this->Cancelled = true;
    if (!this->ActiveStream)
      return;
    asio::post(this->ActiveStream->get_executor(), [Self] { Self->close(); });
  }

private:
  void close() {
    std::lock_guard Guard(this->Lock);
    if (this->ActiveStream)
      this->ActiveStream->close();
  }

  std::mutex Lock;
  bool Cancelled = false;
  /// Null while no connection is in use; dereferenced only under Lock.
  beast::tcp_stream *ActiveStream = nullptr;
};

std::string_view httpCallLimitName(HttpCallLimit Limit) {
  switch (Limit) {
  case HttpCallLimit::None:
    return "none";
  case HttpCallLimit::HeldBytes:
    return "held-bytes";
  case HttpCallLimit::BodyBytes:
    return "body-bytes";
  case HttpCallLimit::ProcessBytes:
    return "process-bytes";
  case HttpCallLimit::HeadTime:
    return "head-time";
  case HttpCallLimit::ChunkTime:
    return "chunk-time";
  case HttpCallLimit::CallTime:
    return "call-time";
  }
  return "unknown";
}

HttpCallControl::HttpCallControl() : Shared(std::make_shared<State>()) {}
HttpCallControl::~HttpCallControl() = default;
void HttpCallControl::cancel() { this->Shared->cancel(this->Shared); }

namespace {

struct IdleConnection {
  std::unique_ptr<beast::tcp_stream> Stream;
  TimePoint Expiry;
};

/// Forwards a response to a sink that runs on another executor.
class ExecutorSink : public HttpResponseSink {
public:
  ExecutorSink(HttpResponseSink &Sink, asio::any_io_executor SinkExecutor)
      : Sink(Sink), SinkExecutor(std::move(SinkExecutor)) {}

  asio::awaitable<void> head(const HttpResponseHead &Head) override {
    co_await asio::co_spawn(this->SinkExecutor, this->Sink.head(Head),
                            asio::use_awaitable);
  }
  asio::awaitable<void> chunk(std::string Data) override {
    co_await asio::co_spawn(this->SinkExecutor,
                            this->Sink.chunk(std::move(Data)),
                            asio::use_awaitable);
  }

private:
  HttpResponseSink &Sink;
  asio::any_io_executor SinkExecutor;
};

/// Runs a callback when the scope is left, also by an exception.
template <class Callback> class ScopeExit {
public:
  explicit ScopeExit(Callback Action) : Action(std::move(Action)) {}
  ~ScopeExit() { this->Action(); }
  ScopeExit(const ScopeExit &) = delete;
  ScopeExit &operator=(const ScopeExit &) = delete;

private:
  Callback Action;
};

} // namespace

class HttpClient::Implementation {
public:
  Implementation(asio::any_io_executor Executor, HttpClientOptions Options)
      : Executor(std::move(Executor)), Options(std::move(Options)) {}

  std::unique_ptr<beast::tcp_stream> acquireIdle(const std::string &Address);
  void releaseIdle(const std::string &Address,
                   std::unique_ptr<beast::tcp_stream> Stream,
                   std::optional<Duration> KeepAliveTimeout);
  void discardIdle(const std::string &Address);

  asio::any_io_executor Executor;
  const HttpClientOptions Options;

private:
  void removeExpired(TimePoint Now);

  std::mutex Lock;
  std::map<std::string, std::vector<IdleConnection>> Idle;
  TimePoint NextRemovalAt;
};

/// Closes the expired connections to all addresses, some of which may never be
/// called again.
void HttpClient::Implementation::removeExpired(TimePoint Now) {
  if (Now < this->NextRemovalAt)
    return;
  this->NextRemovalAt = Now + this->Options.MaxIdleTime;
  for (auto &[Address, Pool] : this->Idle)
    std::erase_if(
        Pool, [Now](const IdleConnection &Each) { return Each.Expiry <= Now; });
  std::erase_if(this->Idle,
                [](const auto &Entry) { return Entry.second.empty(); });
}

std::unique_ptr<beast::tcp_stream>
HttpClient::Implementation::acquireIdle(const std::string &Address) {
  std::lock_guard Guard(this->Lock);
  TimePoint Now = monotonicNow();
  this->removeExpired(Now);
  std::unique_ptr<beast::tcp_stream> Result;
  auto Found = this->Idle.find(Address);
  if (Found == this->Idle.end())
    return Result;
  std::vector<IdleConnection> &Pool = Found->second;
  std::erase_if(Pool,
                [&](const IdleConnection &Each) { return Each.Expiry <= Now; });
  if (!Pool.empty()) {
    Result = std::move(Pool.back().Stream);
    Pool.pop_back();
  }
  return Result;
}

void HttpClient::Implementation::releaseIdle(
    const std::string &Address, std::unique_ptr<beast::tcp_stream> Stream,
    std::optional<Duration> KeepAliveTimeout) {
  Duration IdleTime = this->Options.MaxIdleTime;
  if (KeepAliveTimeout)
    IdleTime = std::min<Duration>(IdleTime, *KeepAliveTimeout - IdleMargin);
  std::lock_guard Guard(this->Lock);
  std::vector<IdleConnection> &Pool = this->Idle[Address];
  if (IdleTime > Duration::zero() && Pool.size() < MaxIdlePerAddress)
    Pool.push_back(
        {.Stream = std::move(Stream), .Expiry = monotonicNow() + IdleTime});
}

void HttpClient::Implementation::discardIdle(const std::string &Address) {
  std::lock_guard Guard(this->Lock);
  this->Idle.erase(Address);
}

HttpClient::HttpClient(asio::any_io_executor Executor,
                       HttpClientOptions Options)
    : Impl(std::make_unique<Implementation>(std::move(Executor),
                                            std::move(Options))) {}
HttpClient::~HttpClient() = default;

/// Looks for received bytes without reading them. \returns no error if there
/// are any, would_block if the connection is open without any.
static beast::error_code peek(beast::tcp_stream &Stream) {
  beast::error_code Error;
  char Byte = 0;
  Stream.socket().non_blocking(true, Error);
  Stream.socket().receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                          Error);
  return Error;
}

/// Returns true if the peer has neither closed the idle connection nor sent
/// bytes on it.
static bool isStillOpen(beast::tcp_stream &Stream) {
  return peek(Stream) == asio::error::would_block;
}

static bool hasReceivedBytes(beast::tcp_stream &Stream) {
  return !peek(Stream);
}

static http::request<http::string_body> toBeast(HttpRequest Request,
                                                const std::string &Address) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.Method);
  Message.target(Request.Target);
  for (const HttpHeader &Field : Request.Headers.fields())
    Message.insert(Field.Name, Field.Value);
  if (Message.count(http::field::host) == 0)
    Message.set(http::field::host, Address);
  Message.body() = std::move(Request.Body);
  Message.prepare_payload();
  return Message;
}

template <class ResponseParser>
static HttpResponseHead responseHead(const ResponseParser &Parser) {
  HttpResponseHead Head{.Status = Parser.get().result_int(), .Headers = {}};
  for (const auto &Field : Parser.get())
    Head.Headers.add(Field.name_string(), Field.value());
  return Head;
}

namespace {

/// Result of reading a response.
struct ResponseReadResult {
  bool Complete = false;
  /// True if the connection may be reused.
  bool Reusable = false;
  /// The Keep-Alive timeout of the endpoint, if it sent one.
  std::optional<Duration> IdleTimeout;
  HttpCallLimit Limit = HttpCallLimit::None;
  std::optional<MessageFault> Fault;
  bool ConnectionRefused = false;
};

/// The times that a call has left, for each of its parts and for the whole.
class CallTimer {
public:
  CallTimer(beast::tcp_stream &Stream, std::optional<Duration> CallTimeout)
      : Stream(Stream) {
    if (CallTimeout)
      this->CallDeadline = monotonicNow() + *CallTimeout;
  }

  /// Gives the next operations \p PartTime, and no more than the call has
  /// left. Returns false if no time is left.
  bool expireAfter(Duration PartTime, HttpCallLimit PartLimit) {
    this->Limit = PartLimit;
    if (this->CallDeadline) {
      Duration CallTime = *this->CallDeadline - monotonicNow();
      if (CallTime < PartTime) {
        PartTime = CallTime;
        this->Limit = HttpCallLimit::CallTime;
      }
    }
    if (PartTime <= Duration::zero())
      return false;
    this->Stream.expires_after(PartTime);
    return true;
  }

  /// Returns the limit that ends a call whose operation failed by \p Error.
  [[nodiscard]] HttpCallLimit limitOf(const beast::error_code &Error) const {
    if (Error == beast::error::timeout)
      return this->Limit;
    if (Error == http::error::header_limit ||
        Error == http::error::buffer_overflow)
      return HttpCallLimit::HeldBytes;
    return HttpCallLimit::None;
  }
  /// Returns the limit of the last call of expireAfter().
  [[nodiscard]] HttpCallLimit limit() const { return this->Limit; }

private:
  beast::tcp_stream &Stream;
  std::optional<TimePoint> CallDeadline;
  HttpCallLimit Limit = HttpCallLimit::None;
};

/// Discards responses to other calls.
class DiscardingSink : public HttpResponseSink {
public:
  asio::awaitable<void> head(const HttpResponseHead &) override { co_return; }
  asio::awaitable<void> chunk(std::string) override { co_return; }
};

} // namespace

/// Parses N seconds from the header field "Keep-Alive: timeout=N".
static std::optional<Duration>
parseKeepAliveTimeout(const HttpResponseHead &Head) {
  std::string_view Value = Head.Headers.value("Keep-Alive");
  std::size_t At = Value.find("timeout=");
  if (At == std::string_view::npos)
    return std::nullopt;
  Value.remove_prefix(At + 8);
  unsigned Seconds = 0;
  auto [End, Error] =
      std::from_chars(Value.data(), Value.data() + Value.size(), Seconds);
  if (Error != std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

/// Reads until a part of the message has been parsed, whose bytes are added to
/// \p ParsedBytes. http::async_read_some() gives the parser each byte as it
/// arrives, and doesn't return between the fields of a head.
static asio::awaitable<beast::error_code>
readPart(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
         http::response_parser<http::buffer_body> &Parser,
         std::size_t &ParsedBytes) {
  for (;;) {
    if (Buffer.size() > 0) {
      beast::error_code Error;
      std::size_t Used = Parser.put(Buffer.data(), Error);
      Buffer.consume(Used);
      ParsedBytes += Used;
      if (Error != http::error::need_more)
        co_return Error;
      if (Used > 0)
        co_return beast::error_code();
    }
    std::size_t Wanted = bytesBeforeNextParse(Buffer.size());
    while (Buffer.size() < Wanted) {
      std::size_t Size = beast::read_size(Buffer, ReadBufferBytes);
      if (Size == 0)
        co_return http::error::buffer_overflow;
      auto [Error, Count] =
          co_await Stream.async_read_some(Buffer.prepare(Size), UseTuple);
      Buffer.commit(Count);
      if (Error == asio::error::eof && Parser.got_some())
        Parser.put_eof(Error);
      if (Error || Parser.is_done())
        co_return Error;
    }
  }
}

/// Reads a head, which takes its bytes from \p BytesLeft. The limit of the
/// parser holds only for what it has not parsed.
static asio::awaitable<beast::error_code>
readHead(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
         http::response_parser<http::buffer_body> &Parser,
         std::size_t &BytesLeft) {
  std::size_t ParsedBytes = 0;
  while (!Parser.is_header_done()) {
    beast::error_code Error =
        co_await readPart(Stream, Buffer, Parser, ParsedBytes);
    if (Error)
      co_return Error;
    if (ParsedBytes > BytesLeft)
      co_return http::error::header_limit;
  }
  BytesLeft -= ParsedBytes;
  co_return beast::error_code();
}

/// Returns the fault of bytes at which the parser ended by \p Error; nothing if
/// the connection, a limit or the caller ended the reading.
static std::optional<MessageFault>
findSyntaxFault(const beast::error_code &Error,
                const beast::flat_buffer &Unparsed) {
  bool IsOfParser = Error.category() ==
                    http::make_error_code(http::error::bad_version).category();
  if (!IsOfParser || Error == http::error::end_of_stream ||
      Error == http::error::partial_message ||
      Error == http::error::header_limit ||
      Error == http::error::buffer_overflow)
    return std::nullopt;
  std::string_view Bytes(static_cast<const char *>(Unparsed.data().data()),
                         Unparsed.size());
  return MessageFault{.Kind = MessageFaultKind::Syntax,
                      .Value = printableBytes(Bytes)};
}

static HttpVersion
versionOf(const http::response_parser<http::buffer_body> &Parser) {
  return Parser.get().version() < 11 ? HttpVersion::Http10
                                     : HttpVersion::Http11;
}

/// Reads the response to this call. Responses to other calls that precede it
/// are discarded, within the limits of time and bytes of its own head.
static asio::awaitable<ResponseReadResult>
readResponse(beast::tcp_stream &Stream, CallTimer &Timer,
             const HttpCallOptions &Options, const ResponseContext &Context,
             HttpResponseSink &Sink) {
  ResponseReadResult Result;
  DiscardingSink Discarded;
  beast::flat_buffer Buffer(MaxResponseHeaderBytes);
  const TimePoint HeadDeadline = monotonicNow() + Options.HeadTimeout;
  std::size_t HeadBytesLeft = MaxResponseHeaderBytes;
  bool OnlyOwnResponse = true;
  for (;;) {
    http::response_parser<http::buffer_body> Parser;
    Parser.header_limit(static_cast<std::uint32_t>(HeadBytesLeft));
    Parser.body_limit(boost::none);
    if (!Timer.expireAfter(HeadDeadline - monotonicNow(),
                           HttpCallLimit::HeadTime)) {
      Result.Limit = Timer.limit();
      co_return Result;
    }
    beast::error_code HeadError =
        co_await readHead(Stream, Buffer, Parser, HeadBytesLeft);
    if (HeadError) {
      Result.Limit = Timer.limitOf(HeadError);
      Result.Fault = findSyntaxFault(HeadError, Buffer);
      co_return Result;
    }
    HttpResponseHead Head = responseHead(Parser);
    // Nothing of a broken head is passed on, nor decides whose response it is.
    Result.Fault = findResponseFault(versionOf(Parser), Head);
    if (Result.Fault)
      co_return Result;
    bool IsInterim = Head.Status < 200;
    ResponseOwner Owner = ResponseOwner::ThisCall;
    if (!IsInterim && Options.FindOwner)
      Owner = Options.FindOwner(Head, Context);
    if (Owner == ResponseOwner::Unknown)
      co_return Result;
    bool IsOwnResponse = !IsInterim && Owner == ResponseOwner::ThisCall;
    OnlyOwnResponse = OnlyOwnResponse && (IsOwnResponse || IsInterim);
    HttpResponseSink &ReceivingSink = IsOwnResponse ? Sink : Discarded;
    co_await ReceivingSink.head(Head);
    std::array<char, ReadBufferBytes> Bytes;
    std::size_t BodyBytes = 0;
    while (!Parser.is_done()) {
      Parser.get().body().data = Bytes.data();
      Parser.get().body().size = Bytes.size();
      Parser.get().body().more = true;
      Duration HeadTime = HeadDeadline - monotonicNow();
      bool HasTime = IsOwnResponse || Options.ChunkTimeout < HeadTime
                         ? Timer.expireAfter(Options.ChunkTimeout,
                                             HttpCallLimit::ChunkTime)
                         : Timer.expireAfter(HeadTime, HttpCallLimit::HeadTime);
      if (!HasTime) {
        Result.Limit = Timer.limit();
        co_return Result;
      }
      beast::error_code Error =
          co_await readPart(Stream, Buffer, Parser, BodyBytes);
      std::size_t ReadBytes = Bytes.size() - Parser.get().body().size;
      if (ReadBytes > 0)
        co_await ReceivingSink.chunk(std::string(Bytes.data(), ReadBytes));
      if (Error && Error != http::error::need_buffer) {
        Result.Limit = Timer.limitOf(Error);
        Result.Fault = findSyntaxFault(Error, Buffer);
        co_return Result;
      }
    }
    if (!IsOwnResponse) {
      if (Parser.need_eof())
        co_return Result;
      continue;
    }
    // Without a length, only an orderly close marks the end of the response.
    Result.Complete = !Parser.need_eof() || Options.CompleteOnClose;
    Result.Reusable = Result.Complete && OnlyOwnResponse &&
                      !Parser.need_eof() && Parser.keep_alive() &&
                      Buffer.size() == 0;
    Result.IdleTimeout = parseKeepAliveTimeout(Head);
    co_return Result;
  }
}

/// Returns whether connections of \p Stream will come from \p LocalIp.
static bool bindTo(beast::tcp_stream &Stream, const std::string &LocalIp) {
  beast::error_code Error;
  tcp::endpoint Local(asio::ip::make_address(LocalIp, Error), 0);
  if (!Error)
    Stream.socket().open(Local.protocol(), Error);
  if (!Error)
    Stream.socket().bind(Local, Error);
  return !Error;
}

/// Empty if \p Address isn't one: hosts learn the names of others from each
/// other.
static std::optional<tcp::endpoint> readAddress(const std::string &Address) {
  try {
    return parseAddress(Address);
  } catch (const std::invalid_argument &) {
    return std::nullopt;
  }
}

/// Connects if needed, writes the request and reads the response, on the
/// connection's strand.
static asio::awaitable<HttpCallOutcome>
exchange(beast::tcp_stream &Stream, bool Connected, const std::string &LocalIp,
         const std::string &Address, HttpRequest Request,
         const HttpCallOptions &Options, HttpResponseSink &Sink,
         ResponseReadResult &ReadResult) {
  CallTimer Timer(Stream, Options.CallTimeout);
  if (!Connected) {
    std::optional<tcp::endpoint> Peer = readAddress(Address);
    if (!Peer || (!LocalIp.empty() && !bindTo(Stream, LocalIp)))
      co_return HttpCallOutcome::NotWritten;
    if (!Timer.expireAfter(Options.ConnectTimeout, HttpCallLimit::None))
      co_return HttpCallOutcome::NotWritten;
    auto [Error] = co_await Stream.async_connect(*Peer, UseTuple);
    ReadResult.ConnectionRefused = Error == asio::error::connection_refused;
    if (Error)
      co_return HttpCallOutcome::NotWritten;
    beast::error_code Ignored;
    Stream.socket().set_option(tcp::no_delay(true), Ignored);
  }
  if (Options.BeforeWrite && !Options.BeforeWrite())
    co_return HttpCallOutcome::NotWritten;
  auto Message = toBeast(std::move(Request), Address);
  if (!Timer.expireAfter(Options.ChunkTimeout, HttpCallLimit::ChunkTime))
    co_return HttpCallOutcome::NotWritten;
  auto [WriteError, Written] =
      co_await http::async_write(Stream, Message, UseTuple);
  if (WriteError)
    ReadResult.Limit = Timer.limitOf(WriteError);
  if (WriteError)
    co_return Written == 0 ? HttpCallOutcome::NotWritten
                           : HttpCallOutcome::Incomplete;
  ResponseContext ContextOfResponse{.IsReusedConnection = Connected,
                                    .IsEarly = hasReceivedBytes(Stream)};
  ReadResult =
      co_await readResponse(Stream, Timer, Options, ContextOfResponse, Sink);
  Stream.expires_never();
  co_return ReadResult.Complete ? HttpCallOutcome::Complete
                                : HttpCallOutcome::Incomplete;
}

asio::awaitable<HttpCallOutcome> HttpClient::perform(std::string Address,
                                                     HttpRequest Request,
                                                     HttpCallOptions Options,
                                                     HttpResponseSink &Sink,
                                                     HttpCallControl &Control) {
  std::unique_ptr<beast::tcp_stream> Stream;
  if (!Options.FreshConnection)
    Stream = this->Impl->acquireIdle(Address);
  if (Stream && !isStillOpen(*Stream))
    Stream.reset();
  bool Connected = Stream != nullptr;
  bool SingleThread = this->Impl->Options.SingleThread;
  if (!Connected && SingleThread)
    Stream = std::make_unique<beast::tcp_stream>(this->Impl->Executor);
  else if (!Connected)
    Stream = std::make_unique<beast::tcp_stream>(
        asio::make_strand(this->Impl->Executor));
  bool Attached = Control.Shared->attach(Stream.get());
  ScopeExit DetachOnExit([&Control] { Control.Shared->attach(nullptr); });
  if (!Attached)
    co_return HttpCallOutcome::NotWritten;
  ResponseReadResult ReadResult;
  HttpCallOutcome Outcome = HttpCallOutcome::NotWritten;
  if (SingleThread) {
    Outcome = co_await exchange(*Stream, Connected, this->Impl->Options.LocalIp,
                                Address, std::move(Request), Options, Sink,
                                ReadResult);
  } else {
    // Everything that uses the connection runs on its strand, so that neither
    // its timeouts nor cancel() race with the call. The sink runs on the
    // caller's executor.
    ExecutorSink CallerSink(Sink, co_await asio::this_coro::executor);
    Outcome = co_await asio::co_spawn(
        Stream->get_executor(),
        exchange(*Stream, Connected, this->Impl->Options.LocalIp, Address,
                 std::move(Request), Options, CallerSink, ReadResult),
        asio::use_awaitable);
  }
  Control.Shared->attach(nullptr);
  Control.Limit = ReadResult.Limit;
  Control.Fault = std::move(ReadResult.Fault);
  Control.ConnectionRefused = ReadResult.ConnectionRefused;
  // Other idle connections to this address may be stalled for the same reason,
  // so that the next calls open new ones.
  if (Outcome == HttpCallOutcome::Incomplete)
    this->Impl->discardIdle(Address);
  if (Outcome == HttpCallOutcome::Complete && ReadResult.Reusable)
    this->Impl->releaseIdle(Address, std::move(Stream), ReadResult.IdleTimeout);
  co_return Outcome;
}

namespace {

/// Thrown by CollectingSink to end a call.
struct LimitReached {
  HttpCallLimit Limit;
};

class CollectingSink : public HttpResponseSink {
public:
  /// \p Held may be null.
  CollectingSink(HttpFetchResult &Result, std::size_t MaxBytes, HeldBytes *Held)
      : Result(Result), MaxBytes(MaxBytes), Held(Held) {}

  asio::awaitable<void> head(const HttpResponseHead &Head) override {
    this->Result.Head = Head;
    co_return;
  }
  asio::awaitable<void> chunk(std::string Data) override {
    std::size_t Bytes = this->Result.Body.size() + Data.size();
    if (Bytes > this->MaxBytes)
      throw LimitReached{HttpCallLimit::BodyBytes};
    if (this->Held && !this->Held->resize(Bytes))
      throw LimitReached{HttpCallLimit::ProcessBytes};
    this->Result.Body += Data;
    co_return;
  }

private:
  HttpFetchResult &Result;
  std::size_t MaxBytes;
  HeldBytes *Held;
};

} // namespace

asio::awaitable<HttpFetchResult> HttpClient::fetch(std::string Address,
                                                   HttpRequest Request,
                                                   HttpCallOptions Options,
                                                   std::size_t MaxBytes) {
  if (!Options.CallTimeout)
    Options.CallTimeout =
        Options.ConnectTimeout + Options.HeadTimeout + Options.ChunkTimeout;
  HttpFetchResult Result;
  HttpCallControl Control;
  std::optional<HeldBytes> Held;
  if (SharedByteBudget *Budget = this->Impl->Options.Budget)
    Held.emplace(*Budget, HeldWork::RepeatableAnswer,
                 [Shared = Control.Shared] { Shared->cancel(Shared); });
  CollectingSink Sink(Result, MaxBytes, Held ? &*Held : nullptr);
  try {
    Result.Outcome =
        co_await this->perform(std::move(Address), std::move(Request),
                               std::move(Options), Sink, Control);
    Result.Limit = Control.limit();
    Result.Fault = Control.fault();
    Result.ConnectionRefused = Control.isConnectionRefused();
    // A call that was given up ended by its cancellation.
    if (Result.Outcome == HttpCallOutcome::Incomplete && Held &&
        !Held->resize(Result.Body.size()))
      Result.Limit = HttpCallLimit::ProcessBytes;
  } catch (const LimitReached &Reached) {
    Result.Outcome = HttpCallOutcome::Incomplete;
    Result.Limit = Reached.Limit;
  }
  co_return Result;
}

} // namespace carobhinge
