//===- LibServe/SpilloverDomains.cpp - Capacity of other domains ----------===//
///
/// \file
/// Stores and adds up summaries.
///
//===----------------------------------------------------------------------===//

#include <LibServe/SpilloverDomains.h>

namespace carobhinge {

/// Older reports are ignored.
static constexpr auto SummaryLifetime = std::chrono::seconds(3);

static const message::ServiceSummaries::Item *
findItem(const message::ServiceSummaries &In, const ServiceName &Service) {
  for (const auto &Item : In.items())
    if (Item.service() == Service)
      return &Item;
  return nullptr;
}

void SpilloverDomains::received(const HostName &From,
                                const message::ServiceSummaries &Message) {
  const Peer *Sender = this->Links.find(From);
  if (!Sender || Sender->FailureDomain != Message.failure_domain())
    return;
  std::lock_guard Guard(this->Lock);
  this->Hosts[From] =
      ReceivedSummaries{.Message = Message, .ReceivedAt = monotonicNow()};
}

std::vector<DomainSummary>
SpilloverDomains::summaries(const ServiceName &Service) const {
  TimePoint Now = monotonicNow();
  std::map<FailureDomainName, DomainSummary> Sums;
  std::lock_guard Guard(this->Lock);
  for (const auto &[Host, Each] : this->Hosts) {
    const auto *Item = findItem(Each.Message, Service);
    if (!Item || Now - Each.ReceivedAt > SummaryLifetime)
      continue;
    DomainSummary &Sum = Sums[Each.Message.failure_domain()];
    Sum.FailureDomain = Each.Message.failure_domain();
    Sum.Service = Service;
    Sum.SpareSlots += Item->spare_slots();
    Sum.Queued += Item->queued();
    // Uses the slowest host's time, so that no host is overloaded.
    Duration SlotTime = std::chrono::nanoseconds(Item->slot_time_ns());
    Sum.SlotTime = std::max(Sum.SlotTime, SlotTime);
    Sum.Unavailable = Sum.Unavailable || Each.Message.out();
    Sum.ReceivedAt = std::max(Sum.ReceivedAt, Each.ReceivedAt);
  }
  std::vector<DomainSummary> Result;
  Result.reserve(Sums.size());
  for (auto &[Domain, Sum] : Sums)
    Result.push_back(std::move(Sum));
  return Result;
}

HostName SpilloverDomains::choose(const FailureDomainName &Domain,
                                  const ServiceName &Service) const {
  TimePoint Now = monotonicNow();
  HostName Best;
  std::int64_t MaxSpareSlots = -1;
  std::lock_guard Guard(this->Lock);
  for (const auto &[Host, Each] : this->Hosts) {
    const auto *Item = findItem(Each.Message, Service);
    WireLink *Link = this->Links.link(Host);
    bool Usable = Item && Link && Link->connected() && !Each.Message.out() &&
                  Each.Message.failure_domain() == Domain &&
                  Now - Each.ReceivedAt <= SummaryLifetime;
    if (!Usable || Item->spare_slots() <= MaxSpareSlots)
      continue;
    MaxSpareSlots = Item->spare_slots();
    Best = Host;
  }
  return Best;
}

} // namespace carobhinge
