//===- LibFormation/FormationPools.cpp - Divides domains into groups ------===//
///
/// \file
/// Chooses the model of each fabric domain, the engines of its groups, and the
/// reserves and the weights that they load.
///
//===----------------------------------------------------------------------===//

#include <LibFormation/FormationPlanner.h>
#include <LibFormation/GroupNames.h>
#include <algorithm>
#include <limits>

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
      ++All[Group.Fabric].Groups;
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

/// \returns how many of a domain's engines fit into whole groups of \p Model.
static double servingEngines(const ModelSpec &Model, int Engines) {
  int Groups = Engines / Model.GroupSize;
  return Groups * Model.GroupSize;
}

/// \returns the model with the lowest ratio of serving engines to its share of
/// the load, among those whose groups fit into the domain, or null.
const ModelSpec *
FormationPlanner::chooseModel(const EngineSpec &Spec, const Domains &All,
                              const FabricDomainName &Fabric) const {
  const FabricDomain &Domain = All.at(Fabric);
  std::map<ModelName, double> ServingEngines;
  std::set<ModelName> ModelsInFailureDomain;
  for (const auto &[OtherFabric, Model] : this->AssignedModels) {
    auto Found = All.find(OtherFabric);
    const ModelSpec *OtherModel = Spec.model(Model);
    if (Found == All.end() || OtherModel == nullptr || OtherFabric == Fabric)
      continue;
    ServingEngines[Model] += servingEngines(*OtherModel, Found->second.Engines);
    if (Found->second.FailureDomain == All.at(Fabric).FailureDomain)
      ModelsInFailureDomain.insert(Model);
  }
  /// Makes the ratios of models without serving engines differ by share.
  static constexpr double ServingOffset = 0.01;
  /// A model without a configured share still needs a domain.
  static constexpr double MinShare = 0.05;
  const ModelSpec *Best = nullptr;
  double LowestRatio = std::numeric_limits<double>::infinity();
  for (const ModelSpec &Model : Spec.Models) {
    if (Domain.Engines < Model.GroupSize)
      continue;
    double Ratio = (ServingEngines[Model.Name] + ServingOffset) /
                   std::max(Model.InitialShare, MinShare);
    if (ModelsInFailureDomain.contains(Model.Name))
      Ratio *= this->Options.SameModelPenalty;
    if (Ratio < LowestRatio) {
      LowestRatio = Ratio;
      Best = &Model;
    }
  }
  return Best;
}

/// Assigns a model to each fabric domain that has none or too few engines for
/// its model. It alternates between the failure domains, so that each gets all
/// models.
void FormationPlanner::assignModels(TimePoint Now, const EngineSpec &Spec,
                                    const Domains &All) {
  std::map<FailureDomainName, std::vector<FabricDomainName>> Unassigned;
  TimePoint LastChangeAt;
  for (const auto &[Fabric, Domain] : All) {
    const auto Found = this->AssignedModels.find(Fabric);
    const ModelSpec *Model = Found == this->AssignedModels.end()
                                 ? nullptr
                                 : Spec.model(Found->second);
    bool CanServe = Model != nullptr &&
                    (Domain.Groups > 0 || Domain.Engines >= Model->GroupSize);
    if (CanServe)
      continue;
    Unassigned[Domain.FailureDomain].push_back(Fabric);
    // While engines reconnect one by one there are at first too few of them for
    // a group of the model that they hold.
    LastChangeAt = std::max(LastChangeAt, Domain.CompleteSince);
  }
  if (Now - LastChangeAt < this->Options.StabilizationTime)
    return;
  for (std::size_t Round = 0; !Unassigned.empty(); ++Round) {
    for (const auto &[FailureDomain, Fabrics] : Unassigned) {
      if (Round >= Fabrics.size())
        continue;
      const ModelSpec *Model = this->chooseModel(Spec, All, Fabrics[Round]);
      if (Model != nullptr)
        this->AssignedModels[Fabrics[Round]] = Model->Name;
    }
    std::erase_if(Unassigned, [&](const auto &Entry) {
      return Round + 1 >= Entry.second.size();
    });
  }
}

void FormationPlanner::formGroups(TimePoint Now, const Service &ServiceSpec) {
  Domains All = this->collectDomains(ServiceSpec);
  this->assignModels(Now, *ServiceSpec.Engine, All);
  for (auto &[Fabric, Domain] : All) {
    auto Model = this->AssignedModels.find(Fabric);
    if (Model != this->AssignedModels.end() &&
        Now - Domain.NewestAt >= this->Options.StabilizationTime)
      this->formGroupsInDomain(Now, ServiceSpec,
                               *ServiceSpec.Engine->model(Model->second),
                               Fabric, Domain);
  }
  this->maintainReserves(Now, ServiceSpec, All);
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
/// In a domain without any weights, groups are formed from all free engines and
/// load them, if no request has arrived yet.
void FormationPlanner::formGroupsInDomain(TimePoint Now,
                                          const Service &ServiceSpec,
                                          const ModelSpec &Model,
                                          const FabricDomainName &Fabric,
                                          FabricDomain &Domain) {
  auto Size = static_cast<std::size_t>(Model.GroupSize);
  std::vector<const EngineRecord *> Holders;
  for (const EngineRecord *Engine : Domain.Free)
    if (this->holdsModel(*Engine, Model.Name))
      Holders.push_back(Engine);
  bool HasNoWeights =
      Domain.Groups == 0 &&
      std::ranges::none_of(Domain.Free, [&](const auto *Engine) {
        return !Engine->Report.StagedModels.empty() ||
               this->Reserves.contains(Engine->Report.Id);
      });
  // Loads are fast before the first requests arrive. Later, engines load the
  // weights as reserves first.
  if (HasNoWeights && !this->TrafficStarted)
    Holders = Domain.Free;
  std::size_t Used = 0;
  for (; Used + Size <= Holders.size(); Used += Size)
    this->createGroup(Now, ServiceSpec, Model, Fabric,
                      std::span(Holders).subspan(Used, Size));
  Holders.resize(Used);
  std::erase_if(Domain.Free, [&](const EngineRecord *Engine) {
    return std::ranges::find(Holders, Engine) != Holders.end();
  });
  Domain.Groups += static_cast<int>(Used / Size);
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

/// Makes every free engine a reserve that holds the model of its domain. Loads
/// are started first for the model with the lowest ratio of serving engines to
/// its share, and among these for the domain whose next group lacks the fewest
/// engines.
void FormationPlanner::maintainReserves(TimePoint Now,
                                        const Service &ServiceSpec,
                                        Domains &All) {
  const EngineSpec &Spec = *ServiceSpec.Engine;
  std::erase_if(this->Reserves, [&](const auto &Entry) {
    return this->Engines.find(Entry.first) == nullptr ||
           (this->findMembership(Entry.first, Entry.second) == nullptr &&
            Now - Entry.second.LastActionAt >
                this->Options.OrderResendInterval);
  });
  struct Candidate {
    const EngineRecord *Engine;
    const ModelSpec *Model;
    /// Engines that serve the model, divided by its share of the load.
    double ServingRatio;
    /// Engines that the next group of the domain still lacks.
    int MissingEngines;
  };
  std::map<ModelName, double> ServingEngines;
  for (const auto &[Name, Group] : this->Groups)
    if (Group.Phase != GroupPhase::Dissolving)
      ServingEngines[Group.Model] += static_cast<double>(Group.Members.size());
  std::vector<Candidate> ToLoad;
  for (auto &[Fabric, Domain] : All) {
    auto Found = this->AssignedModels.find(Fabric);
    const ModelSpec *Model = Found == this->AssignedModels.end()
                                 ? nullptr
                                 : Spec.model(Found->second);
    if (Model == nullptr)
      continue;
    int HolderCount = 0;
    std::vector<const EngineRecord *> WithoutModel;
    for (const EngineRecord *Engine : Domain.Free) {
      auto Reserve = this->Reserves.find(Engine->Report.Id);
      bool IsReserve = Reserve != this->Reserves.end() &&
                       Reserve->second.Model == Model->Name;
      HolderCount +=
          IsReserve || this->holdsModel(*Engine, Model->Name) ? 1 : 0;
      if (!IsReserve && this->holdsModel(*Engine, Model->Name))
        this->createReserve(Now, ServiceSpec, Model->Name, *Engine);
      else if (!IsReserve)
        WithoutModel.push_back(Engine);
    }
    int MissingEngines = Model->GroupSize - HolderCount % Model->GroupSize;
    for (const EngineRecord *Engine : WithoutModel)
      ToLoad.push_back({.Engine = Engine,
                        .Model = Model,
                        .ServingRatio = ServingEngines[Model->Name] /
                                        std::max(Model->InitialShare, 0.05),
                        .MissingEngines = MissingEngines--});
  }
  std::ranges::stable_sort(ToLoad, {}, [](const Candidate &Load) {
    return std::pair(Load.ServingRatio, Load.MissingEngines);
  });
  int Running = this->countRunningLoads();
  for (const Candidate &Next : ToLoad) {
    // Loads are fast and not limited before the first requests arrive.
    if (this->TrafficStarted &&
        (Running >= Spec.ConcurrentLoads || !this->tryStartLoad(Now, Spec)))
      break;
    ++Running;
    this->createReserve(Now, ServiceSpec, Next.Model->Name, *Next.Engine);
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
