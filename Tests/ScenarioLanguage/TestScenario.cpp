//===- Tests/ScenarioLanguage/TestScenario.cpp - The scenario language ----===//
///
/// \file
/// Guards against scenarios that pass without being checked: errors in a
/// scenario and failing steps must report their file and line, and the clock
/// must advance as the steps require.
///
//===----------------------------------------------------------------------===//

#include <Scenario/Parser.h>
#include <Scenario/Runner.h>
#include <array>
#include <gtest/gtest.h>

using namespace carobhinge;
using namespace carobhinge::scenario;

namespace {

/// Counts kills and reports a violated invariant from the third on.
class CountingWorld : public World {
public:
  [[nodiscard]] std::span<const std::string_view> verbs() const override {
    static constexpr std::array<std::string_view, 2> Verbs{"kill", "freeze"};
    return Verbs;
  }
  void advance(Duration Interval) override { this->Now += Interval; }
  void execute(const Step &Action) override {
    if (Action.Subject != "a")
      throw StepError("no host " + Action.Subject);
    ++this->Kills;
  }
  std::optional<std::string>
  expectationFailure(const Step &Expectation) override {
    auto ExpectedTime = parseDuration(Expectation.option("now")).value();
    if (this->Now >= ExpectedTime)
      return std::nullopt;
    return "only " + std::to_string(milliseconds(this->Now)) + "ms";
  }
  std::optional<std::string> brokenInvariant() override {
    if (this->Kills < 3)
      return std::nullopt;
    return "three kills";
  }

private:
  Duration Now{};
  int Kills = 0;
};

std::string run(std::string_view Text) {
  return runScenario(
             "x.scenario", Text,
             [](std::uint64_t) { return std::make_unique<CountingWorld>(); })
      .report();
}

} // namespace

TEST(Scenario, FailuresReportFileAndLine) {
  struct {
    std::string_view Text;
    /// Expected parts of the report. Empty if the scenario must pass.
    std::vector<std::string> Parts;
  } Cases[] = {
      {"scenario t\nseed 3\nafter 2s a kill\na expect now=2s\n", {}},
      {"scenario t\nwithin 2s a expect now=2s # comment\n", {}},
      {"scenario t\nwithin 1s a expect now=2s\n", {":2:", "only 1000ms"}},
      {"scenario t\nb kill\n", {":2:", "no host b"}},
      {"scenario t\na kill\na kill\na kill\na expect now=9s",
       {":4:", "three kills"}},
      {"scenario t\na frezze\nafter 3x a kill\n",
       {":2:", "freeze?", ":3:", "3x"}},
      {"scenario t\nwithin 3s a kill\nkill\nseed x\n",
       {":2:", ":3:", "WHO VERB", ":4:", "seed NUMBER"}},
      {"scenario t\na expect now=1s now=2s\n", {":2:", "each option once"}},
      {"scenario\na kill\n", {"scenario TITLE"}},
      {"scenario t\n", {"at least one step"}},
  };
  for (const auto &Each : Cases) {
    std::string Report = run(Each.Text);
    EXPECT_EQ(Report.empty(), Each.Parts.empty()) << Each.Text << Report;
    for (const std::string &Part : Each.Parts)
      EXPECT_NE(Report.find(Part), std::string::npos) << Each.Text << Report;
  }
}

TEST(Scenario, EveryFileHasAWorldPrefix) {
  std::filesystem::path Folder =
      std::filesystem::path(CAROBHINGE_SOURCE_FOLDER) / "Tests/Scenarios";
  for (const auto &Each : std::filesystem::directory_iterator(Folder)) {
    std::string Name = Each.path().filename().string();
    EXPECT_TRUE(Name.starts_with("State") || Name.starts_with("Fleet") ||
                Name.starts_with("Routing"))
        << Name;
  }
}
