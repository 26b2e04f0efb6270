//===- Benchmarks/BenchGroups.cpp - Group downtime and stranded hosts -----===//
///
/// \file
/// Runs the planner's policies through the same faults: three failure domains
/// of sixteen engines in two fabric domains each, engines that pause, die and
/// return, and a fabric domain that goes dark. For each measure it prints the
/// median over the seeds, the range, and the ratio to the baseline.
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
/// Chances of each engine in each second, in a million.
static constexpr std::uint32_t PauseChance = 1500;
static constexpr std::uint32_t DeathChance = 400;
/// Chance of each failure domain in each second, in a million.
static constexpr std::uint32_t DarkChance = 800;
static constexpr int DarkSeconds = 60;

namespace {

struct Policy {
  std::string Name;
  PlannerOptions Options;
};

/// Smaller is better for each of them.
struct Measures {
  static constexpr std::size_t Count = 3;
  static constexpr std::array<const char *, Count> Names = {
      "group downtime", "stranded accelerators", "new group lives"};
  std::array<double, Count> Values{};
};

/// One failure domain under faults that depend on the seed alone.
class Trial {
public:
  Trial(const Policy &Tried, std::uint32_t HostsPerGroup, std::uint64_t Seed)
      : Cluster({.Seed = Seed,
                 .FabricDomains = 2,
                 .EnginesPerFabric = 8,
                 .HostsPerGroup = HostsPerGroup,
                 .Planner = Tried.Options,
                 .RequestsPerSecond = 0,
                 .CheckInvariants = false}),
        Faults(Seed), HostsPerGroup(HostsPerGroup) {}

  void run() {
    this->Cluster.run(seconds(FormingSeconds));
    for (this->Second = 0; this->Second < SimulatedSeconds; ++this->Second) {
      for (const auto &[Name, Engine] : this->Cluster.Engines)
        this->strike(Name);
      if (this->chance(DarkChance))
        this->darken();
      while (!this->Due.empty() && this->Due.begin()->first <= this->Second)
        this->Due.extract(this->Due.begin()).mapped()();
      this->Cluster.run(seconds(1));
      this->count();
    }
  }

  double GroupSeconds = 0;
  double GroupSecondsDown = 0;
  double EngineSeconds = 0;
  double EngineSecondsStranded = 0;
  std::set<FencingNumber> Lives;

private:
  bool chance(std::uint32_t InAMillion) {
    return this->Faults() % 1000000 < InAMillion;
  }

  int length(int Least, int Most) {
    return Least + static_cast<int>(this->Faults() %
                                    static_cast<std::uint64_t>(Most - Least));
  }

  /// Draws the same numbers whatever the policy did, so that all policies meet
  /// the same faults.
  void strike(const EndpointName &Name) {
    bool Pauses = this->chance(PauseChance);
    bool Dies = this->chance(DeathChance);
    // Short pauses are more common than long ones.
    int Paused = this->length(1, this->length(3, 60));
    int Dead = this->length(60, 400);
    if (Dies) {
      this->Cluster.kill(Name);
      this->Due.emplace(this->Second + Dead,
                        [this, Name] { this->Cluster.restart(Name); });
    } else if (Pauses) {
      this->Cluster.pause(Name);
      this->Due.emplace(this->Second + Paused,
                        [this, Name] { this->Cluster.resume(Name); });
    }
  }

  void darken() {
    std::string Prefix = "engine-" + std::to_string(this->length(1, 3)) + "-";
    for (const auto &[Name, Engine] : this->Cluster.Engines) {
      if (!Name.starts_with(Prefix))
        continue;
      this->Cluster.pause(Name);
      this->Due.emplace(this->Second + DarkSeconds,
                        [this, Name = Name] { this->Cluster.resume(Name); });
    }
  }

  void count() {
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
      this->Lives.insert(Each.Number);
  }

  FleetCluster Cluster;
  std::mt19937_64 Faults;
  std::uint32_t HostsPerGroup;
  int Second = 0;
  std::multimap<int, std::function<void()>> Due;
};

} // namespace

/// All failure domains together.
static Measures measure(const Policy &Tried, std::uint32_t HostsPerGroup,
                        std::uint64_t Seed) {
  double Down = 0;
  double Groups = 0;
  double Stranded = 0;
  double Engines = 0;
  double Lives = 0;
  for (int Domain = 0; Domain < FailureDomains; ++Domain) {
    Trial Each(Tried, HostsPerGroup, Seed * FailureDomains + Domain);
    Each.run();
    Down += Each.GroupSecondsDown;
    Groups += Each.GroupSeconds;
    Stranded += Each.EngineSecondsStranded;
    Engines += Each.EngineSeconds;
    Lives += static_cast<double>(Each.Lives.size());
  }
  return {{Down / Groups, Stranded / Engines, Lives}};
}

static std::vector<Policy> policies() {
  PlannerOptions Baseline;
  Baseline.Formation = "announcement-order";
  Baseline.Repair = "fixed-timeout";
  Baseline.LossTimeout = Duration::zero();
  PlannerOptions Chosen;
  std::vector<Policy> Result = {{"baseline", Baseline}, {"chosen", Chosen}};
  auto Vary = [&Result](std::string Name, PlannerOptions Options,
                        const std::function<void(PlannerOptions &)> &How) {
    How(Options);
    Result.push_back({std::move(Name), std::move(Options)});
  };
  Vary("chosen, announcement-order", Chosen,
       [](PlannerOptions &Each) { Each.Formation = "announcement-order"; });
  Vary("chosen, fixed-timeout", Chosen,
       [](PlannerOptions &Each) { Each.Repair = "fixed-timeout"; });
  for (int Wait : {0, 5, 20, 40})
    Vary("chosen, wait " + std::to_string(Wait) + " s", Chosen,
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

static Row runAll(const Policy &Tried, std::uint32_t HostsPerGroup) {
  Row Result;
  for (std::uint64_t Seed : Seeds) {
    Measures Seen = measure(Tried, HostsPerGroup, Seed);
    for (std::size_t I = 0; I < Measures::Count; ++I)
      Result.Sorted.at(I).push_back(Seen.Values.at(I));
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
    for (const Policy &Tried : policies()) {
      Row Seen = runAll(Tried, HostsPerGroup);
      if (Tried.Name == "baseline")
        Baseline = Seen;
      std::printf("  %s\n", Tried.Name.c_str());
      for (std::size_t I = 0; I < Measures::Count; ++I) {
        std::printf("    %-22s %9.4f [%9.4f %9.4f] (%.2f)\n",
                    Measures::Names.at(I), Seen.median(I),
                    Seen.Sorted.at(I).front(), Seen.Sorted.at(I).back(),
                    Seen.median(I) / Baseline.median(I));
        if (Tried.Name != "chosen")
          continue;
        ++Compared;
        Better += Seen.median(I) < Baseline.median(I) ? 1 : 0;
        Worse += Seen.median(I) > Baseline.median(I) ? 1 : 0;
      }
      std::fflush(stdout);
    }
  }
  std::printf("bench groups: better=%d worse=%d of=%d\n", Better, Worse,
              Compared);
  return 0;
}
