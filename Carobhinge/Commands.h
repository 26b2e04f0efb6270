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

namespace carobhinge {

/// Exit codes, the same for all sub-commands.
enum ExitCode : int {
  ExitSuccess = 0,
  /// The text that was checked has findings; a change was refused.
  ExitRefused = 1,
  /// The command line or the settings cannot be used.
  ExitUsage = 2,
  /// An address is in use or cannot be bound.
  ExitAddress = 3,
  /// The data folder cannot be used.
  ExitDataFolder = 4,
  /// The asked host or the quorum cannot be reached.
  ExitUnreachable = 5,
  /// The planned stop could not finish all requests in time.
  ExitCutOff = 6,
};

void addServeCommand(CLI::App &To, int &Exit);
void addStandInCommands(CLI::App &To, int &Exit);
void addOperatorCommands(CLI::App &To, int &Exit);

} // namespace carobhinge

#endif // CAROBHINGE_COMMANDS_H
