//===- Tests/Matrix/Script.h - Scripts that run under injected faults -----===//
///
/// \file
/// The fault matrix runs each script once for each fault at each named point
/// (message handled, record persisted, effect sent, ...). Scripts have no state
/// between runs: every cell creates a new world from the seed.
///
//===----------------------------------------------------------------------===//

#ifndef MATRIX_SCRIPT_H
#define MATRIX_SCRIPT_H

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace carobhinge::matrix {

/// A fault that is injected when the run reaches its point. Points are counted
/// from zero.
struct FaultInjection {
  std::string_view Fault;
  std::size_t Point = 0;
};

/// The result of one run.
struct Observation {
  /// Number of named points reached while faults could be injected.
  std::size_t Points = 0;
  /// The first violated invariant, or what did not recover afterwards.
  std::optional<std::string> Violation;
  /// No invariant can hold under these faults, for example after the loss of
  /// every disk. The cell is listed separately and counts neither as held nor
  /// as failed.
  bool IsUnrecoverable = false;
};

class Script {
public:
  virtual ~Script() = default;

  [[nodiscard]] virtual std::string_view name() const = 0;
  [[nodiscard]] virtual std::span<const std::string_view> faults() const = 0;
  /// Returns whether pairs of faults are tested too.
  [[nodiscard]] virtual bool pairs() const = 0;
  /// Runs the script in a new world and checks the invariants after every step.
  /// May be called from several threads at once.
  [[nodiscard]] virtual Observation
  run(std::uint64_t Seed, std::span<const FaultInjection> Faults) const = 0;
};

/// The scripts of this program, in the order of registration.
std::vector<std::unique_ptr<Script>> &scripts();

/// Adds a script. Returns true, so that a static initialiser can call it.
inline bool registerScript(std::unique_ptr<Script> NewScript) {
  scripts().push_back(std::move(NewScript));
  return true;
}

} // namespace carobhinge::matrix

#endif // MATRIX_SCRIPT_H
