//===- LibServe/ControlState.h - State of log 0 ---------------------------===//
///
/// \file
/// The state machine of the control log: the accepted intent and the planner
/// grants. The first byte of a command selects one of the two.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_CONTROLSTATE_H
#define LIBSERVE_CONTROLSTATE_H

#include <LibConsensus/StateMachine.h>
#include <LibFleet/PlannerGrants.h>
#include <LibIntent/IntentStateMachine.h>
#include <functional>

namespace carobhinge {

std::string controlCommand(const message::IntentCommand &Command);
std::string controlCommand(const message::PlannerCommand &Command);

class ControlState : public StateMachine {
public:
  /// \p IntentAccepted is called on the applying thread for each new version.
  explicit ControlState(
      std::function<void(std::uint64_t Version, const std::string &Text)>
          IntentAccepted);

  std::string apply(std::uint64_t Index, std::int64_t StampMs,
                    std::string_view Command) override;
  [[nodiscard]] std::string snapshot() const override;
  void restore(std::string_view Snapshot) override;
  [[nodiscard]] bool canRestore(std::string_view Snapshot) const override;

  [[nodiscard]] const IntentStateMachine &intents() const {
    return this->Intents;
  }
  [[nodiscard]] const PlannerGrants &grants() const { return this->Grants; }

private:
  void announceVersion(std::uint64_t OldVersion);

  IntentStateMachine Intents;
  PlannerGrants Grants;
  std::function<void(std::uint64_t, const std::string &)> IntentAccepted;
};

} // namespace carobhinge

#endif // LIBSERVE_CONTROLSTATE_H
