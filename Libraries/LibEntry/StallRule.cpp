//===- LibEntry/StallRule.cpp - When a stream is given up -----------------===//

#include <LibEntry/StallRule.h>
#include <algorithm>
#include <vector>

namespace carobhinge {

/// A silence counts only if it is this many times as long as usual.
static constexpr int UsualTimeFactor = 3;

static Duration median(std::span<const Duration> Values) {
  if (Values.empty())
    return Duration::zero();
  std::vector<Duration> Times(Values.begin(), Values.end());
  auto Middle = Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::ranges::nth_element(Times, Middle);
  return *Middle;
}

bool isDoubtedBySilence(Duration Silence, Duration Limit,
                        std::span<const Duration> UsualTimes) {
  return Silence >=
         std::max<Duration>(Limit, UsualTimeFactor * median(UsualTimes));
}

Duration callerPatience(Duration Objective, Duration PauseObjective) {
  return std::max<Duration>(
      {std::chrono::seconds(2), 4 * Objective, 8 * PauseObjective});
}

bool shouldStartStandby(const StandbyFacts &Facts) {
  // The other half of the patience is left for the first event of the standby.
  Duration Delay = callerPatience(Facts.Objective, Facts.PauseObjective) / 2;
  return Facts.IsResumable && (Facts.IsStalled || Facts.Silence >= Delay) &&
         Facts.PossibleRuns < Facts.EndpointsPerRequest &&
         Facts.RemainingTime > Facts.Objective && Facts.IsPromptSound;
}

} // namespace carobhinge
