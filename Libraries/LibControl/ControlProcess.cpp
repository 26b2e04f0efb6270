//===- LibControl/ControlProcess.cpp - One control process ----------------===//
///
/// \file
/// Construction, timers and the calls between control hosts. The calls of
/// operators and endpoints are in ControlCalls.cpp.
///
//===----------------------------------------------------------------------===//

#include <LibControl/ControlProcess.h>
#include <LibControl/FleetMessages.h>

#include <LibCore/Compression.h>
#include <LibCore/Hash.h>
#include <LibTelemetry/Log.h>
#include <LibTelemetry/Supervision.h>
#include <LibWire/MessageParser.h>
#include <boost/algorithm/string/join.hpp>

namespace asio = boost::asio;

namespace carobhinge {

/// Interval between two planning steps. A lost engine is probed and replaced
/// within a few of them.
static constexpr auto TickInterval = std::chrono::milliseconds(100);
/// Minimum interval between two steps: a step takes a quarter of a millisecond
/// of a core with 220 engines, ten times as long on a seventh of a core.
static constexpr auto MinStepInterval = std::chrono::milliseconds(40);
static constexpr auto IntroduceInterval = std::chrono::milliseconds(700);
static constexpr auto IntroduceTimeout = std::chrono::milliseconds(600);
/// A leader plans only if a majority confirmed its leadership this recently.
/// Shorter than an election takes.
static constexpr auto LeadershipLease = std::chrono::milliseconds(1200);
/// A process that has just started plans only after one report interval plus
/// this margin: by then it has a report of every engine.
static constexpr auto ReportMargin = std::chrono::milliseconds(1200);
/// Interval between two requests for other voters. The log ignores a request
/// while the configuration before is not committed.
static constexpr auto VoterChangeInterval = std::chrono::milliseconds(500);
/// Interval between two announcements of a process that is about to stop.
static constexpr auto HandoverInterval = std::chrono::milliseconds(100);
/// Closing the links to other hosts takes one iteration of the executor.
static constexpr auto LinkCloseTime = std::chrono::milliseconds(50);
/// Transferring leadership takes one round trip.
static constexpr auto LeadershipTransferTime = std::chrono::milliseconds(400);
/// Calls that were received before the stop are answered within this time: the
/// callers themselves wait one second.
static constexpr auto CallFinishTime = std::chrono::milliseconds(1000);
static constexpr auto StopPollInterval = std::chrono::milliseconds(50);

/// The initial voters. This host may be one of them only at the first start of
/// the whole system; later the existing voters admit it.
static std::vector<HostName> chooseInitialVoters(const HostSettings &Settings) {
  std::vector<HostName> Hosts = seedHosts(Settings);
  if (!Settings.FirstStart)
    std::erase(Hosts, Settings.Ip);
  if (Hosts.empty())
    Hosts.push_back(Settings.FirstStart ? Settings.Ip : "0.0.0.0");
  return Hosts;
}

static WireOptions makeLinkOptions(const HostSettings &Settings,
                                   const SharedByteBudget &Budget,
                                   LimitLog &Limits,
                                   RefusedMessageLog &RefusedMessages) {
  return {.Cluster = "carobhinge",
          .Self = Settings.Ip,
          .Connections = wireConnectionLimit(Settings.MemoryBytes),
          .Budget = &Budget,
          .OnLimitReached =
              [&Limits](std::string_view Limit, std::string_view Peer) {
                Limits.record(Limit, Peer);
              },
          .OnNameRefused =
              [&RefusedMessages](std::string_view Peer, const Findings &Found) {
                RefusedMessages.record(Peer, Found);
              },
          .ConnectTimeout = std::chrono::milliseconds(700),
          .PingInterval = std::chrono::milliseconds(500),
          .PingTimeout = std::chrono::milliseconds(1600),
          .MaxReconnectPause = std::chrono::milliseconds(400)};
}

ControlProcess::ControlProcess(asio::io_context &Context,
                               HostSettings LoadedSettings,
                               const ControlProtocol &Protocol)
    : Context(Context), Settings(std::move(LoadedSettings)), Protocol(Protocol),
      Budget(byteBudgetLimit(this->Settings.MemoryBytes)),
      Limits(this->ProcessMetrics), RefusedMessages(this->ProcessMetrics),
      LinkOptions(makeLinkOptions(this->Settings, this->Budget, this->Limits,
                                  this->RefusedMessages)),
      StartedAt(monotonicNow()),
      Hosts(this->Settings.Ip, this->Settings.FailureDomain),
      Coordinator(Context.get_executor(), this->Settings, Protocol,
                  this->Budget, this->Limits),
      State(
          Context.get_executor(), this->Settings,
          chooseInitialVoters(this->Settings),
          [this](const HostName &To, const message::ConsensusMessage &Message) {
            if (!this->Stopping)
              this->link(To).post("consensus", Message.SerializeAsString());
          },
          [this](const message::RegisterState &NewState) {
            this->handleStateChange(NewState);
          },
          nullptr,
          [this](const HostName &From, const Findings &Found) {
            this->RefusedMessages.record(From, Found);
          }),
      Subscriptions(
          Context.get_executor(), this->State, this->Coordinator, this->Hosts,
          this->Refusals, [this] { this->scheduleStep(); },
          [this] { return this->hasLeadershipLease(); }),
      PeerServer(Context.get_executor(),
                 this->Settings.Ip + ":" +
                     std::to_string(this->Settings.PeerListenPort),
                 this->makeServerOptions(), this->makeHandlers()),
      CallServer(Context.get_executor(),
                 {.Listen = this->Settings.ControlAddress,
                  .BodyBytes = std::size_t(8) * 1024 * 1024,
                  .Budget = &this->Budget,
                  .OnRefused =
                      [this](const HttpRefusal &Refusal) {
                        this->recordRefusal(Refusal);
                      }},
                 [this](HttpExchange &Exchange) {
                   return this->handleCall(Exchange);
                 }),
      MetricsServer(Context.get_executor(),
                    {.Listen = this->Settings.Ip + ":" +
                               std::to_string(this->Settings.MetricsPort),
                     .Budget = &this->Budget,
                     .TakesWholeBudget = true},
                    [this](HttpExchange &Exchange) {
                      return this->serveOperators(Exchange);
                    }) {
  this->Coordinator.setAnswerHandler([this](const EngineAnswer &Answer) {
    this->Refusals.recordEngineAnswer(Answer);
  });
  this->Coordinator.setRefusalHandler(
      [this](const EndpointName &Engine, TimePoint SentAt) {
        this->Refusals.endEvidence().recordRefused(Engine, SentAt);
      });
  for (const HostName &Host : seedHosts(this->Settings))
    this->Hosts.addHost(this->StartedAt, Host);
}

ControlProcess::~ControlProcess() = default;

void ControlProcess::recordRefusal(const HttpRefusal &Refusal) {
  if (isLimit(Refusal.Reason))
    this->Limits.record(httpRefusalReasonName(Refusal.Reason),
                        Refusal.CallerIp);
}

void ControlProcess::start() {
  logEvent(
      Severity::Info, "start",
      {{"role", "control"},
       {"first_start", static_cast<std::int64_t>(this->Settings.FirstStart)}});
  this->PeerServer.start();
  this->CallServer.start();
  this->MetricsServer.start();
  auto Executor = this->Context.get_executor();
  spawnLoop(Executor, "planning", [this] { return this->tickLoop(); });
  spawnLoop(Executor, "introductions",
            [this] { return this->introduceLoop(); });
}

asio::awaitable<void> ControlProcess::stop() {
  logEvent(Severity::Info, "stop", {{"role", "control"}});
  co_await this->handOverVote();
  this->CallServer.drain();
  this->State.transferLeadership();
  Signal Pause(this->Context.get_executor());
  co_await Pause.wait(LeadershipTransferTime);
  this->CallServer.stop();
  TimePoint FinishDeadline = monotonicNow() + CallFinishTime;
  while (this->CallServer.openConnections() > 0 &&
         monotonicNow() < FinishDeadline)
    co_await Pause.wait(StopPollInterval);
  this->Stopping = true;
  this->PeerServer.stop();
  this->State.stop();
  for (auto &[Host, Link] : this->Links)
    Link->stop();
  co_await Pause.wait(LinkCloseTime);
  logEvent(Severity::Info, "stopped",
           {{"cut_off",
             static_cast<std::int64_t>(this->CallServer.activeExchanges())}});
}

asio::awaitable<void> ControlProcess::handOverVote() {
  TimePoint StopAt = monotonicNow();
  this->Handover.emplace(StopAt, this->Settings.Bounds.GraceTime,
                         this->Settings.Ip, this->State.status().Voters);
  auto HasSuccessor = [this] {
    return this->Hosts.hasSuccessor(monotonicNow(), this->Handover->voters());
  };
  Signal Pause(this->Context.get_executor());
  // A leader makes the change itself and transfers its leadership last. Before,
  // it could transfer it to a host that is about to stop too.
  this->Hosts.setStopping();
  this->introduceToAll();
  while (!this->Handover->isFinished(monotonicNow(), HasSuccessor())) {
    co_await Pause.wait(HandoverInterval);
    this->introduceToAll();
  }
  logEvent(Severity::Info, "vote-handover",
           {{"outcome", std::string(this->Handover->outcome(HasSuccessor()))},
            {"took_ms", milliseconds(monotonicNow() - StopAt)}});
}

WireLink &ControlProcess::link(const HostName &Host) {
  std::unique_ptr<WireLink> &Link = this->Links[Host];
  if (!Link)
    Link = std::make_unique<WireLink>(
        this->Context.get_executor(),
        Host + ":" + std::to_string(this->Settings.PeerPort), this->LinkOptions,
        hash64(Host, hash64(this->Settings.Ip)));
  return *Link;
}

void ControlProcess::handleStateChange(const message::RegisterState &NewState) {
  EndpointEnds Ends;
  for (const message::EndedEndpointMessage &End : NewState.ended_endpoints())
    Ends.record(End.id(), End.started_until_ms());
  this->Coordinator.setEnds(std::move(Ends));
  if (NewState.revision() == this->HandledRevision)
    return;
  this->HandledRevision = NewState.revision();
  if (NewState.version() > this->ActiveCatalog.Version) {
    Findings Out;
    std::string Text =
        decompress(NewState.text(), MaxCatalogBytes).value_or(std::string());
    if (auto Decoded = this->Protocol.readCatalog(Text, Out))
      this->ActiveCatalog = std::move(*Decoded);
    else
      logEvent(Severity::Error, "catalog-unreadable",
               {{"version", static_cast<std::int64_t>(NewState.version())},
                {"findings", Out.report()}});
  }
  this->Refusals.setState(monotonicNow(), NewState);
  logEvent(Severity::Info, "state-agreed",
           {{"version", static_cast<std::int64_t>(NewState.version())},
            {"emptied_domains",
             static_cast<std::int64_t>(NewState.emptied_domains_size())}});
  this->Subscriptions.notify();
}

asio::awaitable<void> ControlProcess::tickLoop() {
  asio::steady_timer Timer(this->Context);
  auto Completion = asio::as_tuple(asio::use_awaitable);
  while (!this->Stopping) {
    this->tick(monotonicNow());
    Timer.expires_after(TickInterval);
    co_await Timer.async_wait(Completion);
  }
}

/// Reopens the log after a disk error; a full disk may have free space again.
void ControlProcess::recoverDisk(TimePoint Now) {
  if (!this->DiskRecovery.isDue(Now))
    return;
  std::string Error = this->State.recover();
  LogChange Change = this->DiskRecovery.record(Now, Error);
  if (Change == LogChange::Regained)
    logEvent(Severity::Info, "disk-regained", {});
  else if (Change == LogChange::Failed)
    logEvent(Severity::Error, "disk-failed", {{"error", Error}});
}

void ControlProcess::tick(TimePoint Now) {
  this->recoverDisk(Now);
  this->Coordinator.removeExpired(Now);
  LogStatus Status = this->State.status();
  if (Status.Current != Role::Leader) {
    if (this->Coordinator.isLeading())
      logEvent(Severity::Info, "leadership-lost", {});
    this->Coordinator.stopLeading();
    this->LeadershipConfirmedAt.reset();
    return;
  }
  if (!this->ConfirmationPending) {
    this->ConfirmationPending = true;
    spawnTask(this->Context.get_executor(), "leadership confirmation",
              [this, Now]() -> asio::awaitable<void> {
                ResetOnExit Guard(this->ConfirmationPending);
                if (co_await this->State.confirm())
                  this->LeadershipConfirmedAt = Now;
              });
  }
  this->chooseVoters(Now);
  if (!this->hasLeadershipLease() || this->ActiveCatalog.Services.empty())
    return;
  if (!this->Coordinator.isLeading() || this->LeadingTerm != Status.Term) {
    this->LeadingTerm = Status.Term;
    TimePoint ReportsCompleteAt;
    if (!this->Settings.FirstStart)
      ReportsCompleteAt =
          this->StartedAt + this->Settings.ReportInterval + ReportMargin;
    this->Coordinator.startLeading(Now, Status.Term, this->ActiveCatalog,
                                   ReportsCompleteAt);
    logEvent(Severity::Info, "leadership-gained",
             {{"term", static_cast<std::int64_t>(Status.Term)},
              {"endpoints", static_cast<std::int64_t>(
                                this->Coordinator.engines().all().size())}});
  }
  this->runStep();
  this->askReportedEngines();
  this->updateRefusals(Now);
}

bool ControlProcess::hasLeadershipLease() const {
  return this->LeadershipConfirmedAt &&
         monotonicNow() - *this->LeadershipConfirmedAt < LeadershipLease;
}

/// When a whole failure domain becomes unreachable, all entry hosts report it
/// at nearly the same time; one step handles all these reports.
void ControlProcess::scheduleStep() {
  if (this->StepScheduled)
    return;
  this->StepScheduled = true;
  spawnTask(this->Context.get_executor(), "planning step",
            [this]() -> asio::awaitable<void> {
              {
                ResetOnExit Guard(this->StepScheduled);
                Signal Pause(this->Context.get_executor());
                co_await Pause.wait(this->LastStepAt + MinStepInterval -
                                    monotonicNow());
              }
              if (!this->Stopping)
                this->runStep();
            });
}

void ControlProcess::runStep() {
  this->LastStepAt = monotonicNow();
  if (this->Coordinator.isLeading() &&
      this->Coordinator.step(monotonicNow(), this->ActiveCatalog))
    this->Subscriptions.notify();
}

void ControlProcess::askReportedEngines() {
  EngineEndEvidence &Evidence = this->Refusals.endEvidence();
  std::set<EndpointName> Engines = Evidence.enginesToAsk();
  for (const EndpointName &Engine : Engines)
    if (this->Coordinator.askWhetherRunning(Engine))
      Evidence.recordAsked(Engine);
}

void ControlProcess::updateRefusals(TimePoint Now) {
  if (this->Refusals.updateSuspects(Now))
    this->Subscriptions.notify();
  if (this->RefusalPending)
    return;
  if (auto Command = this->Refusals.nextCommand(Now)) {
    this->RefusalPending = true;
    spawnTask(this->Context.get_executor(), "refusal of a prompt",
              [this, Change = std::move(*Command)]() -> asio::awaitable<void> {
                ResetOnExit Guard(this->RefusalPending);
                co_await this->commitRefusal(Change);
              });
  }
}

asio::awaitable<bool>
ControlProcess::commitRefusal(message::RegisterCommand Command) {
  ProposalStatus Status = co_await this->State.propose(Command);
  if (Status != ProposalStatus::Committed)
    co_return false;
  if (Command.has_lift_prompt())
    logEvent(Severity::Warning, "prompt-lifted",
             {{"prompt_parts", formatParts(Command.lift_prompt())}});
  if (Command.has_refuse_prompt())
    logEvent(Severity::Warning, "prompt-refused",
             {{"prompt_parts", formatParts(Command.refuse_prompt())},
              {"engines", boost::algorithm::join(
                              Command.refuse_prompt().engines(), " ")}});
  co_return true;
}

void ControlProcess::chooseVoters(TimePoint Now) {
  LogStatus Status = this->State.status();
  this->logVoters(Status);
  auto Chosen = this->Hosts.chooseRequest(
      Now, Status.Voters, Status.RequestedHosts, this->Settings.Tolerance);
  if (!Chosen || !this->LeadershipConfirmedAt ||
      Now - this->VotersRequestedAt < VoterChangeInterval)
    return;
  this->VotersRequestedAt = Now;
  logEvent(Severity::Info, "voters-change",
           {{"voters", boost::algorithm::join(Status.Voters, " ")},
            {"wanted", boost::algorithm::join(*Chosen, " ")}});
  this->State.changeVoters(std::move(*Chosen));
}

void ControlProcess::logVoters(const LogStatus &Status) {
  if (!Status.VotersCommitted || Status.Voters == this->LoggedVoters)
    return;
  this->LoggedVoters = Status.Voters;
  logEvent(Severity::Info, "voters-in-force",
           {{"voters", boost::algorithm::join(Status.Voters, " ")}});
}

void ControlProcess::introduceToAll() {
  for (const HostName &Host : this->Hosts.allHosts())
    if (Host != this->Settings.Ip)
      spawnTask(this->Context.get_executor(), "introduction",
                this->introduce(Host));
}

asio::awaitable<void> ControlProcess::introduceLoop() {
  asio::steady_timer Timer(this->Context);
  auto Completion = asio::as_tuple(asio::use_awaitable);
  while (!this->Stopping) {
    this->Hosts.removeExpired(monotonicNow());
    this->State.setContactHosts(this->Hosts.allHosts());
    this->introduceToAll();
    Timer.expires_after(IntroduceInterval);
    co_await Timer.async_wait(Completion);
  }
}

asio::awaitable<void> ControlProcess::introduce(HostName To) {
  message::IntroduceCall Call;
  Call.set_failure_domain(this->Settings.FailureDomain);
  Call.set_stopping(this->Handover.has_value());
  for (const HostName &Host : this->Hosts.allHosts())
    Call.add_control_hosts(Host);
  WireReply Reply = co_await this->link(To).call(
      "introduce", Call.SerializeAsString(), IntroduceTimeout);
  message::IntroduceResult Result;
  if (Reply.Outcome != WireCallOutcome::Complete ||
      !parseMessage(Result, Reply.Message))
    co_return;
  TimePoint Now = monotonicNow();
  this->Hosts.recordContact(Now, To, Result.failure_domain(),
                            Result.stopping());
  if (this->Handover && Result.caller_released())
    this->Handover->recordRelease();
  for (const std::string &Host : Result.control_hosts())
    this->Hosts.addHost(Now, Host);
}

WireOptions ControlProcess::makeServerOptions() {
  WireOptions Result = this->LinkOptions;
  // Not the hosts that only introduced themselves: any peer may.
  Result.HasOwnPlaces =
      [this, Seeds = seedHosts(this->Settings)](std::string_view Ip) {
        LogStatus Status = this->State.status();
        auto Has = [Ip](const std::vector<HostName> &Hosts) {
          return std::ranges::find(Hosts, Ip) != Hosts.end();
        };
        return Has(Seeds) || Has(Status.Voters) || Has(Status.RequestedHosts);
      };
  return Result;
}

std::map<std::string, WireHandler, std::less<>> ControlProcess::makeHandlers() {
  std::map<std::string, WireHandler, std::less<>> Table;
  Table["consensus"] = [this](WireExchange &Exchange) -> asio::awaitable<void> {
    message::ConsensusMessage Message;
    if (parseMessage(Message, Exchange.message()))
      this->State.receive(Exchange.caller(), Message);
    co_return;
  };
  Table["introduce"] = [this](WireExchange &Exchange) -> asio::awaitable<void> {
    message::IntroduceCall Call;
    if (!parseMessage(Call, Exchange.message()))
      throw std::runtime_error("an introduction cannot be decoded");
    TimePoint Now = monotonicNow();
    this->Hosts.recordContact(Now, Exchange.caller(), Call.failure_domain(),
                              Call.stopping());
    message::IntroduceResult Result;
    Result.set_failure_domain(this->Settings.FailureDomain);
    Result.set_stopping(this->Handover.has_value());
    LogStatus Status = this->State.status();
    Result.set_caller_released(
        this->hasLeadershipLease() && Status.Current == Role::Leader &&
        Status.VotersCommitted &&
        std::ranges::find(Status.Voters, Exchange.caller()) ==
            Status.Voters.end());
    for (const HostName &Host : this->Hosts.allHosts())
      Result.add_control_hosts(Host);
    for (const std::string &Host : Call.control_hosts())
      this->Hosts.addHost(Now, Host);
    co_await Exchange.send(Result.SerializeAsString());
  };
  Table["relay"] = [this](WireExchange &Exchange) -> asio::awaitable<void> {
    message::RelayCall Call;
    if (!parseMessage(Call, Exchange.message()))
      throw std::runtime_error("relayed reports cannot be decoded");
    TimePoint Now = monotonicNow();
    for (const message::EngineReportMessage &Report : Call.reports())
      this->Coordinator.recordReport(
          Now - std::chrono::milliseconds(Report.age_ms()),
          fromMessage(Report));
    bool IsOfEarlierBuild = Call.ends_size() < Call.leaving_size();
    for (const std::string &Id : Call.leaving()) {
      this->Coordinator.recordLeave(Id);
      if (!IsOfEarlierBuild)
        continue;
      message::EndpointEndMessage &End = *Call.add_ends();
      End.set_id(Id);
      End.set_started_until_ms(this->findEndedStart(Id));
    }
    message::RelayResult Result;
    if (this->Coordinator.isLeading()) {
      // Entry hosts learn of the ends without waiting for the next step.
      if (Call.ends_size() > 0)
        this->runStep();
      bool IsCommitted = co_await this->commitEnds(std::move(Call));
      Result.set_leading(IsCommitted);
    }
    co_await Exchange.send(Result.SerializeAsString());
  };
  Table["watch"] = [this](WireExchange &Exchange) {
    return this->Subscriptions.handleWatch(Exchange);
  };
  Table["pulse"] = [this](WireExchange &Exchange) {
    return this->Subscriptions.handlePulse(Exchange);
  };
  return Table;
}

} // namespace carobhinge
