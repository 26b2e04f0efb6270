//===- LibFleet/FormationPolicy.h - Selects the members of groups ---------===//
///
/// \file
/// Selects the members of a new group and the replacements of lost members
/// among the free endpoints of one fabric domain.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_FORMATIONPOLICY_H
#define LIBFLEET_FORMATIONPOLICY_H

#include <LibCore/Names.h>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace carobhinge {

/// An endpoint that is not assigned to a group.
struct Candidate {
  EndpointName Endpoint;
  /// Position in the order in which endpoints were first announced.
  std::uint64_t DiscoveryOrder = 0;
  /// Joins that failed since it was last in a serving group.
  std::uint32_t FailedJoins = 0;
  /// The rank whose weights it has in memory for this service, version and
  /// group size.
  std::optional<std::uint32_t> LoadedRank = {};
};

class FormationPolicy {
public:
  FormationPolicy() = default;
  FormationPolicy(const FormationPolicy &) = delete;
  FormationPolicy &operator=(const FormationPolicy &) = delete;
  virtual ~FormationPolicy() = default;

  /// Removes one candidate for each of \p Ranks from \p Free, which must hold
  /// at least as many, and returns them in the order of \p Ranks.
  virtual std::vector<Candidate>
  choose(std::vector<Candidate> &Free,
         std::span<const std::uint32_t> Ranks) const = 0;

  /// True if groups that need the fewest weight loads are completed first.
  /// Otherwise endpoints load weights in the order of discovery.
  [[nodiscard]] virtual bool completesGroupsFirst() const = 0;
};

/// Names: "announcement-order" (the baseline) and "loaded-rank".
/// Throws std::invalid_argument for another name.
std::unique_ptr<FormationPolicy> makeFormationPolicy(std::string_view Name);

} // namespace carobhinge

#endif // LIBFLEET_FORMATIONPOLICY_H
