//===- Carobhinge/StandInCommand.cpp - carobhinge standin -----------------===//
///
/// \file
/// Runs one stand-in until SIGTERM. An endpoint stand-in then announces that
/// it is leaving and goes on until its work is done.
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

/// How long a leaving stand-in finishes what it has.
static constexpr auto LeaveTime = std::chrono::seconds(2);

template <class StandIn>
static asio::awaitable<void> leaveAndStop(asio::io_context &Context,
                                          StandIn &Leaving) {
  co_await Leaving.leave();
  asio::steady_timer Timer(Context, LeaveTime);
  co_await Timer.async_wait(asio::use_awaitable);
  Context.stop();
}

template <class StandIn, class Options>
static int runEndpoint(const Options &Given) {
  asio::io_context Context(1);
  StandIn Running(Context.get_executor(), Given);
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

/// Options that engines and plain services have in common.
template <class Options>
static void addEndpointOptions(CLI::App &To, Options &Given) {
  To.add_option("--listen", Given.Listen, "IP:PORT to listen on.")->required();
  To.add_option("--announce-to", Given.EntryHosts,
                "IP:PORT of the endpoint addresses of entry hosts.")
      ->required();
  To.add_option("--endpoint", Given.Endpoint)->required();
  To.add_option("--host", Given.Host)->required();
  To.add_option("--failure-domain", Given.FailureDomain)->required();
  To.add_option("--fabric-domain", Given.FabricDomain)->required();
  To.add_option("--service", Given.Service)->required();
}

static void addMilliseconds(CLI::App &To, const std::string &Name,
                            Duration &Given) {
  To.add_option_function<std::uint32_t>(
      Name,
      [&Given](std::uint32_t Value) {
        Given = std::chrono::milliseconds(Value);
      },
      "In milliseconds.");
}

static void addEngine(CLI::App &To, int &Exit) {
  auto *Command = To.add_subcommand("engine", "A small model engine.");
  auto Given = std::make_shared<EngineStandInOptions>();
  addEndpointOptions(*Command, *Given);
  Command->add_option("--batch-limit", Given->BatchLimit);
  Command->add_option("--accelerators", Given->Accelerators);
  Command->add_option("--checks-fencing", Given->ChecksFencing);
  Command->add_option("--warm-up-answers", Given->WarmUpAnswers);
  Command->add_option("--cold-batch-limit", Given->ColdBatchLimit);
  addMilliseconds(*Command, "--load-ms", Given->LoadTime);
  addMilliseconds(*Command, "--token-ms", Given->TimePerToken);
  addMilliseconds(*Command, "--prefill-ms", Given->PrefillTime);
  Command->callback(
      [Given, &Exit] { Exit = runEndpoint<EngineStandIn>(*Given); });
}

static void addService(CLI::App &To, int &Exit) {
  auto *Command = To.add_subcommand(
      "service", "A plain service that counts its executions by key.");
  auto Given = std::make_shared<ServiceStandInOptions>();
  addEndpointOptions(*Command, *Given);
  Command->add_option("--concurrency", Given->Concurrency);
  addMilliseconds(*Command, "--work-ms", Given->WorkTime);
  Command->callback(
      [Given, &Exit] { Exit = runEndpoint<ServiceStandIn>(*Given); });
}

static void addLink(CLI::App &To, int &Exit) {
  auto *Command = To.add_subcommand(
      "link", "A link that cuts, delays, or swallows bytes on open "
              "connections.");
  auto Given = std::make_shared<LinkStandInOptions>();
  Command->add_option("--listen", Given->Listen)->required();
  Command->add_option("--to", Given->To)->required();
  Command->add_option("--control", Given->Control)->required();
  Command->callback([Given, &Exit] {
    asio::io_context Context(1);
    LinkStandIn Running(Context.get_executor(), *Given);
    asio::signal_set Signals(Context, SIGTERM, SIGINT);
    Signals.async_wait(
        [&Context](const boost::system::error_code &, int) { Context.stop(); });
    Running.start();
    Context.run();
    Exit = ExitSuccess;
  });
}

void addStandInCommands(CLI::App &To, int &Exit) {
  auto *Command = To.add_subcommand(
      "standin", "Stand-ins for the systems around, for tests.");
  Command->require_subcommand(1);
  addEngine(*Command, Exit);
  addService(*Command, Exit);
  addLink(*Command, Exit);
}

} // namespace carobhinge
