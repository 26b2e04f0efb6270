//===- LibControl/EntryPeers.cpp - Entry hosts that reach engines ---------===//

#include <LibControl/EntryPeers.h>

#include <LibCore/Hash.h>
#include <algorithm>

namespace carobhinge {

bool EntryPeers::record(const HostName &Host, const FailureDomainName &Domain,
                        bool ReachesEngines) {
  Entry New{.FailureDomain = Domain, .ReachesEngines = ReachesEngines};
  auto [Found, IsNew] = this->Hosts.try_emplace(Host, New);
  if (!IsNew && Found->second == New)
    return false;
  Found->second = New;
  return true;
}

std::vector<EntryPeer> EntryPeers::peersOf(const HostName &Host) const {
  auto Own = this->Hosts.find(Host);
  FailureDomainName Domain =
      Own == this->Hosts.end() ? "" : Own->second.FailureDomain;
  std::vector<std::pair<std::pair<bool, std::uint64_t>, EntryPeer>> Ranked;
  std::uint64_t Seed = hash64(Host);
  for (const auto &[Name, Each] : this->Hosts)
    if (Name != Host && Each.ReachesEngines)
      Ranked.push_back({{Each.FailureDomain != Domain, hash64(Name, Seed)},
                        {.Host = Name, .FailureDomain = Each.FailureDomain}});
  std::ranges::sort(Ranked, {}, [](const auto &Each) { return Each.first; });
  Ranked.resize(std::min(Ranked.size(), MaxPeers));
  std::vector<EntryPeer> Peers;
  Peers.reserve(Ranked.size());
  for (auto &[Rank, Peer] : Ranked)
    Peers.push_back(std::move(Peer));
  return Peers;
}

} // namespace carobhinge
