//===- LibFormation/EngineDivision.h - Engines of each model --------------===//
///
/// \file
/// Divides the engines of all fabric domains into groups and spares of the
/// models. A spare replaces a lost member of its own model in its own domain
/// within a second; without one the whole group ends until another engine has
/// loaded the weights. So a spare is often worth more than one more group.
///
/// The division maximizes the expected capacity of the models for their demand,
/// with all failure domains and after the loss of any one, and the model that
/// is served worst counts most.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFORMATION_ENGINEDIVISION_H
#define LIBFORMATION_ENGINEDIVISION_H

#include <LibCatalog/Catalog.h>
#include <LibCore/Names.h>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace carobhinge {

/// A model's groups and its part of the work.
struct ModelDemand {
  ModelName Model = {};
  /// Engines in a group; at least 1.
  int GroupSize = 1;
  /// Engines that the model needs, relative to the other models; positive.
  double Weight = 1;
};

/// Engines of a fabric domain that are in no group.
struct FreeEngines {
  FabricDomainName Fabric = {};
  FailureDomainName FailureDomain = {};
  int Count = 0;
};

/// \returns the engines of a model that are expected to serve in a fabric
/// domain that may lose a member of a group.
double expectedCapacity(int GroupSize, int Groups, int Spares);

/// Engines of one fabric domain by model.
struct DomainDivision {
  /// The model of each group.
  std::vector<ModelName> Groups;
  /// The model of each engine that is in no group.
  std::vector<ModelName> Spares;
};

class EngineDivision {
public:
  explicit EngineDivision(std::vector<ModelDemand> Models)
      : Models(std::move(Models)) {}

  [[nodiscard]] const std::vector<ModelDemand> &models() const {
    return this->Models;
  }

  /// Adds a group that exists already.
  void addGroup(const ModelName &Model, const FailureDomainName &FailureDomain);

  /// \returns the division of \p Domains, beside the groups that exist.
  [[nodiscard]] std::map<FabricDomainName, DomainDivision>
  divide(std::span<const FreeEngines> Domains) const;

  /// \returns the engines in groups of \p Model, relative to its weight.
  [[nodiscard]] double ratio(const ModelDemand &Model) const;

private:
  std::vector<ModelDemand> Models;
  /// Engines in groups.
  std::map<ModelName, std::map<FailureDomainName, double>> Engines;
};

} // namespace carobhinge

#endif // LIBFORMATION_ENGINEDIVISION_H
