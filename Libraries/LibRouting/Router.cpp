//===- LibRouting/Router.cpp - Routes the requests of a service -----------===//
///
/// \file
/// Admission, the queue and external events. RouterAttempts.cpp handles the
/// attempts.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/Router.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace carobhinge {

/// Bounds of the retry delay that is sent to a caller.
static constexpr Duration MinRetryAfter = 200ms;
static constexpr Duration MaxRetryAfter = 30s;
/// Retry delay while no target is available.
static constexpr Duration NoTargetRetryAfter = 1s;
static constexpr Duration ExpiryMargin = 1us;
static constexpr std::chrono::duration<double> MaxExpectedWait =
    std::chrono::hours(1);
/// A random fraction of up to this value is added to the retry delay, so that
/// callers do not retry at the same time.
static constexpr double RetryAfterJitter = 0.25;

Router::Router(RouterOptions InitialOptions)
    : Options(std::move(InitialOptions)),
      Queue(makeAdmissionQueue(this->Options)),
      Choice(makeTargetChoice(this->Options)),
      Deadlines(makeDeadlinePolicy(this->Options.Policies.Deadlines)),
      Retries(makeAttemptBudget(this->Options.Policies.Retries,
                                this->Options.RetryShare,
                                this->Options.BudgetBurst)),
      Hedges(makeAttemptBudget(this->Options.Policies.Hedges,
                               this->Options.HedgeShare,
                               this->Options.BudgetBurst)),
      Stragglers(makeStragglerPolicy(this->Options.Policies.Stragglers)),
      SpilloverPolicy(makeSpillover(this->Options)),
      Random(this->Options.Seed) {}

void Router::submit(TimePoint Now, const RoutedRequest &Request) {
  auto [Entry, Added] = this->ActiveRequests.try_emplace(
      Request.Id, ActiveRequest{.Request = Request});
  assert(Added && "a request is submitted once");
  static_cast<void>(Added);
  Entry->second.Request.Cost = std::max(1U, Request.Cost);
  Entry->second.Sequence = ++this->LastSequence;
  if (this->IsDraining || this->Table.usableSlots() == 0) {
    if (!this->tryForward(Now, Entry))
      this->refuse(Now, Entry,
                   this->IsDraining ? RefusalReason::Draining
                                    : RefusalReason::NoTarget);
    return;
  }
  Duration Wait = this->expectedWait(Now, Request);
  TimePoint LatestStart = this->Deadlines->latestStart(
      Request, this->expectedService(Now, Request));
  bool InTime = Now + this->Deadlines->effectiveWait(Wait) <= LatestStart;
  if ((!InTime || Wait > this->Options.SpilloverThreshold) &&
      this->tryForward(Now, Entry))
    return;
  if (!InTime) {
    this->refuse(Now, Entry, RefusalReason::DeadlineCannotBeMet);
    return;
  }
  if (!this->ensureQueueCapacity(Now, Request)) {
    if (!this->tryForward(Now, Entry))
      this->refuse(Now, Entry, RefusalReason::QueueFull);
    return;
  }
  this->enqueue(Now, Entry->second);
  this->dispatchQueued(Now);
}

std::uint32_t Router::queueLimit(const WorkspaceName &Workspace) const {
  auto Found = this->QueueLimits.find(Workspace);
  return Found == this->QueueLimits.end() ? this->Options.QueueLimit
                                          : Found->second;
}

/// Returns whether the request may be queued. May displace a less urgent one.
bool Router::ensureQueueCapacity(TimePoint Now, const RoutedRequest &Request) {
  if (this->Queue->countQueued(Request) < this->queueLimit(Request.Workspace))
    return true;
  std::optional<RequestId> DisplacedRequest =
      this->Queue->findDisplaceable(Request);
  if (!DisplacedRequest)
    return false;
  auto Entry = this->ActiveRequests.find(*DisplacedRequest);
  this->dequeue(Entry->second);
  if (!this->tryForward(Now, Entry))
    this->refuse(Now, Entry, RefusalReason::Displaced);
  return true;
}

void Router::enqueue(TimePoint Now, ActiveRequest &Active) {
  assert(!Active.Queued && Active.Attempts.empty());
  Active.Queued = true;
  this->Queue->push(Active.Request, Active.Sequence);
  Duration Service = this->expectedService(Now, Active.Request);
  // Expires just after the latest start, so that a start exactly then is still
  // allowed.
  this->setTimer(Active, this->Deadlines->latestStart(Active.Request, Service) +
                             ExpiryMargin);
}

void Router::dequeue(ActiveRequest &Active) {
  assert(Active.Queued);
  Active.Queued = false;
  this->Queue->remove(Active.Request, Active.Sequence);
  this->setTimer(Active, std::nullopt);
}

/// Dispatches queued requests while targets have free slots.
void Router::dispatchQueued(TimePoint Now) {
  if (this->Table.usableSlots() == 0) {
    this->flushQueue(Now);
    return;
  }
  while (std::optional<RequestId> Front = this->Queue->front()) {
    auto Entry = this->ActiveRequests.find(*Front);
    ActiveRequest &Active = Entry->second;
    TimePoint LatestStart = this->Deadlines->latestStart(
        Active.Request, this->expectedService(Now, Active.Request));
    if (Now > LatestStart) {
      this->dequeue(Active);
      this->refuse(Now, Entry, RefusalReason::DeadlineCannotBeMet);
      continue;
    }
    std::optional<TargetIndex> ChosenTarget = this->chooseTarget(Now, Active);
    if (!ChosenTarget)
      return;
    this->Queue->popFront();
    Active.Queued = false;
    this->dispatch(Now, Active, *ChosenTarget, false);
  }
}

/// Forwards or refuses all queued requests, because no target is left.
void Router::flushQueue(TimePoint Now) {
  while (std::optional<RequestId> Front = this->Queue->front()) {
    auto Entry = this->ActiveRequests.find(*Front);
    this->dequeue(Entry->second);
    if (!this->tryForward(Now, Entry))
      this->refuse(Now, Entry, RefusalReason::NoTarget);
  }
}

void Router::setTargets(TimePoint Now, std::span<const Target> Targets) {
  this->Table.replace(Targets);
  this->continuePauses(Now);
  this->updateRates(Now);
  this->dispatchQueued(Now);
}

void Router::setPlace(TimePoint Now, const EntryHostPlace &Place) {
  this->Limits.setEntryHosts(Place.Index, Place.Count);
  this->Limits.setLoadShare(Place.LoadShare);
  this->updateRates(Now);
  this->dispatchQueued(Now);
}

/// Sets this host's share of each limit that a target names.
void Router::updateRates(TimePoint Now) {
  constexpr std::uint64_t Steps = 1000;
  for (TargetIndex Index = 0; Index < this->Table.size(); ++Index) {
    const Target &Info = this->Table[Index].Info;
    std::optional<double> Rate;
    double Phase = 0;
    if (Info.RequestLimit > 0) {
      Rate = this->Limits.rate(Info.Name, Info.RequestLimit);
      Phase = this->Limits.phase(
          Info.Name, static_cast<double>(this->Random.below(Steps)) / Steps);
    }
    if (!this->Table[Index].Delisted)
      this->Table.setRate(Now, Index, Rate, Phase);
  }
}

void Router::reportLoad(std::string_view TargetName,
                        Incarnation TargetIncarnation,
                        const ReportedLoad &Load) {
  this->Table.reportLoad(TargetName, TargetIncarnation, Load);
}

void Router::setSpilloverDomains(TimePoint Now,
                                 std::span<const DomainSummary> Summaries) {
  this->SpilloverPolicy->setSpilloverDomains(Now, Summaries);
}

void Router::setWeights(const std::map<WorkspaceName, double> &Weights) {
  this->Queue->setWeights(Weights);
}

void Router::setQueueLimits(std::map<WorkspaceName, std::uint32_t> Limits) {
  this->QueueLimits = std::move(Limits);
}

void Router::callerDisconnected(TimePoint Now, RequestId Request) {
  auto Entry = this->ActiveRequests.find(Request);
  if (Entry == this->ActiveRequests.end())
    return;
  if (Entry->second.Queued)
    this->dequeue(Entry->second);
  this->removeRequest(Entry);
  this->dispatchQueued(Now);
}

void Router::drain(TimePoint Now) {
  this->IsDraining = true;
  this->dispatchQueued(Now);
}

void Router::tick(TimePoint Now) {
  this->Table.endExpired(Now);
  while (!this->Timers.empty() && this->Timers.begin()->first <= Now) {
    auto Entry = this->ActiveRequests.find(this->Timers.begin()->second);
    ActiveRequest &Active = Entry->second;
    this->setTimer(Active, std::nullopt);
    if (!Active.Queued) {
      this->hedge(Now, Active);
      continue;
    }
    this->dequeue(Active);
    this->refuse(Now, Entry, RefusalReason::DeadlineCannotBeMet);
  }
  this->dispatchQueued(Now);
}

std::optional<TimePoint> Router::nextTimer() const {
  std::optional<TimePoint> Next = this->Table.nextExpiry();
  if (!this->Timers.empty())
    Next =
        std::min(Next.value_or(TimePoint::max()), this->Timers.begin()->first);
  return Next;
}

void Router::setTimer(ActiveRequest &Active,
                      std::optional<TimePoint> ExpiresAt) {
  if (Active.Timer)
    this->Timers.erase({*Active.Timer, Active.Request.Id});
  Active.Timer = ExpiresAt;
  if (ExpiresAt)
    this->Timers.emplace(*ExpiresAt, Active.Request.Id);
}

std::vector<RoutingEffect> Router::takeEffects() {
  return std::exchange(this->Effects, {});
}

void Router::refuse(TimePoint Now, ActiveEntry Entry, RefusalReason Reason,
                    std::optional<Duration> RetryAfter) {
  const ActiveRequest &Active = Entry->second;
  this->Effects.emplace_back(
      Refuse{.Request = Active.Request.Id,
             .Reason = Reason,
             .RetryAfter = RetryAfter ? *RetryAfter
                                      : this->retryAfter(Now, Active.Request),
             .MayHaveRun = Active.MayHaveRun});
  this->removeRequest(Entry);
}

bool Router::tryForward(TimePoint Now, ActiveEntry Entry) {
  const ActiveRequest &Active = Entry->second;
  if (Active.Request.Forwarded || Active.Dispatched)
    return false;
  std::optional<FailureDomainName> Domain = this->SpilloverPolicy->choose(Now);
  if (!Domain)
    return false;
  this->Effects.emplace_back(Forward{.Request = Active.Request.Id,
                                     .FailureDomain = std::move(*Domain)});
  this->removeRequest(Entry);
  return true;
}

/// Removes a request that has ended.
void Router::removeRequest(ActiveEntry Entry) {
  ActiveRequest &Active = Entry->second;
  assert(!Active.Queued);
  this->abandonAttempts(Active, std::nullopt);
  this->setTimer(Active, std::nullopt);
  this->ActiveRequests.erase(Entry);
}

Duration Router::expectedService(TimePoint Now,
                                 const RoutedRequest &Request) const {
  auto Times = this->TimesByClass.find(Request.Class);
  if (Times == this->TimesByClass.end())
    return Duration::zero();
  return Times->second.expected(Now, Request.Cost);
}

/// Expected time in the queue: the work ahead, served by this workspace's share
/// of the slots. Zero if the request can be dispatched immediately.
Duration Router::expectedWait(TimePoint Now,
                              const RoutedRequest &Request) const {
  if (this->Queue->size() == 0 && !this->Table.openTargets().empty())
    return Duration::zero();
  QueuePosition Position = this->Queue->position(Request);
  if (this->Table.hasLimits()) {
    double PerSecond = Position.Share *
                       this->Table.requestsPerSecond(this->OverallTimes.mean());
    double Ahead = static_cast<double>(Position.CostAhead + Request.Cost);
    return std::chrono::duration_cast<Duration>(std::min(
        std::chrono::duration<double>(Ahead / PerSecond), MaxExpectedWait));
  }
  double Slots = static_cast<double>(
                     std::max<std::uint64_t>(1, this->Table.usableSlots())) *
                 Position.Share;
  double TimePerCost =
      static_cast<double>(this->OverallTimes.expected(Now, 1).count());
  double TotalCost = static_cast<double>(Position.CostAhead + Request.Cost);
  return Duration(static_cast<std::int64_t>(TimePerCost * TotalCost / Slots));
}

Duration Router::retryAfter(TimePoint Now, const RoutedRequest &Request) {
  Duration Wait = this->Table.usableSlots() == 0
                      ? NoTargetRetryAfter
                      : this->expectedWait(Now, Request);
  Wait = std::clamp(Wait, MinRetryAfter, MaxRetryAfter);
  if (auto End = this->Table.firstPauseEnd();
      End && this->Table.usableSlots() == 0)
    Wait = std::max(*End - Now, MinRetryAfter);
  auto MaxJitter = static_cast<std::uint64_t>(
      static_cast<double>(Wait.count()) * RetryAfterJitter);
  return Wait + Duration(this->Random.below(MaxJitter + 1));
}

DomainSummary Router::summary() const {
  std::uint64_t Usable = this->Table.usableSlots();
  Duration SlotTime = this->OverallTimes.mean();
  // Slots that a target's limit leaves empty are not spare.
  if (this->Table.hasLimits() && SlotTime > Duration::zero())
    Usable =
        std::min(Usable, static_cast<std::uint64_t>(
                             this->Table.requestsPerSecond(SlotTime) *
                             std::chrono::duration<double>(SlotTime).count()));
  std::uint64_t Free = Usable - std::min(Usable, this->Table.outstanding());
  std::uint64_t Spare =
      Free - std::min<std::uint64_t>(Free, this->Queue->size());
  return DomainSummary{
      .FailureDomain = this->Options.FailureDomain,
      .Service = this->Options.Service,
      .SpareSlots = static_cast<std::uint32_t>(Spare),
      .Queued = static_cast<std::uint32_t>(this->Queue->size()),
      .SlotTime = SlotTime,
      .Unavailable = this->IsDraining || this->Table.usableSlots() == 0};
}

RouterStatus Router::status() const {
  RouterStatus Result{.Queued = this->Queue->size(),
                      .InFlight =
                          this->ActiveRequests.size() - this->Queue->size(),
                      .RetryBalance = this->Retries->balance(),
                      .HedgeBalance = this->Hedges->balance(),
                      .Draining = this->IsDraining};
  for (TargetIndex Index = 0; Index < this->Table.size(); ++Index) {
    const TargetState &State = this->Table[Index];
    if (State.Delisted && State.Outstanding == 0)
      continue;
    Result.Targets.push_back(TargetUsage{.TargetName = State.Info.Name,
                                         .Outstanding = State.Outstanding,
                                         .SlotLimit = State.Info.SlotLimit,
                                         .Straggler = State.Health.Straggler,
                                         .BackingOff = State.BackingOff});
  }
  return Result;
}

} // namespace carobhinge
