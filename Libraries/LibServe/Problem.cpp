//===- LibServe/Problem.cpp - Refusals as callers see them ----------------===//
///
/// \file
/// The reasons, statuses and JSON of refusals.
///
//===----------------------------------------------------------------------===//

#include <LibServe/Problem.h>

#include <LibServe/CallContext.h>
#include <boost/json.hpp>
#include <cassert>

namespace json = boost::json;

namespace carobhinge {

std::string Problem::json(std::string_view RequestIdText) const {
  json::object Body{{"type", "urn:carobhinge:problem:" + std::string(Reason)},
                    {"title", this->Reason},
                    {"status", this->Status},
                    {"outcome", this->outcome()},
                    {"reason", this->Reason},
                    {"request_id", RequestIdText}};
  if (!this->Detail.empty())
    Body["detail"] = this->Detail;
  if (this->RetryAfter > Duration::zero())
    Body["retry_after_ms"] = milliseconds(this->RetryAfter);
  return json::serialize(Body);
}

HttpResponse Problem::response(std::string_view RequestIdText) const {
  HttpResponse Result{.Status = this->Status,
                      .ContentType = "application/problem+json",
                      .Body = this->json(RequestIdText)};
  Result.Headers.add(header::Outcome, this->outcome());
  Result.Headers.add(header::RequestId, RequestIdText);
  if (this->RetryAfter > Duration::zero()) {
    // Whole seconds, rounded up.
    auto Seconds = (milliseconds(this->RetryAfter) + 999) / 1000;
    Result.Headers.add("Retry-After", std::to_string(Seconds));
  }
  return Result;
}

namespace {

struct RefusalRow {
  RefusalReason Reason;
  unsigned Status;
  std::string_view Name;
};

} // namespace

static constexpr RefusalRow RefusalRows[] = {
    {RefusalReason::QueueFull, 429, "queue-full"},
    {RefusalReason::Displaced, 429, "displaced"},
    {RefusalReason::DeadlineCannotBeMet, 503, "deadline-cannot-be-met"},
    {RefusalReason::NoTarget, 503, "no-target"},
    {RefusalReason::Draining, 503, "draining"},
    {RefusalReason::AttemptFailed, 502, "attempt-failed"},
    {RefusalReason::AnswerBrokeOff, 502, "answer-broke-off"},
};

static const RefusalRow &findRow(RefusalReason Reason) {
  for (const RefusalRow &Row : RefusalRows)
    if (Row.Reason == Reason)
      return Row;
  assert(false && "every reason has a row");
  return RefusalRows[0];
}

std::string_view reasonName(RefusalReason Reason) {
  return findRow(Reason).Name;
}

Problem toProblem(const Refuse &Refused) {
  const RefusalRow &Row = findRow(Refused.Reason);
  return {.Status = Row.Status,
          .NotRun = !Refused.MayHaveRun,
          .Reason = Row.Name,
          .RetryAfter = Refused.RetryAfter};
}

} // namespace carobhinge
