//===- LibFormation/EndpointEnds.cpp - Lives of endpoints that ended ------===//

#include <LibFormation/EndpointEnds.h>
#include <algorithm>

namespace carobhinge {

/// The clocks of two hosts differ by less than this, in milliseconds. A life
/// that ends this soon after its start is not told from the next one.
static constexpr std::int64_t ClockDifferenceMs = 2000;

std::int64_t EndpointEnds::endedUntil(std::optional<std::int64_t> KnownStartMs,
                                      std::int64_t WallMs) {
  return KnownStartMs.value_or(WallMs - ClockDifferenceMs);
}

void EndpointEnds::record(const EndpointName &Id, std::int64_t StartedUntilMs) {
  auto [Found, IsNew] = this->StartedUntil.try_emplace(Id, StartedUntilMs);
  Found->second = std::max(Found->second, StartedUntilMs);
}

bool EndpointEnds::covers(const EndpointName &Id,
                          std::int64_t StartedAtMs) const {
  auto Found = this->StartedUntil.find(Id);
  return Found != this->StartedUntil.end() && StartedAtMs <= Found->second;
}

} // namespace carobhinge
