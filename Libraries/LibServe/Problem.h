//===- LibServe/Problem.h - Refusals as callers see them ------------------===//
///
/// \file
/// Every refusal is problem+json with a machine-readable outcome: "not-run" if
/// the request definitely did not run, "unknown" if it may have run.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_PROBLEM_H
#define LIBSERVE_PROBLEM_H

#include <LibCore/Time.h>
#include <LibHTTP/HttpMessage.h>
#include <LibRouting/RoutingEffect.h>
#include <string>
#include <string_view>

namespace carobhinge {

struct Problem {
  unsigned Status = 500;
  /// True only if the request has not run and will not run.
  bool NotRun = true;
  /// A short machine-readable reason, see docs/API.md.
  std::string_view Reason;
  /// One sentence for a person.
  std::string Detail = {};
  /// Delay before a retry is useful; zero if a retry is not useful.
  Duration RetryAfter{};

  [[nodiscard]] std::string_view outcome() const {
    return this->NotRun ? "not-run" : "unknown";
  }
  [[nodiscard]] std::string json(std::string_view RequestIdText) const;
  [[nodiscard]] HttpResponse response(std::string_view RequestIdText) const;
};

/// Converts a refusal by routing to the caller's problem.
Problem toProblem(const Refuse &Refused);

/// The machine-readable name of a refusal by routing.
std::string_view reasonName(RefusalReason Reason);

} // namespace carobhinge

#endif // LIBSERVE_PROBLEM_H
