//===- Tests/PlatformWorld/LogReader.h - Lines that processes wrote -------===//
///
/// \file
/// Holds the logs of a run against the vocabulary, and against what callers
/// saw.
///
//===----------------------------------------------------------------------===//

#ifndef PLATFORMWORLD_LOGREADER_H
#define PLATFORMWORLD_LOGREADER_H

#include <filesystem>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace carobhinge {

struct LogReading {
  std::size_t Lines = 0;
  /// What is wrong with a line.
  std::vector<std::string> Faults;
  /// Outcome and reason by a request's id, from the line that ended it.
  std::map<std::string, std::string> Requests;
  /// How often each event was written.
  std::map<std::string, unsigned> Events;
};

LogReading readLogs(std::span<const std::filesystem::path> Paths);

} // namespace carobhinge

#endif // PLATFORMWORLD_LOGREADER_H
