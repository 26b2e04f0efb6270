//===- Carobhinge/main.cpp - The command line -----------------------------===//
///
/// \file
/// The command line of the one binary, which runs the processes, the operators'
/// commands and the stand-ins.
///
//===----------------------------------------------------------------------===//

#include <Carobhinge/Commands.h>

#include <cstdio>
#include <exception>

int main(int Count, char **Arguments) {
  using namespace carobhinge;
  CLI::App App("Serves models whose replicas span several hosts, and plain "
               "services next to them.",
               "carobhinge");
  App.set_version_flag("--version", "carobhinge 0.1.0");
  App.require_subcommand(1);
  int Exit = ExitSuccess;
  addServeCommand(App, Exit);
  addHostCommands(App, Exit);
  addExplainCommand(App, Exit);
  addOperatorCommands(App, Exit);
  addStandInCommands(App, Exit);
  try {
    App.parse(Count, Arguments);
  } catch (const CLI::ParseError &Error) {
    int Code = App.exit(Error);
    return Code == 0 ? ExitSuccess : ExitUsage;
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "carobhinge: %s\n", Error.what());
    return ExitUsage;
  }
  return Exit;
}
