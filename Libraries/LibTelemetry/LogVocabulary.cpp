//===- LibTelemetry/LogVocabulary.cpp - Log events and their fields -------===//

#include <LibTelemetry/LogVocabulary.h>

#include <LibCore/JsonReader.h>
#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace json = boost::json;

namespace carobhinge {

/// Fields of every line.
static constexpr std::array<std::string_view, 4> CommonFields = {
    "time", "severity", "host", "event"};

std::span<const LogEventRule> logVocabulary() {
  static const std::vector<LogEventRule> Rules = {
      {"start", {"role", "first_start"}},
      {"log-folder-unusable", {"folder", "error"}},
      {"start-waits", {"cause", "limit_ms"}},
      {"task-failed", {"task", "cause", "action", "omitted"}},
      {"stop", {"role"}},
      {"stopped", {"cut_off"}},
      {"reload", {}},
      {"readiness", {"ready", "confirmation_age_ms"}},
      {"control-followed", {"peer"}},
      {"control-lost", {"peer"}},
      {"state-in-force", {"version", "revision", "emptied_domains"}},
      {"catalog-unreadable", {"version", "findings"}},
      {"request",
       {"request", "route", "workspace", "outcome", "reason", "endpoint",
        "attempts", "model", "prompt_parts", "in_flight", "slots",
        "catalog_version", "confirmation_age_ms", "took_ms"}},
      {"attempt",
       {"request", "endpoint", "place", "end", "reason", "status",
        "retry_after_ms", "leaving", "last_event", "refused_event",
        "prompt_parts", "in_flight", "slots", "after_ms"}},
      {"standby", {"request", "endpoint", "place", "end", "silent_ms"}},
      {"limit-reached", {"limit", "peer", "count"}},
      {"broken-answer", {"fault", "value", "peer", "count"}},
      {"endpoint-leaving", {"request", "endpoint"}},
      {"engine-crashed", {"endpoint", "prompts"}},
      {"crash-disproved", {"endpoint", "reason"}},
      {"prompt-refused", {"prompt_parts", "engines"}},
      {"prompt-lifted", {"prompt_parts"}},
      {"prompt-tried", {"request", "prompt_parts"}},
      {"disk-failed", {"error"}},
      {"disk-regained", {}},
      {"leadership-gained", {"term", "endpoints"}},
      {"leadership-lost", {}},
      {"voters-change", {"voters", "wanted"}},
      {"voters-in-force", {"voters"}},
      {"vote-handover", {"outcome", "took_ms"}},
      {"state-agreed", {"version", "emptied_domains"}},
      {"change", {"version", "failure_domain", "emptied", "outcome"}},
      {"catalog-refused", {"findings"}},
      {"report-refused", {"endpoint", "findings"}},
      {"message-refused", {"peer", "findings", "count"}},
      {"endpoint-ended", {"endpoint", "started_until_ms", "committed"}},
      {"engine-lost",
       {"endpoint", "group", "reason", "silent_ms", "heard_by",
        "heard_ms_ago"}},
      {"group-stalled", {"group", "epoch"}},
      {"engine-found", {"endpoint", "group", "same_life", "heard_ms_ago"}},
      {"order", {"endpoint", "verb", "group", "epoch", "status", "answer"}},
      {"fleet",
       {"model", "open_groups", "forming_groups", "other_groups", "reserves",
        "loading_reserves", "lost_endpoints", "idle_endpoints"}},
      {"log-lines-omitted", {"count"}},
  };
  return Rules;
}

void checkLogLine(std::string_view Line, Findings &Out) {
  std::optional<json::value> Value = parseJson(Line, Out);
  if (!Value)
    return;
  if (!Value->is_object())
    return Out.add("", "a JSON object", Line);
  const json::object &Fields = Value->as_object();
  const json::value *Event = Fields.if_contains("event");
  if (Event == nullptr || !Event->is_string())
    return Out.add("/event", "the name of an event", Line);
  std::string_view Name = Event->as_string();
  auto Rule = std::ranges::find(logVocabulary(), Name, &LogEventRule::Event);
  if (Rule == logVocabulary().end())
    return Out.add("/event", "an event that is listed", Name);
  auto Require = [&](std::string_view Field) {
    if (!Fields.contains(Field))
      Out.add("/" + std::string(Field), "a field of every such line", Line);
  };
  std::ranges::for_each(CommonFields, Require);
  std::ranges::for_each(Rule->RequiredFields, Require);
  for (const auto &Each : Fields) {
    std::string_view Key = Each.key();
    if (std::ranges::find(CommonFields, Key) == CommonFields.end() &&
        std::ranges::find(Rule->RequiredFields, Key) ==
            Rule->RequiredFields.end())
      Out.add("/" + std::string(Key), "a field that is listed", Line);
  }
}

} // namespace carobhinge
