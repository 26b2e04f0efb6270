//===- LibFleet/GroupPlannerState.cpp - What became of the groups ---------===//
///
/// \file
/// The observing half of the planner: takes over the groups of an earlier
/// grant holder and derives each group's state from its members' words.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/GroupPlanner.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace carobhinge {

GroupPlace GroupPlanner::placeOf(const Group &In, std::uint32_t Rank) const {
  return {.Group = In.Name,
          .Number = In.Number,
          .Rank = Rank,
          .Size = static_cast<std::uint32_t>(In.Members.size())};
}

/// The endpoints know best: a group that all its members announce is taken
/// over first. The newest roster adds those that are not whole. A new holder
/// may know no roster and hear only some of the members: then it takes over
/// what it hears of a group, and the other members fill in later.
void GroupPlanner::adopt(TimePoint Now) {
  this->Groups.clear();
  this->adoptAnnounced(Now);
  this->adoptRoster(Now);
  this->Adopted = true;
}

void GroupPlanner::adoptAnnounced(TimePoint Now) {
  using Key = std::tuple<GroupName, FencingNumber, std::uint32_t>;
  std::map<Key, Group> Found;
  std::map<Key, std::set<std::uint32_t>> Ranks;
  for (const auto &[Name, Entry] : this->Census.all()) {
    const GroupPlace &Place = Entry.said().Place;
    Duration Silence = Now - Entry.Heard.At;
    if (Silence >= Entry.said().Lifetime + this->Options.DeathWait ||
        Place.Group.empty())
      continue;
    Key Of(Place.Group, Place.Number, Place.Size);
    Group &Each = Found[Of];
    Each.Name = Place.Group;
    Each.Number = Place.Number;
    Each.Service = Entry.said().Service;
    Each.Version = Entry.said().Version;
    Each.FabricDomain = Entry.said().FabricDomain;
    // Requests may be running there.
    Each.State = GroupState::Serving;
    Each.FormedAt = Now;
    Each.Members.resize(Place.Size, {.Joined = true});
    Each.Members[Place.Rank] = {
        .Endpoint = Name, .Life = Entry.said().Life, .Joined = true};
    Ranks[Of].insert(Place.Rank);
  }
  // A later number of the same group comes later and wins.
  for (auto &[Of, Each] : Found) {
    bool Whole = Ranks[Of].size() == Each.Members.size();
    if (Whole || !this->isListed(Each))
      this->Groups.insert_or_assign(std::get<GroupName>(Of), std::move(Each));
    else
      this->Groups.erase(std::get<GroupName>(Of));
  }
}

/// The newest roster names all members of the group.
bool GroupPlanner::isListed(const Group &Each) const {
  return std::ranges::any_of(
      this->Published.Groups, [&Each](const RosterGroup &Listed) {
        return Listed.Group == Each.Name && Listed.Number == Each.Number;
      });
}

/// Finds members that were not heard when their group was taken over.
void GroupPlanner::fillIn(TimePoint Now, Group &Each) {
  for (std::uint32_t Rank = 0; Rank < Each.Members.size(); ++Rank) {
    if (!Each.Members[Rank].Endpoint.empty())
      continue;
    for (const auto &[Name, Entry] : this->Census.all())
      if (Entry.Heard.isFresh(Now) &&
          Entry.said().Place == this->placeOf(Each, Rank))
        Each.Members[Rank] = {
            .Endpoint = Name, .Life = Entry.said().Life, .Joined = true};
  }
}

/// Broken groups come last: a member that one has lost may have a new place.
void GroupPlanner::adoptRoster(TimePoint Now) {
  std::set<EndpointName> Placed;
  for (const auto &[Name, Each] : this->Groups)
    for (const Member &Of : Each.Members)
      Placed.insert(Of.Endpoint);
  std::vector<RosterGroup> Sorted = this->Published.Groups;
  std::stable_partition(Sorted.begin(), Sorted.end(),
                        [](const RosterGroup &Listed) {
                          return Listed.State != GroupState::Broken;
                        });
  for (const RosterGroup &Listed : Sorted) {
    bool Taken =
        this->Groups.contains(Listed.Group) ||
        std::ranges::any_of(Listed.Members, [&Placed](const RosterMember &Of) {
          return !Of.Endpoint.empty() && Placed.contains(Of.Endpoint);
        });
    if (Taken)
      continue;
    for (const RosterMember &Of : Listed.Members)
      Placed.insert(Of.Endpoint);
    Group Each;
    Each.Name = Listed.Group;
    Each.Number = Listed.Number;
    Each.Service = Listed.Service;
    Each.Version = Listed.Version;
    Each.FabricDomain = Listed.FabricDomain;
    Each.State = Listed.State;
    Each.FormedAt = Now;
    Each.BrokenSince = Now;
    Each.DrainingSince = Now;
    bool Joined = Listed.State != GroupState::Forming;
    for (const RosterMember &Of : Listed.Members)
      Each.Members.push_back(
          {.Endpoint = Of.Endpoint, .Life = Of.Life, .Joined = Joined});
    this->Groups.emplace(Each.Name, std::move(Each));
  }
}

GroupPlanner::Condition GroupPlanner::silentCondition(TimePoint Now,
                                                      TimePoint Since,
                                                      Duration Lifetime,
                                                      const Member &Of) const {
  if (Now - Since >= Lifetime + this->Options.DeathWait)
    return Condition::Lost;
  return Of.Joined ? Condition::Paused : Condition::Joining;
}

GroupPlanner::Condition GroupPlanner::condition(TimePoint Now, const Group &In,
                                                std::uint32_t Rank) const {
  const Member &Of = In.Members[Rank];
  const CensusEntry *Entry = this->Census.find(Of.Endpoint);
  if (!Entry)
    return this->silentCondition(Now, In.FormedAt, Duration::zero(), Of);
  const Announcement &Said = Entry->said();
  if (Said.Life != Of.Life)
    return Condition::Lost;
  if (!Entry->Heard.isFresh(Now))
    return this->silentCondition(Now, Entry->Heard.At, Said.Lifetime, Of);
  if (Said.Place != this->placeOf(In, Rank)) {
    bool TooLate = Now - In.FormedAt >= this->Options.JoinTimeout;
    return Of.Joined || Said.Leaving || TooLate ? Condition::Lost
                                                : Condition::Joining;
  }
  if (Said.Leaving)
    return Condition::Leaving;
  if (Said.State != Readiness::Starting)
    return Condition::Present;
  return Now - In.FormedAt >= this->Options.JoinTimeout ? Condition::Lost
                                                        : Condition::Joining;
}

/// Nothing runs on a broken group, so that a leaving member can go at once.
bool GroupPlanner::isMissing(TimePoint Now, const Group &In,
                             std::uint32_t Rank) const {
  Condition Is = this->condition(Now, In, Rank);
  return Is == Condition::Lost ||
         (Is == Condition::Leaving && In.State == GroupState::Broken);
}

void GroupPlanner::noteDarkFabrics(TimePoint Now) {
  std::map<FabricDomainName, bool> Heard;
  for (const auto &[Name, Entry] : this->Census.all())
    Heard[Entry.said().FabricDomain] |= Entry.Heard.isFresh(Now);
  for (const auto &[Fabric, AnyFresh] : Heard)
    if (!AnyFresh)
      this->LastDark[Fabric] = Now;
}

/// The endpoints of a fabric domain that was dark return within moments of one
/// another. A repair for the first of them would disturb groups that are about
/// to be whole.
bool GroupPlanner::isReturning(TimePoint Now,
                               const FabricDomainName &Fabric) const {
  auto Found = this->LastDark.find(Fabric);
  return Found != this->LastDark.end() &&
         Now - Found->second < this->Options.SettleTime;
}

/// The intent no longer wants the group as it is.
bool GroupPlanner::isOutdated(const Group &Each) const {
  auto Wanted = this->Intent.Services.find(Each.Service);
  return Wanted == this->Intent.Services.end() ||
         Wanted->second.HostsPerGroup != Each.Members.size() ||
         Wanted->second.Version != Each.Version;
}

void GroupPlanner::observe(TimePoint Now, Group &Each) {
  bool AnyLost = false;
  bool AnyJoining = false;
  bool AnyPaused = false;
  bool AnyLeaving = false;
  this->fillIn(Now, Each);
  for (std::uint32_t Rank = 0; Rank < Each.Members.size(); ++Rank) {
    Condition Is = this->condition(Now, Each, Rank);
    AnyLost = AnyLost || Is == Condition::Lost;
    AnyJoining = AnyJoining || Is == Condition::Joining;
    AnyPaused = AnyPaused || Is == Condition::Paused;
    AnyLeaving = AnyLeaving || Is == Condition::Leaving;
    if (Is == Condition::Present || Is == Condition::Leaving)
      Each.Members[Rank].Joined = true;
  }
  bool WasServing =
      Each.State == GroupState::Serving || Each.State == GroupState::Draining;
  if (AnyLost || (AnyLeaving && !WasServing)) {
    if (Each.State != GroupState::Broken)
      Each.BrokenSince = Now;
    Each.State = GroupState::Broken;
    return;
  }
  if (AnyJoining || (AnyPaused && !WasServing)) {
    Each.State = GroupState::Forming;
    return;
  }
  bool MustDrain = AnyLeaving || this->isOutdated(Each);
  if (!MustDrain)
    Each.State = GroupState::Serving;
  else if (Each.State != GroupState::Draining) {
    Each.State = GroupState::Draining;
    Each.DrainingSince = Now;
    Each.DrainSequence = 0;
  }
}

bool GroupPlanner::isDrained(TimePoint Now, const Group &Each) const {
  if (Each.DrainSequence == 0)
    return false;
  DrainWatch::Verdict Verdict =
      this->Drains.verdict(Now, Each.Name, this->Epoch, Each.DrainSequence);
  if (Verdict != DrainWatch::Verdict::SilentOnly)
    return Verdict == DrainWatch::Verdict::Drained;
  return Now - Each.DrainingSince >= this->Options.DrainLimit;
}

/// A drained group that is still wanted only lacks its leaving members.
void GroupPlanner::followDrain(TimePoint Now, Group &Each) {
  if (Each.State != GroupState::Draining || !this->isDrained(Now, Each))
    return;
  Each.State = GroupState::Broken;
  Each.BrokenSince = Now;
}

} // namespace carobhinge
