//===- LibLedger/CallAttempt.cpp - One attempt at a non-idempotent call ---===//
///
/// \file
/// The transition table and its handlers. A pair of state and event without a
/// row is a late event and changes nothing.
///
//===----------------------------------------------------------------------===//

#include <LibLedger/CallAttempt.h>

#include <LibCore/Hash.h>
#include <cassert>

namespace carobhinge {

using State = CallAttempt::State;

struct CallAttempt::Transition {
  State From;
  /// The event's place in CallEvent.
  std::size_t Event;
  void (*Handle)(CallAttempt &, const CallEvent &);

  /// An event that one handler answers.
  template <typename EventType, void (CallAttempt::*Handler)(const EventType &)>
  static Transition on(State From) {
    return {From, CallEvent(EventType{}).index(),
            [](CallAttempt &Self, const CallEvent &Event) {
              (Self.*Handler)(std::get<EventType>(Event));
            }};
  }

  /// An event that ends the wish to run the call; only its reason matters.
  template <typename EventType, void (CallAttempt::*Handler)(std::string_view)>
  static Transition wish(State From) {
    return {From, CallEvent(EventType{}).index(),
            [](CallAttempt &Self, const CallEvent &) {
              (Self.*Handler)(reasonOf(EventType{}));
            }};
  }

  static std::string_view reasonOf(DeadlinePassed) { return "deadline"; }
  static std::string_view reasonOf(CallerGone) { return "caller-gone"; }
  static std::string_view reasonOf(ShutDown) { return "shutting-down"; }
};

std::span<const CallAttempt::Transition> CallAttempt::transitions() {
  using T = Transition;
  using Self = CallAttempt;
  using enum CallAttempt::State;
  static const std::vector<Transition> Table = {
      T::on<Opened, &Self::onOpened>(Opening),
      T::on<LedgerUnreachable, &Self::onUnreachable>(Opening),
      T::wish<DeadlinePassed, &Self::endUnknown>(Opening),
      T::wish<CallerGone, &Self::endUnknown>(Opening),
      T::wish<ShutDown, &Self::closeUnclaimed>(Opening),

      T::on<JoinAnswered, &Self::onJoinAnswered>(Joining),
      T::on<LedgerUnreachable, &Self::onUnreachable>(Joining),
      T::wish<DeadlinePassed, &Self::endUnknown>(Joining),
      T::wish<CallerGone, &Self::endUnknown>(Joining),
      T::wish<ShutDown, &Self::endUnknown>(Joining),

      T::on<SlotChosen, &Self::onSlotChosen>(Queued),
      T::on<RefusedByRouting, &Self::onRefused>(Queued),
      T::wish<DeadlinePassed, &Self::closeQueued>(Queued),
      T::wish<CallerGone, &Self::closeQueued>(Queued),
      T::wish<ShutDown, &Self::closeQueued>(Queued),

      T::on<ClaimAnswered, &Self::onClaimAnswered>(Claiming),
      T::on<ClaimLost, &Self::onClaimLost>(Claiming),
      T::wish<DeadlinePassed, &Self::closeClaiming>(Claiming),
      T::wish<CallerGone, &Self::closeClaiming>(Claiming),
      T::wish<ShutDown, &Self::closeClaiming>(Claiming),

      T::on<ConnectFailed, &Self::onConnectFailed>(Connecting),
      T::on<ByteWritten, &Self::onByteWritten>(Connecting),
      T::wish<DeadlinePassed, &Self::cancelConnecting>(Connecting),
      T::wish<CallerGone, &Self::cancelConnecting>(Connecting),
      T::wish<ShutDown, &Self::cancelConnecting>(Connecting),

      T::on<ConnectFailed, &Self::onCancelled>(Cancelling),
      T::on<ByteWritten, &Self::onLateByte>(Cancelling),

      T::on<AnswerRead, &Self::onAnswerRead>(Running),
      T::on<BrokenOff, &Self::onBrokenOff>(Running),
      T::wish<DeadlinePassed, &Self::answerUnknown>(Running),
      T::wish<ShutDown, &Self::answerUnknown>(Running),

      T::on<OutcomeRecorded, &Self::onRecorded>(Recording),
      T::on<RecordLost, &Self::onRecordLost>(Recording),
      T::on<RecordBoundPassed, &Self::onRecordBound>(Recording),
      T::wish<DeadlinePassed, &Self::answerFinal>(Recording),
      T::wish<ShutDown, &Self::answerFinal>(Recording),

      T::on<CloseAnswered, &Self::onClosed>(Closing),
      T::on<CloseLost, &Self::onCloseLost>(Closing),
      T::on<SlotChosen, &Self::onLateSlot>(Closing),
      T::wish<DeadlinePassed, &Self::answerUnknown>(Closing),

      T::on<SlotChosen, &Self::onLateSlot>(Ended),
  };
  return Table;
}

CallAttempt::CallAttempt(CallAttemptOptions Options)
    : Options(std::move(Options)) {}

std::vector<CallEffect> CallAttempt::start() {
  assert(this->Current == State::New);
  this->Current = State::Opening;
  this->emit(AskOpen{});
  return std::exchange(this->Pending, {});
}

std::vector<CallEffect> CallAttempt::handle(const CallEvent &Event) {
  // Nobody listens any more: as good as answered, in every state.
  if (std::holds_alternative<CallerGone>(Event))
    this->AnswerGiven = true;
  for (const Transition &Each : transitions()) {
    if (Each.From != this->Current || Each.Event != Event.index())
      continue;
    Each.Handle(*this, Event);
    break;
  }
  return std::exchange(this->Pending, {});
}

// Opening and joining.

void CallAttempt::onOpened(const Opened &Event) {
  this->Ticket = Event.Reply.index();
  if (this->endBy(Event.Reply))
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
  this->Current = State::Joining;
  this->emit(AskJoin{.After = this->Options.JoinInterval});
}

void CallAttempt::onJoinAnswered(const JoinAnswered &Event) {
  if (this->endBy(Event.Reply))
    return;
  if (Event.Reply.standing() == message::LEDGER_CLAIMED)
    this->join();
  else
    // The first ticket goes on counting: if the holder was refused and its
    // caller told so, this older call must not run the key after all.
    this->enterQueue();
}

// Queueing and claiming.

void CallAttempt::enterQueue() {
  this->Current = State::Queued;
  this->emit(EnterQueue{});
}

void CallAttempt::onSlotChosen(const SlotChosen &Event) {
  this->Slot = Event;
  this->SlotHeld = true;
  ++this->DispatchNumber;
  this->Current = State::Claiming;
  this->askClaim();
}

void CallAttempt::onLateSlot(const SlotChosen &Event) {
  this->emit(ReleaseSlot{.Endpoint = Event.Endpoint});
}

void CallAttempt::onRefused(const RefusedByRouting &Event) {
  this->close(Event.Reason, Event.RetryAfter);
}

void CallAttempt::askClaim() {
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
  this->emit(AskClaim{.Command = std::move(Command)});
}

void CallAttempt::onClaimAnswered(const ClaimAnswered &Event) {
  // A late reply to an earlier slot's claim, which was released since.
  if (Event.Reply.dispatch() != this->DispatchNumber)
    return;
  if (Event.Reply.standing() == message::LEDGER_GRANTED) {
    this->Current = State::Connecting;
    this->emit(DispatchCall{.Number = this->DispatchNumber,
                            .Endpoint = this->Slot.Endpoint,
                            .Address = this->Slot.Address});
    return;
  }
  this->releaseSlot();
  if (this->endBy(Event.Reply))
    return;
  if (Event.Reply.standing() == message::LEDGER_CLAIMED)
    this->join();
  else if (Event.Reply.standing() == message::LEDGER_KEY_REFUSED)
    this->close("ledger-full", this->Options.UnknownRetryAfter);
  else
    this->close("refused-elsewhere", this->Options.UnknownRetryAfter);
}

void CallAttempt::onClaimLost(const ClaimLost &Event) {
  if (Event.Dispatch != this->DispatchNumber)
    return;
  if (this->ClaimsLost++ < this->Options.ClaimRetries)
    this->askClaim();
  else
    this->closeClaiming("ledger-unreachable");
}

// Dispatching. Until ByteWritten the call surely has not run under this claim.

void CallAttempt::onConnectFailed(const ConnectFailed &Event) {
  if (Event.Dispatch != this->DispatchNumber)
    return;
  message::LedgerCommand Command;
  message::LedgerRelease &Release = *Command.mutable_release();
  *Release.mutable_key() = this->Options.Key;
  *Release.mutable_attempt() = this->Options.Attempt;
  Release.set_dispatch(this->DispatchNumber);
  this->emit(AskRelease{.Command = std::move(Command)});
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
    this->Current = State::Running;
}

void CallAttempt::onLateByte(const ByteWritten &) {
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
  this->Final = {.Kind = AnswerKind::Answered,
                 .Status = Event.Status,
                 .ContentType = Event.ContentType,
                 .Body = Event.Body,
                 .BodyOmitted = false,
                 .BodyBytes = Event.Body.size(),
                 .BodyDigest = this->Outcome.body_digest(),
                 .Reason = "",
                 .RetryAfter = {}};
  this->releaseSlot();
  this->Current = State::Recording;
  this->askRecord({});
}

void CallAttempt::onBrokenOff(const BrokenOff &) {
  this->Outcome.set_answered(false);
  this->releaseSlot();
  this->Current = State::Recording;
  this->answerUnknown("broken-off");
  this->askRecord({});
}

// Recording. The caller's answer waits for the record, within a bound, so that
// a resend gets the same one.

void CallAttempt::askRecord(Duration After) {
  message::LedgerCommand Command;
  message::LedgerRecordOutcome &Record = *Command.mutable_record();
  *Record.mutable_key() = this->Options.Key;
  *Record.mutable_attempt() = this->Options.Attempt;
  *Record.mutable_outcome() = this->Outcome;
  this->emit(AskRecord{.Command = std::move(Command), .After = After});
}

void CallAttempt::onRecorded(const OutcomeRecorded &) {
  this->answer(this->Final);
  this->Current = State::Ended;
}

void CallAttempt::onRecordLost(const RecordLost &) {
  this->askRecord(this->Options.RecordInterval);
}

void CallAttempt::onRecordBound(const RecordBoundPassed &) {
  this->answer(this->Final);
}

void CallAttempt::answerFinal(std::string_view) { this->answer(this->Final); }

// Giving up. "Not run" leaves only here, after the close was committed.

void CallAttempt::close(std::string_view Reason, Duration RetryAfter) {
  assert(!this->SlotHeld);
  this->Refusal.Reason = Reason;
  this->Refusal.RetryAfter = RetryAfter;
  this->Current = State::Closing;
  this->askClose({});
}

void CallAttempt::askClose(Duration After) {
  message::LedgerCommand Command;
  message::LedgerClose &Close = *Command.mutable_close();
  *Close.mutable_key() = this->Options.Key;
  Close.set_content_digest(this->Options.ContentDigest);
  *Close.mutable_attempt() = this->Options.Attempt;
  this->emit(AskClose{.Command = std::move(Command), .After = After});
}

void CallAttempt::onClosed(const CloseAnswered &Event) {
  if (this->endBy(Event.Reply))
    return;
  if (Event.Reply.standing() == message::LEDGER_CLOSED) {
    this->Refusal.Kind = AnswerKind::NotRun;
    this->answer(this->Refusal);
  }
  this->endUnknown("in-flight");
}

void CallAttempt::onCloseLost(const CloseLost &) {
  this->answerUnknown("ledger-unreachable");
  if (this->DispatchNumber == 0)
    this->Current = State::Ended;
  else
    this->askClose(this->Options.RecordInterval);
}

/// Ends an attempt that was answered without an outcome of its own. A claim of
/// which no reply was seen may yet be committed and would block the key, so it
/// is closed in the background.
void CallAttempt::end() {
  bool MayHoldClaim = this->DispatchNumber > 0;
  if (MayHoldClaim && this->Current != State::Closing)
    this->close("", {});
  else
    this->Current = State::Ended;
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
  this->Current = State::Cancelling;
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

static std::string_view nameOf(message::LedgerKeyRefusal Refusal) {
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

/// The recorded answer of the first call, for a resend.
static Answer answerOf(const message::LedgerOutcome &Outcome) {
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

bool CallAttempt::endBy(const message::LedgerReply &Reply) {
  Answer Given;
  // Against a recorded outcome or a retirement no late claim can be granted.
  bool Settled = true;
  switch (Reply.standing()) {
  case message::LEDGER_ANSWERED:
    Given = answerOf(Reply.outcome());
    break;
  case message::LEDGER_UNKNOWN:
    Given.Reason = "outcome-unknown";
    break;
  case message::LEDGER_RETIRED:
    Given.Reason = "incarnation-retired";
    break;
  case message::LEDGER_CONFLICT:
    Given.Kind = AnswerKind::Conflict;
    Given.Reason = "key-conflict";
    Settled = false;
    break;
  case message::LEDGER_KEY_REFUSED:
    if (Reply.refusal() == message::LEDGER_KEY_NO_ROOM)
      return false;
    Given.Kind = AnswerKind::KeyRefused;
    Given.Reason = nameOf(Reply.refusal());
    Settled = false;
    break;
  default:
    return false;
  }
  this->answer(std::move(Given));
  if (Settled)
    this->Current = State::Ended;
  else
    this->end();
  return true;
}

void CallAttempt::answer(Answer Given) {
  if (!std::exchange(this->AnswerGiven, true))
    this->emit(std::move(Given));
}

void CallAttempt::releaseSlot() {
  if (std::exchange(this->SlotHeld, false))
    this->emit(ReleaseSlot{.Endpoint = this->Slot.Endpoint});
}

void CallAttempt::emit(CallEffect Effect) {
  this->Pending.push_back(std::move(Effect));
}

} // namespace carobhinge
