//===- LibFormation/FormationPools.cpp - Divides domains into groups ------===//
///
/// \file
/// Divides fabric domains among the models, and chooses the engines of new
/// groups, the reserves and the weights that they load.
///
//===----------------------------------------------------------------------===//

#include <LibFormation/FormationPlanner.h>
#include <LibFormation/GroupNames.h>
#include <LibFormation/ReservePolicy.h>
#include <algorithm>

namespace carobhinge {

/// Window for EngineSpec::LoadsPerSecond.
static constexpr auto LoadWindow = std::chrono::seconds(1);

ModelName FormationPlanner::modelInMemory(const EngineRecord &Record) const {
  if (Record.Report.Group)
    return modelFromGroupName(Record.Report.Group->Group);
  auto Found = this->LoadedModels.find(Record.Report.Id);
  if (Found != this->LoadedModels.end() &&
      Found->second.first == Record.Report.StartedAtMs)
    return Found->second.second;
  return {};
}

/// \returns whether the engine can join a group of \p Model without loading
/// weights.
bool FormationPlanner::holdsModel(const EngineRecord &Record,
                                  const ModelName &Model) const {
  if (Record.Report.Group && Record.Report.Group->State == MemberState::Joining)
    return false;
  return std::ranges::find(Record.Report.StagedModels, Model) !=
         Record.Report.StagedModels.end();
}

/// \returns whether the engine must leave another serving group before it joins
/// \p GroupToJoin.
bool FormationPlanner::isInOtherServingGroup(
    const EngineRecord &Record, const GroupName &GroupToJoin) const {
  const auto &Member = Record.Report.Group;
  return Member && Member->Group != GroupToJoin &&
         !isReserveName(Member->Group);
}

std::set<EndpointName> FormationPlanner::groupedEngines() const {
  std::set<EndpointName> Grouped;
  for (const auto &[Name, Group] : this->Groups)
    Grouped.insert(Group.Members.begin(), Group.Members.end());
  return Grouped;
}

std::optional<EndpointName>
FormationPlanner::findReplacement(const PlannedGroup &Group) const {
  std::set<EndpointName> Grouped = this->groupedEngines();
  Grouped.insert(Group.Members.begin(), Group.Members.end());
  const EngineRecord *Best = nullptr;
  for (const auto &[Id, Record] : this->Engines.all()) {
    if (Record.Report.Fabric != Group.Fabric ||
        Record.Report.Service != Group.Service || Grouped.contains(Id) ||
        !this->isUsable(Id) || !this->holdsModel(Record, Group.Model) ||
        this->isInOtherServingGroup(Record, Group.Name) ||
        this->isQuarantined(Record))
      continue;
    bool HasModelInMemory = this->modelInMemory(Record) == Group.Model;
    if (Best == nullptr ||
        (HasModelInMemory && this->modelInMemory(*Best) != Group.Model))
      Best = &Record;
  }
  return Best == nullptr ? std::nullopt : std::optional(Best->Report.Id);
}

FormationPlanner::Domains
FormationPlanner::collectDomains(const Service &ServiceSpec) const {
  std::set<EndpointName> Grouped = this->groupedEngines();
  Domains All;
  for (const auto &[Id, Record] : this->Engines.all()) {
    if (Record.Report.Service != ServiceSpec.Name || !this->isUsable(Id))
      continue;
    FabricDomain &Domain = All[Record.Report.Fabric];
    Domain.FailureDomain = Record.Report.FailureDomain;
    ++Domain.Engines;
    Domain.NewestAt = std::max(Domain.NewestAt, Record.FirstReportAt);
    Domain.CompleteSince = std::max(Domain.CompleteSince, Domain.NewestAt);
    if (auto Recovered = this->RecoveredAt.find(Id);
        Recovered != this->RecoveredAt.end())
      Domain.CompleteSince = std::max(Domain.CompleteSince, Recovered->second);
    if (!Grouped.contains(Id) && !this->isInOtherServingGroup(Record, {}) &&
        !this->isQuarantined(Record))
      Domain.Free.push_back(&Record);
  }
  for (const auto &[Name, Group] : this->Groups)
    if (Group.Service == ServiceSpec.Name &&
        Group.Phase != GroupPhase::Dissolving)
      ++All[Group.Fabric].Groups[Group.Model];
  return All;
}

/// Orders orphaned engines to leave. These report a group whose member list
/// doesn't contain them, because the group was dissolved while they were
/// unreachable or because an order to join was executed late.
void FormationPlanner::releaseOrphans(TimePoint Now) {
  for (const auto &[Id, Record] : this->Engines.all()) {
    const auto &Member = Record.Report.Group;
    if (!Member || isReserveName(Member->Group) || !this->isUsable(Id))
      continue;
    auto Found = this->Groups.find(Member->Group);
    if (Found != this->Groups.end() &&
        std::ranges::find(Found->second.Members, Id) !=
            Found->second.Members.end())
      continue;
    PlannedGroup Orphaned{.Name = Member->Group,
                          .Service = Record.Report.Service,
                          .Model = modelFromGroupName(Member->Group),
                          .Fabric = Record.Report.Fabric,
                          .Epoch = Member->Epoch,
                          .Members = {Id},
                          .Phase = GroupPhase::Dissolving,
                          .LastActionAt = Now,
                          .ReadyDeadline = Now};
    this->issueOrder(Now, Id, OrderVerb::Leave, Orphaned);
  }
}

std::map<ModelName, FormationPlanner::EngineCounts>
FormationPlanner::engineCounts() const {
  std::map<ModelName, EngineCounts> Counts;
  for (const auto &[Name, Group] : this->Groups) {
    EngineCounts &ModelCounts = Counts[Group.Model];
    bool Forming = Group.Phase == GroupPhase::Joining ||
                   Group.Phase == GroupPhase::Opening;
    ++(Group.Phase == GroupPhase::Open ? ModelCounts.Open
       : Forming                       ? ModelCounts.Forming
                                       : ModelCounts.Other);
  }
  std::set<EndpointName> Grouped = this->groupedEngines();
  for (const auto &[Id, Record] : this->Engines.all()) {
    if (Record.Report.Fabric.empty())
      continue;
    if (!this->isUsable(Id)) {
      ++Counts[{}].Lost;
      continue;
    }
    if (Grouped.contains(Id))
      continue;
    auto Reserve = this->Reserves.find(Id);
    if (Reserve == this->Reserves.end()) {
      ++Counts[{}].Idle;
      continue;
    }
    EngineCounts &ModelCounts = Counts[Reserve->second.Model];
    ++(this->holdsModel(Record, Reserve->second.Model) ? ModelCounts.Reserves
                                                       : ModelCounts.Loading);
  }
  return Counts;
}

/// A model without a configured share still needs engines.
static constexpr double MinShare = 0.05;

/// \returns the models of the service and all groups that serve or will.
EngineDivision
FormationPlanner::currentDivision(const Service &ServiceSpec) const {
  std::vector<ModelDemand> Models;
  for (const ModelSpec &Model : ServiceSpec.Engine->Models)
    Models.push_back({.Model = Model.Name,
                      .GroupSize = Model.GroupSize,
                      .Weight = std::max(Model.InitialShare, MinShare)});
  EngineDivision Division(std::move(Models));
  for (const auto &[Name, Group] : this->Groups) {
    if (Group.Service != ServiceSpec.Name ||
        Group.Phase == GroupPhase::Silent ||
        Group.Phase == GroupPhase::Dissolving)
      continue;
    const EngineRecord *Head = this->Engines.find(Group.head());
    Division.addGroup(Group.Model, Head == nullptr
                                       ? FailureDomainName()
                                       : Head->Report.FailureDomain);
  }
  return Division;
}

/// \returns whether no engine of the domain holds or loads weights.
bool FormationPlanner::isBlank(const FabricDomain &Domain) const {
  return Domain.Groups.empty() &&
         std::ranges::none_of(Domain.Free, [&](const EngineRecord *Engine) {
           return !Engine->Report.StagedModels.empty() ||
                  this->Reserves.contains(Engine->Report.Id);
         });
}

/// Divides the domains without weights into groups that load them, if no
/// request has arrived yet: loads are fast until then. Later, engines load the
/// weights as reserves first.
void FormationPlanner::divideBlankDomains(TimePoint Now,
                                          const Service &ServiceSpec,
                                          Domains &All,
                                          EngineDivision &Division) {
  if (this->TrafficStarted)
    return;
  std::vector<FreeEngines> Blank;
  TimePoint LastChangeAt;
  TimePoint FirstChangeAt = TimePoint::max();
  for (const auto &[Fabric, Domain] : All) {
    if (!this->isBlank(Domain))
      continue;
    LastChangeAt = std::max(LastChangeAt, Domain.CompleteSince);
    FirstChangeAt = std::min(FirstChangeAt, Domain.CompleteSince);
    if (Now - Domain.CompleteSince >= this->Options.StabilizationTime)
      Blank.push_back({.Fabric = Fabric,
                       .FailureDomain = Domain.FailureDomain,
                       .Count = static_cast<int>(Domain.Free.size())});
  }
  if (Blank.empty() || (Now - LastChangeAt < this->Options.StabilizationTime &&
                        Now - FirstChangeAt < this->Options.DivisionDelay))
    return;
  for (const auto &[Fabric, Chosen] : Division.divide(Blank)) {
    FabricDomain &Domain = All.at(Fabric);
    std::span<const EngineRecord *const> Left = Domain.Free;
    for (const ModelName &Name : Chosen.Groups) {
      const ModelSpec &Model = *ServiceSpec.Engine->model(Name);
      auto Size = static_cast<std::size_t>(Model.GroupSize);
      this->createGroup(Now, ServiceSpec, Model, Fabric, Left.first(Size));
      ++Domain.Groups[Name];
      Division.addGroup(Name, Domain.FailureDomain);
      Left = Left.subspan(Size);
    }
    for (const ModelName &Name : Chosen.Spares) {
      this->createReserve(Now, ServiceSpec, Name, *Left.front());
      Left = Left.subspan(1);
    }
    Domain.Free.erase(Domain.Free.begin(),
                      Domain.Free.end() -
                          static_cast<std::ptrdiff_t>(Left.size()));
  }
}

void FormationPlanner::formGroups(TimePoint Now, const Service &ServiceSpec) {
  Domains All = this->collectDomains(ServiceSpec);
  EngineDivision Division = this->currentDivision(ServiceSpec);
  this->divideBlankDomains(Now, ServiceSpec, All, Division);
  for (auto &[Fabric, Domain] : All) {
    if (Now - Domain.NewestAt < this->Options.StabilizationTime)
      continue;
    for (const ModelSpec &Model : ServiceSpec.Engine->Models)
      this->formGroupsOfHolders(Now, ServiceSpec, Model, Fabric, Domain);
  }
  this->maintainReserves(Now, ServiceSpec, All, Division);
}

Duration
FormationPlanner::joinTime(const ModelSpec &Model,
                           std::span<const EndpointName> Members) const {
  bool AllHoldWeights =
      std::ranges::all_of(Members, [&](const EndpointName &Id) {
        const EngineRecord *Record = this->Engines.find(Id);
        return Record != nullptr && this->holdsModel(*Record, Model.Name);
      });
  // Loads slow down above EngineSpec::ConcurrentLoads, hence twice the time.
  return (AllHoldWeights ? Model.StagedJoinTime : 2 * Model.LoadTime) +
         this->Options.JoinMargin;
}

void FormationPlanner::createGroup(
    TimePoint Now, const Service &ServiceSpec, const ModelSpec &Model,
    const FabricDomainName &Fabric,
    std::span<const EngineRecord *const> Members) {
  std::uint64_t Epoch = this->nextEpoch();
  PlannedGroup Group{.Name = servingGroupName(Model.Name, Epoch),
                     .Service = ServiceSpec.Name,
                     .Model = Model.Name,
                     .Fabric = Fabric,
                     .Epoch = Epoch,
                     .Members = {},
                     .Phase = GroupPhase::Joining,
                     .LastActionAt = Now,
                     .ReadyDeadline = Now};
  for (const EngineRecord *Member : Members) {
    Group.Members.push_back(Member->Report.Id);
    this->Reserves.erase(Member->Report.Id);
  }
  Group.ReadyDeadline += this->joinTime(Model, Group.Members);
  ++this->Revision;
  PlannedGroup &NewGroup = this->Groups[Group.Name] = std::move(Group);
  this->advanceJoining(Now, ServiceSpec, NewGroup);
}

/// Forms as many groups as possible from the free engines that hold the model.
void FormationPlanner::formGroupsOfHolders(TimePoint Now,
                                           const Service &ServiceSpec,
                                           const ModelSpec &Model,
                                           const FabricDomainName &Fabric,
                                           FabricDomain &Domain) {
  auto Size = static_cast<std::size_t>(Model.GroupSize);
  std::vector<const EngineRecord *> Holders;
  for (const EngineRecord *Engine : Domain.Free)
    if (this->holdsModel(*Engine, Model.Name))
      Holders.push_back(Engine);
  std::size_t Used = 0;
  for (; Used + Size <= Holders.size(); Used += Size) {
    this->createGroup(Now, ServiceSpec, Model, Fabric,
                      std::span(Holders).subspan(Used, Size));
    ++Domain.Groups[Model.Name];
  }
  Holders.resize(Used);
  std::erase_if(Domain.Free, [&](const EngineRecord *Engine) {
    return std::ranges::find(Holders, Engine) != Holders.end();
  });
}

/// \returns the number of reserves that are loading weights.
int FormationPlanner::countRunningLoads() const {
  int Count = 0;
  for (const auto &[Id, Reserve] : this->Reserves) {
    const EngineRecord *Record = this->Engines.find(Id);
    if (Record != nullptr && this->isUsable(Id) &&
        !this->holdsModel(*Record, Reserve.Model))
      ++Count;
  }
  return Count;
}

void FormationPlanner::createReserve(TimePoint Now, const Service &ServiceSpec,
                                     const ModelName &Model,
                                     const EngineRecord &Engine) {
  std::uint64_t Epoch = this->nextEpoch();
  PlannedGroup Reserve{.Name = reserveGroupName(Model, Epoch),
                       .Service = ServiceSpec.Name,
                       .Model = Model,
                       .Fabric = Engine.Report.Fabric,
                       .Epoch = Epoch,
                       .Members = {Engine.Report.Id},
                       .Phase = GroupPhase::Joining,
                       .LastActionAt = Now,
                       .ReadyDeadline = Now};
  this->issueOrder(Now, Engine.Report.Id, OrderVerb::Join, Reserve);
  this->Reserves[Engine.Report.Id] = std::move(Reserve);
}

/// Makes the free engines of a domain that hold weights reserves of their
/// model, and chooses what the others load.
void FormationPlanner::chooseLoads(TimePoint Now, const Service &ServiceSpec,
                                   const FabricDomain &Domain,
                                   EngineDivision &Division,
                                   std::vector<LoadCandidate> &Loads) {
  std::vector<DomainModel> Models;
  for (const ModelDemand &Demand : Division.models()) {
    auto Groups = Domain.Groups.find(Demand.Model);
    Models.push_back(
        {.Model = Demand.Model,
         .GroupSize = Demand.GroupSize,
         .Groups = Groups == Domain.Groups.end() ? 0 : Groups->second});
  }
  auto AddReserve = [&](DomainModel &Model) {
    ++Model.Reserves;
    if (Model.Reserves % Model.GroupSize == 0)
      Division.addGroup(Model.Model, Domain.FailureDomain);
  };
  std::vector<const EngineRecord *> Empty;
  for (const EngineRecord *Engine : Domain.Free) {
    auto Reserve = this->Reserves.find(Engine->Report.Id);
    auto Found = std::ranges::find_if(Models, [&](const DomainModel &Each) {
      return Reserve != this->Reserves.end()
                 ? Reserve->second.Model == Each.Model
                 : this->holdsModel(*Engine, Each.Model);
    });
    if (Found == Models.end()) {
      Empty.push_back(Engine);
      continue;
    }
    AddReserve(*Found);
    if (Reserve == this->Reserves.end())
      this->createReserve(Now, ServiceSpec, Found->Model, *Engine);
  }
  auto EmptyCount = static_cast<int>(Empty.size());
  for (const EngineRecord *Engine : Empty) {
    for (std::size_t I = 0; I < Models.size(); ++I)
      Models[I].CapacityRatio = Division.ratio(Division.models()[I]);
    const DomainModel *Chosen = chooseReserveModel(Models, EmptyCount--);
    if (Chosen == nullptr)
      return;
    Loads.push_back({.Engine = Engine,
                     .Model = Chosen->Model,
                     .CapacityRatio = Chosen->CapacityRatio,
                     .MissingEngines = Chosen->missingEngines()});
    AddReserve(Models[static_cast<std::size_t>(Chosen - Models.data())]);
  }
}

/// Makes every free engine a reserve. Loads are started first for the model
/// with the lowest capacity for its share, and among these for the domain whose
/// next group lacks the fewest engines.
void FormationPlanner::maintainReserves(TimePoint Now,
                                        const Service &ServiceSpec,
                                        Domains &All,
                                        EngineDivision &Division) {
  const EngineSpec &Spec = *ServiceSpec.Engine;
  std::erase_if(this->Reserves, [&](const auto &Entry) {
    return this->Engines.find(Entry.first) == nullptr ||
           (this->findMembership(Entry.first, Entry.second) == nullptr &&
            Now - Entry.second.LastActionAt >
                this->Options.OrderResendInterval);
  });
  std::vector<LoadCandidate> Loads;
  for (const auto &[Fabric, Domain] : All) {
    // Its first division is due once the others are complete.
    bool AwaitsDivision = !this->TrafficStarted && this->isBlank(Domain);
    if (!AwaitsDivision)
      this->chooseLoads(Now, ServiceSpec, Domain, Division, Loads);
  }
  std::ranges::stable_sort(Loads, {}, [](const LoadCandidate &Load) {
    return std::pair(Load.CapacityRatio, Load.MissingEngines);
  });
  int Running = this->countRunningLoads();
  for (const LoadCandidate &Next : Loads) {
    // Loads are fast and not limited before the first requests arrive.
    if (this->TrafficStarted &&
        (Running >= Spec.ConcurrentLoads || !this->tryStartLoad(Now, Spec)))
      break;
    ++Running;
    this->createReserve(Now, ServiceSpec, Next.Model, *Next.Engine);
  }
}

bool FormationPlanner::tryStartLoad(TimePoint Now, const EngineSpec &Spec) {
  std::erase_if(this->LoadStarts, [&](TimePoint StartedAt) {
    return Now - StartedAt >= LoadWindow;
  });
  if (static_cast<double>(this->LoadStarts.size()) + 1 > Spec.LoadsPerSecond)
    return false;
  this->LoadStarts.push_back(Now);
  return true;
}

} // namespace carobhinge
