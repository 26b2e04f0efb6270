//===- LibStandIn/ServiceStandIn.cpp - A plain service for tests ----------===//
///
/// \file
/// Executes calls and reports the number of executions of each key.
///
//===----------------------------------------------------------------------===//

#include <LibStandIn/ServiceStandIn.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <unistd.h>

namespace asio = boost::asio;
namespace json = boost::json;

namespace carobhinge {

class ServiceStandIn::Implementation {
public:
  Implementation(const asio::any_io_executor &Executor,
                 ServiceStandInOptions Options)
      : Executor(Executor), Options(std::move(Options)),
        IncarnationNumber(
            (static_cast<Incarnation>(
                 std::chrono::system_clock::now().time_since_epoch() /
                 std::chrono::milliseconds(1))
             << 20U) |
            static_cast<Incarnation>(getpid() & 0xfffff)),
        Server(Executor, {.Listen = this->Options.Listen},
               [this](HttpExchange &Exchange) -> asio::awaitable<void> {
                 return this->handle(Exchange);
               }),
        EndpointAnnouncer(Executor, this->Options.EntryHosts,
                          this->Options.AnnounceInterval,
                          [this] { return this->announcement(); }) {}

  asio::awaitable<void> handle(HttpExchange &Exchange);
  Announcement announcement();

  asio::any_io_executor Executor;
  const ServiceStandInOptions Options;
  const Incarnation IncarnationNumber;
  HttpServer Server;
  Announcer EndpointAnnouncer;
  bool Leaving = false;

private:
  HttpResponse executionCounts() const;

  std::uint64_t Sequence = 0;
  std::uint32_t Running = 0;
  std::uint64_t Answered = 0;
  /// Executions by key.
  std::map<std::string, std::uint64_t> Executions;
};

Announcement ServiceStandIn::Implementation::announcement() {
  return {.Endpoint = this->Options.Endpoint,
          .Host = this->Options.Host,
          .FailureDomain = this->Options.FailureDomain,
          .FabricDomain = this->Options.FabricDomain,
          .Service = this->Options.Service,
          .Address = this->Server.address(),
          .IncarnationNumber = this->IncarnationNumber,
          .Sequence = ++this->Sequence,
          .State = Readiness::Ready,
          .Leaving = this->Leaving,
          .Running = this->Running,
          .BatchLimit = this->Options.Concurrency,
          .Answered = this->Answered};
}

HttpResponse ServiceStandIn::Implementation::executionCounts() const {
  json::object Body;
  for (const auto &[Key, Count] : this->Executions)
    Body[Key] = Count;
  return {.Body = json::serialize(Body)};
}

asio::awaitable<void>
ServiceStandIn::Implementation::handle(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  if (Request.path() == "/standin/executions") {
    HttpResponse Counts = this->executionCounts();
    co_await Exchange.respond(std::move(Counts));
    co_return;
  }
  json::object Body{{"path", Request.path()}, {"content", Request.Body}};
  ++this->Running;
  // A real service executes a request that it has received even if its caller
  // has disconnected.
  if (Request.Method == "POST") {
    std::string Key(Request.Headers.value("Idempotency-Key"));
    Body["key"] = Key;
    Body["executions"] = ++this->Executions[Key];
  }
  asio::steady_timer Timer(this->Executor, this->Options.WorkTime);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  --this->Running;
  ++this->Answered;
  HttpResponse Response{.Body = json::serialize(Body)};
  co_await Exchange.respond(std::move(Response));
}

ServiceStandIn::ServiceStandIn(const asio::any_io_executor &Executor,
                               ServiceStandInOptions Options)
    : Impl(std::make_unique<Implementation>(Executor, std::move(Options))) {}
ServiceStandIn::~ServiceStandIn() = default;

void ServiceStandIn::start() {
  this->Impl->Server.start();
  asio::co_spawn(this->Impl->Executor, this->Impl->EndpointAnnouncer.run(),
                 asio::detached);
}

asio::awaitable<void> ServiceStandIn::leave() {
  this->Impl->Leaving = true;
  co_await this->Impl->EndpointAnnouncer.announceNow();
}

} // namespace carobhinge
