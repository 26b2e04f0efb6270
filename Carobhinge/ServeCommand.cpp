//===- Carobhinge/ServeCommand.cpp - carobhinge serve ---------------------===//
///
/// \file
/// Checks the settings, runs the serving process on its threads, and starts a
/// planned stop on SIGTERM or SIGINT.
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

static int serve(const Settings &LocalSettings) {
  startLog({.Host = LocalSettings.Host,
            .Folder = LocalSettings.Log.Folder,
            .MinSeverity = severityOf(LocalSettings.Log.Level)});
  asio::io_context Context(static_cast<int>(LocalSettings.Threads));
  ServerProcess Process(Context, LocalSettings);
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
  runThreads(Context, LocalSettings.Threads);
  flushLog();
  return Exit;
}

static int serveFile(const std::string &Path) {
  Settings LocalSettings;
  try {
    LocalSettings = loadSettings(Path);
  } catch (const FindingsError &Error) {
    std::fprintf(stderr, "%s: the settings have findings\n%s", Path.c_str(),
                 Error.what());
    return ExitUsage;
  }
  try {
    return serve(LocalSettings);
  } catch (const AddressError &Error) {
    std::fprintf(stderr, "carobhinge: %s\n", Error.what());
    return ExitAddress;
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "carobhinge: %s\n", Error.what());
    return ExitDataFolder;
  }
}

void addServeCommand(CLI::App &Parent, int &Exit) {
  auto *Command = Parent.add_subcommand("serve", "Run a serving process.");
  auto Path = std::make_shared<std::string>();
  Command->add_option("--settings", *Path, "JSON file with the settings.")
      ->required();
  Command->callback([Path, &Exit] { Exit = serveFile(*Path); });
}

} // namespace carobhinge
