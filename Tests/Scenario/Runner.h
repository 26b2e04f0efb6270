//===- Tests/Scenario/Runner.h - Runs scenarios as tests ------------------===//
///
/// \file
/// Runs scenarios on a world. Each file becomes a GoogleTest test whose
/// failures are reported at the file and line of the step.
///
//===----------------------------------------------------------------------===//

#ifndef SCENARIO_RUNNER_H
#define SCENARIO_RUNNER_H

#include "World.h"

#include <LibCore/Findings.h>
#include <filesystem>
#include <functional>
#include <memory>

namespace carobhinge::scenario {

using WorldFactory = std::function<std::unique_ptr<World>(std::uint64_t Seed)>;

/// Runs \p Text up to its first failing step. Returns no findings if every step
/// passed, otherwise the errors in the text or the findings of the failing
/// step.
Findings runScenario(std::string_view File, std::string_view Text,
                     const WorldFactory &Factory);

/// Registers one test for each file PREFIX*.scenario of \p Folder, named after
/// the file. Must be called before RUN_ALL_TESTS, for example from a static
/// initialiser of the test program. Throws std::runtime_error if there is no
/// such file.
bool registerScenarios(const std::filesystem::path &Folder,
                       std::string_view Prefix, const WorldFactory &Factory);

} // namespace carobhinge::scenario

#endif // SCENARIO_RUNNER_H
