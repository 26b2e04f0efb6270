//===- LibFleet/PlannerWatch.h - When a planner grant moves ---------------===//
///
/// \file
/// Runs at the control leader. Moves a failure domain's planner grant when its
/// holder has not been heard for a while and another entry host of the domain
/// has, or when the holder was restarted. A domain of which nothing is heard
/// keeps its planner: it may be planning on behind a partition.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_PLANNERWATCH_H
#define LIBFLEET_PLANNERWATCH_H

#include <LibFleet/PlannerGrants.h>

namespace carobhinge {

struct PlannerWatchOptions {
  /// How long a holder may be silent.
  Duration HolderSilentAfter = std::chrono::seconds(5);
  /// Another entry host must have been heard within this time.
  Duration HeardWithin = std::chrono::seconds(2);
};

class PlannerWatch {
public:
  /// \p Now is when this control host became leader. Until a holder could have
  /// been heard, it is not taken as silent.
  PlannerWatch(TimePoint Now, PlannerWatchOptions Options)
      : Options(Options), StartedAt(Now) {}

  /// An entry host's ping, with the incarnation of its process.
  void heard(TimePoint Now, const FailureDomainName &FailureDomain,
             const HostName &EntryHost, Incarnation Life);

  /// The commands to propose now. To be called about once a second.
  [[nodiscard]] std::vector<message::PlannerCommand>
  tick(TimePoint Now, const PlannerGrants &Grants) const;

private:
  struct Heard {
    Incarnation Life = 0;
    TimePoint At;
  };
  using EntryHostMap = std::map<HostName, Heard>;

  [[nodiscard]] bool isHeld(TimePoint Now, const PlannerGrant *Grant,
                            const EntryHostMap &EntryHosts) const;

  PlannerWatchOptions Options;
  TimePoint StartedAt;
  std::map<FailureDomainName, EntryHostMap> Domains;
};

} // namespace carobhinge

#endif // LIBFLEET_PLANNERWATCH_H
