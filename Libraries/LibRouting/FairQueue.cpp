//===- LibRouting/FairQueue.cpp - Weighted fair sharing of targets --------===//
///
/// \file
/// Each workspace has a queue with a virtual clock that advances by cost
/// divided by weight. The queue whose clock is furthest behind is served next.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/FairQueue.h>

#include <algorithm>
#include <cassert>

namespace carobhinge {

/// A weight of zero would block a queue forever.
static constexpr double MinWeight = 0.001;

bool FairQueue::QueueOrder::operator()(QueueMap::const_pointer Left,
                                       QueueMap::const_pointer Right) const {
  if (Left->second.VirtualStart != Right->second.VirtualStart)
    return Left->second.VirtualStart < Right->second.VirtualStart;
  bool LeftForwarded = Left->second.Items.begin()->Forwarded;
  bool RightForwarded = Right->second.Items.begin()->Forwarded;
  if (LeftForwarded != RightForwarded)
    return RightForwarded;
  return Left->first < Right->first;
}

FairQueue::FairQueue(std::map<WorkspaceName, double> Weights)
    : Weights(std::move(Weights)) {}

double FairQueue::weightOf(std::string_view Workspace) const {
  auto Found = this->Weights.find(std::string(Workspace));
  double Weight = Found == this->Weights.end() ? 1 : Found->second;
  return std::max(Weight, MinWeight);
}

void FairQueue::push(const RoutedRequest &Request, std::uint64_t Sequence) {
  QueueMap::pointer Entry = &*this->Queues.try_emplace(Request.Workspace).first;
  WorkspaceQueue &Queue = Entry->second;
  if (Queue.Items.empty()) {
    Queue.Weight = this->weightOf(Request.Workspace);
    // An idle queue accumulates no credit.
    Queue.VirtualStart = std::max(Queue.VirtualStart, this->VirtualTime);
    this->BackloggedWeight += Queue.Weight;
  } else {
    this->BackloggedQueues.erase(Entry);
  }
  bool Added = Queue.Items
                   .insert(Item{.Priority = Request.Priority,
                                .Forwarded = Request.Forwarded,
                                .Sequence = Sequence,
                                .Id = Request.Id,
                                .Cost = Request.Cost,
                                .Class = Request.Class})
                   .second;
  assert(Added && "sequence numbers are unique");
  static_cast<void>(Added);
  Queue.CostByPriority[Request.Priority] += Request.Cost;
  ++Queue.CountByClass[Request.Class];
  ++this->Size;
  this->BackloggedQueues.insert(Entry);
}

/// Removes one item. The caller has already removed the entry from
/// BackloggedQueues.
void FairQueue::eraseItem(QueueMap::pointer Entry,
                          std::set<Item>::iterator Position) {
  WorkspaceQueue &Queue = Entry->second;
  auto Cost = Queue.CostByPriority.find(Position->Priority);
  Cost->second -= Position->Cost;
  if (Cost->second == 0)
    Queue.CostByPriority.erase(Cost);
  auto Count = Queue.CountByClass.find(Position->Class);
  if (--Count->second == 0)
    Queue.CountByClass.erase(Count);
  Queue.Items.erase(Position);
  --this->Size;
  if (!Queue.Items.empty()) {
    this->BackloggedQueues.insert(Entry);
    return;
  }
  this->BackloggedWeight -= Queue.Weight;
  // Keeps rounding errors from accumulating while the process runs.
  if (this->BackloggedQueues.empty())
    this->BackloggedWeight = 0;
  // A queue that is not ahead of the virtual time has no state to keep.
  if (Queue.VirtualStart <= this->VirtualTime)
    this->Queues.erase(this->Queues.find(Entry->first));
}

void FairQueue::remove(const RoutedRequest &Request, std::uint64_t Sequence) {
  auto Found = this->Queues.find(Request.Workspace);
  assert(Found != this->Queues.end());
  auto Position = Found->second.Items.find(Item{.Priority = Request.Priority,
                                                .Forwarded = Request.Forwarded,
                                                .Sequence = Sequence});
  assert(Position != Found->second.Items.end());
  this->BackloggedQueues.erase(&*Found);
  this->eraseItem(&*Found, Position);
}

std::optional<RequestId> FairQueue::front() const {
  if (this->BackloggedQueues.empty())
    return std::nullopt;
  return (*this->BackloggedQueues.begin())->second.Items.begin()->Id;
}

void FairQueue::popFront() {
  assert(!this->BackloggedQueues.empty());
  QueueMap::pointer Entry = *this->BackloggedQueues.begin();
  this->BackloggedQueues.erase(this->BackloggedQueues.begin());
  WorkspaceQueue &Queue = Entry->second;
  this->VirtualTime = std::max(this->VirtualTime, Queue.VirtualStart);
  Queue.VirtualStart += Queue.Items.begin()->Cost / Queue.Weight;
  this->eraseItem(Entry, Queue.Items.begin());
}

QueuePosition FairQueue::position(const RoutedRequest &Request) const {
  QueuePosition Result;
  double Weight = this->weightOf(Request.Workspace);
  double Total = this->BackloggedWeight;
  auto Found = this->Queues.find(Request.Workspace);
  if (Found == this->Queues.end() || Found->second.Items.empty())
    Total += Weight;
  if (Found != this->Queues.end())
    for (auto [Priority, Cost] : Found->second.CostByPriority)
      if (Priority <= Request.Priority)
        Result.CostAhead += Cost;
  Result.Share = Weight / std::max(Total, Weight);
  return Result;
}

std::optional<RequestId>
FairQueue::findDisplaceable(const RoutedRequest &Request) const {
  auto Found = this->Queues.find(Request.Workspace);
  if (Found == this->Queues.end())
    return std::nullopt;
  const std::set<Item> &Items = Found->second.Items;
  for (auto Each = Items.rbegin(); Each != Items.rend(); ++Each) {
    if (Each->Priority <= Request.Priority)
      return std::nullopt;
    if (Each->Class == Request.Class)
      return Each->Id;
  }
  return std::nullopt;
}

std::size_t FairQueue::countQueued(const RoutedRequest &Request) const {
  auto Found = this->Queues.find(Request.Workspace);
  if (Found == this->Queues.end())
    return 0;
  auto Count = Found->second.CountByClass.find(Request.Class);
  return Count == Found->second.CountByClass.end() ? 0 : Count->second;
}

void FairQueue::setWeights(std::map<WorkspaceName, double> NewWeights) {
  this->Weights = std::move(NewWeights);
  this->BackloggedWeight = 0;
  for (QueueMap::pointer Entry : this->BackloggedQueues) {
    Entry->second.Weight = this->weightOf(Entry->first);
    this->BackloggedWeight += Entry->second.Weight;
  }
}

} // namespace carobhinge
