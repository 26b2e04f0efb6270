//===- LibFleet/GroupPlanner.h - Forms, repairs and dissolves groups ------===//
///
/// \file
/// Runs on every entry host of a failure domain and is active on the one that
/// holds the domain's planner grant. It maintains a list of groups, compares it
/// with the announcements of the endpoints, and sends each endpoint the order
/// that moves it one step towards its assigned position. Lost, duplicated and
/// late orders need no special handling, because the next comparison finds the
/// remaining differences.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_GROUPPLANNER_H
#define LIBFLEET_GROUPPLANNER_H

#include <LibFleet/DrainTracker.h>
#include <LibFleet/FleetIntent.h>
#include <LibFleet/FleetInventory.h>
#include <LibFleet/OrderTracker.h>
#include <LibFleet/RepairPolicy.h>
#include <LibFleet/Roster.h>
#include <variant>

namespace carobhinge {

struct PlannerOptions {
  FailureDomainName FailureDomain = {};
  /// All entry hosts of the failure domain.
  std::vector<HostName> EntryHosts = {};
  std::string Formation = "loaded-rank";
  std::string Repair = "spare-first";
  /// Time for which a member counts as paused after its announcement expired.
  /// After that it counts as lost. Shorter times hardly reduce the downtime of
  /// groups. But while entry hosts cannot reach each other, the planner
  /// receives only some of the announcements and would treat serving members as
  /// lost.
  Duration LossTimeout = std::chrono::seconds(10);
  /// Time limit for a member to join and to load its weights.
  Duration JoinTimeout = std::chrono::minutes(10);
  /// When an unanswered order to an endpoint that checks fencing is abandoned,
  /// and when a refused order is retried.
  Duration OrderTimeout = std::chrono::seconds(5);
  /// Time for which a new grant holder collects announcements before it acts.
  Duration StabilizationTime = std::chrono::seconds(4);
  /// Time for which the control log's confirmation of the grant is valid.
  Duration ConfirmationLifetime = std::chrono::seconds(5);
  /// Time after its last report from which an entry host counts as stalled.
  Duration EntryHostTimeout = std::chrono::seconds(10);
  /// Time for which a drain waits for stalled entry hosts: the maximum duration
  /// of a request.
  Duration DrainTimeout = std::chrono::minutes(15);
  /// Time after its expiry at which an endpoint's announcement is removed.
  Duration RetentionTime = std::chrono::minutes(30);
  /// Members that may load weights concurrently. The weight store is
  /// rate-limited.
  std::uint32_t MaxConcurrentLoads = 4;
};

/// Post \p Content to the endpoint once and report the result to
/// handleOrderResult().
struct SendOrder {
  EndpointName Endpoint;
  std::string Address;
  Order Content;
};

/// Commit the record in the control log under this planner's epoch, retry until
/// this succeeds, and then call markOrderRecorded().
struct RecordOrder {
  RecordedOrder Record;
  /// Earlier records that the same command removes.
  std::vector<RecordedOrder> Resolved = {};
};

/// Send the roster to the entry hosts of the failure domain, this one included.
struct PublishRoster {
  Roster NewRoster;
};

using PlannerEffect = std::variant<SendOrder, RecordOrder, PublishRoster>;

/// Decision logic without I/O, one instance per entry host. Not thread-safe.
///
/// Invariants: in a roster an endpoint has a position in at most one group that
/// is not broken; a broken group still lists the members that it lost. An
/// endpoint that announces a group is ordered to join another group only after
/// it announced that it is in none. A serving group without lost members is
/// changed only after it was drained. The planner acts only while no other host
/// of the failure domain can hold a newer grant: either the control log
/// confirmed its grant recently, or every other entry host of the domain
/// reports and follows it. The second condition keeps the planner active in a
/// domain that is cut off from the control hosts.
class GroupPlanner {
public:
  explicit GroupPlanner(PlannerOptions Options);

  void applyIntent(const FleetIntent &Intent) { this->Intent = Intent; }
  void setEntryHosts(std::vector<HostName> EntryHosts);
  /// To be called on all entry hosts, so that a new grant holder already has
  /// the announcements of the endpoints of the domain.
  void handleAnnouncement(TimePoint Now, const Announcement &NewAnnouncement,
                          Duration Age);
  void updateRoster(const Roster &NewRoster);
  void recordOutstandingReport(TimePoint Now, const OutstandingReport &Report);

  /// This host now holds the grant of \p Epoch. \p RecordedOrders are the
  /// orders that the control log lists for the failure domain.
  void handleGrant(TimePoint Now, std::uint64_t Epoch,
                   std::span<const RecordedOrder> RecordedOrders);
  /// The control log confirmed that this host still holds the grant.
  void recordGrantConfirmation(TimePoint Now) { this->ConfirmedAt = Now; }
  /// Another host holds the grant.
  void handleRevocation() { this->Epoch = 0; }
  void markOrderRecorded(TimePoint Now, FencingToken Number);
  void handleOrderResult(FencingToken Number, OrderSendResult Result);

  /// Returns the effects to carry out, none without a grant. To be called about
  /// once a second and after announcements that change the state of a group.
  std::vector<PlannerEffect> plan(TimePoint Now);

  [[nodiscard]] const Roster &roster() const { return this->NewestRoster; }
  [[nodiscard]] const OrderTracker &orders() const { return this->Orders; }

private:
  struct GroupMember {
    /// Empty if no announcement of the member was known when the group was
    /// adopted from an earlier grant holder.
    EndpointName Endpoint = {};
    Incarnation IncarnationNumber = 0;
    /// Its position was announced since the group got its current number.
    bool HasJoined = false;
  };

  struct ManagedGroup {
    GroupName Name;
    FencingToken Number = 0;
    ServiceName Service;
    std::string Version;
    FabricDomainName FabricDomain;
    GroupState State = GroupState::Forming;
    std::vector<GroupMember> Members;
    /// When the group got its current number.
    TimePoint FormedAt;
    TimePoint BrokenSince;
    TimePoint DrainingSince;
    /// Sequence of the first roster that lists the group as draining, or zero.
    std::uint64_t DrainSequence = 0;
  };

  enum class MemberState : std::uint8_t {
    Present,
    Joining,
    Paused,
    Leaving,
    Lost
  };

  /// Properties that all members of a group share.
  struct GroupRequirements {
    ServiceName Service;
    std::string Version;
    std::uint32_t Size = 0;
    FabricDomainName FabricDomain;

    bool operator==(const GroupRequirements &) const = default;
  };

  static GroupRequirements requirementsOf(const ManagedGroup &Group) {
    return {.Service = Group.Service,
            .Version = Group.Version,
            .Size = static_cast<std::uint32_t>(Group.Members.size()),
            .FabricDomain = Group.FabricDomain};
  }

  /// The assigned position of an endpoint.
  struct Placement {
    const ManagedGroup *AssignedGroup = nullptr;
    std::uint32_t Rank = 0;
  };

  /// A join with weight loading that waits for a free load slot.
  struct PendingJoin {
    const InventoryEntry *Endpoint = nullptr;
    Placement Destination;
    std::uint32_t PendingLoadsOfGroup = 0;
  };

  [[nodiscard]] bool canAct(TimePoint Now) const;

  // GroupPlannerState.cpp: derives the state of the groups.
  void adoptGroups(TimePoint Now);
  void adoptRoster(TimePoint Now);
  void adoptAnnouncedGroups(TimePoint Now);
  [[nodiscard]] bool isListed(const ManagedGroup &Group) const;
  void identifyMembers(TimePoint Now, ManagedGroup &Group);
  MemberState expiredMemberState(TimePoint Now, TimePoint TimeoutStart,
                                 Duration Lifetime,
                                 const GroupMember &Member) const;
  MemberState memberState(TimePoint Now, const ManagedGroup &Group,
                          std::uint32_t Rank) const;
  void updateState(TimePoint Now, ManagedGroup &Group);
  void recordUnreachableFabrics(TimePoint Now);
  [[nodiscard]] bool isRecovering(TimePoint Now,
                                  const FabricDomainName &Fabric) const;
  void finishDrain(TimePoint Now, ManagedGroup &Group);
  [[nodiscard]] bool isDrained(TimePoint Now, const ManagedGroup &Group) const;
  [[nodiscard]] bool isOutdated(const ManagedGroup &Group) const;
  [[nodiscard]] bool isMissing(TimePoint Now, const ManagedGroup &Group,
                               std::uint32_t Rank) const;
  [[nodiscard]] GroupPosition positionOf(const ManagedGroup &Group,
                                         std::uint32_t Rank) const;

  // GroupPlanner.cpp: decides how the groups change.
  void rebuildPlacements(TimePoint Now);
  [[nodiscard]] bool isAvailable(TimePoint Now,
                                 const InventoryEntry &Entry) const;
  std::vector<Candidate>
  freeEndpoints(TimePoint Now, const GroupRequirements &Requirements) const;
  std::vector<ManagedGroup *> brokenGroups(TimePoint Now);
  std::uint32_t countSurvivors(TimePoint Now, const ManagedGroup &Group) const;
  std::uint32_t countDonors(TimePoint Now, const ManagedGroup &Group) const;
  void repairGroups(TimePoint Now);
  void repairGroup(TimePoint Now, ManagedGroup &Group,
                   std::span<ManagedGroup *const> MoreDamaged);
  void replaceMembers(TimePoint Now, ManagedGroup &Group,
                      std::vector<Candidate> Free);
  void dissolve(TimePoint Now, ManagedGroup &Group, Duration ExclusionTime);
  GroupMember makeMember(const Candidate &Chosen) const;
  void formGroups(TimePoint Now);
  void formGroupsInFabric(TimePoint Now, const GroupRequirements &Requirements);
  void publishRoster();
  FencingToken nextNumber();

  // GroupPlannerOrders.cpp: creates the orders for these changes.
  void orderChanges(TimePoint Now);
  void orderLoadingJoins(TimePoint Now, std::vector<PendingJoin> Pending);
  void orderLeave(TimePoint Now, const InventoryEntry &Recipient);
  void orderJoin(TimePoint Now, const PendingJoin &Join, bool LoadsWeights);
  void submit(TimePoint Now, const Announcement &Recipient, Order NewOrder,
              bool LoadsWeights);
  void sendOrders(TimePoint Now);
  [[nodiscard]] bool requiresLoad(const InventoryEntry &Entry,
                                  Placement Destination) const;
  [[nodiscard]] std::uint32_t countActiveLoads(TimePoint Now) const;

  PlannerOptions Options;
  std::unique_ptr<FormationPolicy> Formation;
  std::unique_ptr<RepairPolicy> Repair;
  FleetIntent Intent;
  FleetInventory Inventory;
  OrderTracker Orders;
  DrainTracker Drains;
  /// Zero without a grant.
  std::uint64_t Epoch = 0;
  std::uint32_t Counter = 0;
  TimePoint GrantedAt;
  TimePoint ConfirmedAt;
  bool HasAdoptedGroups = false;
  /// When a fabric domain last had no endpoint with a valid announcement.
  std::map<FabricDomainName, TimePoint> LastUnreachable;
  std::map<GroupName, ManagedGroup> Groups;
  /// Set by rebuildPlacements(). Missing members have no entry.
  std::map<EndpointName, Placement> Placements;
  /// The newest roster known, published by this or another planner.
  Roster NewestRoster;
  std::vector<PlannerEffect> Effects;
};

} // namespace carobhinge

#endif // LIBFLEET_GROUPPLANNER_H
