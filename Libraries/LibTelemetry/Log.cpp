//===- LibTelemetry/Log.cpp - Structured logs, one JSON object per line ---===//
///
/// \file
/// Formats lines with Boost.JSON and passes them to glog without its prefix, or
/// to a LogWriter for standard output.
///
//===----------------------------------------------------------------------===//

#include <LibTelemetry/Log.h>
#include <LibTelemetry/LogWriter.h>

#include <array>
#include <boost/json.hpp>
#include <chrono>
#include <ctime>
#include <glog/logging.h>
#include <memory>

namespace json = boost::json;

namespace carobhinge {

static constexpr std::array<std::string_view, 3> SeverityNames = {
    "info", "warning", "error"};

/// Set by startLog() before any other thread runs.
static LogOptions Configuration;

/// Set if lines are written to standard output; glog writes nothing then.
static std::unique_ptr<LogWriter> Output;

void startLog(const LogOptions &Options) {
  Configuration = Options;
  if (Options.ToStandardOutput) {
    Output = std::make_unique<LogWriter>(LogWriterOptions());
    return;
  }
  FLAGS_log_prefix = false;
  FLAGS_timestamp_in_logfile_name = true;
  FLAGS_logtostderr = Options.Folder.empty();
  if (!Options.Folder.empty())
    FLAGS_log_dir = Options.Folder;
  FLAGS_minloglevel = static_cast<int>(Options.MinSeverity);
  google::InitGoogleLogging("carobhinge");
}

void flushLog() {
  if (!Output)
    google::FlushLogFiles(google::GLOG_INFO);
}

static json::object lineFields(Severity Level, std::string_view Event,
                               std::initializer_list<LogField> Fields) {
  json::object Line;
  Line["severity"] = SeverityNames[static_cast<int>(Level)];
  Line["host"] = Configuration.Host;
  Line["event"] = Event;
  for (const LogField &Field : Fields) {
    if (const auto *Text = std::get_if<std::string_view>(&Field.Value))
      Line[Field.Name] = *Text;
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
  switch (Level) {
  case Severity::Info:
    LOG(INFO) << Text;
    break;
  case Severity::Warning:
    LOG(WARNING) << Text;
    break;
  case Severity::Error:
    LOG(ERROR) << Text;
    break;
  }
}

} // namespace carobhinge
