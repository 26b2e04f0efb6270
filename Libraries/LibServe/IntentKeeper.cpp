//===- LibServe/IntentKeeper.cpp - The intent in force on this host -------===//
///
/// \file
/// Every function takes the lock, calls a decision class and sends messages
/// after releasing the lock.
///
//===----------------------------------------------------------------------===//

#include <LibServe/IntentKeeper.h>

#include <LibIntent/DisseminationSettings.h>
#include <LibTelemetry/Log.h>

namespace carobhinge {

IntentKeeper::IntentKeeper(const Settings &LocalSettings, Peers &Links)
    : Links(Links), InForce({.Domain = LocalSettings.FailureDomain,
                             .CutOffAfter = LocalSettings.Times.CutOff}),
      Disseminator(disseminationOptions(LocalSettings), this->InForce,
                   monotonicNow()) {}

void IntentKeeper::send(std::span<const IntentSend> Messages) {
  for (const IntentSend &Each : Messages)
    this->Links.post(Each.To, "intent", Each.Message.SerializeAsString());
}

void IntentKeeper::accepted(std::uint64_t Version, const std::string &Text) {
  std::vector<IntentSend> Messages;
  {
    std::lock_guard Guard(this->Lock);
    Messages = this->Disseminator.publish(Version, Text);
  }
  logEvent(Severity::Info, "intent-accepted",
           {{"version", static_cast<std::int64_t>(Version)}});
  this->send(Messages);
}

void IntentKeeper::confirmed(TimePoint ReadBegan) {
  std::lock_guard Guard(this->Lock);
  this->Disseminator.confirmCurrent(ReadBegan);
}

void IntentKeeper::received(const HostName &From,
                            const message::IntentMessage &Message) {
  std::vector<IntentSend> Messages;
  {
    std::lock_guard Guard(this->Lock);
    Messages = this->Disseminator.handle(monotonicNow(), From, Message);
  }
  this->send(Messages);
}

void IntentKeeper::tick() {
  std::vector<IntentSend> Messages;
  {
    std::lock_guard Guard(this->Lock);
    Messages = this->Disseminator.tick(monotonicNow());
  }
  this->send(Messages);
}

std::shared_ptr<const Intent> IntentKeeper::intent() const {
  std::lock_guard Guard(this->Lock);
  return this->InForce.intent();
}

std::uint64_t IntentKeeper::version() const {
  std::lock_guard Guard(this->Lock);
  return this->InForce.version();
}

std::string IntentKeeper::textDigest() const {
  std::lock_guard Guard(this->Lock);
  return this->InForce.textDigest();
}

std::string IntentKeeper::text() const {
  std::lock_guard Guard(this->Lock);
  return this->InForce.text();
}

DomainRefusal IntentKeeper::refusal() const {
  std::lock_guard Guard(this->Lock);
  return this->InForce.refusal(monotonicNow());
}

bool IntentKeeper::ready() const {
  std::lock_guard Guard(this->Lock);
  return this->InForce.ready();
}

bool IntentKeeper::hold(bool Held, std::string_view Operator,
                        std::int64_t StampMs) {
  std::vector<IntentSend> Messages;
  bool Accepted = false;
  {
    std::lock_guard Guard(this->Lock);
    Accepted = this->InForce.ready();
    Messages = this->Disseminator.order(Held, Operator, StampMs);
  }
  this->send(Messages);
  return Accepted;
}

} // namespace carobhinge
