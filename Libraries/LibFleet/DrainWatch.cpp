//===- LibFleet/DrainWatch.cpp - Whether a group's work has ended ---------===//
///
/// \file
/// Joins the reports of all entry hosts.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/DrainWatch.h>

#include <tuple>

namespace carobhinge {

void DrainWatch::reported(TimePoint Now, const OutstandingReport &Report) {
  this->Reports[Report.EntryHost] = {.Report = Report, .At = Now};
}

DrainWatch::Verdict DrainWatch::verdict(TimePoint Now, const GroupName &Group,
                                        std::uint64_t Epoch,
                                        std::uint64_t Sequence) const {
  bool AnySilent = false;
  for (const HostName &Host : this->EntryHosts) {
    auto Found = this->Reports.find(Host);
    if (Found == this->Reports.end() ||
        Now - Found->second.At >= this->SilentAfter) {
      AnySilent = true;
      continue;
    }
    const OutstandingReport &Report = Found->second.Report;
    if (std::tie(Report.Epoch, Report.Sequence) < std::tie(Epoch, Sequence) ||
        Report.Count.contains(Group))
      return Verdict::Busy;
  }
  return AnySilent ? Verdict::SilentOnly : Verdict::Drained;
}

} // namespace carobhinge
