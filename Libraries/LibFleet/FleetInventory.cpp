//===- LibFleet/FleetInventory.cpp - The planner's records of endpoints ---===//
///
/// \file
/// Accepts announcements and derives which weights an endpoint has loaded.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/FleetInventory.h>

namespace carobhinge {

/// Weights stay in memory after a leave, until other weights replace them.
static void updateWeights(InventoryEntry &Entry) {
  const Announcement &Current = Entry.announcement();
  if (Current.Position.Group.empty())
    return;
  if (Current.State == Readiness::Starting) {
    Entry.Weights.reset();
    return;
  }
  Entry.FailedJoins = 0;
  Entry.Weights = LoadedWeights{.Service = Current.Service,
                                .Version = Current.Version,
                                .Rank = Current.Position.Rank,
                                .GroupSize = Current.Position.Size};
}

bool FleetInventory::update(TimePoint Now, const Announcement &New,
                            Duration Age) {
  auto [Found, Added] = this->Entries.try_emplace(New.Endpoint);
  InventoryEntry &Entry = Found->second;
  if (Added)
    Entry.DiscoveryOrder = ++this->DiscoveredCount;
  else if (!isNewer(New, Entry.announcement()))
    return false;
  if (Entry.announcement().IncarnationNumber != New.IncarnationNumber)
    Entry.Weights.reset();
  FabricKey PreviousKey(Entry.announcement().Service,
                        Entry.announcement().FabricDomain);
  FabricKey NewKey(New.Service, New.FabricDomain);
  if (Added || PreviousKey != NewKey) {
    this->ByFabric[PreviousKey].erase(New.Endpoint);
    this->ByFabric[NewKey].insert(New.Endpoint);
  }
  Entry.Latest = {.Content = New, .ReceivedAt = Now - Age};
  updateWeights(Entry);
  const InventoryEntry *Owner = this->find(this->EndpointByHost[New.Host]);
  if (!Owner || !Owner->Latest.isFresh(Now) ||
      Owner->announcement().Host != New.Host)
    this->EndpointByHost[New.Host] = New.Endpoint;
  return true;
}

void FleetInventory::forget(TimePoint Now, Duration Retention) {
  auto IsExpired = [Now, Retention](const InventoryEntry &Entry) {
    return Now - Entry.Latest.ReceivedAt >=
           Entry.announcement().Lifetime + Retention;
  };
  for (auto &[Key, Names] : this->ByFabric)
    std::erase_if(Names, [&](const EndpointName &Name) {
      return IsExpired(this->Entries.at(Name));
    });
  std::erase_if(this->Entries, [&IsExpired](const auto &Each) {
    return IsExpired(Each.second);
  });
  std::erase_if(this->EndpointByHost, [this](const auto &Each) {
    return !this->Entries.contains(Each.second);
  });
}

const InventoryEntry *FleetInventory::find(const EndpointName &Endpoint) const {
  auto Found = this->Entries.find(Endpoint);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

InventoryEntry *FleetInventory::find(const EndpointName &Endpoint) {
  auto Found = this->Entries.find(Endpoint);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

bool FleetInventory::isHostTaken(const InventoryEntry &Entry) const {
  return this->EndpointByHost.at(Entry.announcement().Host) !=
         Entry.announcement().Endpoint;
}

} // namespace carobhinge
