//===- Tests/State/ControlState.h - Ledger and intent from a log ----------===//
///
/// \file
/// The state that one control host holds, replayed from the commands that its
/// replica applied. Commands travel as "NUMBER KIND STAMP HEX", so that each
/// is found again in the log.
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

/// The text of a command for the replica cluster.
std::string encodeCommand(std::uint64_t Number, CommandKind Kind,
                          std::int64_t StampMs, std::string_view Bytes);

class ControlState {
public:
  ControlState();

  /// Brings the state up to \p Applied, anew if that is another history.
  void follow(const std::vector<std::string> &Applied);

  /// The reply to the command \p Encoded, if it is applied.
  [[nodiscard]] std::optional<std::string>
  replyTo(std::string_view Encoded) const;

  [[nodiscard]] const Ledger &ledger() const { return *this->Records; }
  [[nodiscard]] const IntentStateMachine &intent() const {
    return *this->Versions;
  }
  /// The index that the ledger's tickets count in.
  [[nodiscard]] std::uint64_t index() const { return this->Applied.size(); }

private:
  void apply(const std::string &Encoded);

  std::unique_ptr<Ledger> Records;
  std::unique_ptr<IntentStateMachine> Versions;
  std::vector<std::string> Applied;
  std::vector<std::string> Replies;
  /// Stamps never decrease along the log.
  std::int64_t LastStampMs = 0;
};

} // namespace carobhinge::state

#endif // STATE_CONTROLSTATE_H
