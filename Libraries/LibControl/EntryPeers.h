//===- LibControl/EntryPeers.h - Entry hosts that reach engines -----------===//
///
/// \file
/// Knows from the pulses of the entry hosts which of them reach engines, and
/// selects for each host the few that it may hand requests on to.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_ENTRYPEERS_H
#define LIBCONTROL_ENTRYPEERS_H

#include <LibRouting/PeerChoice.h>
#include <map>

namespace carobhinge {

class EntryPeers {
public:
  /// \returns whether that changed what is known of \p Host.
  bool record(const HostName &Host, const FailureDomainName &Domain,
              bool ReachesEngines);
  void remove(const HostName &Host) { this->Hosts.erase(Host); }

  /// Hosts other than \p Host that reach engines, at most MaxPeers. Those of
  /// its own failure domain come first; different hosts get different ones.
  [[nodiscard]] std::vector<EntryPeer> peersOf(const HostName &Host) const;

  static constexpr std::size_t MaxPeers = 8;

private:
  struct Entry {
    FailureDomainName FailureDomain = {};
    bool ReachesEngines = true;

    bool operator==(const Entry &) const = default;
  };
  std::map<HostName, Entry> Hosts;
};

} // namespace carobhinge

#endif // LIBCONTROL_ENTRYPEERS_H
