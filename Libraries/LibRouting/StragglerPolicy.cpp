//===- LibRouting/StragglerPolicy.cpp - Detects slow targets --------------===//
///
/// \file
/// A smoothed logarithm with bounded steps: no single answer, however slow or
/// fast, changes whether a target is a straggler.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/StragglerPolicy.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace carobhinge {

namespace {

class PeerMeanPolicy final : public StragglerPolicy {
public:
  [[nodiscard]] TargetHealth evaluate(TargetHealth Health,
                                      double Ratio) const override {
    double Sample = std::clamp(std::log(Ratio), -MaxLogRatio, MaxLogRatio);
    Health.Slowness += Smoothing * (Sample - Health.Slowness);
    ++Health.Samples;
    if (Health.Slowness > std::log(SlowRatio))
      Health.Straggler = true;
    else if (Health.Slowness < std::log(RecoveryRatio))
      Health.Straggler = false;
    return Health;
  }

private:
  /// One answer counts as at most e^1.4, about four times, the mean.
  static constexpr double MaxLogRatio = 1.4;
  /// A step of Smoothing * MaxLogRatio is less than log(SlowRatio), and less
  /// than the distance from log(SlowRatio) to log(RecoveryRatio).
  static constexpr double Smoothing = 0.15;
  static constexpr double SlowRatio = 2;
  static constexpr double RecoveryRatio = 1.3;
};

class NoStragglerDetection final : public StragglerPolicy {
public:
  [[nodiscard]] TargetHealth evaluate(TargetHealth Health,
                                      double /*Ratio*/) const override {
    return Health;
  }
};

} // namespace

std::unique_ptr<StragglerPolicy> makeStragglerPolicy(std::string_view Name) {
  if (Name == "peer-mean")
    return std::make_unique<PeerMeanPolicy>();
  if (Name == "none")
    return std::make_unique<NoStragglerDetection>();
  throw std::invalid_argument("no straggler policy named " + std::string(Name));
}

} // namespace carobhinge
