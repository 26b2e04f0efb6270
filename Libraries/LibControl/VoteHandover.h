//===- LibControl/VoteHandover.h - Handover of a vote before a stop -------===//
///
/// \file
/// Decides how long a control host that was told to stop keeps running so that
/// another host can take over its vote. Without the handover the voters include
/// a host that may never return, until its timeout expires; the loss of one
/// more disk in that time could leave no majority for good.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_VOTEHANDOVER_H
#define LIBCONTROL_VOTEHANDOVER_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <span>
#include <string_view>
#include <vector>

namespace carobhinge {

class VoteHandover {
public:
  /// \p Voters are the voters at the time of the stop, \p GraceTime the time
  /// from the stop until the process is killed.
  VoteHandover(TimePoint StopAt, Duration GraceTime, const HostName &Self,
               std::span<const HostName> Voters);

  /// Records that the leader counts this host no longer among the voters.
  void recordRelease() { this->Released = true; }

  /// \p HasSuccessor is whether a host other than voters() could take over.
  [[nodiscard]] bool isFinished(TimePoint Now, bool HasSuccessor) const;

  /// "released", "no-vote", "no-successor" or "timeout".
  [[nodiscard]] std::string_view outcome(bool HasSuccessor) const;

  /// The voters at the time of the stop. A host that replaces one of them is
  /// still a successor while it already votes.
  [[nodiscard]] std::span<const HostName> voters() const {
    return this->Voters;
  }

private:
  TimePoint Deadline;
  std::vector<HostName> Voters;
  bool HasVote;
  bool Released = false;
};

} // namespace carobhinge

#endif // LIBCONTROL_VOTEHANDOVER_H
