//===- LibFleet/GroupPlanner.h - Forms, repairs and dissolves groups ------===//
///
/// \file
/// Runs on every entry host of a failure domain and acts on the one that holds
/// the domain's planner grant. It keeps a list of groups, compares it with
/// what the endpoints announce, and orders each endpoint one step closer to
/// its place. Lost, duplicated and late orders need no handling of their own:
/// the next comparison finds what is still to be done.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_GROUPPLANNER_H
#define LIBFLEET_GROUPPLANNER_H

#include <LibFleet/DrainWatch.h>
#include <LibFleet/FleetCensus.h>
#include <LibFleet/FleetIntent.h>
#include <LibFleet/OrderBook.h>
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
  /// How long after the end of its lifetime a silent member counts as paused.
  /// Then it counts as lost. Shorter waits hardly lower group downtime, but
  /// while entry hosts are cut from one another the planner hears only some of
  /// the announcements and would take members that serve as lost.
  Duration DeathWait = std::chrono::seconds(10);
  /// How long a member may take to join and load its weights.
  Duration JoinTimeout = std::chrono::minutes(10);
  /// When an unanswered order to an endpoint that checks fencing is given up,
  /// and when a refused one is tried again.
  Duration OrderTimeout = std::chrono::seconds(5);
  /// How long a new grant holder listens before it decides anything.
  Duration SettleTime = std::chrono::seconds(4);
  /// How long the control log's confirmation of the grant lasts.
  Duration ConfirmationLasts = std::chrono::seconds(5);
  /// When an entry host without reports counts as silent.
  Duration EntryHostSilentAfter = std::chrono::seconds(10);
  /// How long a drain waits for silent entry hosts: the longest request.
  Duration DrainLimit = std::chrono::minutes(15);
  /// Silent endpoints are forgotten after this long.
  Duration ForgetAfter = std::chrono::minutes(30);
  /// Members that load weights at once, as the weight store is rate-limited.
  std::uint32_t LoadsAtOnce = 4;
};

/// Post \p Sent to the endpoint once, and report to orderAnswered().
struct SendOrder {
  EndpointName Endpoint;
  std::string Address;
  Order Sent;
};

/// Commit the record in the control log under this planner's epoch, however
/// often that must be tried, and then call orderRecorded().
struct RecordOrder {
  RecordedOrder Record;
  /// Earlier records that the same command takes out.
  std::vector<RecordedOrder> Settled = {};
};

/// Send the roster to the entry hosts of the failure domain, this one included.
struct PublishRoster {
  Roster Published;
};

using PlannerEffect = std::variant<SendOrder, RecordOrder, PublishRoster>;

/// A decision class: one for each failure domain.
///
/// Invariants: in a roster an endpoint has a place in at most one group that is
/// not broken; a broken group still names the members that it has lost. An
/// endpoint that announces a group is ordered to join another one only after
/// it announced that it is in none. A serving group without lost members is
/// changed only after it was drained. The planner acts only while it knows that
/// no other host of the failure domain can hold a newer grant: the control log
/// confirmed its own a moment ago, or every other entry host of the domain is
/// heard and follows it. The latter lets it go on in a domain that is cut off.
class GroupPlanner {
public:
  explicit GroupPlanner(PlannerOptions Options);

  void intentChanged(const FleetIntent &Intent) { this->Intent = Intent; }
  void entryHostsChanged(std::vector<HostName> EntryHosts);
  /// To be called on all entry hosts, so that a new holder knows the domain.
  void announced(TimePoint Now, const Announcement &Said, Duration Age);
  void rosterSeen(const Roster &Seen);
  void outstanding(TimePoint Now, const OutstandingReport &Report);

  /// This host holds the grant with \p Epoch. \p Recorded are the orders that
  /// the control log lists for the failure domain.
  void granted(TimePoint Now, std::uint64_t Epoch,
               std::span<const RecordedOrder> Recorded);
  /// The control log was asked and still names this host and epoch.
  void confirmed(TimePoint Now) { this->ConfirmedAt = Now; }
  /// The grant went elsewhere.
  void revoked() { this->Epoch = 0; }
  void orderRecorded(TimePoint Now, FencingNumber Number);
  void orderAnswered(FencingNumber Number, OrderResult Result);

  /// To be called about once a second and after announcements that matter.
  /// Without a grant there are no effects.
  std::vector<PlannerEffect> plan(TimePoint Now);

  [[nodiscard]] const Roster &roster() const { return this->Published; }
  [[nodiscard]] const OrderBook &orders() const { return this->Orders; }

private:
  struct Member {
    /// Empty if it was not heard when an earlier holder's group was taken over.
    EndpointName Endpoint = {};
    Incarnation Life = 0;
    /// It was seen in its place since the group got its number.
    bool Joined = false;
  };

  struct Group {
    GroupName Name;
    FencingNumber Number = 0;
    ServiceName Service;
    std::string Version;
    FabricDomainName FabricDomain;
    GroupState State = GroupState::Forming;
    std::vector<Member> Members;
    /// When the group got its number.
    TimePoint FormedAt;
    TimePoint BrokenSince;
    TimePoint DrainingSince;
    /// Of the first roster in which the group drains; zero before that.
    std::uint64_t DrainSequence = 0;
  };

  enum class Condition : std::uint8_t {
    Present,
    Joining,
    Paused,
    Leaving,
    Lost
  };

  /// What the members of a group have in common.
  struct Need {
    ServiceName Service;
    std::string Version;
    std::uint32_t Size = 0;
    FabricDomainName FabricDomain;

    bool operator==(const Need &) const = default;
  };

  static Need needOf(const Group &Of) {
    return {.Service = Of.Service,
            .Version = Of.Version,
            .Size = static_cast<std::uint32_t>(Of.Members.size()),
            .FabricDomain = Of.FabricDomain};
  }

  /// Where a member of a group is ordered to be.
  struct Placement {
    const Group *In = nullptr;
    std::uint32_t Rank = 0;
  };

  /// An order that loads weights, waiting for its turn.
  struct PendingJoin {
    const CensusEntry *Endpoint = nullptr;
    Placement To;
    std::uint32_t LoadsOfGroup = 0;
  };

  [[nodiscard]] bool mayAct(TimePoint Now) const;

  // GroupPlannerState.cpp: what became of the groups.
  void adopt(TimePoint Now);
  void adoptRoster(TimePoint Now);
  void adoptAnnounced(TimePoint Now);
  [[nodiscard]] bool isListed(const Group &Each) const;
  void fillIn(TimePoint Now, Group &Each);
  Condition silentCondition(TimePoint Now, TimePoint Since, Duration Lifetime,
                            const Member &Of) const;
  Condition condition(TimePoint Now, const Group &In, std::uint32_t Rank) const;
  void observe(TimePoint Now, Group &Each);
  void noteDarkFabrics(TimePoint Now);
  [[nodiscard]] bool isReturning(TimePoint Now,
                                 const FabricDomainName &Fabric) const;
  void followDrain(TimePoint Now, Group &Each);
  [[nodiscard]] bool isDrained(TimePoint Now, const Group &Each) const;
  [[nodiscard]] bool isOutdated(const Group &Each) const;
  [[nodiscard]] bool isMissing(TimePoint Now, const Group &In,
                               std::uint32_t Rank) const;
  [[nodiscard]] GroupPlace placeOf(const Group &In, std::uint32_t Rank) const;

  // GroupPlanner.cpp: what to do about it.
  void place(TimePoint Now);
  [[nodiscard]] bool isAvailable(TimePoint Now, const CensusEntry &Of) const;
  std::vector<Candidate> freeEndpoints(TimePoint Now, const Need &For) const;
  std::vector<Group *> brokenGroups(TimePoint Now);
  std::uint32_t survivors(TimePoint Now, const Group &Each) const;
  std::uint32_t donors(TimePoint Now, const Group &Each) const;
  void repair(TimePoint Now);
  void repairOne(TimePoint Now, Group &Broken,
                 std::span<Group *const> BrokenWorse);
  void replace(TimePoint Now, Group &Broken, std::vector<Candidate> Free);
  void dissolve(TimePoint Now, Group &Each, Duration Hold);
  Member memberFrom(const Candidate &Chosen) const;
  void form(TimePoint Now);
  void formInFabric(TimePoint Now, const Need &For);
  void publish();
  FencingNumber nextNumber();

  // GroupPlannerOrders.cpp: which orders that takes.
  void order(TimePoint Now);
  void orderLoadingJoins(TimePoint Now, std::vector<PendingJoin> Pending);
  void orderLeave(TimePoint Now, const CensusEntry &To);
  void orderJoin(TimePoint Now, const PendingJoin &Join, bool Loads);
  void submit(TimePoint Now, const Announcement &To, Order New, bool Loads);
  void send(TimePoint Now);
  [[nodiscard]] bool mustLoad(const CensusEntry &Of, Placement To) const;
  [[nodiscard]] std::uint32_t loadsUnderWay(TimePoint Now) const;

  PlannerOptions Options;
  std::unique_ptr<FormationPolicy> Formation;
  std::unique_ptr<RepairPolicy> Repair;
  FleetIntent Intent;
  FleetCensus Census;
  OrderBook Orders;
  DrainWatch Drains;
  /// Zero without a grant.
  std::uint64_t Epoch = 0;
  std::uint32_t Counter = 0;
  TimePoint GrantedAt;
  TimePoint ConfirmedAt;
  bool Adopted = false;
  /// When no endpoint of a fabric domain was last heard.
  std::map<FabricDomainName, TimePoint> LastDark;
  std::map<GroupName, Group> Groups;
  /// Rebuilt by place(); missing members have none.
  std::map<EndpointName, Placement> Placements;
  /// The newest roster known, whoever published it.
  Roster Published;
  std::vector<PlannerEffect> Effects;
};

} // namespace carobhinge

#endif // LIBFLEET_GROUPPLANNER_H
