//===- LibIntent/Dissemination.cpp - Distributes the intent to hosts ------===//
///
/// \file
/// Implements polls, answers, pushes, parent failover, and the conditions under
/// which a restarted host becomes ready.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/Dissemination.h>

#include <algorithm>

namespace carobhinge {

/// Texts kept as bases for deltas. A child that is further behind gets the
/// whole text.
static constexpr std::size_t MaxRecentTexts = 4;
/// Unanswered polls after which a parent counts as lost. A false positive
/// costs one message, while every further poll delays that level of the tree by
/// one poll interval.
static constexpr int MaxUnansweredPolls = 1;
/// Polls between attempts to return to the first candidate.
static constexpr int ReturnAfterPolls = 10;
/// Poll intervals without a poll after which a child is removed.
static constexpr int ChildLifetimePolls = 4;
/// Poll intervals after which the answer to a poll is ignored.
static constexpr int AnswerLifetimePolls = 4;

Dissemination::Dissemination(DisseminationOptions Configured,
                             IntentInForce &InForce, TimePoint Now)
    : Options(std::move(Configured)), InForce(InForce),
      Recovery(RecoveryOptions{.Peers = this->Options.DomainPeers}),
      StartedAt(Now), NextRoundAt(Now), NextPollAt(Now) {}

std::vector<OutgoingIntentMessage> Dissemination::takePendingSends() {
  return std::exchange(this->PendingSends, {});
}

void Dissemination::send(const HostName &To, message::IntentMessage Message) {
  this->PendingSends.push_back({.To = To, .Message = std::move(Message)});
}

bool Dissemination::isInDomain(const HostName &Host) const {
  return std::ranges::binary_search(this->Options.DomainPeers, Host);
}

HostName Dissemination::parent() const {
  if (this->Options.Parents.empty())
    return "";
  return this->Options.Parents[this->ParentIndex];
}

void Dissemination::selectNextParent() {
  this->ParentIndex = (this->ParentIndex + 1) % this->Options.Parents.size();
  this->UnansweredPolls = 0;
}

template <typename PollOrAnswer>
void Dissemination::setControlAge(TimePoint Now, PollOrAnswer &Message) const {
  std::optional<TimePoint> ConfirmedAt = this->InForce.controlConfirmedAt();
  if (!ConfirmedAt)
    return;
  Message.set_heard_control(true);
  // Rounds up so that the age is never understated.
  Message.set_control_age_ms(milliseconds(Now - *ConfirmedAt) + 1);
}

void Dissemination::sendPoll(TimePoint Now, const HostName &To,
                             PollRequest Requested) {
  message::IntentMessage Message;
  message::IntentPoll &Poll = *Message.mutable_poll();
  Poll.set_number(++this->LastPollNumber);
  Poll.set_version(this->InForce.version());
  Poll.set_digest(this->InForce.textDigest());
  Poll.set_wants_text(Requested != PollRequest::Nothing);
  Poll.set_wants_pushes(Requested == PollRequest::TextAndPushes);
  if (this->isInDomain(To) && this->InForce.hold().sequence() > 0)
    *Poll.mutable_hold() = this->InForce.hold();
  this->setControlAge(Now, Poll);
  this->Polls[this->LastPollNumber] = {.To = To, .SentAt = Now};
  this->send(To, std::move(Message));
}

/// Requests a newer text from one host, even if several report it at once.
void Dissemination::fetch(TimePoint Now, const HostName &From,
                          std::uint64_t Version) {
  if (Version <= this->InForce.version())
    return;
  bool IsFetching = Version <= this->FetchVersion &&
                    Now - this->FetchedAt < this->Options.PollInterval;
  if (IsFetching)
    return;
  this->FetchVersion = Version;
  this->FetchedAt = Now;
  this->sendPoll(Now, From, PollRequest::Text);
}

void Dissemination::pollParent(TimePoint Now) {
  if (this->Options.Parents.empty() || Now < this->NextPollAt)
    return;
  this->NextPollAt = Now + this->Options.PollInterval;
  if (this->UnansweredPolls >= MaxUnansweredPolls)
    this->selectNextParent();
  // Periodically returns to the first candidate. Otherwise children that lost
  // their parent would permanently overload the hosts near the root. Parents in
  // other domains are interchangeable.
  if (this->isInDomain(this->Options.Parents.front()) &&
      ++this->PollsSinceFirstParent >= ReturnAfterPolls) {
    this->PollsSinceFirstParent = 0;
    this->ParentIndex = 0;
    this->UnansweredPolls = 0;
  }
  ++this->UnansweredPolls;
  this->sendPoll(Now, this->parent(), PollRequest::TextAndPushes);
}

void Dissemination::recover(TimePoint Now) {
  if (this->InForce.ready() || Now < this->NextRoundAt)
    return;
  for (const HostName &Host : this->Recovery.peersToPoll(Now))
    this->sendPoll(Now, Host, PollRequest::Nothing);
  // A hold is known only within the failure domain, so the peers are polled
  // even if control hosts can be reached.
  if (!this->Recovery.isRoundDone())
    return;
  // A confirmation by a control quorum after the restart covers every version
  // that this host can have had in force before it.
  std::optional<TimePoint> ConfirmedAt = this->InForce.controlConfirmedAt();
  bool IsConfirmed = ConfirmedAt && *ConfirmedAt >= this->StartedAt;
  bool NoReadyPeer = !this->Recovery.hasReadyPeer();
  bool CutOff = Now - this->StartedAt >= this->Options.CutOffAfter;
  bool HasHighest = this->InForce.version() > 0 &&
                    this->InForce.version() >= this->Recovery.highest();
  if (HasHighest && (IsConfirmed || (CutOff && !NoReadyPeer))) {
    this->InForce.markReady();
    return;
  }
  this->Recovery.startRound();
  this->NextRoundAt = Now + this->Options.PollInterval;
}

std::vector<OutgoingIntentMessage> Dissemination::tick(TimePoint Now) {
  std::erase_if(this->Children, [&](const auto &Each) {
    return Now - Each.second.PolledAt >=
           ChildLifetimePolls * this->Options.PollInterval;
  });
  std::erase_if(this->Polls, [&](const auto &Each) {
    return Now - Each.second.SentAt >=
           AnswerLifetimePolls * this->Options.PollInterval;
  });
  this->recover(Now);
  this->pollParent(Now);
  return this->takePendingSends();
}

std::vector<OutgoingIntentMessage>
Dissemination::handle(TimePoint Now, const HostName &From,
                      const message::IntentMessage &Message) {
  if (Message.has_poll())
    this->handlePoll(Now, From, Message.poll());
  else if (Message.has_answer())
    this->handleAnswer(Now, From, Message.answer());
  else if (Message.has_push())
    this->handlePush(Now, From, Message.push());
  return this->takePendingSends();
}

void Dissemination::registerChild(TimePoint Now, const HostName &From,
                                  const message::IntentPoll &Poll) {
  if (!Poll.wants_pushes())
    return;
  if (!this->Children.contains(From) &&
      this->Children.size() >= this->Options.MaxChildren)
    return;
  this->Children[From] = {
      .PolledAt = Now, .Version = Poll.version(), .Digest = Poll.digest()};
}

void Dissemination::handlePoll(TimePoint Now, const HostName &From,
                               const message::IntentPoll &Poll) {
  this->receiveHold(Poll.hold(), From);
  this->registerChild(Now, From, Poll);
  message::IntentMessage Message;
  message::IntentAnswer &Answer = *Message.mutable_answer();
  Answer.set_number(Poll.number());
  Answer.set_ready(this->InForce.ready());
  Answer.set_full(Poll.wants_pushes() && !this->Children.contains(From));
  Answer.set_version(this->InForce.version());
  if (Poll.wants_text() && Poll.version() < this->InForce.version())
    *Answer.mutable_text() = this->textFor(Poll.version(), Poll.digest());
  this->setControlAge(Now, Answer);
  if (this->isInDomain(From) && this->InForce.hold().sequence() > 0)
    *Answer.mutable_hold() = this->InForce.hold();
  this->send(From, std::move(Message));
  // A child can have a newer version: it may have had another parent, or be the
  // leader of the log.
  this->fetch(Now, From, Poll.version());
  this->pollBack(Now, From, Poll);
}

/// Polls a child whose confirmation by the control quorum may be newer.
void Dissemination::pollBack(TimePoint Now, const HostName &From,
                             const message::IntentPoll &Poll) {
  if (!Poll.heard_control())
    return;
  TimePoint ChildConfirmedAt =
      Now - std::chrono::milliseconds(Poll.control_age_ms());
  std::optional<TimePoint> ConfirmedAt = this->InForce.controlConfirmedAt();
  if (!ConfirmedAt ||
      ChildConfirmedAt - *ConfirmedAt >= this->Options.PollInterval)
    this->sendPoll(Now, From, PollRequest::Nothing);
}

void Dissemination::handleAnswer(TimePoint Now, const HostName &From,
                                 const message::IntentAnswer &Answer) {
  if (Answer.has_text())
    this->applyText(Answer.text(), From);
  this->fetch(Now, From, Answer.version());
  this->receiveHold(Answer.hold(), From);
  auto PollEntry = this->Polls.find(Answer.number());
  if (PollEntry == this->Polls.end() || PollEntry->second.To != From)
    return;
  TimePoint SentAt = PollEntry->second.SentAt;
  this->Polls.erase(PollEntry);
  // The age is valid only for the version that the sender has in force.
  if (Answer.heard_control() && this->InForce.version() >= Answer.version())
    this->InForce.recordControlConfirmation(
        SentAt - std::chrono::milliseconds(Answer.control_age_ms()));
  this->Recovery.recordAnswer(From, Answer.ready(), Answer.version());
  if (From != this->parent())
    return;
  this->UnansweredPolls = 0;
  if (Answer.full() || this->isStale(Now))
    this->selectNextParent();
}

/// Returns whether the parent answers without bringing new confirmations by the
/// control quorum, as happens if two hosts poll each other. Half the cut-off
/// time leaves the other half for finding a better parent.
bool Dissemination::isStale(TimePoint Now) const {
  TimePoint LastProgressAt =
      std::max(this->StartedAt,
               this->InForce.controlConfirmedAt().value_or(TimePoint()));
  return Now - LastProgressAt > this->Options.CutOffAfter / 2;
}

void Dissemination::handlePush(TimePoint Now, const HostName &From,
                               const message::IntentPush &Push) {
  if (Push.has_text() && !this->applyText(Push.text(), From))
    this->sendPoll(Now, From, PollRequest::Text);
  this->receiveHold(Push.hold(), From);
}

bool Dissemination::applyText(const message::IntentText &Delta,
                              const HostName &From) {
  if (Delta.version() <= this->InForce.version())
    return true;
  std::optional<std::string> Text =
      applyDelta(Delta, this->InForce.version(), this->InForce.textDigest(),
                 this->InForce.text());
  if (Text)
    this->putInForce(Delta.version(), *Text, From);
  return Text.has_value();
}

void Dissemination::receiveHold(const message::DomainHold &Hold,
                                const HostName &From) {
  if (this->isInDomain(From) && this->InForce.mergeHold(Hold))
    this->pushHold(From);
}

/// The current parent may be in another failure domain, so the hold is also
/// sent to every candidate parent in this host's failure domain.
void Dissemination::pushHold(const HostName &Except) {
  this->push(Except);
  for (const HostName &Host : this->Options.Parents) {
    if (Host == Except || !this->isInDomain(Host))
      continue;
    message::IntentMessage Message;
    *Message.mutable_push()->mutable_hold() = this->InForce.hold();
    this->send(Host, std::move(Message));
  }
}

void Dissemination::putInForce(std::uint64_t Version, std::string_view Text,
                               const HostName &From) {
  if (!this->InForce.offer(Version, Text))
    return;
  this->RecentTexts.push_back({.Version = Version,
                               .Digest = this->InForce.textDigest(),
                               .Text = std::string(Text)});
  if (this->RecentTexts.size() > MaxRecentTexts)
    this->RecentTexts.pop_front();
  this->push(From);
}

message::IntentText Dissemination::textFor(std::uint64_t Version,
                                           std::string_view Digest) const {
  const VersionedText *Base = nullptr;
  for (const VersionedText &Each : this->RecentTexts)
    if (Each.Version == Version && Each.Digest == Digest)
      Base = &Each;
  return makeDelta(Base, this->RecentTexts.back());
}

void Dissemination::push(const HostName &Except) {
  for (auto &[Host, Recipient] : this->Children) {
    if (Host == Except)
      continue;
    message::IntentMessage Message;
    message::IntentPush &Push = *Message.mutable_push();
    if (Recipient.Version < this->InForce.version())
      *Push.mutable_text() = this->textFor(Recipient.Version, Recipient.Digest);
    // If this push is lost, the base of the next push doesn't match the
    // child's version, and the child polls for the text.
    Recipient.Version = this->InForce.version();
    Recipient.Digest = this->InForce.textDigest();
    if (this->isInDomain(Host) && this->InForce.hold().sequence() > 0)
      *Push.mutable_hold() = this->InForce.hold();
    this->send(Host, std::move(Message));
  }
}

std::vector<OutgoingIntentMessage>
Dissemination::publish(std::uint64_t Version, std::string_view Text) {
  this->putInForce(Version, Text, "");
  return this->takePendingSends();
}

void Dissemination::confirmCurrent(TimePoint ReadStartedAt) {
  this->InForce.recordControlConfirmation(ReadStartedAt);
}

std::vector<OutgoingIntentMessage>
Dissemination::order(bool Held, std::string_view Operator,
                     std::int64_t StampMs) {
  if (this->InForce.order(Held, Operator, StampMs))
    this->pushHold("");
  return this->takePendingSends();
}

} // namespace carobhinge
