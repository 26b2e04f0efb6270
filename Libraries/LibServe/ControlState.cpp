//===- LibServe/ControlState.cpp - State of the control log ---------------===//
///
/// \file
/// Passes commands to the two parts of the state.
///
//===----------------------------------------------------------------------===//

#include <LibServe/ControlState.h>

#include <LibWire/MessageFraming.h>
#include <stdexcept>

namespace carobhinge {

static constexpr char IntentMark = 'I';
static constexpr char PlannerMark = 'P';
static constexpr std::size_t MaxSnapshotPartBytes = 1U << 30U;

std::string controlCommand(const message::IntentCommand &Command) {
  return IntentMark + Command.SerializeAsString();
}

std::string controlCommand(const message::PlannerCommand &Command) {
  return PlannerMark + Command.SerializeAsString();
}

ControlState::ControlState(
    std::function<void(std::uint64_t, const std::string &)> IntentAccepted)
    : IntentAccepted(std::move(IntentAccepted)) {}

std::string ControlState::apply(std::uint64_t Index, std::int64_t StampMs,
                                std::string_view Command) {
  if (Command.starts_with(IntentMark)) {
    std::uint64_t OldVersion = this->Intents.version();
    std::string Reply = this->Intents.apply(Index, StampMs, Command.substr(1));
    this->announceVersion(OldVersion);
    return Reply;
  }
  if (Command.starts_with(PlannerMark)) {
    message::PlannerCommand Parsed;
    bool Accepted = Parsed.ParseFromString(std::string(Command.substr(1))) &&
                    this->Grants.apply(Parsed);
    return Accepted ? "taken" : "refused";
  }
  // Unknown to this release; every replica of the release ignores the command.
  return {};
}

void ControlState::announceVersion(std::uint64_t OldVersion) {
  if (this->Intents.version() > OldVersion)
    this->IntentAccepted(this->Intents.version(), this->Intents.text());
}

std::string ControlState::snapshot() const {
  return frameMessage(this->Intents.snapshot()) +
         frameMessage(this->Grants.snapshot());
}

void ControlState::restore(std::string_view Snapshot) {
  MessageAssembler Parts(MaxSnapshotPartBytes);
  Parts.append(Snapshot);
  std::optional<std::string> IntentPart = Parts.next();
  std::optional<std::string> GrantPart = Parts.next();
  if (!IntentPart || !GrantPart || !Parts.empty())
    throw std::runtime_error("the control log's snapshot is damaged");
  std::uint64_t OldVersion = this->Intents.version();
  this->Intents.restore(*IntentPart);
  this->Grants.restore(*GrantPart);
  this->announceVersion(OldVersion);
}

bool ControlState::canRestore(std::string_view Snapshot) const {
  ControlState Restored([](std::uint64_t, const std::string &) {});
  try {
    Restored.restore(Snapshot);
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace carobhinge
