//===- Carobhinge/ExplainCommand.cpp - carobhinge explain -----------------===//
///
/// \file
/// Reads log files and tells what became of one request.
///
//===----------------------------------------------------------------------===//

#include <Carobhinge/Commands.h>
#include <LibCommands/RequestStory.h>
#include <cstdio>
#include <fstream>

namespace carobhinge {

static int explain(const std::string &Id,
                   const std::vector<std::string> &Files) {
  RequestStory Story(Id);
  for (const std::string &Path : Files) {
    std::ifstream File(Path);
    if (!File) {
      std::fprintf(stderr, "%s: cannot be read\n", Path.c_str());
      return ExitUsage;
    }
    for (std::string Line; std::getline(File, Line);)
      Story.take(Line);
  }
  CommandResult Result = Story.tell();
  std::fputs(Result.Text.c_str(), stdout);
  return Result.Exit;
}

void addExplainCommand(CLI::App &To, int &Exit) {
  auto *Command = To.add_subcommand(
      "explain", "Tell from log files what became of one request.");
  auto Id = std::make_shared<std::string>();
  auto Files = std::make_shared<std::vector<std::string>>();
  Command->add_option("id", *Id, "The request's id.")->required();
  Command->add_option("files", *Files, "Logs of any number of processes.")
      ->required();
  Command->callback([Id, Files, &Exit] { Exit = explain(*Id, *Files); });
}

} // namespace carobhinge
