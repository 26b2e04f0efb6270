//===- Benchmarks/RoutingSimulation.h - Three failure domains in steps ----===//
///
/// \file
/// Routers of six entry hosts before the engines of three failure domains,
/// driven by a clock that is turned in steps. Load reports and summaries lag.
/// The arrivals depend on the seed alone, so that two policies see the same.
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

/// A load and what befalls the system meanwhile.
struct SimulationPlan {
  EngineShape Shape = {};
  unsigned EnginesPerDomain = 17;
  double MeanDecodeSeconds = 1.5;
  /// Of what all engines can do at full batches.
  double Load = 0.7;
  double Seconds = 90;
  double SheetDeadline = 8;
  double ReportDeadline = 20;
  /// Times the usual arrivals of workspace 0.
  double FirstWorkspaceFactor = 1;
  bool Idempotent = true;
  /// Whether the fleet limits what cold engines get.
  bool WarmUpLimit = true;
  /// Called before each step.
  std::function<void(RoutingSimulation &, double Second)> Event = {};
};

/// What became of the requests of one workspace.
struct WorkspaceResult {
  std::uint64_t Offered = 0;
  std::uint64_t InTime = 0;
  std::uint64_t Late = 0;
  std::uint64_t Refused = 0;
  /// Refused after a byte was sent to an engine.
  std::uint64_t Broken = 0;
  /// Seconds from arrival to the last byte, and to the first.
  std::vector<double> Totals = {};
  std::vector<double> FirstBytes = {};
};

struct SimulationResult {
  std::array<WorkspaceResult, SimulatedWorkspaces> Workspaces = {};
  /// Totals of requests that were served where they arrived.
  std::vector<double> HomeTotals = {};
  std::uint64_t Dispatches = 0;
  std::uint64_t Forwards = 0;
  std::uint64_t BeyondBudget = 0;
  std::uint64_t Collapses = 0;
  double CacheHitShare = 0;
  /// Engine seconds spent on answers in time, and in all.
  double UsefulSeconds = 0;
  double WorkSeconds = 0;
};

class RoutingSimulation {
public:
  RoutingSimulation(SimulationPlan Plan, const RouterPolicies &Policies,
                    std::uint64_t Seed);

  SimulationResult run();

  /// Handles for SimulationPlan::Event.
  std::vector<SimulatedEngine> Engines;
  /// Whether operators have taken the failure domain out.
  std::array<bool, SimulatedDomains> Out{};
  /// Part of the dispatched requests that break off at the engine.
  double DoomedShare = 0;
  /// Source of what befalls engines; arrivals do not draw from it.
  std::mt19937_64 Chance;

  [[nodiscard]] std::span<SimulatedEngine> enginesOf(unsigned Domain) {
    return std::span(this->Engines)
        .subspan(Domain * this->Plan.EnginesPerDomain,
                 this->Plan.EnginesPerDomain);
  }

private:
  struct Caller {
    RoutedRequest Request = {};
    unsigned Workspace = 0;
    unsigned Home = 0;
    double DecodeSeconds = 0;
    double ArrivedAt = 0;
    double Deadline = 0;
  };

  /// Something an entry host learns at a later second.
  struct Message {
    double At = 0;
    std::function<void()> Deliver;
  };

  struct Flight {
    RequestId Request = 0;
    unsigned Engine = 0;
  };

  void addHosts(const RouterPolicies &Policies, std::uint64_t Seed);
  void arrivals();
  void submit(unsigned Host, const Caller &Each);
  void stepEngines();
  void exchangeReports();
  void refreshTargets();
  [[nodiscard]] std::vector<Target> targetsOf(unsigned Domain) const;
  void carryOut(unsigned Host);
  void perform(unsigned Host, const Dispatch &Effect);
  void perform(unsigned Host, const CancelAttempt &Effect);
  void perform(unsigned Host, const Refuse &Effect);
  void perform(unsigned Host, const Forward &Effect);
  void finish(unsigned Host, AttemptId Attempt, AttemptResult Result);
  void answered(const Caller &Each);
  void later(double Delay, std::function<void()> Deliver);
  [[nodiscard]] TimePoint now() const;
  [[nodiscard]] double arrivalsPerSecond(unsigned Workspace) const;

  SimulationPlan Plan;
  std::mt19937_64 Arrivals;
  std::vector<std::unique_ptr<Router>> Hosts;
  std::vector<std::map<AttemptId, Flight>> Flights;
  std::map<RequestId, Caller> Callers;
  /// By time of delivery, as all messages of one delay are sent in order.
  std::map<double, std::deque<Message>> Messages;
  std::vector<std::vector<Target>> LastTargets;
  double Second = 0;
  RequestId LastRequest = 0;
  SimulationResult Result;
};

} // namespace carobhinge

#endif // BENCHMARKS_ROUTINGSIMULATION_H
