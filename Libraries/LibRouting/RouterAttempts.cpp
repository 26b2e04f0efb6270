//===- LibRouting/RouterAttempts.cpp - Attempts to have a request served --===//
///
/// \file
/// Dispatch, hedge, and what follows from each outcome of an attempt.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/Router.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace carobhinge {

/// A target that failed is left alone this long, doubled with each failure in
/// a row, so that one that fails at once does not attract all requests.
static constexpr Duration FirstTimeAside = 250ms;
static constexpr std::uint32_t MostDoublings = 5;
/// Bound of what an overloaded target may ask for.
static constexpr Duration MostTimeAside = 8s;

/// A hedge starts when an answer is later than this part of recent ones.
static constexpr double HedgeQuantile = 0.95;
/// Hedges are for free capacity: at most this part of the slots in use.
static constexpr double HedgeLoad = 0.8;

/// The target for the front of the queue.
std::optional<TargetIndex> Router::chooseTarget(TimePoint Now,
                                                const LiveRequest &Live) {
  ChoiceRequest Wanted{.PrefixHash = Live.Request.PrefixHash,
                       .Avoid = Live.Avoid};
  std::optional<TargetIndex> Where =
      this->Choice->choose(Now, this->Board, Wanted);
  if (Where || !Live.Avoid)
    return Where;
  Wanted.Avoid.reset();
  return this->Choice->choose(Now, this->Board, Wanted);
}

void Router::dispatch(TimePoint Now, LiveRequest &Live, TargetIndex Where,
                      bool IsHedge) {
  assert(Live.Attempts.empty() || (IsHedge && Live.Request.Idempotent));
  AttemptId Attempt = ++this->LastAttempt;
  this->Board.take(Where);
  ServiceTimes &Times = this->TimesByClass[Live.Request.Class];
  this->Running.emplace(Attempt, RunningAttempt{.Request = Live.Request.Id,
                                                .Where = Where,
                                                .StartedAt = Now,
                                                .Cost = Live.Request.Cost,
                                                .Times = &Times});
  Live.Attempts.push_back(Attempt);
  if (!Live.Dispatched) {
    this->Retries->earn();
    this->Hedges->earn();
  }
  Live.Dispatched = true;
  const Target &Info = this->Board[Where].Info;
  this->Effects.emplace_back(Dispatch{.Request = Live.Request.Id,
                                      .Attempt = Attempt,
                                      .TargetName = Info.Name,
                                      .Address = Info.Address,
                                      .Life = Info.Life,
                                      .Number = Info.Number,
                                      .IsHedge = IsHedge,
                                      .IsResume = Live.Answered});
  std::optional<Duration> Delay;
  bool MayHedge = Live.Request.Idempotent && !Live.Request.Forwarded &&
                  !Live.Answered && !IsHedge;
  if (MayHedge)
    Delay = Times.firstBytes().quantile(HedgeQuantile);
  this->setTimer(Live, Delay ? std::optional(Now + *Delay) : std::nullopt);
}

/// A second attempt beside one that is late, if there is room and budget.
void Router::hedge(TimePoint Now, LiveRequest &Live) {
  assert(Live.Request.Idempotent && !Live.Answered);
  auto InUse = static_cast<double>(this->Board.outstanding());
  auto Slots = static_cast<double>(this->Board.usableSlots());
  // While requests wait no target is open, so that a hedge takes no turn.
  if (Live.Attempts.size() != 1 || InUse > HedgeLoad * Slots)
    return;
  TargetIndex First = this->Running.at(Live.Attempts[0]).Where;
  // Without the prefix: the affine target is most likely the late one.
  std::optional<TargetIndex> Where =
      this->Choice->choose(Now, this->Board, ChoiceRequest{.Avoid = First});
  if (Where && this->Hedges->spend())
    this->dispatch(Now, Live, *Where, true);
}

/// Cancels the running attempts but one. An attempt that must not repeat runs
/// on, because its outcome has to become known.
void Router::abandonAttempts(LiveRequest &Live,
                             std::optional<AttemptId> Except) {
  for (AttemptId Each : Live.Attempts) {
    if (Each == Except)
      continue;
    this->Running.at(Each).Abandoned = true;
    if (Live.Request.Idempotent)
      this->Effects.emplace_back(CancelAttempt{.Attempt = Each});
  }
  Live.Attempts.clear();
  if (Except)
    Live.Attempts.push_back(*Except);
}

/// Takes the time to the first byte, or to a Complete without one.
void Router::sampleFirstByte(TimePoint Now, const RunningAttempt &Attempt) {
  Duration Time = Now - Attempt.StartedAt;
  std::optional<Duration> Typical = Attempt.Times->typicalFirstByte();
  Attempt.Times->addFirstByte(Time);
  if (Typical)
    this->judgeHealth(Attempt, Time, *Typical);
}

void Router::judgeHealth(const RunningAttempt &Attempt, Duration Time,
                         Duration Typical) {
  const TargetState &State = this->Board[Attempt.Where];
  double Ratio = static_cast<double>(std::max(Time, Duration(1)).count()) /
                 static_cast<double>(std::max(Typical, Duration(1)).count());
  if (!State.Gone)
    this->Board.setHealth(Attempt.Where,
                          this->Stragglers->judge(State.Health, Ratio));
}

void Router::firstByte(TimePoint Now, AttemptId Attempt) {
  auto Found = this->Running.find(Attempt);
  if (Found == this->Running.end() || Found->second.Abandoned)
    return;
  if (!std::exchange(Found->second.FirstByteSeen, true))
    this->sampleFirstByte(Now, Found->second);
  LiveRequest &Live = this->Live.at(Found->second.Request);
  Live.Answered = true;
  Live.MayHaveRun = true;
  this->setTimer(Live, std::nullopt);
  this->abandonAttempts(Live, Attempt);
}

void Router::finished(TimePoint Now, AttemptId Attempt,
                      AttemptOutcome Outcome) {
  auto Found = this->Running.find(Attempt);
  assert(Found != this->Running.end() && "an attempt finishes once");
  RunningAttempt Done = Found->second;
  this->Running.erase(Found);
  this->judgeTarget(Now, Done, Outcome);
  if (!Done.Abandoned) {
    auto Entry = this->Live.find(Done.Request);
    std::erase(Entry->second.Attempts, Attempt);
    if (Outcome.Result != AttemptResult::Complete)
      this->attemptFailed(Now, Entry, Done.Where, Outcome);
    else
      this->end(Entry);
  }
  this->Board.release(Done.Where);
  this->pump(Now);
}

/// Takes from the outcome what it tells about the target and the class.
void Router::judgeTarget(TimePoint Now, const RunningAttempt &Attempt,
                         AttemptOutcome Outcome) {
  Duration Time = Now - Attempt.StartedAt;
  switch (Outcome.Result) {
  case AttemptResult::Complete:
    this->Board.noteSuccess(Attempt.Where);
    Attempt.Times->addSlotTime(Now, Time, Attempt.Cost);
    this->TimesOfAll.addSlotTime(Now, Time, Attempt.Cost);
    if (!Attempt.FirstByteSeen)
      this->sampleFirstByte(Now, Attempt);
    return;
  case AttemptResult::Cancelled: {
    // An answer that had not come when it was no longer wanted shows a slow
    // target if it is late, and nothing if it is not.
    std::optional<Duration> Typical = Attempt.Times->typicalFirstByte();
    if (!Attempt.FirstByteSeen && Typical && Time > *Typical)
      this->judgeHealth(Attempt, Time, *Typical);
    return;
  }
  case AttemptResult::Overloaded:
    this->Board.setAside(
        Attempt.Where,
        Now + std::clamp(Outcome.RetryAfter, FirstTimeAside, MostTimeAside));
    return;
  case AttemptResult::FailedBeforeByte:
  case AttemptResult::FailedAfterByte:
    std::uint32_t Doublings =
        std::min(this->Board[Attempt.Where].Failures, MostDoublings);
    this->Board.noteFailure(Attempt.Where);
    if (this->Board.manyAside())
      return;
    this->Board.setAside(Attempt.Where,
                         Now + (FirstTimeAside * (1U << Doublings)));
    return;
  }
}

/// Retries, resumes, waits for a hedge, or refuses.
void Router::attemptFailed(TimePoint Now, LiveEntry Entry, TargetIndex Where,
                           AttemptOutcome Outcome) {
  LiveRequest &Live = Entry->second;
  bool NothingSent = Outcome.Result == AttemptResult::FailedBeforeByte;
  Live.MayHaveRun = Live.MayHaveRun || !NothingSent;
  if (!Live.Attempts.empty())
    return;
  this->setTimer(Live, std::nullopt);
  bool Allowed = Live.Answered
                     ? Live.Request.Idempotent && Live.Request.Resumable
                     : Live.Request.Idempotent || NothingSent;
  TimePoint LatestStart = this->Deadlines->latestStart(
      Live.Request, this->expectedService(Now, Live.Request));
  if (Allowed && Now <= LatestStart && this->Board.usableSlots() > 0 &&
      this->Retries->spend()) {
    Live.Avoid = Where;
    this->enqueue(Now, Live);
    return;
  }
  std::optional<Duration> RetryAfter;
  if (Outcome.Result == AttemptResult::Overloaded &&
      Outcome.RetryAfter > Duration::zero())
    RetryAfter = Outcome.RetryAfter;
  this->refuse(Now, Entry,
               Live.Answered ? RefusalReason::AnswerBrokeOff
                             : RefusalReason::AttemptFailed,
               RetryAfter);
}

} // namespace carobhinge
