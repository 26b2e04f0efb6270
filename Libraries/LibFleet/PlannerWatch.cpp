//===- LibFleet/PlannerWatch.cpp - When a planner grant moves -------------===//
///
/// \file
/// Judges each failure domain by the pings of its entry hosts.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/PlannerWatch.h>

#include <algorithm>

namespace carobhinge {

void PlannerWatch::heard(TimePoint Now, const FailureDomainName &FailureDomain,
                         const HostName &EntryHost, Incarnation Life) {
  this->Domains[FailureDomain][EntryHost] = {.Life = Life, .At = Now};
}

bool PlannerWatch::isHeld(TimePoint Now, const PlannerGrant *Grant,
                          const EntryHostMap &EntryHosts) const {
  if (!Grant)
    return false;
  auto Holder = EntryHosts.find(Grant->Host);
  bool WasHeard = Holder != EntryHosts.end();
  if (WasHeard && Holder->second.Life != Grant->HostLife)
    return false;
  TimePoint Last = WasHeard ? Holder->second.At : this->StartedAt;
  return Now - Last < this->Options.HolderSilentAfter;
}

std::vector<message::PlannerCommand>
PlannerWatch::tick(TimePoint Now, const PlannerGrants &Grants) const {
  std::vector<message::PlannerCommand> Result;
  for (const auto &[Name, EntryHosts] : this->Domains) {
    const PlannerGrant *Grant = Grants.find(Name);
    if (this->isHeld(Now, Grant, EntryHosts))
      continue;
    auto Heir = std::ranges::find_if(EntryHosts, [&](const auto &Each) {
      return Now - Each.second.At < this->Options.HeardWithin;
    });
    if (Heir == EntryHosts.end())
      continue;
    auto &Command = *Result.emplace_back().mutable_grant();
    Command.set_failure_domain(Name);
    Command.set_host(Heir->first);
    Command.set_incarnation(Heir->second.Life);
    Command.set_expected_epoch(Grant ? Grant->Epoch : 0);
  }
  return Result;
}

} // namespace carobhinge
