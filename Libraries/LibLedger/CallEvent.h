//===- LibLedger/CallEvent.h - What a call attempt is told and asks for ---===//
///
/// \file
/// The events and effects of one attempt at a non-idempotent call. The
/// comment of each says what the driver owes.
///
//===----------------------------------------------------------------------===//

#ifndef LIBLEDGER_CALLEVENT_H
#define LIBLEDGER_CALLEVENT_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <LibLedger/Ledger.pb.h>
#include <string>
#include <variant>

namespace carobhinge {

/// Answer to AskOpen: the ledger was read linearizably.
struct Opened {
  message::LedgerReply Reply;
};
/// Answer to AskOpen or AskJoin: no linearizable read within the driver's
/// bound.
struct LedgerUnreachable {};
/// Answer to EnterQueue: a slot at the endpoint is held for this attempt until
/// ReleaseSlot.
struct SlotChosen {
  EndpointName Endpoint;
  std::string Address;
};
/// Answer to EnterQueue: routing gave up on the call. Nothing is held.
struct RefusedByRouting {
  std::string Reason;
  Duration RetryAfter{};
};
/// Answer to AskClaim: the claim was committed and applied.
struct ClaimAnswered {
  message::LedgerReply Reply;
};
/// Answer to AskClaim: the claim may or may not be committed, now or later.
/// Dispatch is the number that the claim carried.
struct ClaimLost {
  std::uint32_t Dispatch = 0;
};
/// Answer to DispatchCall: no byte was handed to the socket, and none will be.
struct ConnectFailed {
  std::uint32_t Dispatch = 0;
};
/// Due to DispatchCall: told *before* the first byte is handed to the socket.
/// The driver writes only after handle() has returned, and only if that call
/// returned no CancelDispatch.
struct ByteWritten {
  std::uint32_t Dispatch = 0;
};
/// Answer to DispatchCall after ByteWritten. Complete says that the whole
/// answer was read as its framing announced it.
struct AnswerRead {
  std::uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
  bool Complete = false;
};
/// Answer to DispatchCall after ByteWritten: the connection broke or fell
/// silent.
struct BrokenOff {};
/// Answer to AskRecord: the outcome was committed.
struct OutcomeRecorded {};
/// Answer to AskRecord: the outcome may or may not be committed.
struct RecordLost {};
/// Due once, CallAttemptOptions::RecordBound after the first AskRecord.
struct RecordBoundPassed {};
/// Answer to AskClose: the close was committed and applied.
struct CloseAnswered {
  message::LedgerReply Reply;
};
/// Answer to AskClose: the close may or may not be committed.
struct CloseLost {};
/// Answer to AskJoin: as Opened.
struct JoinAnswered {
  message::LedgerReply Reply;
};
/// Due once, at the call's deadline.
struct DeadlinePassed {};
/// The caller closed its connection. Answers are no longer sent.
struct CallerGone {};
/// The process stops and its time to drain is over: what has not been
/// dispatched is refused now.
struct ShutDown {};

using CallEvent =
    std::variant<Opened, LedgerUnreachable, SlotChosen, RefusedByRouting,
                 ClaimAnswered, ClaimLost, ConnectFailed, ByteWritten,
                 AnswerRead, BrokenOff, OutcomeRecorded, RecordLost,
                 RecordBoundPassed, CloseAnswered, CloseLost, JoinAnswered,
                 DeadlinePassed, CallerGone, ShutDown>;

/// Read the shard linearizably and call Ledger::open.
struct AskOpen {
  bool operator==(const AskOpen &) const = default;
};
/// Ask admission and routing for a slot.
struct EnterQueue {
  bool operator==(const EnterQueue &) const = default;
};
/// Take the call out of the queue. A slot chosen meanwhile is given back by
/// the ReleaseSlot that answers its SlotChosen.
struct LeaveQueue {
  bool operator==(const LeaveQueue &) const = default;
};
/// Propose the command at the shard and answer with ClaimAnswered or ClaimLost
/// within the driver's bound. A proposal that surely never entered the log may
/// be proposed again, with no other effect, until that bound.
struct AskClaim {
  message::LedgerCommand Command;
};
/// Open a connection and send the call. Owes ConnectFailed, or ByteWritten and
/// then AnswerRead or BrokenOff. The connection is never used for another call
/// unless the answer was complete.
struct DispatchCall {
  std::uint32_t Number = 0;
  EndpointName Endpoint;
  std::string Address;
};
/// Give the connection up; ConnectFailed is due once it is sure that no byte
/// was or will be written.
struct CancelDispatch {
  std::uint32_t Number = 0;
};
/// Propose the command; no answer is due.
struct AskRelease {
  message::LedgerCommand Command;
};
/// Give the slot back to routing.
struct ReleaseSlot {
  EndpointName Endpoint;
};
/// After the delay, propose the command and answer with OutcomeRecorded or
/// RecordLost.
struct AskRecord {
  message::LedgerCommand Command;
  Duration After{};
};
/// After the delay, propose the command and answer with CloseAnswered or
/// CloseLost within the driver's bound.
struct AskClose {
  message::LedgerCommand Command;
  Duration After{};
};
/// After the delay, read the shard linearizably and call Ledger::open.
struct AskJoin {
  Duration After{};
};

enum class AnswerKind {
  /// The service's own answer, now or to an earlier call with this key.
  Answered,
  /// No call with this key that was opened so far has run or will run.
  NotRun,
  /// The call may have run, or may yet be running.
  Unknown,
  /// The key was used with other content; this call ran nothing.
  Conflict,
  /// The key is not accepted. This call ran nothing; nothing is said about
  /// earlier calls with the key.
  KeyRefused,
};

/// The final answer to the caller; given at most once, and at once.
struct Answer {
  AnswerKind Kind = AnswerKind::Unknown;
  std::uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
  /// The call was answered, but the body was too long to be kept for resends.
  /// BodyBytes and BodyDigest describe it.
  bool BodyOmitted = false;
  std::uint64_t BodyBytes = 0;
  std::string BodyDigest;
  /// A short machine-readable reason, empty for Answered.
  std::string Reason;
  /// When asking again makes sense; zero if it does not.
  Duration RetryAfter{};
};

using CallEffect =
    std::variant<AskOpen, EnterQueue, LeaveQueue, AskClaim, DispatchCall,
                 CancelDispatch, AskRelease, ReleaseSlot, AskRecord, AskClose,
                 AskJoin, Answer>;

} // namespace carobhinge

#endif // LIBLEDGER_CALLEVENT_H
