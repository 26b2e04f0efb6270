//===- Tests/LibIntent/TestDisseminationRules.cpp - Single messages -------===//
///
/// \file
/// Rules that only show when one message comes alone: what a restarted host
/// may conclude from an answer, and from whom it takes a hold.
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

/// One restarted host with the peer "p" in its domain and the parent "x" in
/// another one; "p" is its next candidate.
class DisseminationRules : public testing::Test {
protected:
  IntentInForce InForce{{.Domain = "a"}};
  TimePoint Now{1h};
  Dissemination Tree{
      {.Parents = {"x", "p"}, .DomainPeers = {"p"}}, InForce, Now};

  /// The number of the poll that the next tick sends to \p Host.
  std::uint64_t polled(const HostName &Host) {
    std::vector<IntentSend> Sends = this->Tree.tick(this->Now);
    auto Sent = std::ranges::find(Sends, Host, &IntentSend::To);
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

  std::vector<IntentSend> deliver(const HostName &From,
                                  const message::IntentMessage &Message) {
    return this->Tree.handle(this->Now, From, Message);
  }
};

TEST_F(DisseminationRules, NotReadyBeforeTheHighestVersionToldOf) {
  std::uint64_t Number = this->polled("p");
  this->deliver("p", answer(Number, true, 2, 1));
  ASSERT_EQ(this->InForce.version(), 1);
  this->Now += 11s;
  this->Tree.tick(this->Now);
  EXPECT_FALSE(this->InForce.ready());
}

TEST_F(DisseminationRules, APeerThatIsNotReadyVouchesForNothing) {
  std::uint64_t Number = this->polled("p");
  this->deliver("p", answer(Number, false, 1, 1));
  this->Now += 11s;
  this->Tree.tick(this->Now);
  EXPECT_FALSE(this->InForce.ready());
  this->Now += 1s;
  Number = this->polled("p");
  this->deliver("p", answer(Number, true, 1, 0));
  this->Tree.tick(this->Now);
  EXPECT_TRUE(this->InForce.ready());
}

/// A host of another domain may be as old as this one was.
TEST_F(DisseminationRules, AnotherDomainVouchesForNothing) {
  std::uint64_t Number = this->polled("x");
  this->deliver("x", answer(Number, true, 1, 1));
  this->Now += 11s;
  this->Tree.tick(this->Now);
  this->Now += 2s;
  this->Tree.tick(this->Now);
  EXPECT_FALSE(this->InForce.ready());
}

/// Whom a host with the candidates \p First and \p Second asks in twelve polls
/// if the first one never answers and the second one always does, with news.
static std::string asked(const HostName &First, const HostName &Second,
                         const HostName &InDomain) {
  IntentInForce InForce({.Domain = "a"});
  TimePoint Now(1h);
  Dissemination Tree({.Parents = {First, Second}, .DomainPeers = {InDomain}},
                     InForce, Now);
  std::string Asked;
  for (int I = 0; I < 12; ++I, Now += 1s)
    for (const IntentSend &Each : Tree.tick(Now)) {
      if (!Each.Message.poll().wants_pushes())
        continue;
      Asked += Each.To;
      message::IntentMessage Message;
      Message.mutable_answer()->set_number(Each.Message.poll().number());
      Message.mutable_answer()->set_heard_control(true);
      if (Each.To == Second)
        Tree.handle(Now, Second, Message);
    }
  return Asked;
}

TEST(DisseminationParents, ALostOneIsLeftAndTriedAgainInsideTheDomainOnly) {
  EXPECT_EQ(asked("p", "q", "p"), "pqqqqqqqqpqq");
  EXPECT_EQ(asked("p", "q", "q"), "pqqqqqqqqqqq");
}

/// The log's leader may stand anywhere, also below a host that needs its word.
TEST_F(DisseminationRules, ABetterInformedChildIsAskedBack) {
  message::IntentMessage Message;
  Message.mutable_poll()->set_heard_control(true);
  Message.mutable_poll()->set_control_age_ms(500);
  std::vector<IntentSend> Sends = this->deliver("p", Message);
  ASSERT_EQ(Sends.size(), 2);
  EXPECT_TRUE(Sends[1].Message.has_poll());
  EXPECT_FALSE(this->InForce.heardControlAt().has_value());
  this->Tree.confirmCurrent(this->Now - 1400ms);
  EXPECT_EQ(this->deliver("p", Message).size(), 1);
}

TEST_F(DisseminationRules, AFullOrSilentParentIsLeft) {
  message::IntentMessage Full = answer(this->polled("x"), true, 1, 1);
  Full.mutable_answer()->set_full(true);
  this->deliver("x", Full);
  EXPECT_EQ(this->Tree.parent(), "p");
  this->Now += 11s;
  std::uint64_t Number = this->polled("p");
  this->deliver("p", answer(Number + 1, true, 1, 0));
  EXPECT_EQ(this->Tree.parent(), "x");
}

TEST_F(DisseminationRules, AChildThatKnowsMoreIsAskedForIt) {
  message::IntentMessage Message;
  Message.mutable_poll()->set_version(9);
  std::vector<IntentSend> Sends = this->deliver("p", Message);
  ASSERT_EQ(Sends.size(), 2);
  EXPECT_TRUE(Sends[1].Message.poll().wants_text());
}

TEST_F(DisseminationRules, AnAgeVouchesOnlyForAVersionThatArrived) {
  message::IntentMessage Message = answer(this->polled("p"), true, 2, 1);
  Message.mutable_answer()->set_heard_control(true);
  this->deliver("p", Message);
  EXPECT_FALSE(this->InForce.heardControlAt().has_value());
}

/// The age counts from the poll, as the answer may have been long under way,
/// and an answer that nobody asked for says nothing.
TEST_F(DisseminationRules, AnAgeCountsFromThePoll) {
  message::IntentMessage Message = answer(this->polled("p"), true, 1, 1);
  Message.mutable_answer()->set_heard_control(true);
  Message.mutable_answer()->set_control_age_ms(100);
  TimePoint Polled = this->Now;
  this->Now += 2s;
  this->deliver("p", Message);
  EXPECT_EQ(this->InForce.heardControlAt(), Polled - 100ms);
  Message.mutable_answer()->set_control_age_ms(0);
  this->deliver("p", Message);
  EXPECT_EQ(this->InForce.heardControlAt(), Polled - 100ms);
}

TEST_F(DisseminationRules, AHoldCountsInItsOwnDomainOnly) {
  message::IntentMessage Message;
  Message.mutable_push()->mutable_hold()->set_sequence(1);
  Message.mutable_push()->mutable_hold()->set_held(true);
  this->deliver("x", Message);
  EXPECT_FALSE(this->InForce.held());
  this->deliver("p", Message);
  EXPECT_TRUE(this->InForce.held());
}

/// Also where the present parent stands in another failure domain.
TEST_F(DisseminationRules, AHoldGoesToTheCandidatesOfItsOwnDomain) {
  this->Tree.publish(1, Text);
  this->InForce.markReady();
  std::vector<IntentSend> Sends = this->Tree.order(true, "amal", 0);
  ASSERT_EQ(Sends.size(), 1);
  EXPECT_EQ(Sends[0].To, "p");
  EXPECT_TRUE(Sends[0].Message.push().hold().held());
}

TEST_F(DisseminationRules, APushOnAnUnknownBaseIsFollowedByAPoll) {
  message::IntentMessage Message;
  VersionedText Base{7, "other", ""};
  *Message.mutable_push()->mutable_text() =
      makeDelta(&Base, {8, digest(Text), std::string(Text)});
  std::vector<IntentSend> Sends = this->deliver("p", Message);
  ASSERT_EQ(Sends.size(), 1);
  EXPECT_TRUE(Sends[0].Message.poll().wants_text());
  EXPECT_EQ(this->InForce.version(), 0);
}

TEST_F(DisseminationRules, OneOfManyThatTellOfAVersionIsAskedForIt) {
  std::uint64_t Number = this->polled("p");
  EXPECT_EQ(this->deliver("p", answer(Number, true, 3, 0)).size(), 1);
  EXPECT_TRUE(this->deliver("x", answer(0, true, 3, 0)).empty());
  this->Now += 1s;
  EXPECT_EQ(this->deliver("x", answer(0, true, 3, 0)).size(), 1);
}

/// Children beyond the bound are sent on and told nothing later.
TEST_F(DisseminationRules, ChildrenAreBounded) {
  message::IntentMessage Message;
  Message.mutable_poll()->set_wants_pushes(true);
  for (int I = 0; I < 20; ++I) {
    std::vector<IntentSend> Sends =
        this->deliver("child-" + std::to_string(I), Message);
    EXPECT_EQ(Sends.at(0).Message.answer().full(), I >= 16);
  }
  EXPECT_EQ(this->Tree.publish(1, Text).size(), 16);
  this->Now += 4s;
  this->Tree.tick(this->Now);
  EXPECT_EQ(this->Tree.childCount(), 0);
}
