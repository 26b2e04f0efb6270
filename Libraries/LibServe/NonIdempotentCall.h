//===- LibServe/NonIdempotentCall.h - Serves a call that must not repeat --===//
///
/// \file
/// Drives one CallAttempt: asks the ledger and routing, dispatches, and hands
/// the final answer over. It lives on after the answer until the ledger has
/// what it must record.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_NONIDEMPOTENTCALL_H
#define LIBSERVE_NONIDEMPOTENTCALL_H

#include <LibLedger/CallAttempt.h>
#include <LibServe/CallContext.h>
#include <LibServe/ServeParts.h>
#include <boost/asio/steady_timer.hpp>
#include <span>

namespace carobhinge {

/// How the call ends for the code that serves the caller.
struct NonIdempotentEnd {
  Answer Given;
  /// Set if another failure domain has to serve the call instead; nothing was
  /// claimed or promised here.
  std::optional<FailureDomainName> HandOver = {};
};

class NonIdempotentCall
    : public std::enable_shared_from_this<NonIdempotentCall> {
public:
  /// \p Strand runs all of the call's own code.
  NonIdempotentCall(const boost::asio::any_io_executor &Strand,
                    ServeParts &Parts, CallContext Call, HttpRequest Request);

  /// Starts the call and waits for its answer. The call itself may go on.
  boost::asio::awaitable<NonIdempotentEnd> answer();

  /// Callable from any thread.
  void callerGone();

private:
  using EndChannel = boost::asio::experimental::concurrent_channel<void(
      boost::system::error_code, NonIdempotentEnd)>;

  void start();
  /// Hands an event to the decision and carries out what it asks for.
  void handle(const CallEvent &Event);
  void carryOut(std::span<const CallEffect> Effects);

  // One for each effect.
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

  boost::asio::awaitable<void> open(bool Join, Duration After);
  boost::asio::awaitable<void> claim(message::LedgerCommand Command);
  boost::asio::awaitable<void> dispatch(DispatchCall Effect);
  boost::asio::awaitable<void> release(message::LedgerCommand Command);
  boost::asio::awaitable<void> record(ProposeOutcome Effect);
  boost::asio::awaitable<void> closeKey(ProposeClose Effect);
  boost::asio::awaitable<void> followRouting();
  boost::asio::awaitable<void> after(Duration Length, CallEvent Event);
  void takeRouting(const RoutingEffect &Effect);
  HttpRequest requestFor() const;

  /// Runs a coroutine on the strand and keeps this object alive meanwhile.
  void spawn(boost::asio::awaitable<void> Work);

  boost::asio::any_io_executor Strand;
  ServeParts &Parts;
  CallContext Call;
  HttpRequest Request;
  ServiceRouter &Routing;
  message::LedgerKey Key;
  std::string ContentDigest;

  /// Guards Decision: the moment before the first byte is decided on the
  /// connection's own strand.
  std::mutex Lock;
  CallAttempt Decision;
  bool RecordBoundStarted = false;
  bool Ended = false;

  std::shared_ptr<RoutingInbox> Inbox;
  RequestId Queued = 0;
  /// The slot in use; zero without one.
  AttemptId Slot = 0;
  AttemptResult SlotEnd = AttemptResult::Cancelled;
  std::shared_ptr<HttpCallControl> Connection;
  boost::asio::steady_timer DeadlineTimer;
  EndChannel End;
};

} // namespace carobhinge

#endif // LIBSERVE_NONIDEMPOTENTCALL_H
