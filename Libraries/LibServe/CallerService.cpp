//===- LibServe/CallerService.cpp - Serves callers' requests --------------===//
///
/// \file
/// Parses a request, selects how it is served, and converts the result of a
/// non-idempotent call to the caller's answer.
///
//===----------------------------------------------------------------------===//

#include <LibServe/CallerService.h>

#include <LibRouting/ReturnTime.h>
#include <LibServe/Forwarding.h>
#include <LibServe/IdempotentCall.h>
#include <LibServe/NonIdempotentCall.h>
#include <LibTelemetry/Log.h>
#include <algorithm>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>

namespace asio = boost::asio;

namespace carobhinge {

static constexpr auto DefaultRetryAfter = std::chrono::seconds(1);

std::string CallerService::newRequestId() {
  return this->Components.LocalSettings.Host + "-" +
         std::to_string(this->Components.LocalIncarnationNumber) + "-" +
         std::to_string(++this->LastRequest);
}

asio::awaitable<void> CallerService::handle(HttpExchange &Exchange,
                                            bool Forwarded) {
  std::string NewId = this->newRequestId();
  auto Parsed = parseCall(Exchange.request(), this->Components.Intents.intent(),
                          Forwarded, NewId);
  if (const auto *Refusal = std::get_if<Problem>(&Parsed)) {
    this->Components.ProcessMetrics.countOutcome(
        {.Workspace = "", .Class = ""}, Refusal->outcome(), Refusal->Reason);
    HttpResponse Response = Refusal->response(NewId);
    co_await Exchange.respond(std::move(Response));
    co_return;
  }
  CallContext Call = std::get<CallContext>(std::move(Parsed));
  if (!this->Components.Routers.find(Call.Service->Name)) {
    // The routers have not applied the newest intent yet.
    Problem Refusal{
        .Status = 503, .Reason = "not-ready", .RetryAfter = DefaultRetryAfter};
    co_await this->refuse(Exchange, Call, std::move(Refusal));
    co_return;
  }
  if (!this->Components.Budget.mayAdmitRequest(0)) {
    this->Components.Limits.record("process-bytes", Exchange.callerIp());
    // For a non-idempotent call, earlier calls with the same key may have run.
    Problem Refusal{.Status = 503,
                    .NotRun = Call.Call->Idempotent,
                    .Reason = "memory-full",
                    .RetryAfter = DefaultRetryAfter};
    co_await this->refuse(Exchange, Call, std::move(Refusal));
    co_return;
  }
  if (auto Refusal = this->refusalAfterCrashes(Call)) {
    co_await this->refuse(Exchange, Call, std::move(*Refusal));
    co_return;
  }
  auto Wait =
      Forwarded
          ? std::optional<Duration>()
          : this->Components.Routers.rateLimitDelay(Call.Traffic.Workspace);
  if (Wait) {
    // For a non-idempotent call, earlier calls with the same key may have run.
    Problem Refusal{.Status = 429,
                    .NotRun = Call.Call->Idempotent,
                    .Reason = "rate-exceeded",
                    .RetryAfter = *Wait};
    co_await this->refuse(Exchange, Call, std::move(Refusal));
    co_return;
  }
  if (Call.Call->Idempotent) {
    IdempotentCall Serving(this->Components, Exchange, std::move(Call));
    co_await Serving.run();
  } else {
    co_await this->serveNonIdempotent(Exchange, std::move(Call));
  }
}

std::optional<Problem>
CallerService::refusalAfterCrashes(const CallContext &Call) {
  PromptExchange &Prompts = this->Components.Prompts;
  // For a non-idempotent call, earlier calls with the same key may have run.
  bool NotRun = Call.Call->Idempotent;
  PromptParts Parts = Prompts.findRefusal(Call.Suspects, Call.RequestIdText,
                                          Call.Call->Idempotent);
  if (!Parts.empty() && std::ranges::any_of(Parts, isFingerprint))
    return Problem{.Status = 400,
                   .NotRun = NotRun,
                   .Reason = "request-crashes-engines",
                   .Detail = "Engines crash on this request, which may have "
                             "run each time: " +
                             formatPromptParts(Parts) + "."};
  if (!Parts.empty())
    return Problem{.Status = 400,
                   .NotRun = NotRun,
                   .Reason = "prompt-crashes-engines",
                   .Detail = "Engines crash on prompts with the message "
                             "hashes " +
                             formatPromptParts(Parts) + "."};
  if (Prompts.isHeldBack(Call.Suspects, Call.RequestIdText,
                         Call.Call->Idempotent))
    return Problem{.Status = 503,
                   .NotRun = NotRun,
                   .Reason = "crash-judged",
                   .Detail = "An engine crashed on such a request, which is "
                             "being judged.",
                   .RetryAfter = ReturnTimeOptions().CrashJudged};
  return std::nullopt;
}

asio::awaitable<void> CallerService::refuse(HttpExchange &Exchange,
                                            const CallContext &Call,
                                            Problem Refusal) {
  this->Components.ProcessMetrics.countOutcome(Call.Traffic, Refusal.outcome(),
                                               Refusal.Reason);
  logEvent(Severity::Info, "request-refused",
           {{"request", Call.RequestIdText},
            {"workspace", Call.Traffic.Workspace},
            {"class", Call.Traffic.Class},
            {"service", Call.Service->Name},
            {"outcome", Refusal.outcome()},
            {"decision", Refusal.Reason}});
  HttpResponse Response = Refusal.response(Call.RequestIdText);
  co_await Exchange.respond(std::move(Response));
}

/// Converts the result of a call to a problem; empty if it was answered.
static std::optional<Problem> toProblem(const Answer &FinalAnswer) {
  Problem Refusal{.Reason = FinalAnswer.Reason,
                  .RetryAfter = FinalAnswer.RetryAfter};
  switch (FinalAnswer.Kind) {
  case AnswerKind::Answered:
    return std::nullopt;
  case AnswerKind::NotRun:
    Refusal.Status = 503;
    return Refusal;
  case AnswerKind::Unknown:
    Refusal.Status = 502;
    Refusal.NotRun = false;
    return Refusal;
  case AnswerKind::Conflict:
    Refusal.Status = 422;
    Refusal.Detail = "The key was used before with other content.";
    return Refusal;
  case AnswerKind::KeyRefused:
    Refusal.Status = FinalAnswer.RetryAfter > Duration::zero() ? 503 : 400;
    return Refusal;
  }
  return Refusal;
}

static HttpResponse toResponse(const Answer &FinalAnswer,
                               const CallContext &Call) {
  HttpResponse Response{.Status = FinalAnswer.Status,
                        .ContentType = FinalAnswer.ContentType,
                        .Body = FinalAnswer.Body};
  Response.Headers.add(header::RequestId, Call.RequestIdText);
  Response.Headers.add(header::Outcome, "answered");
  if (FinalAnswer.BodyOmitted) {
    Response.Headers.add("Carobhinge-Body-Bytes",
                         std::to_string(FinalAnswer.BodyBytes));
    Response.Headers.add("Carobhinge-Body-Digest", FinalAnswer.BodyDigest);
  }
  return Response;
}

asio::awaitable<void> CallerService::serveNonIdempotent(HttpExchange &Exchange,
                                                        CallContext Call) {
  if (!this->Components.IncarnationRegistered) {
    // The ledger cannot be used yet to check whether the key ran before.
    Problem Refusal{.Status = 502,
                    .NotRun = false,
                    .Reason = "ledger-unreachable",
                    .RetryAfter = DefaultRetryAfter};
    co_await this->refuse(Exchange, Call, std::move(Refusal));
    co_return;
  }
  auto Strand = asio::make_strand(co_await asio::this_coro::executor);
  auto Serving = std::make_shared<NonIdempotentCall>(Strand, this->Components,
                                                     Call, Exchange.request());
  Exchange.onCallerDisconnected([Serving] { Serving->callerDisconnected(); });
  NonIdempotentResult End = co_await Serving->answer();
  Exchange.onCallerDisconnected(nullptr);
  if (Exchange.callerDisconnected()) {
    this->Components.ProcessMetrics.countOutcome(Call.Traffic, "caller-gone",
                                                 "");
    co_return;
  }
  if (End.ForwardTo) {
    co_await this->forwardToDomain(Exchange, Call, *End.ForwardTo);
    co_return;
  }
  if (std::optional<Problem> Refusal = toProblem(End.FinalAnswer)) {
    co_await this->refuse(Exchange, Call, std::move(*Refusal));
    co_return;
  }
  this->Components.ProcessMetrics.countOutcome(Call.Traffic, "answered", "");
  this->Components.ProcessMetrics.observe(Call.Traffic, RequestTiming::Total,
                                          monotonicNow() - Call.ArrivedAt);
  HttpResponse Response = toResponse(End.FinalAnswer, Call);
  if (HeldBytes *Place = Serving->answerPlace())
    Exchange.setResponsePlace(*Place);
  co_await Exchange.respond(std::move(Response));
}

asio::awaitable<void> CallerService::forwardToDomain(HttpExchange &Exchange,
                                                     const CallContext &Call,
                                                     FailureDomainName Domain) {
  HostName Host =
      this->Components.RemoteDomains.choose(Domain, Call.Service->Name);
  ForwardResult End = co_await forwardRequest(
      Exchange, this->Components.Links, Host, Call.Deadline, Call.RequestIdText,
      this->Components.Budget, HeldWork::SingleAnswer);
  if (End == ForwardResult::Complete) {
    this->Components.ProcessMetrics.countOutcome(Call.Traffic, "forwarded", "");
    co_return;
  }
  if (Exchange.callerDisconnected())
    co_return;
  // Even if this request was not sent, an earlier call with the key may have
  // run; only the ledger could rule that out.
  Problem Refusal{.Status = 502,
                  .NotRun = false,
                  .Reason = "forwarding-failed",
                  .RetryAfter = DefaultRetryAfter};
  co_await this->refuse(Exchange, Call, std::move(Refusal));
}

} // namespace carobhinge
