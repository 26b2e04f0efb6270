//===- LibRouting/TargetChoice.h - Policies that choose a target ----------===//
///
/// \file
/// The policies that choose among the targets with a free slot: two random
/// choices, the same with prefix affinity, and round robin as the baseline.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_TARGETCHOICE_H
#define LIBROUTING_TARGETCHOICE_H

#include <LibRouting/RouterOptions.h>
#include <LibRouting/TargetTable.h>
#include <memory>

namespace carobhinge {

/// SplitMix64 pseudorandom number generator with a fixed seed.
class RandomGenerator {
public:
  explicit RandomGenerator(std::uint64_t Seed) : State(Seed) {}

  std::uint64_t next();
  /// Uniform below \p Bound, which is not zero.
  std::uint64_t below(std::uint64_t Bound) { return this->next() % Bound; }

private:
  std::uint64_t State;
};

struct ChoiceRequest {
  std::uint64_t PrefixHash = 0;
  /// The target of a failed attempt; chosen only if no other one is open.
  std::optional<TargetIndex> AvoidedTarget = {};
};

class TargetChoice {
public:
  virtual ~TargetChoice() = default;

  /// Returns an open target, or nothing if none is open. May also return
  /// nothing if \p Request's AvoidedTarget is the only open target.
  virtual std::optional<TargetIndex> choose(TimePoint Now,
                                            const TargetTable &Table,
                                            const ChoiceRequest &Request) = 0;
};

/// Load of a target for comparison: the fraction of its slots known to be in
/// use, scaled up if the target is slow.
double loadScore(TimePoint Now, const TargetState &State);

/// Throws std::invalid_argument for a name that RouterPolicies does not list.
std::unique_ptr<TargetChoice> makeTargetChoice(const RouterOptions &Options);

} // namespace carobhinge

#endif // LIBROUTING_TARGETCHOICE_H
