//===- LibFormation/FormationPlanner.cpp - The life of a group ------------===//
///
/// \file
/// Joining, opening, repair and dissolution. How domains are divided into
/// groups stands in FormationPools.cpp.
///
//===----------------------------------------------------------------------===//

#include <LibFormation/FormationPlanner.h>
#include <LibFormation/GroupNames.h>
#include <algorithm>
#include <cassert>
#include <utility>

namespace carobhinge {

void FormationPlanner::lead(TimePoint Now, FencingNumber Fence,
                            const Catalog &InForce, TimePoint HeardBy) {
  assert(Fence >= this->Fence && "Fences grow from leader to leader");
  // The very first leader follows nobody.
  this->LeadingSince =
      this->Engines.all().empty() ? TimePoint() : Now + this->Options.HandOver;
  this->LeadingSince = std::max(this->LeadingSince, HeardBy);
  this->Fence = Fence;
  // The fence in the upper bits makes epochs grow from leader to leader.
  this->LastEpoch = Fence << 20U;
  this->Groups.clear();
  this->Reserves.clear();
  this->Sent.clear();
  this->Assigned.clear();
  this->adoptGroups(Now, InForce);
  ++this->Revision;
}

/// Groups that an earlier leader formed, as the engines report them.
void FormationPlanner::adoptGroups(TimePoint Now, const Catalog &InForce) {
  std::map<GroupName, std::map<int, const EngineRecord *>> Found;
  std::map<GroupName, std::uint64_t> Epochs;
  for (const auto &[Id, Record] : this->Engines.all())
    if (Record.Report.Group) {
      std::uint64_t &Epoch = Epochs[Record.Report.Group->Group];
      Epoch = std::max(Epoch, Record.Report.Group->Epoch);
    }
  for (const auto &[Id, Record] : this->Engines.all()) {
    const auto &Member = Record.Report.Group;
    if (Member && Member->Epoch == Epochs[Member->Group])
      Found[Member->Group][Member->Rank] = &Record;
  }
  for (const auto &[Name, ByRank] : Found) {
    const EngineReport &First = ByRank.begin()->second->Report;
    const Service *Of = InForce.service(First.Service);
    const ModelSpec *Model = Of != nullptr && Of->Engine
                                 ? Of->Engine->model(modelOfGroup(Name))
                                 : nullptr;
    if (Model == nullptr)
      continue;
    PlannedGroup Group{.Name = Name,
                       .Service = First.Service,
                       .Model = Model->Name,
                       .Fabric = First.Fabric,
                       .Epoch = Epochs[Name],
                       .Members = {},
                       .Phase = GroupPhase::Joining,
                       .Since = Now,
                       .ReadyBy = Now + Model->LoadTime};
    for (const auto &[Rank, Record] : ByRank)
      Group.Members.push_back(Record->Report.Id);
    if (isReserveName(Name)) {
      this->Reserves[First.Id] = std::move(Group);
      continue;
    }
    bool Whole = static_cast<int>(ByRank.size()) == Model->GroupSize &&
                 ByRank.begin()->first == 0 &&
                 ByRank.rbegin()->first == Model->GroupSize - 1;
    MemberState Head = First.Group->State;
    if (Whole && (Head == MemberState::Open || Head == MemberState::Closing))
      Group.Phase = GroupPhase::Open;
    if (!Whole)
      Group.Phase = GroupPhase::Dissolving;
    this->Assigned[Group.Fabric] = Group.Model;
    this->Groups[Name] = std::move(Group);
  }
}

void FormationPlanner::engineLost(TimePoint Now, const EndpointName &Id) {
  this->Lost.try_emplace(Id, Now);
}

void FormationPlanner::engineFound(TimePoint Now, const EndpointName &Id) {
  if (this->Lost.erase(Id) > 0)
    this->FoundAt[Id] = Now;
}

std::uint64_t FormationPlanner::nextEpoch() { return ++this->LastEpoch; }

void FormationPlanner::enter(TimePoint Now, PlannedGroup &Group,
                             GroupPhase Phase) {
  Group.Phase = Phase;
  Group.Since = Now;
  ++this->Revision;
}

/// Whether orders reach the engine and it stays.
bool FormationPlanner::isUsable(const EndpointName &Id) const {
  const EngineRecord *Record = this->Engines.find(Id);
  return Record != nullptr && !Record->Report.Leaving &&
         !this->Lost.contains(Id);
}

/// Whether the engine isn't to be taken into a group for now.
bool FormationPlanner::isDistrusted(const EngineRecord &Record) const {
  return this->DistrustedUntil.contains(Record.Report.Id) ||
         Record.HeardAt < this->LeadingSince;
}

/// What the engine reports of its place in the newest list of \p Group.
const GroupMembership *
FormationPlanner::membership(const EndpointName &Id,
                             const PlannedGroup &Group) const {
  const EngineRecord *Record = this->Engines.find(Id);
  if (Record == nullptr || !Record->Report.Group ||
      Record->Report.Group->Group != Group.Name ||
      Record->Report.Group->Epoch != Group.Epoch)
    return nullptr;
  return &*Record->Report.Group;
}

void FormationPlanner::order(TimePoint Now, const EndpointName &To,
                             OrderVerb Verb, const PlannedGroup &Group) {
  const EngineRecord *Record = this->Engines.find(To);
  if (Record == nullptr || this->Lost.contains(To))
    return;
  SentOrder &Last = this->Sent[To];
  bool Same = Last.Verb == Verb && Last.Group == Group.Name &&
              Last.Epoch == Group.Epoch;
  if (Same && Now - Last.At < this->Options.RepeatAfter)
    return;
  // An accepted join may take as long as a load; the engine will report.
  if (Same && Last.Result == OrderResult::Accepted && Verb == OrderVerb::Join &&
      this->membership(To, Group) != nullptr)
    return;
  Last = {.Verb = Verb,
          .Group = Group.Name,
          .Epoch = Group.Epoch,
          .At = Now,
          .Result = OrderResult::Unanswered};
  this->Orders.push_back({.To = To,
                          .Address = Record->Report.Address,
                          .Verb = Verb,
                          .Group = Group.Name,
                          .Epoch = Group.Epoch,
                          .Model = Verb == OrderVerb::Join ? Group.Model : "",
                          .Members = Verb == OrderVerb::Join
                                         ? Group.Members
                                         : std::vector<EndpointName>(),
                          .Fence = this->Fence});
  if (Verb == OrderVerb::Join)
    this->InMemory[To] = {Record->Report.BornMs, Group.Model};
}

void FormationPlanner::answered(TimePoint, const EngineOrder &Order,
                                OrderResult Result) {
  auto Found = this->Sent.find(Order.To);
  if (Found == this->Sent.end() || Found->second.Verb != Order.Verb ||
      Found->second.Group != Order.Group || Found->second.Epoch != Order.Epoch)
    return;
  Found->second.Result = Result;
}

std::vector<EngineOrder> FormationPlanner::plan(TimePoint Now,
                                                const Catalog &InForce) {
  if (Now < this->LeadingSince) {
    this->Groups.clear();
    this->Reserves.clear();
    this->adoptGroups(Now, InForce);
    return {};
  }
  std::erase_if(this->Groups, [&](const auto &Entry) {
    return InForce.service(Entry.second.Service) == nullptr ||
           Entry.second.Members.empty();
  });
  for (auto &[Name, Group] : this->Groups)
    this->advance(Now, *InForce.service(Group.Service), Group);
  std::erase_if(this->Groups,
                [](const auto &Entry) { return Entry.second.Members.empty(); });
  std::erase_if(this->DistrustedUntil,
                [&](const auto &Entry) { return Entry.second <= Now; });
  std::erase_if(this->FoundAt, [&](const auto &Entry) {
    return Now - Entry.second > this->Options.Settle;
  });
  this->releaseStrays(Now);
  for (const Service &Of : InForce.Services)
    if (Of.Engine)
      this->formGroups(Now, Of);
  return std::exchange(this->Orders, {});
}

void FormationPlanner::advance(TimePoint Now, const Service &Of,
                               PlannedGroup &Group) {
  if (!Of.Engine || Of.Engine->model(Group.Model) == nullptr)
    return this->dissolve(Now, Group);
  switch (Group.Phase) {
  case GroupPhase::Joining:
  case GroupPhase::Opening:
    return this->advanceJoining(Now, Of, Group);
  case GroupPhase::Open:
  case GroupPhase::Finishing:
    return this->advanceOpen(Now, Of, Group);
  case GroupPhase::Dissolving:
    return this->advanceDissolving(Now, Group);
  }
}

void FormationPlanner::advanceJoining(TimePoint Now, const Service &Of,
                                      PlannedGroup &Group) {
  bool AllReady = true;
  for (const EndpointName &Id : Group.Members) {
    if (!this->isUsable(Id))
      return this->repair(Now, Of, Group);
    const GroupMembership *Member = this->membership(Id, Group);
    if (Member == nullptr)
      this->order(Now, Id, OrderVerb::Join, Group);
    if (Member == nullptr || Member->State == MemberState::Joining)
      AllReady = false;
  }
  if (!AllReady) {
    if (Now < Group.ReadyBy)
      return;
    for (const EndpointName &Id : Group.Members) {
      const GroupMembership *Member = this->membership(Id, Group);
      if (Member == nullptr || Member->State == MemberState::Joining)
        this->DistrustedUntil[Id] = Now + this->Options.Distrust;
    }
    return this->dissolve(Now, Group);
  }
  if (Group.Phase == GroupPhase::Joining)
    this->enter(Now, Group, GroupPhase::Opening);
  const GroupMembership *Head = this->membership(Group.head(), Group);
  if (Head->State == MemberState::Open)
    return this->enter(Now, Group, GroupPhase::Open);
  if (Head->State == MemberState::Broken)
    return this->dissolve(Now, Group);
  if (Now - Group.Since < Of.Engine->OpenTime + this->Options.RepeatAfter &&
      Now != Group.Since)
    return;
  Group.Since = Now;
  this->order(Now, Group.head(), OrderVerb::Open, Group);
}

void FormationPlanner::advanceOpen(TimePoint Now, const Service &Of,
                                   PlannedGroup &Group) {
  bool Leaving = false;
  for (const EndpointName &Id : Group.Members) {
    if (this->Lost.contains(Id) || this->Engines.find(Id) == nullptr)
      return this->repair(Now, Of, Group);
    const EngineReport &Report = this->Engines.find(Id)->Report;
    // A member that started anew or is elsewhere has left the group.
    if (this->membership(Id, Group) == nullptr ||
        Report.Group->State == MemberState::Broken)
      return this->repair(Now, Of, Group);
    Leaving = Leaving || Report.Leaving;
  }
  if (!Leaving)
    return;
  if (Group.Phase == GroupPhase::Open)
    this->enter(Now, Group, GroupPhase::Finishing);
  else if (Now - Group.Since >= this->Options.FinishTime)
    this->repair(Now, Of, Group);
}

/// Puts engines of the same domain into the places of members that are gone.
void FormationPlanner::repair(TimePoint Now, const Service &Of,
                              PlannedGroup &Group) {
  std::vector<EndpointName> Kept;
  for (const EndpointName &Id : Group.Members)
    if (this->isUsable(Id))
      Kept.push_back(Id);
  PlannedGroup Next = Group;
  Next.Members = Kept;
  const ModelSpec &Model = *Of.Engine->model(Group.Model);
  while (static_cast<int>(Next.Members.size()) < Model.GroupSize) {
    std::optional<EndpointName> Found = this->findReplacement(Next);
    if (!Found)
      break;
    Next.Members.push_back(*Found);
  }
  if (static_cast<int>(Next.Members.size()) == Model.GroupSize) {
    for (const EndpointName &Id : Next.Members)
      this->Reserves.erase(Id);
    Next.Epoch = this->nextEpoch();
    Group = std::move(Next);
    Group.ReadyBy = Now + this->joinTime(Model, Group.Members);
    this->enter(Now, Group, GroupPhase::Joining);
    return this->advanceJoining(Now, Of, Group);
  }
  this->dissolve(Now, Group);
}

void FormationPlanner::dissolve(TimePoint Now, PlannedGroup &Group) {
  if (Group.Phase != GroupPhase::Dissolving)
    this->enter(Now, Group, GroupPhase::Dissolving);
  this->advanceDissolving(Now, Group);
}

void FormationPlanner::advanceDissolving(TimePoint Now, PlannedGroup &Group) {
  std::erase_if(Group.Members, [&](const EndpointName &Id) {
    return !this->isUsable(Id) || this->membership(Id, Group) == nullptr;
  });
  for (const EndpointName &Id : Group.Members)
    this->order(Now, Id, OrderVerb::Leave, Group);
  if (Group.Members.empty())
    ++this->Revision;
}

} // namespace carobhinge
