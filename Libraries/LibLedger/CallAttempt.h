//===- LibLedger/CallAttempt.h - One attempt at a non-idempotent call -----===//
///
/// \file
/// Decides on one entry host what happens to one call that must not repeat:
/// opened, queued, claimed, dispatched, recorded, answered. It is the one place
/// that may answer "not run", and does so only after the ledger committed that
/// no attempt opened so far can run the key.
///
/// The driver carries effects out in their order and reports each result as an
/// event. Events that no longer fit the state are late and are ignored, so a
/// driver need not suppress them.
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
  /// digest() of everything that makes two calls the same call.
  std::string ContentDigest;
  /// Never used again by this incarnation of the host.
  message::LedgerAttempt Attempt;
  message::LedgerKeyRule Rule = message::LEDGER_KEY_DATED;
  std::uint32_t RetentionDays = 30;
  /// Longest answer body handed to the ledger; LedgerLimits::BodyBytes.
  std::size_t BodyBytes = 16 * 1024;
  /// Between two looks at a claim held by another attempt.
  Duration JoinInterval = std::chrono::milliseconds(100);
  /// How long the caller waits for its answer to be recorded.
  Duration RecordBound = std::chrono::seconds(1);
  /// Between two tries to record an outcome.
  Duration RecordInterval = std::chrono::milliseconds(500);
  /// What an `unknown` tells the caller to wait.
  Duration UnknownRetryAfter = std::chrono::seconds(1);
  /// How often a lost claim is asked again before the call is given up.
  std::uint32_t ClaimRetries = 1;
};

class CallAttempt {
public:
  enum class State {
    New,
    /// The ledger is being read.
    Opening,
    /// Another attempt holds the claim; its end is waited for.
    Joining,
    /// Waits for a slot. Nothing stands in the ledger.
    Queued,
    /// A slot is held; a claim may stand in the ledger.
    Claiming,
    /// The claim is held; no byte was written.
    Connecting,
    /// No longer wanted; waits until it is sure that no byte was written.
    Cancelling,
    /// A byte may have been written: only an outcome ends this.
    Running,
    /// The outcome is known and being recorded.
    Recording,
    /// Given up without a byte written; the close is being committed. The
    /// caller may have been answered already.
    Closing,
    Ended,
  };

  explicit CallAttempt(CallAttemptOptions Options);

  /// To be called once, before any event.
  std::vector<CallEffect> start();

  std::vector<CallEffect> handle(const CallEvent &Event);

  [[nodiscard]] State state() const { return this->Current; }
  /// Nothing more will be asked or answered; the attempt may be destroyed.
  [[nodiscard]] bool ended() const { return this->Current == State::Ended; }
  [[nodiscard]] bool answered() const { return this->AnswerGiven; }

private:
  using Effects = std::vector<CallEffect>;
  /// One row of the transition table: what an event means in a state.
  struct Transition;
  static std::span<const Transition> transitions();

  void onOpened(const Opened &Event);
  void onUnreachable(const LedgerUnreachable &Event);
  void onJoinAnswered(const JoinAnswered &Event);
  void onSlotChosen(const SlotChosen &Event);
  void onLateSlot(const SlotChosen &Event);
  void onRefused(const RefusedByRouting &Event);
  void onClaimAnswered(const ClaimAnswered &Event);
  void onClaimLost(const ClaimLost &Event);
  void onConnectFailed(const ConnectFailed &Event);
  void onCancelled(const ConnectFailed &Event);
  void onByteWritten(const ByteWritten &Event);
  void onLateByte(const ByteWritten &Event);
  void onAnswerRead(const AnswerRead &Event);
  void onBrokenOff(const BrokenOff &Event);
  void onRecorded(const OutcomeRecorded &Event);
  void onRecordLost(const RecordLost &Event);
  void onRecordBound(const RecordBoundPassed &Event);
  void onClosed(const CloseAnswered &Event);
  void onCloseLost(const CloseLost &Event);

  // What a passed deadline, a lost caller and a stop have in common.
  void endUnknown(std::string_view Reason);
  void closeUnclaimed(std::string_view Reason);
  void closeQueued(std::string_view Reason);
  void closeClaiming(std::string_view Reason);
  void cancelConnecting(std::string_view Reason);
  void answerUnknown(std::string_view Reason);
  void answerFinal(std::string_view Reason);

  void emit(CallEffect Effect);
  void answer(Answer Given);
  /// Gives the answer that a settled standing calls for and ends the attempt.
  /// False if the standing settles nothing.
  bool endBy(const message::LedgerReply &Reply);
  void enterQueue();
  void join();
  void askClaim();
  void askRecord(Duration After);
  void close(std::string_view Reason, Duration RetryAfter);
  void askClose(Duration After);
  void end();
  void releaseSlot();

  CallAttemptOptions Options;
  State Current = State::New;
  Effects Pending;
  bool AnswerGiven = false;
  /// The applied index of the first open. It is never renewed: a close after it
  /// ends this attempt too.
  std::uint64_t Ticket = 0;
  /// Number of the current slot's claim. Replies to earlier claims carry
  /// another number and are not taken for the current one's.
  std::uint32_t DispatchNumber = 0;
  std::uint32_t ClaimsLost = 0;
  SlotChosen Slot;
  bool SlotHeld = false;
  message::LedgerOutcome Outcome;
  /// The answer to give once recorded.
  Answer Final;
  /// Why the call is being refused, and when to ask again.
  Answer Refusal;
};

} // namespace carobhinge

#endif // LIBLEDGER_CALLATTEMPT_H
