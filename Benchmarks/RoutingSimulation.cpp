//===- Benchmarks/RoutingSimulation.cpp - Simulated routing in domains ----===//
///
/// \file
/// Each step delivers the messages that are due, submits new requests, advances
/// the engines and runs the timers of the routers.
///
//===----------------------------------------------------------------------===//

#include "RoutingSimulation.h"

#include <LibCore/Hash.h>
#include <cmath>

namespace carobhinge {

static constexpr double StepSeconds = 0.01;
static constexpr double ReportIntervalSeconds = 0.5;
static constexpr double ReportLagSeconds = 0.3;
/// Delay from a state change of an engine until entry hosts receive it.
static constexpr double AnnouncementLagSeconds = 0.5;
static constexpr double IntraDomainDelaySeconds = 0.001;
static constexpr double InterDomainDelaySeconds = 0.002;
static constexpr unsigned PrefixesPerWorkspace = 30;
/// Weight and load of workspaces 0 and 1, as a multiple of the others.
static constexpr double LargeWorkspaceSize = 4;

static double workspaceSize(unsigned Workspace) {
  return Workspace < 2 ? LargeWorkspaceSize : 1;
}

static std::string domainName(unsigned Domain) {
  constexpr std::array Names{"tanta-a", "mansoura-b", "zagazig-c"};
  return Names.at(Domain);
}

RoutingSimulation::RoutingSimulation(SimulationPlan InitialPlan,
                                     const RouterPolicies &Policies,
                                     std::uint64_t Seed)
    : FaultRandom(hash64("chance", Seed)), Plan(std::move(InitialPlan)),
      ArrivalRandom(hash64("arrivals", Seed)) {
  for (unsigned I = 0; I < SimulatedDomains * this->Plan.EnginesPerDomain; ++I)
    this->Engines.emplace_back(this->Plan.Parameters);
  this->addHosts(Policies, Seed);
}

void RoutingSimulation::addHosts(const RouterPolicies &Policies,
                                 std::uint64_t Seed) {
  RouterOptions Options{.Service = "sheet-model", .Policies = Policies};
  for (unsigned I = 0; I < SimulatedWorkspaces; ++I)
    Options.Weights["workspace-" + std::to_string(I)] = workspaceSize(I);
  for (unsigned I = 0; I < SimulatedDomains * EntryHostsPerDomain; ++I) {
    Options.FailureDomain = domainName(I / EntryHostsPerDomain);
    Options.Seed = hash64("host", Seed + I);
    this->Hosts.push_back(std::make_unique<Router>(Options));
  }
  this->DispatchedAttempts.resize(this->Hosts.size());
  this->LastTargets.resize(SimulatedDomains);
}

TimePoint RoutingSimulation::now() const {
  // Starts at one hour, so that no computed time point is before the clock's
  // epoch.
  return TimePoint(3600s + std::chrono::duration_cast<Duration>(
                               std::chrono::duration<double>(this->Second)));
}

void RoutingSimulation::deliverAfter(double Delay,
                                     std::function<void()> Deliver) {
  double DeliveredAt = this->Second + Delay;
  this->Messages[DeliveredAt].push_back(
      {.DeliveredAt = DeliveredAt, .Deliver = std::move(Deliver)});
}

double RoutingSimulation::arrivalsPerSecond(unsigned Workspace) const {
  const EngineParameters &Parameters = this->Plan.Parameters;
  double Slowdown = 1 + Parameters.BatchSlowdown * (Parameters.BatchLimit - 1);
  double PerRequest =
      (this->Plan.MeanDecodeSeconds + Parameters.PrefillSeconds) * Slowdown;
  double Capacity = static_cast<double>(this->Engines.size()) *
                    Parameters.BatchLimit / PerRequest;
  double Sizes = 0;
  for (unsigned I = 0; I < SimulatedWorkspaces; ++I)
    Sizes += workspaceSize(I);
  double Factor = Workspace == 0 ? this->Plan.FirstWorkspaceFactor : 1;
  return Factor * this->Plan.Load * Capacity * workspaceSize(Workspace) / Sizes;
}

void RoutingSimulation::submitArrivals() {
  for (unsigned I = 0; I < SimulatedWorkspaces; ++I) {
    std::poisson_distribution<unsigned> Count(this->arrivalsPerSecond(I) *
                                              StepSeconds);
    std::exponential_distribution<double> Decode(1 /
                                                 this->Plan.MeanDecodeSeconds);
    for (unsigned Remaining = Count(this->ArrivalRandom); Remaining > 0;
         --Remaining) {
      PendingRequest Each{.Workspace = I, .ArrivedAt = this->Second};
      bool IsSheet = this->ArrivalRandom() % 4 != 0;
      Each.Deadline =
          this->Second + (IsSheet ? this->Plan.SheetDeadlineSeconds
                                  : this->Plan.ReportDeadlineSeconds);
      // Bounded, because engines limit the length of an answer.
      Each.DecodeSeconds = std::min(Decode(this->ArrivalRandom),
                                    4 * this->Plan.MeanDecodeSeconds);
      std::uint64_t Prefix = this->ArrivalRandom() % PrefixesPerWorkspace;
      auto Host =
          static_cast<unsigned>(this->ArrivalRandom() % this->Hosts.size());
      Each.HomeDomain = Host / EntryHostsPerDomain;
      Each.Request = {.Id = ++this->LastRequest,
                      .Workspace = "workspace-" + std::to_string(I),
                      .Class = IsSheet ? "sheet" : "report",
                      .Priority = IsSheet ? 0 : 1,
                      .Idempotent = this->Plan.Idempotent,
                      .ArrivedAt = this->now(),
                      .Deadline = this->now() +
                                  std::chrono::milliseconds(std::lround(
                                      (Each.Deadline - this->Second) * 1e3)),
                      .PrefixHash = hash64(std::to_string(Prefix), I + 1)};
      ++this->Result.Workspaces[I].Offered;
      this->submit(Host, Each);
    }
  }
}

void RoutingSimulation::submit(unsigned Host, const PendingRequest &Each) {
  this->PendingRequests[Each.Request.Id] = Each;
  this->Hosts[Host]->submit(this->now(), Each.Request);
  this->performEffects(Host);
}

void RoutingSimulation::performEffects(unsigned Host) {
  for (const RoutingEffect &Effect : this->Hosts[Host]->takeEffects())
    std::visit([&](const auto &Each) { this->performEffect(Host, Each); },
               Effect);
}

void RoutingSimulation::performEffect(unsigned Host, const Dispatch &Effect) {
  ++this->Result.Dispatches;
  auto Engine = static_cast<unsigned>(std::stoul(Effect.TargetName));
  this->DispatchedAttempts[Host][Effect.Attempt] = {.Request = Effect.Request,
                                                    .Engine = Engine};
  const PendingRequest &Each = this->PendingRequests.at(Effect.Request);
  std::bernoulli_distribution FailsMidway(this->FailingShare);
  EngineWork Work{.EntryHost = Host,
                  .Attempt = Effect.Attempt,
                  .PrefixHash = Each.Request.PrefixHash,
                  .DecodeSeconds = Each.DecodeSeconds,
                  .FailsMidway = FailsMidway(this->FaultRandom)};
  bool Accepted =
      this->Engines[Engine].CurrentIncarnation == Effect.IncarnationNumber &&
      this->Engines[Engine].accept(this->Second, Work);
  if (!Accepted)
    this->deliverAfter(
        IntraDomainDelaySeconds, [this, Host, Attempt = Effect.Attempt] {
          this->finishAttempt(Host, Attempt, AttemptResult::FailedBeforeSend);
        });
}

void RoutingSimulation::performEffect(unsigned Host,
                                      const CancelAttempt &Effect) {
  unsigned Engine = this->DispatchedAttempts[Host].at(Effect.Attempt).Engine;
  bool WasPresent = this->Engines[Engine].cancel(Host, Effect.Attempt);
  if (WasPresent)
    this->deliverAfter(
        IntraDomainDelaySeconds, [this, Host, Attempt = Effect.Attempt] {
          this->finishAttempt(Host, Attempt, AttemptResult::Cancelled);
        });
}

void RoutingSimulation::performEffect(unsigned /*Host*/, const Refuse &Effect) {
  const PendingRequest &Each = this->PendingRequests.at(Effect.Request);
  WorkspaceResult &Workspace = this->Result.Workspaces[Each.Workspace];
  ++(Effect.MayHaveRun ? Workspace.RefusedAfterDispatch : Workspace.Refused);
  this->PendingRequests.erase(Effect.Request);
}

void RoutingSimulation::performEffect(unsigned /*Host*/,
                                      const Forward &Effect) {
  ++this->Result.Forwards;
  PendingRequest Each = this->PendingRequests.at(Effect.Request);
  Each.Request.Forwarded = true;
  unsigned Domain = 0;
  while (domainName(Domain) != Effect.FailureDomain)
    ++Domain;
  auto Host = static_cast<unsigned>(Domain * EntryHostsPerDomain +
                                    Effect.Request % EntryHostsPerDomain);
  this->deliverAfter(InterDomainDelaySeconds,
                     [this, Host, Each] { this->submit(Host, Each); });
}

void RoutingSimulation::finishAttempt(unsigned Host, AttemptId Attempt,
                                      AttemptResult Result) {
  RequestId Request = this->DispatchedAttempts[Host].at(Attempt).Request;
  this->DispatchedAttempts[Host].erase(Attempt);
  bool IsComplete = Result == AttemptResult::Complete;
  if (auto Found = this->PendingRequests.find(Request);
      IsComplete && Found != this->PendingRequests.end()) {
    this->recordAnswer(Found->second);
    this->PendingRequests.erase(Found);
  }
  this->Hosts[Host]->reportOutcome(this->now(), Attempt, {.Result = Result});
  this->performEffects(Host);
}

void RoutingSimulation::recordAnswer(const PendingRequest &Each) {
  WorkspaceResult &Workspace = this->Result.Workspaces[Each.Workspace];
  bool InTime = this->Second <= Each.Deadline;
  ++(InTime ? Workspace.InTime : Workspace.Late);
  if (InTime)
    this->Result.UsefulSeconds += Each.DecodeSeconds;
  Workspace.TotalLatencies.push_back(this->Second - Each.ArrivedAt);
  if (!Each.Request.Forwarded)
    this->Result.UnforwardedTotals.push_back(this->Second - Each.ArrivedAt);
}

void RoutingSimulation::stepEngines() {
  for (unsigned I = 0; I < this->Engines.size(); ++I) {
    for (const EngineEvent &Event :
         this->Engines[I].step(this->Second, StepSeconds)) {
      if (Event.Type == EngineEvent::Kind::FirstByte) {
        auto Pending =
            this->PendingRequests.find(this->DispatchedAttempts[Event.EntryHost]
                                           .at(Event.Attempt)
                                           .Request);
        if (Pending != this->PendingRequests.end())
          this->Result.Workspaces[Pending->second.Workspace]
              .FirstByteLatencies.push_back(this->Second -
                                            Pending->second.ArrivedAt);
        this->Hosts[Event.EntryHost]->reportFirstByte(this->now(),
                                                      Event.Attempt);
        this->performEffects(Event.EntryHost);
        continue;
      }
      this->finishAttempt(Event.EntryHost, Event.Attempt,
                          Event.Type == EngineEvent::Kind::Complete
                              ? AttemptResult::Complete
                              : AttemptResult::FailedAfterSend);
    }
  }
}

std::vector<Target> RoutingSimulation::domainTargets(unsigned Domain) const {
  std::vector<Target> Targets;
  for (unsigned I = 0; I < this->Plan.EnginesPerDomain; ++I) {
    unsigned Engine = Domain * this->Plan.EnginesPerDomain + I;
    const SimulatedEngine &State = this->Engines[Engine];
    if (State.isDown(this->Second))
      continue;
    Target Each;
    Each.Name = std::to_string(Engine);
    Each.IncarnationNumber = State.CurrentIncarnation;
    Each.WarmingUp = State.isCold(this->Second);
    bool Limited = Each.WarmingUp && this->Plan.WarmUpLimit;
    Each.SlotLimit = (Limited ? this->Plan.Parameters.ColdLimit
                              : this->Plan.Parameters.BatchLimit) /
                     EntryHostsPerDomain;
    Each.Draining = this->Drained[Domain];
    Targets.push_back(std::move(Each));
  }
  return Targets;
}

/// Sends changed target lists to entry hosts, with the announcement delay.
void RoutingSimulation::refreshTargets() {
  for (unsigned Domain = 0; Domain < SimulatedDomains; ++Domain) {
    std::vector<Target> Targets = this->domainTargets(Domain);
    if (Targets == this->LastTargets[Domain])
      continue;
    double Lag = this->LastTargets[Domain].empty() ? 0 : AnnouncementLagSeconds;
    this->LastTargets[Domain] = Targets;
    this->deliverAfter(Lag, [this, Domain, Targets] {
      for (unsigned I = 0; I < EntryHostsPerDomain; ++I) {
        unsigned Host = Domain * EntryHostsPerDomain + I;
        this->Hosts[Host]->setTargets(this->now(), Targets);
        this->performEffects(Host);
      }
    });
  }
}

void RoutingSimulation::exchangeReports() {
  for (unsigned I = 0; I < this->Engines.size(); ++I) {
    ReportedLoad Load{.Running = this->Engines[I].load(),
                      .ReceivedAt = this->now()};
    Incarnation ReportedIncarnation = this->Engines[I].CurrentIncarnation;
    unsigned Domain = I / this->Plan.EnginesPerDomain;
    this->deliverAfter(
        ReportLagSeconds, [this, I, Domain, ReportedIncarnation, Load] {
          for (unsigned J = 0; J < EntryHostsPerDomain; ++J)
            this->Hosts[Domain * EntryHostsPerDomain + J]->reportLoad(
                std::to_string(I), ReportedIncarnation, Load);
        });
  }
  std::vector<DomainSummary> Summaries(SimulatedDomains);
  for (unsigned Host = 0; Host < this->Hosts.size(); ++Host) {
    DomainSummary HostSummary = this->Hosts[Host]->summary();
    DomainSummary &Sum = Summaries[Host / EntryHostsPerDomain];
    HostSummary.SpareSlots += Sum.SpareSlots;
    HostSummary.Queued += Sum.Queued;
    HostSummary.SlotTime = std::max(HostSummary.SlotTime, Sum.SlotTime);
    Sum = HostSummary;
  }
  this->deliverAfter(ReportLagSeconds, [this, Summaries] {
    for (unsigned Host = 0; Host < this->Hosts.size(); ++Host) {
      std::vector<DomainSummary> OtherDomains = Summaries;
      OtherDomains.erase(OtherDomains.begin() + Host / EntryHostsPerDomain);
      for (DomainSummary &Each : OtherDomains)
        Each.ReceivedAt = this->now();
      this->Hosts[Host]->setSpilloverDomains(this->now(), OtherDomains);
    }
  });
}

SimulationResult RoutingSimulation::run() {
  auto Steps = static_cast<unsigned>(this->Plan.Seconds / StepSeconds);
  constexpr auto StepsPerReport =
      static_cast<unsigned>(ReportIntervalSeconds / StepSeconds);
  for (unsigned Step = 0; Step < Steps; ++Step) {
    this->Second = Step * StepSeconds;
    if (this->Plan.Event)
      this->Plan.Event(*this, this->Second);
    this->refreshTargets();
    if (Step % StepsPerReport == 0)
      this->exchangeReports();
    while (!this->Messages.empty() &&
           this->Messages.begin()->first <= this->Second) {
      std::deque<Message> DueMessages =
          std::move(this->Messages.begin()->second);
      this->Messages.erase(this->Messages.begin());
      for (const Message &Each : DueMessages)
        Each.Deliver();
    }
    this->submitArrivals();
    this->stepEngines();
    for (unsigned Host = 0; Host < this->Hosts.size(); ++Host) {
      this->Hosts[Host]->tick(this->now());
      this->performEffects(Host);
    }
  }
  std::uint64_t Hits = 0;
  std::uint64_t Lookups = 0;
  for (const SimulatedEngine &Each : this->Engines) {
    Hits += Each.CacheHits;
    Lookups += Each.CacheLookups;
    this->Result.OverColdLimit += Each.OverColdLimit;
    this->Result.Crashes += Each.Crashes;
    this->Result.WorkSeconds += Each.WorkSeconds;
  }
  this->Result.CacheHitShare =
      static_cast<double>(Hits) /
      static_cast<double>(std::max<std::uint64_t>(1, Lookups));
  return std::move(this->Result);
}

} // namespace carobhinge
