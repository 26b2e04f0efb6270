//===- Tests/LibConsensus/TestReplica.cpp - Tests of the replicated log ---===//
///
/// \file
/// Guards against lost committed entries, two leaders at a time and stale
/// reads. One test for each rule of a replica; TestReplicaChaos.cpp runs random
/// sequences of faults. ReplicaCluster checks its invariants in all tests.
///
//===----------------------------------------------------------------------===//

#include <LibConsensus/ReplicaCluster.h>
#include <algorithm>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carobhinge {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::IsEmpty;

const std::vector<HostName> Three = {"a", "b", "c"};

constexpr ReplicaBounds SmallBounds{.EntriesPerMessage = 3,
                                    .EntriesInFlight = 7,
                                    .SnapshotChunkBytes = 50,
                                    .SnapshotEntries = 6,
                                    .RetainedEntries = 3};

/// A cluster with a leader; First and Second are its followers.
class ReplicaTest : public testing::Test {
protected:
  void SetUp() override { this->start({.Hosts = Three}); }
  void TearDown() override {
    EXPECT_THAT(this->Cluster->Violations, IsEmpty());
  }

  void start(ReplicaCluster::Settings ClusterSettings) {
    this->Cluster =
        std::make_unique<ReplicaCluster>(std::move(ClusterSettings));
    this->Cluster->advance(3s);
    this->Leader = this->Cluster->leader();
    ASSERT_NE(this->Leader, "");
    std::vector<HostName> Followers = Three;
    std::erase(Followers, this->Leader);
    this->First = Followers[0];
    this->Second = Followers[1];
  }

  /// Commits \p Count commands at the leader.
  void commit(int Count) {
    for (int I = 0; I < Count; ++I)
      this->Last =
          this->Cluster->propose(this->Leader, "c" + std::to_string(I));
    this->Cluster->advance(500ms);
    ASSERT_EQ(this->Cluster->outcome(this->Last), Outcome::Committed);
  }

  void loseDisk(const HostName &Host) {
    this->Cluster->kill(Host);
    this->Cluster->disk(Host).restore({});
    ASSERT_TRUE(this->Cluster->restart(Host));
  }

  [[nodiscard]] bool repairComplete() {
    HostName CurrentLeader = this->Cluster->leader();
    return !CurrentLeader.empty() &&
           this->Cluster->replica(CurrentLeader)
               .repairComplete(this->Cluster->now(CurrentLeader));
  }

  std::unique_ptr<ReplicaCluster> Cluster;
  HostName Leader;
  HostName First;
  HostName Second;
  std::size_t Last = 0;
};

TEST_F(ReplicaTest, FirstStartElectsLeaderWithinThreeSeconds) {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    this->start({.Hosts = Three, .Seed = Seed});
    this->commit(1);
    std::size_t Read = this->Cluster->read(this->Leader);
    EXPECT_EQ(this->Cluster->outcome(Read), Outcome::Committed);
    for (const HostName &Host : Three)
      EXPECT_THAT(this->Cluster->machine(Host).Commands, ElementsAre("c0"));
    EXPECT_TRUE(this->repairComplete());
    EXPECT_THAT(this->Cluster->Violations, IsEmpty()) << "seed " << Seed;
  }
}

TEST_F(ReplicaTest, FirstStartWaitsForAllInitialHosts) {
  ReplicaCluster NewCluster({.Hosts = Three});
  NewCluster.kill("c");
  NewCluster.advance(20s);
  EXPECT_EQ(NewCluster.leader(), "");
  NewCluster.restart("c");
  NewCluster.advance(3s);
  EXPECT_NE(NewCluster.leader(), "");
}

TEST_F(ReplicaTest, HostWithLostDiskNeverVotes) {
  // First and the leader hold entries that Second never received.
  this->Cluster->isolate(this->Second);
  this->commit(5);
  this->loseDisk(this->First);
  this->Cluster->kill(this->Leader);
  this->Cluster->heal();
  this->Cluster->advance(30s);
  EXPECT_EQ(this->Cluster->leader(), "");
  EXPECT_EQ(this->Cluster->replica(this->First).role(), Role::Learner);
  this->Cluster->restart(this->Leader);
  this->Cluster->advance(15s);
  EXPECT_TRUE(this->repairComplete());
  EXPECT_EQ(this->Cluster->machine(this->First).Commands.size(), 5U);
}

TEST_F(ReplicaTest, RolledBackDiskRejoinsAsLearner) {
  FakeDisk::NodeMap Older = this->Cluster->disk(this->First).image();
  std::string Identity = this->Cluster->replica(this->First).disk();
  this->commit(5);
  this->Cluster->kill(this->First);
  this->Cluster->disk(this->First).restore(Older);
  ASSERT_TRUE(this->Cluster->restart(this->First));
  this->Cluster->advance(1s);
  EXPECT_NE(this->Cluster->replica(this->First).disk(), Identity);
  this->Cluster->advance(10s);
  EXPECT_TRUE(this->repairComplete());
  EXPECT_EQ(this->Cluster->machine(this->First).Commands.size(), 5U);
}

TEST_F(ReplicaTest, RolledBackDiskIsDetectedWithoutTheLeader) {
  // The lagging host receives a snapshot in one case and entries in the other.
  for (std::uint64_t SnapshotEntries : {6, 1000}) {
    ReplicaBounds Bounds = SmallBounds;
    Bounds.SnapshotEntries = SnapshotEntries;
    this->start({.Hosts = Three, .Bounds = Bounds});
    FakeDisk::NodeMap Older = this->Cluster->disk(this->First).image();
    // Second gets few of the entries, but learns what First has claimed.
    this->Cluster->link(this->Second, this->Leader).Cut = true;
    this->commit(30);
    this->Cluster->kill(this->Leader);
    this->Cluster->kill(this->First);
    this->Cluster->disk(this->First).restore(Older);
    ASSERT_TRUE(this->Cluster->restart(this->First));
    this->Cluster->heal();
    this->Cluster->advance(20s);
    EXPECT_EQ(this->Cluster->leader(), "");
    this->Cluster->restart(this->Leader);
    this->Cluster->advance(20s);
    EXPECT_TRUE(this->repairComplete());
    EXPECT_EQ(this->Cluster->machine(this->First).Commands.size(), 30U);
    EXPECT_THAT(this->Cluster->Violations, IsEmpty());
  }
}

TEST_F(ReplicaTest, RepairIsCompleteOnlyWithAllVoters) {
  this->start({.Hosts = Three, .Bounds = SmallBounds});
  this->commit(150);
  this->loseDisk(this->First);
  this->Cluster->link(this->Leader, this->First).Delay = 300ms;
  Replica &Leading = this->Cluster->replica(this->Leader);
  Replica &Repaired = this->Cluster->replica(this->First);
  auto IsVoterAgain = [&] {
    return isVoter(Leading.log().configuration(), this->First, Repaired.disk());
  };
  for (int Round = 0; Round < 20000 && !IsVoterAgain(); ++Round)
    this->Cluster->advance(10ms);
  ASSERT_TRUE(IsVoterAgain());
  EXPECT_GT(Repaired.log().lastIndex() + 64, Leading.commitIndex());
  EXPECT_FALSE(this->repairComplete());
  for (int Round = 0; Round < 2000 && !this->repairComplete(); ++Round)
    this->Cluster->advance(10ms);
  ASSERT_TRUE(this->repairComplete());
  EXPECT_GE(Repaired.log().lastIndex(), Leading.log().configurationIndex());
  // From now on the log must survive the loss of a second host.
  this->Cluster->kill(this->Leader);
  this->Cluster->heal();
  this->Cluster->advance(10s);
  HostName Next = this->Cluster->leader();
  ASSERT_NE(Next, "");
  EXPECT_EQ(this->Cluster->machine(Next).Commands.size(), 150U);
}

TEST_F(ReplicaTest, IsolatedLeaderStopsBeforeAnotherLeaderActs) {
  // The maximum clock drift: the leader's clock runs slow, the others' fast.
  // The cluster checks that no two replicas hold the lease at the same time.
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    this->start({.Hosts = Three, .Seed = Seed, .Timings = {.ClockDrift = 0.2}});
    this->Cluster->setClockRate(this->Leader, 0.8);
    this->Cluster->setClockRate(this->First, 1.2);
    this->Cluster->setClockRate(this->Second, 1.2);
    this->Cluster->advance(5s);
    ASSERT_EQ(this->Cluster->leader(), this->Leader);
    this->Cluster->isolate(this->Leader);
    std::size_t Late = 0;
    std::size_t Read = 0;
    for (int Round = 0; Round < 300; ++Round) {
      this->Cluster->advance(10ms);
      Late = this->Cluster->propose(this->Leader, "late");
      Read = this->Cluster->read(this->Leader);
    }
    EXPECT_EQ(this->Cluster->outcome(Late), Outcome::Refused);
    EXPECT_EQ(this->Cluster->outcome(Read), Outcome::Refused);
    EXPECT_NE(this->Cluster->leader(), "") << "seed " << Seed;
    EXPECT_THAT(this->Cluster->Violations, IsEmpty()) << "seed " << Seed;
  }
}

TEST_F(ReplicaTest, ThawedLeaderServesNoStaleReads) {
  this->commit(1);
  this->Cluster->isolate(this->Leader);
  this->Cluster->freeze(this->Leader);
  this->Cluster->advance(5s);
  HostName Next = this->Cluster->leader();
  ASSERT_NE(Next, "");
  this->Last = this->Cluster->propose(Next, "newer");
  this->Cluster->advance(100ms);
  ASSERT_EQ(this->Cluster->outcome(this->Last), Outcome::Committed);
  this->Cluster->thaw(this->Leader);
  std::size_t Read = this->Cluster->read(this->Leader);
  std::size_t Late = this->Cluster->propose(this->Leader, "late");
  EXPECT_NE(this->Cluster->outcome(Read), Outcome::Committed);
  EXPECT_EQ(this->Cluster->outcome(Late), Outcome::Refused);
}

TEST_F(ReplicaTest, ReconnectedHostDoesNotDisruptLeader) {
  this->Cluster->isolate(this->First);
  std::uint64_t Term = this->Cluster->replica(this->Leader).term();
  this->Cluster->advance(60s);
  this->Cluster->heal();
  this->Cluster->advance(5s);
  EXPECT_EQ(this->Cluster->leader(), this->Leader);
  EXPECT_EQ(this->Cluster->replica(this->Leader).term(), Term);
}

TEST_F(ReplicaTest, TransferIsQuickAndLosesNoProposal) {
  std::vector<std::size_t> Proposals(50);
  for (std::size_t &Proposal : Proposals)
    Proposal = this->Cluster->propose(this->Leader, "x");
  this->Cluster->runOn(this->Leader, [](Replica &Node, TimePoint Now) {
    Node.transferLeadership(Now);
  });
  while (this->Cluster->replica(this->Leader).role() == Role::Leader)
    this->Cluster->advance(1ms);
  // The new leader must win without the vote of the stopped host.
  this->Cluster->kill(this->Leader);
  this->Cluster->advance(100ms);
  EXPECT_NE(this->Cluster->leader(), "");
  for (std::size_t Proposal : Proposals)
    EXPECT_EQ(this->Cluster->outcome(Proposal), Outcome::Committed);
}

TEST_F(ReplicaTest, LaggingHostGetsASnapshotInChunks) {
  this->start({.Hosts = Three, .Bounds = SmallBounds});
  this->Cluster->isolate(this->First);
  this->commit(200);
  this->Cluster->heal();
  this->Cluster->advance(10s);
  this->commit(1);
  EXPECT_EQ(this->Cluster->machine(this->First).Commands.size(), 201U);
}

TEST_F(ReplicaTest, LimitsEntriesInFlight) {
  this->start({.Hosts = Three, .Bounds = SmallBounds});
  std::uint64_t Before = this->Cluster->replica(this->First).log().lastIndex();
  this->Cluster->link(this->First, this->Leader).Cut = true;
  this->commit(100);
  EXPECT_EQ(this->Cluster->replica(this->First).log().lastIndex(),
            Before + SmallBounds.EntriesInFlight);
}

TEST_F(ReplicaTest, NewHostFindsLeaderOutsideInitialHosts) {
  // The voters move to d, e and f; then the initial hosts are killed.
  this->start({.Hosts = Three, .Spares = {"d", "e", "f"}});
  this->Cluster->runOn(this->Leader, [&](Replica &Node, TimePoint Now) {
    EXPECT_TRUE(Node.changeHosts(Now, {"d", "e", "f"}));
  });
  this->Cluster->advance(30s);
  for (const HostName &Host : Three)
    this->Cluster->kill(Host);
  this->Cluster->advance(10s);
  HostName Leader = this->Cluster->leader();
  ASSERT_NE(Leader, "");
  // g knows a, b and c from its settings and is given d, e and f.
  this->Cluster->restart("g");
  this->Cluster->runOn("g", [&](Replica &Node, TimePoint) {
    Node.setContactHosts({"d", "e", "f"});
  });
  this->Cluster->runOn(Leader, [&](Replica &Node, TimePoint Now) {
    EXPECT_TRUE(Node.changeHosts(Now, {"d", "e", "f", "g"}));
  });
  this->Cluster->advance(20s);
  EXPECT_EQ(this->Cluster->replica(Leader).log().configuration().voters_size(),
            4);
}

/// The removed host still considers itself a voter and initially contacts only
/// the hosts that it knew.
TEST_F(ReplicaTest, HostRemovedWhileUnreachableIsReadmitted) {
  this->start({.Hosts = Three, .Spares = {"d", "e"}});
  this->Cluster->isolate(this->First);
  this->Cluster->runOn(this->Leader, [&](Replica &Node, TimePoint Now) {
    EXPECT_TRUE(Node.changeHosts(Now, {this->Leader, "d", "e"}));
  });
  this->Cluster->advance(30s);
  this->Cluster->kill(this->Second);
  this->Cluster->kill(this->Leader);
  this->Cluster->heal();
  this->Cluster->advance(10s);
  HostName Leader = this->Cluster->leader();
  ASSERT_NE(Leader, "");
  this->Cluster->runOn(this->First, [&](Replica &Node, TimePoint) {
    Node.setContactHosts({"d", "e"});
  });
  this->Cluster->runOn(Leader, [&](Replica &Node, TimePoint Now) {
    EXPECT_TRUE(Node.changeHosts(Now, {this->First, "d", "e"}));
  });
  this->Cluster->advance(20s);
  const auto &Voters = this->Cluster->replica(Leader).log().configuration();
  EXPECT_FALSE(voterDisk(Voters, this->First).empty());
  EXPECT_TRUE(this->Cluster->Violations.empty());
}

TEST_F(ReplicaTest, VotersMoveOneByOneToOtherHosts) {
  this->start({.Hosts = Three, .Bounds = SmallBounds, .Spares = {"d", "e"}});
  this->commit(30);
  this->Cluster->runOn(this->Leader, [&](Replica &Node, TimePoint Now) {
    EXPECT_TRUE(Node.changeHosts(Now, {this->First, "d", "e"}));
  });
  this->Cluster->advance(20s);
  ASSERT_TRUE(this->repairComplete());
  this->Cluster->kill(this->Leader);
  this->Cluster->kill(this->Second);
  this->Cluster->advance(10s);
  HostName Next = this->Cluster->leader();
  ASSERT_NE(Next, "");
  EXPECT_EQ(this->Cluster->machine(Next).Commands.size(), 30U);
  EXPECT_EQ(this->Cluster->replica(Next).log().configuration().voters_size(),
            3);
}

/// A voter is replaced by the spare host d.
class ReplacedVoterTest : public ReplicaTest {
protected:
  /// Starts the cluster and replaces \p Removed. Calls \p OnStep at each step
  /// of any host from then on, with the number of the step.
  void replace(const HostName &Removed,
               const std::function<void(unsigned Step)> &OnStep) {
    std::vector<HostName> Wanted = Three;
    std::replace(Wanted.begin(), Wanted.end(), Removed, HostName("d"));
    this->Cluster->Hook = [OnStep, Step = 0U](const HostName &,
                                              std::string_view) mutable {
      OnStep(++Step);
    };
    this->Cluster->runOn(this->Leader, [&](Replica &Node, TimePoint Now) {
      EXPECT_TRUE(Node.changeHosts(Now, Wanted));
    });
  }
  [[nodiscard]] int voters(const HostName &Host) {
    return this->Cluster->replica(Host).log().configuration().voters_size();
  }
  /// \returns whether a command is committed within 30 s.
  bool commitsAgain() {
    this->Cluster->Hook = {};
    for (int Second = 0; Second < 30; ++Second) {
      this->Cluster->advance(1s);
      HostName Current = this->Cluster->leader();
      if (Current.empty())
        continue;
      std::size_t Id = this->Cluster->propose(Current, "after");
      this->Cluster->advance(500ms);
      if (this->Cluster->outcome(Id) == Outcome::Committed)
        return true;
    }
    return false;
  }
};

// Guards against fewer voters than before while a voter is replaced.
TEST_F(ReplacedVoterTest, ReplacedVoterIsRemovedOnlyOnceItsSuccessorVotes) {
  this->start({.Hosts = Three, .Spares = {"d"}});
  int Fewest = 3;
  this->replace(this->First, [&](unsigned) {
    Fewest = std::min(Fewest, this->voters(this->Leader));
  });
  this->Cluster->advance(20s);
  EXPECT_EQ(Fewest, 3);
  EXPECT_TRUE(this->repairComplete());
  EXPECT_FALSE(
      isVoter(this->Cluster->replica(this->Leader).log().configuration(),
              this->First, this->Cluster->replica(this->First).disk()));
}

// Guards against a majority that is lost for good when a disk is lost at some
// step of a replacement while the replaced host still runs.
TEST_F(ReplacedVoterTest, DiskLostAtAnyStepLeavesAMajority) {
  const std::vector<HostName> Victims = {"a", "b", "c", "d"};
  static constexpr unsigned Steps = 60;
  for (const HostName &Victim : Victims)
    for (unsigned LostAt = 1; LostAt <= Steps; ++LostAt) {
      this->start({.Hosts = Three, .Spares = {"d"}});
      // Which host is to go depends on the case, the leader among them.
      const HostName &Removed = Three[LostAt % Three.size()];
      bool Due = false;
      this->replace(Removed, [&](unsigned Step) { Due |= Step == LostAt; });
      for (int Tick = 0; Tick < 1000 && !Due; ++Tick)
        this->Cluster->advance(5ms);
      this->loseDisk(Victim);
      ASSERT_TRUE(this->commitsAgain())
          << Victim << " lost its disk at step " << LostAt << ", " << Removed
          << " was to go";
      ASSERT_THAT(this->Cluster->Violations, IsEmpty());
    }
}

// Guards against a handover that is cut off half-way: the replaced host ends
// at some step, another host restarts, and the replaced host returns.
TEST_F(ReplacedVoterTest, HostsKilledAtAnyStepLeaveAMajority) {
  static constexpr unsigned Steps = 60;
  for (unsigned KilledAt = 1; KilledAt <= Steps; ++KilledAt) {
    this->start({.Hosts = Three, .Spares = {"d"}});
    const HostName &Removed = Three[KilledAt % Three.size()];
    bool Due = false;
    this->replace(Removed, [&](unsigned Step) { Due |= Step == KilledAt; });
    for (int Tick = 0; Tick < 1000 && !Due; ++Tick)
      this->Cluster->advance(5ms);
    this->Cluster->kill(Removed);
    const HostName &Other = Three[(KilledAt + 1) % Three.size()];
    this->Cluster->restart(Other);
    ASSERT_TRUE(this->commitsAgain()) << "killed at step " << KilledAt;
    this->Cluster->restart(Removed);
    this->Cluster->kill(Other);
    ASSERT_TRUE(this->commitsAgain()) << "returned, step " << KilledAt;
    ASSERT_THAT(this->Cluster->Violations, IsEmpty());
  }
}

TEST_F(ReplicaTest, FailedSyncStopsTheReplica) {
  this->Cluster->disk(this->First).FailSyncs = true;
  this->commit(1);
  EXPECT_FALSE(this->Cluster->isRunning(this->First));
  EXPECT_THAT(this->Cluster->failure(this->First), testing::HasSubstr("sync"));
}

TEST(Replica, TimestampsNeverDecrease) {
  TimePoint Now{std::chrono::hours(1)};
  Replica Single({.Self = "a", .Voters = {"a"}}, {}, Now);
  Single.tick(Now);
  Single.tick(Now + 3s);
  Single.onPersisted();
  ASSERT_TRUE(Single.propose(Now + 3s, 100, "x"));
  ASSERT_TRUE(Single.propose(Now + 3s, 50, "y"));
  EXPECT_EQ(Single.log().lastStamp(), 100);
}

/// One of three voters, restarted in term 5 with one entry of term 4.
struct RestartCase {
  RestartCase() {
    StoredReplica Stored;
    Stored.CurrentHardState.set_term(5);
    Stored.CurrentHardState.set_disk("a-disk");
    Stored.CurrentHardState.set_stage(message::STAGE_FORMED);
    for (const HostName &Host : Three)
      addVoter(*Stored.CurrentHardState.mutable_configuration(), Host,
               Host + "-disk");
    Stored.CurrentHardState.mutable_configuration()->mutable_hosts()->Assign(
        Three.begin(), Three.end());
    message::Entry &Entry = Stored.Entries.emplace_back();
    Entry.set_index(1);
    Entry.set_term(4);
    this->Voter.emplace(ReplicaOptions{.Self = "a", .Voters = Three},
                        std::move(Stored), this->Now);
  }

  void answer(const HostName &Host, const Claim &ReportedClaim) {
    message::ConsensusMessage Message;
    Message.set_disk(Host + "-disk");
    message::Hello &Hello = *Message.mutable_hello();
    Hello.set_reply(true);
    Hello.mutable_promise()->mutable_member()->set_disk("a-disk");
    Hello.mutable_promise()->set_term(ReportedClaim.Term);
    Hello.mutable_promise()->set_last_term(ReportedClaim.LastTerm);
    Hello.mutable_promise()->set_last_index(ReportedClaim.LastIndex);
    this->Voter->receive(this->Now, Host, Message);
  }

  /// \returns whether the voter grants its vote to c.
  bool grantsVote(std::uint64_t Term) {
    this->Voter->takeEffects(this->Now);
    message::ConsensusMessage Message;
    Message.set_disk("c-disk");
    Message.set_term(Term);
    Message.mutable_vote()->set_last_term(5);
    this->Voter->receive(this->Now, "c", Message);
    for (const Effect &Done : this->Voter->takeEffects(this->Now))
      if (const auto *Reply = std::get_if<SendEffect>(&Done))
        return Reply->Message.vote_reply().granted();
    return false;
  }

  std::ptrdiff_t readsServed() {
    std::vector<Effect> Effects = this->Voter->takeEffects(this->Now);
    return std::count_if(Effects.begin(), Effects.end(), [](const Effect &E) {
      return std::holds_alternative<ReadReadyEffect>(E);
    });
  }

  TimePoint Now{std::chrono::hours(1)};
  std::optional<Replica> Voter;
};

class RestartTest : public testing::Test, protected RestartCase {};

TEST_F(RestartTest, VotesOnlyOnceConfirmedAndInALaterTerm) {
  this->answer("b", {.Term = 5, .LastTerm = 4, .LastIndex = 1});
  this->Now += 1100ms;
  EXPECT_FALSE(this->grantsVote(6)) << "c might know of a claim";
  this->answer("c", {.Term = 5});
  EXPECT_FALSE(this->grantsVote(6)) << "the term began before the confirmation";
  EXPECT_TRUE(this->grantsVote(7));
}

TEST_F(RestartTest, DoesNotVoteWhileALeaderMayHoldItsLease) {
  this->answer("b", {});
  this->answer("c", {});
  EXPECT_FALSE(this->grantsVote(6));
  this->Now += 1000ms;
  EXPECT_TRUE(this->grantsVote(6));
}

TEST_F(RestartTest, CountsOnlyVotesOfVoterIdentities) {
  this->answer("b", {});
  this->answer("c", {});
  this->Now += 2s;
  this->Voter->tick(this->Now);
  ASSERT_EQ(this->Voter->role(), Role::PreCandidate);
  message::ConsensusMessage Message;
  Message.set_term(5);
  Message.mutable_vote_reply()->set_trial(true);
  Message.mutable_vote_reply()->set_granted(true);
  Message.set_disk("new-disk");
  this->Voter->receive(this->Now, "b", Message);
  EXPECT_EQ(this->Voter->role(), Role::PreCandidate);
  Message.set_disk("b-disk");
  this->Voter->receive(this->Now, "b", Message);
  EXPECT_EQ(this->Voter->role(), Role::Candidate);
}

TEST_F(RestartTest, CommitsDurableEntriesOfItsOwnTerm) {
  this->answer("b", {});
  this->answer("c", {});
  this->Now += 2s;
  this->Voter->tick(this->Now);
  message::ConsensusMessage Message;
  Message.set_disk("b-disk");
  Message.mutable_vote_reply()->set_granted(true);
  for (bool PreVote : {true, false}) {
    Message.set_term(this->Voter->term());
    Message.mutable_vote_reply()->set_trial(PreVote);
    this->Voter->receive(this->Now, "b", Message);
  }
  ASSERT_EQ(this->Voter->role(), Role::Leader);
  auto Acknowledge = [&](std::uint64_t Index) {
    Message.mutable_append_reply()->set_accepted(true);
    Message.mutable_append_reply()->set_index(Index);
    this->Voter->receive(this->Now, "b", Message);
  };
  // A rejection renews the lease, but the committed index is not known yet.
  Message.mutable_append_reply()->set_index(1);
  Message.mutable_append_reply()->set_sent_ns(
      this->Now.time_since_epoch().count());
  this->Voter->receive(this->Now, "b", Message);
  ASSERT_TRUE(this->Voter->holdsLease(this->Now));
  this->Voter->read(this->Now, 1);
  EXPECT_EQ(this->readsServed(), 0);
  Acknowledge(1);
  EXPECT_EQ(this->Voter->commitIndex(), 0U)
      << "the entry is of an earlier term";
  Acknowledge(2);
  EXPECT_EQ(this->Voter->commitIndex(), 0U) << "the entry is not durable here";
  this->Voter->onPersisted();
  EXPECT_EQ(this->Voter->commitIndex(), 2U);
  EXPECT_EQ(this->readsServed(), 1);
  // A late message of a replaced identity must not displace the voter.
  Message.set_disk("older-disk");
  Message.mutable_hello()->set_stage(message::STAGE_LEARNER);
  this->Voter->receive(this->Now, "b", Message);
  EXPECT_THAT(this->Voter->learners(), IsEmpty());
}

TEST_F(RestartTest, SnapshotKeepsAcknowledgedEntriesAfterIt) {
  message::ConsensusMessage Message;
  Message.set_disk("b-disk");
  Message.set_term(5);
  message::Append &Append = *Message.mutable_append();
  Append.set_previous_index(1);
  Append.set_previous_term(4);
  Append.add_entries()->set_index(2);
  Append.mutable_entries(0)->set_term(5);
  this->Voter->receive(this->Now, "b", Message);
  auto Install = [&](std::uint64_t Index) {
    message::StoredSnapshot Snapshot;
    Snapshot.set_index(Index);
    Snapshot.set_term(4);
    message::SnapshotChunk &Chunk = *Message.mutable_snapshot_chunk();
    Chunk.set_index(Index);
    Chunk.set_term(4);
    Chunk.set_bytes(Snapshot.SerializeAsString());
    Chunk.set_total(Chunk.bytes().size());
    this->Voter->receive(this->Now, "b", Message);
  };
  Install(1);
  EXPECT_EQ(this->Voter->commitIndex(), 1U);
  EXPECT_EQ(this->Voter->log().lastIndex(), 2U);
  Install(10);
  EXPECT_EQ(this->Voter->commitIndex(), 10U);
  Install(5);
  EXPECT_EQ(this->Voter->commitIndex(), 10U) << "an old snapshot arrived late";
}

TEST_F(RestartTest, TakesNewIdentityIfDiskLacksClaimedState) {
  const Claim CoveredClaims[] = {{.Term = 5, .LastTerm = 4, .LastIndex = 1},
                                 {.Term = 4, .LastTerm = 3, .LastIndex = 9}};
  for (const Claim &Item : CoveredClaims) {
    this->answer("b", Item);
    EXPECT_EQ(this->Voter->disk(), "a-disk");
  }
  const Claim LostClaims[] = {{.Term = 6},
                              {.Term = 5, .LastTerm = 4, .LastIndex = 2},
                              {.Term = 5, .LastTerm = 5, .LastIndex = 1}};
  for (const Claim &Item : LostClaims) {
    RestartCase Restarted;
    Restarted.answer("b", Item);
    EXPECT_NE(Restarted.Voter->disk(), "a-disk");
    EXPECT_EQ(Restarted.Voter->role(), Role::Learner);
  }
}

} // namespace
} // namespace carobhinge
