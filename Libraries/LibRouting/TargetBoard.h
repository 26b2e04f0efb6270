//===- LibRouting/TargetBoard.h - The targets and what runs on them -------===//
///
/// \file
/// Keeps, for each target, the slots in use here and its health, and a list of
/// the targets that can take one more request. Every step but replace() costs
/// the same at ten targets and at ten thousand.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_TARGETBOARD_H
#define LIBROUTING_TARGETBOARD_H

#include <LibFleet/Target.h>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carobhinge {

using TargetIndex = std::uint32_t;

/// How a target's answers compare with those of its peers.
struct TargetHealth {
  /// Smoothed natural logarithm of (time to first byte / mean of the peers).
  double Slowness = 0;
  std::uint32_t Samples = 0;
  bool Straggler = false;
};

struct TargetState {
  Target Info;
  /// Requests that were dispatched here and have not finished. Never above
  /// SlotLimit when one is added; it may be above after the limit fell.
  std::uint32_t Outstanding = 0;
  /// What the last report counted beyond Outstanding when it came: the work
  /// of other entry hosts, as long as the report is fresh.
  std::uint32_t WorkOfOthers = 0;
  TargetHealth Health;
  /// Failures since the last success.
  std::uint32_t Failures = 0;
  /// Nothing is sent before this time.
  TimePoint AsideUntil;
  bool Aside = false;
  /// No longer listed; the entry stays until its last request has finished.
  bool Gone = false;
  /// Place in the open list, or npos.
  std::size_t OpenPlace = std::string::npos;
  /// What this target adds to usableSlots().
  std::uint32_t CountedSlots = 0;
};

class TargetBoard {
public:
  /// Takes \p Targets as the whole list. One with a known name and another
  /// life is another target.
  void replace(std::span<const Target> Targets);
  void reportLoad(std::string_view Name, Incarnation Life,
                  const ReportedLoad &Load);

  void take(TargetIndex Index);
  void release(TargetIndex Index);

  /// Nothing is sent to the target before \p Until.
  void setAside(TargetIndex Index, TimePoint Until);
  /// True if half of the targets would be aside with one more. Failures that
  /// so many share are not the targets' own.
  [[nodiscard]] bool manyAside() const;
  void noteFailure(TargetIndex Index) { ++this->States[Index].Failures; }
  void noteSuccess(TargetIndex Index) { this->States[Index].Failures = 0; }
  void setHealth(TargetIndex Index, const TargetHealth &Health);

  /// Ends the time aside of the targets that are due.
  void reopen(TimePoint Now);
  [[nodiscard]] std::optional<TimePoint> nextReopen() const;

  [[nodiscard]] const TargetState &operator[](TargetIndex Index) const {
    return this->States[Index];
  }
  /// Slots that may be in use here at once: SlotLimit, less for a straggler.
  [[nodiscard]] static std::uint32_t limitOf(const TargetState &State);
  /// Targets with a free slot, in no particular order.
  [[nodiscard]] std::span<const TargetIndex> open() const { return this->Open; }
  [[nodiscard]] bool isOpen(TargetIndex Index) const {
    return this->States[Index].OpenPlace != std::string::npos;
  }
  /// Slots of all targets that are neither gone nor draining.
  [[nodiscard]] std::uint64_t usableSlots() const { return this->Usable; }
  [[nodiscard]] std::uint64_t outstanding() const { return this->InUse; }
  /// Size of the index space; entries of it may be gone.
  [[nodiscard]] std::size_t size() const { return this->States.size(); }
  /// Changes whenever a target comes or goes.
  [[nodiscard]] std::uint64_t membership() const { return this->Membership; }

private:
  static void takeReport(TargetState &State, const ReportedLoad &Load);
  TargetIndex add(const Target &Info);
  void refresh(TargetIndex Index);
  void retire(TargetIndex Index);
  void recycleIfDone(TargetIndex Index);

  std::vector<TargetState> States;
  std::vector<TargetIndex> Unused;
  /// By name and life. A target that was gone and is listed again finds the
  /// requests that still run on it.
  std::unordered_map<std::string, TargetIndex> ByLife;
  std::vector<TargetIndex> Open;
  std::set<std::pair<TimePoint, TargetIndex>> Reopenings;
  std::uint64_t Usable = 0;
  std::uint64_t InUse = 0;
  /// Targets that are not gone.
  std::size_t Listed = 0;
  std::uint64_t Membership = 0;
};

} // namespace carobhinge

#endif // LIBROUTING_TARGETBOARD_H
