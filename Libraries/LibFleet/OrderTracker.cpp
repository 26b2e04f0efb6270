//===- LibFleet/OrderTracker.cpp - Orders in progress ---------------------===//
///
/// \file
/// The stages of an order, with and without fencing at the endpoint.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/OrderTracker.h>

#include <cassert>
#include <utility>

namespace carobhinge {

void OrderTracker::reset(TimePoint Now,
                         std::span<const RecordedOrder> RecordedOrders) {
  this->Entries.clear();
  this->Resolved.clear();
  for (const RecordedOrder &Each : RecordedOrders) {
    Entry RecordedEntry;
    RecordedEntry.Content.Number = Each.Number;
    RecordedEntry.Content.ForIncarnation = Each.IncarnationNumber;
    RecordedEntry.RequiresRecord = true;
    RecordedEntry.CurrentStage = Stage::Sent;
    RecordedEntry.StageSince = Now;
    this->Entries.emplace(Each.Endpoint, std::move(RecordedEntry));
  }
}

bool OrderTracker::isTimedOut(TimePoint Now, const Entry &Each) const {
  bool CanArrive =
      Each.CurrentStage == Stage::Sent || Each.CurrentStage == Stage::Recording;
  if (Each.RequiresRecord && CanArrive)
    return false;
  return Now - Each.StageSince >= this->Timeout;
}

bool OrderTracker::isBlocked(TimePoint Now,
                             const Announcement &Recipient) const {
  auto Found = this->Entries.find(Recipient.Endpoint);
  return Found != this->Entries.end() && !this->isTimedOut(Now, Found->second);
}

bool OrderTracker::mayArriveLate(const Announcement &Recipient) const {
  auto Found = this->Entries.find(Recipient.Endpoint);
  return Found != this->Entries.end() && Found->second.RequiresRecord &&
         Found->second.CurrentStage == Stage::Sent;
}

void OrderTracker::add(TimePoint Now, const Announcement &Recipient,
                       Order NewOrder, bool LoadsWeights) {
  assert(!this->isBlocked(Now, Recipient));
  Entry NewEntry;
  NewEntry.Content = std::move(NewOrder);
  NewEntry.RequiresRecord = !Recipient.ChecksFencing;
  NewEntry.LoadsWeights = LoadsWeights;
  NewEntry.CurrentStage =
      NewEntry.RequiresRecord ? Stage::Recording : Stage::Sendable;
  NewEntry.StageSince = Now;
  this->Entries.insert_or_assign(Recipient.Endpoint, std::move(NewEntry));
}

void OrderTracker::markRecorded(TimePoint Now, FencingToken Number) {
  for (auto &[Endpoint, Each] : this->Entries) {
    if (Each.Content.Number != Number || Each.CurrentStage != Stage::Recording)
      continue;
    Each.CurrentStage = Stage::Sendable;
    Each.StageSince = Now;
  }
}

void OrderTracker::handleResult(FencingToken Number, OrderSendResult Result) {
  if (Result == OrderSendResult::Unknown)
    return;
  for (auto &[Endpoint, Each] : this->Entries)
    if (Each.Content.Number == Number)
      Each.CurrentStage = Stage::Resolved;
}

void OrderTracker::handleAnnouncement(const Announcement &NewAnnouncement) {
  auto Found = this->Entries.find(NewAnnouncement.Endpoint);
  if (Found == this->Entries.end())
    return;
  const Order &Tracked = Found->second.Content;
  bool Applied = NewAnnouncement.IncarnationNumber == Tracked.ForIncarnation &&
                 NewAnnouncement.LastOrder >= Tracked.Number;
  if (NewAnnouncement.IncarnationNumber <= Tracked.ForIncarnation && !Applied)
    return;
  if (Found->second.RequiresRecord)
    this->Resolved.push_back({.Endpoint = NewAnnouncement.Endpoint,
                              .IncarnationNumber = Tracked.ForIncarnation,
                              .Number = Tracked.Number});
  this->Entries.erase(Found);
}

std::vector<RecordedOrder> OrderTracker::takeResolved() {
  return std::exchange(this->Resolved, {});
}

std::vector<std::pair<EndpointName, Order>>
OrderTracker::takeSendable(TimePoint Now) {
  std::vector<std::pair<EndpointName, Order>> Result;
  for (auto &[Endpoint, Each] : this->Entries) {
    if (Each.CurrentStage != Stage::Sendable)
      continue;
    Each.CurrentStage = Stage::Sent;
    Each.StageSince = Now;
    Result.emplace_back(Endpoint, Each.Content);
  }
  return Result;
}

} // namespace carobhinge
