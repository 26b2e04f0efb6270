//===- LibRouting/TargetChoice.h - Which target takes a request -----------===//
///
/// \file
/// The policies that choose among the targets with a free slot: two random
/// choices, the same with prefix affinity, and round robin as the baseline.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_TARGETCHOICE_H
#define LIBROUTING_TARGETCHOICE_H

#include <LibRouting/RouterOptions.h>
#include <LibRouting/TargetBoard.h>
#include <memory>

namespace carobhinge {

/// A small generator of random numbers with a fixed seed (SplitMix64).
class RandomNumbers {
public:
  explicit RandomNumbers(std::uint64_t Seed) : State(Seed) {}

  std::uint64_t next();
  /// Uniform below \p Bound, which is not zero.
  std::uint64_t below(std::uint64_t Bound) { return this->next() % Bound; }

private:
  std::uint64_t State;
};

struct ChoiceRequest {
  std::uint64_t PrefixHash = 0;
  /// Taken only if nothing else is open: the target of a failed attempt.
  std::optional<TargetIndex> Avoid = {};
};

class TargetChoice {
public:
  virtual ~TargetChoice() = default;

  /// An open target, or nothing if none is open. May answer nothing as well if
  /// only the target to avoid is open and \p Request insists by Avoid.
  virtual std::optional<TargetIndex> choose(TimePoint Now,
                                            const TargetBoard &Board,
                                            const ChoiceRequest &Request) = 0;
};

/// The load of a target for comparison: the part of its slots in use as far as
/// it is known here, larger where answers are slow.
double loadScore(TimePoint Now, const TargetState &State);

/// Throws std::invalid_argument for a name that RouterPolicies does not list.
std::unique_ptr<TargetChoice> makeTargetChoice(const RouterOptions &Options);

} // namespace carobhinge

#endif // LIBROUTING_TARGETCHOICE_H
