//===- LibFleet/FleetCensus.h - The endpoints as the planner knows them ---===//
///
/// \file
/// What the planner remembers of each endpoint of its failure domain beyond
/// its last announcement: which weights it holds and how its joins went.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_FLEETCENSUS_H
#define LIBFLEET_FLEETCENSUS_H

#include <LibFleet/AnnouncementTable.h>
#include <LibFleet/FormationPolicy.h>
#include <map>
#include <set>

namespace carobhinge {

/// The weights that one member of a group holds.
struct LoadedWeights {
  ServiceName Service;
  std::string Version;
  std::uint32_t Rank = 0;
  std::uint32_t GroupSize = 0;

  bool operator==(const LoadedWeights &) const = default;
};

struct CensusEntry {
  HeardAnnouncement Heard;
  /// Position in the order in which endpoints were first heard.
  std::uint64_t FirstHeard = 0;
  /// Lost with a new incarnation.
  std::optional<LoadedWeights> Weights;
  std::uint32_t FailedJoins = 0;
  /// Not to be placed in a group before this.
  TimePoint HeldUntil;

  [[nodiscard]] const Announcement &said() const { return this->Heard.Said; }
};

class FleetCensus {
public:
  /// False if \p Said is not newer than what is known.
  bool announced(TimePoint Now, const Announcement &Said, Duration Age);
  void forget(TimePoint Now, Duration Silence);

  [[nodiscard]] const CensusEntry *find(const EndpointName &Endpoint) const;
  CensusEntry *find(const EndpointName &Endpoint);
  [[nodiscard]] const std::map<EndpointName, CensusEntry> &all() const {
    return this->Entries;
  }
  /// The endpoints of one service in one fabric domain.
  using FabricKey = std::pair<ServiceName, FabricDomainName>;
  [[nodiscard]] const std::map<FabricKey, std::set<EndpointName>> &
  byFabric() const {
    return this->ByFabric;
  }

  /// True if another endpoint on the same host was heard first and is still
  /// fresh. Only one endpoint of a host can be in a group.
  [[nodiscard]] bool isHostTaken(const CensusEntry &Of) const;

private:
  std::map<EndpointName, CensusEntry> Entries;
  std::map<FabricKey, std::set<EndpointName>> ByFabric;
  std::map<HostName, EndpointName> OwnerOf;
  std::uint64_t HeardCount = 0;
};

} // namespace carobhinge

#endif // LIBFLEET_FLEETCENSUS_H
