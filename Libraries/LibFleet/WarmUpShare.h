//===- LibFleet/WarmUpShare.h - A budget split without messages -----------===//
///
/// \file
/// Cold start is a budget over all entry hosts of the failure domain together.
/// The budget's slots are dealt by rendezvous hashing: each slot goes to the
/// entry host with the largest hash of (target, life, slot, host). Entry hosts
/// that cannot see one another thus never take the same slot, and a budget
/// smaller than the number of entry hosts never rounds to zero. The price is
/// that a dead entry host's slots lie idle.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_WARMUPSHARE_H
#define LIBFLEET_WARMUPSHARE_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <span>
#include <string_view>
#include <vector>

namespace carobhinge {

/// How a cold target's budget grows. Both conditions must be met, so that
/// neither an idle target nor one that answers quickly is flooded.
struct WarmUpCurve {
  std::uint64_t AnswersPerDoubling = 16;
  Duration TimePerDoubling = std::chrono::seconds(5);
};

/// The budget over all entry hosts of a target that has been cold for \p Age
/// and has answered \p Answered requests since. Never more than \p Limit.
std::uint32_t warmUpBudget(std::uint32_t Initial, std::uint32_t Limit,
                           Duration Age, std::uint64_t Answered,
                           const WarmUpCurve &Curve);

/// How many of \p Budget slots of a target fall to \p Self.
std::uint32_t dealtSlots(std::string_view Target, Incarnation Life,
                         std::uint32_t Budget, const HostName &Self,
                         std::span<const HostName> EntryHosts);

/// This entry host's part of warm-up budgets, across changes of the list of
/// entry hosts.
class WarmUpShare {
public:
  /// \p Overlap is how long another entry host may still use the list before
  /// this one: until then a slot is taken only if every such list deals it
  /// here.
  WarmUpShare(HostName Self, std::vector<HostName> EntryHosts,
              Duration Overlap);

  void entryHostsChanged(TimePoint Now, std::vector<HostName> EntryHosts);

  [[nodiscard]] std::uint32_t share(TimePoint Now, std::string_view Target,
                                    Incarnation Life,
                                    std::uint32_t Budget) const;

private:
  struct Replaced {
    std::vector<HostName> EntryHosts;
    TimePoint At;
  };

  [[nodiscard]] bool dealtByAll(TimePoint Now, std::uint64_t Seed) const;

  HostName Self;
  Duration Overlap;
  std::vector<HostName> Current;
  /// Earlier lists, oldest first. Those replaced less than Overlap ago count.
  std::vector<Replaced> Earlier;
};

} // namespace carobhinge

#endif // LIBFLEET_WARMUPSHARE_H
