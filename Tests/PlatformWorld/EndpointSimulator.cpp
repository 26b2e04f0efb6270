//===- Tests/PlatformWorld/EndpointSimulator.cpp - All endpoints of a test ===//

#include <PlatformWorld/EndpointSimulator.h>

#include <PlatformWorld/PlatformEndpoint.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <future>

namespace asio = boost::asio;

namespace carobhinge {

static constexpr unsigned EndpointPort = 8300;
/// The last byte of the first endpoint's IP address.
static constexpr std::size_t FirstAddressByte = 100;
/// How long hosts may take to learn of an end, or of what a silence was.
static constexpr auto ContactTime = std::chrono::seconds(3);

EndpointSimulator::EndpointSimulator(EndpointSimulatorOptions InitialOptions,
                                     ExecutionLog &Executions)
    : Options(std::move(InitialOptions)), Executions(Executions) {
  for (const FailureDomainName &Domain : this->Options.FailureDomains) {
    for (int I = 0; I < this->Options.FabricsPerDomain; ++I)
      for (int J = 0; J < this->Options.EnginesPerFabric; ++J)
        this->add(Domain, Domain + "-fabric-" + std::to_string(I));
    for (int I = 0; I < this->Options.PlainPerDomain; ++I)
      this->add(Domain, {});
  }
}

void EndpointSimulator::add(const FailureDomainName &Domain,
                            const FabricDomainName &Fabric) {
  std::size_t Index = this->Endpoints.size();
  EndpointName Id =
      (Fabric.empty() ? "plain-" : "engine-") + std::to_string(100 + Index);
  if (!Fabric.empty())
    this->Pool.add(Id, this->Options.Engines);
  std::string Address = this->Options.Network +
                        std::to_string(FirstAddressByte + Index) + ":" +
                        std::to_string(EndpointPort);
  this->Endpoints.push_back(
      std::make_unique<PlatformEndpoint>(*this, Id, Domain, Fabric, Address));
}

EndpointSimulator::~EndpointSimulator() {
  this->Context.stop();
  if (this->Thread.joinable())
    this->Thread.join();
}

void EndpointSimulator::start() {
  for (auto &Each : this->Endpoints)
    Each->start();
  this->Thread = std::jthread([this] { this->Context.run(); });
}

void EndpointSimulator::call(std::size_t Index,
                             void (PlatformEndpoint::*Action)()) {
  asio::post(this->Context, [this, Index, Action] {
    (this->Endpoints.at(Index).get()->*Action)();
  });
}

void EndpointSimulator::crash(std::size_t Index) {
  this->call(Index, &PlatformEndpoint::crash);
}

void EndpointSimulator::restart(std::size_t Index) {
  this->call(Index, &PlatformEndpoint::restart);
}

void EndpointSimulator::drain(std::size_t Index) {
  this->call(Index, &PlatformEndpoint::drain);
}

void EndpointSimulator::setRequestLimit(double PerSecond) {
  this->RequestLimit = PerSecond;
}

std::size_t EndpointSimulator::mostLimitedArrivals(TimePoint From,
                                                   Duration Window) const {
  std::lock_guard Guard(this->ArrivalLock);
  std::size_t Most = 0;
  for (const auto &[Engine, Times] : this->LimitedArrivals)
    for (std::size_t First = 0, Last = 0; Last < Times.size(); ++Last) {
      while (Times[First] < From || Times[Last] - Times[First] > Window)
        if (++First > Last)
          break;
      if (First <= Last)
        Most = std::max(Most, Last - First + 1);
    }
  return Most;
}

std::size_t EndpointSimulator::mostArrivalsInPause() const {
  std::lock_guard Guard(this->ArrivalLock);
  std::size_t Most = 0;
  for (const auto &[Pair, Record] : this->Pauses)
    Most = std::max(Most, Record.MostArrivals);
  return Most;
}

std::size_t EndpointSimulator::requestedPauses() const {
  std::lock_guard Guard(this->ArrivalLock);
  std::size_t Count = 0;
  for (const auto &[Pair, Record] : this->Pauses)
    Count += Record.Requested;
  return Count;
}

void EndpointSimulator::endRecords(
    const std::function<bool(const EndpointAndHost &)> &IsMeant) {
  std::lock_guard Guard(this->ArrivalLock);
  for (auto &[Pair, Record] : this->Pauses)
    if (IsMeant(Pair))
      Record.Until = monotonicNow();
  for (auto &[Pair, Record] : this->Leavings)
    if (IsMeant(Pair))
      this->EndedLeavings.emplace_back(Pair, Record);
  std::erase_if(this->Leavings,
                [&](const auto &Each) { return IsMeant(Each.first); });
}

void EndpointSimulator::excuseHost(const std::string &Ip) {
  this->endRecords(
      [&](const EndpointAndHost &Pair) { return Pair.second == Ip; });
}

void EndpointSimulator::excuseEndpoint(std::size_t Index) {
  const EndpointName &Name = this->Endpoints.at(Index)->id();
  this->endRecords(
      [&](const EndpointAndHost &Pair) { return Pair.first == Name; });
}

void EndpointSimulator::fallSilent(std::size_t Index, SilenceScope Scope,
                                   Duration Length) {
  asio::post(this->Context, [this, Index, Scope, Length] {
    PlatformEndpoint &First = *this->Endpoints.at(Index);
    if (Scope == SilenceScope::FailureDomain) {
      for (auto &Each : this->Endpoints)
        if (Each->domain() == First.domain())
          Each->fallSilent(Length);
      return;
    }
    std::vector<EndpointName> Members;
    if (Scope == SilenceScope::HalfGroup && this->Pool.contains(First.id()))
      Members = this->Pool.member(First.id()).members();
    auto Own = std::ranges::find(Members, First.id()) - Members.begin();
    for (auto &Each : this->Endpoints) {
      auto Rank = std::ranges::find(Members, Each->id()) - Members.begin();
      bool IsMember = Rank < std::ssize(Members);
      if (Each->id() == First.id() || (IsMember && Rank % 2 == Own % 2))
        Each->fallSilent(Length);
    }
  });
}

void EndpointSimulator::recordLife(const EndpointName &Name, bool Begins) {
  std::lock_guard Guard(this->ArrivalLock);
  this->LifeChanges[Name].push_back({.At = monotonicNow(), .Begins = Begins});
}

void EndpointSimulator::recordSilence(const EndpointName &Name) {
  std::lock_guard Guard(this->ArrivalLock);
  this->Silences.push_back({.Endpoint = Name, .From = monotonicNow()});
}

void EndpointSimulator::recordSilenceEnd(const EndpointName &Name) {
  std::lock_guard Guard(this->ArrivalLock);
  auto Newest =
      std::ranges::find(this->Silences.rbegin(), this->Silences.rend(), Name,
                        &EndpointSilence::Endpoint);
  Newest->Until = monotonicNow();
}

std::vector<EndpointSilence> EndpointSimulator::silences() const {
  std::lock_guard Guard(this->ArrivalLock);
  return this->Silences;
}

bool EndpointSimulator::wasSoundAt(
    const EndpointName &Name,
    std::chrono::sys_time<std::chrono::milliseconds> At, Duration Lag) const {
  TimePoint Moment = monotonicNow() - (std::chrono::system_clock::now() - At);
  std::lock_guard Guard(this->ArrivalLock);
  bool WasTooLong = std::ranges::any_of(this->Silences, [&](const auto &Each) {
    return Each.Endpoint == Name && !Each.isSound(Lag) && Each.From <= Moment &&
           (Each.Until >= Moment || Moment - Each.Until < ContactTime);
  });
  bool IsSound = true;
  if (auto Changes = this->LifeChanges.find(Name);
      Changes != this->LifeChanges.end())
    for (const LifeChange &Each : Changes->second)
      if (Each.At <= Moment)
        IsSound = Each.Begins && Moment - Each.At >= ContactTime;
  return IsSound && !WasTooLong;
}

void EndpointSimulator::stopReports(std::size_t Index) {
  this->call(Index, &PlatformEndpoint::stopReports);
}

unsigned EndpointSimulator::arrivals(std::size_t Index) const {
  return this->Endpoints.at(Index)->arrivals();
}

const EndpointName &EndpointSimulator::name(std::size_t Index) const {
  return this->Endpoints.at(Index)->id();
}

const FailureDomainName &EndpointSimulator::domain(std::size_t Index) const {
  return this->Endpoints.at(Index)->domain();
}

const std::string &EndpointSimulator::address(std::size_t Index) const {
  return this->Endpoints.at(Index)->address();
}

void EndpointSimulator::leaveInAnswersOnly(std::size_t Index) {
  this->call(Index, &PlatformEndpoint::leaveInAnswersOnly);
}

std::vector<std::string>
EndpointSimulator::describeArrivalsAfterLeaving(Duration Grace) const {
  std::lock_guard Guard(this->ArrivalLock);
  std::vector<std::string> Late;
  auto AddLate = [&](const EndpointAndHost &Pair, const LeavingRecord &Record) {
    for (const LeavingRecord::Arrival &Each : Record.Arrivals) {
      auto Passed = std::chrono::duration_cast<std::chrono::milliseconds>(
          Each.At - Record.SaidAt);
      if (Passed > Grace)
        Late.push_back(Pair.first + " said to " + Pair.second + " at " +
                       std::to_string(Record.SaidAtMs) + " (" + Record.SaidTo +
                       ") that it leaves, and got " + Each.Request + " " +
                       std::to_string(Passed.count()) + " ms later");
    }
  };
  for (const auto &[Pair, Record] : this->Leavings)
    AddLate(Pair, Record);
  for (const auto &[Pair, Record] : this->EndedLeavings)
    AddLate(Pair, Record);
  return Late;
}

void EndpointSimulator::setCrashingPart(std::string Part) {
  asio::post(this->Context, [this, Part = std::move(Part)]() mutable {
    this->CrashingPart = std::move(Part);
  });
}

void EndpointSimulator::setCrashingTarget(std::string Target) {
  asio::post(this->Context, [this, Target = std::move(Target)]() mutable {
    this->CrashingTarget = std::move(Target);
  });
}

void EndpointSimulator::setLink(std::size_t Index, LinkMode Mode,
                                Duration Delay) {
  asio::post(this->Context, [this, Index, Mode, Delay] {
    this->Endpoints.at(Index)->link().setMode(Mode, Delay);
  });
}

void EndpointSimulator::setClientLink(const std::string &ClientIp,
                                      LinkMode Mode) {
  asio::post(this->Context, [this, ClientIp, Mode] {
    for (auto &Each : this->Endpoints)
      Each->link().setClientMode(ClientIp, Mode);
  });
}

void EndpointSimulator::setEndlessAnswers(std::size_t Index,
                                          const EndlessForm *Form) {
  asio::post(this->Context, [this, Index, Form] {
    this->Endpoints.at(Index)->link().setEndlessAnswers(Form);
  });
}

void EndpointSimulator::setBrokenAnswers(std::size_t Index,
                                         const BrokenAnswer *Form,
                                         AfterBrokenAnswer After) {
  asio::post(this->Context, [this, Index, Form, After] {
    this->Endpoints.at(Index)->link().setBrokenAnswers(Form, After);
  });
}

unsigned EndpointSimulator::brokenAnswerCount(std::size_t Index) const {
  return this->Endpoints.at(Index)->link().brokenAnswerCount();
}

std::size_t EndpointSimulator::endlessAnswerBytes() const {
  std::size_t Bytes = 0;
  for (const auto &Each : this->Endpoints)
    Bytes += Each->link().endlessBytes();
  return Bytes;
}

void EndpointSimulator::slowDown(std::size_t Index, double Factor) {
  asio::post(this->Context, [this, Index, Factor] {
    this->Endpoints.at(Index)->setPace(Factor);
  });
}

} // namespace carobhinge
