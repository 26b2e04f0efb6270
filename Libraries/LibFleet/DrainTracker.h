//===- LibFleet/DrainTracker.h - Detects when a group is drained ----------===//
///
/// \file
/// Entry hosts report their outstanding requests by group, together with the
/// version of the newest roster they have. A group is drained when every entry
/// host of the failure domain has the roster that lists it as draining and has
/// no outstanding requests at the group. An entry host with an older roster may
/// still send a request after it reported none. So may one with the roster of a
/// newer planner, which may list the group as serving.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_DRAINTRACKER_H
#define LIBFLEET_DRAINTRACKER_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <map>
#include <vector>

namespace carobhinge {

/// One entry host's outstanding requests by group. Sent about once a second.
struct OutstandingReport {
  HostName EntryHost;
  /// Epoch and sequence of the newest roster that the entry host has.
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
  /// The newest epoch that the entry host has received, including its own
  /// grant's.
  std::uint64_t KnownEpoch = 0;
  /// Outstanding requests by group. Groups without any are left out.
  std::map<GroupName, std::uint32_t> Count = {};
  /// Requests of all services, in progress or queued.
  std::uint32_t Requests = 0;

  bool operator==(const OutstandingReport &) const = default;
};

class DrainTracker {
public:
  /// An entry host whose last report is \p ReportTimeout old counts as stalled.
  DrainTracker(std::vector<HostName> EntryHosts, Duration ReportTimeout)
      : EntryHosts(std::move(EntryHosts)), ReportTimeout(ReportTimeout) {}

  void setEntryHosts(std::vector<HostName> NewEntryHosts) {
    this->EntryHosts = std::move(NewEntryHosts);
  }
  void recordReport(TimePoint Now, const OutstandingReport &Report);

  enum class Status : std::uint8_t {
    /// Some entry host has outstanding requests there or may send more.
    Busy,
    /// All entry hosts that report have finished; the others are stalled.
    AwaitingStalledHosts,
    Drained,
  };

  [[nodiscard]] Status drainStatus(TimePoint Now, const GroupName &Group,
                                   std::uint64_t Epoch,
                                   std::uint64_t Sequence) const;

  /// True if every entry host reports and none has received a newer epoch.
  [[nodiscard]] bool allHostsFollow(TimePoint Now, std::uint64_t Epoch) const;

private:
  struct ReceivedReport {
    OutstandingReport Report;
    TimePoint ReceivedAt;
  };

  /// The last report of \p Host, or null if the entry host is stalled.
  [[nodiscard]] const OutstandingReport *findReport(TimePoint Now,
                                                    const HostName &Host) const;

  std::vector<HostName> EntryHosts;
  Duration ReportTimeout;
  std::map<HostName, ReceivedReport> Reports;
};

} // namespace carobhinge

#endif // LIBFLEET_DRAINTRACKER_H
