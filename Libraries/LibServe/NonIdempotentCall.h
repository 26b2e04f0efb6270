//===- LibServe/NonIdempotentCall.h - Serves non-idempotent calls ---------===//
///
/// \file
/// Drives one CallAttempt: calls the ledger and routing, dispatches, and
/// returns the final answer. It keeps running after the answer until the ledger
/// has recorded the outcome.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_NONIDEMPOTENTCALL_H
#define LIBSERVE_NONIDEMPOTENTCALL_H

#include <LibLedger/CallAttempt.h>
#include <LibServe/CallContext.h>
#include <LibServe/ServerComponents.h>
#include <boost/asio/steady_timer.hpp>
#include <span>

namespace carobhinge {

/// The result of the call for the code that serves the caller.
struct NonIdempotentResult {
  Answer FinalAnswer;
  /// Set if another failure domain has to serve the call instead; nothing was
  /// claimed here.
  std::optional<FailureDomainName> ForwardTo = {};
};

class NonIdempotentCall
    : public std::enable_shared_from_this<NonIdempotentCall> {
public:
  /// All code of the call runs on \p Strand.
  NonIdempotentCall(const boost::asio::any_io_executor &Strand,
                    ServerComponents &Components, CallContext Call,
                    HttpRequest Request);

  /// Starts the call and waits for its answer. The call may continue
  /// afterwards.
  boost::asio::awaitable<NonIdempotentResult> answer();

  /// Returns the place of the answer in the budget; null if it has none. Called
  /// after answer() has returned a final answer.
  HeldBytes *answerPlace() {
    return this->HeldAnswer ? &*this->HeldAnswer : nullptr;
  }

  /// Callable from any thread.
  void callerDisconnected();

private:
  using ResultChannel = boost::asio::experimental::concurrent_channel<void(
      boost::system::error_code, NonIdempotentResult)>;

  void start();
  /// Passes an event to Decision and performs the resulting effects.
  void handle(const CallEvent &Event);
  void performEffects(std::span<const CallEffect> Effects);

  // One handler for each effect.
  void on(const RequestOpen &);
  void on(const EnterQueue &);
  void on(const LeaveQueue &);
  void on(const ProposeClaim &Effect);
  void on(const DispatchCall &Effect);
  void on(const CancelDispatch &Effect);
  void on(const ProposeRelease &Effect);
  void on(const ReleaseSlot &);
  void on(const ProposeOutcome &Effect);
  void on(const ProposeClose &Effect);
  void on(const RequestJoin &Effect);
  void on(const Answer &Effect);

  boost::asio::awaitable<void> open(bool Join, Duration Delay);
  boost::asio::awaitable<void> claim(message::LedgerCommand Command);
  boost::asio::awaitable<void> dispatch(DispatchCall Effect);
  boost::asio::awaitable<void> release(message::LedgerCommand Command);
  boost::asio::awaitable<void> record(ProposeOutcome Effect);
  boost::asio::awaitable<void> closeKey(ProposeClose Effect);
  boost::asio::awaitable<void> followRouting();
  boost::asio::awaitable<void> handleEventAfter(Duration Length,
                                                CallEvent Event);
  void handleRouting(const RoutingEffect &Effect);
  HttpRequest requestFor() const;

  /// Runs a coroutine on the strand and keeps this object alive meanwhile.
  void spawn(boost::asio::awaitable<void> Work);

  boost::asio::any_io_executor Strand;
  ServerComponents &Components;
  CallContext Call;
  HttpRequest Request;
  ServiceRouter &Routing;
  message::LedgerKey Key;
  std::string ContentDigest;

  /// Guards Decision, which the connection's strand calls just before it writes
  /// the first byte.
  std::mutex Lock;
  CallAttempt Decision;
  bool RecordTimeoutStarted = false;
  bool Ended = false;

  std::shared_ptr<RoutingInbox> Inbox;
  RequestId QueuedRequest = 0;
  /// The slot in use; zero if there is none.
  AttemptId Slot = 0;
  /// The pause that the answer asked for; zero if none.
  Duration SlotPause{};
  AttemptResult SlotResult = AttemptResult::Cancelled;
  /// The endpoint that the slot belongs to.
  std::string SlotTarget;
  Incarnation SlotIncarnation = 0;
  std::shared_ptr<HttpCallControl> Connection;
  /// The share of the newest answer in the budget, until the call ends.
  std::optional<HeldBytes> HeldAnswer;
  /// This host has ended the newest dispatch.
  bool DispatchCancelled = false;
  boost::asio::steady_timer DeadlineTimer;
  ResultChannel FinalResult;
};

} // namespace carobhinge

#endif // LIBSERVE_NONIDEMPOTENTCALL_H
