//===- LibCommands/RequestStory.cpp - What the logs tell of one request ---===//

#include <LibCommands/RequestStory.h>

#include <algorithm>
#include <array>
#include <set>

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

void RequestStory::take(std::string_view Line) {
  boost::system::error_code Error;
  json::value Value = json::parse(Line, Error);
  if (Error || !Value.is_object()) {
    ++this->Unreadable;
    return;
  }
  json::object &Fields = Value.as_object();
  std::string Event = text(Fields, "event");
  if (text(Fields, "request") == this->Id)
    this->Own.emplace(text(Fields, "time"), Fields);
  else if (Event == "engine-lost" || Event == "engine-found")
    // A plain endpoint is a place by itself.
    this->Groups.emplace(text(Fields, "group").empty()
                             ? text(Fields, "endpoint")
                             : text(Fields, "group"),
                         Fields);
  else if (Event == "log-lines-omitted")
    if (const json::value *Count = Fields.if_contains("count");
        Count != nullptr && Count->is_int64())
      this->Omitted += Count->as_int64();
}

const json::object *RequestStory::last(std::string_view Event) const {
  for (auto Line = this->Own.rbegin(); Line != this->Own.rend(); ++Line)
    if (text(Line->second, "event") == Event)
      return &Line->second;
  return nullptr;
}

/// "name=value" of all fields but those that stand in front of each line.
static std::string shown(const json::object &Line) {
  std::string Result =
      text(Line, "time") + " " + text(Line, "host") + " " + text(Line, "event");
  static constexpr std::array<std::string_view, 5> Front = {
      "time", "host", "event", "severity", "request"};
  for (const json::key_value_pair &Field : Line)
    if (std::ranges::find(Front, std::string_view(Field.key())) == Front.end())
      Result += " " + std::string(Field.key()) + "=" +
                text(Line, std::string_view(Field.key()));
  return Result + "\n";
}

std::string RequestStory::cause() const {
  const json::object *End = this->last("request");
  if (End == nullptr)
    return "The logs don't tell how the request ended: it was still in "
           "progress, its process ended, or the line was left out.";
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
  const json::object *Attempt = this->last("attempt");
  if (Attempt != nullptr) {
    Result += "; its last attempt at " + text(*Attempt, "endpoint") +
              " ended " + text(*Attempt, "end");
    if (std::string Why = text(*Attempt, "reason"); !Why.empty())
      Result += " because: " + Why;
  }
  return Result + ".";
}

CommandResult RequestStory::tell() const {
  CommandResult Result;
  if (this->Own.empty()) {
    Result.Exit = ExitRefused;
    Result.Text = "No line tells of request " + this->Id + ".\n";
  }
  std::set<std::string> Meanwhile;
  for (const auto &[Time, Line] : this->Own) {
    Result.Text += shown(Line);
    std::string Place = text(Line, "place");
    if (Place.empty())
      continue;
    auto [From, To] = this->Groups.equal_range(Place);
    for (auto Each = From; Each != To; ++Each)
      Meanwhile.insert(shown(Each->second));
  }
  if (!Meanwhile.empty())
    Result.Text += "the places that it was sent to:\n";
  for (const std::string &Line : Meanwhile)
    Result.Text += "  " + Line;
  if (!this->Own.empty())
    Result.Text += "cause: " + this->cause() + "\n";
  if (this->Omitted > 0)
    Result.Text += "not told: " + std::to_string(this->Omitted) +
                   " lines were left out of these logs.\n";
  if (this->Unreadable > 0)
    Result.Text += "not read: " + std::to_string(this->Unreadable) +
                   " lines aren't JSON.\n";
  return Result;
}

} // namespace carobhinge
