//===- LibFormation/FormationPlanner.cpp - Lifecycle of a group -----------===//
///
/// \file
/// Joining, opening, repair and dissolution of groups. FormationPools.cpp
/// divides domains into groups.
///
//===----------------------------------------------------------------------===//

#include <LibFormation/FormationPlanner.h>
#include <LibFormation/GroupNames.h>
#include <algorithm>
#include <cassert>
#include <utility>

namespace carobhinge {

void FormationPlanner::startLeading(TimePoint Now, FencingToken NewToken,
                                    const Catalog &CurrentCatalog,
                                    TimePoint ReportsCompleteAt) {
  assert(NewToken >= this->LeaderToken &&
         "The fencing token must not decrease from leader to leader");
  // The very first leader has no predecessor whose orders may still arrive.
  this->TakeoverEndsAt = this->Engines.all().empty()
                             ? TimePoint()
                             : Now + this->Options.TakeoverDelay;
  this->TakeoverEndsAt = std::max(this->TakeoverEndsAt, ReportsCompleteAt);
  this->LeaderToken = NewToken;
  // With the fencing token in the upper bits, epochs increase over leaders.
  this->LastEpoch = NewToken << 20U;
  this->Groups.clear();
  this->Reserves.clear();
  this->LastOrders.clear();
  this->restoreGroups(Now, CurrentCatalog);
  ++this->Revision;
}

/// Restores the groups of earlier leaders from the engines' reports.
void FormationPlanner::restoreGroups(TimePoint Now,
                                     const Catalog &CurrentCatalog) {
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
  for (const auto &[Name, MembersByRank] : Found)
    this->restoreGroup(Now, CurrentCatalog, Name, Epochs[Name], MembersByRank);
}

/// A group whose head reports it as open has had all its members, so it serves
/// on before the others have reported; advanceOpen() replaces those that don't.
/// Of other incomplete groups the members are ordered to leave.
void FormationPlanner::restoreGroup(
    TimePoint Now, const Catalog &CurrentCatalog, const GroupName &Name,
    std::uint64_t Epoch,
    const std::map<int, const EngineRecord *> &MembersByRank) {
  const EngineReport &First = MembersByRank.begin()->second->Report;
  const Service *ServiceSpec = CurrentCatalog.service(First.Service);
  const ModelSpec *Model =
      ServiceSpec != nullptr && ServiceSpec->Engine
          ? ServiceSpec->Engine->model(modelFromGroupName(Name))
          : nullptr;
  if (Model == nullptr)
    return;
  PlannedGroup Group{.Name = Name,
                     .Service = First.Service,
                     .Model = Model->Name,
                     .Fabric = First.Fabric,
                     .Epoch = Epoch,
                     .Members = {},
                     .Phase = GroupPhase::Joining,
                     .LastActionAt = Now,
                     .ReadyDeadline = Now + Model->LoadTime};
  for (const auto &[Rank, Record] : MembersByRank)
    Group.Members.push_back(Record->Report.Id);
  if (isReserveName(Name)) {
    this->Reserves[First.Id] = std::move(Group);
    return;
  }
  bool HasHead = MembersByRank.begin()->first == 0;
  bool IsComplete =
      HasHead && static_cast<int>(MembersByRank.size()) == Model->GroupSize &&
      MembersByRank.rbegin()->first == Model->GroupSize - 1;
  MemberState HeadState = First.Group->State;
  if (HasHead &&
      (HeadState == MemberState::Open || HeadState == MemberState::Closing))
    Group.Phase = GroupPhase::Open;
  else if (!IsComplete)
    Group.Phase = GroupPhase::Dissolving;
  this->Groups[Name] = std::move(Group);
}

bool FormationPlanner::markEngineLost(const EndpointName &Id,
                                      const EngineLoss &Loss) {
  auto [Known, IsNew] = this->LostEngines.try_emplace(Id, Loss);
  // Silence doesn't take back a refusal.
  if (IsNew || Loss.Reason != LossReason::Refused)
    return IsNew;
  LossReason Before = std::exchange(Known->second, Loss).Reason;
  return Before != LossReason::Refused;
}

void FormationPlanner::markEngineFound(TimePoint Now, const EndpointName &Id) {
  if (this->LostEngines.erase(Id) > 0)
    this->RecoveredAt[Id] = Now;
}

bool FormationPlanner::markStandingStill(const GroupName &Name,
                                         std::uint64_t Epoch) {
  return std::exchange(this->StandingStill[Name], Epoch) != Epoch;
}

std::uint64_t FormationPlanner::nextEpoch() { return ++this->LastEpoch; }

void FormationPlanner::enterPhase(TimePoint Now, PlannedGroup &Group,
                                  GroupPhase Phase) {
  Group.Phase = Phase;
  Group.LastActionAt = Now;
  ++this->Revision;
}

/// \returns whether the engine is reachable and isn't leaving.
bool FormationPlanner::isUsable(const EndpointName &Id) const {
  const EngineRecord *Record = this->Engines.find(Id);
  return Record != nullptr && !Record->Report.Leaving &&
         !this->LostEngines.contains(Id);
}

/// \returns whether a lost member may be sound and working in \p Group: it is
/// only silent, and no other member was heard for EndingSilence meanwhile. Its
/// silence may then be that of the links between the group and this host.
bool FormationPlanner::mayBeSound(TimePoint Now, const EndpointName &Id,
                                  const PlannedGroup &Group) const {
  auto Lost = this->LostEngines.find(Id);
  if (Lost == this->LostEngines.end() || this->Engines.find(Id) == nullptr ||
      Lost->second.Reason != LossReason::Silent)
    return false;
  return std::ranges::none_of(Group.Members, [&](const EndpointName &Other) {
    const EngineRecord *Record = this->Engines.find(Other);
    auto Recovered = this->RecoveredAt.find(Other);
    return Record != nullptr && !this->LostEngines.contains(Other) &&
           Record->LastReportAt > Lost->second.Since &&
           (Recovered == this->RecoveredAt.end() ||
            Now - Recovered->second >= EndingSilence);
  });
}

/// \returns whether the engine must not join a group now: it failed to join
/// recently, or it hasn't reported since this host took over.
bool FormationPlanner::isQuarantined(const EngineRecord &Record) const {
  return this->QuarantinedUntil.contains(Record.Report.Id) ||
         Record.LastReportAt < this->TakeoverEndsAt;
}

/// \returns the membership that the engine reports, if it is in the newest
/// member list of \p Group, or null.
const GroupMembership *
FormationPlanner::findMembership(const EndpointName &Id,
                                 const PlannedGroup &Group) const {
  const EngineRecord *Record = this->Engines.find(Id);
  if (Record == nullptr || !Record->Report.Group ||
      Record->Report.Group->Group != Group.Name ||
      Record->Report.Group->Epoch != Group.Epoch)
    return nullptr;
  return &*Record->Report.Group;
}

void FormationPlanner::issueOrder(TimePoint Now, const EndpointName &Recipient,
                                  OrderVerb Verb, const PlannedGroup &Group) {
  const EngineRecord *Record = this->Engines.find(Recipient);
  if (Record == nullptr || this->LostEngines.contains(Recipient))
    return;
  SentOrder &Last = this->LastOrders[Recipient];
  bool IsResend = Last.Verb == Verb && Last.Group == Group.Name &&
                  Last.Epoch == Group.Epoch;
  if (IsResend && Now - Last.SentAt < this->Options.OrderResendInterval)
    return;
  // An accepted join may take as long as a load. The engine reports its end.
  if (IsResend && Last.Result == OrderResult::Accepted &&
      Verb == OrderVerb::Join &&
      this->findMembership(Recipient, Group) != nullptr)
    return;
  Last = {.Verb = Verb,
          .Group = Group.Name,
          .Epoch = Group.Epoch,
          .SentAt = Now,
          .Result = OrderResult::Unanswered};
  this->PendingOrders.push_back(
      {.Recipient = Recipient,
       .Address = Record->Report.Address,
       .Verb = Verb,
       .Group = Group.Name,
       .Epoch = Group.Epoch,
       .Model = Verb == OrderVerb::Join ? Group.Model : "",
       .Members = Verb == OrderVerb::Join ? Group.Members
                                          : std::vector<EndpointName>(),
       .Token = this->LeaderToken});
  if (Verb == OrderVerb::Join)
    this->LoadedModels[Recipient] = {Record->Report.StartedAtMs, Group.Model};
}

void FormationPlanner::recordOrderResult(TimePoint, const EngineOrder &Order,
                                         OrderResult Result) {
  auto Found = this->LastOrders.find(Order.Recipient);
  if (Found == this->LastOrders.end() || Found->second.Verb != Order.Verb ||
      Found->second.Group != Order.Group || Found->second.Epoch != Order.Epoch)
    return;
  Found->second.Result = Result;
}

std::vector<EngineOrder> FormationPlanner::plan(TimePoint Now,
                                                const Catalog &CurrentCatalog) {
  if (Now < this->TakeoverEndsAt) {
    this->Groups.clear();
    this->Reserves.clear();
    this->restoreGroups(Now, CurrentCatalog);
    return {};
  }
  std::erase_if(this->Groups, [&](const auto &Entry) {
    return CurrentCatalog.service(Entry.second.Service) == nullptr ||
           Entry.second.Members.empty();
  });
  for (auto &[Name, Group] : this->Groups)
    this->advance(Now, *CurrentCatalog.service(Group.Service), Group);
  std::erase_if(this->Groups,
                [](const auto &Entry) { return Entry.second.Members.empty(); });
  std::erase_if(this->StandingStill, [&](const auto &Entry) {
    return !this->Groups.contains(Entry.first);
  });
  std::erase_if(this->QuarantinedUntil,
                [&](const auto &Entry) { return Entry.second <= Now; });
  std::erase_if(this->RecoveredAt, [&](const auto &Entry) {
    return Now - Entry.second >
           std::max(this->Options.StabilizationTime, EndingSilence);
  });
  this->releaseOrphans(Now);
  for (const Service &ServiceSpec : CurrentCatalog.Services)
    if (ServiceSpec.Engine)
      this->formGroups(Now, ServiceSpec);
  return std::exchange(this->PendingOrders, {});
}

void FormationPlanner::advance(TimePoint Now, const Service &ServiceSpec,
                               PlannedGroup &Group) {
  if (!ServiceSpec.Engine || ServiceSpec.Engine->model(Group.Model) == nullptr)
    return this->dissolve(Now, Group);
  switch (Group.Phase) {
  case GroupPhase::Joining:
  case GroupPhase::Opening:
    return this->advanceJoining(Now, ServiceSpec, Group);
  case GroupPhase::Open:
  case GroupPhase::Finishing:
  case GroupPhase::Silent:
    return this->advanceOpen(Now, ServiceSpec, Group);
  case GroupPhase::Dissolving:
    return this->advanceDissolving(Now, Group);
  }
}

void FormationPlanner::advanceJoining(TimePoint Now, const Service &ServiceSpec,
                                      PlannedGroup &Group) {
  bool AllReady = true;
  bool Silent = false;
  for (const EndpointName &Id : Group.Members) {
    if (this->mayBeSound(Now, Id, Group)) {
      Silent = true;
      continue;
    }
    if (!this->isUsable(Id))
      return this->repair(Now, ServiceSpec, Group);
    const GroupMembership *Member = this->findMembership(Id, Group);
    if (Member == nullptr)
      this->issueOrder(Now, Id, OrderVerb::Join, Group);
    if (Member == nullptr || Member->State == MemberState::Joining)
      AllReady = false;
  }
  if (Silent)
    return;
  if (!AllReady) {
    if (Now < Group.ReadyDeadline)
      return;
    for (const EndpointName &Id : Group.Members) {
      const GroupMembership *Member = this->findMembership(Id, Group);
      if (Member == nullptr || Member->State == MemberState::Joining)
        this->QuarantinedUntil[Id] = Now + this->Options.QuarantineTime;
    }
    return this->dissolve(Now, Group);
  }
  if (Group.Phase == GroupPhase::Joining)
    this->enterPhase(Now, Group, GroupPhase::Opening);
  const GroupMembership *Head = this->findMembership(Group.head(), Group);
  if (Head->State == MemberState::Open)
    return this->enterPhase(Now, Group, GroupPhase::Open);
  if (Head->State == MemberState::Broken)
    return this->dissolve(Now, Group);
  if (Now - Group.LastActionAt <
          ServiceSpec.Engine->OpenTime + this->Options.OrderResendInterval &&
      Now != Group.LastActionAt)
    return;
  Group.LastActionAt = Now;
  this->issueOrder(Now, Group.head(), OrderVerb::Open, Group);
}

void FormationPlanner::advanceOpen(TimePoint Now, const Service &ServiceSpec,
                                   PlannedGroup &Group) {
  // A member that a new leader has no report of.
  if (static_cast<int>(Group.Members.size()) <
      ServiceSpec.Engine->model(Group.Model)->GroupSize)
    return this->repair(Now, ServiceSpec, Group);
  auto Still = this->StandingStill.find(Group.Name);
  if (Still != this->StandingStill.end() && Still->second == Group.Epoch)
    return this->repair(Now, ServiceSpec, Group);
  bool Leaving = false;
  bool Silent = false;
  for (const EndpointName &Id : Group.Members) {
    if (this->mayBeSound(Now, Id, Group)) {
      Silent = true;
      continue;
    }
    if (this->LostEngines.contains(Id) || this->Engines.find(Id) == nullptr)
      return this->repair(Now, ServiceSpec, Group);
    const EngineReport &Report = this->Engines.find(Id)->Report;
    // A member that restarted or reports another group has left this one.
    if (this->findMembership(Id, Group) == nullptr ||
        Report.Group->State == MemberState::Broken)
      return this->repair(Now, ServiceSpec, Group);
    Leaving = Leaving || Report.Leaving;
  }
  if (Silent) {
    if (Group.Phase != GroupPhase::Silent)
      this->enterPhase(Now, Group, GroupPhase::Silent);
    return;
  }
  if (Group.Phase == GroupPhase::Silent)
    this->enterPhase(Now, Group, GroupPhase::Open);
  if (!Leaving)
    return;
  if (Group.Phase == GroupPhase::Open)
    this->enterPhase(Now, Group, GroupPhase::Finishing);
  else if (Now - Group.LastActionAt >= this->Options.FinishTime)
    this->repair(Now, ServiceSpec, Group);
}

/// Replaces unusable members with engines of the same fabric domain, or
/// dissolves the group if there are too few.
void FormationPlanner::repair(TimePoint Now, const Service &ServiceSpec,
                              PlannedGroup &Group) {
  std::vector<EndpointName> Remaining;
  for (const EndpointName &Id : Group.Members)
    if (this->isUsable(Id))
      Remaining.push_back(Id);
  PlannedGroup Next = Group;
  Next.Members = Remaining;
  const ModelSpec &Model = *ServiceSpec.Engine->model(Group.Model);
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
    Group.ReadyDeadline = Now + this->joinTime(Model, Group.Members);
    this->enterPhase(Now, Group, GroupPhase::Joining);
    return this->advanceJoining(Now, ServiceSpec, Group);
  }
  this->dissolve(Now, Group);
}

void FormationPlanner::dissolve(TimePoint Now, PlannedGroup &Group) {
  if (Group.Phase != GroupPhase::Dissolving)
    this->enterPhase(Now, Group, GroupPhase::Dissolving);
  this->advanceDissolving(Now, Group);
}

void FormationPlanner::advanceDissolving(TimePoint Now, PlannedGroup &Group) {
  std::erase_if(Group.Members, [&](const EndpointName &Id) {
    return !this->isUsable(Id) || this->findMembership(Id, Group) == nullptr;
  });
  for (const EndpointName &Id : Group.Members)
    this->issueOrder(Now, Id, OrderVerb::Leave, Group);
  if (Group.Members.empty())
    ++this->Revision;
}

} // namespace carobhinge
