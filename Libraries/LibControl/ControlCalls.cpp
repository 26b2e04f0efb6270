//===- LibControl/ControlCalls.cpp - Calls of operators and endpoints -----===//
///
/// \file
/// What a control process answers to operators and endpoints. A change of the
/// state is acknowledged once a majority has it on disk, an endpoint's end
/// once the leader knows of it.
///
//===----------------------------------------------------------------------===//

#include <LibCatalog/CatalogCheck.h>
#include <LibControl/ControlProcess.h>
#include <LibControl/FleetMessages.h>

#include <LibCore/Compression.h>
#include <LibTelemetry/Log.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace asio = boost::asio;

namespace carobhinge {

/// Reports that say nothing new travel together for this long.
static constexpr auto RelayPause = std::chrono::milliseconds(80);
/// An endpoint goes to another host after a second without an answer.
static constexpr auto LeaderTimeout = std::chrono::milliseconds(700);
/// From its start until a process refuses reports because it knows no leader.
static constexpr auto ElectionPatience = std::chrono::seconds(4);

static HttpResponse answer(unsigned Status, std::string Body = "{}") {
  return {.Status = Status,
          .ContentType = "application/json",
          .Headers = {},
          .Body = std::move(Body)};
}

asio::awaitable<void> ControlProcess::handle(HttpExchange &Exchange) {
  ControlCall Call = this->Dialect.readCall(Exchange.request());
  switch (Call.Operation) {
  case ControlOperation::PutCatalog:
    co_return co_await this->putCatalog(Exchange);
  case ControlOperation::GetCatalog:
    co_return co_await this->getCatalog(Exchange);
  case ControlOperation::Report:
    co_return co_await this->takeReport(Exchange, std::move(Call.Subject));
  case ControlOperation::Leave:
    co_return co_await this->takeLeave(Exchange, std::move(Call.Subject));
  case ControlOperation::EmptyDomain:
    co_return co_await this->setDomain(Exchange, std::move(Call.Subject), true);
  case ControlOperation::RefillDomain:
    co_return co_await this->setDomain(Exchange, std::move(Call.Subject),
                                       false);
  case ControlOperation::Unknown:
    break;
  }
  HttpResponse NotFound = answer(404);
  co_await Exchange.respond(std::move(NotFound));
}

asio::awaitable<void> ControlProcess::tellMetrics(HttpExchange &Exchange) {
  LogStatus Status = this->State.status();
  this->Figures.setGauge("leading", this->Foreman.leads() ? 1 : 0);
  this->Figures.setGauge("term", static_cast<double>(Status.Term));
  this->Figures.setGauge("voters", static_cast<double>(Status.Voters.size()));
  this->Figures.setGauge("catalog_version",
                         static_cast<double>(this->InForce.Version));
  this->Foreman.tellFigures(this->Figures);
  HttpResponse Answer{.Status = 200,
                      .ContentType = "text/plain; version=0.0.4",
                      .Headers = {},
                      .Body = this->Figures.render()};
  co_await Exchange.respond(std::move(Answer));
}

/// Sends the operator to the leader, or away if none is known.
asio::awaitable<void> ControlProcess::redirect(HttpExchange &Exchange) {
  LogStatus Status = this->State.status();
  HostName Leader = Status.Leader;
  if (Leader.empty() || Leader == this->Own.Ip ||
      !this->link(Leader).connected()) {
    HttpResponse NoLeader = answer(503, R"({"error":"no leader is known"})");
    co_await Exchange.respond(std::move(NoLeader));
    co_return;
  }
  std::size_t Colon = this->Own.ControlAddress.rfind(':');
  HttpResponse There = answer(307);
  There.Headers.add("Location", "http://" + Leader +
                                    this->Own.ControlAddress.substr(Colon) +
                                    Exchange.request().Target);
  co_await Exchange.respond(std::move(There));
}

asio::awaitable<void> ControlProcess::commit(HttpExchange &Exchange,
                                             message::RegisterCommand Command) {
  if (this->State.status().Current != Role::Leader)
    co_return co_await this->redirect(Exchange);
  ProposalStatus Status = co_await this->State.propose(Command);
  logEvent(Severity::Info, "change",
           {{"version", static_cast<std::int64_t>(Command.version())},
            {"failure_domain", Command.failure_domain()},
            {"emptied", static_cast<std::int64_t>(Command.emptied())},
            {"outcome", Status == ProposalStatus::Committed   ? "committed"
                        : Status == ProposalStatus::NotLeader ? "not-leader"
                                                              : "unknown"}});
  if (Status == ProposalStatus::NotLeader)
    co_return co_await this->redirect(Exchange);
  HttpResponse Result = answer(Status == ProposalStatus::Committed ? 200 : 503);
  co_await Exchange.respond(std::move(Result));
}

asio::awaitable<void> ControlProcess::putCatalog(HttpExchange &Exchange) {
  const std::string &Text = Exchange.request().Body;
  Findings Out;
  std::optional<Catalog> Decoded = this->Dialect.readCatalog(Text, Out);
  if (Decoded)
    Out = checkCatalog(*Decoded);
  if (!Out.empty()) {
    logEvent(Severity::Warning, "catalog-refused",
             {{"findings", Out.report()}});
    HttpResponse Invalid =
        answer(400, R"({"error":"the catalog has findings"})");
    co_return co_await Exchange.respond(std::move(Invalid));
  }
  // What is overtaken already changes nothing and is in the log.
  if (Decoded->Version <= this->State.state().version()) {
    HttpResponse Known = answer(200);
    co_return co_await Exchange.respond(std::move(Known));
  }
  message::RegisterCommand Command;
  Command.set_version(Decoded->Version);
  Command.set_text(compress(Text));
  co_await this->commit(Exchange, std::move(Command));
}

asio::awaitable<void> ControlProcess::getCatalog(HttpExchange &Exchange) {
  if (this->State.status().Current != Role::Leader)
    co_return co_await this->redirect(Exchange);
  bool Confirmed = co_await this->State.confirm();
  const message::RegisterState &State = this->State.state();
  std::optional<std::string> Text = decompress(State.text(), MostCatalogBytes);
  bool Known = Confirmed && State.version() > 0 && Text;
  HttpResponse Result = Known ? answer(200, std::move(*Text)) : answer(503);
  co_await Exchange.respond(std::move(Result));
}

asio::awaitable<void> ControlProcess::setDomain(HttpExchange &Exchange,
                                                std::string Domain,
                                                bool Emptied) {
  message::RegisterCommand Command;
  Command.set_failure_domain(std::move(Domain));
  Command.set_emptied(Emptied);
  co_await this->commit(Exchange, std::move(Command));
}

/// Whether what this host hears reaches the leader.
bool ControlProcess::isConnected() const {
  LogStatus Status = this->State.status();
  if (Status.Current == Role::Leader)
    return true;
  auto Link = this->Links.find(Status.Leader);
  if (!Status.Leader.empty() && Link != this->Links.end() &&
      Link->second->connected())
    return true;
  return monotonicNow() - this->StartedAt < ElectionPatience;
}

asio::awaitable<void> ControlProcess::takeReport(HttpExchange &Exchange,
                                                 EndpointName Id) {
  Findings Out;
  std::optional<EngineReport> Report =
      this->Dialect.readReport(Id, Exchange.request().Body, Out);
  if (!Report) {
    HttpResponse Malformed = answer(400);
    co_return co_await Exchange.respond(std::move(Malformed));
  }
  bool Leaving = Report->Leaving;
  message::EngineReportMessage Message = toMessage(*Report, Duration::zero());
  if (this->Foreman.report(monotonicNow(), std::move(*Report)))
    this->relay(Message);
  bool Taken = this->isConnected();
  if (Leaving && Taken) {
    message::RelayCall Call;
    *Call.add_reports() = std::move(Message);
    Taken = co_await this->tellLeader(std::move(Call));
  }
  HttpResponse Result = answer(Taken ? 200 : 503);
  co_await Exchange.respond(std::move(Result));
}

asio::awaitable<void> ControlProcess::takeLeave(HttpExchange &Exchange,
                                                EndpointName Id) {
  this->Foreman.leave(Id);
  message::RelayCall Call;
  Call.add_leaving(Id);
  bool Taken = co_await this->tellLeader(std::move(Call));
  HttpResponse Result = answer(Taken ? 200 : 503);
  co_await Exchange.respond(std::move(Result));
}

asio::awaitable<bool> ControlProcess::tellLeader(message::RelayCall Call) {
  if (this->Foreman.leads()) {
    // Entry hosts are told with this very step.
    this->stepNow();
    co_return true;
  }
  LogStatus Status = this->State.status();
  if (Status.Leader.empty() || Status.Leader == this->Own.Ip)
    co_return false;
  WireReply Reply = co_await this->link(Status.Leader)
                        .call("relay", Call.SerializeAsString(), LeaderTimeout);
  message::RelayResult Result;
  co_return Reply.End ==
          WireCallEnd::Complete &&Result.ParseFromString(Reply.Message) &&
      Result.leading();
}

void ControlProcess::relay(const message::EngineReportMessage &Report) {
  *this->Reports.Call.add_reports() = Report;
  if (this->Reports.Scheduled)
    return;
  this->Reports.Scheduled = true;
  asio::co_spawn(this->Context, this->flush(), asio::detached);
}

asio::awaitable<void> ControlProcess::flush() {
  Signal Pause(this->Context.get_executor());
  co_await Pause.wait(RelayPause);
  this->Reports.Scheduled = false;
  std::string Message = this->Reports.Call.SerializeAsString();
  this->Reports.Call.Clear();
  for (const HostName &Host : this->Hosts.known())
    if (Host != this->Own.Ip)
      this->link(Host).post("relay", Message);
}

} // namespace carobhinge
