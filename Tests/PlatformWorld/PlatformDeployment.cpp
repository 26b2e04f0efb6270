//===- Tests/PlatformWorld/PlatformDeployment.cpp - entry and control -----===//

#include <PlatformWorld/PlatformDeployment.h>

#include <LibHTTP/BlockingFetch.h>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <unistd.h>

namespace asio = boost::asio;
namespace json = boost::json;

namespace carobhinge {

static constexpr auto WaitLimit = std::chrono::seconds(60);
static constexpr auto AskInterval = std::chrono::milliseconds(50);
static constexpr auto CallTimeout = std::chrono::milliseconds(1500);
/// The same on all hosts; each has an address of its own.
static constexpr unsigned PeerPort = 7340;
static constexpr unsigned MetricsPort = 7355;
static constexpr unsigned ControlPort = 8229;
static constexpr unsigned CallerPort = 8227;
static constexpr unsigned ReadinessPort = 8220;
/// Behind the links.
static constexpr unsigned HiddenPeerPort = 7440;
static constexpr unsigned HiddenCallerPort = 8327;
static constexpr auto ReportInterval = std::chrono::milliseconds(400);

/// A small model of pairs and a larger one of threes, quick to load.
static EngineSpec engineSpec() {
  EngineSpec Spec{.Slots = 8,
                  .MemoryTokens = 100000,
                  .StepsPerPass = 4,
                  .StepMs = 3,
                  .StepMsPerSequence = 0.05,
                  .StepMsPerThousandContext = 0.01,
                  .PrefillTokensPerSecond = 50000,
                  .PrefillMsPerMillionPairs = 0.3,
                  .LoadsPerSecond = 4,
                  .ConcurrentLoads = 4};
  Spec.OpenTime = std::chrono::milliseconds(100);
  Spec.Models = {{.Name = "threes",
                  .GroupSize = 3,
                  .InitialShare = 0.5,
                  .Pace = 1,
                  .LoadTime = std::chrono::milliseconds(2000),
                  .StagedJoinTime = std::chrono::milliseconds(500)},
                 {.Name = "pairs",
                  .GroupSize = 2,
                  .InitialShare = 0.5,
                  .Pace = 0.6,
                  .LoadTime = std::chrono::milliseconds(1500),
                  .StagedJoinTime = std::chrono::milliseconds(400)}};
  return Spec;
}

/// Callers drop a connection that was silent for this long.
static constexpr auto SilenceLasts = std::chrono::seconds(20);

static double toMs(Duration Length) {
  return std::chrono::duration<double, std::milli>(Length).count();
}

PlatformDeployment::PlatformDeployment(PlatformPlan Given)
    : Plan(std::move(Given)) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "carobhinge-XXXXXX").string();
  if (!mkdtemp(Pattern.data()))
    throw std::runtime_error("no folder for the test's files can be made");
  this->Folder = Pattern;
  // A network of this process's own, so that tests may run side by side.
  auto Id = static_cast<unsigned>(getpid());
  this->Network = "127." + std::to_string(1 + Id / 256 % 250) + "." +
                  std::to_string(Id % 256) + ".";
  for (unsigned I = 0; I < this->Plan.ControlHosts; ++I)
    this->addHost(I, true);
  for (unsigned I = 0; I < this->Plan.EntryHosts; ++I)
    this->addHost(I, false);
  EndpointFieldOptions Options{.Engines = engineSpec(),
                               .FailureDomains = this->Plan.FailureDomains,
                               .EnginesPerFabric = this->Plan.EnginesPerFabric,
                               .FabricsPerDomain = this->Plan.FabricsPerDomain,
                               .Network = this->Network,
                               .ControlAddresses = this->controlAddresses(),
                               .ReportInterval = ReportInterval};
  this->Field = std::make_unique<EndpointField>(std::move(Options), this->Book);
}

PlatformDeployment::~PlatformDeployment() {
  for (Host &Each : this->Hosts)
    Each.Process.reset();
  this->LinkContext.stop();
  if (this->LinkThread.joinable())
    this->LinkThread.join();
  std::error_code Ignored;
  if (!getenv("CAROBHINGE_KEEP"))
    std::filesystem::remove_all(this->Folder, Ignored);
}

void PlatformDeployment::addHost(unsigned Number, bool Control) {
  const FailureDomainName &Place =
      this->Plan.FailureDomains[Number % this->Plan.FailureDomains.size()];
  Host Added{.Name = (Control ? "control-" : "entry-") + Place + "-" +
                     std::to_string(Number),
             .Ip = this->Network + std::to_string((Control ? 1 : 31) + Number),
             .Place = Place};
  auto Link = [&](unsigned Port, unsigned Hidden) {
    return std::make_unique<LinkStandIn>(
        this->LinkContext.get_executor(),
        LinkStandInOptions{.Listen = Added.Ip + ":" + std::to_string(Port),
                           .To = Added.Ip + ":" + std::to_string(Hidden),
                           .Control = ""});
  };
  Added.PeerLink = Link(PeerPort, HiddenPeerPort);
  if (!Control)
    Added.CallerLink = Link(CallerPort, HiddenCallerPort);
  this->Hosts.push_back(std::move(Added));
}

std::string PlatformDeployment::file(const std::string &Name) const {
  return (this->Folder / Name).string();
}

std::vector<std::string> PlatformDeployment::controlAddresses() const {
  std::vector<std::string> Addresses;
  for (std::size_t I = 0; I < this->Plan.ControlHosts; ++I)
    Addresses.push_back(this->Hosts[I].Ip + ":" + std::to_string(ControlPort));
  return Addresses;
}

std::string PlatformDeployment::callerAddress(std::size_t Host) const {
  return this->Hosts.at(Host).Ip + ":" + std::to_string(CallerPort);
}

void PlatformDeployment::writeSettings(std::size_t Index) {
  const Host &Own = this->Hosts[Index];
  auto At = [&](unsigned Port) { return Own.Ip + ":" + std::to_string(Port); };
  json::array Seeds;
  for (const std::string &Each : this->controlAddresses())
    if (Seeds.size() < 3)
      Seeds.emplace_back(Each);
  json::object Settings;
  Settings["host"] = Own.Name;
  Settings["ip"] = Own.Ip;
  Settings["failure_domain"] = Own.Place;
  if (this->isControl(Index)) {
    Settings["control_address"] = At(ControlPort);
    Settings["data_folder"] = this->file(Own.Name + "-data");
  } else {
    Settings["caller_address"] = At(HiddenCallerPort);
    Settings["readiness_address"] = At(ReadinessPort);
  }
  Settings["peer_port"] = PeerPort;
  Settings["peer_listen_port"] = HiddenPeerPort;
  Settings["metrics_port"] = MetricsPort;
  Settings["seeds"] = std::move(Seeds);
  Settings["first_start"] = !Own.Started;
  Settings["report_interval_ms"] = toMs(ReportInterval);
  std::ofstream(this->file(Own.Name + ".json")) << json::serialize(Settings);
}

void PlatformDeployment::startHost(std::size_t Index) {
  Host &Own = this->Hosts.at(Index);
  this->writeSettings(Index);
  Own.Started = true;
  std::filesystem::create_directories(this->file(Own.Name + "-data"));
  Own.Process.reset();
  Own.Process = std::make_unique<ChildProcess>(
      CAROBHINGE_BINARY,
      std::vector<std::string>{this->isControl(Index) ? "control" : "entry",
                               "--settings", this->file(Own.Name + ".json")},
      this->file(Own.Name + ".log"));
}

ChildProcess &PlatformDeployment::process(std::size_t Index) {
  return *this->Hosts.at(Index).Process;
}

void PlatformDeployment::loseDisk(std::size_t Index) {
  std::filesystem::remove_all(this->file(this->Hosts[Index].Name + "-data"));
}

void PlatformDeployment::setPeerLink(std::size_t Index, LinkMode Mode,
                                     Duration Delay) {
  asio::post(this->LinkContext, [this, Index, Mode, Delay] {
    this->Hosts[Index].PeerLink->setMode(Mode, Delay);
  });
}

void PlatformDeployment::setCallerLink(std::size_t Index, LinkMode Mode,
                                       Duration Delay) {
  Host &Own = this->Hosts[Index];
  bool Silences = Mode != LinkMode::Pass && Mode != LinkMode::Cut;
  if (Silences || Own.Silenced)
    *Own.SilencedAt = monotonicNow();
  Own.Silenced = Silences;
  asio::post(this->LinkContext, [this, Index, Mode, Delay] {
    if (this->Hosts[Index].CallerLink)
      this->Hosts[Index].CallerLink->setMode(Mode, Delay);
  });
}

bool PlatformDeployment::swallowsAnswers(std::size_t Index) const {
  TimePoint Last = *this->Hosts.at(Index).SilencedAt;
  return Last != TimePoint::min() && monotonicNow() - Last < SilenceLasts;
}

bool PlatformDeployment::isReady(std::size_t Index) const {
  HttpCallOptions Options{.ConnectTimeout = CallTimeout,
                          .HeadTimeout = CallTimeout};
  HttpAnswer Answer =
      blockingFetch(this->Hosts[Index].Ip + ":" + std::to_string(ReadinessPort),
                    {.Method = "GET", .Target = "/readyz"}, std::move(Options));
  return Answer.End == HttpCallEnd::Complete && Answer.Head.Status == 200;
}

static json::object route(const std::string &Name, const std::string &Prefix,
                          const std::string &Kind, const std::string &Service) {
  bool Streams = Kind == "streaming";
  json::object Route;
  Route["name"] = Name;
  Route["host"] = "callers.example";
  Route["path_prefix"] = Prefix;
  Route["route_kind"] = Kind;
  Route["timeout_ms"] = Streams ? 6000 : 3000;
  Route["goal_ms"] = 300;
  Route["priority"] = 1;
  Route["service"] = Service;
  Route["max_attempts"] = Kind == "non_idempotent" ? 1 : 2;
  Route["public"] = false;
  Route["sticky"] = Streams;
  Route["resumable"] = Streams;
  if (Streams)
    Route["itl_target_ms"] = 300;
  return Route;
}

static json::object engineJson(const EngineSpec &Spec) {
  json::object Engine;
  Engine["slots"] = Spec.Slots;
  Engine["kv_capacity"] = Spec.MemoryTokens;
  Engine["stride"] = Spec.StepsPerPass;
  Engine["step_ms"] = Spec.StepMs;
  Engine["per_seq_ms"] = Spec.StepMsPerSequence;
  Engine["context_per_k"] = Spec.StepMsPerThousandContext;
  Engine["read_per_s"] = Spec.PrefillTokensPerSecond;
  Engine["pairs_per_m"] = Spec.PrefillMsPerMillionPairs;
  Engine["chunk"] = Spec.PrefillTokensPerStep;
  Engine["loads_per_s"] = Spec.LoadsPerSecond;
  Engine["loads_at_once"] = Spec.ConcurrentLoads;
  Engine["form_ms"] = toMs(Spec.OpenTime);
  json::array Models;
  for (const ModelSpec &Each : Spec.Models) {
    json::object Model;
    Model["name"] = Each.Name;
    Model["size"] = Each.GroupSize;
    Model["share"] = Each.InitialShare;
    Model["pace"] = Each.Pace;
    Model["load_s"] = toMs(Each.LoadTime) / 1000;
    Model["warm_s"] = toMs(Each.StagedJoinTime) / 1000;
    Models.emplace_back(std::move(Model));
  }
  Engine["models"] = std::move(Models);
  return Engine;
}

std::string PlatformDeployment::catalogText(unsigned Version) const {
  json::array Routes;
  Routes.emplace_back(route("drafts", "/draft/", "streaming", "engines"));
  Routes.emplace_back(route("posts", "/post/", "non_idempotent", "ledger"));
  Routes.emplace_back(route("readings", "/get/", "idempotent", "ledger"));
  std::string Fresh = "/v" + std::to_string(Version) + "/";
  Routes.emplace_back(route("fresh", Fresh, "idempotent", "ledger"));
  json::object Engines;
  Engines["name"] = "engines";
  Engines["health_path"] = "/healthz";
  Engines["max_conns"] = 400;
  Engines["engine"] = engineJson(engineSpec());
  json::object Ledger;
  Ledger["name"] = "ledger";
  Ledger["health_path"] = "/healthz";
  Ledger["max_conns"] = 100;
  json::array Services;
  Services.emplace_back(std::move(Engines));
  Services.emplace_back(std::move(Ledger));
  json::array Keys;
  Keys.emplace_back(this->Key);
  json::object Workspace;
  Workspace["name"] = "clerks";
  Workspace["api_keys"] = std::move(Keys);
  json::array Workspaces;
  Workspaces.emplace_back(std::move(Workspace));
  json::object Catalog;
  Catalog["version"] = Version;
  Catalog["routes"] = std::move(Routes);
  Catalog["services"] = std::move(Services);
  Catalog["tenants"] = std::move(Workspaces);
  return json::serialize(Catalog);
}

/// Asks the control hosts in turn, and follows where one sends to another.
HttpAnswer PlatformDeployment::askControl(const HttpRequest &Request,
                                          std::size_t First) const {
  std::vector<std::string> Hosts = this->controlAddresses();
  std::string To = Hosts[First % Hosts.size()];
  HttpAnswer Answer;
  for (int Hop = 0; Hop < 3; ++Hop) {
    HttpCallOptions Options{.ConnectTimeout = CallTimeout,
                            .HeadTimeout = CallTimeout,
                            .ChunkTimeout = CallTimeout};
    HttpRequest Copy = Request;
    Answer = blockingFetch(To, std::move(Copy), std::move(Options));
    if (Answer.End != HttpCallEnd::Complete || Answer.Head.Status != 307)
      break;
    std::string Location(Answer.Head.Headers.value("Location"));
    std::size_t Begin = Location.find("//") + 2;
    To = Location.substr(Begin, Location.find('/', Begin) - Begin);
  }
  return Answer;
}

bool PlatformDeployment::putCatalog(unsigned Version, Duration Most) {
  HttpRequest Request{.Method = "PUT",
                      .Target = "/config",
                      .Headers = {{"Content-Type", "application/json"}},
                      .Body = this->catalogText(Version)};
  TimePoint End = monotonicNow() + Most;
  for (std::size_t Turn = 0; monotonicNow() < End; ++Turn) {
    HttpAnswer Answer = this->askControl(Request, Turn);
    if (Answer.End == HttpCallEnd::Complete && Answer.Head.Status == 200)
      return true;
    std::this_thread::sleep_for(AskInterval);
  }
  return false;
}

std::optional<unsigned> PlatformDeployment::readVersion() const {
  HttpRequest Request{.Method = "GET", .Target = "/config"};
  for (std::size_t Turn = 0; Turn < this->Plan.ControlHosts; ++Turn) {
    HttpAnswer Answer = this->askControl(Request, Turn);
    if (Answer.End == HttpCallEnd::Complete && Answer.Head.Status == 200)
      return json::parse(Answer.Body).at("version").to_number<unsigned>();
  }
  return std::nullopt;
}

std::vector<std::filesystem::path> PlatformDeployment::logs() const {
  std::vector<std::filesystem::path> Paths;
  for (const Host &Each : this->Hosts)
    Paths.emplace_back(this->file(Each.Name + ".log"));
  return Paths;
}

void PlatformDeployment::waitFor(const std::string &What,
                                 const std::function<bool()> &Reached) {
  TimePoint End = monotonicNow() + WaitLimit;
  while (!Reached()) {
    if (monotonicNow() > End)
      throw std::runtime_error("waited in vain: " + What);
    std::this_thread::sleep_for(AskInterval);
  }
}

void PlatformDeployment::start() {
  for (Host &Each : this->Hosts) {
    Each.PeerLink->start();
    if (Each.CallerLink)
      Each.CallerLink->start();
  }
  this->LinkThread = std::jthread([this] { this->LinkContext.run(); });
  for (std::size_t I = 0; I < this->Hosts.size(); ++I)
    this->startHost(I);
  this->Field->start();
  if (!this->putCatalog(1, WaitLimit))
    throw std::runtime_error("the first catalog is not acknowledged");
  for (std::size_t I = this->Plan.ControlHosts; I < this->Hosts.size(); ++I)
    waitFor(this->Hosts[I].Name + " is ready",
            [&] { return this->isReady(I); });
}

} // namespace carobhinge
