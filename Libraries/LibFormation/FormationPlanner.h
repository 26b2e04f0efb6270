//===- LibFormation/FormationPlanner.h - Forms and repairs groups ---------===//
///
/// \file
/// Decides which engines form which groups. It runs at the leading control
/// host; groups are its only state, and a new leader reads them off the
/// engines' reports.
///
/// - Each fabric domain serves one model, so that whatever is left over in it
///   can take the place of any member that is lost: a host keeps the weights
///   of one model only, and loading others takes longer than a group may miss
///   a member.
/// - A group stands inside one fabric domain. Its name stays while it is
///   repaired, its epoch grows with each list of members.
/// - Engines outside groups are kept as reserves: each joins a group of its
///   own that is never opened, so that its weights are at hand.
/// - An engine joins another group only after it left its last one and says
///   so: a group that is given up tells all its members to leave.
///
/// No clock, no sockets: it is told the time, the reports and the evidence of
/// loss, and returns orders.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFORMATION_FORMATIONPLANNER_H
#define LIBFORMATION_FORMATIONPLANNER_H

#include <LibCatalog/Catalog.h>
#include <LibFormation/EngineOrder.h>
#include <LibFormation/EngineRegister.h>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace carobhinge {

struct FormationOptions {
  /// A domain in which no engine appeared for this long is complete enough to
  /// be divided into groups; its engines start within a second of each other.
  Duration Settle = std::chrono::milliseconds(900);
  /// An order that had no effect is given again after this time: an engine
  /// answers and reports within a few milliseconds.
  Duration RepeatAfter = std::chrono::milliseconds(700);
  /// How long a group whose member leaves goes on with what it has.
  Duration FinishTime = std::chrono::milliseconds(1900);
  /// For this long after a change of leader groups are only read off the
  /// reports, and later only engines that were heard since are used: until
  /// then an order of the leader before may have reached them.
  Duration HandOver = std::chrono::milliseconds(800);
  /// Beyond the announced times before a member that isn't ready counts as
  /// faulty, and how long it isn't used then.
  Duration JoinMargin = std::chrono::seconds(2);
  Duration Distrust = std::chrono::seconds(5);
  /// A model that the failure domain has already is preferred only where it
  /// is served this much worse than the other.
  double SameModelPenalty = 1.75;
};

enum class GroupPhase {
  /// Members take up the newest list.
  Joining,
  /// All are ready; the head was told to serve.
  Opening,
  Open,
  /// A member leaves: no new requests, what runs is finished.
  Finishing,
  /// The members are told to leave.
  Dissolving,
};

struct PlannedGroup {
  GroupName Name;
  ServiceName Service;
  ModelName Model;
  FabricDomainName Fabric;
  std::uint64_t Epoch = 0;
  /// The head stands first.
  std::vector<EndpointName> Members;
  GroupPhase Phase = GroupPhase::Joining;
  TimePoint Since;
  /// When all members must be ready.
  TimePoint ReadyBy;

  [[nodiscard]] const EndpointName &head() const {
    return this->Members.front();
  }
};

class FormationPlanner {
public:
  /// \p Engines must outlive the planner.
  FormationPlanner(FormationOptions Options, const EngineRegister &Engines)
      : Options(Options), Engines(Engines) {}

  /// This host leads from now on with \p Fence, which no earlier leader had.
  /// Groups are read off the reports. Before \p HeardBy this host may not have
  /// heard of all engines; until then nothing is changed.
  void lead(TimePoint Now, FencingNumber Fence, const Catalog &InForce,
            TimePoint HeardBy = TimePoint());
  /// Whether groups() holds all groups and is planned with.
  [[nodiscard]] bool settled(TimePoint Now) const {
    return Now >= this->LeadingSince;
  }

  /// An engine is lost for certain, until it is found again.
  void engineLost(TimePoint Now, const EndpointName &Id);
  void engineFound(TimePoint Now, const EndpointName &Id);
  [[nodiscard]] bool isLost(const EndpointName &Id) const {
    return this->Lost.contains(Id);
  }

  /// The first requests came. Loads take their full time from now on.
  void trafficBegan() { this->TrafficBegan = true; }

  /// Brings the groups one step further. \returns the orders to give now.
  std::vector<EngineOrder> plan(TimePoint Now, const Catalog &InForce);

  void answered(TimePoint Now, const EngineOrder &Order, OrderResult Result);

  [[nodiscard]] const std::map<GroupName, PlannedGroup> &groups() const {
    return this->Groups;
  }
  /// Grows whenever a group changes.
  [[nodiscard]] std::uint64_t revision() const { return this->Revision; }

  /// What became of the engines, for logs and metrics. Engines that hold no
  /// model or are lost are counted under the empty name.
  struct Census {
    std::int64_t Open = 0;
    std::int64_t Forming = 0;
    std::int64_t Other = 0;
    std::int64_t Reserves = 0;
    std::int64_t Loading = 0;
    std::int64_t Lost = 0;
    std::int64_t Idle = 0;
  };
  [[nodiscard]] std::map<ModelName, Census> census() const;

private:
  struct SentOrder {
    OrderVerb Verb = OrderVerb::Join;
    GroupName Group;
    std::uint64_t Epoch = 0;
    TimePoint At;
    OrderResult Result = OrderResult::Unanswered;
  };
  /// One fabric domain.
  struct Domain {
    FailureDomainName Place;
    /// Engines that can be used, in groups or not.
    int Engines = 0;
    TimePoint NewestAt;
    /// When the last one came, also one that was out of reach before.
    TimePoint CompleteSince;
    /// Those that are in no group.
    std::vector<const EngineRecord *> Free;
    int Groups = 0;
  };
  using Domains = std::map<FabricDomainName, Domain>;

  void adoptGroups(TimePoint Now, const Catalog &InForce);
  void advance(TimePoint Now, const Service &Of, PlannedGroup &Group);
  void advanceJoining(TimePoint Now, const Service &Of, PlannedGroup &Group);
  void advanceOpen(TimePoint Now, const Service &Of, PlannedGroup &Group);
  void repair(TimePoint Now, const Service &Of, PlannedGroup &Group);
  void dissolve(TimePoint Now, PlannedGroup &Group);
  void advanceDissolving(TimePoint Now, PlannedGroup &Group);
  void enter(TimePoint Now, PlannedGroup &Group, GroupPhase Phase);

  [[nodiscard]] Domains domains(const Service &Of) const;
  void formGroups(TimePoint Now, const Service &Of);
  void assignModels(TimePoint Now, const EngineSpec &Spec, const Domains &All);
  [[nodiscard]] const ModelSpec *
  chooseModel(const EngineSpec &Spec, const Domains &All,
              const FabricDomainName &Fabric) const;
  void formInDomain(TimePoint Now, const Service &Of, const ModelSpec &Model,
                    const FabricDomainName &Fabric, Domain &Its);
  void keepReserves(TimePoint Now, const Service &Of, Domains &All);
  void makeReserve(TimePoint Now, const Service &Of, const ModelName &Model,
                   const EngineRecord &Engine);
  void releaseStrays(TimePoint Now);
  void create(TimePoint Now, const Service &Of, const ModelSpec &Model,
              const FabricDomainName &Fabric,
              std::span<const EngineRecord *const> Members);
  [[nodiscard]] int loading() const;
  [[nodiscard]] Duration joinTime(const ModelSpec &Model,
                                  std::span<const EndpointName> Members) const;

  [[nodiscard]] bool isUsable(const EndpointName &Id) const;
  [[nodiscard]] bool isDistrusted(const EngineRecord &Record) const;
  [[nodiscard]] const GroupMembership *
  membership(const EndpointName &Id, const PlannedGroup &Group) const;
  /// The model whose weights are in the engine's memory, as far as known.
  [[nodiscard]] ModelName modelInMemory(const EngineRecord &Record) const;
  [[nodiscard]] bool holds(const EngineRecord &Record,
                           const ModelName &Model) const;
  [[nodiscard]] bool isBound(const EngineRecord &Record,
                             const GroupName &Other) const;
  [[nodiscard]] std::optional<EndpointName>
  findReplacement(const PlannedGroup &Group) const;
  [[nodiscard]] std::set<EndpointName> taken() const;

  void order(TimePoint Now, const EndpointName &To, OrderVerb Verb,
             const PlannedGroup &Group);
  bool takeLoad(TimePoint Now, const EngineSpec &Spec);
  std::uint64_t nextEpoch();

  FormationOptions Options;
  const EngineRegister &Engines;
  FencingNumber Fence = 0;
  std::uint64_t LastEpoch = 0;
  TimePoint LeadingSince;
  bool TrafficBegan = false;
  std::uint64_t Revision = 0;
  std::map<GroupName, PlannedGroup> Groups;
  /// Reserves: a group of one engine each, never opened. By engine.
  std::map<EndpointName, PlannedGroup> Reserves;
  std::map<EndpointName, TimePoint> Lost;
  /// When engines that were lost were found again.
  std::map<EndpointName, TimePoint> FoundAt;
  /// Engines that failed to join, until they are tried again.
  std::map<EndpointName, TimePoint> DistrustedUntil;
  /// The model that each domain serves.
  std::map<FabricDomainName, ModelName> Assigned;
  /// The last order to each engine.
  std::map<EndpointName, SentOrder> Sent;
  /// Model of the last group that each engine of a life joined.
  std::map<EndpointName, std::pair<std::int64_t, ModelName>> InMemory;
  /// When loads during service were begun.
  std::vector<TimePoint> Loads;
  std::vector<EngineOrder> Orders;
};

} // namespace carobhinge

#endif // LIBFORMATION_FORMATIONPLANNER_H
