//===- LibFleet/WarmUpShare.h - Entry hosts' shares of slot budgets -------===//
///
/// \file
/// The warm-up budget of a cold target is shared by all entry hosts of the
/// failure domain. Rendezvous hashing assigns each slot of the budget to the
/// entry host with the largest hash of (target, incarnation, slot, host), so
/// that no messages are needed. Entry hosts that cannot reach each other never
/// use the same slot, and a budget smaller than the number of entry hosts does
/// not round to zero. The drawback is that a failed entry host's slots are not
/// used.
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

/// Growth of a cold target's budget. Each doubling requires both the answers
/// and the time, so that neither an idle target nor one that answers quickly is
/// overloaded.
struct WarmUpCurve {
  std::uint64_t AnswersPerDoubling = 16;
  Duration TimePerDoubling = std::chrono::seconds(5);
};

/// Returns the budget over all entry hosts of a target that has been cold for
/// \p ColdTime and has answered \p Answered requests since. At most \p Limit.
std::uint32_t warmUpBudget(std::uint32_t Initial, std::uint32_t Limit,
                           Duration ColdTime, std::uint64_t Answered,
                           const WarmUpCurve &Curve);

/// Returns the time for one doubling of a budget that grows from \p Initial to
/// \p Limit in \p Length. At least one millisecond.
Duration timePerDoubling(Duration Length, std::uint32_t Initial,
                         std::uint32_t Limit);

/// This entry host's shares of budgets, also while the list of entry hosts
/// changes. Assigning slots takes time proportional to slots times entry hosts,
/// so the last result of each target is cached.
class WarmUpShare {
public:
  /// \p Overlap is the time for which another entry host may still use a
  /// replaced list.
  /// Until then this host uses a slot only if every such list assigns it here.
  WarmUpShare(HostName Self, std::vector<HostName> EntryHosts,
              Duration Overlap);

  void setEntryHosts(TimePoint Now, std::vector<HostName> EntryHosts);

  /// Returns how many of the \p Budget slots of \p Target this entry host gets.
  std::uint32_t share(TimePoint Now, const std::string &Target,
                      Incarnation IncarnationNumber,
                      std::uint32_t Budget) const;

private:
  struct ReplacedList {
    std::vector<HostName> EntryHosts;
    TimePoint ReplacedAt;
  };

  struct CachedShare {
    Incarnation IncarnationNumber = 0;
    std::uint32_t Budget = 0;
    std::uint32_t Slots = 0;
  };

  [[nodiscard]] bool hasExpired(TimePoint Now, const ReplacedList &List) const;
  [[nodiscard]] std::uint32_t countAssignedSlots(TimePoint Now,
                                                 std::string_view Target,
                                                 Incarnation IncarnationNumber,
                                                 std::uint32_t Budget) const;

  HostName Self;
  Duration Overlap;
  std::vector<HostName> Current;
  /// Lists that were replaced less than Overlap ago.
  std::vector<ReplacedList> ReplacedLists;
  /// Shares under the current list when no replaced list is in use.
  mutable std::unordered_map<std::string, CachedShare> Cache;
};

} // namespace carobhinge

#endif // LIBFLEET_WARMUPSHARE_H
