//===- LibEntry/StandbyAttempt.cpp - A second attempt beside the first ----===//

#include <LibEntry/StandbyAttempt.h>

#include <LibEntry/AnswerHoldOff.h>
#include <LibEntry/CallerSession.h>
#include <LibHTTP/ResponseOwner.h>
#include <LibTelemetry/Log.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace asio = boost::asio;

namespace carobhinge {

StandbyAttempt::StandbyAttempt(SessionContext &Context, StandbyOptions Options)
    : Context(Context), Options(std::move(Options)), Decided(Context.Executor),
      Ended(Context.Executor) {}

void StandbyAttempt::start() {
  asio::co_spawn(this->Context.Executor, run(this->shared_from_this()),
                 asio::detached);
}

asio::awaitable<void>
StandbyAttempt::run(std::shared_ptr<StandbyAttempt> Self) {
  try {
    co_await Self->perform();
  } catch (...) {
    Self->Failure = std::current_exception();
  }
  if (!Self->IsPassedOn) {
    Self->settle();
    if (Self->Options.OnEnd)
      Self->Options.OnEnd();
  }
  Self->Ended.fire();
}

asio::awaitable<void> StandbyAttempt::perform() {
  HttpCallOptions Call = std::move(this->Options.Call);
  Call.BeforeWrite = [this] {
    this->IsPaused = !this->Context.State.RequestDispatcher.mayWrite(
        monotonicNow(), this->Options.Number);
    return !this->IsPaused;
  };
  Call.FindOwner = [this](const HttpResponseHead &Head,
                          const ResponseContext &AnswerContext) {
    ResponseOwner Owner =
        findResponseOwner(this->Context.Protocol.readAnswer(Head).AttemptId,
                          this->Options.RequestId, AnswerContext);
    this->IsUnusable = Owner == ResponseOwner::Unknown;
    return Owner;
  };
  this->End = co_await this->Context.Client.perform(
      this->Options.Target.Address, std::move(this->Options.Request),
      std::move(Call), *this, this->Control);
  // A stream that was resumed after its last event has no event.
  if (this->End == HttpCallOutcome::Complete && this->CarriesEvents &&
      !this->IsPassedOn && !this->IsUnusable) {
    this->Options.Preview.finish();
    this->IsUnusable = this->Options.Preview.fault() != EventFault::None;
    if (!this->IsUnusable)
      co_await this->handOver();
  }
}

asio::awaitable<std::optional<HttpCallOutcome>>
StandbyAttempt::follow(HttpResponseSink &Receiver) {
  this->Receiver = &Receiver;
  this->Options.OnEnd = nullptr;
  this->Decided.fire();
  while (!this->Ended.fired())
    co_await this->Ended.wait(std::chrono::hours(1));
  if (!this->IsPassedOn)
    co_return std::nullopt;
  if (this->Failure)
    std::rethrow_exception(this->Failure);
  co_return this->End;
}

void StandbyAttempt::release() {
  this->Options.MayDeliver = nullptr;
  this->Options.OnEnd = nullptr;
  this->cancel();
}

void StandbyAttempt::cancel() {
  this->IsCancelled = true;
  this->Control.cancel();
  this->Decided.fire();
}

asio::awaitable<void> StandbyAttempt::head(const HttpResponseHead &Head) {
  this->HasHead = true;
  this->AnswerHead = Head;
  this->AnswerMetadata = this->Context.Protocol.readAnswer(Head);
  this->CarriesEvents = carriesEvents(this->AnswerMetadata, Head.Status);
  TimePoint Now = monotonicNow();
  this->Context.State.Contacts[this->Options.Target.Service].recordReached();
  this->Context.State.Crashes.recordProgress(Now, this->Options.Number);
  AnswerHoldOff HoldOff =
      recordHoldOff(this->Context.State.RequestDispatcher, Now,
                    this->Options.Number, Head.Status, this->AnswerMetadata);
  this->IsPaused = HoldOff.IsPaused;
  if (HoldOff.IsNewlyLeaving)
    logEvent(Severity::Info, "endpoint-leaving",
             {{"request", this->Options.RequestId},
              {"endpoint", this->Options.Target.Endpoint}});
  co_return;
}

asio::awaitable<void> StandbyAttempt::chunk(std::string Data) {
  if (this->IsPassedOn)
    co_return co_await this->Receiver->chunk(std::move(Data));
  if (this->IsCancelled || this->IsUnusable || !this->CarriesEvents)
    co_return;
  bool HasEvent = !this->Options.Preview.process(Data).empty();
  if (this->Options.Preview.fault() != EventFault::None) {
    this->IsUnusable = true;
    co_return this->Control.cancel();
  }
  if (!this->hold(this->Held.size() + Data.size()))
    co_return this->cancel();
  this->Held += Data;
  if (HasEvent)
    co_await this->handOver();
}

asio::awaitable<void> StandbyAttempt::handOver() {
  if (this->Receiver == nullptr &&
      (!this->Options.MayDeliver || !this->Options.MayDeliver()))
    co_return this->cancel();
  while (this->Receiver == nullptr && !this->IsCancelled)
    co_await this->Decided.wait(std::chrono::hours(1));
  if (this->Receiver == nullptr)
    co_return;
  this->IsPassedOn = true;
  this->HeldPlace.reset();
  co_await this->Receiver->head(this->AnswerHead);
  if (!this->Held.empty())
    co_await this->Receiver->chunk(std::move(this->Held));
}

bool StandbyAttempt::hold(std::size_t Bytes) {
  if (!this->HeldPlace)
    this->HeldPlace.emplace(
        this->Context.Budget, HeldWork::RepeatableAnswer,
        [WeakSelf = this->weak_from_this(), Executor = this->Context.Executor] {
          asio::post(Executor, [WeakSelf] {
            if (auto Self = WeakSelf.lock(); Self && !Self->IsPassedOn)
              Self->cancel();
          });
        });
  return this->HeldPlace->resize(Bytes);
}

void StandbyAttempt::settle() {
  EntryState &State = this->Context.State;
  const DispatchTarget &Target = this->Options.Target;
  if (const std::optional<MessageFault> &Fault = this->Control.fault()) {
    this->Context.Limits.recordBrokenAnswer(messageFaultName(Fault->Kind),
                                            Fault->Value, Target.Endpoint);
    this->IsUnusable = true;
  }
  bool IsComplete = this->End == HttpCallOutcome::Complete && this->HasHead &&
                    !this->IsUnusable;
  bool IsWritten = this->End != HttpCallOutcome::NotWritten;
  bool IsRefused = IsComplete && this->AnswerMetadata.NotRun;
  bool IsLost = IsWritten && !IsComplete && !this->IsCancelled;
  DispatchResult Result = this->IsCancelled ? DispatchResult::Cancelled
                          : this->IsPaused && (!IsWritten || IsRefused)
                              ? DispatchResult::Paused
                          : !IsWritten ? DispatchResult::Unreachable
                          : IsRefused  ? DispatchResult::Refused
                          : IsComplete ? DispatchResult::Failed
                                       : DispatchResult::Lost;
  TimePoint Now = monotonicNow();
  // Bytes that are no answer show neither a crash nor a lost link.
  bool IsConnectionLost = IsLost && !this->IsUnusable;
  if (Result == DispatchResult::Unreachable || IsConnectionLost)
    State.Contacts[Target.Service].recordFailure(Now, Target.Endpoint);
  State.RequestDispatcher.endAttempt(Now, this->Options.Number, Result);
  State.Crashes.endAttempt(Now, this->Options.Number,
                           IsConnectionLost ? ConnectionEnd::Lost
                                            : ConnectionEnd::Orderly);
  logEvent(Severity::Info, "standby",
           {{"request", this->Options.RequestId},
            {"endpoint", Target.Endpoint},
            {"place", Target.Name},
            {"end", resultName(Result)},
            {"silent_ms", 0}});
  this->MayHaveRun = IsWritten && !IsRefused;
}

} // namespace carobhinge
