//===- Tests/PlatformWorld/LogReader.cpp - Checks processes' logs ---------===//

#include <PlatformWorld/LogReader.h>

#include <LibTelemetry/LogVocabulary.h>
#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <fstream>

namespace json = boost::json;

namespace carobhinge {

/// How much of an invalid line is shown.
static constexpr std::size_t ShownBytes = 300;

/// The time of a log line, "2026-12-05T23:31:44.349Z".
static std::chrono::sys_time<std::chrono::milliseconds>
lineTime(std::string_view Text) {
  auto Number = [&](std::size_t Begin, std::size_t Length) {
    int Value = 0;
    std::from_chars(Text.data() + Begin, Text.data() + Begin + Length, Value);
    return Value;
  };
  std::chrono::year_month_day Date(
      std::chrono::year(Number(0, 4)),
      std::chrono::month(static_cast<unsigned>(Number(5, 2))),
      std::chrono::day(static_cast<unsigned>(Number(8, 2))));
  return std::chrono::sys_days(Date) + std::chrono::hours(Number(11, 2)) +
         std::chrono::minutes(Number(14, 2)) +
         std::chrono::seconds(Number(17, 2)) +
         std::chrono::milliseconds(Number(20, 3));
}

bool LogSummary::ranOutOfTime(const std::string &Id) const {
  auto Found = this->Requests.find(Id);
  return Found != this->Requests.end() &&
         Found->second.ends_with(": out of time");
}

LogSummary readLogs(std::span<const std::filesystem::path> Paths) {
  LogSummary Summary;
  for (const std::filesystem::path &Path : Paths) {
    std::ifstream File(Path);
    std::chrono::sys_time<std::chrono::milliseconds> StopAt;
    for (std::string Line; std::getline(File, Line);) {
      // A killed process may leave an incomplete last line.
      bool Incomplete = File.eof();
      ++Summary.Lines;
      Findings LineFindings;
      checkLogLine(Line, LineFindings);
      if (!LineFindings.empty()) {
        if (!Incomplete)
          Summary.Faults.push_back(Path.filename().string() + ": " +
                                   LineFindings.report() +
                                   "in: " + Line.substr(0, ShownBytes));
        continue;
      }
      json::value Value = json::parse(Line);
      std::string Event(Value.at("event").as_string());
      ++Summary.Events[Event];
      if (Event == "engine-lost" || Event == "engine-crashed")
        Summary.Alarms.push_back(
            {.Event = Event,
             .Endpoint = std::string(Value.at("endpoint").as_string()),
             .At = lineTime(Value.at("time").as_string())});
      if (Event == "stop")
        StopAt = lineTime(Value.at("time").as_string());
      if (Event == "stopped")
        Summary.LongestStop =
            std::max(Summary.LongestStop,
                     lineTime(Value.at("time").as_string()) - StopAt);
      if (Event == "request")
        Summary.Requests[std::string(Value.at("request").as_string())] =
            std::string(Value.at("outcome").as_string()) + ": " +
            std::string(Value.at("reason").as_string());
    }
  }
  return Summary;
}

} // namespace carobhinge
