//===- Carobhinge/ServeCommand.cpp - carobhinge serve ---------------------===//
///
/// \file
/// Checks the settings, runs the serving process on its threads, and starts a
/// planned stop on SIGTERM or SIGINT.
///
//===----------------------------------------------------------------------===//

#include <Carobhinge/Commands.h>
#include <Carobhinge/ProcessStart.h>
#include <LibHTTP/Address.h>
#include <LibServe/ServerProcess.h>
#include <LibStore/DataFolder.h>
#include <LibTelemetry/Log.h>
#include <LibTelemetry/Supervision.h>
#include <boost/asio/co_spawn.hpp>
#include <csignal>
#include <cstdio>
#include <mutex>
#include <thread>

namespace asio = boost::asio;

namespace carobhinge {

/// What a planned stop takes beside the drain time.
static constexpr Duration StopTime = std::chrono::seconds(5);
/// A predecessor that drains longer is reported to whoever starts processes.
static constexpr Duration MaxPredecessorTime = std::chrono::seconds(20);

static Severity severityOf(std::string_view Level) {
  if (Level == "warning")
    return Severity::Warning;
  return Level == "error" ? Severity::Error : Severity::Info;
}

/// Runs \p Context on \p Count threads until it is stopped.
/// \throws LoopGivenUp
static void runThreads(asio::io_context &Context, std::int64_t Count) {
  std::mutex Lock;
  std::exception_ptr Failure;
  std::vector<std::jthread> Threads;
  for (std::int64_t I = 0; I < Count; ++I)
    Threads.emplace_back([&] {
      try {
        runContext(Context);
      } catch (const LoopGivenUp &) {
        std::lock_guard Guard(Lock);
        Failure = std::current_exception();
        Context.stop();
      }
    });
  Threads.clear();
  if (Failure)
    std::rethrow_exception(Failure);
}

static int serve(const Settings &LocalSettings) {
  startLog({.Host = LocalSettings.Host,
            .Folder = LocalSettings.Log.Folder,
            .MinSeverity = severityOf(LocalSettings.Log.Level)});
  ProcessStart Start(
      static_cast<int>(LocalSettings.Threads),
      std::min(LocalSettings.Times.Drain + StopTime, MaxPredecessorTime));
  const ListenAddresses &Listen = LocalSettings.Listen;
  std::vector<std::string> Addresses = {
      Listen.Callers.text(), Listen.Endpoints.text(), Listen.Operators.text(),
      Listen.Peers.text()};
  std::unique_ptr<ServerProcess> Process;
  if (!Start.run(Addresses, [&](asio::io_context &Context) {
        Process = std::make_unique<ServerProcess>(Context, LocalSettings);
      }))
    return ExitSuccess;
  asio::io_context &Context = Start.context();
  int Exit = ExitSuccess;
  Start.whenStopped([&] {
    asio::co_spawn(Context, Process->stop(),
                   [&](const std::exception_ptr &Failure, bool Finished) {
                     if (Failure)
                       logTaskFailure("stop", "ended", Failure);
                     Exit = Finished ? ExitSuccess : ExitCutOff;
                     Context.stop();
                   });
  });
  Process->start();
  runThreads(Context, LocalSettings.Threads);
  return Exit;
}

static int serveFile(const std::string &Path) {
  // A closed terminal or a reader of the log that ends must not end the
  // process.
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN);
  Settings LocalSettings;
  try {
    waitForSettings(Path);
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
    return isDataFolderFailure(Error) ? ExitDataFolder : ExitUnexpected;
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
