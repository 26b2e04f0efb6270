//===- Fuzz/FuzzMessages.cpp - Fuzz target for intent messages ------------===//
///
/// \file
/// Delivers any bytes as messages about the intent and as commands of the state
/// machine. Checks that the version never decreases, that all outgoing messages
/// and results can be parsed, and that a snapshot restores the state machine. A
/// length byte precedes each message in the input.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/Dissemination.h>
#include <LibIntent/IntentStateMachine.h>
#include <cstdlib>

using namespace carobhinge;

static constexpr std::string_view IntentText =
    R"({"cluster": "c", "failure_domains": [{"name": "a", "region": "r"}],
        "workspaces": [{"name": "w"}], "classes": [{"name": "k"}]})";

static void require(bool Condition) {
  if (!Condition)
    std::abort();
}

/// Delivers \p Bytes to the dissemination as a message from a peer.
static void deliver(Dissemination &Tree, IntentInForce &InForce,
                    std::string_view Bytes) {
  message::IntentMessage Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return;
  std::uint64_t PreviousVersion = InForce.version();
  for (const OutgoingIntentMessage &Outgoing :
       Tree.handle(TimePoint(), "p", Message)) {
    message::IntentMessage Reparsed;
    require(Reparsed.ParseFromString(Outgoing.Message.SerializeAsString()));
  }
  require(InForce.version() >= PreviousVersion);
}

/// Applies \p Bytes as a command, and checks its result and a snapshot.
static void applyCommand(IntentStateMachine &StateMachine,
                         std::string_view Bytes) {
  std::uint64_t PreviousVersion = StateMachine.version();
  std::string Reply = StateMachine.apply(1, 0, Bytes);
  require(StateMachine.version() - PreviousVersion <= 1);
  IntentStateMachine Restored;
  Restored.restore(StateMachine.snapshot());
  require(Restored.snapshot() == StateMachine.snapshot());
  message::IntentResult Result;
  require(Result.ParseFromString(Reply));
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  IntentInForce InForce({.Domain = "a"});
  Dissemination Tree({.Parents = {"p"}, .DomainPeers = {"p"}}, InForce,
                     TimePoint());
  IntentStateMachine StateMachine;
  Tree.publish(1, IntentText);
  std::string_view RemainingBytes(reinterpret_cast<const char *>(Data), Size);
  while (!RemainingBytes.empty()) {
    std::size_t Length = static_cast<unsigned char>(RemainingBytes.front());
    std::string_view Bytes = RemainingBytes.substr(1, Length);
    RemainingBytes.remove_prefix(1 + Bytes.size());
    deliver(Tree, InForce, Bytes);
    applyCommand(StateMachine, Bytes);
  }
  return 0;
}
