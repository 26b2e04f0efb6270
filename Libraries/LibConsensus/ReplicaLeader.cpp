//===- LibConsensus/ReplicaLeader.cpp - How a replica leads ---------------===//
///
/// \file
/// Replication, the lease, reads and the transfer of leadership. Every message
/// to a peer carries the time at which it was sent and the answer brings it
/// back, so that the lease counts from a time at which the peer had not yet
/// heard the leader.
///
//===----------------------------------------------------------------------===//

#include <LibConsensus/Replica.h>
#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>

namespace carobhinge {

static std::int64_t wireTime(TimePoint Time) {
  return Time.time_since_epoch().count();
}

void Replica::lead(TimePoint Now) {
  this->Roles.process(RoleEvent::ElectionWon);
  assert(this->role() == Role::Leader);
  this->Grants.clear();
  this->Leader = this->Options.Self;
  this->ElectedAt = Now;
  this->Peers.clear();
  this->refreshPeers();
  // Nothing of an earlier term counts as committed before an entry of this
  // one is. Learners get to know the voters from it.
  message::Entry First;
  *First.mutable_configuration() = this->Log.configuration();
  this->appendOwn(0, std::move(First));
}

std::uint64_t Replica::appendOwn(std::int64_t WallMs, message::Entry Entry) {
  std::uint64_t Index = this->Log.lastIndex() + 1;
  Entry.set_index(Index);
  Entry.set_term(this->Hard.term());
  Entry.set_stamp_ms(std::max(WallMs, this->Log.lastStamp()));
  this->putEntry(std::move(Entry));
  return Index;
}

void Replica::tickLeader(TimePoint Now) {
  TimePoint Heard = std::max(this->quorumAcknowledged(Now), this->ElectedAt);
  if (Now - Heard >= this->Options.Timings.ElectionMost) {
    this->stepDown(Now);
    return;
  }
  if (this->TransferUntil && Now >= *this->TransferUntil)
    this->TransferUntil.reset();
  this->changeVoters(Now);
}

TimePoint Replica::quorumAcknowledged(TimePoint Now) const {
  std::vector<TimePoint> Times;
  const message::Configuration &Current = this->Log.configuration();
  for (const message::Member &Voter : Current.voters()) {
    auto Peer = this->Peers.find(Voter.host());
    if (Voter.host() == this->Options.Self)
      Times.push_back(Now);
    else if (Peer != this->Peers.end() && Peer->second.Disk == Voter.disk())
      Times.push_back(Peer->second.Acknowledged);
  }
  std::sort(Times.begin(), Times.end(), std::greater<>());
  std::size_t Needed = quorum(Current);
  return Times.size() < Needed ? TimePoint::min() : Times[Needed - 1];
}

bool Replica::holdsLease(TimePoint Now) const {
  if (this->role() != Role::Leader)
    return false;
  TimePoint Heard = this->quorumAcknowledged(Now);
  return Heard != TimePoint::min() &&
         Now - Heard < this->Options.Timings.lease();
}

void Replica::replicate(TimePoint Now, const HostName &Peer, Progress &State) {
  bool Due = Now >= State.HeartbeatDue;
  if (State.Snapshot || !this->Log.knows(State.Next - 1)) {
    if (Due || !State.ChunkInFlight)
      this->sendChunk(Now, Peer, State);
    return;
  }
  const ReplicaBounds &Bounds = this->Options.Bounds;
  while (State.Next <= this->Log.lastIndex() &&
         State.EntriesInFlight < Bounds.EntriesInFlight &&
         State.BytesInFlight < Bounds.BytesInFlight) {
    this->sendEntries(Now, Peer, State);
    Due = false;
  }
  if (Due)
    this->sendEntries(Now, Peer, State);
}

/// Sends what fits into one message, which may be nothing: a heartbeat.
void Replica::sendEntries(TimePoint Now, const HostName &Peer,
                          Progress &State) {
  const ReplicaBounds &Bounds = this->Options.Bounds;
  message::ConsensusMessage Message = this->envelope();
  message::Append &Append = *Message.mutable_append();
  Append.set_previous_index(State.Next - 1);
  Append.set_previous_term(this->Log.term(State.Next - 1));
  Append.set_commit(this->Commit);
  Append.set_sent_ns(wireTime(Now));
  Flight Sent{.LastIndex = State.Next - 1};
  while (Sent.LastIndex < this->Log.lastIndex() &&
         Sent.Entries < Bounds.EntriesPerMessage &&
         Sent.Bytes < Bounds.BytesPerMessage &&
         State.EntriesInFlight + Sent.Entries < Bounds.EntriesInFlight &&
         State.BytesInFlight + Sent.Bytes < Bounds.BytesInFlight) {
    const message::Entry &Entry = this->Log.entry(Sent.LastIndex + 1);
    *Append.add_entries() = Entry;
    Sent.Bytes += Entry.ByteSizeLong();
    ++Sent.Entries;
    ++Sent.LastIndex;
  }
  if (Sent.Entries > 0)
    State.launch(Sent);
  else
    this->fillClaims(Append);
  State.HeartbeatDue = Now + this->Options.Timings.Heartbeat;
  this->send(Peer, std::move(Message));
}

void Replica::sendChunk(TimePoint Now, const HostName &Peer, Progress &State) {
  assert(this->Snapshot && "entries are forgotten behind a snapshot only");
  if (!State.Snapshot) {
    State.Snapshot = this->Snapshot;
    State.SnapshotIndex = this->SnapshotIndex;
    State.SnapshotTerm = this->SnapshotTerm;
    State.SnapshotOffset = 0;
  }
  message::ConsensusMessage Message = this->envelope();
  message::SnapshotChunk &Chunk = *Message.mutable_snapshot_chunk();
  Chunk.set_index(State.SnapshotIndex);
  Chunk.set_term(State.SnapshotTerm);
  Chunk.set_offset(State.SnapshotOffset);
  Chunk.set_bytes(State.Snapshot->substr(
      State.SnapshotOffset, this->Options.Bounds.SnapshotChunkBytes));
  Chunk.set_total(State.Snapshot->size());
  Chunk.set_sent_ns(wireTime(Now));
  State.ChunkInFlight = true;
  State.HeartbeatDue = Now + this->Options.Timings.Heartbeat;
  this->send(Peer, std::move(Message));
}

/// Spreads what the voters have claimed, so that a lost disk is found out even
/// when this leader is gone.
void Replica::fillClaims(message::Append &Append) const {
  for (const message::Member &Voter : this->Log.configuration().voters()) {
    Claim Claimed = this->Known.of(Voter.host(), Voter.disk());
    if (Voter.host() == this->Options.Self)
      Claimed = {.Term = this->Hard.term(),
                 .LastTerm = this->Log.term(this->Durable),
                 .LastIndex = this->Durable};
    message::Promise &Promise = *Append.add_promises();
    *Promise.mutable_member() = Voter;
    Promise.set_term(Claimed.Term);
    Promise.set_last_term(Claimed.LastTerm);
    Promise.set_last_index(Claimed.LastIndex);
  }
}

/// The progress of the peer that answers, if the answer counts.
Progress *Replica::answering(const HostName &From,
                             const message::ConsensusMessage &Message,
                             std::int64_t SentNs) {
  if (this->role() != Role::Leader)
    return nullptr;
  auto Peer = this->Peers.find(From);
  if (Peer == this->Peers.end())
    return nullptr;
  Progress &State = Peer->second;
  if (State.Disk != Message.disk()) {
    if (!isVoter(this->Log.configuration(), From, Message.disk()))
      return nullptr;
    // A voter that answers takes its place back.
    State = Progress{.Disk = Message.disk(), .Next = this->Log.lastIndex() + 1};
  }
  TimePoint Sent{Duration(SentNs)};
  if (Sent >= this->ElectedAt)
    State.Acknowledged = std::max(State.Acknowledged, Sent);
  return &State;
}

void Replica::onAppendReply(TimePoint Now, const HostName &From,
                            const message::ConsensusMessage &Message) {
  const message::AppendReply &Reply = Message.append_reply();
  if (Reply.index() > this->Log.lastIndex() + 1 ||
      TimePoint(Duration(Reply.sent_ns())) > Now)
    return;
  Progress *State = this->answering(From, Message, Reply.sent_ns());
  if (State == nullptr)
    return;
  if (!Reply.accepted()) {
    if (Reply.index() <= State->Match)
      this->sayHello(From, true);
    if (TimePoint(Duration(Reply.sent_ns())) >= State->RewoundAt)
      State->rewind(Reply.index(), Now);
    return;
  }
  if (Reply.index() > this->Log.lastIndex())
    return;
  State->land(Reply.index());
  if (this->Log.knows(Reply.index()))
    this->Known.raise(From, Message.disk(),
                      {.Term = Message.term(),
                       .LastTerm = this->Log.term(Reply.index()),
                       .LastIndex = Reply.index()});
  this->commitByQuorum();
}

void Replica::onSnapshotReply(TimePoint Now, const HostName &From,
                              const message::ConsensusMessage &Message) {
  const message::SnapshotReply &Reply = Message.snapshot_reply();
  if (TimePoint(Duration(Reply.sent_ns())) > Now)
    return;
  Progress *State = this->answering(From, Message, Reply.sent_ns());
  if (State == nullptr || !State->Snapshot ||
      Reply.index() != State->SnapshotIndex ||
      Reply.offset() > State->Snapshot->size())
    return;
  State->SnapshotOffset = Reply.offset();
  State->ChunkInFlight = false;
}

void Replica::commitByQuorum() {
  const message::Configuration &Current = this->Log.configuration();
  std::vector<std::uint64_t> Matches;
  for (const message::Member &Voter : Current.voters()) {
    auto Peer = this->Peers.find(Voter.host());
    if (Voter.host() == this->Options.Self)
      Matches.push_back(this->Durable);
    else if (Peer != this->Peers.end() && Peer->second.Disk == Voter.disk())
      Matches.push_back(Peer->second.Match);
  }
  std::size_t Needed = quorum(Current);
  if (Matches.size() < Needed)
    return;
  std::sort(Matches.begin(), Matches.end(), std::greater<>());
  std::uint64_t Index = Matches[Needed - 1];
  // An entry of an earlier term may be replaced although a quorum holds it;
  // it is committed together with the first one of this term.
  if (Index > this->Commit && this->Log.term(Index) == this->Hard.term())
    this->advanceCommit(Index);
}

bool Replica::committedOwnTerm() const {
  return this->Log.term(this->Commit) == this->Hard.term();
}

/// Every entry committed before a read began is at or below Commit if nobody
/// else could lead at a time after the read began: by the lease now, or
/// because a quorum answered to what was sent since.
void Replica::serveReads(TimePoint Now) {
  if (!this->committedOwnTerm())
    return;
  bool Lease = this->holdsLease(Now) && !this->TransferUntil;
  TimePoint Heard = this->quorumAcknowledged(Now);
  auto Served = [&](const PendingRead &Read) {
    if (!Lease && Heard < Read.Since)
      return false;
    this->Effects.emplace_back(ReadReadyEffect{.Id = Read.Id});
    return true;
  };
  this->Reads.erase(
      std::remove_if(this->Reads.begin(), this->Reads.end(), Served),
      this->Reads.end());
}

void Replica::transferLeadership(TimePoint Now) {
  if (this->role() == Role::Leader && !this->TransferUntil)
    this->TransferUntil = Now + this->Options.Timings.ElectionLeast;
}

void Replica::continueTransfer(TimePoint Now) {
  if (!this->TransferUntil || this->Commit != this->Log.lastIndex())
    return;
  for (const auto &[Host, State] : this->Peers) {
    if (State.Match != this->Log.lastIndex() || !this->isActive(State, Now) ||
        !isVoter(this->Log.configuration(), Host, State.Disk))
      continue;
    message::ConsensusMessage Message = this->envelope();
    Message.mutable_timeout_now();
    HostName Heir = Host;
    // The lease is given up for good before the heir may ask for votes that
    // others would refuse while it lasts.
    this->stepDown(Now);
    this->send(Heir, std::move(Message));
    return;
  }
}

} // namespace carobhinge
