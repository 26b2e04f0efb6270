//===- LibEntry/Dispatcher.cpp - Selects a target for each request --------===//

#include <LibEntry/Dispatcher.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace carobhinge {

static double toMilliseconds(Duration Length) {
  return std::chrono::duration<double, std::milli>(Length).count();
}

std::string_view resultName(DispatchResult Result) {
  switch (Result) {
  case DispatchResult::Answered:
    return "answered";
  case DispatchResult::Refused:
    return "refused-by-endpoint";
  case DispatchResult::Paused:
    return "endpoint-paused";
  case DispatchResult::Failed:
    return "endpoint-failed";
  case DispatchResult::Unreachable:
    return "unreachable";
  case DispatchResult::Lost:
    return "lost";
  case DispatchResult::Cancelled:
    return "given-up-here";
  case DispatchResult::Superseded:
    return "superseded";
  }
  return "";
}

void Dispatcher::update(std::span<const DispatchTarget> Updates) {
  for (const DispatchTarget &Update : Updates) {
    TargetRecord &Record = this->Targets[Update.Name];
    bool EndpointChanged = Record.Target.Endpoint != Update.Endpoint ||
                           Record.Target.Address != Update.Address ||
                           Record.Target.Epoch != Update.Epoch;
    if (EndpointChanged) {
      int InFlight = Record.InFlight;
      Record = TargetRecord();
      Record.InFlight = InFlight;
    }
    Record.Target = Update;
  }
}

void Dispatcher::remove(const DispatchTargetName &Name) {
  auto Found = this->Targets.find(Name);
  if (Found == this->Targets.end())
    return;
  // Attempts in progress at the target still refer to its record; the last of
  // them erases it in endAttempt().
  Found->second.Target.Mode = DispatchTargetMode::Finishing;
  if (Found->second.InFlight == 0)
    this->Targets.erase(Found);
}

void Dispatcher::retain(const std::set<DispatchTargetName> &Names) {
  std::vector<DispatchTargetName> Removed;
  for (const auto &[Name, Record] : this->Targets)
    if (!Names.contains(Name))
      Removed.push_back(Name);
  for (const DispatchTargetName &Name : Removed)
    this->remove(Name);
}

void Dispatcher::setRemoteInFlight(const DispatchTargetName &Name, int Count) {
  auto Found = this->Targets.find(Name);
  if (Found != this->Targets.end())
    Found->second.RemoteInFlight = Count;
}

bool Dispatcher::isAvailable(TimePoint Now,
                             const TargetRecord &Candidate) const {
  const DispatchTarget &Target = Candidate.Target;
  if (Target.Mode != DispatchTargetMode::Open ||
      this->DrainedDomains.contains(Target.FailureDomain) ||
      this->HoldOffs.isLeaving(endpointOf(Candidate)))
    return false;
  return Now >= Target.ColdUntil || this->canSendToCold(Now, Candidate);
}

/// Minimum time between two requests of this host to a cold endpoint; zero:
/// unlimited.
Duration Dispatcher::coldRequestInterval(const ServiceName &Service) const {
  auto Limit = this->ColdLimits.find(Service);
  if (Limit == this->ColdLimits.end() || Limit->second <= 0)
    return Duration::zero();
  int Senders =
      std::min(this->Limits.entryHostCount(), this->Options.MaxColdSenders);
  double PerSecond = Limit->second * this->Options.ColdSafetyFactor / Senders;
  return Duration(static_cast<Duration::rep>(1e9 / PerSecond));
}

/// \returns whether this host may send to the cold endpoint now. The endpoint's
/// request limit is divided among a few hosts, selected by the hash of its
/// name.
bool Dispatcher::canSendToCold(TimePoint Now,
                               const TargetRecord &Candidate) const {
  if (this->coldRequestInterval(Candidate.Target.Service) == Duration::zero())
    return true;
  return this->Limits.isSender(Candidate.Target.Endpoint,
                               this->Options.MaxColdSenders) &&
         Now >= Candidate.NextColdRequestAt;
}

/// A target whose streams have all left it says nothing, stuck or not. Until it
/// sends an event, one request at a time finds out.
bool Dispatcher::isDoubted(TimePoint Now, const TargetRecord &Record) const {
  return Record.DoubtedAt &&
         (Record.InFlight > 0 ||
          Now - *Record.DoubtedAt < this->Options.DoubtExpiry);
}

Dispatcher::Trust Dispatcher::trust(TimePoint Now,
                                    const TargetRecord &Record) const {
  if (Now < Record.BackOffUntil)
    return Trust::BackingOff;
  return this->isDoubted(Now, Record) ? Trust::Doubted : Trust::Sound;
}

/// A group beyond its slots is full once the wait for a slot would take too
/// much of the time objective. Slots become free evenly, one in each
/// time-on-slot / slots.
bool Dispatcher::isFull(const TargetRecord &Candidate,
                        Duration Objective) const {
  const DispatchTarget &Target = Candidate.Target;
  double InFlight = Candidate.InFlight + Candidate.RemoteInFlight;
  if (Target.Model.empty())
    return InFlight >= Target.Slots * this->Options.MaxRequestsPerPlainSlot;
  double QueueSlots = 0;
  auto Times = this->SlotTimes.find({Target.Service, Target.Model});
  if (Times != this->SlotTimes.end() && Times->second.mean() > Duration::zero())
    QueueSlots = this->Options.MaxQueueShare * toMilliseconds(Objective) *
                 Target.Slots / toMilliseconds(Times->second.mean());
  return InFlight >= Target.Slots + std::min<double>(QueueSlots, Target.Slots);
}

/// The load for each slot with one more request, increased for recent slow
/// events and failures, and for targets in other failure domains.
double Dispatcher::cost(TimePoint Now, const TargetRecord &Candidate) const {
  double Load = (Candidate.InFlight + Candidate.RemoteInFlight + 1.0) /
                std::max(Candidate.Target.Slots, 1);
  double Recency = 0;
  if (Candidate.UpdatedAt != TimePoint::min())
    Recency = std::exp2(-toMilliseconds(Now - Candidate.UpdatedAt) /
                        toMilliseconds(this->Options.StatisticsHalfLife));
  double LatencyFactor =
      1 + Recency * (Candidate.MeanFirstEventMs /
                         toMilliseconds(this->Options.SlowFirstEvent) +
                     Candidate.MeanEventIntervalMs /
                         toMilliseconds(this->Options.SlowEventInterval));
  double FailureFactor =
      1 + Recency * this->Options.FailureWeight * Candidate.FailureRate;
  double DomainPenalty =
      Candidate.Target.FailureDomain == this->Options.FailureDomain
          ? 0
          : this->Options.RemoteDomainPenalty;
  return Load * LatencyFactor * FailureFactor + DomainPenalty;
}

double Dispatcher::requestLimit(const TargetRecord &Record) {
  return Record.Target.RequestLimit > 0 ? Record.Target.RequestLimit
                                        : Record.NamedLimit;
}

bool Dispatcher::isWithinLimit(TimePoint Now, TargetRecord &Record) {
  const EndpointName &Endpoint = Record.Target.Endpoint;
  double Limit = requestLimit(Record);
  double Rate = Limit > 0 ? this->Limits.rate(Endpoint, Limit) : 0;
  if (Limit > 0 && Rate <= 0)
    return false;
  if (Rate != Record.Pacer.rate()) {
    std::uniform_real_distribution<double> Uniform(0, 1);
    Record.Pacer.setRate(Now, Rate,
                         this->Limits.phase(Endpoint, Uniform(this->Random)));
  }
  return Record.Pacer.mayAcquire(Now);
}

void Dispatcher::recordLimit(TimePoint Now, AttemptNumber Number,
                             double PerSecond) {
  auto Found = this->Attempts.find(Number);
  if (Found == this->Attempts.end())
    return;
  TargetRecord &Record = this->Targets[Found->second.TargetName];
  double Known = requestLimit(Record);
  // An answer to a request from before the limit was known says nothing about
  // its end.
  TimePoint KnownAt = std::max(Record.LimitNamedAt, Record.Target.LimitKnownAt);
  if (PerSecond <= 0 && (Known <= 0 || Found->second.SentAt <= KnownAt))
    return;
  Record.NamedLimit = PerSecond;
  Record.LimitNamedAt = Now;
  if (PerSecond == Known)
    return;
  Record.Target.RequestLimit = PerSecond;
  this->NewLimits[Record.Target.Endpoint] = {.Endpoint = Record.Target.Endpoint,
                                             .PerSecond = PerSecond,
                                             .SeenAt = Now};
  this->HasNewLimit = true;
}

std::vector<LimitObservation> Dispatcher::limitObservations() const {
  std::vector<LimitObservation> Observations;
  for (const auto &[Endpoint, Observation] : this->NewLimits)
    Observations.push_back(Observation);
  return Observations;
}

void Dispatcher::confirmLimits(std::span<const LimitObservation> Sent) {
  for (const LimitObservation &Each : Sent) {
    auto Found = this->NewLimits.find(Each.Endpoint);
    if (Found != this->NewLimits.end() && Found->second.SeenAt == Each.SeenAt)
      this->NewLimits.erase(Found);
  }
}

void Dispatcher::resendLimits() {
  for (const auto &[Name, Record] : this->Targets)
    if (Record.NamedLimit > 0)
      this->NewLimits.try_emplace(
          Record.Target.Endpoint,
          LimitObservation{.Endpoint = Record.Target.Endpoint,
                           .PerSecond = Record.NamedLimit,
                           .SeenAt = Record.LimitNamedAt});
  this->HasNewLimit = this->HasNewLimit || !this->NewLimits.empty();
}

TimePoint Dispatcher::recordPause(TimePoint Now, AttemptNumber Number,
                                  Duration Length) {
  auto Found = this->Attempts.find(Number);
  if (Found == this->Attempts.end())
    return Now;
  this->removeUnlistedHoldOffs(Now);
  std::uniform_real_distribution<double> Uniform(0, 1);
  return this->HoldOffs.recordPause(Now, Found->second.Endpoint, Length,
                                    Uniform(this->Random));
}

void Dispatcher::recordRateLimited(TimePoint Now, AttemptNumber Number,
                                   Duration Length) {
  auto Found = this->Attempts.find(Number);
  if (Found == this->Attempts.end())
    return;
  TargetRecord &Record = this->Targets[Found->second.TargetName];
  Record.BackOffUntil = std::max(
      Record.BackOffUntil, Now + std::min(Length, this->Options.MaxBackOff));
}

bool Dispatcher::recordLeaving(TimePoint Now, AttemptNumber Number) {
  auto Found = this->Attempts.find(Number);
  if (Found == this->Attempts.end())
    return false;
  this->removeUnlistedHoldOffs(Now);
  return this->HoldOffs.recordLeaving(Now, Found->second.Endpoint);
}

bool Dispatcher::recordLeaving(TimePoint Now, const EndpointName &Endpoint) {
  auto Found = std::ranges::find_if(this->Targets, [&](const auto &Each) {
    return Each.second.Target.Endpoint == Endpoint;
  });
  return Found != this->Targets.end() &&
         this->HoldOffs.recordLeaving(Now, endpointOf(Found->second));
}

bool Dispatcher::mayWrite(TimePoint Now, AttemptNumber Number) const {
  auto Found = this->Attempts.find(Number);
  return Found == this->Attempts.end() ||
         this->HoldOffs.mayWrite(Now, Found->second.Endpoint);
}

/// Costs time in proportion to the targets, so it is done at most once in
/// CleanUpInterval.
void Dispatcher::removeUnlistedHoldOffs(TimePoint Now) {
  static constexpr auto CleanUpInterval = std::chrono::seconds(10);
  if (Now < this->NextCleanUpAt)
    return;
  this->NextCleanUpAt = Now + CleanUpInterval;
  std::set<EndpointName> Listed;
  for (const auto &[Name, Record] : this->Targets)
    Listed.insert(Record.Target.Endpoint);
  this->HoldOffs.removeUnlisted(
      Now, [&](const EndpointName &Name) { return Listed.contains(Name); });
}

DispatchChoice Dispatcher::chooseTarget(TimePoint Now,
                                        const DispatchRequest &Request) {
  std::map<Trust, std::vector<TargetRecord *>> ByTrust;
  DispatchChoice Choice;
  for (auto &[Name, Record] : this->Targets) {
    if (Record.Target.Service != Request.Service ||
        (!Record.Target.Model.empty() &&
         Record.Target.Model != Request.Model) ||
        !this->isAvailable(Now, Record) ||
        std::ranges::find(Request.ExcludedTargets, Name) !=
            Request.ExcludedTargets.end())
      continue;
    Trust RecordTrust = this->trust(Now, Record);
    if (Request.OnlyTrusted &&
        (RecordTrust != Trust::Sound || Record.DoubtedAt))
      continue;
    if (!this->HoldOffs.mayReceive(Now, endpointOf(Record))) {
      TimePoint End = this->HoldOffs.pauseEnd(endpointOf(Record)).value_or(Now);
      Choice.PausedUntil = std::min(Choice.PausedUntil.value_or(End), End);
    } else if (!this->isWithinLimit(Now, Record) ||
               (!Request.AllowFull && this->isFull(Record, Request.Objective)))
      Choice.AllFull = true;
    else
      ByTrust[RecordTrust].push_back(&Record);
  }
  if (ByTrust.empty())
    return Choice;
  std::vector<TargetRecord *> &Candidates = ByTrust.begin()->second;
  std::ranges::shuffle(Candidates, this->Random);
  TargetRecord *Best = Candidates.front();
  if (Candidates.size() > 1 &&
      this->cost(Now, *Candidates[1]) < this->cost(Now, *Best))
    Best = Candidates[1];
  if (Now < Best->Target.ColdUntil)
    Best->NextColdRequestAt = Now + this->coldRequestInterval(Request.Service);
  Best->Pacer.acquire(Now);
  this->HoldOffs.recordSent(Now, endpointOf(*Best));
  Choice.Target = Best->Target;
  Choice.AllFull = false;
  Choice.PausedUntil.reset();
  return Choice;
}

AttemptNumber Dispatcher::beginAttempt(TimePoint Now,
                                       const DispatchTargetName &Name,
                                       bool IsStream) {
  AttemptNumber Number = ++this->LastAttempt;
  this->Attempts[Number] = {.TargetName = Name,
                            .Endpoint = endpointOf(this->Targets[Name]),
                            .SentAt = Now,
                            .StartedAt = Now,
                            .LastProgressAt = Now,
                            .HasStarted = false,
                            .IsStream = IsStream};
  ++this->Targets[Name].InFlight;
  return Number;
}

void Dispatcher::recordProgress(TimePoint Now, AttemptNumber Number) {
  auto Found = this->Attempts.find(Number);
  if (Found == this->Attempts.end())
    return;
  Attempt &Current = Found->second;
  TargetRecord &Record = this->Targets[Current.TargetName];
  double Weight = this->Options.SmoothingFactor;
  double ElapsedMs = toMilliseconds(Now - Current.LastProgressAt);
  double &Mean =
      Current.HasStarted ? Record.MeanEventIntervalMs : Record.MeanFirstEventMs;
  Mean += Weight * (ElapsedMs - Mean);
  Record.UpdatedAt = Now;
  if (!Current.HasStarted)
    Current.StartedAt = Now;
  Current.HasStarted = true;
  Current.LastProgressAt = Now;
  Record.LastEventAt = Now;
  Record.DoubtedAt.reset();
  Record.SuspectedSince.reset();
  Record.ConsecutiveFailures = 0;
  this->HoldOffs.recordServed(Current.Endpoint, Current.SentAt);
}

void Dispatcher::backOff(TimePoint Now, TargetRecord &Record) {
  Duration Length = this->Options.MinBackOff;
  for (int I = 0;
       I < Record.ConsecutiveFailures && Length < this->Options.MaxBackOff; ++I)
    Length *= 2;
  ++Record.ConsecutiveFailures;
  Record.BackOffUntil = std::max(
      Record.BackOffUntil, Now + std::min(Length, this->Options.MaxBackOff));
}

void Dispatcher::endAttempt(TimePoint Now, AttemptNumber Number,
                            DispatchResult Result) {
  auto Found = this->Attempts.find(Number);
  assert(Found != this->Attempts.end() &&
         "endAttempt() must be called once for each attempt");
  Attempt Ended = std::move(Found->second);
  const DispatchTargetName &TargetName = Ended.TargetName;
  this->Attempts.erase(Found);
  TargetRecord &Record = this->Targets[TargetName];
  if (Result == DispatchResult::Answered && Ended.HasStarted)
    this->SlotTimes[{Record.Target.Service, Record.Target.Model}].addSlotTime(
        Now, Now - Ended.StartedAt, 1);
  assert(Record.InFlight > 0 &&
         "InFlight must count every attempt in progress");
  --Record.InFlight;
  bool IsFailure = Result == DispatchResult::Failed ||
                   Result == DispatchResult::Lost ||
                   Result == DispatchResult::Unreachable;
  if (Result != DispatchResult::Cancelled &&
      Result != DispatchResult::Superseded) {
    Record.FailureRate += this->Options.SmoothingFactor *
                          ((IsFailure ? 1.0 : 0.0) - Record.FailureRate);
    Record.UpdatedAt = Now;
  }
  if (Result == DispatchResult::Answered) {
    Record.ConsecutiveFailures = 0;
    Record.LastEventAt = Now;
    Record.DoubtedAt.reset();
    this->HoldOffs.recordServed(Ended.Endpoint, Ended.SentAt);
  }
  if (Result == DispatchResult::Unreachable || Result == DispatchResult::Lost ||
      Result == DispatchResult::Refused || Result == DispatchResult::Superseded)
    this->backOff(Now, Record);
  if (Record.InFlight == 0 &&
      Record.Target.Mode == DispatchTargetMode::Finishing)
    this->Targets.erase(TargetName);
}

TimePoint Dispatcher::latestEventAt(const Attempt &Current) const {
  auto Record = this->Targets.find(Current.TargetName);
  if (Record == this->Targets.end() || !Record->second.LastEventAt)
    return Current.LastProgressAt;
  return std::max(Current.LastProgressAt, *Record->second.LastEventAt);
}

Duration Dispatcher::silence(TimePoint Now, AttemptNumber Number) const {
  auto Found = this->Attempts.find(Number);
  return Found == this->Attempts.end()
             ? Duration::zero()
             : Now - this->latestEventAt(Found->second);
}

std::vector<Duration>
Dispatcher::usualTimes(const DispatchTargetName &Name,
                       double TargetRecord::*MeanMs) const {
  std::vector<Duration> Times;
  const DispatchTarget &Own = this->Targets.at(Name).Target;
  for (const auto &[Other, Record] : this->Targets)
    if (double Mean = Record.*MeanMs; Mean > 0 && Other != Name &&
                                      Record.Target.Service == Own.Service &&
                                      Record.Target.Model == Own.Model)
      Times.push_back(
          std::chrono::microseconds(static_cast<std::int64_t>(Mean * 1000)));
  return Times;
}

std::vector<AttemptNumber> Dispatcher::findStalledAttempts(TimePoint Now) {
  std::vector<AttemptNumber> StalledAttempts;
  for (const auto &[Number, Current] : this->Attempts) {
    if (!Current.IsStream)
      continue;
    TargetRecord &Record = this->Targets[Current.TargetName];
    Duration Silence = Now - this->latestEventAt(Current);
    Duration Limit = Current.HasStarted ? this->Options.EventTimeout
                                        : this->Options.FirstEventTimeout;
    Duration SuspicionLead =
        this->Options.EventTimeout - this->Options.SuspicionTimeout;
    bool IsSuspected = Record.SuspectedSince &&
                       Now - *Record.SuspectedSince < this->Options.DoubtExpiry;
    if (Silence >= Limit - SuspicionLead && !IsSuspected) {
      Record.SuspectedSince = Now;
      this->HasNewSuspicion = true;
    }
    if (Silence >= Limit && Record.DoubtedAt != Now &&
        isDoubtedBySilence(
            Silence, Limit,
            this->usualTimes(Current.TargetName,
                             Current.HasStarted
                                 ? &TargetRecord::MeanEventIntervalMs
                                 : &TargetRecord::MeanFirstEventMs)))
      Record.DoubtedAt = Now;
    if (Record.Target.Mode == DispatchTargetMode::Stalled)
      StalledAttempts.push_back(Number);
  }
  return StalledAttempts;
}

std::vector<Dispatcher::TargetLoad>
Dispatcher::targetLoads(TimePoint Now) const {
  std::vector<TargetLoad> Loads;
  for (const auto &[Name, Record] : this->Targets) {
    bool Suspected = Record.SuspectedSince &&
                     Now - *Record.SuspectedSince < this->Options.DoubtExpiry;
    if (Record.InFlight == 0 && !Suspected && !Record.LastEventAt)
      continue;
    TargetLoad Load{.Name = Name,
                    .InFlight = Record.InFlight,
                    .TimeSinceEvent = {},
                    .Suspected = Suspected,
                    .Doubted = this->isDoubted(Now, Record)};
    if (Record.LastEventAt)
      Load.TimeSinceEvent = Now - *Record.LastEventAt;
    Loads.push_back(std::move(Load));
  }
  return Loads;
}

bool Dispatcher::servesModel(const ServiceName &Service,
                             const ModelName &Model) const {
  return std::ranges::any_of(this->Targets, [&](const auto &Each) {
    const DispatchTarget &Target = Each.second.Target;
    return Target.Service == Service && Target.Model == Model;
  });
}

Dispatcher::ModelLoad Dispatcher::modelLoad(const ServiceName &Service,
                                            const ModelName &Model) const {
  ModelLoad Total;
  for (const auto &[Name, Record] : this->Targets) {
    if (Record.Target.Service != Service || Record.Target.Model != Model)
      continue;
    Total.InFlight += Record.InFlight + Record.RemoteInFlight;
    EndpointHoldOffs::Endpoint Endpoint = endpointOf(Record);
    bool Usable = Record.Target.Mode == DispatchTargetMode::Open &&
                  !Record.DoubtedAt && !this->HoldOffs.isLeaving(Endpoint) &&
                  !this->HoldOffs.pauseEnd(Endpoint) &&
                  !this->DrainedDomains.contains(Record.Target.FailureDomain);
    if (Usable)
      Total.Slots += Record.Target.Slots;
  }
  return Total;
}

} // namespace carobhinge
