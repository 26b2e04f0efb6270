//===- LibServe/RouterTable.h - The routers of all services ---------------===//
///
/// \file
/// One router for each service in the intent. A service that leaves the intent
/// keeps its router, since requests may still be in flight.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_ROUTERTABLE_H
#define LIBSERVE_ROUTERTABLE_H

#include <LibIntent/Intent.h>
#include <LibRouting/RateLimiter.h>
#include <LibServe/ServiceRouter.h>
#include <LibSettings/Settings.h>

namespace carobhinge {

/// Thread-safe.
class RouterTable {
public:
  RouterTable(boost::asio::any_io_executor Executor,
              const Settings &LocalSettings);

  /// Creates routers for new services and sets the workspaces' weights, queue
  /// limits and rates.
  void applyIntent(const Intent &IntentSnapshot);
  /// Null if the service has never been in an intent.
  [[nodiscard]] ServiceRouter *find(const ServiceName &Service) const;
  [[nodiscard]] std::vector<std::pair<ServiceName, ServiceRouter *>>
  all() const;
  /// Nothing if the workspace may send a request now; otherwise the delay until
  /// it may.
  std::optional<Duration> rateLimitDelay(const WorkspaceName &Workspace);
  void drain();

private:
  boost::asio::any_io_executor Executor;
  const Settings &LocalSettings;
  mutable std::mutex Lock;
  bool Draining = false;
  RateLimiter Rates;
  /// Entries are never removed, so that returned pointers stay valid.
  std::map<ServiceName, std::unique_ptr<ServiceRouter>> Routers;
};

} // namespace carobhinge

#endif // LIBSERVE_ROUTERTABLE_H
