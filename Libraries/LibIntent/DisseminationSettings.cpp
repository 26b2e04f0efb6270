//===- LibIntent/DisseminationSettings.cpp - Dissemination options --------===//
///
/// \file
/// Sorts the peers in the settings into the lists that define the tree.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/DisseminationSettings.h>

#include <algorithm>

namespace carobhinge {

static TreeMembers treeMembers(const Settings &LocalSettings) {
  std::vector<HostName> Control;
  std::vector<HostName> OtherHosts;
  TreeMembers Result{
      .Self = LocalSettings.Host, .Domain = {}, .OtherControl = {}};
  (LocalSettings.AssignedRoles.Control ? Control : OtherHosts)
      .push_back(LocalSettings.Host);
  for (const Peer &Each : LocalSettings.Peers) {
    if (Each.FailureDomain == LocalSettings.FailureDomain)
      (Each.AssignedRoles.Control ? Control : OtherHosts).push_back(Each.Host);
    else if (Each.AssignedRoles.Control)
      Result.OtherControl.push_back(Each.Host);
  }
  std::ranges::sort(Control);
  std::ranges::sort(OtherHosts);
  Result.Domain = std::move(Control);
  Result.Domain.insert(Result.Domain.end(), OtherHosts.begin(),
                       OtherHosts.end());
  return Result;
}

DisseminationOptions disseminationOptions(const Settings &LocalSettings,
                                          const TreeShape &Shape) {
  TreeMembers Members = treeMembers(LocalSettings);
  DisseminationOptions Result;
  Result.Parents = parentCandidates(Members, Shape);
  Result.DomainPeers = std::move(Members.Domain);
  std::erase(Result.DomainPeers, LocalSettings.Host);
  std::ranges::sort(Result.DomainPeers);
  Result.MaxChildren = 2 * Shape.FanOut;
  Result.PollInterval = LocalSettings.Times.IntentPoll;
  Result.CutOffAfter = LocalSettings.Times.CutOff;
  return Result;
}

} // namespace carobhinge
