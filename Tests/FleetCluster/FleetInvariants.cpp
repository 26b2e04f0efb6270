//===- Tests/FleetCluster/FleetInvariants.cpp - Invariants ----------------===//
///
/// \file
/// Compares the entry hosts' view with the actual state of the engines.
///
//===----------------------------------------------------------------------===//

#include "FleetCluster.h"

namespace carobhinge {

using Milliseconds = std::chrono::milliseconds;

/// How long an entry host may use an announcement that is no longer true: its
/// lifetime plus the delay on the way to the entry host.
static constexpr Duration StaleLimit = Milliseconds(3000 + 200);

void FleetCluster::violation(const std::string &Description) {
  this->Violations.push_back(
      "at " + std::to_string(milliseconds(this->Now.time_since_epoch())) +
      " ms: " + Description);
}

void FleetCluster::check() {
  for (auto &[Name, Engine] : this->Engines) {
    for (const std::string &Each : Engine.Violations)
      this->violation(Each);
    Engine.Violations.clear();
    if (Engine.isRunning() && Engine.Status.State == Readiness::Cold &&
        Engine.Status.Position.Rank == 0)
      this->checkBudget(Engine);
  }
  for (const auto &[Name, Host] : this->EntryHosts)
    if (Host.Alive && !Host.Frozen)
      this->checkTargets(Host);
  if (this->requestsCutOff() > 0 && this->Violations.empty())
    this->violation("a planned change cut off a request");
}

/// Checks that no incomplete group is a target.
void FleetCluster::checkTargets(const EntryHost &Host) {
  for (const Target &Each : Host.Directory->targets(this->Now, "sheets")) {
    for (const RosterGroup &Group : Host.Directory->roster().Groups) {
      if (Group.Group != Each.Name)
        continue;
      for (std::uint32_t Rank = 0; Rank < Group.Members.size(); ++Rank) {
        GroupPosition Position = {
            .Group = Group.Group,
            .Number = Group.Number,
            .Rank = Rank,
            .Size = static_cast<std::uint32_t>(Group.Members.size())};
        const RosterMember &Member = Group.Members[Rank];
        std::optional<TimePoint> NotMemberSince =
            this->engine(Member.Endpoint)
                .notMemberSince(Position, Member.IncarnationNumber);
        if (NotMemberSince && this->Now - *NotMemberSince > StaleLimit)
          this->violation(Host.Name + " routes to " + Group.Group +
                          " without " + Member.Endpoint);
      }
    }
  }
}

/// Checks that the entry hosts' shares of a cold target don't add up to more
/// than its warm-up budget.
void FleetCluster::checkBudget(const FakeEngine &Head) {
  // An entry host may still use the budget of an earlier warm-up.
  if (Head.CooledDown && this->Now - Head.ColdSince <= StaleLimit)
    return;
  const FleetService &Service = this->Intent.Services.at("sheets");
  std::uint32_t Budget =
      warmUpBudget(Service.WarmUpBudget, Head.Status.BatchLimit,
                   this->Now - Head.ColdSince, Head.Status.Answered, {});
  std::uint32_t Sum = 0;
  for (const auto &[Name, Host] : this->EntryHosts) {
    if (!Host.Alive || Host.Frozen)
      continue;
    for (const Target &Each : Host.Directory->targets(this->Now, "sheets")) {
      if (Each.Name != Head.Status.Position.Group || Each.Draining)
        continue;
      bool Unknown = !Each.WarmingUp;
      if (Unknown && this->Now - Head.ColdSince > StaleLimit)
        this->violation(Name + " treats " + Each.Name + " as warm");
      Sum += Unknown ? 0 : Each.SlotLimit;
    }
  }
  if (Sum > Budget)
    this->violation(Head.Status.Position.Group + " gets " +
                    std::to_string(Sum) + " slots of a budget of " +
                    std::to_string(Budget));
  std::uint32_t Started = 0;
  for (const EngineRequest &Each : Head.Requests)
    Started += Each.StartedAt > Head.ColdSince + StaleLimit ? 1 : 0;
  if (Started > Budget)
    this->violation(Head.Status.Position.Group + " runs " +
                    std::to_string(Started) + " requests, budget " +
                    std::to_string(Budget));
}

/// Checks that no host is a member twice and that no group spans fabric
/// domains.
void FleetCluster::checkRoster(const Roster &Published) {
  std::set<HostName> ListedHosts;
  for (const RosterGroup &Group : Published.Groups) {
    // A broken group still lists the members that it has lost.
    if (Group.State == GroupState::Broken)
      continue;
    std::set<FabricDomainName> Fabrics;
    for (const RosterMember &Member : Group.Members) {
      if (Member.Endpoint.empty())
        continue;
      const Announcement &Announced = this->engine(Member.Endpoint).Status;
      Fabrics.insert(Announced.FabricDomain);
      if (!ListedHosts.insert(Announced.Host).second)
        this->violation(Announced.Host +
                        " is listed in two places of the roster");
    }
    if (Fabrics.size() > 1)
      this->violation(Group.Group + " spans fabric domains");
  }
}

std::uint32_t FleetCluster::servingGroups() const {
  std::map<std::pair<GroupName, FencingToken>, std::uint32_t> Ready;
  std::uint32_t Result = 0;
  for (const auto &[Name, Engine] : this->Engines) {
    const GroupPosition &Position = Engine.Status.Position;
    if (!Engine.isRunning() || Position.Group.empty() ||
        Engine.Status.State == Readiness::Starting)
      continue;
    if (++Ready[{Position.Group, Position.Number}] == Position.Size)
      ++Result;
  }
  return Result;
}

std::uint32_t FleetCluster::minTargetCount() const {
  std::uint32_t Min = UINT32_MAX;
  for (const auto &[Name, Host] : this->EntryHosts) {
    if (!Host.Alive || Host.Frozen)
      continue;
    std::uint32_t Count = 0;
    for (const Target &Each : Host.Directory->targets(this->Now, "sheets"))
      Count += Each.Draining ? 0 : 1;
    Min = std::min(Min, Count);
  }
  return Min;
}

std::uint32_t FleetCluster::possibleGroups() const {
  std::map<FabricDomainName, std::uint32_t> Running;
  for (const auto &[Name, Engine] : this->Engines)
    if (Engine.isRunning() && !Engine.Status.Leaving)
      ++Running[Engine.Status.FabricDomain];
  std::uint32_t Result = 0;
  for (const auto &[Fabric, Count] : Running)
    Result += Count / this->Options.HostsPerGroup;
  return Result;
}

} // namespace carobhinge
