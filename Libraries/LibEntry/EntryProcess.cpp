//===- LibEntry/EntryProcess.cpp - One entry process ----------------------===//

#include <LibEntry/EntryProcess.h>

#include <LibCore/Signal.h>
#include <LibTelemetry/Log.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace asio = boost::asio;

namespace carobhinge {

/// Closing the links to the control hosts takes one turn of the executor.
static constexpr auto LinkCloseTime = std::chrono::milliseconds(50);
/// Between two looks for places that stand still.
static constexpr auto WatchInterval = std::chrono::milliseconds(60);
/// A host is ready while its last confirmation is younger than this share of
/// the time in which keys must stop working.
static constexpr double ReadyShare = 0.55;
/// The platform needs up to two seconds, asking once a second, to send no new
/// connections to a host that isn't ready.
static constexpr auto UnreadyTime = std::chrono::milliseconds(2600);
/// Left of the grace time when whatever is still in progress is cut off.
static constexpr auto GraceMargin = std::chrono::milliseconds(300);

EntryProcess::EntryProcess(asio::io_context &Context, HostSettings Given,
                           const EndpointDialect &Endpoints,
                           const ControlDialect &Control)
    : Context(Context), Own(std::move(Given)), State(this->Own),
      Client(Context.get_executor(),
             {.SingleThread = true, .IdleAge = std::chrono::seconds(4)}),
      Shared{.Executor = Context.get_executor(),
             .State = this->State,
             .Dialect = Endpoints,
             .Client = this->Client,
             .Figures = this->Figures,
             .Abandon = {}},
      Callers(Context.get_executor(), {.Listen = this->Own.CallerAddress},
              [this](HttpExchange &Exchange) { return this->serve(Exchange); }),
      Readiness(Context.get_executor(), {.Listen = this->Own.ReadinessAddress},
                [this](HttpExchange &Exchange) {
                  return this->tellReadiness(Exchange);
                }),
      MetricsServer(Context.get_executor(),
                    {.Listen = this->Own.Ip + ":" +
                               std::to_string(this->Own.MetricsPort)},
                    [this](HttpExchange &Exchange) {
                      return this->tellMetrics(Exchange);
                    }),
      Follower(Context, this->State, Control, [this] { this->applyLimits(); }) {
}

void EntryProcess::start() {
  logEvent(Severity::Info, "start",
           {{"role", "entry"},
            {"first_start", static_cast<std::int64_t>(this->Own.FirstStart)}});
  this->Callers.start();
  this->Readiness.start();
  this->MetricsServer.start();
  this->Follower.start();
  asio::co_spawn(this->Context, this->watchLoop(), asio::detached);
}

void EntryProcess::applyLimits() {
  const CallerLimits &Limits = this->State.Routes->catalog().Limits;
  this->Callers.setLimits(Limits.HeaderBytes, Limits.BodyBytes,
                          Limits.HeaderTimeout * 3, Limits.IdleTimeout);
}

asio::awaitable<void> EntryProcess::serve(HttpExchange &Exchange) {
  CallerSession Session(this->Shared, Exchange);
  co_await Session.run();
}

bool EntryProcess::isReady(TimePoint Now) const {
  if (this->State.Stopping || !this->State.Routes)
    return false;
  std::optional<Duration> Age = this->State.Lease.age(Now);
  auto Most = std::chrono::duration<double>(this->Own.Bounds.RevocationTime) *
              ReadyShare;
  return Age && *Age < std::chrono::duration_cast<Duration>(Most);
}

asio::awaitable<void> EntryProcess::tellReadiness(HttpExchange &Exchange) {
  TimePoint Now = monotonicNow();
  bool Ready = this->isReady(Now);
  if (Ready != this->SaidReady) {
    this->SaidReady = Ready;
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

asio::awaitable<void> EntryProcess::tellMetrics(HttpExchange &Exchange) {
  TimePoint Now = monotonicNow();
  if (this->State.Routes)
    this->Figures.setGauge(
        "catalog_version",
        static_cast<double>(this->State.Routes->catalog().Version));
  if (auto Age = this->State.Lease.age(Now))
    this->Figures.setGauge("confirmation_age_seconds",
                           std::chrono::duration<double>(*Age).count());
  this->Figures.setGauge("entry_hosts", this->State.EntryHosts);
  for (auto &[Service, Budget] : this->State.Budgets) {
    std::string Label = "{service=\"" + Service + "\"}";
    this->Figures.setGauge("repeats_in_window" + Label, Budget.taken(Now));
    this->Figures.setGauge("repeats_allowed" + Label,
                           Budget.allowed(Now, this->State.EntryHosts));
  }
  this->Figures.setGauge("ready", this->isReady(Now) ? 1 : 0);
  HttpResponse Answer{.Status = 200,
                      .ContentType = "text/plain; version=0.0.4",
                      .Headers = {},
                      .Body = this->Figures.render()};
  co_await Exchange.respond(std::move(Answer));
}

asio::awaitable<void> EntryProcess::watchLoop() {
  asio::steady_timer Timer(this->Context);
  auto Token = asio::as_tuple(asio::use_awaitable);
  while (true) {
    Timer.expires_after(WatchInterval);
    co_await Timer.async_wait(Token);
    std::vector<AttemptNumber> Standing =
        this->State.Board.findStanding(monotonicNow());
    for (AttemptNumber Number : Standing) {
      auto Found = this->Shared.Abandon.find(Number);
      if (Found != this->Shared.Abandon.end())
        Found->second();
    }
    if (this->State.Board.takeSuspicion() || !Standing.empty())
      this->Follower.pulseSoon();
  }
}

asio::awaitable<void> EntryProcess::stop() {
  logEvent(Severity::Info, "stop", {{"role", "entry"}});
  this->State.Stopping = true;
  this->Callers.drain();
  TimePoint End = monotonicNow() + this->Own.Bounds.GraceTime - GraceMargin;
  Signal Pause(this->Context.get_executor());
  co_await Pause.wait(UnreadyTime);
  // Where most hosts of a failure domain stop at once the platform goes on
  // sending to all of them. What comes later could not be finished in time.
  this->Callers.stop();
  while (monotonicNow() < End && this->Callers.activeExchanges() > 0)
    co_await Pause.wait(std::chrono::milliseconds(100));
  this->Follower.stop();
  co_await Pause.wait(LinkCloseTime);
  logEvent(Severity::Info, "stopped",
           {{"cut_off",
             static_cast<std::int64_t>(this->Callers.activeExchanges())}});
}

} // namespace carobhinge
