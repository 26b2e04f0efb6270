//===- Benchmarks/RoutingTrials.h - Trials of the routing benchmark -------===//
///
/// \file
/// Defines the trials of the routing benchmark and the measures of each trial.
///
//===----------------------------------------------------------------------===//

#ifndef BENCHMARKS_ROUTINGTRIALS_H
#define BENCHMARKS_ROUTINGTRIALS_H

#include "RoutingSimulation.h"

namespace carobhinge {

struct RoutingMeasure {
  std::string Name;
  double (*Value)(const SimulationResult &) = nullptr;
  bool MoreIsBetter = true;
};

struct RoutingTrial {
  std::string Name;
  SimulationPlan Plan = {};
  RouterPolicies Policy = {};
  RouterPolicies Baseline = {};
  /// The baseline runs without WarmUpLimit: cold engines get their full batch.
  bool BaselineIgnoresWarmUp = false;
  std::vector<RoutingMeasure> Measures = {};
};

/// Counts of measures. Medians that differ by at most one part in a hundred
/// count as neither better nor worse.
struct TrialTally {
  unsigned Better = 0;
  unsigned Worse = 0;
  unsigned Compared = 0;
};

std::vector<RoutingTrial> routingTrials();

/// Runs the policy and the baseline for each seed from 1 to \p Seeds and prints
/// a line for each measure.
void runTrial(const RoutingTrial &Trial, unsigned Seeds, TrialTally &Tally);

} // namespace carobhinge

#endif // BENCHMARKS_ROUTINGTRIALS_H
