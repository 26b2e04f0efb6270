//===- LibConsensus/Replica.cpp - Events in, effects out ------------------===//

#include <LibConsensus/Replica.h>
#include <algorithm>
#include <cassert>
#include <utility>

namespace carobhinge {

Replica::Replica(ReplicaOptions Options, StoredReplica Stored, TimePoint Now)
    : Options(std::move(Options)), Random(this->Options.Seed), NextHelloAt(Now),
      StartedAt(Now) {
  this->loadStored(std::move(Stored));
  this->resetElectionDeadline(Now);
  if (this->CurrentHardState.disk().empty()) {
    this->CurrentHardState.set_disk(this->newIdentity());
    const std::vector<HostName> &InitialHosts = this->Options.Voters;
    if (std::find(InitialHosts.begin(), InitialHosts.end(),
                  this->Options.Self) == InitialHosts.end())
      this->becomeLearner(false);
    this->persistHardState();
    return;
  }
  if (this->CurrentHardState.stage() == message::STAGE_LEARNER)
    this->Roles.process(RoleEvent::LostVoterStatus);
  else if (this->CurrentHardState.stage() == message::STAGE_FORMED)
    this->Roles.process(RoleEvent::LogFormed);
  this->updateRole(Now);
  // The previous incarnation may have acknowledged a leader just before.
  this->LastLeaderContact = Now;
  this->tryConfirmIdentity(Now);
}

void Replica::loadStored(StoredReplica Stored) {
  this->CurrentHardState = std::move(Stored.CurrentHardState);
  if (this->CurrentHardState.stage() == message::STAGE_FORMED)
    this->Log.setInitialConfiguration(this->CurrentHardState.configuration());
  if (Stored.Snapshot) {
    this->Log.reset(*Stored.Snapshot);
    this->onSnapshotTaken(*Stored.Snapshot);
    this->CommitIndex = Stored.Snapshot->index();
  }
  for (message::Entry &Entry : Stored.Entries)
    this->Log.truncateAndAppend(std::move(Entry));
  this->DurableIndex = this->Log.lastIndex();
}

void Replica::tick(TimePoint Now) {
  this->tickMembers(Now);
  if (this->role() == Role::Leader)
    this->tickLeader(Now);
  else if (this->isVotingRole() && Now >= this->ElectionDeadline)
    this->startPreVote(Now);
}

void Replica::receive(TimePoint Now, const HostName &From,
                      const message::ConsensusMessage &Message) {
  if (Message.log() != this->Options.Log || From == this->Options.Self)
    return;
  MessageCheck Check;
  Check.checkMessage(From, Message);
  Check.checkCommitted(this->Log, this->CommitIndex,
                       this->CurrentHardState.term(), Message);
  if (!this->isAccepted(From, Check))
    return;
  if (Message.has_hello())
    this->onHello(Now, From, Message);
  else if (this->role() != Role::Blank && this->processTerm(Now, From, Message))
    this->dispatch(Now, From, Message);
  if (this->Options.Observer)
    this->Options.Observer("message handled");
}

bool Replica::isAccepted(const HostName &From,
                         const MessageCheck &Check) const {
  if (!Check.passed() && this->Options.OnRefused)
    this->Options.OnRefused(From, Check.findings());
  return Check.passed();
}

/// Compares the term of a message with the current term and adopts it if newer.
/// \returns whether the message should be handled.
bool Replica::processTerm(TimePoint Now, const HostName &From,
                          const message::ConsensusMessage &Message) {
  this->KnownClaims.raise(From, Message.disk(), {.Term = Message.term()});
  bool PreVote = Message.has_vote() && Message.vote().trial();
  if (Message.term() < this->CurrentHardState.term()) {
    // Reply so that a leader of an earlier term adopts the current one.
    if (Message.has_append())
      this->replyAppend(From, false, 0, 0);
    return PreVote ||
           (Message.has_vote_reply() && Message.vote_reply().trial());
  }
  if (Message.term() == this->CurrentHardState.term() || PreVote)
    return true;
  // While a leader is active, a vote request is rejected, so it must not raise
  // the term either.
  if (Message.has_vote() && this->hasRecentLeaderContact(Now) &&
      !Message.vote().transfer())
    return false;
  this->adoptTerm(Now, Message.term());
  return true;
}

void Replica::dispatch(TimePoint Now, const HostName &From,
                       const message::ConsensusMessage &Message) {
  using Body = message::ConsensusMessage::BodyCase;
  switch (Message.body_case()) {
  case Body::kVote:
    return this->onVote(Now, From, Message);
  case Body::kVoteReply:
    return this->onVoteReply(Now, From, Message);
  case Body::kAppend:
    return this->onAppend(Now, From, Message);
  case Body::kAppendReply:
    return this->onAppendReply(Now, From, Message);
  case Body::kSnapshotChunk:
    return this->onSnapshotChunk(Now, From, Message);
  case Body::kSnapshotReply:
    return this->onSnapshotReply(Now, From, Message);
  case Body::kTimeoutNow:
    return this->onTimeoutNow(Now);
  case Body::kHello:
  case Body::BODY_NOT_SET:
    return;
  }
}

std::optional<ProposalPosition>
Replica::propose(TimePoint Now, std::int64_t WallMs, std::string Command) {
  std::uint64_t Uncommitted = this->Log.lastIndex() - this->CommitIndex;
  if (!this->holdsLease(Now) || this->TransferDeadline ||
      Uncommitted >= this->Options.Bounds.EntriesUncommitted)
    return std::nullopt;
  message::Entry Entry;
  Entry.set_command(std::move(Command));
  std::uint64_t Index = this->appendEntry(WallMs, std::move(Entry));
  return ProposalPosition{.Index = Index,
                          .Term = this->CurrentHardState.term()};
}

void Replica::read(TimePoint Now, std::uint64_t Id) {
  if (this->role() != Role::Leader) {
    this->Effects.emplace_back(ReadFailedEffect{.Id = Id});
    return;
  }
  this->Reads.push_back({.Id = Id, .RequestedAt = Now});
}

std::vector<Effect> Replica::takeEffects(TimePoint Now) {
  if (this->role() == Role::Leader) {
    for (auto &[Peer, PeerProgress] : this->Peers)
      this->replicate(Now, Peer, PeerProgress);
    this->completeReads(Now);
    this->continueTransfer(Now);
  }
  return std::exchange(this->Effects, {});
}

void Replica::onPersisted() {
  if (this->DurableIndex == this->Log.lastIndex())
    return;
  this->DurableIndex = this->Log.lastIndex();
  if (this->role() == Role::Leader)
    this->commitByQuorum();
}

bool Replica::isSelfVoter() const {
  return isVoter(this->Log.configuration(), this->Options.Self,
                 this->CurrentHardState.disk());
}

message::StoredRecord Replica::hardStateRecord() const {
  message::StoredRecord Record;
  *Record.mutable_hard_state() = this->CurrentHardState;
  return Record;
}

void Replica::persistHardState() {
  this->Effects.emplace_back(PersistEffect{.Record = this->hardStateRecord()});
}

message::ConsensusMessage Replica::makeMessage() const {
  message::ConsensusMessage Message;
  Message.set_log(this->Options.Log);
  Message.set_disk(this->CurrentHardState.disk());
  Message.set_term(this->CurrentHardState.term());
  return Message;
}

void Replica::send(const HostName &To, message::ConsensusMessage Message) {
  this->Effects.emplace_back(
      SendEffect{.To = To, .Message = std::move(Message)});
}

void Replica::putEntry(message::Entry Entry) {
  assert(Entry.index() > this->CommitIndex &&
         "a committed entry is never replaced");
  this->DurableIndex = std::min(this->DurableIndex, Entry.index() - 1);
  message::StoredRecord Record;
  *Record.mutable_entry() = Entry;
  this->Effects.emplace_back(PersistEffect{.Record = std::move(Record)});
  this->Log.truncateAndAppend(std::move(Entry));
}

void Replica::advanceCommit(std::uint64_t Index) {
  assert(Index <= this->Log.lastIndex());
  while (this->CommitIndex < Index) {
    ++this->CommitIndex;
    const message::Entry &Entry = this->Log.entry(this->CommitIndex);
    this->BytesSinceSnapshot += Entry.ByteSizeLong();
    this->Effects.emplace_back(ApplyEffect{.Entry = Entry});
  }
  this->requestSnapshotIfDue();
}

void Replica::requestSnapshotIfDue() {
  const ReplicaBounds &Bounds = this->Options.Bounds;
  double LastBytes = this->Snapshot ? double(this->Snapshot->size()) : 0;
  if (this->IsSnapshotPending ||
      this->CommitIndex < this->SnapshotIndex + Bounds.SnapshotEntries ||
      double(this->BytesSinceSnapshot) < Bounds.SnapshotSizeRatio * LastBytes)
    return;
  this->IsSnapshotPending = true;
  TakeSnapshotEffect TakeSnapshot;
  TakeSnapshot.Metadata.set_index(this->CommitIndex);
  TakeSnapshot.Metadata.set_term(this->Log.term(this->CommitIndex));
  TakeSnapshot.Metadata.set_stamp_ms(
      this->Log.entry(this->CommitIndex).stamp_ms());
  *TakeSnapshot.Metadata.mutable_configuration() =
      this->Log.configurationAt(this->CommitIndex);
  TakeSnapshot.RetainedRecords = this->recordsFrom(this->CommitIndex + 1);
  this->Effects.emplace_back(std::move(TakeSnapshot));
}

std::vector<message::StoredRecord>
Replica::recordsFrom(std::uint64_t Index) const {
  std::vector<message::StoredRecord> RetainedRecords{this->hardStateRecord()};
  for (; Index <= this->Log.lastIndex(); ++Index)
    *RetainedRecords.emplace_back().mutable_entry() = this->Log.entry(Index);
  return RetainedRecords;
}

void Replica::onSnapshotTaken(const message::StoredSnapshot &Snapshot) {
  this->Snapshot =
      std::make_shared<const std::string>(Snapshot.SerializeAsString());
  this->SnapshotIndex = Snapshot.index();
  this->SnapshotTerm = Snapshot.term();
  this->IsSnapshotPending = false;
  this->DurableIndex = std::max(this->DurableIndex, Snapshot.index());
  this->BytesSinceSnapshot = 0;
  std::uint64_t RetainedEntryCount = this->Options.Bounds.RetainedEntries;
  if (this->SnapshotIndex > RetainedEntryCount)
    this->Log.compact(this->SnapshotIndex - RetainedEntryCount);
}

} // namespace carobhinge
