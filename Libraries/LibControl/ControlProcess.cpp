//===- LibControl/ControlProcess.cpp - One control process ----------------===//
///
/// \file
/// Wiring, timers and the calls between control hosts. The calls of operators
/// and endpoints stand in ControlCalls.cpp.
///
//===----------------------------------------------------------------------===//

#include <LibControl/ControlProcess.h>
#include <LibControl/FleetMessages.h>

#include <LibCore/Compression.h>
#include <LibCore/Hash.h>
#include <LibTelemetry/Log.h>
#include <boost/algorithm/string/join.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace asio = boost::asio;

namespace carobhinge {

/// Between two steps of the planning. A lost engine is asked about and
/// replaced within a few of them.
static constexpr auto TickInterval = std::chrono::milliseconds(100);
/// Between two attempts to take part again after the disk failed.
static constexpr auto MendInterval = std::chrono::milliseconds(500);
/// Between two steps at least: a step takes a quarter of a millisecond of a
/// core at 220 engines, ten times that on a seventh of one.
static constexpr auto LeastStepPause = std::chrono::milliseconds(40);
static constexpr auto IntroduceInterval = std::chrono::milliseconds(700);
static constexpr auto IntroduceTimeout = std::chrono::milliseconds(600);
/// A leader plans only while a majority confirmed it this recently: less than
/// an election takes.
static constexpr auto PlanningLease = std::chrono::milliseconds(1200);
/// Beyond one report interval after a start before a process plans: by then
/// it has heard of every engine.
static constexpr auto HearingMargin = std::chrono::milliseconds(1200);
/// Between two changes of the voters: the last one is on its way meanwhile.
static constexpr auto ChangePause = std::chrono::milliseconds(500);
/// Before the same change is asked for again.
static constexpr auto ChangeRepeat = std::chrono::seconds(5);
/// Closing the links to other hosts takes one turn of the executor.
static constexpr auto LinkCloseTime = std::chrono::milliseconds(50);
/// Handing over leadership takes one round trip.
static constexpr auto HandOverTime = std::chrono::milliseconds(400);

/// The first voters. Only at the first start of the whole system may this
/// host be one of them; later it is admitted by those who vote.
static std::vector<HostName> firstVoters(const HostSettings &Own) {
  std::vector<HostName> Hosts = seedHosts(Own);
  if (!Own.FirstStart)
    std::erase(Hosts, Own.Ip);
  if (Hosts.empty())
    Hosts.push_back(Own.FirstStart ? Own.Ip : "0.0.0.0");
  return Hosts;
}

static WireOptions wireOptions(const HostSettings &Own) {
  return {.Cluster = "carobhinge",
          .Self = Own.Ip,
          .ConnectTimeout = std::chrono::milliseconds(700),
          .PingInterval = std::chrono::milliseconds(500),
          .SilenceTimeout = std::chrono::milliseconds(1600),
          .MostReconnectPause = std::chrono::milliseconds(400)};
}

ControlProcess::ControlProcess(asio::io_context &Context, HostSettings Given,
                               const ControlDialect &Dialect)
    : Context(Context), Own(std::move(Given)), Dialect(Dialect),
      Wire(wireOptions(this->Own)), StartedAt(monotonicNow()),
      Hosts(this->Own.Ip, this->Own.FailureDomain),
      Foreman(Context.get_executor(), this->Own, Dialect),
      State(
          Context.get_executor(), this->Own, firstVoters(this->Own),
          [this](const HostName &To, const message::ConsensusMessage &Message) {
            if (!this->Stopping)
              this->link(To).post("consensus", Message.SerializeAsString());
          },
          [this](const message::RegisterState &Changed) {
            this->stateChanged(Changed);
          }),
      Watchers(
          Context.get_executor(), this->State, this->Foreman, this->Hosts,
          [this] { this->stepSoon(); },
          [this] { return this->leadsForSure(); }),
      Peers(Context.get_executor(),
            this->Own.Ip + ":" + std::to_string(this->Own.PeerListenPort),
            this->Wire, this->handlers()),
      Calls(Context.get_executor(),
            {.Listen = this->Own.ControlAddress,
             .BodyBytes = std::size_t(8) * 1024 * 1024},
            [this](HttpExchange &Exchange) { return this->handle(Exchange); }),
      MetricsServer(Context.get_executor(),
                    {.Listen = this->Own.Ip + ":" +
                               std::to_string(this->Own.MetricsPort)},
                    [this](HttpExchange &Exchange) {
                      return this->tellMetrics(Exchange);
                    }) {
  for (const HostName &Host : seedHosts(this->Own))
    this->Hosts.learn(this->StartedAt, Host);
}

ControlProcess::~ControlProcess() = default;

void ControlProcess::start() {
  logEvent(Severity::Info, "start",
           {{"role", "control"},
            {"first_start", static_cast<std::int64_t>(this->Own.FirstStart)}});
  this->Peers.start();
  this->Calls.start();
  this->MetricsServer.start();
  asio::co_spawn(this->Context, this->tickLoop(), asio::detached);
  asio::co_spawn(this->Context, this->introduceLoop(), asio::detached);
}

asio::awaitable<void> ControlProcess::stop() {
  logEvent(Severity::Info, "stop", {{"role", "control"}});
  this->Calls.drain();
  this->State.transferLeadership();
  Signal Pause(this->Context.get_executor());
  co_await Pause.wait(HandOverTime);
  this->Stopping = true;
  this->Calls.stop();
  this->Peers.stop();
  this->State.stop();
  for (auto &[Host, Link] : this->Links)
    Link->stop();
  co_await Pause.wait(LinkCloseTime);
  logEvent(
      Severity::Info, "stopped",
      {{"cut_off", static_cast<std::int64_t>(this->Calls.activeExchanges())}});
}

WireLink &ControlProcess::link(const HostName &Host) {
  std::unique_ptr<WireLink> &Link = this->Links[Host];
  if (!Link)
    Link = std::make_unique<WireLink>(
        this->Context.get_executor(),
        Host + ":" + std::to_string(this->Own.PeerPort), this->Wire,
        hash64(Host, hash64(this->Own.Ip)));
  return *Link;
}

void ControlProcess::stateChanged(const message::RegisterState &Changed) {
  if (Changed.version() > this->InForce.Version) {
    Findings Out;
    std::string Text =
        decompress(Changed.text(), MostCatalogBytes).value_or(std::string());
    if (auto Decoded = this->Dialect.readCatalog(Text, Out))
      this->InForce = std::move(*Decoded);
    else
      logEvent(Severity::Error, "catalog-unreadable",
               {{"version", static_cast<std::int64_t>(Changed.version())},
                {"findings", Out.report()}});
  }
  logEvent(Severity::Info, "state-agreed",
           {{"version", static_cast<std::int64_t>(Changed.version())},
            {"emptied_domains",
             static_cast<std::int64_t>(Changed.emptied_domains_size())}});
  this->Watchers.wake();
}

asio::awaitable<void> ControlProcess::tickLoop() {
  asio::steady_timer Timer(this->Context);
  auto Token = asio::as_tuple(asio::use_awaitable);
  while (!this->Stopping) {
    this->tick(monotonicNow());
    Timer.expires_after(TickInterval);
    co_await Timer.async_wait(Token);
  }
}

/// A disk that was full may have room again.
void ControlProcess::mendDisk(TimePoint Now) {
  if (Now - this->MendedAt < MendInterval)
    return;
  this->MendedAt = Now;
  std::string Error = this->State.mend();
  if (Error == this->DiskError)
    return;
  if (Error.empty())
    logEvent(Severity::Info, "disk-regained", {});
  else
    logEvent(Severity::Error, "disk-failed", {{"error", Error}});
  this->DiskError = std::move(Error);
}

void ControlProcess::tick(TimePoint Now) {
  this->mendDisk(Now);
  LogStatus Status = this->State.status();
  if (Status.Current != Role::Leader) {
    if (this->Foreman.leads())
      logEvent(Severity::Info, "leadership-lost", {});
    this->Foreman.stopLeading();
    this->ConfirmedAt.reset();
    return;
  }
  if (!this->Confirming) {
    this->Confirming = true;
    asio::co_spawn(
        this->Context,
        [this, Now]() -> asio::awaitable<void> {
          if (co_await this->State.confirm())
            this->ConfirmedAt = Now;
          this->Confirming = false;
        },
        asio::detached);
  }
  this->chooseVoters(Now);
  if (!this->leadsForSure() || this->InForce.Services.empty())
    return;
  if (!this->Foreman.leads() || this->LedTerm != Status.Term) {
    this->LedTerm = Status.Term;
    TimePoint HeardBy;
    if (!this->Own.FirstStart)
      HeardBy = this->StartedAt + this->Own.ReportInterval + HearingMargin;
    this->Foreman.lead(Now, Status.Term, this->InForce, HeardBy);
    logEvent(Severity::Info, "leadership-gained",
             {{"term", static_cast<std::int64_t>(Status.Term)},
              {"endpoints", static_cast<std::int64_t>(
                                this->Foreman.engines().all().size())}});
  }
  this->stepNow();
}

bool ControlProcess::leadsForSure() const {
  return this->ConfirmedAt &&
         monotonicNow() - *this->ConfirmedAt < PlanningLease;
}

/// When a whole failure domain goes dark all entry hosts say so within moments;
/// one step serves them all.
void ControlProcess::stepSoon() {
  if (this->StepScheduled)
    return;
  this->StepScheduled = true;
  asio::co_spawn(
      this->Context,
      [this]() -> asio::awaitable<void> {
        Signal Pause(this->Context.get_executor());
        co_await Pause.wait(this->SteppedAt + LeastStepPause - monotonicNow());
        this->StepScheduled = false;
        if (!this->Stopping)
          this->stepNow();
      },
      asio::detached);
}

void ControlProcess::stepNow() {
  this->SteppedAt = monotonicNow();
  if (this->Foreman.leads() &&
      this->Foreman.step(monotonicNow(), this->InForce))
    this->Watchers.wake();
}

void ControlProcess::chooseVoters(TimePoint Now) {
  LogStatus Status = this->State.status();
  auto Chosen = this->Hosts.chooseVoters(Now, Status.Voters, this->Own.Borne);
  if (!Chosen || !this->ConfirmedAt)
    return;
  bool Asked = this->VotersAsked == *Chosen;
  if (Now - this->VotersAskedAt < (Asked ? ChangeRepeat : ChangePause))
    return;
  this->VotersAskedAt = Now;
  this->VotersAsked = *Chosen;
  logEvent(Severity::Info, "voters-change",
           {{"voters", boost::algorithm::join(Status.Voters, " ")},
            {"wanted", boost::algorithm::join(*Chosen, " ")}});
  this->State.changeVoters(std::move(*Chosen));
}

asio::awaitable<void> ControlProcess::introduceLoop() {
  asio::steady_timer Timer(this->Context);
  auto Token = asio::as_tuple(asio::use_awaitable);
  while (!this->Stopping) {
    this->Hosts.forget(monotonicNow());
    this->State.meet(this->Hosts.known());
    for (const HostName &Host : this->Hosts.known())
      if (Host != this->Own.Ip)
        asio::co_spawn(this->Context, this->introduce(Host), asio::detached);
    Timer.expires_after(IntroduceInterval);
    co_await Timer.async_wait(Token);
  }
}

asio::awaitable<void> ControlProcess::introduce(HostName To) {
  message::IntroduceCall Call;
  Call.set_failure_domain(this->Own.FailureDomain);
  for (const HostName &Host : this->Hosts.known())
    Call.add_control_hosts(Host);
  WireReply Reply = co_await this->link(To).call(
      "introduce", Call.SerializeAsString(), IntroduceTimeout);
  message::IntroduceResult Result;
  if (Reply.End != WireCallEnd::Complete ||
      !Result.ParseFromString(Reply.Message))
    co_return;
  TimePoint Now = monotonicNow();
  this->Hosts.heard(Now, To, Result.failure_domain());
  for (const std::string &Host : Result.control_hosts())
    this->Hosts.learn(Now, Host);
}

std::map<std::string, WireHandler, std::less<>> ControlProcess::handlers() {
  std::map<std::string, WireHandler, std::less<>> Table;
  Table["consensus"] = [this](WireExchange &Exchange) -> asio::awaitable<void> {
    message::ConsensusMessage Message;
    if (Message.ParseFromString(Exchange.message()))
      this->State.receive(Exchange.caller(), Message);
    co_return;
  };
  Table["introduce"] = [this](WireExchange &Exchange) -> asio::awaitable<void> {
    message::IntroduceCall Call;
    Call.ParseFromString(Exchange.message());
    TimePoint Now = monotonicNow();
    this->Hosts.heard(Now, Exchange.caller(), Call.failure_domain());
    message::IntroduceResult Result;
    Result.set_failure_domain(this->Own.FailureDomain);
    for (const HostName &Host : this->Hosts.known())
      Result.add_control_hosts(Host);
    for (const std::string &Host : Call.control_hosts())
      this->Hosts.learn(Now, Host);
    co_await Exchange.send(Result.SerializeAsString());
  };
  Table["relay"] = [this](WireExchange &Exchange) -> asio::awaitable<void> {
    message::RelayCall Call;
    Call.ParseFromString(Exchange.message());
    TimePoint Now = monotonicNow();
    for (const message::EngineReportMessage &Each : Call.reports())
      this->Foreman.report(Now - std::chrono::milliseconds(Each.age_ms()),
                           fromMessage(Each));
    for (const std::string &Id : Call.leaving())
      this->Foreman.leave(Id);
    message::RelayResult Result;
    Result.set_leading(this->Foreman.leads());
    co_await Exchange.send(Result.SerializeAsString());
  };
  Table["watch"] = [this](WireExchange &Exchange) {
    return this->Watchers.watch(Exchange);
  };
  Table["pulse"] = [this](WireExchange &Exchange) {
    return this->Watchers.pulse(Exchange);
  };
  return Table;
}

} // namespace carobhinge
