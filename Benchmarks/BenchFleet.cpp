//===- Benchmarks/BenchFleet.cpp - Cost of directory and planner ----------===//
///
/// \file
/// Measures nanoseconds and bytes per endpoint of the directory and the planner
/// at 50, 1,000 and 10,000 endpoints of one failure domain, and prints the
/// slope.
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

static Announcement makeAnnouncement(std::uint32_t Index,
                                     std::uint64_t Sequence) {
  Announcement NewAnnouncement;
  NewAnnouncement.Endpoint = "engine-" + std::to_string(Index);
  NewAnnouncement.Host = "host-" + std::to_string(Index);
  NewAnnouncement.FailureDomain = "tanta-a";
  NewAnnouncement.FabricDomain = "fabric-" + std::to_string(Index / 16);
  NewAnnouncement.Service = "sheets";
  NewAnnouncement.Version = "v1";
  NewAnnouncement.Address = "10.0.0.1:" + std::to_string(Index);
  NewAnnouncement.IncarnationNumber = 1;
  NewAnnouncement.Sequence = Sequence;
  NewAnnouncement.State = Readiness::Ready;
  NewAnnouncement.ChecksFencing = true;
  NewAnnouncement.BatchLimit = 16;
  std::uint32_t Group = Index / HostsPerGroup;
  NewAnnouncement.Position = {.Group = "sheets-" + std::to_string(Group),
                              .Number = Group + 1,
                              .Rank = Index % HostsPerGroup,
                              .Size = HostsPerGroup};
  return NewAnnouncement;
}

static double nanosecondsSince(TimePoint Start, double Count) {
  return static_cast<double>((monotonicNow() - Start).count()) / Count;
}

namespace {

struct Cost {
  double AnnounceNanoseconds = 0;
  /// Time of targets() of the directory or plan() of the planner, per endpoint.
  double DecideNanoseconds = 0;
  double Bytes = 0;
};

} // namespace

/// \p Announce and \p Decide get a simulated time that advances one second per
/// round.
template <class AnnounceFunction, class DecideFunction>
static Cost measure(std::uint32_t Size, AnnounceFunction Announce,
                    DecideFunction Decide) {
  Cost Result;
  std::size_t BytesBefore = mallinfo2().uordblks;
  TimePoint Now(seconds(1000));
  for (int Round = 1; Round <= Rounds; ++Round) {
    Now += seconds(1);
    std::vector<Announcement> Announcements;
    Announcements.reserve(Size);
    for (std::uint32_t I = 0; I < Size; ++I)
      Announcements.push_back(makeAnnouncement(I, Round));
    TimePoint Start = monotonicNow();
    for (const Announcement &Each : Announcements)
      Announce(Now, Each);
    Result.AnnounceNanoseconds += nanosecondsSince(Start, Size) / Rounds;
    Start = monotonicNow();
    Decide(Now);
    Result.DecideNanoseconds += nanosecondsSince(Start, Size) / Rounds;
  }
  Result.Bytes = static_cast<double>(mallinfo2().uordblks - BytesBefore) / Size;
  return Result;
}

static void print(const char *Name, const std::array<Cost, 3> &Costs) {
  for (std::size_t I = 0; I < Sizes.size(); ++I)
    std::printf("%s endpoints=%u announced=%.0f ns decided=%.0f ns bytes=%.0f "
                "(per endpoint)\n",
                Name, Sizes.at(I), Costs.at(I).AnnounceNanoseconds,
                Costs.at(I).DecideNanoseconds, Costs.at(I).Bytes);
  double AddedEndpoints = Sizes[2] - Sizes[0];
  double AddedNanoseconds = Costs[2].DecideNanoseconds * Sizes[2] -
                            Costs[0].DecideNanoseconds * Sizes[0];
  double Bytes = Costs[2].Bytes * Sizes[2] - Costs[0].Bytes * Sizes[0];
  std::printf("%s slope: %.0f ns and %.0f bytes for each further endpoint\n",
              Name, AddedNanoseconds / AddedEndpoints, Bytes / AddedEndpoints);
}

int main() {
  FleetIntent Intent;
  Intent.Services["sheets"] = {.HostsPerGroup = HostsPerGroup, .Version = "v1"};
  std::array<Cost, 3> DirectoryCosts;
  std::array<Cost, 3> PlannerCosts;
  for (std::size_t I = 0; I < Sizes.size(); ++I) {
    PlannerOptions Options{.FailureDomain = "tanta-a"};
    GroupPlanner Planner(Options);
    Planner.applyIntent(Intent);
    Planner.handleGrant(TimePoint(seconds(1000)), 1, {});
    PlannerCosts.at(I) = measure(
        Sizes.at(I),
        [&](TimePoint Now, const Announcement &NewAnnouncement) {
          Planner.handleAnnouncement(Now, NewAnnouncement, Duration::zero());
          Planner.recordGrantConfirmation(Now);
        },
        [&](TimePoint Now) { Planner.plan(Now); });
    EndpointDirectory Directory({.Self = "entry-1",
                                 .FailureDomain = "tanta-a",
                                 .EntryHosts = {"entry-1", "entry-2"}});
    Directory.applyIntent(Intent);
    Directory.updateRoster(Planner.roster());
    DirectoryCosts.at(I) = measure(
        Sizes.at(I),
        [&](TimePoint Now, const Announcement &NewAnnouncement) {
          Directory.handleAnnouncement(Now, NewAnnouncement, Duration::zero());
        },
        [&](TimePoint Now) {
          Directory.tick(Now);
          if (Directory.targets(Now, "sheets").empty())
            std::printf("no targets: the measurement is void\n");
        });
  }
  print("directory", DirectoryCosts);
  print("planner", PlannerCosts);
  return 0;
}
