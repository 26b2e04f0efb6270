//===- LibServe/OperatorService.cpp - Answers operators -------------------===//
///
/// \file
/// One function for each path of the operator interface.
///
//===----------------------------------------------------------------------===//

#include <LibServe/OperatorService.h>

#include <LibCore/JsonReader.h>
#include <LibServe/CallContext.h>
#include <LibServe/Problem.h>
#include <LibTelemetry/MemoryMetrics.h>
#include <LibWire/MessageParser.h>
#include <algorithm>
#include <charconv>

namespace asio = boost::asio;
namespace json = boost::json;

namespace carobhinge {

static constexpr std::string_view OperatorHeader = "Carobhinge-Operator";
static constexpr std::string_view LiftRoute = "DELETE /v1/refused-prompts/";
/// Time limit to commit an operator's change.
static constexpr auto ApplyTimeout = std::chrono::seconds(8);
static constexpr auto HistoryTimeout = std::chrono::seconds(5);
static constexpr auto DefaultRetryAfter = std::chrono::seconds(1);

static HttpResponse jsonResponse(unsigned Status, const json::object &Body) {
  return {.Status = Status, .Body = json::serialize(Body) + "\n"};
}

static std::int64_t wallClockMs() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
}

asio::awaitable<void> OperatorService::handle(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  std::string Route = Request.Method + " " + std::string(Request.path());
  HttpResponse Response{.Status = 404,
                        .Body = "{\"error\":\"no such path\"}\n"};
  if (Route == "GET /health")
    Response = jsonResponse(200, {{"health", "ok"}});
  else if (Route == "GET /ready")
    Response = this->ready();
  else if (Route == "GET /metrics")
    Response = this->metrics();
  else if (Route == "GET /v1/status")
    Response = this->status();
  else if (Route == "GET /v1/intent")
    Response = this->currentIntent();
  else if (Route == "POST /v1/hold")
    Response = this->hold(Request);
  else if (Route == "GET /v1/history")
    Response = co_await this->history();
  else if (Route == "POST /v1/intent")
    Response = co_await this->apply(Request);
  else if (Route == "POST /v1/voters")
    Response = co_await this->changeVoters(Request);
  else if (Route == "POST /v1/retire")
    Response = co_await this->retireHost(Request);
  else if (Route == "GET /v1/refused-prompts")
    Response = this->refusedPrompts();
  else if (Route.starts_with(LiftRoute))
    Response =
        this->liftRefusal(std::string_view(Route).substr(LiftRoute.size()));
  co_await Exchange.respond(std::move(Response));
}

HttpResponse OperatorService::refusedPrompts() const {
  json::array Refused;
  for (const PromptExchange::Refusal &Each :
       this->Components.Prompts.refusals())
    Refused.push_back(json::object{{"parts", formatPromptParts(Each.Parts)},
                                   {"refused_for_ms", milliseconds(Each.Age)}});
  return jsonResponse(200, {{"refused", std::move(Refused)}});
}

HttpResponse OperatorService::liftRefusal(std::string_view Text) {
  std::optional<PromptParts> Parts = parsePromptParts(Text, '+');
  if (!Parts)
    return jsonResponse(400, {{"error", "the path must end with the parts in "
                                        "hexadecimal, with + between them"}});
  if (!this->Components.Prompts.lift(std::move(*Parts)))
    return jsonResponse(404, {{"error", "no prompt with just these parts is "
                                        "refused"}});
  return jsonResponse(200, {{"lifted", Text}});
}

HttpResponse OperatorService::ready() const {
  DomainRefusal Refusal = this->Components.Intents.refusal();
  bool Ready = !this->Stopping && this->Components.Intents.intent() &&
               Refusal != DomainRefusal::NotReady;
  std::string_view DomainState =
      this->Stopping ? "stopping" : refusalName(Refusal);
  return jsonResponse(Ready ? 200 : 503,
                      {{"ready", Ready}, {"domain", DomainState}});
}

HttpResponse OperatorService::metrics() const {
  this->Components.ProcessMetrics.setGauge(
      "intent_version",
      static_cast<double>(this->Components.Intents.version()));
  this->Components.ProcessMetrics.setGauge(
      "refused_prompts",
      static_cast<double>(this->Components.Prompts.refusals().size()));
  reportMemory(this->Components.ProcessMetrics, this->Components.Budget);
  return {.Status = 200,
          .ContentType = "text/plain; version=0.0.4",
          .Body = this->Components.ProcessMetrics.render()};
}

static std::string_view roleName(Role Current) {
  switch (Current) {
  case Role::Leader:
    return "leader";
  case Role::Follower:
    return "follower";
  case Role::Learner:
    return "learner";
  default:
    return "not-voting";
  }
}

static json::object logStatus(std::uint32_t Number, const LogStatus &Log) {
  return {{"log", Number},
          {"role", roleName(Log.Current)},
          {"term", Log.Term},
          {"leader", Log.Leader},
          {"commit", Log.Commit},
          {"applied", Log.Applied},
          {"voters", json::value_from(Log.Voters)},
          {"learners", json::value_from(Log.Learners)},
          {"repair_complete", Log.RepairComplete},
          {"last_error", Log.LastError}};
}

static std::string_view stateName(GroupState State) {
  switch (State) {
  case GroupState::Forming:
    return "forming";
  case GroupState::Serving:
    return "serving";
  case GroupState::Draining:
    return "draining";
  case GroupState::Broken:
    break;
  }
  return "broken";
}

static json::array groupList(const Roster &From) {
  json::array Groups;
  for (const RosterGroup &Group : From.Groups) {
    json::array Members;
    for (const RosterMember &Member : Group.Members)
      Members.push_back(json::value(Member.Endpoint));
    Groups.push_back(json::object{{"group", Group.Group},
                                  {"number", Group.Number},
                                  {"service", Group.Service},
                                  {"state", stateName(Group.State)},
                                  {"members", std::move(Members)}});
  }
  return Groups;
}

static json::object serviceStatus(const ServiceName &Name,
                                  const RouterStatus &Router) {
  json::array Targets;
  for (const TargetUsage &Each : Router.Targets)
    Targets.push_back(json::object{{"target", Each.TargetName},
                                   {"outstanding", Each.Outstanding},
                                   {"slot_limit", Each.SlotLimit},
                                   {"straggler", Each.Straggler},
                                   {"aside", Each.BackingOff}});
  return {{"service", Name},
          {"queued", Router.Queued},
          {"in_flight", Router.InFlight},
          {"targets", std::move(Targets)}};
}

HttpResponse OperatorService::status() const {
  json::array Logs;
  if (this->Local) {
    std::uint32_t Number = 0;
    for (const LogStatus &Log : this->Local->status())
      Logs.push_back(logStatus(Number++, Log));
  }
  json::array Services;
  for (const auto &[Name, Router] : this->Components.Routers.all())
    Services.push_back(serviceStatus(Name, Router->status()));
  json::array Peers;
  for (const Peer &Each : this->Components.Links.all()) {
    const WireLink *Link = this->Components.Links.link(Each.Host);
    Peers.push_back(json::object{{"host", Each.Host},
                                 {"connected", Link->connected()},
                                 {"last_error", Link->lastError()}});
  }
  return jsonResponse(
      200,
      {{"host", this->Components.LocalSettings.Host},
       {"failure_domain", this->Components.LocalSettings.FailureDomain},
       {"intent_version", this->Components.Intents.version()},
       {"intent_digest", this->Components.Intents.textDigest()},
       {"domain", refusalName(this->Components.Intents.refusal())},
       {"planner", this->Components.Fleet.isPlanner()},
       {"ledger_registered", this->Components.IncarnationRegistered.load()},
       {"groups", groupList(this->Components.Fleet.roster())},
       {"services", std::move(Services)},
       {"logs", std::move(Logs)},
       {"peers", std::move(Peers)}});
}

HttpResponse OperatorService::currentIntent() const {
  HttpResponse Response{.Body = this->Components.Intents.text()};
  Response.Headers.add("Carobhinge-Version",
                       std::to_string(this->Components.Intents.version()));
  if (Response.Body.empty())
    Response.Status = 404;
  return Response;
}

HttpResponse OperatorService::hold(const HttpRequest &Request) {
  Findings Faults;
  std::optional<json::value> Body = parseJson(Request.Body, Faults);
  bool Held = false;
  if (Body) {
    JsonReader Reader(*Body, "", Faults);
    if (!Reader.has("held"))
      Reader.report("held", "true or false", "nothing");
    Held = Reader.optionalBool("held", false);
    Reader.finish();
  }
  if (!Faults.empty())
    return jsonResponse(400, {{"error", Faults.report()}});
  std::string_view Operator = Request.Headers.value(OperatorHeader);
  if (!this->Components.Intents.hold(Held, Operator, wallClockMs()))
    return jsonResponse(503, {{"error", "this host is not ready; it refuses "
                                        "work anyway"}});
  return jsonResponse(200, {{"held", Held}});
}

asio::awaitable<HttpResponse>
OperatorService::changeVoters(const HttpRequest &Request) {
  const std::vector<HostName> &ControlHosts =
      this->Components.Links.controlHosts();
  Findings Faults;
  std::optional<json::value> Body = parseJson(Request.Body, Faults);
  std::vector<std::string> Hosts;
  if (Body) {
    JsonReader Reader(*Body, "", Faults);
    Hosts = Reader.optionalStrings("hosts", ControlHosts.size());
    if (Hosts.empty())
      Reader.report("hosts", "at least one control host", "nothing");
    for (const std::string &Host : Hosts)
      if (std::ranges::find(ControlHosts, Host) == ControlHosts.end())
        Reader.report("hosts", "a control host of the settings", Host);
    Reader.finish();
  }
  if (!Faults.empty())
    co_return jsonResponse(400, {{"error", Faults.report()}});
  // Logs may have different leaders; every control host changes the logs that
  // it leads.
  std::uint32_t Logs = this->Local ? this->Local->changeVoters(Hosts) : 0;
  message::VotersCall Call;
  for (const std::string &Host : Hosts)
    Call.add_hosts(Host);
  for (const HostName &Host : ControlHosts) {
    WireLink *Link = this->Components.Links.link(Host);
    if (!Link)
      continue;
    WireReply Reply = co_await Link->call(
        "control.voters", Call.SerializeAsString(), DefaultRetryAfter);
    message::VotersResult Result;
    if (Reply.Outcome == WireCallOutcome::Complete &&
        parseMessage(Result, Reply.Message))
      Logs += Result.logs();
  }
  std::uint32_t All = FirstLedgerLog + this->Components.Control.ledgerShards();
  co_return jsonResponse(Logs >= All ? 200 : 503,
                         {{"logs_asked", Logs}, {"logs", All}});
}

/// Ends the claims of a host whose incarnation will not return: their outcome
/// becomes unknown at once, so that nothing waits for it.
asio::awaitable<HttpResponse>
OperatorService::retireHost(const HttpRequest &Request) {
  HostName Host(Request.queryValue("host"));
  if (!this->Components.Links.find(Host))
    co_return jsonResponse(400, {{"error", "host must be a peer's name"}});
  message::LedgerCommand Command;
  Command.mutable_retire()->set_host(Host);
  Command.mutable_retire()->set_incarnation(
      static_cast<std::uint64_t>(wallClockMs()));
  std::uint32_t Retired = 0;
  for (std::uint32_t I = 0; I < this->Components.Control.ledgerShards(); ++I) {
    auto Result = co_await this->Components.Control.propose(
        FirstLedgerLog + I, Command.SerializeAsString(), ApplyTimeout);
    Retired += Result.status() == message::LOG_COMMITTED ? 1 : 0;
  }
  bool AllRetired = Retired == this->Components.Control.ledgerShards();
  co_return jsonResponse(AllRetired ? 200 : 503, {{"shards", Retired}});
}

static json::object entryObject(const message::IntentEntry &Entry) {
  return {{"version", Entry.version()},
          {"operator", Entry.operator_name()},
          {"stamp_ms", Entry.stamp_ms()},
          {"digest", Entry.digest()}};
}

asio::awaitable<HttpResponse> OperatorService::history() {
  auto State = co_await this->Components.Control.history(HistoryTimeout);
  message::IntentRegisterState Register;
  if (!State || !Register.ParseFromString(*State)) {
    Problem Refused{
        .Status = 503, .Reason = "no-quorum", .RetryAfter = DefaultRetryAfter};
    co_return Refused.response("");
  }
  json::array Entries;
  for (const message::IntentEntry &Entry : Register.history())
    Entries.push_back(entryObject(Entry));
  co_return jsonResponse(200, {{"history", std::move(Entries)}});
}

/// Converts the result of a proposed change to an operator's answer.
static HttpResponse applyResponse(const message::ProposeResult &Result) {
  message::IntentResult Outcome;
  if (Result.status() == message::LOG_COMMITTED &&
      Outcome.ParseFromString(Result.reply())) {
    if (Outcome.has_accepted())
      return jsonResponse(200, {{"accepted", entryObject(Outcome.accepted())}});
    if (Outcome.has_conflict()) {
      json::object Body{{"error", "the base version is not the current one"},
                        {"current", entryObject(Outcome.conflict().current())}};
      if (Outcome.conflict().has_winner())
        Body["winner"] = entryObject(Outcome.conflict().winner());
      return jsonResponse(409, Body);
    }
  }
  Problem Refused{.Status = 503,
                  .NotRun = Result.status() == message::LOG_NOT_LEADER,
                  .Reason = "no-quorum",
                  .Detail =
                      "Sending the very same text on the same base again is "
                      "safe: it gets its first acceptance.",
                  .RetryAfter = DefaultRetryAfter};
  return Refused.response("");
}

asio::awaitable<HttpResponse>
OperatorService::apply(const HttpRequest &Request) {
  std::string_view Base = Request.queryValue("base");
  std::uint64_t BaseVersion = 0;
  auto [End, Code] =
      std::from_chars(Base.data(), Base.data() + Base.size(), BaseVersion);
  if (Base.empty() || Code != std::errc() || End != Base.data() + Base.size())
    co_return jsonResponse(400, {{"error", "base must be a version number"}});
  std::string_view Operator = Request.Headers.value(OperatorHeader);
  if (Operator.empty())
    co_return jsonResponse(400, {{"error", "Carobhinge-Operator is missing"}});
  Findings Faults;
  std::optional<Intent> ParsedIntent = parseIntent(Request.Body, Faults);
  if (ParsedIntent &&
      ParsedIntent->Cluster != this->Components.LocalSettings.Cluster)
    Faults.add("/cluster", this->Components.LocalSettings.Cluster,
               ParsedIntent->Cluster);
  if (!Faults.empty()) {
    json::array List;
    for (const Finding &Each : Faults.items())
      List.push_back(json::object{{"place", Each.Location},
                                  {"expected", Each.Expected},
                                  {"found", Each.Found}});
    co_return jsonResponse(422, {{"error", "the text has findings"},
                                 {"findings", std::move(List)}});
  }
  message::IntentCommand Command;
  Command.set_base_version(BaseVersion);
  Command.set_operator_name(std::string(Operator));
  Command.set_text(Request.Body);
  auto Result = co_await this->Components.Control.propose(
      ControlLog, controlCommand(Command), ApplyTimeout);
  co_return applyResponse(Result);
}

} // namespace carobhinge
