//===- Tests/PlatformWorld/LogReader.cpp - Checks processes' logs ---------===//

#include <PlatformWorld/LogReader.h>

#include <LibTelemetry/LogVocabulary.h>
#include <boost/json.hpp>
#include <fstream>

namespace json = boost::json;

namespace carobhinge {

LogSummary readLogs(std::span<const std::filesystem::path> Paths) {
  LogSummary Summary;
  for (const std::filesystem::path &Path : Paths) {
    std::ifstream File(Path);
    for (std::string Line; std::getline(File, Line);) {
      // A killed process may leave an incomplete last line.
      bool Incomplete = File.eof();
      ++Summary.Lines;
      Findings LineFindings;
      checkLogLine(Line, LineFindings);
      if (!LineFindings.empty()) {
        if (!Incomplete)
          Summary.Faults.push_back(Path.filename().string() + ": " +
                                   LineFindings.report());
        continue;
      }
      json::value Value = json::parse(Line);
      std::string Event(Value.at("event").as_string());
      ++Summary.Events[Event];
      if (Event == "request")
        Summary.Requests[std::string(Value.at("request").as_string())] =
            std::string(Value.at("outcome").as_string()) + ": " +
            std::string(Value.at("reason").as_string());
    }
  }
  return Summary;
}

} // namespace carobhinge
