//===- Carobhinge/StandInCommand.cpp - carobhinge standin -----------------===//
///
/// \file
/// Runs one stand-in until SIGTERM or SIGINT. An endpoint stand-in then
/// announces that it is leaving and runs for LeaveTime longer.
///
//===----------------------------------------------------------------------===//

#include <Carobhinge/Commands.h>
#include <LibStandIn/EngineStandIn.h>
#include <LibStandIn/LinkStandIn.h>
#include <LibStandIn/ServiceStandIn.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace carobhinge {

/// Time for which a leaving stand-in still finishes its requests.
static constexpr auto LeaveTime = std::chrono::seconds(2);

template <class StandIn>
static asio::awaitable<void> leaveAndStop(asio::io_context &Context,
                                          StandIn &Leaving) {
  co_await Leaving.leave();
  asio::steady_timer Timer(Context, LeaveTime);
  co_await Timer.async_wait(asio::use_awaitable);
  Context.stop();
}

template <class StandIn, class EndpointOptions>
static int runEndpoint(const EndpointOptions &Options) {
  asio::io_context Context(1);
  StandIn Running(Context.get_executor(), Options);
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](const boost::system::error_code &Error, int) {
    if (!Error)
      asio::co_spawn(Context, leaveAndStop(Context, Running),
                     [](const std::exception_ptr &) {});
  });
  Running.start();
  Context.run();
  return ExitSuccess;
}

/// Adds the options that engines and plain services share.
template <class EndpointOptions>
static void addEndpointOptions(CLI::App &Parent, EndpointOptions &Options) {
  Parent.add_option("--listen", Options.Listen, "IP:PORT to listen on.")
      ->required();
  Parent
      .add_option("--announce-to", Options.EntryHosts,
                  "IP:PORT at which entry hosts accept endpoint announcements.")
      ->required();
  Parent.add_option("--endpoint", Options.Endpoint)->required();
  Parent.add_option("--host", Options.Host)->required();
  Parent.add_option("--failure-domain", Options.FailureDomain)->required();
  Parent.add_option("--fabric-domain", Options.FabricDomain)->required();
  Parent.add_option("--service", Options.Service)->required();
}

static void addMilliseconds(CLI::App &Parent, const std::string &Name,
                            Duration &Result) {
  Parent.add_option_function<std::uint32_t>(
      Name,
      [&Result](std::uint32_t Value) {
        Result = std::chrono::milliseconds(Value);
      },
      "In milliseconds.");
}

static void addEngine(CLI::App &Parent, int &Exit) {
  auto *Command = Parent.add_subcommand("engine", "Run a small model engine.");
  auto Options = std::make_shared<EngineStandInOptions>();
  addEndpointOptions(*Command, *Options);
  Command->add_option("--batch-limit", Options->BatchLimit);
  Command->add_option("--accelerators", Options->Accelerators);
  Command->add_option("--checks-fencing", Options->ChecksFencing);
  Command->add_option("--warm-up-answers", Options->WarmUpAnswers);
  Command->add_option("--cold-batch-limit", Options->ColdBatchLimit);
  Command->add_option("--bad-status-on", Options->BadStatusText,
                      "Beginning of messages whose answers have status 600.");
  Command->add_option("--break-off-on", Options->BreakOffText,
                      "Beginning of messages whose streams break off.");
  Command->add_option("--crash-on", Options->CrashText,
                      "Crash on a prompt with this message before its last.");
  Command->add_option("--request-limit", Options->RequestLimit,
                      "Announce a limit in requests a second.");
  addMilliseconds(*Command, "--load-ms", Options->LoadTime);
  addMilliseconds(*Command, "--token-ms", Options->TimePerToken);
  addMilliseconds(*Command, "--prefill-ms", Options->PrefillTime);
  Command->callback(
      [Options, &Exit] { Exit = runEndpoint<EngineStandIn>(*Options); });
}

static void addService(CLI::App &Parent, int &Exit) {
  auto *Command = Parent.add_subcommand(
      "service", "Run a plain service that counts its executions by key.");
  auto Options = std::make_shared<ServiceStandInOptions>();
  addEndpointOptions(*Command, *Options);
  Command->add_option("--concurrency", Options->Concurrency);
  addMilliseconds(*Command, "--work-ms", Options->WorkTime);
  Command->callback(
      [Options, &Exit] { Exit = runEndpoint<ServiceStandIn>(*Options); });
}

static void addLink(CLI::App &Parent, int &Exit) {
  auto *Command = Parent.add_subcommand(
      "link", "Run a link that cuts, delays or drops bytes on open "
              "connections.");
  auto Options = std::make_shared<LinkStandInOptions>();
  Command->add_option("--listen", Options->Listen)->required();
  Command->add_option("--to", Options->TargetAddress)->required();
  Command->add_option("--control", Options->Control)->required();
  Command->callback([Options, &Exit] {
    asio::io_context Context(1);
    LinkStandIn Running(Context.get_executor(), *Options);
    asio::signal_set Signals(Context, SIGTERM, SIGINT);
    Signals.async_wait(
        [&Context](const boost::system::error_code &, int) { Context.stop(); });
    Running.start();
    Context.run();
    Exit = ExitSuccess;
  });
}

void addStandInCommands(CLI::App &Parent, int &Exit) {
  auto *Command = Parent.add_subcommand(
      "standin", "Run stand-ins for the surrounding systems in tests.");
  Command->require_subcommand(1);
  addEngine(*Command, Exit);
  addService(*Command, Exit);
  addLink(*Command, Exit);
}

} // namespace carobhinge
