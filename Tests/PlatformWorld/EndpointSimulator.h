//===- Tests/PlatformWorld/EndpointSimulator.h - All endpoints of a test --===//
///
/// \file
/// Simulated engines and plain endpoints that speak the platform's protocol.
/// All run on one thread, each behind a link that can be cut, delayed or
/// stalled.
///
//===----------------------------------------------------------------------===//

#ifndef PLATFORMWORLD_ENDPOINTSIMULATOR_H
#define PLATFORMWORLD_ENDPOINTSIMULATOR_H

#include <LibCore/Silence.h>
#include <LibStandIn/EnginePool.h>
#include <LibStandIn/LinkStandIn.h>
#include <PlatformWorld/ExecutionLog.h>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace carobhinge {

class PlatformEndpoint;

struct EndpointSimulatorOptions {
  EngineSpec Engines;
  ServiceName ModelService = "engines";
  ServiceName PlainService = "ledger";
  std::vector<FailureDomainName> FailureDomains;
  /// Engines in each fabric domain.
  int EnginesPerFabric = 5;
  int FabricsPerDomain = 2;
  int PlainPerDomain = 1;
  /// The network prefix of all addresses, such as "127.9.1.".
  std::string Network;
  /// The control hosts that receive heartbeats.
  std::vector<std::string> ControlAddresses;
  Duration ReportInterval = std::chrono::milliseconds(400);
  /// How long a group with a missing member may stall before it breaks.
  Duration StallTimeout = std::chrono::seconds(3);
  /// How long an engine is down that a prompt crashed.
  Duration CrashTime = std::chrono::seconds(2);
  /// How long a plain request takes.
  Duration PlainWork = std::chrono::milliseconds(10);
};

/// Which endpoints fall silent.
enum class SilenceScope {
  Alone,
  /// Every other member of the endpoint's group.
  HalfGroup,
  /// All endpoints of its failure domain.
  FailureDomain,
};

/// A time in which an endpoint stood still.
struct EndpointSilence {
  EndpointName Endpoint;
  TimePoint From;
  /// TimePoint::max() while it lasts.
  TimePoint Until = TimePoint::max();

  /// Whether the silence is within what a sound endpoint may show, if timers
  /// run late by up to \p Lag.
  [[nodiscard]] bool isSound(Duration Lag) const {
    return this->Until < this->From + EndingSilence - Lag;
  }
};

class EndpointSimulator {
public:
  EndpointSimulator(EndpointSimulatorOptions Options, ExecutionLog &Executions);
  ~EndpointSimulator();
  EndpointSimulator(const EndpointSimulator &) = delete;
  EndpointSimulator &operator=(const EndpointSimulator &) = delete;

  /// Binds all addresses and starts sending heartbeats.
  void start();
  [[nodiscard]] std::size_t size() const { return this->Endpoints.size(); }

  // Faults of endpoint \p Index. All may be called from any thread.

  void crash(std::size_t Index);
  /// Restarts it at the same address, with a new start time.
  void restart(std::size_t Index);
  void setLink(std::size_t Index, LinkMode Mode, Duration Delay = {});
  /// Sets the links of all endpoints for the connections from \p ClientIp.
  void setClientLink(const std::string &ClientIp, LinkMode Mode);
  /// Replaces the answers of endpoint \p Index by ones without end; null ends
  /// that. \p Form must outlive the simulator.
  void setEndlessAnswers(std::size_t Index, const EndlessForm *Form);
  /// Bytes written in such answers, over all endpoints.
  [[nodiscard]] std::size_t endlessAnswerBytes() const;
  /// Replaces the answers of endpoint \p Index by broken ones; null ends that.
  /// \p Form must outlive the simulator.
  void setBrokenAnswers(std::size_t Index, const BrokenAnswer *Form,
                        AfterBrokenAnswer After = AfterBrokenAnswer::Close);
  /// Broken answers of endpoint \p Index so far.
  [[nodiscard]] unsigned brokenAnswerCount(std::size_t Index) const;
  /// Multiplies all times of the engine's groups by \p Factor.
  void slowDown(std::size_t Index, double Factor);
  /// Endpoint \p Index, and others by \p Scope, stand still for \p Length: they
  /// write nothing, send no heartbeats and read nothing that they are sent.
  /// Afterwards they go on where they were. One that has just been silent goes
  /// on instead.
  void fallSilent(std::size_t Index, SilenceScope Scope, Duration Length);
  /// The silences so far, as long as they were.
  [[nodiscard]] std::vector<EndpointSilence> silences() const;
  /// Whether endpoint \p Name had been sound for a while at \p At, and was no
  /// longer silent then than it may be; it may have been behind a faulty link.
  [[nodiscard]] bool
  wasSoundAt(const EndpointName &Name,
             std::chrono::sys_time<std::chrono::milliseconds> At,
             Duration Lag) const;
  /// Announces that it is draining, keeps serving for a while, then stops.
  void drain(std::size_t Index);
  /// Two of three engines name a limit of \p PerSecond requests in their
  /// answers from now on; 0: none.
  void setRequestLimit(double PerSecond);
  /// The most requests that an engine which names a limit got within \p Window,
  /// of those that arrived after \p From.
  [[nodiscard]] std::size_t mostLimitedArrivals(TimePoint From,
                                                Duration Window) const;
  /// Two of three endpoints turn each request away from now on, and ask the
  /// host that sent it for a pause of \p Length; zero: none.
  void setRequestedPause(Duration Length) { this->RequestedPause = Length; }
  /// The most requests that an endpoint got from one host between half a second
  /// after it had asked it for a pause and the end of that pause.
  [[nodiscard]] std::size_t mostArrivalsInPause() const;
  /// Requests that were turned away with a pause, over all endpoints.
  [[nodiscard]] std::size_t requestedPauses() const;
  /// Does not count what a host, or what all hosts, send in pauses that were
  /// asked for before now, or after an endpoint said that it leaves.
  void excuseHost(const std::string &Ip);
  void excuseEndpoint(std::size_t Index);
  /// From now on endpoint \p Index says in its answers that it leaves, while
  /// its heartbeats go on to say that it is ready.
  void leaveInAnswersOnly(std::size_t Index);
  /// Callers' requests that such endpoints got from a host later than \p Grace
  /// after that host had received such an answer to a caller's request. Orders
  /// and probes are none.
  [[nodiscard]] std::size_t arrivalsAfterLeaving(Duration Grace) const {
    return this->describeArrivalsAfterLeaving(Grace).size();
  }
  /// Returns the endpoint, the host, the request and both times of each.
  [[nodiscard]] std::vector<std::string>
  describeArrivalsAfterLeaving(Duration Grace) const;
  /// From now on endpoint \p Index sends no heartbeats, but goes on to serve.
  void stopReports(std::size_t Index);
  /// Requests that endpoint \p Index has received so far.
  [[nodiscard]] unsigned arrivals(std::size_t Index) const;
  [[nodiscard]] const EndpointName &name(std::size_t Index) const;
  [[nodiscard]] const FailureDomainName &domain(std::size_t Index) const;
  /// "IP:PORT" of the link through which endpoint \p Index is reached.
  [[nodiscard]] const std::string &address(std::size_t Index) const;
  /// From now on an engine crashes when it begins to write an answer to a
  /// prompt with \p Part ("ID", hexadecimal), and restarts after a while.
  void setCrashingPart(std::string Part);
  /// From now on a plain endpoint crashes when it runs a request with \p
  /// Target, and restarts after a while.
  void setCrashingTarget(std::string Target);
  /// Requests with the crashing part or target that endpoints received, and the
  /// endpoints that they crashed.
  [[nodiscard]] unsigned crashingArrivals() const {
    return this->CrashingArrivals;
  }
  [[nodiscard]] unsigned crashedEngines() const { return this->CrashedEngines; }
  /// Bytes written in answers without end.
  [[nodiscard]] std::size_t endlessBytes() const { return this->EndlessBytes; }
  /// Answers without end whose connection is still open.
  [[nodiscard]] unsigned openEndlessAnswers() const {
    return this->OpenEndlessAnswers;
  }

private:
  friend class PlatformEndpoint;
  /// Name of an endpoint, and IP address of a host that sends to it.
  using EndpointAndHost = std::pair<EndpointName, std::string>;
  /// Ends the pauses and the leaving of some pairs; what came so far counts.
  void endRecords(const std::function<bool(const EndpointAndHost &)> &IsMeant);
  void call(std::size_t Index, void (PlatformEndpoint::*Action)());
  /// Notes that a life of endpoint \p Name began, or is about to end.
  void recordLife(const EndpointName &Name, bool Begins);
  void recordSilence(const EndpointName &Name);
  void recordSilenceEnd(const EndpointName &Name);
  void add(const FailureDomainName &Domain, const FabricDomainName &Fabric);

  const EndpointSimulatorOptions Options;
  ExecutionLog &Executions;
  boost::asio::io_context Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard{Context.get_executor()};
  EnginePool Pool;
  /// Empty: none. Used on the simulator's thread only.
  std::string CrashingPart;
  std::string CrashingTarget;
  std::atomic<double> RequestLimit = 0;
  std::atomic<Duration> RequestedPause = Duration::zero();
  mutable std::mutex ArrivalLock;
  /// By engine that names a limit.
  std::map<EndpointName, std::vector<TimePoint>> LimitedArrivals;
  /// By endpoint and the IP address of the host: the pauses that the endpoint
  /// asked for, the arrivals in the newest one that count, and the most so far.
  struct PauseRecord {
    TimePoint From;
    TimePoint Until;
    std::size_t Requested = 0;
    std::size_t Arrivals = 0;
    std::size_t MostArrivals = 0;
  };
  std::map<EndpointAndHost, PauseRecord> Pauses;
  /// By endpoint that leaves and host: when it first said so, and the arrivals
  /// since then.
  struct LeavingRecord {
    struct Arrival {
      TimePoint At;
      /// Method, target and attempt id.
      std::string Request;
    };
    TimePoint SaidAt;
    /// Attempt id of the answer that said so, and its Unix time.
    std::string SaidTo;
    std::int64_t SaidAtMs = 0;
    std::vector<Arrival> Arrivals;
  };
  std::map<EndpointAndHost, LeavingRecord> Leavings;
  std::vector<std::pair<EndpointAndHost, LeavingRecord>> EndedLeavings;
  struct LifeChange {
    TimePoint At;
    bool Begins = false;
  };
  /// Guarded by ArrivalLock.
  std::map<EndpointName, std::vector<LifeChange>> LifeChanges;
  std::vector<EndpointSilence> Silences;
  std::atomic<unsigned> CrashingArrivals = 0;
  std::atomic<unsigned> CrashedEngines = 0;
  std::atomic<std::size_t> EndlessBytes = 0;
  std::atomic<unsigned> OpenEndlessAnswers = 0;
  std::vector<std::unique_ptr<PlatformEndpoint>> Endpoints;
  std::jthread Thread;
};

} // namespace carobhinge

#endif // PLATFORMWORLD_ENDPOINTSIMULATOR_H
