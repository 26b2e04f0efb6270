//===- LibServe/IntentManager.cpp - The intent in force on this host ------===//
///
/// \file
/// Every function takes the lock, calls a decision class and sends messages
/// after releasing the lock.
///
//===----------------------------------------------------------------------===//

#include <LibServe/IntentManager.h>

#include <LibIntent/DisseminationSettings.h>
#include <LibTelemetry/Log.h>

namespace carobhinge {

IntentManager::IntentManager(const Settings &LocalSettings, Peers &Links)
    : Links(Links), InForce({.Domain = LocalSettings.FailureDomain,
                             .CutOffAfter = LocalSettings.Times.CutOff}),
      Disseminator(disseminationOptions(LocalSettings), this->InForce,
                   monotonicNow()) {}

void IntentManager::send(std::span<const OutgoingIntentMessage> Messages) {
  for (const OutgoingIntentMessage &Each : Messages)
    this->Links.post(Each.To, "intent", Each.Message.SerializeAsString());
}

void IntentManager::accepted(std::uint64_t Version, const std::string &Text) {
  std::vector<OutgoingIntentMessage> Messages;
  {
    std::lock_guard Guard(this->Lock);
    Messages = this->Disseminator.publish(Version, Text);
  }
  logEvent(Severity::Info, "intent-accepted",
           {{"version", static_cast<std::int64_t>(Version)}});
  this->send(Messages);
}

void IntentManager::confirmed(TimePoint ReadStartedAt) {
  std::lock_guard Guard(this->Lock);
  this->Disseminator.confirmCurrent(ReadStartedAt);
}

void IntentManager::received(const HostName &From,
                             const message::IntentMessage &Message) {
  std::vector<OutgoingIntentMessage> Messages;
  {
    std::lock_guard Guard(this->Lock);
    Messages = this->Disseminator.handle(monotonicNow(), From, Message);
  }
  this->send(Messages);
}

void IntentManager::tick() {
  std::vector<OutgoingIntentMessage> Messages;
  {
    std::lock_guard Guard(this->Lock);
    Messages = this->Disseminator.tick(monotonicNow());
  }
  this->send(Messages);
}

std::shared_ptr<const Intent> IntentManager::intent() const {
  std::lock_guard Guard(this->Lock);
  return this->InForce.intent();
}

std::uint64_t IntentManager::version() const {
  std::lock_guard Guard(this->Lock);
  return this->InForce.version();
}

std::string IntentManager::textDigest() const {
  std::lock_guard Guard(this->Lock);
  return this->InForce.textDigest();
}

std::string IntentManager::text() const {
  std::lock_guard Guard(this->Lock);
  return this->InForce.text();
}

DomainRefusal IntentManager::refusal() const {
  std::lock_guard Guard(this->Lock);
  return this->InForce.refusal(monotonicNow());
}

bool IntentManager::ready() const {
  std::lock_guard Guard(this->Lock);
  return this->InForce.ready();
}

bool IntentManager::hold(bool Held, std::string_view Operator,
                         std::int64_t StampMs) {
  std::vector<OutgoingIntentMessage> Messages;
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
