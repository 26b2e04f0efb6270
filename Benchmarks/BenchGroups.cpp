//===- Benchmarks/BenchGroups.cpp - Group downtime and stranded hosts -----===//
///
/// \file
/// Runs the planner's policies through the same faults: three failure domains
/// of sixteen engines in two fabric domains each, engines that pause, crash and
/// restart, and a fabric domain that becomes unreachable. For each measure it
/// prints the median over the seeds, the range, and the ratio to the baseline.
///
//===----------------------------------------------------------------------===//

#include <FleetCluster/FleetCluster.h>
#include <algorithm>
#include <array>
#include <cstdio>

using namespace carobhinge;
using std::chrono::seconds;

static constexpr int SimulatedSeconds = 1200;
static constexpr int FormingSeconds = 180;
static constexpr int FailureDomains = 3;
static constexpr std::array<std::uint64_t, 5> Seeds = {11, 12, 13, 14, 15};
/// Probabilities per engine and second, in millionths.
static constexpr std::uint32_t PauseChance = 1500;
static constexpr std::uint32_t CrashChance = 400;
/// Probability per failure domain and second, in millionths.
static constexpr std::uint32_t FabricLossChance = 800;
static constexpr int FabricLossSeconds = 60;

namespace {

struct Policy {
  std::string Name;
  PlannerOptions Options;
};

/// Smaller values are better for every measure.
struct Measures {
  static constexpr std::size_t Count = 3;
  static constexpr std::array<const char *, Count> Names = {
      "group downtime", "stranded accelerators", "new group numbers"};
  std::array<double, Count> Values{};
};

/// One failure domain under faults that depend on the seed alone.
class Trial {
public:
  Trial(const Policy &Candidate, std::uint32_t HostsPerGroup,
        std::uint64_t Seed)
      : Cluster({.Seed = Seed,
                 .FabricDomains = 2,
                 .EnginesPerFabric = 8,
                 .HostsPerGroup = HostsPerGroup,
                 .Planner = Candidate.Options,
                 .RequestsPerSecond = 0,
                 .CheckInvariants = false}),
        FaultRandom(Seed), HostsPerGroup(HostsPerGroup) {}

  void run() {
    this->Cluster.run(seconds(FormingSeconds));
    for (this->Second = 0; this->Second < SimulatedSeconds; ++this->Second) {
      for (const auto &[Name, Engine] : this->Cluster.Engines)
        this->injectFaults(Name);
      if (this->occurs(FabricLossChance))
        this->pauseFabricDomain();
      while (!this->ScheduledRecoveries.empty() &&
             this->ScheduledRecoveries.begin()->first <= this->Second)
        this->ScheduledRecoveries.extract(this->ScheduledRecoveries.begin())
            .mapped()();
      this->Cluster.run(seconds(1));
      this->recordSecond();
    }
  }

  double GroupSeconds = 0;
  double GroupSecondsDown = 0;
  double EngineSeconds = 0;
  double EngineSecondsStranded = 0;
  std::set<FencingToken> GroupNumbers;

private:
  bool occurs(std::uint32_t ChancePerMillion) {
    return this->FaultRandom() % 1000000 < ChancePerMillion;
  }

  int randomLength(int Min, int Max) {
    return Min + static_cast<int>(this->FaultRandom() %
                                  static_cast<std::uint64_t>(Max - Min));
  }

  /// Draws the same random numbers whatever the policy does, so that all
  /// policies get the same faults.
  void injectFaults(const EndpointName &Name) {
    bool Pauses = this->occurs(PauseChance);
    bool Crashes = this->occurs(CrashChance);
    // Short pauses are more common than long ones.
    int PauseSeconds = this->randomLength(1, this->randomLength(3, 60));
    int DowntimeSeconds = this->randomLength(60, 400);
    if (Crashes) {
      this->Cluster.kill(Name);
      this->ScheduledRecoveries.emplace(
          this->Second + DowntimeSeconds,
          [this, Name] { this->Cluster.restart(Name); });
    } else if (Pauses) {
      this->Cluster.pause(Name);
      this->ScheduledRecoveries.emplace(
          this->Second + PauseSeconds,
          [this, Name] { this->Cluster.resume(Name); });
    }
  }

  void pauseFabricDomain() {
    std::string Prefix =
        "engine-" + std::to_string(this->randomLength(1, 3)) + "-";
    for (const auto &[Name, Engine] : this->Cluster.Engines) {
      if (!Name.starts_with(Prefix))
        continue;
      this->Cluster.pause(Name);
      this->ScheduledRecoveries.emplace(
          this->Second + FabricLossSeconds,
          [this, Name = Name] { this->Cluster.resume(Name); });
    }
  }

  void recordSecond() {
    double Serving = this->Cluster.servingGroups();
    double Running = 0;
    for (const auto &[Name, Engine] : this->Cluster.Engines)
      Running += Engine.isRunning() ? 1 : 0;
    double Groups =
        static_cast<double>(this->Cluster.Engines.size()) / this->HostsPerGroup;
    this->GroupSeconds += Groups;
    this->GroupSecondsDown += Groups - Serving;
    this->EngineSeconds += Running;
    this->EngineSecondsStranded += Running - Serving * this->HostsPerGroup;
    for (const RosterGroup &Each :
         this->Cluster.entryHost("entry-1").Directory->roster().Groups)
      this->GroupNumbers.insert(Each.Number);
  }

  FleetCluster Cluster;
  std::mt19937_64 FaultRandom;
  std::uint32_t HostsPerGroup;
  int Second = 0;
  std::multimap<int, std::function<void()>> ScheduledRecoveries;
};

} // namespace

/// Measures all failure domains together.
static Measures measure(const Policy &Candidate, std::uint32_t HostsPerGroup,
                        std::uint64_t Seed) {
  double Down = 0;
  double Groups = 0;
  double Stranded = 0;
  double Engines = 0;
  double GroupNumbers = 0;
  for (int Domain = 0; Domain < FailureDomains; ++Domain) {
    Trial Each(Candidate, HostsPerGroup, Seed * FailureDomains + Domain);
    Each.run();
    Down += Each.GroupSecondsDown;
    Groups += Each.GroupSeconds;
    Stranded += Each.EngineSecondsStranded;
    Engines += Each.EngineSeconds;
    GroupNumbers += static_cast<double>(Each.GroupNumbers.size());
  }
  return {{Down / Groups, Stranded / Engines, GroupNumbers}};
}

static std::vector<Policy> policies() {
  PlannerOptions Baseline;
  Baseline.Formation = "announcement-order";
  Baseline.Repair = "fixed-timeout";
  Baseline.LossTimeout = Duration::zero();
  PlannerOptions DefaultOptions;
  std::vector<Policy> Result = {{"baseline", Baseline},
                                {"chosen", DefaultOptions}};
  auto AddVariant =
      [&Result](std::string Name, PlannerOptions Options,
                const std::function<void(PlannerOptions &)> &Change) {
        Change(Options);
        Result.push_back({std::move(Name), std::move(Options)});
      };
  AddVariant(
      "chosen, announcement-order", DefaultOptions,
      [](PlannerOptions &Each) { Each.Formation = "announcement-order"; });
  AddVariant("chosen, fixed-timeout", DefaultOptions,
             [](PlannerOptions &Each) { Each.Repair = "fixed-timeout"; });
  for (int Wait : {0, 5, 20, 40})
    AddVariant(
        "chosen, wait " + std::to_string(Wait) + " s", DefaultOptions,
        [Wait](PlannerOptions &Each) { Each.LossTimeout = seconds(Wait); });
  return Result;
}

namespace {

struct Row {
  std::array<std::vector<double>, Measures::Count> Sorted;

  [[nodiscard]] double median(std::size_t Measure) const {
    return this->Sorted.at(Measure).at(Seeds.size() / 2);
  }
};

} // namespace

static Row runAll(const Policy &Candidate, std::uint32_t HostsPerGroup) {
  Row Result;
  for (std::uint64_t Seed : Seeds) {
    Measures Measured = measure(Candidate, HostsPerGroup, Seed);
    for (std::size_t I = 0; I < Measures::Count; ++I)
      Result.Sorted.at(I).push_back(Measured.Values.at(I));
  }
  for (std::vector<double> &Each : Result.Sorted)
    std::ranges::sort(Each);
  return Result;
}

int main() {
  int Better = 0;
  int Worse = 0;
  int Compared = 0;
  for (std::uint32_t HostsPerGroup : {2U, 4U}) {
    std::printf("%u hosts per group, %zu seeds, median [range] (ratio)\n",
                HostsPerGroup, Seeds.size());
    Row Baseline;
    for (const Policy &Candidate : policies()) {
      Row Measured = runAll(Candidate, HostsPerGroup);
      if (Candidate.Name == "baseline")
        Baseline = Measured;
      std::printf("  %s\n", Candidate.Name.c_str());
      for (std::size_t I = 0; I < Measures::Count; ++I) {
        std::printf("    %-22s %9.4f [%9.4f %9.4f] (%.2f)\n",
                    Measures::Names.at(I), Measured.median(I),
                    Measured.Sorted.at(I).front(), Measured.Sorted.at(I).back(),
                    Measured.median(I) / Baseline.median(I));
        if (Candidate.Name != "chosen")
          continue;
        ++Compared;
        Better += Measured.median(I) < Baseline.median(I) ? 1 : 0;
        Worse += Measured.median(I) > Baseline.median(I) ? 1 : 0;
      }
      std::fflush(stdout);
    }
  }
  std::printf("bench groups: better=%d worse=%d of=%d\n", Better, Worse,
              Compared);
  return 0;
}
