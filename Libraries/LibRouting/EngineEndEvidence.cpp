//===- LibRouting/EngineEndEvidence.cpp - What speaks against a crash -----===//

#include <LibRouting/EngineEndEvidence.h>

#include <algorithm>

namespace carobhinge {

bool EngineEndEvidence::recordAnswer(const EngineAnswer &Answer) {
  this->removeExpired(Answer.AnsweredAt);
  if (Answer.EndsRequests)
    this->Orders[Answer.Engine].push_back(Answer);
  auto Reported = this->ReportedAt.find(Answer.Engine);
  return Reported != this->ReportedAt.end() && Answer.SentAt > Reported->second;
}

bool EngineEndEvidence::recordReport(TimePoint Now, CrashReport &Report) {
  this->removeExpired(Now);
  std::erase_if(Report.Prompts, [&](const SuspectPrompt &Prompt) {
    return this->isEndedByOrder(Report.Engine, Prompt.BeganAt, Report.At);
  });
  if (Report.Prompts.empty())
    return false;
  this->ReportedAt[Report.Engine] = Now;
  this->Questions.insert(Report.Engine);
  return true;
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
  std::erase_if(this->ReportedAt,
                [&](const auto &Entry) { return Entry.second < Oldest; });
  std::erase_if(this->Questions, [&](const EndpointName &Engine) {
    return !this->ReportedAt.contains(Engine);
  });
}

} // namespace carobhinge
