//===- LibControl/GroupCoordinator.h - Coordination of groups -------------===//
///
/// \file
/// Connects the engine registry, the failure detector and the formation planner
/// at a leading control host: probes engines, sends them orders and derives the
/// targets to which entry hosts may send requests.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_GROUPCOORDINATOR_H
#define LIBCONTROL_GROUPCOORDINATOR_H

#include <LibControl/Control.pb.h>
#include <LibControl/ControlProtocol.h>
#include <LibFormation/EngineFailureDetector.h>
#include <LibFormation/FormationPlanner.h>
#include <LibFormation/GroupStalls.h>
#include <LibHTTP/HttpClient.h>
#include <LibRouting/EndpointHoldOffs.h>
#include <LibRouting/EngineEndEvidence.h>
#include <LibSettings/HostSettings.h>
#include <LibTelemetry/LimitReports.h>
#include <LibTelemetry/Metrics.h>
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>

namespace carobhinge {

class GroupCoordinator {
public:
  GroupCoordinator(const boost::asio::any_io_executor &Executor,
                   const HostSettings &Settings,
                   const ControlProtocol &Protocol, SharedByteBudget &Budget,
                   LimitLog &ReachedLimits);

  /// Records a report. \returns whether it was new.
  bool recordReport(TimePoint ReceivedAt, EngineReport Report);
  bool recordLeave(const EndpointName &Id);
  /// \p Handler gets every answer of an engine to a probe or an order.
  void setAnswerHandler(std::function<void(const EngineAnswer &)> Handler) {
    this->AnswerHandler = std::move(Handler);
  }
  /// \p Handler gets the engines that refused a connection of
  /// askWhetherRunning(), and when it was begun.
  void setRefusalHandler(
      std::function<void(const EndpointName &, TimePoint)> Handler) {
    this->RefusalHandler = std::move(Handler);
  }
  /// Sends \p Id a call of which only the answer counts, as evidence that the
  /// engine goes on. \returns false while another such call is on its way.
  bool askWhetherRunning(const EndpointName &Id);
  void setEnds(EndpointEnds Ends) { this->Engines.setEnds(std::move(Ends)); }
  /// Removes endpoints without reports and what is known of them. Also on hosts
  /// that don't lead.
  void removeExpired(TimePoint Now);
  /// Records the load of an entry host and the state of each target as seen
  /// from there. \returns whether a target is stalled or its limit changed; the
  /// caller should then run the next step at once.
  bool recordEntryLoad(TimePoint Now, const HostName &Host,
                       const message::PulseCall &Call);

  /// Starts planning as the leader of \p Term. Before \p ReportsCompleteAt some
  /// engines may not have reported yet.
  void startLeading(TimePoint Now, FencingToken Term,
                    const Catalog &ActiveCatalog, TimePoint ReportsCompleteAt);
  /// \returns whether targets() is complete; until then some targets may be
  /// missing.
  [[nodiscard]] bool hasAllTargets(TimePoint Now) const {
    return this->Leading && this->Planner.isTakeoverComplete(Now);
  }
  void stopLeading() { this->Leading = false; }
  [[nodiscard]] bool isLeading() const { return this->Leading; }
  /// Runs one planning step. \returns whether targets changed.
  bool step(TimePoint Now, const Catalog &ActiveCatalog);

  /// A target and the revision of its last change.
  struct PublishedTarget {
    message::PlaceMessage Message;
    std::uint64_t Revision = 0;
    bool Removed = false;
  };
  [[nodiscard]] const std::map<std::string, PublishedTarget> &targets() const {
    return this->Targets;
  }
  [[nodiscard]] std::uint64_t revision() const { return this->TargetRevision; }
  /// Sets the gauges for groups and engines by state; they are 0 unless this
  /// host leads.
  void updateMetrics(Metrics &Output) const;
  [[nodiscard]] const EngineRegistry &engines() const { return this->Engines; }

private:
  void updateLostEngines(TimePoint Now);
  void updateStalledGroups(TimePoint Now);
  void recordLoss(TimePoint Now, const EngineRecord &Record,
                  const EngineLoss &Loss);
  void recordRecovery(TimePoint Now, const EngineRecord &Record);
  /// \returns whether a limit changed.
  bool recordLimits(TimePoint Now, const message::PulseCall &Call);
  [[nodiscard]] static EndpointHoldOffs::Endpoint
  endpointOf(const EngineRecord &Record);
  /// Whether \p Id may get an order or a probe from this host. Counts it.
  [[nodiscard]] bool maySend(TimePoint Now, const EndpointName &Id);
  /// Takes note of a pause that an answer of \p Id asks for.
  void recordAnswer(TimePoint SentAt, const EndpointName &Id,
                    const HttpFetchResult &Answer, bool EndsRequests = false);
  void logFleet(TimePoint Now);
  void probe(const EndpointName &Id);
  boost::asio::awaitable<void> probeEngine(EndpointName Id,
                                           std::string Address);
  boost::asio::awaitable<void> askEngine(EndpointName Id, std::string Address);
  /// Returns whether \p Order ends the requests in progress at its recipient.
  [[nodiscard]] bool endsRequests(const EngineOrder &Order) const;
  /// Takes note of a limit that the call has reached, and of bytes that are no
  /// answer.
  void recordFaults(const EndpointName &Id, const HttpFetchResult &Answer);
  boost::asio::awaitable<void> sendOrder(EngineOrder Order);
  [[nodiscard]] std::map<std::string, message::PlaceMessage>
  buildTargets(TimePoint Now, const Catalog &ActiveCatalog) const;
  bool
  publish(const std::map<std::string, message::PlaceMessage> &CurrentTargets);

  boost::asio::any_io_executor Executor;
  const ControlProtocol &Protocol;
  HttpClient Client;
  LimitLog &ReachedLimits;
  EngineRegistry Engines;
  /// The requests in a second that an endpoint named; it holds for the
  /// incarnation that was running then.
  struct NamedLimit {
    double PerSecond = 0;
    TimePoint SeenAt;
  };
  std::map<EndpointName, NamedLimit> Limits;
  /// Pauses that engines asked this host for.
  EndpointHoldOffs HoldOffs;
  std::function<void(const EngineAnswer &)> AnswerHandler;
  std::function<void(const EndpointName &, TimePoint)> RefusalHandler;
  /// Engines with a call of askWhetherRunning() on its way.
  std::set<EndpointName> AskedEngines;
  EngineFailureDetector FailureDetector;
  FormationPlanner Planner;
  GroupStalls Stalls;
  /// Losses of this process by their reason.
  std::map<LossReason, std::uint64_t> LossCounts;
  /// Lost engines that were heard again in the same life.
  std::uint64_t FalseAlarms = 0;
  /// The lives that were lost.
  std::map<EndpointName, std::int64_t> LostLives;
  bool Leading = false;
  TimePoint LastFleetLogAt;
  std::map<std::string, PublishedTarget> Targets;
  std::uint64_t TargetRevision = 0;
};

} // namespace carobhinge

#endif // LIBCONTROL_GROUPCOORDINATOR_H
