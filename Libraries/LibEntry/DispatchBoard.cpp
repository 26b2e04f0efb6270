//===- LibEntry/DispatchBoard.cpp - Where a request is sent ---------------===//

#include <LibEntry/DispatchBoard.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace carobhinge {

static double toMilliseconds(Duration Length) {
  return std::chrono::duration<double, std::milli>(Length).count();
}

void DispatchBoard::update(std::span<const Place> Changed) {
  for (const Place &Fresh : Changed) {
    Known &Entry = this->Places[Fresh.Name];
    bool Other = Entry.Is.Endpoint != Fresh.Endpoint ||
                 Entry.Is.Address != Fresh.Address ||
                 Entry.Is.Epoch != Fresh.Epoch;
    if (Other) {
      int InFlight = Entry.InFlight;
      Entry = Known();
      Entry.InFlight = InFlight;
    }
    Entry.Is = Fresh;
  }
}

void DispatchBoard::remove(const PlaceName &Name) {
  auto Found = this->Places.find(Name);
  if (Found == this->Places.end())
    return;
  // Attempts in progress there end by themselves and still need the entry.
  Found->second.Is.Mode = PlaceMode::Finishing;
  if (Found->second.InFlight == 0)
    this->Places.erase(Found);
}

void DispatchBoard::retain(const std::set<PlaceName> &Names) {
  std::vector<PlaceName> Gone;
  for (const auto &[Name, Entry] : this->Places)
    if (!Names.contains(Name))
      Gone.push_back(Name);
  for (const PlaceName &Name : Gone)
    this->remove(Name);
}

void DispatchBoard::othersInFlight(const PlaceName &Name, int Count) {
  auto Found = this->Places.find(Name);
  if (Found != this->Places.end())
    Found->second.Others = Count;
}

bool DispatchBoard::mayTake(TimePoint Now, const Known &Candidate) const {
  const Place &Is = Candidate.Is;
  if (Is.Mode != PlaceMode::Open || this->Emptied.contains(Is.FailureDomain) ||
      this->isSilent(Now, Candidate))
    return false;
  return Now >= Is.ColdUntil || this->mayWarm(Now, Candidate);
}

/// Between two requests of this host to a cold endpoint; zero: any number.
Duration DispatchBoard::coldPause(const ServiceName &Service) const {
  auto Limit = this->ColdLimits.find(Service);
  if (Limit == this->ColdLimits.end() || Limit->second <= 0)
    return Duration::zero();
  int Senders = std::min(this->EntryHosts, this->Options.ColdSenders);
  double PerSecond = Limit->second * this->Options.ColdSafety / Senders;
  return Duration(static_cast<Duration::rep>(1e9 / PerSecond));
}

/// Whether this host may send to the cold endpoint now. A few hosts, drawn by
/// the endpoint's name, share what it bears.
bool DispatchBoard::mayWarm(TimePoint Now, const Known &Candidate) const {
  if (this->coldPause(Candidate.Is.Service) == Duration::zero())
    return true;
  auto First = hash64(Candidate.Is.Endpoint) %
               static_cast<std::uint64_t>(this->EntryHosts);
  auto Offset = (static_cast<std::uint64_t>(this->Index) + First) %
                static_cast<std::uint64_t>(this->EntryHosts);
  return Offset < static_cast<std::uint64_t>(this->Options.ColdSenders) &&
         Now >= Candidate.ColdNext;
}

bool DispatchBoard::isSilent(TimePoint Now, const Known &Where) const {
  return Where.SilentSince &&
         Now - *Where.SilentSince < this->Options.SilenceLasts;
}

/// A group beyond its slots makes all wait; a plain endpoint queues a few.
bool DispatchBoard::isFull(const Known &Candidate) const {
  double Most = Candidate.Is.Slots * (Candidate.Is.Model.empty()
                                          ? this->Options.PlainQueue
                                          : this->Options.GroupFill);
  return Candidate.InFlight + Candidate.Others >= Most;
}

/// The load that a request would meet, worse where answers were slow or
/// failed.
double DispatchBoard::cost(TimePoint Now, const Known &Candidate) const {
  double Load = (Candidate.InFlight + Candidate.Others + 1.0) /
                std::max(Candidate.Is.Slots, 1);
  double Fresh = 0;
  if (Candidate.JudgedAt != TimePoint::min())
    Fresh = std::exp2(-toMilliseconds(Now - Candidate.JudgedAt) /
                      toMilliseconds(this->Options.FiguresHalve));
  double Slowness =
      1 + Fresh * (Candidate.FirstMs / toMilliseconds(this->Options.SlowFirst) +
                   Candidate.PauseMs / toMilliseconds(this->Options.SlowPause));
  double Failures =
      1 + Fresh * this->Options.FailureWeight * Candidate.FailureShare;
  double Away = Candidate.Is.FailureDomain == this->Options.FailureDomain
                    ? 0
                    : this->Options.DomainPreference;
  return Load * Slowness * Failures + Away;
}

DispatchChoice DispatchBoard::choose(TimePoint Now, const ServiceName &Service,
                                     const ModelName &Model,
                                     std::span<const PlaceName> Avoid,
                                     bool EvenFull) {
  std::vector<Known *> Rested;
  std::vector<Known *> Resting;
  DispatchChoice Choice;
  for (auto &[Name, Entry] : this->Places) {
    if (Entry.Is.Service != Service ||
        (!Entry.Is.Model.empty() && Entry.Is.Model != Model) ||
        !this->mayTake(Now, Entry) ||
        std::ranges::find(Avoid, Name) != Avoid.end())
      continue;
    if (!EvenFull && this->isFull(Entry))
      Choice.Full = true;
    else
      (Now < Entry.RestUntil ? Resting : Rested).push_back(&Entry);
  }
  // A place that rests is taken only where there is no other.
  std::vector<Known *> &Candidates = Rested.empty() ? Resting : Rested;
  if (Candidates.empty())
    return Choice;
  std::ranges::shuffle(Candidates, this->Random);
  Known *Best = Candidates.front();
  if (Candidates.size() > 1 &&
      this->cost(Now, *Candidates[1]) < this->cost(Now, *Best))
    Best = Candidates[1];
  if (Now < Best->Is.ColdUntil)
    Best->ColdNext = Now + this->coldPause(Service);
  Choice.Where = Best->Is;
  Choice.Full = false;
  return Choice;
}

AttemptNumber DispatchBoard::begin(TimePoint Now, const PlaceName &Name,
                                   bool Streams) {
  AttemptNumber Number = ++this->LastAttempt;
  this->Attempts[Number] = {
      .At = Name, .LastProgress = Now, .Begun = false, .Streams = Streams};
  ++this->Places[Name].InFlight;
  return Number;
}

void DispatchBoard::progressed(TimePoint Now, AttemptNumber Number) {
  auto Found = this->Attempts.find(Number);
  if (Found == this->Attempts.end())
    return;
  Attempt &Its = Found->second;
  Known &Where = this->Places[Its.At];
  double Weight = this->Options.Smoothing;
  double Passed = toMilliseconds(Now - Its.LastProgress);
  double &Mean = Its.Begun ? Where.PauseMs : Where.FirstMs;
  Mean += Weight * (Passed - Mean);
  Where.JudgedAt = Now;
  Its.Begun = true;
  Its.LastProgress = Now;
  Where.LastEvent = Now;
  Where.SilentSince.reset();
  Where.SuspiciousSince.reset();
  Where.FailuresInRow = 0;
}

void DispatchBoard::rest(TimePoint Now, Known &Where) {
  Duration Length = this->Options.LeastRest;
  for (int I = 0; I < Where.FailuresInRow && Length < this->Options.MostRest;
       ++I)
    Length *= 2;
  ++Where.FailuresInRow;
  Where.RestUntil = Now + std::min(Length, this->Options.MostRest);
}

void DispatchBoard::end(TimePoint Now, AttemptNumber Number, AttemptEnd How) {
  auto Found = this->Attempts.find(Number);
  assert(Found != this->Attempts.end() && "An attempt ends once");
  PlaceName At = Found->second.At;
  this->Attempts.erase(Found);
  Known &Where = this->Places[At];
  assert(Where.InFlight > 0 && "Every attempt in progress was counted");
  --Where.InFlight;
  bool Bad = How == AttemptEnd::Failed || How == AttemptEnd::Lost ||
             How == AttemptEnd::Unreachable;
  if (How != AttemptEnd::Dropped) {
    Where.FailureShare +=
        this->Options.Smoothing * ((Bad ? 1.0 : 0.0) - Where.FailureShare);
    Where.JudgedAt = Now;
  }
  if (How == AttemptEnd::Answered)
    Where.FailuresInRow = 0;
  if (How == AttemptEnd::Unreachable || How == AttemptEnd::Lost ||
      How == AttemptEnd::Refused)
    this->rest(Now, Where);
  if (Where.InFlight == 0 && Where.Is.Mode == PlaceMode::Finishing)
    this->Places.erase(At);
}

std::vector<AttemptNumber> DispatchBoard::findStanding(TimePoint Now) {
  std::vector<AttemptNumber> Standing;
  for (const auto &[Number, Its] : this->Attempts) {
    if (!Its.Streams)
      continue;
    Known &Where = this->Places[Its.At];
    TimePoint Newest = Its.LastProgress;
    if (Where.LastEvent)
      Newest = std::max(Newest, *Where.LastEvent);
    Duration Limit =
        Its.Begun ? this->Options.SilentStream : this->Options.SilentStart;
    Duration Early = this->Options.SilentStream - this->Options.Suspicious;
    bool Known = Where.SuspiciousSince &&
                 Now - *Where.SuspiciousSince < this->Options.SilenceLasts;
    if (Now - Newest >= Limit - Early && !Known) {
      Where.SuspiciousSince = Now;
      this->NewSuspicion = true;
    }
    if (Now - Newest >= Limit && !this->isSilent(Now, Where))
      Where.SilentSince = Now;
    if (this->isSilent(Now, Where) || Where.Is.Mode == PlaceMode::Standing)
      Standing.push_back(Number);
  }
  return Standing;
}

std::vector<DispatchBoard::PlaceLoad>
DispatchBoard::loads(TimePoint Now) const {
  std::vector<PlaceLoad> Loads;
  for (const auto &[Name, Entry] : this->Places) {
    bool Suspicious = Entry.SuspiciousSince &&
                      Now - *Entry.SuspiciousSince < this->Options.SilenceLasts;
    if (Entry.InFlight == 0 && !Suspicious && !Entry.LastEvent)
      continue;
    PlaceLoad Load{.Name = Name,
                   .InFlight = Entry.InFlight,
                   .SinceEvent = {},
                   .Silent = Suspicious};
    if (Entry.LastEvent)
      Load.SinceEvent = Now - *Entry.LastEvent;
    Loads.push_back(std::move(Load));
  }
  return Loads;
}

DispatchBoard::ModelLoad DispatchBoard::load(const ServiceName &Service,
                                             const ModelName &Model) const {
  ModelLoad Sum;
  for (const auto &[Name, Entry] : this->Places) {
    if (Entry.Is.Service != Service || Entry.Is.Model != Model)
      continue;
    Sum.InFlight += Entry.InFlight + Entry.Others;
    bool Usable = Entry.Is.Mode == PlaceMode::Open && !Entry.SilentSince &&
                  !this->Emptied.contains(Entry.Is.FailureDomain);
    if (Usable)
      Sum.Slots += Entry.Is.Slots;
  }
  return Sum;
}

} // namespace carobhinge
