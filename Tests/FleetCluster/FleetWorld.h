//===- Tests/FleetCluster/FleetWorld.h - Fleet scenarios ------------------===//
///
/// \file
/// Implements the scenario language for the groups of one failure domain. WHO
/// is an engine (engine-1-2), an entry host (entry-1), `domain`, or `member-R`,
/// the member with rank R of the first group.
///
//===----------------------------------------------------------------------===//

#ifndef FLEETCLUSTER_FLEETWORLD_H
#define FLEETCLUSTER_FLEETWORLD_H

#include "FleetCluster.h"

#include <Scenario/World.h>

namespace carobhinge {

/// Verbs: kill, restart, pause, resume, leave, chill, freeze, thaw, cut OTHER,
/// heal, out, back, version NAME, remember. Expectations: `domain expect
/// serving=N`, `domain expect started=more|same` (requests since `remember`),
/// `domain expect same-groups` and `NAME expect group=none|some`.
class FleetWorld : public scenario::World {
public:
  FleetWorld(std::uint64_t Seed, bool ChecksFencing)
      : Cluster({.Seed = Seed,
                 .EnginesPerFabric = 5,
                 .ChecksFencing = ChecksFencing,
                 .RequestsPerSecond = 20}) {}

  [[nodiscard]] std::span<const std::string_view> verbs() const override;
  void advance(Duration Passed) override;
  void execute(const scenario::Step &Action) override;
  std::optional<std::string>
  expectationFailure(const scenario::Step &Expectation) override;
  std::optional<std::string> brokenInvariant() override;

private:
  void actOnDomain(const scenario::Step &Action);
  void actOnEntryHost(const scenario::Step &Action);
  void actOnEngine(const scenario::Step &Action);
  std::optional<std::string> unmetDomain(const scenario::Step &Expectation);
  EndpointName engineOf(const std::string &Subject);
  std::vector<RosterGroup> groups();

  FleetCluster Cluster;
  /// Time that the cluster has not advanced yet; less than a tick.
  Duration Pending{};
  /// The engines that `member-R` names referred to when first used; the names
  /// keep referring to them.
  std::map<std::string, EndpointName> MemberEngines;
  std::vector<RosterGroup> Remembered;
  std::uint64_t RememberedRequests = 0;
};

} // namespace carobhinge

#endif // FLEETCLUSTER_FLEETWORLD_H
