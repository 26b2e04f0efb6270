//===- Tests/Scenario/World.h - What a scenario acts on -------------------===//
///
/// \file
/// A world gives the verbs of the scenario language their meaning: it owns the
/// decision classes under test, the small fakes around them and a hand-turned
/// clock. Each scenario gets a world of its own.
///
//===----------------------------------------------------------------------===//

#ifndef SCENARIO_WORLD_H
#define SCENARIO_WORLD_H

#include "Step.h"

#include <optional>
#include <span>
#include <stdexcept>
#include <string>

namespace carobhinge::scenario {

/// Thrown by a world for a step that it cannot carry out, such as one that
/// names an unknown host. The runner adds file and line.
class StepError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

class World {
public:
  virtual ~World() = default;

  /// The verbs that act() knows, besides "expect".
  [[nodiscard]] virtual std::span<const std::string_view> verbs() const = 0;

  /// Turns the clock by \p Passed. Everything due meanwhile happens in order.
  /// Invariants must be checked as often as things happen; a broken one is
  /// kept for brokenInvariant().
  virtual void advance(Duration Passed) = 0;

  /// Carries out one step that is no expectation.
  virtual void act(const Step &What) = 0;

  /// Why the expectation does not hold now, or nothing if it holds.
  virtual std::optional<std::string> unmet(const Step &Expectation) = 0;

  /// The first invariant that broke since the world was made, if one did.
  virtual std::optional<std::string> brokenInvariant() = 0;
};

} // namespace carobhinge::scenario

#endif // SCENARIO_WORLD_H
