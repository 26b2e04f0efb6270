//===- Tests/Scenario/Runner.cpp - Runs scenarios as tests ----------------===//
///
/// \file
/// Runs the steps of scenarios. While it waits for an expectation, the runner
/// advances the world's clock in small intervals.
///
//===----------------------------------------------------------------------===//

#include "Runner.h"

#include "Parser.h"

#include <algorithm>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace carobhinge::scenario {

namespace {

/// Simulated time between two checks of an expectation.
constexpr Duration PollInterval = std::chrono::milliseconds(10);

/// Runs the steps of one scenario on one world.
class ScenarioRun {
public:
  ScenarioRun(World &TestedWorld, Findings &Problems)
      : TestedWorld(TestedWorld), Problems(Problems) {}

  /// Runs one step. Returns false once a step failed.
  bool step(const Step &Action) {
    if (Action.Delay != Duration{})
      this->TestedWorld.advance(Action.Delay);
    try {
      if (Action.Verb == "expect")
        this->expect(Action);
      else
        this->TestedWorld.execute(Action);
    } catch (const StepError &Error) {
      this->Problems.add(Action.location(), "a step that can be carried out",
                         Error.what());
    }
    if (auto Violation = this->TestedWorld.brokenInvariant())
      this->Problems.add(Action.location(), "every invariant to hold",
                         *Violation);
    return this->Problems.empty();
  }

private:
  void expect(const Step &Action) {
    Duration WaitedTime{};
    auto Failure = this->TestedWorld.expectationFailure(Action);
    while (Failure && WaitedTime < Action.TimeLimit) {
      this->TestedWorld.advance(PollInterval);
      WaitedTime += PollInterval;
      Failure = this->TestedWorld.expectationFailure(Action);
    }
    if (Failure)
      this->Problems.add(Action.location(), describe(Action), *Failure);
  }

  static std::string describe(const Step &Action) {
    std::string Text = Action.Subject;
    for (const std::string &Argument : Action.Arguments)
      Text.append(" ").append(Argument);
    for (const auto &[Name, Value] : Action.Options)
      Text.append(" ").append(Name).append("=").append(Value);
    return Text;
  }

  World &TestedWorld;
  Findings &Problems;
};

/// Runs one scenario file as a test.
class ScenarioTest : public testing::Test {
public:
  ScenarioTest(std::filesystem::path File, WorldFactory Factory)
      : File(std::move(File)), Factory(std::move(Factory)) {}

  void TestBody() override {
    std::ifstream Stream(this->File);
    std::stringstream Text;
    Text << Stream.rdbuf();
    ASSERT_TRUE(Stream) << this->File;
    Findings Problems =
        runScenario(this->File.filename().string(), Text.str(), this->Factory);
    for (const Finding &Each : Problems.items()) {
      std::size_t Colon = Each.Location.rfind(':');
      int Line = std::stoi(Each.Location.substr(Colon + 1));
      ADD_FAILURE_AT(this->File.c_str(), Line)
          << "expected " << Each.Expected << ", found " << Each.Found;
    }
  }

private:
  std::filesystem::path File;
  WorldFactory Factory;
};

} // namespace

Findings runScenario(std::string_view File, std::string_view Text,
                     const WorldFactory &Factory) {
  Findings Problems;
  constexpr std::uint64_t AnySeed = 1;
  auto Verbs = Factory(AnySeed);
  Scenario Parsed = parseScenario(File, Text, Verbs->verbs(), Problems);
  if (!Problems.empty())
    return Problems;
  auto TestedWorld = Factory(Parsed.Seed);
  ScenarioRun Runner(*TestedWorld, Problems);
  for (const Step &Each : Parsed.Steps)
    if (!Runner.step(Each))
      break;
  return Problems;
}

bool registerScenarios(const std::filesystem::path &Folder,
                       std::string_view Prefix, const WorldFactory &Factory) {
  std::vector<std::filesystem::path> Files;
  for (const auto &Each : std::filesystem::directory_iterator(Folder))
    if (Each.path().extension() == ".scenario" &&
        Each.path().filename().string().starts_with(Prefix))
      Files.push_back(Each.path());
  if (Files.empty())
    throw std::runtime_error("no scenario " + std::string(Prefix) + " in " +
                             Folder.string());
  std::ranges::sort(Files);
  for (const auto &File : Files)
    testing::RegisterTest("Scenario", File.stem().c_str(), nullptr, nullptr,
                          File.c_str(), 1,
                          [File, Factory]() -> testing::Test * {
                            return new ScenarioTest(File, Factory);
                          });
  return true;
}

} // namespace carobhinge::scenario
