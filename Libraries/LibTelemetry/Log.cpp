//===- LibTelemetry/Log.cpp - Structured logs, one JSON object per line ---===//
///
/// \file
/// Formats lines with Boost.JSON and passes them to spdlog as they are, or to a
/// LogWriter for standard output.
///
//===----------------------------------------------------------------------===//

#include <LibTelemetry/Log.h>

#include <LibCore/Utf8.h>
#include <LibTelemetry/LogWriter.h>
#include <array>
#include <boost/json.hpp>
#include <chrono>
#include <ctime>
#include <filesystem>
#include <memory>
#include <spdlog/logger.h>
#include <spdlog/sinks/rotating_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

namespace json = boost::json;

namespace carobhinge {

static constexpr std::array<std::string_view, 3> SeverityNames = {
    "info", "warning", "error"};
static constexpr std::array<spdlog::level::level_enum, 3> SpdlogLevels = {
    spdlog::level::info, spdlog::level::warn, spdlog::level::err};

/// A file of a folder of logs is as large as this at most, in bytes.
static constexpr std::size_t MaxFileBytes = std::size_t(1800) * 1024 * 1024;
/// A process keeps this many files beside the one that it writes; then the
/// oldest one is deleted.
static constexpr std::size_t MaxOlderFiles = 1000;

/// Set by startLog() before any other thread runs.
static LogOptions Configuration;

/// Set if lines are written to standard output; Lines gets none then.
static std::unique_ptr<LogWriter> Output;

/// Returns a log that adds nothing to a line, and in which none stays buffered.
static std::unique_ptr<spdlog::logger>
makeLines(std::vector<spdlog::sink_ptr> Sinks) {
  auto Lines = std::make_unique<spdlog::logger>("carobhinge", Sinks.begin(),
                                                Sinks.end());
  Lines->set_pattern("%v");
  Lines->set_level(spdlog::level::trace);
  Lines->flush_on(spdlog::level::trace);
  return Lines;
}

/// The log that lines go to; standard error before startLog().
static std::unique_ptr<spdlog::logger> &lines() {
  static std::unique_ptr<spdlog::logger> Lines =
      makeLines({std::make_shared<spdlog::sinks::stderr_sink_mt>()});
  return Lines;
}

/// Returns the path of this process's log in \p Folder. Processes that follow
/// one another, or overlap, have a file each.
static std::string filePath(const std::string &Folder) {
  std::time_t Now = std::time(nullptr);
  std::tm Calendar{};
  gmtime_r(&Now, &Calendar);
  std::array<char, 32> Text{};
  std::strftime(Text.data(), Text.size(), "%Y%m%dT%H%M%SZ", &Calendar);
  std::string Name = std::string("carobhinge.") + Text.data() + "." +
                     std::to_string(getpid()) + ".log";
  return (std::filesystem::path(Folder) / Name).string();
}

/// Lets lines go to a file in \p Folder, errors to standard error too.
static void openFile(const std::string &Folder) {
  auto Errors = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  Errors->set_level(spdlog::level::err);
  lines() = makeLines({std::make_shared<spdlog::sinks::rotating_file_sink_mt>(
                           filePath(Folder), MaxFileBytes, MaxOlderFiles),
                       Errors});
}

void startLog(const LogOptions &Options) {
  Configuration = Options;
  if (Options.ToStandardOutput) {
    Output = std::make_unique<LogWriter>(LogWriterOptions());
    return;
  }
  if (Options.Folder.empty())
    return;
  try {
    openFile(Options.Folder);
  } catch (const spdlog::spdlog_ex &Error) {
    logEvent(Severity::Error, "log-folder-unusable",
             {{"folder", Options.Folder}, {"error", Error.what()}});
  }
}

/// Returns \p Bytes, which may be a stranger's, as text: JSON is UTF-8
/// (RFC 8259, section 8.1).
static json::string fieldText(std::string_view Bytes) {
  return isUtf8(Bytes) ? json::string(Bytes) : json::string(escapeBytes(Bytes));
}

static json::object lineFields(Severity Level, std::string_view Event,
                               std::initializer_list<LogField> Fields) {
  json::object Line;
  Line["severity"] = SeverityNames[static_cast<int>(Level)];
  Line["host"] = Configuration.Host;
  Line["event"] = Event;
  for (const LogField &Field : Fields) {
    if (const auto *Text = std::get_if<std::string_view>(&Field.Value))
      Line[Field.Name] = fieldText(*Text);
    else
      Line[Field.Name] = std::get<std::int64_t>(Field.Value);
  }
  return Line;
}

std::string formatLogLine(Severity Level, std::string_view Event,
                          std::initializer_list<LogField> Fields) {
  return json::serialize(lineFields(Level, Event, Fields));
}

/// Returns the wall-clock time as "2026-12-03T21:42:12.123Z".
static std::string wallClockText() {
  auto Now = std::chrono::system_clock::now();
  auto Seconds = std::chrono::time_point_cast<std::chrono::seconds>(Now);
  auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - Seconds);
  std::time_t Time = std::chrono::system_clock::to_time_t(Seconds);
  std::tm Calendar{};
  gmtime_r(&Time, &Calendar);
  std::array<char, 48> Text{};
  std::size_t Length =
      std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &Calendar);
  std::snprintf(Text.data() + Length, Text.size() - Length, ".%03dZ",
                static_cast<int>(Milliseconds.count()));
  return Text.data();
}

/// Returns a line as it is written, with the time first.
static std::string timedLine(Severity Level, std::string_view Event,
                             std::initializer_list<LogField> Fields) {
  json::object Line;
  Line["time"] = wallClockText();
  for (auto &Member : lineFields(Level, Event, Fields))
    Line[Member.key()] = std::move(Member.value());
  return json::serialize(Line);
}

void logEvent(Severity Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  if (Level < Configuration.MinSeverity)
    return;
  bool Important = Level != Severity::Info;
  if (Output && !Output->admit(monotonicNow(), Event, Important))
    return;
  std::string Text = timedLine(Level, Event, Fields);
  if (Output) {
    if (std::uint64_t Omitted = Output->takeOmitted())
      Output->write(timedLine(Severity::Warning, "log-lines-omitted",
                              {{"count", static_cast<std::int64_t>(Omitted)}}),
                    true);
    return Output->write(std::move(Text), Important);
  }
  lines()->log(SpdlogLevels[static_cast<int>(Level)],
               spdlog::string_view_t(Text.data(), Text.size()));
}

} // namespace carobhinge
