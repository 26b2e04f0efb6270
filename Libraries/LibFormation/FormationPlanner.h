//===- LibFormation/FormationPlanner.h - Forms and repairs groups ---------===//
///
/// \file
/// Decides which engines form which groups. It runs on the leading control
/// host. The groups are its only state, and a new leader restores them from the
/// engines' reports.
///
/// - Fabric domains without weights are divided among the models all at once
///   (EngineDivision), while loads are still fast. Later an engine keeps the
///   model that its host holds: loading another takes longer than a group can
///   run without a member. New engines load what ReservePolicy chooses.
/// - All members of a group are in one fabric domain. A repaired group keeps
///   its name, and its epoch increases with each member list.
/// - Engines outside of groups are reserves: each joins a group of its own that
///   is never opened, so that its host has the weights ready.
/// - An engine joins another group only after it has reported that it left its
///   previous group. A group that is dissolved orders all its members to leave.
/// - A group is repaired or dissolved only if it is known to be broken. One
///   whose members are all silent is kept until it is heard again, or until the
///   registry forgets its members: its engines may be working undisturbed.
///
/// The planner uses no clock and no sockets: the caller passes in the time, the
/// reports and the lost engines, and sends the orders that it returns.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFORMATION_FORMATIONPLANNER_H
#define LIBFORMATION_FORMATIONPLANNER_H

#include <LibCatalog/Catalog.h>
#include <LibFormation/EngineDivision.h>
#include <LibFormation/EngineFailureDetector.h>
#include <LibFormation/EngineOrder.h>
#include <LibFormation/EngineRegistry.h>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace carobhinge {

/// Time limits and weights of the planner.
struct FormationOptions {
  /// A fabric domain is divided into groups once no new engine has appeared for
  /// this long. The engines of a domain start within a second of each other.
  Duration StabilizationTime = std::chrono::milliseconds(900);
  /// An order without effect is resent after this time. An engine answers and
  /// reports within a few milliseconds.
  Duration OrderResendInterval = std::chrono::milliseconds(700);
  /// Time in which a group with a leaving member finishes its requests.
  Duration FinishTime = std::chrono::milliseconds(1900);
  /// For this long a new leader only restores groups from the reports, and
  /// afterwards it only uses engines that have reported since. Until then an
  /// order of the previous leader may still have reached them.
  Duration TakeoverDelay = std::chrono::milliseconds(800);
  /// Time after the expected join time until a member that isn't ready counts
  /// as faulty, and the time for which it is then quarantined.
  Duration JoinMargin = std::chrono::seconds(2);
  Duration QuarantineTime = std::chrono::seconds(5);
  /// A fabric domain without weights waits this long for the others, which
  /// may still be missing engines, so that all are divided together.
  Duration DivisionDelay = std::chrono::seconds(3);
};

/// Lifecycle of a group.
enum class GroupPhase {
  /// Members are joining under the newest member list.
  Joining,
  /// All members are ready; the head was ordered to serve.
  Opening,
  /// The group serves.
  Open,
  /// A member is leaving: running requests are finished, no others are sent.
  Finishing,
  /// A member is lost by silence, but no other one was heard all the while that
  /// would show the group to be broken. Gets no requests and no orders.
  Silent,
  /// The members are ordered to leave.
  Dissolving,
};

/// A group as the leader has planned it.
struct PlannedGroup {
  GroupName Name;
  ServiceName Service;
  ModelName Model;
  FabricDomainName Fabric;
  std::uint64_t Epoch = 0;
  /// The head is first.
  std::vector<EndpointName> Members;
  GroupPhase Phase = GroupPhase::Joining;
  /// Start of the phase, or time of the last order to open.
  TimePoint LastActionAt;
  /// Members that aren't ready by then count as faulty.
  TimePoint ReadyDeadline;

  [[nodiscard]] const EndpointName &head() const {
    return this->Members.front();
  }
};

/// Forms, repairs and dissolves the groups of all services.
class FormationPlanner {
public:
  /// \p Engines must outlive the planner.
  FormationPlanner(FormationOptions Options, const EngineRegistry &Engines)
      : Options(Options), Engines(Engines) {}

  /// Starts to lead with the fencing token \p NewToken, which is higher than
  /// that of all earlier leaders. Groups are restored from the reports. Until
  /// \p ReportsCompleteAt this host may lack reports of some engines and gives
  /// no orders.
  void startLeading(TimePoint Now, FencingToken NewToken,
                    const Catalog &CurrentCatalog,
                    TimePoint ReportsCompleteAt = TimePoint());
  /// \returns whether the takeover is complete: groups() has all groups, and
  /// plan() may return orders.
  [[nodiscard]] bool isTakeoverComplete(TimePoint Now) const {
    return Now >= this->TakeoverEndsAt;
  }

  /// Marks an engine as lost until markEngineFound(). \returns whether it
  /// wasn't lost, or only silent and now refuses connections.
  bool markEngineLost(const EndpointName &Id, const EngineLoss &Loss);
  void markEngineFound(TimePoint Now, const EndpointName &Id);
  [[nodiscard]] bool isLost(const EndpointName &Id) const {
    return this->LostEngines.contains(Id);
  }

  /// The group with the member list of \p Epoch stands still. It is formed
  /// anew, of the same engines if they are usable: this ends the step that
  /// holds it up. \returns whether that is new.
  bool markStandingStill(const GroupName &Name, std::uint64_t Epoch);

  /// Called when the first requests have arrived. From now on loads from the
  /// weight store take their full time and are limited.
  void markTrafficStarted() { this->TrafficStarted = true; }

  /// Advances all groups by one step. \returns the orders to send now.
  std::vector<EngineOrder> plan(TimePoint Now, const Catalog &CurrentCatalog);

  /// Records the result of an order that plan() returned.
  void recordOrderResult(TimePoint Now, const EngineOrder &Order,
                         OrderResult Result);

  [[nodiscard]] const std::map<GroupName, PlannedGroup> &groups() const {
    return this->Groups;
  }
  /// Increases whenever a group changes.
  [[nodiscard]] std::uint64_t revision() const { return this->Revision; }

  /// Groups by state, and engines outside of groups, of one model. For logs and
  /// metrics.
  struct EngineCounts {
    /// Groups.
    std::int64_t Open = 0;
    std::int64_t Forming = 0;
    std::int64_t Other = 0;
    /// Engines.
    std::int64_t Reserves = 0;
    std::int64_t Loading = 0;
    std::int64_t Lost = 0;
    std::int64_t Idle = 0;
  };
  /// \returns the counts by model. Engines that are lost or aren't assigned to
  /// a model are counted under the empty name.
  [[nodiscard]] std::map<ModelName, EngineCounts> engineCounts() const;

private:
  /// The last order to an engine.
  struct SentOrder {
    OrderVerb Verb = OrderVerb::Join;
    GroupName Group;
    std::uint64_t Epoch = 0;
    TimePoint SentAt;
    OrderResult Result = OrderResult::Unanswered;
  };
  /// Summary of a fabric domain.
  struct FabricDomain {
    FailureDomainName FailureDomain;
    /// Usable engines, in groups or not.
    int Engines = 0;
    /// When the newest engine first reported.
    TimePoint NewestAt;
    /// When the last engine appeared or was reachable again.
    TimePoint CompleteSince;
    /// Engines that can be assigned to a group.
    std::vector<const EngineRecord *> Free;
    /// Groups that aren't dissolving.
    std::map<ModelName, int> Groups;
  };
  using Domains = std::map<FabricDomainName, FabricDomain>;

  void restoreGroups(TimePoint Now, const Catalog &CurrentCatalog);
  void restoreGroup(TimePoint Now, const Catalog &CurrentCatalog,
                    const GroupName &Name, std::uint64_t Epoch,
                    const std::map<int, const EngineRecord *> &MembersByRank);
  void advance(TimePoint Now, const Service &ServiceSpec, PlannedGroup &Group);
  void advanceJoining(TimePoint Now, const Service &ServiceSpec,
                      PlannedGroup &Group);
  void advanceOpen(TimePoint Now, const Service &ServiceSpec,
                   PlannedGroup &Group);
  void repair(TimePoint Now, const Service &ServiceSpec, PlannedGroup &Group);
  void dissolve(TimePoint Now, PlannedGroup &Group);
  void advanceDissolving(TimePoint Now, PlannedGroup &Group);
  void enterPhase(TimePoint Now, PlannedGroup &Group, GroupPhase Phase);

  [[nodiscard]] Domains collectDomains(const Service &ServiceSpec) const;
  void formGroups(TimePoint Now, const Service &ServiceSpec);
  [[nodiscard]] EngineDivision
  currentDivision(const Service &ServiceSpec) const;
  [[nodiscard]] bool isBlank(const FabricDomain &Domain) const;
  void divideBlankDomains(TimePoint Now, const Service &ServiceSpec,
                          Domains &All, EngineDivision &Division);
  void formGroupsOfHolders(TimePoint Now, const Service &ServiceSpec,
                           const ModelSpec &Model,
                           const FabricDomainName &Fabric,
                           FabricDomain &Domain);
  /// An engine without the weights that it should hold.
  struct LoadCandidate {
    const EngineRecord *Engine = nullptr;
    ModelName Model = {};
    /// Engines that serve the model, relative to its share of the load.
    double CapacityRatio = 0;
    /// Engines that the next group of the domain still lacks.
    int MissingEngines = 0;
  };
  void chooseLoads(TimePoint Now, const Service &ServiceSpec,
                   const FabricDomain &Domain, EngineDivision &Division,
                   std::vector<LoadCandidate> &Loads);
  void maintainReserves(TimePoint Now, const Service &ServiceSpec, Domains &All,
                        EngineDivision &Division);
  void createReserve(TimePoint Now, const Service &ServiceSpec,
                     const ModelName &Model, const EngineRecord &Engine);
  void releaseOrphans(TimePoint Now);
  void createGroup(TimePoint Now, const Service &ServiceSpec,
                   const ModelSpec &Model, const FabricDomainName &Fabric,
                   std::span<const EngineRecord *const> Members);
  [[nodiscard]] int countRunningLoads() const;
  [[nodiscard]] Duration joinTime(const ModelSpec &Model,
                                  std::span<const EndpointName> Members) const;

  [[nodiscard]] bool isUsable(const EndpointName &Id) const;
  [[nodiscard]] bool mayBeSound(TimePoint Now, const EndpointName &Id,
                                const PlannedGroup &Group) const;
  [[nodiscard]] bool isQuarantined(const EngineRecord &Record) const;
  [[nodiscard]] const GroupMembership *
  findMembership(const EndpointName &Id, const PlannedGroup &Group) const;
  /// \returns the model whose weights are in the engine's memory, or an empty
  /// name if unknown.
  [[nodiscard]] ModelName modelInMemory(const EngineRecord &Record) const;
  [[nodiscard]] bool holdsModel(const EngineRecord &Record,
                                const ModelName &Model) const;
  [[nodiscard]] bool isInOtherServingGroup(const EngineRecord &Record,
                                           const GroupName &GroupToJoin) const;
  [[nodiscard]] std::optional<EndpointName>
  findReplacement(const PlannedGroup &Group) const;
  [[nodiscard]] std::set<EndpointName> groupedEngines() const;

  void issueOrder(TimePoint Now, const EndpointName &Recipient, OrderVerb Verb,
                  const PlannedGroup &Group);
  bool tryStartLoad(TimePoint Now, const EngineSpec &Spec);
  std::uint64_t nextEpoch();

  FormationOptions Options;
  const EngineRegistry &Engines;
  FencingToken LeaderToken = 0;
  std::uint64_t LastEpoch = 0;
  /// End of the takeover. Engines whose last report is older get no new group.
  TimePoint TakeoverEndsAt;
  bool TrafficStarted = false;
  std::uint64_t Revision = 0;
  std::map<GroupName, PlannedGroup> Groups;
  /// Groups of one engine that are never opened, by engine.
  std::map<EndpointName, PlannedGroup> Reserves;
  std::map<EndpointName, EngineLoss> LostEngines;
  /// Epochs of the member lists with which groups stand still.
  std::map<GroupName, std::uint64_t> StandingStill;
  /// When lost engines were found again.
  std::map<EndpointName, TimePoint> RecoveredAt;
  /// Engines that failed to join and aren't used until the given time.
  std::map<EndpointName, TimePoint> QuarantinedUntil;
  /// The last order to each engine.
  std::map<EndpointName, SentOrder> LastOrders;
  /// The start time of each engine's incarnation and the model of the last
  /// group that it joined.
  std::map<EndpointName, std::pair<std::int64_t, ModelName>> LoadedModels;
  /// Start times of recent loads from the weight store.
  std::vector<TimePoint> LoadStarts;
  /// Orders for plan() to return.
  std::vector<EngineOrder> PendingOrders;
};

} // namespace carobhinge

#endif // LIBFORMATION_FORMATIONPLANNER_H
