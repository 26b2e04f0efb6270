//===- LibEntry/EntryProcess.cpp - One entry process ----------------------===//

#include <LibEntry/EntryProcess.h>

#include <LibCore/Signal.h>
#include <LibTelemetry/Log.h>
#include <LibTelemetry/MemoryMetrics.h>
#include <LibTelemetry/Supervision.h>
#include <algorithm>
#include <boost/algorithm/string/join.hpp>

namespace asio = boost::asio;

namespace carobhinge {

/// For the fields that a host adds to a request that it hands on.
static constexpr std::size_t HandedOnFieldBytes = 1024;
/// Closing the links to the control hosts takes one iteration of the executor.
static constexpr auto LinkCloseTime = std::chrono::milliseconds(50);
/// Between two checks for stalled targets.
static constexpr auto StallCheckInterval = std::chrono::milliseconds(60);
/// A host is ready while its last confirmation is younger than this fraction of
/// the revocation time, within which a revoked key must stop working.
static constexpr double ReadyAgeFraction = 0.55;
/// The platform checks readiness once a second and needs up to two seconds to
/// stop sending new connections to a host that isn't ready.
static constexpr auto UnreadyTime = std::chrono::milliseconds(2600);
/// Requests still in progress get their final answer this long before the end
/// of the grace time, and are cut off FinalAnswerTime later.
static constexpr auto GraceMargin = std::chrono::milliseconds(500);
static constexpr auto FinalAnswerTime = std::chrono::milliseconds(200);

EntryProcess::EntryProcess(asio::io_context &Context, HostSettings Settings,
                           const EndpointProtocol &Endpoints,
                           const ControlProtocol &Control)
    : Context(Context), Settings(std::move(Settings)),
      Budget(byteBudgetLimit(this->Settings.MemoryBytes)),
      Limits(this->ProcessMetrics), State(this->Settings),
      Client(Context.get_executor(), {.SingleThread = true,
                                      .MaxIdleTime = std::chrono::seconds(4),
                                      .LocalIp = this->Settings.OutgoingIp,
                                      .Budget = &this->Budget}),
      SharedContext{.Executor = Context.get_executor(),
                    .State = this->State,
                    .Protocol = Endpoints,
                    .Client = this->Client,
                    .ProcessMetrics = this->ProcessMetrics,
                    .Budget = this->Budget,
                    .Limits = this->Limits,
                    .StandbyCallbacks = {},
                    .ActiveSessions = {}},
      CallerServer(Context.get_executor(),
                   {.Listen = this->Settings.CallerAddress,
                    .Budget = &this->Budget,
                    .OnRefused =
                        [this](const HttpRefusal &Refusal) {
                          this->recordRefusal(Refusal);
                        }},
                   [this](HttpExchange &Exchange) {
                     return this->serve(Exchange, false);
                   }),
      PeerServer(Context.get_executor(),
                 {.Listen = this->Settings.Ip + ":" +
                            std::to_string(this->Settings.PeerListenPort),
                  .Budget = &this->Budget,
                  .OnRefused =
                      [this](const HttpRefusal &Refusal) {
                        this->recordRefusal(Refusal);
                      }},
                 [this](HttpExchange &Exchange) {
                   return this->serve(Exchange, true);
                 }),
      ReadinessServer(Context.get_executor(),
                      {.Listen = this->Settings.ReadinessAddress,
                       .Budget = &this->Budget,
                       .TakesWholeBudget = true},
                      [this](HttpExchange &Exchange) {
                        return this->answerReadiness(Exchange);
                      }),
      MetricsServer(Context.get_executor(),
                    {.Listen = this->Settings.Ip + ":" +
                               std::to_string(this->Settings.MetricsPort),
                     .Budget = &this->Budget,
                     .TakesWholeBudget = true},
                    [this](HttpExchange &Exchange) {
                      return this->answerMetrics(Exchange);
                    }),
      Subscriber(Context, this->State, Control, this->Budget,
                 [this] { this->applyLimits(); }) {}

void EntryProcess::recordRefusal(const HttpRefusal &Refusal) {
  if (isLimit(Refusal.Reason))
    this->Limits.record(httpRefusalReasonName(Refusal.Reason),
                        Refusal.CallerIp);
}

void EntryProcess::start() {
  logEvent(
      Severity::Info, "start",
      {{"role", "entry"},
       {"first_start", static_cast<std::int64_t>(this->Settings.FirstStart)}});
  this->CallerServer.start();
  this->PeerServer.start();
  this->ReadinessServer.start();
  this->MetricsServer.start();
  this->Subscriber.start();
  spawnLoop(this->Context.get_executor(), "stall checks",
            [this] { return this->checkStallsLoop(); });
}

void EntryProcess::applyLimits() {
  const CallerLimits &Limits = this->State.Routes->catalog().Limits;
  HttpServerLimits ServerLimits{.HeaderBytes = Limits.HeaderBytes,
                                .BodyBytes = Limits.BodyBytes,
                                .HeadTimeout = Limits.HeaderTimeout,
                                .TransferTimeout = Limits.HeaderTimeout * 3,
                                .UntakenTimeout = Limits.HeaderTimeout,
                                .IdleTimeout = Limits.IdleTimeout};
  this->CallerServer.setLimits(ServerLimits);
  // What a host handed on was within the limits there.
  ServerLimits.HeaderBytes += HandedOnFieldBytes;
  this->PeerServer.setLimits(ServerLimits);
}

asio::awaitable<void> EntryProcess::serve(HttpExchange &Exchange,
                                          bool IsForwarded) {
  CallerSession Session(this->SharedContext, Exchange, IsForwarded);
  co_await Session.run();
}

bool EntryProcess::isReady(TimePoint Now) const {
  if (this->State.IsStopping || !this->State.Routes)
    return false;
  std::optional<Duration> Age = this->State.Lease.age(Now);
  auto MaxAge =
      std::chrono::duration<double>(this->Settings.Bounds.RevocationTime) *
      ReadyAgeFraction;
  return Age && *Age < std::chrono::duration_cast<Duration>(MaxAge);
}

asio::awaitable<void> EntryProcess::answerReadiness(HttpExchange &Exchange) {
  TimePoint Now = monotonicNow();
  bool Ready = this->isReady(Now);
  if (Ready != this->ReportedReady) {
    this->ReportedReady = Ready;
    std::optional<Duration> Age = this->State.Lease.age(Now);
    logEvent(Severity::Info, "readiness",
             {{"ready", static_cast<std::int64_t>(Ready)},
              {"confirmation_age_ms", Age ? milliseconds(*Age) : -1}});
  }
  HttpResponse Answer{.Status = Ready ? 200U : 503U,
                      .ContentType = "text/plain",
                      .Headers = {},
                      .Body = ""};
  co_await Exchange.respond(std::move(Answer));
}

asio::awaitable<void> EntryProcess::answerMetrics(HttpExchange &Exchange) {
  TimePoint Now = monotonicNow();
  if (this->State.Routes)
    this->ProcessMetrics.setGauge(
        "catalog_version",
        static_cast<double>(this->State.Routes->catalog().Version));
  if (auto Age = this->State.Lease.age(Now))
    this->ProcessMetrics.setGauge("confirmation_age_seconds",
                                  std::chrono::duration<double>(*Age).count());
  this->ProcessMetrics.setGauge("entry_hosts", this->State.EntryHostCount);
  for (auto &[Service, Budget] : this->State.RetryBudgets) {
    std::string Label = "{service=\"" + Service + "\"}";
    this->ProcessMetrics.setGauge("repeats_in_window" + Label,
                                  Budget.usedRetries(Now));
    this->ProcessMetrics.setGauge(
        "repeats_allowed" + Label,
        Budget.allowedRetries(Now, this->State.EntryHostCount));
  }
  reportMemory(this->ProcessMetrics, this->Budget);
  this->ProcessMetrics.setGauge("ready", this->isReady(Now) ? 1 : 0);
  HttpResponse Answer{.Status = 200,
                      .ContentType = "text/plain; version=0.0.4",
                      .Headers = {},
                      .Body = this->ProcessMetrics.render()};
  co_await Exchange.respond(std::move(Answer));
}

void EntryProcess::updatePromptGuard(TimePoint Now) {
  PromptGuard &Guard = this->State.Guard;
  for (CrashReport &Crash : this->State.Crashes.takeCrashes(Now)) {
    logEvent(Severity::Warning, "engine-crashed",
             {{"endpoint", Crash.Engine},
              {"prompts", static_cast<std::int64_t>(Crash.Prompts.size())}});
    Guard.recordCrash(Now, std::move(Crash));
  }
  if (auto Refusal = Guard.update(Now, this->Subscriber.isSubscribed()))
    logEvent(Severity::Warning, "prompt-refused",
             {{"prompt_parts", formatPromptParts(Refusal->Parts)},
              {"engines", boost::algorithm::join(Refusal->Engines, " ")}});
  if (Guard.hasNewEvidence())
    this->Subscriber.requestPulse();
}

asio::awaitable<void> EntryProcess::checkStallsLoop() {
  asio::steady_timer Timer(this->Context);
  auto Token = asio::as_tuple(asio::use_awaitable);
  while (true) {
    Timer.expires_after(StallCheckInterval);
    co_await Timer.async_wait(Token);
    std::vector<AttemptNumber> StalledAttempts =
        this->State.RequestDispatcher.findStalledAttempts(monotonicNow());
    for (const auto &[Number, StartIfNeeded] :
         this->SharedContext.StandbyCallbacks)
      StartIfNeeded(std::ranges::binary_search(StalledAttempts, Number));
    this->updatePromptGuard(monotonicNow());
    if (this->State.RequestDispatcher.consumeNewLimit())
      this->Subscriber.requestPulse();
    if (this->State.RequestDispatcher.consumeNewSuspicion() ||
        !StalledAttempts.empty())
      this->Subscriber.requestPulse();
  }
}

asio::awaitable<void> EntryProcess::stop() {
  logEvent(Severity::Info, "stop", {{"role", "entry"}});
  this->State.IsStopping = true;
  this->CallerServer.drain();
  this->PeerServer.drain();
  TimePoint StopDeadline =
      monotonicNow() + this->Settings.Bounds.GraceTime - GraceMargin;
  this->State.Stop.beginStop(StopDeadline);
  Signal Pause(this->Context.get_executor());
  co_await Pause.wait(UnreadyTime);
  // If most hosts of a failure domain stop at once, the platform continues to
  // send to all of them. Requests that arrive after this point could not be
  // finished within the grace time, so the server stops accepting them.
  this->CallerServer.stop();
  this->PeerServer.stop();
  while (monotonicNow() < StopDeadline &&
         this->CallerServer.openConnections() +
                 this->PeerServer.openConnections() >
             0)
    co_await Pause.wait(std::chrono::milliseconds(100));
  // A final answer tells a caller more than a closed connection.
  std::set<CallerSession *> Unfinished = this->SharedContext.ActiveSessions;
  for (CallerSession *Session : Unfinished)
    if (this->SharedContext.ActiveSessions.contains(Session))
      Session->endInTime();
  if (!Unfinished.empty())
    co_await Pause.wait(FinalAnswerTime);
  this->Subscriber.stop();
  co_await Pause.wait(LinkCloseTime);
  logEvent(Severity::Info, "stopped",
           {{"cut_off",
             static_cast<std::int64_t>(this->CallerServer.activeExchanges() +
                                       this->PeerServer.activeExchanges())}});
}

} // namespace carobhinge
