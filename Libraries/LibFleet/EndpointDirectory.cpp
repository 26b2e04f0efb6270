//===- LibFleet/EndpointDirectory.cpp - What one entry host may route to --===//
///
/// \file
/// Joins announcements, the roster, the intent and the answers' latencies into
/// targets.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/EndpointDirectory.h>

#include <algorithm>

namespace carobhinge {

EndpointDirectory::EndpointDirectory(DirectoryOptions Options)
    : Options(std::move(Options)),
      Share(this->Options.Self, this->Options.EntryHosts,
            this->Options.EntryHostsOverlap),
      WarmShare(this->Options.Self, this->Options.EntryHosts,
                Duration::zero()) {}

void EndpointDirectory::entryHostsChanged(TimePoint Now,
                                          std::vector<HostName> EntryHosts) {
  this->Share.entryHostsChanged(Now, std::move(EntryHosts));
}

void EndpointDirectory::entryHostsHeard(TimePoint Now,
                                        std::vector<HostName> Heard) {
  this->WarmShare.entryHostsChanged(Now, std::move(Heard));
}

bool EndpointDirectory::announced(TimePoint Now, const Announcement &Said,
                                  Duration Age) {
  if (Said.FailureDomain != this->Options.FailureDomain)
    return false;
  const HeardAnnouncement *Known = this->Table.find(Said.Endpoint);
  ServiceName Before = Known ? Known->Said.Service : ServiceName();
  if (!this->Table.take(Now, Said, Age))
    return false;
  if (Before != Said.Service)
    this->EndpointsOf[Before].erase(Said.Endpoint);
  this->EndpointsOf[Said.Service].insert(Said.Endpoint);
  this->Lives[Said.Endpoint].announced(Now - Age, Said);
  return true;
}

bool EndpointDirectory::rosterUpdated(const Roster &New) {
  if (New.FailureDomain != this->Options.FailureDomain ||
      !isNewer(New, this->Groups))
    return false;
  this->Groups = New;
  return true;
}

void EndpointDirectory::answered(const Target &From, Duration Latency) {
  auto [Found, Added] = this->Comparisons.try_emplace(
      From.Service, PeerComparison(this->Options.Comparison));
  Found->second.answered(From.Name, From.Life, Latency);
}

void EndpointDirectory::tick(TimePoint Now) {
  for (auto &[Name, Life] : this->Lives)
    if (!this->Table.find(Name)->isFresh(Now))
      Life.expired();
  for (const EndpointName &Name :
       this->Table.forget(Now, this->Options.ForgetAfter)) {
    this->Lives.erase(Name);
    for (auto &[Service, Endpoints] : this->EndpointsOf)
      Endpoints.erase(Name);
  }
  for (auto &[Service, Comparison] : this->Comparisons)
    Comparison.judge(Now);
}

EndpointState EndpointDirectory::state(const EndpointName &Endpoint) const {
  auto Found = this->Lives.find(Endpoint);
  return Found == this->Lives.end() ? EndpointState::Silent
                                    : Found->second.state();
}

/// Adds what one member says. False if it keeps the target from serving.
bool EndpointDirectory::addMember(TimePoint Now,
                                  const HeardAnnouncement &Member,
                                  Summary &Into) const {
  if (!Member.isFresh(Now))
    return false;
  const EndpointLife &Life = this->Lives.at(Member.Said.Endpoint);
  switch (Life.state()) {
  case EndpointState::Starting:
  case EndpointState::Silent:
    return false;
  case EndpointState::Cold:
    Into.Cold = true;
    Into.ColdSince = std::max(Into.ColdSince, Life.coldSince());
    return true;
  case EndpointState::Leaving:
    Into.Draining = true;
    return true;
  case EndpointState::Warm:
    return true;
  }
  return false;
}

/// The member of rank \p Rank if its own word agrees with the roster.
const HeardAnnouncement *
EndpointDirectory::freshMember(TimePoint Now, const RosterGroup &Group,
                               std::uint32_t Rank) const {
  const RosterMember &Listed = Group.Members[Rank];
  const HeardAnnouncement *Heard = this->Table.find(Listed.Endpoint);
  if (!Heard || !Heard->isFresh(Now) || Heard->Said.Life != Listed.Life)
    return nullptr;
  GroupPlace Expected = {.Group = Group.Group,
                         .Number = Group.Number,
                         .Rank = Rank,
                         .Size =
                             static_cast<std::uint32_t>(Group.Members.size())};
  return Heard->Said.Place == Expected ? Heard : nullptr;
}

std::optional<Target>
EndpointDirectory::groupTarget(TimePoint Now, const RosterGroup &Group) const {
  if (Group.Members.empty() || (Group.State != GroupState::Serving &&
                                Group.State != GroupState::Draining))
    return std::nullopt;
  Summary Members;
  Members.Draining = Group.State == GroupState::Draining;
  for (std::uint32_t Rank = 0; Rank < Group.Members.size(); ++Rank) {
    const HeardAnnouncement *Member = this->freshMember(Now, Group, Rank);
    if (!Member || !this->addMember(Now, *Member, Members))
      return std::nullopt;
  }
  const HeardAnnouncement &Front =
      *this->Table.find(Group.Members.front().Endpoint);
  Target Result =
      this->makeTarget(Now, Group.Group, Group.Number, Front, Members);
  Result.Number = Group.Number;
  return Result;
}

std::optional<Target>
EndpointDirectory::endpointTarget(TimePoint Now,
                                  const HeardAnnouncement &Heard) const {
  Summary Alone;
  if (!this->addMember(Now, Heard, Alone))
    return std::nullopt;
  return this->makeTarget(Now, Heard.Said.Endpoint, Heard.Said.Life, Heard,
                          Alone);
}

Target EndpointDirectory::makeTarget(TimePoint Now, std::string Name,
                                     Incarnation Life,
                                     const HeardAnnouncement &Front,
                                     const Summary &Members) const {
  Target Result;
  Result.Name = std::move(Name);
  Result.Service = Front.Said.Service;
  Result.FailureDomain = Front.Said.FailureDomain;
  Result.FabricDomain = Front.Said.FabricDomain;
  Result.Address = Front.Said.Address;
  Result.Life = Life;
  Result.Load = {.Running = Front.Said.Running,
                 .Queued = Front.Said.Queued,
                 .ReceivedAt = Front.At};
  Result.Draining = Members.Draining || this->Intent.DomainOut;
  auto Compared = this->Comparisons.find(Result.Service);
  bool Slow = Compared != this->Comparisons.end() &&
              Compared->second.isSlow(Result.Name, Life);
  Result.WarmingUp = Members.Cold || Slow;
  Result.SlotLimit = this->slots(Now, Result, Front, Members);
  return Result;
}

std::uint32_t EndpointDirectory::slots(TimePoint Now, const Target &For,
                                       const HeardAnnouncement &Front,
                                       const Summary &Members) const {
  std::uint32_t Limit = Front.Said.BatchLimit;
  if (!For.WarmingUp)
    return this->WarmShare.share(Now, For.Name, For.Life, Limit);
  auto Found = this->Intent.Services.find(For.Service);
  FleetService Service =
      Found == this->Intent.Services.end() ? FleetService() : Found->second;
  std::uint32_t Initial = Service.WarmUpBudget;
  WarmUpCurve Curve = this->Options.Curve;
  if (Service.WarmUpLength > Duration::zero())
    Curve.TimePerDoubling =
        timePerDoubling(Service.WarmUpLength, Initial, Limit);
  // A target that is slow without saying so is held at the initial budget.
  Duration Age = Members.Cold ? Now - Members.ColdSince : Duration::zero();
  std::uint32_t Budget =
      warmUpBudget(Initial, Limit, Age, Front.Said.Answered, Curve);
  return this->Share.share(Now, For.Name, For.Life, Budget);
}

std::vector<Target>
EndpointDirectory::targets(TimePoint Now, const ServiceName &Service) const {
  std::vector<Target> Result;
  auto Wanted = this->Intent.Services.find(Service);
  if (Wanted == this->Intent.Services.end())
    return Result;
  auto Keep = [&Result](std::optional<Target> Made) {
    if (Made)
      Result.push_back(std::move(*Made));
  };
  if (Wanted->second.HostsPerGroup > 0) {
    for (const RosterGroup &Group : this->Groups.Groups)
      if (Group.Service == Service)
        Keep(this->groupTarget(Now, Group));
    return Result;
  }
  auto Endpoints = this->EndpointsOf.find(Service);
  if (Endpoints != this->EndpointsOf.end())
    for (const EndpointName &Name : Endpoints->second)
      Keep(this->endpointTarget(Now, *this->Table.find(Name)));
  return Result;
}

} // namespace carobhinge
