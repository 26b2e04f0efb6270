//===- LibEntry/StallRule.cpp - When a stream is given up -----------------===//

#include <LibEntry/StallRule.h>
#include <algorithm>

namespace carobhinge {

/// A silence counts only if it is this many times as long as usual.
static constexpr int UsualTimeFactor = 3;

static Duration median(std::vector<Duration> Times) {
  if (Times.empty())
    return Duration::zero();
  auto Middle = Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::ranges::nth_element(Times, Middle);
  return *Middle;
}

bool isStalledBySilence(Duration Silence, Duration Limit,
                        const OtherTargets &Others) {
  Duration Longest =
      std::max<Duration>(Limit, UsualTimeFactor * median(Others.UsualTimes));
  if (Silence < Longest)
    return false;
  auto Silent = std::ranges::count_if(
      Others.Silences, [&](Duration Each) { return Each >= Longest; });
  // If most are silent, they are slow, or this host has lost its links.
  return 2 * static_cast<std::size_t>(Silent) <= Others.Silences.size();
}

bool canRepeatAtOnce(const AbandonFacts &Facts) {
  return Facts.IsResumable && Facts.PossibleRuns < Facts.EndpointsPerRequest &&
         Facts.RemainingTime > Facts.Objective && Facts.HasOtherTarget &&
         Facts.IsPromptSound;
}

} // namespace carobhinge
