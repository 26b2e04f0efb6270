//===- LibConsensus/Replica.h - One replica of a replicated log -----------===//
///
/// \file
/// The protocol logic of one replica: Raft with pre-vote, leader lease,
/// pipelined replication, chunked snapshots, voter changes through learners and
/// leadership transfer. It has no clock, thread or files; its driver passes in
/// the time and received messages, and executes the effects it returns.
///
/// A voter is identified by its host and its disk identity, so that a disk that
/// was lost or rolled back to an older state cannot vote twice:
///
/// * The log is created once, when all initial hosts are up. Each generates a
///   disk identity, collects the identities of all others, and durably *locks*
///   that set. Voting starts once all are known to have locked the same set.
///   Nobody votes before that, and afterwards no identity outside the set can
///   vote unless an entry of the log adds it. An empty disk therefore never
///   votes, whether it is new or has lost its data.
/// * A voter that restarts queries the other voters for the highest state that
///   they have recorded as claimed by it. It neither votes nor becomes a
///   candidate until all have answered, or until a quorum has answered and
///   MaxElectionTimeout has passed since the start. If it holds less than it
///   claimed, it generates a new identity. In the term it restarted in, it can
///   only repeat the vote it had already cast.
/// * A new identity on a host that should hold a voter becomes a learner. Once
///   it has caught up, the leader removes the old identity and adds the new
///   one, in two changes of one voter each. A voter that another host replaces
///   is removed only once its successor votes.
///
/// Limitation: a rolled-back disk is not detected if every other host that
/// recorded the newer state is unreachable or has restarted since.
///
/// Replica.cpp handles events and returns effects, ReplicaElection.cpp handles
/// elections, ReplicaLeader.cpp the leader role, ReplicaFollower.cpp the
/// follower role, and ReplicaMembers.cpp identities and voter changes.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_REPLICA_H
#define LIBCONSENSUS_REPLICA_H

#include <LibConsensus/Effects.h>
#include <LibConsensus/Members.h>
#include <LibConsensus/MemoryLog.h>
#include <LibConsensus/MessageCheck.h>
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

/// The state that a replica loads from its files at startup.
struct StoredReplica {
  message::HardState CurrentHardState;
  std::optional<message::StoredSnapshot> Snapshot;
  /// Consecutive; the first one follows the snapshot.
  std::vector<message::Entry> Entries;
};

/// The position of a proposal in the log. The proposal is committed if the
/// entry applied at Index has this term.
struct ProposalPosition {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
};

/// The times given to a replica never fall from call to call: the answers of
/// peers are compared with when a message was sent.
class Replica {
public:
  Replica(ReplicaOptions Options, StoredReplica Stored, TimePoint Now);

  void tick(TimePoint Now);
  /// Drops messages that no sound replica sends; see MessageCheck.
  void receive(TimePoint Now, const HostName &From,
               const message::ConsensusMessage &Message);

  /// Appends \p Command to the log. \p WallMs is the wall clock in
  /// milliseconds. \returns nothing if this replica does not lead, its lease
  /// expired, a leadership transfer is in progress, or too many entries are
  /// uncommitted. The command is then guaranteed not to be in the log.
  std::optional<ProposalPosition> propose(TimePoint Now, std::int64_t WallMs,
                                          std::string Command);

  /// Produces exactly one ReadReadyEffect or ReadFailedEffect with \p Id.
  void read(TimePoint Now, std::uint64_t Id);

  /// Rejects new proposals and transfers leadership once all entries are
  /// committed.
  void transferLeadership(TimePoint Now);

  /// Requests a voter on each of \p Hosts and on no other host. Ignored unless
  /// this replica leads and the previous change is committed.
  /// \returns whether the request was accepted.
  bool changeHosts(TimePoint Now, const std::vector<HostName> &Hosts);

  /// Sets further hosts that may be members of the log. A learner, or a voter
  /// without contact to a leader, sends its hello to them too, because the
  /// current leader may not be in its configuration.
  void setContactHosts(std::vector<HostName> Hosts) {
    this->ContactHosts = std::move(Hosts);
  }

  /// Returns the effects to execute, in order. Call until the result is empty.
  std::vector<Effect> takeEffects(TimePoint Now);

  /// All effects taken so far have been executed, and all records are durable.
  void onPersisted();

  /// A TakeSnapshotEffect has been executed.
  void onSnapshotTaken(const message::StoredSnapshot &Snapshot);

  [[nodiscard]] Role role() const { return this->Roles.current(); }
  [[nodiscard]] std::uint64_t term() const {
    return this->CurrentHardState.term();
  }
  [[nodiscard]] const HostName &leader() const { return this->Leader; }
  [[nodiscard]] std::uint64_t commitIndex() const { return this->CommitIndex; }
  [[nodiscard]] const std::string &disk() const {
    return this->CurrentHardState.disk();
  }
  [[nodiscard]] const MemoryLog &log() const { return this->Log; }
  /// \returns whether this replica leads and no other replica can act as leader
  /// yet.
  [[nodiscard]] bool holdsLease(TimePoint Now) const;
  [[nodiscard]] std::vector<HostName> learners() const;
  [[nodiscard]] bool repairComplete(TimePoint Now) const;
  /// \returns whether the newest configuration is known to be committed.
  [[nodiscard]] bool isConfigurationCommitted() const {
    return this->CommitIndex >= this->Log.configurationIndex();
  }
  [[nodiscard]] const ReplicaOptions &options() const { return this->Options; }

private:
  struct PendingRead {
    std::uint64_t Id = 0;
    TimePoint RequestedAt;
  };

  // Replica.cpp
  void loadStored(StoredReplica Stored);
  /// \returns whether \p Check has passed; reports its findings otherwise.
  [[nodiscard]] bool isAccepted(const HostName &From,
                                const MessageCheck &Check) const;
  bool processTerm(TimePoint Now, const HostName &From,
                   const message::ConsensusMessage &Message);
  void dispatch(TimePoint Now, const HostName &From,
                const message::ConsensusMessage &Message);
  void persistHardState();
  [[nodiscard]] message::StoredRecord hardStateRecord() const;
  [[nodiscard]] bool isSelfVoter() const;
  void send(const HostName &To, message::ConsensusMessage Message);
  [[nodiscard]] message::ConsensusMessage makeMessage() const;
  void putEntry(message::Entry Entry);
  void advanceCommit(std::uint64_t Index);
  void requestSnapshotIfDue();
  [[nodiscard]] std::vector<message::StoredRecord>
  recordsFrom(std::uint64_t Index) const;

  // ReplicaElection.cpp
  void adoptTerm(TimePoint Now, std::uint64_t Term);
  void stepDown(TimePoint Now);
  void resetElectionDeadline(TimePoint Now);
  [[nodiscard]] bool isVotingRole() const;
  [[nodiscard]] bool canVote() const;
  [[nodiscard]] bool hasRecentLeaderContact(TimePoint Now) const;
  void startPreVote(TimePoint Now);
  void startElection(TimePoint Now, bool Transfer);
  void requestVotes(bool PreVote, bool Transfer);
  void recordGrantedVote(TimePoint Now, const HostName &From);
  [[nodiscard]] bool
  canGrantVote(TimePoint Now, const HostName &From,
               const message::ConsensusMessage &Message) const;
  void onVote(TimePoint Now, const HostName &From,
              const message::ConsensusMessage &Message);
  void onVoteReply(TimePoint Now, const HostName &From,
                   const message::ConsensusMessage &Message);
  void onTimeoutNow(TimePoint Now);

  // ReplicaLeader.cpp
  void becomeLeader(TimePoint Now);
  void tickLeader(TimePoint Now);
  std::uint64_t appendEntry(std::int64_t WallMs, message::Entry Entry);
  void replicate(TimePoint Now, const HostName &Peer, Progress &PeerProgress);
  void sendEntries(TimePoint Now, const HostName &Peer, Progress &PeerProgress);
  void sendChunk(TimePoint Now, const HostName &Peer, Progress &PeerProgress);
  void addClaims(message::ConsensusMessage &Message) const;
  void onAppendReply(TimePoint Now, const HostName &From,
                     const message::ConsensusMessage &Message);
  void onSnapshotReply(TimePoint Now, const HostName &From,
                       const message::ConsensusMessage &Message);
  Progress *findRespondingPeer(const HostName &From,
                               const message::ConsensusMessage &Message,
                               std::int64_t SentNs);
  void commitByQuorum();
  [[nodiscard]] TimePoint quorumAcknowledgedTime(TimePoint Now) const;
  [[nodiscard]] bool hasCommittedInCurrentTerm() const;
  void completeReads(TimePoint Now);
  void continueTransfer(TimePoint Now);

  // ReplicaFollower.cpp
  void onAppend(TimePoint Now, const HostName &From,
                const message::ConsensusMessage &Message);
  void followLeader(TimePoint Now, const HostName &From,
                    const message::ConsensusMessage &Message);
  [[nodiscard]] std::uint64_t conflictHint(std::uint64_t Index) const;
  void storeEntries(const message::Append &Append);
  void replyAppend(const HostName &To, bool Accepted, std::uint64_t Index,
                   std::int64_t SentNs);
  void onSnapshotChunk(TimePoint Now, const HostName &From,
                       const message::ConsensusMessage &Message);
  bool installSnapshot(const HostName &From,
                       const message::SnapshotChunk &Chunk);

  // ReplicaMembers.cpp
  void tickMembers(TimePoint Now);
  void sendHello(const HostName &To, bool Reply);
  void sendHelloToAll();
  [[nodiscard]] bool mayBeRemoved(TimePoint Now) const;
  [[nodiscard]] std::vector<HostName> otherHosts() const;
  [[nodiscard]] message::Stage wireStage() const;
  void onHello(TimePoint Now, const HostName &From,
               const message::ConsensusMessage &Message);
  void handleFormationHello(TimePoint Now, const HostName &From,
                            const std::string &Disk,
                            const message::Hello &Hello);
  void lockConfiguration(const message::Configuration &InitialConfiguration);
  void completeFormation(TimePoint Now);
  void becomeLearner(bool NewIdentity);
  [[nodiscard]] std::string newIdentity();
  void handleHelloReply(TimePoint Now, const HostName &From,
                        const std::string &Disk, const message::Hello &Hello);
  void tryConfirmIdentity(TimePoint Now);
  void advanceFormation(TimePoint Now);
  void joinFormedLog(TimePoint Now,
                     const message::Configuration &FormedConfiguration);
  void trackLearner(TimePoint Now, const HostName &From,
                    const std::string &Disk);
  void updateRole(TimePoint Now);
  void updatePeers();
  void advanceVoterChange(TimePoint Now);
  [[nodiscard]] std::optional<message::Configuration>
  replaceLostIdentity(TimePoint Now) const;
  [[nodiscard]] std::optional<message::Configuration>
  addCaughtUpVoter(TimePoint Now) const;
  [[nodiscard]] std::optional<message::Configuration>
  removeReplacedVoter(TimePoint Now);
  void proposeConfiguration(message::Configuration Configuration);
  [[nodiscard]] bool isActive(const Progress &PeerProgress,
                              TimePoint Now) const;
  [[nodiscard]] bool hasCaughtUp(const Progress &PeerProgress) const;
  [[nodiscard]] bool canCommitWith(const message::Configuration &Configuration,
                                   TimePoint Now) const;

  ReplicaOptions Options;
  std::mt19937_64 Random;
  RoleMachine Roles;
  /// Equals the hard state in the last PersistEffect that contained one.
  message::HardState CurrentHardState;
  MemoryLog Log;
  /// At most Log.lastIndex(); never decreases.
  std::uint64_t CommitIndex = 0;
  /// This replica's own log is durable up to this index.
  std::uint64_t DurableIndex = 0;
  std::vector<Effect> Effects;

  /// The newest serialized snapshot; null if there is none.
  std::shared_ptr<const std::string> Snapshot;
  std::uint64_t SnapshotIndex = 0;
  std::uint64_t SnapshotTerm = 0;
  /// Bytes of the entries committed since the newest snapshot.
  std::uint64_t BytesSinceSnapshot = 0;
  bool IsSnapshotPending = false;

  /// Empty if unknown.
  HostName Leader;
  /// When a leader's message was last received; after a restart, the start
  /// time, as the previous incarnation may have received one just before.
  TimePoint LastLeaderContact = TimePoint::min();
  TimePoint ElectionDeadline;
  /// Hosts that granted the vote in the current election, including this one.
  std::set<HostName> GrantedVotes;

  /// Non-empty only on the leader. Keyed by host; excludes this host.
  std::map<HostName, Progress> Peers;
  TimePoint ElectedAt;
  std::vector<PendingRead> Reads;
  /// Set during a leadership transfer: when to abandon it.
  std::optional<TimePoint> TransferDeadline;

  /// The chunks received so far of a snapshot from the leader.
  std::string IncomingSnapshot;
  std::uint64_t IncomingSnapshotIndex = 0;
  std::uint64_t IncomingSnapshotTerm = 0;

  /// Disk identities by host: while blank, of the hosts that sent a hello;
  /// while locked, of those that locked the same set; after a restart, of the
  /// voters that answered.
  std::map<HostName, std::string> PeerIdentities;
  TimePoint NextHelloAt;
  TimePoint StartedAt;
  /// True if this incarnation may vote: no voter that answered has recorded a
  /// claim that this disk has lost.
  bool IsIdentityConfirmed = false;
  Claims KnownClaims;
  /// Set by setContactHosts().
  std::vector<HostName> ContactHosts;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_REPLICA_H
