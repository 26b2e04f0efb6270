//===- LibFleet/PlannerMonitor.h - Moves planner grants between hosts -----===//
///
/// \file
/// Runs on the control leader. Moves a failure domain's planner grant when its
/// holder has sent no ping for a while and another entry host of the domain
/// has, or when the holder was restarted. If no entry host of the domain sends
/// pings, the grant stays: the planner may still work behind a partition.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_PLANNERMONITOR_H
#define LIBFLEET_PLANNERMONITOR_H

#include <LibFleet/PlannerGrants.h>

namespace carobhinge {

struct PlannerMonitorOptions {
  /// Time without a ping from the holder after which the grant moves.
  Duration HolderTimeout = std::chrono::seconds(5);
  /// Another entry host must have sent a ping within this time to get the
  /// grant.
  Duration CandidateTimeout = std::chrono::seconds(2);
};

class PlannerMonitor {
public:
  /// \p Now is when this control host became leader. A holder without a ping
  /// since then counts as stalled only HolderTimeout after it.
  PlannerMonitor(TimePoint Now, PlannerMonitorOptions Options)
      : Options(Options), StartedAt(Now) {}

  /// Records an entry host's ping with the incarnation of its process.
  void recordPresence(TimePoint Now, const FailureDomainName &FailureDomain,
                      const HostName &EntryHost, Incarnation IncarnationNumber);

  /// Returns the commands to propose now. To be called about once a second.
  [[nodiscard]] std::vector<message::PlannerCommand>
  tick(TimePoint Now, const PlannerGrants &Grants) const;

private:
  struct Presence {
    Incarnation IncarnationNumber = 0;
    TimePoint ReceivedAt;
  };
  using EntryHostMap = std::map<HostName, Presence>;

  [[nodiscard]] bool isHolderActive(TimePoint Now, const PlannerGrant *Grant,
                                    const EntryHostMap &EntryHosts) const;

  PlannerMonitorOptions Options;
  TimePoint StartedAt;
  std::map<FailureDomainName, EntryHostMap> Domains;
};

} // namespace carobhinge

#endif // LIBFLEET_PLANNERMONITOR_H
