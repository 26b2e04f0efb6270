//===- LibServe/NonIdempotentCall.cpp - Serves non-idempotent calls -------===//
///
/// \file
/// One function for each effect of the decision; results return to it as
/// events.
///
//===----------------------------------------------------------------------===//

#include <LibServe/NonIdempotentCall.h>

#include <LibCore/Hash.h>
#include <LibHTTP/DecimalField.h>
#include <LibLedger/Ledger.h>
#include <LibTelemetry/Log.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace carobhinge {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// Time limit of one ledger call.
static constexpr auto LedgerTimeout = std::chrono::seconds(2);
/// Time limit of release retries; after that, the claim is left until the
/// incarnation is retired.
static constexpr auto ReleaseTimeout = std::chrono::seconds(30);
static constexpr auto ChunkTimeout = std::chrono::seconds(10);
static constexpr std::size_t MaxAnswerBytes = 8 * 1024 * 1024;

static std::string contentDigest(const CallContext &Call,
                                 const HttpRequest &Request) {
  return digest(Request.Method + "\n" + Call.Target + "\n" + Request.Body);
}

static CallAttemptOptions attemptOptions(const ServerComponents &Components,
                                         const CallContext &Call,
                                         const message::LedgerKey &Key,
                                         std::string ContentDigest) {
  CallAttemptOptions Options;
  Options.Key = Key;
  Options.ContentDigest = std::move(ContentDigest);
  Options.Attempt.set_host(Components.LocalSettings.Host);
  Options.Attempt.set_incarnation(Components.LocalIncarnationNumber);
  Options.Attempt.set_attempt(++Components.LastAttempt);
  Options.BodyBytes = LedgerLimits().BodyBytes;
  const KeySpec &Rule = *Call.Call->Key;
  Options.Rule = Rule.Rule == KeyRule::Dated ? message::LEDGER_KEY_DATED
                                             : message::LEDGER_KEY_KEPT;
  Options.RetentionDays = static_cast<std::uint32_t>(Rule.RetentionDays);
  return Options;
}

static message::LedgerKey ledgerKey(const CallContext &Call) {
  message::LedgerKey Key;
  Key.set_workspace(Call.Traffic.Workspace);
  Key.set_service(Call.Service->Name);
  Key.set_key(Call.IdempotencyKey);
  return Key;
}

NonIdempotentCall::NonIdempotentCall(const asio::any_io_executor &Strand,
                                     ServerComponents &Components,
                                     CallContext Context, HttpRequest Request)
    : Strand(Strand), Components(Components), Call(std::move(Context)),
      Request(std::move(Request)),
      Routing(*Components.Routers.find(this->Call.Service->Name)),
      Key(ledgerKey(this->Call)),
      ContentDigest(contentDigest(this->Call, this->Request)),
      Decision(attemptOptions(Components, this->Call, this->Key,
                              this->ContentDigest)),
      Inbox(this->Routing.makeInbox()), DeadlineTimer(Strand),
      FinalResult(Strand, 1) {}

asio::awaitable<NonIdempotentResult> NonIdempotentCall::answer() {
  asio::post(this->Strand,
             [Self = this->shared_from_this()] { Self->start(); });
  auto [Error, Result] = co_await this->FinalResult.async_receive(UseTuple);
  co_return std::move(Result);
}

void NonIdempotentCall::callerDisconnected() {
  asio::post(this->Strand, [Self = this->shared_from_this()] {
    Self->handle(CallerDisconnected{});
    Self->FinalResult.try_send(asio::error::eof, NonIdempotentResult());
  });
}

void NonIdempotentCall::spawn(asio::awaitable<void> Work) {
  ++this->Components.BackgroundTasks;
  asio::co_spawn(this->Strand, std::move(Work),
                 [Self = this->shared_from_this()](const std::exception_ptr &) {
                   --Self->Components.BackgroundTasks;
                 });
}

void NonIdempotentCall::start() {
  this->spawn(this->handleEventAfter(this->Call.Deadline - monotonicNow(),
                                     DeadlinePassed{}));
  std::vector<CallEffect> Effects;
  {
    std::lock_guard Guard(this->Lock);
    Effects = this->Decision.start();
  }
  this->performEffects(Effects);
}

void NonIdempotentCall::handle(const CallEvent &Event) {
  std::vector<CallEffect> Effects;
  {
    std::lock_guard Guard(this->Lock);
    Effects = this->Decision.handle(Event);
  }
  this->performEffects(Effects);
}

void NonIdempotentCall::performEffects(std::span<const CallEffect> Effects) {
  for (const CallEffect &Effect : Effects)
    std::visit([this](const auto &Each) { this->on(Each); }, Effect);
  bool HasEnded = false;
  {
    std::lock_guard Guard(this->Lock);
    HasEnded = this->Decision.ended();
  }
  if (!HasEnded || std::exchange(this->Ended, true))
    return;
  this->DeadlineTimer.cancel();
  this->Inbox->close();
  this->FinalResult.try_send(asio::error::eof, NonIdempotentResult());
}

asio::awaitable<void> NonIdempotentCall::handleEventAfter(Duration Length,
                                                          CallEvent Event) {
  this->DeadlineTimer.expires_after(Length);
  auto [Error] = co_await this->DeadlineTimer.async_wait(UseTuple);
  if (!Error)
    this->handle(Event);
}

//===----------------------------------------------------------------------===//
// The ledger
//===----------------------------------------------------------------------===//

void NonIdempotentCall::on(const RequestOpen &) {
  this->spawn(this->open(false, Duration::zero()));
}

void NonIdempotentCall::on(const RequestJoin &Effect) {
  this->spawn(this->open(true, Effect.Delay));
}

static asio::awaitable<void> sleepFor(Duration Length) {
  if (Length <= Duration::zero())
    co_return;
  asio::steady_timer Timer(co_await asio::this_coro::executor, Length);
  co_await Timer.async_wait(UseTuple);
}

asio::awaitable<void> NonIdempotentCall::open(bool Join, Duration Delay) {
  co_await sleepFor(Delay);
  auto Reply = co_await this->Components.Control.open(
      this->Key, this->ContentDigest, LedgerTimeout);
  if (!Reply)
    this->handle(LedgerUnreachable{});
  else if (Join)
    this->handle(JoinAnswered{*Reply});
  else
    this->handle(Opened{*Reply});
}

void NonIdempotentCall::on(const ProposeClaim &Effect) {
  this->spawn(this->claim(Effect.Command));
}

asio::awaitable<void> NonIdempotentCall::claim(message::LedgerCommand Command) {
  std::uint32_t Number = Command.claim().dispatch();
  auto Reply = co_await this->Components.Control.proposeLedger(
      this->Key, std::move(Command), LedgerTimeout);
  if (Reply)
    this->handle(ClaimAnswered{*Reply});
  else
    this->handle(ClaimUnconfirmed{Number});
}

void NonIdempotentCall::on(const ProposeRelease &Effect) {
  this->spawn(this->release(Effect.Command));
}

asio::awaitable<void>
NonIdempotentCall::release(message::LedgerCommand Command) {
  TimePoint GiveUpAt = monotonicNow() + ReleaseTimeout;
  while (monotonicNow() < GiveUpAt)
    if (co_await this->Components.Control.proposeLedger(this->Key, Command,
                                                        LedgerTimeout))
      co_return;
}

void NonIdempotentCall::on(const ProposeOutcome &Effect) {
  if (!std::exchange(this->RecordTimeoutStarted, true)) {
    // The deadline no longer applies; its timer is reused for the record's time
    // limit.
    this->DeadlineTimer.cancel();
    this->spawn(this->handleEventAfter(CallAttemptOptions().RecordTimeout,
                                       RecordTimeoutPassed{}));
  }
  this->spawn(this->record(Effect));
}

asio::awaitable<void> NonIdempotentCall::record(ProposeOutcome Effect) {
  co_await sleepFor(Effect.Delay);
  auto Reply = co_await this->Components.Control.proposeLedger(
      this->Key, std::move(Effect.Command), LedgerTimeout);
  if (Reply)
    this->handle(OutcomeRecorded{});
  else
    this->handle(OutcomeUnconfirmed{});
}

void NonIdempotentCall::on(const ProposeClose &Effect) {
  this->spawn(this->closeKey(Effect));
}

asio::awaitable<void> NonIdempotentCall::closeKey(ProposeClose Effect) {
  co_await sleepFor(Effect.Delay);
  auto Reply = co_await this->Components.Control.proposeLedger(
      this->Key, std::move(Effect.Command), LedgerTimeout);
  if (Reply)
    this->handle(CloseAnswered{*Reply});
  else
    this->handle(CloseUnconfirmed{});
}

//===----------------------------------------------------------------------===//
// Routing
//===----------------------------------------------------------------------===//

void NonIdempotentCall::on(const EnterQueue &) {
  RoutedRequest Routed = this->Call.routed();
  this->QueuedRequest = this->Routing.submit(std::move(Routed), this->Inbox);
  this->spawn(this->followRouting());
}

void NonIdempotentCall::on(const LeaveQueue &) {
  this->Routing.callerDisconnected(this->QueuedRequest);
}

/// Waits for the effect that ends the request's time in the queue.
asio::awaitable<void> NonIdempotentCall::followRouting() {
  for (;;) {
    auto [Error, Effect] = co_await this->Inbox->async_receive(UseTuple);
    if (Error)
      co_return;
    if (std::holds_alternative<CancelAttempt>(Effect))
      continue;
    this->handleRouting(Effect);
    co_return;
  }
}

void NonIdempotentCall::handleRouting(const RoutingEffect &Effect) {
  if (const auto *DispatchEffect = std::get_if<Dispatch>(&Effect)) {
    this->Slot = DispatchEffect->Attempt;
    this->SlotResult = AttemptResult::Cancelled;
    this->SlotPause = Duration::zero();
    this->SlotTarget = DispatchEffect->TargetName;
    this->SlotIncarnation = DispatchEffect->IncarnationNumber;
    this->handle(
        SlotChosen{DispatchEffect->TargetName, DispatchEffect->Address});
  } else if (const auto *Refusal = std::get_if<Refuse>(&Effect)) {
    this->handle(RefusedByRouting{std::string(reasonName(Refusal->Reason)),
                                  Refusal->RetryAfter});
  } else {
    // The ledger holds nothing for a queued attempt, so the other failure
    // domain can serve the whole call.
    NonIdempotentResult Result;
    Result.ForwardTo = std::get<Forward>(Effect).FailureDomain;
    this->Ended = true;
    this->DeadlineTimer.cancel();
    this->FinalResult.try_send(boost::system::error_code(), std::move(Result));
  }
}

void NonIdempotentCall::on(const ReleaseSlot &) {
  if (this->Slot == 0)
    return;
  // Routing must not retry the request by itself; the call requests another
  // slot by entering the queue again.
  if (this->SlotResult != AttemptResult::Complete)
    this->Routing.callerDisconnected(this->QueuedRequest);
  this->Routing.reportOutcome(std::exchange(this->Slot, 0),
                              {this->SlotResult, this->SlotPause});
  this->Routing.removeInbox(this->QueuedRequest);
}

//===----------------------------------------------------------------------===//
// The endpoint
//===----------------------------------------------------------------------===//

void NonIdempotentCall::on(const DispatchCall &Effect) {
  this->Connection = std::make_shared<HttpCallControl>();
  this->DispatchCancelled = false;
  this->spawn(this->dispatch(Effect));
}

void NonIdempotentCall::on(const CancelDispatch &) {
  this->DispatchCancelled = true;
  if (this->Connection)
    this->Connection->cancel();
}

HttpRequest NonIdempotentCall::requestFor() const {
  HttpRequest EndpointRequest{.Method = this->Request.Method,
                              .Target = this->Call.Target,
                              .Headers = {},
                              .Body = this->Request.Body};
  if (std::string_view Type = this->Request.Headers.value("Content-Type");
      !Type.empty())
    EndpointRequest.Headers.add("Content-Type", Type);
  EndpointRequest.Headers.add(header::RequestId, this->Call.RequestIdText);
  EndpointRequest.Headers.add(header::Workspace, this->Call.Traffic.Workspace);
  EndpointRequest.Headers.add(header::IdempotencyKey,
                              this->Call.IdempotencyKey);
  return EndpointRequest;
}

namespace {

/// Thrown to end a dispatch.
struct LimitReached {
  HttpCallLimit Limit;
};

/// Collects a complete answer and closes the connection if the answer is too
/// long.
class CollectedAnswer : public HttpResponseSink {
public:
  CollectedAnswer(PromptExchange &Prompts,
                  EngineCrashDetector::AttemptKey CrashKey, HeldBytes &Held)
      : Prompts(Prompts), CrashKey(CrashKey), Held(Held) {}

  asio::awaitable<void> head(const HttpResponseHead &Head) override {
    this->recordBytes();
    this->Answer.Status = Head.Status;
    this->Answer.ContentType = Head.Headers.value("Content-Type");
    if (Head.Status == 503)
      this->Pause = parseRetryAfter(Head.Headers.value("Retry-After"))
                        .value_or(Duration::zero());
    co_return;
  }
  asio::awaitable<void> chunk(std::string Data) override {
    this->recordBytes();
    std::size_t Bytes = this->Answer.Body.size() + Data.size();
    if (Bytes > MaxAnswerBytes)
      throw LimitReached{HttpCallLimit::BodyBytes};
    if (!this->Held.resize(Bytes))
      throw LimitReached{HttpCallLimit::ProcessBytes};
    this->Answer.Body += Data;
    co_return;
  }

  AnswerRead Answer;
  /// The pause that the target asked for; zero if none.
  Duration Pause{};
  TimePoint LastBytesAt = monotonicNow();

private:
  void recordBytes() {
    this->LastBytesAt = monotonicNow();
    this->Prompts.recordProgress(this->CrashKey);
  }

  PromptExchange &Prompts;
  EngineCrashDetector::AttemptKey CrashKey;
  HeldBytes &Held;
};

} // namespace

asio::awaitable<void> NonIdempotentCall::dispatch(DispatchCall Effect) {
  std::shared_ptr<HttpCallControl> Control = this->Connection;
  PromptExchange &Prompts = this->Components.Prompts;
  auto CrashKey = Prompts.beginAttempt(this->SlotTarget, this->SlotIncarnation,
                                       this->Call.Suspects);
  this->HeldAnswer.emplace(this->Components.Budget, HeldWork::SingleAnswer,
                           [Control] { Control->cancel(); });
  CollectedAnswer Sink(Prompts, CrashKey, *this->HeldAnswer);
  HttpCallOptions Options{
      .HeadTimeout = std::max<Duration>(this->Call.Deadline - monotonicNow(),
                                        std::chrono::milliseconds(1)),
      .ChunkTimeout = ChunkTimeout,
      .FreshConnection = true};
  // The decision is informed before the first byte is written and may cancel
  // the write.
  Options.BeforeWrite = [this, &Effect] {
    if (!this->Routing.mayWrite(this->Slot))
      return false;
    std::lock_guard Guard(this->Lock);
    for (const CallEffect &Each :
         this->Decision.handle(ByteWritten{Effect.Number}))
      if (std::holds_alternative<CancelDispatch>(Each))
        return false;
    return true;
  };
  HttpCallOutcome Outcome = HttpCallOutcome::Incomplete;
  HttpCallLimit Limit = HttpCallLimit::None;
  try {
    Outcome = co_await this->Components.Endpoints.perform(
        Effect.Address, this->requestFor(), std::move(Options), Sink, *Control);
    // On its way to the caller an answer is given up only if it isn't taken.
    bool IsKept = this->HeldAnswer->change(HeldWork::CompleteAnswer);
    Limit = IsKept ? Control->limit() : HttpCallLimit::ProcessBytes;
  } catch (const LimitReached &Reached) {
    Limit = Reached.Limit;
  } catch (const std::exception &) {
    this->DispatchCancelled = true;
  }
  bool IsLimitOfBytes = Limit == HttpCallLimit::HeldBytes ||
                        Limit == HttpCallLimit::BodyBytes ||
                        Limit == HttpCallLimit::ProcessBytes;
  if (IsLimitOfBytes) {
    Outcome = HttpCallOutcome::Incomplete;
    this->DispatchCancelled = true;
    this->Components.Limits.record(httpCallLimitName(Limit), this->SlotTarget);
  }
  bool IsSilent = monotonicNow() - Sink.LastBytesAt >= ChunkTimeout ||
                  monotonicNow() >= this->Call.Deadline;
  const std::optional<MessageFault> &Fault = Control->fault();
  if (Fault)
    this->Components.Limits.recordBrokenAnswer(messageFaultName(Fault->Kind),
                                               Fault->Value, this->SlotTarget);
  bool IsLost = Outcome == HttpCallOutcome::Incomplete &&
                !this->DispatchCancelled && !IsSilent && !Fault;
  Prompts.endAttempt(CrashKey,
                     IsLost ? ConnectionEnd::Lost : ConnectionEnd::Orderly);
  if (Outcome == HttpCallOutcome::Complete && Sink.Answer.Status < 500)
    Prompts.recordAnswer({this->Call.Suspects.back()});
  if (Outcome == HttpCallOutcome::NotWritten) {
    this->SlotResult = AttemptResult::FailedBeforeSend;
    this->handle(ConnectFailed{Effect.Number});
  } else if (Outcome == HttpCallOutcome::Complete) {
    this->SlotResult = AttemptResult::Complete;
    this->SlotPause = Sink.Pause;
    Sink.Answer.Complete = true;
    this->handle(Sink.Answer);
  } else {
    // The endpoint isn't to blame for what this process can't hold.
    this->SlotResult = Limit == HttpCallLimit::ProcessBytes
                           ? AttemptResult::Cancelled
                           : AttemptResult::FailedAfterSend;
    this->handle(BrokenOff{});
  }
}

void NonIdempotentCall::on(const Answer &Effect) {
  NonIdempotentResult Result;
  Result.FinalAnswer = Effect;
  this->FinalResult.try_send(boost::system::error_code(), std::move(Result));
}

} // namespace carobhinge
