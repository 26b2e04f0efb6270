//===- LibCore/BoundedRetry.h - Decides when a step is tried again --------===//
///
/// \file
/// Decides how often and for how long a step that failed is tried again. Has no
/// clock of its own.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_BOUNDEDRETRY_H
#define LIBCORE_BOUNDEDRETRY_H

#include <LibCore/Time.h>
#include <algorithm>
#include <optional>

namespace carobhinge {

struct BoundedRetryOptions {
  /// Between two attempts.
  Duration Pause = std::chrono::milliseconds(100);
  /// After the first failure; the last attempt is made at its end.
  Duration Limit{};
};

class BoundedRetry {
public:
  explicit BoundedRetry(BoundedRetryOptions Options) : Options(Options) {}

  /// Records that an attempt failed at \p Now. \returns the pause before the
  /// next attempt; empty if there is none.
  std::optional<Duration> recordFailure(TimePoint Now) {
    if (!this->FirstFailureAt)
      this->FirstFailureAt = Now;
    Duration Remaining = *this->FirstFailureAt + this->Options.Limit - Now;
    if (Remaining <= Duration::zero())
      return std::nullopt;
    return std::min(this->Options.Pause, Remaining);
  }

  [[nodiscard]] const BoundedRetryOptions &options() const {
    return this->Options;
  }

private:
  BoundedRetryOptions Options;
  std::optional<TimePoint> FirstFailureAt;
};

} // namespace carobhinge

#endif // LIBCORE_BOUNDEDRETRY_H
