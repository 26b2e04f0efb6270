//===- Tests/LibRouting/RouterWorld.cpp - A driver that checks a Router ---===//
///
/// \file
/// The rules are restated here from the outside, on what was seen of each
/// request and target, and share nothing with the Router's own books.
///
//===----------------------------------------------------------------------===//

#include "RouterWorld.h"

#include <algorithm>

namespace carobhinge {

static std::string keyOf(std::string_view Name, Incarnation Life) {
  return std::string(Name) + "#" + std::to_string(Life);
}

Target RouterWorld::target(std::string_view Name, std::uint32_t SlotLimit,
                           Incarnation Life) {
  Target Result;
  Result.Name = Name;
  Result.Life = Life;
  Result.SlotLimit = SlotLimit;
  return Result;
}

RoutedRequest RouterWorld::request(std::string_view Workspace) {
  RoutedRequest Result;
  Result.Id = ++this->LastRequest;
  Result.Workspace = Workspace;
  Result.Class = "chat";
  Result.Idempotent = true;
  Result.ArrivedAt = this->Now;
  Result.Deadline = this->Now + 60s;
  return Result;
}

RequestId RouterWorld::submit(const RoutedRequest &Request) {
  this->Requests[Request.Id].Request = Request;
  this->Subject.submit(this->Now, Request);
  this->drainEffects();
  return Request.Id;
}

void RouterWorld::setTargets(std::vector<Target> NewTargets) {
  this->Targets.clear();
  for (const Target &Each : NewTargets)
    this->Targets[keyOf(Each.Name, Each.Life)] = Each;
  this->Subject.targetsChanged(this->Now, NewTargets);
  this->drainEffects();
}

void RouterWorld::setNeighbours(std::vector<DomainSummary> Summaries) {
  this->Subject.neighboursChanged(this->Now, Summaries);
  this->drainEffects();
}

void RouterWorld::firstByte(AttemptId Attempt) {
  if (!this->Cancelled.contains(Attempt))
    this->Requests[this->Flights.at(Attempt).Request].AnswerBegan = true;
  this->Subject.firstByte(this->Now, Attempt);
  this->drainEffects();
}

void RouterWorld::finish(AttemptId Attempt, AttemptResult Result,
                         Duration RetryAfter) {
  Flight Done = this->Flights.at(Attempt);
  this->Flights.erase(Attempt);
  --this->Outstanding[Done.TargetKey];
  History &Past = this->Requests[Done.Request];
  Past.Results.push_back(Result);
  bool Counts = Result == AttemptResult::Complete &&
                !this->Cancelled.contains(Attempt) && Past.Ending != "gone";
  if (Counts)
    this->end(Done.Request, "complete");
  this->Subject.finished(this->Now, Attempt,
                         {.Result = Result, .RetryAfter = RetryAfter});
  this->drainEffects();
}

void RouterWorld::callerGone(RequestId Request) {
  if (this->Requests.at(Request).Ending.empty())
    this->end(Request, "gone");
  this->Subject.callerGone(this->Now, Request);
  this->drainEffects();
}

void RouterWorld::drain() {
  this->Subject.drain(this->Now);
  this->drainEffects();
}

void RouterWorld::advance(Duration Step) {
  TimePoint End = this->Now + Step;
  while (true) {
    std::optional<TimePoint> Next = this->Subject.nextTimer();
    if (!Next || *Next > End)
      break;
    this->Now = std::max(this->Now, *Next);
    this->Subject.tick(this->Now);
    this->drainEffects();
  }
  this->Now = End;
}

std::vector<AttemptId> RouterWorld::running() const {
  std::vector<AttemptId> Result;
  for (const auto &[Attempt, Flight] : this->Flights)
    Result.push_back(Attempt);
  return Result;
}

std::string RouterWorld::whereIs(AttemptId Attempt) const {
  return this->Flights.at(Attempt).TargetKey;
}

std::vector<Dispatch> RouterWorld::dispatches(RequestId Request) const {
  return this->Requests.at(Request).Dispatches;
}

std::string RouterWorld::ending(RequestId Request) const {
  return this->Requests.at(Request).Ending;
}

const Refuse &RouterWorld::refusal(RequestId Request) const {
  return this->Requests.at(Request).Refusal;
}

void RouterWorld::expect(bool Holds, std::string_view Rule) {
  if (!Holds)
    this->Violations.emplace_back(Rule);
}

void RouterWorld::end(RequestId Request, std::string_view How) {
  std::string &Ending = this->Requests.at(Request).Ending;
  this->expect(Ending.empty(), "a request ends once");
  Ending = How;
}

void RouterWorld::drainEffects() {
  for (const RoutingEffect &Effect : this->Subject.takeEffects())
    std::visit([this](const auto &Each) { this->check(Each); }, Effect);
}

void RouterWorld::check(const Dispatch &Effect) {
  History &Past = this->Requests.at(Effect.Request);
  std::string Key = keyOf(Effect.TargetName, Effect.Life);
  auto Where = this->Targets.find(Key);
  this->expect(Where != this->Targets.end(), "a target is a listed one");
  if (Where != this->Targets.end()) {
    this->expect(!Where->second.Draining, "nothing new to a draining target");
    this->expect(++this->Outstanding[Key] <= Where->second.SlotLimit,
                 "never more outstanding than SlotLimit");
  }
  this->expect(Past.Ending.empty(), "nothing is sent after the end");
  bool OnlyUnsent = Past.Dispatches.size() == Past.Results.size() &&
                    std::ranges::all_of(Past.Results, [](AttemptResult Each) {
                      return Each == AttemptResult::FailedBeforeByte;
                    });
  this->expect(Past.Request.Idempotent || OnlyUnsent,
               "what must not repeat is sent again only if nothing was sent");
  this->expect(!Past.AnswerBegan || Effect.IsResume,
               "after a first byte only a resume");
  this->expect(!Effect.IsResume || Past.Request.Resumable,
               "only a resumable stream is resumed");
  this->Flights[Effect.Attempt] =
      Flight{.Request = Effect.Request, .TargetKey = Key};
  if (Effect.IsHedge)
    ++this->Hedged;
  else if (Past.Dispatches.empty())
    ++this->FirstDispatches;
  else
    ++this->Retried;
  Past.Dispatches.push_back(Effect);
  auto Firsts = static_cast<double>(this->FirstDispatches);
  auto Within = [&](std::uint64_t Count, double Share) {
    return static_cast<double>(Count) <=
           this->Options.BudgetBurst + Share * Firsts;
  };
  this->expect(Within(this->Retried, this->Options.RetryShare),
               "retries stay within their share of traffic");
  this->expect(Within(this->Hedged, this->Options.HedgeShare),
               "hedges stay within their share of traffic");
}

void RouterWorld::check(const CancelAttempt &Effect) {
  this->expect(this->Flights.contains(Effect.Attempt),
               "only a running attempt is cancelled");
  this->expect(this->Cancelled.insert(Effect.Attempt).second,
               "an attempt is cancelled once");
  RequestId Owner = this->Flights[Effect.Attempt].Request;
  this->expect(this->Requests.at(Owner).Request.Idempotent,
               "what must not repeat is never cancelled");
}

void RouterWorld::check(const Refuse &Effect) {
  History &Past = this->Requests.at(Effect.Request);
  Past.Refusal = Effect;
  this->end(Effect.Request, "refused");
  this->expect(Effect.RetryAfter > Duration::zero(),
               "a refusal says when to come back");
  bool NothingSent = Past.Dispatches.size() == Past.Results.size() &&
                     std::ranges::all_of(Past.Results, [](AttemptResult Each) {
                       return Each == AttemptResult::FailedBeforeByte;
                     });
  this->expect(Effect.MayHaveRun || NothingSent, "\"not run\" is true");
}

void RouterWorld::check(const Forward &Effect) {
  const History &Past = this->Requests.at(Effect.Request);
  this->expect(!Past.Request.Forwarded, "forwarded once only");
  this->expect(Past.Dispatches.empty(), "forwarded only if it never went out");
  this->end(Effect.Request, "forwarded");
}

} // namespace carobhinge
