//===- LibFleet/EndpointDirectory.h - What one entry host may route to ----===//
///
/// \file
/// The view that one entry host has of the endpoints and groups of its failure
/// domain. It makes the targets of routing.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_ENDPOINTDIRECTORY_H
#define LIBFLEET_ENDPOINTDIRECTORY_H

#include <LibFleet/AnnouncementTable.h>
#include <LibFleet/EndpointLife.h>
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
  /// How long entry hosts may differ about that list.
  Duration EntryHostsOverlap = std::chrono::seconds(15);
  WarmUpCurve Curve = {};
  PeerComparisonOptions Comparison = {};
  /// Silent endpoints are forgotten after this long.
  Duration ForgetAfter = std::chrono::minutes(10);
};

/// A decision class: one per entry host.
///
/// Invariants: a group is a target only while the newest roster has it as
/// serving or draining and the own fresh announcement of every member names
/// the group, its number and the member's rank. The slots of a cold target
/// over all entry hosts never exceed its budget.
class EndpointDirectory {
public:
  explicit EndpointDirectory(DirectoryOptions Options);

  void intentChanged(const FleetIntent &Intent) { this->Intent = Intent; }
  void entryHostsChanged(TimePoint Now, std::vector<HostName> EntryHosts);
  /// The entry hosts that can be heard now, this one included: the batching
  /// limit of a warm target is split between them.
  void entryHostsHeard(TimePoint Now, std::vector<HostName> Heard);

  /// \p Age is zero for an announcement made to this host and the relay's age
  /// otherwise. False if it was old news or of another failure domain: then it
  /// need not be relayed either.
  bool announced(TimePoint Now, const Announcement &Said, Duration Age);
  /// False if \p New is not newer than the known roster.
  bool rosterUpdated(const Roster &New);
  /// An answer's time to first byte from a target made by targets().
  void answered(const Target &From, Duration Latency);
  /// Expires announcements and judges stragglers. To be called once a second.
  void tick(TimePoint Now);

  [[nodiscard]] std::vector<Target> targets(TimePoint Now,
                                            const ServiceName &Service) const;
  [[nodiscard]] const Roster &roster() const { return this->Groups; }
  [[nodiscard]] const AnnouncementTable &announcements() const {
    return this->Table;
  }
  /// Silent if never heard.
  [[nodiscard]] EndpointState state(const EndpointName &Endpoint) const;

private:
  /// What the members of a target say together.
  struct Summary {
    bool Cold = false;
    bool Draining = false;
    TimePoint ColdSince;
  };

  bool addMember(TimePoint Now, const HeardAnnouncement &Member,
                 Summary &Into) const;
  const HeardAnnouncement *freshMember(TimePoint Now, const RosterGroup &Group,
                                       std::uint32_t Rank) const;
  std::optional<Target> groupTarget(TimePoint Now,
                                    const RosterGroup &Group) const;
  std::optional<Target> endpointTarget(TimePoint Now,
                                       const HeardAnnouncement &Heard) const;
  Target makeTarget(TimePoint Now, std::string Name, Incarnation Life,
                    const HeardAnnouncement &Front,
                    const Summary &Members) const;
  std::uint32_t slots(TimePoint Now, const Target &For,
                      const HeardAnnouncement &Front,
                      const Summary &Members) const;

  DirectoryOptions Options;
  FleetIntent Intent;
  WarmUpShare Share;
  /// Splits the batching limit of warm targets between the hosts heard.
  WarmUpShare WarmShare;
  AnnouncementTable Table;
  std::unordered_map<EndpointName, EndpointLife> Lives;
  std::map<ServiceName, std::set<EndpointName>> EndpointsOf;
  Roster Groups;
  std::map<ServiceName, PeerComparison> Comparisons;
};

} // namespace carobhinge

#endif // LIBFLEET_ENDPOINTDIRECTORY_H
