//===- LibServe/CallerService.cpp - Serves callers' requests --------------===//
///
/// \file
/// Understands a request, chooses the way it is served, and turns the end of
/// a call that must not repeat into the caller's answer.
///
//===----------------------------------------------------------------------===//

#include <LibServe/CallerService.h>

#include <LibServe/Forwarding.h>
#include <LibServe/IdempotentCall.h>
#include <LibServe/NonIdempotentCall.h>
#include <LibTelemetry/Log.h>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>

namespace asio = boost::asio;

namespace carobhinge {

static constexpr auto AskAgainSoon = std::chrono::seconds(1);

std::string CallerService::freshRequestId() {
  return this->Parts.Own.Host + "-" + std::to_string(this->Parts.Life) + "-" +
         std::to_string(++this->LastRequest);
}

asio::awaitable<void> CallerService::handle(HttpExchange &Exchange,
                                            bool Forwarded) {
  std::string FreshId = this->freshRequestId();
  auto Understood = understandCall(
      Exchange.request(), this->Parts.Intents.intent(), Forwarded, FreshId);
  if (const auto *Why = std::get_if<Problem>(&Understood)) {
    this->Parts.Figures.countOutcome({.Workspace = "", .Class = ""},
                                     Why->outcome(), Why->Reason);
    HttpResponse Response = Why->response(FreshId);
    co_await Exchange.respond(std::move(Response));
    co_return;
  }
  CallContext Call = std::get<CallContext>(std::move(Understood));
  if (!this->Parts.Routers.find(Call.Service->Name)) {
    // The intent is newer than the routers by a moment.
    Problem Why{
        .Status = 503, .Reason = "not-ready", .RetryAfter = AskAgainSoon};
    co_await this->refuse(Exchange, Call, std::move(Why));
    co_return;
  }
  auto Wait = Forwarded ? std::optional<Duration>()
                        : this->Parts.Routers.overRate(Call.Traffic.Workspace);
  if (Wait) {
    // Of a key that must not repeat, nothing is said about earlier calls.
    Problem Why{.Status = 429,
                .NotRun = Call.Call->Idempotent,
                .Reason = "rate-exceeded",
                .RetryAfter = *Wait};
    co_await this->refuse(Exchange, Call, std::move(Why));
    co_return;
  }
  if (Call.Call->Idempotent) {
    IdempotentCall Serving(this->Parts, Exchange, std::move(Call));
    co_await Serving.run();
  } else {
    co_await this->serveOnce(Exchange, std::move(Call));
  }
}

asio::awaitable<void> CallerService::refuse(HttpExchange &Exchange,
                                            const CallContext &Call,
                                            Problem Why) {
  this->Parts.Figures.countOutcome(Call.Traffic, Why.outcome(), Why.Reason);
  logEvent(Severity::Info, "request-refused",
           {{"request", Call.RequestText},
            {"workspace", Call.Traffic.Workspace},
            {"class", Call.Traffic.Class},
            {"service", Call.Service->Name},
            {"outcome", Why.outcome()},
            {"decision", Why.Reason}});
  HttpResponse Response = Why.response(Call.RequestText);
  co_await Exchange.respond(std::move(Response));
}

/// The problem that the end of a call is, or nothing if it was answered.
static std::optional<Problem> problemOf(const Answer &Given) {
  Problem Why{.Reason = Given.Reason, .RetryAfter = Given.RetryAfter};
  switch (Given.Kind) {
  case AnswerKind::Answered:
    return std::nullopt;
  case AnswerKind::NotRun:
    Why.Status = 503;
    return Why;
  case AnswerKind::Unknown:
    Why.Status = 502;
    Why.NotRun = false;
    return Why;
  case AnswerKind::Conflict:
    Why.Status = 422;
    Why.Detail = "The key was used before with other content.";
    return Why;
  case AnswerKind::KeyRefused:
    Why.Status = Given.RetryAfter > Duration::zero() ? 503 : 400;
    return Why;
  }
  return Why;
}

static HttpResponse answerOf(const Answer &Given, const CallContext &Call) {
  HttpResponse Response{.Status = Given.Status,
                        .ContentType = Given.ContentType,
                        .Body = Given.Body};
  Response.Headers.add(header::RequestId, Call.RequestText);
  Response.Headers.add(header::Outcome, "answered");
  if (Given.BodyOmitted) {
    Response.Headers.add("Carobhinge-Body-Bytes",
                         std::to_string(Given.BodyBytes));
    Response.Headers.add("Carobhinge-Body-Digest", Given.BodyDigest);
  }
  return Response;
}

asio::awaitable<void> CallerService::serveOnce(HttpExchange &Exchange,
                                               CallContext Call) {
  if (!this->Parts.LifeRegistered) {
    // Whether the key ran before cannot be asked yet.
    Problem Why{.Status = 502,
                .NotRun = false,
                .Reason = "ledger-unreachable",
                .RetryAfter = AskAgainSoon};
    co_await this->refuse(Exchange, Call, std::move(Why));
    co_return;
  }
  auto Strand = asio::make_strand(co_await asio::this_coro::executor);
  auto Serving = std::make_shared<NonIdempotentCall>(Strand, this->Parts, Call,
                                                     Exchange.request());
  Exchange.onCallerGone([Serving] { Serving->callerGone(); });
  NonIdempotentEnd End = co_await Serving->answer();
  Exchange.onCallerGone(nullptr);
  if (Exchange.callerGone()) {
    this->Parts.Figures.countOutcome(Call.Traffic, "caller-gone", "");
    co_return;
  }
  if (End.HandOver) {
    co_await this->handOver(Exchange, Call, *End.HandOver);
    co_return;
  }
  if (std::optional<Problem> Why = problemOf(End.Given)) {
    co_await this->refuse(Exchange, Call, std::move(*Why));
    co_return;
  }
  this->Parts.Figures.countOutcome(Call.Traffic, "answered", "");
  this->Parts.Figures.observe(Call.Traffic, RequestTiming::Total,
                              monotonicNow() - Call.ArrivedAt);
  HttpResponse Response = answerOf(End.Given, Call);
  co_await Exchange.respond(std::move(Response));
}

asio::awaitable<void> CallerService::handOver(HttpExchange &Exchange,
                                              const CallContext &Call,
                                              FailureDomainName Domain) {
  HostName Host = this->Parts.Others.choose(Domain, Call.Service->Name);
  ForwardEnd End = co_await forwardRequest(Exchange, this->Parts.Links, Host,
                                           Call.Deadline, Call.RequestText);
  if (End == ForwardEnd::Complete) {
    this->Parts.Figures.countOutcome(Call.Traffic, "forwarded", "");
    co_return;
  }
  if (Exchange.callerGone())
    co_return;
  // Even if nothing was sent now, an earlier call with the key may have run;
  // only the ledger could rule that out.
  Problem Why{.Status = 502,
              .NotRun = false,
              .Reason = "forwarding-failed",
              .RetryAfter = AskAgainSoon};
  co_await this->refuse(Exchange, Call, std::move(Why));
}

} // namespace carobhinge
