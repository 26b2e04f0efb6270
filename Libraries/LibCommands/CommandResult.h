//===- LibCommands/CommandResult.h - Output and exit code of commands -----===//
///
/// \file
/// Exit codes and the output of a command. The commands of this library do no
/// input or output; the binary reads the files, sends the requests to the host
/// and prints the result.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCOMMANDS_COMMANDRESULT_H
#define LIBCOMMANDS_COMMANDRESULT_H

#include <string>

namespace carobhinge {

/// Exit codes, the same for all sub-commands.
enum ExitCode : int {
  ExitSuccess = 0,
  /// The checked text has findings, or a change was refused.
  ExitRefused = 1,
  /// The command line or the settings are invalid.
  ExitUsage = 2,
  /// An address is in use or cannot be bound.
  ExitAddress = 3,
  /// The data folder cannot be used.
  ExitDataFolder = 4,
  /// The host or the quorum cannot be reached.
  ExitUnreachable = 5,
  /// The planned stop could not finish all requests in time.
  ExitCutOff = 6,
  /// An unexpected failure at the start, or a loop that fails each time.
  ExitUnexpected = 7,
};

/// Lines for people, or one JSON value for programs.
enum class OutputFormat { Lines, Json };

/// The exit code and the output of a command.
struct CommandResult {
  ExitCode Exit = ExitSuccess;
  /// Complete lines, each with its line break.
  std::string Text;

  bool operator==(const CommandResult &) const = default;
};

} // namespace carobhinge

#endif // LIBCOMMANDS_COMMANDRESULT_H
