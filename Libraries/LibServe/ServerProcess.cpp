//===- LibServe/ServerProcess.cpp - One serving process -------------------===//
///
/// \file
/// Construction, the tick, and the planned stop.
///
//===----------------------------------------------------------------------===//

#include <LibServe/ServerProcess.h>

#include <LibServe/Forwarding.h>
#include <LibTelemetry/Log.h>
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace carobhinge {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
static constexpr auto TickInterval = std::chrono::milliseconds(10);
/// Targets are made anew from the directory this often; the work grows with
/// the endpoints of the failure domain.
static constexpr auto TargetInterval = std::chrono::milliseconds(250);
static constexpr auto SummaryInterval = std::chrono::milliseconds(250);
static constexpr auto ControlInterval = std::chrono::milliseconds(500);
/// Records are kept for days; forgetting them may lag behind by this much.
static constexpr auto PruneInterval = std::chrono::minutes(10);
static constexpr auto RegisterBound = std::chrono::seconds(2);
static constexpr auto RegisterPause = std::chrono::milliseconds(200);
/// How long the hand-over of leadership is waited for.
static constexpr auto HandOverBound = std::chrono::seconds(2);
/// Between the moment a host turns unready and the moment it refuses work, so
/// that the balancer in front has time to notice.
static constexpr auto UnreadyGrace = std::chrono::seconds(1);
static constexpr auto StopPollInterval = std::chrono::milliseconds(20);

static Incarnation lifeFromWallClock() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count());
}

static HttpServerOptions serverOptions(const Settings &Own,
                                       const NetworkAddress &Listen) {
  return {.Listen = Listen.text(),
          .HeaderBytes = static_cast<std::size_t>(Own.Bounds.HeaderBytes),
          .BodyBytes = static_cast<std::size_t>(Own.Bounds.BodyBytes),
          .Connections = static_cast<std::size_t>(Own.Bounds.Connections),
          .TransferTimeout = Own.Times.RequestHeader};
}

static std::unique_ptr<ControlHost>
makeControlHost(const Settings &Own, Peers &Links, IntentKeeper &Intents) {
  if (!Own.Does.Control)
    return nullptr;
  ControlHostCallbacks Callbacks{
      .IntentAccepted =
          [&Intents](std::uint64_t Version, const std::string &Text) {
            Intents.accepted(Version, Text);
          },
      .IntentConfirmed =
          [&Intents](TimePoint ReadBegan) { Intents.confirmed(ReadBegan); }};
  return std::make_unique<ControlHost>(Own, Links, std::move(Callbacks));
}

ServerProcess::ServerProcess(asio::io_context &Context, Settings Given)
    : Context(Context), Own(std::move(Given)), Life(lifeFromWallClock()),
      Endpoints(Context.get_executor()), Links(Context.get_executor(), Own),
      Intents(Own, Links), Local(makeControlHost(Own, Links, Intents)),
      Control(Own, Links, Local.get()),
      Fleet(Context.get_executor(), Own, Life, Links, Control),
      Routers(Context.get_executor(), Own),
      Others(Links), Parts{.Own = Own,
                           .Links = Links,
                           .Control = Control,
                           .Intents = Intents,
                           .Fleet = Fleet,
                           .Routers = Routers,
                           .Others = Others,
                           .Figures = Figures,
                           .Endpoints = Endpoints,
                           .Life = Life,
                           .LifeRegistered = LifeRegistered,
                           .LastAttempt = LastAttempt,
                           .Background = Background},
      Callers(Parts), Operators(Parts, Local.get(), Stopping),
      CallerServer(Context.get_executor(),
                   serverOptions(Own, Own.Listen.Callers),
                   [this](HttpExchange &Exchange) {
                     return this->Callers.handle(Exchange, false);
                   }),
      EndpointServer(Context.get_executor(),
                     serverOptions(Own, Own.Listen.Endpoints),
                     [this](HttpExchange &Exchange) {
                       return this->handleEndpoint(Exchange);
                     }),
      OperatorServer(Context.get_executor(),
                     serverOptions(Own, Own.Listen.Operators),
                     [this](HttpExchange &Exchange) {
                       return this->Operators.handle(Exchange);
                     }),
      PeerServer(Context.get_executor(), Own.Listen.Peers.text(),
                 wireOptions(Own), this->wireHandlers()) {}

ServerProcess::~ServerProcess() {
  if (this->Local)
    this->Local->stop();
}

std::map<std::string, WireHandler, std::less<>> ServerProcess::wireHandlers() {
  std::map<std::string, WireHandler, std::less<>> Table;
  Table["intent"] = [this](WireExchange &Call) -> asio::awaitable<void> {
    message::IntentMessage Message;
    if (Message.ParseFromString(Call.message()))
      this->Intents.received(Call.caller(), Message);
    co_return;
  };
  Table["serve.summary"] = [this](WireExchange &Call) -> asio::awaitable<void> {
    message::ServiceSummaries Message;
    if (Message.ParseFromString(Call.message()))
      this->Others.received(Call.caller(), Message);
    co_return;
  };
  Table["serve.forward"] = forwardHandler([this](HttpExchange &Exchange) {
    return this->Callers.handle(Exchange, true);
  });
  this->Fleet.addHandlers(Table);
  if (this->Local)
    this->Local->addHandlers(Table);
  return Table;
}

void ServerProcess::start() {
  this->PeerServer.start();
  this->OperatorServer.start();
  this->EndpointServer.start();
  this->CallerServer.start();
  asio::co_spawn(asio::make_strand(this->Context), this->tickLoop(),
                 asio::detached);
  asio::co_spawn(this->Context, this->registerLife(), asio::detached);
  logEvent(Severity::Info, "started",
           {{"callers", this->CallerServer.address()},
            {"operators", this->OperatorServer.address()},
            {"incarnation", static_cast<std::int64_t>(this->Life.load())}});
}

asio::awaitable<void> ServerProcess::handleEndpoint(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  HttpResponse Response{.Status = 404, .Body = R"({"error":"no such path"})"};
  if (Request.Method == "POST" && Request.path() == "/endpoints") {
    Findings Faults;
    this->Fleet.announced(Request.Body, Faults);
    Response.Status = Faults.empty() ? 200 : 400;
    Response.Body = Faults.empty() ? R"({"taken":true})" : Faults.report();
  }
  co_await Exchange.respond(std::move(Response));
}

//===----------------------------------------------------------------------===//
// Registration with the ledger
//===----------------------------------------------------------------------===//

/// Until every shard has retired the earlier lives of this host, a claim of
/// one of them could still look like a claim in flight.
asio::awaitable<void> ServerProcess::registerLife() {
  std::uint32_t Shard = 0;
  while (Shard < this->Control.ledgerShards() && !this->Stopping)
    if (co_await this->retireEarlierLives(Shard))
      ++Shard;
  this->LifeRegistered = Shard == this->Control.ledgerShards();
}

/// True once the shard knows this life as the newest one of this host.
asio::awaitable<bool> ServerProcess::retireEarlierLives(std::uint32_t Shard) {
  message::LedgerCommand Command;
  Command.mutable_retire()->set_host(this->Own.Host);
  Command.mutable_retire()->set_incarnation(this->Life);
  auto Result = co_await this->Control.propose(
      FirstLedgerLog + Shard, Command.SerializeAsString(), RegisterBound);
  message::LedgerReply Reply;
  if (Result.status() == message::LOG_COMMITTED &&
      Reply.ParseFromString(Result.reply())) {
    if (Reply.incarnation() <= this->Life)
      co_return true;
    // The wall clock went back since the last life: go above that one.
    logEvent(Severity::Warning, "clock-went-back",
             {{"incarnation", static_cast<std::int64_t>(this->Life.load())},
              {"known", static_cast<std::int64_t>(Reply.incarnation())}});
    this->Life = Reply.incarnation() + 1;
  }
  asio::steady_timer Pause(this->Context, RegisterPause);
  co_await Pause.async_wait(UseTuple);
  co_return false;
}

//===----------------------------------------------------------------------===//
// The tick
//===----------------------------------------------------------------------===//

asio::awaitable<void> ServerProcess::tickLoop() {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (!this->Stopped) {
    this->Intents.tick();
    this->intentTick();
    this->Fleet.tick();
    this->routingTick();
    TimePoint Now = monotonicNow();
    if (this->Local && Now >= this->NextPrune) {
      this->NextPrune = Now + PruneInterval;
      this->prune();
    }
    if (this->Local && Now >= this->NextControlTick) {
      this->NextControlTick = Now + ControlInterval;
      this->Local->tick();
    }
    if (Now >= this->NextSummary) {
      this->NextSummary = Now + SummaryInterval;
      this->sendSummaries();
    }
    Timer.expires_after(TickInterval);
    co_await Timer.async_wait(UseTuple);
  }
}

/// Lets the ledger shards that this host leads forget what their services no
/// longer want kept.
void ServerProcess::prune() {
  std::shared_ptr<const Intent> Wanted = this->Intents.intent();
  if (!Wanted)
    return;
  for (const ServiceSpec &Service : Wanted->Services) {
    std::int64_t Days = 0;
    for (const CallSpec &Each : Service.Calls)
      if (Each.Key && Each.Key->Rule == KeyRule::Dated)
        Days = std::max(Days, Each.Key->RetentionDays);
    if (Days > 0)
      this->Local->prune(Service.Name, static_cast<std::uint32_t>(Days));
  }
}

void ServerProcess::intentTick() {
  std::shared_ptr<const Intent> Wanted = this->Intents.intent();
  if (!Wanted)
    return;
  std::uint64_t Version = this->Intents.version();
  bool Closed = this->Intents.refusal() != DomainRefusal::None;
  if (Version == this->ToldVersion && Closed == this->ToldClosed)
    return;
  this->ToldVersion = Version;
  this->ToldClosed = Closed;
  this->Routers.intentChanged(*Wanted);
  this->Fleet.intentChanged(*Wanted, Closed);
  this->NextTargets = TimePoint();
  logEvent(Severity::Info, "intent-in-force",
           {{"version", static_cast<std::int64_t>(Version)},
            {"domain", refusalName(this->Intents.refusal())}});
}

/// Tells a router only what changed; load reports alone are cheap to tell.
static void tellTargets(ServiceRouter &Router, std::span<const Target> Targets,
                        std::span<const Target> Told) {
  auto SameButLoad = [](Target Left, const Target &Right) {
    Left.Load = Right.Load;
    return Left == Right;
  };
  if (!std::ranges::equal(Targets, Told, SameButLoad)) {
    Router.targetsChanged(Targets);
    return;
  }
  for (std::size_t I = 0; I < Targets.size(); ++I)
    if (Targets[I].Load != Told[I].Load)
      Router.reportLoad(Targets[I]);
}

void ServerProcess::routingTick() {
  TimePoint Now = monotonicNow();
  bool Refresh = Now >= this->NextTargets;
  if (Refresh)
    this->NextTargets = Now + TargetInterval;
  for (const auto &[Service, Router] : this->Routers.all()) {
    if (Refresh) {
      std::vector<Target> Targets = this->Fleet.targets(Service);
      std::vector<Target> &Told = this->ToldTargets[Service];
      tellTargets(*Router, Targets, Told);
      Told = std::move(Targets);
      Router->neighboursChanged(this->Others.summaries(Service));
    }
    Router->tick();
  }
}

/// Tells the other failure domains what this host can take, and the planner
/// what is outstanding here.
void ServerProcess::sendSummaries() {
  message::ServiceSummaries Message;
  Message.set_failure_domain(this->Own.FailureDomain);
  Message.set_out(this->Stopping ||
                  this->Intents.refusal() != DomainRefusal::None);
  std::map<GroupName, std::uint32_t> Outstanding;
  for (const auto &[Service, Router] : this->Routers.all()) {
    DomainSummary Summary = Router->summary();
    auto *Item = Message.add_items();
    Item->set_service(Service);
    Item->set_spare_slots(Summary.SpareSlots);
    Item->set_queued(Summary.Queued);
    Item->set_slot_time_ns(
        static_cast<std::uint64_t>(Summary.SlotTime.count()));
    for (const TargetUsage &Each : Router->status().Targets)
      if (Each.Outstanding > 0)
        Outstanding[Each.TargetName] += Each.Outstanding;
  }
  std::string Bytes = Message.SerializeAsString();
  for (const HostName &Host : this->Links.remoteEntryHosts())
    this->Links.post(Host, "serve.summary", Bytes);
  this->Fleet.reportOutstanding(std::move(Outstanding));
}

//===----------------------------------------------------------------------===//
// The planned stop
//===----------------------------------------------------------------------===//

bool ServerProcess::idle() const {
  return this->CallerServer.activeExchanges() == 0 && this->Background == 0;
}

asio::awaitable<bool> ServerProcess::stop() {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  auto Sleep = [&Timer](Duration Length) {
    Timer.expires_after(Length);
    return Timer.async_wait(UseTuple);
  };
  logEvent(Severity::Info, "stopping", {});
  this->Stopping = true;
  co_await Sleep(UnreadyGrace);
  this->Routers.drain();
  TimePoint Deadline = monotonicNow() + this->Own.Times.Drain;
  while (!this->idle() && monotonicNow() < Deadline)
    co_await Sleep(StopPollInterval);
  bool Finished = this->idle();
  this->CallerServer.stop();
  this->EndpointServer.stop();
  if (this->Local) {
    TimePoint HandOverDeadline = monotonicNow() + HandOverBound;
    this->Local->transferLeadership();
    while (this->Local->leads() && monotonicNow() < HandOverDeadline)
      co_await Sleep(StopPollInterval);
    this->Local->stop();
  }
  this->OperatorServer.stop();
  this->PeerServer.stop();
  this->Stopped = true;
  logEvent(Severity::Info, "stopped",
           {{"cut_off", static_cast<std::int64_t>(Finished ? 0 : 1)}});
  co_return Finished;
}

} // namespace carobhinge
