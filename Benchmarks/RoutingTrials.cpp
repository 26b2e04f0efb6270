//===- Benchmarks/RoutingTrials.cpp - Trials of the routing benchmark -----===//
///
/// \file
/// Each trial has a simulation plan, two sets of policies and a list of
/// measures.
///
//===----------------------------------------------------------------------===//

#include "RoutingTrials.h"

#include <algorithm>
#include <cstdio>

namespace carobhinge {

/// Medians whose relative difference is at most this fraction count as equal.
static constexpr double EqualityTolerance = 0.01;

//===-- Measures ----------------------------------------------------------===//

static double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::ranges::sort(Values);
  auto Index = static_cast<std::size_t>(Fraction *
                                        static_cast<double>(Values.size() - 1));
  return Values[Index];
}

/// Sums \p Member over the workspaces from \p First on.
static double sumOverWorkspaces(const SimulationResult &Result,
                                std::uint64_t WorkspaceResult::*Member,
                                unsigned First = 0) {
  std::uint64_t Sum = 0;
  for (unsigned I = First; I < SimulatedWorkspaces; ++I)
    Sum += Result.Workspaces[I].*Member;
  return static_cast<double>(Sum);
}

static double shareOfOffered(const SimulationResult &Result,
                             std::uint64_t WorkspaceResult::*Member,
                             unsigned First = 0) {
  return sumOverWorkspaces(Result, Member, First) /
         sumOverWorkspaces(Result, &WorkspaceResult::Offered, First);
}

static double latency(const SimulationResult &Result,
                      std::vector<double> WorkspaceResult::*Member,
                      double Fraction, unsigned First = 0) {
  std::vector<double> All;
  for (unsigned I = First; I < SimulatedWorkspaces; ++I) {
    const std::vector<double> &Each = Result.Workspaces[I].*Member;
    All.insert(All.end(), Each.begin(), Each.end());
  }
  return quantile(std::move(All), Fraction);
}

static double worstGoodput(const SimulationResult &Result) {
  double Worst = 1;
  for (const WorkspaceResult &Each : Result.Workspaces)
    Worst = std::min(Worst, static_cast<double>(Each.InTime) /
                                static_cast<double>(Each.Offered));
  return Worst;
}

static RoutingMeasure goodput() {
  return {.Name = "goodput", .Value = [](const SimulationResult &Result) {
            return shareOfOffered(Result, &WorkspaceResult::InTime);
          }};
}

static RoutingMeasure worstWorkspace() {
  return {.Name = "goodput, worst workspace", .Value = worstGoodput};
}

static RoutingMeasure lateShare() {
  return {.Name = "late answers",
          .Value =
              [](const SimulationResult &Result) {
                return shareOfOffered(Result, &WorkspaceResult::Late);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure refusedAfterDispatchShare() {
  return {.Name = "broken off",
          .Value =
              [](const SimulationResult &Result) {
                return shareOfOffered(Result,
                                      &WorkspaceResult::RefusedAfterDispatch);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure firstByte95() {
  return {.Name = "first byte p95 s",
          .Value =
              [](const SimulationResult &Result) {
                return latency(Result, &WorkspaceResult::FirstByteLatencies,
                               0.95);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure firstByte99() {
  return {.Name = "first byte p99 s",
          .Value =
              [](const SimulationResult &Result) {
                return latency(Result, &WorkspaceResult::FirstByteLatencies,
                               0.99);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure total95() {
  return {.Name = "total p95 s",
          .Value =
              [](const SimulationResult &Result) {
                return latency(Result, &WorkspaceResult::TotalLatencies, 0.95);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure unforwardedTotal95() {
  return {.Name = "total p95 s, own callers",
          .Value =
              [](const SimulationResult &Result) {
                return quantile(Result.UnforwardedTotals, 0.95);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure othersGoodput() {
  return {.Name = "goodput, others",
          .Value = [](const SimulationResult &Result) {
            return shareOfOffered(Result, &WorkspaceResult::InTime, 1);
          }};
}

static RoutingMeasure othersTotal95() {
  return {.Name = "total p95 s, others",
          .Value =
              [](const SimulationResult &Result) {
                return latency(Result, &WorkspaceResult::TotalLatencies, 0.95,
                               1);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure usefulShare() {
  return {.Name = "useful engine seconds",
          .Value = [](const SimulationResult &Result) {
            return Result.UsefulSeconds / Result.WorkSeconds;
          }};
}

static RoutingMeasure dispatchesPerRequest() {
  return {.Name = "dispatches per request",
          .Value =
              [](const SimulationResult &Result) {
                return static_cast<double>(Result.Dispatches) /
                       sumOverWorkspaces(Result, &WorkspaceResult::Offered);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure overColdLimit() {
  return {.Name = "requests beyond budget",
          .Value =
              [](const SimulationResult &Result) {
                return static_cast<double>(Result.OverColdLimit);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure crashes() {
  return {.Name = "engines crashed",
          .Value =
              [](const SimulationResult &Result) {
                return static_cast<double>(Result.Crashes);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure cacheHits() {
  return {.Name = "prefix-cache hits",
          .Value = [](const SimulationResult &Result) {
            return Result.CacheHitShare;
          }};
}

//===-- Trials ------------------------------------------------------------===//

static constexpr bool isLastStepBefore(double Second, double Moment) {
  return Second < Moment && Second + 0.0101 > Moment;
}

static RouterPolicies allBaselines() {
  return {.Admission = "fifo",
          .Choice = "round-robin",
          .Deadlines = "none",
          .Retries = "unlimited",
          .Hedges = "none",
          .Stragglers = "none",
          .Spillover = "none"};
}

/// Drains tanta-a from 30 s to 60 s; its engines are cold when it returns.
static void drainAndRestore(RoutingSimulation &Simulation, double Second) {
  bool WasDrained = Simulation.Drained[0];
  Simulation.Drained[0] = Second >= 30 && Second < 60;
  if (!WasDrained || Simulation.Drained[0])
    return;
  for (SimulatedEngine &Each : Simulation.domainEngines(0))
    Each.resetToCold(Second);
}

static void resetDomainToCold(RoutingSimulation &Simulation, double Second) {
  if (!isLastStepBefore(Second, 30))
    return;
  for (SimulatedEngine &Each : Simulation.domainEngines(0))
    Each.resetToCold(Second);
}

/// From 20 s on, one engine of each failure domain runs at a quarter of its
/// speed.
static void slowEngines(RoutingSimulation &Simulation, double Second) {
  for (unsigned Domain = 0; Domain < SimulatedDomains; ++Domain)
    Simulation.domainEngines(Domain)[3].Speed = Second < 20 ? 1 : 0.25;
}

/// Pauses one engine in seventeen for 1.5 s, every second.
static void pauseEngines(RoutingSimulation &Simulation, double Second) {
  if (!isLastStepBefore(Second,
                        static_cast<double>(static_cast<int>(Second)) + 0.5))
    return;
  for (unsigned Domain = 0; Domain < SimulatedDomains; ++Domain) {
    std::span<SimulatedEngine> Engines = Simulation.domainEngines(Domain);
    Engines[Simulation.FaultRandom() % Engines.size()].PausedUntil =
        Second + 1.5;
  }
}

/// From 20 s to 50 s, nine attempts in ten fail halfway.
static void failAttempts(RoutingSimulation &Simulation, double Second) {
  Simulation.FailingShare = Second >= 20 && Second < 50 ? 0.9 : 0;
}

/// A plain service: one endpoint in each failure domain and short calls that
/// are not idempotent.
static SimulationPlan plainService() {
  return {.Parameters = {.BatchLimit = 8,
                         .BatchSlowdown = 0,
                         .PrefillSeconds = 0.02,
                         .CachedPrefillSeconds = 0.02,
                         .ColdLimit = 2,
                         .ColdCrashLimit = 4},
          .EnginesPerDomain = 1,
          .MeanDecodeSeconds = 0.08,
          .Load = 0.5,
          .SheetDeadlineSeconds = 1,
          .ReportDeadlineSeconds = 2,
          .Idempotent = false};
}

static std::vector<RoutingTrial> policySetTrials() {
  SimulationPlan DrainPlan{.Load = 0.6, .Event = drainAndRestore};
  SimulationPlan PlainPlan = plainService();
  PlainPlan.Event = drainAndRestore;
  SimulationPlan ColdPlan{.Load = 0.6, .Event = resetDomainToCold};
  return {{.Name = "domain-leaves",
           .Plan = DrainPlan,
           .Baseline = allBaselines(),
           .BaselineIgnoresWarmUp = true,
           .Measures = {goodput(), worstWorkspace(), lateShare(),
                        refusedAfterDispatchShare()}},
          {.Name = "plain-leaves",
           .Plan = PlainPlan,
           .Baseline = allBaselines(),
           .BaselineIgnoresWarmUp = true,
           .Measures = {goodput(), worstWorkspace(), lateShare(),
                        refusedAfterDispatchShare()}},
          {.Name = "cold-start",
           .Plan = ColdPlan,
           .Baseline = allBaselines(),
           .BaselineIgnoresWarmUp = true,
           .Measures = {overColdLimit(), crashes(), goodput(),
                        refusedAfterDispatchShare()}}};
}

static std::vector<RoutingTrial> singlePolicyTrials() {
  return {{.Name = "spillover",
           .Plan = {.Load = 0.6, .Event = drainAndRestore},
           .Baseline = {.Spillover = "none"},
           .Measures = {goodput(), worstWorkspace(), unforwardedTotal95()}},
          {.Name = "large-workspace",
           .Plan = {.Load = 0.7, .FirstWorkspaceFactor = 5},
           .Baseline = {.Admission = "fifo"},
           .Measures = {othersGoodput(), othersTotal95(), goodput()}},
          {.Name = "deadlines",
           .Plan = {.Load = 1.3},
           .Baseline = {.Deadlines = "none"},
           .Measures = {goodput(), lateShare(), usefulShare()}},
          {.Name = "stragglers",
           .Plan = {.Event = slowEngines},
           .Baseline = {.Stragglers = "none"},
           .Measures = {total95(), firstByte95(), firstByte99(), lateShare()}},
          {.Name = "hedges",
           .Plan = {.Load = 0.6, .Event = pauseEngines},
           .Baseline = {.Hedges = "none"},
           .Measures = {firstByte99(), firstByte95(), goodput()}},
          {.Name = "retry-storm",
           .Plan = {.Load = 0.85, .Event = failAttempts},
           .Baseline = {.Retries = "unlimited"},
           .Measures = {dispatchesPerRequest(), usefulShare(), goodput(),
                        lateShare()}},
          {.Name = "retry-storm-bare",
           .Plan = {.Load = 0.85, .Event = failAttempts},
           .Policy = {.Admission = "fifo", .Deadlines = "none"},
           .Baseline = {.Admission = "fifo",
                        .Deadlines = "none",
                        .Retries = "unlimited"},
           .Measures = {dispatchesPerRequest(), usefulShare(), goodput(),
                        lateShare()}},
          {.Name = "prefix-affinity",
           .Plan = {.Load = 0.7},
           .Baseline = {.Choice = "two-choices"},
           .Measures = {cacheHits(), firstByte95(), total95(), goodput()}},
          {.Name = "two-choices",
           .Plan = {.Load = 0.5, .Event = slowEngines},
           .Policy = {.Choice = "two-choices"},
           .Baseline = {.Choice = "round-robin"},
           .Measures = {firstByte95(), total95(), goodput()}}};
}

std::vector<RoutingTrial> routingTrials() {
  std::vector<RoutingTrial> All = policySetTrials();
  std::ranges::move(singlePolicyTrials(), std::back_inserter(All));
  return All;
}

//===-- Running -----------------------------------------------------------===//

static std::vector<SimulationResult> runSeeds(const SimulationPlan &Plan,
                                              const RouterPolicies &Policies,
                                              unsigned Seeds) {
  std::vector<SimulationResult> Results;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed)
    Results.push_back(RoutingSimulation(Plan, Policies, Seed).run());
  return Results;
}

static std::vector<double>
sortedValues(const std::vector<SimulationResult> &Results,
             const RoutingMeasure &Measure) {
  std::vector<double> Values;
  Values.reserve(Results.size());
  for (const SimulationResult &Each : Results)
    Values.push_back(Measure.Value(Each));
  std::ranges::sort(Values);
  return Values;
}

static std::string formatRange(const std::vector<double> &Sorted) {
  std::array<char, 64> Text{};
  std::snprintf(Text.data(), Text.size(), "%.4g [%.4g..%.4g]",
                Sorted[Sorted.size() / 2], Sorted.front(), Sorted.back());
  return Text.data();
}

void runTrial(const RoutingTrial &Trial, unsigned Seeds, TrialTally &Tally) {
  std::vector<SimulationResult> Policy =
      runSeeds(Trial.Plan, Trial.Policy, Seeds);
  SimulationPlan BaselinePlan = Trial.Plan;
  BaselinePlan.WarmUpLimit = !Trial.BaselineIgnoresWarmUp;
  std::vector<SimulationResult> Baseline =
      runSeeds(BaselinePlan, Trial.Baseline, Seeds);
  for (const RoutingMeasure &Measure : Trial.Measures) {
    std::vector<double> PolicyValues = sortedValues(Policy, Measure);
    std::vector<double> BaselineValues = sortedValues(Baseline, Measure);
    double PolicyMedian = PolicyValues[PolicyValues.size() / 2];
    double BaselineMedian = BaselineValues[BaselineValues.size() / 2];
    bool Equal = std::abs(PolicyMedian - BaselineMedian) <=
                 EqualityTolerance * std::max(PolicyMedian, BaselineMedian);
    bool Better =
        !Equal && (PolicyMedian > BaselineMedian) == Measure.MoreIsBetter;
    ++Tally.Compared;
    Tally.Better += Better;
    Tally.Worse += !Equal && !Better;
    std::printf("%-18s %-26s %-26s %-26s %7.3f %s\n", Trial.Name.c_str(),
                Measure.Name.c_str(), formatRange(PolicyValues).c_str(),
                formatRange(BaselineValues).c_str(),
                BaselineMedian == 0 ? 0 : PolicyMedian / BaselineMedian,
                Equal ? "" : (Better ? "better" : "WORSE"));
    std::fflush(stdout);
  }
}

} // namespace carobhinge
