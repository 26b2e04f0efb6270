//===- LibRouting/RateLimiter.cpp - Rate limits of workspaces -------------===//
///
/// \file
/// Token buckets that refill by the times that the caller passes in.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/RateLimiter.h>

#include <algorithm>

namespace carobhinge {

/// Tolerance in tokens, so that a wait reported in whole milliseconds is long
/// enough in spite of rounding.
static constexpr double RoundingSlack = 1e-6;

static double secondsBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration<double>(To - From).count();
}

void RateLimiter::setRates(TimePoint Now,
                           const std::map<WorkspaceName, double> &Rates) {
  std::erase_if(this->Buckets, [&Rates](const auto &Each) {
    return !Rates.contains(Each.first);
  });
  for (const auto &[Workspace, PerSecond] : Rates) {
    auto [Entry, Inserted] = this->Buckets.try_emplace(Workspace);
    if (Inserted)
      Entry->second = {.Tokens = std::max(1.0, PerSecond), .RefilledAt = Now};
    Entry->second.PerSecond = PerSecond;
  }
}

std::optional<Duration> RateLimiter::acquire(TimePoint Now,
                                             const WorkspaceName &Workspace) {
  auto Found = this->Buckets.find(Workspace);
  if (Found == this->Buckets.end())
    return std::nullopt;
  Bucket &TokenBucket = Found->second;
  double Refill =
      TokenBucket.PerSecond * secondsBetween(TokenBucket.RefilledAt, Now);
  TokenBucket.Tokens = std::min(TokenBucket.Tokens + Refill,
                                std::max(1.0, TokenBucket.PerSecond));
  TokenBucket.RefilledAt = Now;
  if (TokenBucket.Tokens >= 1 - RoundingSlack) {
    TokenBucket.Tokens -= 1;
    return std::nullopt;
  }
  auto Wait = std::chrono::duration<double>((1 - TokenBucket.Tokens) /
                                            TokenBucket.PerSecond);
  return std::chrono::ceil<std::chrono::milliseconds>(Wait);
}

} // namespace carobhinge
