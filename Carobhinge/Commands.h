//===- Carobhinge/Commands.h - The sub-commands of the binary -------------===//
///
/// \file
/// Each function adds its sub-commands to the command line \p Parent. A
/// sub-command stores its exit code in \p Exit after it has run.
///
//===----------------------------------------------------------------------===//

#ifndef CAROBHINGE_COMMANDS_H
#define CAROBHINGE_COMMANDS_H

#include <CLI/CLI.hpp>
#include <LibCommands/CommandResult.h>

namespace carobhinge {

/// Adds the command serve.
void addServeCommand(CLI::App &Parent, int &Exit);

/// Adds the commands entry and control.
void addHostCommands(CLI::App &Parent, int &Exit);
/// Adds the command explain.
void addExplainCommand(CLI::App &Parent, int &Exit);
/// Adds the command standin.
void addStandInCommands(CLI::App &Parent, int &Exit);
/// Adds the commands of operators: check, plan, apply, hold, voters, retire,
/// status and history.
void addOperatorCommands(CLI::App &Parent, int &Exit);

} // namespace carobhinge

#endif // CAROBHINGE_COMMANDS_H
