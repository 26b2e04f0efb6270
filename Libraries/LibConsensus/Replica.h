//===- LibConsensus/Replica.h - One replica of a replicated log -----------===//
///
/// \file
/// All decisions of one replica: Raft with pre-vote, leader lease, pipelined
/// replication, snapshots in chunks, change of voters through learners and
/// transfer of leadership. It has no clock, no thread and no files; its driver
/// tells it the time and what arrived, and carries out its effects.
///
/// Voters are a host together with one life of its disk, so that a disk that
/// was lost or put back to an older state cannot vote twice:
///
/// * The log comes into being once, when all first hosts are up. Each makes up
///   an identity, hears those of all others, and *locks* that set durably.
///   Voting begins once all are known to have locked the same set. Until then
///   nobody has voted; from then on no identity outside the set can vote
///   unless the log itself admits it. So an empty disk never votes, and no
///   guess is needed whether it is new or was lost.
/// * A voter that restarts asks the others what they know it to have claimed,
///   and neither votes nor stands before all have answered, or a quorum and no
///   one else has for ElectionMost. If it holds less, it takes a new identity.
///   It never votes in the term that it restarted in, unless as it did before.
/// * A new identity on a host that should hold a voter becomes a learner. Once
///   it has caught up, the leader takes out the old identity and puts in the
///   new one, in two changes of one voter each.
///
/// What remains: a disk put back to an older state is not found out if every
/// other host that knew of the newer one is away or has restarted since.
///
/// The parts: Replica.cpp takes events and gives effects, ReplicaElection.cpp
/// votes, ReplicaLeader.cpp leads, ReplicaFollower.cpp follows,
/// ReplicaMembers.cpp deals with identities and voters.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_REPLICA_H
#define LIBCONSENSUS_REPLICA_H

#include <LibConsensus/Effects.h>
#include <LibConsensus/Members.h>
#include <LibConsensus/MemoryLog.h>
#include <LibConsensus/Progress.h>
#include <LibConsensus/ReplicaOptions.h>
#include <LibConsensus/RoleMachine.h>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace carobhinge {

/// What the files of a replica held when it started.
struct StoredReplica {
  message::HardState Hard;
  std::optional<message::StoredSnapshot> Snapshot;
  /// Consecutive; the first one follows the snapshot.
  std::vector<message::Entry> Entries;
};

/// Where a proposal stands in the log. It is committed if the entry applied at
/// Index has this term.
struct ProposalPlace {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
};

class Replica {
public:
  Replica(ReplicaOptions Options, StoredReplica Stored, TimePoint Now);

  void tick(TimePoint Now);
  void receive(TimePoint Now, const HostName &From,
               const message::ConsensusMessage &Message);

  /// Nothing if this replica does not lead, its lease ran out, it is handing
  /// over, or too much is uncommitted: then the command is surely not in the
  /// log. \p WallMs is the wall clock in milliseconds.
  std::optional<ProposalPlace> propose(TimePoint Now, std::int64_t WallMs,
                                       std::string Command);

  /// Ends in one ReadReadyEffect or ReadFailedEffect with \p Id.
  void read(TimePoint Now, std::uint64_t Id);

  /// Stops taking proposals and hands over once they are all committed.
  void transferLeadership(TimePoint Now);

  /// Asks for a voter on each of \p Hosts and nowhere else. Ignored unless
  /// leader with the last change done. \returns whether it was taken.
  bool changeHosts(TimePoint Now, const std::vector<HostName> &Hosts);

  /// Hosts that may have a part in the log. While this replica learns it makes
  /// itself known to them, as none of the first hosts may lead any more.
  void meet(std::vector<HostName> Hosts) { this->Met = std::move(Hosts); }

  /// What is to be done, in order. After an empty answer nothing is.
  std::vector<Effect> takeEffects(TimePoint Now);

  /// All effects taken so far are carried out, and all records durable.
  void persisted();

  /// A TakeSnapshotEffect was carried out.
  void snapshotTaken(const message::StoredSnapshot &Snapshot);

  [[nodiscard]] Role role() const { return this->Roles.current(); }
  [[nodiscard]] std::uint64_t term() const { return this->Hard.term(); }
  [[nodiscard]] const HostName &leader() const { return this->Leader; }
  [[nodiscard]] std::uint64_t commit() const { return this->Commit; }
  [[nodiscard]] const std::string &disk() const { return this->Hard.disk(); }
  [[nodiscard]] const MemoryLog &log() const { return this->Log; }
  /// Whether this replica leads and nobody else can act as leader yet.
  [[nodiscard]] bool holdsLease(TimePoint Now) const;
  [[nodiscard]] std::vector<HostName> learners() const;
  [[nodiscard]] bool repairComplete(TimePoint Now) const;
  [[nodiscard]] const ReplicaOptions &options() const { return this->Options; }

private:
  struct PendingRead {
    std::uint64_t Id = 0;
    TimePoint Since;
  };

  // Replica.cpp
  void loadStored(StoredReplica Stored);
  bool acceptTerm(TimePoint Now, const HostName &From,
                  const message::ConsensusMessage &Message);
  void dispatch(TimePoint Now, const HostName &From,
                const message::ConsensusMessage &Message);
  void persistHard();
  [[nodiscard]] message::StoredRecord hardRecord() const;
  [[nodiscard]] bool isSelfVoter() const;
  void send(const HostName &To, message::ConsensusMessage Message);
  [[nodiscard]] message::ConsensusMessage envelope() const;
  void putEntry(message::Entry Entry);
  void advanceCommit(std::uint64_t Index);
  void considerSnapshot();
  [[nodiscard]] std::vector<message::StoredRecord>
  carriedFrom(std::uint64_t Index) const;

  // ReplicaElection.cpp
  void adoptTerm(TimePoint Now, std::uint64_t Term);
  void stepDown(TimePoint Now);
  void resetElection(TimePoint Now);
  [[nodiscard]] bool isVotingRole() const;
  [[nodiscard]] bool mayVote() const;
  [[nodiscard]] bool hearsLeader(TimePoint Now) const;
  void beginTrial(TimePoint Now);
  void beginElection(TimePoint Now, bool Transfer);
  void askForVotes(bool Trial, bool Transfer);
  void countGrant(TimePoint Now, const HostName &From);
  [[nodiscard]] bool wouldGrant(TimePoint Now, const HostName &From,
                                const message::ConsensusMessage &Message) const;
  void onVote(TimePoint Now, const HostName &From,
              const message::ConsensusMessage &Message);
  void onVoteReply(TimePoint Now, const HostName &From,
                   const message::ConsensusMessage &Message);
  void onTimeoutNow(TimePoint Now);

  // ReplicaLeader.cpp
  void lead(TimePoint Now);
  void tickLeader(TimePoint Now);
  std::uint64_t appendOwn(std::int64_t WallMs, message::Entry Entry);
  void replicate(TimePoint Now, const HostName &Peer, Progress &State);
  void sendEntries(TimePoint Now, const HostName &Peer, Progress &State);
  void sendChunk(TimePoint Now, const HostName &Peer, Progress &State);
  void fillClaims(message::ConsensusMessage &Message) const;
  void onAppendReply(TimePoint Now, const HostName &From,
                     const message::ConsensusMessage &Message);
  void onSnapshotReply(TimePoint Now, const HostName &From,
                       const message::ConsensusMessage &Message);
  Progress *answering(const HostName &From,
                      const message::ConsensusMessage &Message,
                      std::int64_t SentNs);
  void commitByQuorum();
  [[nodiscard]] TimePoint quorumAcknowledged(TimePoint Now) const;
  [[nodiscard]] bool committedOwnTerm() const;
  void serveReads(TimePoint Now);
  void continueTransfer(TimePoint Now);

  // ReplicaFollower.cpp
  void onAppend(TimePoint Now, const HostName &From,
                const message::ConsensusMessage &Message);
  void followLeader(TimePoint Now, const HostName &From,
                    const message::ConsensusMessage &Message);
  [[nodiscard]] std::uint64_t conflictHint(std::uint64_t Index) const;
  void acceptEntries(const message::Append &Append);
  void replyAppend(const HostName &To, bool Accepted, std::uint64_t Index,
                   std::int64_t SentNs);
  void onSnapshotChunk(TimePoint Now, const HostName &From,
                       const message::ConsensusMessage &Message);
  bool installSnapshot(const message::SnapshotChunk &Chunk);

  // ReplicaMembers.cpp
  void tickMembers(TimePoint Now);
  void sayHello(const HostName &To, bool Reply);
  void sayHelloToAll();
  [[nodiscard]] bool mayBeTakenOut(TimePoint Now) const;
  [[nodiscard]] std::vector<HostName> otherHosts() const;
  [[nodiscard]] message::Stage wireStage() const;
  void onHello(TimePoint Now, const HostName &From,
               const message::ConsensusMessage &Message);
  void formWith(TimePoint Now, const HostName &From, const std::string &Disk,
                const message::Hello &Hello);
  void lock(const message::Configuration &First);
  void formed(TimePoint Now);
  void learn(bool NewIdentity);
  [[nodiscard]] std::string newIdentity();
  void confirm(TimePoint Now, const HostName &From, const std::string &Disk,
               const message::Hello &Hello);
  void considerConfirmed(TimePoint Now);
  void considerFormation(TimePoint Now);
  void formedAlready(TimePoint Now, const message::Configuration &Known);
  void considerLearner(TimePoint Now, const HostName &From,
                       const std::string &Disk);
  void refreshRole(TimePoint Now);
  void refreshPeers();
  void changeVoters(TimePoint Now);
  void proposeVoters(message::Configuration Configuration);
  [[nodiscard]] bool isActive(const Progress &State, TimePoint Now) const;
  [[nodiscard]] bool hasCaughtUp(const Progress &State) const;
  [[nodiscard]] bool canCommitWith(const message::Configuration &Configuration,
                                   TimePoint Now) const;

  ReplicaOptions Options;
  std::mt19937_64 Random;
  RoleMachine Roles;
  /// As in the last PersistEffect that held it.
  message::HardState Hard;
  MemoryLog Log;
  /// Never above Log.lastIndex(); never goes down.
  std::uint64_t Commit = 0;
  /// This replica's own log is durable up to here.
  std::uint64_t Durable = 0;
  std::vector<Effect> Effects;

  /// The newest snapshot, serialized; null if there is none.
  std::shared_ptr<const std::string> Snapshot;
  std::uint64_t SnapshotIndex = 0;
  std::uint64_t SnapshotTerm = 0;
  /// Bytes of the entries committed since.
  std::uint64_t BytesSinceSnapshot = 0;
  bool SnapshotUnderWay = false;

  /// Empty if unknown.
  HostName Leader;
  /// When the leader was last heard, or could have been by an earlier life.
  TimePoint LeaderHeard = TimePoint::min();
  TimePoint ElectionDue;
  /// Hosts that granted the vote asked for, this one included.
  std::set<HostName> Grants;

  /// While leading; by host, this one left out.
  std::map<HostName, Progress> Peers;
  TimePoint ElectedAt;
  std::vector<PendingRead> Reads;
  /// While handing over: when to give up.
  std::optional<TimePoint> TransferUntil;

  /// The chunks of the snapshot under way to this replica.
  std::string Incoming;
  std::uint64_t IncomingIndex = 0;
  std::uint64_t IncomingTerm = 0;

  /// Hosts heard while blank, with their identities; while locked those that
  /// have locked the same; after a restart those that answered.
  std::map<HostName, std::string> Heard;
  TimePoint HelloDue;
  TimePoint StartedAt;
  /// Whether this life may vote: nobody knows of a claim that was lost.
  bool Confirmed = false;
  Claims Known;
  /// As told by meet().
  std::vector<HostName> Met;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_REPLICA_H
