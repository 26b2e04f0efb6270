//===- Tests/LibIntent/TestDisseminationTree.cpp - Parents in the tree ----===//
///
/// \file
/// Guards against cycles and overloaded parents in the tree derived from the
/// settings: one root in each failure domain, bounded fan-out, and no host
/// polls one that follows it in its domain.
///
//===----------------------------------------------------------------------===//

#include <LibIntent/DisseminationSettings.h>
#include <algorithm>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

using namespace carobhinge;
using testing::ElementsAre;

static Peer peer(const HostName &Host, const FailureDomainName &Domain,
                 bool Control) {
  return {.Host = Host,
          .FailureDomain = Domain,
          .Region = "r",
          .Address = {},
          .AssignedRoles = {.Entry = true, .Control = Control}};
}

TEST(DisseminationTree, SettingsPutControlHostsFirst) {
  Settings LocalSettings;
  LocalSettings.Host = "a2";
  LocalSettings.FailureDomain = "a";
  LocalSettings.Times.IntentPoll = std::chrono::seconds(2);
  LocalSettings.Times.CutOff = std::chrono::seconds(20);
  LocalSettings.Peers = {peer("a1", "a", false), peer("a3", "a", true),
                         peer("b1", "b", false), peer("b2", "b", true)};
  DisseminationOptions Result =
      disseminationOptions(LocalSettings, {.FanOut = 1});
  // The order is a3 (control), a1, a2: this host is last and polls a1 first.
  EXPECT_THAT(Result.Parents, ElementsAre("a1", "a3", "b2"));
  EXPECT_THAT(Result.DomainPeers, ElementsAre("a1", "a3"));
  EXPECT_EQ(Result.PollInterval, std::chrono::seconds(2));
  EXPECT_EQ(Result.CutOffAfter, std::chrono::seconds(20));
  LocalSettings.Peers.clear();
  EXPECT_TRUE(disseminationOptions(LocalSettings).Parents.empty());
}

RC_GTEST_PROP(DisseminationTree, HasOneRootBoundedFanOutAndNoCycle, ()) {
  TreeShape Shape{.FanOut = *rc::gen::inRange<std::size_t>(1, 10)};
  TreeMembers Members{.Self = "", .Domain = {}, .OtherControl = {"x", "y"}};
  auto Count = *rc::gen::inRange<std::size_t>(1, 100);
  for (std::size_t I = 0; I < Count; ++I)
    Members.Domain.push_back("h" + std::to_string(I));
  std::map<HostName, std::size_t> Children;
  for (std::size_t Rank = 0; Rank < Count; ++Rank) {
    Members.Self = Members.Domain[Rank];
    std::vector<HostName> Parents = parentCandidates(Members, Shape);
    for (std::size_t Later = Rank; Later < Count; ++Later)
      RC_ASSERT(std::ranges::count(Parents, Members.Domain[Later]) == 0);
    bool IsFirstInDomain =
        std::ranges::count(Members.Domain, Parents.front()) > 0;
    RC_ASSERT(IsFirstInDomain == (Rank > 0));
    if (IsFirstInDomain)
      RC_ASSERT(++Children[Parents.front()] <= Shape.FanOut);
  }
}
