//===- LibFleet/Roster.h - The groups of a failure domain -----------------===//
///
/// \file
/// The planner's list of groups, published to the entry hosts of its failure
/// domain. Of two rosters the one with the larger (epoch, sequence) is newer.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_ROSTER_H
#define LIBFLEET_ROSTER_H

#include <LibCore/Names.h>
#include <string>
#include <vector>

namespace carobhinge {

enum class GroupState : std::uint8_t {
  /// Members have not yet joined or not yet loaded their weights.
  Forming,
  Serving,
  /// Finishes its running requests and gets no new ones.
  Draining,
  /// A member was lost and is not yet replaced.
  Broken,
};

struct RosterMember {
  /// Empty while no endpoint has announced this rank to the planner.
  EndpointName Endpoint;
  Incarnation IncarnationNumber = 0;

  bool operator==(const RosterMember &) const = default;
};

struct RosterGroup {
  GroupName Group;
  FencingToken Number = 0;
  ServiceName Service;
  std::string Version;
  FabricDomainName FabricDomain;
  GroupState State = GroupState::Forming;
  /// Ordered by rank. The member of rank zero receives the group's requests.
  std::vector<RosterMember> Members;

  bool operator==(const RosterGroup &) const = default;
};

struct Roster {
  FailureDomainName FailureDomain;
  /// Epoch of the planner's grant.
  std::uint64_t Epoch = 0;
  /// Increases with every roster of one epoch.
  std::uint64_t Sequence = 0;
  std::vector<RosterGroup> Groups = {};

  bool operator==(const Roster &) const = default;
};

/// True if \p Candidate supersedes \p Current.
inline bool isNewer(const Roster &Candidate, const Roster &Current) {
  return Candidate.Epoch > Current.Epoch ||
         (Candidate.Epoch == Current.Epoch &&
          Candidate.Sequence > Current.Sequence);
}

} // namespace carobhinge

#endif // LIBFLEET_ROSTER_H
