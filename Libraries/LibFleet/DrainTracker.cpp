//===- LibFleet/DrainTracker.cpp - Detects when a group is drained --------===//
///
/// \file
/// Combines the reports of all entry hosts.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/DrainTracker.h>

#include <algorithm>

namespace carobhinge {

void DrainTracker::recordReport(TimePoint Now,
                                const OutstandingReport &Report) {
  this->Reports[Report.EntryHost] = {.Report = Report, .ReceivedAt = Now};
}

const OutstandingReport *DrainTracker::findReport(TimePoint Now,
                                                  const HostName &Host) const {
  auto Found = this->Reports.find(Host);
  bool IsStalled = Found == this->Reports.end() ||
                   Now - Found->second.ReceivedAt >= this->ReportTimeout;
  return IsStalled ? nullptr : &Found->second.Report;
}

DrainTracker::Status DrainTracker::drainStatus(TimePoint Now,
                                               const GroupName &Group,
                                               std::uint64_t Epoch,
                                               std::uint64_t Sequence) const {
  bool AnyStalled = false;
  for (const HostName &Host : this->EntryHosts) {
    const OutstandingReport *Report = this->findReport(Now, Host);
    if (!Report) {
      AnyStalled = true;
      continue;
    }
    if (Report->Epoch != Epoch || Report->Sequence < Sequence ||
        Report->Count.contains(Group))
      return Status::Busy;
  }
  return AnyStalled ? Status::AwaitingStalledHosts : Status::Drained;
}

bool DrainTracker::allHostsFollow(TimePoint Now, std::uint64_t Epoch) const {
  return std::ranges::all_of(
      this->EntryHosts, [this, Now, Epoch](const HostName &Host) {
        const OutstandingReport *Report = this->findReport(Now, Host);
        return Report && Report->KnownEpoch <= Epoch;
      });
}

} // namespace carobhinge
