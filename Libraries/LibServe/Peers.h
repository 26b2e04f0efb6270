//===- LibServe/Peers.h - The links to all other hosts --------------------===//
///
/// \file
/// One link for each peer in the settings, and the peer's settings.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_PEERS_H
#define LIBSERVE_PEERS_H

#include <LibSettings/Settings.h>
#include <LibWire/WireLink.h>
#include <map>
#include <memory>
#include <vector>

namespace carobhinge {

class Peers {
public:
  Peers(const boost::asio::any_io_executor &Executor,
        const Settings &LocalSettings, const SharedByteBudget &Budget);

  /// Null if there is no such peer.
  [[nodiscard]] WireLink *link(const HostName &Host) const;

  /// Sends a one-way message; dropped if the host is unknown or not connected.
  void post(const HostName &Host, std::string Method, std::string Message);

  [[nodiscard]] const std::vector<Peer> &all() const {
    return this->ConfiguredPeers;
  }
  /// Other entry hosts of this host's failure domain.
  [[nodiscard]] const std::vector<HostName> &domainEntryHosts() const {
    return this->DomainEntryHosts;
  }
  /// Entry hosts of other failure domains.
  [[nodiscard]] const std::vector<HostName> &remoteEntryHosts() const {
    return this->RemoteEntryHosts;
  }
  /// All control hosts, sorted by name, including this host if it is one.
  [[nodiscard]] const std::vector<HostName> &controlHosts() const {
    return this->ControlHosts;
  }
  [[nodiscard]] const Peer *find(const HostName &Host) const;

private:
  std::vector<Peer> ConfiguredPeers;
  std::vector<HostName> DomainEntryHosts;
  std::vector<HostName> RemoteEntryHosts;
  std::vector<HostName> ControlHosts;
  std::map<HostName, std::unique_ptr<WireLink>> Links;
};

/// Returns the wire options from the settings.
WireOptions wireOptions(const Settings &LocalSettings,
                        const SharedByteBudget &Budget);

} // namespace carobhinge

#endif // LIBSERVE_PEERS_H
