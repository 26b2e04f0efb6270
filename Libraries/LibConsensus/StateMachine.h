//===- LibConsensus/StateMachine.h - State machine of a replicated log ----===//
///
/// \file
/// The interface of the state that every replica builds from the same commands.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_STATEMACHINE_H
#define LIBCONSENSUS_STATEMACHINE_H

#include <cstdint>
#include <string>
#include <string_view>

namespace carobhinge {

/// Must be deterministic: equal commands in equal order give equal states,
/// replies and snapshots on every host.
class StateMachine {
public:
  StateMachine() = default;
  StateMachine(const StateMachine &) = delete;
  StateMachine &operator=(const StateMachine &) = delete;
  virtual ~StateMachine() = default;

  /// Applies a committed command. \p StampMs is the leader's wall clock in
  /// milliseconds and never decreases along the log.
  /// \returns the reply to the proposer of the command.
  virtual std::string apply(std::uint64_t Index, std::int64_t StampMs,
                            std::string_view Command) = 0;

  /// Serializes the whole state for restore().
  [[nodiscard]] virtual std::string snapshot() const = 0;

  /// Replaces the whole state. Throws std::exception if canRestore() is false.
  virtual void restore(std::string_view Snapshot) = 0;

  /// \returns whether restore() takes \p Snapshot. A peer may send any bytes;
  /// those that can't be restored must not replace what is stored.
  [[nodiscard]] virtual bool canRestore(std::string_view Snapshot) const = 0;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_STATEMACHINE_H
