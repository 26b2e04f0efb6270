//===- LibServe/ServerProcess.h - One serving process ---------------------===//
///
/// \file
/// Owns every component of a `carobhinge serve` process: starts them in order,
/// drives their timers, and drains requests before it shuts down.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_SERVERPROCESS_H
#define LIBSERVE_SERVERPROCESS_H

#include <LibServe/CallerService.h>
#include <LibServe/OperatorService.h>
#include <LibServe/ServerComponents.h>
#include <LibTelemetry/RefusedMessageLog.h>
#include <boost/asio/io_context.hpp>

namespace carobhinge {

class ServerProcess {
public:
  /// Opens the data folder and binds all addresses. \throws what they throw.
  ServerProcess(boost::asio::io_context &Context, Settings InitialSettings);
  ~ServerProcess();

  void start();

  /// Refuses new work, lets running requests finish within the drain time,
  /// transfers leadership and closes. \returns true if no request was cut off.
  boost::asio::awaitable<bool> stop();

private:
  boost::asio::awaitable<void> tickLoop();
  boost::asio::awaitable<void> registerIncarnation();
  boost::asio::awaitable<bool> retireEarlierIncarnations(std::uint32_t Shard);
  boost::asio::awaitable<void> handleEndpoint(HttpExchange &Exchange);
  std::map<std::string, WireHandler, std::less<>> wireHandlers();

  void prune();
  void recoverLogs();
  void intentTick();
  void routingTick();
  void sendSummaries();
  [[nodiscard]] bool idle() const;

  boost::asio::io_context &Context;
  const Settings LocalSettings;
  std::atomic<Incarnation> LocalIncarnationNumber;
  std::atomic<bool> IncarnationRegistered = false;
  std::atomic<std::uint64_t> LastAttempt = 0;
  std::atomic<std::size_t> BackgroundTasks = 0;
  std::atomic<bool> Stopping = false;
  std::atomic<bool> Stopped = false;
  std::atomic<bool> RecoveringLogs = false;

  Metrics ProcessMetrics;
  SharedByteBudget Budget;
  LimitLog Limits;
  RefusedMessageLog RefusedMessages;
  HttpClient Endpoints;
  Peers Links;
  IntentManager Intents;
  /// Null without the control role.
  std::unique_ptr<ControlHost> Local;
  ControlClient Control;
  FleetManager Fleet;
  RouterTable Routers;
  SpilloverDomains RemoteDomains;
  PromptExchange Prompts;
  ServerComponents Components;
  CallerService Callers;
  OperatorService Operators;

  HttpServer CallerServer;
  HttpServer EndpointServer;
  HttpServer OperatorServer;
  WireServer PeerServer;

  /// The intent version last passed to the routers and the fleet, and whether
  /// the domain was closed then.
  std::uint64_t AppliedVersion = 0;
  bool AppliedDomainClosed = false;
  std::map<ServiceName, std::vector<Target>> ReportedTargets;
  TimePoint NextTargets;
  TimePoint NextSummary;
  TimePoint NextControlTick;
  TimePoint NextPrune;
};

} // namespace carobhinge

#endif // LIBSERVE_SERVERPROCESS_H
