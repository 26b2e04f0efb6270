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
    if (Engine.Report.Group &&
        Engine.Report.Group->State == MemberState::Joining &&
        this->Now >= Engine.ReadyAt) {
      Engine.Report.Group->State = MemberState::Ready;
      Engine.Report.Staged = {Engine.InMemory};
      this->report(Engine);
    }
}

void FormationWorld::carryOut(const EngineOrder &Order) {
  FakeEngine &Engine = this->Engines.at(Order.To);
  if (!Engine.Alive || Engine.CutOff)
    return;
  const auto &Group = Engine.Report.Group;
  bool Fits =
      Group && Group->Group == Order.Group && Group->Epoch == Order.Epoch;
  OrderResult Result = OrderResult::Accepted;
  if (Order.Verb == OrderVerb::Join && Order.Epoch < Engine.HighestEpoch)
    Result = OrderResult::Outdated;
  else if (Order.Verb == OrderVerb::Join && !Fits)
    this->join(Engine, Order);
  else if (Order.Verb == OrderVerb::Open && Fits)
    this->open(Engine, Order);
  else if (Order.Verb == OrderVerb::Leave && Fits)
    Engine.Report.Group.reset();
  this->report(Engine);
  this->Planner->answered(this->Now, Order, Result);
}

void FormationWorld::join(FakeEngine &Engine, const EngineOrder &Order) {
  const auto &Old = Engine.Report.Group;
  if (Old && Old->Group != Order.Group)
    for (const auto &[Id, Other] : this->Engines)
      if (Other.Alive && Other.Report.Group &&
          Other.Report.Group->Group == Old->Group &&
          Other.Report.Group->Rank == 0 &&
          Other.Report.Group->State == MemberState::Open)
        this->Broken.push_back(Order.To + " joined " + Order.Group + " while " +
                               Old->Group + " was open");
  const EngineSpec &Spec = *this->InForce.Services.front().Engine;
  const ModelSpec &Model = *Spec.model(Order.Model);
  bool Staged = std::ranges::find(Engine.Report.Staged, Order.Model) !=
                Engine.Report.Staged.end();
  Duration Time = Model.LoadTime;
  if (Engine.InMemory == Order.Model && Staged)
    Time = std::chrono::milliseconds(200);
  else if (Staged)
    Time = Model.StagedJoinTime;
  Engine.ReadyAt = this->Now + Time;
  Engine.InMemory = Order.Model;
  Engine.HighestEpoch = Order.Epoch;
  auto Rank = std::ranges::find(Order.Members, Order.To);
  Engine.Report.Group =
      GroupMembership{.Group = Order.Group,
                      .Epoch = Order.Epoch,
                      .Rank = static_cast<int>(Rank - Order.Members.begin()),
                      .State = MemberState::Joining};
}

void FormationWorld::open(FakeEngine &Engine, const EngineOrder &Order) {
  int Ready = 0;
  for (const auto &[Id, Member] : this->Engines)
    if (Member.Report.Group && Member.Report.Group->Group == Order.Group &&
        Member.Report.Group->Epoch == Order.Epoch &&
        Member.Report.Group->State != MemberState::Joining)
      ++Ready;
  const EngineSpec &Spec = *this->InForce.Services.front().Engine;
  if (Ready != Spec.model(modelOfGroup(Order.Group))->GroupSize)
    this->Broken.push_back(Order.Group + " was opened with " +
                           std::to_string(Ready) + " members ready");
  Engine.Report.Group->State = MemberState::Open;
}

void FormationWorld::crash(const EndpointName &Id) {
  this->Engines.at(Id).Alive = false;
  this->Planner->engineLost(this->Now, Id);
}

void FormationWorld::cutOff(const EndpointName &Id, bool Off) {
  this->Engines.at(Id).CutOff = Off;
  if (Off)
    this->Planner->engineLost(this->Now, Id);
  else
    this->Planner->engineFound(Id);
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

int FormationWorld::loading() const {
  return static_cast<int>(
      std::ranges::count_if(this->Engines, [&](const auto &Entry) {
        const FakeEngine &Engine = Entry.second;
        return Engine.Alive && Engine.Report.Group &&
               Engine.Report.Group->State == MemberState::Joining &&
               Engine.ReadyAt - this->Now > seconds(2);
      }));
}

EndpointName FormationWorld::someMember(const ModelName &Model) const {
  for (const auto &[Name, Group] : this->Planner->groups())
    if (Group.Model == Model && Group.Phase == GroupPhase::Open)
      return Group.Members.back();
  return {};
}

} // namespace carobhinge
