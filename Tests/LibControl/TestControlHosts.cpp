//===- Tests/LibControl/TestControlHosts.cpp - Who votes ------------------===//

#include <LibControl/ControlHosts.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <set>

using namespace carobhinge;
using std::chrono::seconds;

static const TimePoint Start{seconds(1000)};

/// \p PerDomain hosts in each of \p Domains domains; the first is this one.
static ControlHosts hosts(int Domains, int PerDomain) {
  ControlHosts Result("h00", "d0");
  for (int Domain = 0; Domain < Domains; ++Domain)
    for (int I = 0; I < PerDomain; ++I)
      Result.heard(Start, "h" + std::to_string(Domain) + std::to_string(I),
                   "d" + std::to_string(Domain));
  return Result;
}

TEST(ControlHosts, AnEvenNumberOfHostsGetsAnOddNumberOfVotersWellSpread) {
  ControlHosts Hosts = hosts(4, 2);
  std::vector<HostName> First{"h00", "h10", "h20"};
  auto Chosen = Hosts.chooseVoters(Start, First, {.Hosts = 2});
  ASSERT_TRUE(Chosen);
  EXPECT_EQ(Chosen->size(), 5U);
  // The loss of a whole domain leaves a majority.
  std::map<char, int> PerDomain;
  for (const HostName &Host : *Chosen)
    ++PerDomain[Host[1]];
  for (const auto &[Domain, Count] : PerDomain)
    EXPECT_LE(Count, 2) << Domain;
  for (const HostName &Host : First)
    EXPECT_NE(std::ranges::find(*Chosen, Host), Chosen->end());
  EXPECT_FALSE(Hosts.chooseVoters(Start, *Chosen, {.Hosts = 2}));
}

TEST(ControlHosts, ASilentVoterGivesItsPlaceOnlyToALiveHost) {
  ControlHosts Hosts = hosts(3, 1);
  std::vector<HostName> Voters{"h00", "h10", "h20"};
  TimePoint Later = Start + seconds(10);
  Hosts.heard(Later, "h10", "d1");
  // h20 is silent, but nobody can replace it.
  EXPECT_FALSE(Hosts.chooseVoters(Later, Voters, {.Hosts = 1}));
  Hosts.heard(Later, "h29", "d2");
  auto Chosen = Hosts.chooseVoters(Later, Voters, {.Hosts = 1});
  ASSERT_TRUE(Chosen);
  EXPECT_EQ(*Chosen, (std::vector<HostName>{"h00", "h10", "h29"}));
}

TEST(ControlHosts, AVoterThatWasNotHeardYetKeepsItsPlaceAtTheStart) {
  ControlHosts Hosts = hosts(2, 2);
  Hosts.learn(Start, "h20");
  std::vector<HostName> First{"h00", "h10", "h20"};
  EXPECT_FALSE(Hosts.chooseVoters(Start + seconds(1), First, {.Hosts = 1}));
  auto Chosen = Hosts.chooseVoters(Start + seconds(2), First, {.Hosts = 2});
  ASSERT_TRUE(Chosen);
  EXPECT_NE(std::ranges::find(*Chosen, "h20"), Chosen->end());
}

TEST(ControlHosts, NeverFewerVotersThanThereAre) {
  ControlHosts Hosts = hosts(3, 1);
  std::vector<HostName> Voters{"h00", "h10", "h20", "h30", "h40"};
  EXPECT_FALSE(Hosts.chooseVoters(Start, Voters, {.Hosts = 1}));
}
