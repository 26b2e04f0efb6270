//===- LibFleet/GroupPlanner.cpp - Forms, repairs and dissolves groups ----===//
///
/// \file
/// The acting half of the planner: repairs, forms, orders and publishes.
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
      Drains(this->Options.EntryHosts, this->Options.EntryHostSilentAfter) {}

void GroupPlanner::entryHostsChanged(std::vector<HostName> EntryHosts) {
  this->Drains.entryHostsChanged(std::move(EntryHosts));
}

void GroupPlanner::announced(TimePoint Now, const Announcement &Said,
                             Duration Age) {
  if (Said.FailureDomain != this->Options.FailureDomain)
    return;
  if (this->Census.announced(Now, Said, Age))
    this->Orders.announced(Said);
}

void GroupPlanner::rosterSeen(const Roster &Seen) {
  if (Seen.FailureDomain != this->Options.FailureDomain ||
      !isNewer(Seen, this->Published))
    return;
  this->Published = Seen;
  if (Seen.Epoch > this->Epoch)
    this->revoked();
}

void GroupPlanner::outstanding(TimePoint Now, const OutstandingReport &Report) {
  this->Drains.reported(Now, Report);
}

void GroupPlanner::granted(TimePoint Now, std::uint64_t Epoch,
                           std::span<const RecordedOrder> Recorded) {
  if (Epoch <= this->Epoch)
    return;
  this->Epoch = Epoch;
  this->Counter = 0;
  this->GrantedAt = Now;
  this->ConfirmedAt = Now;
  this->Adopted = false;
  this->Orders.reset(Now, Recorded);
  for (const auto &[Name, Entry] : this->Census.all())
    this->Orders.announced(Entry.said());
}

void GroupPlanner::orderRecorded(TimePoint Now, FencingNumber Number) {
  this->Orders.recorded(Now, Number);
}

void GroupPlanner::orderAnswered(FencingNumber Number, OrderResult Result) {
  this->Orders.answered(Number, Result);
}

FencingNumber GroupPlanner::nextNumber() {
  return fencingNumber(this->Epoch, ++this->Counter);
}

bool GroupPlanner::mayAct(TimePoint Now) const {
  if (this->Epoch == 0 || Now - this->GrantedAt < this->Options.SettleTime)
    return false;
  return Now - this->ConfirmedAt < this->Options.ConfirmationLasts ||
         this->Drains.allFollow(Now, this->Epoch);
}

std::vector<PlannerEffect> GroupPlanner::plan(TimePoint Now) {
  this->Census.forget(Now, this->Options.ForgetAfter);
  if (!this->mayAct(Now))
    return {};
  if (!this->Adopted)
    this->adopt(Now);
  this->noteDarkFabrics(Now);
  for (auto &[Name, Each] : this->Groups) {
    this->observe(Now, Each);
    this->followDrain(Now, Each);
  }
  this->repair(Now);
  this->form(Now);
  this->publish();
  this->order(Now);
  this->send(Now);
  return std::exchange(this->Effects, {});
}

void GroupPlanner::place(TimePoint Now) {
  this->Placements.clear();
  for (const auto &[Name, Each] : this->Groups) {
    for (std::uint32_t Rank = 0; Rank < Each.Members.size(); ++Rank) {
      if (Each.Members[Rank].Endpoint.empty() ||
          this->isMissing(Now, Each, Rank))
        continue;
      [[maybe_unused]] bool Added =
          this->Placements
              .emplace(Each.Members[Rank].Endpoint,
                       Placement{.In = &Each, .Rank = Rank})
              .second;
      assert(Added && "an endpoint is placed in one group only");
    }
  }
}

/// Whether the endpoint could take a place if it had none.
bool GroupPlanner::isAvailable(TimePoint Now, const CensusEntry &Of) const {
  return Of.Heard.isFresh(Now) && !Of.said().Leaving && Now >= Of.HeldUntil &&
         !this->Orders.mayArriveLate(Of.said()) &&
         !this->Census.isHostTaken(Of);
}

std::vector<Candidate> GroupPlanner::freeEndpoints(TimePoint Now,
                                                   const Need &For) const {
  std::vector<Candidate> Result;
  auto Found = this->Census.byFabric().find({For.Service, For.FabricDomain});
  if (Found == this->Census.byFabric().end())
    return Result;
  for (const EndpointName &Name : Found->second) {
    const CensusEntry &Entry = *this->Census.find(Name);
    if (this->Placements.contains(Name) || !this->isAvailable(Now, Entry))
      continue;
    Candidate Free{.Endpoint = Name,
                   .FirstHeard = Entry.FirstHeard,
                   .FailedJoins = Entry.FailedJoins};
    if (Entry.Weights && Entry.Weights->Service == For.Service &&
        Entry.Weights->Version == For.Version &&
        Entry.Weights->GroupSize == For.Size)
      Free.LoadedRank = Entry.Weights->Rank;
    Result.push_back(Free);
  }
  return Result;
}

std::uint32_t GroupPlanner::survivors(TimePoint Now, const Group &Each) const {
  std::uint32_t Result = 0;
  for (std::uint32_t Rank = 0; Rank < Each.Members.size(); ++Rank)
    Result += this->isMissing(Now, Each, Rank) ? 0 : 1;
  return Result;
}

/// Survivors that could serve in another group.
std::uint32_t GroupPlanner::donors(TimePoint Now, const Group &Each) const {
  std::uint32_t Result = 0;
  for (std::uint32_t Rank = 0; Rank < Each.Members.size(); ++Rank) {
    const CensusEntry *Entry = this->Census.find(Each.Members[Rank].Endpoint);
    if (Entry && !this->isMissing(Now, Each, Rank) &&
        this->isAvailable(Now, *Entry))
      ++Result;
  }
  return Result;
}

/// Those with the most survivors first, as they need the least.
std::vector<GroupPlanner::Group *> GroupPlanner::brokenGroups(TimePoint Now) {
  std::vector<Group *> Result;
  for (auto &[Name, Each] : this->Groups)
    if (Each.State == GroupState::Broken &&
        !this->isReturning(Now, Each.FabricDomain))
      Result.push_back(&Each);
  std::ranges::stable_sort(Result, std::greater(), [this, Now](Group *Each) {
    return this->survivors(Now, *Each);
  });
  return Result;
}

void GroupPlanner::repair(TimePoint Now) {
  std::vector<Group *> Broken = this->brokenGroups(Now);
  while (!Broken.empty()) {
    this->place(Now);
    this->repairOne(Now, *Broken.front(), std::span(Broken).subspan(1));
    Broken.erase(Broken.begin());
    // The repair may have dissolved groups that were broken worse.
    std::erase_if(Broken, [](Group *Each) { return Each->Members.empty(); });
  }
  std::erase_if(this->Groups,
                [](const auto &Each) { return Each.second.Members.empty(); });
  this->place(Now);
}

void GroupPlanner::repairOne(TimePoint Now, Group &Broken,
                             std::span<Group *const> BrokenWorse) {
  if (this->isOutdated(Broken))
    return this->dissolve(Now, Broken, Duration::zero());
  Need For = needOf(Broken);
  std::vector<Candidate> Free = this->freeEndpoints(Now, For);
  BrokenGroup View;
  View.Survivors = this->survivors(Now, Broken);
  View.Missing = Broken.Members.size() - View.Survivors;
  View.Spares = Free.size();
  View.BrokenFor = Now - Broken.BrokenSince;
  std::vector<Group *> Donors;
  for (Group *Each : BrokenWorse) {
    if (needOf(*Each) != For)
      continue;
    Donors.push_back(Each);
    View.Donors += this->donors(Now, *Each);
  }
  RepairAction Action = this->Repair->decide(View);
  if (Action == RepairAction::Dissolve)
    this->dissolve(Now, Broken, this->Repair->holdAfterDissolving());
  if (Action != RepairAction::Replace)
    return;
  while (Free.size() < View.Missing) {
    assert(!Donors.empty() && "the policy counted on donors");
    this->dissolve(Now, *Donors.back(), Duration::zero());
    Donors.pop_back();
    this->place(Now);
    Free = this->freeEndpoints(Now, For);
  }
  this->replace(Now, Broken, std::move(Free));
}

/// Survivors keep their ranks and thus their weights. The group's number is
/// new, so that the members' words about its earlier life count no longer.
void GroupPlanner::replace(TimePoint Now, Group &Broken,
                           std::vector<Candidate> Free) {
  std::vector<std::uint32_t> Missing;
  for (std::uint32_t Rank = 0; Rank < Broken.Members.size(); ++Rank) {
    if (!this->isMissing(Now, Broken, Rank))
      continue;
    Missing.push_back(Rank);
    CensusEntry *Lost = this->Census.find(Broken.Members[Rank].Endpoint);
    if (Lost && Lost->Heard.isFresh(Now) && !Broken.Members[Rank].Joined)
      ++Lost->FailedJoins;
  }
  std::vector<Candidate> Chosen = this->Formation->choose(Free, Missing);
  for (std::size_t I = 0; I < Missing.size(); ++I)
    Broken.Members[Missing[I]] = this->memberFrom(Chosen[I]);
  for (Member &Each : Broken.Members)
    Each.Joined = false;
  Broken.Number = this->nextNumber();
  Broken.State = GroupState::Forming;
  Broken.FormedAt = Now;
}

/// Empties the group; its members become free. repair() erases the record.
void GroupPlanner::dissolve(TimePoint Now, Group &Each, Duration Hold) {
  for (const Member &Of : Each.Members)
    if (CensusEntry *Entry = this->Census.find(Of.Endpoint))
      Entry->HeldUntil = Now + Hold;
  Each.Members.clear();
  Each.State = GroupState::Broken;
}

GroupPlanner::Member GroupPlanner::memberFrom(const Candidate &Chosen) const {
  return {.Endpoint = Chosen.Endpoint,
          .Life = this->Census.find(Chosen.Endpoint)->said().Life};
}

void GroupPlanner::form(TimePoint Now) {
  for (const auto &[Key, Names] : this->Census.byFabric()) {
    auto Wanted = this->Intent.Services.find(Key.first);
    if (Wanted == this->Intent.Services.end() ||
        Wanted->second.HostsPerGroup == 0)
      continue;
    this->formInFabric(Now, {.Service = Key.first,
                             .Version = Wanted->second.Version,
                             .Size = Wanted->second.HostsPerGroup,
                             .FabricDomain = Key.second});
  }
  this->place(Now);
}

void GroupPlanner::formInFabric(TimePoint Now, const Need &For) {
  std::vector<Candidate> Free = this->freeEndpoints(Now, For);
  std::vector<std::uint32_t> Ranks(For.Size);
  std::iota(Ranks.begin(), Ranks.end(), 0);
  while (Free.size() >= For.Size) {
    Group New;
    New.Number = this->nextNumber();
    New.Name = For.Service + "-" + std::to_string(this->Epoch) + "." +
               std::to_string(this->Counter);
    New.Service = For.Service;
    New.Version = For.Version;
    New.FabricDomain = For.FabricDomain;
    New.FormedAt = Now;
    for (const Candidate &Each : this->Formation->choose(Free, Ranks))
      New.Members.push_back(this->memberFrom(Each));
    this->Groups.emplace(New.Name, std::move(New));
  }
}

/// Publishes the roster if it differs from the last one of this grant.
void GroupPlanner::publish() {
  Roster New;
  New.FailureDomain = this->Options.FailureDomain;
  New.Epoch = this->Epoch;
  New.Sequence =
      this->Published.Epoch == this->Epoch ? this->Published.Sequence + 1 : 1;
  for (auto &[Name, Each] : this->Groups) {
    if (Each.State == GroupState::Draining && Each.DrainSequence == 0)
      Each.DrainSequence = New.Sequence;
    RosterGroup &Listed = New.Groups.emplace_back();
    Listed.Group = Name;
    Listed.Number = Each.Number;
    Listed.Service = Each.Service;
    Listed.Version = Each.Version;
    Listed.FabricDomain = Each.FabricDomain;
    Listed.State = Each.State;
    for (const Member &Of : Each.Members)
      Listed.Members.push_back({.Endpoint = Of.Endpoint, .Life = Of.Life});
  }
  if (New.Epoch == this->Published.Epoch &&
      New.Groups == this->Published.Groups)
    return;
  this->Published = New;
  this->Effects.emplace_back(PublishRoster{.Published = std::move(New)});
}

} // namespace carobhinge
