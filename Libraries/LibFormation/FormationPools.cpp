//===- LibFormation/FormationPools.cpp - Divides domains into groups ------===//
///
/// \file
/// Which models a fabric domain serves, which engines stay in reserve, and
/// which weights these keep at hand.
///
//===----------------------------------------------------------------------===//

#include <LibFormation/FormationPlanner.h>
#include <LibFormation/GroupNames.h>
#include <algorithm>
#include <limits>

namespace carobhinge {

/// Window over which the start of loads is counted.
static constexpr auto LoadWindow = std::chrono::seconds(1);

ModelName FormationPlanner::modelInMemory(const EngineRecord &Record) const {
  if (Record.Report.Group)
    return modelOfGroup(Record.Report.Group->Group);
  auto Found = this->InMemory.find(Record.Report.Id);
  if (Found != this->InMemory.end() &&
      Found->second.first == Record.Report.BornMs)
    return Found->second.second;
  return {};
}

/// Whether the engine can join a group of \p Model without a load.
bool FormationPlanner::holds(const EngineRecord &Record,
                             const ModelName &Model) const {
  if (Record.Report.Group && Record.Report.Group->State == MemberState::Joining)
    return false;
  return std::ranges::find(Record.Report.Staged, Model) !=
         Record.Report.Staged.end();
}

/// Whether the engine must leave a serving group before it joins \p Other.
bool FormationPlanner::isBound(const EngineRecord &Record,
                               const GroupName &Other) const {
  const auto &Member = Record.Report.Group;
  return Member && Member->Group != Other && !isReserveName(Member->Group);
}

std::set<EndpointName> FormationPlanner::taken() const {
  std::set<EndpointName> Taken;
  for (const auto &[Name, Group] : this->Groups)
    Taken.insert(Group.Members.begin(), Group.Members.end());
  return Taken;
}

std::optional<EndpointName>
FormationPlanner::findReplacement(const PlannedGroup &Group) const {
  std::set<EndpointName> Taken = this->taken();
  Taken.insert(Group.Members.begin(), Group.Members.end());
  const EngineRecord *Best = nullptr;
  for (const auto &[Id, Record] : this->Engines.all()) {
    if (Record.Report.Fabric != Group.Fabric ||
        Record.Report.Service != Group.Service || Taken.contains(Id) ||
        !this->isUsable(Id) || !this->holds(Record, Group.Model) ||
        this->isBound(Record, Group.Name) || this->isDistrusted(Record))
      continue;
    bool InMemory = this->modelInMemory(Record) == Group.Model;
    if (Best == nullptr ||
        (InMemory && this->modelInMemory(*Best) != Group.Model))
      Best = &Record;
  }
  return Best == nullptr ? std::nullopt : std::optional(Best->Report.Id);
}

FormationPlanner::Domains FormationPlanner::domains(const Service &Of) const {
  std::set<EndpointName> Taken = this->taken();
  Domains All;
  for (const auto &[Id, Record] : this->Engines.all()) {
    if (Record.Report.Service != Of.Name || !this->isUsable(Id))
      continue;
    Domain &Its = All[Record.Report.Fabric];
    Its.Place = Record.Report.FailureDomain;
    ++Its.Engines;
    Its.NewestAt = std::max(Its.NewestAt, Record.FirstHeardAt);
    Its.CompleteSince = std::max(Its.CompleteSince, Its.NewestAt);
    if (auto Back = this->FoundAt.find(Id); Back != this->FoundAt.end())
      Its.CompleteSince = std::max(Its.CompleteSince, Back->second);
    if (!Taken.contains(Id) && !this->isBound(Record, {}) &&
        !this->isDistrusted(Record))
      Its.Free.push_back(&Record);
  }
  for (const auto &[Name, Group] : this->Groups)
    if (Group.Service == Of.Name && Group.Phase != GroupPhase::Dissolving)
      ++All[Group.Fabric].Groups;
  return All;
}

/// Engines that report a group which doesn't list them: one that was given up
/// while they were out of reach, or a join that was carried out late.
void FormationPlanner::releaseStrays(TimePoint Now) {
  for (const auto &[Id, Record] : this->Engines.all()) {
    const auto &Member = Record.Report.Group;
    if (!Member || isReserveName(Member->Group) || !this->isUsable(Id))
      continue;
    auto Found = this->Groups.find(Member->Group);
    if (Found != this->Groups.end() &&
        std::ranges::find(Found->second.Members, Id) !=
            Found->second.Members.end())
      continue;
    PlannedGroup Left{.Name = Member->Group,
                      .Service = Record.Report.Service,
                      .Model = modelOfGroup(Member->Group),
                      .Fabric = Record.Report.Fabric,
                      .Epoch = Member->Epoch,
                      .Members = {Id},
                      .Phase = GroupPhase::Dissolving,
                      .Since = Now,
                      .ReadyBy = Now};
    this->order(Now, Id, OrderVerb::Leave, Left);
  }
}

std::map<ModelName, FormationPlanner::Census> FormationPlanner::census() const {
  std::map<ModelName, Census> Counts;
  for (const auto &[Name, Group] : this->Groups) {
    Census &Its = Counts[Group.Model];
    bool Forming = Group.Phase == GroupPhase::Joining ||
                   Group.Phase == GroupPhase::Opening;
    ++(Group.Phase == GroupPhase::Open ? Its.Open
       : Forming                       ? Its.Forming
                                       : Its.Other);
  }
  std::set<EndpointName> Taken = this->taken();
  for (const auto &[Id, Record] : this->Engines.all()) {
    if (Record.Report.Fabric.empty())
      continue;
    if (!this->isUsable(Id)) {
      ++Counts[{}].Lost;
      continue;
    }
    if (Taken.contains(Id))
      continue;
    auto Reserve = this->Reserves.find(Id);
    if (Reserve == this->Reserves.end()) {
      ++Counts[{}].Idle;
      continue;
    }
    Census &Its = Counts[Reserve->second.Model];
    ++(this->holds(Record, Reserve->second.Model) ? Its.Reserves : Its.Loading);
  }
  return Counts;
}

/// Engines of a domain that groups of \p Model can use.
static double servingEngines(const ModelSpec &Model, int Engines) {
  int Groups = Engines / Model.GroupSize;
  return Groups * Model.GroupSize;
}

/// The model that is served worst for its share of the work, and that the
/// domain is large enough for.
const ModelSpec *
FormationPlanner::chooseModel(const EngineSpec &Spec, const Domains &All,
                              const FabricDomainName &Fabric) const {
  const Domain &Its = All.at(Fabric);
  std::map<ModelName, double> Serving;
  std::set<ModelName> Here;
  for (const auto &[Other, Model] : this->Assigned) {
    auto Found = All.find(Other);
    const ModelSpec *Its = Spec.model(Model);
    if (Found == All.end() || Its == nullptr || Other == Fabric)
      continue;
    Serving[Model] += servingEngines(*Its, Found->second.Engines);
    if (Found->second.Place == All.at(Fabric).Place)
      Here.insert(Model);
  }
  /// Tells models apart that nothing serves yet.
  static constexpr double NothingServes = 0.01;
  /// A model without a stated share still needs a domain.
  static constexpr double LeastShare = 0.05;
  const ModelSpec *Best = nullptr;
  double Least = std::numeric_limits<double>::infinity();
  for (const ModelSpec &Model : Spec.Models) {
    if (Its.Engines < Model.GroupSize)
      continue;
    double Ratio = (Serving[Model.Name] + NothingServes) /
                   std::max(Model.InitialShare, LeastShare);
    if (Here.contains(Model.Name))
      Ratio *= this->Options.SameModelPenalty;
    if (Ratio < Least) {
      Least = Ratio;
      Best = &Model;
    }
  }
  return Best;
}

/// Gives each domain without a model one. Failure domains take turns, so that
/// each gets all models.
void FormationPlanner::assignModels(TimePoint Now, const EngineSpec &Spec,
                                    const Domains &All) {
  std::map<FailureDomainName, std::vector<FabricDomainName>> Waiting;
  TimePoint Newest;
  for (const auto &[Fabric, Its] : All) {
    const auto Found = this->Assigned.find(Fabric);
    const ModelSpec *Model =
        Found == this->Assigned.end() ? nullptr : Spec.model(Found->second);
    bool Serves =
        Model != nullptr && (Its.Groups > 0 || Its.Engines >= Model->GroupSize);
    if (Serves)
      continue;
    Waiting[Its.Place].push_back(Fabric);
    // While engines come back one by one there are too few of them for the
    // model that all of them hold.
    Newest = std::max(Newest, Its.CompleteSince);
  }
  if (Now - Newest < this->Options.Settle)
    return;
  for (std::size_t Turn = 0; !Waiting.empty(); ++Turn) {
    for (const auto &[Place, Fabrics] : Waiting) {
      if (Turn >= Fabrics.size())
        continue;
      const ModelSpec *Model = this->chooseModel(Spec, All, Fabrics[Turn]);
      if (Model != nullptr)
        this->Assigned[Fabrics[Turn]] = Model->Name;
    }
    std::erase_if(Waiting, [&](const auto &Entry) {
      return Turn + 1 >= Entry.second.size();
    });
  }
}

void FormationPlanner::formGroups(TimePoint Now, const Service &Of) {
  Domains All = this->domains(Of);
  this->assignModels(Now, *Of.Engine, All);
  for (auto &[Fabric, Its] : All) {
    auto Model = this->Assigned.find(Fabric);
    if (Model != this->Assigned.end() &&
        Now - Its.NewestAt >= this->Options.Settle)
      this->formInDomain(Now, Of, *Of.Engine->model(Model->second), Fabric,
                         Its);
  }
  this->keepReserves(Now, Of, All);
}

Duration
FormationPlanner::joinTime(const ModelSpec &Model,
                           std::span<const EndpointName> Members) const {
  bool AllHold = std::ranges::all_of(Members, [&](const EndpointName &Id) {
    const EngineRecord *Record = this->Engines.find(Id);
    return Record != nullptr && this->holds(*Record, Model.Name);
  });
  // Beyond the concurrent loads of the store each takes longer.
  return (AllHold ? Model.StagedJoinTime : 2 * Model.LoadTime) +
         this->Options.JoinMargin;
}

void FormationPlanner::create(TimePoint Now, const Service &Of,
                              const ModelSpec &Model,
                              const FabricDomainName &Fabric,
                              std::span<const EngineRecord *const> Members) {
  std::uint64_t Epoch = this->nextEpoch();
  PlannedGroup Group{.Name = servingGroupName(Model.Name, Epoch),
                     .Service = Of.Name,
                     .Model = Model.Name,
                     .Fabric = Fabric,
                     .Epoch = Epoch,
                     .Members = {},
                     .Phase = GroupPhase::Joining,
                     .Since = Now,
                     .ReadyBy = Now};
  for (const EngineRecord *Member : Members) {
    Group.Members.push_back(Member->Report.Id);
    this->Reserves.erase(Member->Report.Id);
  }
  Group.ReadyBy += this->joinTime(Model, Group.Members);
  ++this->Revision;
  PlannedGroup &Added = this->Groups[Group.Name] = std::move(Group);
  this->advanceJoining(Now, Of, Added);
}

/// Forms as many groups as the free engines that hold the model allow. A
/// domain in which none holds it yet begins with loads.
void FormationPlanner::formInDomain(TimePoint Now, const Service &Of,
                                    const ModelSpec &Model,
                                    const FabricDomainName &Fabric,
                                    Domain &Its) {
  auto Size = static_cast<std::size_t>(Model.GroupSize);
  std::vector<const EngineRecord *> Holders;
  for (const EngineRecord *Each : Its.Free)
    if (this->holds(*Each, Model.Name))
      Holders.push_back(Each);
  bool Untouched =
      Its.Groups == 0 && std::ranges::none_of(Its.Free, [&](const auto *Each) {
        return !Each->Report.Staged.empty() ||
               this->Reserves.contains(Each->Report.Id);
      });
  // Before service begins loads are quick; later, reserves load first.
  if (Untouched && !this->TrafficBegan)
    Holders = Its.Free;
  std::size_t Used = 0;
  for (; Used + Size <= Holders.size(); Used += Size)
    this->create(Now, Of, Model, Fabric,
                 std::span(Holders).subspan(Used, Size));
  Holders.resize(Used);
  std::erase_if(Its.Free, [&](const EngineRecord *Each) {
    return std::ranges::find(Holders, Each) != Holders.end();
  });
  Its.Groups += static_cast<int>(Used / Size);
}

/// Loads from the weight store that are under way.
int FormationPlanner::loading() const {
  int Count = 0;
  for (const auto &[Id, Reserve] : this->Reserves) {
    const EngineRecord *Record = this->Engines.find(Id);
    if (Record != nullptr && this->isUsable(Id) &&
        !this->holds(*Record, Reserve.Model))
      ++Count;
  }
  return Count;
}

void FormationPlanner::makeReserve(TimePoint Now, const Service &Of,
                                   const ModelName &Model,
                                   const EngineRecord &Engine) {
  std::uint64_t Epoch = this->nextEpoch();
  PlannedGroup Reserve{.Name = reserveGroupName(Model, Epoch),
                       .Service = Of.Name,
                       .Model = Model,
                       .Fabric = Engine.Report.Fabric,
                       .Epoch = Epoch,
                       .Members = {Engine.Report.Id},
                       .Phase = GroupPhase::Joining,
                       .Since = Now,
                       .ReadyBy = Now};
  this->order(Now, Engine.Report.Id, OrderVerb::Join, Reserve);
  this->Reserves[Engine.Report.Id] = std::move(Reserve);
}

/// Lets the engines outside groups hold the model of their domain. Of those
/// that must load it, the ones of the model that is served worst come first,
/// among them the ones that complete a group soonest.
void FormationPlanner::keepReserves(TimePoint Now, const Service &Of,
                                    Domains &All) {
  const EngineSpec &Spec = *Of.Engine;
  std::erase_if(this->Reserves, [&](const auto &Entry) {
    return this->Engines.find(Entry.first) == nullptr ||
           (this->membership(Entry.first, Entry.second) == nullptr &&
            Now - Entry.second.Since > this->Options.RepeatAfter);
  });
  struct Candidate {
    const EngineRecord *Engine;
    const ModelSpec *Model;
    /// Engines that serve the model, for its share of the work.
    double Served;
    /// Engines that the next group of the domain lacks.
    int Missing;
  };
  std::map<ModelName, double> Serving;
  for (const auto &[Name, Group] : this->Groups)
    if (Group.Phase != GroupPhase::Dissolving)
      Serving[Group.Model] += static_cast<double>(Group.Members.size());
  std::vector<Candidate> ToLoad;
  for (auto &[Fabric, Its] : All) {
    auto Found = this->Assigned.find(Fabric);
    const ModelSpec *Model =
        Found == this->Assigned.end() ? nullptr : Spec.model(Found->second);
    if (Model == nullptr)
      continue;
    int Held = 0;
    std::vector<const EngineRecord *> Empty;
    for (const EngineRecord *Each : Its.Free) {
      auto Reserve = this->Reserves.find(Each->Report.Id);
      bool Kept = Reserve != this->Reserves.end() &&
                  Reserve->second.Model == Model->Name;
      Held += Kept || this->holds(*Each, Model->Name) ? 1 : 0;
      if (!Kept && this->holds(*Each, Model->Name))
        this->makeReserve(Now, Of, Model->Name, *Each);
      else if (!Kept)
        Empty.push_back(Each);
    }
    int Missing = Model->GroupSize - Held % Model->GroupSize;
    for (const EngineRecord *Each : Empty)
      ToLoad.push_back(
          {.Engine = Each,
           .Model = Model,
           .Served = Serving[Model->Name] / std::max(Model->InitialShare, 0.05),
           .Missing = Missing--});
  }
  std::ranges::stable_sort(ToLoad, {}, [](const Candidate &Each) {
    return std::pair(Each.Served, Each.Missing);
  });
  int Under = this->loading();
  for (const Candidate &Next : ToLoad) {
    // Before service begins loads are quick and not limited.
    if (this->TrafficBegan &&
        (Under >= Spec.ConcurrentLoads || !this->takeLoad(Now, Spec)))
      break;
    ++Under;
    this->makeReserve(Now, Of, Next.Model->Name, *Next.Engine);
  }
}

bool FormationPlanner::takeLoad(TimePoint Now, const EngineSpec &Spec) {
  std::erase_if(this->Loads,
                [&](TimePoint At) { return Now - At >= LoadWindow; });
  if (static_cast<double>(this->Loads.size()) + 1 > Spec.LoadsPerSecond)
    return false;
  this->Loads.push_back(Now);
  return true;
}

} // namespace carobhinge
