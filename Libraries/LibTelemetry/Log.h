//===- LibTelemetry/Log.h - Structured logs, one JSON object per line -----===//
///
/// \file
/// Every line is a JSON object with the time, the severity, the host, the name
/// of the event and its fields. Text that is no UTF-8 is written as
/// escapeBytes() returns it. spdlog writes and rotates the files.
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
  /// Folder of the log files; empty to log to standard error. It is made if it
  /// doesn't exist. Where no file can be opened in it, standard error says so
  /// and gets the lines.
  std::string Folder;
  Severity MinSeverity = Severity::Info;
  /// Writes lines to standard output, through a LogWriter, instead.
  bool ToStandardOutput = false;
};

/// Configures the log. Must be called once, before the first line is written
/// and before other threads start. No line stays in the process: the end of the
/// process, however it comes, loses none.
void startLog(const LogOptions &Options);

/// Writes one line about \p Event unless \p Level is below the minimum
/// severity.
void logEvent(Severity Level, std::string_view Event,
              std::initializer_list<LogField> Fields);

/// Returns the text of a line, without the time. Exposed for tests.
std::string formatLogLine(Severity Level, std::string_view Event,
                          std::initializer_list<LogField> Fields);

} // namespace carobhinge

#endif // LIBTELEMETRY_LOG_H
