//===- LibIntent/DisseminationTree.cpp - Whom a host asks for the intent --===//
///
/// \file
/// A heap over the ranks of the domain's hosts; alternates and control hosts
/// are spread by a hash of the asking host's name.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/DisseminationTree.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <cassert>
#include <span>

namespace carobhinge {

/// Appends up to \p Most of \p Hosts, from a place that \p Spread gives.
static void addSome(std::vector<HostName> &List,
                    std::span<const HostName> Hosts, std::size_t Most,
                    std::uint64_t Spread) {
  for (std::size_t I = 0; I < std::min(Most, Hosts.size()); ++I) {
    const HostName &Host = Hosts[(Spread + I) % Hosts.size()];
    if (std::ranges::find(List, Host) == List.end())
      List.push_back(Host);
  }
}

std::vector<HostName> parentCandidates(const TreeMembers &Members,
                                       const TreeShape &Shape) {
  auto Self = std::ranges::find(Members.Domain, Members.Self);
  assert(Self != Members.Domain.end());
  std::size_t Rank = Self - Members.Domain.begin();
  std::uint64_t Spread = hash64(Members.Self);
  std::vector<HostName> Result;
  if (Rank > 0)
    Result.push_back(Members.Domain[(Rank - 1) / Shape.FanOut]);
  addSome(Result, std::span(Members.Domain).first(Rank), Shape.Alternates,
          Spread);
  addSome(Result, Members.OtherControl, Shape.Alternates, Spread);
  return Result;
}

} // namespace carobhinge
