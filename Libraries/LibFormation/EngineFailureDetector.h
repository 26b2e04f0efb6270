//===- LibFormation/EngineFailureDetector.h - Detects lost engines --------===//
///
/// \file
/// Detects lost engines. An overdue heartbeat, or entry hosts whose streams
/// from the engine's group have stalled, lead to a probe of the engine. An
/// engine that doesn't answer the probe is lost, unless its group still makes
/// progress: then only the control hosts can't reach it.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFORMATION_ENGINEFAILUREDETECTOR_H
#define LIBFORMATION_ENGINEFAILUREDETECTOR_H

#include <LibFormation/EngineRegistry.h>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace carobhinge {

/// Timeouts and intervals of the failure detector.
struct EngineFailureDetectorOptions {
  /// Interval between two heartbeats of an engine.
  Duration ReportInterval = std::chrono::milliseconds(1200);
  /// Time after ReportInterval until an engine is probed. Heartbeats are sent
  /// with some jitter and forwarded in batches.
  Duration ReportMargin = std::chrono::milliseconds(400);
  /// Time after which an unanswered probe has failed. A running engine answers
  /// within a few milliseconds.
  Duration ProbeTimeout = std::chrono::milliseconds(200);
  /// Shortest interval between two probes of an engine that answers.
  Duration ProbeInterval = std::chrono::milliseconds(600);
  /// Shortest interval between two probes of an engine that didn't answer. It
  /// is longer because the next heartbeat shows sooner that the engine has
  /// recovered, and because a whole failure domain may be unreachable.
  Duration LostProbeInterval = std::chrono::milliseconds(2000);
  /// Longest time that a group stays suspect after a stall was reported. By
  /// then the probes of its members have been answered or have failed.
  Duration SuspicionTimeout = std::chrono::milliseconds(700);
  /// A group counts as complete if its last event is more recent than this and
  /// no stall was reported since. Entry hosts report twice a second.
  Duration MaxProgressAge = std::chrono::milliseconds(1000);
};

/// Decides which engines to probe and which are lost.
class EngineFailureDetector {
public:
  /// \p Engines must outlive the detector.
  EngineFailureDetector(EngineFailureDetectorOptions Options,
                        const EngineRegistry &Engines)
      : Options(Options), Engines(Engines) {}

  /// An entry host received an event at \p EventAt from the group with the
  /// member list of \p Epoch.
  void recordProgress(const GroupName &Group, std::uint64_t Epoch,
                      TimePoint EventAt);
  /// An entry host reported that a stream from the group has stalled.
  void recordStall(TimePoint Now, const GroupName &Group);

  /// \returns whether a stall of the group was reported and no event has
  /// arrived since. A suspect group gets no further requests until the probes
  /// are resolved.
  [[nodiscard]] bool isSuspect(TimePoint Now, const GroupName &Group) const;

  /// \returns the engines to probe now. The caller reports the outcome of each
  /// probe by probeAnswered(), probeFailed() or probeSkipped().
  [[nodiscard]] std::vector<EndpointName> enginesToProbe(TimePoint Now);
  void probeAnswered(TimePoint Now, const EndpointName &Id);
  void probeFailed(TimePoint Now, const EndpointName &Id);
  /// The engine was not probed, which says nothing about it.
  void probeSkipped(const EndpointName &Id);

  /// \returns the engines that are considered lost at \p Now.
  [[nodiscard]] std::set<EndpointName> lostEngines(TimePoint Now);

private:
  /// State of the probes of one engine.
  struct Probe {
    /// When the last probe was sent.
    TimePoint SentAt;
    bool Waiting = false;
    /// When a probe failed, if no report has arrived since.
    std::optional<TimePoint> FailedAt;
  };

  /// The newest event from a group.
  struct Progress {
    std::uint64_t Epoch = 0;
    TimePoint EventAt;
  };

  /// \returns whether the group of the engine makes progress with this engine.
  [[nodiscard]] bool hasRecentProgress(TimePoint Now,
                                       const EngineRecord &Record) const;

  EngineFailureDetectorOptions Options;
  const EngineRegistry &Engines;
  std::map<EndpointName, Probe> Probes;
  std::map<GroupName, Progress> LastProgress;
  /// When a stall of each group was last reported.
  std::map<GroupName, TimePoint> LastStall;
};

} // namespace carobhinge

#endif // LIBFORMATION_ENGINEFAILUREDETECTOR_H
