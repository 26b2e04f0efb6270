//===- LibFleet/RepairPolicy.cpp - Decides how to repair broken groups ----===//
///
/// \file
/// Repair after a fixed timeout and repair with spares.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/RepairPolicy.h>

#include <stdexcept>
#include <string>

namespace carobhinge {

/// Time for which the baseline excludes survivors from new groups.
static constexpr Duration FixedTimeout = std::chrono::seconds(30);

/// A group without survivors that cannot be repaired is dissolved after this
/// time.
static constexpr Duration AbandonAfter = std::chrono::minutes(10);

namespace {

class FixedTimeoutRepair : public RepairPolicy {
public:
  [[nodiscard]] RepairAction decide(const BrokenGroup &) const override {
    return RepairAction::Dissolve;
  }
  [[nodiscard]] Duration exclusionAfterDissolving() const override {
    return FixedTimeout;
  }
};

/// Replaces lost members as soon as there are enough spares and donors. Until
/// then the survivors keep their weights, and if the lost members return to
/// their positions the group is complete without loading any weights.
class SpareFirst : public RepairPolicy {
public:
  [[nodiscard]] RepairAction decide(const BrokenGroup &Group) const override {
    if (Group.Spares + Group.Donors >= Group.Missing)
      return RepairAction::Replace;
    if (Group.Survivors == 0 && Group.BrokenFor >= AbandonAfter)
      return RepairAction::Dissolve;
    return RepairAction::Wait;
  }
  [[nodiscard]] Duration exclusionAfterDissolving() const override {
    return Duration::zero();
  }
};

} // namespace

std::unique_ptr<RepairPolicy> makeRepairPolicy(std::string_view Name) {
  if (Name == "fixed-timeout")
    return std::make_unique<FixedTimeoutRepair>();
  if (Name == "spare-first")
    return std::make_unique<SpareFirst>();
  throw std::invalid_argument("no repair policy named " + std::string(Name));
}

} // namespace carobhinge
