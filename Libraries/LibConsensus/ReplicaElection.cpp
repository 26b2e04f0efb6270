//===- LibConsensus/ReplicaElection.cpp - How a replica votes -------------===//
///
/// \file
/// Elections begin with a trial that raises no term, so that a replica that
/// was cut off disturbs nobody when it returns. Whoever heard a leader within
/// ElectionLeast votes for nobody: that is what a leader's lease rests on.
///
//===----------------------------------------------------------------------===//

#include <LibConsensus/Replica.h>
#include <cassert>

namespace carobhinge {

bool Replica::isVotingRole() const {
  return this->role() != Role::Blank && this->role() != Role::Learner;
}

bool Replica::mayVote() const {
  return this->isVotingRole() && this->Confirmed;
}

bool Replica::hearsLeader(TimePoint Now) const {
  if (this->role() == Role::Leader)
    return this->holdsLease(Now);
  return this->LeaderHeard != TimePoint::min() &&
         Now - this->LeaderHeard < this->Options.Timings.ElectionLeast;
}

void Replica::resetElection(TimePoint Now) {
  const ReplicaTimings &Timings = this->Options.Timings;
  std::uniform_int_distribution<std::int64_t> Spread(
      Timings.ElectionLeast.count(), Timings.ElectionMost.count());
  this->ElectionDue = Now + Duration(Spread(this->Random));
}

void Replica::adoptTerm(TimePoint Now, std::uint64_t Term) {
  assert(Term > this->Hard.term());
  this->stepDown(Now);
  this->Hard.set_term(Term);
  this->Hard.clear_vote();
  this->Leader.clear();
  this->persistHard();
}

void Replica::stepDown(TimePoint Now) {
  bool Led = this->role() == Role::Leader;
  this->Roles.process(RoleEvent::SteppedDown);
  this->Grants.clear();
  if (!Led)
    return;
  this->Leader.clear();
  this->Peers.clear();
  this->TransferUntil.reset();
  for (const PendingRead &Read : this->Reads)
    this->Effects.emplace_back(ReadFailedEffect{.Id = Read.Id});
  this->Reads.clear();
  this->Effects.emplace_back(LeadershipLostEffect{});
  this->resetElection(Now);
}

void Replica::beginTrial(TimePoint Now) {
  this->resetElection(Now);
  if (!this->mayVote())
    return;
  this->Leader.clear();
  this->Roles.process(RoleEvent::ElectionTimeout);
  this->askForVotes(true, false);
  this->countGrant(Now, this->Options.Self);
}

void Replica::beginElection(TimePoint Now, bool Transfer) {
  this->resetElection(Now);
  this->Leader.clear();
  this->Hard.set_term(this->Hard.term() + 1);
  this->Hard.set_vote(this->Options.Self);
  this->persistHard();
  this->askForVotes(false, Transfer);
  this->countGrant(Now, this->Options.Self);
}

void Replica::askForVotes(bool Trial, bool Transfer) {
  this->Grants.clear();
  message::ConsensusMessage Message = this->envelope();
  message::Vote &Vote = *Message.mutable_vote();
  Vote.set_trial(Trial);
  Vote.set_transfer(Transfer);
  Vote.set_last_term(this->Log.lastTerm());
  Vote.set_last_index(this->Log.lastIndex());
  for (const message::Member &Voter : this->Log.configuration().voters())
    if (Voter.host() != this->Options.Self)
      this->send(Voter.host(), Message);
}

void Replica::countGrant(TimePoint Now, const HostName &From) {
  this->Grants.insert(From);
  if (this->Grants.size() < quorum(this->Log.configuration()))
    return;
  if (this->role() == Role::PreCandidate) {
    this->Roles.process(RoleEvent::TrialWon);
    this->beginElection(Now, false);
  } else if (this->role() == Role::Candidate) {
    this->lead(Now);
  }
}

bool Replica::wouldGrant(TimePoint Now, const HostName &From,
                         const message::ConsensusMessage &Message) const {
  const message::Vote &Vote = Message.vote();
  // The candidate need not be a voter in this log's configuration: the entry
  // that made it one may not have come here yet.
  if (!this->mayVote())
    return false;
  if (this->hearsLeader(Now) && !Vote.transfer())
    return false;
  std::pair Offered(Vote.last_term(), Vote.last_index());
  if (Offered < std::pair(this->Log.lastTerm(), this->Log.lastIndex()))
    return false;
  if (Message.term() < this->Hard.term())
    return false;
  if (Vote.trial())
    return true;
  return this->Hard.vote().empty() || this->Hard.vote() == From;
}

void Replica::onVote(TimePoint Now, const HostName &From,
                     const message::ConsensusMessage &Message) {
  const message::Vote &Vote = Message.vote();
  bool Granted = this->wouldGrant(Now, From, Message);
  if (Granted && !Vote.trial() && this->Hard.vote().empty()) {
    this->Hard.set_vote(From);
    this->persistHard();
  }
  if (Granted && !Vote.trial())
    this->resetElection(Now);
  message::ConsensusMessage Reply = this->envelope();
  Reply.mutable_vote_reply()->set_trial(Vote.trial());
  Reply.mutable_vote_reply()->set_granted(Granted);
  this->send(From, std::move(Reply));
}

void Replica::onVoteReply(TimePoint Now, const HostName &From,
                          const message::ConsensusMessage &Message) {
  const message::VoteReply &Reply = Message.vote_reply();
  Role Asking = Reply.trial() ? Role::PreCandidate : Role::Candidate;
  if (this->role() != Asking || !Reply.granted() ||
      !isVoter(this->Log.configuration(), From, Message.disk()))
    return;
  this->countGrant(Now, From);
}

void Replica::onTimeoutNow(TimePoint Now) {
  if (!this->mayVote() || !this->Roles.process(RoleEvent::TimeoutNow))
    return;
  this->beginElection(Now, true);
}

} // namespace carobhinge
