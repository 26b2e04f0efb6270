//===- LibFormation/EngineFailureDetector.h - Detects lost engines --------===//
///
/// \file
/// Detects lost engines. An overdue heartbeat, or entry hosts whose streams
/// from the engine's group have stalled, lead to a probe of the engine. One
/// that refuses the connection is lost at once. One that doesn't answer is in
/// doubt: it is probed again, and is lost once it was silent for EndingSilence.
/// A report, an answer or progress of its group ends the doubt. A refusal is
/// taken back only by an answer to a later probe or by a report of another
/// life: reports may arrive after the end of their sender, and lead to a probe
/// at once.
///
/// Silence is evidence only while this process can hear. Time in which it
/// stood still doesn't count, and silence of most engines at once is more
/// likely that of the links of this host, so that it has to last longer.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFORMATION_ENGINEFAILUREDETECTOR_H
#define LIBFORMATION_ENGINEFAILUREDETECTOR_H

#include <LibCore/Silence.h>
#include <LibFormation/EngineRegistry.h>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace carobhinge {

/// Timeouts and intervals of the failure detector.
struct EngineFailureDetectorOptions {
  /// Interval between two heartbeats of an engine.
  Duration ReportInterval = std::chrono::milliseconds(1200);
  /// Time after ReportInterval until an engine is probed. Heartbeats are sent
  /// with some jitter and forwarded in batches.
  Duration ReportMargin = std::chrono::milliseconds(400);
  /// Time after which a probe has no answer. A running engine answers within a
  /// few milliseconds.
  Duration ProbeTimeout = SilenceMargin;
  /// Shortest interval between two probes of an engine that isn't lost, except
  /// that a doubt is resolved by a probe MaxSoundSilence after its start.
  Duration ProbeInterval = std::chrono::milliseconds(600);
  /// Shortest interval between two probes of a lost engine. It is longer
  /// because the next heartbeat shows sooner that the engine has recovered, and
  /// because a whole failure domain may be unreachable.
  Duration LostProbeInterval = std::chrono::milliseconds(2000);
  /// Time that a group stays suspect after a stall was reported, if no member
  /// is in doubt. By then the first probes of all members have ended.
  Duration SuspicionTimeout = std::chrono::milliseconds(700);
  /// A group counts as complete if its last event is more recent than this and
  /// no stall was reported since. Entry hosts report twice a second.
  Duration MaxProgressAge = std::chrono::milliseconds(1000);
  /// A longer pause between two calls of the detector is time in which this
  /// process stood still. It is called ten times a second.
  Duration MaxCallInterval = std::chrono::milliseconds(300);
  /// Silence after which an engine is lost while more than half of the engines
  /// are silent.
  Duration CommonEndingSilence = 2 * EndingSilence;
};

/// Why an engine is lost.
enum class LossReason {
  /// Nothing listens at its address.
  Refused,
  /// It was silent for too long.
  Silent,
};

/// What an engine was last heard by.
enum class SignOfLife { Report, Answer, Progress };

/// \returns names for logs and metrics, such as "refused" and "report".
[[nodiscard]] std::string_view lossReasonName(LossReason Reason);
[[nodiscard]] std::string_view signOfLifeName(SignOfLife Sign);

/// The evidence that an engine has ended.
struct EngineLoss {
  LossReason Reason = LossReason::Silent;
  /// When the refused probe, or the first of the unanswered ones, was sent.
  TimePoint Since;
  TimePoint HeardAt;
  SignOfLife HeardBy = SignOfLife::Report;
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
  /// probe by one of the four functions below.
  [[nodiscard]] std::vector<EndpointName> enginesToProbe(TimePoint Now);
  void probeAnswered(TimePoint Now, const EndpointName &Id);
  /// The connection was refused.
  void probeRefused(TimePoint Now, const EndpointName &Id);
  /// The probe timed out, or its connection was lost after it had been made: an
  /// engine over its limit of connections resets them too.
  void probeUnanswered(TimePoint Now, const EndpointName &Id);
  /// The engine was not probed, or sent bytes that are no answer, which says
  /// nothing about it.
  void probeSkipped(const EndpointName &Id);

  /// \returns the engines that are considered lost at \p Now.
  [[nodiscard]] std::map<EndpointName, EngineLoss> lostEngines(TimePoint Now);

private:
  /// What is known of one engine beside its reports.
  struct Contact {
    /// When the last probe was sent, and the life reported by then.
    TimePoint AskedAt;
    std::int64_t AskedLife = 0;
    bool Waiting = false;
    /// This process stood still while the probe was waiting.
    bool Void = false;
    TimePoint AnsweredAt;
    /// When the first and the last of the unanswered probes were sent since the
    /// engine was last heard.
    std::optional<TimePoint> SilentSince;
    TimePoint LastUnansweredAt;
    std::optional<EngineLoss> Loss;
  };

  /// The newest event from a group.
  struct Progress {
    std::uint64_t Epoch = 0;
    TimePoint EventAt;
  };

  /// \returns whether the group of the engine makes progress with this engine.
  [[nodiscard]] bool hasRecentProgress(TimePoint Now,
                                       const EngineRecord &Record) const;
  /// \returns when and by what the engine was last heard.
  [[nodiscard]] std::pair<TimePoint, SignOfLife>
  lastHeard(const EngineRecord &Record, const Contact &State) const;
  [[nodiscard]] static bool isRefused(const Contact &State);
  /// Ends the doubt about an engine that was heard since.
  void update(const EngineRecord &Record, Contact &State) const;
  /// Takes the time in which this process stood still off all silences.
  void recordCall(TimePoint Now);

  EngineFailureDetectorOptions Options;
  const EngineRegistry &Engines;
  std::map<EndpointName, Contact> Contacts;
  std::optional<TimePoint> LastCallAt;
  std::map<GroupName, Progress> LastProgress;
  /// When a stall of each group was last reported.
  std::map<GroupName, TimePoint> LastStall;
};

} // namespace carobhinge

#endif // LIBFORMATION_ENGINEFAILUREDETECTOR_H
