//===- LibEntry/EntryProcess.h - One entry process ------------------------===//
///
/// \file
/// Owns the components of an entry process and shuts them down without cutting
/// off a request. All components share one executor thread, because an entry
/// host has a fraction of one core.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_ENTRYPROCESS_H
#define LIBENTRY_ENTRYPROCESS_H

#include <LibEntry/CallerSession.h>
#include <LibEntry/ControlSubscriber.h>
#include <LibEntry/EndpointProtocol.h>
#include <LibEntry/EntryState.h>
#include <LibHTTP/HttpServer.h>
#include <boost/asio/io_context.hpp>

namespace carobhinge {

class EntryProcess {
public:
  /// Binds all addresses. \throws AddressError
  EntryProcess(boost::asio::io_context &Context, HostSettings Settings,
               const EndpointProtocol &Endpoints,
               const ControlProtocol &Control);

  void start();
  /// Reports that it isn't ready, continues to serve until the platform sends
  /// new connections elsewhere, and returns when no request is in progress or
  /// the grace time is over.
  boost::asio::awaitable<void> stop();

private:
  boost::asio::awaitable<void> serve(HttpExchange &Exchange, bool IsForwarded);
  boost::asio::awaitable<void> answerReadiness(HttpExchange &Exchange);
  boost::asio::awaitable<void> answerMetrics(HttpExchange &Exchange);
  boost::asio::awaitable<void> checkStallsLoop();
  /// Judges the engines that connections were lost to, and has new evidence
  /// sent at once.
  void updatePromptGuard(TimePoint Now);
  [[nodiscard]] bool isReady(TimePoint Now) const;
  void applyLimits();
  void recordRefusal(const HttpRefusal &Refusal);

  boost::asio::io_context &Context;
  const HostSettings Settings;
  Metrics ProcessMetrics;
  SharedByteBudget Budget;
  LimitLog Limits;
  EntryState State;
  HttpClient Client;
  SessionContext SharedContext;
  HttpServer CallerServer;
  /// Takes requests that other entry hosts hand on.
  HttpServer PeerServer;
  HttpServer ReadinessServer;
  HttpServer MetricsServer;
  ControlSubscriber Subscriber;
  /// The last readiness that was answered, to log changes only.
  bool ReportedReady = false;
};

} // namespace carobhinge

#endif // LIBENTRY_ENTRYPROCESS_H
