//===- Tests/Scenario/Runner.cpp - Runs scenarios as tests ----------------===//
///
/// \file
/// The runner turns the world's clock in small slices while it waits for an
/// expectation.
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

/// How far the clock is turned between two looks at an expectation.
constexpr Duration Slice = std::chrono::milliseconds(10);

/// Runs the steps of one scenario on one world.
class Run {
public:
  Run(World &On, Findings &Out) : On(On), Out(Out) {}

  /// False once a step failed.
  bool step(const Step &What) {
    if (What.After != Duration{})
      this->On.advance(What.After);
    try {
      if (What.Verb == "expect")
        this->expect(What);
      else
        this->On.act(What);
    } catch (const StepError &Error) {
      this->Out.add(What.place(), "a step that can be carried out",
                    Error.what());
    }
    if (auto Broken = this->On.brokenInvariant())
      this->Out.add(What.place(), "every invariant to hold", *Broken);
    return this->Out.empty();
  }

private:
  void expect(const Step &What) {
    Duration Waited{};
    auto Unmet = this->On.unmet(What);
    while (Unmet && Waited < What.Within) {
      this->On.advance(Slice);
      Waited += Slice;
      Unmet = this->On.unmet(What);
    }
    if (Unmet)
      this->Out.add(What.place(), describe(What), *Unmet);
  }

  static std::string describe(const Step &What) {
    std::string Text = What.Who;
    for (const std::string &Word : What.Words)
      Text.append(" ").append(Word);
    for (const auto &[Name, Value] : What.Options)
      Text.append(" ").append(Name).append("=").append(Value);
    return Text;
  }

  World &On;
  Findings &Out;
};

/// One scenario file as a test.
class ScenarioTest : public testing::Test {
public:
  ScenarioTest(std::filesystem::path File, WorldFactory Factory)
      : File(std::move(File)), Factory(std::move(Factory)) {}

  void TestBody() override {
    std::ifstream Stream(this->File);
    std::stringstream Text;
    Text << Stream.rdbuf();
    ASSERT_TRUE(Stream) << this->File;
    Findings Found =
        runScenario(this->File.filename().string(), Text.str(), this->Factory);
    for (const Finding &Each : Found.items()) {
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
  Findings Out;
  constexpr std::uint64_t AnySeed = 1;
  auto Verbs = Factory(AnySeed);
  Scenario Script = parseScenario(File, Text, Verbs->verbs(), Out);
  if (!Out.empty())
    return Out;
  auto On = Factory(Script.Seed);
  Run Runner(*On, Out);
  for (const Step &Each : Script.Steps)
    if (!Runner.step(Each))
      break;
  return Out;
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
