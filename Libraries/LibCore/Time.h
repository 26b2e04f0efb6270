//===- LibCore/Time.h - Time as the decision classes see it ---------------===//
///
/// \file
/// Decision classes never read a clock. They take a TimePoint from their
/// driver, so that a test turns the clock by hand. Only differences between
/// time points of one process mean anything.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_TIME_H
#define LIBCORE_TIME_H

#include <chrono>
#include <cstdint>
#include <ctime>

namespace carobhinge {

using Duration = std::chrono::nanoseconds;

/// A point on the host's own monotonic clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Reads the monotonic clock. For drivers only. The clock goes on counting
/// while the host is suspended, so that no lease outlives its real time: the
/// standard library's steady clock stands still then.
inline TimePoint monotonicNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(std::chrono::seconds(Now.tv_sec) +
                   std::chrono::nanoseconds(Now.tv_nsec));
}

/// Whole milliseconds in \p Length, rounded towards zero.
constexpr std::int64_t milliseconds(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

} // namespace carobhinge

#endif // LIBCORE_TIME_H
