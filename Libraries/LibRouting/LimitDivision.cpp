//===- LibRouting/LimitDivision.cpp - Shares of a limit on requests -------===//

#include <LibRouting/LimitDivision.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <cmath>

namespace carobhinge {

void LimitDivision::setEntryHosts(int Index, int Count) {
  this->HostIndex = Index;
  this->HostCount = std::max(Count, 1);
}

bool LimitDivision::isSender(const EndpointName &Endpoint, int Senders) const {
  auto Count = static_cast<std::uint64_t>(this->HostCount);
  auto FirstSender = hash64(Endpoint) % Count;
  auto Offset =
      (static_cast<std::uint64_t>(this->HostIndex) + FirstSender) % Count;
  return Offset < static_cast<std::uint64_t>(Senders);
}

double LimitDivision::rate(const EndpointName &Endpoint, double Limit) const {
  double Share = this->LoadShare.value_or(1.0 / this->HostCount);
  int Senders = static_cast<int>(std::ceil(
      Limit *
      std::chrono::duration<double>(this->Options.MaxInterval).count()));
  if (Senders < this->HostCount) {
    if (!this->isSender(Endpoint, Senders))
      return 0;
    Share = 1.0 / Senders;
  }
  return Limit * this->Options.SafetyFactor * Share;
}

double LimitDivision::phase(const EndpointName &Endpoint,
                            double Uniform) const {
  double OwnPlace = (this->HostIndex + Uniform) / this->HostCount;
  auto Offset = static_cast<double>(hash64(Endpoint) % 1000);
  return std::fmod(OwnPlace + Offset / 1000, 1.0);
}

} // namespace carobhinge
