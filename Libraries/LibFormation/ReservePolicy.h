//===- LibFormation/ReservePolicy.h - Model of an engine without weights --===//
///
/// \file
/// Chooses the model whose weights an engine outside of groups loads. An engine
/// that completes a group adds capacity as soon as it has loaded; any other is
/// a spare that replaces a lost member of its own model in its own fabric
/// domain.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFORMATION_RESERVEPOLICY_H
#define LIBFORMATION_RESERVEPOLICY_H

#include <LibCatalog/Catalog.h>
#include <span>

namespace carobhinge {

/// A model in one fabric domain.
struct DomainModel {
  ModelName Model = {};
  /// Engines in a group; at least 1.
  int GroupSize = 1;
  /// Groups in the domain that serve or are being formed.
  int Groups = 0;
  /// Engines in no group that hold the weights or are loading them.
  int Reserves = 0;
  /// Engines in groups of the model in all domains, relative to its demand.
  double CapacityRatio = 0;

  /// \returns the engines that the next group still lacks, 1 to GroupSize.
  [[nodiscard]] int missingEngines() const {
    return this->GroupSize - this->Reserves % this->GroupSize;
  }
};

/// \returns the model that the next of \p EmptyEngines engines of a fabric
/// domain should load, or null if \p Models is empty: the one that gains most
/// expected capacity for each engine, relative to the capacity that it has. A
/// group counts only if these engines complete it.
const DomainModel *chooseReserveModel(std::span<const DomainModel> Models,
                                      int EmptyEngines);

} // namespace carobhinge

#endif // LIBFORMATION_RESERVEPOLICY_H
