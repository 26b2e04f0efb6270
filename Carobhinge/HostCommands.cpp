//===- Carobhinge/HostCommands.cpp - carobhinge entry and control ---------===//
///
/// \file
/// The entry and control processes of a deployment whose hosts discover each
/// other. Connects the libraries with the protocols of the platform.
///
//===----------------------------------------------------------------------===//

#include <Carobhinge/Commands.h>
#include <Carobhinge/ProcessStart.h>
#include <LibControl/ControlProcess.h>
#include <LibEntry/EntryProcess.h>
#include <LibHTTP/Address.h>
#include <LibTelemetry/Log.h>
#include <LibTelemetry/Supervision.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <platform/CallProtocol.h>
#include <platform/EngineProtocol.h>
#include <platform/WireNames.h>

namespace asio = boost::asio;

namespace carobhinge {

/// A predecessor that stops holds its addresses until this long after its grace
/// time at most.
static constexpr auto PredecessorMargin = std::chrono::seconds(2);

static std::string ownAddress(const HostSettings &LocalSettings,
                              std::uint16_t Port) {
  return LocalSettings.Ip + ":" + std::to_string(Port);
}

/// Constructs a process as soon as \p Addresses are free and runs it until it
/// has stopped on a signal.
template <typename Process, typename... Protocols>
static int runUntilStopped(const HostSettings &LocalSettings,
                           std::vector<std::string> Addresses,
                           const Protocols &...Platform) {
  Addresses.push_back(ownAddress(LocalSettings, LocalSettings.PeerListenPort));
  Addresses.push_back(ownAddress(LocalSettings, LocalSettings.MetricsPort));
  ProcessStart Start(1, LocalSettings.Bounds.GraceTime + PredecessorMargin);
  std::unique_ptr<Process> Running;
  if (!Start.run(Addresses, [&](asio::io_context &Context) {
        Running =
            std::make_unique<Process>(Context, LocalSettings, Platform...);
      }))
    return ExitSuccess;
  asio::io_context &Context = Start.context();
  Start.whenStopped([&] {
    asio::co_spawn(Context, Running->stop(),
                   [&](const std::exception_ptr &Failure) {
                     if (Failure)
                       logTaskFailure("stop", "ended", Failure);
                     Context.stop();
                   });
  });
  // The settings of a running process never change, so a reload is only logged.
  asio::signal_set Reloads(Context, SIGHUP);
  std::function<void(const boost::system::error_code &, int)> Reload =
      [&](const boost::system::error_code &Error, int) {
        if (Error)
          return;
        logEvent(Severity::Info, "reload", {});
        Reloads.async_wait(Reload);
      };
  Reloads.async_wait(Reload);
  Running->start();
  runContext(Context);
  return ExitSuccess;
}

static int runEntry(const HostSettings &LocalSettings) {
  platform::CallProtocol Calls;
  platform::EngineProtocol Engines;
  return runUntilStopped<EntryProcess>(
      LocalSettings,
      {LocalSettings.CallerAddress, LocalSettings.ReadinessAddress}, Calls,
      Engines);
}

static int runControl(const HostSettings &LocalSettings) {
  platform::EngineProtocol Engines;
  return runUntilStopped<ControlProcess>(
      LocalSettings, {LocalSettings.ControlAddress}, Engines);
}

static int runFile(const std::string &Path,
                   int (*Run)(const HostSettings &LocalSettings)) {
  // Before the handlers are set, a reload must not end the process. There is
  // nothing to reload yet.
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN);
  HostSettings LocalSettings;
  try {
    waitForSettings(Path);
    LocalSettings = loadHostSettings(Path);
  } catch (const FindingsError &Error) {
    std::fprintf(stderr, "%s: the settings have findings\n%s", Path.c_str(),
                 Error.what());
    return ExitUsage;
  }
  startLog(
      {.Host = LocalSettings.Host, .Folder = "", .ToStandardOutput = true});
  try {
    return Run(LocalSettings);
  } catch (const AddressError &Error) {
    std::fprintf(stderr, "carobhinge: %s\n", Error.what());
    return ExitAddress;
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "carobhinge: %s\n", Error.what());
    return isDataFolderFailure(Error) ? ExitDataFolder : ExitUnexpected;
  }
}

static void addHostCommand(CLI::App &Parent, int &Exit, const char *Name,
                           const char *Help,
                           int (*Run)(const HostSettings &LocalSettings)) {
  auto *Command = Parent.add_subcommand(Name, Help);
  auto Path = std::make_shared<std::string>();
  Command->add_option("--settings", *Path, "JSON file with the settings.")
      ->envname(platform::SettingsVariable)
      ->required();
  Command->callback([Path, &Exit, Run] { Exit = runFile(*Path, Run); });
}

void addHostCommands(CLI::App &Parent, int &Exit) {
  addHostCommand(Parent, Exit, "entry", "Run an entry process.", &runEntry);
  addHostCommand(Parent, Exit, "control", "Run a control process.",
                 &runControl);
}

} // namespace carobhinge
