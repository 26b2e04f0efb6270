//===- LibConsensus/Replica.cpp - Events in, effects out ------------------===//

#include <LibConsensus/Replica.h>
#include <algorithm>
#include <cassert>
#include <utility>

namespace carobhinge {

Replica::Replica(ReplicaOptions Options, StoredReplica Stored, TimePoint Now)
    : Options(std::move(Options)), Random(this->Options.Seed), HelloDue(Now),
      StartedAt(Now) {
  this->loadStored(std::move(Stored));
  this->resetElection(Now);
  if (this->Hard.disk().empty()) {
    this->Hard.set_disk(this->newIdentity());
    const std::vector<HostName> &First = this->Options.Voters;
    if (std::find(First.begin(), First.end(), this->Options.Self) ==
        First.end())
      this->learn(false);
    this->persistHard();
    return;
  }
  if (this->Hard.stage() == message::STAGE_LEARNER)
    this->Roles.process(RoleEvent::LostVote);
  else if (this->Hard.stage() == message::STAGE_FORMED)
    this->Roles.process(RoleEvent::Formed);
  this->refreshRole(Now);
  // An earlier life may have acknowledged a leader a moment ago.
  this->LeaderHeard = Now;
  this->considerConfirmed(Now);
}

void Replica::loadStored(StoredReplica Stored) {
  this->Hard = std::move(Stored.Hard);
  if (this->Hard.stage() == message::STAGE_FORMED)
    this->Log.setFirst(this->Hard.configuration());
  if (Stored.Snapshot) {
    this->Log.reset(*Stored.Snapshot);
    this->snapshotTaken(*Stored.Snapshot);
    this->Commit = Stored.Snapshot->index();
  }
  for (message::Entry &Entry : Stored.Entries)
    this->Log.put(std::move(Entry));
  this->Durable = this->Log.lastIndex();
}

void Replica::tick(TimePoint Now) {
  this->tickMembers(Now);
  if (this->role() == Role::Leader)
    this->tickLeader(Now);
  else if (this->isVotingRole() && Now >= this->ElectionDue)
    this->beginTrial(Now);
}

void Replica::receive(TimePoint Now, const HostName &From,
                      const message::ConsensusMessage &Message) {
  if (Message.log() != this->Options.Log || Message.disk().empty() ||
      From == this->Options.Self)
    return;
  if (Message.has_hello())
    this->onHello(Now, From, Message);
  else if (this->role() != Role::Blank && this->acceptTerm(Now, From, Message))
    this->dispatch(Now, From, Message);
  if (this->Options.Observer)
    this->Options.Observer("message handled");
}

/// Settles what the term of a message means.
/// \returns whether the message is to be handled.
bool Replica::acceptTerm(TimePoint Now, const HostName &From,
                         const message::ConsensusMessage &Message) {
  this->Known.raise(From, Message.disk(), {.Term = Message.term()});
  bool Trial = Message.has_vote() && Message.vote().trial();
  if (Message.term() < this->Hard.term()) {
    // Tell a leader or candidate of the past about the new term.
    if (Message.has_append())
      this->replyAppend(From, false, 0, 0);
    return Trial || (Message.has_vote_reply() && Message.vote_reply().trial());
  }
  if (Message.term() == this->Hard.term() || Trial)
    return true;
  // A candidate that a leader at work refuses may not raise the term either.
  if (Message.has_vote() && this->hearsLeader(Now) &&
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

std::optional<ProposalPlace>
Replica::propose(TimePoint Now, std::int64_t WallMs, std::string Command) {
  std::uint64_t Uncommitted = this->Log.lastIndex() - this->Commit;
  if (!this->holdsLease(Now) || this->TransferUntil ||
      Uncommitted >= this->Options.Bounds.EntriesUncommitted)
    return std::nullopt;
  message::Entry Entry;
  Entry.set_command(std::move(Command));
  std::uint64_t Index = this->appendOwn(WallMs, std::move(Entry));
  return ProposalPlace{.Index = Index, .Term = this->Hard.term()};
}

void Replica::read(TimePoint Now, std::uint64_t Id) {
  if (this->role() != Role::Leader) {
    this->Effects.emplace_back(ReadFailedEffect{.Id = Id});
    return;
  }
  this->Reads.push_back({.Id = Id, .Since = Now});
}

std::vector<Effect> Replica::takeEffects(TimePoint Now) {
  if (this->role() == Role::Leader) {
    for (auto &[Peer, State] : this->Peers)
      this->replicate(Now, Peer, State);
    this->serveReads(Now);
    this->continueTransfer(Now);
  }
  return std::exchange(this->Effects, {});
}

void Replica::persisted() {
  if (this->Durable == this->Log.lastIndex())
    return;
  this->Durable = this->Log.lastIndex();
  if (this->role() == Role::Leader)
    this->commitByQuorum();
}

bool Replica::isSelfVoter() const {
  return isVoter(this->Log.configuration(), this->Options.Self,
                 this->Hard.disk());
}

message::StoredRecord Replica::hardRecord() const {
  message::StoredRecord Record;
  *Record.mutable_hard_state() = this->Hard;
  return Record;
}

void Replica::persistHard() {
  this->Effects.emplace_back(PersistEffect{.Record = this->hardRecord()});
}

message::ConsensusMessage Replica::envelope() const {
  message::ConsensusMessage Message;
  Message.set_log(this->Options.Log);
  Message.set_disk(this->Hard.disk());
  Message.set_term(this->Hard.term());
  return Message;
}

void Replica::send(const HostName &To, message::ConsensusMessage Message) {
  this->Effects.emplace_back(
      SendEffect{.To = To, .Message = std::move(Message)});
}

void Replica::putEntry(message::Entry Entry) {
  assert(Entry.index() > this->Commit && "a committed entry is never replaced");
  this->Durable = std::min(this->Durable, Entry.index() - 1);
  message::StoredRecord Record;
  *Record.mutable_entry() = Entry;
  this->Effects.emplace_back(PersistEffect{.Record = std::move(Record)});
  this->Log.put(std::move(Entry));
}

void Replica::advanceCommit(std::uint64_t Index) {
  assert(Index <= this->Log.lastIndex());
  while (this->Commit < Index) {
    ++this->Commit;
    const message::Entry &Entry = this->Log.entry(this->Commit);
    this->BytesSinceSnapshot += Entry.ByteSizeLong();
    this->Effects.emplace_back(ApplyEffect{.Entry = Entry});
  }
  this->considerSnapshot();
}

void Replica::considerSnapshot() {
  const ReplicaBounds &Bounds = this->Options.Bounds;
  double LastBytes = this->Snapshot ? double(this->Snapshot->size()) : 0;
  if (this->SnapshotUnderWay ||
      this->Commit < this->SnapshotIndex + Bounds.SnapshotEntries ||
      double(this->BytesSinceSnapshot) < Bounds.SnapshotShare * LastBytes)
    return;
  this->SnapshotUnderWay = true;
  TakeSnapshotEffect Take;
  Take.Frame.set_index(this->Commit);
  Take.Frame.set_term(this->Log.term(this->Commit));
  Take.Frame.set_stamp_ms(this->Log.entry(this->Commit).stamp_ms());
  *Take.Frame.mutable_configuration() = this->Log.configurationAt(this->Commit);
  Take.Carried = this->carriedFrom(this->Commit + 1);
  this->Effects.emplace_back(std::move(Take));
}

std::vector<message::StoredRecord>
Replica::carriedFrom(std::uint64_t Index) const {
  std::vector<message::StoredRecord> Carried{this->hardRecord()};
  for (; Index <= this->Log.lastIndex(); ++Index)
    *Carried.emplace_back().mutable_entry() = this->Log.entry(Index);
  return Carried;
}

void Replica::snapshotTaken(const message::StoredSnapshot &Snapshot) {
  this->Snapshot =
      std::make_shared<const std::string>(Snapshot.SerializeAsString());
  this->SnapshotIndex = Snapshot.index();
  this->SnapshotTerm = Snapshot.term();
  this->SnapshotUnderWay = false;
  this->Durable = std::max(this->Durable, Snapshot.index());
  this->BytesSinceSnapshot = 0;
  std::uint64_t Kept = this->Options.Bounds.EntriesKept;
  if (this->SnapshotIndex > Kept)
    this->Log.forget(this->SnapshotIndex - Kept);
}

} // namespace carobhinge
