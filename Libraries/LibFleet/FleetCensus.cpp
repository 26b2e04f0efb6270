//===- LibFleet/FleetCensus.cpp - The endpoints as the planner knows them -===//
///
/// \file
/// Takes announcements and works out which weights an endpoint holds.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/FleetCensus.h>

namespace carobhinge {

/// Weights stay in memory after a leave, until others are loaded over them.
static void followWeights(CensusEntry &Entry) {
  const Announcement &Said = Entry.said();
  if (Said.Place.Group.empty())
    return;
  if (Said.State == Readiness::Starting) {
    Entry.Weights.reset();
    return;
  }
  Entry.FailedJoins = 0;
  Entry.Weights = LoadedWeights{.Service = Said.Service,
                                .Version = Said.Version,
                                .Rank = Said.Place.Rank,
                                .GroupSize = Said.Place.Size};
}

bool FleetCensus::announced(TimePoint Now, const Announcement &Said,
                            Duration Age) {
  auto [Found, Added] = this->Entries.try_emplace(Said.Endpoint);
  CensusEntry &Entry = Found->second;
  if (Added)
    Entry.FirstHeard = ++this->HeardCount;
  else if (!isNewer(Said, Entry.said()))
    return false;
  if (Entry.said().Life != Said.Life)
    Entry.Weights.reset();
  FabricKey Before(Entry.said().Service, Entry.said().FabricDomain);
  FabricKey After(Said.Service, Said.FabricDomain);
  if (Added || Before != After) {
    this->ByFabric[Before].erase(Said.Endpoint);
    this->ByFabric[After].insert(Said.Endpoint);
  }
  Entry.Heard = {.Said = Said, .At = Now - Age};
  followWeights(Entry);
  const CensusEntry *Owner = this->find(this->OwnerOf[Said.Host]);
  if (!Owner || !Owner->Heard.isFresh(Now) || Owner->said().Host != Said.Host)
    this->OwnerOf[Said.Host] = Said.Endpoint;
  return true;
}

void FleetCensus::forget(TimePoint Now, Duration Silence) {
  auto IsGone = [Now, Silence](const CensusEntry &Entry) {
    return Now - Entry.Heard.At >= Entry.said().Lifetime + Silence;
  };
  for (auto &[Key, Names] : this->ByFabric)
    std::erase_if(Names, [&](const EndpointName &Name) {
      return IsGone(this->Entries.at(Name));
    });
  std::erase_if(this->Entries,
                [&IsGone](const auto &Each) { return IsGone(Each.second); });
  std::erase_if(this->OwnerOf, [this](const auto &Each) {
    return !this->Entries.contains(Each.second);
  });
}

const CensusEntry *FleetCensus::find(const EndpointName &Endpoint) const {
  auto Found = this->Entries.find(Endpoint);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

CensusEntry *FleetCensus::find(const EndpointName &Endpoint) {
  auto Found = this->Entries.find(Endpoint);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

bool FleetCensus::isHostTaken(const CensusEntry &Of) const {
  return this->OwnerOf.at(Of.said().Host) != Of.said().Endpoint;
}

} // namespace carobhinge
