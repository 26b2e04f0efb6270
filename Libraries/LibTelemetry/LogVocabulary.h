//===- LibTelemetry/LogVocabulary.h - Log events and their fields ---------===//
///
/// \file
/// The events that the entry and control processes log, and the fields of each
/// event. docs/OPERATIONS.md explains them; tests compare both the page and the
/// logs with this list.
///
//===----------------------------------------------------------------------===//

#ifndef LIBTELEMETRY_LOGVOCABULARY_H
#define LIBTELEMETRY_LOGVOCABULARY_H

#include <LibCore/Findings.h>
#include <span>
#include <string_view>
#include <vector>

namespace carobhinge {

/// An event and its fields.
struct LogEventRule {
  std::string_view Event;
  /// Fields of every line of the event, in addition to the common fields.
  std::vector<std::string_view> RequiredFields;
};

/// Returns all events of the entry and control processes.
std::span<const LogEventRule> logVocabulary();

/// Checks \p Line and adds a finding to \p Out if it is not a JSON object, if
/// its event is not listed, or if it has a missing or an unlisted field.
void checkLogLine(std::string_view Line, Findings &Out);

} // namespace carobhinge

#endif // LIBTELEMETRY_LOGVOCABULARY_H
