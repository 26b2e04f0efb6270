//===- Tests/PlatformWorld/PlatformEndpoint.h - One endpoint --------------===//
///
/// \file
/// A model engine or a plain endpoint towards the system: heartbeats, health,
/// orders, and requests whose executions it writes down.
///
//===----------------------------------------------------------------------===//

#ifndef PLATFORMWORLD_PLATFORMENDPOINT_H
#define PLATFORMWORLD_PLATFORMENDPOINT_H

#include <LibCore/Signal.h>
#include <LibHTTP/HttpClient.h>
#include <LibHTTP/HttpServer.h>
#include <LibStandIn/EngineModel.h>
#include <PlatformWorld/EndpointField.h>
#include <boost/json.hpp>

namespace carobhinge {

class PlatformEndpoint {
public:
  /// \p Fabric is empty for plain endpoints.
  PlatformEndpoint(EndpointField &Field, EndpointName Id,
                   FailureDomainName Place, FabricDomainName Fabric,
                   const std::string &LinkAddress);

  void start();
  void crash();
  void revive();
  void drain();
  void setPace(double Factor) {
    this->Pace = Factor;
    if (this->Model)
      this->Model->setPace(Factor);
  }
  LinkStandIn &link() { return *this->Link; }

private:
  /// One stream that is being written.
  struct Generation {
    explicit Generation(const boost::asio::any_io_executor &Executor)
        : News(Executor) {}
    Signal News;
    int Events = 0;
    bool Finished = false;
    bool Failed = false;
  };

  boost::asio::awaitable<void> handle(HttpExchange &Exchange);
  boost::asio::awaitable<void> takeOrder(HttpExchange &Exchange);
  boost::asio::awaitable<void> generate(HttpExchange &Exchange);
  boost::asio::awaitable<void> stream(HttpExchange &Exchange,
                                      Generation &Running, std::uint64_t First);
  boost::asio::awaitable<void> work(HttpExchange &Exchange);
  boost::asio::awaitable<void> reportLoop();
  boost::asio::awaitable<void> pumpLoop();
  boost::asio::awaitable<bool> reportOnce();
  boost::asio::awaitable<void> leave();

  [[nodiscard]] bool isEngine() const { return !this->Fabric.empty(); }
  [[nodiscard]] bool serves() const;
  [[nodiscard]] boost::json::object state() const;
  void advanceMembership();
  void advanceWork(TimePoint Now);
  void failWork();

  EndpointField &Field;
  const EndpointName Id;
  const FailureDomainName Place;
  const FabricDomainName Fabric;
  const std::string LinkAddress;
  HttpClient Client;
  HttpServer Server;
  std::unique_ptr<LinkStandIn> Link;
  bool Alive = true;
  bool Leaving = false;
  std::int64_t StartedAtMs;
  std::uint64_t Sequence = 0;
  int Active = 0;
  double Pace = 1;
  /// Heartbeats are due at once when it fires.
  Signal Changed;
  std::optional<EngineModel> Model;
  std::map<std::uint64_t, Generation *> Generations;
  std::uint64_t LastNumber = 0;
  std::optional<TimePoint> StandsSince;
};

} // namespace carobhinge

#endif // PLATFORMWORLD_PLATFORMENDPOINT_H
