//===- LibRouting/StragglerPolicy.cpp - Targets slower than their peers ---===//
///
/// \file
/// A smoothed logarithm with bounded steps: no single answer, however slow,
/// makes a straggler, and none makes it well again.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/StragglerPolicy.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace carobhinge {

namespace {

class PeerMean final : public StragglerPolicy {
public:
  [[nodiscard]] TargetHealth judge(TargetHealth Health,
                                   double Ratio) const override {
    double Sample = std::clamp(std::log(Ratio), -MostLogRatio, MostLogRatio);
    Health.Slowness += Smoothing * (Sample - Health.Slowness);
    ++Health.Samples;
    if (Health.Slowness > std::log(SlowRatio))
      Health.Straggler = true;
    else if (Health.Slowness < std::log(WellRatio))
      Health.Straggler = false;
    return Health;
  }

private:
  /// One answer counts as at most e^1.4, about four times, the mean.
  static constexpr double MostLogRatio = 1.4;
  /// A step of Smoothing * MostLogRatio is less than log(SlowRatio), and less
  /// than the way from log(SlowRatio) back to log(WellRatio).
  static constexpr double Smoothing = 0.15;
  static constexpr double SlowRatio = 2;
  static constexpr double WellRatio = 1.3;
};

class NoStragglers final : public StragglerPolicy {
public:
  [[nodiscard]] TargetHealth judge(TargetHealth Health,
                                   double /*Ratio*/) const override {
    return Health;
  }
};

} // namespace

std::unique_ptr<StragglerPolicy> makeStragglerPolicy(std::string_view Name) {
  if (Name == "peer-mean")
    return std::make_unique<PeerMean>();
  if (Name == "none")
    return std::make_unique<NoStragglers>();
  throw std::invalid_argument("no straggler policy named " + std::string(Name));
}

} // namespace carobhinge
