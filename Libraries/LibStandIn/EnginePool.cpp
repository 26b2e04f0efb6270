//===- LibStandIn/EnginePool.cpp - Engines of a service -------------------===//

#include <LibStandIn/EnginePool.h>

#include <algorithm>

namespace carobhinge {

void EnginePool::checkJoin(const EngineOrder &Order,
                           const GroupName &PreviousGroup) {
  for (const auto &[Id, Engine] : this->Engines) {
    const auto &Membership = Engine.Member.membership();
    bool ServesPreviousGroup = Engine.Running && Membership &&
                               Membership->Group == PreviousGroup &&
                               Membership->Rank == 0 &&
                               (Membership->State == MemberState::Open ||
                                Membership->State == MemberState::Closing);
    if (ServesPreviousGroup)
      this->Violations.push_back(Order.Recipient + " joined " + Order.Group +
                                 " while " + PreviousGroup + " was open");
  }
}

void EnginePool::checkOpen(const EngineOrder &Order) {
  const GroupMember &Head = this->Engines.at(Order.Recipient).Member;
  if (static_cast<int>(Head.members().size()) != Head.groupSize())
    this->Violations.push_back(Order.Group + " was opened with " +
                               std::to_string(Head.members().size()) +
                               " members");
  for (const EndpointName &Id : Head.members()) {
    auto Found = this->Engines.find(Id);
    // Losing a member that was ready is not a violation.
    if (Found == this->Engines.end() || !Found->second.Running)
      continue;
    const auto &Membership = Found->second.Member.membership();
    bool Ready = Membership && Membership->Group == Order.Group &&
                 Membership->Epoch == Order.Epoch &&
                 Membership->State != MemberState::Joining;
    if (!Ready)
      this->Violations.push_back(Order.Group + " was opened while " + Id +
                                 " was not a ready member");
  }
}

OrderResult EnginePool::executeOrder(TimePoint Now, const EngineOrder &Order) {
  Entry &Engine = this->Engines.at(Order.Recipient);
  GroupName PreviousGroup;
  if (const auto &PreviousMembership = Engine.Member.membership();
      PreviousMembership && PreviousMembership->Group != Order.Group)
    PreviousGroup = PreviousMembership->Group;
  OrderResult Result = Engine.Member.handleOrder(Now, Order);
  if (Result != OrderResult::Accepted)
    return Result;
  if (Order.Verb == OrderVerb::Join && !PreviousGroup.empty())
    this->checkJoin(Order, PreviousGroup);
  if (Order.Verb == OrderVerb::Open)
    this->checkOpen(Order);
  return Result;
}

bool EnginePool::isComplete(const EndpointName &Head) const {
  const GroupMember &HeadMember = this->Engines.at(Head).Member;
  const auto &HeadMembership = HeadMember.membership();
  return HeadMembership &&
         std::ranges::all_of(HeadMember.members(), [&](const EndpointName &Id) {
           auto Found = this->Engines.find(Id);
           if (Found == this->Engines.end() || !Found->second.Running ||
               Found->second.Suspended)
             return false;
           const auto &Membership = Found->second.Member.membership();
           return Membership && Membership->Group == HeadMembership->Group &&
                  Membership->Epoch == HeadMembership->Epoch &&
                  Membership->State != MemberState::Joining;
         });
}

int EnginePool::loadingCount() const {
  return static_cast<int>(
      std::ranges::count_if(this->Engines, [](const auto &Each) {
        return Each.second.Running && Each.second.Member.isLoading();
      }));
}

} // namespace carobhinge
