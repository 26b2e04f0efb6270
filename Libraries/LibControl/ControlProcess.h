//===- LibControl/ControlProcess.h - One control process ------------------===//
///
/// \file
/// Owns the parts of a control process and drives their timers: the agreed
/// state, the links to the other control hosts, the calls of operators and
/// endpoints, and, while it leads, the formation of groups. All parts share
/// one executor thread; a control host has a fraction of one core.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_CONTROLPROCESS_H
#define LIBCONTROL_CONTROLPROCESS_H

#include <LibControl/AgreedState.h>
#include <LibControl/ControlDialect.h>
#include <LibControl/ControlHosts.h>
#include <LibControl/EntryWatchers.h>
#include <LibControl/GroupForeman.h>
#include <LibHTTP/HttpServer.h>
#include <LibWire/WireLink.h>
#include <LibWire/WireServer.h>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

namespace carobhinge {

class ControlProcess {
public:
  /// Opens the data folder and binds all addresses. \throws what they throw.
  ControlProcess(boost::asio::io_context &Context, HostSettings Given,
                 const ControlDialect &Dialect);
  ~ControlProcess();

  void start();
  /// Hands leadership over and ends.
  boost::asio::awaitable<void> stop();

private:
  /// Reports for the other control hosts, until they are sent.
  struct Outbox {
    message::RelayCall Call;
    bool Scheduled = false;
  };

  boost::asio::awaitable<void> tickLoop();
  boost::asio::awaitable<void> introduceLoop();
  boost::asio::awaitable<void> introduce(HostName To);
  void tick(TimePoint Now);
  [[nodiscard]] bool leadsForSure() const;
  void stepNow();
  /// A step is due before the next tick.
  void stepSoon();
  void chooseVoters(TimePoint Now);
  void mendDisk(TimePoint Now);
  void stateChanged(const message::RegisterState &State);
  WireLink &link(const HostName &Host);
  std::map<std::string, WireHandler, std::less<>> handlers();

  boost::asio::awaitable<void> handle(HttpExchange &Exchange);
  boost::asio::awaitable<void> putCatalog(HttpExchange &Exchange);
  boost::asio::awaitable<void> getCatalog(HttpExchange &Exchange);
  boost::asio::awaitable<void> setDomain(HttpExchange &Exchange,
                                         std::string Domain, bool Emptied);
  boost::asio::awaitable<void> takeReport(HttpExchange &Exchange,
                                          EndpointName Id);
  boost::asio::awaitable<void> takeLeave(HttpExchange &Exchange,
                                         EndpointName Id);
  boost::asio::awaitable<void> commit(HttpExchange &Exchange,
                                      message::RegisterCommand Command);
  boost::asio::awaitable<void> redirect(HttpExchange &Exchange);
  /// Whether the leader has taken note of \p Call.
  boost::asio::awaitable<bool> tellLeader(message::RelayCall Call);
  void relay(const message::EngineReportMessage &Report);
  boost::asio::awaitable<void> flush();
  [[nodiscard]] bool isConnected() const;
  boost::asio::awaitable<void> tellMetrics(HttpExchange &Exchange);

  boost::asio::io_context &Context;
  const HostSettings Own;
  const ControlDialect &Dialect;
  WireOptions Wire;
  TimePoint StartedAt;
  ControlHosts Hosts;
  std::map<HostName, std::unique_ptr<WireLink>> Links;
  Catalog InForce;
  GroupForeman Foreman;
  AgreedState State;
  EntryWatchers Watchers;
  WireServer Peers;
  HttpServer Calls;
  Metrics Figures;
  HttpServer MetricsServer;
  Outbox Reports;
  /// When the last confirmation that this host leads was asked for.
  std::optional<TimePoint> ConfirmedAt;
  bool Confirming = false;
  std::uint64_t LedTerm = 0;
  TimePoint MendedAt;
  std::string DiskError;
  TimePoint SteppedAt;
  bool StepScheduled = false;
  TimePoint VotersAskedAt;
  std::vector<HostName> VotersAsked;
  bool Stopping = false;
};

} // namespace carobhinge

#endif // LIBCONTROL_CONTROLPROCESS_H
