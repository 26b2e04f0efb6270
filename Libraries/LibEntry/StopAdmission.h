//===- LibEntry/StopAdmission.h - Requests that arrive during a stop
//-------===//
///
/// \file
/// A host that was told to stop serves for a while, since callers still reach
/// it. It takes on only what it can finish before its process ends; anything
/// else is refused as not run, and its caller reaches another host.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_STOPADMISSION_H
#define LIBENTRY_STOPADMISSION_H

#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <string>

namespace carobhinge {

/// What tells how long a request may take.
struct ExpectedWork {
  /// Each route has its own times.
  std::string Route = {};
  /// Maximum number of tokens of the answer; 0 if not given.
  double AnswerTokens = 0;
  /// Until its deadline.
  Duration TimeBudget{};
  bool IsRepeatable = false;
};

class StopAdmission {
public:
  /// A request was answered in \p Took, or had no whole answer by then, which
  /// is its deadline.
  void recordEnd(const ExpectedWork &Work, Duration Took);

  /// The process ends at \p Deadline at the latest.
  void beginStop(TimePoint Deadline) { this->Deadline = Deadline; }
  /// When requests in progress must have ended; nothing unless the host stops.
  [[nodiscard]] std::optional<TimePoint> deadline() const {
    return this->Deadline;
  }

  /// \returns whether a request is taken on. One that may run only once is, if
  /// it is certain to end in time; others if they are expected to.
  [[nodiscard]] bool mayAdmit(TimePoint Now, const ExpectedWork &Work) const;

private:
  /// The longest that an answer took, and the longest for each token; both fade
  /// with each later answer.
  struct RouteTimes {
    Duration Answer{};
    Duration Token{};
  };

  std::optional<TimePoint> Deadline;
  std::map<std::string, RouteTimes> Times;
};

} // namespace carobhinge

#endif // LIBENTRY_STOPADMISSION_H
