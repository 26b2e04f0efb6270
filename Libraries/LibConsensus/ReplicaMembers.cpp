//===- LibConsensus/ReplicaMembers.cpp - Identities and voters ------------===//
///
/// \file
/// How the log comes into being, how a disk that lost its state is kept from
/// voting, and how the leader brings the voters to the hosts that should hold
/// one. The head of Replica.h tells why it is safe.
///
//===----------------------------------------------------------------------===//

#include <LibConsensus/Replica.h>
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <utility>

namespace carobhinge {

/// A learner that lags by no more than this is made a voter.
static constexpr std::uint64_t CaughtUpEntries = 64;
/// Longest times of an election without a leader, after which a voter makes
/// itself known to every host that it has met.
static constexpr int SilencesBeforeHello = 2;

std::string Replica::newIdentity() {
  char Digits[17] = {};
  std::snprintf(Digits, sizeof(Digits), "%016llx",
                static_cast<unsigned long long>(this->Random()));
  return Digits;
}

std::vector<HostName> Replica::otherHosts() const {
  std::set<HostName> Hosts(this->Options.Voters.begin(),
                           this->Options.Voters.end());
  const message::Configuration &Current = this->Log.configuration();
  Hosts.insert(Current.hosts().begin(), Current.hosts().end());
  for (const message::Member &Voter : Current.voters())
    Hosts.insert(Voter.host());
  Hosts.erase(this->Options.Self);
  return {Hosts.begin(), Hosts.end()};
}

message::Stage Replica::wireStage() const {
  if (this->isVotingRole())
    return message::STAGE_FORMED;
  return this->Hard.stage();
}

void Replica::sayHello(const HostName &To, bool Reply) {
  message::ConsensusMessage Message = this->envelope();
  message::Hello &Hello = *Message.mutable_hello();
  Hello.set_stage(this->wireStage());
  Hello.set_reply(Reply);
  *Hello.mutable_configuration() = this->isVotingRole()
                                       ? this->Log.configuration()
                                       : this->Hard.configuration();
  this->send(To, std::move(Message));
}

void Replica::sayHelloToAll() {
  std::vector<HostName> Hosts = this->otherHosts();
  for (const HostName &Host : Hosts)
    this->sayHello(Host, false);
  // A log comes into being among its first hosts only.
  if (this->role() == Role::Blank)
    return;
  for (const HostName &Host : this->Met)
    if (Host != this->Options.Self &&
        std::ranges::find(Hosts, Host) == Hosts.end())
      this->sayHello(Host, false);
}

/// Whether the log may go on without this voter: it was taken out while it was
/// away, and those whom it knows as voters may all be gone.
bool Replica::mayBeTakenOut(TimePoint Now) const {
  // Before a first word of a leader its silence counts from the start.
  TimePoint Since = std::max(this->LeaderHeard, this->StartedAt);
  return this->isVotingRole() && this->role() != Role::Leader &&
         Now - Since >=
             SilencesBeforeHello * this->Options.Timings.ElectionMost;
}

void Replica::tickMembers(TimePoint Now) {
  this->considerFormation(Now);
  this->considerConfirmed(Now);
  bool MayBeOut = this->mayBeTakenOut(Now);
  if (this->isVotingRole() && this->Confirmed && !MayBeOut)
    return;
  if (Now < this->HelloDue)
    return;
  const ReplicaTimings &Timings = this->Options.Timings;
  bool Learning = this->role() == Role::Learner || MayBeOut;
  this->HelloDue = Now + (Learning ? Timings.ElectionLeast : Timings.Heartbeat);
  this->sayHelloToAll();
}

void Replica::onHello(TimePoint Now, const HostName &From,
                      const message::ConsensusMessage &Message) {
  const message::Hello &Hello = Message.hello();
  if (this->role() == Role::Blank)
    this->formWith(Now, From, Message.disk(), Hello);
  else if (Hello.reply())
    this->confirm(Now, From, Message.disk(), Hello);
  if (Hello.reply())
    return;
  this->considerLearner(Now, From, Message.disk());
  this->sayHello(From, true);
  Claim Claimed = this->Known.of(From, Message.disk());
  // The effect just added is the reply: it tells the member its own claim.
  auto &Sent = std::get<SendEffect>(this->Effects.back());
  message::Promise &Promise = *Sent.Message.mutable_hello()->mutable_promise();
  Promise.mutable_member()->set_host(From);
  Promise.mutable_member()->set_disk(Message.disk());
  Promise.set_term(Claimed.Term);
  Promise.set_last_term(Claimed.LastTerm);
  Promise.set_last_index(Claimed.LastIndex);
}

void Replica::formWith(TimePoint Now, const HostName &From,
                       const std::string &Disk, const message::Hello &Hello) {
  if (Hello.stage() == message::STAGE_FORMED) {
    this->formedAlready(Now, Hello.configuration());
    return;
  }
  const std::vector<HostName> &First = this->Options.Voters;
  if (std::find(First.begin(), First.end(), From) == First.end())
    return;
  bool Locked = Hello.stage() == message::STAGE_LOCKED;
  if (this->Hard.stage() == message::STAGE_BLANK) {
    if (!Locked && Hello.stage() == message::STAGE_BLANK)
      this->Heard[From] = Disk;
    if (Locked &&
        isVoter(Hello.configuration(), this->Options.Self, this->Hard.disk()))
      this->lock(Hello.configuration());
  }
  if (Locked && this->Hard.stage() == message::STAGE_LOCKED &&
      equal(Hello.configuration(), this->Hard.configuration()))
    this->Heard[From] = Disk;
  this->considerFormation(Now);
}

/// The log exists. Whoever has locked its set of voters is one of them.
void Replica::formedAlready(TimePoint Now,
                            const message::Configuration &Known) {
  if (!isVoter(Known, this->Options.Self, this->Hard.disk())) {
    this->learn(false);
    return;
  }
  if (this->Hard.stage() == message::STAGE_LOCKED)
    this->formed(Now);
  else
    this->learn(true);
}

void Replica::considerFormation(TimePoint Now) {
  if (this->role() != Role::Blank)
    return;
  std::size_t Others = this->Options.Voters.size() - 1;
  if (this->Hard.stage() == message::STAGE_BLANK &&
      this->Heard.size() == Others) {
    message::Configuration First;
    this->Heard[this->Options.Self] = this->Hard.disk();
    for (const auto &[Host, Disk] : this->Heard) {
      addVoter(First, Host, Disk);
      First.add_hosts(Host);
    }
    this->lock(First);
  }
  if (this->Hard.stage() == message::STAGE_LOCKED &&
      this->Heard.size() == Others)
    this->formed(Now);
}

void Replica::lock(const message::Configuration &First) {
  this->Heard.clear();
  this->Hard.set_stage(message::STAGE_LOCKED);
  *this->Hard.mutable_configuration() = First;
  this->persistHard();
  this->sayHelloToAll();
}

void Replica::formed(TimePoint Now) {
  this->Heard.clear();
  this->Hard.set_stage(message::STAGE_FORMED);
  this->persistHard();
  this->Log.setFirst(this->Hard.configuration());
  this->Roles.process(RoleEvent::Formed);
  this->Confirmed = true;
  this->sayHelloToAll();
  // Nobody can lead yet, so there is no leader to wait for.
  const ReplicaTimings &Timings = this->Options.Timings;
  std::uniform_int_distribution<std::int64_t> Spread(
      Timings.Heartbeat.count(), Timings.ElectionLeast.count());
  this->ElectionDue = Now + Duration(Spread(this->Random));
}

/// Becomes a learner; with another identity if this one may have voted.
void Replica::learn(bool NewIdentity) {
  if (NewIdentity)
    this->Hard.set_disk(this->newIdentity());
  this->Hard.set_stage(message::STAGE_LEARNER);
  this->Hard.clear_configuration();
  this->persistHard();
  this->Heard.clear();
  this->Grants.clear();
  this->Roles.process(RoleEvent::LostVote);
  this->HelloDue = TimePoint::min();
}

void Replica::confirm(TimePoint Now, const HostName &From,
                      const std::string &Disk, const message::Hello &Hello) {
  const message::Promise &Promise = Hello.promise();
  Claim Claimed{.Term = Promise.term(),
                .LastTerm = Promise.last_term(),
                .LastIndex = Promise.last_index()};
  Claim Held{.Term = this->Hard.term(),
             .LastTerm = this->Log.lastTerm(),
             .LastIndex = this->Log.lastIndex()};
  if (Promise.member().disk() == this->Hard.disk() && Claimed.exceeds(Held)) {
    this->stepDown(Now);
    this->learn(true);
    return;
  }
  if (isVoter(this->Log.configuration(), From, Disk))
    this->Heard[From] = Disk;
  this->considerConfirmed(Now);
}

void Replica::considerConfirmed(TimePoint Now) {
  if (this->Confirmed || !this->isVotingRole())
    return;
  const message::Configuration &Current = this->Log.configuration();
  std::size_t Present = this->Heard.size() + 1;
  bool All = Present == static_cast<std::size_t>(Current.voters_size());
  bool Waited = Now - this->StartedAt >= this->Options.Timings.ElectionMost;
  if (!All && !(Waited && Present >= quorum(Current)))
    return;
  this->Confirmed = true;
  // A vote given in this term may be what the disk has lost.
  if (this->Hard.vote().empty()) {
    this->Hard.set_vote(this->Options.Self);
    this->persistHard();
  }
}

void Replica::refreshRole(TimePoint Now) {
  if (this->role() == Role::Blank)
    return;
  bool Voter = this->isSelfVoter();
  if (Voter && this->role() == Role::Learner) {
    this->Roles.process(RoleEvent::BecameVoter);
    this->considerConfirmed(Now);
  } else if (!Voter && this->isVotingRole()) {
    this->stepDown(Now);
    this->Roles.process(RoleEvent::LostVote);
  }
}

void Replica::considerLearner(TimePoint Now, const HostName &From,
                              const std::string &Disk) {
  const message::Configuration &Current = this->Log.configuration();
  if (this->role() != Role::Leader || !hasHost(Current, From) ||
      isVoter(Current, From, Disk))
    return;
  Progress &State = this->Peers[From];
  bool Answers =
      isVoter(Current, From, State.Disk) && this->isActive(State, Now);
  if (Answers)
    return;
  if (State.Disk != Disk)
    State = Progress{.Disk = Disk, .Next = this->Log.lastIndex() + 1};
  // A learner that restarted may hold less than before.
  State.Match = 0;
}

/// Brings Peers in line with the configuration.
void Replica::refreshPeers() {
  const message::Configuration &Current = this->Log.configuration();
  for (const HostName &Host : this->otherHosts()) {
    std::string Disk(voterDisk(Current, Host));
    if (Disk.empty() && !hasHost(Current, Host))
      this->Peers.erase(Host);
    else if (!Disk.empty())
      this->Peers.try_emplace(
          Host, Progress{.Disk = Disk, .Next = this->Log.lastIndex() + 1});
  }
}

bool Replica::isActive(const Progress &State, TimePoint Now) const {
  return State.Acknowledged != TimePoint::min() &&
         Now - State.Acknowledged < this->Options.Timings.ElectionMost;
}

bool Replica::hasCaughtUp(const Progress &State) const {
  return State.Match > 0 && State.Match + CaughtUpEntries > this->Commit;
}

bool Replica::canCommitWith(const message::Configuration &Configuration,
                            TimePoint Now) const {
  std::size_t Active = 0;
  for (const message::Member &Voter : Configuration.voters()) {
    auto Peer = this->Peers.find(Voter.host());
    if (Voter.host() == this->Options.Self ||
        (Peer != this->Peers.end() && Peer->second.Disk == Voter.disk() &&
         this->isActive(Peer->second, Now)))
      ++Active;
  }
  return Active >= quorum(Configuration);
}

void Replica::proposeVoters(message::Configuration Configuration) {
  message::Entry Entry;
  *Entry.mutable_configuration() = std::move(Configuration);
  this->appendOwn(0, std::move(Entry));
  this->refreshPeers();
}

bool Replica::changeHosts(TimePoint Now, const std::vector<HostName> &Hosts) {
  if (!this->holdsLease(Now) || !this->committedOwnTerm() ||
      this->Commit < this->Log.configurationIndex() || Hosts.empty())
    return false;
  message::Configuration Next = this->Log.configuration();
  std::set<HostName> Sorted(Hosts.begin(), Hosts.end());
  Next.clear_hosts();
  for (const HostName &Host : Sorted)
    Next.add_hosts(Host);
  this->proposeVoters(std::move(Next));
  return true;
}

/// Takes the next step towards one voter on each host, one voter at a time:
/// only then do the quorums before and after have a voter in common.
void Replica::changeVoters(TimePoint Now) {
  const message::Configuration &Current = this->Log.configuration();
  if (!this->holdsLease(Now) || !this->committedOwnTerm() ||
      this->Commit < this->Log.configurationIndex())
    return;
  message::Configuration Next = Current;
  for (const message::Member &Voter : Current.voters()) {
    if (hasHost(Current, Voter.host()))
      continue;
    if (Voter.host() == this->Options.Self) {
      this->transferLeadership(Now);
      continue;
    }
    removeVoter(Next, Voter.host());
    if (this->canCommitWith(Next, Now))
      this->proposeVoters(std::move(Next));
    return;
  }
  for (const auto &[Host, State] : this->Peers) {
    if (isVoter(Current, Host, State.Disk) || !hasHost(Current, Host) ||
        !this->isActive(State, Now) || !this->hasCaughtUp(State))
      continue;
    if (voterDisk(Current, Host).empty())
      addVoter(Next, Host, State.Disk);
    else
      removeVoter(Next, Host);
    if (this->canCommitWith(Next, Now))
      this->proposeVoters(std::move(Next));
    return;
  }
}

std::vector<HostName> Replica::learners() const {
  std::vector<HostName> Hosts;
  for (const auto &[Host, State] : this->Peers)
    if (!isVoter(this->Log.configuration(), Host, State.Disk))
      Hosts.push_back(Host);
  return Hosts;
}

bool Replica::repairComplete(TimePoint Now) const {
  const message::Configuration &Current = this->Log.configuration();
  std::uint64_t Changed = this->Log.configurationIndex();
  if (!this->holdsLease(Now) || this->Commit < Changed ||
      Current.voters_size() != Current.hosts_size())
    return false;
  for (const message::Member &Voter : Current.voters()) {
    if (!hasHost(Current, Voter.host()))
      return false;
    if (Voter.host() == this->Options.Self)
      continue;
    auto Peer = this->Peers.find(Voter.host());
    if (Peer == this->Peers.end() || Peer->second.Disk != Voter.disk() ||
        !this->isActive(Peer->second, Now) || Peer->second.Match < Changed)
      return false;
  }
  return true;
}

} // namespace carobhinge
