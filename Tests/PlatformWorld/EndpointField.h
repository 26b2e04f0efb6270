//===- Tests/PlatformWorld/EndpointField.h - All endpoints of a test ------===//
///
/// \file
/// Model engines and plain endpoints that speak the platform's protocol, all
/// on one thread, each behind a link that can be cut, delayed or silenced.
///
//===----------------------------------------------------------------------===//

#ifndef PLATFORMWORLD_ENDPOINTFIELD_H
#define PLATFORMWORLD_ENDPOINTFIELD_H

#include <LibStandIn/EngineCrowd.h>
#include <LibStandIn/LinkStandIn.h>
#include <PlatformWorld/ExecutionBook.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>

namespace carobhinge {

class PlatformEndpoint;

struct EndpointFieldOptions {
  EngineSpec Engines;
  ServiceName ModelService = "engines";
  ServiceName PlainService = "ledger";
  std::vector<FailureDomainName> FailureDomains;
  /// In each failure domain, in one fabric domain each.
  int EnginesPerFabric = 5;
  int FabricsPerDomain = 2;
  int PlainPerDomain = 1;
  /// The network's part of all addresses, such as "127.9.1.".
  std::string Network;
  /// Where heartbeats go.
  std::vector<std::string> ControlAddresses;
  Duration ReportInterval = std::chrono::milliseconds(400);
  /// How long a group with a missing member stands before it breaks.
  Duration StandTime = std::chrono::seconds(3);
  /// A plain request's work.
  Duration PlainWork = std::chrono::milliseconds(10);
};

class EndpointField {
public:
  EndpointField(EndpointFieldOptions Options, ExecutionBook &Book);
  ~EndpointField();
  EndpointField(const EndpointField &) = delete;
  EndpointField &operator=(const EndpointField &) = delete;

  /// Binds and begins to send heartbeats.
  void start();
  [[nodiscard]] std::size_t size() const { return this->Endpoints.size(); }

  /// What tests do to endpoint \p Index; all from any thread.
  void crash(std::size_t Index);
  /// A new life at the same address.
  void revive(std::size_t Index);
  void setLink(std::size_t Index, LinkMode Mode, Duration Delay = {});
  /// All times of the engine's groups are multiplied by \p Factor.
  void slow(std::size_t Index, double Factor);
  /// It announces its end, serves on for a while, and stops.
  void drain(std::size_t Index);

private:
  friend class PlatformEndpoint;
  void call(std::size_t Index, void (PlatformEndpoint::*What)());
  void add(const FailureDomainName &Place, const FabricDomainName &Fabric);

  const EndpointFieldOptions Options;
  ExecutionBook &Book;
  boost::asio::io_context Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard{Context.get_executor()};
  EngineCrowd Crowd;
  std::vector<std::unique_ptr<PlatformEndpoint>> Endpoints;
  std::jthread Thread;
};

} // namespace carobhinge

#endif // PLATFORMWORLD_ENDPOINTFIELD_H
