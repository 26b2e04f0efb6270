//===- Tests/FleetCluster/FakeEngine.cpp - A simulated engine -------------===//
///
/// \file
/// Orders, loading and requests of the simulated engine.
///
//===----------------------------------------------------------------------===//

#include "FakeEngine.h"

#include <utility>

namespace carobhinge {

OrderSendResult FakeEngine::handleOrder(TimePoint Now, const Order &Received) {
  if (Received.ForIncarnation != this->Status.IncarnationNumber)
    return OrderSendResult::Refused;
  if (Received.Number < this->Status.LastOrder) {
    if (this->Status.ChecksFencing)
      return OrderSendResult::Refused;
    this->Violations.push_back(this->Status.Endpoint +
                               " received an order older than its last one");
  }
  OrderSendResult Result = OrderSendResult::Accepted;
  if (Received.Action == OrderAction::Join)
    Result = this->join(Now, Received);
  else if (this->Status.Position.Group == Received.Position.Group)
    this->leaveGroup(Now);
  if (Result == OrderSendResult::Accepted)
    this->Status.LastOrder = Received.Number;
  return Result;
}

OrderSendResult FakeEngine::join(TimePoint Now, const Order &Received) {
  const GroupPosition &Current = this->Status.Position;
  if (Current == Received.Position)
    return OrderSendResult::Accepted;
  if (!Current.Group.empty() && Current.Group != Received.Position.Group) {
    if (this->Status.ChecksFencing)
      return OrderSendResult::Refused;
    this->Violations.push_back(
        this->Status.Endpoint + " is in " + Current.Group +
        " and received an order to join " + Received.Position.Group);
  }
  this->leaveGroup(Now);
  this->Status.Position = Received.Position;
  this->LeftAt.erase({Received.Position.Number, Received.Position.Rank});
  Weights Required = {.Rank = Received.Position.Rank,
                      .Size = Received.Position.Size,
                      .Version = Received.Version};
  bool InMemory = this->Loaded == Required;
  this->Loaded.reset();
  this->Loading = Required;
  this->CooledDown = false;
  this->LoadedAt = Now + (InMemory ? this->Times.Rejoin : this->Times.Load);
  // Weights that stayed in memory need no warm-up.
  this->ColdSince = InMemory ? TimePoint::min() : this->LoadedAt;
  return OrderSendResult::Accepted;
}

void FakeEngine::leaveGroup(TimePoint Now) {
  GroupPosition &Position = this->Status.Position;
  if (Position.Group.empty())
    return;
  this->CutOff[Position.Number] += this->Requests.size();
  this->Requests.clear();
  this->LeftAt[{Position.Number, Position.Rank}] = Now;
  Position = GroupPosition();
  this->Loading.reset();
  this->Status.State = Readiness::Starting;
}

bool FakeEngine::startRequest(TimePoint Now, const GroupPosition &Target,
                              EngineRequest Request) {
  if (this->Status.Position != Target ||
      this->Status.State == Readiness::Starting)
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
  this->Status.Answered += Ended.size();
  this->Status.Running = this->Requests.size();
  if (this->Loading && Now >= this->LoadedAt) {
    this->Loaded = std::exchange(this->Loading, std::nullopt);
    this->Status.Version = this->Loaded->Version;
    this->Status.State = this->ColdSince == TimePoint::min() ? Readiness::Ready
                                                             : Readiness::Cold;
    this->Status.Answered = 0;
  }
  if (this->Status.State == Readiness::Cold &&
      Now - this->ColdSince >= this->Times.WarmUp)
    this->Status.State = Readiness::Ready;
  return Ended;
}

Announcement FakeEngine::announce() {
  ++this->Status.Sequence;
  return this->Status;
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
  ++this->Status.IncarnationNumber;
  this->Status.Sequence = 0;
  this->Status.State = Readiness::Starting;
  this->Status.Leaving = false;
  this->Status.Position = GroupPosition();
  this->Status.LastOrder = 0;
  this->Status.Running = 0;
  this->Status.Answered = 0;
  this->Loaded.reset();
  this->Loading.reset();
}

void FakeEngine::pause(TimePoint Now) {
  this->Paused = true;
  this->StoppedAt = Now;
}

void FakeEngine::resume() { this->Paused = false; }

void FakeEngine::coolDown(TimePoint Now) {
  if (this->Status.State != Readiness::Ready)
    return;
  this->Status.State = Readiness::Cold;
  this->Status.Answered = 0;
  this->ColdSince = Now;
  this->CooledDown = true;
}

std::optional<TimePoint>
FakeEngine::notMemberSince(const GroupPosition &Position,
                           Incarnation IncarnationNumber) const {
  if (!this->isRunning() || IncarnationNumber != this->Status.IncarnationNumber)
    return this->StoppedAt;
  if (this->Status.Position == Position)
    return std::nullopt;
  auto Found = this->LeftAt.find({Position.Number, Position.Rank});
  return Found == this->LeftAt.end() ? TimePoint() : Found->second;
}

} // namespace carobhinge
