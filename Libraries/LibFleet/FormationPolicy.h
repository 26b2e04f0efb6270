//===- LibFleet/FormationPolicy.h - Which hosts form a group --------------===//
///
/// \file
/// Chooses the members of a new group, and the replacement for a lost one,
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

/// A free endpoint.
struct Candidate {
  EndpointName Endpoint;
  /// Position in the order in which endpoints were first heard.
  std::uint64_t FirstHeard = 0;
  /// Joins that it did not complete since it was last in a serving group.
  std::uint32_t FailedJoins = 0;
  /// The rank whose weights it already holds for this service, version and
  /// size of group.
  std::optional<std::uint32_t> LoadedRank = {};
};

class FormationPolicy {
public:
  FormationPolicy() = default;
  FormationPolicy(const FormationPolicy &) = delete;
  FormationPolicy &operator=(const FormationPolicy &) = delete;
  virtual ~FormationPolicy() = default;

  /// Removes one member for each of \p Ranks from \p Free, which has at least
  /// as many candidates, and returns them in the order of \p Ranks.
  virtual std::vector<Candidate>
  choose(std::vector<Candidate> &Free,
         std::span<const std::uint32_t> Ranks) const = 0;

  /// Whether the groups that need the least loading are completed first.
  /// Otherwise weights are loaded in the order of announcement.
  [[nodiscard]] virtual bool completesGroupsFirst() const = 0;
};

/// Names: "announcement-order" (the baseline) and "loaded-rank".
/// Throws std::invalid_argument for another name.
std::unique_ptr<FormationPolicy> makeFormationPolicy(std::string_view Name);

} // namespace carobhinge

#endif // LIBFLEET_FORMATIONPOLICY_H
