//===- LibFleet/FleetInventory.h - The planner's records of endpoints -----===//
///
/// \file
/// The planner's record of each endpoint of its failure domain: the last
/// announcement, the weights in memory and the failed attempts to join a group.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_FLEETINVENTORY_H
#define LIBFLEET_FLEETINVENTORY_H

#include <LibFleet/AnnouncementTable.h>
#include <LibFleet/FormationPolicy.h>
#include <map>
#include <set>

namespace carobhinge {

/// The weights that a member of a group has in memory.
struct LoadedWeights {
  ServiceName Service;
  std::string Version;
  std::uint32_t Rank = 0;
  std::uint32_t GroupSize = 0;

  bool operator==(const LoadedWeights &) const = default;
};

struct InventoryEntry {
  ReceivedAnnouncement Latest;
  /// Position in the order in which endpoints were first announced.
  std::uint64_t DiscoveryOrder = 0;
  /// Cleared when a new incarnation announces itself.
  std::optional<LoadedWeights> Weights;
  std::uint32_t FailedJoins = 0;
  /// The endpoint must not be assigned to a group before this time.
  TimePoint ExcludedUntil;

  [[nodiscard]] const Announcement &announcement() const {
    return this->Latest.Content;
  }
};

class FleetInventory {
public:
  /// Returns false if \p NewAnnouncement is not newer than the stored
  /// announcement.
  bool update(TimePoint Now, const Announcement &NewAnnouncement, Duration Age);
  void removeExpired(TimePoint Now, Duration Retention);

  [[nodiscard]] const InventoryEntry *find(const EndpointName &Endpoint) const;
  InventoryEntry *find(const EndpointName &Endpoint);
  [[nodiscard]] const std::map<EndpointName, InventoryEntry> &all() const {
    return this->Entries;
  }
  /// Identifies the endpoints of one service in one fabric domain.
  using FabricKey = std::pair<ServiceName, FabricDomainName>;
  [[nodiscard]] const std::map<FabricKey, std::set<EndpointName>> &
  byFabric() const {
    return this->ByFabric;
  }

  /// True if another endpoint on the same host was announced earlier and its
  /// announcement is still valid. Only one endpoint per host can be in a group.
  [[nodiscard]] bool isHostTaken(const InventoryEntry &Entry) const;

private:
  std::map<EndpointName, InventoryEntry> Entries;
  std::map<FabricKey, std::set<EndpointName>> ByFabric;
  std::map<HostName, EndpointName> EndpointByHost;
  std::uint64_t DiscoveredCount = 0;
};

} // namespace carobhinge

#endif // LIBFLEET_FLEETINVENTORY_H
