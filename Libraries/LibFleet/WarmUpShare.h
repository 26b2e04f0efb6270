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
#include <string>
#include <string_view>
#include <unordered_map>
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

/// The time for one doubling if the budget is to grow from \p Initial to
/// \p Limit in \p Length. At least a millisecond.
Duration timePerDoubling(Duration Length, std::uint32_t Initial,
                         std::uint32_t Limit);

/// This entry host's part of budgets, across changes of the list of entry
/// hosts. Dealing takes time in proportion to slots and entry hosts, so that
/// the last result of each target is remembered.
class WarmUpShare {
public:
  /// \p Overlap is how long another entry host may still use the list before
  /// this one: until then a slot is taken only if every such list deals it
  /// here.
  WarmUpShare(HostName Self, std::vector<HostName> EntryHosts,
              Duration Overlap);

  void entryHostsChanged(TimePoint Now, std::vector<HostName> EntryHosts);

  /// How many of \p Budget slots of the target fall to this entry host.
  std::uint32_t share(TimePoint Now, const std::string &Target,
                      Incarnation Life, std::uint32_t Budget) const;

private:
  struct Replaced {
    std::vector<HostName> EntryHosts;
    TimePoint At;
  };

  struct Dealt {
    Incarnation Life = 0;
    std::uint32_t Budget = 0;
    std::uint32_t Slots = 0;
  };

  [[nodiscard]] bool isOver(TimePoint Now, const Replaced &List) const;
  [[nodiscard]] std::uint32_t deal(TimePoint Now, std::string_view Target,
                                   Incarnation Life,
                                   std::uint32_t Budget) const;

  HostName Self;
  Duration Overlap;
  std::vector<HostName> Current;
  /// Lists that were replaced less than Overlap ago.
  std::vector<Replaced> Earlier;
  /// Results for the current list alone.
  mutable std::unordered_map<std::string, Dealt> Cache;
};

} // namespace carobhinge

#endif // LIBFLEET_WARMUPSHARE_H
