//===- LibEntry/StallRule.h - Groups that accept requests and stand still -===//
///
/// \file
/// A group that has lost a member accepts requests and sends nothing. A slow
/// group sends nothing for a while either, and each stream that is given up
/// there is work lost. So silence is a doubt only: new requests prefer other
/// groups of the model. A stream that waits too long for the patience of its
/// caller, or whose group the control hosts call stalled, gets a standby: a
/// second attempt beside it. Any other one waits for its engine.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_STALLRULE_H
#define LIBENTRY_STALLRULE_H

#include <LibCore/Time.h>
#include <span>

namespace carobhinge {

/// \returns whether new requests should prefer other targets to one that has
/// been silent for \p Silence. \p Limit is the shortest silence that counts;
/// \p UsualTimes are the usual times between two events, or until the first
/// one, at the other targets of its model.
bool isDoubtedBySilence(Duration Silence, Duration Limit,
                        std::span<const Duration> UsualTimes);

/// \returns the silence after which callers give up a stream.
Duration callerPatience(Duration Objective, Duration PauseObjective);

/// What decides whether a second attempt starts beside the one in progress.
struct StandbyFacts {
  /// The time for which no event has come from the target of the first one.
  Duration Silence{};
  /// The control hosts say that its group has lost a member.
  bool IsStalled = false;
  /// The route's streams may be resumed elsewhere.
  bool IsResumable = false;
  /// Endpoints that may have run the request, with this one; the most that may.
  int PossibleRuns = 1;
  int EndpointsPerRequest = 1;
  Duration RemainingTime{};
  /// The time in which the first event should arrive, and the longest pause
  /// between two of them.
  Duration Objective{};
  Duration PauseObjective{};
  /// The prompt is not refused, held back or suspected of crashing engines.
  bool IsPromptSound = true;
};

/// \returns whether a standby should start, if there are a place for it and a
/// retry in the budget.
bool shouldStartStandby(const StandbyFacts &Facts);

} // namespace carobhinge

#endif // LIBENTRY_STALLRULE_H
