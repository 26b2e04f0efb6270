//===- LibRouting/PeerChoice.h - Hosts that requests are handed on to -----===//
///
/// \file
/// Selects the entry host that gets a request of a host that is cut off from
/// all engines: one that reaches engines, that has the fewest of this host's
/// requests in progress, and that is near.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_PEERCHOICE_H
#define LIBROUTING_PEERCHOICE_H

#include <LibCore/Names.h>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace carobhinge {

struct EntryPeer {
  HostName Host = {};
  FailureDomainName FailureDomain = {};

  bool operator==(const EntryPeer &) const = default;
};

struct PeerChoiceOptions {
  FailureDomainName FailureDomain = {};
  /// Requests in progress that a peer of another failure domain counts as
  /// having more: traffic between domains is billed.
  int RemoteDomainPenalty = 2;
  std::uint64_t Seed = 1;
};

class PeerChoice {
public:
  explicit PeerChoice(PeerChoiceOptions Options)
      : Options(std::move(Options)), Random(this->Options.Seed) {}

  /// Replaces the hosts that reach engines.
  void setPeers(std::vector<EntryPeer> NewPeers);
  /// Returns a peer that is not in \p Tried; nothing if there is none.
  [[nodiscard]] std::optional<EntryPeer>
  choose(std::span<const HostName> Tried);
  /// A request is handed on to \p Peer, and has ended there.
  void begin(const HostName &Peer) { ++this->InProgress[Peer]; }
  void end(const HostName &Peer);

private:
  PeerChoiceOptions Options;
  std::vector<EntryPeer> Peers;
  /// No zeros.
  std::map<HostName, int> InProgress;
  std::mt19937_64 Random;
};

} // namespace carobhinge

#endif // LIBROUTING_PEERCHOICE_H
