//===- LibFleet/EndpointDirectory.h - Routing targets of an entry host ----===//
///
/// \file
/// One entry host's state of the endpoints and groups of its failure domain,
/// from which it derives the routing targets.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_ENDPOINTDIRECTORY_H
#define LIBFLEET_ENDPOINTDIRECTORY_H

#include <LibFleet/AnnouncementTable.h>
#include <LibFleet/DomainLoads.h>
#include <LibFleet/EndpointLifecycle.h>
#include <LibFleet/FleetIntent.h>
#include <LibFleet/PeerComparison.h>
#include <LibFleet/Roster.h>
#include <LibFleet/Target.h>
#include <LibFleet/WarmUpShare.h>
#include <optional>
#include <set>
#include <span>

namespace carobhinge {

struct DirectoryOptions {
  HostName Self = {};
  FailureDomainName FailureDomain = {};
  /// All entry hosts of the failure domain, this one included.
  std::vector<HostName> EntryHosts = {};
  /// Time for which entry hosts may use different versions of that list.
  Duration EntryHostsOverlap = std::chrono::seconds(15);
  WarmUpCurve Curve = {};
  PeerComparisonOptions Comparison = {};
  /// Time after its expiry at which an endpoint's announcement is removed.
  Duration RetentionTime = std::chrono::minutes(10);
  /// An entry host that has not reported its load for this long has left.
  Duration LoadLifetime = std::chrono::seconds(5);
};

/// Decision logic without I/O, one instance per entry host. Not thread-safe.
///
/// Invariants: a group is a target only while the newest roster lists it as
/// serving or draining and every member has a valid announcement with the
/// group, its number and the member's rank. The sum of a cold target's slots
/// over all entry hosts never exceeds its warm-up budget.
class EndpointDirectory {
public:
  explicit EndpointDirectory(DirectoryOptions Options);

  void applyIntent(const FleetIntent &Intent) { this->Intent = Intent; }
  void setEntryHosts(TimePoint Now, std::vector<HostName> EntryHosts);
  /// Sets the entry hosts that are reachable now, including this one. The
  /// batch limit of a warm target is divided among them.
  void setReachableEntryHosts(TimePoint Now, std::vector<HostName> Reachable);

  /// \p Age is zero for an announcement that this host received directly, and
  /// the age given by the relaying host otherwise. Returns false if \p
  /// NewAnnouncement is outdated or from another failure domain; then it need
  /// not be relayed.
  bool handleAnnouncement(TimePoint Now, const Announcement &NewAnnouncement,
                          Duration Age);
  /// Returns false if \p NewRoster is not newer than the current roster.
  bool updateRoster(const Roster &NewRoster);
  /// \p Host, this one included, has \p Requests in progress or queued.
  void recordLoad(TimePoint Now, const HostName &Host, std::uint32_t Requests);
  /// \p Latency is the time to first byte of an answer from \p Source, which
  /// targets() returned.
  void recordLatency(const Target &Source, Duration Latency);
  /// Expires announcements and detects slow targets. To be called once a
  /// second.
  void tick(TimePoint Now);

  [[nodiscard]] std::vector<Target> targets(TimePoint Now,
                                            const ServiceName &Service) const;
  /// This host's place among the entry hosts of its failure domain.
  [[nodiscard]] EntryHostPlace place(TimePoint Now) const;
  [[nodiscard]] const Roster &roster() const { return this->CurrentRoster; }
  [[nodiscard]] const AnnouncementTable &announcements() const {
    return this->Announcements;
  }
  /// Expired if the endpoint is unknown.
  [[nodiscard]] EndpointState state(const EndpointName &Endpoint) const;

private:
  /// State of a target, combined from the announcements of its members.
  struct MemberSummary {
    bool Cold = false;
    bool Draining = false;
    TimePoint ColdSince;
    /// The smallest limit of a member; 0: none.
    double RequestLimit = 0;
  };

  bool addMember(TimePoint Now, const ReceivedAnnouncement &Member,
                 MemberSummary &Summary) const;
  const ReceivedAnnouncement *freshMember(TimePoint Now,
                                          const RosterGroup &Group,
                                          std::uint32_t Rank) const;
  std::optional<Target> groupTarget(TimePoint Now,
                                    const RosterGroup &Group) const;
  std::optional<Target>
  endpointTarget(TimePoint Now, const ReceivedAnnouncement &Latest) const;
  Target makeTarget(TimePoint Now, std::string Name,
                    Incarnation IncarnationNumber,
                    const ReceivedAnnouncement &Head,
                    const MemberSummary &Members) const;
  std::uint32_t slotLimit(TimePoint Now, const Target &Destination,
                          const ReceivedAnnouncement &Head,
                          const MemberSummary &Members) const;

  DirectoryOptions Options;
  FleetIntent Intent;
  DomainLoads Loads;
  WarmUpShare ColdShare;
  /// Divides the batch limit of warm targets among the reachable entry hosts.
  WarmUpShare WarmShare;
  AnnouncementTable Announcements;
  std::unordered_map<EndpointName, EndpointLifecycle> Lifecycles;
  std::map<ServiceName, std::set<EndpointName>> EndpointsByService;
  Roster CurrentRoster;
  std::map<ServiceName, PeerComparison> Comparisons;
};

} // namespace carobhinge

#endif // LIBFLEET_ENDPOINTDIRECTORY_H
