//===- LibEntry/ControlFollower.cpp - Follows the leading control host ----===//

#include <LibEntry/ControlFollower.h>

#include <LibControl/AgreedState.h>
#include <LibCore/Compression.h>
#include <LibCore/Hash.h>
#include <LibTelemetry/Log.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace asio = boost::asio;

namespace carobhinge {

/// The leader speaks at least twice a second.
static constexpr auto UpdateTimeout = std::chrono::milliseconds(1200);
/// Any control host answers at once whether it leads; one that doesn't may be
/// frozen with its connections open.
static constexpr auto FirstUpdateTimeout = std::chrono::milliseconds(400);
/// Between two tries to find the leader.
static constexpr auto SearchPause = std::chrono::milliseconds(80);
/// Between two questions whether the state is the newest: several fit into
/// the time for which an answer counts.
static constexpr auto PulseInterval = std::chrono::milliseconds(250);
/// With many entry hosts each asks less often, so that the leader answers a
/// bounded number in a second.
static constexpr auto PulsePerHost = std::chrono::milliseconds(6);
static constexpr auto PulseTimeout = std::chrono::milliseconds(1200);
/// How long a link may take to be made before another host is tried.
static constexpr auto LinkPatience = std::chrono::milliseconds(300);

static WireOptions followerOptions(const HostSettings &Own) {
  return {.Cluster = "carobhinge",
          .Self = Own.Ip,
          .ConnectTimeout = std::chrono::milliseconds(700),
          .PingInterval = std::chrono::milliseconds(700),
          .SilenceTimeout = std::chrono::milliseconds(1800),
          .MostReconnectPause = std::chrono::milliseconds(500)};
}

ControlFollower::ControlFollower(asio::io_context &Context, EntryState &State,
                                 const ControlDialect &Dialect,
                                 std::function<void()> CatalogChanged)
    : Context(Context), State(State), Dialect(Dialect),
      CatalogChanged(std::move(CatalogChanged)),
      Wire(followerOptions(State.Own)), PulseDue(Context.get_executor()) {
  this->Hosts = seedHosts(State.Own);
  // Entry hosts begin their search at different hosts.
  this->Turn = hash64(State.Own.Host);
}

void ControlFollower::start() {
  asio::co_spawn(this->Context, this->followLoop(), asio::detached);
  asio::co_spawn(this->Context, this->pulseLoop(), asio::detached);
}

WireLink &ControlFollower::link(const HostName &Host) {
  std::unique_ptr<WireLink> &Link = this->Links[Host];
  if (!Link)
    Link = std::make_unique<WireLink>(
        this->Context.get_executor(),
        Host + ":" + std::to_string(this->State.Own.PeerPort), this->Wire,
        hash64(Host, hash64(this->State.Own.Ip)));
  return *Link;
}

/// The host that was named leader, then each known one in turn.
HostName ControlFollower::nextHost() {
  if (!this->Leader.empty())
    return std::exchange(this->Leader, HostName());
  if (this->Hosts.empty())
    return {};
  return this->Hosts[this->Turn++ % this->Hosts.size()];
}

asio::awaitable<void> ControlFollower::followLoop() {
  Signal Pause(this->Context.get_executor());
  while (true) {
    HostName Host = this->nextHost();
    if (!Host.empty())
      co_await this->follow(Host);
    co_await Pause.wait(SearchPause);
  }
}

asio::awaitable<void> ControlFollower::follow(HostName Host) {
  WireLink &Link = this->link(Host);
  Signal Pause(this->Context.get_executor());
  TimePoint GiveUp = monotonicNow() + LinkPatience;
  while (!Link.connected() && monotonicNow() < GiveUp)
    co_await Pause.wait(std::chrono::milliseconds(20));
  if (!Link.connected())
    co_return;
  message::WatchCall Call;
  Call.set_revision(this->Revision);
  std::shared_ptr<WireCall> Watch =
      Link.start("watch", Call.SerializeAsString());
  bool Leads = false;
  while (true) {
    std::optional<std::string> Next =
        co_await Watch->next(Leads ? UpdateTimeout : FirstUpdateTimeout);
    message::WatchUpdate Update;
    if (!Next || !Update.ParseFromString(*Next))
      break;
    if (!this->take(Host, Update))
      break;
    if (!Leads) {
      logEvent(Severity::Info, "control-followed", {{"peer", Host}});
      // Links to hosts that don't lead cost pings.
      std::erase_if(this->Links,
                    [&](const auto &Entry) { return Entry.first != Host; });
    }
    Leads = true;
    this->Following = true;
  }
  if (Leads)
    logEvent(Severity::Warning, "control-lost", {{"peer", Host}});
  this->Following = false;
  Watch->cancel();
}

void ControlFollower::stop() {
  for (auto &[Host, Link] : this->Links)
    Link->stop();
}

/// \returns whether the sender leads.
bool ControlFollower::take(const HostName &From,
                           const message::WatchUpdate &Update) {
  for (const HostName &Host : Update.control_hosts())
    if (std::ranges::find(this->Hosts, Host) == this->Hosts.end())
      this->Hosts.push_back(Host);
  if (Update.not_leading()) {
    if (Update.leader() != From)
      this->Leader = Update.leader();
    return false;
  }
  if (Update.control_hosts_size() > 0)
    this->Hosts.assign(Update.control_hosts().begin(),
                       Update.control_hosts().end());
  if (Update.entry_hosts() > 0) {
    this->State.EntryHosts = Update.entry_hosts();
    this->State.Board.shareWith(Update.entry_index(), Update.entry_hosts());
  }
  this->Leader = From;
  if (Update.revision() > this->Revision)
    this->takeState(Update);
  if (Update.whole() || Update.places_size() + Update.removed_size() > 0)
    this->takePlaces(Update);
  return true;
}

void ControlFollower::takeState(const message::WatchUpdate &Update) {
  std::uint64_t Held =
      this->State.Routes ? this->State.Routes->catalog().Version : 0;
  if (Update.version() > Held && !Update.text().empty()) {
    Findings Out;
    std::optional<Catalog> Decoded = this->Dialect.readCatalog(
        decompress(Update.text(), MostCatalogBytes).value_or(""), Out);
    if (!Decoded) {
      logEvent(Severity::Error, "catalog-unreadable",
               {{"version", static_cast<std::int64_t>(Update.version())},
                {"findings", Out.report()}});
      return;
    }
    for (const Service &Each : Decoded->Services)
      this->State.Board.coldLimit(Each.Name, Each.ColdRequestsPerSecond);
    this->State.Routes =
        std::make_shared<const RouteTable>(std::move(*Decoded));
    this->CatalogChanged();
  }
  this->State.Board.emptied(
      {Update.emptied_domains().begin(), Update.emptied_domains().end()});
  this->Revision = Update.revision();
  this->State.Lease.applied(this->Revision);
  logEvent(Severity::Info, "state-in-force",
           {{"version", static_cast<std::int64_t>(Update.version())},
            {"revision", static_cast<std::int64_t>(Update.revision())},
            {"emptied_domains",
             static_cast<std::int64_t>(Update.emptied_domains_size())}});
}

void ControlFollower::takePlaces(const message::WatchUpdate &Update) {
  TimePoint Now = monotonicNow();
  std::vector<Place> Changed;
  std::set<PlaceName> Names;
  for (const message::PlaceMessage &Each : Update.places()) {
    Names.insert(Each.name());
    Changed.push_back(
        {.Name = Each.name(),
         .Endpoint = Each.endpoint(),
         .Address = Each.address(),
         .Service = Each.service(),
         .Model = Each.model(),
         .FailureDomain = Each.failure_domain(),
         .Slots = Each.slots(),
         .ColdUntil = Now + std::chrono::milliseconds(Each.still_cold_ms()),
         .Mode = static_cast<PlaceMode>(Each.mode()),
         .Epoch = Each.epoch()});
  }
  this->State.Board.update(Changed);
  if (Update.whole())
    this->State.Board.retain(Names);
  for (const PlaceName &Name : Update.removed())
    this->State.Board.remove(Name);
}

asio::awaitable<void> ControlFollower::pulseLoop() {
  while (true) {
    if (this->Following)
      asio::co_spawn(this->Context, this->pulse(), asio::detached);
    this->PulseDue.reset();
    co_await this->PulseDue.wait(std::max<Duration>(
        PulseInterval, this->State.EntryHosts * PulsePerHost));
  }
}

asio::awaitable<void> ControlFollower::pulse() {
  TimePoint AskedAt = monotonicNow();
  message::PulseCall Call;
  for (const DispatchBoard::PlaceLoad &Load :
       this->State.Board.loads(AskedAt)) {
    message::PlaceLoadMessage &Message = *Call.add_loads();
    Message.set_place(Load.Name);
    Message.set_in_flight(Load.InFlight);
    Message.set_since_event_ms(Load.SinceEvent ? milliseconds(*Load.SinceEvent)
                                               : -1);
    Message.set_silent(Load.Silent);
  }
  HostName Asked = this->Leader;
  auto Link = this->Links.find(Asked);
  if (Link == this->Links.end())
    co_return;
  std::shared_ptr<WireCall> Question =
      Link->second->start("pulse", Call.SerializeAsString());
  std::optional<std::string> Answer = co_await Question->next(PulseTimeout);
  message::PulseResult Result;
  if (!Answer || !Result.ParseFromString(*Answer))
    co_return;
  if (Result.confirmed())
    this->State.Lease.confirmed(AskedAt, Result.revision());
  if (Result.entry_hosts() > 0)
    this->State.EntryHosts = Result.entry_hosts();
  for (const message::PlaceLoadMessage &Total : Result.totals()) {
    int Own = 0;
    for (const message::PlaceLoadMessage &Mine : Call.loads())
      if (Mine.place() == Total.place())
        Own = Mine.in_flight();
    this->State.Board.othersInFlight(Total.place(),
                                     std::max(Total.in_flight() - Own, 0));
  }
}

} // namespace carobhinge
