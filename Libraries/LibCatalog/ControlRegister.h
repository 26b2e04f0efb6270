//===- LibCatalog/ControlRegister.h - The state that must never revert ----===//
///
/// \file
/// What a quorum of control hosts agrees on: the catalog with the highest
/// version, as the operator sent it, and the emptied failure domains.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCATALOG_CONTROLREGISTER_H
#define LIBCATALOG_CONTROLREGISTER_H

#include <LibCatalog/Register.pb.h>
#include <LibConsensus/StateMachine.h>
#include <functional>
#include <string>

namespace carobhinge {

class ControlRegister : public StateMachine {
public:
  /// Called with the whole state after each command that changed it, on the
  /// thread that applies.
  using Observer = std::function<void(const message::RegisterState &)>;

  explicit ControlRegister(Observer Changed) : Changed(std::move(Changed)) {}

  std::string apply(std::uint64_t Index, std::int64_t StampMs,
                    std::string_view Command) override;
  [[nodiscard]] std::string snapshot() const override;
  void restore(std::string_view Snapshot) override;

  [[nodiscard]] const message::RegisterState &state() const {
    return this->State;
  }

private:
  /// \returns whether the command changed the state.
  bool accept(const message::RegisterCommand &Command);

  Observer Changed;
  /// The version never goes down; the text belongs to it.
  message::RegisterState State;
};

} // namespace carobhinge

#endif // LIBCATALOG_CONTROLREGISTER_H
