//===- LibStandIn/EngineCrowd.cpp - All engines of a service --------------===//

#include <LibStandIn/EngineCrowd.h>

#include <algorithm>

namespace carobhinge {

void EngineCrowd::checkJoin(const EngineOrder &Order, const GroupName &Left) {
  for (const auto &[Id, Engine] : this->Engines) {
    const auto &Membership = Engine.Member.membership();
    bool Serves = Engine.Alive && Membership && Membership->Group == Left &&
                  Membership->Rank == 0 &&
                  (Membership->State == MemberState::Open ||
                   Membership->State == MemberState::Closing);
    if (Serves)
      this->Broken.push_back(Order.To + " joined " + Order.Group + " while " +
                             Left + " was open");
  }
}

void EngineCrowd::checkOpen(const EngineOrder &Order) {
  const GroupMember &Head = this->Engines.at(Order.To).Member;
  if (static_cast<int>(Head.members().size()) != Head.groupSize())
    this->Broken.push_back(Order.Group + " was opened with " +
                           std::to_string(Head.members().size()) + " members");
  for (const EndpointName &Id : Head.members()) {
    auto Found = this->Engines.find(Id);
    // One that was ready and is lost is nobody's fault.
    if (Found == this->Engines.end() || !Found->second.Alive)
      continue;
    const auto &Its = Found->second.Member.membership();
    bool Ready = Its && Its->Group == Order.Group &&
                 Its->Epoch == Order.Epoch &&
                 Its->State != MemberState::Joining;
    if (!Ready)
      this->Broken.push_back(Order.Group + " was opened while " + Id +
                             " was no ready member");
  }
}

OrderResult EngineCrowd::carryOut(TimePoint Now, const EngineOrder &Order) {
  Entry &Engine = this->Engines.at(Order.To);
  GroupName Left;
  if (const auto &Before = Engine.Member.membership();
      Before && Before->Group != Order.Group)
    Left = Before->Group;
  OrderResult Result = Engine.Member.take(Now, Order);
  if (Result != OrderResult::Accepted)
    return Result;
  if (Order.Verb == OrderVerb::Join && !Left.empty())
    this->checkJoin(Order, Left);
  if (Order.Verb == OrderVerb::Open)
    this->checkOpen(Order);
  return Result;
}

bool EngineCrowd::isWhole(const EndpointName &Head) const {
  const GroupMember &First = this->Engines.at(Head).Member;
  const auto &Group = First.membership();
  return Group &&
         std::ranges::all_of(First.members(), [&](const EndpointName &Id) {
           auto Found = this->Engines.find(Id);
           if (Found == this->Engines.end() || !Found->second.Alive)
             return false;
           const auto &Its = Found->second.Member.membership();
           return Its && Its->Group == Group->Group &&
                  Its->Epoch == Group->Epoch &&
                  Its->State != MemberState::Joining;
         });
}

int EngineCrowd::loading() const {
  return static_cast<int>(
      std::ranges::count_if(this->Engines, [](const auto &Each) {
        return Each.second.Alive && Each.second.Member.isLoading();
      }));
}

} // namespace carobhinge
