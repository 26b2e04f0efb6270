//===- Benchmarks/RoutingTrials.cpp - What is compared, under which load --===//
///
/// \file
/// A trial is a plan, two sets of policies and a list of measures.
///
//===----------------------------------------------------------------------===//

#include "RoutingTrials.h"

#include <algorithm>
#include <cstdio>

namespace carobhinge {

/// A median that differs by less than this part counts as equal.
static constexpr double EqualWithin = 0.01;

//===-- Measures ----------------------------------------------------------===//

static double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::ranges::sort(Values);
  auto Place = static_cast<std::size_t>(Fraction *
                                        static_cast<double>(Values.size() - 1));
  return Values[Place];
}

/// Sums \p Member over the workspaces from \p First on.
static double sumOf(const SimulationResult &Result,
                    std::uint64_t WorkspaceResult::*Member,
                    unsigned First = 0) {
  std::uint64_t Sum = 0;
  for (unsigned I = First; I < SimulatedWorkspaces; ++I)
    Sum += Result.Workspaces[I].*Member;
  return static_cast<double>(Sum);
}

static double shareOf(const SimulationResult &Result,
                      std::uint64_t WorkspaceResult::*Member,
                      unsigned First = 0) {
  return sumOf(Result, Member, First) /
         sumOf(Result, &WorkspaceResult::Offered, First);
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
            return shareOf(Result, &WorkspaceResult::InTime);
          }};
}

static RoutingMeasure worstWorkspace() {
  return {.Name = "goodput, worst workspace", .Value = worstGoodput};
}

static RoutingMeasure lateShare() {
  return {.Name = "late answers",
          .Value =
              [](const SimulationResult &Result) {
                return shareOf(Result, &WorkspaceResult::Late);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure brokenShare() {
  return {.Name = "broken off",
          .Value =
              [](const SimulationResult &Result) {
                return shareOf(Result, &WorkspaceResult::Broken);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure firstByte95() {
  return {.Name = "first byte p95 s",
          .Value =
              [](const SimulationResult &Result) {
                return latency(Result, &WorkspaceResult::FirstBytes, 0.95);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure firstByte99() {
  return {.Name = "first byte p99 s",
          .Value =
              [](const SimulationResult &Result) {
                return latency(Result, &WorkspaceResult::FirstBytes, 0.99);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure total95() {
  return {.Name = "total p95 s",
          .Value =
              [](const SimulationResult &Result) {
                return latency(Result, &WorkspaceResult::Totals, 0.95);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure homeTotal95() {
  return {.Name = "total p95 s, own callers",
          .Value =
              [](const SimulationResult &Result) {
                return quantile(Result.HomeTotals, 0.95);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure othersGoodput() {
  return {.Name = "goodput, others",
          .Value = [](const SimulationResult &Result) {
            return shareOf(Result, &WorkspaceResult::InTime, 1);
          }};
}

static RoutingMeasure othersTotal95() {
  return {.Name = "total p95 s, others",
          .Value =
              [](const SimulationResult &Result) {
                return latency(Result, &WorkspaceResult::Totals, 0.95, 1);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure usefulShare() {
  return {.Name = "useful engine seconds",
          .Value = [](const SimulationResult &Result) {
            return Result.UsefulSeconds / Result.WorkSeconds;
          }};
}

static RoutingMeasure sentPerRequest() {
  return {.Name = "dispatches per request",
          .Value =
              [](const SimulationResult &Result) {
                return static_cast<double>(Result.Dispatches) /
                       sumOf(Result, &WorkspaceResult::Offered);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure beyondBudget() {
  return {.Name = "requests beyond budget",
          .Value =
              [](const SimulationResult &Result) {
                return static_cast<double>(Result.BeyondBudget);
              },
          .MoreIsBetter = false};
}

static RoutingMeasure collapses() {
  return {.Name = "engines fallen over",
          .Value =
              [](const SimulationResult &Result) {
                return static_cast<double>(Result.Collapses);
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

static constexpr bool isStepBefore(double Second, double Moment) {
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

/// tanta-a is taken out at 30 s and returns cold at 60 s.
static void departAndReturn(RoutingSimulation &World, double Second) {
  bool Was = World.Out[0];
  World.Out[0] = Second >= 30 && Second < 60;
  if (!Was || World.Out[0])
    return;
  for (SimulatedEngine &Each : World.enginesOf(0))
    Each.turnCold(Second);
}

static void turnDomainCold(RoutingSimulation &World, double Second) {
  if (!isStepBefore(Second, 30))
    return;
  for (SimulatedEngine &Each : World.enginesOf(0))
    Each.turnCold(Second);
}

/// From 20 s on one engine of each failure domain has a quarter of its speed.
static void slowEngines(RoutingSimulation &World, double Second) {
  for (unsigned Domain = 0; Domain < SimulatedDomains; ++Domain)
    World.enginesOf(Domain)[3].Speed = Second < 20 ? 1 : 0.25;
}

/// Every second one engine in seventeen stands still for 1.5 s.
static void pauseEngines(RoutingSimulation &World, double Second) {
  if (!isStepBefore(Second,
                    static_cast<double>(static_cast<int>(Second)) + 0.5))
    return;
  for (unsigned Domain = 0; Domain < SimulatedDomains; ++Domain) {
    std::span<SimulatedEngine> Engines = World.enginesOf(Domain);
    Engines[World.Chance() % Engines.size()].PausedUntil = Second + 1.5;
  }
}

/// From 20 s to 50 s nine attempts in ten break off half way.
static void doomAttempts(RoutingSimulation &World, double Second) {
  World.DoomedShare = Second >= 20 && Second < 50 ? 0.9 : 0;
}

/// A plain service: one endpoint in each failure domain, short calls that must
/// not repeat.
static SimulationPlan plainService() {
  return {.Shape = {.BatchLimit = 8,
                    .BatchSlowdown = 0,
                    .PrefillSeconds = 0.02,
                    .CachedPrefillSeconds = 0.02,
                    .ColdLimit = 2,
                    .ColdCollapse = 4},
          .EnginesPerDomain = 1,
          .MeanDecodeSeconds = 0.08,
          .Load = 0.5,
          .SheetDeadline = 1,
          .ReportDeadline = 2,
          .Idempotent = false};
}

static std::vector<RoutingTrial> wholeSetTrials() {
  SimulationPlan Departure{.Load = 0.6, .Event = departAndReturn};
  SimulationPlan Plain = plainService();
  Plain.Event = departAndReturn;
  SimulationPlan Cold{.Load = 0.6, .Event = turnDomainCold};
  return {
      {.Name = "domain-leaves",
       .Plan = Departure,
       .Baseline = allBaselines(),
       .BaselineIgnoresWarmUp = true,
       .Measures = {goodput(), worstWorkspace(), lateShare(), brokenShare()}},
      {.Name = "plain-leaves",
       .Plan = Plain,
       .Baseline = allBaselines(),
       .BaselineIgnoresWarmUp = true,
       .Measures = {goodput(), worstWorkspace(), lateShare(), brokenShare()}},
      {.Name = "cold-start",
       .Plan = Cold,
       .Baseline = allBaselines(),
       .BaselineIgnoresWarmUp = true,
       .Measures = {beyondBudget(), collapses(), goodput(), brokenShare()}}};
}

static std::vector<RoutingTrial> onePolicyTrials() {
  return {
      {.Name = "spillover",
       .Plan = {.Load = 0.6, .Event = departAndReturn},
       .Baseline = {.Spillover = "none"},
       .Measures = {goodput(), worstWorkspace(), homeTotal95()}},
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
       .Plan = {.Load = 0.85, .Event = doomAttempts},
       .Baseline = {.Retries = "unlimited"},
       .Measures = {sentPerRequest(), usefulShare(), goodput(), lateShare()}},
      {.Name = "retry-storm-bare",
       .Plan = {.Load = 0.85, .Event = doomAttempts},
       .Policy = {.Admission = "fifo", .Deadlines = "none"},
       .Baseline = {.Admission = "fifo",
                    .Deadlines = "none",
                    .Retries = "unlimited"},
       .Measures = {sentPerRequest(), usefulShare(), goodput(), lateShare()}},
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
  std::vector<RoutingTrial> All = wholeSetTrials();
  std::ranges::move(onePolicyTrials(), std::back_inserter(All));
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

static std::string shown(const std::vector<double> &Sorted) {
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
    std::vector<double> Ours = sortedValues(Policy, Measure);
    std::vector<double> Theirs = sortedValues(Baseline, Measure);
    double Mine = Ours[Ours.size() / 2];
    double Other = Theirs[Theirs.size() / 2];
    bool Equal = std::abs(Mine - Other) <= EqualWithin * std::max(Mine, Other);
    bool Better = !Equal && (Mine > Other) == Measure.MoreIsBetter;
    ++Tally.All;
    Tally.Better += Better;
    Tally.Worse += !Equal && !Better;
    std::printf("%-18s %-26s %-26s %-26s %7.3f %s\n", Trial.Name.c_str(),
                Measure.Name.c_str(), shown(Ours).c_str(),
                shown(Theirs).c_str(), Other == 0 ? 0 : Mine / Other,
                Equal ? "" : (Better ? "better" : "WORSE"));
    std::fflush(stdout);
  }
}

} // namespace carobhinge
