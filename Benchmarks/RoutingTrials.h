//===- Benchmarks/RoutingTrials.h - What is compared, under which load ----===//
///
/// \file
/// The trials of the routing benchmark and the measures taken of each.
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
  /// The baseline's fleet gives cold engines their full batch.
  bool BaselineIgnoresWarmUp = false;
  std::vector<RoutingMeasure> Measures = {};
};

/// Measures whose medians differ by more than one part in a hundred.
struct TrialTally {
  unsigned Better = 0;
  unsigned Worse = 0;
  unsigned All = 0;
};

std::vector<RoutingTrial> routingTrials();

/// Runs policy and baseline for each seed from one to \p Seeds and prints a
/// line for each measure.
void runTrial(const RoutingTrial &Trial, unsigned Seeds, TrialTally &Tally);

} // namespace carobhinge

#endif // BENCHMARKS_ROUTINGTRIALS_H
