//===- Carobhinge/HostCommands.cpp - carobhinge entry and control ---------===//
///
/// \file
/// The two processes of a deployment whose hosts find each other. Joins the
/// product's parts with the platform's dialects.
///
//===----------------------------------------------------------------------===//

#include <Carobhinge/Commands.h>
#include <LibControl/ControlProcess.h>
#include <LibEntry/EntryProcess.h>
#include <LibHTTP/Address.h>
#include <LibTelemetry/Log.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <platform/CallProtocol.h>
#include <platform/EngineProtocol.h>
#include <platform/WireNames.h>

namespace asio = boost::asio;

namespace carobhinge {

/// Runs \p Process until it has stopped on a signal.
template <typename Process>
static int runUntilStopped(asio::io_context &Context, Process &Running) {
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](const boost::system::error_code &Error, int) {
    if (!Error)
      asio::co_spawn(Context, Running.stop(),
                     [&](const std::exception_ptr &) { Context.stop(); });
  });
  // The settings that matter to a running process never change; a reload is
  // only noted.
  asio::signal_set Reloads(Context, SIGHUP);
  std::function<void(const boost::system::error_code &, int)> Reload =
      [&](const boost::system::error_code &Error, int) {
        if (Error)
          return;
        logEvent(Severity::Info, "reload", {});
        Reloads.async_wait(Reload);
      };
  Reloads.async_wait(Reload);
  Running.start();
  Context.run();
  flushLog();
  return ExitSuccess;
}

static int runEntry(const HostSettings &Own) {
  platform::CallProtocol Calls;
  platform::EngineProtocol Engines;
  asio::io_context Context(1);
  EntryProcess Process(Context, Own, Calls, Engines);
  return runUntilStopped(Context, Process);
}

static int runControl(const HostSettings &Own) {
  platform::EngineProtocol Engines;
  asio::io_context Context(1);
  ControlProcess Process(Context, Own, Engines);
  return runUntilStopped(Context, Process);
}

static int runFile(const std::string &Path,
                   int (*Run)(const HostSettings &Own)) {
  HostSettings Own;
  try {
    Own = loadHostSettings(Path);
  } catch (const FindingsError &Error) {
    std::fprintf(stderr, "%s: the settings have findings\n%s", Path.c_str(),
                 Error.what());
    return ExitUsage;
  }
  startLog({.Host = Own.Host, .Folder = "", .ToStandardOutput = true});
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return Run(Own);
  } catch (const AddressError &Error) {
    std::fprintf(stderr, "carobhinge: %s\n", Error.what());
    return ExitAddress;
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "carobhinge: %s\n", Error.what());
    return ExitDataFolder;
  }
}

static void addHostCommand(CLI::App &To, int &Exit, const char *Name,
                           const char *Help,
                           int (*Run)(const HostSettings &Own)) {
  auto *Command = To.add_subcommand(Name, Help);
  auto Path = std::make_shared<std::string>();
  Command->add_option("--settings", *Path, "The settings, a JSON file.")
      ->envname(platform::SettingsVariable)
      ->required();
  Command->callback([Path, &Exit, Run] { Exit = runFile(*Path, Run); });
}

void addHostCommands(CLI::App &To, int &Exit) {
  addHostCommand(To, Exit, "entry", "Run one entry process.", &runEntry);
  addHostCommand(To, Exit, "control", "Run one control process.", &runControl);
}

} // namespace carobhinge
