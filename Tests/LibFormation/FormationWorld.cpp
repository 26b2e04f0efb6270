//===- Tests/LibFormation/FormationWorld.cpp - Planner with fake engines --===//

#include "FormationWorld.h"

#include <algorithm>

namespace carobhinge {

using std::chrono::seconds;

static constexpr auto TickInterval = std::chrono::milliseconds(100);

FormationWorld::FormationWorld() {
  EngineSpec Spec{.Slots = 26, .LoadsPerSecond = 4.5, .ConcurrentLoads = 6};
  Spec.OpenTime = std::chrono::milliseconds(300);
  Spec.Models = {{.Name = "large",
                  .GroupSize = 4,
                  .InitialShare = 0.57,
                  .LoadTime = seconds(16),
                  .StagedJoinTime = std::chrono::milliseconds(1600)},
                 {.Name = "small",
                  .GroupSize = 3,
                  .InitialShare = 0.43,
                  .LoadTime = seconds(12),
                  .StagedJoinTime = std::chrono::milliseconds(1100)}};
  this->CurrentCatalog.Version = 1;
  this->CurrentCatalog.Services = {
      {.Name = "sheets", .HealthPath = "/", .Engine = Spec}};
  this->Planner =
      std::make_unique<FormationPlanner>(FormationOptions(), this->Registry);
  this->Planner->startLeading(this->Now, this->LeaderToken,
                              this->CurrentCatalog);
}

void FormationWorld::addEngines(const FailureDomainName &FailureDomain,
                                const FabricDomainName &Fabric, int Count) {
  for (int I = 0; I < Count; ++I) {
    int Number = ++this->LastEngine;
    EndpointName Id = "engine-" + std::to_string(1000 + Number);
    FakeEngine &Added = this->Engines[Id];
    this->Pool.add(Id, *this->CurrentCatalog.Services.front().Engine);
    Added.Report = {.Id = Id,
                    .Address = "10.0.0.1:" + std::to_string(Number),
                    .Service = "sheets",
                    .FailureDomain = FailureDomain,
                    .Fabric = Fabric,
                    .StartedAtMs = 1000 + Number,
                    .Slots = 26};
    this->sendReport(Added);
  }
}

void FormationWorld::sendReport(FakeEngine &Engine) {
  ++Engine.Report.Sequence;
  const GroupMember &Member = this->Pool.member(Engine.Report.Id);
  Engine.Report.Group = Member.membership();
  Engine.Report.StagedModels = Member.staged();
  if (Engine.Alive && !Engine.Partitioned)
    this->Registry.accept(this->Now, Engine.Report);
}

void FormationWorld::run(Duration Time) {
  for (TimePoint End = this->Now + Time; this->Now < End;
       this->Now += TickInterval) {
    this->finishJoins();
    if (this->Now.time_since_epoch() % seconds(1) == Duration::zero())
      for (auto &[Id, Engine] : this->Engines)
        this->sendReport(Engine);
    std::vector<EngineOrder> NewOrders =
        this->Planner->plan(this->Now, this->CurrentCatalog);
    // Orders use separate connections, so the last one may arrive first.
    std::ranges::reverse(NewOrders);
    for (const EngineOrder &Order : NewOrders) {
      this->Orders.push_back(Order);
      if (this->ShouldDropOrder && this->ShouldDropOrder(Order))
        continue;
      this->deliver(Order);
    }
  }
}

void FormationWorld::finishJoins() {
  for (auto &[Id, Engine] : this->Engines)
    if (Engine.Alive && this->Pool.member(Id).advance(this->Now))
      this->sendReport(Engine);
}

void FormationWorld::deliver(const EngineOrder &Order) {
  FakeEngine &Engine = this->Engines.at(Order.Recipient);
  if (!Engine.Alive || Engine.Partitioned)
    return;
  OrderResult Result = this->Pool.executeOrder(this->Now, Order);
  this->sendReport(Engine);
  this->Planner->recordOrderResult(this->Now, Order, Result);
}

void FormationWorld::crash(const EndpointName &Id) {
  this->Engines.at(Id).Alive = false;
  this->Pool.setRunning(Id, false);
  this->Planner->markEngineLost(Id, {.Reason = LossReason::Refused,
                                     .Since = this->Now,
                                     .HeardAt = this->Now});
}

void FormationWorld::setPartitioned(const EndpointName &Id, bool Disconnect) {
  this->Engines.at(Id).Partitioned = Disconnect;
  if (Disconnect)
    this->Planner->markEngineLost(Id, {.Reason = LossReason::Silent,
                                       .Since = this->Now,
                                       .HeardAt = this->Now});
  else
    this->Planner->markEngineFound(this->Now, Id);
}

void FormationWorld::changeLeaderWithStaleReport(const EndpointName &Id) {
  EngineReport Stale = this->Engines.at(Id).Report;
  Stale.Sequence = 1;
  Stale.Group.reset();
  this->Registry = EngineRegistry();
  for (auto &[Each, Engine] : this->Engines)
    if (Each != Id)
      this->sendReport(Engine);
  this->Registry.accept(this->Now - seconds(1), Stale);
  this->changeLeader();
}

void FormationWorld::restartControlWithoutReportOf(const EndpointName &Id,
                                                   Duration ReportTime) {
  this->Registry = EngineRegistry();
  for (auto &[Each, Engine] : this->Engines)
    if (Each != Id)
      this->sendReport(Engine);
  ++this->LeaderToken;
  this->Planner =
      std::make_unique<FormationPlanner>(FormationOptions(), this->Registry);
  this->Planner->markTrafficStarted();
  this->Planner->startLeading(this->Now, this->LeaderToken,
                              this->CurrentCatalog, this->Now + ReportTime);
}

void FormationWorld::changeLeader() {
  ++this->LeaderToken;
  this->Planner =
      std::make_unique<FormationPlanner>(FormationOptions(), this->Registry);
  this->Planner->markTrafficStarted();
  this->Planner->startLeading(this->Now, this->LeaderToken,
                              this->CurrentCatalog);
}

int FormationWorld::countOpenGroups(const ModelName &Model) const {
  return static_cast<int>(
      std::ranges::count_if(this->Planner->groups(), [&](const auto &Entry) {
        return Entry.second.Model == Model &&
               Entry.second.Phase == GroupPhase::Open;
      }));
}

EndpointName FormationWorld::anyMemberExceptHead(const ModelName &Model) const {
  for (const auto &[Name, Group] : this->Planner->groups())
    if (Group.Model == Model && Group.Phase == GroupPhase::Open)
      return Group.Members.back();
  return {};
}

} // namespace carobhinge
