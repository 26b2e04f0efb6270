//===- Benchmarks/RoutingSimulation.cpp - Three failure domains in steps --===//
///
/// \file
/// One step: what was on its way arrives, requests come in, engines advance,
/// timers fire.
///
//===----------------------------------------------------------------------===//

#include "RoutingSimulation.h"

#include <LibCore/Hash.h>
#include <cmath>

namespace carobhinge {

static constexpr double StepSeconds = 0.01;
static constexpr double ReportEverySeconds = 0.5;
static constexpr double ReportLagSeconds = 0.3;
/// From an engine's change of state until entry hosts act on it.
static constexpr double AnnouncementLagSeconds = 0.5;
static constexpr double InsideDomainSeconds = 0.001;
static constexpr double BetweenDomainsSeconds = 0.002;
static constexpr unsigned PrefixesPerWorkspace = 30;
/// Workspaces 0 and 1 are large: this many times a small one.
static constexpr double LargeWorkspace = 4;

static double sizeOf(unsigned Workspace) {
  return Workspace < 2 ? LargeWorkspace : 1;
}

static std::string domainName(unsigned Domain) {
  constexpr std::array Names{"tanta-a", "mansoura-b", "zagazig-c"};
  return Names.at(Domain);
}

RoutingSimulation::RoutingSimulation(SimulationPlan Given,
                                     const RouterPolicies &Policies,
                                     std::uint64_t Seed)
    : Chance(hash64("chance", Seed)), Plan(std::move(Given)),
      Arrivals(hash64("arrivals", Seed)) {
  for (unsigned I = 0; I < SimulatedDomains * this->Plan.EnginesPerDomain; ++I)
    this->Engines.emplace_back(this->Plan.Shape);
  this->addHosts(Policies, Seed);
}

void RoutingSimulation::addHosts(const RouterPolicies &Policies,
                                 std::uint64_t Seed) {
  RouterOptions Options{.Service = "sheet-model", .Policies = Policies};
  for (unsigned I = 0; I < SimulatedWorkspaces; ++I)
    Options.Weights["workspace-" + std::to_string(I)] = sizeOf(I);
  for (unsigned I = 0; I < SimulatedDomains * EntryHostsPerDomain; ++I) {
    Options.FailureDomain = domainName(I / EntryHostsPerDomain);
    Options.Seed = hash64("host", Seed + I);
    this->Hosts.push_back(std::make_unique<Router>(Options));
  }
  this->Flights.resize(this->Hosts.size());
  this->LastTargets.resize(SimulatedDomains);
}

TimePoint RoutingSimulation::now() const {
  // An hour on, so that no time point lies before the clock's start.
  return TimePoint(3600s + std::chrono::duration_cast<Duration>(
                               std::chrono::duration<double>(this->Second)));
}

void RoutingSimulation::later(double Delay, std::function<void()> Deliver) {
  double At = this->Second + Delay;
  this->Messages[At].push_back({.At = At, .Deliver = std::move(Deliver)});
}

double RoutingSimulation::arrivalsPerSecond(unsigned Workspace) const {
  const EngineShape &Shape = this->Plan.Shape;
  double Slowdown = 1 + Shape.BatchSlowdown * (Shape.BatchLimit - 1);
  double PerRequest =
      (this->Plan.MeanDecodeSeconds + Shape.PrefillSeconds) * Slowdown;
  double Capacity =
      static_cast<double>(this->Engines.size()) * Shape.BatchLimit / PerRequest;
  double Sizes = 0;
  for (unsigned I = 0; I < SimulatedWorkspaces; ++I)
    Sizes += sizeOf(I);
  double Factor = Workspace == 0 ? this->Plan.FirstWorkspaceFactor : 1;
  return Factor * this->Plan.Load * Capacity * sizeOf(Workspace) / Sizes;
}

void RoutingSimulation::arrivals() {
  for (unsigned I = 0; I < SimulatedWorkspaces; ++I) {
    std::poisson_distribution<unsigned> Count(this->arrivalsPerSecond(I) *
                                              StepSeconds);
    std::exponential_distribution<double> Decode(1 /
                                                 this->Plan.MeanDecodeSeconds);
    for (unsigned Left = Count(this->Arrivals); Left > 0; --Left) {
      Caller Each{.Workspace = I, .ArrivedAt = this->Second};
      bool IsSheet = this->Arrivals() % 4 != 0;
      Each.Deadline = this->Second + (IsSheet ? this->Plan.SheetDeadline
                                              : this->Plan.ReportDeadline);
      // Bounded, as an engine's longest answer is.
      Each.DecodeSeconds =
          std::min(Decode(this->Arrivals), 4 * this->Plan.MeanDecodeSeconds);
      std::uint64_t Prefix = this->Arrivals() % PrefixesPerWorkspace;
      auto Host = static_cast<unsigned>(this->Arrivals() % this->Hosts.size());
      Each.Home = Host / EntryHostsPerDomain;
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

void RoutingSimulation::submit(unsigned Host, const Caller &Each) {
  this->Callers[Each.Request.Id] = Each;
  this->Hosts[Host]->submit(this->now(), Each.Request);
  this->carryOut(Host);
}

void RoutingSimulation::carryOut(unsigned Host) {
  for (const RoutingEffect &Effect : this->Hosts[Host]->takeEffects())
    std::visit([&](const auto &Each) { this->perform(Host, Each); }, Effect);
}

void RoutingSimulation::perform(unsigned Host, const Dispatch &Effect) {
  ++this->Result.Dispatches;
  auto Engine = static_cast<unsigned>(std::stoul(Effect.TargetName));
  this->Flights[Host][Effect.Attempt] = {.Request = Effect.Request,
                                         .Engine = Engine};
  const Caller &Each = this->Callers.at(Effect.Request);
  std::bernoulli_distribution Doomed(this->DoomedShare);
  EngineWork Work{.EntryHost = Host,
                  .Attempt = Effect.Attempt,
                  .PrefixHash = Each.Request.PrefixHash,
                  .DecodeSeconds = Each.DecodeSeconds,
                  .Doomed = Doomed(this->Chance)};
  bool Reached = this->Engines[Engine].Life == Effect.Life &&
                 this->Engines[Engine].accept(this->Second, Work);
  if (!Reached)
    this->later(InsideDomainSeconds, [this, Host, Attempt = Effect.Attempt] {
      this->finish(Host, Attempt, AttemptResult::FailedBeforeSend);
    });
}

void RoutingSimulation::perform(unsigned Host, const CancelAttempt &Effect) {
  unsigned Engine = this->Flights[Host].at(Effect.Attempt).Engine;
  bool WasThere = this->Engines[Engine].cancel(Host, Effect.Attempt);
  if (WasThere)
    this->later(InsideDomainSeconds, [this, Host, Attempt = Effect.Attempt] {
      this->finish(Host, Attempt, AttemptResult::Cancelled);
    });
}

void RoutingSimulation::perform(unsigned /*Host*/, const Refuse &Effect) {
  const Caller &Each = this->Callers.at(Effect.Request);
  WorkspaceResult &Workspace = this->Result.Workspaces[Each.Workspace];
  ++(Effect.MayHaveRun ? Workspace.Broken : Workspace.Refused);
  this->Callers.erase(Effect.Request);
}

void RoutingSimulation::perform(unsigned /*Host*/, const Forward &Effect) {
  ++this->Result.Forwards;
  Caller Each = this->Callers.at(Effect.Request);
  Each.Request.Forwarded = true;
  unsigned Domain = 0;
  while (domainName(Domain) != Effect.FailureDomain)
    ++Domain;
  auto Host = static_cast<unsigned>(Domain * EntryHostsPerDomain +
                                    Effect.Request % EntryHostsPerDomain);
  this->later(BetweenDomainsSeconds,
              [this, Host, Each] { this->submit(Host, Each); });
}

void RoutingSimulation::finish(unsigned Host, AttemptId Attempt,
                               AttemptResult Result) {
  RequestId Request = this->Flights[Host].at(Attempt).Request;
  this->Flights[Host].erase(Attempt);
  bool Wanted = Result == AttemptResult::Complete;
  if (auto Found = this->Callers.find(Request);
      Wanted && Found != this->Callers.end()) {
    this->answered(Found->second);
    this->Callers.erase(Found);
  }
  this->Hosts[Host]->finished(this->now(), Attempt, {.Result = Result});
  this->carryOut(Host);
}

void RoutingSimulation::answered(const Caller &Each) {
  WorkspaceResult &Workspace = this->Result.Workspaces[Each.Workspace];
  bool InTime = this->Second <= Each.Deadline;
  ++(InTime ? Workspace.InTime : Workspace.Late);
  if (InTime)
    this->Result.UsefulSeconds += Each.DecodeSeconds;
  Workspace.Totals.push_back(this->Second - Each.ArrivedAt);
  if (!Each.Request.Forwarded)
    this->Result.HomeTotals.push_back(this->Second - Each.ArrivedAt);
}

void RoutingSimulation::stepEngines() {
  for (unsigned I = 0; I < this->Engines.size(); ++I) {
    for (const EngineEvent &Event :
         this->Engines[I].step(this->Second, StepSeconds)) {
      if (Event.What == EngineEvent::Kind::FirstByte) {
        auto Caller = this->Callers.find(
            this->Flights[Event.EntryHost].at(Event.Attempt).Request);
        if (Caller != this->Callers.end())
          this->Result.Workspaces[Caller->second.Workspace]
              .FirstBytes.push_back(this->Second - Caller->second.ArrivedAt);
        this->Hosts[Event.EntryHost]->firstByte(this->now(), Event.Attempt);
        this->carryOut(Event.EntryHost);
        continue;
      }
      this->finish(Event.EntryHost, Event.Attempt,
                   Event.What == EngineEvent::Kind::Complete
                       ? AttemptResult::Complete
                       : AttemptResult::FailedAfterSend);
    }
  }
}

std::vector<Target> RoutingSimulation::targetsOf(unsigned Domain) const {
  std::vector<Target> Targets;
  for (unsigned I = 0; I < this->Plan.EnginesPerDomain; ++I) {
    unsigned Engine = Domain * this->Plan.EnginesPerDomain + I;
    const SimulatedEngine &State = this->Engines[Engine];
    if (State.isDown(this->Second))
      continue;
    Target Each;
    Each.Name = std::to_string(Engine);
    Each.IncarnationNumber = State.Life;
    Each.WarmingUp = State.isCold(this->Second);
    bool Limited = Each.WarmingUp && this->Plan.WarmUpLimit;
    Each.SlotLimit =
        (Limited ? this->Plan.Shape.ColdLimit : this->Plan.Shape.BatchLimit) /
        EntryHostsPerDomain;
    Each.Draining = this->Out[Domain];
    Targets.push_back(std::move(Each));
  }
  return Targets;
}

/// Tells entry hosts of changes, after a while.
void RoutingSimulation::refreshTargets() {
  for (unsigned Domain = 0; Domain < SimulatedDomains; ++Domain) {
    std::vector<Target> Targets = this->targetsOf(Domain);
    if (Targets == this->LastTargets[Domain])
      continue;
    double Lag = this->LastTargets[Domain].empty() ? 0 : AnnouncementLagSeconds;
    this->LastTargets[Domain] = Targets;
    this->later(Lag, [this, Domain, Targets] {
      for (unsigned I = 0; I < EntryHostsPerDomain; ++I) {
        unsigned Host = Domain * EntryHostsPerDomain + I;
        this->Hosts[Host]->targetsChanged(this->now(), Targets);
        this->carryOut(Host);
      }
    });
  }
}

void RoutingSimulation::exchangeReports() {
  for (unsigned I = 0; I < this->Engines.size(); ++I) {
    ReportedLoad Load{.Running = this->Engines[I].load(),
                      .ReceivedAt = this->now()};
    Incarnation Life = this->Engines[I].Life;
    unsigned Domain = I / this->Plan.EnginesPerDomain;
    this->later(ReportLagSeconds, [this, I, Domain, Life, Load] {
      for (unsigned J = 0; J < EntryHostsPerDomain; ++J)
        this->Hosts[Domain * EntryHostsPerDomain + J]->reportLoad(
            std::to_string(I), Life, Load);
    });
  }
  std::vector<DomainSummary> Summaries(SimulatedDomains);
  for (unsigned Host = 0; Host < this->Hosts.size(); ++Host) {
    DomainSummary One = this->Hosts[Host]->summary();
    DomainSummary &Sum = Summaries[Host / EntryHostsPerDomain];
    One.SpareSlots += Sum.SpareSlots;
    One.Queued += Sum.Queued;
    One.SlotTime = std::max(One.SlotTime, Sum.SlotTime);
    Sum = One;
  }
  this->later(ReportLagSeconds, [this, Summaries] {
    for (unsigned Host = 0; Host < this->Hosts.size(); ++Host) {
      std::vector<DomainSummary> Others = Summaries;
      Others.erase(Others.begin() + Host / EntryHostsPerDomain);
      for (DomainSummary &Each : Others)
        Each.ReceivedAt = this->now();
      this->Hosts[Host]->neighboursChanged(this->now(), Others);
    }
  });
}

SimulationResult RoutingSimulation::run() {
  auto Steps = static_cast<unsigned>(this->Plan.Seconds / StepSeconds);
  constexpr auto StepsPerReport =
      static_cast<unsigned>(ReportEverySeconds / StepSeconds);
  for (unsigned Step = 0; Step < Steps; ++Step) {
    this->Second = Step * StepSeconds;
    if (this->Plan.Event)
      this->Plan.Event(*this, this->Second);
    this->refreshTargets();
    if (Step % StepsPerReport == 0)
      this->exchangeReports();
    while (!this->Messages.empty() &&
           this->Messages.begin()->first <= this->Second) {
      std::deque<Message> Due = std::move(this->Messages.begin()->second);
      this->Messages.erase(this->Messages.begin());
      for (const Message &Each : Due)
        Each.Deliver();
    }
    this->arrivals();
    this->stepEngines();
    for (unsigned Host = 0; Host < this->Hosts.size(); ++Host) {
      this->Hosts[Host]->tick(this->now());
      this->carryOut(Host);
    }
  }
  std::uint64_t Hits = 0;
  std::uint64_t Lookups = 0;
  for (const SimulatedEngine &Each : this->Engines) {
    Hits += Each.CacheHits;
    Lookups += Each.CacheLookups;
    this->Result.BeyondBudget += Each.BeyondBudget;
    this->Result.Collapses += Each.Collapses;
    this->Result.WorkSeconds += Each.WorkSeconds;
  }
  this->Result.CacheHitShare =
      static_cast<double>(Hits) /
      static_cast<double>(std::max<std::uint64_t>(1, Lookups));
  return std::move(this->Result);
}

} // namespace carobhinge
