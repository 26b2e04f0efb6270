//===- Soak/FaultPlan.h - Seeded plans of faults in a deployment ----------===//
///
/// \file
/// Generates a list of faults from a seed: signals, disk losses, faulty links
/// and catalog changes, single, in series and overlapping. The plan stays
/// within the fault tolerance of the deployment: at most one disk is lost.
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
  /// SIGKILL, then a restart after a short pause.
  Kill,
  /// As Kill, and the disk is lost.
  KillAndWipe,
  /// SIGTERM, then a restart after the process has ended.
  Stop,
  /// SIGSTOP, then SIGCONT after the length of the fault.
  Freeze,
  /// The connections from a host's peers, or from an entry host's callers, pass
  /// a faulty link.
  PeerLink,
  CallerLink,
  /// The connections to an endpoint pass a faulty link.
  EndpointLink,
  EndpointCrash,
  EndpointSlow,
  EndpointDrain,
  /// SIGHUP.
  Reload,
  /// Publication of the next catalog version.
  CatalogChange,
  /// A caller sends prompts with a part that crashes engines.
  CrashingPrompt,
  /// Engines name a limit of requests in a second.
  RequestLimit,
  /// Endpoints turn requests away and ask for a pause.
  RequestedPause,
  /// An endpoint says that it leaves in its answers only.
  EndpointLeaving,
};

struct Fault {
  /// Relative to the start of the run.
  Duration StartTime{};
  FaultKind Kind = FaultKind::Kill;
  /// Index of a host or an endpoint, depending on Kind. Unused by a catalog
  /// change.
  std::size_t Target = 0;
  /// Time until the fault ends. Unused by kinds that end in other ways.
  Duration Length{};
  /// Mode and delay of link faults.
  LinkMode Mode = LinkMode::Cut;
  Duration Delay{};
};

struct FaultPlanOptions {
  std::size_t ControlHosts = 3;
  std::size_t Hosts = 6;
  std::size_t Endpoints = 33;
  /// The first fault of each series starts within this time of the run's start.
  Duration StartWindow = std::chrono::seconds(12);
};

/// Returns the faults in order of their start. Equal seeds and options give
/// equal plans.
std::vector<Fault> planFaults(std::uint64_t Seed,
                              const FaultPlanOptions &Options);

/// Returns one line on \p Each for the output of a run.
std::string describe(const Fault &Each);

} // namespace carobhinge

#endif // SOAK_FAULTPLAN_H
