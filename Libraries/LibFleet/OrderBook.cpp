//===- LibFleet/OrderBook.cpp - Orders that are under way -----------------===//
///
/// \file
/// The life of an order, with and without fencing at the endpoint.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/OrderBook.h>

#include <cassert>
#include <utility>

namespace carobhinge {

void OrderBook::reset(TimePoint Now, std::span<const RecordedOrder> Recorded) {
  this->Entries.clear();
  this->Settled.clear();
  for (const RecordedOrder &Each : Recorded) {
    Entry Earlier;
    Earlier.Sent.Number = Each.Number;
    Earlier.Sent.ForLife = Each.Life;
    Earlier.Strict = true;
    Earlier.At = Step::Sent;
    Earlier.Since = Now;
    this->Entries.emplace(Each.Endpoint, std::move(Earlier));
  }
}

bool OrderBook::isOver(TimePoint Now, const Entry &Each) const {
  bool CanArrive = Each.At == Step::Sent || Each.At == Step::Recording;
  if (Each.Strict && CanArrive)
    return false;
  return Now - Each.Since >= this->Timeout;
}

bool OrderBook::isBlocked(TimePoint Now, const Announcement &To) const {
  auto Found = this->Entries.find(To.Endpoint);
  return Found != this->Entries.end() && !this->isOver(Now, Found->second);
}

bool OrderBook::mayArriveLate(const Announcement &To) const {
  auto Found = this->Entries.find(To.Endpoint);
  return Found != this->Entries.end() && Found->second.Strict &&
         Found->second.At == Step::Sent;
}

void OrderBook::add(TimePoint Now, const Announcement &To, Order New,
                    bool Loads) {
  assert(!this->isBlocked(Now, To));
  Entry Added;
  Added.Sent = std::move(New);
  Added.Strict = !To.ChecksFencing;
  Added.Loads = Loads;
  Added.At = Added.Strict ? Step::Recording : Step::Sendable;
  Added.Since = Now;
  this->Entries.insert_or_assign(To.Endpoint, std::move(Added));
}

void OrderBook::recorded(TimePoint Now, FencingNumber Number) {
  for (auto &[Endpoint, Each] : this->Entries) {
    if (Each.Sent.Number != Number || Each.At != Step::Recording)
      continue;
    Each.At = Step::Sendable;
    Each.Since = Now;
  }
}

void OrderBook::answered(FencingNumber Number, OrderResult Result) {
  if (Result == OrderResult::Unknown)
    return;
  for (auto &[Endpoint, Each] : this->Entries)
    if (Each.Sent.Number == Number)
      Each.At = Step::Settled;
}

void OrderBook::announced(const Announcement &Said) {
  auto Found = this->Entries.find(Said.Endpoint);
  if (Found == this->Entries.end())
    return;
  const Order &Sent = Found->second.Sent;
  bool Applied = Said.Life == Sent.ForLife && Said.LastOrder >= Sent.Number;
  if (Said.Life <= Sent.ForLife && !Applied)
    return;
  if (Found->second.Strict)
    this->Settled.push_back({.Endpoint = Said.Endpoint,
                             .Life = Sent.ForLife,
                             .Number = Sent.Number});
  this->Entries.erase(Found);
}

std::vector<RecordedOrder> OrderBook::takeSettled() {
  return std::exchange(this->Settled, {});
}

std::vector<std::pair<EndpointName, Order>>
OrderBook::takeSendable(TimePoint Now) {
  std::vector<std::pair<EndpointName, Order>> Result;
  for (auto &[Endpoint, Each] : this->Entries) {
    if (Each.At != Step::Sendable)
      continue;
    Each.At = Step::Sent;
    Each.Since = Now;
    Result.emplace_back(Endpoint, Each.Sent);
  }
  return Result;
}

} // namespace carobhinge
