//===- LibFleet/RepairPolicy.h - Decides how to repair broken groups ------===//
///
/// \file
/// Decides whether a group with lost members waits for them, gets replacements
/// or is dissolved.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_REPAIRPOLICY_H
#define LIBFLEET_REPAIRPOLICY_H

#include <LibCore/Time.h>
#include <memory>
#include <string_view>

namespace carobhinge {

struct BrokenGroup {
  std::uint32_t Missing = 0;
  std::uint32_t Survivors = 0;
  /// Free endpoints of the same service and fabric domain.
  std::uint32_t Spares = 0;
  /// Available survivors of other broken groups there that have no more
  /// survivors than this one.
  std::uint32_t Donors = 0;
  Duration BrokenFor = Duration::zero();
};

enum class RepairAction : std::uint8_t { Wait, Replace, Dissolve };

class RepairPolicy {
public:
  RepairPolicy() = default;
  RepairPolicy(const RepairPolicy &) = delete;
  RepairPolicy &operator=(const RepairPolicy &) = delete;
  virtual ~RepairPolicy() = default;

  [[nodiscard]] virtual RepairAction decide(const BrokenGroup &Group) const = 0;

  /// Time for which survivors of a dissolved group are excluded from new
  /// groups.
  [[nodiscard]] virtual Duration exclusionAfterDissolving() const = 0;
};

/// Names: "fixed-timeout" (the baseline: any loss dissolves the group, whose
/// survivors wait for a fixed time) and "spare-first".
/// Throws std::invalid_argument for another name.
std::unique_ptr<RepairPolicy> makeRepairPolicy(std::string_view Name);

} // namespace carobhinge

#endif // LIBFLEET_REPAIRPOLICY_H
