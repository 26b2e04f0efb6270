//===- Carobhinge/Commands.h - The sub-commands of the binary -------------===//
///
/// \file
/// Each function adds its sub-commands to the command line. A sub-command that
/// ran stores its exit code.
///
//===----------------------------------------------------------------------===//

#ifndef CAROBHINGE_COMMANDS_H
#define CAROBHINGE_COMMANDS_H

#include <CLI/CLI.hpp>
#include <LibCommands/CommandResult.h>

namespace carobhinge {

void addServeCommand(CLI::App &To, int &Exit);

/// The commands entry and control.
void addHostCommands(CLI::App &To, int &Exit);
/// The command explain.
void addExplainCommand(CLI::App &To, int &Exit);
void addStandInCommands(CLI::App &To, int &Exit);
void addOperatorCommands(CLI::App &To, int &Exit);

} // namespace carobhinge

#endif // CAROBHINGE_COMMANDS_H
