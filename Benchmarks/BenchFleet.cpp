//===- Benchmarks/BenchFleet.cpp - Cost of the fleet's decisions ----------===//
///
/// \file
/// Nanoseconds and bytes per endpoint of the directory and of the planner at
/// 50, 1,000 and 10,000 endpoints of one failure domain, with the slope.
///
//===----------------------------------------------------------------------===//

#include <LibFleet/EndpointDirectory.h>
#include <LibFleet/GroupPlanner.h>
#include <array>
#include <cstdio>
#include <malloc.h>

using namespace carobhinge;
using std::chrono::seconds;

static constexpr std::array<std::uint32_t, 3> Sizes = {50, 1000, 10000};
static constexpr int Rounds = 20;
static constexpr std::uint32_t HostsPerGroup = 2;

static Announcement announcementOf(std::uint32_t Index,
                                   std::uint64_t Sequence) {
  Announcement Said;
  Said.Endpoint = "engine-" + std::to_string(Index);
  Said.Host = "host-" + std::to_string(Index);
  Said.FailureDomain = "tanta-a";
  Said.FabricDomain = "fabric-" + std::to_string(Index / 16);
  Said.Service = "sheets";
  Said.Version = "v1";
  Said.Address = "10.0.0.1:" + std::to_string(Index);
  Said.IncarnationNumber = 1;
  Said.Sequence = Sequence;
  Said.State = Readiness::Ready;
  Said.ChecksFencing = true;
  Said.BatchLimit = 16;
  std::uint32_t Group = Index / HostsPerGroup;
  Said.Position = {.Group = "sheets-" + std::to_string(Group),
                   .Number = Group + 1,
                   .Rank = Index % HostsPerGroup,
                   .Size = HostsPerGroup};
  return Said;
}

static double nanosecondsSince(TimePoint Start, double Count) {
  return static_cast<double>((monotonicNow() - Start).count()) / Count;
}

namespace {

struct Cost {
  double Announced = 0;
  /// targets() of the directory or plan() of the planner.
  double Decided = 0;
  double Bytes = 0;
};

} // namespace

/// \p Hear and \p Decide get a hand-turned time that moves a second a round.
template <class Hear, class Decide>
static Cost measure(std::uint32_t Size, Hear Take, Decide Do) {
  Cost Result;
  std::size_t Before = mallinfo2().uordblks;
  TimePoint Now(seconds(1000));
  for (int Round = 1; Round <= Rounds; ++Round) {
    Now += seconds(1);
    std::vector<Announcement> Made;
    Made.reserve(Size);
    for (std::uint32_t I = 0; I < Size; ++I)
      Made.push_back(announcementOf(I, Round));
    TimePoint Start = monotonicNow();
    for (const Announcement &Each : Made)
      Take(Now, Each);
    Result.Announced += nanosecondsSince(Start, Size) / Rounds;
    Start = monotonicNow();
    Do(Now);
    Result.Decided += nanosecondsSince(Start, Size) / Rounds;
  }
  Result.Bytes = static_cast<double>(mallinfo2().uordblks - Before) / Size;
  return Result;
}

static void print(const char *Name, const std::array<Cost, 3> &Costs) {
  for (std::size_t I = 0; I < Sizes.size(); ++I)
    std::printf("%s endpoints=%u announced=%.0f ns decided=%.0f ns bytes=%.0f "
                "(per endpoint)\n",
                Name, Sizes.at(I), Costs.at(I).Announced, Costs.at(I).Decided,
                Costs.at(I).Bytes);
  double Span = Sizes[2] - Sizes[0];
  double Rise = Costs[2].Decided * Sizes[2] - Costs[0].Decided * Sizes[0];
  double Bytes = Costs[2].Bytes * Sizes[2] - Costs[0].Bytes * Sizes[0];
  std::printf("%s slope: %.0f ns and %.0f bytes for each further endpoint\n",
              Name, Rise / Span, Bytes / Span);
}

int main() {
  FleetIntent Intent;
  Intent.Services["sheets"] = {.HostsPerGroup = HostsPerGroup, .Version = "v1"};
  std::array<Cost, 3> OfDirectory;
  std::array<Cost, 3> OfPlanner;
  for (std::size_t I = 0; I < Sizes.size(); ++I) {
    PlannerOptions Options{.FailureDomain = "tanta-a"};
    GroupPlanner Planner(Options);
    Planner.intentChanged(Intent);
    Planner.granted(TimePoint(seconds(1000)), 1, {});
    OfPlanner.at(I) = measure(
        Sizes.at(I),
        [&](TimePoint Now, const Announcement &Said) {
          Planner.announced(Now, Said, Duration::zero());
          Planner.confirmed(Now);
        },
        [&](TimePoint Now) { Planner.plan(Now); });
    EndpointDirectory Directory({.Self = "entry-1",
                                 .FailureDomain = "tanta-a",
                                 .EntryHosts = {"entry-1", "entry-2"}});
    Directory.intentChanged(Intent);
    Directory.updateRoster(Planner.roster());
    OfDirectory.at(I) = measure(
        Sizes.at(I),
        [&](TimePoint Now, const Announcement &Said) {
          Directory.announced(Now, Said, Duration::zero());
        },
        [&](TimePoint Now) {
          Directory.tick(Now);
          if (Directory.targets(Now, "sheets").empty())
            std::printf("no targets: the measurement is void\n");
        });
  }
  print("directory", OfDirectory);
  print("planner", OfPlanner);
  return 0;
}
