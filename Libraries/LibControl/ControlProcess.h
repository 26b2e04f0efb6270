//===- LibControl/ControlProcess.h - One control process ------------------===//
///
/// \file
/// Owns the components of a control process and runs their timers: the
/// replicated state, the links to the other control hosts, the calls of
/// operators and endpoints, and, while it is the leader, the formation of
/// groups. All components share one executor thread, because a control host
/// has a fraction of one core.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_CONTROLPROCESS_H
#define LIBCONTROL_CONTROLPROCESS_H

#include <LibConsensus/LogRecovery.h>
#include <LibControl/ControlHosts.h>
#include <LibControl/ControlProtocol.h>
#include <LibControl/EntrySubscriptions.h>
#include <LibControl/GroupCoordinator.h>
#include <LibControl/ReplicatedState.h>
#include <LibControl/VoteHandover.h>
#include <LibHTTP/HttpServer.h>
#include <LibTelemetry/LimitReports.h>
#include <LibTelemetry/RefusedMessageLog.h>
#include <LibTelemetry/Supervision.h>
#include <LibWire/WireLink.h>
#include <LibWire/WireServer.h>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

namespace carobhinge {

class ControlProcess {
public:
  /// Locks and opens the data folder and binds all addresses. \throws
  /// DiskError, CorruptionError, DataFolderError, AddressError
  ControlProcess(boost::asio::io_context &Context, HostSettings LoadedSettings,
                 const ControlProtocol &Protocol);
  ~ControlProcess();

  void start();
  /// Hands over the vote and the leadership to other hosts, then closes all
  /// servers and links.
  boost::asio::awaitable<void> stop();

private:
  /// Batch of reports for the other control hosts that are not yet sent.
  struct ReportBatch {
    message::RelayCall Call;
    SharedFlag Scheduled;
  };

  boost::asio::awaitable<void> tickLoop();
  boost::asio::awaitable<void> introduceLoop();
  void introduceToAll();
  boost::asio::awaitable<void> introduce(HostName To);
  void tick(TimePoint Now);
  void recordRefusal(const HttpRefusal &Refusal);
  [[nodiscard]] bool hasLeadershipLease() const;
  void runStep();
  /// Begins the next change of the refused prompts, if the evidence justifies
  /// one.
  void updateRefusals(TimePoint Now);
  /// Asks the engines that were reported as crashed whether they go on.
  void askReportedEngines();
  /// \returns whether the change is committed.
  boost::asio::awaitable<bool> commitRefusal(message::RegisterCommand Command);
  /// Runs a step before the next tick.
  void scheduleStep();
  void chooseVoters(TimePoint Now);
  void logVoters(const LogStatus &Status);
  /// Returns once another host votes in place of this one, or if none can.
  boost::asio::awaitable<void> handOverVote();
  void recoverDisk(TimePoint Now);
  void handleStateChange(const message::RegisterState &NewState);
  WireLink &link(const HostName &Host);
  /// Of PeerServer: the known control hosts have places of their own.
  WireOptions makeServerOptions();
  std::map<std::string, WireHandler, std::less<>> makeHandlers();

  boost::asio::awaitable<void> handleCall(HttpExchange &Exchange);
  boost::asio::awaitable<void> putCatalog(HttpExchange &Exchange);
  boost::asio::awaitable<void> getCatalog(HttpExchange &Exchange);
  boost::asio::awaitable<void>
  setDomainDrained(HttpExchange &Exchange, std::string Domain, bool Drained);
  void logRefusedReport(const EndpointName &Id, const Findings &Out);
  boost::asio::awaitable<void> handleReport(HttpExchange &Exchange,
                                            EndpointName Id);
  boost::asio::awaitable<void> handleLeave(HttpExchange &Exchange,
                                           EndpointName Id);
  boost::asio::awaitable<void> commitCommand(HttpExchange &Exchange,
                                             message::RegisterCommand Command);
  boost::asio::awaitable<void> redirectToLeader(HttpExchange &Exchange);
  /// \returns the latest start, in Unix milliseconds, of a life that ends when
  /// \p Id announces its end now.
  [[nodiscard]] std::int64_t findEndedStart(const EndpointName &Id) const;
  /// \returns whether a majority has the ends in \p Call on disk, also those
  /// that it had before.
  boost::asio::awaitable<bool> commitEnds(message::RelayCall Call);
  /// Sends \p Call to the leader. \returns whether the leader processed it.
  boost::asio::awaitable<bool> notifyLeader(message::RelayCall Call);
  void queueReport(const message::EngineReportMessage &Report);
  boost::asio::awaitable<void> sendPendingReports();
  [[nodiscard]] bool canReachLeader() const;
  /// The system's own calls for operators: metrics and refused prompts.
  boost::asio::awaitable<void> serveOperators(HttpExchange &Exchange);
  boost::asio::awaitable<void> serveMetrics(HttpExchange &Exchange);
  [[nodiscard]] HttpResponse refusedPrompts() const;
  boost::asio::awaitable<void> liftRefusal(HttpExchange &Exchange,
                                           std::string Text);

  boost::asio::io_context &Context;
  const HostSettings Settings;
  const ControlProtocol &Protocol;
  Metrics ProcessMetrics;
  SharedByteBudget Budget;
  LimitLog Limits;
  RefusedMessageLog RefusedMessages;
  WireOptions LinkOptions;
  TimePoint StartedAt;
  ControlHosts Hosts;
  std::map<HostName, std::unique_ptr<WireLink>> Links;
  Catalog ActiveCatalog;
  /// The revision of the state that was handled last.
  std::uint64_t HandledRevision = 0;
  GroupCoordinator Coordinator;
  ReplicatedState State;
  PromptRefusals Refusals;
  SharedFlag RefusalPending;
  EntrySubscriptions Subscriptions;
  WireServer PeerServer;
  HttpServer CallServer;
  HttpServer MetricsServer;
  ReportBatch PendingReports;
  /// Endpoints whose refused reports were logged; bounded.
  std::set<EndpointName> RefusedReporters;
  /// When the last successful confirmation of leadership was requested.
  std::optional<TimePoint> LeadershipConfirmedAt;
  SharedFlag ConfirmationPending;
  std::uint64_t LeadingTerm = 0;
  LogRecovery DiskRecovery;
  TimePoint LastStepAt;
  SharedFlag StepScheduled;
  TimePoint VotersRequestedAt;
  std::vector<HostName> LoggedVoters;
  /// Set once the process was told to stop.
  std::optional<VoteHandover> Handover;
  /// The links to other control hosts are closed.
  bool Stopping = false;
};

} // namespace carobhinge

#endif // LIBCONTROL_CONTROLPROCESS_H
