//===- LibCore/FailureLimits.h - What follows a failed task ---------------===//
///
/// \file
/// Decides when a loop that failed runs again, when a process had better end
/// because a loop fails each time, and how many failures are logged. The
/// classes have no clock of their own.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_FAILURELIMITS_H
#define LIBCORE_FAILURELIMITS_H

#include <LibCore/Time.h>
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace carobhinge {

struct LoopFailureOptions {
  Duration MinPause = std::chrono::milliseconds(20);
  Duration MaxPause = std::chrono::seconds(1);
  /// A loop that ran this long without a failure is sound again.
  Duration SoundTime = std::chrono::seconds(5);
  /// Failures for this long, none of them after a sound run, end the process:
  /// whoever starts it again then knows that it doesn't work.
  Duration GiveUpTime = std::chrono::seconds(60);
};

/// For a loop whose failures concern a part of the work only, such as one link
/// or one order: ending the process would cost all its requests.
inline constexpr LoopFailureOptions NeverGivenUp{.GiveUpTime = Duration::max()};

/// The failures of one loop.
class LoopFailures {
public:
  explicit LoopFailures(LoopFailureOptions Options = {}) : Options(Options) {}

  /// Records that the loop, which was entered at \p EnteredAt, failed at \p
  /// Now. \returns the pause before it is entered again; empty to give up.
  std::optional<Duration> recordFailure(TimePoint EnteredAt, TimePoint Now) {
    if (!this->HasFailed || Now - EnteredAt >= this->Options.SoundTime) {
      this->HasFailed = true;
      this->FirstFailureAt = Now;
      this->NextPause = this->Options.MinPause;
    }
    if (Now - this->FirstFailureAt >= this->Options.GiveUpTime)
      return std::nullopt;
    Duration Pause = this->NextPause;
    this->NextPause = std::min(2 * Pause, this->Options.MaxPause);
    return Pause;
  }

private:
  LoopFailureOptions Options;
  bool HasFailed = false;
  /// The first failure since the last sound run.
  TimePoint FirstFailureAt;
  Duration NextPause{};
};

/// Bounds the rate of log lines about the failures of one task.
class FailureLogLimit {
public:
  static constexpr unsigned LinesPerSecond = 20;

  /// \returns the number of failures omitted since the last logged one; empty
  /// if the failure at \p Now shall be omitted too.
  std::optional<std::uint64_t> admit(TimePoint Now) {
    if (!this->SecondStartedAt ||
        Now - *this->SecondStartedAt >= std::chrono::seconds(1)) {
      this->SecondStartedAt = Now;
      this->Lines = 0;
    }
    if (this->Lines == LinesPerSecond) {
      ++this->Omitted;
      return std::nullopt;
    }
    ++this->Lines;
    return std::exchange(this->Omitted, 0);
  }

private:
  std::optional<TimePoint> SecondStartedAt;
  unsigned Lines = 0;
  std::uint64_t Omitted = 0;
};

/// A limit for each task, so that one that always fails hides no other.
class FailureLogLimits {
public:
  /// Tasks beyond this number share one limit.
  static constexpr std::size_t MaxTasks = 256;

  /// The same as FailureLogLimit::admit(), for the task \p Name.
  std::optional<std::uint64_t> admit(std::string_view Name, TimePoint Now) {
    auto Place = this->Limits.find(Name);
    if (Place != this->Limits.end())
      return Place->second.admit(Now);
    if (this->Limits.size() == MaxTasks)
      return this->OtherTasks.admit(Now);
    return this->Limits[std::string(Name)].admit(Now);
  }

private:
  std::map<std::string, FailureLogLimit, std::less<>> Limits;
  FailureLogLimit OtherTasks;
};

} // namespace carobhinge

#endif // LIBCORE_FAILURELIMITS_H
