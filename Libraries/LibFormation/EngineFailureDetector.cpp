//===- LibFormation/EngineFailureDetector.cpp - Detects lost engines ------===//

#include <LibFormation/EngineFailureDetector.h>

namespace carobhinge {

void EngineFailureDetector::recordProgress(const GroupName &Group,
                                           std::uint64_t Epoch,
                                           TimePoint EventAt) {
  Progress &Newest = this->LastProgress[Group];
  if (Epoch > Newest.Epoch)
    Newest = {.Epoch = Epoch, .EventAt = EventAt};
  else if (Epoch == Newest.Epoch)
    Newest.EventAt = std::max(Newest.EventAt, EventAt);
}

void EngineFailureDetector::recordStall(TimePoint Now, const GroupName &Group) {
  this->LastStall[Group] = Now;
}

bool EngineFailureDetector::hasRecentProgress(
    TimePoint Now, const EngineRecord &Record) const {
  if (!Record.Report.Group)
    return false;
  auto Found = this->LastProgress.find(Record.Report.Group->Group);
  auto Stall = this->LastStall.find(Record.Report.Group->Group);
  if (Found != this->LastProgress.end() && Stall != this->LastStall.end() &&
      Stall->second > Found->second.EventAt)
    return false;
  // Progress of another epoch doesn't count: the group may have replaced this
  // engine.
  return Found != this->LastProgress.end() &&
         Found->second.Epoch == Record.Report.Group->Epoch &&
         Now - Found->second.EventAt < this->Options.MaxProgressAge;
}

bool EngineFailureDetector::isSuspect(TimePoint Now,
                                      const GroupName &Group) const {
  auto Stall = this->LastStall.find(Group);
  if (Stall == this->LastStall.end() ||
      Now - Stall->second > this->Options.SuspicionTimeout)
    return false;
  auto Found = this->LastProgress.find(Group);
  return Found == this->LastProgress.end() ||
         Found->second.EventAt < Stall->second;
}

std::vector<EndpointName> EngineFailureDetector::enginesToProbe(TimePoint Now) {
  std::vector<EndpointName> EnginesDue;
  for (const auto &[Id, Record] : this->Engines.all()) {
    Duration Age = Now - Record.LastReportAt;
    bool Overdue =
        Age > this->Options.ReportInterval + this->Options.ReportMargin;
    bool Stalled = false;
    if (Record.Report.Group) {
      auto Found = this->LastStall.find(Record.Report.Group->Group);
      Stalled = Found != this->LastStall.end() &&
                Now - Found->second < this->Options.ProbeInterval;
    }
    if ((!Overdue && !Stalled) || this->hasRecentProgress(Now, Record))
      continue;
    Probe &State = this->Probes[Id];
    Duration Interval = State.FailedAt ? this->Options.LostProbeInterval
                                       : this->Options.ProbeInterval;
    if (State.Waiting || Now - State.SentAt < Interval)
      continue;
    State.SentAt = Now;
    State.Waiting = true;
    EnginesDue.push_back(Id);
  }
  return EnginesDue;
}

void EngineFailureDetector::probeAnswered(TimePoint, const EndpointName &Id) {
  Probe &State = this->Probes[Id];
  State.Waiting = false;
  State.FailedAt.reset();
}

void EngineFailureDetector::probeFailed(TimePoint Now, const EndpointName &Id) {
  Probe &State = this->Probes[Id];
  State.Waiting = false;
  if (!State.FailedAt)
    State.FailedAt = Now;
}

void EngineFailureDetector::probeSkipped(const EndpointName &Id) {
  this->Probes[Id].Waiting = false;
}

std::set<EndpointName> EngineFailureDetector::lostEngines(TimePoint Now) {
  std::set<EndpointName> Lost;
  std::erase_if(this->Probes, [&](const auto &Entry) {
    return this->Engines.find(Entry.first) == nullptr;
  });
  for (auto &[Id, State] : this->Probes) {
    if (!State.FailedAt)
      continue;
    const EngineRecord &Record = *this->Engines.find(Id);
    // The engine has reported since the failed probe.
    if (Record.LastReportAt > *State.FailedAt) {
      State.FailedAt.reset();
      continue;
    }
    if (!this->hasRecentProgress(Now, Record))
      Lost.insert(Id);
  }
  return Lost;
}

} // namespace carobhinge
