//===- LibServe/IdempotentCall.cpp - Serves idempotent calls --------------===//
///
/// \file
/// The loop over routing effects, the attempts, and the caller's answer.
///
//===----------------------------------------------------------------------===//

#include <LibServe/IdempotentCall.h>

#include <LibCore/StringStorage.h>
#include <LibHTTP/DecimalField.h>
#include <LibRouting/StreamAnswer.h>
#include <LibServe/Forwarding.h>
#include <LibTelemetry/Log.h>
#include <LibTelemetry/Supervision.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace carobhinge {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// Maximum size of a buffered answer.
static constexpr std::size_t MaxBufferedAnswerBytes = 8 * 1024 * 1024;
static constexpr auto ChunkTimeout = std::chrono::seconds(10);

/// Returns whether the target refused the request.
static bool isBusy(unsigned Status) { return Status == 503 || Status == 409; }

namespace {

/// Thrown to end an attempt whose answer is not needed.
struct AttemptAbandoned : std::exception {};
/// Thrown to end an attempt whose answer is longer than its limit.
struct AnswerTooLong : std::exception {};

} // namespace

/// Receives the answer of one attempt.
class IdempotentCall::AttemptSink : public HttpResponseSink {
public:
  AttemptSink(IdempotentCall &Owner, const Dispatch &DispatchEffect)
      : Owner(Owner), DispatchEffect(DispatchEffect) {}

  asio::awaitable<void> head(const HttpResponseHead &Head) override {
    this->recordBytes();
    this->HasLength = Head.Headers.count("Content-Length") +
                          Head.Headers.count("Transfer-Encoding") >
                      0;
    this->IsSuccess = Head.Status < 300;
    this->IsFailure = Head.Status >= 500;
    this->Busy = isBusy(Head.Status);
    if (Head.Status == 503)
      this->Pause = parseRetryAfter(Head.Headers.value("Retry-After"))
                        .value_or(Duration::zero());
    if (this->Busy)
      co_return;
    IdempotentCall &Call = this->Owner;
    this->Use = chooseAnswerUse(
        {.IsEventStream = Call.Call.Streamed && Head.Status == 200,
         .HasStreamBegun = Call.StreamStarted});
    if (this->Use == AnswerUse::None)
      co_return;
    // Another attempt answered first.
    if (Call.AnsweringAttempt != 0 &&
        Call.AnsweringAttempt != this->DispatchEffect.Attempt)
      throw AttemptAbandoned();
    bool FirstEver = Call.AnsweringAttempt == 0 && !Call.StreamStarted;
    Call.AnsweringAttempt = this->DispatchEffect.Attempt;
    Call.AnsweringTarget = this->DispatchEffect.TargetName;
    Call.Routing.reportFirstByte(this->DispatchEffect.Attempt);
    this->observeFirstByte(FirstEver);
    if (!isStream(this->Use)) {
      freeStorage(Call.BufferedAnswer.Body);
      Call.HeldAnswer.reset();
      Call.BufferedAnswer = HttpResponse{.Status = Head.Status};
      Call.BufferedAnswer.ContentType = Head.Headers.value("Content-Type");
      co_return;
    }
    Call.Events.dropPartial();
    if (std::exchange(Call.StreamStarted, true))
      co_return;
    HttpResponseHead CallerHead = Call.headForCaller(Head);
    co_await Call.Exchange.startStream(std::move(CallerHead));
  }

  asio::awaitable<void> chunk(std::string Data) override {
    IdempotentCall &Call = this->Owner;
    this->recordBytes();
    if (this->Busy || this->Use == AnswerUse::None)
      co_return;
    if (!isStream(this->Use)) {
      std::size_t Bytes = Call.BufferedAnswer.Body.size() + Data.size();
      if (Bytes > MaxBufferedAnswerBytes)
        this->rejectAnswer(httpCallLimitName(HttpCallLimit::BodyBytes));
      if (!Call.holdAnswer(Bytes))
        throw AttemptAbandoned();
      Call.BufferedAnswer.Body += Data;
      co_return;
    }
    std::string Events = this->splitEvents(Data);
    std::size_t Partial = Call.Events.partialBytes();
    if ((Call.HeldAnswer || Partial > 0) && !Call.holdAnswer(Partial))
      throw AttemptAbandoned();
    if (Events.empty())
      co_return;
    TimePoint Now = monotonicNow();
    if (Call.LastChunkAt != TimePoint())
      Call.Components.ProcessMetrics.observe(Call.Call.Traffic,
                                             RequestTiming::BetweenChunks,
                                             Now - Call.LastChunkAt);
    Call.LastChunkAt = Now;
    co_await Call.Exchange.writeChunk(std::move(Events));
  }

  /// Returns whether the caller's answer is complete with this one.
  [[nodiscard]] bool completesAnswer(HttpCallOutcome End) const {
    return mayEndAsComplete(
        this->Use, {.IsComplete = End == HttpCallOutcome::Complete,
                    .HasPartialEvent = this->Owner.Events.hasPartial()});
  }
  [[nodiscard]] bool busy() const { return this->Busy; }
  /// The pause that the target asked for; zero if none.
  [[nodiscard]] Duration pause() const { return this->Pause; }
  /// How the engine ended the connection, if this host did not.
  [[nodiscard]] ConnectionEnd
  connectionEnd(HttpCallOutcome End, const HttpCallControl &Control) const {
    // What is no answer, or what no limit of bytes allows, is no sign of a
    // crash.
    if (Control.fault() || Control.limit() == HttpCallLimit::HeldBytes)
      return ConnectionEnd::Orderly;
    if (End == HttpCallOutcome::Complete && !this->HasLength)
      return ConnectionEnd::Ambiguous;
    bool IsSilent = monotonicNow() - this->LastBytesAt >= ChunkTimeout ||
                    monotonicNow() >= this->Owner.Call.Deadline;
    return End == HttpCallOutcome::Incomplete && !IsSilent
               ? ConnectionEnd::Lost
               : ConnectionEnd::Orderly;
  }
  /// Returns whether a whole answer acquits the prompt.
  [[nodiscard]] bool isAcquittal() const {
    return this->IsSuccess && this->isAcquittalOfRequest();
  }
  /// Returns whether it acquits the request itself. An answer that rejects the
  /// request says nothing about its prompt.
  [[nodiscard]] bool isAcquittalOfRequest() const {
    return this->HasLength && !this->IsFailure && !this->Busy;
  }
  EngineCrashDetector::AttemptKey CrashKey = 0;

private:
  void recordBytes() {
    this->LastBytesAt = monotonicNow();
    this->Owner.Components.Prompts.recordProgress(this->CrashKey);
  }
  [[noreturn]] void rejectAnswer(std::string_view Limit) {
    this->Owner.Components.Limits.record(Limit,
                                         this->DispatchEffect.TargetName);
    throw AnswerTooLong();
  }
  std::string splitEvents(std::string_view Data) {
    try {
      return this->Owner.Events.append(Data);
    } catch (const std::length_error &) {
      this->rejectAnswer("event-bytes");
    }
  }
  void observeFirstByte(bool FirstEver) {
    TimePoint Now = monotonicNow();
    IdempotentCall &Call = this->Owner;
    Target From;
    From.Name = this->DispatchEffect.TargetName;
    From.Service = Call.Call.Service->Name;
    From.IncarnationNumber = this->DispatchEffect.IncarnationNumber;
    Call.Components.Fleet.recordLatency(From, Now - this->StartedAt);
    if (FirstEver)
      Call.Components.ProcessMetrics.observe(Call.Call.Traffic,
                                             RequestTiming::FirstByte,
                                             Now - Call.Call.ArrivedAt);
  }

  IdempotentCall &Owner;
  const Dispatch &DispatchEffect;
  TimePoint StartedAt = monotonicNow();
  TimePoint LastBytesAt = monotonicNow();
  bool Busy = false;
  Duration Pause = Duration::zero();
  bool HasLength = false;
  bool IsSuccess = false;
  bool IsFailure = false;
  AnswerUse Use = AnswerUse::Whole;
};

IdempotentCall::IdempotentCall(ServerComponents &Components,
                               HttpExchange &Exchange, CallContext Call)
    : Components(Components), Exchange(Exchange), Call(std::move(Call)),
      Routing(*Components.Routers.find(this->Call.Service->Name)),
      Inbox(this->Routing.makeInbox()) {}

asio::awaitable<void> IdempotentCall::run() {
  this->Strand = co_await asio::this_coro::executor;
  this->Id = this->Routing.submit(this->Call.routed(), this->Inbox);
  this->Exchange.onCallerDisconnected([this, Waiting = this->Inbox] {
    this->Routing.callerDisconnected(this->Id);
    Waiting->try_send(asio::error::eof, RoutingEffect());
  });
  // Attempts send a marker to the inbox when they end, so that this loop checks
  // its conditions again.
  while (!this->Complete && !this->Refused && !this->ForwardTo &&
         !this->Exchange.callerDisconnected()) {
    auto [Error, Effect] = co_await this->Inbox->async_receive(UseTuple);
    if (!Error)
      this->apply(Effect);
  }
  co_await this->stopAttempts();
  this->Exchange.onCallerDisconnected(nullptr);
  this->Routing.removeInbox(this->Id);
  if (this->Exchange.callerDisconnected()) {
    this->Components.ProcessMetrics.countOutcome(this->Call.Traffic,
                                                 "caller-gone", "");
    co_return;
  }
  if (this->Complete)
    co_await this->finishAnswer();
  else if (this->ForwardTo)
    co_await this->forwardToDomain(*this->ForwardTo);
  else
    co_await this->refuse(toProblem(*this->Refused));
}

void IdempotentCall::apply(const RoutingEffect &Effect) {
  if (const auto *DispatchEffect = std::get_if<Dispatch>(&Effect)) {
    this->startAttempt(*DispatchEffect);
  } else if (const auto *Cancelled = std::get_if<CancelAttempt>(&Effect)) {
    auto Found = this->Attempts.find(Cancelled->Attempt);
    if (Found == this->Attempts.end())
      return;
    Found->second->Cancelled = true;
    Found->second->Control.cancel();
  } else if (const auto *Refusal = std::get_if<Refuse>(&Effect)) {
    this->Refused = *Refusal;
  } else {
    this->ForwardTo = std::get<Forward>(Effect);
  }
}

/// Cancels running attempts, waits for them, and returns the slots of
/// dispatches that arrived too late to start.
asio::awaitable<void> IdempotentCall::stopAttempts() {
  for (auto &[Id, Each] : this->Attempts) {
    Each->Cancelled = true;
    Each->Control.cancel();
  }
  auto ReturnSlot = [this](boost::system::error_code Error,
                           const RoutingEffect &Effect) {
    if (const auto *LateDispatch = std::get_if<Dispatch>(&Effect);
        !Error && LateDispatch)
      this->Routing.reportOutcome(LateDispatch->Attempt,
                                  {AttemptResult::Cancelled, {}});
  };
  while (!this->Attempts.empty()) {
    auto [Error, Effect] = co_await this->Inbox->async_receive(UseTuple);
    ReturnSlot(Error, Effect);
  }
  while (this->Inbox->try_receive(ReturnSlot)) {
  }
}

void IdempotentCall::startAttempt(const Dispatch &DispatchEffect) {
  if (this->HasFailedAttempt &&
      !this->Components.Prompts.mayRetry(this->Call.Suspects)) {
    this->Routing.reportOutcome(DispatchEffect.Attempt,
                                {AttemptResult::Cancelled, {}});
    this->Refused = Refuse{.Request = this->Id,
                           .Reason = RefusalReason::AttemptFailed,
                           .MayHaveRun = true};
    return;
  }
  if (this->Attempts.empty() && !DispatchEffect.IsResume)
    this->Components.ProcessMetrics.observe(
        this->Call.Traffic, RequestTiming::Queue,
        monotonicNow() - this->Call.ArrivedAt);
  if (DispatchEffect.IsResume)
    this->AnsweringAttempt = 0;
  this->Attempts[DispatchEffect.Attempt] = std::make_unique<Attempt>();
  // Runs on the strand of run(), which waits for it before it returns.
  spawnTask(this->Strand, "attempt", this->runAttempt(DispatchEffect));
}

bool IdempotentCall::holdAnswer(std::size_t Bytes) {
  if (this->IsGivenUp)
    return false;
  if (!this->HeldAnswer) {
    auto OnGivenUp = [this, WeakAlive = std::weak_ptr<bool>(this->Alive),
                      Strand = this->Strand] {
      asio::post(Strand, [this, WeakAlive] {
        if (!WeakAlive.expired())
          this->giveUpAnswer();
      });
    };
    this->HeldAnswer.emplace(this->Components.Budget,
                             HeldWork::RepeatableAnswer, std::move(OnGivenUp));
  }
  if (this->HeldAnswer->resize(Bytes))
    return true;
  this->giveUpAnswer();
  return false;
}

void IdempotentCall::giveUpAnswer() {
  if (this->Complete || std::exchange(this->IsGivenUp, true))
    return;
  this->Components.Limits.record("process-bytes", this->AnsweringTarget);
  this->Refused = Refuse{.Request = this->Id,
                         .Reason = RefusalReason::AttemptFailed,
                         .MayHaveRun = true};
  freeStorage(this->BufferedAnswer.Body);
  // Routing must not dispatch the request again.
  this->Routing.callerDisconnected(this->Id);
  this->Inbox->try_send(asio::error::eof, RoutingEffect());
}

HttpRequest IdempotentCall::requestFor(const Dispatch &DispatchEffect) const {
  const HttpRequest &CallerRequest = this->Exchange.request();
  HttpRequest Request{.Method = CallerRequest.Method,
                      .Target = this->Call.Target,
                      .Headers = {},
                      .Body = CallerRequest.Body};
  if (std::string_view Type = CallerRequest.Headers.value("Content-Type");
      !Type.empty())
    Request.Headers.add("Content-Type", Type);
  Request.Headers.add(header::RequestId, this->Call.RequestIdText);
  Request.Headers.add(header::Workspace, this->Call.Traffic.Workspace);
  Request.Headers.add(header::Class, this->Call.Traffic.Class);
  if (this->Call.Service->Kind == ServiceKind::Model) {
    Request.Headers.add(header::Group, DispatchEffect.TargetName);
    Request.Headers.add(header::GroupNumber,
                        std::to_string(DispatchEffect.GroupNumber));
  }
  if (DispatchEffect.IsResume && this->StreamStarted)
    Request.Headers.add(header::ResumeFrom,
                        std::to_string(this->Events.count()));
  return Request;
}

asio::awaitable<void> IdempotentCall::runAttempt(Dispatch DispatchEffect) {
  Attempt &Current = *this->Attempts.at(DispatchEffect.Attempt);
  AttemptSink Sink(*this, DispatchEffect);
  HttpCallOptions Options{
      .HeadTimeout = std::max<Duration>(this->Call.Deadline - monotonicNow(),
                                        std::chrono::milliseconds(1)),
      .ChunkTimeout = ChunkTimeout,
      .BeforeWrite = [this, Attempt = DispatchEffect.Attempt] {
        return this->Routing.mayWrite(Attempt);
      }};
  HttpCallOutcome End = HttpCallOutcome::Incomplete;
  PromptExchange &Prompts = this->Components.Prompts;
  bool IsModel = this->Call.Service->Kind == ServiceKind::Model;
  Sink.CrashKey = Prompts.beginAttempt(
      DispatchEffect.TargetName,
      IsModel ? DispatchEffect.GroupNumber : DispatchEffect.IncarnationNumber,
      this->Call.Suspects);
  bool IsTooLong = false;
  try {
    HttpRequest Request = this->requestFor(DispatchEffect);
    End = co_await this->Components.Endpoints.perform(
        DispatchEffect.Address, std::move(Request), std::move(Options), Sink,
        Current.Control);
    if (Current.Control.limit() == HttpCallLimit::HeldBytes)
      this->Components.Limits.record(httpCallLimitName(Current.Control.limit()),
                                     DispatchEffect.TargetName);
    if (const auto &Fault = Current.Control.fault())
      this->Components.Limits.recordBrokenAnswer(messageFaultName(Fault->Kind),
                                                 Fault->Value,
                                                 DispatchEffect.TargetName);
  } catch (const AnswerTooLong &) {
    IsTooLong = true;
  } catch (const std::exception &) {
    // The sink stopped the attempt, or writing to the caller failed.
    Current.Cancelled = true;
  }
  Prompts.endAttempt(Sink.CrashKey,
                     Current.Cancelled || IsTooLong
                         ? ConnectionEnd::Orderly
                         : Sink.connectionEnd(End, Current.Control));
  AttemptOutcome Outcome;
  if (End == HttpCallOutcome::Complete && Sink.busy())
    Outcome = {AttemptResult::Overloaded, Sink.pause()};
  else if (Sink.completesAnswer(End))
    Outcome.Result = AttemptResult::Complete;
  else if (End == HttpCallOutcome::Complete)
    Outcome.Result = AttemptResult::FailedAfterSend;
  else if (Current.Cancelled)
    Outcome.Result = AttemptResult::Cancelled;
  else
    Outcome.Result = End == HttpCallOutcome::NotWritten
                         ? AttemptResult::FailedBeforeSend
                         : AttemptResult::FailedAfterSend;
  // On its way to the caller an answer is given up only if it isn't taken.
  if (Outcome.Result == AttemptResult::Complete && this->HeldAnswer &&
      !this->HeldAnswer->change(HeldWork::CompleteAnswer))
    this->giveUpAnswer();
  if (Outcome.Result == AttemptResult::Complete) {
    this->Complete = !this->IsGivenUp;
    if (Sink.isAcquittal())
      Prompts.recordAnswer(this->Call.Suspects);
    else if (Sink.isAcquittalOfRequest())
      Prompts.recordAnswer({this->Call.Suspects.back()});
  }
  this->HasFailedAttempt = this->HasFailedAttempt ||
                           Outcome.Result == AttemptResult::FailedAfterSend;
  this->Attempts.erase(DispatchEffect.Attempt);
  this->Routing.reportOutcome(DispatchEffect.Attempt, Outcome);
  // Wakes run().
  this->Inbox->try_send(asio::error::eof, RoutingEffect());
}

HttpResponseHead
IdempotentCall::headForCaller(const HttpResponseHead &Head) const {
  HttpResponseHead CallerHead{.Status = Head.Status};
  if (std::string_view Type = Head.Headers.value("Content-Type"); !Type.empty())
    CallerHead.Headers.add("Content-Type", Type);
  CallerHead.Headers.add(header::RequestId, this->Call.RequestIdText);
  CallerHead.Headers.add(header::Outcome, "answered");
  return CallerHead;
}

asio::awaitable<void> IdempotentCall::finishAnswer() {
  this->Components.ProcessMetrics.countOutcome(this->Call.Traffic, "answered",
                                               "");
  this->Components.ProcessMetrics.observe(
      this->Call.Traffic, RequestTiming::Total,
      monotonicNow() - this->Call.ArrivedAt);
  if (this->StreamStarted) {
    co_await this->Exchange.finishStream();
    co_return;
  }
  this->BufferedAnswer.Headers.add(header::RequestId, this->Call.RequestIdText);
  this->BufferedAnswer.Headers.add(header::Outcome, "answered");
  if (this->HeldAnswer)
    this->Exchange.setResponsePlace(*this->HeldAnswer);
  co_await this->Exchange.respond(std::move(this->BufferedAnswer));
}

asio::awaitable<void> IdempotentCall::refuse(Problem Refusal) {
  this->Components.ProcessMetrics.countOutcome(
      this->Call.Traffic, Refusal.outcome(), Refusal.Reason);
  logEvent(Severity::Info, "request-refused",
           {{"request", this->Call.RequestIdText},
            {"workspace", this->Call.Traffic.Workspace},
            {"class", this->Call.Traffic.Class},
            {"service", this->Call.Service->Name},
            {"outcome", Refusal.outcome()},
            {"decision", Refusal.Reason}});
  if (!this->StreamStarted) {
    HttpResponse Response = Refusal.response(this->Call.RequestIdText);
    co_await this->Exchange.respond(std::move(Response));
    co_return;
  }
  // The stream is left without its last chunk, so that it cannot be mistaken
  // for a complete one; the event reports the failure to event readers.
  std::string Event =
      "event: error\ndata: " + Refusal.json(this->Call.RequestIdText) + "\n\n";
  co_await this->Exchange.writeChunk(std::move(Event));
}

asio::awaitable<void> IdempotentCall::forwardToDomain(Forward To) {
  HostName Host = this->Components.RemoteDomains.choose(
      To.FailureDomain, this->Call.Service->Name);
  ForwardResult End = co_await forwardRequest(
      this->Exchange, this->Components.Links, Host, this->Call.Deadline,
      this->Call.RequestIdText, this->Components.Budget,
      HeldWork::RepeatableAnswer);
  if (End == ForwardResult::Complete) {
    this->Components.ProcessMetrics.countOutcome(this->Call.Traffic,
                                                 "forwarded", "");
    co_return;
  }
  this->StreamStarted = End == ForwardResult::BrokenOff;
  Problem Refusal{.Status = 502,
                  .NotRun = End == ForwardResult::NotSent,
                  .Reason = "forwarding-failed",
                  .RetryAfter = std::chrono::seconds(1)};
  if (!this->Exchange.callerDisconnected())
    co_await this->refuse(std::move(Refusal));
}

} // namespace carobhinge
