//===- Soak/SoakRun.cpp - The run of one seed -----------------------------===//

#include <LibStandIn/EndlessForm.h>
#include <Soak/SoakRun.h>
#include <algorithm>
#include <csignal>
#include <platform/WireNames.h>

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

/// Time in which a stopping process must end, and the time after it in which
/// requests that it cut still count as cut by the stop.
static constexpr auto GraceTime = seconds(8);
static constexpr auto StopSlack = seconds(1);
/// Time in which a change is in force at all hosts.
static constexpr auto ChangeApplyTime = seconds(2);
static constexpr auto ChangeSlack = seconds(1);
static constexpr auto ResetLength = std::chrono::milliseconds(50);
static constexpr auto RestartAllDelay = seconds(1);
static constexpr auto RestartPoll = std::chrono::milliseconds(100);
/// How long a slow host stands still and runs, by turns.
static constexpr auto SlowTurn = std::chrono::milliseconds(30);
static constexpr int SeriesChanges = 6;
static constexpr auto SeriesInterval = std::chrono::milliseconds(150);
/// The memory in MiB of the smallest machine.
static constexpr double MachineMegabytes = 256;
#ifdef __SANITIZE_ADDRESS__
static constexpr bool MeasuresMemory = false;
#else
static constexpr bool MeasuresMemory = true;
#endif
static constexpr std::size_t Megabyte = 1024 * 1024;
static constexpr std::size_t EndlessBytes = 300 * Megabyte;
/// Together more than a machine has, each within its limit.
static constexpr unsigned HeldBodies = 400;
static constexpr std::size_t HeldBodyBytes = Megabyte;
static constexpr unsigned HeldCalls = 50;
static constexpr std::size_t HeldCallBytes = 8 * Megabyte;

SoakRun::SoakRun(std::uint64_t Seed, bool WithoutEndless)
    : Caller(Deployment, Seed) {
  this->Faults =
      planFaults(Seed, {.ControlHosts = 3,
                        .Hosts = this->Deployment.hosts(),
                        .Endpoints = this->Deployment.endpoints().size(),
                        .WithoutEndless = WithoutEndless});
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

void SoakRun::recordEvent(LossCause Cause, std::optional<std::size_t> Host,
                          TimePoint From, TimePoint Until) {
  std::lock_guard Guard(this->LostLock);
  this->Lost.add(Cause, Host, From, Until);
}

void SoakRun::changeCatalog() {
  auto Change = [this, Version = ++this->CatalogVersion,
                 Before = std::move(this->LastChange)] {
    if (Before.valid())
      Before.wait();
    TimePoint SentAt = monotonicNow();
    if (this->Deployment.putCatalog(Version, ChangeTimeout))
      this->AcknowledgedVersion = Version;
    this->recordEvent(LossCause::Change, std::nullopt, SentAt,
                      monotonicNow() + ChangeApplyTime + ChangeSlack);
  };
  this->LastChange = std::async(std::launch::async, std::move(Change));
}

bool SoakRun::stopHost(std::size_t Host) {
  // A frozen process cannot act on the signal, and a stopping one has received
  // it.
  if (this->StoppedHosts.contains(Host) || this->FrozenHosts.contains(Host) ||
      !this->StoppingHosts.insert(Host).second)
    return false;
  this->checkMemory(Host);
  this->Deployment.process(Host).signal(SIGTERM);
  TimePoint Now = monotonicNow();
  this->recordEvent(LossCause::Stop, Host, Now, Now + GraceTime + StopSlack);
  return true;
}

void SoakRun::restartStoppedHost(std::size_t Host, TimePoint Deadline) {
  // The process was killed in the meantime, and the host may run another.
  if (!this->StoppingHosts.contains(Host))
    return;
  bool IsRunning = this->Deployment.process(Host).running();
  if (IsRunning && monotonicNow() < Deadline)
    return this->schedule(RestartPoll, [this, Host, Deadline] {
      this->restartStoppedHost(Host, Deadline);
    });
  if (IsRunning) {
    this->Violations.push_back("host " + std::to_string(Host) +
                               " did not stop within its grace time");
    this->Deployment.process(Host).signal(SIGKILL);
  }
  this->StoppingHosts.erase(Host);
  this->StoppedHosts.insert(Host);
  this->restartHost(Host);
}

void SoakRun::slowHost(std::size_t Host, TimePoint End) {
  if (this->StoppedHosts.contains(Host) || this->StoppingHosts.contains(Host))
    return;
  bool Continues = this->FrozenHosts.erase(Host) > 0;
  this->Deployment.process(Host).signal(Continues ? SIGCONT : SIGSTOP);
  if (!Continues)
    this->FrozenHosts.insert(Host);
  if (!Continues || monotonicNow() < End)
    this->schedule(SlowTurn, [this, Host, End] { this->slowHost(Host, End); });
}

void SoakRun::cutHost(std::size_t Host, LinkMode Mode) {
  this->Deployment.setPeerLink(Host, Mode);
  if (this->Deployment.isControl(Host))
    return;
  this->Deployment.setCallerLink(Host, Mode);
  this->Deployment.setEndpointLinks(Host, Mode);
}

void SoakRun::sendWithoutEnd(const Fault &Each) {
  bool IsControl = this->Deployment.isControl(Each.Target);
  bool IsHeld = Each.Kind == FaultKind::HeldBodies;
  unsigned HeldCount = IsControl ? HeldCalls : HeldBodies;
  std::size_t HeldBytes = IsControl ? HeldCallBytes : HeldBodyBytes;
  auto Added = std::make_unique<RawSenders>(
      IsControl ? this->Deployment.controlAddress(Each.Target)
                : this->Deployment.callerAddress(Each.Target),
      IsHeld ? HeldCount : 1);
  std::string Head = "PUT /instances/i-1 HTTP/1.1\r\nHost: control\r\n";
  if (!IsControl)
    Head = "POST /post/1 HTTP/1.1\r\nHost: callers.example\r\n" +
           std::string(platform::AttemptIdField) + ": endless\r\n" +
           std::string(platform::KeyField) + ": " + this->Deployment.key() +
           "\r\n" + std::string(platform::DeadlineField) + ": 20000\r\n";
  const EndlessForm &Form = EndlessChunkForms.at(Each.Form);
  if (IsHeld)
    Added->start(Head + "Content-Length: " + std::to_string(HeldBytes) +
                     "\r\n\r\n",
                 std::string(Megabyte / 2, 'x'), HeldBytes - 1);
  else
    Added->start(Head + "Transfer-Encoding: chunked\r\n\r\n" +
                     std::string(Form.Beginning),
                 Form.repeat(Megabyte), EndlessBytes);
  std::size_t Number = ++this->LastSenders;
  this->Senders[Number] = std::move(Added);
  this->schedule(Each.Length, [this, Number] { this->Senders.erase(Number); });
}

void SoakRun::recordForLosses(const Fault &Each) {
  TimePoint Now = monotonicNow();
  TimePoint End = Now + Each.Length;
  bool IsCore = this->Deployment.isControl(Each.Target);
  auto Host = IsCore ? std::nullopt : std::optional<std::size_t>(Each.Target);
  switch (Each.Kind) {
  case FaultKind::Kill:
  case FaultKind::KillAndWipe:
    return this->recordEvent(LossCause::Fault, Host, Now, Now + RestartPause);
  case FaultKind::Freeze:
  case FaultKind::PeerLink:
  case FaultKind::CallerLink:
  case FaultKind::HostCut:
  case FaultKind::HostSlow:
    return this->recordEvent(LossCause::Fault, Host, Now, End);
  case FaultKind::ConnectionReset:
    return this->recordEvent(LossCause::Fault, Host, Now, Now + ResetLength);
  case FaultKind::EndpointLink:
  case FaultKind::EndpointCrash:
  case FaultKind::EndpointSlow:
  case FaultKind::EndlessAnswers:
  case FaultKind::BrokenAnswers:
    return this->recordEvent(LossCause::Fault, std::nullopt, Now, End);
  case FaultKind::CrashingPrompt:
    return this->recordEvent(LossCause::Fault, std::nullopt, Now,
                             Now + (CrashingCalls + 5) * CrashingCallInterval);
  case FaultKind::EndpointLeaving:
    // The endpoint crashes at its end.
    return this->recordEvent(LossCause::Fault, std::nullopt, Now,
                             Now + seconds(5));
  case FaultKind::Reload:
    return this->recordEvent(LossCause::Reload, Each.Target, Now,
                             Now + ChangeApplyTime);
  default:
    return;
  }
}

void SoakRun::checkMemory(std::size_t Host) {
  double Megabytes = this->Deployment.process(Host).peakResidentMegabytes();
  this->PeakMegabytes = std::max(this->PeakMegabytes, Megabytes);
  if (MeasuresMemory && Megabytes >= MachineMegabytes)
    this->Violations.push_back("host " + std::to_string(Host) + " has had " +
                               std::to_string(static_cast<int>(Megabytes)) +
                               " MiB resident");
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
    this->checkMemory(Host);
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
    if (this->stopHost(Host))
      this->schedule(StopTimeout, [this, Host] {
        this->restartStoppedHost(Host, monotonicNow());
      });
    return;
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
  bool IsEndpoint = Each.Kind == FaultKind::EndpointLink ||
                    Each.Kind == FaultKind::EndlessAnswers ||
                    Each.Kind == FaultKind::BrokenAnswers;
  bool IsHost =
      Each.Kind == FaultKind::Kill || Each.Kind == FaultKind::Stop ||
      Each.Kind == FaultKind::KillAndWipe || Each.Kind == FaultKind::Freeze ||
      Each.Kind == FaultKind::ConnectionReset ||
      Each.Kind == FaultKind::HostCut || Each.Kind == FaultKind::HostSlow;
  if (IsEndpoint)
    Endpoints.excuseEndpoint(Each.Target);
  if (IsHost)
    Endpoints.excuseHost(this->Deployment.outgoingIp(Each.Target));
}

void SoakRun::injectFault(const Fault &Each) {
  EndpointSimulator &Endpoints = this->Deployment.endpoints();
  this->excuseFrom(Each);
  this->recordForLosses(Each);
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
  case FaultKind::EndlessAnswers:
    Endpoints.setEndlessAnswers(Target, &EndlessChunkForms.at(Each.Form));
    return this->schedule(Each.Length, [&Endpoints, Target] {
      Endpoints.setEndlessAnswers(Target, nullptr);
    });
  case FaultKind::BrokenAnswers:
    Endpoints.setBrokenAnswers(Target, &brokenAnswers()[Each.Form], Each.After);
    return this->schedule(Each.Length, [&Endpoints, Target] {
      Endpoints.setBrokenAnswers(Target, nullptr);
    });
  case FaultKind::EndlessRequest:
  case FaultKind::HeldBodies:
    return this->sendWithoutEnd(Each);
  case FaultKind::ConnectionReset:
    this->cutHost(Target, LinkMode::Cut);
    return this->schedule(
        ResetLength, [this, Target] { this->cutHost(Target, LinkMode::Pass); });
  case FaultKind::HostCut:
    this->cutHost(Target, Each.Mode);
    return this->schedule(
        Each.Length, [this, Target] { this->cutHost(Target, LinkMode::Pass); });
  case FaultKind::HostSlow:
    return this->slowHost(Target, monotonicNow() + Each.Length);
  case FaultKind::DiskFull:
    this->Deployment.setDiskFull(Target, true);
    return this->schedule(Each.Length, [this, Target] {
      this->Deployment.setDiskFull(Target, false);
    });
  case FaultKind::EndpointSilence:
    return Endpoints.fallSilent(Target, Each.Scope, Each.Length);
  case FaultKind::RestartAll:
    this->changeCatalog();
    return this->schedule(RestartAllDelay, [this] {
      for (std::size_t Host = 0; Host < this->Deployment.hosts(); ++Host)
        if (this->stopHost(Host)) {
          this->Deployment.endpoints().excuseHost(
              this->Deployment.outgoingIp(Host));
          this->restartStoppedHost(Host, monotonicNow() + StopTimeout);
        }
    });
  case FaultKind::ChangeSeries:
    for (int I = 0; I < SeriesChanges; ++I)
      this->schedule(I * SeriesInterval, [this] { this->changeCatalog(); });
    return;
  default:
    return this->injectHostFault(Each);
  }
}

/// Runs all scheduled steps, in order of their time. Steps may schedule others.
void SoakRun::endFaults() {
  while (!this->ScheduledSteps.empty()) {
    auto First = std::ranges::min_element(this->ScheduledSteps, {},
                                          &ScheduledStep::DueTime);
    ScheduledStep Step = std::move(*First);
    this->ScheduledSteps.erase(First);
    std::this_thread::sleep_until(Step.DueTime);
    Step.Action();
  }
  for (std::size_t I = 0; I < this->Deployment.hosts(); ++I)
    if (!this->Deployment.process(I).running()) {
      // The steps have restarted every host that a fault ended.
      this->Violations.push_back("host " + std::to_string(I) +
                                 " ended without a fault");
      this->Deployment.startHost(I);
    }
}

void SoakRun::checkLosses(const LogSummary &Log) {
  EndpointSimulator &Endpoints = this->Deployment.endpoints();
  Duration Lag = this->Caller.longestLag();
  for (const EndpointSilence &Each : Endpoints.silences())
    this->recordEvent(Each.isSound(Lag) ? LossCause::Silence : LossCause::Fault,
                      std::nullopt, Each.From, Each.Until);
  std::vector<CallRecord> Calls =
      this->Caller.calls(this->Deployment.executionLog());
  for (CallRecord &Each : Calls)
    Each.IsUnknown = Each.IsUnknown && !Log.ranOutOfTime(Each.AttemptId);
  this->Losses = this->Lost.review(Calls, Lag);
  std::ranges::copy(this->Losses.Violations,
                    std::back_inserter(this->Violations));
  this->FalseAlarms = static_cast<unsigned>(
      std::ranges::count_if(Log.Alarms, [&](const EndpointAlarm &Each) {
        return Endpoints.wasSoundAt(Each.Endpoint, Each.At, Lag);
      }));
}

void SoakRun::checkRecovery() {
  this->CrashingCallers.clear();
  if (this->LastChange.valid())
    this->LastChange.wait();
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
  for (std::size_t I = 0; I < this->Deployment.hosts(); ++I)
    this->checkMemory(I);
  LogSummary Log = readLogs(this->Deployment.logs());
  this->checkLosses(Log);
  EndpointSimulator &Endpoints = this->Deployment.endpoints();
  if (std::size_t Most = Endpoints.mostArrivalsInPause(); Most > AllowedInPause)
    this->Violations.push_back("an endpoint got " + std::to_string(Most) +
                               " requests in a pause that it had asked for");
  this->Notes = Endpoints.describeArrivalsAfterLeaving(LeavingGrace);
  if (!this->Notes.empty())
    this->Violations.push_back("endpoints that leave got " +
                               std::to_string(this->Notes.size()) +
                               " requests");
  std::ranges::move(Log.Faults, std::back_inserter(this->Violations));
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
