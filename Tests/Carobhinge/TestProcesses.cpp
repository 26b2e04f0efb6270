//===- Tests/Carobhinge/TestProcesses.cpp - Promises kept by processes ----===//
///
/// \file
/// Real processes on loopback under faults, with calls in flight that must not
/// repeat. The books of the callers are compared with the executions.
///
//===----------------------------------------------------------------------===//

#include <Processes/CheckedCaller.h>

#include <csignal>
#include <gtest/gtest.h>
#include <thread>

using namespace carobhinge;

static constexpr std::uint64_t Seed = 20261203;
static constexpr auto Pause = std::chrono::milliseconds(5);
static constexpr auto StopLimit = std::chrono::seconds(60);

namespace {

class Processes : public ::testing::Test {
protected:
  Processes() : Running(trustPlan(), {1, 1, 1}), Caller(this->Running, Seed) {
    ChildProcess::killAllWhenInterrupted();
  }

  [[nodiscard]] const HostAddresses &host(std::size_t Index) const {
    return this->Running.hosts()[Index];
  }

  /// Calls that must not repeat from every host in \p From, in background.
  std::jthread payouts(std::vector<std::size_t> From, unsigned First,
                       unsigned Count) {
    return std::jthread([this, From = std::move(From), First, Count] {
      for (unsigned I = 0; I < Count; ++I) {
        const HostAddresses &At = this->host(From[I % From.size()]);
        const HostAddresses &Other = this->host(From[(I + 1) % From.size()]);
        this->Caller.once(At, First + I);
        this->Caller.once(Other, First + I);
        std::this_thread::sleep_for(Pause);
      }
    });
  }

  /// Asks with fresh keys until one is answered.
  void waitForAnswer(std::size_t At, unsigned First) {
    unsigned Number = First;
    this->Running.waitFor(
        "a payout is answered at " + this->host(At).Host, [&] {
          return this->Caller.once(this->host(At), Number++) == Seen::Answered;
        });
  }

  void settle() {
    LoadCounts Counts = this->Caller.settle(this->Running.executions());
    EXPECT_EQ(Counts.ExecutedTwice, 0U);
    EXPECT_EQ(Counts.Wrong, 0U);
    EXPECT_GT(Counts.Answered, 0U);
    std::printf("answered=%u not-run=%u unknown=%u host-down=%u\n",
                Counts.Answered, Counts.NotRun, Counts.Unknown,
                Counts.HostDown);
  }

  Deployment Running;
  CheckedCaller Caller;
};

} // namespace

TEST_F(Processes, KeepTheirWordWhileHostsAreKilledAndStopped) {
  this->Running.start();
  std::jthread Load([this] {
    runMixedLoad(this->Caller, this->Running.hosts(), 40, 0, Pause);
  });
  this->Caller.expectKill(this->host(1).Host);
  this->Running.process(this->host(1).Host).signal(SIGKILL);
  this->Running.process(this->host(2).Host).signal(SIGTERM);
  EXPECT_EQ(this->Running.process(this->host(2).Host).wait(StopLimit), 0);
  Load.join();
  this->settle();
}

TEST_F(Processes, KilledLeaderIsReplacedAndComesBack) {
  this->Running.start();
  std::size_t Leader = this->Running.leader();
  const HostAddresses &Killed = this->host(Leader);
  std::jthread Load = this->payouts({1, 3, 5}, 0, 60);
  this->Caller.expectKill(Killed.Host);
  this->Running.process(Killed.Host).signal(SIGKILL);
  Load.join();
  this->waitForAnswer(1, 1000);
  this->Running.startHost(Killed);
  this->waitForAnswer(Leader, 2000);
  this->settle();
}

TEST_F(Processes, FrozenLeaderActsOnNothingAfterItsLease) {
  this->Running.start();
  std::size_t Leader = this->Running.leader();
  std::jthread Load = this->payouts({1, 3, 5}, 0, 60);
  this->Running.process(this->host(Leader).Host).signal(SIGSTOP);
  // Another leader has been elected once a fresh payout is answered.
  this->waitForAnswer(1, 1000);
  this->Running.process(this->host(Leader).Host).signal(SIGCONT);
  Load.join();
  this->waitForAnswer(Leader, 2000);
  this->settle();
}

TEST_F(Processes, LostDiskIsRepairedBeforeASecondHostGoes) {
  this->Running.start();
  const HostAddresses &Lost = this->host(0);
  std::jthread Load = this->payouts({3, 5}, 0, 60);
  this->Caller.expectKill(Lost.Host);
  ChildProcess &Process = this->Running.process(Lost.Host);
  Process.signal(SIGKILL);
  Process.wait(StopLimit);
  this->Running.loseDisk(Lost.Host);
  this->Running.startHost(Lost);
  Load.join();
  // For up to a second a leader may not have noticed the loss yet.
  std::this_thread::sleep_for(std::chrono::seconds(2));
  this->Running.waitFor("the repair is complete",
                        [this] { return this->Running.repaired(); });
  this->waitForAnswer(0, 1000);
  // The second loss right after the repair leaves two voters with all data.
  this->Caller.expectKill(this->host(2).Host);
  this->Running.process(this->host(2).Host).signal(SIGKILL);
  this->waitForAnswer(1, 2000);
  this->settle();
}

TEST_F(Processes, CutOffDomainServesWhatItCan) {
  this->Running.putLinksAround("zagazig-c");
  this->Running.start();
  std::jthread Load = this->payouts({1, 3, 5}, 0, 60);
  this->Running.setLinks("cut");
  // Idempotent work goes on in the domain that is cut off.
  EXPECT_EQ(this->Caller.lookUp(this->host(5), 7), Seen::Answered);
  EXPECT_EQ(this->Caller.stream(this->host(4), 8), Seen::Answered);
  // The other two domains hold the quorum.
  this->waitForAnswer(1, 1000);
  // Without the quorum nothing true can be said of a key.
  EXPECT_EQ(this->Caller.once(this->host(5), 900), Seen::Unknown);
  Load.join();
  this->Running.setLinks("pass");
  this->waitForAnswer(5, 2000);
  this->settle();
}

TEST_F(Processes, SilentConnectionsAreReplaced) {
  this->Running.putLinksAround("mansoura-b");
  this->Running.start();
  std::jthread Load = this->payouts({1, 3, 5}, 0, 60);
  this->Running.setLinks("stall");
  this->waitForAnswer(3, 1000);
  Load.join();
  this->settle();
}

TEST_F(Processes, DomainTakenOutGetsNoNewWork) {
  this->Running.start();
  ASSERT_TRUE(this->Running.takeOut("tanta-a", 1));
  for (std::size_t Host : {0, 1})
    this->Running.waitFor("the domain is out at its entry hosts", [&] {
      return this->Running.operatorsGet(this->host(Host), "/v1/status")
                 .find("\"domain\":\"out\"") != std::string::npos;
    });
  // Its entry hosts hand every call to another failure domain.
  this->Running.waitFor("calls are served elsewhere", [this] {
    return this->Caller.lookUp(this->host(0), 1) == Seen::Answered &&
           this->Caller.stream(this->host(1), 2) == Seen::Answered &&
           this->Caller.once(this->host(0), 3) == Seen::Answered;
  });
  ASSERT_TRUE(this->Running.takeOut("", 2));
  this->Running.waitFor("the domain is back", [this] {
    return this->Running.operatorsGet(this->host(0), "/v1/status")
               .find("\"domain\":\"serving\"") != std::string::npos;
  });
  this->waitForAnswer(0, 1000);
  this->settle();
}
