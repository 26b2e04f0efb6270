//===- LibIntent/DisseminationTree.h - Parents of a host in the tree ------===//
///
/// \file
/// Each failure domain has its own tree of hosts. A host polls only hosts that
/// precede it in its domain's order, or control hosts of other domains. No
/// cycle can form inside the domain, whichever hosts fail, and hosts need no
/// agreement on the shape of the tree. Each domain has a single root, so that
/// data that spreads only within the domain reaches all of its hosts.
///
//===----------------------------------------------------------------------===//

#ifndef LIBINTENT_DISSEMINATIONTREE_H
#define LIBINTENT_DISSEMINATIONTREE_H

#include <LibCore/Names.h>
#include <vector>

namespace carobhinge {

struct TreeShape {
  /// Intended number of children of each host.
  std::size_t FanOut = 8;
  /// Number of alternate parents, in the domain and in other domains each.
  std::size_t Alternates = 3;
};

/// The hosts from which parents are chosen.
struct TreeMembers {
  HostName Self;
  /// All hosts of this host's failure domain including itself, in the same
  /// order on every host: control hosts first, as they receive changes first.
  std::vector<HostName> Domain;
  /// Control hosts of other failure domains.
  std::vector<HostName> OtherControl;
};

/// The hosts to poll, preferred first. Empty only if there is no other host.
std::vector<HostName> parentCandidates(const TreeMembers &Members,
                                       const TreeShape &Shape);

} // namespace carobhinge

#endif // LIBINTENT_DISSEMINATIONTREE_H
