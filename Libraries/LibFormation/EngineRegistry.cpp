//===- LibFormation/EngineRegistry.cpp - Newest report per endpoint -------===//

#include <LibFormation/EngineRegistry.h>
#include <utility>

namespace carobhinge {

/// \returns whether the endpoint's state differs between two reports. A change
/// of the remaining cold time alone doesn't count until it reaches 0.
static bool hasChanged(const EngineReport &OldReport,
                       const EngineReport &NewReport) {
  return OldReport.StartedAtMs != NewReport.StartedAtMs ||
         OldReport.Address != NewReport.Address ||
         OldReport.Leaving != NewReport.Leaving ||
         OldReport.StagedModels != NewReport.StagedModels ||
         OldReport.Group != NewReport.Group ||
         (OldReport.RemainingColdTime > Duration::zero()) !=
             (NewReport.RemainingColdTime > Duration::zero());
}

bool EngineRegistry::accept(TimePoint ReceivedAt, EngineReport Report) {
  for (const auto &[Id, Record] : this->Records)
    if (Id != Report.Id && Record.Report.Address == Report.Address &&
        Record.Report.StartedAtMs > Report.StartedAtMs)
      // A delayed heartbeat: its sender has ended and another endpoint has
      // started at the same address.
      return false;
  auto [Found, IsNew] = this->Records.try_emplace(Report.Id);
  EngineRecord &Record = Found->second;
  if (!IsNew &&
      std::pair(Report.StartedAtMs, Report.Sequence) <=
          std::pair(Record.Report.StartedAtMs, Record.Report.Sequence))
    return false;
  bool SameIncarnation =
      !IsNew && Report.StartedAtMs == Record.Report.StartedAtMs;
  // Leaving is final within an incarnation.
  Report.Leaving = Report.Leaving ||
                   (SameIncarnation && Record.Report.Leaving) ||
                   this->Ends.covers(Report.Id, Report.StartedAtMs);
  Record.Changed = Record.Changed || IsNew || hasChanged(Record.Report, Report);
  if (!SameIncarnation)
    Record.FirstReportAt = ReceivedAt;
  if (IsNew || hasChanged(Record.Report, Report))
    ++this->Revision;
  Record.LastReportAt = std::max(Record.LastReportAt, ReceivedAt);
  Record.ColdUntil = ReceivedAt + Report.RemainingColdTime;
  Record.Report = std::move(Report);
  if (!SameIncarnation)
    this->removePredecessors(Record.Report);
  return true;
}

void EngineRegistry::removePredecessors(const EngineReport &Successor) {
  std::erase_if(this->Records, [&](const auto &Entry) {
    const EngineReport &Other = Entry.second.Report;
    return Other.Id != Successor.Id && Other.Address == Successor.Address &&
           Other.StartedAtMs <= Successor.StartedAtMs;
  });
}

bool EngineRegistry::leave(const EndpointName &Id) {
  auto Found = this->Records.find(Id);
  if (Found == this->Records.end())
    return false;
  if (!Found->second.Report.Leaving) {
    Found->second.Report.Leaving = true;
    Found->second.Changed = true;
    ++this->Revision;
  }
  return true;
}

void EngineRegistry::setEnds(EndpointEnds NewEnds) {
  this->Ends = std::move(NewEnds);
  for (const auto &[Id, Record] : this->Records)
    if (this->Ends.covers(Id, Record.Report.StartedAtMs))
      this->leave(Id);
}

void EngineRegistry::expire(TimePoint Limit, TimePoint LeavingLimit) {
  this->Revision += std::erase_if(this->Records, [&](const auto &Entry) {
    const EngineRecord &Record = Entry.second;
    return Record.LastReportAt < (Record.Report.Leaving ? LeavingLimit : Limit);
  });
}

const EngineRecord *EngineRegistry::find(const EndpointName &Id) const {
  auto Found = this->Records.find(Id);
  return Found == this->Records.end() ? nullptr : &Found->second;
}

} // namespace carobhinge
