//===- LibIntent/Dissemination.cpp - Bringing the intent to every host ----===//
///
/// \file
/// Polls, answers, pushes, the change of parents, and when a restarted host
/// may act.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/Dissemination.h>

#include <algorithm>

namespace carobhinge {

/// Texts kept as bases for deltas. A child that missed more gets the whole.
static constexpr std::size_t RecentTexts = 4;
/// Unanswered polls after which a parent counts as lost. A wrong guess costs
/// one message; each poll waited for costs a level of the tree its interval.
static constexpr int LostAfterPolls = 1;
/// Polls between two tries to return to the first candidate.
static constexpr int ReturnAfterPolls = 10;
/// Poll intervals without a poll after which a child is forgotten.
static constexpr int ChildLifetimePolls = 4;
/// Poll intervals after which an answer no longer counts.
static constexpr int AnswerLifetimePolls = 4;

Dissemination::Dissemination(DisseminationOptions Given, IntentInForce &InForce,
                             TimePoint Now)
    : Options(std::move(Given)), InForce(InForce),
      Recovery(RecoveryOptions{.Peers = this->Options.DomainPeers}),
      StartedAt(Now), NextRound(Now), NextPoll(Now) {}

std::vector<IntentSend> Dissemination::takeEffects() {
  return std::exchange(this->Effects, {});
}

void Dissemination::send(const HostName &To, message::IntentMessage Message) {
  this->Effects.push_back({.To = To, .Message = std::move(Message)});
}

bool Dissemination::inDomain(const HostName &Host) const {
  return std::ranges::binary_search(this->Options.DomainPeers, Host);
}

HostName Dissemination::parent() const {
  if (this->Options.Parents.empty())
    return "";
  return this->Options.Parents[this->ParentIndex];
}

void Dissemination::nextParent() {
  this->ParentIndex = (this->ParentIndex + 1) % this->Options.Parents.size();
  this->Unanswered = 0;
}

template <typename PollOrAnswer>
void Dissemination::setControlAge(TimePoint Now, PollOrAnswer &Message) const {
  std::optional<TimePoint> Heard = this->InForce.heardControlAt();
  if (!Heard)
    return;
  Message.set_heard_control(true);
  // Rounded up, so that an age never seems younger than it is.
  Message.set_control_age_ms(milliseconds(Now - *Heard) + 1);
}

void Dissemination::sendPoll(TimePoint Now, const HostName &To, Wants Wanted) {
  message::IntentMessage Message;
  message::IntentPoll &Poll = *Message.mutable_poll();
  Poll.set_number(++this->LastNumber);
  Poll.set_version(this->InForce.version());
  Poll.set_digest(this->InForce.textDigest());
  Poll.set_wants_text(Wanted != Wants::Nothing);
  Poll.set_wants_pushes(Wanted == Wants::TextAndPushes);
  if (this->inDomain(To) && this->InForce.hold().sequence() > 0)
    *Poll.mutable_hold() = this->InForce.hold();
  this->setControlAge(Now, Poll);
  this->Polls[this->LastNumber] = {.To = To, .SentAt = Now};
  this->send(To, std::move(Message));
}

/// Many hosts may tell of a version at once; one of them is asked for it.
void Dissemination::fetch(TimePoint Now, const HostName &From,
                          std::uint64_t Version) {
  if (Version <= this->InForce.version())
    return;
  bool Underway = Version <= this->FetchVersion &&
                  Now - this->FetchedAt < this->Options.PollInterval;
  if (Underway)
    return;
  this->FetchVersion = Version;
  this->FetchedAt = Now;
  this->sendPoll(Now, From, Wants::Text);
}

void Dissemination::pollParent(TimePoint Now) {
  if (this->Options.Parents.empty() || Now < this->NextPoll)
    return;
  this->NextPoll = Now + this->Options.PollInterval;
  if (this->Unanswered >= LostAfterPolls)
    this->nextParent();
  // Children that moved on when their parent was lost would otherwise crowd
  // the hosts near the root for good. Between domains any parent is as good.
  if (this->inDomain(this->Options.Parents.front()) &&
      ++this->PollsSinceFirstParent >= ReturnAfterPolls) {
    this->PollsSinceFirstParent = 0;
    this->ParentIndex = 0;
    this->Unanswered = 0;
  }
  ++this->Unanswered;
  this->sendPoll(Now, this->parent(), Wants::TextAndPushes);
}

void Dissemination::recover(TimePoint Now) {
  if (this->InForce.ready() || Now < this->NextRound)
    return;
  for (const HostName &Host : this->Recovery.due(Now))
    this->sendPoll(Now, Host, Wants::Nothing);
  // A hold is known in the failure domain only, so its peers are asked even
  // where the control hosts can be heard.
  if (!this->Recovery.roundDone())
    return;
  // What a control quorum said after the restart includes every version that
  // this host can have had before it.
  std::optional<TimePoint> Heard = this->InForce.heardControlAt();
  bool Current = Heard && *Heard >= this->StartedAt;
  bool Alone = !this->Recovery.anyReady();
  bool CutOff = Now - this->StartedAt >= this->Options.CutOffAfter;
  bool Highest = this->InForce.version() > 0 &&
                 this->InForce.version() >= this->Recovery.highest();
  if (Highest && (Current || (CutOff && !Alone))) {
    this->InForce.markReady();
    return;
  }
  this->Recovery.startRound();
  this->NextRound = Now + this->Options.PollInterval;
}

std::vector<IntentSend> Dissemination::tick(TimePoint Now) {
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
  return this->takeEffects();
}

std::vector<IntentSend>
Dissemination::handle(TimePoint Now, const HostName &From,
                      const message::IntentMessage &Message) {
  if (Message.has_poll())
    this->handlePoll(Now, From, Message.poll());
  else if (Message.has_answer())
    this->handleAnswer(Now, From, Message.answer());
  else if (Message.has_push())
    this->handlePush(Now, From, Message.push());
  return this->takeEffects();
}

void Dissemination::adopt(TimePoint Now, const HostName &From,
                          const message::IntentPoll &Poll) {
  if (!Poll.wants_pushes())
    return;
  if (!this->Children.contains(From) &&
      this->Children.size() >= this->Options.MostChildren)
    return;
  this->Children[From] = {
      .PolledAt = Now, .Version = Poll.version(), .Digest = Poll.digest()};
}

void Dissemination::handlePoll(TimePoint Now, const HostName &From,
                               const message::IntentPoll &Poll) {
  this->takeHold(Poll.hold(), From);
  this->adopt(Now, From, Poll);
  message::IntentMessage Message;
  message::IntentAnswer &Answer = *Message.mutable_answer();
  Answer.set_number(Poll.number());
  Answer.set_ready(this->InForce.ready());
  Answer.set_full(Poll.wants_pushes() && !this->Children.contains(From));
  Answer.set_version(this->InForce.version());
  if (Poll.wants_text() && Poll.version() < this->InForce.version())
    *Answer.mutable_text() = this->textFor(Poll.version(), Poll.digest());
  this->setControlAge(Now, Answer);
  if (this->inDomain(From) && this->InForce.hold().sequence() > 0)
    *Answer.mutable_hold() = this->InForce.hold();
  this->send(From, std::move(Message));
  // A child can know more: it may have had another parent, or lead the log.
  this->fetch(Now, From, Poll.version());
  this->askBack(Now, From, Poll);
}

/// Asks a child for its word of the control quorum where that may be newer.
void Dissemination::askBack(TimePoint Now, const HostName &From,
                            const message::IntentPoll &Poll) {
  if (!Poll.heard_control())
    return;
  TimePoint Theirs = Now - std::chrono::milliseconds(Poll.control_age_ms());
  std::optional<TimePoint> Own = this->InForce.heardControlAt();
  if (!Own || Theirs - *Own >= this->Options.PollInterval)
    this->sendPoll(Now, From, Wants::Nothing);
}

void Dissemination::handleAnswer(TimePoint Now, const HostName &From,
                                 const message::IntentAnswer &Answer) {
  if (Answer.has_text())
    this->take(Answer.text(), From);
  this->fetch(Now, From, Answer.version());
  this->takeHold(Answer.hold(), From);
  auto Asked = this->Polls.find(Answer.number());
  if (Asked == this->Polls.end() || Asked->second.To != From)
    return;
  TimePoint SentAt = Asked->second.SentAt;
  this->Polls.erase(Asked);
  // The age vouches only for what the answer's sender has in force.
  if (Answer.heard_control() && this->InForce.version() >= Answer.version())
    this->InForce.heardControl(
        SentAt - std::chrono::milliseconds(Answer.control_age_ms()));
  this->Recovery.answered(From, Answer.ready(), Answer.version());
  if (From != this->parent())
    return;
  this->Unanswered = 0;
  if (Answer.full() || this->stale(Now))
    this->nextParent();
}

/// The parent answers but brings no news of the control quorum; two hosts that
/// ask each other would never hear of any. Half the cut-off time leaves the
/// other half for finding a better parent.
bool Dissemination::stale(TimePoint Now) const {
  TimePoint Since = std::max(
      this->StartedAt, this->InForce.heardControlAt().value_or(TimePoint()));
  return Now - Since > this->Options.CutOffAfter / 2;
}

void Dissemination::handlePush(TimePoint Now, const HostName &From,
                               const message::IntentPush &Push) {
  if (Push.has_text() && !this->take(Push.text(), From))
    this->sendPoll(Now, From, Wants::Text);
  this->takeHold(Push.hold(), From);
}

bool Dissemination::take(const message::IntentText &Delta,
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

void Dissemination::takeHold(const message::DomainHold &Hold,
                             const HostName &From) {
  if (this->inDomain(From) && this->InForce.mergeHold(Hold))
    this->pushHold(From);
}

/// The present parent may stand in another failure domain, so a hold also goes
/// up to every candidate of the own one.
void Dissemination::pushHold(const HostName &Except) {
  this->push(Except);
  for (const HostName &Host : this->Options.Parents) {
    if (Host == Except || !this->inDomain(Host))
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
  this->Recent.push_back({.Version = Version,
                          .Digest = this->InForce.textDigest(),
                          .Text = std::string(Text)});
  if (this->Recent.size() > RecentTexts)
    this->Recent.pop_front();
  this->push(From);
}

message::IntentText Dissemination::textFor(std::uint64_t Version,
                                           std::string_view Digest) const {
  const VersionedText *Base = nullptr;
  for (const VersionedText &Each : this->Recent)
    if (Each.Version == Version && Each.Digest == Digest)
      Base = &Each;
  return makeDelta(Base, this->Recent.back());
}

void Dissemination::push(const HostName &Except) {
  for (auto &[Host, Known] : this->Children) {
    if (Host == Except)
      continue;
    message::IntentMessage Message;
    message::IntentPush &Push = *Message.mutable_push();
    if (Known.Version < this->InForce.version())
      *Push.mutable_text() = this->textFor(Known.Version, Known.Digest);
    // If the push is lost the next push has a base that the child lacks, and
    // the child polls.
    Known.Version = this->InForce.version();
    Known.Digest = this->InForce.textDigest();
    if (this->inDomain(Host) && this->InForce.hold().sequence() > 0)
      *Push.mutable_hold() = this->InForce.hold();
    this->send(Host, std::move(Message));
  }
}

std::vector<IntentSend> Dissemination::publish(std::uint64_t Version,
                                               std::string_view Text) {
  this->putInForce(Version, Text, "");
  return this->takeEffects();
}

void Dissemination::confirmCurrent(TimePoint ReadBegan) {
  this->InForce.heardControl(ReadBegan);
}

std::vector<IntentSend> Dissemination::order(bool Held,
                                             std::string_view Operator,
                                             std::int64_t StampMs) {
  if (this->InForce.order(Held, Operator, StampMs))
    this->pushHold("");
  return this->takeEffects();
}

} // namespace carobhinge
