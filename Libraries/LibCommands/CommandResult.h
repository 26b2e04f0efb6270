//===- LibCommands/CommandResult.h - How a command ends -------------------===//
///
/// \file
/// Exit codes, and what a command prints. The commands of this library do no
/// input or output of their own; the binary reads the files, asks the host and
/// prints the result.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCOMMANDS_COMMANDRESULT_H
#define LIBCOMMANDS_COMMANDRESULT_H

#include <string>

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

/// For people, or one JSON value for programs.
enum class OutputForm { Lines, Json };

struct CommandResult {
  ExitCode Exit = ExitSuccess;
  /// Whole lines, each with its end.
  std::string Text;

  bool operator==(const CommandResult &) const = default;
};

} // namespace carobhinge

#endif // LIBCOMMANDS_COMMANDRESULT_H
