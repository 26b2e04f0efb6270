//===- LibRouting/RateGate.cpp - Request rates of workspaces --------------===//
///
/// \file
/// Token buckets on the hand-turned clock.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/RateGate.h>

#include <algorithm>

namespace carobhinge {

/// A wait that was told in whole milliseconds must be enough in spite of
/// rounding.
static constexpr double RoundingSlack = 1e-6;

static double secondsBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration<double>(To - From).count();
}

void RateGate::ratesChanged(TimePoint Now,
                            const std::map<WorkspaceName, double> &Rates) {
  std::erase_if(this->Buckets, [&Rates](const auto &Each) {
    return !Rates.contains(Each.first);
  });
  for (const auto &[Workspace, PerSecond] : Rates) {
    auto [Place, Fresh] = this->Buckets.try_emplace(Workspace);
    if (Fresh)
      Place->second = {.Tokens = std::max(1.0, PerSecond), .FilledAt = Now};
    Place->second.PerSecond = PerSecond;
  }
}

std::optional<Duration> RateGate::refuse(TimePoint Now,
                                         const WorkspaceName &Of) {
  auto Found = this->Buckets.find(Of);
  if (Found == this->Buckets.end())
    return std::nullopt;
  Bucket &Own = Found->second;
  double Gained = Own.PerSecond * secondsBetween(Own.FilledAt, Now);
  Own.Tokens = std::min(Own.Tokens + Gained, std::max(1.0, Own.PerSecond));
  Own.FilledAt = Now;
  if (Own.Tokens >= 1 - RoundingSlack) {
    Own.Tokens -= 1;
    return std::nullopt;
  }
  auto Wait = std::chrono::duration<double>((1 - Own.Tokens) / Own.PerSecond);
  return std::chrono::ceil<std::chrono::milliseconds>(Wait);
}

} // namespace carobhinge
