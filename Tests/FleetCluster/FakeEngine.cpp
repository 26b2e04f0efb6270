//===- Tests/FleetCluster/FakeEngine.cpp - An engine without a socket -----===//
///
/// \file
/// Orders, loading and requests of the fake engine.
///
//===----------------------------------------------------------------------===//

#include "FakeEngine.h"

#include <utility>

namespace carobhinge {

OrderResult FakeEngine::take(TimePoint Now, const Order &Given) {
  if (Given.ForIncarnation != this->Said.IncarnationNumber)
    return OrderResult::Refused;
  if (Given.Number < this->Said.LastOrder) {
    if (this->Said.ChecksFencing)
      return OrderResult::Refused;
    this->Violations.push_back(this->Said.Endpoint +
                               " was given an order older than its last");
  }
  OrderResult Result = OrderResult::Accepted;
  if (Given.Action == OrderAction::Join)
    Result = this->join(Now, Given);
  else if (this->Said.Position.Group == Given.Position.Group)
    this->leavePlace(Now);
  if (Result == OrderResult::Accepted)
    this->Said.LastOrder = Given.Number;
  return Result;
}

OrderResult FakeEngine::join(TimePoint Now, const Order &Given) {
  const GroupPosition &Current = this->Said.Position;
  if (Current == Given.Position)
    return OrderResult::Accepted;
  if (!Current.Group.empty() && Current.Group != Given.Position.Group) {
    if (this->Said.ChecksFencing)
      return OrderResult::Refused;
    this->Violations.push_back(this->Said.Endpoint + " is in " + Current.Group +
                               " and was made to join " + Given.Position.Group);
  }
  this->leavePlace(Now);
  this->Said.Position = Given.Position;
  this->LeftAt.erase({Given.Position.Number, Given.Position.Rank});
  Weights Wanted = {.Rank = Given.Position.Rank,
                    .Size = Given.Position.Size,
                    .Version = Given.Version};
  bool Holds = this->Loaded == Wanted;
  this->Loaded.reset();
  this->Loading = Wanted;
  this->Chilled = false;
  this->LoadedAt = Now + (Holds ? this->Times.Rejoin : this->Times.Load);
  // Weights that stayed in memory are warm.
  this->ColdSince = Holds ? TimePoint::min() : this->LoadedAt;
  return OrderResult::Accepted;
}

void FakeEngine::leavePlace(TimePoint Now) {
  GroupPosition &Position = this->Said.Position;
  if (Position.Group.empty())
    return;
  this->CutOff[Position.Number] += this->Requests.size();
  this->Requests.clear();
  this->LeftAt[{Position.Number, Position.Rank}] = Now;
  Position = GroupPosition();
  this->Loading.reset();
  this->Said.State = Readiness::Starting;
}

bool FakeEngine::take(TimePoint Now, const GroupPosition &At,
                      EngineRequest Request) {
  if (this->Said.Position != At || this->Said.State == Readiness::Starting)
    return false;
  Request.StartedAt = Now;
  this->Requests.push_back(Request);
  return true;
}

std::vector<EngineRequest> FakeEngine::advance(TimePoint Now) {
  std::vector<EngineRequest> Ended;
  std::erase_if(this->Requests, [&](const EngineRequest &Each) {
    if (Each.EndsAt > Now)
      return false;
    Ended.push_back(Each);
    return true;
  });
  this->Said.Answered += Ended.size();
  this->Said.Running = this->Requests.size();
  if (this->Loading && Now >= this->LoadedAt) {
    this->Loaded = std::exchange(this->Loading, std::nullopt);
    this->Said.Version = this->Loaded->Version;
    this->Said.State = this->ColdSince == TimePoint::min() ? Readiness::Ready
                                                           : Readiness::Cold;
    this->Said.Answered = 0;
  }
  if (this->Said.State == Readiness::Cold &&
      Now - this->ColdSince >= this->Times.WarmUp)
    this->Said.State = Readiness::Ready;
  return Ended;
}

Announcement FakeEngine::announce() {
  ++this->Said.Sequence;
  return this->Said;
}

void FakeEngine::kill(TimePoint Now) {
  this->Alive = false;
  this->Paused = false;
  this->StoppedAt = Now;
  this->Requests.clear();
}

void FakeEngine::restart(TimePoint Now) {
  this->kill(Now);
  this->Alive = true;
  ++this->Said.IncarnationNumber;
  this->Said.Sequence = 0;
  this->Said.State = Readiness::Starting;
  this->Said.Leaving = false;
  this->Said.Position = GroupPosition();
  this->Said.LastOrder = 0;
  this->Said.Running = 0;
  this->Said.Answered = 0;
  this->Loaded.reset();
  this->Loading.reset();
}

void FakeEngine::pause(TimePoint Now) {
  this->Paused = true;
  this->StoppedAt = Now;
}

void FakeEngine::resume() { this->Paused = false; }

void FakeEngine::chill(TimePoint Now) {
  if (this->Said.State != Readiness::Ready)
    return;
  this->Said.State = Readiness::Cold;
  this->Said.Answered = 0;
  this->ColdSince = Now;
  this->Chilled = true;
}

std::optional<TimePoint>
FakeEngine::goneSince(const GroupPosition &Position,
                      Incarnation IncarnationNumber) const {
  if (!this->isRunning() || IncarnationNumber != this->Said.IncarnationNumber)
    return this->StoppedAt;
  if (this->Said.Position == Position)
    return std::nullopt;
  auto Found = this->LeftAt.find({Position.Number, Position.Rank});
  return Found == this->LeftAt.end() ? TimePoint() : Found->second;
}

} // namespace carobhinge
