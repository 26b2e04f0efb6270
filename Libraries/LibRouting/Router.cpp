//===- LibRouting/Router.cpp - What becomes of each request of a service --===//
///
/// \file
/// Admission, the queue and the events from outside. What happens to attempts
/// stands in RouterAttempts.cpp.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/Router.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace carobhinge {

/// Bounds of what a caller is told to wait.
static constexpr Duration LeastRetryAfter = 200ms;
static constexpr Duration MostRetryAfter = 30s;
/// Told to callers while it is not known when a target comes.
static constexpr Duration NoTargetRetryAfter = 1s;
static constexpr Duration ExpiryMargin = 1us;
/// Spreads the callers that come back: up to this part is added.
static constexpr double RetryAfterJitter = 0.25;

Router::Router(RouterOptions Given)
    : Options(std::move(Given)), Queue(makeAdmissionQueue(this->Options)),
      Choice(makeTargetChoice(this->Options)),
      Deadlines(makeDeadlinePolicy(this->Options.Policies.Deadlines)),
      Retries(makeAttemptBudget(this->Options.Policies.Retries,
                                this->Options.RetryShare,
                                this->Options.BudgetBurst)),
      Hedges(makeAttemptBudget(this->Options.Policies.Hedges,
                               this->Options.HedgeShare,
                               this->Options.BudgetBurst)),
      Stragglers(makeStragglerPolicy(this->Options.Policies.Stragglers)),
      Spill(makeSpillover(this->Options)), Random(this->Options.Seed) {}

void Router::submit(TimePoint Now, const RoutedRequest &Request) {
  auto [Entry, Added] =
      this->Live.try_emplace(Request.Id, LiveRequest{.Request = Request});
  assert(Added && "a request is submitted once");
  static_cast<void>(Added);
  Entry->second.Request.Cost = std::max(1U, Request.Cost);
  Entry->second.Sequence = ++this->LastSequence;
  if (this->IsDraining || this->Board.usableSlots() == 0) {
    if (!this->forward(Now, Entry))
      this->refuse(Now, Entry,
                   this->IsDraining ? RefusalReason::Draining
                                    : RefusalReason::NoTarget);
    return;
  }
  Duration Wait = this->expectedWait(Now, Request);
  TimePoint LatestStart = this->Deadlines->latestStart(
      Request, this->expectedService(Now, Request));
  bool InTime = Now + this->Deadlines->countedWait(Wait) <= LatestStart;
  if ((!InTime || Wait > this->Options.SpillWait) && this->forward(Now, Entry))
    return;
  if (!InTime) {
    this->refuse(Now, Entry, RefusalReason::DeadlineCannotBeMet);
    return;
  }
  if (!this->makeRoom(Now, Request)) {
    if (!this->forward(Now, Entry))
      this->refuse(Now, Entry, RefusalReason::QueueFull);
    return;
  }
  this->enqueue(Now, Entry->second);
  this->pump(Now);
}

/// True if the request may wait. A less urgent one may have to go for it.
bool Router::makeRoom(TimePoint Now, const RoutedRequest &Request) {
  if (this->Queue->waitingBeside(Request) < this->Options.QueueLimit)
    return true;
  std::optional<RequestId> Loser = this->Queue->displaceable(Request);
  if (!Loser)
    return false;
  auto Entry = this->Live.find(*Loser);
  this->dequeue(Entry->second);
  if (!this->forward(Now, Entry))
    this->refuse(Now, Entry, RefusalReason::Displaced);
  return true;
}

void Router::enqueue(TimePoint Now, LiveRequest &Live) {
  assert(!Live.Queued && Live.Attempts.empty());
  Live.Queued = true;
  this->Queue->push(Live.Request, Live.Sequence);
  Duration Service = this->expectedService(Now, Live.Request);
  // Past it, so that a start at the latest moment is still allowed.
  this->setTimer(Live, this->Deadlines->latestStart(Live.Request, Service) +
                           ExpiryMargin);
}

void Router::dequeue(LiveRequest &Live) {
  assert(Live.Queued);
  Live.Queued = false;
  this->Queue->remove(Live.Request, Live.Sequence);
  this->setTimer(Live, std::nullopt);
}

/// Sends what waits to targets while there are free slots.
void Router::pump(TimePoint Now) {
  if (this->Board.usableSlots() == 0) {
    this->giveUpQueue(Now);
    return;
  }
  while (std::optional<RequestId> Front = this->Queue->front()) {
    auto Entry = this->Live.find(*Front);
    LiveRequest &Live = Entry->second;
    TimePoint LatestStart = this->Deadlines->latestStart(
        Live.Request, this->expectedService(Now, Live.Request));
    if (Now > LatestStart) {
      this->dequeue(Live);
      this->refuse(Now, Entry, RefusalReason::DeadlineCannotBeMet);
      continue;
    }
    std::optional<TargetIndex> Where = this->chooseTarget(Now, Live);
    if (!Where)
      return;
    this->Queue->popFront();
    Live.Queued = false;
    this->dispatch(Now, Live, *Where, false);
  }
}

/// No target is left: whoever waits is answered now.
void Router::giveUpQueue(TimePoint Now) {
  while (std::optional<RequestId> Front = this->Queue->front()) {
    auto Entry = this->Live.find(*Front);
    this->dequeue(Entry->second);
    if (!this->forward(Now, Entry))
      this->refuse(Now, Entry, RefusalReason::NoTarget);
  }
}

void Router::targetsChanged(TimePoint Now, std::span<const Target> Targets) {
  this->Board.replace(Targets);
  this->pump(Now);
}

void Router::reportLoad(std::string_view TargetName, Incarnation Life,
                        const ReportedLoad &Load) {
  this->Board.reportLoad(TargetName, Life, Load);
}

void Router::neighboursChanged(TimePoint Now,
                               std::span<const DomainSummary> Summaries) {
  this->Spill->neighboursChanged(Now, Summaries);
}

void Router::weightsChanged(const std::map<WorkspaceName, double> &Weights) {
  this->Queue->weightsChanged(Weights);
}

void Router::callerGone(TimePoint Now, RequestId Request) {
  auto Entry = this->Live.find(Request);
  if (Entry == this->Live.end())
    return;
  if (Entry->second.Queued)
    this->dequeue(Entry->second);
  this->end(Entry);
  this->pump(Now);
}

void Router::drain(TimePoint Now) {
  this->IsDraining = true;
  this->pump(Now);
}

void Router::tick(TimePoint Now) {
  this->Board.reopen(Now);
  while (!this->Timers.empty() && this->Timers.begin()->first <= Now) {
    auto Entry = this->Live.find(this->Timers.begin()->second);
    LiveRequest &Live = Entry->second;
    this->setTimer(Live, std::nullopt);
    if (!Live.Queued) {
      this->hedge(Now, Live);
      continue;
    }
    this->dequeue(Live);
    this->refuse(Now, Entry, RefusalReason::DeadlineCannotBeMet);
  }
  this->pump(Now);
}

std::optional<TimePoint> Router::nextTimer() const {
  std::optional<TimePoint> Next = this->Board.nextReopen();
  if (!this->Timers.empty())
    Next =
        std::min(Next.value_or(TimePoint::max()), this->Timers.begin()->first);
  return Next;
}

void Router::setTimer(LiveRequest &Live, std::optional<TimePoint> When) {
  if (Live.Timer)
    this->Timers.erase({*Live.Timer, Live.Request.Id});
  Live.Timer = When;
  if (When)
    this->Timers.emplace(*When, Live.Request.Id);
}

std::vector<RoutingEffect> Router::takeEffects() {
  return std::exchange(this->Effects, {});
}

void Router::refuse(TimePoint Now, LiveEntry Entry, RefusalReason Reason,
                    std::optional<Duration> RetryAfter) {
  const LiveRequest &Live = Entry->second;
  this->Effects.emplace_back(
      Refuse{.Request = Live.Request.Id,
             .Reason = Reason,
             .RetryAfter =
                 RetryAfter ? *RetryAfter : this->retryAfter(Now, Live.Request),
             .MayHaveRun = Live.MayHaveRun});
  this->end(Entry);
}

bool Router::forward(TimePoint Now, LiveEntry Entry) {
  const LiveRequest &Live = Entry->second;
  if (Live.Request.Forwarded || Live.Dispatched)
    return false;
  std::optional<FailureDomainName> Domain = this->Spill->choose(Now);
  if (!Domain)
    return false;
  this->Effects.emplace_back(
      Forward{.Request = Live.Request.Id, .FailureDomain = std::move(*Domain)});
  this->end(Entry);
  return true;
}

/// The request has had its one end.
void Router::end(LiveEntry Entry) {
  LiveRequest &Live = Entry->second;
  assert(!Live.Queued);
  this->abandonAttempts(Live, std::nullopt);
  this->setTimer(Live, std::nullopt);
  this->Live.erase(Entry);
}

Duration Router::expectedService(TimePoint Now,
                                 const RoutedRequest &Request) const {
  auto Times = this->TimesByClass.find(Request.Class);
  if (Times == this->TimesByClass.end())
    return Duration::zero();
  return Times->second.expected(Now, Request.Cost);
}

/// Time in the queue: the work ahead, served by this workspace's share of the
/// slots. Nothing if the request can go at once.
Duration Router::expectedWait(TimePoint Now,
                              const RoutedRequest &Request) const {
  if (this->Queue->size() == 0 && !this->Board.open().empty())
    return Duration::zero();
  QueuePosition Position = this->Queue->position(Request);
  double Slots = static_cast<double>(
                     std::max<std::uint64_t>(1, this->Board.usableSlots())) *
                 Position.Share;
  double ForOne =
      static_cast<double>(this->TimesOfAll.expected(Now, 1).count());
  double Ahead = static_cast<double>(Position.CostAhead + Request.Cost);
  return Duration(static_cast<std::int64_t>(ForOne * Ahead / Slots));
}

Duration Router::retryAfter(TimePoint Now, const RoutedRequest &Request) {
  Duration Wait = this->Board.usableSlots() == 0
                      ? NoTargetRetryAfter
                      : this->expectedWait(Now, Request);
  Wait = std::clamp(Wait, LeastRetryAfter, MostRetryAfter);
  auto Spread = static_cast<std::uint64_t>(static_cast<double>(Wait.count()) *
                                           RetryAfterJitter);
  return Wait + Duration(this->Random.below(Spread + 1));
}

DomainSummary Router::summary() const {
  std::uint64_t Free =
      this->Board.usableSlots() -
      std::min(this->Board.usableSlots(), this->Board.outstanding());
  std::uint64_t Spare =
      Free - std::min<std::uint64_t>(Free, this->Queue->size());
  return DomainSummary{
      .FailureDomain = this->Options.FailureDomain,
      .Service = this->Options.Service,
      .SpareSlots = static_cast<std::uint32_t>(Spare),
      .Queued = static_cast<std::uint32_t>(this->Queue->size()),
      .SlotTime = this->TimesOfAll.mean(),
      .Out = this->IsDraining || this->Board.usableSlots() == 0};
}

RouterStatus Router::status() const {
  RouterStatus Result{.Queued = this->Queue->size(),
                      .InFlight = this->Live.size() - this->Queue->size(),
                      .RetryBalance = this->Retries->balance(),
                      .HedgeBalance = this->Hedges->balance(),
                      .Draining = this->IsDraining};
  for (TargetIndex Index = 0; Index < this->Board.size(); ++Index) {
    const TargetState &State = this->Board[Index];
    if (State.Gone && State.Outstanding == 0)
      continue;
    Result.Targets.push_back(TargetUse{.TargetName = State.Info.Name,
                                       .Outstanding = State.Outstanding,
                                       .SlotLimit = State.Info.SlotLimit,
                                       .Straggler = State.Health.Straggler,
                                       .Aside = State.Aside});
  }
  return Result;
}

} // namespace carobhinge
