//===- LibStandIn/GroupMember.cpp - Handling of group orders by an engine -===//

#include <LibStandIn/GroupMember.h>

#include <algorithm>

namespace carobhinge {

/// Duration of a join whose model is already in memory.
static constexpr auto RejoinTime = std::chrono::milliseconds(200);

OrderResult GroupMember::join(TimePoint Now, const EngineOrder &Order) {
  if (Order.Epoch < this->HighestEpoch)
    return OrderResult::Outdated;
  bool IsCurrentMembership = this->Membership &&
                             this->Membership->Group == Order.Group &&
                             this->Membership->Epoch == Order.Epoch;
  if (IsCurrentMembership)
    return this->Members == Order.Members ? OrderResult::Accepted
                                          : OrderResult::Outdated;
  const ModelSpec *Model = this->Spec.model(Order.Model);
  auto Rank = std::ranges::find(Order.Members, Order.Recipient);
  if (Model == nullptr || Rank == Order.Members.end())
    return OrderResult::Refused;
  bool IsStaged =
      std::ranges::find(this->Staged, Order.Model) != this->Staged.end();
  this->Loading = !IsStaged;
  Duration JoinTime = Model->LoadTime;
  if (IsStaged)
    JoinTime = this->CurrentModel == Order.Model ? Duration(RejoinTime)
                                                 : Model->StagedJoinTime;
  this->CompletionTime = Now + JoinTime;
  this->CurrentModel = Order.Model;
  this->HighestEpoch = Order.Epoch;
  this->Members = Order.Members;
  ++this->OrdersApplied;
  this->Membership =
      GroupMembership{.Group = Order.Group,
                      .Epoch = Order.Epoch,
                      .Rank = static_cast<int>(Rank - Order.Members.begin()),
                      .State = MemberState::Joining};
  return OrderResult::Accepted;
}

OrderResult GroupMember::handleOrder(TimePoint Now, const EngineOrder &Order) {
  if (Order.Token < this->HighestFencingToken)
    return OrderResult::Outdated;
  this->HighestFencingToken = Order.Token;
  if (Order.Verb == OrderVerb::Join)
    return this->join(Now, Order);
  bool IsMember = this->Membership && this->Membership->Group == Order.Group &&
                  this->Membership->Epoch == Order.Epoch;
  if (!IsMember)
    return OrderResult::Refused;
  if (Order.Verb == OrderVerb::Leave) {
    this->Membership.reset();
    this->CompletionTime.reset();
    this->Loading = false;
    ++this->OrdersApplied;
    return OrderResult::Accepted;
  }
  if (this->Membership->State == MemberState::Open)
    return OrderResult::Accepted;
  if (this->Membership->State != MemberState::Ready ||
      this->Membership->Rank != 0)
    return OrderResult::Refused;
  if (!this->CompletionTime) {
    this->CompletionTime = Now + this->Spec.OpenTime;
    ++this->OrdersApplied;
  }
  return OrderResult::Accepted;
}

bool GroupMember::advance(TimePoint Now) {
  if (!this->Membership || !this->CompletionTime || Now < *this->CompletionTime)
    return false;
  this->CompletionTime.reset();
  if (this->Membership->State == MemberState::Joining) {
    this->Membership->State = MemberState::Ready;
    this->Staged = {this->CurrentModel};
    this->Loading = false;
  } else {
    this->Membership->State = MemberState::Open;
  }
  return true;
}

int GroupMember::groupSize() const {
  const ModelSpec *Model = this->Spec.model(this->CurrentModel);
  return Model != nullptr ? Model->GroupSize : 0;
}

void GroupMember::markBroken() {
  if (this->Membership)
    this->Membership->State = MemberState::Broken;
}

void GroupMember::restart() {
  this->Membership.reset();
  this->Members.clear();
  this->CurrentModel.clear();
  this->Loading = false;
  this->CompletionTime.reset();
  this->HighestEpoch = 0;
  this->HighestFencingToken = 0;
  this->OrdersApplied = 0;
}

} // namespace carobhinge
