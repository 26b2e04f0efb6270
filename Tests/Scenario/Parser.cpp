//===- Tests/Scenario/Parser.cpp - Reads scenario files -------------------===//
///
/// \file
/// A line is split into words at white space. There is no quoting.
///
//===----------------------------------------------------------------------===//

#include "Parser.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace carobhinge::scenario {

namespace {

/// Reads one scenario line by line.
class Parser {
public:
  Parser(std::string_view File, std::span<const std::string_view> Verbs,
         Findings &Problems)
      : File(File), Verbs(Verbs), Problems(Problems) {}

  Scenario parse(std::string_view Text) {
    std::istringstream Lines{std::string(Text)};
    for (std::string Line; std::getline(Lines, Line);) {
      ++this->LineNumber;
      this->parseLine(Line.substr(0, Line.find('#')));
    }
    if (this->Result.Title.empty())
      this->report("a line 'scenario TITLE'", "none");
    if (this->Result.Steps.empty())
      this->report("at least one step", "none");
    return std::move(this->Result);
  }

private:
  void parseLine(const std::string &Line) {
    std::istringstream Stream(Line);
    std::vector<std::string> Tokens;
    for (std::string Token; Stream >> Token;)
      Tokens.push_back(Token);
    if (Tokens.empty())
      return;
    if (Tokens[0] == "scenario")
      this->parseTitle(Tokens);
    else if (Tokens[0] == "seed")
      this->parseSeed(Tokens);
    else
      this->parseStep(Tokens);
  }

  void parseTitle(std::span<const std::string> Tokens) {
    for (const std::string &Token : Tokens.subspan(1))
      this->Result.Title += (this->Result.Title.empty() ? "" : " ") + Token;
  }

  void parseSeed(const std::vector<std::string> &Tokens) {
    std::string Text = Tokens.size() == 2 ? Tokens[1] : "";
    auto End = Text.data() + Text.size();
    auto Conversion = std::from_chars(Text.data(), End, this->Result.Seed);
    if (Text.empty() || Conversion.ec != std::errc() || Conversion.ptr != End)
      this->report("'seed NUMBER'", Text);
  }

  void parseStep(std::span<const std::string> Tokens) {
    Step NewStep{.File = this->File,
                 .Line = this->LineNumber,
                 .Delay = {},
                 .TimeLimit = {},
                 .Subject = "",
                 .Verb = "",
                 .Arguments = {},
                 .Options = {}};
    while (Tokens.size() > 1 &&
           (Tokens[0] == "after" || Tokens[0] == "within")) {
      auto Length = parseDuration(Tokens[1]);
      if (!Length)
        this->report("a duration such as 250ms or 3s", Tokens[1]);
      (Tokens[0] == "after" ? NewStep.Delay : NewStep.TimeLimit) =
          Length.value_or(Duration{});
      Tokens = Tokens.subspan(2);
    }
    if (Tokens.size() < 2) {
      this->report("WHO VERB", "too few words");
      return;
    }
    NewStep.Subject = Tokens[0];
    NewStep.Verb = Tokens[1];
    this->checkVerb(NewStep);
    for (const std::string &Token : Tokens.subspan(2))
      this->parseArgument(NewStep, Token);
    this->Result.Steps.push_back(std::move(NewStep));
  }

  void checkVerb(const Step &NewStep) {
    bool IsExpectation = NewStep.Verb == "expect";
    if (NewStep.TimeLimit != Duration{} && !IsExpectation)
      this->report("'within' with expect only", NewStep.Verb);
    if (IsExpectation ||
        std::ranges::find(this->Verbs, NewStep.Verb) != Verbs.end())
      return;
    std::string Expected = "a verb of this world";
    std::string_view Nearest = nearestName(NewStep.Verb, this->Verbs);
    if (!Nearest.empty())
      Expected += " (did you mean " + std::string(Nearest) + "?)";
    this->report(Expected, NewStep.Verb);
  }

  void parseArgument(Step &NewStep, const std::string &Token) {
    std::size_t Equals = Token.find('=');
    if (Equals == std::string::npos) {
      NewStep.Arguments.push_back(Token);
      return;
    }
    std::string Name = Token.substr(0, Equals);
    bool Inserted =
        NewStep.Options.emplace(Name, Token.substr(Equals + 1)).second;
    if (!Inserted)
      this->report("each option once", Name);
  }

  void report(std::string_view Expected, std::string_view Found) {
    this->Problems.add(this->File + ":" + std::to_string(this->LineNumber),
                       Expected, Found);
  }

  std::string File;
  std::span<const std::string_view> Verbs;
  Findings &Problems;
  int LineNumber = 0;
  Scenario Result;
};

} // namespace

std::optional<Duration> parseDuration(std::string_view Text) {
  std::int64_t Count = 0;
  const char *End = Text.data() + Text.size();
  auto Conversion = std::from_chars(Text.data(), End, Count);
  if (Conversion.ec != std::errc() || Count < 0)
    return std::nullopt;
  std::string_view Unit = Text.substr(Conversion.ptr - Text.data());
  if (Unit == "ms")
    return std::chrono::milliseconds(Count);
  if (Unit == "s")
    return std::chrono::seconds(Count);
  if (Unit == "m")
    return std::chrono::minutes(Count);
  if (Unit == "h")
    return std::chrono::hours(Count);
  if (Unit == "d")
    return std::chrono::days(Count);
  return std::nullopt;
}

Scenario parseScenario(std::string_view File, std::string_view Text,
                       std::span<const std::string_view> Verbs,
                       Findings &Problems) {
  return Parser(File, Verbs, Problems).parse(Text);
}

} // namespace carobhinge::scenario
