//===- LibTelemetry/Log.h - Structured logs, one JSON object a line -------===//
///
/// \file
/// Every line is a JSON object with the time, the severity, the host, the
/// event's name and its fields. glog does the writing and the rotation.
///
//===----------------------------------------------------------------------===//

#ifndef LIBTELEMETRY_LOG_H
#define LIBTELEMETRY_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace carobhinge {

enum class Severity { Info, Warning, Error };

/// A field of a log line.
struct LogField {
  std::string_view Name;
  std::variant<std::string_view, std::int64_t> Value;
};

struct LogOptions {
  /// Added to every line.
  std::string Host;
  /// Where files are written; empty means standard error.
  std::string Folder;
  Severity Least = Severity::Info;
  /// Lines go to standard output, through a LineSink, instead.
  bool ToStandardOutput = false;
};

/// Called once, before the first line is written.
void startLog(const LogOptions &Options);

/// Writes what is still buffered.
void flushLog();

/// Writes one line about \p Event.
void logEvent(Severity How, std::string_view Event,
              std::initializer_list<LogField> Fields);

/// The text of a line, without the time. Exposed for tests.
std::string formatLogLine(Severity How, std::string_view Event,
                          std::initializer_list<LogField> Fields);

} // namespace carobhinge

#endif // LIBTELEMETRY_LOG_H
