//===- Tests/State/ControlState.h - Ledger and intent from a log ----------===//
///
/// \file
/// The state of one control host, replayed from the commands that its replica
/// applied. Commands are encoded as "NUMBER KIND STAMP HEX". The number makes
/// each command unique, so that it can be found in the log.
///
//===----------------------------------------------------------------------===//

#ifndef STATE_CONTROLSTATE_H
#define STATE_CONTROLSTATE_H

#include <LibIntent/IntentStateMachine.h>
#include <LibLedger/Ledger.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobhinge::state {

enum class CommandKind : char { Ledger = 'L', Intent = 'I' };

/// Returns the text of a command for the replica cluster.
std::string encodeCommand(std::uint64_t Number, CommandKind Kind,
                          std::int64_t StampMs, std::string_view Bytes);

class ControlState {
public:
  ControlState();

  /// Applies the commands of \p Log that are not applied yet. Rebuilds the
  /// state if \p Log does not extend the applied commands.
  void replay(const std::vector<std::string> &Log);

  /// Returns the reply to the command \p Encoded, if it was applied.
  [[nodiscard]] std::optional<std::string>
  replyTo(std::string_view Encoded) const;

  [[nodiscard]] const Ledger &ledger() const { return *this->CurrentLedger; }
  [[nodiscard]] const IntentStateMachine &intent() const {
    return *this->CurrentIntent;
  }
  /// Returns the log index, which the ledger's tickets refer to.
  [[nodiscard]] std::uint64_t index() const {
    return this->AppliedCommands.size();
  }

private:
  void apply(const std::string &Encoded);

  std::unique_ptr<Ledger> CurrentLedger;
  std::unique_ptr<IntentStateMachine> CurrentIntent;
  std::vector<std::string> AppliedCommands;
  std::vector<std::string> Replies;
  /// The highest stamp so far. Commands are applied with it, so that time never
  /// decreases along the log.
  std::int64_t LastStampMs = 0;
};

} // namespace carobhinge::state

#endif // STATE_CONTROLSTATE_H
