//===- LibServe/ServiceRouter.h - One Router under its lock ---------------===//
///
/// \file
/// Makes a Router thread-safe and delivers its effects to the requests that
/// they belong to.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_SERVICEROUTER_H
#define LIBSERVE_SERVICEROUTER_H

#include <LibRouting/Router.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace carobhinge {

/// Where the effects for one request arrive, in order.
using RoutingInbox = boost::asio::experimental::concurrent_channel<void(
    boost::system::error_code, RoutingEffect)>;

/// Thread-safe.
class ServiceRouter {
public:
  ServiceRouter(boost::asio::any_io_executor Executor, RouterOptions Options);

  /// Submits \p Request under a new id, which is returned, and delivers its
  /// effects to \p Inbox.
  RequestId submit(RoutedRequest Request, std::shared_ptr<RoutingInbox> Inbox);
  std::shared_ptr<RoutingInbox> makeInbox();

  void reportFirstByte(AttemptId Attempt);
  [[nodiscard]] bool mayWrite(AttemptId Attempt) const;
  void reportOutcome(AttemptId Attempt, AttemptOutcome Outcome);
  void callerDisconnected(RequestId Request);
  /// The request needs no further effects.
  void removeInbox(RequestId Request);

  void setTargets(std::span<const Target> Targets);
  void setSpilloverDomains(std::span<const DomainSummary> Summaries);
  void setPlace(const EntryHostPlace &Place);
  void setWorkspaces(const std::map<WorkspaceName, double> &Weights,
                     std::map<WorkspaceName, std::uint32_t> QueueLimits);
  void reportLoad(const Target &Changed);
  void drain();
  /// Ticks the Router if its timer is due.
  void tick();

  [[nodiscard]] DomainSummary summary() const;
  [[nodiscard]] RouterStatus status() const;

private:
  /// Delivers pending effects. Called with the lock held.
  void deliver();

  boost::asio::any_io_executor Executor;
  mutable std::mutex Lock;
  Router Decisions;
  RequestId LastRequest = 0;
  std::unordered_map<RequestId, std::shared_ptr<RoutingInbox>> Inboxes;
  std::unordered_map<AttemptId, RequestId> RequestByAttempt;
};

} // namespace carobhinge

#endif // LIBSERVE_SERVICEROUTER_H
