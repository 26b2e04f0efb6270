//===- LibFormation/ReservePolicy.cpp - Model of an engine without weights ===//

#include <LibFormation/ReservePolicy.h>

#include <LibFormation/EngineDivision.h>
#include <algorithm>
#include <utility>

namespace carobhinge {

/// Keeps the gain finite for a model without capacity.
static constexpr double MinCapacityRatio = 1e-3;

/// \returns the expected capacity with \p Added more engines of the model.
static double capacityWith(const DomainModel &Model, int Added) {
  int Reserves = Model.Reserves + Added;
  return expectedCapacity(Model.GroupSize,
                          Model.Groups + Reserves / Model.GroupSize,
                          Reserves % Model.GroupSize);
}

/// \returns the capacity that each engine adds, by the need of the model.
static double gain(const DomainModel &Model, int EmptyEngines) {
  double Before = capacityWith(Model, 0);
  double Gain = capacityWith(Model, 1) - Before;
  int Missing = Model.missingEngines();
  if (Missing <= EmptyEngines)
    Gain = std::max(Gain, (capacityWith(Model, Missing) - Before) / Missing);
  return Gain / std::max(Model.CapacityRatio, MinCapacityRatio);
}

const DomainModel *chooseReserveModel(std::span<const DomainModel> Models,
                                      int EmptyEngines) {
  const DomainModel *Best = nullptr;
  auto Rank = [EmptyEngines](const DomainModel &Each) {
    double Progress = static_cast<double>(Each.Reserves + 1) / Each.GroupSize;
    return std::pair(gain(Each, EmptyEngines),
                     Progress / std::max(Each.CapacityRatio, MinCapacityRatio));
  };
  for (const DomainModel &Each : Models)
    if (Best == nullptr || Rank(Each) > Rank(*Best))
      Best = &Each;
  return Best;
}

} // namespace carobhinge
