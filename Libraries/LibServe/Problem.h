//===- LibServe/Problem.h - Refusals as callers see them ------------------===//
///
/// \file
/// Every refusal is problem+json with a machine-readable outcome: "not-run" if
/// it is sure that nothing ran, "unknown" if it may have.
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
  /// True only if nothing ran and nothing will.
  bool NotRun = true;
  /// A short machine-readable word, see docs/API.md.
  std::string_view Reason;
  /// One sentence for a person.
  std::string Detail = {};
  /// When asking again makes sense; zero if it does not.
  Duration RetryAfter{};

  [[nodiscard]] std::string_view outcome() const {
    return this->NotRun ? "not-run" : "unknown";
  }
  [[nodiscard]] std::string json(std::string_view RequestText) const;
  [[nodiscard]] HttpResponse response(std::string_view RequestText) const;
};

/// The problem that a refusal by routing is for the caller.
Problem problemOf(const Refuse &Refused);

/// The machine-readable word for a refusal by routing.
std::string_view reasonWord(RefusalReason Reason);

} // namespace carobhinge

#endif // LIBSERVE_PROBLEM_H
