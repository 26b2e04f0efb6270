//===- LibCore/Time.h - Durations, time points and the clock --------------===//
///
/// \file
/// Classes that make decisions never read a clock. Their driver passes them a
/// TimePoint, so that a test controls the time. Only differences between time
/// points of the same process are meaningful.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_TIME_H
#define LIBCORE_TIME_H

#include <chrono>
#include <cstdint>
#include <ctime>

namespace carobhinge {

using Duration = std::chrono::nanoseconds;

/// A point on the local host's monotonic clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Reads the monotonic clock. For drivers only. CLOCK_BOOTTIME also advances
/// while the host is suspended, so that a lease expires on time. The standard
/// library's steady clock stops during a suspend.
inline TimePoint monotonicNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(std::chrono::seconds(Now.tv_sec) +
                   std::chrono::nanoseconds(Now.tv_nsec));
}

/// Returns the whole milliseconds in \p Length, rounded towards zero.
constexpr std::int64_t milliseconds(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

} // namespace carobhinge

#endif // LIBCORE_TIME_H
