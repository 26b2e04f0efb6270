//===- LibRouting/ReturnTime.h - When refused callers should return -------===//
///
/// \file
/// Tells callers whose request was refused for want of capacity when to send it
/// again. If refusals are rare, a slot becomes free soon and the answer may
/// still be in time. In an overload each returning request takes the slot of a
/// new one that would have been answered in time, so callers are spread over
/// the time in which they can still be answered.
///
/// Uses no clock and no random numbers of its own.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_RETURNTIME_H
#define LIBROUTING_RETURNTIME_H

#include <LibCore/Time.h>

namespace carobhinge {

/// Why a valid request is refused.
enum class RefusalCause {
  /// The host has just started and knows no catalog.
  NoState,
  /// The host is cut off from those that confirm its state.
  StateUnconfirmed,
  /// No target serves the model or the service.
  NoTarget,
  /// All targets are full, or the attempts have failed.
  NoCapacity,
  /// The endpoints of all targets asked this host for a pause.
  EndpointsPaused,
  /// Engines crashed on such requests, and the newest crash is being judged.
  CrashJudged,
};

struct ReturnTimeOptions {
  /// If all hosts have just started, service resumes after an election and one
  /// heartbeat of each endpoint.
  Duration NoState = std::chrono::milliseconds(1000);
  /// Another host has its own connection and can serve the caller at once.
  Duration StateUnconfirmed{};
  /// In this time a group is repaired or formed of engines that hold the
  /// weights.
  Duration NoTarget = std::chrono::milliseconds(1000);
  /// By then the reports of all hosts are in, and the decision is in force.
  Duration CrashJudged = std::chrono::milliseconds(1000);

  /// The least time after which callers return to endpoints that asked for a
  /// pause: the first request after it is answered by then.
  Duration MinPause = std::chrono::milliseconds(100);

  /// Half-life of the arrivals and refusals that are taken into account.
  Duration HalfLife = std::chrono::seconds(1);
  /// Fraction of refused requests from which callers return as late as they
  /// can.
  double OverloadedFraction = 0.25;
  /// The earliest return, as a fraction of the time objective.
  double SoonestReturn = 0.25;
  /// The latest return, as a fraction of the time that the caller has left.
  double LatestReturn = 1.0 / 3;
  /// Callers return within this fraction of the return time before it.
  double Spread = 0.4;
};

class ReturnTime {
public:
  explicit ReturnTime(ReturnTimeOptions Options = {}) : Options(Options) {}

  /// Records that a request was admitted or refused.
  void recordArrival(TimePoint Now, bool IsRefused);

  /// \returns the time until a caller refused for \p Cause should return.
  /// \p Random is uniform in [0, 1). \p PauseLeft counts for EndpointsPaused
  /// only.
  [[nodiscard]] Duration estimate(TimePoint Now, RefusalCause Cause,
                                  Duration Objective, Duration RemainingTime,
                                  double Random,
                                  Duration PauseLeft = Duration::zero()) const;

private:
  [[nodiscard]] double decay(TimePoint Now) const;

  ReturnTimeOptions Options;
  /// Decayed to UpdatedAt.
  double Arrivals = 0;
  double Refusals = 0;
  TimePoint UpdatedAt;
};

} // namespace carobhinge

#endif // LIBROUTING_RETURNTIME_H
