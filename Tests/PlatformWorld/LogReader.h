//===- Tests/PlatformWorld/LogReader.h - Checks processes' logs -----------===//
///
/// \file
/// Reads the logs of a run and checks each line against the log vocabulary. The
/// summary can be compared with the results that callers got.
///
//===----------------------------------------------------------------------===//

#ifndef PLATFORMWORLD_LOGREADER_H
#define PLATFORMWORLD_LOGREADER_H

#include <chrono>
#include <filesystem>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace carobhinge {

/// A log line by which a host took an endpoint for lost or crashed.
struct EndpointAlarm {
  std::string Event;
  std::string Endpoint;
  std::chrono::sys_time<std::chrono::milliseconds> At;
};

struct LogSummary {
  std::size_t Lines = 0;
  /// Descriptions of the invalid lines.
  std::vector<std::string> Faults;
  /// Outcome and reason by request id, from the log line at its end.
  std::map<std::string, std::string> Requests;
  /// The number of lines by event.
  std::map<std::string, unsigned> Events;
  std::vector<EndpointAlarm> Alarms;
  /// Whether request \p Id ended because its time had passed.
  [[nodiscard]] bool ranOutOfTime(const std::string &Id) const;
  /// The longest time from a process's "stop" to its "stopped".
  std::chrono::milliseconds LongestStop{};
};

LogSummary readLogs(std::span<const std::filesystem::path> Paths);

} // namespace carobhinge

#endif // PLATFORMWORLD_LOGREADER_H
