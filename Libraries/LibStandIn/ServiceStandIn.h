//===- LibStandIn/ServiceStandIn.h - A plain service for tests ------------===//
///
/// \file
/// A service with non-idempotent calls (POST) and idempotent calls (GET). It
/// counts the executions of each key. It checks neither fencing tokens nor
/// keys, because the platform alone must guarantee that a call executes once.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTANDIN_SERVICESTANDIN_H
#define LIBSTANDIN_SERVICESTANDIN_H

#include <LibHTTP/HttpServer.h>
#include <LibStandIn/Announcer.h>
#include <map>
#include <memory>

namespace carobhinge {

struct ServiceStandInOptions {
  std::string Listen;
  std::vector<std::string> EntryHosts;
  EndpointName Endpoint;
  HostName Host;
  FailureDomainName FailureDomain;
  FabricDomainName FabricDomain;
  ServiceName Service;
  std::uint32_t Concurrency = 16;
  Duration WorkTime = std::chrono::milliseconds(5);
  Duration AnnounceInterval = std::chrono::milliseconds(500);
};

class ServiceStandIn {
public:
  /// All work happens on \p Executor, which must be served by one thread.
  ServiceStandIn(const boost::asio::any_io_executor &Executor,
                 ServiceStandInOptions Options);
  ~ServiceStandIn();
  /// Starts the server and the announcements.
  void start();
  /// Announces that the endpoint is leaving.
  boost::asio::awaitable<void> leave();

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace carobhinge

#endif // LIBSTANDIN_SERVICESTANDIN_H
