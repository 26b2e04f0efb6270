//===- LibFleet/GroupPlannerOrders.cpp - One step closer to its place -----===//
///
/// \file
/// The ordering part of the planner: compares each endpoint's announced place
/// with the one it should have, and paces the loading of weights.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/GroupPlanner.h>

#include <algorithm>
#include <tuple>

namespace carobhinge {

bool GroupPlanner::mustLoad(const CensusEntry &Of, Placement To) const {
  LoadedWeights Needed = {
      .Service = To.In->Service,
      .Version = To.In->Version,
      .Rank = To.Rank,
      .GroupSize = static_cast<std::uint32_t>(To.In->Members.size())};
  return Of.Weights != Needed;
}

std::uint32_t GroupPlanner::loadsUnderWay(TimePoint Now) const {
  std::uint32_t Result = 0;
  for (const auto &[Name, Entry] : this->Census.all()) {
    const Announcement &Said = Entry.said();
    bool Loading =
        Said.State == Readiness::Starting && !Said.Place.Group.empty();
    auto Ordered = this->Orders.entries().find(Name);
    bool WillLoad = Ordered != this->Orders.entries().end() &&
                    Ordered->second.Loads && this->Orders.isBlocked(Now, Said);
    if (Entry.Heard.isFresh(Now) && (Loading || WillLoad))
      ++Result;
  }
  return Result;
}

void GroupPlanner::order(TimePoint Now) {
  std::vector<PendingJoin> Pending;
  for (const auto &[Name, Entry] : this->Census.all()) {
    const Announcement &Said = Entry.said();
    if (!Entry.Heard.isFresh(Now) || this->Orders.isBlocked(Now, Said))
      continue;
    auto Found = this->Placements.find(Name);
    bool Placed = Found != this->Placements.end();
    if (!Said.Place.Group.empty() &&
        (!Placed || Found->second.In->Name != Said.Place.Group)) {
      this->orderLeave(Now, Entry);
      continue;
    }
    if (!Placed ||
        Said.Place == this->placeOf(*Found->second.In, Found->second.Rank))
      continue;
    PendingJoin Join{.Endpoint = &Entry, .To = Found->second};
    if (this->mustLoad(Entry, Join.To))
      Pending.push_back(Join);
    else
      this->orderJoin(Now, Join, false);
  }
  this->orderLoadingJoins(Now, std::move(Pending));
}

/// Fills the free places at the weight store.
void GroupPlanner::orderLoadingJoins(TimePoint Now,
                                     std::vector<PendingJoin> Pending) {
  std::map<GroupName, std::uint32_t> LoadsOf;
  for (const PendingJoin &Each : Pending)
    ++LoadsOf[Each.To.In->Name];
  for (PendingJoin &Each : Pending)
    Each.LoadsOfGroup = LoadsOf[Each.To.In->Name];
  bool GroupsFirst = this->Formation->completesGroupsFirst();
  std::ranges::stable_sort(Pending, {}, [GroupsFirst](const PendingJoin &Each) {
    return GroupsFirst
               ? std::tuple(std::uint64_t{Each.LoadsOfGroup},
                            Each.To.In->Number)
               : std::tuple(Each.Endpoint->FirstHeard, FencingNumber{0});
  });
  std::uint32_t UnderWay = this->loadsUnderWay(Now);
  for (const PendingJoin &Each : Pending) {
    if (UnderWay >= this->Options.LoadsAtOnce)
      return;
    this->orderJoin(Now, Each, true);
    ++UnderWay;
  }
}

void GroupPlanner::orderLeave(TimePoint Now, const CensusEntry &To) {
  const Announcement &Said = To.said();
  Order Leave;
  Leave.Number = this->nextNumber();
  Leave.Action = OrderAction::Leave;
  Leave.Place = Said.Place;
  Leave.Service = Said.Service;
  Leave.ForLife = Said.Life;
  this->submit(Now, Said, std::move(Leave), false);
}

void GroupPlanner::orderJoin(TimePoint Now, const PendingJoin &Join,
                             bool Loads) {
  const Announcement &Said = Join.Endpoint->said();
  const Group &To = *Join.To.In;
  Order New;
  New.Number = this->nextNumber();
  New.Action = OrderAction::Join;
  New.Place = this->placeOf(To, Join.To.Rank);
  for (const Member &Each : To.Members) {
    const CensusEntry *Known = this->Census.find(Each.Endpoint);
    New.Members.push_back(
        {.Endpoint = Each.Endpoint,
         .Address = Known ? Known->said().Address : std::string()});
  }
  New.Service = To.Service;
  New.Version = To.Version;
  New.ForLife = Said.Life;
  this->submit(Now, Said, std::move(New), Loads);
}

void GroupPlanner::submit(TimePoint Now, const Announcement &To, Order New,
                          bool Loads) {
  if (!To.ChecksFencing)
    this->Effects.emplace_back(RecordOrder{
        {.Endpoint = To.Endpoint, .Life = To.Life, .Number = New.Number}});
  this->Orders.add(Now, To, std::move(New), Loads);
}

void GroupPlanner::send(TimePoint Now) {
  for (auto &[Endpoint, Sent] : this->Orders.takeSendable(Now))
    if (const CensusEntry *Known = this->Census.find(Endpoint))
      this->Effects.emplace_back(SendOrder{.Endpoint = Endpoint,
                                           .Address = Known->said().Address,
                                           .Sent = std::move(Sent)});
}

} // namespace carobhinge
