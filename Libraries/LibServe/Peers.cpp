//===- LibServe/Peers.cpp - The links to all other hosts ------------------===//
///
/// \file
/// Opens a link to each peer and sorts the peers by role.
///
//===----------------------------------------------------------------------===//

#include <LibServe/Peers.h>

#include <LibCore/Hash.h>
#include <algorithm>

namespace carobhinge {

WireOptions wireOptions(const Settings &LocalSettings,
                        const SharedByteBudget &Budget) {
  return {.Cluster = LocalSettings.Cluster,
          .Self = LocalSettings.Host,
          .MessageBytes =
              static_cast<std::size_t>(LocalSettings.Bounds.MessageBytes),
          .Budget = &Budget,
          .QueuedBytes =
              static_cast<std::size_t>(LocalSettings.Bounds.PeerQueueBytes),
          .ConnectTimeout = LocalSettings.Times.Connect,
          .PingInterval = LocalSettings.Times.Ping,
          .PingTimeout = LocalSettings.Times.PingTimeout,
          .MinReconnectPause = LocalSettings.Times.MinReconnectDelay,
          .MaxReconnectPause = LocalSettings.Times.MaxReconnectDelay};
}

Peers::Peers(const boost::asio::any_io_executor &Executor,
             const Settings &LocalSettings, const SharedByteBudget &Budget)
    : ConfiguredPeers(LocalSettings.Peers) {
  WireOptions Options = wireOptions(LocalSettings, Budget);
  if (LocalSettings.AssignedRoles.Control)
    this->ControlHosts.push_back(LocalSettings.Host);
  for (const Peer &Each : this->ConfiguredPeers) {
    // Seeded by both names, so that links do not reconnect in step.
    std::uint64_t Seed = hash64(Each.Host, hash64(LocalSettings.Host));
    this->Links[Each.Host] = std::make_unique<WireLink>(
        Executor, Each.Address.text(), Options, Seed);
    if (Each.AssignedRoles.Control)
      this->ControlHosts.push_back(Each.Host);
    if (!Each.AssignedRoles.Entry)
      continue;
    bool SameDomain = Each.FailureDomain == LocalSettings.FailureDomain;
    (SameDomain ? this->DomainEntryHosts : this->RemoteEntryHosts)
        .push_back(Each.Host);
  }
  std::ranges::sort(this->ControlHosts);
}

WireLink *Peers::link(const HostName &Host) const {
  auto Found = this->Links.find(Host);
  return Found == this->Links.end() ? nullptr : Found->second.get();
}

void Peers::post(const HostName &Host, std::string Method,
                 std::string Message) {
  if (WireLink *Link = this->link(Host))
    Link->post(std::move(Method), std::move(Message));
}

const Peer *Peers::find(const HostName &Host) const {
  auto Found = std::ranges::find(this->ConfiguredPeers, Host, &Peer::Host);
  return Found == this->ConfiguredPeers.end() ? nullptr : &*Found;
}

} // namespace carobhinge
