//===- LibIntent/IntentStateMachine.cpp - Accepted intent versions --------===//
///
/// \file
/// Version N+1 is by definition the change accepted on base N, so the history
/// alone gives the winner for each base and the result of a resent command.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/IntentStateMachine.h>

#include <LibCore/Hash.h>
#include <stdexcept>

namespace carobhinge {

std::uint64_t IntentStateMachine::version() const {
  return this->History.empty() ? 0 : this->History.back().version();
}

const message::IntentEntry *
IntentStateMachine::find(std::uint64_t Version) const {
  if (this->History.empty() || Version < this->History.front().version() ||
      Version > this->version())
    return nullptr;
  return &this->History[Version - this->History.front().version()];
}

void IntentStateMachine::accept(std::int64_t StampMs,
                                const message::IntentCommand &Command,
                                std::string Digest) {
  message::IntentEntry Entry;
  Entry.set_version(this->version() + 1);
  Entry.set_operator_name(Command.operator_name());
  Entry.set_stamp_ms(StampMs);
  Entry.set_digest(std::move(Digest));
  this->History.push_back(std::move(Entry));
  this->Text = Command.text();
  if (this->History.size() > HistoryLimit)
    this->History.pop_front();
}

std::string IntentStateMachine::apply(std::uint64_t /*Index*/,
                                      std::int64_t StampMs,
                                      std::string_view Command) {
  message::IntentResult Result;
  message::IntentCommand Parsed;
  if (!Parsed.ParseFromArray(Command.data(),
                             static_cast<int>(Command.size()))) {
    Result.set_malformed("not an IntentCommand");
    return Result.SerializeAsString();
  }
  std::string Digest = digest(Parsed.text());
  if (Parsed.base_version() == this->version())
    this->accept(StampMs, Parsed, Digest);
  const message::IntentEntry *Successor = this->find(Parsed.base_version() + 1);
  if (Successor && Successor->digest() == Digest) {
    *Result.mutable_accepted() = *Successor;
    return Result.SerializeAsString();
  }
  message::IntentConflict &Conflict = *Result.mutable_conflict();
  if (Successor)
    *Conflict.mutable_winner() = *Successor;
  if (!this->History.empty())
    *Conflict.mutable_current() = this->History.back();
  return Result.SerializeAsString();
}

std::string IntentStateMachine::snapshot() const {
  message::IntentRegisterState State;
  for (const message::IntentEntry &Entry : this->History)
    *State.add_history() = Entry;
  State.set_text(this->Text);
  return State.SerializeAsString();
}

void IntentStateMachine::restore(std::string_view Snapshot) {
  message::IntentRegisterState State;
  if (!State.ParseFromArray(Snapshot.data(), static_cast<int>(Snapshot.size())))
    throw std::runtime_error("the intent snapshot cannot be read");
  // A peer may send any bytes as a snapshot; find() relies on the order.
  for (int I = 1; I < State.history_size(); ++I)
    if (State.history(I - 1).version() + 1 != State.history(I).version())
      throw std::runtime_error("the intent snapshot's versions have a gap");
  if (!State.history().empty() &&
      State.history().rbegin()->digest() != digest(State.text()))
    throw std::runtime_error("the intent snapshot's text has another digest");
  this->History.assign(State.history().begin(), State.history().end());
  this->Text = State.text();
}

} // namespace carobhinge
