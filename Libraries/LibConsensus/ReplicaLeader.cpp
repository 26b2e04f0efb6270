//===- LibConsensus/ReplicaLeader.cpp - The leader role -------------------===//
///
/// \file
/// Replication, the lease, reads and leadership transfer. Every message to a
/// peer carries its send time, which the reply echoes. The lease is counted
/// from the send time, which is always before the time at which the peer
/// received the message.
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

void Replica::becomeLeader(TimePoint Now) {
  this->Roles.process(RoleEvent::ElectionWon);
  assert(this->role() == Role::Leader);
  this->GrantedVotes.clear();
  this->Leader = this->Options.Self;
  this->ElectedAt = Now;
  this->Peers.clear();
  this->updatePeers();
  // Entries of earlier terms count as committed only once an entry of this
  // term is. Learners also receive the voters with this entry.
  message::Entry FirstEntry;
  *FirstEntry.mutable_configuration() = this->Log.configuration();
  this->appendEntry(0, std::move(FirstEntry));
}

std::uint64_t Replica::appendEntry(std::int64_t WallMs, message::Entry Entry) {
  std::uint64_t Index = this->Log.lastIndex() + 1;
  Entry.set_index(Index);
  Entry.set_term(this->CurrentHardState.term());
  Entry.set_stamp_ms(std::max(WallMs, this->Log.lastStamp()));
  this->putEntry(std::move(Entry));
  return Index;
}

void Replica::tickLeader(TimePoint Now) {
  TimePoint QuorumTime =
      std::max(this->quorumAcknowledgedTime(Now), this->ElectedAt);
  if (Now - QuorumTime >= this->Options.Timings.MaxElectionTimeout) {
    this->stepDown(Now);
    return;
  }
  if (this->TransferDeadline && Now >= *this->TransferDeadline)
    this->TransferDeadline.reset();
  this->advanceVoterChange(Now);
}

TimePoint Replica::quorumAcknowledgedTime(TimePoint Now) const {
  std::vector<TimePoint> Times;
  const message::Configuration &Current = this->Log.configuration();
  for (const message::Member &Voter : Current.voters()) {
    auto Peer = this->Peers.find(Voter.host());
    if (Voter.host() == this->Options.Self)
      Times.push_back(Now);
    else if (Peer != this->Peers.end() && Peer->second.Disk == Voter.disk())
      Times.push_back(Peer->second.LastAcknowledged);
  }
  std::sort(Times.begin(), Times.end(), std::greater<>());
  std::size_t Needed = quorum(Current);
  return Times.size() < Needed ? TimePoint::min() : Times[Needed - 1];
}

bool Replica::holdsLease(TimePoint Now) const {
  if (this->role() != Role::Leader)
    return false;
  TimePoint QuorumTime = this->quorumAcknowledgedTime(Now);
  return QuorumTime != TimePoint::min() &&
         Now - QuorumTime < this->Options.Timings.lease();
}

void Replica::replicate(TimePoint Now, const HostName &Peer,
                        Progress &PeerProgress) {
  bool IsHeartbeatDue = Now >= PeerProgress.NextHeartbeatAt;
  if (PeerProgress.Snapshot || !this->Log.hasTerm(PeerProgress.Next - 1)) {
    if (IsHeartbeatDue || !PeerProgress.ChunkInFlight)
      this->sendChunk(Now, Peer, PeerProgress);
    return;
  }
  const ReplicaBounds &Bounds = this->Options.Bounds;
  while (PeerProgress.Next <= this->Log.lastIndex() &&
         PeerProgress.EntriesInFlight < Bounds.EntriesInFlight &&
         PeerProgress.BytesInFlight < Bounds.BytesInFlight) {
    this->sendEntries(Now, Peer, PeerProgress);
    IsHeartbeatDue = false;
  }
  if (IsHeartbeatDue)
    this->sendEntries(Now, Peer, PeerProgress);
}

/// Sends as many entries as fit into one message; with none it is a heartbeat.
void Replica::sendEntries(TimePoint Now, const HostName &Peer,
                          Progress &PeerProgress) {
  const ReplicaBounds &Bounds = this->Options.Bounds;
  message::ConsensusMessage Message = this->makeMessage();
  message::Append &Append = *Message.mutable_append();
  Append.set_previous_index(PeerProgress.Next - 1);
  Append.set_previous_term(this->Log.term(PeerProgress.Next - 1));
  Append.set_commit(this->CommitIndex);
  Append.set_sent_ns(wireTime(Now));
  InFlightAppend NewAppend{.LastIndex = PeerProgress.Next - 1};
  while (NewAppend.LastIndex < this->Log.lastIndex() &&
         NewAppend.Entries < Bounds.EntriesPerMessage &&
         NewAppend.Bytes < Bounds.BytesPerMessage &&
         PeerProgress.EntriesInFlight + NewAppend.Entries <
             Bounds.EntriesInFlight &&
         PeerProgress.BytesInFlight + NewAppend.Bytes < Bounds.BytesInFlight) {
    const message::Entry &Entry = this->Log.entry(NewAppend.LastIndex + 1);
    *Append.add_entries() = Entry;
    NewAppend.Bytes += Entry.ByteSizeLong();
    ++NewAppend.Entries;
    ++NewAppend.LastIndex;
  }
  if (NewAppend.Entries > 0)
    PeerProgress.recordSent(NewAppend);
  else
    this->addClaims(Message);
  PeerProgress.NextHeartbeatAt = Now + this->Options.Timings.Heartbeat;
  this->send(Peer, std::move(Message));
}

void Replica::sendChunk(TimePoint Now, const HostName &Peer,
                        Progress &PeerProgress) {
  assert(this->Snapshot &&
         "entries are only discarded once a snapshot covers them");
  if (!PeerProgress.Snapshot) {
    PeerProgress.Snapshot = this->Snapshot;
    PeerProgress.SnapshotIndex = this->SnapshotIndex;
    PeerProgress.SnapshotTerm = this->SnapshotTerm;
    PeerProgress.SnapshotOffset = 0;
  }
  message::ConsensusMessage Message = this->makeMessage();
  message::SnapshotChunk &Chunk = *Message.mutable_snapshot_chunk();
  Chunk.set_index(PeerProgress.SnapshotIndex);
  Chunk.set_term(PeerProgress.SnapshotTerm);
  Chunk.set_offset(PeerProgress.SnapshotOffset);
  Chunk.set_bytes(PeerProgress.Snapshot->substr(
      PeerProgress.SnapshotOffset, this->Options.Bounds.SnapshotChunkBytes));
  Chunk.set_total(PeerProgress.Snapshot->size());
  Chunk.set_sent_ns(wireTime(Now));
  this->addClaims(Message);
  PeerProgress.ChunkInFlight = true;
  PeerProgress.NextHeartbeatAt = Now + this->Options.Timings.Heartbeat;
  this->send(Peer, std::move(Message));
}

/// Adds the claims of all voters to \p Message, so that other hosts can detect
/// a lost disk even after this leader has failed.
void Replica::addClaims(message::ConsensusMessage &Message) const {
  for (const message::Member &Voter : this->Log.configuration().voters()) {
    Claim Claimed = this->KnownClaims.highestClaim(Voter.host(), Voter.disk());
    if (Voter.host() == this->Options.Self)
      Claimed = {.Term = this->CurrentHardState.term(),
                 .LastTerm = this->Log.term(this->DurableIndex),
                 .LastIndex = this->DurableIndex};
    message::Promise &WireClaim = *Message.add_promises();
    *WireClaim.mutable_member() = Voter;
    WireClaim.set_term(Claimed.Term);
    WireClaim.set_last_term(Claimed.LastTerm);
    WireClaim.set_last_index(Claimed.LastIndex);
  }
}

/// \returns the progress of the peer that replied; null if the reply must be
/// ignored.
Progress *Replica::findRespondingPeer(const HostName &From,
                                      const message::ConsensusMessage &Message,
                                      std::int64_t SentNs) {
  if (this->role() != Role::Leader)
    return nullptr;
  auto Peer = this->Peers.find(From);
  if (Peer == this->Peers.end())
    return nullptr;
  Progress &PeerProgress = Peer->second;
  if (PeerProgress.Disk != Message.disk()) {
    if (!isVoter(this->Log.configuration(), From, Message.disk()))
      return nullptr;
    // A voter that replies replaces the learner tracked for its host.
    PeerProgress =
        Progress{.Disk = Message.disk(), .Next = this->Log.lastIndex() + 1};
  }
  TimePoint SentAt{Duration(SentNs)};
  if (SentAt >= this->ElectedAt)
    PeerProgress.LastAcknowledged =
        std::max(PeerProgress.LastAcknowledged, SentAt);
  return &PeerProgress;
}

void Replica::onAppendReply(TimePoint Now, const HostName &From,
                            const message::ConsensusMessage &Message) {
  const message::AppendReply &Reply = Message.append_reply();
  if (Reply.index() > this->Log.lastIndex() + 1 ||
      TimePoint(Duration(Reply.sent_ns())) > Now)
    return;
  Progress *PeerProgress =
      this->findRespondingPeer(From, Message, Reply.sent_ns());
  if (PeerProgress == nullptr)
    return;
  if (!Reply.accepted()) {
    if (Reply.index() <= PeerProgress->Match)
      this->sendHello(From, true);
    if (TimePoint(Duration(Reply.sent_ns())) >= PeerProgress->RewoundAt)
      PeerProgress->rewind(Reply.index(), Now);
    return;
  }
  if (Reply.index() > this->Log.lastIndex())
    return;
  PeerProgress->recordAcknowledged(Reply.index());
  if (this->Log.hasTerm(Reply.index()))
    this->KnownClaims.raise(From, Message.disk(),
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
  Progress *PeerProgress =
      this->findRespondingPeer(From, Message, Reply.sent_ns());
  if (PeerProgress == nullptr || !PeerProgress->Snapshot ||
      Reply.index() != PeerProgress->SnapshotIndex ||
      Reply.offset() > PeerProgress->Snapshot->size())
    return;
  PeerProgress->SnapshotOffset = Reply.offset();
  PeerProgress->ChunkInFlight = false;
}

void Replica::commitByQuorum() {
  const message::Configuration &Current = this->Log.configuration();
  std::vector<std::uint64_t> Matches;
  for (const message::Member &Voter : Current.voters()) {
    auto Peer = this->Peers.find(Voter.host());
    if (Voter.host() == this->Options.Self)
      Matches.push_back(this->DurableIndex);
    else if (Peer != this->Peers.end() && Peer->second.Disk == Voter.disk())
      Matches.push_back(Peer->second.Match);
  }
  std::size_t Needed = quorum(Current);
  if (Matches.size() < Needed)
    return;
  std::sort(Matches.begin(), Matches.end(), std::greater<>());
  std::uint64_t Index = Matches[Needed - 1];
  // An entry of an earlier term may be overwritten although a quorum holds it;
  // it is committed together with the first entry of this term.
  if (Index > this->CommitIndex &&
      this->Log.term(Index) == this->CurrentHardState.term())
    this->advanceCommit(Index);
}

bool Replica::hasCommittedInCurrentTerm() const {
  return this->Log.term(this->CommitIndex) == this->CurrentHardState.term();
}

/// CommitIndex covers every entry committed before a read began if no other
/// replica could have led at some time after the read began. That holds while
/// this replica has the lease, or once a quorum has answered a message sent
/// after the read began.
void Replica::completeReads(TimePoint Now) {
  if (!this->hasCommittedInCurrentTerm())
    return;
  bool HasLease = this->holdsLease(Now) && !this->TransferDeadline;
  TimePoint QuorumTime = this->quorumAcknowledgedTime(Now);
  auto TryComplete = [&](const PendingRead &Read) {
    if (!HasLease && QuorumTime < Read.RequestedAt)
      return false;
    this->Effects.emplace_back(ReadReadyEffect{.Id = Read.Id});
    return true;
  };
  this->Reads.erase(
      std::remove_if(this->Reads.begin(), this->Reads.end(), TryComplete),
      this->Reads.end());
}

void Replica::transferLeadership(TimePoint Now) {
  if (this->role() == Role::Leader && !this->TransferDeadline)
    this->TransferDeadline = Now + this->Options.Timings.MinElectionTimeout;
}

void Replica::continueTransfer(TimePoint Now) {
  if (!this->TransferDeadline || this->CommitIndex != this->Log.lastIndex())
    return;
  for (const auto &[Host, PeerProgress] : this->Peers) {
    if (PeerProgress.Match != this->Log.lastIndex() ||
        !this->isActive(PeerProgress, Now) ||
        !isVoter(this->Log.configuration(), Host, PeerProgress.Disk))
      continue;
    message::ConsensusMessage Message = this->makeMessage();
    Message.mutable_timeout_now();
    HostName NewLeader = Host;
    // Step down first: the new leader's vote requests override the lease, so
    // this replica must no longer rely on it.
    this->stepDown(Now);
    this->send(NewLeader, std::move(Message));
    return;
  }
}

} // namespace carobhinge
