//===- LibServe/RouterTable.h - The routers of all services ---------------===//
///
/// \file
/// One router for each service in the intent. A service that leaves the intent
/// keeps its router, since requests may still be under way.
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
  RouterTable(boost::asio::any_io_executor Executor, const Settings &Own);

  /// Makes routers for new services and sets the workspaces' weights.
  void intentChanged(const Intent &Wanted);
  /// Null if the service has never been in an intent.
  [[nodiscard]] ServiceRouter *find(const ServiceName &Service) const;
  [[nodiscard]] std::vector<std::pair<ServiceName, ServiceRouter *>>
  all() const;
  /// Nothing if the workspace may make a request now; else when it may.
  std::optional<Duration> overRate(const WorkspaceName &Workspace);
  void drain();

private:
  boost::asio::any_io_executor Executor;
  const Settings &Own;
  mutable std::mutex Lock;
  bool Draining = false;
  RateLimiter Rates;
  /// Never shrinks, so that the pointers handed out stay valid.
  std::map<ServiceName, std::unique_ptr<ServiceRouter>> Routers;
};

} // namespace carobhinge

#endif // LIBSERVE_ROUTERTABLE_H
