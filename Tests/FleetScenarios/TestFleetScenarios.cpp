//===- Tests/FleetScenarios/TestFleetScenarios.cpp - Fleet*.scenario ------===//
///
/// \file
/// Runs the group scenarios with engines that check fencing tokens and with
/// engines that ignore them. Guards against requests that are cut off and
/// groups that are not restored when engines, planners or links fail.
///
//===----------------------------------------------------------------------===//

#include <FleetCluster/FleetWorld.h>
#include <Scenario/Runner.h>

using namespace carobhinge;

static bool registerWith(std::string_view Prefix, bool ChecksFencing) {
  return scenario::registerScenarios(
      std::filesystem::path(CAROBHINGE_SOURCE_FOLDER) / "Tests/Scenarios",
      Prefix, [ChecksFencing](std::uint64_t Seed) {
        return std::make_unique<FleetWorld>(Seed, ChecksFencing);
      });
}

static const bool Fenced = registerWith("Fleet", true);
static const bool Unfenced = registerWith("FleetAny", false);
