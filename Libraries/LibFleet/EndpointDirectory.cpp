//===- LibFleet/EndpointDirectory.cpp - Routing targets of an entry host --===//
///
/// \file
/// Derives the targets from announcements, the roster, the intent and the
/// latencies of answers.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/EndpointDirectory.h>

#include <algorithm>

namespace carobhinge {

EndpointDirectory::EndpointDirectory(DirectoryOptions Options)
    : Options(std::move(Options)),
      Loads(this->Options.Self, this->Options.LoadLifetime),
      ColdShare(this->Options.Self, this->Options.EntryHosts,
                this->Options.EntryHostsOverlap),
      WarmShare(this->Options.Self, this->Options.EntryHosts,
                Duration::zero()) {}

void EndpointDirectory::setEntryHosts(TimePoint Now,
                                      std::vector<HostName> EntryHosts) {
  this->Options.EntryHosts = EntryHosts;
  this->ColdShare.setEntryHosts(Now, std::move(EntryHosts));
}

void EndpointDirectory::setReachableEntryHosts(
    TimePoint Now, std::vector<HostName> Reachable) {
  this->WarmShare.setEntryHosts(Now, std::move(Reachable));
}

bool EndpointDirectory::handleAnnouncement(TimePoint Now,
                                           const Announcement &NewAnnouncement,
                                           Duration Age) {
  if (NewAnnouncement.FailureDomain != this->Options.FailureDomain)
    return false;
  const ReceivedAnnouncement *Previous =
      this->Announcements.find(NewAnnouncement.Endpoint);
  ServiceName PreviousService =
      Previous ? Previous->Content.Service : ServiceName();
  if (!this->Announcements.update(Now, NewAnnouncement, Age))
    return false;
  if (PreviousService != NewAnnouncement.Service)
    this->EndpointsByService[PreviousService].erase(NewAnnouncement.Endpoint);
  this->EndpointsByService[NewAnnouncement.Service].insert(
      NewAnnouncement.Endpoint);
  this->Lifecycles[NewAnnouncement.Endpoint].handleAnnouncement(
      Now - Age, NewAnnouncement);
  return true;
}

bool EndpointDirectory::updateRoster(const Roster &NewRoster) {
  if (NewRoster.FailureDomain != this->Options.FailureDomain ||
      !isNewer(NewRoster, this->CurrentRoster))
    return false;
  this->CurrentRoster = NewRoster;
  return true;
}

void EndpointDirectory::recordLoad(TimePoint Now, const HostName &Host,
                                   std::uint32_t Requests) {
  this->Loads.record(Now, Host, Requests);
}

EntryHostPlace EndpointDirectory::place(TimePoint Now) const {
  return this->Loads.place(Now, this->Options.EntryHosts);
}

void EndpointDirectory::recordLatency(const Target &Source, Duration Latency) {
  auto [Comparison, Added] = this->Comparisons.try_emplace(
      Source.Service, PeerComparison(this->Options.Comparison));
  Comparison->second.recordLatency(Source.Name, Source.IncarnationNumber,
                                   Latency);
}

void EndpointDirectory::tick(TimePoint Now) {
  for (auto &[Name, Lifecycle] : this->Lifecycles)
    if (!this->Announcements.find(Name)->isFresh(Now))
      Lifecycle.handleExpiry();
  for (const EndpointName &Name :
       this->Announcements.removeExpired(Now, this->Options.RetentionTime)) {
    this->Lifecycles.erase(Name);
    for (auto &[Service, Endpoints] : this->EndpointsByService)
      Endpoints.erase(Name);
  }
  for (auto &[Service, Comparison] : this->Comparisons)
    Comparison.evaluate(Now);
}

EndpointState EndpointDirectory::state(const EndpointName &Endpoint) const {
  auto Found = this->Lifecycles.find(Endpoint);
  return Found == this->Lifecycles.end() ? EndpointState::Expired
                                         : Found->second.state();
}

/// Adds the state of one member to \p Summary. Returns false if the target
/// cannot serve requests because of this member.
bool EndpointDirectory::addMember(TimePoint Now,
                                  const ReceivedAnnouncement &Member,
                                  MemberSummary &Summary) const {
  if (!Member.isFresh(Now))
    return false;
  if (double Limit = Member.Content.RequestLimit; Limit > 0)
    Summary.RequestLimit = Summary.RequestLimit > 0
                               ? std::min(Summary.RequestLimit, Limit)
                               : Limit;
  const EndpointLifecycle &Lifecycle =
      this->Lifecycles.at(Member.Content.Endpoint);
  switch (Lifecycle.state()) {
  case EndpointState::Starting:
  case EndpointState::Expired:
    return false;
  case EndpointState::Cold:
    Summary.Cold = true;
    Summary.ColdSince = std::max(Summary.ColdSince, Lifecycle.coldSince());
    return true;
  case EndpointState::Leaving:
    Summary.Draining = true;
    return true;
  case EndpointState::Warm:
    return true;
  }
  return false;
}

/// Returns the announcement of the member with rank \p Rank, or null unless it
/// is valid and agrees with the roster.
const ReceivedAnnouncement *
EndpointDirectory::freshMember(TimePoint Now, const RosterGroup &Group,
                               std::uint32_t Rank) const {
  const RosterMember &Listed = Group.Members[Rank];
  const ReceivedAnnouncement *Latest =
      this->Announcements.find(Listed.Endpoint);
  if (!Latest || !Latest->isFresh(Now) ||
      Latest->Content.IncarnationNumber != Listed.IncarnationNumber)
    return nullptr;
  GroupPosition Expected = {
      .Group = Group.Group,
      .Number = Group.Number,
      .Rank = Rank,
      .Size = static_cast<std::uint32_t>(Group.Members.size())};
  return Latest->Content.Position == Expected ? Latest : nullptr;
}

std::optional<Target>
EndpointDirectory::groupTarget(TimePoint Now, const RosterGroup &Group) const {
  if (Group.Members.empty() || (Group.State != GroupState::Serving &&
                                Group.State != GroupState::Draining))
    return std::nullopt;
  MemberSummary Members;
  Members.Draining = Group.State == GroupState::Draining;
  for (std::uint32_t Rank = 0; Rank < Group.Members.size(); ++Rank) {
    const ReceivedAnnouncement *Member = this->freshMember(Now, Group, Rank);
    if (!Member || !this->addMember(Now, *Member, Members))
      return std::nullopt;
  }
  const ReceivedAnnouncement &Head =
      *this->Announcements.find(Group.Members.front().Endpoint);
  Target Result =
      this->makeTarget(Now, Group.Group, Group.Number, Head, Members);
  Result.GroupNumber = Group.Number;
  return Result;
}

std::optional<Target>
EndpointDirectory::endpointTarget(TimePoint Now,
                                  const ReceivedAnnouncement &Latest) const {
  MemberSummary Summary;
  if (!this->addMember(Now, Latest, Summary))
    return std::nullopt;
  return this->makeTarget(Now, Latest.Content.Endpoint,
                          Latest.Content.IncarnationNumber, Latest, Summary);
}

Target EndpointDirectory::makeTarget(TimePoint Now, std::string Name,
                                     Incarnation IncarnationNumber,
                                     const ReceivedAnnouncement &Head,
                                     const MemberSummary &Members) const {
  Target Result;
  Result.Name = std::move(Name);
  Result.Service = Head.Content.Service;
  Result.FailureDomain = Head.Content.FailureDomain;
  Result.FabricDomain = Head.Content.FabricDomain;
  Result.Address = Head.Content.Address;
  Result.IncarnationNumber = IncarnationNumber;
  Result.Load = {.Running = Head.Content.Running,
                 .Queued = Head.Content.Queued,
                 .ReceivedAt = Head.ReceivedAt};
  Result.Draining = Members.Draining || this->Intent.IsDomainDrained;
  auto Compared = this->Comparisons.find(Result.Service);
  bool Slow = Compared != this->Comparisons.end() &&
              Compared->second.isSlow(Result.Name, IncarnationNumber);
  Result.WarmingUp = Members.Cold || Slow;
  Result.RequestLimit = Members.RequestLimit;
  Result.SlotLimit = this->slotLimit(Now, Result, Head, Members);
  return Result;
}

std::uint32_t EndpointDirectory::slotLimit(TimePoint Now,
                                           const Target &Destination,
                                           const ReceivedAnnouncement &Head,
                                           const MemberSummary &Members) const {
  std::uint32_t Limit = Head.Content.BatchLimit;
  if (!Destination.WarmingUp)
    return this->WarmShare.share(Now, Destination.Name,
                                 Destination.IncarnationNumber, Limit);
  auto ServiceIntent = this->Intent.Services.find(Destination.Service);
  FleetService Service = ServiceIntent == this->Intent.Services.end()
                             ? FleetService()
                             : ServiceIntent->second;
  std::uint32_t InitialBudget = Service.WarmUpBudget;
  WarmUpCurve Curve = this->Options.Curve;
  if (Service.WarmUpLength > Duration::zero())
    Curve.TimePerDoubling =
        timePerDoubling(Service.WarmUpLength, InitialBudget, Limit);
  // A slow target that does not announce itself as cold keeps the initial
  // budget.
  Duration ColdTime = Members.Cold ? Now - Members.ColdSince : Duration::zero();
  std::uint32_t Budget = warmUpBudget(InitialBudget, Limit, ColdTime,
                                      Head.Content.Answered, Curve);
  return this->ColdShare.share(Now, Destination.Name,
                               Destination.IncarnationNumber, Budget);
}

std::vector<Target>
EndpointDirectory::targets(TimePoint Now, const ServiceName &Service) const {
  std::vector<Target> Result;
  auto ServiceIntent = this->Intent.Services.find(Service);
  if (ServiceIntent == this->Intent.Services.end())
    return Result;
  auto AddIfServing = [&Result](std::optional<Target> NewTarget) {
    if (NewTarget)
      Result.push_back(std::move(*NewTarget));
  };
  if (ServiceIntent->second.HostsPerGroup > 0) {
    for (const RosterGroup &Group : this->CurrentRoster.Groups)
      if (Group.Service == Service)
        AddIfServing(this->groupTarget(Now, Group));
    return Result;
  }
  auto Endpoints = this->EndpointsByService.find(Service);
  if (Endpoints != this->EndpointsByService.end())
    for (const EndpointName &Name : Endpoints->second)
      AddIfServing(this->endpointTarget(Now, *this->Announcements.find(Name)));
  return Result;
}

} // namespace carobhinge
