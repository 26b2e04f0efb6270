//===- Carobhinge/ServeCommand.cpp - carobhinge serve ---------------------===//
///
/// \file
/// Checks the settings, runs the serving process on its threads, and turns
/// SIGTERM and SIGINT into a planned stop.
///
//===----------------------------------------------------------------------===//

#include <Carobhinge/Commands.h>
#include <LibHTTP/Address.h>
#include <LibServe/ServerProcess.h>
#include <LibStore/DataFolder.h>
#include <LibTelemetry/Log.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <thread>

namespace asio = boost::asio;

namespace carobhinge {

static Severity severityOf(std::string_view Level) {
  if (Level == "warning")
    return Severity::Warning;
  return Level == "error" ? Severity::Error : Severity::Info;
}

/// Runs \p Context on \p Count threads until it is stopped.
static void runThreads(asio::io_context &Context, std::int64_t Count) {
  std::vector<std::jthread> Threads;
  for (std::int64_t I = 0; I < Count; ++I)
    Threads.emplace_back([&Context] { Context.run(); });
}

static int serve(const Settings &Own) {
  startLog({.Host = Own.Host,
            .Folder = Own.Log.Folder,
            .Least = severityOf(Own.Log.Level)});
  asio::io_context Context(static_cast<int>(Own.Threads));
  ServerProcess Process(Context, Own);
  int Exit = ExitSuccess;
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](const boost::system::error_code &Error, int) {
    if (Error)
      return;
    asio::co_spawn(Context, Process.stop(),
                   [&](const std::exception_ptr &, bool Finished) {
                     Exit = Finished ? ExitSuccess : ExitCutOff;
                     Context.stop();
                   });
  });
  Process.start();
  runThreads(Context, Own.Threads);
  flushLog();
  return Exit;
}

static int serveFile(const std::string &Path) {
  Settings Own;
  try {
    Own = loadSettings(Path);
  } catch (const FindingsError &Error) {
    std::fprintf(stderr, "%s: the settings have findings\n%s", Path.c_str(),
                 Error.what());
    return ExitUsage;
  }
  try {
    return serve(Own);
  } catch (const AddressError &Error) {
    std::fprintf(stderr, "carobhinge: %s\n", Error.what());
    return ExitAddress;
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "carobhinge: %s\n", Error.what());
    return ExitDataFolder;
  }
}

void addServeCommand(CLI::App &To, int &Exit) {
  auto *Command = To.add_subcommand("serve", "Run one serving process.");
  auto Path = std::make_shared<std::string>();
  Command->add_option("--settings", *Path, "The settings, a JSON file.")
      ->required();
  Command->callback([Path, &Exit] { Exit = serveFile(*Path); });
}

} // namespace carobhinge
