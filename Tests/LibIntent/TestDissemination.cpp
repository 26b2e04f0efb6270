//===- Tests/LibIntent/TestDissemination.cpp - In force everywhere --------===//
///
/// \file
/// Accepted versions reach every host within seconds and never revert, over
/// lost parents, restarts, cuts and messages lost, doubled and out of order.
///
//===----------------------------------------------------------------------===//

#include "DisseminationWorld.h"

#include <LibCore/Hash.h>
#include <LibIntent/DisseminationSettings.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;
using namespace std::chrono_literals;

/// A text in which domain "a" may be out and refuses or serves when cut off.
static std::string text(bool Out = false, std::string_view CutOff = "serve",
                        int Weight = 1) {
  return R"({"cluster": "c", "failure_domains": [{"name": "a", "region": "r",
    "out": )" +
         std::string(Out ? "true" : "false") + R"(, "when_cut_off": ")" +
         std::string(CutOff) +
         R"("}, {"name": "b", "region": "r"}, {"name": "c", "region": "r"}],
    "workspaces": [{"name": "w", "weight": )" +
         std::to_string(Weight) + R"(}], "classes": [{"name": "k"}]})";
}

static WorldOptions threeDomains(std::size_t HostsPerDomain = 3) {
  return {.Domains = {"a", "b", "c"}, .HostsPerDomain = HostsPerDomain};
}

static DisseminationWorld settled(WorldOptions Options) {
  DisseminationWorld World(std::move(Options));
  World.accept(text());
  World.run(8s);
  EXPECT_EQ(World.inForceCount(), World.upCount());
  return World;
}

TEST(Dissemination, AChangeIsInForceEverywhereWithinOneSecond) {
  DisseminationWorld World = settled(threeDomains(40));
  World.accept(text(true));
  World.run(1s);
  EXPECT_EQ(World.inForceCount(), 120);
  EXPECT_EQ(World.refusal("a-0039"), DomainRefusal::Out);
  EXPECT_EQ(World.refusal("b-0039"), DomainRefusal::None);
  EXPECT_TRUE(World.host("b-0039").InForce->isOut("a"));
}

/// One second until the next poll, one for each lost candidate in a row (here
/// two) and one for the level below.
TEST(Dissemination, ALostParentIsReplaced) {
  DisseminationWorld World = settled(threeDomains(40));
  for (const char *Name : {"a-0000", "a-0001", "b-0003"})
    World.stop(Name);
  World.accept(text(true));
  World.run(4s);
  EXPECT_EQ(World.inForceCount(), 117);
}

/// Trap 9: a diskless host serves nothing until it has what its peers know.
TEST(Dissemination, ARestartedHostServesNothingUntilItIsCurrent) {
  DisseminationWorld World = settled(threeDomains());
  World.accept(text(true));
  World.run(1s);
  World.start("a-0002");
  EXPECT_EQ(World.refusal("a-0002"), DomainRefusal::NotReady);
  World.run(3s);
  EXPECT_EQ(World.version("a-0002"), 2);
  EXPECT_EQ(World.refusal("a-0002"), DomainRefusal::Out);
}

/// Trap 9: an old word of the control hosts does not make a restarted host
/// ready; the control host here was cut off before the restart.
TEST(Dissemination, ARestartInACutOffDomainTakesTheHighestOfItsPeers) {
  DisseminationWorld World = settled(threeDomains(4));
  // The domain's control host misses the change that the others have.
  World.stop("a-0000");
  World.accept(text(true));
  World.run(6s);
  World.cut("a");
  World.start("a-0000");
  World.run(15s);
  ASSERT_EQ(World.version("a-0000"), 2);
  World.start("a-0003");
  World.run(5s);
  EXPECT_EQ(World.refusal("a-0003"), DomainRefusal::NotReady);
  World.run(10s);
  EXPECT_EQ(World.version("a-0003"), 2);
  EXPECT_EQ(World.refusal("a-0003"), DomainRefusal::Out);
}

TEST(Dissemination, AloneAfterARestartInACutOffDomainIsNotReady) {
  DisseminationWorld World = settled(threeDomains(2));
  World.cut("a");
  World.stop("a-0000");
  World.start("a-0001");
  World.run(60s);
  EXPECT_EQ(World.refusal("a-0001"), DomainRefusal::NotReady);
  World.heal("a");
  World.run(6s);
  EXPECT_EQ(World.refusal("a-0001"), DomainRefusal::None);
}

/// Trap 8: cut off before the order, the domain serves or refuses as the
/// operators chose in advance.
TEST(Dissemination, ADomainThatIsCutOffServesOrRefusesAsChosen) {
  for (std::string_view Choice : {"serve", "refuse"}) {
    DisseminationWorld World = settled(threeDomains());
    World.accept(text(false, Choice));
    World.run(2s);
    World.cut("a");
    World.accept(text(true, Choice));
    World.run(12s);
    EXPECT_EQ(World.refusal("a-0002"),
              Choice == "serve" ? DomainRefusal::None : DomainRefusal::CutOff);
    EXPECT_EQ(World.refusal("b-0002"), DomainRefusal::None);
    World.heal("a");
    World.run(4s);
    EXPECT_EQ(World.refusal("a-0002"), DomainRefusal::Out);
  }
}

/// Trap 8: an operator who reaches one entry host stops the whole domain.
TEST(Dissemination, AHoldSpreadsInItsDomainAndANewerIntentLiftsIt) {
  DisseminationWorld World = settled(threeDomains(20));
  World.cut("a");
  World.run(2s);
  World.order("a-0019", true);
  World.run(4s);
  for (const auto &[Name, Each] : World.Hosts)
    EXPECT_EQ(World.refusal(Name),
              Each.Domain == "a" ? DomainRefusal::Held : DomainRefusal::None)
        << Name;
  World.start("a-0011");
  World.run(14s);
  EXPECT_EQ(World.refusal("a-0011"), DomainRefusal::Held);
  World.heal("a");
  World.run(4s);
  EXPECT_EQ(World.refusal("a-0000"), DomainRefusal::Held);
  World.accept(text(false, "serve", 2));
  World.run(1s);
  EXPECT_EQ(World.refusal("a-0019"), DomainRefusal::None);
}

/// A restarted host asks for the hold even where control hosts are heard.
TEST(Dissemination, AHoldSurvivesARestartAndIsLiftedByTheOperator) {
  DisseminationWorld World = settled(threeDomains());
  World.order("a-0002", true);
  World.run(3s);
  World.start("a-0002");
  World.run(5s);
  EXPECT_EQ(World.refusal("a-0002"), DomainRefusal::Held);
  World.order("a-0001", false);
  World.run(3s);
  EXPECT_EQ(World.refusal("a-0002"), DomainRefusal::None);
}

TEST(IntentInForce, OfTwoOrdersAtOnceTheHoldWins) {
  IntentInForce Left({.Domain = "a"});
  IntentInForce Right({.Domain = "a"});
  for (IntentInForce *Each : {&Left, &Right}) {
    Each->offer(1, text());
    EXPECT_FALSE(Each->order(true, "amal", 0));
    Each->markReady();
  }
  ASSERT_TRUE(Left.order(true, "amal", 5));
  ASSERT_TRUE(Right.order(false, "badr", 6));
  EXPECT_TRUE(Right.mergeHold(Left.hold()));
  EXPECT_FALSE(Left.mergeHold(Right.hold()));
  EXPECT_TRUE(Left.held() && Right.held());
}

TEST(IntentInForce, ATextItCannotReadIsRefusedAndNotFallenBackFrom) {
  IntentInForce InForce({.Domain = "a"});
  InForce.markReady();
  InForce.offer(1, text());
  EXPECT_TRUE(InForce.offer(2, "{}"));
  EXPECT_FALSE(InForce.offer(1, text()));
  EXPECT_EQ(InForce.refusal({}), DomainRefusal::Unreadable);
  EXPECT_TRUE(InForce.isOut("b"));
  InForce.offer(3, text());
  EXPECT_EQ(InForce.refusal({}), DomainRefusal::None);
}

TEST(IntentInForce, AFailureDomainThatIsNotListedTakesNoWork) {
  IntentInForce InForce({.Domain = "z"});
  InForce.markReady();
  InForce.offer(1, text());
  EXPECT_EQ(InForce.refusal({}), DomainRefusal::NotListed);
  EXPECT_TRUE(InForce.isOut("z"));
}

/// One step of the property below, drawn as a number.
static void takeStep(DisseminationWorld &World, int Step) {
  std::string Domain(1, static_cast<char>('a' + Step / 5 % 3));
  HostName Host = DisseminationWorld::name(Domain, Step / 15 % 6);
  bool Cut = World.isCut(Domain);
  if (Step % 5 == 0)
    World.accept(text(Step % 2 == 0, "serve", 1 + Step));
  else if (Step % 5 == 1 && !Cut)
    World.start(Host);
  else if (Step % 5 == 2 && !Cut)
    World.stop(Host);
  else if (Step % 5 == 3)
    World.order(Host, Step % 2 == 0);
  else if (Step % 5 == 4 && Cut)
    World.heal(Domain);
  else if (Step % 5 == 4)
    World.cut(Domain);
  World.run(std::chrono::milliseconds(Step * 3));
}

/// Any mix of changes, restarts, cuts and bad links. The world throws if a
/// host that is ready has an older version than it ever had while ready. Hosts
/// restart only while their domain is not cut off: the last host to know a
/// version may forget it otherwise.
RC_GTEST_PROP(Dissemination, NeverRevertsAndConverges, ()) {
  WorldOptions Options = threeDomains(6);
  Options.ControlPerDomain = *rc::gen::inRange(1, 4);
  Options.Seed = *rc::gen::arbitrary<std::uint64_t>();
  Options.Jitter = std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
  Options.DropShare = *rc::gen::inRange(0, 40) / 100.0;
  Options.DuplicateShare = *rc::gen::inRange(0, 40) / 100.0;
  Options.Shape.FanOut = *rc::gen::inRange(1, 4);
  DisseminationWorld World(Options);
  World.accept(text());
  World.run(20s);
  for (int Step :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000)))
    takeStep(World, Step);
  for (char Domain : {'a', 'b', 'c'})
    World.heal(std::string(1, Domain));
  for (auto &[Name, Each] : World.Hosts)
    if (!Each.Up)
      World.start(Name);
  World.run(60s);
  RC_ASSERT(World.inForceCount() == World.upCount());
  for (auto &[Name, Each] : World.Hosts)
    RC_ASSERT(Each.InForce->held() ==
              World.host(Each.Domain + "-0000").InForce->held());
}

/// Any two texts: the delta makes the one of the other and of nothing else.
RC_GTEST_PROP(IntentDelta, GivesBackTheText,
              (const std::string &Shared, const std::string &Old,
               const std::string &New, const std::string &End)) {
  VersionedText Base{1, digest(Shared + Old + End), Shared + Old + End};
  VersionedText Wanted{2, digest(Shared + New + End), Shared + New + End};
  message::IntentText Delta = makeDelta(&Base, Wanted);
  RC_ASSERT(Delta.middle().size() <= New.size());
  RC_ASSERT(applyDelta(Delta, 1, Base.Digest, Base.Text) == Wanted.Text);
  RC_ASSERT(!applyDelta(Delta, 2, Base.Digest, Base.Text));
  RC_ASSERT(!applyDelta(Delta, 1, "other", Base.Text));
  Delta.set_digest("other");
  RC_ASSERT(!applyDelta(Delta, 1, Base.Digest, Base.Text));
  Delta.set_suffix_bytes(Base.Text.size() + 1);
  RC_ASSERT(!applyDelta(Delta, 1, Base.Digest, Base.Text));
  RC_ASSERT(applyDelta(makeDelta(nullptr, Wanted), 0, "", "") == Wanted.Text);
}
