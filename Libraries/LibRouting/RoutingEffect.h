//===- LibRouting/RoutingEffect.h - Actions for the driver ----------------===//
///
/// \file
/// The Router decides and returns these effects; the driver performs them in
/// order. Each Dispatch is answered by exactly one
/// Router::reportOutcome().
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_ROUTINGEFFECT_H
#define LIBROUTING_ROUTINGEFFECT_H

#include <LibRouting/RoutedRequest.h>
#include <variant>

namespace carobhinge {

/// Send the request to the target.
struct Dispatch {
  RequestId Request = 0;
  AttemptId Attempt = 0;
  std::string TargetName = {};
  std::string Address = {};
  Incarnation IncarnationNumber = 0;
  FencingToken GroupNumber = 0;
  /// A second attempt in parallel with one that is still running. Only bytes of
  /// the attempt that answers first may reach the caller.
  bool IsHedge = false;
  /// Resume the answer after the bytes that the caller has already received.
  bool IsResume = false;
};

/// Stop the attempt at the target and call reportOutcome(). Its slot stays in
/// use until then.
struct CancelAttempt {
  AttemptId Attempt = 0;
};

enum class RefusalReason {
  /// The workspace's queue for this class is full.
  QueueFull,
  /// A more urgent request of the same workspace took its place in the queue.
  Displaced,
  DeadlineCannotBeMet,
  /// No target accepts new requests.
  NoTarget,
  /// This entry host accepts no new requests.
  Draining,
  /// The last attempt failed and no further one is allowed.
  AttemptFailed,
  /// The answer was interrupted after its first byte and cannot be resumed.
  AnswerBrokeOff,
};

/// Answer the caller with a final refusal.
struct Refuse {
  RequestId Request = 0;
  RefusalReason Reason = RefusalReason::QueueFull;
  /// Time after which the caller may retry.
  Duration RetryAfter = {};
  /// False only if no byte of the request reached any target. Only then may the
  /// refusal report "not run".
  bool MayHaveRun = false;
};

/// Forward the request to an entry host of another failure domain.
struct Forward {
  RequestId Request = 0;
  FailureDomainName FailureDomain = {};
};

using RoutingEffect = std::variant<Dispatch, CancelAttempt, Refuse, Forward>;

} // namespace carobhinge

#endif // LIBROUTING_ROUTINGEFFECT_H
