//===- LibCommands/IntentCommands.h - Output of operators' commands -------===//
///
/// \file
/// check and plan process texts; apply, status and history process the answer
/// of a host. Each returns lines or JSON and an exit code.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCOMMANDS_INTENTCOMMANDS_H
#define LIBCOMMANDS_INTENTCOMMANDS_H

#include <LibCommands/CommandResult.h>
#include <cstdint>
#include <string_view>

namespace carobhinge {

/// Returns every finding of an intent or of settings. A text with the member
/// "host" is parsed as settings, because an intent has no such member.
CommandResult checkText(std::string_view Name, std::string_view Text,
                        OutputFormat Format);

/// Returns the changes that applying \p NewText would make. \p CurrentText is
/// the text in force, empty before the first intent is accepted.
CommandResult planChange(std::uint64_t Version, std::string_view CurrentText,
                         std::string_view NewText, OutputFormat Format);

/// A complete answer from the operators' interface of a host.
struct OperatorAnswer {
  unsigned Status = 0;
  std::string_view Body;
};

/// Prints the outcome of a change: accepted, a conflict with the winning
/// change, findings, or no quorum.
CommandResult printApplied(const OperatorAnswer &Answer, OutputFormat Format);
/// Prints the status of a host.
CommandResult printStatus(const OperatorAnswer &Answer, OutputFormat Format);
/// Prints the accepted versions of the intent, one line each.
CommandResult printHistory(const OperatorAnswer &Answer, OutputFormat Format);

} // namespace carobhinge

#endif // LIBCOMMANDS_INTENTCOMMANDS_H
