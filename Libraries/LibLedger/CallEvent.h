//===- LibLedger/CallEvent.h - Events and effects of a call attempt -------===//
///
/// \file
/// The events and effects of one attempt at a non-idempotent call. The comment
/// of each states what the driver must do.
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

/// Answer to RequestOpen: the ledger was read linearizably.
struct Opened {
  message::LedgerReply Reply;
};
/// Answer to RequestOpen or RequestJoin: no linearizable read succeeded within
/// the driver's time limit.
struct LedgerUnreachable {};
/// Answer to EnterQueue: a slot at the endpoint is held for this attempt until
/// ReleaseSlot.
struct SlotChosen {
  EndpointName Endpoint;
  std::string Address;
};
/// Answer to EnterQueue: routing refused the call. No slot is held.
struct RefusedByRouting {
  std::string Reason;
  Duration RetryAfter{};
};
/// Answer to ProposeClaim: the claim was committed and applied.
struct ClaimAnswered {
  message::LedgerReply Reply;
};
/// Answer to ProposeClaim: whether the claim was or will be committed is
/// unknown. Dispatch is the number of the claim.
struct ClaimUnconfirmed {
  std::uint32_t Dispatch = 0;
};
/// Answer to DispatchCall: no byte was or will be passed to the socket.
struct ConnectFailed {
  std::uint32_t Dispatch = 0;
};
/// Required by DispatchCall: reported *before* the first byte is passed to the
/// socket. The driver writes only after handle() has returned, and only if that
/// call returned no CancelDispatch.
struct ByteWritten {
  std::uint32_t Dispatch = 0;
};
/// Answer to DispatchCall after ByteWritten. Complete is true if the whole
/// answer was read, as delimited by its framing.
struct AnswerRead {
  std::uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
  bool Complete = false;
};
/// Answer to DispatchCall after ByteWritten: the connection failed or
/// stalled.
struct BrokenOff {};
/// Answer to ProposeOutcome: the outcome was committed.
struct OutcomeRecorded {};
/// Answer to ProposeOutcome: whether the outcome was or will be committed is
/// unknown.
struct OutcomeUnconfirmed {};
/// Required once, CallAttemptOptions::RecordTimeout after the first
/// ProposeOutcome.
struct RecordTimeoutPassed {};
/// Answer to ProposeClose: the close was committed and applied.
struct CloseAnswered {
  message::LedgerReply Reply;
};
/// Answer to ProposeClose: whether the close was or will be committed is
/// unknown.
struct CloseUnconfirmed {};
/// Answer to RequestJoin: the ledger was read linearizably.
struct JoinAnswered {
  message::LedgerReply Reply;
};
/// Required once, at the call's deadline.
struct DeadlinePassed {};
/// The caller closed its connection. No answer is sent any more.
struct CallerDisconnected {};
/// The process stops and its drain timeout has passed: calls that have not been
/// dispatched are refused now.
struct ShutDown {};

using CallEvent =
    std::variant<Opened, LedgerUnreachable, SlotChosen, RefusedByRouting,
                 ClaimAnswered, ClaimUnconfirmed, ConnectFailed, ByteWritten,
                 AnswerRead, BrokenOff, OutcomeRecorded, OutcomeUnconfirmed,
                 RecordTimeoutPassed, CloseAnswered, CloseUnconfirmed,
                 JoinAnswered, DeadlinePassed, CallerDisconnected, ShutDown>;

/// Read the shard linearizably and call Ledger::open.
struct RequestOpen {
  bool operator==(const RequestOpen &) const = default;
};
/// Request a slot from admission and routing.
struct EnterQueue {
  bool operator==(const EnterQueue &) const = default;
};
/// Remove the call from the queue. A slot that was chosen in the meantime is
/// released by the ReleaseSlot that follows its SlotChosen.
struct LeaveQueue {
  bool operator==(const LeaveQueue &) const = default;
};
/// Propose the command at the shard and report ClaimAnswered or
/// ClaimUnconfirmed within the driver's time limit. A proposal that certainly
/// never entered the log may be proposed again, with no other effect, until
/// that limit.
struct ProposeClaim {
  message::LedgerCommand Command;
};
/// Open a connection and send the call. Report ConnectFailed, or ByteWritten
/// followed by AnswerRead or BrokenOff. The connection must not be reused for
/// another call unless the answer was complete.
struct DispatchCall {
  std::uint32_t Number = 0;
  EndpointName Endpoint;
  std::string Address;
};
/// Abort the connection. Report ConnectFailed once it is certain that no byte
/// was or will be written.
struct CancelDispatch {
  std::uint32_t Number = 0;
};
/// Propose the command; no event is expected.
struct ProposeRelease {
  message::LedgerCommand Command;
};
/// Return the slot to routing.
struct ReleaseSlot {
  EndpointName Endpoint;
};
/// After the delay, propose the command and report OutcomeRecorded or
/// OutcomeUnconfirmed.
struct ProposeOutcome {
  message::LedgerCommand Command;
  Duration Delay{};
};
/// After the delay, propose the command and report CloseAnswered or
/// CloseUnconfirmed within the driver's time limit.
struct ProposeClose {
  message::LedgerCommand Command;
  Duration Delay{};
};
/// After the delay, read the shard linearizably and call Ledger::open.
struct RequestJoin {
  Duration Delay{};
};

enum class AnswerKind {
  /// The service's answer to this call or to an earlier one with this key.
  Answered,
  /// No call opened so far with this key has run or will run.
  NotRun,
  /// The call may have run or may still be running.
  Unknown,
  /// The key was used with other content; this call ran nothing.
  Conflict,
  /// The key is not accepted. This call ran nothing; earlier calls with the key
  /// may have run.
  KeyRefused,
};

/// The final answer to the caller; sent at most once, without delay.
struct Answer {
  AnswerKind Kind = AnswerKind::Unknown;
  std::uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
  /// The call was answered, but the body was too long to be stored for resends.
  /// BodyBytes and BodyDigest describe it.
  bool BodyOmitted = false;
  std::uint64_t BodyBytes = 0;
  std::string BodyDigest;
  /// A short machine-readable reason, empty for Answered.
  std::string Reason;
  /// Delay after which a retry makes sense; zero if none does.
  Duration RetryAfter{};
};

using CallEffect =
    std::variant<RequestOpen, EnterQueue, LeaveQueue, ProposeClaim,
                 DispatchCall, CancelDispatch, ProposeRelease, ReleaseSlot,
                 ProposeOutcome, ProposeClose, RequestJoin, Answer>;

} // namespace carobhinge

#endif // LIBLEDGER_CALLEVENT_H
