//===- LibRouting/TargetTable.cpp - State of all targets ------------------===//
///
/// \file
/// After each change of a target, updateAvailability() updates the list of open
/// targets and the total of slots.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/TargetTable.h>

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace carobhinge {

/// A straggler keeps one in this many of its slots, but at least one, so that
/// its recovery can be detected.
static constexpr std::uint32_t StragglerDivisor = 8;

static constexpr std::size_t NoOpenPosition = std::string::npos;

static std::string makeKey(std::string_view Name,
                           Incarnation TargetIncarnation) {
  return std::string(Name) + '#' + std::to_string(TargetIncarnation);
}

std::uint32_t TargetTable::effectiveSlotLimit(const TargetState &State) {
  std::uint32_t Limit = State.Info.SlotLimit;
  if (State.Health.Straggler && Limit > 0)
    return std::max(1U, Limit / StragglerDivisor);
  return Limit;
}

TargetIndex TargetTable::add(const Target &Info) {
  TargetIndex Index = 0;
  if (this->FreeIndices.empty()) {
    Index = static_cast<TargetIndex>(this->States.size());
    this->States.emplace_back();
  } else {
    Index = this->FreeIndices.back();
    this->FreeIndices.pop_back();
    this->States[Index] = TargetState{};
  }
  this->States[Index].Info = Info;
  this->ByIncarnation[makeKey(Info.Name, Info.IncarnationNumber)] = Index;
  ++this->MembershipVersion;
  ++this->ListedCount;
  return Index;
}

/// Updates the list of open targets and the totals after a change of a target.
void TargetTable::updateAvailability(TargetIndex Index) {
  TargetState &State = this->States[Index];
  bool IsUsable = !State.Delisted && !State.Info.Draining && !State.Excluded &&
                  !State.Paused;
  std::uint32_t Limit = IsUsable ? effectiveSlotLimit(State) : 0;
  this->TotalUsableSlots += Limit;
  this->TotalUsableSlots -= State.CountedSlots;
  State.CountedSlots = Limit;
  bool IsLimited = Limit > 0 && State.Pacer.isLimited();
  std::uint32_t LimitedSlots = IsLimited ? Limit : 0;
  double Rate = IsLimited ? State.Pacer.rate() : 0;
  this->TotalLimitedSlots += LimitedSlots;
  this->TotalLimitedSlots -= State.CountedLimitedSlots;
  this->TotalRate += Rate - State.CountedRate;
  State.CountedLimitedSlots = LimitedSlots;
  State.CountedRate = Rate;
  bool ShouldBeOpen =
      !State.BackingOff && !State.Pausing && State.Outstanding < Limit;
  bool IsOpen = State.OpenPosition != NoOpenPosition;
  if (ShouldBeOpen == IsOpen)
    return;
  if (ShouldBeOpen) {
    State.OpenPosition = this->OpenTargets.size();
    this->OpenTargets.push_back(Index);
    return;
  }
  TargetIndex Last = this->OpenTargets.back();
  this->OpenTargets[State.OpenPosition] = Last;
  this->States[Last].OpenPosition = State.OpenPosition;
  this->OpenTargets.pop_back();
  State.OpenPosition = NoOpenPosition;
}

void TargetTable::removeTarget(TargetIndex Index) {
  TargetState &State = this->States[Index];
  State.Delisted = true;
  --this->ListedCount;
  this->endBackOff(Index);
  this->endPause(Index);
  ++this->MembershipVersion;
  this->updateAvailability(Index);
  this->recycleIfIdle(Index);
}

void TargetTable::recycleIfIdle(TargetIndex Index) {
  const TargetState &State = this->States[Index];
  if (!State.Delisted || State.Outstanding > 0)
    return;
  this->ByIncarnation.erase(
      makeKey(State.Info.Name, State.Info.IncarnationNumber));
  this->FreeIndices.push_back(Index);
}

void TargetTable::replace(std::span<const Target> Targets) {
  std::vector<bool> Listed(this->States.size() + Targets.size());
  for (const Target &Info : Targets) {
    auto Found =
        this->ByIncarnation.find(makeKey(Info.Name, Info.IncarnationNumber));
    TargetIndex Index =
        Found == this->ByIncarnation.end() ? this->add(Info) : Found->second;
    TargetState &State = this->States[Index];
    if (std::exchange(State.Delisted, false)) {
      ++this->MembershipVersion;
      ++this->ListedCount;
    }
    if (State.Info.Load != Info.Load || Found == this->ByIncarnation.end())
      applyLoadReport(State, Info.Load);
    State.Info = Info;
    this->updateAvailability(Index);
    Listed[Index] = true;
  }
  for (TargetIndex Index = 0; Index < this->States.size(); ++Index)
    if (!Listed[Index] && !this->States[Index].Delisted)
      this->removeTarget(Index);
}

void TargetTable::applyLoadReport(TargetState &State,
                                  const ReportedLoad &Load) {
  std::uint32_t Reported = Load.Running + Load.Queued;
  State.Info.Load = Load;
  State.RemoteOutstanding = Reported - std::min(Reported, State.Outstanding);
}

void TargetTable::reportLoad(std::string_view Name,
                             Incarnation TargetIncarnation,
                             const ReportedLoad &Load) {
  auto Found = this->ByIncarnation.find(makeKey(Name, TargetIncarnation));
  if (Found == this->ByIncarnation.end())
    return;
  TargetState &State = this->States[Found->second];
  if (Load.ReceivedAt >= State.Info.Load.ReceivedAt)
    applyLoadReport(State, Load);
}

void TargetTable::setRate(TimePoint Now, TargetIndex Index,
                          std::optional<double> Rate, double Phase) {
  TargetState &State = this->States[Index];
  State.Excluded = Rate == 0.0;
  if (Rate.value_or(0) != State.Pacer.rate()) {
    this->endPause(Index);
    State.Pacer.setRate(Now, Rate.value_or(0), Phase);
    if (!State.Pacer.mayAcquire(Now))
      this->startPause(Index);
  }
  this->updateAvailability(Index);
}

void TargetTable::startPause(TargetIndex Index) {
  TargetState &State = this->States[Index];
  State.Pausing = true;
  this->PauseEnds.emplace(State.Pacer.nextAt(), Index);
}

void TargetTable::endPause(TargetIndex Index) {
  TargetState &State = this->States[Index];
  if (std::exchange(State.Pausing, false))
    this->PauseEnds.erase({State.Pacer.nextAt(), Index});
}

double TargetTable::requestsPerSecond(Duration SlotTime) const {
  double Seconds = std::chrono::duration<double>(SlotTime).count();
  auto Limited = static_cast<double>(this->TotalLimitedSlots);
  double Unlimited = static_cast<double>(this->TotalUsableSlots) - Limited;
  if (Seconds <= 0)
    return Unlimited > 0 ? std::numeric_limits<double>::infinity()
                         : this->TotalRate;
  return Unlimited / Seconds + std::min(Limited / Seconds, this->TotalRate);
}

void TargetTable::acquireSlot(TimePoint Now, TargetIndex Index) {
  TargetState &State = this->States[Index];
  assert(this->isOpen(Index) &&
         "a slot is taken only on a target with a free slot");
  ++State.Outstanding;
  ++this->TotalOutstanding;
  if (State.Pacer.isLimited()) {
    State.Pacer.acquire(Now);
    this->startPause(Index);
  }
  this->updateAvailability(Index);
}

void TargetTable::releaseSlot(TargetIndex Index) {
  TargetState &State = this->States[Index];
  assert(State.Outstanding > 0);
  --State.Outstanding;
  --this->TotalOutstanding;
  this->updateAvailability(Index);
  this->recycleIfIdle(Index);
}

void TargetTable::backOffUntil(TargetIndex Index, TimePoint EndsAt) {
  TargetState &State = this->States[Index];
  if (State.Delisted || (State.BackingOff && State.BackoffUntil >= EndsAt))
    return;
  if (State.BackingOff)
    this->BackoffEnds.erase({State.BackoffUntil, Index});
  State.BackingOff = true;
  State.BackoffUntil = EndsAt;
  this->BackoffEnds.emplace(EndsAt, Index);
  this->updateAvailability(Index);
}

void TargetTable::pauseUntil(TargetIndex Index, TimePoint EndsAt) {
  TargetState &State = this->States[Index];
  if (State.Delisted)
    return;
  State.Paused = true;
  this->backOffUntil(Index, EndsAt);
  this->updateAvailability(Index);
}

void TargetTable::endBackOff(TargetIndex Index) {
  TargetState &State = this->States[Index];
  if (!std::exchange(State.BackingOff, false))
    return;
  this->BackoffEnds.erase({State.BackoffUntil, Index});
  State.Paused = false;
  this->updateAvailability(Index);
}

std::optional<TimePoint> TargetTable::firstPauseEnd() const {
  for (const auto &[EndsAt, Index] : this->BackoffEnds)
    if (this->States[Index].Paused)
      return EndsAt;
  return std::nullopt;
}

bool TargetTable::isBackoffLimitReached() const {
  return 2 * (this->BackoffEnds.size() + 1) > this->ListedCount;
}

void TargetTable::setHealth(TargetIndex Index, const TargetHealth &Health) {
  this->States[Index].Health = Health;
  this->updateAvailability(Index);
}

void TargetTable::endExpired(TimePoint Now) {
  while (!this->BackoffEnds.empty() &&
         this->BackoffEnds.begin()->first <= Now) {
    this->endBackOff(this->BackoffEnds.begin()->second);
  }
  while (!this->PauseEnds.empty() && this->PauseEnds.begin()->first <= Now) {
    TargetIndex Index = this->PauseEnds.begin()->second;
    this->endPause(Index);
    this->updateAvailability(Index);
  }
}

std::optional<TimePoint> TargetTable::nextExpiry() const {
  std::optional<TimePoint> Next;
  for (const auto *Ends : {&this->BackoffEnds, &this->PauseEnds})
    if (!Ends->empty())
      Next = std::min(Next.value_or(TimePoint::max()), Ends->begin()->first);
  return Next;
}

} // namespace carobhinge
