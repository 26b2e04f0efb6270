//===- LibRouting/RoutedRequest.h - A request and how an attempt ends -----===//
///
/// \file
/// A request as the Router sees it, and the outcome that the driver reports for
/// each attempt to serve it.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_ROUTEDREQUEST_H
#define LIBROUTING_ROUTEDREQUEST_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <string>

namespace carobhinge {

/// Assigned by the driver; unique within one Router until the request ends.
using RequestId = std::uint64_t;

/// Assigned by the Router, never reused.
using AttemptId = std::uint64_t;

struct RoutedRequest {
  RequestId Id = 0;
  WorkspaceName Workspace = {};
  std::string Class = {};
  /// Zero is the most urgent.
  int Priority = 0;
  bool Idempotent = false;
  /// The engine can resume an interrupted stream.
  bool Resumable = false;
  /// Forwarded from another failure domain; it is not forwarded again.
  bool Forwarded = false;
  TimePoint ArrivedAt = {};
  TimePoint Deadline = {};
  /// Hash of the prompt's cacheable prefix; zero if there is none.
  std::uint64_t PrefixHash = 0;
  /// Expected work, at least one. The caller of the Router chooses the unit and
  /// uses the same one for all requests.
  std::uint32_t Cost = 1;
};

enum class AttemptResult {
  Complete,
  /// No byte of the request reached the target.
  FailedBeforeSend,
  /// At least one byte was written, so the target may have run the request.
  FailedAfterSend,
  /// The target rejected the request because it is overloaded.
  Overloaded,
  /// The driver performed a CancelAttempt.
  Cancelled,
};

struct AttemptOutcome {
  AttemptResult Result = AttemptResult::Complete;
  /// The pause that the target's answer asked for; zero if it asked for none.
  /// With Complete: the answer of a call that must not repeat.
  Duration RetryAfter = {};
};

} // namespace carobhinge

#endif // LIBROUTING_ROUTEDREQUEST_H
