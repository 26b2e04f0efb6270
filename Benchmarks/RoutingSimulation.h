//===- Benchmarks/RoutingSimulation.h - Simulated routing in three domains ===//
///
/// \file
/// Simulates the routers of six entry hosts and the engines of three failure
/// domains with a simulated clock. Load reports and domain summaries arrive
/// late. The arrivals depend on the seed alone, so that all policies get
/// the same requests.
///
//===----------------------------------------------------------------------===//

#ifndef BENCHMARKS_ROUTINGSIMULATION_H
#define BENCHMARKS_ROUTINGSIMULATION_H

#include "SimulatedEngine.h"

#include <LibRouting/Router.h>
#include <array>
#include <deque>
#include <functional>
#include <random>

namespace carobhinge {

inline constexpr unsigned SimulatedWorkspaces = 10;
inline constexpr unsigned SimulatedDomains = 3;
inline constexpr unsigned EntryHostsPerDomain = 2;

class RoutingSimulation;

/// The offered load and the faults of one simulation.
struct SimulationPlan {
  EngineParameters Parameters = {};
  unsigned EnginesPerDomain = 17;
  double MeanDecodeSeconds = 1.5;
  /// Fraction of the throughput of all engines at full batches.
  double Load = 0.7;
  double Seconds = 90;
  double SheetDeadlineSeconds = 8;
  double ReportDeadlineSeconds = 20;
  /// Multiplies the arrival rate of workspace 0.
  double FirstWorkspaceFactor = 1;
  bool Idempotent = true;
  /// True if the fleet limits the slots of cold engines.
  bool WarmUpLimit = true;
  /// Called before each step, to inject faults.
  std::function<void(RoutingSimulation &, double Second)> Event = {};
};

/// Outcomes and latencies of the requests of one workspace.
struct WorkspaceResult {
  std::uint64_t Offered = 0;
  std::uint64_t InTime = 0;
  std::uint64_t Late = 0;
  std::uint64_t Refused = 0;
  /// Refused after a byte was sent to an engine.
  std::uint64_t RefusedAfterDispatch = 0;
  /// Seconds from arrival to the last byte and to the first byte.
  std::vector<double> TotalLatencies = {};
  std::vector<double> FirstByteLatencies = {};
};

struct SimulationResult {
  std::array<WorkspaceResult, SimulatedWorkspaces> Workspaces = {};
  /// Total latencies, in seconds, of requests that were not forwarded.
  std::vector<double> UnforwardedTotals = {};
  std::uint64_t Dispatches = 0;
  std::uint64_t Forwards = 0;
  std::uint64_t OverColdLimit = 0;
  std::uint64_t Crashes = 0;
  double CacheHitShare = 0;
  /// Engine seconds spent on answers within their deadline, and in total.
  double UsefulSeconds = 0;
  double WorkSeconds = 0;
};

class RoutingSimulation {
public:
  RoutingSimulation(SimulationPlan Plan, const RouterPolicies &Policies,
                    std::uint64_t Seed);

  SimulationResult run();

  /// State that SimulationPlan::Event may change.
  std::vector<SimulatedEngine> Engines;
  /// True if operators have drained the failure domain.
  std::array<bool, SimulatedDomains> Drained{};
  /// Fraction of the dispatched attempts that fail at the engine.
  double FailingShare = 0;
  /// Random numbers for engine faults. Arrivals have their own generator, so
  /// that faults do not change them.
  std::mt19937_64 FaultRandom;

  [[nodiscard]] std::span<SimulatedEngine> domainEngines(unsigned Domain) {
    return std::span(this->Engines)
        .subspan(Domain * this->Plan.EnginesPerDomain,
                 this->Plan.EnginesPerDomain);
  }

private:
  struct PendingRequest {
    RoutedRequest Request = {};
    unsigned Workspace = 0;
    unsigned HomeDomain = 0;
    double DecodeSeconds = 0;
    double ArrivedAt = 0;
    double Deadline = 0;
  };

  /// A message that an entry host receives at a later second.
  struct Message {
    double DeliveredAt = 0;
    std::function<void()> Deliver;
  };

  struct DispatchedAttempt {
    RequestId Request = 0;
    unsigned Engine = 0;
  };

  void addHosts(const RouterPolicies &Policies, std::uint64_t Seed);
  void submitArrivals();
  void submit(unsigned Host, const PendingRequest &Each);
  void stepEngines();
  void exchangeReports();
  void refreshTargets();
  [[nodiscard]] std::vector<Target> domainTargets(unsigned Domain) const;
  void performEffects(unsigned Host);
  void performEffect(unsigned Host, const Dispatch &Effect);
  void performEffect(unsigned Host, const CancelAttempt &Effect);
  void performEffect(unsigned Host, const Refuse &Effect);
  void performEffect(unsigned Host, const Forward &Effect);
  void finishAttempt(unsigned Host, AttemptId Attempt, AttemptResult Result);
  void recordAnswer(const PendingRequest &Each);
  void deliverAfter(double Delay, std::function<void()> Deliver);
  [[nodiscard]] TimePoint now() const;
  [[nodiscard]] double arrivalsPerSecond(unsigned Workspace) const;

  SimulationPlan Plan;
  std::mt19937_64 ArrivalRandom;
  std::vector<std::unique_ptr<Router>> Hosts;
  std::vector<std::map<AttemptId, DispatchedAttempt>> DispatchedAttempts;
  std::map<RequestId, PendingRequest> PendingRequests;
  /// By delivery time; messages with the same delivery time arrive in the order
  /// in which they were sent.
  std::map<double, std::deque<Message>> Messages;
  std::vector<std::vector<Target>> LastTargets;
  double Second = 0;
  RequestId LastRequest = 0;
  SimulationResult Result;
};

} // namespace carobhinge

#endif // BENCHMARKS_ROUTINGSIMULATION_H
