//===- LibTelemetry/LogVocabulary.h - Events and their fields -------------===//
///
/// \file
/// Which lines the entry and control processes write, and what each owes its
/// reader. docs/OPERATIONS.md explains them; tests hold both to this list.
///
//===----------------------------------------------------------------------===//

#ifndef LIBTELEMETRY_LOGVOCABULARY_H
#define LIBTELEMETRY_LOGVOCABULARY_H

#include <LibCore/Findings.h>
#include <span>
#include <string_view>
#include <vector>

namespace carobhinge {

struct LogEventRule {
  std::string_view Event;
  /// Fields that each line of the event has, besides the common ones.
  std::vector<std::string_view> Owes;
};

/// All events of the entry and control processes.
std::span<const LogEventRule> logVocabulary();

/// Adds to \p Out what is wrong with \p Line: not JSON, an event that isn't
/// listed, or a field that is missing or that its event doesn't have.
void checkLogLine(std::string_view Line, Findings &Out);

} // namespace carobhinge

#endif // LIBTELEMETRY_LOGVOCABULARY_H
