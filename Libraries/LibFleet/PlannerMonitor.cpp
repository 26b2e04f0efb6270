//===- LibFleet/PlannerMonitor.cpp - Moves planner grants between hosts ---===//
///
/// \file
/// Evaluates the pings from the entry hosts of each failure domain.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/PlannerMonitor.h>

#include <algorithm>

namespace carobhinge {

void PlannerMonitor::recordPresence(TimePoint Now,
                                    const FailureDomainName &FailureDomain,
                                    const HostName &EntryHost,
                                    Incarnation IncarnationNumber) {
  this->Domains[FailureDomain][EntryHost] = {
      .IncarnationNumber = IncarnationNumber, .ReceivedAt = Now};
}

bool PlannerMonitor::isHolderActive(TimePoint Now, const PlannerGrant *Grant,
                                    const EntryHostMap &EntryHosts) const {
  if (!Grant)
    return false;
  auto Holder = EntryHosts.find(Grant->Host);
  bool HasReported = Holder != EntryHosts.end();
  if (HasReported && Holder->second.IncarnationNumber != Grant->HostIncarnation)
    return false;
  TimePoint LastReport =
      HasReported ? Holder->second.ReceivedAt : this->StartedAt;
  return Now - LastReport < this->Options.HolderTimeout;
}

std::vector<message::PlannerCommand>
PlannerMonitor::tick(TimePoint Now, const PlannerGrants &Grants) const {
  std::vector<message::PlannerCommand> Result;
  for (const auto &[Name, EntryHosts] : this->Domains) {
    const PlannerGrant *Grant = Grants.find(Name);
    if (this->isHolderActive(Now, Grant, EntryHosts))
      continue;
    auto Successor = std::ranges::find_if(EntryHosts, [&](const auto &Each) {
      return Now - Each.second.ReceivedAt < this->Options.CandidateTimeout;
    });
    if (Successor == EntryHosts.end())
      continue;
    auto &Command = *Result.emplace_back().mutable_grant();
    Command.set_failure_domain(Name);
    Command.set_host(Successor->first);
    Command.set_incarnation(Successor->second.IncarnationNumber);
    Command.set_expected_epoch(Grant ? Grant->Epoch : 0);
  }
  return Result;
}

} // namespace carobhinge
