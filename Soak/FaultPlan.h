//===- Soak/FaultPlan.h - Seeded plans of faults in a deployment ----------===//
///
/// \file
/// Generates a list of faults from a seed: signals, disk losses, faulty links
/// and catalog changes, single, in series and overlapping. The plan stays
/// within the fault tolerance of the deployment: at most one disk is lost, at
/// most one is full at a time, and the two are the same disk.
///
//===----------------------------------------------------------------------===//

#ifndef SOAK_FAULTPLAN_H
#define SOAK_FAULTPLAN_H

#include <LibCore/Time.h>
#include <LibStandIn/BrokenAnswer.h>
#include <LibStandIn/LinkStandIn.h>
#include <PlatformWorld/EndpointSimulator.h>
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
  /// The answers of an endpoint never end.
  EndlessAnswers,
  /// A caller's request to a host never ends.
  EndlessRequest,
  /// Many callers hold a body that lacks its last byte.
  HeldBodies,
  /// All connections of a host are closed at the same moment.
  ConnectionReset,
  /// A host is cut off from its peers, callers and endpoints.
  HostCut,
  /// A host gets a fraction of its processor time.
  HostSlow,
  /// SIGTERM to all hosts one second after a catalog change; each restarts
  /// once it has ended.
  RestartAll,
  /// Several catalog changes in quick succession.
  ChangeSeries,
  /// The disk of a control host is full.
  DiskFull,
  /// Endpoints stand still and go on; see SilenceScope.
  EndpointSilence,
  /// The answers of an endpoint are none.
  BrokenAnswers,
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
  /// Which endpoints fall silent.
  SilenceScope Scope = SilenceScope::Alone;
  /// Index of the form of bytes without end, or of broken answers.
  std::size_t Form = 0;
  AfterBrokenAnswer After = AfterBrokenAnswer::Close;
};

struct FaultPlanOptions {
  std::size_t ControlHosts = 3;
  std::size_t Hosts = 6;
  std::size_t Endpoints = 33;
  /// The first fault of each series starts within this time of the run's start.
  Duration StartWindow = std::chrono::seconds(12);
  /// Leaves out peers that send without end.
  bool WithoutEndless = false;
};

/// Returns the faults in order of their start. Equal seeds and options give
/// equal plans. The kinds from EndlessAnswers on are drawn apart, DiskFull
/// again, EndpointSilence with what overlaps it once more, and so is
/// BrokenAnswers, so that the others of a seed do not depend on them.
std::vector<Fault> planFaults(std::uint64_t Seed,
                              const FaultPlanOptions &Options);

/// Returns one line on \p Each for the output of a run.
std::string describe(const Fault &Each);

} // namespace carobhinge

#endif // SOAK_FAULTPLAN_H
