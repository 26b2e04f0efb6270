//===- Tests/PlatformWorld/LogReader.cpp - Lines that processes wrote -----===//

#include <PlatformWorld/LogReader.h>

#include <LibTelemetry/LogVocabulary.h>
#include <boost/json.hpp>
#include <fstream>

namespace json = boost::json;

namespace carobhinge {

LogReading readLogs(std::span<const std::filesystem::path> Paths) {
  LogReading Reading;
  for (const std::filesystem::path &Path : Paths) {
    std::ifstream File(Path);
    for (std::string Line; std::getline(File, Line);) {
      // A killed process may leave half a line.
      bool Half = File.eof();
      ++Reading.Lines;
      Findings Out;
      checkLogLine(Line, Out);
      if (!Out.empty()) {
        if (!Half)
          Reading.Faults.push_back(Path.filename().string() + ": " +
                                   Out.report());
        continue;
      }
      json::value Value = json::parse(Line);
      std::string Event(Value.at("event").as_string());
      ++Reading.Events[Event];
      if (Event == "request")
        Reading.Requests[std::string(Value.at("request").as_string())] =
            std::string(Value.at("outcome").as_string()) + ": " +
            std::string(Value.at("reason").as_string());
    }
  }
  return Reading;
}

} // namespace carobhinge
