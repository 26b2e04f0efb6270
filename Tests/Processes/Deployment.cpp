//===- Tests/Processes/Deployment.cpp - A small cluster of processes ------===//
///
/// \file
/// Writes settings, starts the processes, and controls and queries the cluster.
///
//===----------------------------------------------------------------------===//

#include <Processes/Deployment.h>

#include <LibHTTP/Address.h>
#include <LibHTTP/BlockingFetch.h>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <set>
#include <thread>
#include <unistd.h>

namespace asio = boost::asio;
namespace json = boost::json;

namespace carobhinge {

static constexpr auto WaitLimit = std::chrono::seconds(60);
static constexpr auto PollInterval = std::chrono::milliseconds(100);
static constexpr unsigned HostsPerDomain = 2;
static constexpr unsigned EnginesPerGroup = 2;

DeploymentPlan trustPlan() {
  return {.Cluster = "delta-north",
          .FailureDomains = {"tanta-a", "mansoura-b", "zagazig-c"},
          .Intent = "Examples/trust/intent.json",
          .Workspaces = {"centres-gharbia", "treasurers-sharqia",
                         "payments-office"},
          .Model = "sheet",
          .PlainService = "ledger",
          .KeyedCallPath = "/payouts",
          .LookUpPrefix = "/readings/"};
}

DeploymentPlan servicioPlan() {
  return {.Cluster = "biobio",
          .FailureDomains = {"talcahuano", "concepcion", "coronel"},
          .Intent = "Examples/servicio/intent.json",
          .Workspaces = {"cooperatives-talcahuano", "cooperatives-lebu",
                         "inspectors"},
          .Model = "net-design",
          .PlainService = "quotes",
          .KeyedCallPath = "/quotes",
          .LookUpPrefix = "/quotes/"};
}

Deployment::Deployment(DeploymentPlan Plan, std::vector<unsigned> EngineGroups)
    : Plan(std::move(Plan)), EngineGroups(std::move(EngineGroups)) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "carobhinge-XXXXXX").string();
  if (!mkdtemp(Pattern.data()))
    throw std::runtime_error("cannot create a folder for the test's files");
  this->Folder = Pattern;
  for (const std::string &Domain : this->Plan.FailureDomains)
    for (unsigned I = 1; I <= HostsPerDomain; ++I)
      this->Hosts.push_back({.Host = Domain + "-" + std::to_string(I),
                             .FailureDomain = Domain,
                             .Control = I == 1,
                             .Callers = this->freshAddress(),
                             .Endpoints = this->freshAddress(),
                             .Operators = this->freshAddress(),
                             .Peers = this->freshAddress()});
}

Deployment::~Deployment() {
  this->Processes.clear();
  std::error_code Ignored;
  if (!getenv("CAROBHINGE_KEEP"))
    std::filesystem::remove_all(this->Folder, Ignored);
}

std::string Deployment::file(const std::string &Name) const {
  return (this->Folder / Name).string();
}

/// Returns the loopback address of this process. Programs on other addresses
/// and connections, which come from 127.0.0.1, don't take its ports.
static std::string ownLoopbackAddress() {
  auto Id = static_cast<std::uint32_t>(getpid());
  asio::ip::address_v4 Base({127, 128, 0, 0});
  return asio::ip::address_v4(Base.to_uint() + Id).to_string();
}

/// Returns an address of this process with a port that is free and that was not
/// returned before.
std::string Deployment::freshAddress() {
  static std::set<std::string> Allocated;
  for (;;) {
    asio::io_context Context;
    asio::ip::tcp::acceptor Acceptor(Context,
                                     parseAddress(ownLoopbackAddress() + ":0"));
    std::string Address = formatAddress(Acceptor.local_endpoint());
    if (Allocated.insert(Address).second)
      return Address;
  }
}

void Deployment::addLink(const std::string &Host, const HostAddresses &To) {
  std::string Listen = this->freshAddress();
  this->LinkControls.push_back(this->freshAddress());
  std::vector<std::string> Arguments{
      "standin", "link",   "--listen",  Listen,
      "--to",    To.Peers, "--control", this->LinkControls.back()};
  this->Processes["link-" + Host + "-" + To.Host] =
      std::make_unique<ChildProcess>(CAROBHINGE_BINARY, std::move(Arguments),
                                     this->file("links.log"));
  this->LinkAddresses[{Host, To.Host}] = Listen;
}

void Deployment::addLinksAround(const std::string &FailureDomain) {
  for (const HostAddresses &From : this->Hosts)
    for (const HostAddresses &To : this->Hosts)
      if ((From.FailureDomain == FailureDomain) !=
          (To.FailureDomain == FailureDomain))
        this->addLink(From.Host, To);
}

void Deployment::setLinks(const std::string &Mode) {
  for (const std::string &Control : this->LinkControls) {
    HttpRequest Request{.Method = "POST",
                        .Target = "/link",
                        .Body = "{\"mode\":\"" + Mode + "\"}"};
    if (blockingFetch(Control, std::move(Request)).Head.Status != 200)
      throw std::runtime_error(
          "a link stand-in did not answer a change of its mode with 200");
  }
}

bool Deployment::drainDomain(const std::string &FailureDomain, unsigned Base) {
  std::ifstream Source(std::string(CAROBHINGE_SOURCE_FOLDER) + "/" +
                       this->Plan.Intent);
  std::string Text{std::istreambuf_iterator<char>(Source), {}};
  json::value Intent = json::parse(Text);
  for (json::value &Each : Intent.at("failure_domains").as_array())
    Each.as_object()["out"] = Each.at("name").as_string() == FailureDomain;
  std::string Path = this->file("intent-" + std::to_string(Base) + ".json");
  std::ofstream(Path) << json::serialize(Intent);
  return this->command({"apply", Path, "--base", std::to_string(Base),
                        "--operator", "test", "--address",
                        this->Hosts.front().Operators}) == 0;
}

json::object Deployment::peerEntry(const HostAddresses &From,
                                   const HostAddresses &To) const {
  json::array Roles;
  Roles.emplace_back("entry");
  if (To.Control)
    Roles.emplace_back("control");
  auto Link = this->LinkAddresses.find({From.Host, To.Host});
  bool Direct = Link == this->LinkAddresses.end();
  json::object Entry;
  Entry["host"] = To.Host;
  Entry["failure_domain"] = To.FailureDomain;
  Entry["region"] = this->Plan.Cluster;
  Entry["address"] = Direct ? To.Peers : Link->second;
  Entry["roles"] = std::move(Roles);
  return Entry;
}

void Deployment::writeSettings(const HostAddresses &Host) {
  json::array Peers;
  for (const HostAddresses &Each : this->Hosts)
    if (Each.Host != Host.Host)
      Peers.emplace_back(this->peerEntry(Host, Each));
  json::object Listen;
  Listen["callers"] = Host.Callers;
  Listen["endpoints"] = Host.Endpoints;
  Listen["operators"] = Host.Operators;
  Listen["peers"] = Host.Peers;
  json::array Roles;
  Roles.emplace_back("entry");
  json::object Settings;
  Settings["cluster"] = this->Plan.Cluster;
  Settings["host"] = Host.Host;
  Settings["failure_domain"] = Host.FailureDomain;
  Settings["region"] = this->Plan.Cluster;
  Settings["listen"] = std::move(Listen);
  Settings["peers"] = std::move(Peers);
  Settings["threads"] = 2;
  if (Host.Control) {
    Roles.emplace_back("control");
    Settings["data_folder"] = this->file(Host.Host + "-data");
  }
  Settings["roles"] = std::move(Roles);
  std::ofstream(this->file(Host.Host + ".json")) << json::serialize(Settings);
}

void Deployment::startHost(const HostAddresses &Host) {
  std::filesystem::create_directories(this->file(Host.Host + "-data"));
  this->Processes[Host.Host] = std::make_unique<ChildProcess>(
      CAROBHINGE_BINARY,
      std::vector<std::string>{"serve", "--settings",
                               this->file(Host.Host + ".json")},
      this->file(Host.Host + ".log"));
}

ChildProcess &Deployment::process(const std::string &Host) {
  return *this->Processes.at(Host);
}

void Deployment::removeDataFolder(const std::string &Host) {
  std::filesystem::remove_all(this->file(Host + "-data"));
}

std::vector<std::string>
Deployment::announceTo(const std::string &FailureDomain) {
  std::vector<std::string> Arguments;
  for (const HostAddresses &Host : this->Hosts)
    if (Host.FailureDomain == FailureDomain)
      Arguments.insert(Arguments.end(), {"--announce-to", Host.Endpoints});
  return Arguments;
}

void Deployment::startEngines() {
  for (std::size_t D = 0; D < this->Plan.FailureDomains.size(); ++D)
    for (unsigned I = 0; I < this->EngineGroups[D] * EnginesPerGroup; ++I)
      this->startEngine(D, I);
}

void Deployment::startEngine(std::size_t DomainIndex, unsigned Number) {
  const std::string &Domain = this->Plan.FailureDomains[DomainIndex];
  std::string Name = "engine-" + Domain + "-" + std::to_string(Number);
  this->EngineAddresses.push_back(this->freshAddress());
  std::vector<std::string> Arguments{
      "standin",          "engine",
      "--listen",         this->EngineAddresses.back(),
      "--endpoint",       Name,
      "--host",           "machine-" + Name,
      "--failure-domain", Domain,
      "--fabric-domain",  Domain + "-fabric",
      "--service",        this->Plan.Model,
      "--token-ms",       "2",
      "--crash-on",       CrashText,
      "--bad-status-on",  BadStatusText,
      "--break-off-on",   BreakOffText,
      "--request-limit",  std::to_string(this->RequestLimit)};
  for (std::string &Each : this->announceTo(Domain))
    Arguments.push_back(std::move(Each));
  this->Processes[Name] = std::make_unique<ChildProcess>(
      CAROBHINGE_BINARY, std::move(Arguments), this->file("engines.log"));
}

std::size_t Deployment::countCrashedEngines() {
  std::size_t Crashed = 0;
  for (std::size_t D = 0; D < this->Plan.FailureDomains.size(); ++D)
    for (unsigned I = 0; I < this->EngineGroups[D] * EnginesPerGroup; ++I)
      Crashed += this->isEngineRunning(D, I) ? 0 : 1;
  return Crashed;
}

bool Deployment::isEngineRunning(std::size_t DomainIndex, unsigned Number) {
  return this
      ->process("engine-" + this->Plan.FailureDomains[DomainIndex] + "-" +
                std::to_string(Number))
      .running();
}

void Deployment::restartCrashedEngines() {
  for (std::size_t D = 0; D < this->Plan.FailureDomains.size(); ++D)
    for (unsigned I = 0; I < this->EngineGroups[D] * EnginesPerGroup; ++I)
      if (!this->isEngineRunning(D, I))
        this->startEngine(D, I);
}

void Deployment::startServices() {
  for (const std::string &Domain : this->Plan.FailureDomains) {
    std::string Name = "service-" + Domain;
    this->ServiceAddresses.push_back(this->freshAddress());
    std::vector<std::string> Arguments{
        "standin",          "service",
        "--listen",         this->ServiceAddresses.back(),
        "--endpoint",       Name,
        "--host",           "machine-" + Name,
        "--failure-domain", Domain,
        "--fabric-domain",  Domain + "-fabric",
        "--service",        this->Plan.PlainService};
    for (std::string &Each : this->announceTo(Domain))
      Arguments.push_back(std::move(Each));
    this->Processes[Name] = std::make_unique<ChildProcess>(
        CAROBHINGE_BINARY, std::move(Arguments), this->file("services.log"));
  }
}

unsigned Deployment::mostArrivals() {
  unsigned Most = 0;
  for (const std::string &Address : this->EngineAddresses) {
    HttpFetchResult Answer = blockingFetch(
        Address, {.Method = "GET", .Target = "/standin/statistics"});
    if (Answer.Outcome != HttpCallOutcome::Complete)
      throw std::runtime_error(
          "an engine stand-in did not answer with its statistics");
    Most = std::max(
        Most,
        json::parse(Answer.Body).at("most_arrivals").to_number<unsigned>());
  }
  return Most;
}

int Deployment::command(std::vector<std::string> Arguments) {
  ChildProcess Command(CAROBHINGE_BINARY, std::move(Arguments),
                       this->file("commands.log"));
  return Command.wait(WaitLimit).value_or(-1);
}

std::string Deployment::operatorsGet(const HostAddresses &Host,
                                     const std::string &Path) {
  HttpFetchResult Answer =
      blockingFetch(Host.Operators, {.Method = "GET", .Target = Path});
  bool IsComplete =
      Answer.Outcome == HttpCallOutcome::Complete && Answer.Head.Status == 200;
  return IsComplete ? Answer.Body : std::string();
}

void Deployment::waitFor(const std::string &Condition,
                         const std::function<bool()> &IsReached) {
  auto Deadline = std::chrono::steady_clock::now() + WaitLimit;
  while (!IsReached()) {
    if (std::chrono::steady_clock::now() > Deadline)
      throw std::runtime_error("timed out waiting until " + Condition);
    std::this_thread::sleep_for(PollInterval);
  }
}

std::size_t Deployment::countServingGroups(const HostAddresses &Host) {
  std::string Text = this->operatorsGet(Host, "/v1/status");
  if (Text.empty())
    return 0;
  std::size_t Serving = 0;
  // A group serves requests of this host once it is a routing target.
  json::value Status = json::parse(Text);
  for (const json::value &Service : Status.at("services").as_array())
    if (Service.at("service").as_string() == this->Plan.Model)
      Serving += Service.at("targets").as_array().size();
  return Serving;
}

std::optional<std::size_t> Deployment::findLeader() {
  for (std::size_t I = 0; I < this->Hosts.size(); ++I) {
    std::string Text = this->operatorsGet(this->Hosts[I], "/v1/status");
    if (Text.empty())
      continue;
    json::value Status = json::parse(Text);
    const json::array &Logs = Status.at("logs").as_array();
    if (!Logs.empty() && Logs[0].at("role").as_string() == "leader")
      return I;
  }
  return std::nullopt;
}

bool Deployment::isRepaired() {
  std::map<std::int64_t, bool> Repaired;
  for (const HostAddresses &Host : this->Hosts) {
    std::string Text = this->operatorsGet(Host, "/v1/status");
    if (Text.empty())
      continue;
    json::value Status = json::parse(Text);
    for (const json::value &Log : Status.at("logs").as_array()) {
      // Only the leader knows whether the repair is complete.
      bool &LogRepaired = Repaired[Log.at("log").to_number<std::int64_t>()];
      LogRepaired = LogRepaired || (Log.at("role").as_string() == "leader" &&
                                    Log.at("repair_complete").as_bool());
    }
  }
  return !Repaired.empty() &&
         std::ranges::all_of(Repaired, [](auto &Each) { return Each.second; });
}

std::size_t Deployment::leader() {
  std::optional<std::size_t> Found;
  this->waitFor("the control log has a leader", [&] {
    Found = this->findLeader();
    return Found.has_value();
  });
  return *Found;
}

void Deployment::start() {
  for (const HostAddresses &Host : this->Hosts) {
    this->writeSettings(Host);
    this->startHost(Host);
  }
  this->startEngines();
  this->startServices();
  const HostAddresses &First = this->Hosts.front();
  this->waitFor("the intent is accepted", [&] {
    return this->command(
               {"apply",
                std::string(CAROBHINGE_SOURCE_FOLDER) + "/" + this->Plan.Intent,
                "--base", "0", "--operator", "demonstration", "--address",
                First.Operators}) == 0;
  });
  for (const HostAddresses &Host : this->Hosts) {
    this->waitFor(Host.Host + " is ready", [&] {
      return !this->operatorsGet(Host, "/ready").empty() &&
             this->operatorsGet(Host, "/v1/status")
                     .find("\"ledger_registered\":true") != std::string::npos;
    });
  }
  for (std::size_t I = 0; I < this->Hosts.size(); ++I)
    this->waitFor("the groups are targets at " + this->Hosts[I].Host, [&] {
      return this->countServingGroups(this->Hosts[I]) >=
             this->EngineGroups[I / HostsPerDomain];
    });
}

std::map<std::string, unsigned> Deployment::executions() {
  std::map<std::string, unsigned> Sum;
  for (const std::string &Address : this->ServiceAddresses) {
    HttpFetchResult Answer = blockingFetch(
        Address, {.Method = "GET", .Target = "/standin/executions"});
    if (Answer.Outcome != HttpCallOutcome::Complete)
      throw std::runtime_error(
          "a service stand-in did not answer with its executions");
    json::value Counts = json::parse(Answer.Body);
    for (const auto &Member : Counts.as_object())
      Sum[Member.key()] += Member.value().to_number<unsigned>();
  }
  return Sum;
}

} // namespace carobhinge
