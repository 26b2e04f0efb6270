//===- LibFleet/GroupPlanner.cpp - Forms, repairs and dissolves groups ----===//
///
/// \file
/// The planner's decisions: repairs, forms and publishes groups.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/GroupPlanner.h>

#include <algorithm>
#include <cassert>
#include <numeric>
#include <set>
#include <utility>

namespace carobhinge {

GroupPlanner::GroupPlanner(PlannerOptions Options)
    : Options(std::move(Options)),
      Formation(makeFormationPolicy(this->Options.Formation)),
      Repair(makeRepairPolicy(this->Options.Repair)),
      Orders(this->Options.OrderTimeout),
      Drains(this->Options.EntryHosts, this->Options.EntryHostTimeout) {}

void GroupPlanner::setEntryHosts(std::vector<HostName> EntryHosts) {
  this->Drains.setEntryHosts(std::move(EntryHosts));
}

void GroupPlanner::handleAnnouncement(TimePoint Now,
                                      const Announcement &NewAnnouncement,
                                      Duration Age) {
  if (NewAnnouncement.FailureDomain != this->Options.FailureDomain)
    return;
  if (this->Inventory.update(Now, NewAnnouncement, Age))
    this->Orders.handleAnnouncement(NewAnnouncement);
}

void GroupPlanner::updateRoster(const Roster &NewRoster) {
  if (NewRoster.FailureDomain != this->Options.FailureDomain ||
      !isNewer(NewRoster, this->NewestRoster))
    return;
  this->NewestRoster = NewRoster;
  if (NewRoster.Epoch > this->Epoch)
    this->handleRevocation();
}

void GroupPlanner::recordOutstandingReport(TimePoint Now,
                                           const OutstandingReport &Report) {
  this->Drains.recordReport(Now, Report);
}

void GroupPlanner::handleGrant(TimePoint Now, std::uint64_t Epoch,
                               std::span<const RecordedOrder> RecordedOrders) {
  if (Epoch <= this->Epoch)
    return;
  this->Epoch = Epoch;
  this->Counter = 0;
  this->GrantedAt = Now;
  this->ConfirmedAt = Now;
  this->HasAdoptedGroups = false;
  this->Orders.reset(Now, RecordedOrders);
  for (const auto &[Name, Entry] : this->Inventory.all())
    this->Orders.handleAnnouncement(Entry.announcement());
}

void GroupPlanner::markOrderRecorded(TimePoint Now, FencingToken Number) {
  this->Orders.markRecorded(Now, Number);
}

void GroupPlanner::handleOrderResult(FencingToken Number,
                                     OrderSendResult Result) {
  this->Orders.handleResult(Number, Result);
}

FencingToken GroupPlanner::nextNumber() {
  return makeFencingToken(this->Epoch, ++this->Counter);
}

bool GroupPlanner::canAct(TimePoint Now) const {
  if (this->Epoch == 0 ||
      Now - this->GrantedAt < this->Options.StabilizationTime)
    return false;
  return Now - this->ConfirmedAt < this->Options.ConfirmationLifetime ||
         this->Drains.allHostsFollow(Now, this->Epoch);
}

std::vector<PlannerEffect> GroupPlanner::plan(TimePoint Now) {
  this->Inventory.removeExpired(Now, this->Options.RetentionTime);
  if (!this->canAct(Now))
    return {};
  if (!this->HasAdoptedGroups)
    this->adoptGroups(Now);
  this->recordUnreachableFabrics(Now);
  for (auto &[Name, Group] : this->Groups) {
    this->updateState(Now, Group);
    this->finishDrain(Now, Group);
  }
  this->repairGroups(Now);
  this->formGroups(Now);
  this->publishRoster();
  this->orderChanges(Now);
  this->sendOrders(Now);
  return std::exchange(this->Effects, {});
}

void GroupPlanner::rebuildPlacements(TimePoint Now) {
  this->Placements.clear();
  for (const auto &[Name, Group] : this->Groups) {
    for (std::uint32_t Rank = 0; Rank < Group.Members.size(); ++Rank) {
      if (Group.Members[Rank].Endpoint.empty() ||
          this->isMissing(Now, Group, Rank))
        continue;
      [[maybe_unused]] bool IsInserted =
          this->Placements
              .emplace(Group.Members[Rank].Endpoint,
                       Placement{.AssignedGroup = &Group, .Rank = Rank})
              .second;
      assert(IsInserted && "an endpoint is assigned to at most one group");
    }
  }
}

/// True if the endpoint can be assigned to a group, regardless of its current
/// assignment.
bool GroupPlanner::isAvailable(TimePoint Now,
                               const InventoryEntry &Entry) const {
  return Entry.Latest.isFresh(Now) && !Entry.announcement().Leaving &&
         Now >= Entry.ExcludedUntil &&
         !this->Orders.mayArriveLate(Entry.announcement()) &&
         !this->Inventory.isHostTaken(Entry);
}

std::vector<Candidate>
GroupPlanner::freeEndpoints(TimePoint Now,
                            const GroupRequirements &Requirements) const {
  std::vector<Candidate> Result;
  auto Found = this->Inventory.byFabric().find(
      {Requirements.Service, Requirements.FabricDomain});
  if (Found == this->Inventory.byFabric().end())
    return Result;
  for (const EndpointName &Name : Found->second) {
    const InventoryEntry &Entry = *this->Inventory.find(Name);
    if (this->Placements.contains(Name) || !this->isAvailable(Now, Entry))
      continue;
    Candidate Free{.Endpoint = Name,
                   .DiscoveryOrder = Entry.DiscoveryOrder,
                   .FailedJoins = Entry.FailedJoins};
    if (Entry.Weights && Entry.Weights->Service == Requirements.Service &&
        Entry.Weights->Version == Requirements.Version &&
        Entry.Weights->GroupSize == Requirements.Size)
      Free.LoadedRank = Entry.Weights->Rank;
    Result.push_back(Free);
  }
  return Result;
}

std::uint32_t GroupPlanner::countSurvivors(TimePoint Now,
                                           const ManagedGroup &Group) const {
  std::uint32_t Result = 0;
  for (std::uint32_t Rank = 0; Rank < Group.Members.size(); ++Rank)
    Result += this->isMissing(Now, Group, Rank) ? 0 : 1;
  return Result;
}

/// Counts the survivors that could join another group.
std::uint32_t GroupPlanner::countDonors(TimePoint Now,
                                        const ManagedGroup &Group) const {
  std::uint32_t Result = 0;
  for (std::uint32_t Rank = 0; Rank < Group.Members.size(); ++Rank) {
    const InventoryEntry *Entry =
        this->Inventory.find(Group.Members[Rank].Endpoint);
    if (Entry && !this->isMissing(Now, Group, Rank) &&
        this->isAvailable(Now, *Entry))
      ++Result;
  }
  return Result;
}

/// Returns the group with the most survivors first, as it needs the fewest
/// replacements.
std::vector<GroupPlanner::ManagedGroup *>
GroupPlanner::brokenGroups(TimePoint Now) {
  std::vector<ManagedGroup *> Result;
  for (auto &[Name, Group] : this->Groups)
    if (Group.State == GroupState::Broken &&
        !this->isRecovering(Now, Group.FabricDomain))
      Result.push_back(&Group);
  std::ranges::stable_sort(Result, std::greater(),
                           [this, Now](ManagedGroup *Group) {
                             return this->countSurvivors(Now, *Group);
                           });
  return Result;
}

void GroupPlanner::repairGroups(TimePoint Now) {
  std::vector<ManagedGroup *> Broken = this->brokenGroups(Now);
  while (!Broken.empty()) {
    this->rebuildPlacements(Now);
    this->repairGroup(Now, *Broken.front(), std::span(Broken).subspan(1));
    Broken.erase(Broken.begin());
    // The repair may have dissolved groups with fewer survivors.
    std::erase_if(Broken,
                  [](ManagedGroup *Group) { return Group->Members.empty(); });
  }
  std::erase_if(this->Groups,
                [](const auto &Group) { return Group.second.Members.empty(); });
  this->rebuildPlacements(Now);
}

void GroupPlanner::repairGroup(TimePoint Now, ManagedGroup &Group,
                               std::span<ManagedGroup *const> MoreDamaged) {
  if (this->isOutdated(Group))
    return this->dissolve(Now, Group, Duration::zero());
  GroupRequirements Requirements = requirementsOf(Group);
  std::vector<Candidate> Free = this->freeEndpoints(Now, Requirements);
  BrokenGroup View;
  View.Survivors = this->countSurvivors(Now, Group);
  View.Missing = Group.Members.size() - View.Survivors;
  View.Spares = Free.size();
  View.BrokenFor = Now - Group.BrokenSince;
  std::vector<ManagedGroup *> Donors;
  for (ManagedGroup *Donor : MoreDamaged) {
    if (requirementsOf(*Donor) != Requirements)
      continue;
    Donors.push_back(Donor);
    View.Donors += this->countDonors(Now, *Donor);
  }
  RepairAction Action = this->Repair->decide(View);
  if (Action == RepairAction::Dissolve)
    this->dissolve(Now, Group, this->Repair->exclusionAfterDissolving());
  if (Action != RepairAction::Replace)
    return;
  while (Free.size() < View.Missing) {
    assert(!Donors.empty() && "the policy relied on donors");
    this->dissolve(Now, *Donors.back(), Duration::zero());
    Donors.pop_back();
    this->rebuildPlacements(Now);
    Free = this->freeEndpoints(Now, Requirements);
  }
  this->replaceMembers(Now, Group, std::move(Free));
}

/// Survivors keep their ranks and thus their weights. The group gets a new
/// number, so that announcements with its earlier number are ignored.
void GroupPlanner::replaceMembers(TimePoint Now, ManagedGroup &Group,
                                  std::vector<Candidate> Free) {
  std::vector<std::uint32_t> Missing;
  for (std::uint32_t Rank = 0; Rank < Group.Members.size(); ++Rank) {
    if (!this->isMissing(Now, Group, Rank))
      continue;
    Missing.push_back(Rank);
    InventoryEntry *Lost = this->Inventory.find(Group.Members[Rank].Endpoint);
    if (Lost && Lost->Latest.isFresh(Now) && !Group.Members[Rank].HasJoined)
      ++Lost->FailedJoins;
  }
  std::vector<Candidate> Chosen = this->Formation->choose(Free, Missing);
  for (std::size_t I = 0; I < Missing.size(); ++I)
    Group.Members[Missing[I]] = this->makeMember(Chosen[I]);
  for (GroupMember &Member : Group.Members)
    Member.HasJoined = false;
  Group.Number = this->nextNumber();
  Group.State = GroupState::Forming;
  Group.FormedAt = Now;
}

/// Removes all members, which become free. repairGroups() erases the group.
void GroupPlanner::dissolve(TimePoint Now, ManagedGroup &Group,
                            Duration ExclusionTime) {
  for (const GroupMember &Member : Group.Members)
    if (InventoryEntry *Entry = this->Inventory.find(Member.Endpoint))
      Entry->ExcludedUntil = Now + ExclusionTime;
  Group.Members.clear();
  Group.State = GroupState::Broken;
}

GroupPlanner::GroupMember
GroupPlanner::makeMember(const Candidate &Chosen) const {
  return {.Endpoint = Chosen.Endpoint,
          .IncarnationNumber = this->Inventory.find(Chosen.Endpoint)
                                   ->announcement()
                                   .IncarnationNumber};
}

void GroupPlanner::formGroups(TimePoint Now) {
  for (const auto &[Key, Names] : this->Inventory.byFabric()) {
    auto ServiceIntent = this->Intent.Services.find(Key.first);
    if (ServiceIntent == this->Intent.Services.end() ||
        ServiceIntent->second.HostsPerGroup == 0)
      continue;
    this->formGroupsInFabric(Now, {.Service = Key.first,
                                   .Version = ServiceIntent->second.Version,
                                   .Size = ServiceIntent->second.HostsPerGroup,
                                   .FabricDomain = Key.second});
  }
  this->rebuildPlacements(Now);
}

void GroupPlanner::formGroupsInFabric(TimePoint Now,
                                      const GroupRequirements &Requirements) {
  std::vector<Candidate> Free = this->freeEndpoints(Now, Requirements);
  std::vector<std::uint32_t> Ranks(Requirements.Size);
  std::iota(Ranks.begin(), Ranks.end(), 0);
  while (Free.size() >= Requirements.Size) {
    ManagedGroup NewGroup;
    NewGroup.Number = this->nextNumber();
    NewGroup.Name = Requirements.Service + "-" + std::to_string(this->Epoch) +
                    "." + std::to_string(this->Counter);
    NewGroup.Service = Requirements.Service;
    NewGroup.Version = Requirements.Version;
    NewGroup.FabricDomain = Requirements.FabricDomain;
    NewGroup.FormedAt = Now;
    for (const Candidate &Chosen : this->Formation->choose(Free, Ranks))
      NewGroup.Members.push_back(this->makeMember(Chosen));
    this->Groups.emplace(NewGroup.Name, std::move(NewGroup));
  }
}

/// Publishes the roster if it differs from the last one of this epoch.
void GroupPlanner::publishRoster() {
  Roster NewRoster;
  NewRoster.FailureDomain = this->Options.FailureDomain;
  NewRoster.Epoch = this->Epoch;
  NewRoster.Sequence = this->NewestRoster.Epoch == this->Epoch
                           ? this->NewestRoster.Sequence + 1
                           : 1;
  for (auto &[Name, Group] : this->Groups) {
    if (Group.State == GroupState::Draining && Group.DrainSequence == 0)
      Group.DrainSequence = NewRoster.Sequence;
    RosterGroup &Listed = NewRoster.Groups.emplace_back();
    Listed.Group = Name;
    Listed.Number = Group.Number;
    Listed.Service = Group.Service;
    Listed.Version = Group.Version;
    Listed.FabricDomain = Group.FabricDomain;
    Listed.State = Group.State;
    for (const GroupMember &Member : Group.Members)
      Listed.Members.push_back({.Endpoint = Member.Endpoint,
                                .IncarnationNumber = Member.IncarnationNumber});
  }
  if (NewRoster.Epoch == this->NewestRoster.Epoch &&
      NewRoster.Groups == this->NewestRoster.Groups)
    return;
  this->NewestRoster = NewRoster;
  this->Effects.emplace_back(PublishRoster{.NewRoster = std::move(NewRoster)});
}

} // namespace carobhinge
