//===- Soak/SoakRun.cpp - One seed, played and judged ---------------------===//

#include <PlatformWorld/LogReader.h>
#include <Soak/SoakRun.h>
#include <algorithm>
#include <csignal>

namespace carobhinge {

using std::chrono::seconds;

static constexpr unsigned Callers = 18;
static constexpr auto CallerPause = std::chrono::milliseconds(80);
static constexpr auto StepInterval = std::chrono::milliseconds(10);
/// A killed process is started again after this time.
static constexpr auto RestartPause = std::chrono::milliseconds(250);
/// A stopped process ends within its grace time.
static constexpr auto GraceTime = seconds(9);
/// After the last fault before all must be served again.
static constexpr auto RecoveryTime = seconds(12);
/// A change that isn't acknowledged in this time may or may not be in force.
static constexpr auto ChangeTime = seconds(3);

SoakRun::SoakRun(std::uint64_t Seed) : Caller(Running, Seed) {
  this->Faults =
      planFaults(Seed, {.ControlHosts = 3,
                        .Hosts = this->Running.hosts(),
                        .Endpoints = this->Running.endpoints().size()});
}

void SoakRun::after(Duration Length, std::function<void()> Do) {
  this->Due.push_back({.At = monotonicNow() + Length, .Do = std::move(Do)});
}

void SoakRun::restart(std::size_t Host) {
  if (this->Down.erase(Host) > 0)
    this->Running.startHost(Host);
}

void SoakRun::change() {
  ++this->Version;
  if (this->Running.putCatalog(this->Version, ChangeTime))
    this->Acknowledged = this->Version;
}

/// Signals go only to processes that run.
void SoakRun::beginHostFault(const Fault &Each) {
  std::size_t Host = Each.Target;
  if (this->Down.contains(Host))
    return;
  ChildProcess &Process = this->Running.process(Host);
  switch (Each.Kind) {
  case FaultKind::Kill:
  case FaultKind::KillAndWipe:
    Process.signal(SIGKILL);
    Process.wait(GraceTime);
    this->Frozen.erase(Host);
    this->Stopping.erase(Host);
    if (Each.Kind == FaultKind::KillAndWipe)
      this->Running.loseDisk(Host);
    this->Down.insert(Host);
    return this->after(RestartPause, [this, Host] { this->restart(Host); });
  case FaultKind::Stop:
    // It could not act on the signal, or has had it.
    if (this->Frozen.contains(Host) || !this->Stopping.insert(Host).second)
      return;
    Process.signal(SIGTERM);
    return this->after(GraceTime, [this, Host] {
      // It was killed meanwhile, and is another process now.
      if (this->Stopping.erase(Host) == 0)
        return;
      if (this->Running.process(Host).running()) {
        this->Broken.push_back("host " + std::to_string(Host) +
                               " didn't stop in its grace time");
        this->Running.process(Host).signal(SIGKILL);
      }
      this->Down.insert(Host);
      this->restart(Host);
    });
  case FaultKind::Freeze:
    Process.signal(SIGSTOP);
    this->Frozen.insert(Host);
    return this->after(Each.Length, [this, Host] {
      if (this->Frozen.erase(Host) > 0)
        this->Running.process(Host).signal(SIGCONT);
    });
  default:
    return Process.signal(SIGHUP);
  }
}

void SoakRun::begin(const Fault &Each) {
  EndpointField &Endpoints = this->Running.endpoints();
  std::size_t Target = Each.Target;
  switch (Each.Kind) {
  case FaultKind::PeerLink:
    this->Running.setPeerLink(Target, Each.Mode, Each.Delay);
    return this->after(Each.Length, [this, Target] {
      this->Running.setPeerLink(Target, LinkMode::Pass);
    });
  case FaultKind::CallerLink:
    this->Running.setCallerLink(Target, Each.Mode, Each.Delay);
    return this->after(Each.Length, [this, Target] {
      this->Running.setCallerLink(Target, LinkMode::Pass);
    });
  case FaultKind::EndpointLink:
    Endpoints.setLink(Target, Each.Mode, Each.Delay);
    return this->after(Each.Length, [&Endpoints, Target] {
      Endpoints.setLink(Target, LinkMode::Pass);
    });
  case FaultKind::EndpointCrash:
    Endpoints.crash(Target);
    return this->after(Each.Length,
                       [&Endpoints, Target] { Endpoints.revive(Target); });
  case FaultKind::EndpointSlow:
    Endpoints.slow(Target, 5);
    return this->after(Each.Length,
                       [&Endpoints, Target] { Endpoints.slow(Target, 1); });
  case FaultKind::EndpointDrain:
    Endpoints.drain(Target);
    return this->after(seconds(4),
                       [&Endpoints, Target] { Endpoints.revive(Target); });
  case FaultKind::Change:
    return this->change();
  default:
    return this->beginHostFault(Each);
  }
}

/// Ends what still lasts.
void SoakRun::heal() {
  std::stable_sort(
      this->Due.begin(), this->Due.end(),
      [](const Step &Left, const Step &Right) { return Left.At < Right.At; });
  for (Step &Each : this->Due) {
    std::this_thread::sleep_until(Each.At);
    Each.Do();
  }
  this->Due.clear();
  for (std::size_t I = 0; I < this->Running.hosts(); ++I)
    if (!this->Running.process(I).running()) {
      // Nobody killed it, or it would have been started again.
      this->Broken.push_back("host " + std::to_string(I) + " ended by itself");
      this->Running.startHost(I);
    }
}

void SoakRun::judge() {
  TimePoint End = monotonicNow() + RecoveryTime;
  for (std::size_t I = 3; I < this->Running.hosts(); ++I)
    for (CallKind Kind :
         {CallKind::Stream, CallKind::Post, CallKind::Reading}) {
      bool Served = false;
      while (!Served && monotonicNow() < End) {
        Served = this->Caller.callOnce(I, Kind) == CallEnd::Answered;
        if (!Served)
          std::this_thread::sleep_for(CallerPause);
      }
      if (!Served)
        this->Broken.push_back("host " + std::to_string(I) + " serves kind " +
                               std::to_string(static_cast<int>(Kind)) +
                               " not again");
    }
  std::optional<unsigned> Read;
  while (!Read && monotonicNow() < End + RecoveryTime)
    Read = this->Running.readVersion();
  if (!Read || *Read < this->Acknowledged || *Read > this->Version)
    this->Broken.push_back("catalog " + std::to_string(this->Acknowledged) +
                           " was acknowledged, and " +
                           (Read ? std::to_string(*Read) : "none") +
                           " is read");
  for (std::string &Each : this->Caller.settle(this->Running.book()))
    this->Broken.push_back(std::move(Each));
  std::vector<std::filesystem::path> Paths = this->Running.logs();
  for (std::string &Each : readLogs(Paths).Faults)
    this->Broken.push_back(std::move(Each));
}

std::vector<std::string> SoakRun::play() {
  this->Running.start();
  for (CallKind Kind : {CallKind::Stream, CallKind::Post, CallKind::Reading})
    PlatformDeployment::waitFor("every kind is served", [&] {
      return this->Caller.callOnce(3, Kind) == CallEnd::Answered;
    });
  this->Caller.start(Callers, CallerPause);
  TimePoint Start = monotonicNow();
  std::size_t Next = 0;
  while (Next < this->Faults.size()) {
    TimePoint Now = monotonicNow();
    // Steps that are due may add new ones.
    auto Ripe =
        std::stable_partition(this->Due.begin(), this->Due.end(),
                              [&](const Step &Each) { return Each.At > Now; });
    std::vector<Step> Doing(std::make_move_iterator(Ripe),
                            std::make_move_iterator(this->Due.end()));
    this->Due.erase(Ripe, this->Due.end());
    for (Step &Each : Doing)
      Each.Do();
    while (Next < this->Faults.size() && Now >= Start + this->Faults[Next].At)
      this->begin(this->Faults[Next++]);
    std::this_thread::sleep_for(StepInterval);
  }
  this->heal();
  std::this_thread::sleep_for(seconds(1));
  this->Caller.stop();
  this->judge();
  return this->Broken;
}

} // namespace carobhinge
