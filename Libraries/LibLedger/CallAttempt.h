//===- LibLedger/CallAttempt.h - One attempt at a non-idempotent call -----===//
///
/// \file
/// The state machine that an entry host runs for one call that must not be
/// executed twice: open, queue, claim, dispatch, record, answer. Only this
/// class answers "not run", and only after the ledger has committed that no
/// attempt opened so far can run the key.
///
/// The driver performs the effects in order and reports each result as an
/// event. Events that do not apply to the current state are late and are
/// ignored, so the driver need not filter them.
///
//===----------------------------------------------------------------------===//

#ifndef LIBLEDGER_CALLATTEMPT_H
#define LIBLEDGER_CALLATTEMPT_H

#include <LibLedger/CallEvent.h>
#include <span>
#include <string_view>
#include <vector>

namespace carobhinge {

struct CallAttemptOptions {
  message::LedgerKey Key;
  /// digest() of all content that identifies a call. A resend has the same one.
  std::string ContentDigest;
  /// Unique within this incarnation of the host.
  message::LedgerAttempt Attempt;
  message::LedgerKeyRule Rule = message::LEDGER_KEY_DATED;
  std::uint32_t RetentionDays = 30;
  /// Maximum answer body size written to the ledger; LedgerLimits::BodyBytes.
  std::size_t BodyBytes = 16 * 1024;
  /// Delay between two reads of a claim that another attempt holds.
  Duration JoinInterval = std::chrono::milliseconds(100);
  /// Maximum time that the answer to the caller is delayed by recording it.
  Duration RecordTimeout = std::chrono::seconds(1);
  /// Delay between two proposals to record an outcome or to close the key.
  Duration RecordInterval = std::chrono::milliseconds(500);
  /// Retry-after value of an `unknown` answer.
  Duration UnknownRetryAfter = std::chrono::seconds(1);
  /// Number of times that an unconfirmed claim is proposed again before the
  /// call is closed.
  std::uint32_t ClaimRetries = 1;
};

class CallAttempt {
public:
  enum class State {
    Initial,
    /// The ledger is being read.
    Opening,
    /// Waits until another attempt's claim ends.
    Joining,
    /// Waits for a slot. The ledger holds no claim of this attempt.
    Queued,
    /// A slot is held; the ledger may hold a claim of this attempt.
    Claiming,
    /// The claim is held; no byte has been written.
    Connecting,
    /// Aborted; waits for confirmation that no byte was written.
    Cancelling,
    /// A byte may have been written; only an outcome ends this state.
    Running,
    /// The outcome is known and being recorded.
    Recording,
    /// Aborted before any byte was written; the close is being committed. The
    /// caller may already have its answer.
    Closing,
    Ended,
  };

  explicit CallAttempt(CallAttemptOptions Options);

  /// Must be called once, before any event.
  std::vector<CallEffect> start();

  std::vector<CallEffect> handle(const CallEvent &Event);

  [[nodiscard]] State state() const { return this->CurrentState; }
  /// No more effects follow; the attempt may be destroyed.
  [[nodiscard]] bool ended() const {
    return this->CurrentState == State::Ended;
  }
  [[nodiscard]] bool answered() const { return this->HasAnswered; }

private:
  using Effects = std::vector<CallEffect>;
  /// One row of the transition table: the handler of an event in a state.
  struct Transition;
  static std::span<const Transition> transitions();

  void onOpened(const Opened &Event);
  void onUnreachable(const LedgerUnreachable &Event);
  void onJoinAnswered(const JoinAnswered &Event);
  void onSlotChosen(const SlotChosen &Event);
  void onLateSlot(const SlotChosen &Event);
  void onRefused(const RefusedByRouting &Event);
  void onClaimAnswered(const ClaimAnswered &Event);
  void onClaimUnconfirmed(const ClaimUnconfirmed &Event);
  void onConnectFailed(const ConnectFailed &Event);
  void onCancelled(const ConnectFailed &Event);
  void onByteWritten(const ByteWritten &Event);
  void onLateByteWritten(const ByteWritten &Event);
  void onAnswerRead(const AnswerRead &Event);
  void onBrokenOff(const BrokenOff &Event);
  void onRecorded(const OutcomeRecorded &Event);
  void onRecordUnconfirmed(const OutcomeUnconfirmed &Event);
  void onRecordTimeout(const RecordTimeoutPassed &Event);
  void onClosed(const CloseAnswered &Event);
  void onCloseUnconfirmed(const CloseUnconfirmed &Event);

  // Handlers shared by DeadlinePassed, CallerDisconnected and ShutDown.
  void endUnknown(std::string_view Reason);
  void closeUnclaimed(std::string_view Reason);
  void closeQueued(std::string_view Reason);
  void closeClaiming(std::string_view Reason);
  void cancelConnecting(std::string_view Reason);
  void answerUnknown(std::string_view Reason);
  void answerFinal(std::string_view Reason);

  void emit(CallEffect Effect);
  void answer(Answer NewAnswer);
  /// If the status in the reply is final, answers accordingly, ends the attempt
  /// and returns true. Returns false otherwise.
  bool endIfFinal(const message::LedgerReply &Reply);
  void enterQueue();
  void join();
  void proposeClaim();
  void proposeOutcome(Duration Delay);
  void close(std::string_view Reason, Duration RetryAfter);
  void proposeClose(Duration Delay);
  void end();
  void releaseSlot();

  CallAttemptOptions Options;
  State CurrentState = State::Initial;
  Effects PendingEffects;
  bool HasAnswered = false;
  /// The applied index of the first open. It is never renewed, so a close
  /// committed after it also invalidates this attempt.
  std::uint64_t Ticket = 0;
  /// Number of the current slot's claim. Replies to earlier claims carry
  /// another number and are ignored.
  std::uint32_t DispatchNumber = 0;
  std::uint32_t UnconfirmedClaims = 0;
  SlotChosen Slot;
  bool SlotHeld = false;
  message::LedgerOutcome Outcome;
  /// The answer to the caller once the outcome is recorded.
  Answer FinalAnswer;
  /// Reason and retry-after of the refusal while the call is being closed.
  Answer Refusal;
};

} // namespace carobhinge

#endif // LIBLEDGER_CALLATTEMPT_H
