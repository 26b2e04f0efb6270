//===- LibEntry/DispatchBoard.cpp - Where a request is sent ---------------===//

#include <LibEntry/DispatchBoard.h>
#include <algorithm>
#include <cassert>
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
      Candidate.Silent)
    return false;
  auto Limit = this->ColdLimits.find(Is.Service);
  bool Cold = Now < Is.ColdUntil && Limit != this->ColdLimits.end() &&
              Limit->second > 0;
  return !Cold || Now >= Candidate.ColdNext;
}

/// The load that a request would meet, worse where answers were slow or
/// failed.
double DispatchBoard::cost(const Known &Candidate) const {
  double Load = (Candidate.InFlight + Candidate.Others + 1.0) /
                std::max(Candidate.Is.Slots, 1);
  double Slowness = 1 + Candidate.FirstMs / 500 + Candidate.PauseMs / 250;
  double Failures = 1 + 8 * Candidate.FailureShare;
  double Away = Candidate.Is.FailureDomain == this->Options.FailureDomain
                    ? 0
                    : this->Options.DomainPreference;
  return Load * Slowness * Failures + Away;
}

std::optional<Place> DispatchBoard::choose(TimePoint Now,
                                           const ServiceName &Service,
                                           const ModelName &Model,
                                           std::span<const PlaceName> Avoid) {
  Known *Best = nullptr;
  double Least = std::numeric_limits<double>::infinity();
  // Starts at another place each time, so that equal ones take turns.
  std::vector<Known *> Candidates;
  for (auto &[Name, Entry] : this->Places)
    if (Entry.Is.Service == Service &&
        (Entry.Is.Model.empty() || Entry.Is.Model == Model) &&
        this->mayTake(Now, Entry) &&
        std::ranges::find(Avoid, Name) == Avoid.end())
      Candidates.push_back(&Entry);
  if (Candidates.empty())
    return std::nullopt;
  ++this->Turn;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    Known *Each = Candidates[(I + this->Turn) % Candidates.size()];
    double Cost = this->cost(*Each);
    // A place that rests is taken only where there is no other.
    if (Now < Each->RestUntil)
      Cost += 1000;
    if (Cost < Least) {
      Least = Cost;
      Best = Each;
    }
  }
  if (Now < Best->Is.ColdUntil) {
    auto Limit = this->ColdLimits.find(Service);
    if (Limit != this->ColdLimits.end() && Limit->second > 0)
      Best->ColdNext = Now + Duration(static_cast<Duration::rep>(
                                 1e9 / Limit->second));
  }
  return Best->Is;
}

bool DispatchBoard::knows(const ServiceName &Service,
                          const ModelName &Model) const {
  return std::ranges::any_of(this->Places, [&](const auto &Entry) {
    return Entry.second.Is.Service == Service &&
           (Entry.second.Is.Model.empty() || Entry.second.Is.Model == Model);
  });
}

AttemptNumber DispatchBoard::begin(TimePoint Now, const PlaceName &Name,
                                   bool Streams) {
  AttemptNumber Number = ++this->LastAttempt;
  this->Attempts[Number] = {.At = Name,
                            .Since = Now,
                            .LastProgress = Now,
                            .Begun = false,
                            .Streams = Streams};
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
  Its.Begun = true;
  Its.LastProgress = Now;
  Where.LastEvent = Now;
  Where.Silent = false;
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
  if (How != AttemptEnd::Dropped)
    Where.FailureShare +=
        this->Options.Smoothing * ((Bad ? 1.0 : 0.0) - Where.FailureShare);
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
    Duration Limit = Its.Begun ? this->Options.SilentStream
                               : this->Options.SilentStart;
    if (Now - Newest >= Limit)
      Where.Silent = true;
    if (Where.Silent || Where.Is.Mode == PlaceMode::Standing)
      Standing.push_back(Number);
  }
  return Standing;
}

std::vector<DispatchBoard::PlaceLoad>
DispatchBoard::loads(TimePoint Now) const {
  std::vector<PlaceLoad> Loads;
  for (const auto &[Name, Entry] : this->Places) {
    if (Entry.InFlight == 0 && !Entry.Silent && !Entry.LastEvent)
      continue;
    PlaceLoad Load{.Name = Name,
                   .InFlight = Entry.InFlight,
                   .SinceEvent = {},
                   .Silent = Entry.Silent};
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
    if (Entry.Is.Mode == PlaceMode::Open && !Entry.Silent)
      Sum.Slots += Entry.Is.Slots;
  }
  return Sum;
}

} // namespace carobhinge
