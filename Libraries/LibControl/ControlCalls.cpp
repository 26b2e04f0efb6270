//===- LibControl/ControlCalls.cpp - Operator and endpoint calls ----------===//
///
/// \file
/// Handlers for the calls of operators and endpoints. A change of the state is
/// acknowledged once a majority has it on disk, and so is the end of an
/// endpoint.
///
//===----------------------------------------------------------------------===//

#include <LibCatalog/CatalogCheck.h>
#include <LibControl/ControlProcess.h>
#include <LibControl/FleetMessages.h>

#include <LibCore/Compression.h>
#include <LibTelemetry/Log.h>
#include <LibTelemetry/MemoryMetrics.h>
#include <LibTelemetry/Supervision.h>
#include <LibWire/MessageParser.h>
#include <algorithm>
#include <boost/json.hpp>

namespace asio = boost::asio;
namespace json = boost::json;

namespace carobhinge {

/// Reports are collected for this long and sent to the other control hosts in
/// one message.
static constexpr auto RelayBatchInterval = std::chrono::milliseconds(80);
/// Endpoints try another host after one second without an answer.
static constexpr auto LeaderTimeout = std::chrono::milliseconds(700);
/// For this long after its start a process accepts reports although no
/// leader is known.
static constexpr auto StartupElectionTimeout = std::chrono::seconds(4);

/// The control hosts keep the names of endpoints that end.
static constexpr std::size_t MaxEndpointNameBytes = 256;
/// Names from calls are cut to this length in the log.
static constexpr std::size_t MaxLoggedNameBytes = 64;

/// \returns the beginning of \p Text with other than printable ASCII replaced.
static std::string printable(std::string_view Text, std::size_t MaxBytes) {
  std::string Result(Text.substr(0, MaxBytes));
  std::ranges::replace_if(
      Result, [](char C) { return C < ' ' || C > '~'; }, '?');
  return Result;
}

static HttpResponse makeResponse(unsigned Status, std::string Body = "{}") {
  return {.Status = Status,
          .ContentType = "application/json",
          .Headers = {},
          .Body = std::move(Body)};
}

asio::awaitable<void> ControlProcess::handleCall(HttpExchange &Exchange) {
  ControlCall Call = this->Protocol.readCall(Exchange.request());
  switch (Call.Operation) {
  case ControlOperation::PutCatalog:
    co_return co_await this->putCatalog(Exchange);
  case ControlOperation::GetCatalog:
    co_return co_await this->getCatalog(Exchange);
  case ControlOperation::Report:
    co_return co_await this->handleReport(Exchange, std::move(Call.Subject));
  case ControlOperation::Leave:
    co_return co_await this->handleLeave(Exchange, std::move(Call.Subject));
  case ControlOperation::DrainDomain:
    co_return co_await this->setDomainDrained(Exchange, std::move(Call.Subject),
                                              true);
  case ControlOperation::RestoreDomain:
    co_return co_await this->setDomainDrained(Exchange, std::move(Call.Subject),
                                              false);
  case ControlOperation::Unknown:
    break;
  }
  HttpResponse NotFound = makeResponse(404);
  co_await Exchange.respond(std::move(NotFound));
}

HttpResponse ControlProcess::refusedPrompts() const {
  json::array Refused;
  for (const message::PromptRefusalMessage &Each :
       this->State.state().refused_prompts()) {
    json::array Engines;
    for (const std::string &Engine : Each.engines())
      Engines.emplace_back(Engine);
    Refused.push_back(json::object{{"parts", formatParts(Each)},
                                   {"engines", std::move(Engines)}});
  }
  json::object Body;
  Body["refused"] = std::move(Refused);
  return makeResponse(200, json::serialize(Body) + "\n");
}

/// Answers 200 once a majority has the change on disk, 404 if no prompt with
/// just these parts is refused, 503 unless this host leads.
asio::awaitable<void> ControlProcess::liftRefusal(HttpExchange &Exchange,
                                                  std::string Text) {
  std::optional<PromptParts> Parts = parsePromptParts(Text, '+');
  if (!Parts) {
    HttpResponse Malformed = makeResponse(
        400, R"({"error":"the path must end with the parts in hexadecimal"})");
    co_return co_await Exchange.respond(std::move(Malformed));
  }
  std::ranges::sort(*Parts);
  auto IsSame = [&](const message::PromptRefusalMessage &Each) {
    return std::ranges::equal(Each.parts(), *Parts);
  };
  const auto &Refused = this->State.state().refused_prompts();
  unsigned Status = 404;
  if (this->State.status().Current != Role::Leader) {
    Status = 503;
  } else if (std::ranges::any_of(Refused, IsSame)) {
    message::RegisterCommand Command;
    Command.mutable_lift_prompt()->mutable_parts()->Assign(Parts->begin(),
                                                           Parts->end());
    Status = co_await this->commitRefusal(std::move(Command)) ? 200 : 503;
  }
  HttpResponse Result = makeResponse(Status);
  co_await Exchange.respond(std::move(Result));
}

asio::awaitable<void> ControlProcess::serveOperators(HttpExchange &Exchange) {
  static constexpr std::string_view RefusedPath = "/v1/refused-prompts";
  const HttpRequest &Request = Exchange.request();
  std::string Path(Request.path());
  if (!Path.starts_with(RefusedPath))
    co_return co_await this->serveMetrics(Exchange);
  if (Request.Method == "DELETE" && Path.size() > RefusedPath.size() + 1)
    co_return co_await this->liftRefusal(Exchange,
                                         Path.substr(RefusedPath.size() + 1));
  HttpResponse Answer = this->refusedPrompts();
  co_await Exchange.respond(std::move(Answer));
}

asio::awaitable<void> ControlProcess::serveMetrics(HttpExchange &Exchange) {
  LogStatus Status = this->State.status();
  this->ProcessMetrics.setGauge("leading",
                                this->Coordinator.isLeading() ? 1 : 0);
  this->ProcessMetrics.setGauge("term", static_cast<double>(Status.Term));
  this->ProcessMetrics.setGauge("voters",
                                static_cast<double>(Status.Voters.size()));
  this->ProcessMetrics.setGauge(
      "catalog_version", static_cast<double>(this->ActiveCatalog.Version));
  this->ProcessMetrics.setGauge(
      "refused_prompts",
      static_cast<double>(this->State.state().refused_prompts_size()));
  this->ProcessMetrics.setGauge(
      "crashes_disproved", static_cast<double>(this->Refusals.disproved()));
  this->Coordinator.updateMetrics(this->ProcessMetrics);
  reportMemory(this->ProcessMetrics, this->Budget);
  HttpResponse Answer{.Status = 200,
                      .ContentType = "text/plain; version=0.0.4",
                      .Headers = {},
                      .Body = this->ProcessMetrics.render()};
  co_await Exchange.respond(std::move(Answer));
}

/// Redirects the operator to the leader. Answers 503 if the leader is unknown
/// or unreachable.
asio::awaitable<void> ControlProcess::redirectToLeader(HttpExchange &Exchange) {
  LogStatus Status = this->State.status();
  HostName Leader = Status.Leader;
  if (Leader.empty() || Leader == this->Settings.Ip ||
      !this->link(Leader).connected()) {
    HttpResponse NoLeader =
        makeResponse(503, R"({"error":"no leader is known"})");
    co_await Exchange.respond(std::move(NoLeader));
    co_return;
  }
  std::size_t Colon = this->Settings.ControlAddress.rfind(':');
  HttpResponse Redirect = makeResponse(307);
  Redirect.Headers.add("Location",
                       "http://" + Leader +
                           this->Settings.ControlAddress.substr(Colon) +
                           Exchange.request().Target);
  co_await Exchange.respond(std::move(Redirect));
}

asio::awaitable<void>
ControlProcess::commitCommand(HttpExchange &Exchange,
                              message::RegisterCommand Command) {
  if (this->State.status().Current != Role::Leader)
    co_return co_await this->redirectToLeader(Exchange);
  ProposalStatus Status = co_await this->State.propose(Command);
  logEvent(Severity::Info, "change",
           {{"version", static_cast<std::int64_t>(Command.version())},
            {"failure_domain", Command.failure_domain()},
            {"emptied", static_cast<std::int64_t>(Command.emptied())},
            {"outcome", Status == ProposalStatus::Committed   ? "committed"
                        : Status == ProposalStatus::NotLeader ? "not-leader"
                                                              : "unknown"}});
  if (Status == ProposalStatus::NotLeader)
    co_return co_await this->redirectToLeader(Exchange);
  HttpResponse Result =
      makeResponse(Status == ProposalStatus::Committed ? 200 : 503);
  co_await Exchange.respond(std::move(Result));
}

asio::awaitable<void> ControlProcess::putCatalog(HttpExchange &Exchange) {
  const std::string &Text = Exchange.request().Body;
  Findings Out;
  std::optional<Catalog> Decoded = this->Protocol.readCatalog(Text, Out);
  if (Decoded)
    Out = checkCatalog(*Decoded);
  if (!Out.empty()) {
    logEvent(Severity::Warning, "catalog-refused",
             {{"findings", Out.report()}});
    HttpResponse Invalid =
        makeResponse(400, R"({"error":"the catalog has findings"})");
    co_return co_await Exchange.respond(std::move(Invalid));
  }
  // A version not newer than the committed one changes nothing.
  if (Decoded->Version <= this->State.state().version()) {
    HttpResponse Unchanged = makeResponse(200);
    co_return co_await Exchange.respond(std::move(Unchanged));
  }
  message::RegisterCommand Command;
  Command.set_version(Decoded->Version);
  Command.set_text(compress(Text));
  co_await this->commitCommand(Exchange, std::move(Command));
}

asio::awaitable<void> ControlProcess::getCatalog(HttpExchange &Exchange) {
  if (this->State.status().Current != Role::Leader)
    co_return co_await this->redirectToLeader(Exchange);
  bool Confirmed = co_await this->State.confirm();
  const message::RegisterState &State = this->State.state();
  std::optional<std::string> Text = decompress(State.text(), MaxCatalogBytes);
  bool Available = Confirmed && State.version() > 0 && Text;
  HttpResponse Result =
      Available ? makeResponse(200, std::move(*Text)) : makeResponse(503);
  co_await Exchange.respond(std::move(Result));
}

asio::awaitable<void> ControlProcess::setDomainDrained(HttpExchange &Exchange,
                                                       std::string Domain,
                                                       bool Drained) {
  message::RegisterCommand Command;
  Command.set_failure_domain(std::move(Domain));
  Command.set_emptied(Drained);
  co_await this->commitCommand(Exchange, std::move(Command));
}

/// \returns whether reports that this host receives reach the leader.
bool ControlProcess::canReachLeader() const {
  LogStatus Status = this->State.status();
  if (Status.Current == Role::Leader)
    return true;
  auto Link = this->Links.find(Status.Leader);
  if (!Status.Leader.empty() && Link != this->Links.end() &&
      Link->second->connected())
    return true;
  return monotonicNow() - this->StartedAt < StartupElectionTimeout;
}

/// Logs the first refused report of each endpoint. Anybody can send reports, so
/// the names are bounded in number and length.
void ControlProcess::logRefusedReport(const EndpointName &Id,
                                      const Findings &Out) {
  static constexpr std::size_t MaxEndpoints = 256;
  static constexpr std::size_t MaxReportBytes = 512;
  std::string Name = printable(Id, MaxLoggedNameBytes);
  if (this->RefusedReporters.size() >= MaxEndpoints ||
      !this->RefusedReporters.insert(Name).second)
    return;
  logEvent(Severity::Warning, "report-refused",
           {{"endpoint", Name},
            {"findings", printable(Out.report(), MaxReportBytes)}});
}

/// Adds to \p Call that all lives of \p Id until the one that started at \p
/// StartedUntilMs have ended.
static void addEnd(const EndpointName &Id, std::int64_t StartedUntilMs,
                   message::RelayCall &Call) {
  message::EndpointEndMessage &End = *Call.add_ends();
  End.set_id(Id);
  End.set_started_until_ms(StartedUntilMs);
}

asio::awaitable<void> ControlProcess::handleReport(HttpExchange &Exchange,
                                                   EndpointName Id) {
  Findings Out;
  std::optional<EngineReport> Report =
      this->Protocol.readReport(Id, Exchange.request().Body, Out);
  if (!Report) {
    this->logRefusedReport(Id, Out);
    HttpResponse Malformed = makeResponse(400);
    co_return co_await Exchange.respond(std::move(Malformed));
  }
  bool Leaving = Report->Leaving;
  std::int64_t StartedAtMs = Report->StartedAtMs;
  message::EngineReportMessage Message = toMessage(*Report, Duration::zero());
  if (this->Coordinator.recordReport(monotonicNow(), std::move(*Report)))
    this->queueReport(Message);
  bool Accepted = this->canReachLeader();
  if (Leaving && Accepted) {
    message::RelayCall Call;
    *Call.add_reports() = std::move(Message);
    addEnd(Id, StartedAtMs, Call);
    Accepted = co_await this->notifyLeader(std::move(Call));
  }
  HttpResponse Result = makeResponse(Accepted ? 200 : 503);
  co_await Exchange.respond(std::move(Result));
}

asio::awaitable<void> ControlProcess::handleLeave(HttpExchange &Exchange,
                                                  EndpointName Id) {
  if (Id.size() > MaxEndpointNameBytes) {
    HttpResponse Malformed = makeResponse(400);
    co_return co_await Exchange.respond(std::move(Malformed));
  }
  this->Coordinator.recordLeave(Id);
  message::RelayCall Call;
  Call.add_leaving(Id);
  addEnd(Id, this->findEndedStart(Id), Call);
  bool Accepted = co_await this->notifyLeader(std::move(Call));
  HttpResponse Result = makeResponse(Accepted ? 200 : 503);
  co_await Exchange.respond(std::move(Result));
}

std::int64_t ControlProcess::findEndedStart(const EndpointName &Id) const {
  const EngineRecord *Record = this->Coordinator.engines().find(Id);
  std::optional<std::int64_t> KnownStartMs;
  if (Record != nullptr)
    KnownStartMs = Record->Report.StartedAtMs;
  std::int64_t WallMs =
      milliseconds(std::chrono::system_clock::now().time_since_epoch());
  return EndpointEnds::endedUntil(KnownStartMs, WallMs);
}

asio::awaitable<bool> ControlProcess::commitEnds(message::RelayCall Call) {
  const EndpointEnds &Agreed = this->Coordinator.engines().ends();
  message::RegisterCommand Command;
  for (const message::EndpointEndMessage &End : Call.ends()) {
    if (Agreed.covers(End.id(), End.started_until_ms()))
      continue;
    message::EndedEndpointMessage &Added = *Command.add_ended_endpoints();
    Added.set_id(End.id());
    Added.set_started_until_ms(End.started_until_ms());
  }
  if (Command.ended_endpoints_size() == 0)
    co_return true;
  ProposalStatus Status = co_await this->State.propose(Command);
  for (const message::EndedEndpointMessage &End : Command.ended_endpoints())
    logEvent(Severity::Info, "endpoint-ended",
             {{"endpoint", printable(End.id(), MaxLoggedNameBytes)},
              {"started_until_ms", End.started_until_ms()},
              {"committed", static_cast<std::int64_t>(
                                Status == ProposalStatus::Committed)}});
  co_return Status == ProposalStatus::Committed;
}

asio::awaitable<bool> ControlProcess::notifyLeader(message::RelayCall Call) {
  if (this->Coordinator.isLeading()) {
    // This step already informs the entry hosts.
    this->runStep();
    co_return co_await this->commitEnds(std::move(Call));
  }
  LogStatus Status = this->State.status();
  if (Status.Leader.empty() || Status.Leader == this->Settings.Ip)
    co_return false;
  WireReply Reply = co_await this->link(Status.Leader)
                        .call("relay", Call.SerializeAsString(), LeaderTimeout);
  message::RelayResult Result;
  co_return Reply.Outcome ==
          WireCallOutcome::Complete &&parseMessage(Result, Reply.Message) &&
      Result.leading();
}

void ControlProcess::queueReport(const message::EngineReportMessage &Report) {
  *this->PendingReports.Call.add_reports() = Report;
  if (this->PendingReports.Scheduled)
    return;
  this->PendingReports.Scheduled = true;
  spawnTask(this->Context.get_executor(), "relay of reports",
            this->sendPendingReports());
}

asio::awaitable<void> ControlProcess::sendPendingReports() {
  {
    ResetOnExit Guard(this->PendingReports.Scheduled);
    Signal BatchDelay(this->Context.get_executor());
    co_await BatchDelay.wait(RelayBatchInterval);
  }
  std::string Message = this->PendingReports.Call.SerializeAsString();
  this->PendingReports.Call.Clear();
  for (const HostName &Host : this->Hosts.allHosts())
    if (Host != this->Settings.Ip)
      this->link(Host).post("relay", Message);
}

} // namespace carobhinge
