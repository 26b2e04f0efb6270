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
  if (Record.Report.Group &&
      Record.Report.Group->State == MemberState::Joining)
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
        this->isBound(Record, Group.Name))
      continue;
    bool InMemory = this->modelInMemory(Record) == Group.Model;
    if (Best == nullptr ||
        (InMemory && this->modelInMemory(*Best) != Group.Model))
      Best = &Record;
  }
  return Best == nullptr ? std::nullopt : std::optional(Best->Report.Id);
}

std::map<FabricDomainName, FormationPlanner::Pool>
FormationPlanner::pools(const Service &Of) const {
  std::set<EndpointName> Taken = this->taken();
  std::map<FabricDomainName, Pool> Pools;
  for (const auto &[Id, Record] : this->Engines.all()) {
    if (Record.Report.Service != Of.Name || !this->isUsable(Id))
      continue;
    Pool &Its = Pools[Record.Report.Fabric];
    ++Its.Engines;
    Its.NewestAt = std::max(Its.NewestAt, Record.FirstHeardAt);
    if (!Taken.contains(Id) && !this->isBound(Record, {}))
      Its.Free.push_back(&Record);
  }
  for (const auto &[Name, Group] : this->Groups)
    if (Group.Service == Of.Name && Group.Phase != GroupPhase::Dissolving)
      ++Pools[Group.Fabric].Groups[Group.Model];
  return Pools;
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
                      .Since = Now};
    this->order(Now, Id, OrderVerb::Leave, Left);
  }
}

/// Engines in groups by model; groups that are being dissolved left out.
std::map<ModelName, double> FormationPlanner::enginesByModel() const {
  std::map<ModelName, double> Engines;
  for (const auto &[Name, Group] : this->Groups)
    if (Group.Phase != GroupPhase::Dissolving)
      Engines[Group.Model] += static_cast<double>(Group.Members.size());
  return Engines;
}

namespace {

/// Searches the numbers of groups of each model that suit one domain best:
/// the model that is served worst for its share of the work decides, then the
/// engines left in reserve.
class CountSearch {
public:
  CountSearch(const EngineSpec &Spec, int Engines, int LeastReserves,
              const std::map<ModelName, double> &Serving)
      : Spec(Spec), Spare(Engines - LeastReserves), Serving(Serving),
        Counts(Spec.Models.size(), 0), Best(Counts) {}

  std::vector<int> run() {
    this->tryFrom(0, this->Spare);
    return this->Best;
  }

private:
  void tryFrom(std::size_t Model, int Left) {
    if (Model == this->Spec.Models.size())
      return this->consider(Left);
    int Size = this->Spec.Models[Model].GroupSize;
    for (int Count = 0; Count * Size <= Left; ++Count) {
      this->Counts[Model] = Count;
      this->tryFrom(Model + 1, Left - Count * Size);
    }
    this->Counts[Model] = 0;
  }

  void consider(int Left) {
    // Serving time lost to queues falls with the square of what serves.
    double Cost = 0;
    for (std::size_t I = 0; I < this->Counts.size(); ++I) {
      const ModelSpec &Model = this->Spec.Models[I];
      auto Found = this->Serving.find(Model.Name);
      double Serving =
          (Found == this->Serving.end() ? 0 : Found->second) +
          static_cast<double>(this->Counts[I] * Model.GroupSize);
      double Share = std::max(Model.InitialShare, LeastShare);
      Cost += Share * Share / std::max(Serving, NothingServes);
    }
    if (Cost < this->BestCost - 1e-12 ||
        (Cost <= this->BestCost && Left > this->BestLeft)) {
      this->BestCost = Cost;
      this->BestLeft = Left;
      this->Best = this->Counts;
    }
  }

  /// A model without a stated share still needs a group.
  static constexpr double LeastShare = 0.05;
  /// Stands for no engine at all, so that a first group beats any other.
  static constexpr double NothingServes = 0.01;

  const EngineSpec &Spec;
  int Spare;
  const std::map<ModelName, double> &Serving;
  std::vector<int> Counts;
  std::vector<int> Best;
  double BestCost = std::numeric_limits<double>::infinity();
  int BestLeft = -1;
};

} // namespace

std::vector<int>
FormationPlanner::chooseCounts(const EngineSpec &Spec, int Engines,
                               const std::map<ModelName, double> &Serving) const {
  return CountSearch(Spec, Engines, this->Options.LeastReserves, Serving).run();
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

void FormationPlanner::formGroups(TimePoint Now, const Service &Of) {
  for (auto &[Fabric, Idle] : this->pools(Of)) {
    if (Idle.Free.empty() || Now - Idle.NewestAt < this->Options.Settle)
      continue;
    if (Idle.Groups.empty())
      this->formInitially(Now, Of, Fabric, Idle);
    else
      this->formFromReserves(Now, Of, Fabric, Idle);
    this->keepReserves(Now, Of, Idle);
  }
}

void FormationPlanner::create(TimePoint Now, const Service &Of,
                              const ModelSpec &Model,
                              const FabricDomainName &Fabric,
                              std::vector<const EngineRecord *> Members) {
  std::uint64_t Epoch = this->nextEpoch();
  PlannedGroup Group{.Name = servingGroupName(Model.Name, Epoch),
                     .Service = Of.Name,
                     .Model = Model.Name,
                     .Fabric = Fabric,
                     .Epoch = Epoch,
                     .Members = {},
                     .Phase = GroupPhase::Joining,
                     .Since = Now};
  for (const EngineRecord *Member : Members) {
    Group.Members.push_back(Member->Report.Id);
    this->Reserves.erase(Member->Report.Id);
  }
  ++this->Revision;
  PlannedGroup &Added = this->Groups[Group.Name] = std::move(Group);
  this->advanceJoining(Now, Of, Added);
}

/// A domain without a group: all its engines are divided at once.
void FormationPlanner::formInitially(TimePoint Now, const Service &Of,
                                     const FabricDomainName &Fabric,
                                     Pool &Idle) {
  const EngineSpec &Spec = *Of.Engine;
  std::vector<int> Counts =
      this->chooseCounts(Spec, static_cast<int>(Idle.Free.size()),
                         this->enginesByModel());
  for (std::size_t I = 0; I < Counts.size(); ++I)
    for (int Made = 0; Made < Counts[I]; ++Made) {
      const ModelSpec &Model = Spec.Models[I];
      // Engines that hold the model first.
      std::ranges::stable_partition(Idle.Free, [&](const EngineRecord *Each) {
        return this->holds(*Each, Model.Name);
      });
      std::vector<const EngineRecord *> Members(
          Idle.Free.begin(), Idle.Free.begin() + Model.GroupSize);
      Idle.Free.erase(Idle.Free.begin(), Idle.Free.begin() + Model.GroupSize);
      this->create(Now, Of, Model, Fabric, std::move(Members));
      ++Idle.Groups[Model.Name];
    }
}

/// A domain with groups: another one where enough reserves hold its model.
void FormationPlanner::formFromReserves(TimePoint Now, const Service &Of,
                                        const FabricDomainName &Fabric,
                                        Pool &Idle) {
  const EngineSpec &Spec = *Of.Engine;
  std::vector<const ModelSpec *> Order;
  for (const ModelSpec &Model : Spec.Models)
    Order.push_back(&Model);
  std::map<ModelName, double> Serving = this->enginesByModel();
  std::ranges::sort(Order, {}, [&](const ModelSpec *Model) {
    return Serving[Model->Name] / std::max(Model->InitialShare, 0.01);
  });
  for (const ModelSpec *Model : Order) {
    std::vector<const EngineRecord *> Holders;
    for (const EngineRecord *Each : Idle.Free)
      if (this->holds(*Each, Model->Name))
        Holders.push_back(Each);
    auto Size = static_cast<std::size_t>(Model->GroupSize);
    auto Reserve = static_cast<std::size_t>(this->Options.LeastReserves);
    if (Holders.size() < Size || Idle.Free.size() < Size + Reserve)
      continue;
    Holders.resize(Size);
    std::erase_if(Idle.Free, [&](const EngineRecord *Each) {
      return std::ranges::find(Holders, Each) != Holders.end();
    });
    this->create(Now, Of, *Model, Fabric, std::move(Holders));
    ++Idle.Groups[Model->Name];
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

/// Gives each reserve the model whose groups in the domain have the fewest
/// reserves for their size. What an engine holds already is kept.
void FormationPlanner::keepReserves(TimePoint Now, const Service &Of,
                                    Pool &Idle) {
  const EngineSpec &Spec = *Of.Engine;
  std::map<ModelName, int> Kept;
  std::vector<const EngineRecord *> Empty;
  for (const EngineRecord *Each : Idle.Free) {
    auto Reserve = this->Reserves.find(Each->Report.Id);
    if (Reserve != this->Reserves.end() &&
        this->membership(Each->Report.Id, Reserve->second) == nullptr &&
        Now - Reserve->second.Since > this->Options.RepeatAfter)
      this->Reserves.erase(Reserve);
    Reserve = this->Reserves.find(Each->Report.Id);
    if (Reserve != this->Reserves.end())
      ++Kept[Reserve->second.Model];
    else
      Empty.push_back(Each);
  }
  for (const EngineRecord *Each : Empty) {
    const ModelSpec *Chosen = nullptr;
    double Least = std::numeric_limits<double>::infinity();
    for (const ModelSpec &Model : Spec.Models) {
      double Members = 0.5 + Idle.Groups[Model.Name] * Model.GroupSize;
      double Cover = (Kept[Model.Name] + 0.5) / Members;
      // A load takes long; what is at hand is worth several reserves.
      if (this->holds(*Each, Model.Name))
        Cover /= 4;
      if (Cover < Least) {
        Least = Cover;
        Chosen = &Model;
      }
    }
    if (Chosen == nullptr)
      continue;
    if (!this->holds(*Each, Chosen->Name) && !this->takeLoad(Now, Spec))
      continue;
    ++Kept[Chosen->Name];
    std::uint64_t Epoch = this->nextEpoch();
    PlannedGroup Reserve{.Name = reserveGroupName(Chosen->Name, Epoch),
                         .Service = Of.Name,
                         .Model = Chosen->Name,
                         .Fabric = Each->Report.Fabric,
                         .Epoch = Epoch,
                         .Members = {Each->Report.Id},
                         .Phase = GroupPhase::Joining,
                         .Since = Now};
    this->order(Now, Each->Report.Id, OrderVerb::Join, Reserve);
    this->Reserves[Each->Report.Id] = std::move(Reserve);
  }
}

} // namespace carobhinge
