//===- LibRouting/TargetTable.h - State of all targets --------------------===//
///
/// \file
/// Tracks, for each target, the slots that this entry host uses and its health,
/// and maintains a list of the targets with a free slot. Except for replace(),
/// each operation costs the same with ten targets as with ten thousand.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_TARGETTABLE_H
#define LIBROUTING_TARGETTABLE_H

#include <LibFleet/Target.h>
#include <LibRouting/RequestPacer.h>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carobhinge {

using TargetIndex = std::uint32_t;

/// A target's response times compared with those of its peers.
struct TargetHealth {
  /// Smoothed natural logarithm of (time to first byte / mean of the peers).
  double Slowness = 0;
  std::uint32_t Samples = 0;
  bool Straggler = false;
};

struct TargetState {
  Target Info;
  /// Requests dispatched to the target that have not finished. Adding one never
  /// exceeds SlotLimit, but it may be above after the limit was lowered.
  std::uint32_t Outstanding = 0;
  /// Requests in the last load report beyond Outstanding at that time, that is,
  /// the work of other entry hosts. Valid while the report is fresh.
  std::uint32_t RemoteOutstanding = 0;
  TargetHealth Health;
  /// Failures since the last success.
  std::uint32_t Failures = 0;
  /// No requests are sent before this time.
  TimePoint BackoffUntil;
  bool BackingOff = false;
  /// The back-off is a pause that the target asked for; its slots don't count
  /// as usable.
  bool Paused = false;
  /// Spaces the requests to a target that names a limit.
  RequestPacer Pacer;
  /// This host has no share of the target's limit.
  bool Excluded = false;
  /// Closed until Pacer allows the next request.
  bool Pausing = false;
  /// No longer listed; the entry stays until its last request has finished.
  bool Delisted = false;
  /// Index into the list of open targets, or npos.
  std::size_t OpenPosition = std::string::npos;
  /// This target's contributions to usableSlots() and requestsPerSecond().
  std::uint32_t CountedSlots = 0;
  std::uint32_t CountedLimitedSlots = 0;
  double CountedRate = 0;
};

class TargetTable {
public:
  /// Replaces the list of targets. A target with a listed name and another
  /// incarnation is a different target.
  void replace(std::span<const Target> Targets);
  void reportLoad(std::string_view Name, Incarnation TargetIncarnation,
                  const ReportedLoad &Load);

  /// Sets the requests in a second that this host may send to the target; 0:
  /// none; nothing: unlimited. \p Phase is that of RequestPacer.
  void setRate(TimePoint Now, TargetIndex Index, std::optional<double> Rate,
               double Phase);

  void acquireSlot(TimePoint Now, TargetIndex Index);
  void releaseSlot(TargetIndex Index);

  /// Sends no requests to the target before \p EndsAt.
  void backOffUntil(TargetIndex Index, TimePoint EndsAt);
  /// As backOffUntil(), because the target asked for it.
  void pauseUntil(TargetIndex Index, TimePoint EndsAt);
  void endBackOff(TargetIndex Index);
  /// The first end of a pause that a target asked for.
  [[nodiscard]] std::optional<TimePoint> firstPauseEnd() const;
  /// True if one more target in back-off would make them more than half of all
  /// targets. Failures of so many targets have a cause outside the targets.
  [[nodiscard]] bool isBackoffLimitReached() const;
  void recordFailure(TargetIndex Index) { ++this->States[Index].Failures; }
  void recordSuccess(TargetIndex Index) { this->States[Index].Failures = 0; }
  void setHealth(TargetIndex Index, const TargetHealth &Health);

  /// Ends the back-offs and pauses that have expired.
  void endExpired(TimePoint Now);
  /// The next end of a back-off or pause.
  [[nodiscard]] std::optional<TimePoint> nextExpiry() const;

  [[nodiscard]] const TargetState &operator[](TargetIndex Index) const {
    return this->States[Index];
  }
  /// Maximum number of requests that this entry host may have outstanding at
  /// the target: SlotLimit, or less for a straggler.
  [[nodiscard]] static std::uint32_t
  effectiveSlotLimit(const TargetState &State);
  /// Targets with a free slot, in no particular order.
  [[nodiscard]] std::span<const TargetIndex> openTargets() const {
    return this->OpenTargets;
  }
  [[nodiscard]] bool isOpen(TargetIndex Index) const {
    return this->States[Index].OpenPosition != std::string::npos;
  }
  /// Total slots of the listed targets that are not draining.
  [[nodiscard]] std::uint64_t usableSlots() const {
    return this->TotalUsableSlots;
  }
  [[nodiscard]] bool hasLimits() const { return this->TotalLimitedSlots > 0; }
  /// Requests in a second that the usable slots take if each holds one for
  /// \p SlotTime and no target gets more than its rate. Infinite without a
  /// limit if \p SlotTime is zero.
  [[nodiscard]] double requestsPerSecond(Duration SlotTime) const;
  [[nodiscard]] std::uint64_t outstanding() const {
    return this->TotalOutstanding;
  }
  /// Size of the index range; entries may be delisted.
  [[nodiscard]] std::size_t size() const { return this->States.size(); }
  /// Changes whenever a target is added or removed.
  [[nodiscard]] std::uint64_t membershipVersion() const {
    return this->MembershipVersion;
  }

private:
  static void applyLoadReport(TargetState &State, const ReportedLoad &Load);
  TargetIndex add(const Target &Info);
  void updateAvailability(TargetIndex Index);
  void startPause(TargetIndex Index);
  void endPause(TargetIndex Index);
  void removeTarget(TargetIndex Index);
  void recycleIfIdle(TargetIndex Index);

  std::vector<TargetState> States;
  std::vector<TargetIndex> FreeIndices;
  /// By name and incarnation. A delisted target that is listed again keeps its
  /// count of running requests.
  std::unordered_map<std::string, TargetIndex> ByIncarnation;
  std::vector<TargetIndex> OpenTargets;
  std::set<std::pair<TimePoint, TargetIndex>> BackoffEnds;
  std::set<std::pair<TimePoint, TargetIndex>> PauseEnds;
  std::uint64_t TotalUsableSlots = 0;
  /// Slots of targets that name a limit, and the sum of their rates.
  std::uint64_t TotalLimitedSlots = 0;
  double TotalRate = 0;
  std::uint64_t TotalOutstanding = 0;
  /// Number of listed targets.
  std::size_t ListedCount = 0;
  std::uint64_t MembershipVersion = 0;
};

} // namespace carobhinge

#endif // LIBROUTING_TARGETTABLE_H
