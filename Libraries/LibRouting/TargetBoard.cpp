//===- LibRouting/TargetBoard.cpp - The targets and what runs on them -----===//
///
/// \file
/// After each change of a target, refresh() brings the open list and the sum
/// of slots in line with it.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/TargetBoard.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace carobhinge {

/// A straggler keeps this part of its slots, and at least one, so that its
/// recovery is seen.
static constexpr std::uint32_t StragglerDivisor = 8;

static constexpr std::size_t NotOpen = std::string::npos;

static std::string keyOf(std::string_view Name, Incarnation Life) {
  return std::string(Name) + '#' + std::to_string(Life);
}

std::uint32_t TargetBoard::limitOf(const TargetState &State) {
  std::uint32_t Limit = State.Info.SlotLimit;
  if (State.Health.Straggler && Limit > 0)
    return std::max(1U, Limit / StragglerDivisor);
  return Limit;
}

TargetIndex TargetBoard::add(const Target &Info) {
  TargetIndex Index = 0;
  if (this->Unused.empty()) {
    Index = static_cast<TargetIndex>(this->States.size());
    this->States.emplace_back();
  } else {
    Index = this->Unused.back();
    this->Unused.pop_back();
    this->States[Index] = TargetState{};
  }
  this->States[Index].Info = Info;
  this->ByLife[keyOf(Info.Name, Info.Life)] = Index;
  ++this->Membership;
  ++this->Listed;
  return Index;
}

/// Brings the open list and the sums in line with one target.
void TargetBoard::refresh(TargetIndex Index) {
  TargetState &State = this->States[Index];
  bool Usable = !State.Gone && !State.Info.Draining;
  std::uint32_t Limit = Usable ? limitOf(State) : 0;
  this->Usable += Limit;
  this->Usable -= State.CountedSlots;
  State.CountedSlots = Limit;
  bool ShouldBeOpen = !State.Aside && State.Outstanding < Limit;
  bool IsOpen = State.OpenPlace != NotOpen;
  if (ShouldBeOpen == IsOpen)
    return;
  if (ShouldBeOpen) {
    State.OpenPlace = this->Open.size();
    this->Open.push_back(Index);
    return;
  }
  TargetIndex Last = this->Open.back();
  this->Open[State.OpenPlace] = Last;
  this->States[Last].OpenPlace = State.OpenPlace;
  this->Open.pop_back();
  State.OpenPlace = NotOpen;
}

void TargetBoard::retire(TargetIndex Index) {
  TargetState &State = this->States[Index];
  State.Gone = true;
  --this->Listed;
  if (std::exchange(State.Aside, false))
    this->Reopenings.erase({State.AsideUntil, Index});
  ++this->Membership;
  this->refresh(Index);
  this->recycleIfDone(Index);
}

void TargetBoard::recycleIfDone(TargetIndex Index) {
  const TargetState &State = this->States[Index];
  if (!State.Gone || State.Outstanding > 0)
    return;
  this->ByLife.erase(keyOf(State.Info.Name, State.Info.Life));
  this->Unused.push_back(Index);
}

void TargetBoard::replace(std::span<const Target> Targets) {
  std::vector<bool> Listed(this->States.size() + Targets.size());
  for (const Target &Info : Targets) {
    auto Found = this->ByLife.find(keyOf(Info.Name, Info.Life));
    TargetIndex Index =
        Found == this->ByLife.end() ? this->add(Info) : Found->second;
    TargetState &State = this->States[Index];
    if (std::exchange(State.Gone, false)) {
      ++this->Membership;
      ++this->Listed;
    }
    if (State.Info.Load != Info.Load || Found == this->ByLife.end())
      takeReport(State, Info.Load);
    State.Info = Info;
    this->refresh(Index);
    Listed[Index] = true;
  }
  for (TargetIndex Index = 0; Index < this->States.size(); ++Index)
    if (!Listed[Index] && !this->States[Index].Gone)
      this->retire(Index);
}

void TargetBoard::takeReport(TargetState &State, const ReportedLoad &Load) {
  std::uint32_t Reported = Load.Running + Load.Queued;
  State.Info.Load = Load;
  State.WorkOfOthers = Reported - std::min(Reported, State.Outstanding);
}

void TargetBoard::reportLoad(std::string_view Name, Incarnation Life,
                             const ReportedLoad &Load) {
  auto Found = this->ByLife.find(keyOf(Name, Life));
  if (Found == this->ByLife.end())
    return;
  TargetState &State = this->States[Found->second];
  if (Load.ReceivedAt >= State.Info.Load.ReceivedAt)
    takeReport(State, Load);
}

void TargetBoard::take(TargetIndex Index) {
  TargetState &State = this->States[Index];
  assert(this->isOpen(Index) && "only a target with a free slot is taken");
  ++State.Outstanding;
  ++this->InUse;
  this->refresh(Index);
}

void TargetBoard::release(TargetIndex Index) {
  TargetState &State = this->States[Index];
  assert(State.Outstanding > 0);
  --State.Outstanding;
  --this->InUse;
  this->refresh(Index);
  this->recycleIfDone(Index);
}

void TargetBoard::setAside(TargetIndex Index, TimePoint Until) {
  TargetState &State = this->States[Index];
  if (State.Gone || (State.Aside && State.AsideUntil >= Until))
    return;
  if (State.Aside)
    this->Reopenings.erase({State.AsideUntil, Index});
  State.Aside = true;
  State.AsideUntil = Until;
  this->Reopenings.emplace(Until, Index);
  this->refresh(Index);
}

bool TargetBoard::manyAside() const {
  return 2 * (this->Reopenings.size() + 1) > this->Listed;
}

void TargetBoard::setHealth(TargetIndex Index, const TargetHealth &Health) {
  this->States[Index].Health = Health;
  this->refresh(Index);
}

void TargetBoard::reopen(TimePoint Now) {
  while (!this->Reopenings.empty() && this->Reopenings.begin()->first <= Now) {
    TargetIndex Index = this->Reopenings.begin()->second;
    this->Reopenings.erase(this->Reopenings.begin());
    this->States[Index].Aside = false;
    this->refresh(Index);
  }
}

std::optional<TimePoint> TargetBoard::nextReopen() const {
  if (this->Reopenings.empty())
    return std::nullopt;
  return this->Reopenings.begin()->first;
}

} // namespace carobhinge
