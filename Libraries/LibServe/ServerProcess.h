//===- LibServe/ServerProcess.h - One serving process ---------------------===//
///
/// \file
/// Owns every part of a `carobhinge serve` process: starts them in order,
/// drives their timers, and winds them down without cutting off a request.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_SERVERPROCESS_H
#define LIBSERVE_SERVERPROCESS_H

#include <LibServe/CallerService.h>
#include <LibServe/OperatorService.h>
#include <LibServe/ServeParts.h>
#include <boost/asio/io_context.hpp>

namespace carobhinge {

class ServerProcess {
public:
  /// Opens the data folder and binds all addresses. \throws what they throw.
  ServerProcess(boost::asio::io_context &Context, Settings Given);
  ~ServerProcess();

  void start();

  /// Takes no new work, lets what runs finish within the drain time, hands
  /// leadership over and closes. \returns true if nothing was cut off.
  boost::asio::awaitable<bool> stop();

private:
  boost::asio::awaitable<void> tickLoop();
  boost::asio::awaitable<void> registerLife();
  boost::asio::awaitable<bool> retireEarlierLives(std::uint32_t Shard);
  boost::asio::awaitable<void> handleEndpoint(HttpExchange &Exchange);
  std::map<std::string, WireHandler, std::less<>> wireHandlers();

  void prune();
  void intentTick();
  void routingTick();
  void sendSummaries();
  [[nodiscard]] bool idle() const;

  boost::asio::io_context &Context;
  const Settings Own;
  std::atomic<Incarnation> Life;
  std::atomic<bool> LifeRegistered = false;
  std::atomic<std::uint64_t> LastAttempt = 0;
  std::atomic<std::size_t> Background = 0;
  std::atomic<bool> Stopping = false;
  std::atomic<bool> Stopped = false;

  Metrics Figures;
  HttpClient Endpoints;
  Peers Links;
  IntentKeeper Intents;
  /// Null without the control role.
  std::unique_ptr<ControlHost> Local;
  ControlClient Control;
  FleetKeeper Fleet;
  RouterTable Routers;
  Neighbours Others;
  ServeParts Parts;
  CallerService Callers;
  OperatorService Operators;

  HttpServer CallerServer;
  HttpServer EndpointServer;
  HttpServer OperatorServer;
  WireServer PeerServer;

  /// The version that routers and fleet were last told of, and whether the
  /// domain was closed then.
  std::uint64_t ToldVersion = 0;
  bool ToldClosed = false;
  std::map<ServiceName, std::vector<Target>> ToldTargets;
  TimePoint NextTargets;
  TimePoint NextSummary;
  TimePoint NextControlTick;
  TimePoint NextPrune;
};

} // namespace carobhinge

#endif // LIBSERVE_SERVERPROCESS_H
