//===- LibConsensus/ReplicaElection.cpp - Elections and votes -------------===//
///
/// \file
/// Elections start with a pre-vote that does not raise the term, so that a
/// replica that was partitioned does not disrupt the leader when it reconnects.
/// A replica that received a leader's message within MinElectionTimeout grants
/// no vote; the leader's lease relies on this.
///
//===----------------------------------------------------------------------===//

#include <LibConsensus/Replica.h>
#include <cassert>

namespace carobhinge {

bool Replica::isVotingRole() const {
  return this->role() != Role::Blank && this->role() != Role::Learner;
}

bool Replica::canVote() const {
  return this->isVotingRole() && this->IsIdentityConfirmed;
}

bool Replica::hasRecentLeaderContact(TimePoint Now) const {
  if (this->role() == Role::Leader)
    return this->holdsLease(Now);
  return this->LastLeaderContact != TimePoint::min() &&
         Now - this->LastLeaderContact <
             this->Options.Timings.MinElectionTimeout;
}

void Replica::resetElectionDeadline(TimePoint Now) {
  const ReplicaTimings &Timings = this->Options.Timings;
  std::uniform_int_distribution<std::int64_t> Spread(
      Timings.MinElectionTimeout.count(), Timings.MaxElectionTimeout.count());
  this->ElectionDeadline = Now + Duration(Spread(this->Random));
}

void Replica::adoptTerm(TimePoint Now, std::uint64_t Term) {
  assert(Term > this->CurrentHardState.term());
  this->stepDown(Now);
  this->CurrentHardState.set_term(Term);
  this->CurrentHardState.clear_vote();
  this->Leader.clear();
  this->persistHardState();
}

void Replica::stepDown(TimePoint Now) {
  bool WasLeader = this->role() == Role::Leader;
  this->Roles.process(RoleEvent::SteppedDown);
  this->GrantedVotes.clear();
  if (!WasLeader)
    return;
  this->Leader.clear();
  this->Peers.clear();
  this->TransferDeadline.reset();
  for (const PendingRead &Read : this->Reads)
    this->Effects.emplace_back(ReadFailedEffect{.Id = Read.Id});
  this->Reads.clear();
  this->Effects.emplace_back(LeadershipLostEffect{});
  this->resetElectionDeadline(Now);
}

void Replica::startPreVote(TimePoint Now) {
  this->resetElectionDeadline(Now);
  if (!this->canVote())
    return;
  this->Leader.clear();
  this->Roles.process(RoleEvent::ElectionTimeout);
  this->requestVotes(true, false);
  this->recordGrantedVote(Now, this->Options.Self);
}

void Replica::startElection(TimePoint Now, bool Transfer) {
  this->resetElectionDeadline(Now);
  this->Leader.clear();
  this->CurrentHardState.set_term(this->CurrentHardState.term() + 1);
  this->CurrentHardState.set_vote(this->Options.Self);
  this->persistHardState();
  this->requestVotes(false, Transfer);
  this->recordGrantedVote(Now, this->Options.Self);
}

void Replica::requestVotes(bool PreVote, bool Transfer) {
  this->GrantedVotes.clear();
  message::ConsensusMessage Message = this->makeMessage();
  message::Vote &Vote = *Message.mutable_vote();
  Vote.set_trial(PreVote);
  Vote.set_transfer(Transfer);
  Vote.set_last_term(this->Log.lastTerm());
  Vote.set_last_index(this->Log.lastIndex());
  for (const message::Member &Voter : this->Log.configuration().voters())
    if (Voter.host() != this->Options.Self)
      this->send(Voter.host(), Message);
}

void Replica::recordGrantedVote(TimePoint Now, const HostName &From) {
  this->GrantedVotes.insert(From);
  if (this->GrantedVotes.size() < quorum(this->Log.configuration()))
    return;
  if (this->role() == Role::PreCandidate) {
    this->Roles.process(RoleEvent::PreVoteWon);
    this->startElection(Now, false);
  } else if (this->role() == Role::Candidate) {
    this->becomeLeader(Now);
  }
}

bool Replica::canGrantVote(TimePoint Now, const HostName &From,
                           const message::ConsensusMessage &Message) const {
  const message::Vote &Vote = Message.vote();
  // The candidate need not be a voter in this log's configuration: the entry
  // that added it may not have been received yet.
  if (!this->canVote())
    return false;
  if (this->hasRecentLeaderContact(Now) && !Vote.transfer())
    return false;
  std::pair CandidatePosition(Vote.last_term(), Vote.last_index());
  if (CandidatePosition <
      std::pair(this->Log.lastTerm(), this->Log.lastIndex()))
    return false;
  if (Message.term() < this->CurrentHardState.term())
    return false;
  if (Vote.trial())
    return true;
  return this->CurrentHardState.vote().empty() ||
         this->CurrentHardState.vote() == From;
}

void Replica::onVote(TimePoint Now, const HostName &From,
                     const message::ConsensusMessage &Message) {
  const message::Vote &Vote = Message.vote();
  bool Granted = this->canGrantVote(Now, From, Message);
  if (Granted && !Vote.trial() && this->CurrentHardState.vote().empty()) {
    this->CurrentHardState.set_vote(From);
    this->persistHardState();
  }
  if (Granted && !Vote.trial())
    this->resetElectionDeadline(Now);
  message::ConsensusMessage Reply = this->makeMessage();
  Reply.mutable_vote_reply()->set_trial(Vote.trial());
  Reply.mutable_vote_reply()->set_granted(Granted);
  this->send(From, std::move(Reply));
}

void Replica::onVoteReply(TimePoint Now, const HostName &From,
                          const message::ConsensusMessage &Message) {
  const message::VoteReply &Reply = Message.vote_reply();
  Role RequiredRole = Reply.trial() ? Role::PreCandidate : Role::Candidate;
  if (this->role() != RequiredRole || !Reply.granted() ||
      !isVoter(this->Log.configuration(), From, Message.disk()))
    return;
  this->recordGrantedVote(Now, From);
}

void Replica::onTimeoutNow(TimePoint Now) {
  if (!this->canVote() || !this->Roles.process(RoleEvent::TimeoutNow))
    return;
  this->startElection(Now, true);
}

} // namespace carobhinge
