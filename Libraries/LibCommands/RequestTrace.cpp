//===- LibCommands/RequestTrace.cpp - Log lines of one request ------------===//

#include <LibCommands/RequestTrace.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <sstream>

namespace json = boost::json;

namespace carobhinge {

static std::string text(const json::object &Line, std::string_view Name) {
  const json::value *Value = Line.if_contains(Name);
  if (Value == nullptr)
    return {};
  if (const json::string *Text = Value->if_string())
    return std::string(*Text);
  return json::serialize(*Value);
}

void RequestTrace::addLine(std::string_view Line) {
  boost::system::error_code Error;
  json::value Value = json::parse(Line, Error);
  if (Error || !Value.is_object()) {
    ++this->Unreadable;
    return;
  }
  json::object &Fields = Value.as_object();
  std::string Event = text(Fields, "event");
  if (text(Fields, "request") == this->Id)
    this->RequestLines.emplace(text(Fields, "time"), Fields);
  else if (Event == "engine-lost" || Event == "engine-found")
    // An endpoint without a group is itself a dispatch target.
    this->EngineLines.emplace(text(Fields, "group").empty()
                                  ? text(Fields, "endpoint")
                                  : text(Fields, "group"),
                              Fields);
  else if (Event == "prompt-refused")
    this->RefusalLines.emplace(text(Fields, "time"), Fields);
  else if (Event == "engine-crashed")
    this->CrashLines.emplace(text(Fields, "endpoint"), Fields);
  else if (Event == "log-lines-omitted")
    if (const json::value *Count = Fields.if_contains("count");
        Count != nullptr && Count->is_int64())
      this->Omitted += Count->as_int64();
}

const json::object *RequestTrace::lastLine(std::string_view Event) const {
  for (auto Line = this->RequestLines.rbegin();
       Line != this->RequestLines.rend(); ++Line)
    if (text(Line->second, "event") == Event)
      return &Line->second;
  return nullptr;
}

/// Returns time, host and event of a line, then "name=value" for all other
/// fields except the severity and the request.
static std::string lineText(const json::object &Line) {
  std::string Result =
      text(Line, "time") + " " + text(Line, "host") + " " + text(Line, "event");
  static constexpr std::array<std::string_view, 5> Prefix = {
      "time", "host", "event", "severity", "request"};
  for (const json::key_value_pair &Field : Line)
    if (std::ranges::find(Prefix, std::string_view(Field.key())) ==
        Prefix.end())
      Result += " " + std::string(Field.key()) + "=" +
                text(Line, std::string_view(Field.key()));
  return Result + "\n";
}

std::string RequestTrace::cause() const {
  const json::object *End = this->lastLine("request");
  if (End == nullptr)
    return "The logs do not show how the request ended: it was still in "
           "progress, its process stopped, or the line was omitted.";
  std::string Outcome = text(*End, "outcome");
  std::string Reason = text(*End, "reason");
  if (Outcome == "answered")
    return "It was answered by " + text(*End, "endpoint") + " after " +
           text(*End, "took_ms") + " ms.";
  if (Outcome == "endpoint-failed")
    return "The endpoint " + text(*End, "endpoint") +
           " answered with a failure of its own.";
  std::string Result = Outcome == "refused" ? "It was refused and did not run: "
                       : Outcome == "cut-off" ? "Its stream was cut off: "
                                              : "It ended " + Outcome + ": ";
  Result += Reason;
  if (Reason == "all places are full")
    Result += " (" + text(*End, "in_flight") + " requests in progress on " +
              text(*End, "slots") + " slots)";
  if (Reason == "keys are not confirmed")
    Result += " (the last confirmation was " +
              text(*End, "confirmation_age_ms") + " ms old)";
  const json::object *Attempt = this->lastLine("attempt");
  if (Attempt != nullptr) {
    Result += "; its last attempt at " + text(*Attempt, "endpoint") +
              " ended " + text(*Attempt, "end");
    if (std::string AttemptReason = text(*Attempt, "reason");
        !AttemptReason.empty())
      Result += " because: " + AttemptReason;
  }
  return Result + ".";
}

static std::set<std::string> words(const std::string &Text) {
  std::istringstream Stream(Text);
  return {std::istream_iterator<std::string>(Stream), {}};
}

std::string RequestTrace::crashesBehindRefusal() const {
  const json::object *End = this->lastLine("request");
  if (End == nullptr)
    return {};
  std::set<std::string> Prompt = words(text(*End, "prompt_parts"));
  std::set<std::string> Lines;
  for (const auto &[Time, Refusal] : this->RefusalLines) {
    if (!std::ranges::includes(Prompt, words(text(Refusal, "prompt_parts"))))
      continue;
    Lines.insert(lineText(Refusal));
    for (const std::string &Engine : words(text(Refusal, "engines"))) {
      auto [First, Last] = this->CrashLines.equal_range(Engine);
      for (auto Each = First; Each != Last; ++Each)
        Lines.insert(lineText(Each->second));
    }
  }
  std::string Result;
  for (const std::string &Line : Lines)
    Result += "  " + Line;
  return Result;
}

CommandResult RequestTrace::render() const {
  CommandResult Result;
  if (this->RequestLines.empty()) {
    Result.Exit = ExitRefused;
    Result.Text = "No log line mentions request " + this->Id + ".\n";
  }
  std::set<std::string> EngineTexts;
  for (const auto &[Time, Line] : this->RequestLines) {
    Result.Text += lineText(Line);
    std::string TargetName = text(Line, "place");
    if (TargetName.empty())
      continue;
    auto [First, Last] = this->EngineLines.equal_range(TargetName);
    for (auto Each = First; Each != Last; ++Each)
      EngineTexts.insert(lineText(Each->second));
  }
  if (!EngineTexts.empty())
    Result.Text += "the places that it was sent to:\n";
  for (const std::string &Line : EngineTexts)
    Result.Text += "  " + Line;
  if (std::string Crashes = this->crashesBehindRefusal(); !Crashes.empty())
    Result.Text += "prompts with its parts are refused since engines crashed "
                   "on them:\n" +
                   Crashes;
  if (!this->RequestLines.empty())
    Result.Text += "cause: " + this->cause() + "\n";
  if (this->Omitted > 0)
    Result.Text += "incomplete: " + std::to_string(this->Omitted) +
                   " lines were left out of these logs.\n";
  if (this->Unreadable > 0)
    Result.Text += "not read: " + std::to_string(this->Unreadable) +
                   " lines are not JSON objects.\n";
  return Result;
}

} // namespace carobhinge
