//===- Soak/SoakRun.cpp - The run of one seed -----------------------------===//

#include <PlatformWorld/LogReader.h>
#include <Soak/SoakRun.h>
#include <algorithm>
#include <csignal>

namespace carobhinge {

using std::chrono::seconds;

static constexpr unsigned CallerCount = 18;
static constexpr auto CallerPause = std::chrono::milliseconds(80);
static constexpr auto StepInterval = std::chrono::milliseconds(10);
/// Time after which a killed process is restarted.
static constexpr auto RestartPause = std::chrono::milliseconds(250);
/// Time in which a process must end after SIGTERM or SIGKILL.
static constexpr auto StopTimeout = seconds(9);
/// Time after the last fault in which all entry hosts must serve all call kinds
/// again.
static constexpr auto RecoveryTimeout = seconds(12);
/// Time to wait for the acknowledgement of a catalog change. Without it the
/// change may or may not be in force.
static constexpr auto ChangeTimeout = seconds(3);

/// The part of a prompt that crashes engines, and the calls with it for each
/// fault. Twice as many engines crash at most, fewer once the part is refused.
static constexpr const char *CrashingPart = "bad0bad0";
static constexpr int CrashingCalls = 6;
static constexpr auto CrashingCallInterval = std::chrono::milliseconds(400);
/// Requests in a second that an engine names.
static constexpr double SoakRequestLimit = 3;
/// The pause that an endpoint asks for, the requests that it may get from a
/// host in it, and the time after which one that leaves gets none.
static constexpr auto SoakPause = std::chrono::milliseconds(1500);
static constexpr std::size_t AllowedInPause = 2;
static constexpr auto LeavingGrace = seconds(2);

SoakRun::SoakRun(std::uint64_t Seed) : Caller(Deployment, Seed) {
  this->Faults =
      planFaults(Seed, {.ControlHosts = 3,
                        .Hosts = this->Deployment.hosts(),
                        .Endpoints = this->Deployment.endpoints().size()});
}

void SoakRun::schedule(Duration Delay, std::function<void()> Action) {
  this->ScheduledSteps.push_back(
      {.DueTime = monotonicNow() + Delay, .Action = std::move(Action)});
}

void SoakRun::restartHost(std::size_t Host) {
  if (this->StoppedHosts.erase(Host) == 0)
    return;
  this->Deployment.endpoints().excuseHost(this->Deployment.outgoingIp(Host));
  this->Deployment.startHost(Host);
}

void SoakRun::changeCatalog() {
  ++this->CatalogVersion;
  if (this->Deployment.putCatalog(this->CatalogVersion, ChangeTimeout))
    this->AcknowledgedVersion = this->CatalogVersion;
}

/// Signals are sent only to running processes.
void SoakRun::injectHostFault(const Fault &Each) {
  std::size_t Host = Each.Target;
  if (this->StoppedHosts.contains(Host))
    return;
  ChildProcess &Process = this->Deployment.process(Host);
  switch (Each.Kind) {
  case FaultKind::Kill:
  case FaultKind::KillAndWipe:
    Process.signal(SIGKILL);
    Process.wait(StopTimeout);
    this->FrozenHosts.erase(Host);
    this->StoppingHosts.erase(Host);
    if (Each.Kind == FaultKind::KillAndWipe)
      this->Deployment.removeDataFolder(Host);
    this->StoppedHosts.insert(Host);
    return this->schedule(RestartPause,
                          [this, Host] { this->restartHost(Host); });
  case FaultKind::Stop:
    // A frozen process cannot act on the signal, and a stopping one has
    // received it.
    if (this->FrozenHosts.contains(Host) ||
        !this->StoppingHosts.insert(Host).second)
      return;
    Process.signal(SIGTERM);
    return this->schedule(StopTimeout, [this, Host] {
      // The process was killed in the meantime, and the host may run another.
      if (this->StoppingHosts.erase(Host) == 0)
        return;
      if (this->Deployment.process(Host).running()) {
        this->Violations.push_back("host " + std::to_string(Host) +
                                   " did not stop within its grace time");
        this->Deployment.process(Host).signal(SIGKILL);
      }
      this->StoppedHosts.insert(Host);
      this->restartHost(Host);
    });
  case FaultKind::Freeze:
    Process.signal(SIGSTOP);
    this->FrozenHosts.insert(Host);
    return this->schedule(Each.Length, [this, Host] {
      if (this->FrozenHosts.erase(Host) > 0)
        this->Deployment.process(Host).signal(SIGCONT);
    });
  default:
    return Process.signal(SIGHUP);
  }
}

/// A host forgets pauses when it restarts, and does not learn of them in time
/// while it is frozen or a link is faulty.
void SoakRun::excuseFrom(const Fault &Each) {
  EndpointSimulator &Endpoints = this->Deployment.endpoints();
  bool IsLink = Each.Kind == FaultKind::EndpointLink;
  bool IsHost = Each.Kind == FaultKind::Kill || Each.Kind == FaultKind::Stop ||
                Each.Kind == FaultKind::KillAndWipe ||
                Each.Kind == FaultKind::Freeze;
  if (IsLink)
    Endpoints.excuseEndpoint(Each.Target);
  if (IsHost)
    Endpoints.excuseHost(this->Deployment.outgoingIp(Each.Target));
}

void SoakRun::injectFault(const Fault &Each) {
  EndpointSimulator &Endpoints = this->Deployment.endpoints();
  this->excuseFrom(Each);
  this->schedule(Each.Length, [this, Each] { this->excuseFrom(Each); });
  std::size_t Target = Each.Target;
  switch (Each.Kind) {
  case FaultKind::PeerLink:
    this->Deployment.setPeerLink(Target, Each.Mode, Each.Delay);
    return this->schedule(Each.Length, [this, Target] {
      this->Deployment.setPeerLink(Target, LinkMode::Pass);
    });
  case FaultKind::CallerLink:
    this->Deployment.setCallerLink(Target, Each.Mode, Each.Delay);
    return this->schedule(Each.Length, [this, Target] {
      this->Deployment.setCallerLink(Target, LinkMode::Pass);
    });
  case FaultKind::EndpointLink:
    Endpoints.setLink(Target, Each.Mode, Each.Delay);
    return this->schedule(Each.Length, [&Endpoints, Target] {
      Endpoints.setLink(Target, LinkMode::Pass);
    });
  case FaultKind::EndpointCrash:
    Endpoints.crash(Target);
    return this->schedule(Each.Length,
                          [&Endpoints, Target] { Endpoints.restart(Target); });
  case FaultKind::EndpointSlow:
    Endpoints.slowDown(Target, 5);
    return this->schedule(
        Each.Length, [&Endpoints, Target] { Endpoints.slowDown(Target, 1); });
  case FaultKind::EndpointDrain:
    Endpoints.drain(Target);
    return this->schedule(seconds(4),
                          [&Endpoints, Target] { Endpoints.restart(Target); });
  case FaultKind::CatalogChange:
    return this->changeCatalog();
  case FaultKind::CrashingPrompt:
    Endpoints.setCrashingPart(CrashingPart);
    for (int I = 0; I < CrashingCalls; ++I)
      this->schedule(I * CrashingCallInterval, [this, Target] {
        // The call may take seconds, and other steps are due meanwhile.
        this->CrashingCallers.emplace_back([this, Target] {
          this->Caller.callOnce(Target, CallKind::Stream,
                                {.ExtraPart = CrashingPart});
        });
      });
    return;
  case FaultKind::RequestLimit:
    Endpoints.setRequestLimit(SoakRequestLimit);
    return this->schedule(Each.Length,
                          [&Endpoints] { Endpoints.setRequestLimit(0); });
  case FaultKind::RequestedPause:
    Endpoints.setRequestedPause(SoakPause);
    return this->schedule(Each.Length, [&Endpoints] {
      Endpoints.setRequestedPause(Duration::zero());
    });
  case FaultKind::EndpointLeaving:
    Endpoints.leaveInAnswersOnly(Target);
    this->schedule(seconds(4),
                   [&Endpoints, Target] { Endpoints.crash(Target); });
    return this->schedule(seconds(5),
                          [&Endpoints, Target] { Endpoints.restart(Target); });
  default:
    return this->injectHostFault(Each);
  }
}

/// Runs all scheduled steps, in order of their time.
void SoakRun::endFaults() {
  std::stable_sort(this->ScheduledSteps.begin(), this->ScheduledSteps.end(),
                   [](const ScheduledStep &Left, const ScheduledStep &Right) {
                     return Left.DueTime < Right.DueTime;
                   });
  for (ScheduledStep &Each : this->ScheduledSteps) {
    std::this_thread::sleep_until(Each.DueTime);
    Each.Action();
  }
  this->ScheduledSteps.clear();
  for (std::size_t I = 0; I < this->Deployment.hosts(); ++I)
    if (!this->Deployment.process(I).running()) {
      // The steps have restarted every host that a fault ended.
      this->Violations.push_back("host " + std::to_string(I) +
                                 " ended without a fault");
      this->Deployment.startHost(I);
    }
}

void SoakRun::checkRecovery() {
  this->CrashingCallers.clear();
  TimePoint Deadline = monotonicNow() + RecoveryTimeout;
  for (std::size_t I = 3; I < this->Deployment.hosts(); ++I)
    for (CallKind Kind : {CallKind::Stream, CallKind::Post, CallKind::Get}) {
      bool Answered = false;
      while (!Answered && monotonicNow() < Deadline) {
        Answered = this->Caller.callOnce(I, Kind) == CallEnd::Answered;
        if (!Answered)
          std::this_thread::sleep_for(CallerPause);
      }
      if (!Answered)
        this->Violations.push_back("host " + std::to_string(I) +
                                   " did not serve calls of kind " +
                                   std::to_string(static_cast<int>(Kind)) +
                                   " within the recovery time");
    }
  std::optional<unsigned> ReadVersion;
  while (!ReadVersion && monotonicNow() < Deadline + RecoveryTimeout)
    ReadVersion = this->Deployment.readVersion();
  if (!ReadVersion || *ReadVersion < this->AcknowledgedVersion ||
      *ReadVersion > this->CatalogVersion)
    this->Violations.push_back(
        "catalog version " + std::to_string(this->AcknowledgedVersion) +
        " was acknowledged, but " +
        (ReadVersion ? std::to_string(*ReadVersion) : "none") + " was read");
  for (std::string &Each :
       this->Caller.findViolations(this->Deployment.executionLog()))
    this->Violations.push_back(std::move(Each));
  EndpointSimulator &Endpoints = this->Deployment.endpoints();
  if (std::size_t Most = Endpoints.mostArrivalsInPause(); Most > AllowedInPause)
    this->Violations.push_back("an endpoint got " + std::to_string(Most) +
                               " requests in a pause that it had asked for");
  if (std::size_t Count = Endpoints.arrivalsAfterLeaving(LeavingGrace))
    this->Violations.push_back("endpoints that leave got " +
                               std::to_string(Count) + " requests");
  std::vector<std::filesystem::path> Paths = this->Deployment.logs();
  for (std::string &Each : readLogs(Paths).Faults)
    this->Violations.push_back(std::move(Each));
}

std::vector<std::string> SoakRun::run() {
  this->Deployment.start();
  for (CallKind Kind : {CallKind::Stream, CallKind::Post, CallKind::Get})
    PlatformDeployment::waitFor("calls of every kind are answered", [&] {
      return this->Caller.callOnce(3, Kind) == CallEnd::Answered;
    });
  this->Caller.start(CallerCount, CallerPause);
  TimePoint RunStart = monotonicNow();
  std::size_t NextFault = 0;
  while (NextFault < this->Faults.size()) {
    TimePoint Now = monotonicNow();
    // Due steps are taken out first, as they may schedule new ones.
    auto FirstDue = std::stable_partition(
        this->ScheduledSteps.begin(), this->ScheduledSteps.end(),
        [&](const ScheduledStep &Each) { return Each.DueTime > Now; });
    std::vector<ScheduledStep> DueSteps(
        std::make_move_iterator(FirstDue),
        std::make_move_iterator(this->ScheduledSteps.end()));
    this->ScheduledSteps.erase(FirstDue, this->ScheduledSteps.end());
    for (ScheduledStep &Each : DueSteps)
      Each.Action();
    while (NextFault < this->Faults.size() &&
           Now >= RunStart + this->Faults[NextFault].StartTime)
      this->injectFault(this->Faults[NextFault++]);
    std::this_thread::sleep_for(StepInterval);
  }
  this->endFaults();
  std::this_thread::sleep_for(seconds(1));
  this->Caller.stop();
  this->checkRecovery();
  return this->Violations;
}

} // namespace carobhinge
