//===- LibRouting/AdmissionQueue.h - The order in which requests wait -----===//
///
/// \file
/// The queue in front of the targets. Which request comes next is a policy:
/// fair sharing between workspaces, or first come first served.
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

/// A position in a queue, with the work that stands before it.
struct QueuePosition {
  /// Sum of the costs that go first.
  std::uint64_t CostAhead = 0;
  /// The part of all slots that this queue line can count on.
  double Share = 1;
};

class AdmissionQueue {
public:
  virtual ~AdmissionQueue() = default;

  /// Adds \p Request. Requests of one workspace and priority keep the order of
  /// \p Sequence, so that a request put back for a retry keeps its place.
  virtual void push(const RoutedRequest &Request, std::uint64_t Sequence) = 0;
  virtual void remove(const RoutedRequest &Request, std::uint64_t Sequence) = 0;

  /// The request that goes next.
  [[nodiscard]] virtual std::optional<RequestId> front() const = 0;
  /// Takes the front out and charges its workspace.
  virtual void popFront() = 0;

  /// Where \p Request would stand if it came now.
  [[nodiscard]] virtual QueuePosition
  position(const RoutedRequest &Request) const = 0;

  /// A waiting request of the same workspace and class that is less urgent
  /// than \p Request, the last of its kind.
  [[nodiscard]] virtual std::optional<RequestId>
  displaceable(const RoutedRequest &Request) const = 0;

  /// How many requests of the workspace and class of \p Request wait.
  [[nodiscard]] virtual std::size_t
  waitingBeside(const RoutedRequest &Request) const = 0;

  virtual void weightsChanged(std::map<WorkspaceName, double> Weights) = 0;

  [[nodiscard]] virtual std::size_t size() const = 0;
};

/// "fair" or "fifo". Throws std::invalid_argument for another name.
std::unique_ptr<AdmissionQueue>
makeAdmissionQueue(const RouterOptions &Options);

} // namespace carobhinge

#endif // LIBROUTING_ADMISSIONQUEUE_H
