//===- LibServe/ServiceRouter.cpp - One Router under its lock -------------===//
///
/// \file
/// Locks the router and delivers its effects.
///
//===----------------------------------------------------------------------===//

#include <LibServe/ServiceRouter.h>

namespace carobhinge {

/// Maximum number of pending effects of one request: attempts, cancellations
/// and an end.
static constexpr std::size_t InboxCapacity = 256;

ServiceRouter::ServiceRouter(boost::asio::any_io_executor Executor,
                             RouterOptions Options)
    : Executor(std::move(Executor)), Decisions(std::move(Options)) {}

std::shared_ptr<RoutingInbox> ServiceRouter::makeInbox() {
  return std::make_shared<RoutingInbox>(this->Executor, InboxCapacity);
}

RequestId ServiceRouter::submit(RoutedRequest Request,
                                std::shared_ptr<RoutingInbox> Inbox) {
  std::lock_guard Guard(this->Lock);
  Request.Id = ++this->LastRequest;
  this->Inboxes[Request.Id] = std::move(Inbox);
  this->Decisions.submit(monotonicNow(), Request);
  this->deliver();
  return Request.Id;
}

void ServiceRouter::deliver() {
  for (RoutingEffect &Effect : this->Decisions.takeEffects()) {
    RequestId Recipient = 0;
    if (const auto *DispatchEffect = std::get_if<Dispatch>(&Effect)) {
      Recipient = DispatchEffect->Request;
      this->RequestByAttempt[DispatchEffect->Attempt] = Recipient;
    } else if (const auto *Cancelled = std::get_if<CancelAttempt>(&Effect)) {
      auto Found = this->RequestByAttempt.find(Cancelled->Attempt);
      Recipient = Found == this->RequestByAttempt.end() ? 0 : Found->second;
    } else if (const auto *Refused = std::get_if<Refuse>(&Effect)) {
      Recipient = Refused->Request;
    } else {
      Recipient = std::get<Forward>(Effect).Request;
    }
    auto Inbox = this->Inboxes.find(Recipient);
    if (Inbox != this->Inboxes.end())
      Inbox->second->try_send(boost::system::error_code(), std::move(Effect));
  }
}

void ServiceRouter::reportFirstByte(AttemptId Attempt) {
  std::lock_guard Guard(this->Lock);
  this->Decisions.reportFirstByte(monotonicNow(), Attempt);
  this->deliver();
}

bool ServiceRouter::mayWrite(AttemptId Attempt) const {
  std::lock_guard Guard(this->Lock);
  return this->Decisions.mayWrite(monotonicNow(), Attempt);
}

void ServiceRouter::reportOutcome(AttemptId Attempt, AttemptOutcome Outcome) {
  std::lock_guard Guard(this->Lock);
  this->Decisions.reportOutcome(monotonicNow(), Attempt, Outcome);
  this->deliver();
  this->RequestByAttempt.erase(Attempt);
}

void ServiceRouter::callerDisconnected(RequestId Request) {
  std::lock_guard Guard(this->Lock);
  this->Decisions.callerDisconnected(monotonicNow(), Request);
  this->deliver();
}

void ServiceRouter::removeInbox(RequestId Request) {
  std::lock_guard Guard(this->Lock);
  this->Inboxes.erase(Request);
}

void ServiceRouter::setTargets(std::span<const Target> Targets) {
  std::lock_guard Guard(this->Lock);
  this->Decisions.setTargets(monotonicNow(), Targets);
  this->deliver();
}

void ServiceRouter::setSpilloverDomains(
    std::span<const DomainSummary> Summaries) {
  std::lock_guard Guard(this->Lock);
  this->Decisions.setSpilloverDomains(monotonicNow(), Summaries);
  this->deliver();
}

void ServiceRouter::setPlace(const EntryHostPlace &Place) {
  std::lock_guard Guard(this->Lock);
  this->Decisions.setPlace(monotonicNow(), Place);
  this->deliver();
}

void ServiceRouter::reportLoad(const Target &Changed) {
  std::lock_guard Guard(this->Lock);
  this->Decisions.reportLoad(Changed.Name, Changed.IncarnationNumber,
                             Changed.Load);
}

void ServiceRouter::setWorkspaces(
    const std::map<WorkspaceName, double> &Weights,
    std::map<WorkspaceName, std::uint32_t> QueueLimits) {
  std::lock_guard Guard(this->Lock);
  this->Decisions.setWeights(Weights);
  this->Decisions.setQueueLimits(std::move(QueueLimits));
  this->deliver();
}

void ServiceRouter::drain() {
  std::lock_guard Guard(this->Lock);
  this->Decisions.drain(monotonicNow());
  this->deliver();
}

void ServiceRouter::tick() {
  std::lock_guard Guard(this->Lock);
  TimePoint Now = monotonicNow();
  std::optional<TimePoint> TimerAt = this->Decisions.nextTimer();
  if (!TimerAt || *TimerAt > Now)
    return;
  this->Decisions.tick(Now);
  this->deliver();
}

DomainSummary ServiceRouter::summary() const {
  std::lock_guard Guard(this->Lock);
  return this->Decisions.summary();
}

RouterStatus ServiceRouter::status() const {
  std::lock_guard Guard(this->Lock);
  return this->Decisions.status();
}

} // namespace carobhinge
