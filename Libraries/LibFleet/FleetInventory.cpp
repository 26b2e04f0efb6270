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

bool FleetInventory::update(TimePoint Now, const Announcement &NewAnnouncement,
                            Duration Age) {
  auto [Found, Added] = this->Entries.try_emplace(NewAnnouncement.Endpoint);
  InventoryEntry &Entry = Found->second;
  if (Added)
    Entry.DiscoveryOrder = ++this->DiscoveredCount;
  else if (!isNewer(NewAnnouncement, Entry.announcement()))
    return false;
  if (Entry.announcement().IncarnationNumber !=
      NewAnnouncement.IncarnationNumber)
    Entry.Weights.reset();
  FabricKey PreviousKey(Entry.announcement().Service,
                        Entry.announcement().FabricDomain);
  FabricKey NewKey(NewAnnouncement.Service, NewAnnouncement.FabricDomain);
  if (Added || PreviousKey != NewKey) {
    this->ByFabric[PreviousKey].erase(NewAnnouncement.Endpoint);
    this->ByFabric[NewKey].insert(NewAnnouncement.Endpoint);
  }
  Entry.Latest = {.Content = NewAnnouncement, .ReceivedAt = Now - Age};
  updateWeights(Entry);
  const InventoryEntry *Owner =
      this->find(this->EndpointByHost[NewAnnouncement.Host]);
  if (!Owner || !Owner->Latest.isFresh(Now) ||
      Owner->announcement().Host != NewAnnouncement.Host)
    this->EndpointByHost[NewAnnouncement.Host] = NewAnnouncement.Endpoint;
  return true;
}

void FleetInventory::removeExpired(TimePoint Now, Duration Retention) {
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
