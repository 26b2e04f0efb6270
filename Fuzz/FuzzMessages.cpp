//===- Fuzz/FuzzMessages.cpp - Any bytes between hosts --------------------===//
///
/// \file
/// Whatever a host receives about the intent, its version never falls, it
/// answers with messages that read back, and the register's state survives a
/// snapshot. The bytes are cut into messages by a length byte each.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/Dissemination.h>
#include <LibIntent/IntentStateMachine.h>
#include <cstdlib>

using namespace carobhinge;

static constexpr std::string_view Text =
    R"({"cluster": "c", "failure_domains": [{"name": "a", "region": "r"}],
        "workspaces": [{"name": "w"}], "classes": [{"name": "k"}]})";

static void require(bool Holds) {
  if (!Holds)
    std::abort();
}

static void deliver(Dissemination &Tree, IntentInForce &InForce,
                    std::string_view Bytes) {
  message::IntentMessage Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return;
  std::uint64_t Before = InForce.version();
  for (const IntentSend &Sent : Tree.handle(TimePoint(), "p", Message)) {
    message::IntentMessage Again;
    require(Again.ParseFromString(Sent.Message.SerializeAsString()));
  }
  require(InForce.version() >= Before);
}

static void applyTwice(IntentStateMachine &Register, std::string_view Bytes) {
  std::uint64_t Before = Register.version();
  std::string First = Register.apply(1, 0, Bytes);
  require(Register.version() - Before <= 1);
  IntentStateMachine Restored;
  Restored.restore(Register.snapshot());
  require(Restored.snapshot() == Register.snapshot());
  message::IntentResult Result;
  require(Result.ParseFromString(First));
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  IntentInForce InForce({.Domain = "a"});
  Dissemination Tree({.Parents = {"p"}, .DomainPeers = {"p"}}, InForce,
                     TimePoint());
  IntentStateMachine Register;
  Tree.publish(1, Text);
  std::string_view Rest(reinterpret_cast<const char *>(Data), Size);
  while (!Rest.empty()) {
    std::size_t Length = static_cast<unsigned char>(Rest.front());
    std::string_view Bytes = Rest.substr(1, Length);
    Rest.remove_prefix(1 + Bytes.size());
    deliver(Tree, InForce, Bytes);
    applyTwice(Register, Bytes);
  }
  return 0;
}
