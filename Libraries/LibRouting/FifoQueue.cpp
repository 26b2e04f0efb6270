//===- LibRouting/FifoQueue.cpp - First-come, first-served queue ----------===//
///
/// \file
/// The baseline queue, and the factory of queues by name.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/FairQueue.h>
#include <LibRouting/FifoQueue.h>

#include <cassert>
#include <stdexcept>

namespace carobhinge {

void FifoQueue::push(const RoutedRequest &Request, std::uint64_t Sequence) {
  this->Items.emplace(Sequence, Item{.Id = Request.Id, .Cost = Request.Cost});
  this->TotalCost += Request.Cost;
}

void FifoQueue::remove(const RoutedRequest &Request, std::uint64_t Sequence) {
  this->Items.erase(Sequence);
  this->TotalCost -= Request.Cost;
}

std::optional<RequestId> FifoQueue::front() const {
  if (this->Items.empty())
    return std::nullopt;
  return this->Items.begin()->second.Id;
}

void FifoQueue::popFront() {
  assert(!this->Items.empty());
  this->TotalCost -= this->Items.begin()->second.Cost;
  this->Items.erase(this->Items.begin());
}

QueuePosition FifoQueue::position(const RoutedRequest & /*Request*/) const {
  return QueuePosition{.CostAhead = this->TotalCost};
}

std::unique_ptr<AdmissionQueue>
makeAdmissionQueue(const RouterOptions &Options) {
  const std::string &Name = Options.Policies.Admission;
  if (Name == "fair")
    return std::make_unique<FairQueue>(Options.Weights);
  if (Name == "fifo")
    return std::make_unique<FifoQueue>();
  throw std::invalid_argument("no admission policy named " + Name);
}

} // namespace carobhinge
