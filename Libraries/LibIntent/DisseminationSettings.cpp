//===- LibIntent/DisseminationSettings.cpp - A host's place in the tree ---===//
///
/// \file
/// Sorts the peers of the settings into the lists that the tree is made of.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/DisseminationSettings.h>

#include <algorithm>

namespace carobhinge {

static TreeMembers treeMembers(const Settings &Own) {
  std::vector<HostName> Control;
  std::vector<HostName> Others;
  TreeMembers Result{.Self = Own.Host, .Domain = {}, .OtherControl = {}};
  (Own.Does.Control ? Control : Others).push_back(Own.Host);
  for (const Peer &Each : Own.Peers) {
    if (Each.FailureDomain == Own.FailureDomain)
      (Each.Does.Control ? Control : Others).push_back(Each.Host);
    else if (Each.Does.Control)
      Result.OtherControl.push_back(Each.Host);
  }
  std::ranges::sort(Control);
  std::ranges::sort(Others);
  Result.Domain = std::move(Control);
  Result.Domain.insert(Result.Domain.end(), Others.begin(), Others.end());
  return Result;
}

DisseminationOptions disseminationOptions(const Settings &Own,
                                          const TreeShape &Shape) {
  TreeMembers Members = treeMembers(Own);
  DisseminationOptions Result;
  Result.Parents = parentCandidates(Members, Shape);
  Result.DomainPeers = std::move(Members.Domain);
  std::erase(Result.DomainPeers, Own.Host);
  std::ranges::sort(Result.DomainPeers);
  Result.MostChildren = 2 * Shape.FanOut;
  Result.PollInterval = Own.Times.IntentPoll;
  Result.CutOffAfter = Own.Times.CutOff;
  return Result;
}

} // namespace carobhinge
