//===- Tests/LibFormation/FormationWorld.cpp - Engines that take orders ---===//

#include "FormationWorld.h"

#include <algorithm>

namespace carobhinge {

using std::chrono::seconds;

static constexpr auto Tick = std::chrono::milliseconds(100);

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
  this->InForce.Version = 1;
  this->InForce.Services = {
      {.Name = "sheets", .HealthPath = "/", .Engine = Spec}};
  this->Planner =
      std::make_unique<FormationPlanner>(FormationOptions(), this->Register);
  this->Planner->lead(this->Now, this->Fence, this->InForce);
}

void FormationWorld::add(const FailureDomainName &Place,
                         const FabricDomainName &Fabric, int Count) {
  for (int I = 0; I < Count; ++I) {
    int Number = ++this->LastEngine;
    EndpointName Id = "engine-" + std::to_string(1000 + Number);
    FakeEngine &Added = this->Engines[Id];
    this->Crowd.add(Id, *this->InForce.Services.front().Engine);
    Added.Report = {.Id = Id,
                    .Address = "10.0.0.1:" + std::to_string(Number),
                    .Service = "sheets",
                    .FailureDomain = Place,
                    .Fabric = Fabric,
                    .BornMs = 1000 + Number,
                    .Slots = 26};
    this->report(Added);
  }
}

void FormationWorld::report(FakeEngine &Engine) {
  ++Engine.Report.Sequence;
  const GroupMember &Member = this->Crowd.member(Engine.Report.Id);
  Engine.Report.Group = Member.membership();
  Engine.Report.Staged = Member.staged();
  if (Engine.Alive && !Engine.CutOff)
    this->Register.accept(this->Now, Engine.Report);
}

void FormationWorld::run(Duration Time) {
  for (TimePoint End = this->Now + Time; this->Now < End; this->Now += Tick) {
    this->finishJoins();
    if (this->Now.time_since_epoch() % seconds(1) == Duration::zero())
      for (auto &[Id, Engine] : this->Engines)
        this->report(Engine);
    std::vector<EngineOrder> Given =
        this->Planner->plan(this->Now, this->InForce);
    // They travel on their own connections: the last may arrive first.
    std::ranges::reverse(Given);
    for (const EngineOrder &Order : Given) {
      this->Orders.push_back(Order);
      if (this->OrderLost && this->OrderLost(Order))
        continue;
      this->carryOut(Order);
    }
  }
}

void FormationWorld::finishJoins() {
  for (auto &[Id, Engine] : this->Engines)
    if (Engine.Alive && this->Crowd.member(Id).advance(this->Now))
      this->report(Engine);
}

void FormationWorld::carryOut(const EngineOrder &Order) {
  FakeEngine &Engine = this->Engines.at(Order.To);
  if (!Engine.Alive || Engine.CutOff)
    return;
  OrderResult Result = this->Crowd.carryOut(this->Now, Order);
  this->report(Engine);
  this->Planner->answered(this->Now, Order, Result);
}

void FormationWorld::crash(const EndpointName &Id) {
  this->Engines.at(Id).Alive = false;
  this->Crowd.setAlive(Id, false);
  this->Planner->engineLost(this->Now, Id);
}

void FormationWorld::cutOff(const EndpointName &Id, bool Off) {
  this->Engines.at(Id).CutOff = Off;
  if (Off)
    this->Planner->engineLost(this->Now, Id);
  else
    this->Planner->engineFound(this->Now, Id);
}

void FormationWorld::changeLeaderWithOldReportOf(const EndpointName &Id) {
  EngineReport Old = this->Engines.at(Id).Report;
  Old.Sequence = 1;
  Old.Group.reset();
  this->Register = EngineRegister();
  for (auto &[Each, Engine] : this->Engines)
    if (Each != Id)
      this->report(Engine);
  this->Register.accept(this->Now - seconds(1), Old);
  this->changeLeader();
}

void FormationWorld::changeLeader() {
  ++this->Fence;
  this->Planner =
      std::make_unique<FormationPlanner>(FormationOptions(), this->Register);
  this->Planner->trafficBegan();
  this->Planner->lead(this->Now, this->Fence, this->InForce);
}

int FormationWorld::open(const ModelName &Model) const {
  return static_cast<int>(
      std::ranges::count_if(this->Planner->groups(), [&](const auto &Entry) {
        return Entry.second.Model == Model &&
               Entry.second.Phase == GroupPhase::Open;
      }));
}

EndpointName FormationWorld::someMember(const ModelName &Model) const {
  for (const auto &[Name, Group] : this->Planner->groups())
    if (Group.Model == Model && Group.Phase == GroupPhase::Open)
      return Group.Members.back();
  return {};
}

} // namespace carobhinge
