//===- Soak/Main.cpp - The fault soak -------------------------------------===//
///
/// \file
/// Runs seeds one after the other and prints the violations of each. A seed
/// that has failed stays in Soak/Regressions.txt with the cause of the failure.
///
//===----------------------------------------------------------------------===//

#include <CLI/CLI.hpp>
#include <Soak/SoakRun.h>
#include <cstdio>

using namespace carobhinge;

/// Adds to \p Losses the requests of the seed without a whole answer, and to
/// \p FalseAlarms how often a sound endpoint was taken for lost or crashed.
/// \returns true if the run of the seed ended without violations.
static bool runSeed(std::uint64_t Seed, bool WithoutEndless,
                    LossSummary &Losses, unsigned &FalseAlarms) {
  std::vector<std::string> Violations;
  SoakRun Run(Seed, WithoutEndless);
  try {
    Violations = Run.run();
  } catch (const std::exception &Error) {
    Violations.emplace_back(Error.what());
  }
  CallCounts Counts = Run.counts();
  Losses.add(Run.losses());
  FalseAlarms += Run.falseAlarms();
  std::printf("seed %llu: %zu faults, %u answered, %u refused, %u unknown, "
              "%u cut off, %u not reached; %s\n",
              static_cast<unsigned long long>(Seed), Run.faults().size(),
              Counts.count(CallEnd::Answered), Counts.count(CallEnd::Refused),
              Counts.count(CallEnd::Unknown), Counts.count(CallEnd::CutOff),
              Counts.count(CallEnd::NotReached),
              Violations.empty() ? "all guarantees kept" : "BROKEN");
  std::printf("  %s; %u false alarms; at most %.0f MiB resident\n",
              Run.losses().describe().c_str(), Run.falseAlarms(),
              Run.peakMegabytes());
  if (!Violations.empty())
    for (const Fault &Each : Run.faults())
      std::printf("  %s\n", describe(Each).c_str());
  for (const std::string &Each : Violations)
    std::printf("  broken guarantee: %s\n", Each.c_str());
  for (const std::string &Each : Run.notes())
    std::printf("  %s\n", Each.c_str());
  std::fflush(stdout);
  return Violations.empty();
}

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("Injects seeded faults into a deployment of real processes.");
  std::uint64_t FirstSeed = 1;
  std::uint64_t SeedCount = 1;
  App.add_option("--first-seed", FirstSeed, "The first seed.");
  App.add_option("--seeds", SeedCount, "Number of seeds to run.");
  std::string Without;
  App.add_option("--without", Without, "Faults to leave out.")
      ->check(CLI::IsMember({"endless"}));
  bool PrintsPlan = false;
  App.add_flag("--plan", PrintsPlan, "Print the faults of the seeds only.");
  CLI11_PARSE(App, ArgumentCount, Arguments);
  if (PrintsPlan) {
    for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + SeedCount; ++Seed) {
      SoakRun Run(Seed, !Without.empty());
      for (const Fault &Each : Run.faults())
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(Seed),
                    describe(Each).c_str());
    }
    return 0;
  }
  ChildProcess::killAllWhenInterrupted();
  std::uint64_t FailedSeeds = 0;
  LossSummary Losses;
  unsigned FalseAlarms = 0;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + SeedCount; ++Seed)
    FailedSeeds += runSeed(Seed, !Without.empty(), Losses, FalseAlarms) ? 0 : 1;
  std::printf("soak: seeds=%llu failed=%llu; %s; %u false alarms\n",
              static_cast<unsigned long long>(SeedCount),
              static_cast<unsigned long long>(FailedSeeds),
              Losses.describe().c_str(), FalseAlarms);
  return FailedSeeds == 0 ? 0 : 1;
}
