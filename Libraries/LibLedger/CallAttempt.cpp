//===- LibLedger/CallAttempt.cpp - One attempt at a non-idempotent call ---===//
///
/// \file
/// The transition table and its handlers. An event without a row for the
/// current state is late and is ignored.
///
//===----------------------------------------------------------------------===//

#include <LibLedger/CallAttempt.h>

#include <LibCore/Hash.h>
#include <cassert>

namespace carobhinge {

using State = CallAttempt::State;

struct CallAttempt::Transition {
  State From;
  /// Index of the event's type in CallEvent.
  std::size_t Event;
  void (*Handle)(CallAttempt &, const CallEvent &);

  /// A transition whose handler receives the event.
  template <typename EventType, void (CallAttempt::*Handler)(const EventType &)>
  static Transition on(State From) {
    return {From, CallEvent(EventType{}).index(),
            [](CallAttempt &Self, const CallEvent &Event) {
              (Self.*Handler)(std::get<EventType>(Event));
            }};
  }

  /// A transition for an event that aborts the call; the handler receives only
  /// the reason.
  template <typename EventType, void (CallAttempt::*Handler)(std::string_view)>
  static Transition onAbort(State From) {
    return {From, CallEvent(EventType{}).index(),
            [](CallAttempt &Self, const CallEvent &) {
              (Self.*Handler)(abortReason(EventType{}));
            }};
  }

  static std::string_view abortReason(DeadlinePassed) { return "deadline"; }
  static std::string_view abortReason(CallerDisconnected) {
    return "caller-gone";
  }
  static std::string_view abortReason(ShutDown) { return "shutting-down"; }
};

std::span<const CallAttempt::Transition> CallAttempt::transitions() {
  using T = Transition;
  using Self = CallAttempt;
  using enum CallAttempt::State;
  static const std::vector<Transition> Table = {
      T::on<Opened, &Self::onOpened>(Opening),
      T::on<LedgerUnreachable, &Self::onUnreachable>(Opening),
      T::onAbort<DeadlinePassed, &Self::endUnknown>(Opening),
      T::onAbort<CallerDisconnected, &Self::endUnknown>(Opening),
      T::onAbort<ShutDown, &Self::closeUnclaimed>(Opening),

      T::on<JoinAnswered, &Self::onJoinAnswered>(Joining),
      T::on<LedgerUnreachable, &Self::onUnreachable>(Joining),
      T::onAbort<DeadlinePassed, &Self::endUnknown>(Joining),
      T::onAbort<CallerDisconnected, &Self::endUnknown>(Joining),
      T::onAbort<ShutDown, &Self::endUnknown>(Joining),

      T::on<SlotChosen, &Self::onSlotChosen>(Queued),
      T::on<RefusedByRouting, &Self::onRefused>(Queued),
      T::onAbort<DeadlinePassed, &Self::closeQueued>(Queued),
      T::onAbort<CallerDisconnected, &Self::closeQueued>(Queued),
      T::onAbort<ShutDown, &Self::closeQueued>(Queued),

      T::on<ClaimAnswered, &Self::onClaimAnswered>(Claiming),
      T::on<ClaimUnconfirmed, &Self::onClaimUnconfirmed>(Claiming),
      T::onAbort<DeadlinePassed, &Self::closeClaiming>(Claiming),
      T::onAbort<CallerDisconnected, &Self::closeClaiming>(Claiming),
      T::onAbort<ShutDown, &Self::closeClaiming>(Claiming),

      T::on<ConnectFailed, &Self::onConnectFailed>(Connecting),
      T::on<ByteWritten, &Self::onByteWritten>(Connecting),
      T::onAbort<DeadlinePassed, &Self::cancelConnecting>(Connecting),
      T::onAbort<CallerDisconnected, &Self::cancelConnecting>(Connecting),
      T::onAbort<ShutDown, &Self::cancelConnecting>(Connecting),

      T::on<ConnectFailed, &Self::onCancelled>(Cancelling),
      T::on<ByteWritten, &Self::onLateByteWritten>(Cancelling),

      T::on<AnswerRead, &Self::onAnswerRead>(Running),
      T::on<BrokenOff, &Self::onBrokenOff>(Running),
      T::onAbort<DeadlinePassed, &Self::answerUnknown>(Running),
      T::onAbort<ShutDown, &Self::answerUnknown>(Running),

      T::on<OutcomeRecorded, &Self::onRecorded>(Recording),
      T::on<OutcomeUnconfirmed, &Self::onRecordUnconfirmed>(Recording),
      T::on<RecordTimeoutPassed, &Self::onRecordTimeout>(Recording),
      T::onAbort<DeadlinePassed, &Self::answerFinal>(Recording),
      T::onAbort<ShutDown, &Self::answerFinal>(Recording),

      T::on<CloseAnswered, &Self::onClosed>(Closing),
      T::on<CloseUnconfirmed, &Self::onCloseUnconfirmed>(Closing),
      T::on<SlotChosen, &Self::onLateSlot>(Closing),
      T::onAbort<DeadlinePassed, &Self::answerUnknown>(Closing),

      T::on<SlotChosen, &Self::onLateSlot>(Ended),
  };
  return Table;
}

CallAttempt::CallAttempt(CallAttemptOptions Options)
    : Options(std::move(Options)) {}

std::vector<CallEffect> CallAttempt::start() {
  assert(this->CurrentState == State::Initial);
  this->CurrentState = State::Opening;
  this->emit(RequestOpen{});
  return std::exchange(this->PendingEffects, {});
}

std::vector<CallEffect> CallAttempt::handle(const CallEvent &Event) {
  // The caller has disconnected: no answer is sent from here on, in any state.
  if (std::holds_alternative<CallerDisconnected>(Event))
    this->HasAnswered = true;
  for (const Transition &Row : transitions()) {
    if (Row.From != this->CurrentState || Row.Event != Event.index())
      continue;
    Row.Handle(*this, Event);
    break;
  }
  return std::exchange(this->PendingEffects, {});
}

// Opening and joining.

void CallAttempt::onOpened(const Opened &Event) {
  this->Ticket = Event.Reply.index();
  if (this->endIfFinal(Event.Reply))
    return;
  if (Event.Reply.standing() == message::LEDGER_CLAIMED)
    this->join();
  else
    this->enterQueue();
}

void CallAttempt::onUnreachable(const LedgerUnreachable &) {
  this->endUnknown("ledger-unreachable");
}

void CallAttempt::join() {
  this->CurrentState = State::Joining;
  this->emit(RequestJoin{.Delay = this->Options.JoinInterval});
}

void CallAttempt::onJoinAnswered(const JoinAnswered &Event) {
  if (this->endIfFinal(Event.Reply))
    return;
  if (Event.Reply.standing() == message::LEDGER_CLAIMED)
    this->join();
  else
    // The first ticket remains in use: if the holder was refused as not run,
    // this older call must not run the key.
    this->enterQueue();
}

// Queueing and claiming.

void CallAttempt::enterQueue() {
  this->CurrentState = State::Queued;
  this->emit(EnterQueue{});
}

void CallAttempt::onSlotChosen(const SlotChosen &Event) {
  this->Slot = Event;
  this->SlotHeld = true;
  ++this->DispatchNumber;
  this->CurrentState = State::Claiming;
  this->proposeClaim();
}

void CallAttempt::onLateSlot(const SlotChosen &Event) {
  this->emit(ReleaseSlot{.Endpoint = Event.Endpoint});
}

void CallAttempt::onRefused(const RefusedByRouting &Event) {
  this->close(Event.Reason, Event.RetryAfter);
}

void CallAttempt::proposeClaim() {
  message::LedgerCommand Command;
  message::LedgerClaim &Claim = *Command.mutable_claim();
  *Claim.mutable_key() = this->Options.Key;
  Claim.set_content_digest(this->Options.ContentDigest);
  *Claim.mutable_attempt() = this->Options.Attempt;
  Claim.set_dispatch(this->DispatchNumber);
  Claim.set_ticket(this->Ticket);
  Claim.set_endpoint(this->Slot.Endpoint);
  Claim.set_rule(this->Options.Rule);
  Claim.set_retention_days(this->Options.RetentionDays);
  this->emit(ProposeClaim{.Command = std::move(Command)});
}

void CallAttempt::onClaimAnswered(const ClaimAnswered &Event) {
  // A late reply to the claim of an earlier slot, which has been released.
  if (Event.Reply.dispatch() != this->DispatchNumber)
    return;
  if (Event.Reply.standing() == message::LEDGER_GRANTED) {
    this->CurrentState = State::Connecting;
    this->emit(DispatchCall{.Number = this->DispatchNumber,
                            .Endpoint = this->Slot.Endpoint,
                            .Address = this->Slot.Address});
    return;
  }
  this->releaseSlot();
  if (this->endIfFinal(Event.Reply))
    return;
  if (Event.Reply.standing() == message::LEDGER_CLAIMED)
    this->join();
  else if (Event.Reply.standing() == message::LEDGER_KEY_REFUSED)
    this->close("ledger-full", this->Options.UnknownRetryAfter);
  else
    this->close("refused-elsewhere", this->Options.UnknownRetryAfter);
}

void CallAttempt::onClaimUnconfirmed(const ClaimUnconfirmed &Event) {
  if (Event.Dispatch != this->DispatchNumber)
    return;
  if (this->UnconfirmedClaims++ < this->Options.ClaimRetries)
    this->proposeClaim();
  else
    this->closeClaiming("ledger-unreachable");
}

// Dispatching. Until ByteWritten the call cannot have run under this claim.

void CallAttempt::onConnectFailed(const ConnectFailed &Event) {
  if (Event.Dispatch != this->DispatchNumber)
    return;
  message::LedgerCommand Command;
  message::LedgerRelease &Release = *Command.mutable_release();
  *Release.mutable_key() = this->Options.Key;
  *Release.mutable_attempt() = this->Options.Attempt;
  Release.set_dispatch(this->DispatchNumber);
  this->emit(ProposeRelease{.Command = std::move(Command)});
  this->releaseSlot();
  this->enterQueue();
}

void CallAttempt::onCancelled(const ConnectFailed &Event) {
  if (Event.Dispatch != this->DispatchNumber)
    return;
  this->releaseSlot();
  this->close(this->Refusal.Reason, this->Refusal.RetryAfter);
}

void CallAttempt::onByteWritten(const ByteWritten &Event) {
  if (Event.Dispatch == this->DispatchNumber)
    this->CurrentState = State::Running;
}

void CallAttempt::onLateByteWritten(const ByteWritten &) {
  this->emit(CancelDispatch{.Number = this->DispatchNumber});
}

void CallAttempt::onAnswerRead(const AnswerRead &Event) {
  if (!Event.Complete) {
    this->onBrokenOff({});
    return;
  }
  this->Outcome.set_answered(true);
  this->Outcome.set_status(Event.Status);
  this->Outcome.set_content_type(Event.ContentType);
  this->Outcome.set_body_bytes(Event.Body.size());
  this->Outcome.set_body_digest(digest(Event.Body));
  if (Event.Body.size() <= this->Options.BodyBytes)
    this->Outcome.set_body(Event.Body);
  this->FinalAnswer = {.Kind = AnswerKind::Answered,
                       .Status = Event.Status,
                       .ContentType = Event.ContentType,
                       .Body = Event.Body,
                       .BodyOmitted = false,
                       .BodyBytes = Event.Body.size(),
                       .BodyDigest = this->Outcome.body_digest(),
                       .Reason = "",
                       .RetryAfter = {}};
  this->releaseSlot();
  this->CurrentState = State::Recording;
  this->proposeOutcome({});
}

void CallAttempt::onBrokenOff(const BrokenOff &) {
  this->Outcome.set_answered(false);
  this->releaseSlot();
  this->CurrentState = State::Recording;
  this->answerUnknown("broken-off");
  this->proposeOutcome({});
}

// Recording. The answer is delayed until the outcome is recorded, for a bounded
// time, so that a resend gets the same answer.

void CallAttempt::proposeOutcome(Duration Delay) {
  message::LedgerCommand Command;
  message::LedgerRecordOutcome &Record = *Command.mutable_record();
  *Record.mutable_key() = this->Options.Key;
  *Record.mutable_attempt() = this->Options.Attempt;
  *Record.mutable_outcome() = this->Outcome;
  this->emit(ProposeOutcome{.Command = std::move(Command), .Delay = Delay});
}

void CallAttempt::onRecorded(const OutcomeRecorded &) {
  this->answer(this->FinalAnswer);
  this->CurrentState = State::Ended;
}

void CallAttempt::onRecordUnconfirmed(const OutcomeUnconfirmed &) {
  this->proposeOutcome(this->Options.RecordInterval);
}

void CallAttempt::onRecordTimeout(const RecordTimeoutPassed &) {
  this->answer(this->FinalAnswer);
}

void CallAttempt::answerFinal(std::string_view) {
  this->answer(this->FinalAnswer);
}

// Closing. "Not run" is answered only here, after the close was committed.

void CallAttempt::close(std::string_view Reason, Duration RetryAfter) {
  assert(!this->SlotHeld);
  this->Refusal.Reason = Reason;
  this->Refusal.RetryAfter = RetryAfter;
  this->CurrentState = State::Closing;
  this->proposeClose({});
}

void CallAttempt::proposeClose(Duration Delay) {
  message::LedgerCommand Command;
  message::LedgerClose &Close = *Command.mutable_close();
  *Close.mutable_key() = this->Options.Key;
  Close.set_content_digest(this->Options.ContentDigest);
  *Close.mutable_attempt() = this->Options.Attempt;
  this->emit(ProposeClose{.Command = std::move(Command), .Delay = Delay});
}

void CallAttempt::onClosed(const CloseAnswered &Event) {
  if (this->endIfFinal(Event.Reply))
    return;
  if (Event.Reply.standing() == message::LEDGER_CLOSED) {
    this->Refusal.Kind = AnswerKind::NotRun;
    this->answer(this->Refusal);
  }
  this->endUnknown("in-flight");
}

void CallAttempt::onCloseUnconfirmed(const CloseUnconfirmed &) {
  this->answerUnknown("ledger-unreachable");
  if (this->DispatchNumber == 0)
    this->CurrentState = State::Ended;
  else
    this->proposeClose(this->Options.RecordInterval);
}

/// Ends an attempt that was answered without an outcome of its own. A claim
/// whose reply was not received may still be committed and would block the key,
/// so it is closed in the background.
void CallAttempt::end() {
  bool MayHoldClaim = this->DispatchNumber > 0;
  if (MayHoldClaim && this->CurrentState != State::Closing)
    this->close("", {});
  else
    this->CurrentState = State::Ended;
}

void CallAttempt::closeUnclaimed(std::string_view Reason) {
  this->close(Reason, this->Options.UnknownRetryAfter);
}

void CallAttempt::closeQueued(std::string_view Reason) {
  this->emit(LeaveQueue{});
  this->closeUnclaimed(Reason);
}

void CallAttempt::closeClaiming(std::string_view Reason) {
  this->releaseSlot();
  this->closeUnclaimed(Reason);
}

void CallAttempt::cancelConnecting(std::string_view Reason) {
  this->Refusal.Reason = Reason;
  this->Refusal.RetryAfter = this->Options.UnknownRetryAfter;
  this->CurrentState = State::Cancelling;
  this->emit(CancelDispatch{.Number = this->DispatchNumber});
}

// Answering.

void CallAttempt::answerUnknown(std::string_view Reason) {
  this->answer({.Kind = AnswerKind::Unknown,
                .Status = 0,
                .ContentType = "",
                .Body = "",
                .BodyOmitted = false,
                .BodyBytes = 0,
                .BodyDigest = "",
                .Reason = std::string(Reason),
                .RetryAfter = this->Options.UnknownRetryAfter});
}

void CallAttempt::endUnknown(std::string_view Reason) {
  this->answerUnknown(Reason);
  this->end();
}

static std::string_view refusalReason(message::LedgerKeyRefusal Refusal) {
  switch (Refusal) {
  case message::LEDGER_KEY_NOT_DATED:
    return "key-not-dated";
  case message::LEDGER_KEY_TOO_OLD:
    return "key-too-old";
  case message::LEDGER_KEY_TOO_NEW:
    return "key-too-new";
  case message::LEDGER_KEY_TOO_LONG:
    return "key-too-long";
  default:
    return "key-refused";
  }
}

/// The answer to a resend, from the recorded outcome of the first call.
static Answer answerFromOutcome(const message::LedgerOutcome &Outcome) {
  return {.Kind = AnswerKind::Answered,
          .Status = Outcome.status(),
          .ContentType = Outcome.content_type(),
          .Body = Outcome.body(),
          .BodyOmitted = Outcome.body().size() != Outcome.body_bytes(),
          .BodyBytes = Outcome.body_bytes(),
          .BodyDigest = Outcome.body_digest(),
          .Reason = "",
          .RetryAfter = {}};
}

bool CallAttempt::endIfFinal(const message::LedgerReply &Reply) {
  Answer NewAnswer;
  // After a recorded outcome or a retirement no late claim can be granted.
  bool LateClaimImpossible = true;
  switch (Reply.standing()) {
  case message::LEDGER_ANSWERED:
    NewAnswer = answerFromOutcome(Reply.outcome());
    break;
  case message::LEDGER_UNKNOWN:
    NewAnswer.Reason = "outcome-unknown";
    break;
  case message::LEDGER_RETIRED:
    NewAnswer.Reason = "incarnation-retired";
    break;
  case message::LEDGER_CONFLICT:
    NewAnswer.Kind = AnswerKind::Conflict;
    NewAnswer.Reason = "key-conflict";
    LateClaimImpossible = false;
    break;
  case message::LEDGER_KEY_REFUSED:
    if (Reply.refusal() == message::LEDGER_KEY_NO_ROOM)
      return false;
    NewAnswer.Kind = AnswerKind::KeyRefused;
    NewAnswer.Reason = refusalReason(Reply.refusal());
    LateClaimImpossible = false;
    break;
  default:
    return false;
  }
  this->answer(std::move(NewAnswer));
  if (LateClaimImpossible)
    this->CurrentState = State::Ended;
  else
    this->end();
  return true;
}

void CallAttempt::answer(Answer NewAnswer) {
  if (!std::exchange(this->HasAnswered, true))
    this->emit(std::move(NewAnswer));
}

void CallAttempt::releaseSlot() {
  if (std::exchange(this->SlotHeld, false))
    this->emit(ReleaseSlot{.Endpoint = this->Slot.Endpoint});
}

void CallAttempt::emit(CallEffect Effect) {
  this->PendingEffects.push_back(std::move(Effect));
}

} // namespace carobhinge
