//===- Soak/Main.cpp - The fault soak -------------------------------------===//
///
/// \file
/// Plays seeds one after the other and prints, for each, what was broken. A
/// seed that failed once stays in Soak/Regressions.txt with its cause.
///
//===----------------------------------------------------------------------===//

#include <CLI/CLI.hpp>
#include <Soak/SoakRun.h>
#include <cstdio>

using namespace carobhinge;

/// \returns whether the seed kept all promises.
static bool playSeed(std::uint64_t Seed) {
  std::vector<std::string> Broken;
  SoakRun Run(Seed);
  try {
    Broken = Run.play();
  } catch (const std::exception &Error) {
    Broken.emplace_back(Error.what());
  }
  CallCounts Counts = Run.counts();
  std::printf("seed %llu: %zu faults, %u answered, %u refused, %u unknown, "
              "%u cut off, %u not reached; %s\n",
              static_cast<unsigned long long>(Seed), Run.faults().size(),
              Counts.of(CallEnd::Answered), Counts.of(CallEnd::Refused),
              Counts.of(CallEnd::Unknown), Counts.of(CallEnd::CutOff),
              Counts.of(CallEnd::NotReached),
              Broken.empty() ? "all kept" : "BROKEN");
  if (!Broken.empty())
    for (const Fault &Each : Run.faults())
      std::printf("  %s\n", describe(Each).c_str());
  for (const std::string &Each : Broken)
    std::printf("  broken: %s\n", Each.c_str());
  std::fflush(stdout);
  return Broken.empty();
}

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("Plays seeded faults against real processes.");
  std::uint64_t First = 1;
  std::uint64_t Count = 1;
  App.add_option("--first-seed", First, "The first seed.");
  App.add_option("--seeds", Count, "How many seeds are played.");
  CLI11_PARSE(App, ArgumentCount, Arguments);
  ChildProcess::killAllWhenInterrupted();
  std::uint64_t Failed = 0;
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed)
    Failed += playSeed(Seed) ? 0 : 1;
  std::printf("soak: seeds=%llu failed=%llu\n",
              static_cast<unsigned long long>(Count),
              static_cast<unsigned long long>(Failed));
  return Failed == 0 ? 0 : 1;
}
