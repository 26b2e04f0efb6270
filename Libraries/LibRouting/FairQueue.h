//===- LibRouting/FairQueue.h - Weighted fair sharing of targets ----------===//
///
/// \file
/// Start-time fair queueing between workspaces, strict priority within each. A
/// share that a workspace does not use goes to the backlogged workspaces and is
/// not accumulated.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_FAIRQUEUE_H
#define LIBROUTING_FAIRQUEUE_H

#include <LibRouting/AdmissionQueue.h>
#include <set>
#include <unordered_map>

namespace carobhinge {

/// While two workspaces are both backlogged, the difference of their
/// (cost served / weight) never exceeds the sum over both of
/// (largest cost / weight).
class FairQueue final : public AdmissionQueue {
public:
  explicit FairQueue(std::map<WorkspaceName, double> Weights);

  void push(const RoutedRequest &Request, std::uint64_t Sequence) override;
  void remove(const RoutedRequest &Request, std::uint64_t Sequence) override;
  [[nodiscard]] std::optional<RequestId> front() const override;
  void popFront() override;
  [[nodiscard]] QueuePosition
  position(const RoutedRequest &Request) const override;
  [[nodiscard]] std::optional<RequestId>
  findDisplaceable(const RoutedRequest &Request) const override;
  [[nodiscard]] std::size_t
  countQueued(const RoutedRequest &Request) const override;
  void setWeights(std::map<WorkspaceName, double> Weights) override;
  [[nodiscard]] std::size_t size() const override { return this->Size; }

private:
  /// Ordered by priority, then local before forwarded, then by arrival.
  struct Item {
    int Priority = 0;
    bool Forwarded = false;
    std::uint64_t Sequence = 0;
    RequestId Id = 0;
    std::uint32_t Cost = 1;
    std::string Class = {};

    bool operator<(const Item &Other) const {
      return std::tie(this->Priority, this->Forwarded, this->Sequence) <
             std::tie(Other.Priority, Other.Forwarded, Other.Sequence);
    }
  };

  struct WorkspaceQueue {
    double Weight = 1;
    /// Cost served divided by weight, on the queue's virtual clock. Never
    /// behind VirtualTime while the queue is empty or after it was refilled.
    double VirtualStart = 0;
    std::set<Item> Items;
    std::map<int, std::uint64_t> CostByPriority;
    std::map<std::string, std::size_t, std::less<>> CountByClass;
  };

  using QueueMap = std::map<WorkspaceName, WorkspaceQueue, std::less<>>;

  /// Order of the backlogged queues: smallest virtual start first, then a queue
  /// whose head is local before one whose head is forwarded, then by name.
  struct QueueOrder {
    bool operator()(QueueMap::const_pointer Left,
                    QueueMap::const_pointer Right) const;
  };

  [[nodiscard]] double weightOf(std::string_view Workspace) const;
  void eraseItem(QueueMap::pointer Entry, std::set<Item>::iterator Position);

  std::map<WorkspaceName, double> Weights;
  QueueMap Queues;
  /// The queues with items. An entry must be removed before its queue changes,
  /// because the order depends on the queue.
  std::set<QueueMap::pointer, QueueOrder> BackloggedQueues;
  /// Sum of the weights in BackloggedQueues.
  double BackloggedWeight = 0;
  /// Virtual start of the request dequeued last. Never decreases.
  double VirtualTime = 0;
  std::size_t Size = 0;
};

} // namespace carobhinge

#endif // LIBROUTING_FAIRQUEUE_H
