//===- LibServe/ControlHost.cpp - The replicated logs of a control host ---===//
///
/// \file
/// Starts the log drivers and turns calls into proposals and reads.
///
//===----------------------------------------------------------------------===//

#include <LibServe/ControlHost.h>

#include <LibCore/Hash.h>
#include <LibServe/AwaitResult.h>
#include <LibTelemetry/Log.h>
#include <LibWire/MessageParser.h>
#include <random>

namespace asio = boost::asio;

namespace carobhinge {

/// Longest pause between two attempts to open a failed log. A ledger's state
/// can be large.
static constexpr auto MaxRecoveryPause = std::chrono::seconds(4);

static message::LogCallStatus toMessage(ProposalStatus Status) {
  switch (Status) {
  case ProposalStatus::Committed:
    return message::LOG_COMMITTED;
  case ProposalStatus::NotLeader:
    return message::LOG_NOT_LEADER;
  case ProposalStatus::Lost:
    break;
  }
  return message::LOG_LOST;
}

static LogDriverOptions logOptions(const Settings &LocalSettings, Peers &Links,
                                   const DataFolder &Folder,
                                   std::uint32_t Number,
                                   const RefusalObserver &OnRefused,
                                   Disk *Files) {
  LogDriverOptions Options;
  Options.Log = Number;
  Options.Self = LocalSettings.Host;
  Options.Voters = Links.controlHosts();
  Options.Folder = Folder.subfolder("log-" + std::to_string(Number));
  Options.Send = [&Links](const HostName &To,
                          const message::ConsensusMessage &Message) {
    Links.post(To, "consensus", Message.SerializeAsString());
  };
  Options.Timings.Heartbeat = LocalSettings.Times.Heartbeat;
  Options.Timings.MinElectionTimeout = LocalSettings.Times.Election;
  Options.Timings.MaxElectionTimeout = 2 * LocalSettings.Times.Election;
  Options.OnRefused = OnRefused;
  Options.Files = Files;
  // Different in each incarnation of the host.
  Options.Seed = hash64(
      LocalSettings.Host,
      static_cast<std::uint64_t>(monotonicNow().time_since_epoch().count()) +
          Number);
  return Options;
}

/// Returns a unique identity, also for repeated calls on one host.
static std::string newIdentity(const HostName &Host) {
  std::random_device Entropy;
  return Host + "-" +
         digest(std::to_string(Entropy()) + std::to_string(Entropy()) +
                std::to_string(Entropy()));
}

ControlHost::HostedLog::HostedLog(LogDriverOptions Options,
                                  ReopeningLog::MachineFactory MakeMachine)
    : Folder(Options.Folder.string()),
      Log(std::move(Options), std::move(MakeMachine)),
      Recovery({.MaxPause = MaxRecoveryPause}) {}

ControlHost::ControlHost(const Settings &LocalSettings, Peers &Links,
                         ControlHostCallbacks Callbacks, Disk *Files)
    : Callbacks(std::move(Callbacks)),
      Folder({.Files = Files != nullptr ? Files : &this->DefaultDisk,
              .Folder = LocalSettings.DataFolder,
              .Cluster = LocalSettings.Cluster,
              .NewIdentity = newIdentity(LocalSettings.Host)}) {
  auto AddLog = [&](std::uint32_t Number,
                    ReopeningLog::MachineFactory MakeMachine) {
    this->Logs.push_back(std::make_unique<HostedLog>(
        logOptions(LocalSettings, Links, this->Folder, Number,
                   this->Callbacks.MessageRefused, Files),
        std::move(MakeMachine)));
  };
  AddLog(ControlLog, [this] {
    return std::make_unique<ControlState>(this->Callbacks.IntentAccepted);
  });
  // The limits must be the same on every voter, so they do not depend on
  // settings: they affect the replicated state.
  for (std::int64_t Shard = 0; Shard < LocalSettings.LedgerShards; ++Shard)
    AddLog(FirstLedgerLog + static_cast<std::uint32_t>(Shard),
           [] { return std::make_unique<Ledger>(LedgerLimits()); });
}

ControlHost::~ControlHost() { this->stop(); }

void ControlHost::stop() {
  for (const auto &Each : this->Logs)
    Each->Log.stop();
}

std::shared_ptr<LogDriver> ControlHost::log(std::uint32_t Number) const {
  return Number < this->Logs.size() ? this->Logs[Number]->Log.driver()
                                    : nullptr;
}

void ControlHost::recover(TimePoint Now) {
  for (std::size_t Number = 0; Number < this->Logs.size(); ++Number) {
    HostedLog &Each = *this->Logs[Number];
    if (!Each.Recovery.isDue(Now))
      continue;
    std::string Error = Each.Log.recover();
    LogChange Change = Each.Recovery.record(Now, Error);
    auto LogNumber = static_cast<std::int64_t>(Number);
    if (Change == LogChange::Failed)
      logEvent(Severity::Error, "log-failed",
               {{"log", LogNumber}, {"folder", Each.Folder}, {"error", Error}});
    else if (Change == LogChange::Regained)
      logEvent(Severity::Info, "log-regained", {{"log", LogNumber}});
  }
}

asio::awaitable<message::ProposeResult>
ControlHost::propose(message::ProposeCall Call) {
  message::ProposeResult Result;
  if (!this->log(Call.log())) {
    Result.set_status(message::LOG_NOT_LEADER);
    co_return Result;
  }
  auto Begin = [this, &Call](std::function<void(ProposalResult)> Done) {
    this->log(Call.log())
        ->propose(std::move(*Call.mutable_command()), std::move(Done));
  };
  auto Proposed = co_await awaitResult<ProposalResult>(std::move(Begin));
  Result.set_status(toMessage(Proposed.Status));
  Result.set_index(Proposed.Index);
  Result.set_reply(std::move(Proposed.Reply));
  Result.set_leader(std::move(Proposed.LeaderHint));
  co_return Result;
}

asio::awaitable<message::OpenResult> ControlHost::open(message::OpenCall Call) {
  if (!this->log(Call.log()) || Call.log() < FirstLedgerLog) {
    message::OpenResult Refused;
    Refused.set_status(message::LOG_NOT_LEADER);
    co_return Refused;
  }
  auto Begin = [this, Call = std::move(Call)](
                   std::function<void(message::OpenResult)> Done) {
    this->log(Call.log())
        ->read([Call, Done = std::move(Done)](const ReadResult &Read) {
          message::OpenResult Result;
          Result.set_status(toMessage(Read.Status));
          Result.set_leader(Read.LeaderHint);
          if (const auto *State = dynamic_cast<const Ledger *>(Read.Machine))
            *Result.mutable_reply() = State->open(
                Call.key(), Call.content_digest(), Read.AppliedIndex);
          Done(std::move(Result));
        });
  };
  co_return co_await awaitResult<message::OpenResult>(std::move(Begin));
}

asio::awaitable<message::HistoryResult> ControlHost::history() {
  auto Begin = [this](std::function<void(message::HistoryResult)> Done) {
    this->log(ControlLog)
        ->read([Done = std::move(Done)](const ReadResult &Read) {
          message::HistoryResult Result;
          Result.set_status(toMessage(Read.Status));
          Result.set_leader(Read.LeaderHint);
          if (const auto *State =
                  dynamic_cast<const ControlState *>(Read.Machine))
            Result.set_state(State->intents().snapshot());
          Done(std::move(Result));
        });
  };
  co_return co_await awaitResult<message::HistoryResult>(std::move(Begin));
}

static message::PresenceResult presenceResult(const PlannerGrant *Grant) {
  message::PresenceResult Result;
  if (!Grant)
    return Result;
  Result.set_planner(Grant->Host);
  Result.set_planner_incarnation(Grant->HostIncarnation);
  Result.set_epoch(Grant->Epoch);
  for (const auto &[Endpoint, Recorded] : Grant->Orders) {
    auto *Each = Result.add_orders();
    Each->set_endpoint(Recorded.Endpoint);
    Each->set_incarnation(Recorded.IncarnationNumber);
    Each->set_number(Recorded.Number);
  }
  return Result;
}

asio::awaitable<message::PresenceResult>
ControlHost::presence(HostName From, message::PresenceCall Call) {
  message::PresenceResult Cached;
  {
    std::lock_guard Guard(this->MonitorLock);
    if (this->Monitor)
      this->Monitor->recordPresence(monotonicNow(), Call.failure_domain(), From,
                                    Call.incarnation());
    Cached = presenceResult(this->CachedGrants.find(Call.failure_domain()));
  }
  auto Begin = [this, Cached, Domain = Call.failure_domain()](
                   std::function<void(message::PresenceResult)> Done) {
    this->log(ControlLog)
        ->read([Cached, Domain,
                Done = std::move(Done)](const ReadResult &Read) {
          const auto *State = dynamic_cast<const ControlState *>(Read.Machine);
          message::PresenceResult Result =
              State ? presenceResult(State->grants().find(Domain)) : Cached;
          Result.set_confirmed(State != nullptr);
          Done(std::move(Result));
        });
  };
  co_return co_await awaitResult<message::PresenceResult>(std::move(Begin));
}

/// Parses the message of a call. Throws if it cannot be parsed, which ends the
/// call as lost.
template <class Message> static Message parsed(const WireExchange &Call) {
  Message Result;
  if (!parseMessage(Result, Call.message()))
    throw std::runtime_error("a call's message cannot be decoded");
  return Result;
}

std::uint32_t ControlHost::changeVoters(std::span<const HostName> Hosts) {
  std::uint32_t LedLogs = 0;
  for (const auto &Each : this->Logs) {
    std::shared_ptr<LogDriver> Log = Each->Log.driver();
    if (Log->status().Current != Role::Leader)
      continue;
    Log->changeHosts({Hosts.begin(), Hosts.end()});
    ++LedLogs;
  }
  return LedLogs;
}

void ControlHost::addHandlers(
    std::map<std::string, WireHandler, std::less<>> &Table) {
  Table["consensus"] = [this](WireExchange &Call) -> asio::awaitable<void> {
    auto Message = parsed<message::ConsensusMessage>(Call);
    if (std::shared_ptr<LogDriver> Log = this->log(Message.log()))
      Log->receive(Call.caller(), Message);
    co_return;
  };
  Table["control.propose"] =
      [this](WireExchange &Call) -> asio::awaitable<void> {
    auto Request = parsed<message::ProposeCall>(Call);
    message::ProposeResult Result = co_await this->propose(std::move(Request));
    co_await Call.send(Result.SerializeAsString());
  };
  Table["control.open"] = [this](WireExchange &Call) -> asio::awaitable<void> {
    auto Request = parsed<message::OpenCall>(Call);
    message::OpenResult Result = co_await this->open(std::move(Request));
    co_await Call.send(Result.SerializeAsString());
  };
  Table["control.history"] =
      [this](WireExchange &Call) -> asio::awaitable<void> {
    message::HistoryResult Result = co_await this->history();
    co_await Call.send(Result.SerializeAsString());
  };
  Table["control.voters"] =
      [this](WireExchange &Call) -> asio::awaitable<void> {
    auto Request = parsed<message::VotersCall>(Call);
    std::vector<HostName> Hosts(Request.hosts().begin(), Request.hosts().end());
    message::VotersResult Result;
    Result.set_logs(this->changeVoters(Hosts));
    co_await Call.send(Result.SerializeAsString());
  };
  Table["control.presence"] =
      [this](WireExchange &Call) -> asio::awaitable<void> {
    auto Request = parsed<message::PresenceCall>(Call);
    message::PresenceResult Result =
        co_await this->presence(Call.caller(), std::move(Request));
    co_await Call.send(Result.SerializeAsString());
  };
}

void ControlHost::tick() {
  TimePoint StartedAt = monotonicNow();
  bool Leading = this->log(ControlLog)->status().Current == Role::Leader;
  {
    std::lock_guard Guard(this->MonitorLock);
    if (!Leading)
      this->Monitor.reset();
    else if (!this->Monitor)
      this->Monitor =
          std::make_unique<PlannerMonitor>(StartedAt, PlannerMonitorOptions());
  }
  this->log(ControlLog)->read([this, StartedAt](const ReadResult &Read) {
    const auto *State = dynamic_cast<const ControlState *>(Read.Machine);
    if (!State)
      return;
    this->Callbacks.IntentConfirmed(StartedAt);
    std::lock_guard Guard(this->MonitorLock);
    this->CachedGrants = State->grants();
  });
  if (Leading)
    this->monitorPlanners();
}

void ControlHost::monitorPlanners() {
  std::vector<message::PlannerCommand> Commands;
  {
    std::lock_guard Guard(this->MonitorLock);
    if (this->Monitor)
      Commands = this->Monitor->tick(monotonicNow(), this->CachedGrants);
  }
  for (const message::PlannerCommand &Command : Commands) {
    logEvent(Severity::Info, "planner-grant-proposed",
             {{"failure_domain", Command.grant().failure_domain()},
              {"planner", Command.grant().host()}});
    this->log(ControlLog)
        ->propose(controlCommand(Command), [](const ProposalResult &) {});
  }
}

void ControlHost::prune(const ServiceName &Service,
                        std::uint32_t RetentionDays) {
  message::LedgerCommand Command;
  Command.mutable_prune()->set_service(Service);
  Command.mutable_prune()->set_retention_days(RetentionDays);
  std::string Bytes = Command.SerializeAsString();
  for (std::uint32_t I = FirstLedgerLog; I < this->Logs.size(); ++I) {
    std::shared_ptr<LogDriver> Log = this->log(I);
    if (Log->status().Current == Role::Leader)
      Log->propose(Bytes, [](const ProposalResult &) {});
  }
}

std::vector<LogStatus> ControlHost::status() const {
  std::vector<LogStatus> Result;
  for (const auto &Each : this->Logs)
    Result.push_back(Each->Log.driver()->status());
  return Result;
}

void ControlHost::transferLeadership() {
  for (const auto &Each : this->Logs)
    Each->Log.driver()->transferLeadership();
}

bool ControlHost::leads() const {
  for (const auto &Each : this->Logs)
    if (Each->Log.driver()->status().Current == Role::Leader)
      return true;
  return false;
}

} // namespace carobhinge
