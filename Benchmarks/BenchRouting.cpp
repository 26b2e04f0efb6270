//===- Benchmarks/BenchRouting.cpp - Routing policies against baselines ---===//
///
/// \file
/// Each trial compares one policy, or the whole set, with its baseline under
/// the same load, faults and seeds. Prints medians and ranges over the seeds;
/// the last line counts the measures that are better and worse.
///
//===----------------------------------------------------------------------===//

#include "RoutingTrials.h"

#include <cstdio>
#include <cstdlib>

using namespace carobhinge;

int main(int Count, char **Arguments) {
  std::string_view TrialName = Count > 1 ? Arguments[1] : "";
  unsigned Seeds = Count > 2 ? std::max(1, std::atoi(Arguments[2])) : 5;
  std::printf("seeds 1 to %u; median [min..max]\n", Seeds);
  std::printf("%-18s %-26s %-26s %-26s %7s\n", "trial", "measure", "policy",
              "baseline", "ratio");
  TrialTally Tally;
  for (const RoutingTrial &Each : routingTrials())
    if (TrialName.empty() || Each.Name == TrialName)
      runTrial(Each, Seeds, Tally);
  std::printf("bench routing: better=%u worse=%u of=%u\n", Tally.Better,
              Tally.Worse, Tally.Compared);
  return 0;
}
