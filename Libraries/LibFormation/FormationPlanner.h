//===- LibFormation/FormationPlanner.h - Forms and repairs groups ---------===//
///
/// \file
/// Decides which engines form which groups. It runs at the leading control
/// host; groups are its only state, and a new leader reads them off the
/// engines' reports.
///
/// - A group stands inside one fabric domain. Its name stays while it is
///   repaired, its epoch grows with each list of members.
/// - A lost member is replaced by an engine of the same domain that holds the
///   model. Engines outside groups are kept as reserves: each joins a group of
///   its own that is never opened, so that its weights are at hand.
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
  /// Beyond the announced times before a member that isn't ready counts as
  /// faulty.
  Duration JoinMargin = std::chrono::seconds(3);
  /// Engines of a domain kept outside serving groups, if it can spare them.
  int LeastReserves = 1;
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
  /// Groups are read off the reports.
  void lead(TimePoint Now, FencingNumber Fence, const Catalog &InForce);

  /// Engines that are lost for certain; the set replaces the one before.
  void engineLost(TimePoint Now, const EndpointName &Id);
  void engineFound(const EndpointName &Id);
  [[nodiscard]] bool isLost(const EndpointName &Id) const {
    return this->Lost.contains(Id);
  }

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
  /// The engines of one fabric domain that no group needs.
  struct Pool {
    ServiceName Service;
    int Engines = 0;
    TimePoint NewestAt;
    std::vector<const EngineRecord *> Free;
    std::map<ModelName, int> Groups;
  };

  void adoptGroups(TimePoint Now, const Catalog &InForce);
  void advance(TimePoint Now, const Service &Of, PlannedGroup &Group);
  void advanceJoining(TimePoint Now, const Service &Of, PlannedGroup &Group);
  void advanceOpen(TimePoint Now, const Service &Of, PlannedGroup &Group);
  void repair(TimePoint Now, const Service &Of, PlannedGroup &Group);
  void dissolve(TimePoint Now, PlannedGroup &Group);
  void advanceDissolving(TimePoint Now, PlannedGroup &Group);
  void enter(TimePoint Now, PlannedGroup &Group, GroupPhase Phase);

  [[nodiscard]] std::map<FabricDomainName, Pool> pools(const Service &Of) const;
  void formGroups(TimePoint Now, const Service &Of);
  void formInitially(TimePoint Now, const Service &Of,
                     const FabricDomainName &Fabric, Pool &Idle);
  void formFromReserves(TimePoint Now, const Service &Of,
                        const FabricDomainName &Fabric, Pool &Idle);
  void keepReserves(TimePoint Now, const Service &Of, Pool &Idle);
  void releaseStrays(TimePoint Now);
  void create(TimePoint Now, const Service &Of, const ModelSpec &Model,
              const FabricDomainName &Fabric,
              std::vector<const EngineRecord *> Members);
  [[nodiscard]] std::map<ModelName, double> enginesByModel() const;
  [[nodiscard]] std::vector<int>
  chooseCounts(const EngineSpec &Spec, int Engines,
               const std::map<ModelName, double> &Serving) const;

  [[nodiscard]] bool isUsable(const EndpointName &Id) const;
  [[nodiscard]] bool isLeaving(const EndpointName &Id) const;
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
  std::uint64_t Revision = 0;
  std::map<GroupName, PlannedGroup> Groups;
  /// Reserves: a group of one engine each, never opened. By engine.
  std::map<EndpointName, PlannedGroup> Reserves;
  std::map<EndpointName, TimePoint> Lost;
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
