//===- LibCommands/IntentCommands.cpp - Output of operators' commands -----===//
///
/// \file
/// The JSON format is the unchanged answer of the host or a small object; the
/// other format is intended for a terminal.
///
//===----------------------------------------------------------------------===//

#include <LibCommands/IntentCommands.h>

#include <LibCommands/JsonTable.h>
#include <LibCore/JsonReader.h>
#include <LibIntent/IntentDiff.h>
#include <LibSettings/Settings.h>

namespace json = boost::json;

namespace carobhinge {

static constexpr unsigned StatusOk = 200;
static constexpr unsigned StatusConflict = 409;
static constexpr unsigned StatusFindings = 422;

static std::string jsonLine(const json::value &Value) {
  return json::serialize(Value) + "\n";
}

static json::array findingList(const Findings &Found) {
  json::array List;
  for (const Finding &Each : Found.items())
    List.push_back(json::object{{"place", Each.Location},
                                {"expected", Each.Expected},
                                {"found", Each.Found}});
  return List;
}

static CommandResult findingResult(const Findings &Found, OutputFormat Format) {
  if (Format == OutputFormat::Json)
    return {ExitRefused, jsonLine({{"findings", findingList(Found)}})};
  return {ExitRefused, Found.report()};
}

CommandResult checkText(std::string_view Name, std::string_view Text,
                        OutputFormat Format) {
  Findings Found;
  std::optional<json::value> Value = parseJson(Text, Found);
  const json::object *Object = Value ? Value->if_object() : nullptr;
  if (Object && Object->contains("host"))
    parseSettings(Text, Found);
  else if (Value)
    parseIntent(Text, Found);
  if (!Found.empty())
    return findingResult(Found, Format);
  if (Format == OutputFormat::Json)
    return {ExitSuccess, jsonLine({{"findings", json::array()}})};
  return {ExitSuccess, std::string(Name) + ": no findings\n"};
}

static std::string_view kindName(ChangeKind Kind) {
  switch (Kind) {
  case ChangeKind::Added:
    return "added";
  case ChangeKind::Removed:
    return "removed";
  case ChangeKind::Changed:
    break;
  }
  return "changed";
}

/// Returns the value before or after a change; null if there is none.
static json::value changeValue(const std::string &Text) {
  return Text.empty() ? json::value() : json::parse(Text);
}

static std::string changesJson(std::uint64_t Version,
                               const std::vector<IntentChange> &Changes) {
  json::array List;
  for (const IntentChange &Each : Changes)
    List.push_back(json::object{{"kind", kindName(Each.Kind)},
                                {"place", Each.Path},
                                {"before", changeValue(Each.OldValue)},
                                {"after", changeValue(Each.NewValue)}});
  return jsonLine({{"base_version", Version}, {"changes", std::move(List)}});
}

CommandResult planChange(std::uint64_t Version, std::string_view CurrentText,
                         std::string_view NewText, OutputFormat Format) {
  Findings Found;
  std::optional<Intent> NewIntent = parseIntent(NewText, Found);
  if (!NewIntent)
    return findingResult(Found, Format);
  // If this release cannot parse the text in force, the whole new text is
  // shown as added.
  Findings IgnoredFindings;
  std::optional<Intent> CurrentIntent =
      parseIntent(CurrentText, IgnoredFindings);
  std::vector<IntentChange> Changes =
      diff(CurrentIntent.value_or(Intent{}), *NewIntent);
  if (Format == OutputFormat::Json)
    return {ExitSuccess, changesJson(Version, Changes)};
  std::string Text;
  for (const IntentChange &Each : Changes)
    Text += Each.line() + "\n";
  Text += std::to_string(Changes.size()) + " changes to version " +
          std::to_string(Version) + "; apply with --base " +
          std::to_string(Version) + "\n";
  return {ExitSuccess, Text};
}

/// Returns the object in the answer, or null if the answer is no JSON object.
static const json::object *parseBody(const OperatorAnswer &Answer,
                                     json::value &Value) {
  json::error_code Error;
  Value = json::parse(Answer.Body, Error);
  return Error ? nullptr : Value.if_object();
}

/// Returns the result of an answer that contains no usable body.
static CommandResult failedAnswer(const OperatorAnswer &Answer) {
  return {ExitUnreachable, "the host answered with status " +
                               std::to_string(Answer.Status) + ": " +
                               json::serialize(Answer.Body) + "\n"};
}

static CommandResult unchangedAnswer(ExitCode Exit,
                                     const OperatorAnswer &Answer) {
  std::string Text(Answer.Body);
  if (!Text.ends_with('\n'))
    Text += '\n';
  return {Exit, Text};
}

/// Replaces the stamp, if present, by a readable time.
static json::object readableEntry(const json::object &Entry) {
  json::object Result = Entry;
  const json::value *Stamp = Entry.if_contains("stamp_ms");
  if (!Stamp || !Stamp->is_int64())
    return Result;
  Result["when"] = stampText(Stamp->as_int64());
  Result.erase("stamp_ms");
  return Result;
}

static std::string entryLines(std::string_view Title,
                              const json::object &Answer,
                              std::string_view Member) {
  const json::value *Entry = Answer.if_contains(Member);
  if (!Entry || !Entry->is_object())
    return "";
  json::array Rows;
  Rows.push_back(readableEntry(Entry->as_object()));
  return std::string(Title) + ":\n" + tableLines(Rows);
}

CommandResult printApplied(const OperatorAnswer &Answer, OutputFormat Format) {
  ExitCode Exit = ExitUnreachable;
  if (Answer.Status == StatusOk)
    Exit = ExitSuccess;
  else if (Answer.Status == StatusConflict || Answer.Status == StatusFindings)
    Exit = ExitRefused;
  json::value Value;
  const json::object *Body = parseBody(Answer, Value);
  if (!Body || Exit == ExitUnreachable)
    return failedAnswer(Answer);
  if (Exit == ExitSuccess && !Body->contains("accepted"))
    return failedAnswer(Answer);
  if (Format == OutputFormat::Json)
    return unchangedAnswer(Exit, Answer);
  if (Answer.Status == StatusFindings)
    return {Exit, objectLines(*Body)};
  return {Exit, entryLines("accepted", *Body, "accepted") +
                    entryLines("conflict; accepted on the same base", *Body,
                               "winner") +
                    entryLines("current version", *Body, "current")};
}

CommandResult printStatus(const OperatorAnswer &Answer, OutputFormat Format) {
  json::value Value;
  const json::object *Body = parseBody(Answer, Value);
  if (!Body || Answer.Status != StatusOk)
    return failedAnswer(Answer);
  if (Format == OutputFormat::Json)
    return unchangedAnswer(ExitSuccess, Answer);
  return {ExitSuccess, objectLines(*Body)};
}

CommandResult printHistory(const OperatorAnswer &Answer, OutputFormat Format) {
  json::value Value;
  const json::object *Body = parseBody(Answer, Value);
  const json::value *Entries = Body ? Body->if_contains("history") : nullptr;
  if (!Entries || !Entries->is_array() || Answer.Status != StatusOk)
    return failedAnswer(Answer);
  if (Format == OutputFormat::Json)
    return unchangedAnswer(ExitSuccess, Answer);
  json::array Rows;
  for (const json::value &Each : Entries->as_array())
    Rows.push_back(Each.is_object() ? readableEntry(Each.as_object()) : Each);
  return {ExitSuccess, tableLines(Rows)};
}

} // namespace carobhinge
