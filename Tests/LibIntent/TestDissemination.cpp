//===- Tests/LibIntent/TestDissemination.cpp - Spread of versions ---------===//
///
/// \file
/// Guards against hosts that serve an outdated intent. Checks that accepted
/// versions reach every host within seconds and never revert, despite lost
/// parents, restarts, partitions, and messages that are lost, duplicated or
/// reordered.
///
//===----------------------------------------------------------------------===//

#include "DisseminationWorld.h"

#include <LibCore/Hash.h>
#include <LibIntent/DisseminationSettings.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;
using namespace std::chrono_literals;

/// Intent text with the settings of domain "a" and the weight of workspace "w".
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

static DisseminationWorld makeConvergedWorld(WorldOptions Options) {
  DisseminationWorld World(std::move(Options));
  World.accept(text());
  World.run(8s);
  EXPECT_EQ(World.inForceCount(), World.upCount());
  return World;
}

TEST(Dissemination, AChangeIsInForceEverywhereWithinOneSecond) {
  DisseminationWorld World = makeConvergedWorld(threeDomains(40));
  World.accept(text(true));
  World.run(1s);
  EXPECT_EQ(World.inForceCount(), 120);
  EXPECT_EQ(World.refusal("a-0039"), DomainRefusal::Drained);
  EXPECT_EQ(World.refusal("b-0039"), DomainRefusal::None);
  EXPECT_TRUE(World.host("b-0039").InForce->isDrained("a"));
}

/// The time limit allows one second until the next poll, one for each of two
/// consecutive lost candidates and one for the level below.
TEST(Dissemination, ALostParentIsReplaced) {
  DisseminationWorld World = makeConvergedWorld(threeDomains(40));
  for (const char *Name : {"a-0000", "a-0001", "b-0003"})
    World.stop(Name);
  World.accept(text(true));
  World.run(4s);
  EXPECT_EQ(World.inForceCount(), 117);
}

/// A restarted diskless host must not serve before it has the version of its
/// peers.
TEST(Dissemination, ARestartedHostServesNothingUntilItIsCurrent) {
  DisseminationWorld World = makeConvergedWorld(threeDomains());
  World.accept(text(true));
  World.run(1s);
  World.start("a-0002");
  EXPECT_EQ(World.refusal("a-0002"), DomainRefusal::NotReady);
  World.run(3s);
  EXPECT_EQ(World.version("a-0002"), 2);
  EXPECT_EQ(World.refusal("a-0002"), DomainRefusal::Drained);
}

/// An outdated confirmation by control hosts must not make a restarted
/// host ready. Here, the control host was cut off before the restart.
TEST(Dissemination, ARestartInACutOffDomainAdoptsTheHighestVersionOfItsPeers) {
  DisseminationWorld World = makeConvergedWorld(threeDomains(4));
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
  EXPECT_EQ(World.refusal("a-0003"), DomainRefusal::Drained);
}

TEST(Dissemination, ARestartInACutOffDomainWithoutPeersIsNotReady) {
  DisseminationWorld World = makeConvergedWorld(threeDomains(2));
  World.cut("a");
  World.stop("a-0000");
  World.start("a-0001");
  World.run(60s);
  EXPECT_EQ(World.refusal("a-0001"), DomainRefusal::NotReady);
  World.heal("a");
  World.run(6s);
  EXPECT_EQ(World.refusal("a-0001"), DomainRefusal::None);
}

/// A domain that is cut off before it is drained serves or refuses as
/// the operators chose in advance.
TEST(Dissemination, ADomainThatIsCutOffServesOrRefusesAsConfigured) {
  for (std::string_view Choice : {"serve", "refuse"}) {
    DisseminationWorld World = makeConvergedWorld(threeDomains());
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
    EXPECT_EQ(World.refusal("a-0002"), DomainRefusal::Drained);
  }
}

/// An operator who can reach one entry host can stop the whole domain.
TEST(Dissemination, AHoldSpreadsInItsDomainAndANewerIntentLiftsIt) {
  DisseminationWorld World = makeConvergedWorld(threeDomains(20));
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

/// A restarted host polls its peers for the hold even if it can reach control
/// hosts.
TEST(Dissemination, AHoldSurvivesARestartAndIsLiftedByTheOperator) {
  DisseminationWorld World = makeConvergedWorld(threeDomains());
  World.order("a-0002", true);
  World.run(3s);
  World.start("a-0002");
  World.run(5s);
  EXPECT_EQ(World.refusal("a-0002"), DomainRefusal::Held);
  World.order("a-0001", false);
  World.run(3s);
  EXPECT_EQ(World.refusal("a-0002"), DomainRefusal::None);
}

TEST(IntentInForce, AHoldWinsOverAConcurrentRelease) {
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

TEST(IntentInForce, AnUnreadableTextIsRefusedWithoutFallback) {
  IntentInForce InForce({.Domain = "a"});
  InForce.markReady();
  InForce.offer(1, text());
  EXPECT_TRUE(InForce.offer(2, "{}"));
  EXPECT_FALSE(InForce.offer(1, text()));
  EXPECT_EQ(InForce.refusal({}), DomainRefusal::Unreadable);
  EXPECT_TRUE(InForce.isDrained("b"));
  InForce.offer(3, text());
  EXPECT_EQ(InForce.refusal({}), DomainRefusal::None);
}

TEST(IntentInForce, AFailureDomainThatIsNotListedAcceptsNoWork) {
  IntentInForce InForce({.Domain = "z"});
  InForce.markReady();
  InForce.offer(1, text());
  EXPECT_EQ(InForce.refusal({}), DomainRefusal::NotListed);
  EXPECT_TRUE(InForce.isDrained("z"));
}

/// Runs the step of the property below that \p Step encodes.
static void runStep(DisseminationWorld &World, int Step) {
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

/// Random changes, restarts, partitions and unreliable links. The simulation
/// throws if a ready host has an older version than it had before while ready.
/// Hosts restart only while their domain is not cut off; otherwise the last
/// host that has a version could lose it.
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
    runStep(World, Step);
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

/// For any two texts, the delta converts the base to the other text and applies
/// to no other base.
RC_GTEST_PROP(IntentDelta, RoundTripRestoresTheText,
              (const std::string &Shared, const std::string &Old,
               const std::string &New, const std::string &End)) {
  VersionedText Base{1, digest(Shared + Old + End), Shared + Old + End};
  VersionedText Target{2, digest(Shared + New + End), Shared + New + End};
  message::IntentText Delta = makeDelta(&Base, Target);
  RC_ASSERT(Delta.middle().size() <= New.size());
  RC_ASSERT(applyDelta(Delta, 1, Base.Digest, Base.Text) == Target.Text);
  RC_ASSERT(!applyDelta(Delta, 2, Base.Digest, Base.Text));
  RC_ASSERT(!applyDelta(Delta, 1, "other", Base.Text));
  Delta.set_digest("other");
  RC_ASSERT(!applyDelta(Delta, 1, Base.Digest, Base.Text));
  Delta.set_suffix_bytes(Base.Text.size() + 1);
  RC_ASSERT(!applyDelta(Delta, 1, Base.Digest, Base.Text));
  RC_ASSERT(applyDelta(makeDelta(nullptr, Target), 0, "", "") == Target.Text);
}
