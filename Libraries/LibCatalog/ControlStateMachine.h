//===- LibCatalog/ControlStateMachine.h - Replicated control state --------===//
///
/// \file
/// State that the control hosts replicate by consensus: the catalog with the
/// highest version, as the operator sent it, the drained failure domains, the
/// prompts that are refused because engines crash on them, and the endpoints
/// that have announced their end.
/// The catalog's version never decreases.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCATALOG_CONTROLSTATEMACHINE_H
#define LIBCATALOG_CONTROLSTATEMACHINE_H

#include <LibCatalog/Register.pb.h>
#include <LibConsensus/StateMachine.h>
#include <functional>
#include <string>

namespace carobhinge {

/// An end is kept for this long, in milliseconds. No control host lists an
/// endpoint that has not reported for a quarter of it, and reports are seconds
/// late at most.
inline constexpr std::int64_t EndedEndpointTimeMs = 120 * 1000;
/// Bound on the ends that are kept; the oldest are forgotten first.
inline constexpr int MaxEndedEndpoints = 16384;

/// State machine of the control hosts' replicated log.
class ControlStateMachine : public StateMachine {
public:
  /// Called with the whole state after each command that changed it and after
  /// each restored snapshot, on the thread that applies commands.
  using Observer = std::function<void(const message::RegisterState &)>;

  explicit ControlStateMachine(Observer OnChange)
      : OnChange(std::move(OnChange)) {}

  /// Returns "done", or "malformed" for a command that can't be decoded, which
  /// changes nothing.
  std::string apply(std::uint64_t Index, std::int64_t StampMs,
                    std::string_view Command) override;
  [[nodiscard]] std::string snapshot() const override;
  /// Throws std::runtime_error for a snapshot that can't be decoded.
  void restore(std::string_view Snapshot) override;
  [[nodiscard]] bool canRestore(std::string_view Snapshot) const override;

  [[nodiscard]] const message::RegisterState &state() const {
    return this->State;
  }

private:
  /// \returns whether the command changed the state.
  bool accept(const message::RegisterCommand &Command);
  bool acceptRefusal(const message::RegisterCommand &Command);
  /// \returns whether the command added an end. Forgets those that no report
  /// can contradict any more.
  bool acceptEnds(const message::RegisterCommand &Command,
                  std::int64_t StampMs);

  Observer OnChange;
  /// The version never decreases; the text is the catalog of that version.
  message::RegisterState State;
};

} // namespace carobhinge

#endif // LIBCATALOG_CONTROLSTATEMACHINE_H
