//===- LibFormation/EngineDivision.cpp - Engines of each model ------------===//
///
/// \file
/// A local search: the division of one fabric domain after the other is
/// replaced by the best one beside the others, until none improves. It starts
/// twice, from no groups and from domains of one model each.
///
//===----------------------------------------------------------------------===//

#include <LibFormation/EngineDivision.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <numeric>

namespace carobhinge {

/// Probability that a fabric domain loses engines before others have loaded the
/// weights, and the fraction of the engines in groups that it then loses; at
/// least one.
static constexpr double LossProbability = 0.3;
static constexpr double LostFraction = 0.125;
/// Rounds over all domains; more change little.
static constexpr int MaxRounds = 4;
/// A later division must be better by this fraction.
static constexpr double MinImprovement = 1e-9;
/// Added to the fraction of its engines that a model gets, so that one without
/// any has a finite cost.
static constexpr double FractionOffset = 0.02;
/// How much more the model that is served worst counts than the others.
static constexpr double NeedExponent = 4;
/// Makes the larger of two divisions win that serve the models equally well.
static constexpr double TotalWeight = 1e-3;

double expectedCapacity(int GroupSize, int Groups, int Spares) {
  auto Losses = static_cast<int>(LostFraction * Groups * GroupSize);
  int Uncovered = std::max(std::max(Losses, 1) - Spares, 0);
  // The first of them ends a group, whose other members are then spares.
  int LostGroups = std::min((Uncovered + GroupSize - 1) / GroupSize, Groups);
  return GroupSize * (Groups - LossProbability * LostGroups);
}

namespace {

/// One way to divide a fabric domain; the indices are those of the models.
struct Composition {
  std::vector<int> Groups;
  std::vector<int> Spares;
  std::vector<double> Capacity;

  [[nodiscard]] bool hasOneModel() const {
    return std::ranges::count_if(this->Groups,
                                 [](int Count) { return Count > 0; }) <= 1;
  }
};

/// Expected engines of each model in each failure domain.
class CapacityTable {
public:
  /// \p AllEngines: engines to divide, and those in groups.
  CapacityTable(std::span<const ModelDemand> Models, std::size_t FailureDomains,
                double AllEngines)
      : AllEngines(AllEngines),
        Engines(Models.size(), std::vector<double>(FailureDomains)) {
    double WeightSum = 0;
    for (const ModelDemand &Each : Models)
      WeightSum += Each.Weight;
    for (const ModelDemand &Each : Models)
      this->IdealEngines.push_back(AllEngines * Each.Weight / WeightSum);
  }

  void add(std::size_t FailureDomain, std::span<const double> Capacity,
           double Sign) {
    for (std::size_t I = 0; I < Capacity.size(); ++I)
      this->Engines[I][FailureDomain] += Sign * Capacity[I];
  }

  /// \returns how well the models are served; higher is better.
  [[nodiscard]] double score() const {
    double Result = 0;
    for (std::size_t I = 0; I < this->Engines.size(); ++I) {
      const std::vector<double> &Row = this->Engines[I];
      double Sum = std::accumulate(Row.begin(), Row.end(), 0.0);
      double AfterLoss = Sum - *std::ranges::max_element(Row);
      double Fraction = (Sum + AfterLoss) / 2 / this->IdealEngines[I];
      Result += TotalWeight * Sum / this->AllEngines -
                std::pow(Fraction + FractionOffset, -NeedExponent);
    }
    return Result;
  }

private:
  double AllEngines;
  /// The share of all engines that each model's weight asks for.
  std::vector<double> IdealEngines;
  /// By model and failure domain.
  std::vector<std::vector<double>> Engines;
};

/// All ways to divide \p Engines engines into groups. The engines left over
/// are spares, shared out among the models with groups, the largest first.
class CompositionList {
public:
  CompositionList(std::span<const ModelDemand> Models, int Engines)
      : Models(Models), BySize(Models.size()), Groups(Models.size()) {
    std::iota(this->BySize.begin(), this->BySize.end(), 0);
    std::ranges::stable_sort(this->BySize, std::greater(), [&](std::size_t I) {
      return Models[I].GroupSize;
    });
    this->extend(0, Engines);
  }

  [[nodiscard]] const std::vector<Composition> &all() const {
    return this->Result;
  }

private:
  void extend(std::size_t Model, int Left) {
    if (Model == this->Models.size())
      return this->finish(Left);
    int Most = Left / this->Models[Model].GroupSize;
    for (int Count = 0; Count <= Most; ++Count) {
      this->Groups[Model] = Count;
      this->extend(Model + 1, Left - Count * this->Models[Model].GroupSize);
    }
  }

  void finish(int Left) {
    Composition Added{.Groups = this->Groups,
                      .Spares = std::vector<int>(this->Models.size()),
                      .Capacity = {}};
    bool Shared = true;
    while (Left > 0 && Shared) {
      Shared = false;
      for (std::size_t I : this->BySize)
        if (Added.Groups[I] > 0 && Left > 0) {
          ++Added.Spares[I];
          --Left;
          Shared = true;
        }
    }
    for (std::size_t I = 0; I < this->Models.size(); ++I)
      Added.Capacity.push_back(expectedCapacity(
          this->Models[I].GroupSize, Added.Groups[I], Added.Spares[I]));
    this->Result.push_back(std::move(Added));
  }

  std::span<const ModelDemand> Models;
  std::vector<std::size_t> BySize;
  std::vector<int> Groups;
  std::vector<Composition> Result;
};

/// A fabric domain and its present division.
struct SearchedDomain {
  std::size_t FailureDomain = 0;
  const std::vector<Composition> *Options = nullptr;
  const Composition *Chosen = nullptr;
};

/// Replaces the division of each domain by the best one beside the others.
/// \returns whether any improved.
bool improve(std::span<SearchedDomain> Domains, CapacityTable &Table,
             bool OnlyOneModel) {
  bool Improved = false;
  for (SearchedDomain &Each : Domains) {
    double BestScore = -std::numeric_limits<double>::infinity();
    if (Each.Chosen != nullptr) {
      BestScore = Table.score();
      BestScore += MinImprovement * std::abs(BestScore);
      Table.add(Each.FailureDomain, Each.Chosen->Capacity, -1);
    }
    const Composition *Best = Each.Chosen;
    for (const Composition &Option : *Each.Options) {
      if (OnlyOneModel && !Option.hasOneModel())
        continue;
      Table.add(Each.FailureDomain, Option.Capacity, 1);
      if (Table.score() > BestScore) {
        BestScore = Table.score();
        Best = &Option;
      }
      Table.add(Each.FailureDomain, Option.Capacity, -1);
    }
    Improved = Improved || Best != Each.Chosen;
    Each.Chosen = Best;
    Table.add(Each.FailureDomain, Best->Capacity, 1);
  }
  return Improved;
}

} // namespace

void EngineDivision::addGroup(const ModelName &Model,
                              const FailureDomainName &FailureDomain) {
  for (const ModelDemand &Each : this->Models)
    if (Each.Model == Model)
      this->Engines[Model][FailureDomain] += Each.GroupSize;
}

double EngineDivision::ratio(const ModelDemand &Model) const {
  double Sum = 0;
  if (auto Found = this->Engines.find(Model.Model);
      Found != this->Engines.end())
    for (const auto &[FailureDomain, Count] : Found->second)
      Sum += Count;
  return Sum / Model.Weight;
}

std::map<FabricDomainName, DomainDivision>
EngineDivision::divide(std::span<const FreeEngines> Free) const {
  std::map<FailureDomainName, std::size_t> FailureDomains;
  double AllEngines = 0;
  for (const FreeEngines &Each : Free) {
    FailureDomains.try_emplace(Each.FailureDomain, FailureDomains.size());
    AllEngines += Each.Count;
  }
  for (const auto &[Model, ByDomain] : this->Engines)
    for (const auto &[FailureDomain, Count] : ByDomain) {
      FailureDomains.try_emplace(FailureDomain, FailureDomains.size());
      AllEngines += Count;
    }
  CapacityTable Existing(this->Models, FailureDomains.size(),
                         std::max(AllEngines, 1.0));
  for (std::size_t I = 0; I < this->Models.size(); ++I)
    if (auto Found = this->Engines.find(this->Models[I].Model);
        Found != this->Engines.end())
      for (const auto &[FailureDomain, Count] : Found->second) {
        std::vector<double> Capacity(this->Models.size());
        Capacity[I] = Count;
        Existing.add(FailureDomains.at(FailureDomain), Capacity, 1);
      }

  std::map<int, CompositionList> Options;
  std::vector<SearchedDomain> Domains;
  for (const FreeEngines &Each : Free)
    Domains.push_back(
        {.FailureDomain = FailureDomains.at(Each.FailureDomain),
         .Options = &Options.try_emplace(Each.Count, this->Models, Each.Count)
                         .first->second.all()});
  std::vector<SearchedDomain> Best;
  double BestScore = -std::numeric_limits<double>::infinity();
  for (bool StartsWithOneModel : {true, false}) {
    std::vector<SearchedDomain> Searched = Domains;
    CapacityTable Table = Existing;
    if (StartsWithOneModel)
      improve(Searched, Table, true);
    for (int Round = 0; Round < MaxRounds && improve(Searched, Table, false);
         ++Round)
      ;
    if (Table.score() > BestScore) {
      BestScore = Table.score();
      Best = std::move(Searched);
    }
  }

  std::map<FabricDomainName, DomainDivision> Result;
  for (std::size_t Index = 0; Index < Best.size(); ++Index) {
    DomainDivision &Division = Result[Free[Index].Fabric];
    for (std::size_t I = 0; I < this->Models.size(); ++I) {
      const ModelName &Model = this->Models[I].Model;
      auto Append = [&](std::vector<ModelName> &To, int Count) {
        To.insert(To.end(), static_cast<std::size_t>(Count), Model);
      };
      Append(Division.Groups, Best[Index].Chosen->Groups[I]);
      Append(Division.Spares, Best[Index].Chosen->Spares[I]);
    }
  }
  return Result;
}

} // namespace carobhinge
