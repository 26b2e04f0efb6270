//===- Carobhinge/ExplainCommand.cpp - carobhinge explain -----------------===//
///
/// \file
/// Reads log files and prints the course and the outcome of one request.
///
//===----------------------------------------------------------------------===//

#include <Carobhinge/Commands.h>
#include <LibCommands/RequestTrace.h>
#include <cstdio>
#include <fstream>

namespace carobhinge {

static int explain(const std::string &Id,
                   const std::vector<std::string> &Files) {
  RequestTrace Trace(Id);
  for (const std::string &Path : Files) {
    std::ifstream File(Path);
    if (!File) {
      std::fprintf(stderr, "%s: cannot be read\n", Path.c_str());
      return ExitUsage;
    }
    for (std::string Line; std::getline(File, Line);)
      Trace.addLine(Line);
  }
  CommandResult Result = Trace.render();
  std::fputs(Result.Text.c_str(), stdout);
  return Result.Exit;
}

void addExplainCommand(CLI::App &Parent, int &Exit) {
  auto *Command = Parent.add_subcommand(
      "explain", "Explain the outcome of one request from log files.");
  auto Id = std::make_shared<std::string>();
  auto Files = std::make_shared<std::vector<std::string>>();
  Command->add_option("id", *Id, "Identifier of the request.")->required();
  Command->add_option("files", *Files, "Log files of any number of processes.")
      ->required();
  Command->callback([Id, Files, &Exit] { Exit = explain(*Id, *Files); });
}

} // namespace carobhinge
