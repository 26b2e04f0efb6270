//===- LibConsensus/MessageCheck.cpp - Which messages a replica takes -----===//

#include <LibConsensus/MessageCheck.h>

#include <LibCore/Utf8.h>
#include <algorithm>
#include <set>

namespace carobhinge {

void MessageCheck::add(std::string_view Place, std::string_view Expected,
                       std::string_view Value) {
  if (this->Found.items().size() < MaxFindings)
    this->Found.add(Place, Expected, Value);
}

void MessageCheck::expectBetween(std::string_view Place, std::uint64_t Value,
                                 std::uint64_t Least, std::uint64_t Most) {
  if (Value < Least || Value > Most)
    this->add(Place, std::to_string(Least) + " to " + std::to_string(Most),
              std::to_string(Value));
}

void MessageCheck::checkMessage(const HostName &From,
                                const message::ConsensusMessage &Message) {
  // The name may be written to the disk as a vote, in a field for text.
  if (From.empty() || !isUtf8(From))
    this->add("", "a sender with a name", From.empty() ? "none" : "no text");
  if (Message.disk().empty())
    this->add("/disk", "an identity", "none");
  this->expectBetween("/term", Message.term(), 0, MaxNumber);
  for (const message::Promise &Claim : Message.promises())
    this->checkClaim("/promises", Claim);
  using Body = message::ConsensusMessage;
  using BodyCheck = void (MessageCheck::*)(const message::ConsensusMessage &);
  static constexpr std::pair<Body::BodyCase, BodyCheck> Table[] = {
      {Body::kHello, &MessageCheck::checkHello},
      {Body::kVote, &MessageCheck::checkVote},
      {Body::kVoteReply, &MessageCheck::checkVoteReply},
      {Body::kAppend, &MessageCheck::checkAppend},
      {Body::kAppendReply, &MessageCheck::checkAppendReply},
      {Body::kSnapshotChunk, &MessageCheck::checkSnapshotChunk},
      {Body::kSnapshotReply, &MessageCheck::checkSnapshotReply},
      {Body::kTimeoutNow, &MessageCheck::checkTimeoutNow},
  };
  // A body that this release doesn't know changes nothing.
  for (auto [Case, Check] : Table)
    if (Message.body_case() == Case)
      (this->*Check)(Message);
}

void MessageCheck::checkClaim(std::string_view Place,
                              const message::Promise &Claim) {
  if (std::max({Claim.term(), Claim.last_term(), Claim.last_index()}) <=
      MaxNumber)
    return;
  std::string Prefix(Place);
  this->expectBetween(Prefix + "/term", Claim.term(), 0, MaxNumber);
  this->expectBetween(Prefix + "/last_term", Claim.last_term(), 0, MaxNumber);
  this->expectBetween(Prefix + "/last_index", Claim.last_index(), 0, MaxNumber);
}

void MessageCheck::checkConfiguration(
    std::string_view Place, const message::Configuration &Configuration) {
  std::set<std::string_view> Seen;
  for (const message::Member &Voter : Configuration.voters()) {
    if (Voter.host().empty() || Voter.disk().empty())
      this->add(Place, "voters with a host and an identity", "none");
    if (!Seen.insert(Voter.host()).second)
      this->add(Place, "one voter on each host", Voter.host());
  }
  Seen.clear();
  for (const std::string &Host : Configuration.hosts())
    if (Host.empty() || !Seen.insert(Host).second)
      this->add(Place, "different hosts with names", Host);
}

void MessageCheck::checkHello(const message::ConsensusMessage &Message) {
  const message::Hello &Hello = Message.hello();
  if (!message::Stage_IsValid(Hello.stage()))
    this->add("/hello/stage", "a known stage", std::to_string(Hello.stage()));
  this->checkConfiguration("/hello/configuration", Hello.configuration());
  this->checkClaim("/hello/promise", Hello.promise());
}

void MessageCheck::checkVote(const message::ConsensusMessage &Message) {
  const message::Vote &Vote = Message.vote();
  // Before the first election all hosts are in term zero.
  this->expectBetween("/term", Message.term(), Vote.trial() ? 0 : 1, MaxNumber);
  this->expectBetween("/vote/last_term", Vote.last_term(), 0, Message.term());
  this->expectBetween("/vote/last_index", Vote.last_index(), 0, MaxNumber);
}

void MessageCheck::checkVoteReply(const message::ConsensusMessage &Message) {
  std::uint64_t Least = Message.vote_reply().trial() ? 0 : 1;
  this->expectBetween("/term", Message.term(), Least, MaxNumber);
}

/// The commit index may be past the last entry of a message: the leader has
/// committed entries that it has yet to send here.
void MessageCheck::checkAppend(const message::ConsensusMessage &Message) {
  const message::Append &Append = Message.append();
  this->expectBetween("/term", Message.term(), 1, MaxNumber);
  this->expectBetween("/append/previous_index", Append.previous_index(), 0,
                      MaxNumber);
  bool IsStart = Append.previous_index() == 0;
  this->expectBetween("/append/previous_term", Append.previous_term(),
                      IsStart ? 0 : 1, IsStart ? 0 : Message.term());
  this->expectBetween("/append/commit", Append.commit(), 0, MaxNumber);
  if (this->passed())
    this->checkEntries(Message);
}

void MessageCheck::checkEntries(const message::ConsensusMessage &Message) {
  const message::Append &Append = Message.append();
  std::uint64_t Index = Append.previous_index();
  std::uint64_t LeastTerm = std::max<std::uint64_t>(1, Append.previous_term());
  std::int64_t LeastStamp = 0;
  for (int I = 0; I < Append.entries_size() && this->passed(); ++I) {
    const message::Entry &Entry = Append.entries(I);
    ++Index;
    bool IsStampSound =
        Entry.stamp_ms() >= LeastStamp && Entry.stamp_ms() <= MaxStampMs;
    if (Entry.index() == Index && Entry.term() >= LeastTerm &&
        Entry.term() <= Message.term() && IsStampSound &&
        !Entry.has_configuration()) {
      LeastTerm = Entry.term();
      LeastStamp = Entry.stamp_ms();
      continue;
    }
    std::string Place = "/append/entries/" + std::to_string(I);
    this->expectBetween(Place + "/index", Entry.index(), Index, Index);
    this->expectBetween(Place + "/term", Entry.term(), LeastTerm,
                        Message.term());
    if (!IsStampSound)
      this->add(Place + "/stamp_ms", "a time that doesn't fall",
                std::to_string(Entry.stamp_ms()));
    if (Entry.has_configuration()) {
      if (Entry.configuration().voters().empty())
        this->add(Place + "/configuration", "voters", "none");
      this->checkConfiguration(Place + "/configuration", Entry.configuration());
    }
    LeastTerm = Entry.term();
    LeastStamp = Entry.stamp_ms();
  }
}

void MessageCheck::checkAppendReply(const message::ConsensusMessage &Message) {
  this->expectBetween("/term", Message.term(), 1, MaxNumber);
  this->expectBetween("/append_reply/index", Message.append_reply().index(), 0,
                      MaxNumber);
}

void MessageCheck::checkSnapshotChunk(
    const message::ConsensusMessage &Message) {
  const message::SnapshotChunk &Chunk = Message.snapshot_chunk();
  this->expectBetween("/term", Message.term(), 1, MaxNumber);
  this->expectBetween("/snapshot_chunk/index", Chunk.index(), 1, MaxNumber);
  this->expectBetween("/snapshot_chunk/term", Chunk.term(), 1, Message.term());
  this->expectBetween("/snapshot_chunk/total", Chunk.total(), 1,
                      MaxSnapshotBytes);
  this->expectBetween("/snapshot_chunk/offset", Chunk.offset(), 0,
                      Chunk.total());
  if (this->passed())
    this->expectBetween("/snapshot_chunk/bytes", Chunk.bytes().size(), 0,
                        Chunk.total() - Chunk.offset());
}

void MessageCheck::checkSnapshotReply(
    const message::ConsensusMessage &Message) {
  const message::SnapshotReply &Reply = Message.snapshot_reply();
  this->expectBetween("/term", Message.term(), 1, MaxNumber);
  this->expectBetween("/snapshot_reply/index", Reply.index(), 0, MaxNumber);
  this->expectBetween("/snapshot_reply/offset", Reply.offset(), 0,
                      MaxSnapshotBytes);
}

void MessageCheck::checkTimeoutNow(const message::ConsensusMessage &Message) {
  this->expectBetween("/term", Message.term(), 1, MaxNumber);
}

void MessageCheck::checkCommitted(const MemoryLog &Log,
                                  std::uint64_t CommitIndex, std::uint64_t Term,
                                  const message::ConsensusMessage &Message) {
  if (!this->passed() || Message.term() < Term)
    return;
  if (Message.has_snapshot_chunk())
    this->checkCommittedTerm(Log, CommitIndex, "/snapshot_chunk/term",
                             Message.snapshot_chunk().index(),
                             Message.snapshot_chunk().term());
  if (!Message.has_append())
    return;
  const message::Append &Append = Message.append();
  this->checkCommittedTerm(Log, CommitIndex, "/append/previous_term",
                           Append.previous_index(), Append.previous_term());
  for (const message::Entry &Entry : Append.entries()) {
    if (Entry.index() > CommitIndex)
      return;
    this->checkCommittedTerm(Log, CommitIndex, "/append/entries", Entry.index(),
                             Entry.term());
  }
}

void MessageCheck::checkCommittedTerm(const MemoryLog &Log,
                                      std::uint64_t CommitIndex,
                                      std::string_view Place,
                                      std::uint64_t Index, std::uint64_t Term) {
  if (Index <= CommitIndex && Log.hasTerm(Index) && Log.term(Index) != Term)
    this->add(Place, "the committed term " + std::to_string(Log.term(Index)),
              std::to_string(Term) + " at index " + std::to_string(Index));
}

void MessageCheck::checkSnapshot(
    const message::StoredSnapshot &Snapshot,
    const message::SnapshotChunk &Chunk,
    const std::function<bool(std::string_view)> &CanRestore) {
  this->expectBetween("/snapshot/index", Snapshot.index(), Chunk.index(),
                      Chunk.index());
  this->expectBetween("/snapshot/term", Snapshot.term(), Chunk.term(),
                      Chunk.term());
  if (Snapshot.stamp_ms() < 0 || Snapshot.stamp_ms() > MaxStampMs)
    this->add("/snapshot/stamp_ms", "a time",
              std::to_string(Snapshot.stamp_ms()));
  this->checkConfiguration("/snapshot/configuration", Snapshot.configuration());
  if (this->passed() && CanRestore && !CanRestore(Snapshot.state()))
    this->add("/snapshot/state", "a state of the log's state machine",
              std::to_string(Snapshot.state().size()) + " other bytes");
}

void MessageCheck::addUnreadableSnapshot() {
  this->add("/snapshot", "a snapshot", "other bytes");
}

} // namespace carobhinge
