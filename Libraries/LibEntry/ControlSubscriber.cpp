//===- LibEntry/ControlSubscriber.cpp - Subscribes to the control leader --===//

#include <LibEntry/ControlSubscriber.h>

#include <LibControl/ReplicatedState.h>
#include <LibCore/Compression.h>
#include <LibCore/Hash.h>
#include <LibTelemetry/Log.h>
#include <LibTelemetry/Supervision.h>
#include <LibWire/MessageParser.h>
#include <algorithm>

namespace asio = boost::asio;

namespace carobhinge {

/// The leader sends an update at least twice a second.
static constexpr auto UpdateTimeout = std::chrono::milliseconds(1200);
/// Every control host reports at once whether it leads. One that doesn't may be
/// suspended with its connections open.
static constexpr auto FirstUpdateTimeout = std::chrono::milliseconds(400);
/// Between two attempts to subscribe to the leader.
static constexpr auto SearchInterval = std::chrono::milliseconds(80);
/// Between two pulses, each of which requests a confirmation of the state.
/// Several fit into the length of the confirmation lease.
static constexpr auto PulseInterval = std::chrono::milliseconds(250);
/// The pulse interval is at least this long for each entry host of the cluster,
/// so that the leader gets a bounded number of pulses in a second.
static constexpr auto PulseIntervalPerHost = std::chrono::milliseconds(6);
static constexpr auto PulseTimeout = std::chrono::milliseconds(1200);
/// A permit to try a refused prompt holds this long; the control host counts it
/// from the moment at which it granted it, and waits twice as long.
static constexpr auto TrialPermitTime = std::chrono::seconds(30);
/// Time limit for a link to connect before another host is tried.
static constexpr auto LinkTimeout = std::chrono::milliseconds(300);

static WireOptions subscriberOptions(const HostSettings &Settings,
                                     const SharedByteBudget &Budget) {
  return {.Cluster = "carobhinge",
          .Self = Settings.Ip,
          .Budget = &Budget,
          .ConnectTimeout = std::chrono::milliseconds(700),
          .PingInterval = std::chrono::milliseconds(700),
          .PingTimeout = std::chrono::milliseconds(1800),
          .MaxReconnectPause = std::chrono::milliseconds(500)};
}

ControlSubscriber::ControlSubscriber(asio::io_context &Context,
                                     EntryState &State,
                                     const ControlProtocol &Protocol,
                                     const SharedByteBudget &Budget,
                                     std::function<void()> CatalogChanged)
    : Context(Context), State(State), Protocol(Protocol),
      CatalogChanged(std::move(CatalogChanged)),
      LinkOptions(subscriberOptions(State.Settings, Budget)),
      PulseRequested(Context.get_executor()) {
  this->ControlHosts = seedHosts(State.Settings);
  // Entry hosts start their search at different control hosts, which spreads
  // the load.
  this->NextHostIndex = hash64(State.Settings.Host);
}

void ControlSubscriber::start() {
  auto Executor = this->Context.get_executor();
  spawnLoop(Executor, "subscription", [this] { return this->subscribeLoop(); });
  spawnLoop(Executor, "pulses", [this] { return this->pulseLoop(); });
}

WireLink &ControlSubscriber::link(const HostName &Host) {
  std::unique_ptr<WireLink> &Link = this->Links[Host];
  if (!Link)
    Link = std::make_unique<WireLink>(
        this->Context.get_executor(),
        Host + ":" + std::to_string(this->State.Settings.PeerPort),
        this->LinkOptions, hash64(Host, hash64(this->State.Settings.Ip)));
  return *Link;
}

/// The host that was named as leader, if any; otherwise each control host in
/// turn.
HostName ControlSubscriber::nextHost() {
  if (!this->Leader.empty())
    return std::exchange(this->Leader, HostName());
  if (this->ControlHosts.empty())
    return {};
  return this->ControlHosts[this->NextHostIndex++ % this->ControlHosts.size()];
}

asio::awaitable<void> ControlSubscriber::subscribeLoop() {
  Signal Pause(this->Context.get_executor());
  while (true) {
    HostName Host = this->nextHost();
    if (!Host.empty())
      co_await this->subscribe(Host);
    co_await Pause.wait(SearchInterval);
  }
}

asio::awaitable<void> ControlSubscriber::subscribe(HostName Host) {
  WireLink &Link = this->link(Host);
  Signal Pause(this->Context.get_executor());
  TimePoint ConnectDeadline = monotonicNow() + LinkTimeout;
  while (!Link.connected() && monotonicNow() < ConnectDeadline)
    co_await Pause.wait(std::chrono::milliseconds(20));
  if (!Link.connected())
    co_return;
  message::WatchCall Call;
  Call.set_revision(this->Revision);
  std::shared_ptr<WireCall> Subscription =
      Link.start("watch", Call.SerializeAsString());
  auto Cancel = [](WireCall *Call) { Call->cancel(); };
  std::unique_ptr<WireCall, decltype(Cancel)> CancelGuard(Subscription.get(),
                                                          Cancel);
  ResetOnExit SubscribedGuard(this->IsSubscribed);
  bool IsLeading = false;
  while (true) {
    std::optional<std::string> Next = co_await Subscription->next(
        IsLeading ? UpdateTimeout : FirstUpdateTimeout);
    message::WatchUpdate Update;
    if (!Next || !parseMessage(Update, *Next))
      break;
    if (!this->applyUpdate(Host, Update))
      break;
    if (!IsLeading) {
      logEvent(Severity::Info, "control-followed", {{"peer", Host}});
      // Every open link sends pings; only the leader's link is needed.
      std::erase_if(this->Links,
                    [&](const auto &Entry) { return Entry.first != Host; });
    }
    if (!IsLeading) {
      this->State.Guard.resendAll();
      this->State.RequestDispatcher.resendLimits();
    }
    IsLeading = true;
    this->IsSubscribed = true;
  }
  if (IsLeading)
    logEvent(Severity::Warning, "control-lost", {{"peer", Host}});
}

void ControlSubscriber::stop() {
  for (auto &[Host, Link] : this->Links)
    Link->stop();
}

/// Applies \p Update if \p Sender leads, and otherwise only records the hosts
/// that it names. \returns whether the sender leads.
bool ControlSubscriber::applyUpdate(const HostName &Sender,
                                    const message::WatchUpdate &Update) {
  for (const HostName &Host : Update.control_hosts())
    if (std::ranges::find(this->ControlHosts, Host) == this->ControlHosts.end())
      this->ControlHosts.push_back(Host);
  if (Update.not_leading()) {
    if (Update.leader() != Sender)
      this->Leader = Update.leader();
    return false;
  }
  if (Update.control_hosts_size() > 0)
    this->ControlHosts.assign(Update.control_hosts().begin(),
                              Update.control_hosts().end());
  if (Update.entry_hosts() > 0) {
    this->State.EntryHostCount = Update.entry_hosts();
    this->State.RequestDispatcher.setEntryHosts(Update.entry_index(),
                                                Update.entry_hosts());
  }
  this->Leader = Sender;
  if (Update.revision() > this->Revision)
    this->applyState(Update);
  if (Update.has_suspects())
    this->State.Guard.setSuspects(
        {.Parts = {Update.suspects().parts().begin(),
                   Update.suspects().parts().end()},
         .NotRetried = {Update.suspects().not_retried().begin(),
                        Update.suspects().not_retried().end()},
         .HeldBack = {Update.suspects().held_back().begin(),
                      Update.suspects().held_back().end()}});
  if (Update.has_entry_peers()) {
    std::vector<EntryPeer> Peers;
    for (const auto &Each : Update.entry_peers().peers())
      Peers.push_back(
          {.Host = Each.host(), .FailureDomain = Each.failure_domain()});
    this->State.Peers.setPeers(std::move(Peers));
  }
  if (Update.whole() || Update.places_size() + Update.removed_size() > 0)
    this->applyTargets(Update);
  return true;
}

void ControlSubscriber::applyState(const message::WatchUpdate &Update) {
  std::uint64_t CurrentVersion =
      this->State.Routes ? this->State.Routes->catalog().Version : 0;
  if (Update.version() > CurrentVersion && !Update.text().empty()) {
    Findings CatalogFindings;
    std::optional<Catalog> Decoded = this->Protocol.readCatalog(
        decompress(Update.text(), MaxCatalogBytes).value_or(""),
        CatalogFindings);
    if (!Decoded) {
      logEvent(Severity::Error, "catalog-unreadable",
               {{"version", static_cast<std::int64_t>(Update.version())},
                {"findings", CatalogFindings.report()}});
      return;
    }
    for (const Service &CatalogService : Decoded->Services)
      this->State.RequestDispatcher.setColdLimit(
          CatalogService.Name, CatalogService.ColdRequestsPerSecond);
    this->State.Routes =
        std::make_shared<const RouteTable>(std::move(*Decoded));
    this->CatalogChanged();
  }
  std::vector<PromptParts> Refusals;
  for (const message::PromptPartsMessage &Each : Update.refused_prompts())
    Refusals.emplace_back(Each.parts().begin(), Each.parts().end());
  this->State.Guard.setRefusals(std::move(Refusals));
  this->State.RequestDispatcher.setDrainedDomains(
      {Update.emptied_domains().begin(), Update.emptied_domains().end()});
  this->Revision = Update.revision();
  this->State.Lease.recordApplied(this->Revision);
  logEvent(Severity::Info, "state-in-force",
           {{"version", static_cast<std::int64_t>(Update.version())},
            {"revision", static_cast<std::int64_t>(Update.revision())},
            {"emptied_domains",
             static_cast<std::int64_t>(Update.emptied_domains_size())}});
}

void ControlSubscriber::applyTargets(const message::WatchUpdate &Update) {
  TimePoint Now = monotonicNow();
  std::vector<DispatchTarget> Changed;
  std::set<DispatchTargetName> Names;
  for (const message::PlaceMessage &Message : Update.places()) {
    Names.insert(Message.name());
    Changed.push_back(
        {.Name = Message.name(),
         .Endpoint = Message.endpoint(),
         .EndpointLife = Message.endpoint_life(),
         .Address = Message.address(),
         .Service = Message.service(),
         .Model = Message.model(),
         .FailureDomain = Message.failure_domain(),
         .Slots = Message.slots(),
         .ColdUntil = Now + std::chrono::milliseconds(Message.still_cold_ms()),
         .Mode = static_cast<DispatchTargetMode>(Message.mode()),
         .Epoch = Message.epoch(),
         .RequestLimit = Message.request_limit(),
         .LimitKnownAt = Message.request_limit() > 0 ? Now : TimePoint::min()});
  }
  this->State.RequestDispatcher.update(Changed);
  if (Update.whole())
    this->State.RequestDispatcher.retain(Names);
  for (const DispatchTargetName &Name : Update.removed())
    this->State.RequestDispatcher.remove(Name);
}

asio::awaitable<void> ControlSubscriber::pulseLoop() {
  while (true) {
    if (this->IsSubscribed)
      spawnTask(this->Context.get_executor(), "pulse", this->sendPulse());
    this->PulseRequested.reset();
    co_await this->PulseRequested.wait(std::max<Duration>(
        PulseInterval, this->State.EntryHostCount * PulseIntervalPerHost));
  }
}

static void addEvidence(TimePoint Now, const PromptEvidence &Evidence,
                        message::PulseCall &Call) {
  for (const CrashReport &Crash : Evidence.Crashes) {
    message::CrashMessage &Message = *Call.add_crashes();
    Message.set_engine(Crash.Engine);
    Message.set_age_ms(milliseconds(Now - Crash.At));
    for (const SuspectPrompt &Prompt : Crash.Prompts) {
      message::SuspectPromptMessage &Suspect = *Message.add_prompts();
      Suspect.mutable_parts()->Assign(Prompt.Parts.begin(), Prompt.Parts.end());
      Suspect.set_running_ms(milliseconds(Crash.At - Prompt.BeganAt));
    }
  }
  for (const auto &[Part, AnsweredAt] : Evidence.Answers) {
    message::PartAnswerMessage &Message = *Call.add_answers();
    Message.set_part(Part);
    Message.set_age_ms(milliseconds(Now - AnsweredAt));
  }
  Call.set_answer_count(Evidence.AnswerCount);
}

asio::awaitable<void> ControlSubscriber::sendPulse() {
  TimePoint RequestedAt = monotonicNow();
  message::PulseCall Call;
  Call.set_failure_domain(this->State.Settings.FailureDomain);
  Call.set_cut_off(this->State.isCutOff());
  for (const Dispatcher::TargetLoad &Load :
       this->State.RequestDispatcher.targetLoads(RequestedAt)) {
    message::PlaceLoadMessage &Message = *Call.add_loads();
    Message.set_place(Load.Name);
    Message.set_in_flight(Load.InFlight);
    Message.set_since_event_ms(
        Load.TimeSinceEvent ? milliseconds(*Load.TimeSinceEvent) : -1);
    Message.set_silent(Load.Suspected);
    Message.set_standing_still(Load.Doubted);
  }
  HostName LeaderHost = this->Leader;
  auto Link = this->Links.find(LeaderHost);
  if (Link == this->Links.end())
    co_return;
  PromptEvidence Evidence = this->State.Guard.evidence();
  addEvidence(RequestedAt, Evidence, Call);
  std::vector<LimitObservation> Limits =
      this->State.RequestDispatcher.limitObservations();
  for (const LimitObservation &Limit : Limits) {
    message::LimitMessage &Message = *Call.add_limits();
    Message.set_endpoint(Limit.Endpoint);
    Message.set_per_second(Limit.PerSecond);
    Message.set_age_ms(milliseconds(RequestedAt - Limit.SeenAt));
  }
  std::shared_ptr<WireCall> Pulse =
      Link->second->start("pulse", Call.SerializeAsString());
  std::optional<std::string> Answer = co_await Pulse->next(PulseTimeout);
  message::PulseResult Result;
  if (!Answer || !parseMessage(Result, *Answer))
    co_return;
  this->State.Guard.confirm(Evidence);
  this->State.RequestDispatcher.confirmLimits(Limits);
  if (Result.limit_share() > 0)
    this->State.RequestDispatcher.setLimitShare(Result.limit_share());
  if (Result.has_trial())
    this->State.Guard.grantTrial(
        {Result.trial().parts().begin(), Result.trial().parts().end()},
        monotonicNow() + TrialPermitTime);
  if (Result.confirmed())
    this->State.Lease.recordConfirmation(RequestedAt, Result.revision());
  if (Result.entry_hosts() > 0)
    this->State.EntryHostCount = Result.entry_hosts();
  for (const message::PlaceLoadMessage &Total : Result.totals()) {
    int LocalInFlight = 0;
    for (const message::PlaceLoadMessage &LocalLoad : Call.loads())
      if (LocalLoad.place() == Total.place())
        LocalInFlight = LocalLoad.in_flight();
    this->State.RequestDispatcher.setRemoteInFlight(
        Total.place(), std::max(Total.in_flight() - LocalInFlight, 0));
  }
}

} // namespace carobhinge
