//===- LibFormation/GroupStalls.h - Groups that stand still ---------------===//
///
/// \file
/// Tells from what entry hosts say of their streams which groups stand still: a
/// member that works on one step for seconds holds up all requests of its group
/// and still answers probes. A group stands still once all hosts with requests
/// there, and at least two, have had no event from it for longer than usual,
/// and that for EndingSilence. One host alone may have lost its links. Where
/// more groups are silent than not, all are slow, and no other could take the
/// requests.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFORMATION_GROUPSTALLS_H
#define LIBFORMATION_GROUPSTALLS_H

#include <LibCore/Names.h>
#include <LibCore/Silence.h>
#include <LibFormation/EngineReport.h>
#include <cstdint>
#include <map>
#include <optional>

namespace carobhinge {

struct GroupStallOptions {
  /// What a host says counts for this long. Hosts report twice a second.
  Duration MaxReportAge = MaxSoundSilence;
  std::size_t MinHosts = 2;
};

class GroupStalls {
public:
  explicit GroupStalls(GroupStallOptions Options = {}) : Options(Options) {}

  /// \p Host has requests in progress at the group with the member list of
  /// \p Epoch. \p IsSilent: no event has come for longer than usual.
  void recordWork(TimePoint Now, const GroupName &Group, std::uint64_t Epoch,
                  const HostName &Host, bool IsSilent);
  /// \p Host has no requests in progress at the group.
  void recordIdle(const GroupName &Group, const HostName &Host);

  /// \returns whether the group with this member list stands still.
  [[nodiscard]] bool isStandingStill(TimePoint Now, const GroupName &Group,
                                     std::uint64_t Epoch) const;
  /// \returns whether at least as many groups with requests send events as
  /// don't.
  [[nodiscard]] bool mostSendEvents(TimePoint Now) const;
  /// Forgets the groups that nobody has spoken of for MaxReportAge.
  void removeExpired(TimePoint Now);

private:
  struct Statement {
    TimePoint ReportedAt;
    /// When the host first reported the silence that lasts; if it does.
    std::optional<TimePoint> SilentSince;
  };
  struct Group {
    std::uint64_t Epoch = 0;
    std::map<HostName, Statement> Hosts;
  };

  GroupStallOptions Options;
  std::map<GroupName, Group> Groups;
};

} // namespace carobhinge

#endif // LIBFORMATION_GROUPSTALLS_H
