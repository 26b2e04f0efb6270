//===- Tests/LibRouting/RouterTestDriver.cpp - Checks a Router ------------===//
///
/// \file
/// Checks the invariants from the events and effects of each request and target
/// alone, independently of the Router's own state.
///
//===----------------------------------------------------------------------===//

#include "RouterTestDriver.h"

#include <algorithm>

namespace carobhinge {

static std::string makeKey(std::string_view Name,
                           Incarnation TargetIncarnation) {
  return std::string(Name) + "#" + std::to_string(TargetIncarnation);
}

Target RouterTestDriver::target(std::string_view Name, std::uint32_t SlotLimit,
                                Incarnation TargetIncarnation) {
  Target Result;
  Result.Name = Name;
  Result.IncarnationNumber = TargetIncarnation;
  Result.SlotLimit = SlotLimit;
  return Result;
}

RoutedRequest RouterTestDriver::request(std::string_view Workspace) {
  RoutedRequest Result;
  Result.Id = ++this->LastRequest;
  Result.Workspace = Workspace;
  Result.Class = "chat";
  Result.Idempotent = true;
  Result.ArrivedAt = this->Now;
  Result.Deadline = this->Now + 60s;
  return Result;
}

RequestId RouterTestDriver::submit(const RoutedRequest &Request) {
  this->Requests[Request.Id].Request = Request;
  this->TestedRouter.submit(this->Now, Request);
  this->drainEffects();
  return Request.Id;
}

void RouterTestDriver::setTargets(std::vector<Target> NewTargets) {
  this->Targets.clear();
  for (const Target &Each : NewTargets)
    this->Targets[makeKey(Each.Name, Each.IncarnationNumber)] = Each;
  this->TestedRouter.setTargets(this->Now, NewTargets);
  this->drainEffects();
}

void RouterTestDriver::setSpilloverDomains(
    std::vector<DomainSummary> Summaries) {
  this->TestedRouter.setSpilloverDomains(this->Now, Summaries);
  this->drainEffects();
}

void RouterTestDriver::reportFirstByte(AttemptId Attempt) {
  if (!this->Cancelled.contains(Attempt))
    this->Requests[this->InFlight.at(Attempt).Request].AnswerStarted = true;
  this->TestedRouter.reportFirstByte(this->Now, Attempt);
  this->drainEffects();
}

void RouterTestDriver::finish(AttemptId Attempt, AttemptResult Result,
                              Duration RetryAfter) {
  InFlightAttempt Finished = this->InFlight.at(Attempt);
  this->InFlight.erase(Attempt);
  --this->Outstanding[Finished.TargetKey];
  RequestRecord &Record = this->Requests[Finished.Request];
  Record.Results.push_back(Result);
  bool CompletesRequest = Result == AttemptResult::Complete &&
                          !this->Cancelled.contains(Attempt) &&
                          Record.Ending != "gone";
  if (CompletesRequest)
    this->recordEnd(Finished.Request, "complete");
  this->TestedRouter.reportOutcome(
      this->Now, Attempt, {.Result = Result, .RetryAfter = RetryAfter});
  this->drainEffects();
}

void RouterTestDriver::callerDisconnected(RequestId Request) {
  if (this->Requests.at(Request).Ending.empty())
    this->recordEnd(Request, "gone");
  this->TestedRouter.callerDisconnected(this->Now, Request);
  this->drainEffects();
}

void RouterTestDriver::drain() {
  this->TestedRouter.drain(this->Now);
  this->drainEffects();
}

void RouterTestDriver::advance(Duration Step) {
  TimePoint End = this->Now + Step;
  while (true) {
    std::optional<TimePoint> Next = this->TestedRouter.nextTimer();
    if (!Next || *Next > End)
      break;
    this->Now = std::max(this->Now, *Next);
    this->TestedRouter.tick(this->Now);
    this->drainEffects();
  }
  this->Now = End;
}

std::vector<AttemptId> RouterTestDriver::running() const {
  std::vector<AttemptId> Result;
  for (const auto &[Attempt, Details] : this->InFlight)
    Result.push_back(Attempt);
  return Result;
}

std::string RouterTestDriver::findTargetKey(AttemptId Attempt) const {
  return this->InFlight.at(Attempt).TargetKey;
}

std::vector<Dispatch> RouterTestDriver::dispatches(RequestId Request) const {
  return this->Requests.at(Request).Dispatches;
}

std::string RouterTestDriver::ending(RequestId Request) const {
  return this->Requests.at(Request).Ending;
}

const Refuse &RouterTestDriver::refusal(RequestId Request) const {
  return this->Requests.at(Request).Refusal;
}

void RouterTestDriver::expect(bool Condition, std::string_view Rule) {
  if (!Condition)
    this->Violations.emplace_back(Rule);
}

void RouterTestDriver::recordEnd(RequestId Request, std::string_view Outcome) {
  std::string &Ending = this->Requests.at(Request).Ending;
  this->expect(Ending.empty(), "a request ends once");
  Ending = Outcome;
}

void RouterTestDriver::drainEffects() {
  for (const RoutingEffect &Effect : this->TestedRouter.takeEffects())
    std::visit([this](const auto &Each) { this->check(Each); }, Effect);
}

void RouterTestDriver::check(const Dispatch &Effect) {
  RequestRecord &Record = this->Requests.at(Effect.Request);
  std::string Key = makeKey(Effect.TargetName, Effect.IncarnationNumber);
  auto Entry = this->Targets.find(Key);
  this->expect(Entry != this->Targets.end(),
               "requests go to listed targets only");
  if (Entry != this->Targets.end()) {
    this->expect(!Entry->second.Draining,
                 "no new requests to a draining target");
    this->expect(++this->Outstanding[Key] <= Entry->second.SlotLimit,
                 "never more outstanding than SlotLimit");
  }
  this->expect(Record.Ending.empty(), "no dispatch after the end of a request");
  bool OnlyUnsent = Record.Dispatches.size() == Record.Results.size() &&
                    std::ranges::all_of(Record.Results, [](AttemptResult Each) {
                      return Each == AttemptResult::FailedBeforeSend;
                    });
  this->expect(
      Record.Request.Idempotent || OnlyUnsent,
      "a non-idempotent request is sent again only if nothing was sent");
  this->expect(!Record.AnswerStarted || Effect.IsResume,
               "after the first byte only a resume");
  this->expect(!Effect.IsResume || Record.Request.Resumable,
               "only a resumable stream is resumed");
  this->InFlight[Effect.Attempt] =
      InFlightAttempt{.Request = Effect.Request, .TargetKey = Key};
  if (Effect.IsHedge)
    ++this->HedgeCount;
  else if (Record.Dispatches.empty())
    ++this->FirstDispatches;
  else
    ++this->RetryCount;
  Record.Dispatches.push_back(Effect);
  auto FirstCount = static_cast<double>(this->FirstDispatches);
  auto IsWithinBudget = [&](std::uint64_t Count, double Share) {
    return static_cast<double>(Count) <=
           this->Options.BudgetBurst + Share * FirstCount;
  };
  this->expect(IsWithinBudget(this->RetryCount, this->Options.RetryShare),
               "retries stay within their share of traffic");
  this->expect(IsWithinBudget(this->HedgeCount, this->Options.HedgeShare),
               "hedges stay within their share of traffic");
}

void RouterTestDriver::check(const CancelAttempt &Effect) {
  this->expect(this->InFlight.contains(Effect.Attempt),
               "only a running attempt is cancelled");
  this->expect(this->Cancelled.insert(Effect.Attempt).second,
               "an attempt is cancelled once");
  RequestId Owner = this->InFlight[Effect.Attempt].Request;
  this->expect(this->Requests.at(Owner).Request.Idempotent,
               "a non-idempotent request is never cancelled");
}

void RouterTestDriver::check(const Refuse &Effect) {
  RequestRecord &Record = this->Requests.at(Effect.Request);
  Record.Refusal = Effect;
  this->recordEnd(Effect.Request, "refused");
  this->expect(Effect.RetryAfter > Duration::zero(),
               "a refusal states when to retry");
  bool NothingSent =
      Record.Dispatches.size() == Record.Results.size() &&
      std::ranges::all_of(Record.Results, [](AttemptResult Each) {
        return Each == AttemptResult::FailedBeforeSend;
      });
  this->expect(Effect.MayHaveRun || NothingSent,
               "a \"not run\" refusal is correct");
}

void RouterTestDriver::check(const Forward &Effect) {
  const RequestRecord &Record = this->Requests.at(Effect.Request);
  this->expect(!Record.Request.Forwarded,
               "a request is forwarded at most once");
  this->expect(
      Record.Dispatches.empty(),
      "a request is forwarded only if it was never sent out to a target");
  this->recordEnd(Effect.Request, "forwarded");
}

} // namespace carobhinge
