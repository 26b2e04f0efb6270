//===- LibServe/ServerProcess.cpp - One serving process -------------------===//
///
/// \file
/// Construction, the tick, and the planned shutdown.
///
//===----------------------------------------------------------------------===//

#include <LibServe/ServerProcess.h>

#include <LibServe/Forwarding.h>
#include <LibTelemetry/Log.h>
#include <LibTelemetry/Supervision.h>
#include <LibWire/MessageParser.h>
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

namespace asio = boost::asio;

namespace carobhinge {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
static constexpr auto TickInterval = std::chrono::milliseconds(10);
/// Interval at which targets are rebuilt from the directory; the cost grows
/// with the number of endpoints in the failure domain.
static constexpr auto TargetInterval = std::chrono::milliseconds(250);
static constexpr auto SummaryInterval = std::chrono::milliseconds(250);
static constexpr auto ControlInterval = std::chrono::milliseconds(500);
/// Records are kept for days, so their deletion may be late by this interval.
static constexpr auto PruneInterval = std::chrono::minutes(10);
static constexpr auto RegisterTimeout = std::chrono::seconds(2);
static constexpr auto RegisterRetryInterval = std::chrono::milliseconds(200);
/// Time limit of the leadership transfer.
static constexpr auto LeadershipTransferTimeout = std::chrono::seconds(2);
/// Delay between reporting unready and refusing work, so that the load balancer
/// can notice.
static constexpr auto UnreadyGrace = std::chrono::seconds(1);
static constexpr auto StopPollInterval = std::chrono::milliseconds(20);

static Incarnation incarnationFromWallClock() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count());
}

static HttpServerOptions serverOptions(const Settings &LocalSettings,
                                       const NetworkAddress &Listen,
                                       SharedByteBudget &Budget,
                                       LimitLog &Limits,
                                       bool TakesWholeBudget) {
  return {
      .Listen = Listen.text(),
      .HeaderBytes = static_cast<std::size_t>(LocalSettings.Bounds.HeaderBytes),
      .BodyBytes = static_cast<std::size_t>(LocalSettings.Bounds.BodyBytes),
      .Connections = static_cast<std::size_t>(LocalSettings.Bounds.Connections),
      .HeadTimeout = LocalSettings.Times.RequestHeader,
      .TransferTimeout = LocalSettings.Times.RequestHeader,
      .Budget = &Budget,
      .TakesWholeBudget = TakesWholeBudget,
      .OnRefused = [&Limits](const HttpRefusal &Refusal) {
        if (isLimit(Refusal.Reason))
          Limits.record(httpRefusalReasonName(Refusal.Reason),
                        Refusal.CallerIp);
      }};
}

static WireOptions peerServerOptions(const Settings &LocalSettings,
                                     const SharedByteBudget &Budget,
                                     LimitLog &Limits,
                                     RefusedMessageLog &RefusedMessages) {
  WireOptions Options = wireOptions(LocalSettings, Budget);
  Options.Connections =
      std::min(static_cast<std::size_t>(LocalSettings.Bounds.Connections),
               wireConnectionLimit(static_cast<std::size_t>(
                                       LocalSettings.Bounds.MemoryMegabytes) *
                                   BytesPerMegabyte));
  Options.OnLimitReached = [&Limits](std::string_view Limit,
                                     std::string_view Peer) {
    Limits.record(Limit, Peer);
  };
  std::set<std::string, std::less<>> ControlIps;
  for (const Peer &Each : LocalSettings.Peers)
    if (Each.AssignedRoles.Control)
      ControlIps.insert(Each.Address.Ip);
  Options.HasOwnPlaces = [ControlIps =
                              std::move(ControlIps)](std::string_view Ip) {
    return ControlIps.contains(Ip);
  };
  Options.OnNameRefused = [&RefusedMessages](std::string_view Peer,
                                             const Findings &Found) {
    RefusedMessages.record(Peer, Found);
  };
  return Options;
}

static std::unique_ptr<ControlHost>
makeControlHost(const Settings &LocalSettings, Peers &Links,
                IntentManager &Intents, RefusedMessageLog &RefusedMessages) {
  if (!LocalSettings.AssignedRoles.Control)
    return nullptr;
  ControlHostCallbacks Callbacks{
      .IntentAccepted =
          [&Intents](std::uint64_t Version, const std::string &Text) {
            Intents.accepted(Version, Text);
          },
      .IntentConfirmed =
          [&Intents](TimePoint ReadStartedAt) {
            Intents.confirmed(ReadStartedAt);
          },
      .MessageRefused =
          [&RefusedMessages](const HostName &From, const Findings &Found) {
            RefusedMessages.record(From, Found);
          }};
  return std::make_unique<ControlHost>(LocalSettings, Links,
                                       std::move(Callbacks));
}

ServerProcess::ServerProcess(asio::io_context &Context,
                             Settings InitialSettings)
    : Context(Context), LocalSettings(std::move(InitialSettings)),
      LocalIncarnationNumber(incarnationFromWallClock()),
      Budget(byteBudgetLimit(
          static_cast<std::size_t>(LocalSettings.Bounds.MemoryMegabytes) *
          BytesPerMegabyte)),
      Limits(ProcessMetrics), RefusedMessages(ProcessMetrics),
      Endpoints(Context.get_executor(), {.Budget = &Budget}),
      Links(Context.get_executor(), LocalSettings, Budget),
      Intents(LocalSettings, Links),
      Local(makeControlHost(LocalSettings, Links, Intents, RefusedMessages)),
      Control(LocalSettings, Links, Local.get()),
      Fleet(Context.get_executor(), LocalSettings, LocalIncarnationNumber,
            Links, Control, Budget, Limits),
      Routers(Context.get_executor(), LocalSettings), RemoteDomains(Links),
      Prompts(LocalSettings, Links),
      Components{.LocalSettings = LocalSettings,
                 .Links = Links,
                 .Control = Control,
                 .Intents = Intents,
                 .Fleet = Fleet,
                 .Routers = Routers,
                 .RemoteDomains = RemoteDomains,
                 .ProcessMetrics = ProcessMetrics,
                 .Budget = Budget,
                 .Limits = Limits,
                 .Endpoints = Endpoints,
                 .Prompts = Prompts,
                 .LocalIncarnationNumber = LocalIncarnationNumber,
                 .IncarnationRegistered = IncarnationRegistered,
                 .LastAttempt = LastAttempt,
                 .BackgroundTasks = BackgroundTasks},
      Callers(Components), Operators(Components, Local.get(), Stopping),
      CallerServer(Context.get_executor(),
                   serverOptions(LocalSettings, LocalSettings.Listen.Callers,
                                 Budget, Limits, false),
                   [this](HttpExchange &Exchange) {
                     return this->Callers.handle(Exchange, false);
                   }),
      EndpointServer(Context.get_executor(),
                     serverOptions(LocalSettings,
                                   LocalSettings.Listen.Endpoints, Budget,
                                   Limits, true),
                     [this](HttpExchange &Exchange) {
                       return this->handleEndpoint(Exchange);
                     }),
      OperatorServer(Context.get_executor(),
                     serverOptions(LocalSettings,
                                   LocalSettings.Listen.Operators, Budget,
                                   Limits, true),
                     [this](HttpExchange &Exchange) {
                       return this->Operators.handle(Exchange);
                     }),
      PeerServer(
          Context.get_executor(), LocalSettings.Listen.Peers.text(),
          peerServerOptions(LocalSettings, Budget, Limits, RefusedMessages),
          this->wireHandlers()) {}

ServerProcess::~ServerProcess() {
  if (this->Local)
    this->Local->stop();
}

std::map<std::string, WireHandler, std::less<>> ServerProcess::wireHandlers() {
  std::map<std::string, WireHandler, std::less<>> Table;
  Table["intent"] = [this](WireExchange &Call) -> asio::awaitable<void> {
    message::IntentMessage Message;
    if (parseMessage(Message, Call.message()))
      this->Intents.received(Call.caller(), Message);
    co_return;
  };
  Table["serve.summary"] = [this](WireExchange &Call) -> asio::awaitable<void> {
    message::ServiceSummaries Message;
    if (parseMessage(Message, Call.message()))
      this->RemoteDomains.received(Call.caller(), Message);
    co_return;
  };
  Table["serve.prompts"] = [this](WireExchange &Call) -> asio::awaitable<void> {
    message::PromptEvidenceMessage Message;
    if (parseMessage(Message, Call.message()))
      this->Prompts.received(Call.caller(), Message);
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
  spawnLoop(asio::make_strand(this->Context), "tick",
            [this] { return this->tickLoop(); });
  spawnLoop(
      this->Context.get_executor(), "registration",
      [this] { return this->registerIncarnation(); }, NeverGivenUp);
  logEvent(Severity::Info, "started",
           {{"callers", this->CallerServer.address()},
            {"operators", this->OperatorServer.address()},
            {"incarnation",
             static_cast<std::int64_t>(this->LocalIncarnationNumber.load())}});
}

asio::awaitable<void> ServerProcess::handleEndpoint(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  HttpResponse Response{.Status = 404, .Body = R"({"error":"no such path"})"};
  if (Request.Method == "POST" && Request.path() == "/endpoints") {
    Findings Faults;
    this->Fleet.handleAnnouncement(Request.Body, Faults);
    Response.Status = Faults.empty() ? 200 : 400;
    Response.Body = Faults.empty() ? R"({"taken":true})" : Faults.report();
  }
  co_await Exchange.respond(std::move(Response));
}

//===----------------------------------------------------------------------===//
// Registration with the ledger
//===----------------------------------------------------------------------===//

/// Until every shard has retired the earlier incarnations of this host, their
/// claims could still look like claims in flight.
asio::awaitable<void> ServerProcess::registerIncarnation() {
  std::uint32_t Shard = 0;
  while (Shard < this->Control.ledgerShards() && !this->Stopping)
    if (co_await this->retireEarlierIncarnations(Shard))
      ++Shard;
  this->IncarnationRegistered = Shard == this->Control.ledgerShards();
}

/// Returns true if the shard has recorded this incarnation as the newest of
/// this host.
asio::awaitable<bool>
ServerProcess::retireEarlierIncarnations(std::uint32_t Shard) {
  message::LedgerCommand Command;
  Command.mutable_retire()->set_host(this->LocalSettings.Host);
  Command.mutable_retire()->set_incarnation(this->LocalIncarnationNumber);
  auto Result = co_await this->Control.propose(
      FirstLedgerLog + Shard, Command.SerializeAsString(), RegisterTimeout);
  message::LedgerReply Reply;
  if (Result.status() == message::LOG_COMMITTED &&
      Reply.ParseFromString(Result.reply())) {
    if (Reply.incarnation() <= this->LocalIncarnationNumber)
      co_return true;
    // The wall clock went back since the last incarnation: use a higher number.
    logEvent(Severity::Warning, "clock-went-back",
             {{"incarnation",
               static_cast<std::int64_t>(this->LocalIncarnationNumber.load())},
              {"known", static_cast<std::int64_t>(Reply.incarnation())}});
    this->LocalIncarnationNumber = Reply.incarnation() + 1;
  }
  asio::steady_timer Pause(this->Context, RegisterRetryInterval);
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
    this->Prompts.tick();
    TimePoint Now = monotonicNow();
    if (this->Local && Now >= this->NextPrune) {
      this->NextPrune = Now + PruneInterval;
      this->prune();
    }
    if (this->Local && Now >= this->NextControlTick) {
      this->NextControlTick = Now + ControlInterval;
      this->Local->tick();
      this->recoverLogs();
    }
    if (Now >= this->NextSummary) {
      this->NextSummary = Now + SummaryInterval;
      this->sendSummaries();
    }
    Timer.expires_after(TickInterval);
    co_await Timer.async_wait(UseTuple);
  }
}

/// Opening a log reads the disk, so it doesn't hold up the tick.
void ServerProcess::recoverLogs() {
  if (this->RecoveringLogs.exchange(true))
    return;
  spawnTask(this->Context.get_executor(), "recovery of the logs",
            [this]() -> asio::awaitable<void> {
              try {
                this->Local->recover(monotonicNow());
              } catch (...) {
                this->RecoveringLogs = false;
                throw;
              }
              this->RecoveringLogs = false;
              co_return;
            });
}

/// Prunes expired records from the ledger shards that this host leads.
void ServerProcess::prune() {
  std::shared_ptr<const Intent> IntentSnapshot = this->Intents.intent();
  if (!IntentSnapshot)
    return;
  for (const ServiceSpec &Service : IntentSnapshot->Services) {
    std::int64_t Days = 0;
    for (const CallSpec &Each : Service.Calls)
      if (Each.Key && Each.Key->Rule == KeyRule::Dated)
        Days = std::max(Days, Each.Key->RetentionDays);
    if (Days > 0)
      this->Local->prune(Service.Name, static_cast<std::uint32_t>(Days));
  }
}

void ServerProcess::intentTick() {
  std::shared_ptr<const Intent> IntentSnapshot = this->Intents.intent();
  if (!IntentSnapshot)
    return;
  std::uint64_t Version = this->Intents.version();
  bool Closed = this->Intents.refusal() != DomainRefusal::None;
  if (Version == this->AppliedVersion && Closed == this->AppliedDomainClosed)
    return;
  this->AppliedVersion = Version;
  this->AppliedDomainClosed = Closed;
  this->Routers.applyIntent(*IntentSnapshot);
  this->Fleet.applyIntent(*IntentSnapshot, Closed);
  this->NextTargets = TimePoint();
  logEvent(Severity::Info, "intent-in-force",
           {{"version", static_cast<std::int64_t>(Version)},
            {"domain", refusalName(this->Intents.refusal())}});
}

/// Reports only changes to a router; load reports alone are cheap.
static void reportTargets(ServiceRouter &Router,
                          std::span<const Target> Targets,
                          std::span<const Target> Reported) {
  auto SameButLoad = [](Target Left, const Target &Right) {
    Left.Load = Right.Load;
    return Left == Right;
  };
  if (!std::ranges::equal(Targets, Reported, SameButLoad)) {
    Router.setTargets(Targets);
    return;
  }
  for (std::size_t I = 0; I < Targets.size(); ++I)
    if (Targets[I].Load != Reported[I].Load)
      Router.reportLoad(Targets[I]);
}

void ServerProcess::routingTick() {
  TimePoint Now = monotonicNow();
  bool Refresh = Now >= this->NextTargets;
  if (Refresh)
    this->NextTargets = Now + TargetInterval;
  for (const auto &[Service, Router] : this->Routers.all()) {
    if (Refresh) {
      Router->setPlace(this->Fleet.place());
      std::vector<Target> Targets = this->Fleet.targets(Service);
      std::vector<Target> &Reported = this->ReportedTargets[Service];
      reportTargets(*Router, Targets, Reported);
      Reported = std::move(Targets);
      Router->setSpilloverDomains(this->RemoteDomains.summaries(Service));
    }
    Router->tick();
  }
}

/// Reports this host's spare capacity to the other failure domains, and its
/// outstanding work to the planner.
void ServerProcess::sendSummaries() {
  message::ServiceSummaries Message;
  Message.set_failure_domain(this->LocalSettings.FailureDomain);
  Message.set_out(this->Stopping ||
                  this->Intents.refusal() != DomainRefusal::None);
  std::map<GroupName, std::uint32_t> Outstanding;
  std::size_t Requests = 0;
  for (const auto &[Service, Router] : this->Routers.all()) {
    DomainSummary Summary = Router->summary();
    auto *Item = Message.add_items();
    Item->set_service(Service);
    Item->set_spare_slots(Summary.SpareSlots);
    Item->set_queued(Summary.Queued);
    Item->set_slot_time_ns(
        static_cast<std::uint64_t>(Summary.SlotTime.count()));
    RouterStatus Status = Router->status();
    Requests += Status.Queued + Status.InFlight;
    for (const TargetUsage &Each : Status.Targets)
      if (Each.Outstanding > 0)
        Outstanding[Each.TargetName] += Each.Outstanding;
  }
  std::string Bytes = Message.SerializeAsString();
  for (const HostName &Host : this->Links.remoteEntryHosts())
    this->Links.post(Host, "serve.summary", Bytes);
  this->Fleet.reportOutstanding(std::move(Outstanding),
                                static_cast<std::uint32_t>(Requests));
}

//===----------------------------------------------------------------------===//
// Planned shutdown
//===----------------------------------------------------------------------===//

bool ServerProcess::idle() const {
  return this->CallerServer.activeExchanges() == 0 &&
         this->BackgroundTasks == 0;
}

asio::awaitable<bool> ServerProcess::stop() {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  auto Sleep = [&Timer](Duration Length) {
    Timer.expires_after(Length);
    return Timer.async_wait(UseTuple);
  };
  logEvent(Severity::Info, "stopping", {});
  this->Stopping = true;
  this->CallerServer.drain();
  co_await Sleep(UnreadyGrace);
  this->Routers.drain();
  TimePoint Deadline = monotonicNow() + this->LocalSettings.Times.Drain;
  while (!this->idle() && monotonicNow() < Deadline)
    co_await Sleep(StopPollInterval);
  this->CallerServer.stop();
  // A request that was read after the last look at the active exchanges.
  while ((this->CallerServer.openConnections() > 0 || !this->idle()) &&
         monotonicNow() < Deadline)
    co_await Sleep(StopPollInterval);
  bool Finished = this->idle();
  this->EndpointServer.stop();
  if (this->Local) {
    TimePoint TransferDeadline = monotonicNow() + LeadershipTransferTimeout;
    this->Local->transferLeadership();
    while (this->Local->leads() && monotonicNow() < TransferDeadline)
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
