//===- LibRouting/AdmissionQueue.h - Queue of waiting requests ------------===//
///
/// \file
/// The queue in front of the targets. Which request comes next is a policy:
/// fair sharing between workspaces, or first come, first served.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_ADMISSIONQUEUE_H
#define LIBROUTING_ADMISSIONQUEUE_H

#include <LibRouting/RoutedRequest.h>
#include <LibRouting/RouterOptions.h>
#include <memory>
#include <optional>
#include <string_view>

namespace carobhinge {

/// Position in a queue, expressed by the work ahead of it.
struct QueuePosition {
  /// Total cost of the requests ahead.
  std::uint64_t CostAhead = 0;
  /// Fraction of all slots available to the request's queue.
  double Share = 1;
};

class AdmissionQueue {
public:
  virtual ~AdmissionQueue() = default;

  /// Adds \p Request. Requests of one workspace and priority are ordered by
  /// \p Sequence, so that a request queued again for a retry keeps its
  /// position.
  virtual void push(const RoutedRequest &Request, std::uint64_t Sequence) = 0;
  virtual void remove(const RoutedRequest &Request, std::uint64_t Sequence) = 0;

  /// The next request to dispatch.
  [[nodiscard]] virtual std::optional<RequestId> front() const = 0;
  /// Removes the front and charges its cost to its workspace.
  virtual void popFront() = 0;

  /// Position of \p Request if it were added now.
  [[nodiscard]] virtual QueuePosition
  position(const RoutedRequest &Request) const = 0;

  /// The last queued request of the same workspace and class that is less
  /// urgent than \p Request.
  [[nodiscard]] virtual std::optional<RequestId>
  findDisplaceable(const RoutedRequest &Request) const = 0;

  /// Number of queued requests of \p Request's workspace and class.
  [[nodiscard]] virtual std::size_t
  countQueued(const RoutedRequest &Request) const = 0;

  virtual void setWeights(std::map<WorkspaceName, double> Weights) = 0;

  [[nodiscard]] virtual std::size_t size() const = 0;
};

/// "fair" or "fifo". Throws std::invalid_argument for another name.
std::unique_ptr<AdmissionQueue>
makeAdmissionQueue(const RouterOptions &Options);

} // namespace carobhinge

#endif // LIBROUTING_ADMISSIONQUEUE_H
