//===- LibConsensus/StateMachine.h - What a replicated log drives ---------===//
///
/// \file
/// The state that every replica of a log builds from the same commands.
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

  /// \p StampMs is the leader's wall clock in milliseconds; it never goes
  /// back along the log. \returns the reply to whoever proposed the command.
  virtual std::string apply(std::uint64_t Index, std::int64_t StampMs,
                            std::string_view Command) = 0;

  /// The whole state, for restore().
  [[nodiscard]] virtual std::string snapshot() const = 0;

  /// Replaces the state.
  virtual void restore(std::string_view Snapshot) = 0;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_STATEMACHINE_H
