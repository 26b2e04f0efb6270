//===- LibRouting/RouterAttempts.cpp - Attempts to serve a request --------===//
///
/// \file
/// Dispatches and hedges requests and handles the outcome of each attempt.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/Router.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace carobhinge {

/// Back-off after a failure, doubled with each consecutive failure. Without it,
/// a target that fails immediately would look idle and attract all requests.
static constexpr Duration InitialBackoff = 250ms;
static constexpr std::uint32_t MaxDoublings = 5;

/// A hedge starts when the first byte takes longer than this quantile of recent
/// ones.
static constexpr double HedgeQuantile = 0.95;
/// Hedges only use free capacity: none starts while a larger fraction of the
/// slots is in use.
static constexpr double MaxHedgeUtilization = 0.8;

/// Chooses a target for the request at the front of the queue, if possible not
/// the one that failed last.
std::optional<TargetIndex> Router::chooseTarget(TimePoint Now,
                                                const ActiveRequest &Active) {
  ChoiceRequest Constraints{.PrefixHash = Active.Request.PrefixHash,
                            .AvoidedTarget = Active.AvoidedTarget};
  std::optional<TargetIndex> ChosenTarget =
      this->Choice->choose(Now, this->Table, Constraints);
  if (ChosenTarget || !Active.AvoidedTarget)
    return ChosenTarget;
  Constraints.AvoidedTarget.reset();
  return this->Choice->choose(Now, this->Table, Constraints);
}

void Router::dispatch(TimePoint Now, ActiveRequest &Active,
                      TargetIndex ChosenTarget, bool IsHedge) {
  assert(Active.Attempts.empty() || (IsHedge && Active.Request.Idempotent));
  AttemptId Attempt = ++this->LastAttempt;
  this->Table.acquireSlot(Now, ChosenTarget);
  ServiceTimes &Times = this->TimesByClass[Active.Request.Class];
  this->Running.emplace(Attempt, RunningAttempt{.Request = Active.Request.Id,
                                                .ChosenTarget = ChosenTarget,
                                                .StartedAt = Now,
                                                .Cost = Active.Request.Cost,
                                                .Times = &Times});
  Active.Attempts.push_back(Attempt);
  if (!Active.Dispatched) {
    this->Retries->refill();
    this->Hedges->refill();
  }
  Active.Dispatched = true;
  const Target &Info = this->Table[ChosenTarget].Info;
  this->Effects.emplace_back(
      Dispatch{.Request = Active.Request.Id,
               .Attempt = Attempt,
               .TargetName = Info.Name,
               .Address = Info.Address,
               .IncarnationNumber = Info.IncarnationNumber,
               .GroupNumber = Info.GroupNumber,
               .IsHedge = IsHedge,
               .IsResume = Active.AnswerStarted});
  // The first request after a pause; the others wait for its answer.
  EndpointHoldOffs::Endpoint Endpoint = endpointOf(Info);
  this->HoldOffs.recordSent(Now, Endpoint);
  if (auto TrialEnd = this->HoldOffs.pauseEnd(Endpoint))
    this->Table.backOffUntil(ChosenTarget, *TrialEnd);
  std::optional<Duration> Delay;
  bool MayHedge = Active.Request.Idempotent && !Active.Request.Forwarded &&
                  !Active.AnswerStarted && !IsHedge;
  if (MayHedge)
    Delay = Times.firstBytes().quantile(HedgeQuantile);
  this->setTimer(Active, Delay ? std::optional(Now + *Delay) : std::nullopt);
}

EndpointHoldOffs::Endpoint Router::endpointOf(const Target &Info) {
  if (Info.GroupNumber == 0)
    return {.Name = Info.Name, .Number = Info.IncarnationNumber};
  return {.Name = Info.Address, .Number = 0};
}

bool Router::mayWrite(TimePoint Now, AttemptId Attempt) const {
  auto Found = this->Running.find(Attempt);
  return Found == this->Running.end() ||
         this->HoldOffs.mayWrite(
             Now, endpointOf(this->Table[Found->second.ChosenTarget].Info));
}

void Router::recordPause(TimePoint Now, TargetIndex Index, Duration Length) {
  constexpr std::uint64_t Steps = 1000;
  double Fraction = static_cast<double>(this->Random.below(Steps)) / Steps;
  this->Table.pauseUntil(
      Index, this->HoldOffs.recordPause(
                 Now, endpointOf(this->Table[Index].Info), Length, Fraction));
}

bool Router::recordServed(const RunningAttempt &Attempt) {
  EndpointHoldOffs::Endpoint Endpoint =
      endpointOf(this->Table[Attempt.ChosenTarget].Info);
  bool WasPaused = this->HoldOffs.pauseEnd(Endpoint).has_value();
  this->HoldOffs.recordServed(Endpoint, Attempt.StartedAt);
  bool HasEnded = WasPaused && !this->HoldOffs.pauseEnd(Endpoint);
  if (HasEnded)
    this->Table.endBackOff(Attempt.ChosenTarget);
  return HasEnded;
}

void Router::continuePauses(TimePoint Now) {
  if (this->HoldOffs.size() == 0)
    return;
  std::set<EndpointName> Listed;
  for (TargetIndex Index = 0; Index < this->Table.size(); ++Index) {
    const TargetState &State = this->Table[Index];
    if (State.Delisted)
      continue;
    EndpointHoldOffs::Endpoint Endpoint = endpointOf(State.Info);
    Listed.insert(Endpoint.Name);
    if (auto End = this->HoldOffs.pauseEnd(Endpoint); End && Now < *End)
      this->Table.pauseUntil(Index, *End);
  }
  this->HoldOffs.removeUnlisted(
      Now, [&](const EndpointName &Name) { return Listed.contains(Name); });
}

/// Starts a second attempt in parallel with a late one if capacity and budget
/// allow it.
void Router::hedge(TimePoint Now, ActiveRequest &Active) {
  assert(Active.Request.Idempotent && !Active.AnswerStarted);
  auto InUse = static_cast<double>(this->Table.outstanding());
  auto Slots = static_cast<double>(this->Table.usableSlots());
  // No target is open while requests are queued, so a hedge never takes a slot
  // from a queued request.
  if (Active.Attempts.size() != 1 || InUse > MaxHedgeUtilization * Slots)
    return;
  TargetIndex FirstTarget = this->Running.at(Active.Attempts[0]).ChosenTarget;
  // Leaves out the prefix: its affine target is probably the late one.
  std::optional<TargetIndex> ChosenTarget = this->Choice->choose(
      Now, this->Table, ChoiceRequest{.AvoidedTarget = FirstTarget});
  if (ChosenTarget && this->Hedges->tryConsume())
    this->dispatch(Now, Active, *ChosenTarget, true);
}

/// Abandons and cancels the running attempts except \p Except. Attempts of a
/// non-idempotent request are not cancelled, because their outcome must become
/// known.
void Router::abandonAttempts(ActiveRequest &Active,
                             std::optional<AttemptId> Except) {
  for (AttemptId Each : Active.Attempts) {
    if (Each == Except)
      continue;
    this->Running.at(Each).Abandoned = true;
    if (Active.Request.Idempotent)
      this->Effects.emplace_back(CancelAttempt{.Attempt = Each});
  }
  Active.Attempts.clear();
  if (Except)
    Active.Attempts.push_back(*Except);
}

/// Records the time to the first byte, or to a Complete without one.
void Router::recordFirstByteTime(TimePoint Now, const RunningAttempt &Attempt) {
  Duration Time = Now - Attempt.StartedAt;
  std::optional<Duration> TypicalTime = Attempt.Times->typicalFirstByte();
  Attempt.Times->addFirstByte(Time);
  if (TypicalTime)
    this->updateHealth(Attempt, Time, *TypicalTime);
}

void Router::updateHealth(const RunningAttempt &Attempt, Duration Time,
                          Duration TypicalTime) {
  const TargetState &State = this->Table[Attempt.ChosenTarget];
  double Ratio =
      static_cast<double>(std::max(Time, Duration(1)).count()) /
      static_cast<double>(std::max(TypicalTime, Duration(1)).count());
  if (!State.Delisted)
    this->Table.setHealth(Attempt.ChosenTarget,
                          this->Stragglers->evaluate(State.Health, Ratio));
}

void Router::reportFirstByte(TimePoint Now, AttemptId Attempt) {
  auto Found = this->Running.find(Attempt);
  if (Found == this->Running.end() || Found->second.Abandoned)
    return;
  if (!std::exchange(Found->second.FirstByteReceived, true))
    this->recordFirstByteTime(Now, Found->second);
  bool HasPauseEnded = this->recordServed(Found->second);
  ActiveRequest &Active = this->ActiveRequests.at(Found->second.Request);
  Active.AnswerStarted = true;
  Active.MayHaveRun = true;
  this->setTimer(Active, std::nullopt);
  this->abandonAttempts(Active, Attempt);
  if (HasPauseEnded)
    this->dispatchQueued(Now);
}

void Router::reportOutcome(TimePoint Now, AttemptId Attempt,
                           AttemptOutcome Outcome) {
  auto Found = this->Running.find(Attempt);
  assert(Found != this->Running.end() && "an attempt finishes once");
  RunningAttempt FinishedAttempt = Found->second;
  this->Running.erase(Found);
  this->recordOutcome(Now, FinishedAttempt, Outcome);
  if (!FinishedAttempt.Abandoned) {
    auto Entry = this->ActiveRequests.find(FinishedAttempt.Request);
    std::erase(Entry->second.Attempts, Attempt);
    if (Outcome.Result != AttemptResult::Complete)
      this->handleFailedAttempt(Now, Entry, FinishedAttempt.ChosenTarget,
                                Outcome);
    else
      this->removeRequest(Entry);
  }
  this->Table.releaseSlot(FinishedAttempt.ChosenTarget);
  this->dispatchQueued(Now);
}

/// Updates the target's state and the times of the class from an outcome.
void Router::recordOutcome(TimePoint Now, const RunningAttempt &Attempt,
                           AttemptOutcome Outcome) {
  Duration Time = Now - Attempt.StartedAt;
  if (Outcome.RetryAfter > Duration::zero())
    return this->recordPause(Now, Attempt.ChosenTarget, Outcome.RetryAfter);
  // Nothing was written because of a pause, which is no failure.
  if (Outcome.Result == AttemptResult::FailedBeforeSend &&
      !this->HoldOffs.mayWrite(
          Now, endpointOf(this->Table[Attempt.ChosenTarget].Info)))
    return;
  switch (Outcome.Result) {
  case AttemptResult::Complete:
    this->recordServed(Attempt);
    this->Table.recordSuccess(Attempt.ChosenTarget);
    Attempt.Times->addSlotTime(Now, Time, Attempt.Cost);
    this->OverallTimes.addSlotTime(Now, Time, Attempt.Cost);
    if (!Attempt.FirstByteReceived)
      this->recordFirstByteTime(Now, Attempt);
    return;
  case AttemptResult::Cancelled: {
    // An attempt that was cancelled before its first byte shows a slow target
    // only if the answer was already late.
    std::optional<Duration> TypicalTime = Attempt.Times->typicalFirstByte();
    if (!Attempt.FirstByteReceived && TypicalTime && Time > *TypicalTime)
      this->updateHealth(Attempt, Time, *TypicalTime);
    return;
  }
  case AttemptResult::Overloaded:
    this->Table.backOffUntil(Attempt.ChosenTarget, Now + InitialBackoff);
    return;
  case AttemptResult::FailedBeforeSend:
  case AttemptResult::FailedAfterSend:
    std::uint32_t Doublings =
        std::min(this->Table[Attempt.ChosenTarget].Failures, MaxDoublings);
    this->Table.recordFailure(Attempt.ChosenTarget);
    if (this->Table.isBackoffLimitReached())
      return;
    this->Table.backOffUntil(Attempt.ChosenTarget,
                             Now + (InitialBackoff * (1U << Doublings)));
    return;
  }
}

/// Retries or resumes the request, waits for its other attempt, or refuses it.
void Router::handleFailedAttempt(TimePoint Now, ActiveEntry Entry,
                                 TargetIndex ChosenTarget,
                                 AttemptOutcome Outcome) {
  ActiveRequest &Active = Entry->second;
  bool NothingSent = Outcome.Result == AttemptResult::FailedBeforeSend;
  Active.MayHaveRun = Active.MayHaveRun || !NothingSent;
  if (!Active.Attempts.empty())
    return;
  this->setTimer(Active, std::nullopt);
  bool RetryAllowed =
      Active.AnswerStarted
          ? Active.Request.Idempotent && Active.Request.Resumable
          : Active.Request.Idempotent || NothingSent;
  TimePoint LatestStart = this->Deadlines->latestStart(
      Active.Request, this->expectedService(Now, Active.Request));
  if (RetryAllowed && Now <= LatestStart && this->Table.usableSlots() > 0 &&
      this->Retries->tryConsume()) {
    Active.AvoidedTarget = ChosenTarget;
    this->enqueue(Now, Active);
    return;
  }
  std::optional<Duration> RetryAfter;
  if (Outcome.Result == AttemptResult::Overloaded &&
      Outcome.RetryAfter > Duration::zero())
    RetryAfter = Outcome.RetryAfter;
  this->refuse(Now, Entry,
               Active.AnswerStarted ? RefusalReason::AnswerBrokeOff
                                    : RefusalReason::AttemptFailed,
               RetryAfter);
}

} // namespace carobhinge
