//===- LibFormation/EngineFailureDetector.cpp - Detects lost engines ------===//

#include <LibFormation/EngineFailureDetector.h>
#include <algorithm>

namespace carobhinge {

std::string_view lossReasonName(LossReason Reason) {
  return Reason == LossReason::Refused ? "refused" : "silent";
}

std::string_view signOfLifeName(SignOfLife Sign) {
  switch (Sign) {
  case SignOfLife::Report:
    return "report";
  case SignOfLife::Answer:
    return "answer";
  case SignOfLife::Progress:
    return "progress";
  }
  return "";
}

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
  if (Stall == this->LastStall.end())
    return false;
  auto Found = this->LastProgress.find(Group);
  if (Found != this->LastProgress.end() &&
      Found->second.EventAt >= Stall->second)
    return false;
  if (Now - Stall->second <= this->Options.SuspicionTimeout)
    return true;
  return std::ranges::any_of(this->Contacts, [&](const auto &Entry) {
    const Contact &State = Entry.second;
    // A lost engine may have been replaced in its group, and an old stall says
    // nothing about a doubt that began later.
    if (!State.SilentSince || State.Loss ||
        *State.SilentSince - Stall->second > this->Options.SuspicionTimeout)
      return false;
    const EngineRecord *Record = this->Engines.find(Entry.first);
    return Record != nullptr && Record->Report.Group &&
           Record->Report.Group->Group == Group;
  });
}

std::pair<TimePoint, SignOfLife>
EngineFailureDetector::lastHeard(const EngineRecord &Record,
                                 const Contact &State) const {
  std::pair Heard(Record.LastReportAt, SignOfLife::Report);
  if (State.AnsweredAt > Heard.first)
    Heard = {State.AnsweredAt, SignOfLife::Answer};
  if (!Record.Report.Group)
    return Heard;
  auto Found = this->LastProgress.find(Record.Report.Group->Group);
  if (Found != this->LastProgress.end() &&
      Found->second.Epoch == Record.Report.Group->Epoch &&
      Found->second.EventAt > Heard.first)
    Heard = {Found->second.EventAt, SignOfLife::Progress};
  return Heard;
}

bool EngineFailureDetector::isRefused(const Contact &State) {
  return State.Loss && State.Loss->Reason == LossReason::Refused;
}

void EngineFailureDetector::update(const EngineRecord &Record,
                                   Contact &State) const {
  if (isRefused(State)) {
    // What the life that refused has sent may arrive after its end, and other
    // members may finish an event after it.
    if (Record.Report.StartedAtMs == State.AskedLife)
      return;
  } else if (!State.SilentSince ||
             this->lastHeard(Record, State).first <= *State.SilentSince) {
    return;
  }
  State.SilentSince.reset();
  State.Loss.reset();
}

void EngineFailureDetector::recordCall(TimePoint Now) {
  Duration Pause = this->LastCallAt ? Now - *this->LastCallAt : Duration();
  this->LastCallAt = Now;
  if (Pause <= this->Options.MaxCallInterval)
    return;
  for (auto &[Id, State] : this->Contacts) {
    State.Void = State.Waiting;
    if (!State.SilentSince || State.Loss)
      continue;
    *State.SilentSince += Pause;
    State.LastUnansweredAt += Pause;
  }
}

std::vector<EndpointName> EngineFailureDetector::enginesToProbe(TimePoint Now) {
  this->recordCall(Now);
  std::vector<EndpointName> EnginesDue;
  for (const auto &[Id, Record] : this->Engines.all()) {
    Contact &State = this->Contacts[Id];
    this->update(Record, State);
    Duration Age = Now - Record.LastReportAt;
    bool Overdue =
        Age > this->Options.ReportInterval + this->Options.ReportMargin;
    bool Stalled = false;
    if (Record.Report.Group) {
      auto Found = this->LastStall.find(Record.Report.Group->Group);
      Stalled = Found != this->LastStall.end() &&
                Now - Found->second < this->Options.ProbeInterval;
    }
    // Only an answer, or another life, shows that one that refused is sound.
    bool Refused = isRefused(State);
    if ((!Overdue && !Stalled && !State.SilentSince) ||
        (!Refused && this->hasRecentProgress(Now, Record)) || State.Waiting)
      continue;
    Duration Interval = State.Loss ? this->Options.LostProbeInterval
                                   : this->Options.ProbeInterval;
    TimePoint DueAt = State.AskedAt + Interval;
    if (State.SilentSince && !State.Loss) {
      TimePoint LastDueAt = *State.SilentSince + MaxSoundSilence;
      // No earlier probe may still wait when the last one is due.
      if (State.AskedAt < LastDueAt &&
          (DueAt > LastDueAt || Now + this->Options.ProbeTimeout > LastDueAt))
        DueAt = LastDueAt;
    }
    bool Reported = Refused && Record.LastReportAt > State.AskedAt;
    if (Now < DueAt && !Reported)
      continue;
    State.AskedAt = Now;
    State.AskedLife = Record.Report.StartedAtMs;
    State.Waiting = true;
    State.Void = false;
    EnginesDue.push_back(Id);
  }
  return EnginesDue;
}

void EngineFailureDetector::probeAnswered(TimePoint Now,
                                          const EndpointName &Id) {
  Contact &State = this->Contacts[Id];
  State.Waiting = false;
  State.AnsweredAt = Now;
  State.SilentSince.reset();
  State.Loss.reset();
}

void EngineFailureDetector::probeRefused(TimePoint Now,
                                         const EndpointName &Id) {
  Contact &State = this->Contacts[Id];
  State.Waiting = false;
  State.SilentSince = Now;
  const EngineRecord *Record = this->Engines.find(Id);
  if (Record == nullptr)
    return;
  auto [HeardAt, HeardBy] = this->lastHeard(*Record, State);
  State.Loss = {.Reason = LossReason::Refused,
                .Since = State.AskedAt,
                .HeardAt = HeardAt,
                .HeardBy = HeardBy};
}

void EngineFailureDetector::probeUnanswered(TimePoint Now,
                                            const EndpointName &Id) {
  this->recordCall(Now);
  Contact &State = this->Contacts[Id];
  State.Waiting = false;
  if (std::exchange(State.Void, false))
    return;
  if (!State.SilentSince)
    State.SilentSince = State.AskedAt;
  State.LastUnansweredAt = State.AskedAt;
}

void EngineFailureDetector::probeSkipped(const EndpointName &Id) {
  this->Contacts[Id].Waiting = false;
}

std::map<EndpointName, EngineLoss>
EngineFailureDetector::lostEngines(TimePoint Now) {
  this->recordCall(Now);
  std::erase_if(this->Contacts, [&](const auto &Entry) {
    return this->Engines.find(Entry.first) == nullptr;
  });
  std::size_t Present = 0;
  std::size_t Silent = 0;
  for (auto &[Id, State] : this->Contacts) {
    this->update(*this->Engines.find(Id), State);
    Present += State.Loss ? 0 : 1;
    Silent += !State.Loss && State.SilentSince ? 1 : 0;
  }
  Duration Bound =
      2 * Silent > Present ? this->Options.CommonEndingSilence : EndingSilence;
  std::map<EndpointName, EngineLoss> Lost;
  for (auto &[Id, State] : this->Contacts) {
    // The last question must have been asked when a sound engine would have
    // spoken again.
    if (!State.Loss && State.SilentSince && Now - *State.SilentSince >= Bound &&
        State.LastUnansweredAt - *State.SilentSince >= Bound - SilenceMargin) {
      auto [HeardAt, HeardBy] = this->lastHeard(*this->Engines.find(Id), State);
      State.Loss = {.Reason = LossReason::Silent,
                    .Since = *State.SilentSince,
                    .HeardAt = HeardAt,
                    .HeardBy = HeardBy};
    }
    if (State.Loss)
      Lost.emplace(Id, *State.Loss);
  }
  return Lost;
}

} // namespace carobhinge
