//===- Tests/LibFormation/FormationWorld.h - Engines that take orders -----===//
///
/// \file
/// Stand-in engines that carry out the planner's orders on a hand-turned clock,
/// and report when anything about them has changed.
///
//===----------------------------------------------------------------------===//

#ifndef TESTS_LIBFORMATION_FORMATIONWORLD_H
#define TESTS_LIBFORMATION_FORMATIONWORLD_H

#include <LibFormation/FormationPlanner.h>
#include <LibFormation/GroupNames.h>
#include <LibStandIn/EngineCrowd.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carobhinge {

struct FakeEngine {
  EngineReport Report;
  bool Alive = true;
  /// Orders don't reach it and its reports don't reach the control hosts.
  bool CutOff = false;
};

class FormationWorld {
public:
  FormationWorld();

  /// Adds \p Count engines to a fabric domain.
  void add(const FailureDomainName &Place, const FabricDomainName &Fabric,
           int Count);
  /// Passes \p Time in steps of the leader's tick.
  void run(Duration Time);
  /// The engine falls silent for good.
  void crash(const EndpointName &Id);
  void cutOff(const EndpointName &Id, bool Off);
  void loseOrder(std::function<bool(const EngineOrder &)> Lost) {
    this->OrderLost = std::move(Lost);
  }
  /// Another control host takes over with a higher fence.
  void changeLeader();
  /// The new leader knows only a report of \p Id from before it was in a group.
  void changeLeaderWithOldReportOf(const EndpointName &Id);
  void carryOut(const EngineOrder &Order);

  [[nodiscard]] int open(const ModelName &Model) const;
  /// The model whose weights an engine holds or loads.
  [[nodiscard]] const ModelName &modelOf(const EndpointName &Id) const {
    return this->Crowd.member(Id).model();
  }
  [[nodiscard]] int loading() const { return this->Crowd.loading(); }
  /// What broke a rule; empty as it should be.
  [[nodiscard]] const std::vector<std::string> &broken() const {
    return this->Crowd.broken();
  }
  /// A member of an open group, the head left out.
  [[nodiscard]] EndpointName someMember(const ModelName &Model) const;

  Catalog InForce;
  EngineRegister Register;
  std::unique_ptr<FormationPlanner> Planner;
  std::map<EndpointName, FakeEngine> Engines;
  std::vector<EngineOrder> Orders;
  TimePoint Now{std::chrono::hours(1)};
  FencingNumber Fence = 1;

private:
  void finishJoins();
  void report(FakeEngine &Engine);

  EngineCrowd Crowd;

  std::function<bool(const EngineOrder &)> OrderLost;
  int LastEngine = 0;
};

} // namespace carobhinge

#endif // TESTS_LIBFORMATION_FORMATIONWORLD_H
