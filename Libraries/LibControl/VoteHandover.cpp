//===- LibControl/VoteHandover.cpp - Handover of a vote before a stop -----===//

#include <LibControl/VoteHandover.h>
#include <algorithm>

namespace carobhinge {

// Half of the grace time remains for the calls in progress.
VoteHandover::VoteHandover(TimePoint StopAt, Duration GraceTime,
                           const HostName &Self,
                           std::span<const HostName> Voters)
    : Deadline(StopAt + GraceTime / 2), Voters(Voters.begin(), Voters.end()),
      HasVote(std::ranges::find(Voters, Self) != Voters.end()) {}

bool VoteHandover::isFinished(TimePoint Now, bool HasSuccessor) const {
  return !this->HasVote || this->Released || !HasSuccessor ||
         Now >= this->Deadline;
}

std::string_view VoteHandover::outcome(bool HasSuccessor) const {
  if (!this->HasVote)
    return "no-vote";
  if (this->Released)
    return "released";
  return HasSuccessor ? "timeout" : "no-successor";
}

} // namespace carobhinge
