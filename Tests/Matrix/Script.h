//===- Tests/Matrix/Script.h - One script of work under every fault -------===//
///
/// \file
/// The fault matrix runs each script of work once for each fault at each named
/// point (message handled, record persisted, effect sent, ...). A script owns
/// nothing between runs: every cell gets a world of its own from the seed.
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

/// A fault put in when the run passes its point, counted from zero.
struct Injection {
  std::string_view Fault;
  std::size_t Point = 0;
};

/// What one run showed.
struct Observation {
  /// The named points passed while faults may be put in.
  std::size_t Points = 0;
  /// The first broken invariant, or what did not recover afterwards.
  std::optional<std::string> Broken;
  /// The faults left nothing that could hold, such as the loss of every disk.
  /// The cell is listed apart and counts neither as held nor as failed.
  bool Beyond = false;
};

class Script {
public:
  virtual ~Script() = default;

  [[nodiscard]] virtual std::string_view name() const = 0;
  [[nodiscard]] virtual std::span<const std::string_view> faults() const = 0;
  /// Whether pairs of faults are tried too.
  [[nodiscard]] virtual bool pairs() const = 0;
  /// Runs the script anew. Invariants are checked after every step. May be
  /// called from several threads at once.
  [[nodiscard]] virtual Observation
  run(std::uint64_t Seed, std::span<const Injection> Faults) const = 0;
};

/// The scripts of this program, in the order of registration.
std::vector<std::unique_ptr<Script>> &scripts();

/// Adds a script, for a static initialiser.
inline bool registerScript(std::unique_ptr<Script> Added) {
  scripts().push_back(std::move(Added));
  return true;
}

} // namespace carobhinge::matrix

#endif // MATRIX_SCRIPT_H
