//===- LibIntent/DisseminationTree.h - Whom a host asks for the intent ----===//
///
/// \file
/// Each failure domain has its own tree of hosts. A host only ever asks hosts
/// that stand before it in its domain, or control hosts of other domains, so
/// that no cycle forms inside the domain whatever is lost, and no host needs
/// to agree with another on the shape of the tree. The domain has one root, so
/// that what spreads in the domain alone reaches all of it.
///
//===----------------------------------------------------------------------===//

#ifndef LIBINTENT_DISSEMINATIONTREE_H
#define LIBINTENT_DISSEMINATIONTREE_H

#include <LibCore/Names.h>
#include <vector>

namespace carobhinge {

struct TreeShape {
  /// Children that each host is meant to have.
  std::size_t FanOut = 8;
  /// Further hosts to turn to when the parent is lost.
  std::size_t Alternates = 3;
};

/// The hosts that a tree is made of.
struct TreeMembers {
  HostName Self;
  /// All hosts of the own failure domain, itself included, in an order that
  /// all of them share: control hosts first, as these hear of changes first.
  std::vector<HostName> Domain;
  /// Control hosts of other failure domains.
  std::vector<HostName> OtherControl;
};

/// Whom the host asks, the best first. Only a host alone asks nobody.
std::vector<HostName> parentCandidates(const TreeMembers &Members,
                                       const TreeShape &Shape);

} // namespace carobhinge

#endif // LIBINTENT_DISSEMINATIONTREE_H
