//===- LibTelemetry/LimitReports.cpp - Which limits were reached, by whom -===//

#include <LibTelemetry/LimitReports.h>

#include <LibTelemetry/Log.h>
#include <algorithm>

namespace carobhinge {

std::optional<LimitReports::Line> LimitReports::record(TimePoint Now,
                                                       std::string_view Limit,
                                                       std::string_view Peer) {
  std::pair<std::string, std::string> Key(Limit, Peer);
  if (!this->Entries.contains(Key) && this->Entries.size() >= MaxEntries) {
    std::erase_if(this->Entries, [Now](const auto &Each) {
      return Now - *Each.second.LoggedAt >= Interval;
    });
    if (this->Entries.size() >= MaxEntries)
      Key.second = OtherPeers;
  }
  Entry &Reached = this->Entries[Key];
  ++Reached.Count;
  if (Reached.LoggedAt && Now - *Reached.LoggedAt < Interval)
    return std::nullopt;
  Reached.LoggedAt = Now;
  return Line{.Peer = Key.second, .Count = std::exchange(Reached.Count, 0)};
}

static std::string metricName(std::string_view Prefix, std::string_view Cause) {
  std::string Name = std::string(Prefix) + std::string(Cause);
  std::ranges::replace(Name, '-', '_');
  return Name;
}

std::optional<LimitReports::Line> LimitLog::findDue(LimitReports &Of,
                                                    std::string_view Cause,
                                                    std::string_view Peer) {
  std::lock_guard Guard(this->Lock);
  return Of.record(monotonicNow(), Cause, Peer);
}

void LimitLog::record(std::string_view Limit, std::string_view Peer) {
  this->Output.countEvent(metricName("limit_reached_", Limit));
  if (auto Due = this->findDue(this->Reports, Limit, Peer))
    logEvent(Severity::Warning, "limit-reached",
             {{"limit", Limit},
              {"peer", Due->Peer},
              {"count", static_cast<std::int64_t>(Due->Count)}});
}

void LimitLog::recordBrokenAnswer(std::string_view Fault,
                                  std::string_view Value,
                                  std::string_view Peer) {
  this->Output.countEvent(metricName("broken_answer_", Fault));
  if (auto Due = this->findDue(this->BrokenAnswers, Fault, Peer))
    logEvent(Severity::Warning, "broken-answer",
             {{"fault", Fault},
              {"value", Value},
              {"peer", Due->Peer},
              {"count", static_cast<std::int64_t>(Due->Count)}});
}

} // namespace carobhinge
