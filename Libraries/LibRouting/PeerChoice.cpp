//===- LibRouting/PeerChoice.cpp - Hosts that requests are handed on to ---===//

#include <LibRouting/PeerChoice.h>

#include <algorithm>

namespace carobhinge {

void PeerChoice::setPeers(std::vector<EntryPeer> NewPeers) {
  this->Peers = std::move(NewPeers);
}

std::optional<EntryPeer> PeerChoice::choose(std::span<const HostName> Tried) {
  // Hosts that lose their engines together must not all choose the same peer.
  std::ranges::shuffle(this->Peers, this->Random);
  auto Cost = [this](const EntryPeer &Peer) {
    auto Found = this->InProgress.find(Peer.Host);
    bool IsNear = Peer.FailureDomain == this->Options.FailureDomain;
    return (Found == this->InProgress.end() ? 0 : Found->second) +
           (IsNear ? 0 : this->Options.RemoteDomainPenalty);
  };
  std::optional<EntryPeer> Best;
  for (const EntryPeer &Each : this->Peers)
    if (std::ranges::find(Tried, Each.Host) == Tried.end() &&
        (!Best || Cost(Each) < Cost(*Best)))
      Best = Each;
  return Best;
}

void PeerChoice::end(const HostName &Peer) {
  auto Found = this->InProgress.find(Peer);
  if (Found != this->InProgress.end() && --Found->second == 0)
    this->InProgress.erase(Found);
}

} // namespace carobhinge
