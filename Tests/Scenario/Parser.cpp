//===- Tests/Scenario/Parser.cpp - Reads scenario files -------------------===//
///
/// \file
/// A line is cut into words at blanks; there is no quoting.
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
         Findings &Out)
      : File(File), Verbs(Verbs), Out(Out) {}

  Scenario parse(std::string_view Text) {
    std::istringstream Lines{std::string(Text)};
    for (std::string Line; std::getline(Lines, Line);) {
      ++this->LineNumber;
      this->parseLine(Line.substr(0, Line.find('#')));
    }
    if (this->Read.Title.empty())
      this->report("a line 'scenario TITLE'", "none");
    if (this->Read.Steps.empty())
      this->report("at least one step", "none");
    return std::move(this->Read);
  }

private:
  void parseLine(const std::string &Line) {
    std::istringstream Stream(Line);
    std::vector<std::string> Words;
    for (std::string Word; Stream >> Word;)
      Words.push_back(Word);
    if (Words.empty())
      return;
    if (Words[0] == "scenario")
      this->parseTitle(Words);
    else if (Words[0] == "seed")
      this->parseSeed(Words);
    else
      this->parseStep(Words);
  }

  void parseTitle(std::span<const std::string> Words) {
    for (const std::string &Word : Words.subspan(1))
      this->Read.Title += (this->Read.Title.empty() ? "" : " ") + Word;
  }

  void parseSeed(const std::vector<std::string> &Words) {
    std::string Text = Words.size() == 2 ? Words[1] : "";
    auto End = Text.data() + Text.size();
    auto Result = std::from_chars(Text.data(), End, this->Read.Seed);
    if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
      this->report("'seed NUMBER'", Text);
  }

  void parseStep(std::span<const std::string> Words) {
    Step Next{.File = this->File,
              .Line = this->LineNumber,
              .After = {},
              .Within = {},
              .Who = "",
              .Verb = "",
              .Words = {},
              .Options = {}};
    while (Words.size() > 1 && (Words[0] == "after" || Words[0] == "within")) {
      auto Length = parseDuration(Words[1]);
      if (!Length)
        this->report("a duration such as 250ms or 3s", Words[1]);
      (Words[0] == "after" ? Next.After : Next.Within) =
          Length.value_or(Duration{});
      Words = Words.subspan(2);
    }
    if (Words.size() < 2) {
      this->report("WHO VERB", "too few words");
      return;
    }
    Next.Who = Words[0];
    Next.Verb = Words[1];
    this->checkVerb(Next);
    for (const std::string &Word : Words.subspan(2))
      this->parseArgument(Next, Word);
    this->Read.Steps.push_back(std::move(Next));
  }

  void checkVerb(const Step &Next) {
    bool Expects = Next.Verb == "expect";
    if (Next.Within != Duration{} && !Expects)
      this->report("'within' with expect only", Next.Verb);
    if (Expects || std::ranges::find(this->Verbs, Next.Verb) != Verbs.end())
      return;
    std::string Expected = "a verb of this world";
    std::string_view Nearest = nearestName(Next.Verb, this->Verbs);
    if (!Nearest.empty())
      Expected += " (did you mean " + std::string(Nearest) + "?)";
    this->report(Expected, Next.Verb);
  }

  void parseArgument(Step &Next, const std::string &Word) {
    std::size_t Equals = Word.find('=');
    if (Equals == std::string::npos) {
      Next.Words.push_back(Word);
      return;
    }
    std::string Name = Word.substr(0, Equals);
    bool Fresh = Next.Options.emplace(Name, Word.substr(Equals + 1)).second;
    if (!Fresh)
      this->report("each option once", Name);
  }

  void report(std::string_view Expected, std::string_view Found) {
    this->Out.add(this->File + ":" + std::to_string(this->LineNumber), Expected,
                  Found);
  }

  std::string File;
  std::span<const std::string_view> Verbs;
  Findings &Out;
  int LineNumber = 0;
  Scenario Read;
};

} // namespace

std::optional<Duration> parseDuration(std::string_view Text) {
  std::int64_t Count = 0;
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), End, Count);
  if (Result.ec != std::errc() || Count < 0)
    return std::nullopt;
  std::string_view Unit = Text.substr(Result.ptr - Text.data());
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
                       std::span<const std::string_view> Verbs, Findings &Out) {
  return Parser(File, Verbs, Out).parse(Text);
}

} // namespace carobhinge::scenario
