//===- LibCommands/IntentCommands.h - What operators' commands print ------===//
///
/// \file
/// check and plan look at texts; apply, status and history look at a host's
/// answer. Each turns what it is given into lines or JSON and an exit code.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCOMMANDS_INTENTCOMMANDS_H
#define LIBCOMMANDS_INTENTCOMMANDS_H

#include <LibCommands/CommandResult.h>
#include <cstdint>
#include <string_view>

namespace carobhinge {

/// Every finding of an intent or of settings. A text is one of settings if it
/// names a host, as an intent does not.
CommandResult checkText(std::string_view Name, std::string_view Text,
                        OutputForm Form);

/// What applying \p Wanted would change. \p Current is the text in force,
/// empty before the first one.
CommandResult planChange(std::uint64_t Version, std::string_view Current,
                         std::string_view Wanted, OutputForm Form);

/// A whole answer of a host's operators' interface.
struct OperatorAnswer {
  unsigned Status = 0;
  std::string_view Body;
};

/// What became of a change: accepted, a conflict that names the winner,
/// findings, or no quorum.
CommandResult printApplied(const OperatorAnswer &Answer, OutputForm Form);
CommandResult printStatus(const OperatorAnswer &Answer, OutputForm Form);
CommandResult printHistory(const OperatorAnswer &Answer, OutputForm Form);

} // namespace carobhinge

#endif // LIBCOMMANDS_INTENTCOMMANDS_H
