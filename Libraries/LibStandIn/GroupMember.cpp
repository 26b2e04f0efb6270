//===- LibStandIn/GroupMember.cpp - An engine's side of orders ------------===//

#include <LibStandIn/GroupMember.h>

#include <algorithm>

namespace carobhinge {

/// A join of the model that is in memory already.
static constexpr auto RejoinTime = std::chrono::milliseconds(200);

OrderResult GroupMember::join(TimePoint Now, const EngineOrder &Order) {
  if (Order.Epoch < this->HighestEpoch)
    return OrderResult::Outdated;
  bool Same = this->Membership && this->Membership->Group == Order.Group &&
              this->Membership->Epoch == Order.Epoch;
  if (Same)
    return this->Members == Order.Members ? OrderResult::Accepted
                                          : OrderResult::Outdated;
  const ModelSpec *Model = this->Spec.model(Order.Model);
  auto Rank = std::ranges::find(Order.Members, Order.To);
  if (Model == nullptr || Rank == Order.Members.end())
    return OrderResult::Refused;
  bool Holds =
      std::ranges::find(this->Staged, Order.Model) != this->Staged.end();
  this->Loading = !Holds;
  Duration Time = Model->LoadTime;
  if (Holds)
    Time = this->InMemory == Order.Model ? Duration(RejoinTime)
                                         : Model->StagedJoinTime;
  this->DoneAt = Now + Time;
  this->InMemory = Order.Model;
  this->HighestEpoch = Order.Epoch;
  this->Members = Order.Members;
  ++this->OrdersTaken;
  this->Membership =
      GroupMembership{.Group = Order.Group,
                      .Epoch = Order.Epoch,
                      .Rank = static_cast<int>(Rank - Order.Members.begin()),
                      .State = MemberState::Joining};
  return OrderResult::Accepted;
}

OrderResult GroupMember::take(TimePoint Now, const EngineOrder &Order) {
  if (Order.Token < this->HighestFence)
    return OrderResult::Outdated;
  this->HighestFence = Order.Token;
  if (Order.Verb == OrderVerb::Join)
    return this->join(Now, Order);
  bool Fits = this->Membership && this->Membership->Group == Order.Group &&
              this->Membership->Epoch == Order.Epoch;
  if (!Fits)
    return OrderResult::Refused;
  if (Order.Verb == OrderVerb::Leave) {
    this->Membership.reset();
    this->DoneAt.reset();
    this->Loading = false;
    ++this->OrdersTaken;
    return OrderResult::Accepted;
  }
  if (this->Membership->State == MemberState::Open)
    return OrderResult::Accepted;
  if (this->Membership->State != MemberState::Ready ||
      this->Membership->Rank != 0)
    return OrderResult::Refused;
  if (!this->DoneAt) {
    this->DoneAt = Now + this->Spec.OpenTime;
    ++this->OrdersTaken;
  }
  return OrderResult::Accepted;
}

bool GroupMember::advance(TimePoint Now) {
  if (!this->Membership || !this->DoneAt || Now < *this->DoneAt)
    return false;
  this->DoneAt.reset();
  if (this->Membership->State == MemberState::Joining) {
    this->Membership->State = MemberState::Ready;
    this->Staged = {this->InMemory};
    this->Loading = false;
  } else {
    this->Membership->State = MemberState::Open;
  }
  return true;
}

int GroupMember::groupSize() const {
  const ModelSpec *Model = this->Spec.model(this->InMemory);
  return Model != nullptr ? Model->GroupSize : 0;
}

void GroupMember::breakOff() {
  if (this->Membership)
    this->Membership->State = MemberState::Broken;
}

void GroupMember::restart() {
  this->Membership.reset();
  this->Members.clear();
  this->InMemory.clear();
  this->Loading = false;
  this->DoneAt.reset();
  this->HighestEpoch = 0;
  this->HighestFence = 0;
  this->OrdersTaken = 0;
}

} // namespace carobhinge
