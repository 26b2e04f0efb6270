//===- LibRouting/FairQueue.cpp - Weighted fair sharing of targets --------===//
///
/// \file
/// Each workspace has a line with a virtual clock that advances by cost over
/// weight. The line whose clock is furthest behind goes next.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/FairQueue.h>

#include <algorithm>
#include <cassert>

namespace carobhinge {

/// A weight of zero would stop a line for good.
static constexpr double LeastWeight = 0.001;

bool FairQueue::LineOrder::operator()(LineMap::const_pointer Left,
                                      LineMap::const_pointer Right) const {
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
  return std::max(Weight, LeastWeight);
}

void FairQueue::push(const RoutedRequest &Request, std::uint64_t Sequence) {
  LineMap::pointer Entry = &*this->Lines.try_emplace(Request.Workspace).first;
  Line &Line = Entry->second;
  if (Line.Items.empty()) {
    Line.Weight = this->weightOf(Request.Workspace);
    // Time in which nothing waited earns no credit.
    Line.VirtualStart = std::max(Line.VirtualStart, this->VirtualNow);
    this->WaitingWeight += Line.Weight;
  } else {
    this->Waiting.erase(Entry);
  }
  bool Added = Line.Items
                   .insert(Item{.Priority = Request.Priority,
                                .Forwarded = Request.Forwarded,
                                .Sequence = Sequence,
                                .Id = Request.Id,
                                .Cost = Request.Cost,
                                .Class = Request.Class})
                   .second;
  assert(Added && "sequence numbers are unique");
  static_cast<void>(Added);
  Line.CostByPriority[Request.Priority] += Request.Cost;
  ++Line.CountByClass[Request.Class];
  ++this->Size;
  this->Waiting.insert(Entry);
}

/// Takes one item out. The caller has taken the entry out of Waiting.
void FairQueue::eraseItem(LineMap::pointer Entry,
                          std::set<Item>::iterator Where) {
  Line &Line = Entry->second;
  auto Cost = Line.CostByPriority.find(Where->Priority);
  Cost->second -= Where->Cost;
  if (Cost->second == 0)
    Line.CostByPriority.erase(Cost);
  auto Count = Line.CountByClass.find(Where->Class);
  if (--Count->second == 0)
    Line.CountByClass.erase(Count);
  Line.Items.erase(Where);
  --this->Size;
  if (!Line.Items.empty()) {
    this->Waiting.insert(Entry);
    return;
  }
  this->WaitingWeight -= Line.Weight;
  // Rounding errors do not add up over the life of the process.
  if (this->Waiting.empty())
    this->WaitingWeight = 0;
  // A line level with the clock has nothing that is worth remembering.
  if (Line.VirtualStart <= this->VirtualNow)
    this->Lines.erase(this->Lines.find(Entry->first));
}

void FairQueue::remove(const RoutedRequest &Request, std::uint64_t Sequence) {
  auto Found = this->Lines.find(Request.Workspace);
  assert(Found != this->Lines.end());
  auto Where = Found->second.Items.find(Item{.Priority = Request.Priority,
                                             .Forwarded = Request.Forwarded,
                                             .Sequence = Sequence});
  assert(Where != Found->second.Items.end());
  this->Waiting.erase(&*Found);
  this->eraseItem(&*Found, Where);
}

std::optional<RequestId> FairQueue::front() const {
  if (this->Waiting.empty())
    return std::nullopt;
  return (*this->Waiting.begin())->second.Items.begin()->Id;
}

void FairQueue::popFront() {
  assert(!this->Waiting.empty());
  LineMap::pointer Entry = *this->Waiting.begin();
  this->Waiting.erase(this->Waiting.begin());
  Line &Line = Entry->second;
  this->VirtualNow = std::max(this->VirtualNow, Line.VirtualStart);
  Line.VirtualStart += Line.Items.begin()->Cost / Line.Weight;
  this->eraseItem(Entry, Line.Items.begin());
}

QueuePosition FairQueue::position(const RoutedRequest &Request) const {
  QueuePosition Result;
  double Weight = this->weightOf(Request.Workspace);
  double Total = this->WaitingWeight;
  auto Found = this->Lines.find(Request.Workspace);
  if (Found == this->Lines.end() || Found->second.Items.empty())
    Total += Weight;
  if (Found != this->Lines.end())
    for (auto [Priority, Cost] : Found->second.CostByPriority)
      if (Priority <= Request.Priority)
        Result.CostAhead += Cost;
  Result.Share = Weight / std::max(Total, Weight);
  return Result;
}

std::optional<RequestId>
FairQueue::displaceable(const RoutedRequest &Request) const {
  auto Found = this->Lines.find(Request.Workspace);
  if (Found == this->Lines.end())
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

std::size_t FairQueue::waitingBeside(const RoutedRequest &Request) const {
  auto Found = this->Lines.find(Request.Workspace);
  if (Found == this->Lines.end())
    return 0;
  auto Count = Found->second.CountByClass.find(Request.Class);
  return Count == Found->second.CountByClass.end() ? 0 : Count->second;
}

void FairQueue::weightsChanged(std::map<WorkspaceName, double> NewWeights) {
  this->Weights = std::move(NewWeights);
  this->WaitingWeight = 0;
  for (LineMap::pointer Entry : this->Waiting) {
    Entry->second.Weight = this->weightOf(Entry->first);
    this->WaitingWeight += Entry->second.Weight;
  }
}

} // namespace carobhinge
