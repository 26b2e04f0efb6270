//===- LibFleet/DrainWatch.h - Whether a group's work has ended -----------===//
///
/// \file
/// Entry hosts report their outstanding requests by group, each time with the
/// newest roster they know. A group is drained when every entry host of the
/// failure domain knows the roster in which it drains and has nothing
/// outstanding there: what reports nothing under an older roster may send
/// something the next moment. The same holds under a roster of a newer planner,
/// which may list the group as serving.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFLEET_DRAINWATCH_H
#define LIBFLEET_DRAINWATCH_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <map>
#include <vector>

namespace carobhinge {

/// What one entry host has outstanding at groups. Sent about once a second.
struct OutstandingReport {
  HostName EntryHost;
  /// Of the newest roster that the entry host knows.
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
  /// The newest epoch that the entry host knows of, its own grant included.
  std::uint64_t KnownEpoch = 0;
  /// By group. Groups without outstanding requests are left out.
  std::map<GroupName, std::uint32_t> Count = {};

  bool operator==(const OutstandingReport &) const = default;
};

class DrainWatch {
public:
  /// \p SilentAfter is when an entry host without a report counts as silent.
  DrainWatch(std::vector<HostName> EntryHosts, Duration SilentAfter)
      : EntryHosts(std::move(EntryHosts)), SilentAfter(SilentAfter) {}

  void entryHostsChanged(std::vector<HostName> New) {
    this->EntryHosts = std::move(New);
  }
  void reported(TimePoint Now, const OutstandingReport &Report);

  enum class Verdict : std::uint8_t {
    /// Some entry host has work there or may send more.
    Busy,
    /// Those that can be heard have finished; others are silent.
    SilentOnly,
    Drained,
  };

  [[nodiscard]] Verdict verdict(TimePoint Now, const GroupName &Group,
                                std::uint64_t Epoch,
                                std::uint64_t Sequence) const;

  /// True if every entry host is heard and none knows a newer planner.
  [[nodiscard]] bool allFollow(TimePoint Now, std::uint64_t Epoch) const;

private:
  struct Heard {
    OutstandingReport Report;
    TimePoint At;
  };

  /// Null if the entry host is silent.
  [[nodiscard]] const OutstandingReport *find(TimePoint Now,
                                              const HostName &Host) const;

  std::vector<HostName> EntryHosts;
  Duration SilentAfter;
  std::map<HostName, Heard> Reports;
};

} // namespace carobhinge

#endif // LIBFLEET_DRAINWATCH_H
