//===- LibWire/WireLink.cpp - Client connection to one peer host ----------===//
///
/// \file
/// The reconnecting coroutine and the calls made over its session. Session
/// state is accessed only on the link's strand; replies reach the calling
/// coroutine through a thread-safe channel.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/Address.h>
#include <LibTelemetry/Supervision.h>
#include <LibWire/WireLink.h>
#include <LibWire/WireSession.h>

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <mutex>
#include <random>

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace carobhinge {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// Replies of one call that are queued for its reader. The stream's
/// flow-control window limits their bytes.
static constexpr std::size_t MaxQueuedReplies = 64 * 1024;

using ReplyChannel = asio::experimental::concurrent_channel<void(
    boost::system::error_code, std::string)>;

namespace {

class Call : public WireCall, public std::enable_shared_from_this<Call> {
public:
  explicit Call(const asio::any_io_executor &Executor)
      : Executor(Executor), Replies(Executor, MaxQueuedReplies) {}

  asio::awaitable<std::optional<std::string>> next(Duration Timeout) override;
  [[nodiscard]] WireCallOutcome outcome() const override {
    return this->Outcome;
  }
  void cancel() override;

  /// attach() and finish() run on the link's strand.
  void attach(std::shared_ptr<WireSession> Session,
              std::shared_ptr<WireStreamState> Stream);
  void finish(WireCallOutcome Outcome);

private:
  void reportConsumed(std::size_t Bytes);

  asio::any_io_executor Executor;
  ReplyChannel Replies;
  std::atomic<WireCallOutcome> Outcome = WireCallOutcome::Lost;
  std::atomic<bool> Finished = false;
  /// Set on the link's strand before any reply; null if the call was not sent.
  std::shared_ptr<WireSession> Session;
  std::shared_ptr<WireStreamState> Stream;
};

asio::awaitable<std::optional<std::string>> Call::next(Duration Timeout) {
  using namespace asio::experimental::awaitable_operators;
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(Timeout);
  auto Result = co_await (this->Replies.async_receive(UseTuple) ||
                          Timer.async_wait(UseTuple));
  if (Result.index() == 1) {
    this->Outcome = WireCallOutcome::Lost;
    this->cancel();
    co_return std::nullopt;
  }
  auto [Error, Message] = std::get<0>(std::move(Result));
  if (Error)
    co_return std::nullopt;
  this->reportConsumed(Message.size());
  co_return std::move(Message);
}

void Call::reportConsumed(std::size_t Bytes) {
  asio::post(this->Executor, [Self = this->shared_from_this(), Bytes] {
    if (Self->Session)
      Self->Session->consume(Self->Stream->Id, Bytes + 4);
  });
}

void Call::cancel() {
  asio::post(this->Executor, [Self = this->shared_from_this()] {
    if (Self->Session && !Self->Finished)
      Self->Session->resetStream(*Self->Stream, NGHTTP2_CANCEL);
  });
}

void Call::attach(std::shared_ptr<WireSession> Session,
                  std::shared_ptr<WireStreamState> Stream) {
  this->Session = std::move(Session);
  this->Stream = std::move(Stream);
  this->Stream->OnMessage =
      [Self = this->shared_from_this()](std::string Message) {
        Self->Replies.try_send(boost::system::error_code(), std::move(Message));
      };
  this->Stream->OnClose =
      [Self = this->shared_from_this()](std::uint32_t ErrorCode) {
        auto Status = Self->Stream->Headers.find(":status");
        bool Refused =
            Status != Self->Stream->Headers.end() && Status->second != "200";
        if (Refused || ErrorCode == NGHTTP2_REFUSED_STREAM)
          Self->finish(WireCallOutcome::NotSent);
        else
          Self->finish(ErrorCode == NGHTTP2_NO_ERROR ? WireCallOutcome::Complete
                                                     : WireCallOutcome::Lost);
        Self->Stream->OnMessage = nullptr;
      };
}

void Call::finish(WireCallOutcome Outcome) {
  if (this->Finished.exchange(true))
    return;
  this->Outcome = Outcome;
  // The reader receives the replies already in the channel before this error.
  this->Replies.try_send(asio::error::eof, std::string());
}

} // namespace

class WireLink::Implementation
    : public std::enable_shared_from_this<WireLink::Implementation> {
public:
  Implementation(const asio::any_io_executor &Executor, std::string Address,
                 WireOptions Options, std::uint64_t Seed)
      : Strand(asio::make_strand(Executor)), Address(std::move(Address)),
        Options(std::move(Options)), Random(Seed), Pause(this->Strand) {}

  asio::awaitable<void> keepConnected();
  void stop();
  void startCall(const std::shared_ptr<Call> &NewCall,
                 const std::string &Method, const std::string &Message);
  void setError(std::string Text);

  asio::any_io_executor Strand;
  const std::string Address;
  const WireOptions Options;
  std::atomic<bool> Connected = false;
  std::atomic<bool> Stopping = false;
  mutable std::mutex ErrorLock;
  std::string LastError;

private:
  asio::awaitable<bool> connect(tcp::socket &Socket);
  Duration reconnectPause(unsigned Failures);

  std::mt19937_64 Random;
  asio::steady_timer Pause;
  std::shared_ptr<WireSession> Session;
};

void WireLink::Implementation::setError(std::string Text) {
  std::lock_guard Guard(this->ErrorLock);
  this->LastError = std::move(Text);
}

asio::awaitable<bool> WireLink::Implementation::connect(tcp::socket &Socket) {
  using namespace asio::experimental::awaitable_operators;
  // Hosts learn the names of others from each other.
  tcp::endpoint Endpoint;
  try {
    Endpoint = parseAddress(this->Address);
  } catch (const std::invalid_argument &Failure) {
    this->setError(Failure.what());
    co_return false;
  }
  asio::steady_timer Timer(this->Strand);
  Timer.expires_after(this->Options.ConnectTimeout);
  auto Result = co_await (Socket.async_connect(Endpoint, UseTuple) ||
                          Timer.async_wait(UseTuple));
  if (Result.index() == 1) {
    this->setError("no connection within the timeout");
    co_return false;
  }
  auto [Error] = std::get<0>(Result);
  if (Error) {
    this->setError(Error.message());
    co_return false;
  }
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  co_return true;
}

/// Returns an exponential back-off with full jitter, so that many hosts do not
/// reconnect to a restarted host at the same moment.
Duration WireLink::Implementation::reconnectPause(unsigned Failures) {
  Duration MaxPause = this->Options.MinReconnectPause;
  for (unsigned I = 0;
       I < Failures && MaxPause < this->Options.MaxReconnectPause; ++I)
    MaxPause *= 2;
  MaxPause = std::min(MaxPause, this->Options.MaxReconnectPause);
  std::uniform_int_distribution<Duration::rep> Distribution(
      this->Options.MinReconnectPause.count() / 2, MaxPause.count());
  return Duration(Distribution(this->Random));
}

asio::awaitable<void> WireLink::Implementation::keepConnected() {
  unsigned Failures = 0;
  while (!this->Stopping) {
    tcp::socket Socket(this->Strand);
    if (co_await this->connect(Socket)) {
      Failures = 0;
      this->setError("");
      this->Session = std::make_shared<WireSession>(
          std::move(Socket), WireSession::Role::Client, this->Options);
      this->Connected = true;
      {
        auto Reset = [](Implementation *Self) {
          Self->Connected = false;
          Self->Session.reset();
        };
        std::unique_ptr<Implementation, decltype(Reset)> Guard(this, Reset);
        co_await this->Session->run();
      }
      this->setError("the connection was lost");
    } else {
      ++Failures;
    }
    if (this->Stopping)
      co_return;
    this->Pause.expires_after(this->reconnectPause(Failures));
    co_await this->Pause.async_wait(UseTuple);
  }
}

void WireLink::Implementation::stop() {
  this->Stopping = true;
  asio::post(this->Strand, [Self = this->shared_from_this()] {
    Self->Pause.cancel();
    if (Self->Session)
      Self->Session->close();
  });
}

void WireLink::Implementation::startCall(const std::shared_ptr<Call> &NewCall,
                                         const std::string &Method,
                                         const std::string &Message) {
  bool CanSend = this->Session && this->Session->isOpen() &&
                 this->Session->queuedBytes() < this->Options.QueuedBytes &&
                 Message.size() <= this->Options.MessageBytes;
  auto Stream = CanSend ? this->Session->submitCall(Method, Message) : nullptr;
  if (!Stream)
    return NewCall->finish(WireCallOutcome::NotSent);
  NewCall->attach(this->Session, Stream);
}

WireLink::WireLink(const asio::any_io_executor &Executor, std::string Address,
                   WireOptions Options, std::uint64_t Seed)
    : Impl(std::make_shared<Implementation>(Executor, std::move(Address),
                                            std::move(Options), Seed)) {
  spawnLoop(
      this->Impl->Strand, "link to " + this->Impl->Address,
      [Self = this->Impl] { return Self->keepConnected(); }, NeverGivenUp);
}

WireLink::~WireLink() { this->Impl->stop(); }

void WireLink::stop() { this->Impl->stop(); }

bool WireLink::connected() const { return this->Impl->Connected; }

std::string WireLink::lastError() const {
  std::lock_guard Guard(this->Impl->ErrorLock);
  return this->Impl->LastError;
}

std::shared_ptr<WireCall> WireLink::start(std::string Method,
                                          std::string Message) {
  auto NewCall = std::make_shared<Call>(this->Impl->Strand);
  asio::post(this->Impl->Strand,
             [Self = this->Impl, NewCall, Method = std::move(Method),
              Message = std::move(Message)] {
               Self->startCall(NewCall, Method, Message);
             });
  return NewCall;
}

asio::awaitable<WireReply>
WireLink::call(std::string Method, std::string Message, Duration Timeout) {
  auto NewCall = this->start(std::move(Method), std::move(Message));
  TimePoint Deadline = monotonicNow() + Timeout;
  WireReply Reply;
  bool Replied = false;
  while (auto Next = co_await NewCall->next(Deadline - monotonicNow())) {
    Reply.Message = std::move(*Next);
    Replied = true;
  }
  Reply.Outcome = NewCall->outcome();
  if (Reply.Outcome == WireCallOutcome::Complete && !Replied)
    Reply.Outcome = WireCallOutcome::Lost;
  co_return Reply;
}

void WireLink::post(std::string Method, std::string Message) {
  this->start(std::move(Method), std::move(Message));
}

} // namespace carobhinge
