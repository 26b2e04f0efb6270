//===- LibFleet/GroupPlannerOrders.cpp - Creates the planner's orders -----===//
///
/// \file
/// Compares each endpoint's announced position with its assigned one, creates
/// the orders for the differences, and limits concurrent loading of weights.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/GroupPlanner.h>

#include <algorithm>
#include <tuple>

namespace carobhinge {

bool GroupPlanner::requiresLoad(const InventoryEntry &Entry,
                                Placement Destination) const {
  LoadedWeights Needed = {.Service = Destination.AssignedGroup->Service,
                          .Version = Destination.AssignedGroup->Version,
                          .Rank = Destination.Rank,
                          .GroupSize = static_cast<std::uint32_t>(
                              Destination.AssignedGroup->Members.size())};
  return Entry.Weights != Needed;
}

std::uint32_t GroupPlanner::countActiveLoads(TimePoint Now) const {
  std::uint32_t Result = 0;
  for (const auto &[Name, Entry] : this->Inventory.all()) {
    const Announcement &Current = Entry.announcement();
    bool IsLoading =
        Current.State == Readiness::Starting && !Current.Position.Group.empty();
    auto TrackedOrder = this->Orders.entries().find(Name);
    bool WillLoad = TrackedOrder != this->Orders.entries().end() &&
                    TrackedOrder->second.LoadsWeights &&
                    this->Orders.isBlocked(Now, Current);
    if (Entry.Latest.isFresh(Now) && (IsLoading || WillLoad))
      ++Result;
  }
  return Result;
}

void GroupPlanner::orderChanges(TimePoint Now) {
  std::vector<PendingJoin> Pending;
  for (const auto &[Name, Entry] : this->Inventory.all()) {
    const Announcement &Current = Entry.announcement();
    if (!Entry.Latest.isFresh(Now) || this->Orders.isBlocked(Now, Current))
      continue;
    auto Found = this->Placements.find(Name);
    bool IsPlaced = Found != this->Placements.end();
    if (!Current.Position.Group.empty() &&
        (!IsPlaced ||
         Found->second.AssignedGroup->Name != Current.Position.Group)) {
      this->orderLeave(Now, Entry);
      continue;
    }
    if (!IsPlaced ||
        Current.Position ==
            this->positionOf(*Found->second.AssignedGroup, Found->second.Rank))
      continue;
    PendingJoin Join{.Endpoint = &Entry, .Destination = Found->second};
    if (this->requiresLoad(Entry, Join.Destination))
      Pending.push_back(Join);
    else
      this->orderJoin(Now, Join, false);
  }
  this->orderLoadingJoins(Now, std::move(Pending));
}

/// Orders joins until the limit of concurrent loads is reached.
void GroupPlanner::orderLoadingJoins(TimePoint Now,
                                     std::vector<PendingJoin> Pending) {
  std::map<GroupName, std::uint32_t> PendingLoadsByGroup;
  for (const PendingJoin &Join : Pending)
    ++PendingLoadsByGroup[Join.Destination.AssignedGroup->Name];
  for (PendingJoin &Join : Pending)
    Join.PendingLoadsOfGroup =
        PendingLoadsByGroup[Join.Destination.AssignedGroup->Name];
  bool GroupsFirst = this->Formation->completesGroupsFirst();
  std::ranges::stable_sort(Pending, {}, [GroupsFirst](const PendingJoin &Join) {
    return GroupsFirst
               ? std::tuple(std::uint64_t{Join.PendingLoadsOfGroup},
                            Join.Destination.AssignedGroup->Number)
               : std::tuple(Join.Endpoint->DiscoveryOrder, FencingToken{0});
  });
  std::uint32_t ActiveLoads = this->countActiveLoads(Now);
  for (const PendingJoin &Join : Pending) {
    if (ActiveLoads >= this->Options.MaxConcurrentLoads)
      return;
    this->orderJoin(Now, Join, true);
    ++ActiveLoads;
  }
}

void GroupPlanner::orderLeave(TimePoint Now, const InventoryEntry &Recipient) {
  const Announcement &Current = Recipient.announcement();
  Order Leave;
  Leave.Number = this->nextNumber();
  Leave.Action = OrderAction::Leave;
  Leave.Position = Current.Position;
  Leave.Service = Current.Service;
  Leave.ForIncarnation = Current.IncarnationNumber;
  this->submit(Now, Current, std::move(Leave), false);
}

void GroupPlanner::orderJoin(TimePoint Now, const PendingJoin &Join,
                             bool LoadsWeights) {
  const Announcement &Current = Join.Endpoint->announcement();
  const ManagedGroup &Group = *Join.Destination.AssignedGroup;
  Order NewOrder;
  NewOrder.Number = this->nextNumber();
  NewOrder.Action = OrderAction::Join;
  NewOrder.Position = this->positionOf(Group, Join.Destination.Rank);
  for (const GroupMember &Member : Group.Members) {
    const InventoryEntry *Entry = this->Inventory.find(Member.Endpoint);
    NewOrder.Members.push_back(
        {.Endpoint = Member.Endpoint,
         .Address = Entry ? Entry->announcement().Address : std::string()});
  }
  NewOrder.Service = Group.Service;
  NewOrder.Version = Group.Version;
  NewOrder.ForIncarnation = Current.IncarnationNumber;
  this->submit(Now, Current, std::move(NewOrder), LoadsWeights);
}

void GroupPlanner::submit(TimePoint Now, const Announcement &Recipient,
                          Order NewOrder, bool LoadsWeights) {
  if (!Recipient.ChecksFencing)
    this->Effects.emplace_back(
        RecordOrder{{.Endpoint = Recipient.Endpoint,
                     .IncarnationNumber = Recipient.IncarnationNumber,
                     .Number = NewOrder.Number}});
  this->Orders.add(Now, Recipient, std::move(NewOrder), LoadsWeights);
}

void GroupPlanner::sendOrders(TimePoint Now) {
  for (auto &[Endpoint, Content] : this->Orders.takeSendable(Now))
    if (const InventoryEntry *Entry = this->Inventory.find(Endpoint))
      this->Effects.emplace_back(
          SendOrder{.Endpoint = Endpoint,
                    .Address = Entry->announcement().Address,
                    .Content = std::move(Content)});
}

} // namespace carobhinge
