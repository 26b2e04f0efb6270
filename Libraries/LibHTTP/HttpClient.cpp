//===- LibHTTP/HttpClient.cpp - Calls to endpoints and operators' hosts ---===//
///
/// \file
/// One coroutine per call over Beast, and a pool of idle connections by
/// address. A connection goes back to the pool only after a whole answer.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/Address.h>
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
/// Idle connections kept for one address.
static constexpr std::size_t MaxIdlePerAddress = 32;
/// An idle connection is given up this long before the endpoint closes it.
static constexpr auto IdleMargin = std::chrono::milliseconds(800);
static constexpr std::size_t ReadBufferBytes = 16 * 1024;
static constexpr std::uint32_t AnswerHeaderBytes = 32 * 1024;

class HttpCallControl::State {
public:
  /// Lets cancel() reach the connection in use. Returns false if the call was
  /// cancelled before.
  bool attach(beast::tcp_stream *Stream) {
    std::lock_guard Guard(this->Lock);
    this->InUse = Stream;
    return !this->Cancelled;
  }

  void cancel(const std::shared_ptr<State> &Self) {
    std::lock_guard Guard(this->Lock);
    this->Cancelled = true;
    if (!this->InUse)
      return;
    asio::post(this->InUse->get_executor(), [Self] { Self->close(); });
  }

private:
  void close() {
    std::lock_guard Guard(this->Lock);
    if (this->InUse)
      this->InUse->close();
  }

  std::mutex Lock;
  bool Cancelled = false;
  /// Null while no connection is in use; only dereferenced under Lock.
  beast::tcp_stream *InUse = nullptr;
};

HttpCallControl::HttpCallControl() : Shared(std::make_shared<State>()) {}
HttpCallControl::~HttpCallControl() = default;
void HttpCallControl::cancel() { this->Shared->cancel(this->Shared); }

namespace {

struct IdleConnection {
  std::unique_ptr<beast::tcp_stream> Stream;
  TimePoint Until;
};

/// Passes an answer on to a sink that belongs to another executor.
class HomeSink : public HttpAnswerSink {
public:
  HomeSink(HttpAnswerSink &Sink, asio::any_io_executor Home)
      : Sink(Sink), Home(std::move(Home)) {}

  asio::awaitable<void> head(const HttpResponseHead &Head) override {
    co_await asio::co_spawn(this->Home, this->Sink.head(Head),
                            asio::use_awaitable);
  }
  asio::awaitable<void> chunk(std::string Data) override {
    co_await asio::co_spawn(this->Home, this->Sink.chunk(std::move(Data)),
                            asio::use_awaitable);
  }

private:
  HttpAnswerSink &Sink;
  asio::any_io_executor Home;
};

/// Detaches the connection from the control on every way out of a call.
template <class Detach> class OnExit {
public:
  explicit OnExit(Detach Action) : Action(std::move(Action)) {}
  ~OnExit() { this->Action(); }
  OnExit(const OnExit &) = delete;
  OnExit &operator=(const OnExit &) = delete;

private:
  Detach Action;
};

} // namespace

class HttpClient::Implementation {
public:
  Implementation(asio::any_io_executor Executor, HttpClientOptions Options)
      : Executor(std::move(Executor)), Options(Options) {}

  std::unique_ptr<beast::tcp_stream> takeIdle(const std::string &Address);
  void putIdle(const std::string &Address,
               std::unique_ptr<beast::tcp_stream> Stream,
               std::optional<Duration> Announced);
  void dropIdle(const std::string &Address);

  asio::any_io_executor Executor;
  const HttpClientOptions Options;

private:
  std::mutex Lock;
  std::map<std::string, std::vector<IdleConnection>> Idle;
};

std::unique_ptr<beast::tcp_stream>
HttpClient::Implementation::takeIdle(const std::string &Address) {
  std::lock_guard Guard(this->Lock);
  std::vector<IdleConnection> &Pool = this->Idle[Address];
  std::unique_ptr<beast::tcp_stream> Result;
  TimePoint Now = monotonicNow();
  std::erase_if(Pool,
                [&](const IdleConnection &Each) { return Each.Until <= Now; });
  if (!Pool.empty()) {
    Result = std::move(Pool.back().Stream);
    Pool.pop_back();
  }
  return Result;
}

void HttpClient::Implementation::putIdle(
    const std::string &Address, std::unique_ptr<beast::tcp_stream> Stream,
    std::optional<Duration> Announced) {
  Duration Age = this->Options.IdleAge;
  if (Announced)
    Age = std::min<Duration>(Age, *Announced - IdleMargin);
  std::lock_guard Guard(this->Lock);
  std::vector<IdleConnection> &Pool = this->Idle[Address];
  if (Age > Duration::zero() && Pool.size() < MaxIdlePerAddress)
    Pool.push_back(
        {.Stream = std::move(Stream), .Until = monotonicNow() + Age});
}

void HttpClient::Implementation::dropIdle(const std::string &Address) {
  std::lock_guard Guard(this->Lock);
  this->Idle.erase(Address);
}

HttpClient::HttpClient(asio::any_io_executor Executor,
                       HttpClientOptions Options)
    : Impl(std::make_unique<Implementation>(std::move(Executor), Options)) {}
HttpClient::~HttpClient() = default;

/// True if the other end has not closed an idle connection meanwhile.
static bool stillOpen(beast::tcp_stream &Stream) {
  beast::error_code Error;
  char Byte = 0;
  Stream.socket().non_blocking(true, Error);
  Stream.socket().receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                          Error);
  return Error == asio::error::would_block;
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

template <class Parser> static HttpResponseHead headOf(const Parser &From) {
  HttpResponseHead Head{.Status = From.get().result_int(), .Headers = {}};
  for (const auto &Field : From.get())
    Head.Headers.add(Field.name_string(), Field.value());
  return Head;
}

namespace {

/// How the reading of an answer went.
struct ReadAnswer {
  bool Whole = false;
  /// Whether the connection may be used again.
  bool Reusable = false;
  /// How long the endpoint keeps it, if it said so.
  std::optional<Duration> KeptFor;
};

/// For answers to other calls.
class DroppingSink : public HttpAnswerSink {
public:
  asio::awaitable<void> head(const HttpResponseHead &) override { co_return; }
  asio::awaitable<void> chunk(std::string) override { co_return; }
};

} // namespace

/// The seconds in "Keep-Alive: timeout=N", if they are there.
static std::optional<Duration> announcedIdleTime(const HttpResponseHead &Head) {
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

/// Reads the answer of this call to its end; answers of others before it are
/// dropped.
static asio::awaitable<ReadAnswer> readAnswer(beast::tcp_stream &Stream,
                                              const HttpCallOptions &Options,
                                              HttpAnswerSink &Sink) {
  ReadAnswer Result;
  DroppingSink Dropped;
  beast::flat_buffer Buffer;
  bool Clean = true;
  for (;;) {
    http::response_parser<http::buffer_body> Parser;
    Parser.header_limit(AnswerHeaderBytes);
    Parser.body_limit(boost::none);
    Stream.expires_after(Options.HeadTimeout);
    auto [HeadError, HeadBytes] =
        co_await http::async_read_header(Stream, Buffer, Parser, UseTuple);
    if (HeadError)
      co_return Result;
    HttpResponseHead Head = headOf(Parser);
    bool Interim = Head.Status < 200;
    bool Ours = !Interim && (!Options.Belongs || Options.Belongs(Head));
    Clean = Clean && (Ours || Interim);
    HttpAnswerSink &Receiver = Ours ? Sink : Dropped;
    co_await Receiver.head(Head);
    std::array<char, ReadBufferBytes> Bytes;
    while (!Parser.is_done()) {
      Parser.get().body().data = Bytes.data();
      Parser.get().body().size = Bytes.size();
      Parser.get().body().more = true;
      Stream.expires_after(Options.ChunkTimeout);
      auto [Error, Count] =
          co_await http::async_read_some(Stream, Buffer, Parser, UseTuple);
      std::size_t Taken = Bytes.size() - Parser.get().body().size;
      if (Taken > 0)
        co_await Receiver.chunk(std::string(Bytes.data(), Taken));
      if (Error && Error != http::error::need_buffer)
        co_return Result;
    }
    if (!Ours) {
      if (Parser.need_eof())
        co_return Result;
      continue;
    }
    // Without a length only an orderly close shows that it is whole.
    Result.Whole = !Parser.need_eof() || Options.WholeOnClose;
    Result.Reusable = Result.Whole && Clean && !Parser.need_eof() &&
                      Parser.keep_alive() && Buffer.size() == 0;
    Result.KeptFor = announcedIdleTime(Head);
    co_return Result;
  }
}

/// What one call does on its connection's strand.
static asio::awaitable<HttpCallEnd>
exchange(beast::tcp_stream &Stream, bool Connected, const std::string &Address,
         HttpRequest Request, const HttpCallOptions &Options,
         HttpAnswerSink &Sink, ReadAnswer &Read) {
  if (!Connected) {
    Stream.expires_after(Options.ConnectTimeout);
    auto [Error] =
        co_await Stream.async_connect(parseAddress(Address), UseTuple);
    if (Error)
      co_return HttpCallEnd::NotWritten;
    beast::error_code Ignored;
    Stream.socket().set_option(tcp::no_delay(true), Ignored);
  }
  if (Options.BeforeWrite && !Options.BeforeWrite())
    co_return HttpCallEnd::NotWritten;
  auto Message = toBeast(std::move(Request), Address);
  Stream.expires_after(Options.ChunkTimeout);
  auto [WriteError, Written] =
      co_await http::async_write(Stream, Message, UseTuple);
  if (WriteError)
    co_return Written == 0 ? HttpCallEnd::NotWritten : HttpCallEnd::BrokenOff;
  Read = co_await readAnswer(Stream, Options, Sink);
  Stream.expires_never();
  co_return Read.Whole ? HttpCallEnd::Complete : HttpCallEnd::BrokenOff;
}

asio::awaitable<HttpCallEnd> HttpClient::perform(std::string Address,
                                                 HttpRequest Request,
                                                 HttpCallOptions Options,
                                                 HttpAnswerSink &Sink,
                                                 HttpCallControl &Control) {
  std::unique_ptr<beast::tcp_stream> Stream;
  if (!Options.FreshConnection)
    Stream = this->Impl->takeIdle(Address);
  if (Stream && !stillOpen(*Stream))
    Stream.reset();
  bool Connected = Stream != nullptr;
  bool SingleThread = this->Impl->Options.SingleThread;
  if (!Connected && SingleThread)
    Stream = std::make_unique<beast::tcp_stream>(this->Impl->Executor);
  else if (!Connected)
    Stream = std::make_unique<beast::tcp_stream>(
        asio::make_strand(this->Impl->Executor));
  bool Attached = Control.Shared->attach(Stream.get());
  OnExit Detach([&Control] { Control.Shared->attach(nullptr); });
  if (!Attached)
    co_return HttpCallEnd::NotWritten;
  ReadAnswer Read;
  HttpCallEnd End = HttpCallEnd::NotWritten;
  if (SingleThread) {
    End = co_await exchange(*Stream, Connected, Address, std::move(Request),
                            Options, Sink, Read);
  } else {
    // The connection's strand runs all that touches it, so that neither its
    // timeouts nor cancel() race with the call. The sink runs at home.
    HomeSink AtHome(Sink, co_await asio::this_coro::executor);
    End = co_await asio::co_spawn(Stream->get_executor(),
                                  exchange(*Stream, Connected, Address,
                                           std::move(Request), Options, AtHome,
                                           Read),
                                  asio::use_awaitable);
  }
  Control.Shared->attach(nullptr);
  // Other idle connections to this address may be silent for the same reason;
  // new ones are made instead.
  if (End == HttpCallEnd::BrokenOff)
    this->Impl->dropIdle(Address);
  if (End == HttpCallEnd::Complete && Read.Reusable)
    this->Impl->putIdle(Address, std::move(Stream), Read.KeptFor);
  co_return End;
}

namespace {

/// Thrown by the collecting sink to end a call whose answer is too long.
struct AnswerTooLong {};

class CollectingSink : public HttpAnswerSink {
public:
  CollectingSink(HttpAnswer &Answer, std::size_t MostBytes)
      : Answer(Answer), MostBytes(MostBytes) {}

  asio::awaitable<void> head(const HttpResponseHead &Head) override {
    this->Answer.Head = Head;
    co_return;
  }
  asio::awaitable<void> chunk(std::string Data) override {
    if (this->Answer.Body.size() + Data.size() > this->MostBytes)
      throw AnswerTooLong{};
    this->Answer.Body += Data;
    co_return;
  }

private:
  HttpAnswer &Answer;
  std::size_t MostBytes;
};

} // namespace

asio::awaitable<HttpAnswer> HttpClient::fetch(std::string Address,
                                              HttpRequest Request,
                                              HttpCallOptions Options,
                                              std::size_t MostBytes) {
  HttpAnswer Answer;
  CollectingSink Sink(Answer, MostBytes);
  HttpCallControl Control;
  try {
    Answer.End = co_await this->perform(std::move(Address), std::move(Request),
                                        std::move(Options), Sink, Control);
  } catch (const AnswerTooLong &) {
    Answer.End = HttpCallEnd::BrokenOff;
  }
  co_return Answer;
}

} // namespace carobhinge
