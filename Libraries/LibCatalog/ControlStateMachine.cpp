//===- LibCatalog/ControlStateMachine.cpp - Replicated control state ------===//

#include <LibCatalog/ControlStateMachine.h>
#include <algorithm>
#include <stdexcept>

namespace carobhinge {

bool ControlStateMachine::acceptRefusal(
    const message::RegisterCommand &Command) {
  auto &Refused = *this->State.mutable_refused_prompts();
  auto Find = [&](const message::PromptRefusalMessage &Prompt) {
    return std::ranges::find_if(Refused, [&](const auto &Each) {
      return std::ranges::equal(Each.parts(), Prompt.parts());
    });
  };
  bool IsChanged = false;
  if (auto Found = Find(Command.lift_prompt());
      Command.has_lift_prompt() && Found != Refused.end()) {
    Refused.erase(Found);
    IsChanged = true;
  }
  if (Command.has_refuse_prompt() &&
      Find(Command.refuse_prompt()) == Refused.end()) {
    *Refused.Add() = Command.refuse_prompt();
    IsChanged = true;
  }
  return IsChanged;
}

bool ControlStateMachine::accept(const message::RegisterCommand &Command) {
  if (Command.has_refuse_prompt() || Command.has_lift_prompt())
    return this->acceptRefusal(Command);
  if (Command.failure_domain().empty()) {
    // An equal version is a resend, or different content under a version that
    // was already used.
    if (Command.version() <= this->State.version())
      return false;
    this->State.set_version(Command.version());
    this->State.set_text(Command.text());
    return true;
  }
  auto &DrainedDomains = *this->State.mutable_emptied_domains();
  auto Found = std::ranges::find(DrainedDomains, Command.failure_domain());
  if (Command.emptied() == (Found != DrainedDomains.end()))
    return false;
  if (Command.emptied())
    this->State.add_emptied_domains(Command.failure_domain());
  else
    DrainedDomains.erase(Found);
  return true;
}

bool ControlStateMachine::acceptEnds(const message::RegisterCommand &Command,
                                     std::int64_t StampMs) {
  auto &Ended = *this->State.mutable_ended_endpoints();
  bool IsChanged = false;
  for (const message::EndedEndpointMessage &End : Command.ended_endpoints()) {
    auto Found =
        std::ranges::find(Ended, End.id(), &message::EndedEndpointMessage::id);
    if (Found != Ended.end() &&
        Found->started_until_ms() >= End.started_until_ms())
      continue;
    if (Found != Ended.end())
      Ended.erase(Found);
    message::EndedEndpointMessage &Added = *Ended.Add();
    Added = End;
    Added.set_recorded_ms(StampMs);
    IsChanged = true;
  }
  auto IsOld = [&](const message::EndedEndpointMessage &End) {
    return End.recorded_ms() + EndedEndpointTimeMs < StampMs;
  };
  auto FirstKept = std::ranges::find_if_not(Ended, IsOld);
  if (Ended.end() - FirstKept > MaxEndedEndpoints)
    FirstKept = Ended.end() - MaxEndedEndpoints;
  Ended.erase(Ended.begin(), FirstKept);
  return IsChanged;
}

std::string ControlStateMachine::apply(std::uint64_t, std::int64_t StampMs,
                                       std::string_view Command) {
  message::RegisterCommand Decoded;
  if (!Decoded.ParseFromArray(Command.data(), static_cast<int>(Command.size())))
    // Every replica applies this entry, after each restart again.
    return "malformed";
  if (Decoded.ended_endpoints_size() > 0) {
    if (this->acceptEnds(Decoded, StampMs))
      this->OnChange(this->State);
  } else if (this->accept(Decoded)) {
    this->State.set_revision(this->State.revision() + 1);
    this->OnChange(this->State);
  }
  return "done";
}

std::string ControlStateMachine::snapshot() const {
  return this->State.SerializeAsString();
}

void ControlStateMachine::restore(std::string_view Snapshot) {
  if (!this->State.ParseFromArray(Snapshot.data(),
                                  static_cast<int>(Snapshot.size())))
    throw std::runtime_error("cannot decode the register snapshot");
  this->OnChange(this->State);
}

bool ControlStateMachine::canRestore(std::string_view Snapshot) const {
  message::RegisterState Parsed;
  return Parsed.ParseFromArray(Snapshot.data(),
                               static_cast<int>(Snapshot.size()));
}

} // namespace carobhinge
