//===- LibRouting/EngineEndEvidence.cpp - What speaks against a crash -----===//

#include <LibRouting/EngineEndEvidence.h>

#include <algorithm>

namespace carobhinge {

bool EngineEndEvidence::recordAnswer(const EngineAnswer &Answer) {
  this->removeExpired(Answer.AnsweredAt);
  if (Answer.EndsRequests)
    this->Orders[Answer.Engine].push_back(Answer);
  auto Found = this->Reports.find(Answer.Engine);
  return Found != this->Reports.end() && Answer.SentAt > Found->second.At &&
         Answer.StatedLife && Answer.StatedLife == Answer.KnownLife &&
         Answer.KnownSince <= Found->second.BeganAt;
}

void EngineEndEvidence::recordRefused(const EndpointName &Engine,
                                      TimePoint SentAt) {
  auto Found = this->Reports.find(Engine);
  if (Found != this->Reports.end() && SentAt > Found->second.LostAt)
    Found->second.RefusedAt = std::min(Found->second.RefusedAt, SentAt);
}

ReportVerdict EngineEndEvidence::recordReport(TimePoint Now,
                                              CrashReport &Report) {
  this->removeExpired(Now);
  std::erase_if(Report.Prompts, [&](const SuspectPrompt &Prompt) {
    return this->isSentAfterEnd(Report.Engine, Prompt.BeganAt, Report.At);
  });
  if (Report.Prompts.empty())
    return ReportVerdict::SentAfterEnd;
  std::erase_if(Report.Prompts, [&](const SuspectPrompt &Prompt) {
    return this->isEndedByOrder(Report.Engine, Prompt.BeganAt, Report.At);
  });
  if (Report.Prompts.empty())
    return ReportVerdict::EndedByOrder;
  const Reported New{.At = Now,
                     .LostAt = Report.At,
                     .BeganAt = std::ranges::min_element(
                                    Report.Prompts, {}, &SuspectPrompt::BeganAt)
                                    ->BeganAt};
  Reported &Known = this->Reports.try_emplace(Report.Engine, New).first->second;
  if (Report.At >= Known.LostAt + this->Options.RestartTime)
    Known = New;
  Known.At = Now;
  Known.LostAt = std::min(Known.LostAt, New.LostAt);
  Known.BeganAt = std::min(Known.BeganAt, New.BeganAt);
  this->Questions.insert(Report.Engine);
  return ReportVerdict::Counts;
}

bool EngineEndEvidence::isSentAfterEnd(const EndpointName &Engine,
                                       TimePoint BeganAt,
                                       TimePoint LostAt) const {
  auto Found = this->Reports.find(Engine);
  return Found != this->Reports.end() && BeganAt > Found->second.RefusedAt &&
         LostAt < Found->second.LostAt + this->Options.RestartTime;
}

bool EngineEndEvidence::isEndedByOrder(const EndpointName &Engine,
                                       TimePoint BeganAt,
                                       TimePoint LostAt) const {
  auto Found = this->Orders.find(Engine);
  return Found != this->Orders.end() &&
         std::ranges::any_of(Found->second, [&](const EngineAnswer &Order) {
           return BeganAt <= Order.AnsweredAt &&
                  LostAt >= Order.SentAt - this->Options.TimeTolerance &&
                  LostAt <= Order.AnsweredAt + this->Options.NoticeTime;
         });
}

void EngineEndEvidence::removeExpired(TimePoint Now) {
  if (Now < this->NextCleanupAt)
    return;
  this->NextCleanupAt = Now + this->Options.Memory;
  TimePoint Oldest = Now - this->Options.Memory;
  for (auto &[Engine, Known] : this->Orders)
    std::erase_if(Known, [&](const EngineAnswer &Order) {
      return Order.AnsweredAt < Oldest;
    });
  std::erase_if(this->Orders,
                [](const auto &Entry) { return Entry.second.empty(); });
  std::erase_if(this->Reports,
                [&](const auto &Entry) { return Entry.second.At < Oldest; });
  std::erase_if(this->Questions, [&](const EndpointName &Engine) {
    return !this->Reports.contains(Engine);
  });
}

} // namespace carobhinge
