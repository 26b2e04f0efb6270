//===- LibFleet/DomainLoads.cpp - Loads of the entry hosts of a domain ----===//

#include <LibFleet/DomainLoads.h>

#include <algorithm>

namespace carobhinge {

void DomainLoads::record(TimePoint Now, const HostName &Host,
                         std::uint32_t Requests) {
  this->Loads[Host] = {.Requests = Requests, .ReceivedAt = Now};
  if (Host == this->Self && !this->KnownSince)
    this->KnownSince = Now;
}

std::optional<double> DomainLoads::weight(TimePoint Now,
                                          const HostName &Host) const {
  auto Found = this->Loads.find(Host);
  if (Host == this->Self)
    return Found == this->Loads.end() ? 1.0 : Found->second.Requests + 1.0;
  if (Found != this->Loads.end()) {
    if (Now - Found->second.ReceivedAt > this->Lifetime)
      return std::nullopt;
    return Found->second.Requests + 1.0;
  }
  if (this->KnownSince && Now - *this->KnownSince > this->Lifetime)
    return std::nullopt;
  return this->weight(Now, this->Self);
}

EntryHostPlace DomainLoads::place(TimePoint Now,
                                  std::vector<HostName> EntryHosts) const {
  std::ranges::sort(EntryHosts);
  EntryHostPlace Place{.Index = 0, .Count = 0};
  double Sum = 0;
  for (const HostName &Host : EntryHosts) {
    std::optional<double> Weight = this->weight(Now, Host);
    if (!Weight)
      continue;
    if (Host == this->Self)
      Place.Index = Place.Count;
    ++Place.Count;
    Sum += *Weight;
  }
  Place.Count = std::max(Place.Count, 1);
  if (Sum > 0)
    Place.LoadShare = *this->weight(Now, this->Self) / Sum;
  return Place;
}

} // namespace carobhinge
