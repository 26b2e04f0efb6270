//===- LibControl/PromptRefusals.h - Evidence on crashes of all hosts -----===//
///
/// \file
/// Merges what the entry hosts report on crashed engines at the leading control
/// host, and derives the next change of the refused prompts. The refusals
/// themselves are part of the replicated state.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_PROMPTREFUSALS_H
#define LIBCONTROL_PROMPTREFUSALS_H

#include <LibCatalog/Register.pb.h>
#include <LibControl/Control.pb.h>
#include <LibRouting/CrashAttribution.h>
#include <LibRouting/EngineEndEvidence.h>
#include <LibRouting/RefusalTrials.h>
#include <map>
#include <optional>
#include <string_view>

namespace carobhinge {

/// The parts of the prompts that \p Refusal is about, for logs and operators.
std::string formatParts(const message::PromptRefusalMessage &Refusal);

class PromptRefusals {
public:
  /// Records the evidence in a pulse of an entry host.
  void recordPulse(TimePoint Now, const message::PulseCall &Call);
  /// An engine answered this control host.
  void recordEngineAnswer(const EngineAnswer &Answer);
  /// What is known of the engines that are reported as crashed.
  [[nodiscard]] EngineEndEvidence &endEvidence() { return this->EndEvidence; }
  /// The engine sent an event at \p At.
  void recordProgress(const EndpointName &Engine, TimePoint At);
  /// Adopts the refusals of the replicated state.
  void setState(TimePoint Now, const message::RegisterState &State);

  /// \returns the command for the next change that the evidence justifies.
  [[nodiscard]] std::optional<message::RegisterCommand>
  nextCommand(TimePoint Now);
  /// Updates suspects(), not too often, since every entry host gets them.
  /// \returns whether they changed.
  bool updateSuspects(TimePoint Now);
  [[nodiscard]] const SuspectParts &suspects() const { return this->Suspects; }
  /// Increases with each change of suspects().
  [[nodiscard]] std::uint64_t suspectRevision() const {
    return this->SuspectRevision;
  }
  /// Adds a permit to try a refused prompt, if one is due.
  void fillTrial(TimePoint Now, message::PulseResult &Result);
  /// Losses that did not count as crashes, or count no longer.
  [[nodiscard]] std::uint64_t disproved() const { return this->Disproved; }

private:
  [[nodiscard]] bool isQuiet(TimePoint Now) const;
  void recordEvidence(TimePoint Now);

  /// Logs that the loss of \p Engine at \p At is no crash. Once: several hosts
  /// report it, each until a majority has confirmed the leader.
  void recordDisproved(const EndpointName &Engine, TimePoint At,
                       std::string_view Reason);

  EngineEndEvidence EndEvidence;
  std::uint64_t Disproved = 0;
  /// The last ones, by engine.
  std::map<EndpointName, TimePoint> DisprovedAt;
  CrashAttribution Attribution;
  RefusalTrials Trials;
  SuspectParts Suspects;
  std::uint64_t SuspectRevision = 0;
  TimePoint NextSuspectsAt;
  TimePoint NextDecisionAt;
  /// Evidence changes what follows from it for some time after it came.
  TimePoint LastEvidenceAt;
};

} // namespace carobhinge

#endif // LIBCONTROL_PROMPTREFUSALS_H
