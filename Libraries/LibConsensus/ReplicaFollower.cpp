//===- LibConsensus/ReplicaFollower.cpp - How a replica follows -----------===//

#include <LibConsensus/Replica.h>
#include <algorithm>
#include <utility>

namespace carobhinge {

void Replica::followLeader(TimePoint Now, const HostName &From,
                           const message::ConsensusMessage &Message) {
  this->Roles.process(RoleEvent::SteppedDown);
  this->Grants.clear();
  this->Leader = From;
  this->LeaderHeard = Now;
  this->resetElection(Now);
  for (const message::Promise &Promise : Message.promises())
    this->Known.raise(Promise.member().host(), Promise.member().disk(),
                      {.Term = Promise.term(),
                       .LastTerm = Promise.last_term(),
                       .LastIndex = Promise.last_index()});
}

void Replica::replyAppend(const HostName &To, bool Accepted,
                          std::uint64_t Index, std::int64_t SentNs) {
  message::ConsensusMessage Message = this->envelope();
  message::AppendReply &Reply = *Message.mutable_append_reply();
  Reply.set_accepted(Accepted);
  Reply.set_index(Index);
  Reply.set_sent_ns(SentNs);
  this->send(To, std::move(Message));
}

/// Whether the entries of \p Append can be a piece of a log.
static bool isWellFormed(const message::Append &Append, std::uint64_t Term) {
  std::uint64_t Index = Append.previous_index();
  std::uint64_t Least = Append.previous_term();
  for (const message::Entry &Entry : Append.entries()) {
    if (Entry.index() != ++Index || Entry.term() < Least || Entry.term() > Term)
      return false;
    Least = Entry.term();
  }
  return true;
}

/// Where to try next after a conflict at \p Index: the first uncommitted entry
/// of the term in conflict, so that a whole term is passed over at once.
std::uint64_t Replica::conflictHint(std::uint64_t Index) const {
  std::uint64_t Term = this->Log.term(Index);
  while (Index > this->Commit + 1 && this->Log.term(Index - 1) == Term)
    --Index;
  return Index;
}

void Replica::onAppend(TimePoint Now, const HostName &From,
                       const message::ConsensusMessage &Message) {
  const message::Append &Append = Message.append();
  if (this->role() == Role::Leader || !isWellFormed(Append, Message.term()))
    return;
  this->followLeader(Now, From, Message);
  std::uint64_t Previous = Append.previous_index();
  if (Previous > this->Log.lastIndex()) {
    this->replyAppend(From, false, this->Log.lastIndex() + 1, Append.sent_ns());
    return;
  }
  // What is committed is equal on all and need not be compared.
  if (Previous > this->Commit &&
      this->Log.term(Previous) != Append.previous_term()) {
    this->replyAppend(From, false, this->conflictHint(Previous),
                      Append.sent_ns());
    return;
  }
  this->acceptEntries(Append);
  std::uint64_t Last =
      Previous + static_cast<std::uint64_t>(Append.entries_size());
  this->advanceCommit(std::max(this->Commit, std::min(Append.commit(), Last)));
  this->refreshRole(Now);
  this->replyAppend(From, true, Last, Append.sent_ns());
}

void Replica::acceptEntries(const message::Append &Append) {
  for (const message::Entry &Entry : Append.entries()) {
    std::uint64_t Index = Entry.index();
    if (Index <= this->Commit)
      continue;
    if (this->Log.knows(Index) && this->Log.term(Index) == Entry.term())
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
  if (Chunk.index() <= this->Commit) {
    this->replyAppend(From, true, Chunk.index(), Chunk.sent_ns());
    return;
  }
  std::pair Wanted(this->IncomingIndex, this->IncomingTerm);
  if (Wanted != std::pair(Chunk.index(), Chunk.term())) {
    this->Incoming.clear();
    this->IncomingIndex = Chunk.index();
    this->IncomingTerm = Chunk.term();
  }
  if (Chunk.offset() == this->Incoming.size())
    this->Incoming += Chunk.bytes();
  if (this->Incoming.size() == Chunk.total()) {
    if (this->installSnapshot(Chunk)) {
      this->refreshRole(Now);
      this->replyAppend(From, true, Chunk.index(), Chunk.sent_ns());
      return;
    }
    this->Incoming.clear();
  }
  message::ConsensusMessage Out = this->envelope();
  message::SnapshotReply &Reply = *Out.mutable_snapshot_reply();
  Reply.set_index(Chunk.index());
  Reply.set_offset(this->Incoming.size());
  Reply.set_sent_ns(Chunk.sent_ns());
  this->send(From, std::move(Out));
}

/// \returns false if what came in is no snapshot of that index.
bool Replica::installSnapshot(const message::SnapshotChunk &Chunk) {
  if (this->Log.knows(Chunk.index()) &&
      this->Log.term(Chunk.index()) == Chunk.term()) {
    // The log goes on behind it: dropping entries that were acknowledged
    // could lose what is committed.
    this->advanceCommit(Chunk.index());
    this->Incoming.clear();
    return true;
  }
  InstallSnapshotEffect Install;
  if (!Install.Snapshot.ParseFromString(this->Incoming) ||
      Install.Snapshot.index() != Chunk.index() ||
      Install.Snapshot.term() != Chunk.term())
    return false;
  this->Incoming.clear();
  this->Log.reset(Install.Snapshot);
  this->Commit = Chunk.index();
  this->Durable = Chunk.index();
  this->snapshotTaken(Install.Snapshot);
  Install.Carried = {this->hardRecord()};
  this->Effects.emplace_back(std::move(Install));
  return true;
}

} // namespace carobhinge
