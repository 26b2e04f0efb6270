//===- LibServe/FleetManager.cpp - Endpoints and groups on this host ------===//
///
/// \file
/// Passes messages to and from the directory and the planner.
///
//===----------------------------------------------------------------------===//

#include <LibServe/FleetManager.h>

#include <LibFleet/FleetMessages.h>
#include <LibTelemetry/Log.h>
#include <LibTelemetry/Supervision.h>
#include <LibWire/MessageParser.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace carobhinge {

static constexpr auto MaintenanceInterval = std::chrono::seconds(1);
/// Each planning run examines every endpoint of the failure domain.
static constexpr auto PlanInterval = std::chrono::milliseconds(500);
static constexpr auto OrderHeadTimeout = std::chrono::seconds(2);
static constexpr auto PresenceTimeout = std::chrono::milliseconds(900);
static constexpr auto RecordTimeout = std::chrono::seconds(2);
static constexpr std::size_t MaxOrderAnswerBytes = 64 * 1024;

static std::vector<HostName> domainHosts(const Settings &LocalSettings,
                                         Peers &Links) {
  std::vector<HostName> Hosts = Links.domainEntryHosts();
  Hosts.push_back(LocalSettings.Host);
  return Hosts;
}

static DirectoryOptions directoryOptions(const Settings &LocalSettings,
                                         Peers &Links) {
  DirectoryOptions Options;
  Options.Self = LocalSettings.Host;
  Options.FailureDomain = LocalSettings.FailureDomain;
  Options.EntryHosts = domainHosts(LocalSettings, Links);
  return Options;
}

static PlannerOptions plannerOptions(const Settings &LocalSettings,
                                     Peers &Links) {
  PlannerOptions Options;
  Options.Formation = LocalSettings.Policies.Groups;
  Options.Repair = LocalSettings.Policies.Repair;
  Options.FailureDomain = LocalSettings.FailureDomain;
  Options.EntryHosts = domainHosts(LocalSettings, Links);
  return Options;
}

FleetManager::FleetManager(const asio::any_io_executor &Executor,
                           const Settings &LocalSettings,
                           Incarnation LocalIncarnationNumber, Peers &Links,
                           ControlClient &Control, SharedByteBudget &Budget,
                           LimitLog &Limits)
    : Executor(Executor), Self(LocalSettings.Host),
      FailureDomain(LocalSettings.FailureDomain),
      LocalIncarnationNumber(LocalIncarnationNumber),
      RelayInterval(LocalSettings.Times.AnnounceRelay), Links(Links),
      Control(Control), Client(Executor, {.Budget = &Budget}), Limits(Limits),
      Directory(directoryOptions(LocalSettings, Links)),
      Planner(plannerOptions(LocalSettings, Links)) {}

void FleetManager::handleAnnouncement(const std::string &Json, Findings &Out) {
  std::optional<Announcement> Received = parseAnnouncement(Json, Out);
  if (!Received)
    return;
  if (Received->FailureDomain != this->FailureDomain) {
    Out.add("/failure_domain", this->FailureDomain, Received->FailureDomain);
    return;
  }
  TimePoint Now = monotonicNow();
  std::lock_guard Guard(this->Lock);
  if (this->applyAnnouncement(Now, std::move(*Received), Duration::zero()))
    this->Relays.push_back({.Json = Json, .ReceivedAt = Now});
}

/// Applies an announcement, limited by the bounds of the intent. Returns false
/// if the announcement is not new to the directory. Called with the lock held.
bool FleetManager::applyAnnouncement(TimePoint Now, Announcement Received,
                                     Duration Age) {
  auto Bounds = this->BoundsByService.find(Received.Service);
  if (Bounds != this->BoundsByService.end()) {
    Received.BatchLimit =
        std::min(Received.BatchLimit, Bounds->second.SlotLimit);
    Received.ChecksFencing =
        Received.ChecksFencing && !Bounds->second.IgnoresFencing;
  }
  bool Changed = this->Directory.handleAnnouncement(Now, Received, Age);
  this->Planner.handleAnnouncement(Now, Received, Age);
  return Changed;
}

void FleetManager::handleRelay(const message::AnnouncementRelay &Message) {
  TimePoint Now = monotonicNow();
  std::lock_guard Guard(this->Lock);
  for (const auto &Item : Message.items()) {
    Findings Faults;
    std::optional<Announcement> Received =
        parseAnnouncement(Item.json(), Faults);
    if (!Received)
      continue;
    this->applyAnnouncement(Now, std::move(*Received),
                            std::chrono::milliseconds(Item.age_ms()));
  }
}

void FleetManager::applyIntent(const Intent &IntentSnapshot,
                               bool DomainClosed) {
  FleetIntent Fleet;
  std::map<ServiceName, EndpointBounds> Bounds;
  Fleet.IsDomainDrained = DomainClosed;
  for (const ServiceSpec &Service : IntentSnapshot.Services) {
    bool IsModel = Service.Kind == ServiceKind::Model;
    Fleet.Services[Service.Name] = FleetService{
        .HostsPerGroup =
            IsModel ? static_cast<std::uint32_t>(Service.HostsPerGroup) : 0,
        .Version = Service.Version,
        .WarmUpBudget = static_cast<std::uint32_t>(Service.WarmUp.Budget),
        .WarmUpLength = Service.WarmUp.Length};
    Bounds[Service.Name] = EndpointBounds{
        .SlotLimit = static_cast<std::uint32_t>(Service.SlotLimit),
        .IgnoresFencing = IsModel && Service.Fencing == FencingRule::Ignored};
  }
  std::lock_guard Guard(this->Lock);
  this->BoundsByService = std::move(Bounds);
  this->Directory.applyIntent(Fleet);
  this->Planner.applyIntent(Fleet);
}

std::vector<Target> FleetManager::targets(const ServiceName &Service) const {
  std::lock_guard Guard(this->Lock);
  return this->Directory.targets(monotonicNow(), Service);
}

void FleetManager::recordLatency(const Target &From, Duration Latency) {
  std::lock_guard Guard(this->Lock);
  this->Directory.recordLatency(From, Latency);
}

Roster FleetManager::roster() const {
  std::lock_guard Guard(this->Lock);
  return this->Directory.roster();
}

bool FleetManager::isPlanner() const {
  std::lock_guard Guard(this->Lock);
  return this->GrantEpoch > 0;
}

void FleetManager::postToDomain(const std::string &Method,
                                const std::string &Message) {
  for (const HostName &Host : this->Links.domainEntryHosts())
    this->Links.post(Host, Method, Message);
}

EntryHostPlace FleetManager::place() const {
  std::lock_guard Guard(this->Lock);
  return this->Directory.place(monotonicNow());
}

void FleetManager::reportOutstanding(std::map<GroupName, std::uint32_t> Count,
                                     std::uint32_t Requests) {
  OutstandingReport Report{
      .EntryHost = this->Self, .Count = std::move(Count), .Requests = Requests};
  {
    std::lock_guard Guard(this->Lock);
    this->Directory.recordLoad(monotonicNow(), this->Self, Requests);
    Report.Epoch = this->Directory.roster().Epoch;
    Report.Sequence = this->Directory.roster().Sequence;
    Report.KnownEpoch = std::max(Report.Epoch, this->NewestEpoch);
    this->Planner.recordOutstandingReport(monotonicNow(), Report);
  }
  this->postToDomain("fleet.outstanding",
                     toMessage(Report).SerializeAsString());
}

void FleetManager::sendRelays(TimePoint Now) {
  std::vector<PendingRelay> Batch;
  {
    std::lock_guard Guard(this->Lock);
    Batch.swap(this->Relays);
  }
  if (Batch.empty())
    return;
  message::AnnouncementRelay Message;
  for (PendingRelay &Each : Batch) {
    auto *Item = Message.add_items();
    Item->set_json(std::move(Each.Json));
    Item->set_age_ms(
        static_cast<std::uint32_t>(milliseconds(Now - Each.ReceivedAt)));
  }
  this->postToDomain("fleet.announcements", Message.SerializeAsString());
}

/// Sends this host's roster digest to one other entry host of the domain.
void FleetManager::sendDigest() {
  const std::vector<HostName> &Hosts = this->Links.domainEntryHosts();
  if (Hosts.empty())
    return;
  const HostName &To = Hosts[this->NextDigestPeer++ % Hosts.size()];
  message::RosterDigest Digest = makeDigest(this->roster());
  Digest.set_failure_domain(this->FailureDomain);
  this->Links.post(To, "fleet.digest", Digest.SerializeAsString());
}

void FleetManager::handleRoster(const message::RosterUpdate &Message) {
  Roster NewRoster = fromMessage(Message);
  if (NewRoster.FailureDomain != this->FailureDomain)
    return;
  std::lock_guard Guard(this->Lock);
  this->Directory.updateRoster(NewRoster);
  this->Planner.updateRoster(NewRoster);
}

void FleetManager::handleDigest(const HostName &From,
                                const message::RosterDigest &Digest) {
  Roster LocalRoster = this->roster();
  Roster DigestVersion{.FailureDomain = Digest.failure_domain(),
                       .Epoch = Digest.epoch(),
                       .Sequence = Digest.sequence()};
  if (DigestVersion.FailureDomain == this->FailureDomain &&
      isNewer(LocalRoster, DigestVersion))
    this->Links.post(From, "fleet.roster",
                     toMessage(LocalRoster).SerializeAsString());
}

std::vector<HostName> FleetManager::connectedEntryHosts() const {
  std::vector<HostName> Connected{this->Self};
  for (const HostName &Host : this->Links.domainEntryHosts())
    if (this->Links.link(Host)->connected())
      Connected.push_back(Host);
  return Connected;
}

void FleetManager::tick() {
  TimePoint Now = monotonicNow();
  if (Now >= this->NextRelay) {
    this->NextRelay = Now + this->RelayInterval;
    this->sendRelays(Now);
  }
  std::vector<PlannerEffect> Effects;
  std::uint64_t Epoch = 0;
  bool MaintenanceDue = Now >= this->NextMaintenance;
  {
    std::lock_guard Guard(this->Lock);
    if (MaintenanceDue) {
      this->Directory.setReachableEntryHosts(Now, this->connectedEntryHosts());
      this->Directory.tick(Now);
    }
    if (Now >= this->NextPlan) {
      this->NextPlan = Now + PlanInterval;
      Effects = this->Planner.plan(Now);
      Epoch = this->GrantEpoch;
    }
  }
  this->performEffects(std::move(Effects), Epoch);
  if (!MaintenanceDue)
    return;
  this->NextMaintenance = Now + MaintenanceInterval;
  this->sendDigest();
  for (const HostName &Host : this->Links.controlHosts())
    spawnTask(this->Executor, "report of presence", this->reportPresence(Host));
}

void FleetManager::performEffects(std::vector<PlannerEffect> Effects,
                                  std::uint64_t Epoch) {
  for (PlannerEffect &Effect : Effects) {
    if (auto *Send = std::get_if<SendOrder>(&Effect))
      spawnTask(this->Executor, "order", this->sendOrder(std::move(*Send)));
    else if (auto *Record = std::get_if<RecordOrder>(&Effect))
      spawnLoop(
          this->Executor, "record of an order",
          [this, Effect = *Record, Epoch] {
            return this->recordOrder(Effect, Epoch);
          },
          NeverGivenUp);
    else
      this->publish(std::get<PublishRoster>(Effect).NewRoster);
  }
}

void FleetManager::publish(const Roster &NewRoster) {
  {
    std::lock_guard Guard(this->Lock);
    this->Directory.updateRoster(NewRoster);
  }
  logEvent(Severity::Info, "roster-published",
           {{"epoch", static_cast<std::int64_t>(NewRoster.Epoch)},
            {"sequence", static_cast<std::int64_t>(NewRoster.Sequence)},
            {"groups", static_cast<std::int64_t>(NewRoster.Groups.size())}});
  this->postToDomain("fleet.roster", toMessage(NewRoster).SerializeAsString());
}

asio::awaitable<void> FleetManager::sendOrder(SendOrder Effect) {
  HttpRequest Request{.Method = "POST",
                      .Target = std::string(OrderPath),
                      .Headers = {{"Content-Type", "application/json"}},
                      .Body = toJson(Effect.Content)};
  HttpCallOptions Options{.HeadTimeout = OrderHeadTimeout,
                          .FreshConnection = true};
  HttpFetchResult Answer;
  try {
    Answer =
        co_await this->Client.fetch(Effect.Address, std::move(Request),
                                    std::move(Options), MaxOrderAnswerBytes);
  } catch (...) {
    std::lock_guard Guard(this->Lock);
    this->Planner.handleOrderResult(Effect.Content.Number,
                                    OrderSendResult::Unknown);
    throw;
  }
  if (Answer.Fault)
    this->Limits.recordBrokenAnswer(messageFaultName(Answer.Fault->Kind),
                                    Answer.Fault->Value, Effect.Endpoint);
  OrderSendResult Result = OrderSendResult::Unknown;
  if (Answer.Outcome == HttpCallOutcome::NotWritten)
    Result = OrderSendResult::NotSent;
  else if (Answer.Outcome == HttpCallOutcome::Complete)
    Result = Answer.Head.Status < 300 ? OrderSendResult::Accepted
                                      : OrderSendResult::Refused;
  logEvent(Severity::Info, "order-sent",
           {{"endpoint", Effect.Endpoint},
            {"number", static_cast<std::int64_t>(Effect.Content.Number)},
            {"group", Effect.Content.Position.Group},
            {"result", static_cast<std::int64_t>(Result)}});
  std::lock_guard Guard(this->Lock);
  this->Planner.handleOrderResult(Effect.Content.Number, Result);
}

static void addOrder(message::PlannerCommand::OpenOrder &To,
                     const RecordedOrder &From) {
  To.set_endpoint(From.Endpoint);
  To.set_incarnation(From.IncarnationNumber);
  To.set_number(From.Number);
}

asio::awaitable<void> FleetManager::recordOrder(RecordOrder Effect,
                                                std::uint64_t Epoch) {
  message::PlannerCommand Command;
  auto *Record = Command.mutable_record();
  Record->set_failure_domain(this->FailureDomain);
  Record->set_epoch(Epoch);
  addOrder(*Record->add_orders(), Effect.Record);
  for (const RecordedOrder &Each : Effect.Resolved)
    addOrder(*Record->add_settled(), Each);
  std::string Bytes = controlCommand(Command);
  for (;;) {
    auto Result =
        co_await this->Control.propose(ControlLog, Bytes, RecordTimeout);
    std::lock_guard Guard(this->Lock);
    // A record of an older epoch is always refused.
    if (this->GrantEpoch != Epoch)
      co_return;
    if (Result.status() != message::LOG_COMMITTED)
      continue;
    if (Result.reply() == "taken")
      this->Planner.markOrderRecorded(monotonicNow(), Effect.Record.Number);
    co_return;
  }
}

asio::awaitable<void> FleetManager::reportPresence(HostName ControlHost) {
  WireLink *Link = this->Links.link(ControlHost);
  if (!Link)
    co_return;
  message::PresenceCall Call;
  Call.set_failure_domain(this->FailureDomain);
  Call.set_incarnation(this->LocalIncarnationNumber);
  WireReply Reply = co_await Link->call(
      "control.presence", Call.SerializeAsString(), PresenceTimeout);
  message::PresenceResult Result;
  if (Reply.Outcome == WireCallOutcome::Complete &&
      parseMessage(Result, Reply.Message))
    this->handlePresenceResult(Result);
}

void FleetManager::handlePresenceResult(const message::PresenceResult &Result) {
  std::lock_guard Guard(this->Lock);
  if (Result.confirmed() && this->GrantEpoch > 0 &&
      Result.epoch() == this->GrantEpoch)
    this->Planner.recordGrantConfirmation(monotonicNow());
  // A control host that lags behind may still report an older epoch.
  if (Result.epoch() <= this->NewestEpoch)
    return;
  this->NewestEpoch = Result.epoch();
  bool IsPlanner = Result.planner() == this->Self &&
                   Result.planner_incarnation() == this->LocalIncarnationNumber;
  if (!IsPlanner) {
    this->GrantEpoch = 0;
    this->Planner.handleRevocation();
    return;
  }
  std::vector<RecordedOrder> Recorded;
  for (const auto &Each : Result.orders())
    Recorded.push_back({.Endpoint = Each.endpoint(),
                        .IncarnationNumber = Each.incarnation(),
                        .Number = Each.number()});
  this->GrantEpoch = Result.epoch();
  this->Planner.handleGrant(monotonicNow(), Result.epoch(), Recorded);
  logEvent(Severity::Info, "planner-grant-held",
           {{"epoch", static_cast<std::int64_t>(Result.epoch())}});
}

template <class Message, class Handler>
static WireHandler oneWay(Handler Handle) {
  return [Handle =
              std::move(Handle)](WireExchange &Call) -> asio::awaitable<void> {
    Message Parsed;
    if (parseMessage(Parsed, Call.message()))
      Handle(Call.caller(), Parsed);
    co_return;
  };
}

void FleetManager::addHandlers(
    std::map<std::string, WireHandler, std::less<>> &Table) {
  Table["fleet.announcements"] = oneWay<message::AnnouncementRelay>(
      [this](const HostName &, const message::AnnouncementRelay &Message) {
        this->handleRelay(Message);
      });
  Table["fleet.roster"] = oneWay<message::RosterUpdate>(
      [this](const HostName &, const message::RosterUpdate &Message) {
        this->handleRoster(Message);
      });
  Table["fleet.digest"] = oneWay<message::RosterDigest>(
      [this](const HostName &From, const message::RosterDigest &Message) {
        this->handleDigest(From, Message);
      });
  Table["fleet.outstanding"] = oneWay<message::OutstandingWork>(
      [this](const HostName &, const message::OutstandingWork &Message) {
        OutstandingReport Report = fromMessage(Message);
        std::lock_guard Guard(this->Lock);
        this->Directory.recordLoad(monotonicNow(), Report.EntryHost,
                                   Report.Requests);
        this->Planner.recordOutstandingReport(monotonicNow(), Report);
      });
}

} // namespace carobhinge
