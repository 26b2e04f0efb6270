//===- LibEntry/EntryProcess.h - One entry process ------------------------===//
///
/// \file
/// Owns the parts of an entry process and winds them down without cutting off
/// a request. All parts share one executor thread; an entry host has a
/// fraction of one core.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_ENTRYPROCESS_H
#define LIBENTRY_ENTRYPROCESS_H

#include <LibEntry/CallerSession.h>
#include <LibEntry/ControlFollower.h>
#include <LibEntry/EndpointDialect.h>
#include <LibEntry/EntryState.h>
#include <LibHTTP/HttpServer.h>
#include <boost/asio/io_context.hpp>

namespace carobhinge {

class EntryProcess {
public:
  /// Binds all addresses. \throws AddressError
  EntryProcess(boost::asio::io_context &Context, HostSettings Given,
               const EndpointDialect &Endpoints, const ControlDialect &Control);

  void start();
  /// Says that it isn't ready, goes on serving until callers were sent
  /// elsewhere, and ends when nothing is in progress.
  boost::asio::awaitable<void> stop();

private:
  boost::asio::awaitable<void> serve(HttpExchange &Exchange);
  boost::asio::awaitable<void> tellReadiness(HttpExchange &Exchange);
  boost::asio::awaitable<void> tellMetrics(HttpExchange &Exchange);
  boost::asio::awaitable<void> watchLoop();
  [[nodiscard]] bool isReady(TimePoint Now) const;
  void applyLimits();

  boost::asio::io_context &Context;
  const HostSettings Own;
  Metrics Figures;
  EntryState State;
  HttpClient Client;
  SessionContext Shared;
  HttpServer Callers;
  HttpServer Readiness;
  HttpServer MetricsServer;
  ControlFollower Follower;
  /// What the platform was told last.
  bool SaidReady = false;
};

} // namespace carobhinge

#endif // LIBENTRY_ENTRYPROCESS_H
