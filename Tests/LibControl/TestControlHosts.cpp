//===- Tests/LibControl/TestControlHosts.cpp - Choice of the voters -------===//
///
/// \file
/// Guards against the loss of a quorum: the voters must be an odd number,
/// spread over the failure domains, and an unreachable voter may be replaced
/// only by a reachable host.
///
//===----------------------------------------------------------------------===//

#include <LibControl/ControlHosts.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <set>

using namespace carobhinge;
using std::chrono::seconds;

static const TimePoint Start{seconds(1000)};

/// \p PerDomain hosts in each of \p Domains domains; the first one is the local
/// host.
static ControlHosts makeHosts(int Domains, int PerDomain) {
  ControlHosts Result("h00", "d0");
  for (int Domain = 0; Domain < Domains; ++Domain)
    for (int I = 0; I < PerDomain; ++I)
      Result.recordContact(Start,
                           "h" + std::to_string(Domain) + std::to_string(I),
                           "d" + std::to_string(Domain));
  return Result;
}

TEST(ControlHosts, ChoosesAnOddNumberOfVotersSpreadOverDomains) {
  ControlHosts Hosts = makeHosts(4, 2);
  std::vector<HostName> InitialVoters{"h00", "h10", "h20"};
  auto Chosen = Hosts.chooseVoters(Start, InitialVoters, {.Hosts = 2});
  ASSERT_TRUE(Chosen);
  EXPECT_EQ(Chosen->size(), 5U);
  // The failure of a whole domain leaves a majority.
  std::map<char, int> PerDomain;
  for (const HostName &Host : *Chosen)
    ++PerDomain[Host[1]];
  for (const auto &[Domain, Count] : PerDomain)
    EXPECT_LE(Count, 2) << Domain;
  for (const HostName &Host : InitialVoters)
    EXPECT_NE(std::ranges::find(*Chosen, Host), Chosen->end());
  EXPECT_FALSE(Hosts.chooseVoters(Start, *Chosen, {.Hosts = 2}));
}

TEST(ControlHosts, ReplacesAnUnreachableVoterOnlyByAReachableHost) {
  ControlHosts Hosts = makeHosts(3, 1);
  std::vector<HostName> Voters{"h00", "h10", "h20"};
  TimePoint Later = Start + seconds(10);
  Hosts.recordContact(Later, "h10", "d1");
  // h20 is unreachable, but no other host can replace it.
  EXPECT_FALSE(Hosts.chooseVoters(Later, Voters, {.Hosts = 1}));
  Hosts.recordContact(Later, "h29", "d2");
  auto Chosen = Hosts.chooseVoters(Later, Voters, {.Hosts = 1});
  ASSERT_TRUE(Chosen);
  EXPECT_EQ(*Chosen, (std::vector<HostName>{"h00", "h10", "h29"}));
}

TEST(ControlHosts, KeepsAVoterAwaitingFirstContactAfterTheStart) {
  ControlHosts Hosts = makeHosts(2, 2);
  Hosts.addHost(Start, "h20");
  std::vector<HostName> InitialVoters{"h00", "h10", "h20"};
  EXPECT_FALSE(
      Hosts.chooseVoters(Start + seconds(1), InitialVoters, {.Hosts = 1}));
  auto Chosen =
      Hosts.chooseVoters(Start + seconds(2), InitialVoters, {.Hosts = 2});
  ASSERT_TRUE(Chosen);
  EXPECT_NE(std::ranges::find(*Chosen, "h20"), Chosen->end());
}

TEST(ControlHosts, NeverReducesTheNumberOfVoters) {
  ControlHosts Hosts = makeHosts(3, 1);
  std::vector<HostName> Voters{"h00", "h10", "h20", "h30", "h40"};
  EXPECT_FALSE(Hosts.chooseVoters(Start, Voters, {.Hosts = 1}));
}

// Guards against a voter that counts until its timeout although it has said
// that it stops.
TEST(ControlHosts, ReplacesAStoppingVoterAtOnce) {
  ControlHosts Hosts = makeHosts(3, 1);
  Hosts.recordContact(Start, "h29", "d2");
  std::vector<HostName> Voters{"h00", "h10", "h20"};
  EXPECT_FALSE(Hosts.chooseVoters(Start, Voters, {.Hosts = 1}));
  Hosts.recordContact(Start, "h20", "d2", true);
  auto Chosen = Hosts.chooseVoters(Start, Voters, {.Hosts = 1});
  ASSERT_TRUE(Chosen);
  EXPECT_EQ(*Chosen, (std::vector<HostName>{"h00", "h10", "h29"}));
  // It has started again.
  Hosts.recordContact(Start, "h20", "d2");
  EXPECT_FALSE(Hosts.chooseVoters(Start, Voters, {.Hosts = 1}));
}

TEST(ControlHosts, StoppingVoterStaysIfNoOtherHostCanReplaceIt) {
  ControlHosts Hosts = makeHosts(3, 1);
  std::vector<HostName> Voters{"h00", "h10", "h20"};
  Hosts.recordContact(Start, "h20", "d2", true);
  EXPECT_FALSE(Hosts.chooseVoters(Start, Voters, {.Hosts = 1}));
}

TEST(ControlHosts, TwoVotersThatStopAtOnceAreBothReplaced) {
  ControlHosts Hosts = makeHosts(3, 1);
  Hosts.recordContact(Start, "h19", "d1");
  Hosts.recordContact(Start, "h29", "d2");
  std::vector<HostName> Voters{"h00", "h10", "h20"};
  Hosts.recordContact(Start, "h10", "d1", true);
  Hosts.recordContact(Start, "h20", "d2", true);
  EXPECT_EQ(Hosts.chooseRequest(Start, Voters, Voters, {.Hosts = 1}),
            (std::vector<HostName>{"h00", "h19", "h29"}));
}

// Guards against a leader that is about to stop and leaves its replacement to
// the next leader, which may be about to stop too.
TEST(ControlHosts, StoppingLeaderReplacesItself) {
  ControlHosts Hosts = makeHosts(3, 1);
  Hosts.recordContact(Start, "h09", "d0");
  Hosts.recordContact(Start, "h19", "d1");
  Hosts.recordContact(Start, "h10", "d1", true);
  Hosts.setStopping();
  std::vector<HostName> Voters{"h00", "h10", "h20"};
  EXPECT_EQ(Hosts.chooseRequest(Start, Voters, Voters, {.Hosts = 1}),
            (std::vector<HostName>{"h09", "h19", "h20"}));
}

// Guards against a request that the log ignored and that is not repeated, and
// against a replacement that goes on after its reason has gone.
TEST(ControlHosts, RequestsChangeUntilTheLogHasTakenItUp) {
  ControlHosts Hosts = makeHosts(3, 1);
  Hosts.recordContact(Start, "h29", "d2");
  std::vector<HostName> Voters{"h00", "h10", "h20"};
  std::vector<HostName> Wanted{"h00", "h10", "h29"};
  EXPECT_FALSE(Hosts.chooseRequest(Start, Voters, Voters, {.Hosts = 1}));
  Hosts.recordContact(Start, "h20", "d2", true);
  EXPECT_EQ(Hosts.chooseRequest(Start, Voters, Voters, {.Hosts = 1}), Wanted);
  EXPECT_FALSE(Hosts.chooseRequest(Start, Voters, Wanted, {.Hosts = 1}));
  // The successor votes; the replaced voter is still to be removed.
  std::vector<HostName> Four{"h00", "h10", "h20", "h29"};
  EXPECT_FALSE(Hosts.chooseRequest(Start, Four, Wanted, {.Hosts = 1}));
  // It has returned before its successor votes.
  Hosts.recordContact(Start, "h20", "d2");
  EXPECT_EQ(Hosts.chooseRequest(Start, Voters, Wanted, {.Hosts = 1}), Voters);
  EXPECT_FALSE(Hosts.chooseRequest(Start, Four, Wanted, {.Hosts = 1}));
}

TEST(ControlHosts, SuccessorIsAReachableHostWithoutAVote) {
  ControlHosts Hosts = makeHosts(3, 1);
  std::vector<HostName> Voters{"h00", "h10", "h20"};
  EXPECT_FALSE(Hosts.hasSuccessor(Start, Voters));
  Hosts.recordContact(Start, "h29", "d2");
  EXPECT_TRUE(Hosts.hasSuccessor(Start, Voters));
  EXPECT_FALSE(Hosts.hasSuccessor(Start + seconds(3), Voters));
  Hosts.recordContact(Start, "h29", "d2", true);
  EXPECT_FALSE(Hosts.hasSuccessor(Start, Voters));
}
