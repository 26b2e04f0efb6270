//===- LibServe/Peers.cpp - The links to all other hosts ------------------===//
///
/// \file
/// Opens a link to each peer and sorts the peers by what they do.
///
//===----------------------------------------------------------------------===//

#include <LibServe/Peers.h>

#include <LibCore/Hash.h>
#include <algorithm>

namespace carobhinge {

WireOptions wireOptions(const Settings &Own) {
  return {.Cluster = Own.Cluster,
          .Self = Own.Host,
          .MessageBytes = static_cast<std::size_t>(Own.Bounds.MessageBytes),
          .QueuedBytes = static_cast<std::size_t>(Own.Bounds.PeerQueueBytes),
          .ConnectTimeout = Own.Times.Connect,
          .PingInterval = Own.Times.Ping,
          .SilenceTimeout = Own.Times.PingTimeout,
          .LeastReconnectPause = Own.Times.ReconnectLeast,
          .MostReconnectPause = Own.Times.ReconnectMost};
}

Peers::Peers(const boost::asio::any_io_executor &Executor, const Settings &Own)
    : Known(Own.Peers) {
  WireOptions Options = wireOptions(Own);
  if (Own.Does.Control)
    this->ControlHosts.push_back(Own.Host);
  for (const Peer &Each : this->Known) {
    // Seeded by the pair of names, so that no two links pause alike.
    std::uint64_t Seed = hash64(Each.Host, hash64(Own.Host));
    this->Links[Each.Host] = std::make_unique<WireLink>(
        Executor, Each.Address.text(), Options, Seed);
    if (Each.Does.Control)
      this->ControlHosts.push_back(Each.Host);
    if (!Each.Does.Entry)
      continue;
    bool SameDomain = Each.FailureDomain == Own.FailureDomain;
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
  auto Found = std::ranges::find(this->Known, Host, &Peer::Host);
  return Found == this->Known.end() ? nullptr : &*Found;
}

} // namespace carobhinge
