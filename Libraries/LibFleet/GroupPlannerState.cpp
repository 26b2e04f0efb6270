//===- LibFleet/GroupPlannerState.cpp - Derives the state of the groups ---===//
///
/// \file
/// Adopts the groups of an earlier grant holder and derives each group's state
/// from its members' announcements.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/GroupPlanner.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace carobhinge {

GroupPosition GroupPlanner::positionOf(const ManagedGroup &Group,
                                       std::uint32_t Rank) const {
  return {.Group = Group.Name,
          .Number = Group.Number,
          .Rank = Rank,
          .Size = static_cast<std::uint32_t>(Group.Members.size())};
}

/// Announcements have precedence: a group that all its members announce is
/// adopted first. The newest roster adds the groups that are incomplete. A new
/// grant holder may have no roster and only some members' announcements. It
/// then adopts the group with these members, and identifyMembers() adds the
/// others later.
void GroupPlanner::adoptGroups(TimePoint Now) {
  this->Groups.clear();
  this->adoptAnnouncedGroups(Now);
  this->adoptRoster(Now);
  this->HasAdoptedGroups = true;
}

void GroupPlanner::adoptAnnouncedGroups(TimePoint Now) {
  using GroupId = std::tuple<GroupName, FencingToken, std::uint32_t>;
  std::map<GroupId, ManagedGroup> AnnouncedGroups;
  std::map<GroupId, std::set<std::uint32_t>> Ranks;
  for (const auto &[Name, Entry] : this->Inventory.all()) {
    const GroupPosition &Position = Entry.announcement().Position;
    Duration AnnouncementAge = Now - Entry.Latest.ReceivedAt;
    if (AnnouncementAge >=
            Entry.announcement().Lifetime + this->Options.LossTimeout ||
        Position.Group.empty())
      continue;
    GroupId Id(Position.Group, Position.Number, Position.Size);
    ManagedGroup &Group = AnnouncedGroups[Id];
    Group.Name = Position.Group;
    Group.Number = Position.Number;
    Group.Service = Entry.announcement().Service;
    Group.Version = Entry.announcement().Version;
    Group.FabricDomain = Entry.announcement().FabricDomain;
    // Assume serving, as requests may be running in the group.
    Group.State = GroupState::Serving;
    Group.FormedAt = Now;
    Group.Members.resize(Position.Size, {.HasJoined = true});
    Group.Members[Position.Rank] = {.Endpoint = Name,
                                    .IncarnationNumber =
                                        Entry.announcement().IncarnationNumber,
                                    .HasJoined = true};
    Ranks[Id].insert(Position.Rank);
  }
  // Larger numbers of the same group come later and replace earlier ones.
  for (auto &[Id, Group] : AnnouncedGroups) {
    bool IsComplete = Ranks[Id].size() == Group.Members.size();
    if (IsComplete || !this->isListed(Group))
      this->Groups.insert_or_assign(std::get<GroupName>(Id), std::move(Group));
    else
      this->Groups.erase(std::get<GroupName>(Id));
  }
}

/// True if the newest roster lists the group and thus all its members.
bool GroupPlanner::isListed(const ManagedGroup &Group) const {
  return std::ranges::any_of(
      this->NewestRoster.Groups, [&Group](const RosterGroup &Listed) {
        return Listed.Group == Group.Name && Listed.Number == Group.Number;
      });
}

/// Adds members whose announcements were missing when the group was adopted.
void GroupPlanner::identifyMembers(TimePoint Now, ManagedGroup &Group) {
  for (std::uint32_t Rank = 0; Rank < Group.Members.size(); ++Rank) {
    if (!Group.Members[Rank].Endpoint.empty())
      continue;
    for (const auto &[Name, Entry] : this->Inventory.all())
      if (Entry.Latest.isFresh(Now) &&
          Entry.announcement().Position == this->positionOf(Group, Rank))
        Group.Members[Rank] = {.Endpoint = Name,
                               .IncarnationNumber =
                                   Entry.announcement().IncarnationNumber,
                               .HasJoined = true};
  }
}

/// Adopts broken groups last: a member that one of them lost may have a
/// position in another group.
void GroupPlanner::adoptRoster(TimePoint Now) {
  std::set<EndpointName> AssignedEndpoints;
  for (const auto &[Name, Group] : this->Groups)
    for (const GroupMember &Member : Group.Members)
      AssignedEndpoints.insert(Member.Endpoint);
  std::vector<RosterGroup> Sorted = this->NewestRoster.Groups;
  std::stable_partition(Sorted.begin(), Sorted.end(),
                        [](const RosterGroup &Listed) {
                          return Listed.State != GroupState::Broken;
                        });
  for (const RosterGroup &Listed : Sorted) {
    bool IsAdopted =
        this->Groups.contains(Listed.Group) ||
        std::ranges::any_of(
            Listed.Members, [&AssignedEndpoints](const RosterMember &Member) {
              return !Member.Endpoint.empty() &&
                     AssignedEndpoints.contains(Member.Endpoint);
            });
    if (IsAdopted)
      continue;
    for (const RosterMember &Member : Listed.Members)
      AssignedEndpoints.insert(Member.Endpoint);
    ManagedGroup Group;
    Group.Name = Listed.Group;
    Group.Number = Listed.Number;
    Group.Service = Listed.Service;
    Group.Version = Listed.Version;
    Group.FabricDomain = Listed.FabricDomain;
    Group.State = Listed.State;
    Group.FormedAt = Now;
    Group.BrokenSince = Now;
    Group.DrainingSince = Now;
    bool HasJoined = Listed.State != GroupState::Forming;
    for (const RosterMember &Member : Listed.Members)
      Group.Members.push_back({.Endpoint = Member.Endpoint,
                               .IncarnationNumber = Member.IncarnationNumber,
                               .HasJoined = HasJoined});
    this->Groups.emplace(Group.Name, std::move(Group));
  }
}

GroupPlanner::MemberState
GroupPlanner::expiredMemberState(TimePoint Now, TimePoint TimeoutStart,
                                 Duration Lifetime,
                                 const GroupMember &Member) const {
  if (Now - TimeoutStart >= Lifetime + this->Options.LossTimeout)
    return MemberState::Lost;
  return Member.HasJoined ? MemberState::Paused : MemberState::Joining;
}

GroupPlanner::MemberState GroupPlanner::memberState(TimePoint Now,
                                                    const ManagedGroup &Group,
                                                    std::uint32_t Rank) const {
  const GroupMember &Member = Group.Members[Rank];
  const InventoryEntry *Entry = this->Inventory.find(Member.Endpoint);
  if (!Entry)
    return this->expiredMemberState(Now, Group.FormedAt, Duration::zero(),
                                    Member);
  const Announcement &Current = Entry->announcement();
  if (Current.IncarnationNumber != Member.IncarnationNumber)
    return MemberState::Lost;
  if (!Entry->Latest.isFresh(Now))
    return this->expiredMemberState(Now, Entry->Latest.ReceivedAt,
                                    Current.Lifetime, Member);
  if (Current.Position != this->positionOf(Group, Rank)) {
    bool IsTooLate = Now - Group.FormedAt >= this->Options.JoinTimeout;
    return Member.HasJoined || Current.Leaving || IsTooLate
               ? MemberState::Lost
               : MemberState::Joining;
  }
  if (Current.Leaving)
    return MemberState::Leaving;
  if (Current.State != Readiness::Starting)
    return MemberState::Present;
  return Now - Group.FormedAt >= this->Options.JoinTimeout
             ? MemberState::Lost
             : MemberState::Joining;
}

/// A broken group runs no requests, so a leaving member is released at once.
bool GroupPlanner::isMissing(TimePoint Now, const ManagedGroup &Group,
                             std::uint32_t Rank) const {
  MemberState State = this->memberState(Now, Group, Rank);
  return State == MemberState::Lost ||
         (State == MemberState::Leaving && Group.State == GroupState::Broken);
}

void GroupPlanner::recordUnreachableFabrics(TimePoint Now) {
  std::map<FabricDomainName, bool> Reachable;
  for (const auto &[Name, Entry] : this->Inventory.all())
    Reachable[Entry.announcement().FabricDomain] |= Entry.Latest.isFresh(Now);
  for (const auto &[Fabric, IsReachable] : Reachable)
    if (!IsReachable)
      this->LastUnreachable[Fabric] = Now;
}

/// True if all endpoints of the fabric domain were unreachable a short time
/// ago. Such endpoints return almost at the same time. A repair after the
/// return of the first ones would disrupt groups that are about to be complete.
bool GroupPlanner::isRecovering(TimePoint Now,
                                const FabricDomainName &Fabric) const {
  auto Found = this->LastUnreachable.find(Fabric);
  return Found != this->LastUnreachable.end() &&
         Now - Found->second < this->Options.StabilizationTime;
}

/// True if the intent no longer contains the group's service in this version
/// and size.
bool GroupPlanner::isOutdated(const ManagedGroup &Group) const {
  auto ServiceIntent = this->Intent.Services.find(Group.Service);
  return ServiceIntent == this->Intent.Services.end() ||
         ServiceIntent->second.HostsPerGroup != Group.Members.size() ||
         ServiceIntent->second.Version != Group.Version;
}

void GroupPlanner::updateState(TimePoint Now, ManagedGroup &Group) {
  bool AnyLost = false;
  bool AnyJoining = false;
  bool AnyPaused = false;
  bool AnyLeaving = false;
  this->identifyMembers(Now, Group);
  for (std::uint32_t Rank = 0; Rank < Group.Members.size(); ++Rank) {
    MemberState State = this->memberState(Now, Group, Rank);
    AnyLost = AnyLost || State == MemberState::Lost;
    AnyJoining = AnyJoining || State == MemberState::Joining;
    AnyPaused = AnyPaused || State == MemberState::Paused;
    AnyLeaving = AnyLeaving || State == MemberState::Leaving;
    if (State == MemberState::Present || State == MemberState::Leaving)
      Group.Members[Rank].HasJoined = true;
  }
  bool WasServing =
      Group.State == GroupState::Serving || Group.State == GroupState::Draining;
  if (AnyLost || (AnyLeaving && !WasServing)) {
    if (Group.State != GroupState::Broken)
      Group.BrokenSince = Now;
    Group.State = GroupState::Broken;
    return;
  }
  if (AnyJoining || (AnyPaused && !WasServing)) {
    Group.State = GroupState::Forming;
    return;
  }
  bool MustDrain = AnyLeaving || this->isOutdated(Group);
  if (!MustDrain)
    Group.State = GroupState::Serving;
  else if (Group.State != GroupState::Draining) {
    Group.State = GroupState::Draining;
    Group.DrainingSince = Now;
    Group.DrainSequence = 0;
  }
}

bool GroupPlanner::isDrained(TimePoint Now, const ManagedGroup &Group) const {
  if (Group.DrainSequence == 0)
    return false;
  DrainTracker::Status Progress = this->Drains.drainStatus(
      Now, Group.Name, this->Epoch, Group.DrainSequence);
  if (Progress != DrainTracker::Status::AwaitingStalledHosts)
    return Progress == DrainTracker::Status::Drained;
  return Now - Group.DrainingSince >= this->Options.DrainTimeout;
}

/// Marks a drained group as broken. If the intent still contains it, only its
/// leaving members are replaced.
void GroupPlanner::finishDrain(TimePoint Now, ManagedGroup &Group) {
  if (Group.State != GroupState::Draining || !this->isDrained(Now, Group))
    return;
  Group.State = GroupState::Broken;
  Group.BrokenSince = Now;
}

} // namespace carobhinge
