//===- Tests/Scenario/World.h - Interface of a simulated test environment -===//
///
/// \file
/// A world implements the verbs of the scenario language. It owns the decision
/// classes under test, the small fakes around them and a manually advanced
/// clock. Each scenario gets a new world.
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

/// Thrown by a world for a step that it cannot execute, such as one that names
/// an unknown host. The runner adds file and line.
class StepError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

class World {
public:
  virtual ~World() = default;

  /// Returns the verbs that execute() accepts. "expect" is not among them.
  [[nodiscard]] virtual std::span<const std::string_view> verbs() const = 0;

  /// Advances the clock by \p Interval and runs everything due in it in order.
  /// Invariants must be checked after every event. A violation is stored for
  /// brokenInvariant().
  virtual void advance(Duration Interval) = 0;

  /// Executes one step that is not an expectation.
  virtual void execute(const Step &Action) = 0;

  /// Returns why the expectation does not hold now, or nothing if it holds.
  virtual std::optional<std::string>
  expectationFailure(const Step &Expectation) = 0;

  /// Returns the first invariant violated since the world was created, if any.
  virtual std::optional<std::string> brokenInvariant() = 0;
};

} // namespace carobhinge::scenario

#endif // SCENARIO_WORLD_H
