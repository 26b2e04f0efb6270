//===- Tests/LibIntent/TestDisseminationRules.cpp - Single messages -------===//
///
/// \file
/// Guards against a restarted host that serves an outdated intent. Tests the
/// handling of single messages: what a restarted host may conclude from an
/// answer, and from which hosts it accepts a hold.
///
//===----------------------------------------------------------------------===//

#include <LibCore/Hash.h>
#include <LibIntent/Dissemination.h>
#include <algorithm>
#include <gtest/gtest.h>

using namespace carobhinge;
using namespace std::chrono_literals;

static constexpr std::string_view Text =
    R"({"cluster": "c", "failure_domains": [{"name": "a", "region": "r"}],
        "workspaces": [{"name": "w"}], "classes": [{"name": "k"}]})";

/// A restarted host with the peer "p" in its domain and the parent "x" in
/// another domain; "p" is the next candidate parent.
class DisseminationRules : public testing::Test {
protected:
  IntentInForce InForce{{.Domain = "a"}};
  TimePoint Now{1h};
  Dissemination Tree{
      {.Parents = {"x", "p"}, .DomainPeers = {"p"}}, InForce, Now};

  /// Runs a tick and returns the number of the poll that it sends to \p Host.
  std::uint64_t sendPollTo(const HostName &Host) {
    std::vector<OutgoingIntentMessage> Sends = this->Tree.tick(this->Now);
    auto Sent = std::ranges::find(Sends, Host, &OutgoingIntentMessage::To);
    return Sent == Sends.end() ? 0 : Sent->Message.poll().number();
  }

  static message::IntentMessage answer(std::uint64_t Number, bool Ready,
                                       std::uint64_t Version,
                                       std::uint64_t TextVersion) {
    message::IntentMessage Message;
    message::IntentAnswer &Answer = *Message.mutable_answer();
    Answer.set_number(Number);
    Answer.set_ready(Ready);
    Answer.set_version(Version);
    if (TextVersion > 0)
      *Answer.mutable_text() =
          makeDelta(nullptr, {TextVersion, digest(Text), std::string(Text)});
    return Message;
  }

  std::vector<OutgoingIntentMessage>
  deliver(const HostName &From, const message::IntentMessage &Message) {
    return this->Tree.handle(this->Now, From, Message);
  }
};

TEST_F(DisseminationRules, NotReadyBeforeTheHighestReportedVersion) {
  std::uint64_t Number = this->sendPollTo("p");
  this->deliver("p", answer(Number, true, 2, 1));
  ASSERT_EQ(this->InForce.version(), 1);
  this->Now += 11s;
  this->Tree.tick(this->Now);
  EXPECT_FALSE(this->InForce.ready());
}

TEST_F(DisseminationRules, AnAnswerOfAPeerThatIsNotReadyIsNotSufficient) {
  std::uint64_t Number = this->sendPollTo("p");
  this->deliver("p", answer(Number, false, 1, 1));
  this->Now += 11s;
  this->Tree.tick(this->Now);
  EXPECT_FALSE(this->InForce.ready());
  this->Now += 1s;
  Number = this->sendPollTo("p");
  this->deliver("p", answer(Number, true, 1, 0));
  this->Tree.tick(this->Now);
  EXPECT_TRUE(this->InForce.ready());
}

/// A host of another domain may have an older version than this host had.
TEST_F(DisseminationRules, AnAnswerOfAnotherDomainIsNotSufficient) {
  std::uint64_t Number = this->sendPollTo("x");
  this->deliver("x", answer(Number, true, 1, 1));
  this->Now += 11s;
  this->Tree.tick(this->Now);
  this->Now += 2s;
  this->Tree.tick(this->Now);
  EXPECT_FALSE(this->InForce.ready());
}

/// The hosts that a host with the candidates \p First and \p Second polls in
/// twelve polls if the first one never answers and the second one always
/// answers with new confirmations.
static std::string polledHosts(const HostName &First, const HostName &Second,
                               const HostName &DomainPeer) {
  IntentInForce InForce({.Domain = "a"});
  TimePoint Now(1h);
  Dissemination Tree({.Parents = {First, Second}, .DomainPeers = {DomainPeer}},
                     InForce, Now);
  std::string PolledHosts;
  for (int I = 0; I < 12; ++I, Now += 1s)
    for (const OutgoingIntentMessage &Each : Tree.tick(Now)) {
      if (!Each.Message.poll().wants_pushes())
        continue;
      PolledHosts += Each.To;
      message::IntentMessage Message;
      Message.mutable_answer()->set_number(Each.Message.poll().number());
      Message.mutable_answer()->set_heard_control(true);
      if (Each.To == Second)
        Tree.handle(Now, Second, Message);
    }
  return PolledHosts;
}

TEST(DisseminationParents, ALostParentIsReplacedAndRetriedInsideTheDomainOnly) {
  EXPECT_EQ(polledHosts("p", "q", "p"), "pqqqqqqqqpqq");
  EXPECT_EQ(polledHosts("p", "q", "q"), "pqqqqqqqqqqq");
}

/// The leader of the log may be anywhere in the tree, even below a host that
/// needs its confirmation.
TEST_F(DisseminationRules, AChildWithANewerConfirmationIsPolled) {
  message::IntentMessage Message;
  Message.mutable_poll()->set_heard_control(true);
  Message.mutable_poll()->set_control_age_ms(500);
  std::vector<OutgoingIntentMessage> Sends = this->deliver("p", Message);
  ASSERT_EQ(Sends.size(), 2);
  EXPECT_TRUE(Sends[1].Message.has_poll());
  EXPECT_FALSE(this->InForce.controlConfirmedAt().has_value());
  this->Tree.confirmCurrent(this->Now - 1400ms);
  EXPECT_EQ(this->deliver("p", Message).size(), 1);
}

TEST_F(DisseminationRules, AFullOrStaleParentIsReplaced) {
  message::IntentMessage Full = answer(this->sendPollTo("x"), true, 1, 1);
  Full.mutable_answer()->set_full(true);
  this->deliver("x", Full);
  EXPECT_EQ(this->Tree.parent(), "p");
  this->Now += 11s;
  std::uint64_t Number = this->sendPollTo("p");
  this->deliver("p", answer(Number + 1, true, 1, 0));
  EXPECT_EQ(this->Tree.parent(), "x");
}

TEST_F(DisseminationRules, AChildWithANewerVersionIsPolledForIt) {
  message::IntentMessage Message;
  Message.mutable_poll()->set_version(9);
  std::vector<OutgoingIntentMessage> Sends = this->deliver("p", Message);
  ASSERT_EQ(Sends.size(), 2);
  EXPECT_TRUE(Sends[1].Message.poll().wants_text());
}

TEST_F(DisseminationRules, AConfirmationAgeAppliesOnlyToAReceivedVersion) {
  message::IntentMessage Message = answer(this->sendPollTo("p"), true, 2, 1);
  Message.mutable_answer()->set_heard_control(true);
  this->deliver("p", Message);
  EXPECT_FALSE(this->InForce.controlConfirmedAt().has_value());
}

/// The age counts from the time of the poll, as the answer may have been
/// delayed, and an unsolicited answer is ignored.
TEST_F(DisseminationRules, AConfirmationAgeCountsFromThePoll) {
  message::IntentMessage Message = answer(this->sendPollTo("p"), true, 1, 1);
  Message.mutable_answer()->set_heard_control(true);
  Message.mutable_answer()->set_control_age_ms(100);
  TimePoint PolledAt = this->Now;
  this->Now += 2s;
  this->deliver("p", Message);
  EXPECT_EQ(this->InForce.controlConfirmedAt(), PolledAt - 100ms);
  Message.mutable_answer()->set_control_age_ms(0);
  this->deliver("p", Message);
  EXPECT_EQ(this->InForce.controlConfirmedAt(), PolledAt - 100ms);
}

TEST_F(DisseminationRules, AHoldAppliesInItsOwnDomainOnly) {
  message::IntentMessage Message;
  Message.mutable_push()->mutable_hold()->set_sequence(1);
  Message.mutable_push()->mutable_hold()->set_held(true);
  this->deliver("x", Message);
  EXPECT_FALSE(this->InForce.held());
  this->deliver("p", Message);
  EXPECT_TRUE(this->InForce.held());
}

/// Applies even if the current parent is in another failure domain.
TEST_F(DisseminationRules, AHoldIsSentToTheCandidatesOfItsOwnDomain) {
  this->Tree.publish(1, Text);
  this->InForce.markReady();
  std::vector<OutgoingIntentMessage> Sends = this->Tree.order(true, "amal", 0);
  ASSERT_EQ(Sends.size(), 1);
  EXPECT_EQ(Sends[0].To, "p");
  EXPECT_TRUE(Sends[0].Message.push().hold().held());
}

TEST_F(DisseminationRules, APushWithAnUnknownBaseIsFollowedByAPoll) {
  message::IntentMessage Message;
  VersionedText Base{7, "other", ""};
  *Message.mutable_push()->mutable_text() =
      makeDelta(&Base, {8, digest(Text), std::string(Text)});
  std::vector<OutgoingIntentMessage> Sends = this->deliver("p", Message);
  ASSERT_EQ(Sends.size(), 1);
  EXPECT_TRUE(Sends[0].Message.poll().wants_text());
  EXPECT_EQ(this->InForce.version(), 0);
}

TEST_F(DisseminationRules, OnlyOneOfSeveralHostsWithANewVersionIsPolledForIt) {
  std::uint64_t Number = this->sendPollTo("p");
  EXPECT_EQ(this->deliver("p", answer(Number, true, 3, 0)).size(), 1);
  EXPECT_TRUE(this->deliver("x", answer(0, true, 3, 0)).empty());
  this->Now += 1s;
  EXPECT_EQ(this->deliver("x", answer(0, true, 3, 0)).size(), 1);
}

/// Children beyond the limit are redirected and get no pushes.
TEST_F(DisseminationRules, ChildrenAreBounded) {
  message::IntentMessage Message;
  Message.mutable_poll()->set_wants_pushes(true);
  for (int I = 0; I < 20; ++I) {
    std::vector<OutgoingIntentMessage> Sends =
        this->deliver("child-" + std::to_string(I), Message);
    EXPECT_EQ(Sends.at(0).Message.answer().full(), I >= 16);
  }
  EXPECT_EQ(this->Tree.publish(1, Text).size(), 16);
  this->Now += 4s;
  this->Tree.tick(this->Now);
  EXPECT_EQ(this->Tree.childCount(), 0);
}
