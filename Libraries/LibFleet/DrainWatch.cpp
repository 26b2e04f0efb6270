//===- LibFleet/DrainWatch.cpp - Whether a group's work has ended ---------===//
///
/// \file
/// Joins the reports of all entry hosts.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/DrainWatch.h>

#include <algorithm>

namespace carobhinge {

void DrainWatch::reported(TimePoint Now, const OutstandingReport &Report) {
  this->Reports[Report.EntryHost] = {.Report = Report, .At = Now};
}

const OutstandingReport *DrainWatch::find(TimePoint Now,
                                          const HostName &Host) const {
  auto Found = this->Reports.find(Host);
  bool Silent = Found == this->Reports.end() ||
                Now - Found->second.At >= this->SilentAfter;
  return Silent ? nullptr : &Found->second.Report;
}

DrainWatch::Verdict DrainWatch::verdict(TimePoint Now, const GroupName &Group,
                                        std::uint64_t Epoch,
                                        std::uint64_t Sequence) const {
  bool AnySilent = false;
  for (const HostName &Host : this->EntryHosts) {
    const OutstandingReport *Report = this->find(Now, Host);
    if (!Report) {
      AnySilent = true;
      continue;
    }
    if (Report->Epoch != Epoch || Report->Sequence < Sequence ||
        Report->Count.contains(Group))
      return Verdict::Busy;
  }
  return AnySilent ? Verdict::SilentOnly : Verdict::Drained;
}

bool DrainWatch::allFollow(TimePoint Now, std::uint64_t Epoch) const {
  return std::ranges::all_of(
      this->EntryHosts, [this, Now, Epoch](const HostName &Host) {
        const OutstandingReport *Report = this->find(Now, Host);
        return Report && Report->KnownEpoch <= Epoch;
      });
}

} // namespace carobhinge
