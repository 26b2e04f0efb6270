//===- Soak/FaultPlan.h - What is done to a deployment, and when ----------===//
///
/// \file
/// A seed gives one list of faults: signals, losses, silent links and changes
/// of the catalog, single, in series and overlapping. It stays within what the
/// deployment promises to bear: one disk at most is lost.
///
//===----------------------------------------------------------------------===//

#ifndef SOAK_FAULTPLAN_H
#define SOAK_FAULTPLAN_H

#include <LibCore/Time.h>
#include <LibStandIn/LinkStandIn.h>
#include <cstdint>
#include <string>
#include <vector>

namespace carobhinge {

enum class FaultKind {
  /// SIGKILL, and a start soon after.
  Kill,
  /// As Kill, and the disk is gone.
  KillAndWipe,
  /// SIGTERM, and a start after the process has ended.
  Stop,
  /// SIGSTOP, and SIGCONT after a while.
  Freeze,
  /// What a host hears from its peers, or an entry host from its callers,
  /// passes a faulty link for a while.
  PeerLink,
  CallerLink,
  /// The same before an endpoint.
  EndpointLink,
  EndpointCrash,
  EndpointSlow,
  EndpointDrain,
  /// SIGHUP.
  Reload,
  /// The next version of the catalog.
  Change,
};

struct Fault {
  /// From the start of the run.
  Duration At{};
  FaultKind Kind = FaultKind::Kill;
  /// A host or an endpoint, by its number.
  std::size_t Target = 0;
  /// How long it lasts.
  Duration Length{};
  LinkMode Mode = LinkMode::Cut;
  Duration Delay{};
};

struct FaultPlanOptions {
  std::size_t ControlHosts = 3;
  std::size_t Hosts = 6;
  std::size_t Endpoints = 33;
  /// Faults begin in this time.
  Duration Length = std::chrono::seconds(12);
};

/// In order of time.
std::vector<Fault> planFaults(std::uint64_t Seed,
                              const FaultPlanOptions &Options);

/// For the record of a run.
std::string describe(const Fault &Each);

} // namespace carobhinge

#endif // SOAK_FAULTPLAN_H
