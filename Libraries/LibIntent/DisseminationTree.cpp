//===- LibIntent/DisseminationTree.cpp - Parents of a host in the tree ----===//
///
/// \file
/// Arranges the hosts of a domain as an implicit heap by rank. Alternates and
/// control hosts are distributed by a hash of the polling host's name.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/DisseminationTree.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <cassert>
#include <span>

namespace carobhinge {

/// Appends up to \p MaxCount of \p Hosts, starting at index \p Offset modulo
/// their number.
static void addCandidates(std::vector<HostName> &List,
                          std::span<const HostName> Hosts, std::size_t MaxCount,
                          std::uint64_t Offset) {
  for (std::size_t I = 0; I < std::min(MaxCount, Hosts.size()); ++I) {
    const HostName &Host = Hosts[(Offset + I) % Hosts.size()];
    if (std::ranges::find(List, Host) == List.end())
      List.push_back(Host);
  }
}

std::vector<HostName> parentCandidates(const TreeMembers &Members,
                                       const TreeShape &Shape) {
  auto Self = std::ranges::find(Members.Domain, Members.Self);
  assert(Self != Members.Domain.end());
  std::size_t Rank = Self - Members.Domain.begin();
  std::uint64_t Offset = hash64(Members.Self);
  std::vector<HostName> Result;
  if (Rank > 0)
    Result.push_back(Members.Domain[(Rank - 1) / Shape.FanOut]);
  addCandidates(Result, std::span(Members.Domain).first(Rank), Shape.Alternates,
                Offset);
  addCandidates(Result, Members.OtherControl, Shape.Alternates, Offset);
  return Result;
}

} // namespace carobhinge
