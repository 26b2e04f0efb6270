//===- LibRouting/FifoQueue.h - First-come, first-served queue ------------===//
///
/// \file
/// The baseline of admission: one queue for all workspaces and priorities.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_FIFOQUEUE_H
#define LIBROUTING_FIFOQUEUE_H

#include <LibRouting/AdmissionQueue.h>

namespace carobhinge {

class FifoQueue final : public AdmissionQueue {
public:
  void push(const RoutedRequest &Request, std::uint64_t Sequence) override;
  void remove(const RoutedRequest &Request, std::uint64_t Sequence) override;
  [[nodiscard]] std::optional<RequestId> front() const override;
  void popFront() override;
  [[nodiscard]] QueuePosition
  position(const RoutedRequest &Request) const override;
  /// Priorities are ignored, so no request is displaced.
  [[nodiscard]] std::optional<RequestId>
  findDisplaceable(const RoutedRequest & /*Request*/) const override {
    return std::nullopt;
  }
  /// One limit applies to all workspaces and classes together.
  [[nodiscard]] std::size_t
  countQueued(const RoutedRequest & /*Request*/) const override {
    return this->Items.size();
  }
  void setWeights(std::map<WorkspaceName, double> /*Weights*/) override {}
  [[nodiscard]] std::size_t size() const override { return this->Items.size(); }

private:
  struct Item {
    RequestId Id = 0;
    std::uint32_t Cost = 1;
  };

  std::map<std::uint64_t, Item> Items;
  std::uint64_t TotalCost = 0;
};

} // namespace carobhinge

#endif // LIBROUTING_FIFOQUEUE_H
