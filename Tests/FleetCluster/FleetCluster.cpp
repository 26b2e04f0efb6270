//===- Tests/FleetCluster/FleetCluster.cpp - A simulated failure domain ---===//
///
/// \file
/// The clock, the links, the entry hosts and the control log.
///
//===----------------------------------------------------------------------===//

#include "FleetCluster.h"

#include <stdexcept>

namespace carobhinge {

using Milliseconds = std::chrono::milliseconds;

static constexpr Duration Tick = Milliseconds(50);
static constexpr std::uint64_t TicksPerSecond = 20;
static constexpr std::uint64_t TicksPerCheck = 4;
static constexpr Duration LinkDelay = Milliseconds(2);
static const FailureDomainName Domain = "tanta-a";
static const std::string Control = "control";

FleetCluster::FleetCluster(FleetClusterOptions Options)
    : Options(std::move(Options)), Random(this->Options.Seed),
      Monitor(TimePoint(), {}) {
  this->Intent.Services["sheets"] = {
      .HostsPerGroup = this->Options.HostsPerGroup, .Version = "v1"};
  for (std::uint32_t I = 1; I <= this->Options.EntryHosts; ++I) {
    HostName Name = "entry-" + std::to_string(I);
    this->Options.Planner.EntryHosts.push_back(Name);
    this->EntryHosts[Name].Name = Name;
  }
  this->Options.Planner.FailureDomain = Domain;
  for (auto &[Name, Host] : this->EntryHosts)
    this->startEntryHost(Host);
  for (std::uint32_t Fabric = 1; Fabric <= this->Options.FabricDomains;
       ++Fabric) {
    for (std::uint32_t I = 1; I <= this->Options.EnginesPerFabric; ++I) {
      Announcement First;
      First.Endpoint =
          "engine-" + std::to_string(Fabric) + "-" + std::to_string(I);
      First.Host = "host-of-" + First.Endpoint;
      First.FailureDomain = Domain;
      First.FabricDomain = "fabric-" + std::to_string(Fabric);
      First.Service = "sheets";
      First.Address = First.Endpoint;
      First.Accelerators = 8;
      First.IncarnationNumber = 1;
      First.ChecksFencing = this->Options.ChecksFencing;
      First.BatchLimit = 16;
      this->Engines.emplace(First.Endpoint,
                            FakeEngine(First, this->Options.Times));
    }
  }
}

void FleetCluster::startEntryHost(EntryHost &Host) {
  DirectoryOptions Directory;
  Directory.Self = Host.Name;
  Directory.FailureDomain = Domain;
  Directory.EntryHosts = this->Options.Planner.EntryHosts;
  Host.Directory = std::make_unique<EndpointDirectory>(Directory);
  Host.Planner = std::make_unique<GroupPlanner>(this->Options.Planner);
  Host.Directory->applyIntent(this->Intent);
  Host.Planner->applyIntent(this->Intent);
  Host.GrantedEpoch = 0;
  Host.Alive = true;
  Host.Frozen = false;
}

FakeEngine &FleetCluster::engine(const EndpointName &Name) {
  return this->Engines.at(Name);
}

FleetCluster::EntryHost &FleetCluster::entryHost(const HostName &Name) {
  return this->EntryHosts.at(Name);
}

HostName FleetCluster::holder() const {
  const PlannerGrant *Grant = this->Grants.find(Domain);
  return Grant ? Grant->Host : HostName();
}

bool FleetCluster::occurs(std::uint32_t PerMille) {
  return this->Random() % 1000 < PerMille;
}

void FleetCluster::run(Duration Passed) {
  for (Duration Done = Duration::zero(); Done < Passed; Done += Tick)
    this->tick();
}

bool FleetCluster::runUntil(const std::function<bool()> &Holds,
                            Duration Limit) {
  for (Duration Done = Duration::zero(); Done < Limit; Done += Tick) {
    if (Holds())
      return true;
    this->tick();
  }
  return Holds();
}

void FleetCluster::send(std::string From, std::string To, MessageKind Kind,
                        std::function<void()> Deliver) {
  Envelope Message = {.At = this->Now + LinkDelay,
                      .From = std::move(From),
                      .To = std::move(To),
                      .Kind = Kind,
                      .Deliver = std::move(Deliver)};
  MessageFault Fault;
  if (this->OnSend)
    this->OnSend(Message, Fault);
  if (Fault.Lost)
    return;
  if (Fault.Duplicated)
    this->enqueue(Message);
  Message.At += Fault.Delay;
  this->enqueue(std::move(Message));
}

void FleetCluster::enqueue(Envelope Message) {
  TimePoint At = Message.At;
  this->InFlightMessages.emplace(At, std::move(Message));
}

bool FleetCluster::isReachable(const Envelope &Message) const {
  if (this->Cuts.contains({Message.From, Message.To}))
    return false;
  auto Engine = this->Engines.find(Message.To);
  if (Engine != this->Engines.end())
    return Engine->second.Alive;
  auto Host = this->EntryHosts.find(Message.To);
  return Host == this->EntryHosts.end() || Host->second.Alive;
}

bool FleetCluster::isHalted(const std::string &Node) const {
  auto Engine = this->Engines.find(Node);
  if (Engine != this->Engines.end())
    return Engine->second.Paused;
  auto Host = this->EntryHosts.find(Node);
  return Host != this->EntryHosts.end() && Host->second.Frozen;
}

void FleetCluster::deliverDue() {
  while (!this->InFlightMessages.empty() &&
         this->InFlightMessages.begin()->first <= this->Now) {
    Envelope Message =
        std::move(this->InFlightMessages.extract(this->InFlightMessages.begin())
                      .mapped());
    if (!this->isReachable(Message))
      continue;
    if (this->isHalted(Message.To))
      this->HeldMessages[Message.To].push_back(std::move(Message));
    else
      Message.Deliver();
  }
  for (auto &[Node, Queue] : this->HeldMessages) {
    while (!Queue.empty() && !this->isHalted(Node)) {
      Envelope Next = std::move(Queue.front());
      Queue.pop_front();
      if (this->isReachable(Next))
        Next.Deliver();
    }
  }
}

void FleetCluster::tick() {
  this->Now += Tick;
  ++this->Ticks;
  this->deliverDue();
  std::uint64_t Offset = 0;
  for (auto &[Name, Engine] : this->Engines) {
    ++Offset;
    if (!Engine.isRunning())
      continue;
    for (const EngineRequest &Ended : Engine.advance(this->Now))
      this->endRequest(Ended, Engine.Status.Position.Group);
    if ((this->Ticks + Offset) % TicksPerSecond == 0)
      this->announceFrom(Engine);
  }
  for (auto &[Name, Host] : this->EntryHosts) {
    ++Offset;
    if (!Host.Alive || Host.Frozen)
      continue;
    this->startRequests(Host);
    if ((this->Ticks + Offset) % TicksPerSecond == 0)
      this->runPeriodicWork(Host);
  }
  if (this->Ticks % TicksPerSecond == 0)
    for (const auto &Command : this->Monitor.tick(this->Now, this->Grants))
      this->Grants.apply(Command);
  if (this->Options.CheckInvariants && this->Ticks % TicksPerCheck == 0)
    this->check();
}

/// The periodic work of an entry host, once a second.
void FleetCluster::runPeriodicWork(EntryHost &Host) {
  Host.Directory->tick(this->Now);
  this->pingControl(Host);
  OutstandingReport Report = {.EntryHost = Host.Name,
                              .Epoch = Host.Directory->roster().Epoch,
                              .Sequence = Host.Directory->roster().Sequence};
  Report.KnownEpoch = std::max(Report.Epoch, Host.GrantedEpoch);
  for (const auto &[Group, Requests] : Host.Outstanding)
    if (!Requests.empty())
      Report.Count[Group] = Requests.size();
  for (const auto &[Name, Other] : this->EntryHosts)
    this->send(Host.Name, Name, MessageKind::Outstanding,
               [this, Name = Name, Report] {
                 EntryHost &Receiver = this->entryHost(Name);
                 Receiver.Planner->recordOutstandingReport(this->Now, Report);
                 // The report contains the sender's roster version; a newer
                 // roster is sent back.
                 const Roster &CurrentRoster = Receiver.Directory->roster();
                 if (isNewer(CurrentRoster, {.FailureDomain = Domain,
                                             .Epoch = Report.Epoch,
                                             .Sequence = Report.Sequence}))
                   this->publish(Name, CurrentRoster);
               });
  this->proposeRecords(Host);
  this->plan(Host);
}

void FleetCluster::plan(EntryHost &Host) {
  for (PlannerEffect &Effect : Host.Planner->plan(this->Now))
    this->executeEffect(Host, Effect);
}

void FleetCluster::executeEffect(EntryHost &Host, PlannerEffect &Effect) {
  if (auto *Order = std::get_if<SendOrder>(&Effect))
    this->sendOrder(Host.Name, *Order);
  if (auto *Roster = std::get_if<PublishRoster>(&Effect)) {
    this->checkRoster(Roster->NewRoster);
    this->publish(Host.Name, Roster->NewRoster);
  }
  if (auto *Record = std::get_if<RecordOrder>(&Effect)) {
    message::PlannerCommand Command;
    auto &Body = *Command.mutable_record();
    Body.set_failure_domain(Domain);
    Body.set_epoch(Host.GrantedEpoch);
    auto Add = [](message::PlannerCommand::OpenOrder &To,
                  const RecordedOrder &From) {
      To.set_endpoint(From.Endpoint);
      To.set_incarnation(From.IncarnationNumber);
      To.set_number(From.Number);
    };
    Add(*Body.add_orders(), Record->Record);
    for (const RecordedOrder &Each : Record->Resolved)
      Add(*Body.add_settled(), Each);
    Host.Records.emplace(Record->Record.Number, std::move(Command));
    this->proposeRecords(Host);
  }
}

void FleetCluster::proposeRecords(EntryHost &Host) {
  for (const auto &[Number, Command] : Host.Records)
    this->send(Host.Name, Control, MessageKind::Control,
               [this, From = Host.Name, Number = Number, Command = Command] {
                 if (!this->Grants.apply(Command))
                   return;
                 this->send(
                     Control, From, MessageKind::Control, [this, From, Number] {
                       EntryHost &Receiver = this->entryHost(From);
                       if (Receiver.Records.erase(Number) > 0)
                         Receiver.Planner->markOrderRecorded(this->Now, Number);
                     });
               });
}

void FleetCluster::sendOrder(const HostName &From, const SendOrder &Effect) {
  this->send(From, Effect.Endpoint, MessageKind::Order,
             [this, From, To = Effect.Endpoint, Sent = Effect.Content] {
               OrderSendResult Result =
                   this->engine(To).handleOrder(this->Now, Sent);
               this->send(To, From, MessageKind::OrderAnswer,
                          [this, From, Number = Sent.Number, Result] {
                            this->entryHost(From).Planner->handleOrderResult(
                                Number, Result);
                          });
             });
}

void FleetCluster::publish(const HostName &From, const Roster &UpdatedRoster) {
  for (const auto &[Name, Host] : this->EntryHosts)
    this->send(From, Name, MessageKind::Roster,
               [this, Name = Name, UpdatedRoster] {
                 EntryHost &Receiver = this->entryHost(Name);
                 Receiver.Directory->updateRoster(UpdatedRoster);
                 Receiver.Planner->updateRoster(UpdatedRoster);
               });
}

void FleetCluster::pingControl(EntryHost &Host) {
  this->send(
      Host.Name, Control, MessageKind::Control,
      [this, Name = Host.Name, IncarnationNumber = Host.IncarnationNumber] {
        this->Monitor.recordPresence(this->Now, Domain, Name,
                                     IncarnationNumber);
        this->applyControlAnswer(Name, IncarnationNumber);
      });
}

void FleetCluster::applyControlAnswer(const HostName &To,
                                      Incarnation IncarnationNumber) {
  const PlannerGrant *Grant = this->Grants.find(Domain);
  if (!Grant)
    return;
  this->send(Control, To, MessageKind::Control,
             [this, To, IncarnationNumber, Current = *Grant] {
               EntryHost &Receiver = this->entryHost(To);
               if (Receiver.IncarnationNumber != IncarnationNumber ||
                   Current.Epoch < Receiver.GrantedEpoch)
                 return;
               if (Current.Host != To ||
                   Current.HostIncarnation != IncarnationNumber) {
                 Receiver.Planner->handleRevocation();
                 return;
               }
               if (Current.Epoch == Receiver.GrantedEpoch) {
                 Receiver.Planner->recordGrantConfirmation(this->Now);
                 return;
               }
               Receiver.GrantedEpoch = Current.Epoch;
               std::vector<RecordedOrder> Recorded;
               for (const auto &[Name, Each] : Current.Orders)
                 Recorded.push_back(Each);
               Receiver.Planner->handleGrant(this->Now, Current.Epoch,
                                             Recorded);
             });
}

/// Sends an announcement to a random entry host that is up, like the platform's
/// load balancer.
void FleetCluster::announceFrom(FakeEngine &Engine) {
  std::vector<HostName> Up;
  for (const auto &[Name, Host] : this->EntryHosts)
    if (Host.Alive && !Host.Frozen)
      Up.push_back(Name);
  Announcement Announced = Engine.announce();
  if (Up.empty())
    return;
  HostName To = Up[this->Random() % Up.size()];
  this->send(Announced.Endpoint, To, MessageKind::Announcement,
             [this, To, Announced] {
               TimePoint AnnouncedAt = this->Now;
               this->receiveAnnouncement(To, Announced, AnnouncedAt);
               for (const auto &[Name, Host] : this->EntryHosts)
                 if (Name != To)
                   this->send(To, Name, MessageKind::Relay,
                              [this, Name = Name, Announced, AnnouncedAt] {
                                this->receiveAnnouncement(Name, Announced,
                                                          AnnouncedAt);
                              });
             });
}

/// In reality a relayed announcement's age is known up to the link's delay; the
/// simulation knows it exactly.
void FleetCluster::receiveAnnouncement(const HostName &Receiver,
                                       const Announcement &Announced,
                                       TimePoint AnnouncedAt) {
  EntryHost &Host = this->entryHost(Receiver);
  Host.Directory->handleAnnouncement(this->Now, Announced,
                                     this->Now - AnnouncedAt);
  Host.Planner->handleAnnouncement(this->Now, Announced,
                                   this->Now - AnnouncedAt);
}

} // namespace carobhinge
