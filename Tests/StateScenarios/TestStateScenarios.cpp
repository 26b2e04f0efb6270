//===- Tests/StateScenarios/TestStateScenarios.cpp - State*.scenario ------===//
///
/// \file
/// Runs the scenarios of the replicated ledger and intent. Guards against calls
/// that run twice, false "not run" answers and lost changes when hosts, disks
/// or links fail.
///
//===----------------------------------------------------------------------===//

#include <Scenario/Runner.h>
#include <State/StateWorld.h>

using namespace carobhinge;

static const bool Registered = scenario::registerScenarios(
    std::filesystem::path(CAROBHINGE_SOURCE_FOLDER) / "Tests/Scenarios",
    "State", [](std::uint64_t Seed) {
      return std::make_unique<state::StateWorld>(Seed);
    });
