//===- LibConsensus/ReplicaFollower.cpp - The follower role ---------------===//

#include <LibConsensus/Replica.h>
#include <algorithm>
#include <utility>

namespace carobhinge {

void Replica::followLeader(TimePoint Now, const HostName &From,
                           const message::ConsensusMessage &Message) {
  this->Roles.process(RoleEvent::SteppedDown);
  this->GrantedVotes.clear();
  this->Leader = From;
  this->LastLeaderContact = Now;
  this->resetElectionDeadline(Now);
  for (const message::Promise &WireClaim : Message.promises())
    this->KnownClaims.raise(WireClaim.member().host(),
                            WireClaim.member().disk(),
                            {.Term = WireClaim.term(),
                             .LastTerm = WireClaim.last_term(),
                             .LastIndex = WireClaim.last_index()});
}

void Replica::replyAppend(const HostName &To, bool Accepted,
                          std::uint64_t Index, std::int64_t SentNs) {
  message::ConsensusMessage Message = this->makeMessage();
  message::AppendReply &Reply = *Message.mutable_append_reply();
  Reply.set_accepted(Accepted);
  Reply.set_index(Index);
  Reply.set_sent_ns(SentNs);
  this->send(To, std::move(Message));
}

/// The index from which the leader should retry after a conflict at \p Index:
/// the first uncommitted entry of the conflicting term, so that one round trip
/// skips a whole term.
std::uint64_t Replica::conflictHint(std::uint64_t Index) const {
  std::uint64_t Term = this->Log.term(Index);
  while (Index > this->CommitIndex + 1 && this->Log.term(Index - 1) == Term)
    --Index;
  return Index;
}

void Replica::onAppend(TimePoint Now, const HostName &From,
                       const message::ConsensusMessage &Message) {
  const message::Append &Append = Message.append();
  if (this->role() == Role::Leader)
    return;
  this->followLeader(Now, From, Message);
  std::uint64_t Previous = Append.previous_index();
  if (Previous > this->Log.lastIndex()) {
    this->replyAppend(From, false, this->Log.lastIndex() + 1, Append.sent_ns());
    return;
  }
  // Committed entries are equal on all replicas and need no comparison.
  if (Previous > this->CommitIndex &&
      this->Log.term(Previous) != Append.previous_term()) {
    this->replyAppend(From, false, this->conflictHint(Previous),
                      Append.sent_ns());
    return;
  }
  this->storeEntries(Append);
  std::uint64_t Last =
      Previous + static_cast<std::uint64_t>(Append.entries_size());
  this->advanceCommit(
      std::max(this->CommitIndex, std::min(Append.commit(), Last)));
  this->updateRole(Now);
  this->replyAppend(From, true, Last, Append.sent_ns());
}

void Replica::storeEntries(const message::Append &Append) {
  for (const message::Entry &Entry : Append.entries()) {
    std::uint64_t Index = Entry.index();
    if (Index <= this->CommitIndex)
      continue;
    if (this->Log.hasTerm(Index) && this->Log.term(Index) == Entry.term())
      continue;
    this->putEntry(Entry);
  }
}

void Replica::onSnapshotChunk(TimePoint Now, const HostName &From,
                              const message::ConsensusMessage &Message) {
  const message::SnapshotChunk &Chunk = Message.snapshot_chunk();
  if (this->role() == Role::Leader)
    return;
  this->followLeader(Now, From, Message);
  if (Chunk.index() <= this->CommitIndex) {
    this->replyAppend(From, true, Chunk.index(), Chunk.sent_ns());
    return;
  }
  std::pair Buffered(this->IncomingSnapshotIndex, this->IncomingSnapshotTerm);
  if (Buffered != std::pair(Chunk.index(), Chunk.term())) {
    this->IncomingSnapshot.clear();
    this->IncomingSnapshotIndex = Chunk.index();
    this->IncomingSnapshotTerm = Chunk.term();
  }
  if (Chunk.offset() == this->IncomingSnapshot.size())
    this->IncomingSnapshot += Chunk.bytes();
  if (this->IncomingSnapshot.size() == Chunk.total()) {
    if (this->installSnapshot(From, Chunk)) {
      this->updateRole(Now);
      this->replyAppend(From, true, Chunk.index(), Chunk.sent_ns());
      return;
    }
    // The leader sends it again with its next heartbeat. An answer would make
    // it do so at once, and without end.
    this->IncomingSnapshot.clear();
    return;
  }
  message::ConsensusMessage ReplyMessage = this->makeMessage();
  message::SnapshotReply &Reply = *ReplyMessage.mutable_snapshot_reply();
  Reply.set_index(Chunk.index());
  Reply.set_offset(this->IncomingSnapshot.size());
  Reply.set_sent_ns(Chunk.sent_ns());
  this->send(From, std::move(ReplyMessage));
}

/// \returns false if the received bytes are not a snapshot of that index and
/// term, or the state machine doesn't take it.
bool Replica::installSnapshot(const HostName &From,
                              const message::SnapshotChunk &Chunk) {
  if (this->Log.hasTerm(Chunk.index()) &&
      this->Log.term(Chunk.index()) == Chunk.term()) {
    // The log matches the snapshot and may continue after it. Dropping the
    // acknowledged entries that follow could lose committed ones.
    this->advanceCommit(Chunk.index());
    this->IncomingSnapshot.clear();
    return true;
  }
  InstallSnapshotEffect Install;
  MessageCheck Check;
  if (!Install.Snapshot.ParseFromString(this->IncomingSnapshot))
    Check.addUnreadableSnapshot();
  else
    Check.checkSnapshot(Install.Snapshot, Chunk, this->Options.CanRestore);
  if (!this->isAccepted(From, Check))
    return false;
  this->IncomingSnapshot.clear();
  this->Log.reset(Install.Snapshot);
  this->CommitIndex = Chunk.index();
  this->DurableIndex = Chunk.index();
  this->onSnapshotTaken(Install.Snapshot);
  Install.RetainedRecords = {this->hardStateRecord()};
  this->Effects.emplace_back(std::move(Install));
  return true;
}

} // namespace carobhinge
