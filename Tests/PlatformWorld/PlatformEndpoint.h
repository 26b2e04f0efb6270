//===- Tests/PlatformWorld/PlatformEndpoint.h - A simulated endpoint ------===//
///
/// \file
/// A simulated model engine or plain endpoint: sends heartbeats, answers health
/// checks, takes orders, and runs requests, whose executions it records.
///
//===----------------------------------------------------------------------===//

#ifndef PLATFORMWORLD_PLATFORMENDPOINT_H
#define PLATFORMWORLD_PLATFORMENDPOINT_H

#include <LibCore/Signal.h>
#include <LibHTTP/HttpClient.h>
#include <LibHTTP/HttpServer.h>
#include <LibStandIn/EngineModel.h>
#include <PlatformWorld/EndpointSimulator.h>
#include <boost/json.hpp>

namespace carobhinge {

class PlatformEndpoint {
public:
  /// \p Fabric is empty for plain endpoints.
  PlatformEndpoint(EndpointSimulator &Endpoints, EndpointName Id,
                   FailureDomainName Domain, FabricDomainName Fabric,
                   const std::string &LinkAddress);

  void start();
  void crash();
  void restart();
  void drain();
  /// Stands still for \p Length and then goes on where it was, with nothing
  /// closed and nothing lost. Does nothing if it has been silent a moment ago.
  void fallSilent(Duration Length);
  [[nodiscard]] const EndpointName &id() const { return this->Id; }
  [[nodiscard]] const FailureDomainName &domain() const { return this->Domain; }
  [[nodiscard]] const std::string &address() const { return this->LinkAddress; }
  void leaveInAnswersOnly() {
    this->LeavesInAnswers = true;
    this->Endpoints.recordLife(this->Id, false);
  }
  void stopReports() { this->IsSilent = true; }
  /// Requests that arrived, but for health checks and orders.
  [[nodiscard]] unsigned arrivals() const { return this->Arrivals; }
  void setPace(double Factor) {
    this->Pace = Factor;
    if (this->Model)
      this->Model->setPace(Factor);
  }
  LinkStandIn &link() { return *this->Link; }

private:
  /// A stream that is being written.
  struct Generation {
    explicit Generation(const boost::asio::any_io_executor &Executor)
        : Progress(Executor) {}
    Signal Progress;
    int Events = 0;
    bool Finished = false;
    bool Failed = false;
  };

  boost::asio::awaitable<void> handle(HttpExchange &Exchange);
  boost::asio::awaitable<void> handleOrder(HttpExchange &Exchange);
  boost::asio::awaitable<void> handleGeneration(HttpExchange &Exchange);
  boost::asio::awaitable<void>
  writeStream(HttpExchange &Exchange, Generation &Current, std::uint64_t First);
  boost::asio::awaitable<void> handlePlainRequest(HttpExchange &Exchange);
  boost::asio::awaitable<void> writeWithoutEnd(HttpExchange &Exchange);
  boost::asio::awaitable<void> reportLoop();
  boost::asio::awaitable<void> advanceLoop();
  boost::asio::awaitable<bool> reportOnce();
  boost::asio::awaitable<void> drainAndStop();
  boost::asio::awaitable<void> crashAndRestart();
  boost::asio::awaitable<void> goOnAfter(Duration Length);
  /// Whether the prompt of \p Request has the part that crashes engines, other
  /// than as its last part.
  [[nodiscard]] bool isCrashing(const HttpRequest &Request) const;

  [[nodiscard]] bool isEngine() const { return !this->Fabric.empty(); }
  [[nodiscard]] bool isServing() const;
  /// The limit that this engine names; 0 if none.
  [[nodiscard]] double requestLimit() const;
  void recordLimitedArrival();
  /// Returns the pause to ask the sender of \p Exchange for; zero if it is
  /// served.
  [[nodiscard]] Duration recordArrivalFrom(const HttpExchange &Exchange);
  /// The sender of \p Exchange has got an answer with the fields \p Answer,
  /// which may say that this endpoint leaves. Answers to orders and probes
  /// don't count, as their sender passes them on to nobody.
  void recordSaidLeaving(const HttpExchange &Exchange,
                         const HttpHeaders &Answer);
  /// The fields of each answer to \p Request.
  [[nodiscard]] HttpHeaders answerFields(const HttpRequest &Request) const;
  /// Answers that the request did not run, and asks for \p Pause unless that
  /// is zero.
  boost::asio::awaitable<void> refuse(HttpExchange &Exchange, unsigned Status,
                                      Duration Pause = Duration::zero());
  [[nodiscard]] HttpResponseHead streamHead(const HttpRequest &Request) const;
  [[nodiscard]] boost::json::object state() const;
  void advanceMembership();
  void advanceWork(TimePoint Now);
  void failWork();

  EndpointSimulator &Endpoints;
  const EndpointName Id;
  const FailureDomainName Domain;
  const FabricDomainName Fabric;
  const std::string LinkAddress;
  HttpClient Client;
  HttpServer Server;
  std::unique_ptr<LinkStandIn> Link;
  bool IsRunning = true;
  bool IsDraining = false;
  /// Says that it leaves in its answers, but not in its heartbeats.
  bool LeavesInAnswers = false;
  /// Sends no heartbeats.
  bool IsSilent = false;
  /// Stands still.
  bool IsSuspended = false;
  /// The end of the last time in which it stood still.
  TimePoint SuspendedUntil = TimePoint::min();
  std::atomic<unsigned> Arrivals = 0;
  std::int64_t StartedAtMs;
  std::uint64_t Sequence = 0;
  int Active = 0;
  double Pace = 1;
  /// Fires when the state changes; a heartbeat is then sent immediately.
  Signal Changed;
  std::optional<EngineModel> Model;
  std::map<std::uint64_t, Generation *> Generations;
  std::uint64_t LastNumber = 0;
  std::optional<TimePoint> StalledSince;
};

} // namespace carobhinge

#endif // PLATFORMWORLD_PLATFORMENDPOINT_H
