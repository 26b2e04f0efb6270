//===- LibConsensus/ReplicaMembers.cpp - Identities and voters ------------===//
///
/// \file
/// Creation of the log, the check that prevents a disk that lost its state from
/// voting, and the voter changes by which the leader reaches the requested
/// hosts. The comment at the top of Replica.h explains why this is safe.
///
//===----------------------------------------------------------------------===//

#include <LibConsensus/Replica.h>
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <utility>

namespace carobhinge {

/// A learner that lags by fewer entries than this may become a voter.
static constexpr std::uint64_t CaughtUpEntries = 64;
/// Number of maximum election timeouts without contact to a leader after which
/// a voter sends its hello to all known hosts.
static constexpr int ElectionTimeoutsBeforeHello = 2;

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
  return this->CurrentHardState.stage();
}

void Replica::sendHello(const HostName &To, bool Reply) {
  message::ConsensusMessage Message = this->makeMessage();
  message::Hello &Hello = *Message.mutable_hello();
  Hello.set_stage(this->wireStage());
  Hello.set_reply(Reply);
  *Hello.mutable_configuration() = this->isVotingRole()
                                       ? this->Log.configuration()
                                       : this->CurrentHardState.configuration();
  this->send(To, std::move(Message));
}

void Replica::sendHelloToAll() {
  std::vector<HostName> Hosts = this->otherHosts();
  for (const HostName &Host : Hosts)
    this->sendHello(Host, false);
  // Only the initial hosts take part in the creation of the log.
  if (this->role() == Role::Blank)
    return;
  for (const HostName &Host : this->ContactHosts)
    if (Host != this->Options.Self &&
        std::ranges::find(Hosts, Host) == Hosts.end())
      this->sendHello(Host, false);
}

/// \returns whether this voter may have been removed from the log while it was
/// unreachable; all voters in its configuration may have been removed as well.
bool Replica::mayBeRemoved(TimePoint Now) const {
  // Until the first message of a leader, the time counts from the start.
  TimePoint LastContactAt = std::max(this->LastLeaderContact, this->StartedAt);
  return this->isVotingRole() && this->role() != Role::Leader &&
         Now - LastContactAt >= ElectionTimeoutsBeforeHello *
                                    this->Options.Timings.MaxElectionTimeout;
}

void Replica::tickMembers(TimePoint Now) {
  this->advanceFormation(Now);
  this->tryConfirmIdentity(Now);
  bool MayBeRemoved = this->mayBeRemoved(Now);
  if (this->isVotingRole() && this->IsIdentityConfirmed && !MayBeRemoved)
    return;
  if (Now < this->NextHelloAt)
    return;
  const ReplicaTimings &Timings = this->Options.Timings;
  bool Learning = this->role() == Role::Learner || MayBeRemoved;
  this->NextHelloAt =
      Now + (Learning ? Timings.MinElectionTimeout : Timings.Heartbeat);
  this->sendHelloToAll();
}

void Replica::onHello(TimePoint Now, const HostName &From,
                      const message::ConsensusMessage &Message) {
  const message::Hello &Hello = Message.hello();
  if (this->role() == Role::Blank)
    this->handleFormationHello(Now, From, Message.disk(), Hello);
  else if (Hello.reply())
    this->handleHelloReply(Now, From, Message.disk(), Hello);
  if (Hello.reply())
    return;
  this->trackLearner(Now, From, Message.disk());
  this->sendHello(From, true);
  Claim Claimed = this->KnownClaims.highestClaim(From, Message.disk());
  // The last effect is the reply; add the highest claim known of the sender.
  auto &ReplyEffect = std::get<SendEffect>(this->Effects.back());
  message::Promise &WireClaim =
      *ReplyEffect.Message.mutable_hello()->mutable_promise();
  WireClaim.mutable_member()->set_host(From);
  WireClaim.mutable_member()->set_disk(Message.disk());
  WireClaim.set_term(Claimed.Term);
  WireClaim.set_last_term(Claimed.LastTerm);
  WireClaim.set_last_index(Claimed.LastIndex);
}

void Replica::handleFormationHello(TimePoint Now, const HostName &From,
                                   const std::string &Disk,
                                   const message::Hello &Hello) {
  if (Hello.stage() == message::STAGE_FORMED) {
    this->joinFormedLog(Now, Hello.configuration());
    return;
  }
  const std::vector<HostName> &InitialHosts = this->Options.Voters;
  if (std::find(InitialHosts.begin(), InitialHosts.end(), From) ==
      InitialHosts.end())
    return;
  bool IsLocked = Hello.stage() == message::STAGE_LOCKED;
  if (this->CurrentHardState.stage() == message::STAGE_BLANK) {
    if (!IsLocked && Hello.stage() == message::STAGE_BLANK)
      this->PeerIdentities[From] = Disk;
    if (IsLocked && isVoter(Hello.configuration(), this->Options.Self,
                            this->CurrentHardState.disk()))
      this->lockConfiguration(Hello.configuration());
  }
  if (IsLocked && this->CurrentHardState.stage() == message::STAGE_LOCKED &&
      equal(Hello.configuration(), this->CurrentHardState.configuration()))
    this->PeerIdentities[From] = Disk;
  this->advanceFormation(Now);
}

/// Called when a hello shows that the log exists. A replica that has locked its
/// set of voters is one of them.
void Replica::joinFormedLog(TimePoint Now,
                            const message::Configuration &FormedConfiguration) {
  if (!isVoter(FormedConfiguration, this->Options.Self,
               this->CurrentHardState.disk())) {
    this->becomeLearner(false);
    return;
  }
  if (this->CurrentHardState.stage() == message::STAGE_LOCKED)
    this->completeFormation(Now);
  else
    this->becomeLearner(true);
}

void Replica::advanceFormation(TimePoint Now) {
  if (this->role() != Role::Blank)
    return;
  std::size_t OtherVoterCount = this->Options.Voters.size() - 1;
  if (this->CurrentHardState.stage() == message::STAGE_BLANK &&
      this->PeerIdentities.size() == OtherVoterCount) {
    message::Configuration InitialConfiguration;
    this->PeerIdentities[this->Options.Self] = this->CurrentHardState.disk();
    for (const auto &[Host, Disk] : this->PeerIdentities) {
      addVoter(InitialConfiguration, Host, Disk);
      InitialConfiguration.add_hosts(Host);
    }
    this->lockConfiguration(InitialConfiguration);
  }
  if (this->CurrentHardState.stage() == message::STAGE_LOCKED &&
      this->PeerIdentities.size() == OtherVoterCount)
    this->completeFormation(Now);
}

void Replica::lockConfiguration(
    const message::Configuration &InitialConfiguration) {
  this->PeerIdentities.clear();
  this->CurrentHardState.set_stage(message::STAGE_LOCKED);
  *this->CurrentHardState.mutable_configuration() = InitialConfiguration;
  this->persistHardState();
  this->sendHelloToAll();
}

void Replica::completeFormation(TimePoint Now) {
  this->PeerIdentities.clear();
  this->CurrentHardState.set_stage(message::STAGE_FORMED);
  this->persistHardState();
  this->Log.setInitialConfiguration(this->CurrentHardState.configuration());
  this->Roles.process(RoleEvent::LogFormed);
  this->IsIdentityConfirmed = true;
  this->sendHelloToAll();
  // No leader exists yet, so a shorter election timeout is safe.
  const ReplicaTimings &Timings = this->Options.Timings;
  std::uniform_int_distribution<std::int64_t> Spread(
      Timings.Heartbeat.count(), Timings.MinElectionTimeout.count());
  this->ElectionDeadline = Now + Duration(Spread(this->Random));
}

/// Becomes a learner. \p NewIdentity is set if the current one may have voted.
void Replica::becomeLearner(bool NewIdentity) {
  if (NewIdentity)
    this->CurrentHardState.set_disk(this->newIdentity());
  this->CurrentHardState.set_stage(message::STAGE_LEARNER);
  this->CurrentHardState.clear_configuration();
  this->persistHardState();
  this->PeerIdentities.clear();
  this->GrantedVotes.clear();
  this->Roles.process(RoleEvent::LostVoterStatus);
  this->NextHelloAt = TimePoint::min();
}

void Replica::handleHelloReply(TimePoint Now, const HostName &From,
                               const std::string &Disk,
                               const message::Hello &Hello) {
  const message::Promise &WireClaim = Hello.promise();
  Claim Claimed{.Term = WireClaim.term(),
                .LastTerm = WireClaim.last_term(),
                .LastIndex = WireClaim.last_index()};
  Claim LocalClaim{.Term = this->CurrentHardState.term(),
                   .LastTerm = this->Log.lastTerm(),
                   .LastIndex = this->Log.lastIndex()};
  if (WireClaim.member().disk() == this->CurrentHardState.disk() &&
      Claimed.exceeds(LocalClaim)) {
    this->stepDown(Now);
    this->becomeLearner(true);
    return;
  }
  if (isVoter(this->Log.configuration(), From, Disk))
    this->PeerIdentities[From] = Disk;
  this->tryConfirmIdentity(Now);
}

void Replica::tryConfirmIdentity(TimePoint Now) {
  if (this->IsIdentityConfirmed || !this->isVotingRole())
    return;
  const message::Configuration &Current = this->Log.configuration();
  std::size_t RespondedCount = this->PeerIdentities.size() + 1;
  bool AllResponded =
      RespondedCount == static_cast<std::size_t>(Current.voters_size());
  bool HasWaited =
      Now - this->StartedAt >= this->Options.Timings.MaxElectionTimeout;
  if (!AllResponded && !(HasWaited && RespondedCount >= quorum(Current)))
    return;
  this->IsIdentityConfirmed = true;
  // The disk may have lost a vote cast in this term, so vote for itself.
  if (this->CurrentHardState.vote().empty()) {
    this->CurrentHardState.set_vote(this->Options.Self);
    this->persistHardState();
  }
}

void Replica::updateRole(TimePoint Now) {
  if (this->role() == Role::Blank)
    return;
  bool Voter = this->isSelfVoter();
  if (Voter && this->role() == Role::Learner) {
    this->Roles.process(RoleEvent::BecameVoter);
    this->tryConfirmIdentity(Now);
  } else if (!Voter && this->isVotingRole()) {
    this->stepDown(Now);
    this->Roles.process(RoleEvent::LostVoterStatus);
  }
}

void Replica::trackLearner(TimePoint Now, const HostName &From,
                           const std::string &Disk) {
  const message::Configuration &Current = this->Log.configuration();
  if (this->role() != Role::Leader || !hasHost(Current, From) ||
      isVoter(Current, From, Disk))
    return;
  Progress &PeerProgress = this->Peers[From];
  bool IsResponding = isVoter(Current, From, PeerProgress.Disk) &&
                      this->isActive(PeerProgress, Now);
  if (IsResponding)
    return;
  if (PeerProgress.Disk != Disk)
    PeerProgress = Progress{.Disk = Disk, .Next = this->Log.lastIndex() + 1};
  // A restarted learner may hold less than before.
  PeerProgress.Match = 0;
}

/// Adds and removes Peers to match the configuration.
void Replica::updatePeers() {
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

bool Replica::isActive(const Progress &PeerProgress, TimePoint Now) const {
  return PeerProgress.LastAcknowledged != TimePoint::min() &&
         Now - PeerProgress.LastAcknowledged <
             this->Options.Timings.MaxElectionTimeout;
}

bool Replica::hasCaughtUp(const Progress &PeerProgress) const {
  return PeerProgress.Match > 0 &&
         PeerProgress.Match + CaughtUpEntries > this->CommitIndex;
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

void Replica::proposeConfiguration(message::Configuration Configuration) {
  message::Entry Entry;
  *Entry.mutable_configuration() = std::move(Configuration);
  this->appendEntry(0, std::move(Entry));
  this->updatePeers();
}

bool Replica::changeHosts(TimePoint Now, const std::vector<HostName> &Hosts) {
  if (!this->holdsLease(Now) || !this->hasCommittedInCurrentTerm() ||
      this->CommitIndex < this->Log.configurationIndex() || Hosts.empty())
    return false;
  message::Configuration Next = this->Log.configuration();
  std::set<HostName> Sorted(Hosts.begin(), Hosts.end());
  Next.clear_hosts();
  for (const HostName &Host : Sorted)
    Next.add_hosts(Host);
  this->proposeConfiguration(std::move(Next));
  return true;
}

/// Makes the next change towards one voter on each requested host. Only one
/// voter changes at a time, so that quorums of the old and the new
/// configuration always overlap; replicas of earlier builds know no other kind
/// of change.
void Replica::advanceVoterChange(TimePoint Now) {
  if (!this->holdsLease(Now) || !this->hasCommittedInCurrentTerm() ||
      this->CommitIndex < this->Log.configurationIndex())
    return;
  std::optional<message::Configuration> Next = this->replaceLostIdentity(Now);
  if (!Next)
    Next = this->addCaughtUpVoter(Now);
  if (!Next)
    Next = this->removeReplacedVoter(Now);
  if (Next && this->canCommitWith(*Next, Now))
    this->proposeConfiguration(std::move(*Next));
}

/// Removes the identity that a host has replaced by a new one. That disk never
/// votes again, so its removal costs no tolerated failure.
std::optional<message::Configuration>
Replica::replaceLostIdentity(TimePoint Now) const {
  const message::Configuration &Current = this->Log.configuration();
  for (const auto &[Host, PeerProgress] : this->Peers) {
    if (!hasHost(Current, Host) || voterDisk(Current, Host).empty() ||
        isVoter(Current, Host, PeerProgress.Disk) ||
        !this->isActive(PeerProgress, Now) || !this->hasCaughtUp(PeerProgress))
      continue;
    message::Configuration Next = Current;
    removeVoter(Next, Host);
    return Next;
  }
  return std::nullopt;
}

/// Adds a voter before the one that it replaces is removed: with fewer voters
/// in between, the loss of one more disk could leave no majority for good.
std::optional<message::Configuration>
Replica::addCaughtUpVoter(TimePoint Now) const {
  const message::Configuration &Current = this->Log.configuration();
  if (Current.voters_size() > Current.hosts_size())
    return std::nullopt;
  for (const auto &[Host, PeerProgress] : this->Peers) {
    if (!hasHost(Current, Host) || !voterDisk(Current, Host).empty() ||
        !this->isActive(PeerProgress, Now) || !this->hasCaughtUp(PeerProgress))
      continue;
    message::Configuration Next = Current;
    addVoter(Next, Host, PeerProgress.Disk);
    return Next;
  }
  return std::nullopt;
}

/// Removes a voter on a host that should hold none, an unreachable one first.
/// If this replica is the only one, it transfers its leadership.
std::optional<message::Configuration>
Replica::removeReplacedVoter(TimePoint Now) {
  const message::Configuration &Current = this->Log.configuration();
  if (Current.voters_size() <= Current.hosts_size())
    return std::nullopt;
  std::optional<HostName> Removed;
  for (const message::Member &Voter : Current.voters()) {
    if (hasHost(Current, Voter.host()) || Voter.host() == this->Options.Self)
      continue;
    auto Peer = this->Peers.find(Voter.host());
    bool IsUnreachable =
        Peer == this->Peers.end() || !this->isActive(Peer->second, Now);
    if (!Removed || IsUnreachable)
      Removed = Voter.host();
  }
  if (!Removed) {
    if (!hasHost(Current, this->Options.Self))
      this->transferLeadership(Now);
    return std::nullopt;
  }
  message::Configuration Next = Current;
  removeVoter(Next, *Removed);
  return Next;
}

std::vector<HostName> Replica::learners() const {
  std::vector<HostName> Hosts;
  for (const auto &[Host, PeerProgress] : this->Peers)
    if (!isVoter(this->Log.configuration(), Host, PeerProgress.Disk))
      Hosts.push_back(Host);
  return Hosts;
}

bool Replica::repairComplete(TimePoint Now) const {
  const message::Configuration &Current = this->Log.configuration();
  std::uint64_t ConfigurationIndex = this->Log.configurationIndex();
  if (!this->holdsLease(Now) || this->CommitIndex < ConfigurationIndex ||
      Current.voters_size() != Current.hosts_size())
    return false;
  for (const message::Member &Voter : Current.voters()) {
    if (!hasHost(Current, Voter.host()))
      return false;
    if (Voter.host() == this->Options.Self)
      continue;
    auto Peer = this->Peers.find(Voter.host());
    if (Peer == this->Peers.end() || Peer->second.Disk != Voter.disk() ||
        !this->isActive(Peer->second, Now) ||
        Peer->second.Match < ConfigurationIndex)
      return false;
  }
  return true;
}

} // namespace carobhinge
