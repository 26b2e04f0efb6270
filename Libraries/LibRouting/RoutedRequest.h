//===- LibRouting/RoutedRequest.h - A request and how an attempt ends -----===//
///
/// \file
/// What routing knows of a request, and what the driver tells it about each
/// attempt to have the request served.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_ROUTEDREQUEST_H
#define LIBROUTING_ROUTEDREQUEST_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <string>

namespace carobhinge {

/// Chosen by the driver, unique within one Router while the request lives.
using RequestId = std::uint64_t;

/// Given out by the Router, never used twice.
using AttemptId = std::uint64_t;

struct RoutedRequest {
  RequestId Id = 0;
  WorkspaceName Workspace = {};
  std::string Class = {};
  /// Zero is the most urgent.
  int Priority = 0;
  bool Idempotent = false;
  /// The engine can go on with a stream that broke off.
  bool Resumable = false;
  /// Came from another failure domain; it is not forwarded again.
  bool Forwarded = false;
  TimePoint ArrivedAt = {};
  TimePoint Deadline = {};
  /// Of the prompt's cacheable prefix; zero if there is none.
  std::uint64_t PrefixHash = 0;
  /// Expected work, in units that the caller of the Router is free to choose
  /// but must keep to; at least one.
  std::uint32_t Cost = 1;
};

enum class AttemptResult {
  Complete,
  /// No byte of the request reached the target.
  FailedBeforeByte,
  /// At least one byte was written, so the target may have run the request.
  FailedAfterByte,
  /// The target answered that it takes no more work now.
  Overloaded,
  /// The driver carried out a CancelAttempt.
  Cancelled,
};

struct AttemptOutcome {
  AttemptResult Result = AttemptResult::Complete;
  /// With Overloaded: how long the target asked to be left alone.
  Duration RetryAfter = {};
};

} // namespace carobhinge

#endif // LIBROUTING_ROUTEDREQUEST_H
