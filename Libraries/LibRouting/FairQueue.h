//===- LibRouting/FairQueue.h - Weighted fair sharing of targets ----------===//
///
/// \file
/// Start-time fair queueing between workspaces, strict priority inside one. A
/// share that a workspace does not use goes to those that wait, and is not
/// saved up for later.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_FAIRQUEUE_H
#define LIBROUTING_FAIRQUEUE_H

#include <LibRouting/AdmissionQueue.h>
#include <set>
#include <unordered_map>

namespace carobhinge {

/// Between two workspaces that both wait all the while, the difference of
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
  displaceable(const RoutedRequest &Request) const override;
  [[nodiscard]] std::size_t
  waitingBeside(const RoutedRequest &Request) const override;
  void weightsChanged(std::map<WorkspaceName, double> Weights) override;
  [[nodiscard]] std::size_t size() const override { return this->Size; }

private:
  /// Urgent before less urgent, local before forwarded, then by arrival.
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

  struct Line {
    double Weight = 1;
    /// Cost served divided by weight, on the queue's virtual clock. Never
    /// behind VirtualNow while the line is empty or after it was refilled.
    double VirtualStart = 0;
    std::set<Item> Items;
    std::map<int, std::uint64_t> CostByPriority;
    std::map<std::string, std::size_t, std::less<>> CountByClass;
  };

  using LineMap = std::map<WorkspaceName, Line, std::less<>>;

  /// Order among the lines that wait: least virtual start first, a line whose
  /// head is local before one whose head is forwarded, then by name.
  struct LineOrder {
    bool operator()(LineMap::const_pointer Left,
                    LineMap::const_pointer Right) const;
  };

  [[nodiscard]] double weightOf(std::string_view Workspace) const;
  void eraseItem(LineMap::pointer Entry, std::set<Item>::iterator Where);

  std::map<WorkspaceName, double> Weights;
  LineMap Lines;
  /// The lines with items. An entry is taken out before its line changes.
  std::set<LineMap::pointer, LineOrder> Waiting;
  /// Sum of the weights in Waiting.
  double WaitingWeight = 0;
  /// The virtual start of the request last taken. Never goes back.
  double VirtualNow = 0;
  std::size_t Size = 0;
};

} // namespace carobhinge

#endif // LIBROUTING_FAIRQUEUE_H
