//===- Tests/FleetCluster/FleetFaults.cpp - Faults and requests -----------===//
///
/// \file
/// Faults of the simulated domain, and the requests that it handles.
///
//===----------------------------------------------------------------------===//

#include "FleetCluster.h"

namespace carobhinge {

using Milliseconds = std::chrono::milliseconds;

void FleetCluster::killEntryHost(const HostName &Name) {
  EntryHost &Host = this->entryHost(Name);
  Host.Alive = false;
  Host.Outstanding.clear();
  Host.Records.clear();
  this->HeldMessages.erase(Name);
  // Engines cancel requests whose connection is closed.
  for (auto &[EngineName, Engine] : this->Engines)
    std::erase_if(Engine.Requests, [&Name](const EngineRequest &Each) {
      return Each.EntryHost == Name;
    });
}

void FleetCluster::restartEntryHost(const HostName &Name) {
  this->killEntryHost(Name);
  EntryHost &Host = this->entryHost(Name);
  ++Host.IncarnationNumber;
  this->startEntryHost(Host);
}

void FleetCluster::setFrozen(const HostName &Name, bool Frozen) {
  this->entryHost(Name).Frozen = Frozen;
}

void FleetCluster::markFaulty(const FakeEngine &Engine) {
  this->FaultyGroups.insert(Engine.Status.Position.Number);
}

void FleetCluster::pause(const EndpointName &Name) {
  FakeEngine &Engine = this->engine(Name);
  this->markFaulty(Engine);
  if (Engine.isRunning())
    Engine.pause(this->Now);
}

void FleetCluster::resume(const EndpointName &Name) {
  this->engine(Name).resume();
}

void FleetCluster::kill(const EndpointName &Name) {
  this->markFaulty(this->engine(Name));
  this->engine(Name).kill(this->Now);
  this->HeldMessages.erase(Name);
  this->dropRequests(Name);
}

void FleetCluster::restart(const EndpointName &Name) {
  this->kill(Name);
  this->engine(Name).restart(this->Now);
}

void FleetCluster::leave(const EndpointName &Name) {
  this->engine(Name).Status.Leaving = true;
  this->engine(Name).LeavingSince = this->Now;
}

void FleetCluster::cut(const std::string &FirstNode,
                       const std::string &SecondNode) {
  this->Cuts.insert({FirstNode, SecondNode});
  this->Cuts.insert({SecondNode, FirstNode});
}

void FleetCluster::setIntent(const FleetIntent &UpdatedIntent) {
  if (UpdatedIntent.IsDomainDrained && !this->Intent.IsDomainDrained)
    this->DomainDrainedSince = this->Now;
  if (!UpdatedIntent.IsDomainDrained)
    this->DomainDrainedSince = TimePoint::max();
  this->Intent = UpdatedIntent;
  for (auto &[Name, Host] : this->EntryHosts) {
    Host.Directory->applyIntent(UpdatedIntent);
    Host.Planner->applyIntent(UpdatedIntent);
  }
}

void FleetCluster::startRequests(EntryHost &Host) {
  static constexpr std::uint32_t TicksPerSecond = 20;
  std::uint32_t PerMille =
      this->Options.RequestsPerSecond * 1000 / TicksPerSecond;
  if (PerMille == 0 || !this->occurs(PerMille))
    return;
  std::vector<Target> Open;
  for (const Target &Each : Host.Directory->targets(this->Now, "sheets"))
    if (!Each.Draining && Host.Outstanding[Each.Name].size() < Each.SlotLimit)
      Open.push_back(Each);
  if (!Open.empty())
    this->startRequest(Host, Open[this->Random() % Open.size()]);
}

void FleetCluster::startRequest(EntryHost &Host, const Target &To) {
  static constexpr Duration AllowedDelay = std::chrono::seconds(5);
  EngineRequest Request;
  Request.EntryHost = Host.Name;
  Request.Id = ++this->RequestCount;
  Request.EndsAt =
      this->Now + Milliseconds(500 + static_cast<int>(this->Random() % 3000));
  Host.Outstanding[To.Name].emplace(Request.Id, To.Address);
  GroupPosition Position = {.Group = To.Name,
                            .Number = To.GroupNumber,
                            .Rank = 0,
                            .Size = this->Options.HostsPerGroup};
  const FakeEngine &Engine = this->engine(To.Address);
  if (Engine.Status.Leaving && this->Now - Engine.LeavingSince > AllowedDelay)
    this->violation("new request for the leaving engine " + To.Address);
  if (this->DomainDrainedSince <= this->Now - AllowedDelay)
    this->violation("new request in a drained failure domain");
  this->send(
      Host.Name, To.Address, MessageKind::Request,
      [this, Address = To.Address, Position, Request,
       IncarnationNumber = Host.IncarnationNumber] {
        // The engine cancels requests of an entry host that has ended,
        // as their connection is closed.
        const EntryHost &From = this->entryHost(Request.EntryHost);
        if (!From.Alive || From.IncarnationNumber != IncarnationNumber)
          return;
        if (this->engine(Address).startRequest(this->Now, Position, Request))
          ++this->RequestsStarted;
        else
          this->endRequest(Request, Position.Group);
      });
}

void FleetCluster::endRequest(const EngineRequest &Ended,
                              const GroupName &Group) {
  this->send(
      "", Ended.EntryHost, MessageKind::RequestEnd, [this, Ended, Group] {
        this->entryHost(Ended.EntryHost).Outstanding[Group].erase(Ended.Id);
      });
}

void FleetCluster::dropRequests(const EndpointName &Engine) {
  for (auto &[Name, Host] : this->EntryHosts)
    for (auto &[Group, Requests] : Host.Outstanding)
      std::erase_if(Requests, [&Engine](const auto &Each) {
        return Each.second == Engine;
      });
}

std::uint32_t FleetCluster::requestsCutOff() const {
  std::uint32_t Result = 0;
  for (const auto &[Name, Engine] : this->Engines)
    for (const auto &[Number, Count] : Engine.CutOff)
      Result += this->FaultyGroups.contains(Number) ? 0 : Count;
  return Result;
}

} // namespace carobhinge
