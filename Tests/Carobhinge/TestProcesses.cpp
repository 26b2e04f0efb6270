//===- Tests/Carobhinge/TestProcesses.cpp - Processes under faults --------===//
///
/// \file
/// Runs real processes on loopback and injects faults while calls are in
/// progress. Guards against calls that run twice and against wrong answers: the
/// callers' results are compared with the executions.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/BlockingFetch.h>
#include <Processes/VerifyingCaller.h>

#include <array>
#include <atomic>
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
  Processes() : Cluster(trustPlan(), {1, 1, 1}), Caller(this->Cluster, Seed) {
    ChildProcess::killAllWhenInterrupted();
  }

  [[nodiscard]] const HostAddresses &host(std::size_t Index) const {
    return this->Cluster.hosts()[Index];
  }

  /// Sends \p Count calls that must not run twice in the background, each to
  /// two of the hosts \p HostIndices in turn. They are numbered from \p First.
  std::jthread startPayouts(std::vector<std::size_t> HostIndices,
                            unsigned First, unsigned Count) {
    return std::jthread(
        [this, HostIndices = std::move(HostIndices), First, Count] {
          for (unsigned I = 0; I < Count; ++I) {
            const HostAddresses &At =
                this->host(HostIndices[I % HostIndices.size()]);
            const HostAddresses &OtherHost =
                this->host(HostIndices[(I + 1) % HostIndices.size()]);
            this->Caller.keyedCall(At, First + I);
            this->Caller.keyedCall(OtherHost, First + I);
            std::this_thread::sleep_for(Pause);
          }
        });
  }

  /// Sends calls with new keys, numbered from \p First, until one is answered.
  void waitForAnswer(std::size_t At, unsigned First) {
    unsigned Number = First;
    this->Cluster.waitFor(
        "a payout is answered at " + this->host(At).Host, [&] {
          return this->Caller.keyedCall(this->host(At), Number++) ==
                 CallOutcome::Answered;
        });
  }

  void verifyRun() {
    LoadCounts Counts =
        this->Caller.compareWithExecutions(this->Cluster.executions());
    EXPECT_EQ(Counts.ExecutedTwice, 0U);
    EXPECT_EQ(Counts.Wrong, 0U);
    EXPECT_GT(Counts.Answered, 0U);
    std::printf("answered=%u not-run=%u unknown=%u host-down=%u\n",
                Counts.Answered, Counts.NotRun, Counts.Unknown,
                Counts.HostDown);
  }

  Deployment Cluster;
  VerifyingCaller Caller;
};

} // namespace

TEST_F(Processes, KeepTheirWordWhileHostsAreKilledAndStopped) {
  this->Cluster.start();
  std::jthread Load([this] {
    runMixedLoad(this->Caller, this->Cluster.hosts(), 40, 0, Pause);
  });
  this->Caller.expectKill(this->host(1).Host);
  this->Cluster.process(this->host(1).Host).signal(SIGKILL);
  this->Cluster.process(this->host(2).Host).signal(SIGTERM);
  EXPECT_EQ(this->Cluster.process(this->host(2).Host).wait(StopLimit), 0);
  Load.join();
  this->verifyRun();
}

TEST_F(Processes, KilledLeaderIsReplacedAndRejoins) {
  this->Cluster.start();
  std::size_t Leader = this->Cluster.leader();
  const HostAddresses &Killed = this->host(Leader);
  std::jthread Load = this->startPayouts({1, 3, 5}, 0, 60);
  this->Caller.expectKill(Killed.Host);
  this->Cluster.process(Killed.Host).signal(SIGKILL);
  Load.join();
  this->waitForAnswer(1, 1000);
  this->Cluster.startHost(Killed);
  this->waitForAnswer(Leader, 2000);
  this->verifyRun();
}

// Guards against keyed calls that are refused until somebody restarts control
// hosts, after the disks of two of three were full for a moment.
TEST_F(Processes, ControlHostsVoteAgainAfterFullDisks) {
  this->Cluster.start();
  std::vector<std::size_t> Full;
  for (std::size_t I = 0; I < this->Cluster.hosts().size(); ++I)
    if (this->host(I).Control && Full.size() < 2)
      Full.push_back(I);
  this->waitForAnswer(1, 0);
  auto SetFull = [&](std::optional<std::uint64_t> Limit) {
    for (std::size_t Each : Full)
      this->Cluster.process(this->host(Each).Host).setFileSizeLimit(Limit);
  };
  SetFull(0);
  unsigned Number = 1000;
  for (std::size_t Each : Full)
    this->Cluster.waitFor("the disk has failed", [&] {
      this->Caller.keyedCall(this->host(1), Number++);
      return this->Cluster.operatorsGet(this->host(Each), "/v1/status")
                 .find("File too large") != std::string::npos;
    });
  SetFull(std::nullopt);
  this->waitForAnswer(1, 10000);
  this->Cluster.waitFor("all logs are repaired",
                        [&] { return this->Cluster.isRepaired(); });
  for (std::size_t Each : Full)
    EXPECT_TRUE(this->Cluster.process(this->host(Each).Host).running());
  this->verifyRun();
}

TEST_F(Processes, FrozenLeaderDoesNotActAfterItsLease) {
  this->Cluster.start();
  std::size_t Leader = this->Cluster.leader();
  std::jthread Load = this->startPayouts({1, 3, 5}, 0, 60);
  this->Cluster.process(this->host(Leader).Host).signal(SIGSTOP);
  // Another leader has been elected once a fresh payout is answered.
  this->waitForAnswer(1, 1000);
  this->Cluster.process(this->host(Leader).Host).signal(SIGCONT);
  Load.join();
  this->waitForAnswer(Leader, 2000);
  this->verifyRun();
}

TEST_F(Processes, LostDiskIsRepairedBeforeASecondHostIsLost) {
  this->Cluster.start();
  const HostAddresses &LostHost = this->host(0);
  std::jthread Load = this->startPayouts({3, 5}, 0, 60);
  this->Caller.expectKill(LostHost.Host);
  ChildProcess &Process = this->Cluster.process(LostHost.Host);
  Process.signal(SIGKILL);
  Process.wait(StopLimit);
  this->Cluster.removeDataFolder(LostHost.Host);
  this->Cluster.startHost(LostHost);
  Load.join();
  // A leader may take up to a second to notice the loss.
  std::this_thread::sleep_for(std::chrono::seconds(2));
  this->Cluster.waitFor("the repair is complete",
                        [this] { return this->Cluster.isRepaired(); });
  this->waitForAnswer(0, 1000);
  // After the repair, the loss of a second host leaves two voters with all
  // data.
  this->Caller.expectKill(this->host(2).Host);
  this->Cluster.process(this->host(2).Host).signal(SIGKILL);
  this->waitForAnswer(1, 2000);
  this->verifyRun();
}

TEST_F(Processes, CutOffDomainStillServesIdempotentCalls) {
  this->Cluster.addLinksAround("zagazig-c");
  this->Cluster.start();
  std::jthread Load = this->startPayouts({1, 3, 5}, 0, 60);
  this->Cluster.setLinks("cut");
  // Idempotent calls are still served in the domain that is cut off.
  EXPECT_EQ(this->Caller.lookUp(this->host(5), 7), CallOutcome::Answered);
  EXPECT_EQ(this->Caller.stream(this->host(4), 8), CallOutcome::Answered);
  // The other two domains have a quorum.
  this->waitForAnswer(1, 1000);
  // Without a quorum the state of a key is unknown.
  EXPECT_EQ(this->Caller.keyedCall(this->host(5), 900), CallOutcome::Unknown);
  Load.join();
  this->Cluster.setLinks("pass");
  this->waitForAnswer(5, 2000);
  this->verifyRun();
}

TEST_F(Processes, StalledConnectionsAreReplaced) {
  this->Cluster.addLinksAround("mansoura-b");
  this->Cluster.start();
  std::jthread Load = this->startPayouts({1, 3, 5}, 0, 60);
  this->Cluster.setLinks("stall");
  this->waitForAnswer(3, 1000);
  Load.join();
  this->verifyRun();
}

TEST_F(Processes, DrainedDomainGetsNoNewWork) {
  this->Cluster.start();
  ASSERT_TRUE(this->Cluster.drainDomain("tanta-a", 1));
  for (std::size_t Host : {0, 1})
    this->Cluster.waitFor(
        "the domain is taken out of service at its entry hosts", [&] {
          return this->Cluster.operatorsGet(this->host(Host), "/v1/status")
                     .find("\"domain\":\"out\"") != std::string::npos;
        });
  // Its entry hosts forward every call to another failure domain.
  this->Cluster.waitFor("calls are served in other domains", [this] {
    return this->Caller.lookUp(this->host(0), 1) == CallOutcome::Answered &&
           this->Caller.stream(this->host(1), 2) == CallOutcome::Answered &&
           this->Caller.keyedCall(this->host(0), 3) == CallOutcome::Answered;
  });
  ASSERT_TRUE(this->Cluster.drainDomain("", 2));
  this->Cluster.waitFor("the domain serves again", [this] {
    return this->Cluster.operatorsGet(this->host(0), "/v1/status")
               .find("\"domain\":\"serving\"") != std::string::npos;
  });
  this->waitForAnswer(0, 1000);
  this->verifyRun();
}

namespace {

/// Calls the model of a deployment.
class ModelCalls : public ::testing::Test {
protected:
  /// \p Groups is the number of groups by failure domain.
  explicit ModelCalls(std::vector<unsigned> Groups)
      : Cluster(trustPlan(), std::move(Groups)) {
    ChildProcess::killAllWhenInterrupted();
  }

  HttpFetchResult call(const HostAddresses &Host, const char *Shared,
                       bool IsStream = false) {
    std::string Own = "question " + std::to_string(++this->LastNumber);
    std::string Body = R"({"model":")" + this->Cluster.plan().Model +
                       R"(","messages":[{"role":"system","content":"brief"},)" +
                       R"({"role":"user","content":")" + Shared +
                       R"("},{"role":"user","content":")" + Own + R"("}])" +
                       (IsStream ? R"(,"stream":true})" : "}");
    HttpRequest Request{.Method = "POST",
                        .Target = "/v1/chat/completions",
                        .Headers = {{"Content-Type", "application/json"}},
                        .Body = std::move(Body)};
    Request.Headers.add("Carobhinge-Workspace",
                        this->Cluster.plan().Workspaces.front());
    return blockingFetch(Host.Callers, std::move(Request));
  }

  Deployment Cluster;
  std::atomic<int> LastNumber = 0;
};

class PromptCrashes : public ModelCalls {
protected:
  explicit PromptCrashes(std::vector<unsigned> Groups = {3, 3, 3})
      : ModelCalls(std::move(Groups)) {}

  bool isRefused(const HostAddresses &Host, const char *Shared = CrashText) {
    HttpFetchResult Answer = this->call(Host, Shared);
    return Answer.Head.Status == 400 &&
           Answer.Body.find("prompt-crashes-engines") != std::string::npos;
  }

  /// Sends sound calls to \p Host for as long as the hosts take to agree on a
  /// crash.
  void callWhileCrashSettles(const HostAddresses &Host) {
    auto End = std::chrono::steady_clock::now() + CrashSettleTime;
    while (std::chrono::steady_clock::now() < End) {
      this->call(Host, "sound");
      std::this_thread::sleep_for(CallInterval);
    }
  }

  /// Returns a host of another failure domain each time.
  const HostAddresses &nextHost() {
    static constexpr std::array<std::size_t, 6> Order = {0, 2, 4, 1, 3, 5};
    return this->Cluster.hosts()[Order[this->NextIndex++ % Order.size()]];
  }

  /// Sends prompts that crash engines until \p Count engines are gone.
  void crashUntil(std::size_t Count) {
    this->Cluster.waitFor("engines have crashed", [&] {
      this->call(this->nextHost(), CrashText);
      return this->Cluster.countCrashedEngines() >= Count;
    });
  }

  /// Starts the crashed engines again and waits until all hosts use them.
  void restartCrashedEngines() {
    this->Cluster.restartCrashedEngines();
    for (const HostAddresses &Host : this->Cluster.hosts())
      this->Cluster.waitFor("calls are answered at " + Host.Host, [&] {
        return this->call(Host, "sound").Head.Status == 200;
      });
  }

  static constexpr auto CrashSettleTime = std::chrono::seconds(1);
  static constexpr auto CallInterval = std::chrono::milliseconds(100);
  /// Crashes after which a prompt has to be refused.
  static constexpr std::size_t MaxCrashes = 5;

  std::size_t NextIndex = 0;
};

/// Each failure domain has a single group.
class LimitedEngines : public ModelCalls {
protected:
  LimitedEngines() : ModelCalls({1, 1, 1}) {}

  /// Calls \p Host until \p End, one call after the other.
  std::jthread startCalls(const HostAddresses &Host,
                          std::chrono::steady_clock::time_point End) {
    return std::jthread([this, &Host, End] {
      while (std::chrono::steady_clock::now() < End) {
        HttpFetchResult Answer = this->call(Host, "sound");
        bool IsAnswered = Answer.Head.Status == 200;
        bool IsRefused = Answer.Head.Status == 503 &&
                         !Answer.Head.Headers.value("Retry-After").empty();
        ++(IsAnswered  ? this->Answered
           : IsRefused ? this->Refused
                       : this->Other);
        std::this_thread::sleep_for(CallInterval);
      }
    });
  }

  static constexpr auto CallInterval = std::chrono::milliseconds(20);

  std::atomic<unsigned> Answered = 0;
  std::atomic<unsigned> Refused = 0;
  std::atomic<unsigned> Other = 0;
};

class StreamsThatBreakOff : public ModelCalls {
protected:
  StreamsThatBreakOff() : ModelCalls({3, 3, 3}) {}
};

class BrokenAnswers : public PromptCrashes {};

/// Each failure domain has a single group, and all three have the same name.
class PromptCrashesOfNamesakes : public PromptCrashes {
protected:
  PromptCrashesOfNamesakes() : PromptCrashes({1, 1, 1}) {}
};

} // namespace

// Guards against requests with one message in their prompts that end one engine
// after the other, at any entry host.
TEST_F(PromptCrashes, MessageThatEndsEnginesIsRefusedAtEveryEntryHost) {
  this->Cluster.start();
  const std::vector<HostAddresses> &Hosts = this->Cluster.hosts();
  this->Cluster.waitFor("a host refuses the prompt", [&] {
    const HostAddresses &Host = this->nextHost();
    this->callWhileCrashSettles(Host);
    return this->isRefused(Host);
  });
  std::this_thread::sleep_for(std::chrono::seconds(3));
  std::size_t Crashed = this->Cluster.countCrashedEngines();
  EXPECT_GE(Crashed, 4U);
  EXPECT_LE(Crashed, MaxCrashes);
  for (const HostAddresses &Host : Hosts)
    EXPECT_TRUE(this->isRefused(Host)) << Host.Host;
  // A host that comes later learns it from the others.
  this->Cluster.process(Hosts[0].Host).signal(SIGKILL);
  this->Cluster.process(Hosts[0].Host).wait(StopLimit);
  this->Cluster.startHost(Hosts[0]);
  this->Cluster.waitFor("the restarted host refuses the prompt",
                        [&] { return this->isRefused(Hosts[0]); });
  EXPECT_EQ(this->Cluster.countCrashedEngines(), Crashed);
  HttpFetchResult Sound = this->call(Hosts[1], "sound");
  EXPECT_EQ(Sound.Head.Status, 200U) << Sound.Body;
}

// Guards against crashes of engines in different failure domains that are taken
// for one crash because their groups have the same name.
TEST_F(PromptCrashesOfNamesakes, CountSeparately) {
  this->Cluster.start();
  const std::vector<HostAddresses> &Hosts = this->Cluster.hosts();
  this->crashUntil(3);
  this->restartCrashedEngines();
  this->crashUntil(1);
  this->callWhileCrashSettles(Hosts[0]);
  this->restartCrashedEngines();
  for (const HostAddresses &Host : Hosts)
    EXPECT_TRUE(this->isRefused(Host)) << Host.Host;
}

// Guards against a stream that broke off and is ended as if it were complete,
// or with the error of the engine that should have continued it.
TEST_F(StreamsThatBreakOff, DoNotEndAsComplete) {
  this->Cluster.start();
  for (const HostAddresses &Host : this->Cluster.hosts()) {
    this->Cluster.waitFor("calls are answered at " + Host.Host, [&] {
      return this->call(Host, "sound").Head.Status == 200;
    });
    // A message of its own, so that no message is suspected to crash engines.
    std::string Message = std::string(BreakOffText) + " at " + Host.Host;
    HttpFetchResult Answer = this->call(Host, Message.c_str(), true);
    EXPECT_EQ(Answer.Head.Status, 200U);
    EXPECT_EQ(Answer.Outcome, HttpCallOutcome::Incomplete) << Answer.Body;
    EXPECT_EQ(Answer.Body.find("the engine has failed"), std::string::npos);
    EXPECT_EQ(Answer.Body.find("[DONE]"), std::string::npos);
  }
}

// Guards against answers with a status that does not exist that are passed on,
// and against messages that are refused since engines broke their answers.
TEST_F(BrokenAnswers, AreNoAnswersAndNoCrashes) {
  static constexpr int Rounds = 12;
  this->Cluster.start();
  for (const HostAddresses &Host : this->Cluster.hosts())
    this->Cluster.waitFor("calls are answered at " + Host.Host, [&] {
      return this->call(Host, "sound").Head.Status == 200;
    });
  for (int I = 0; I < Rounds; ++I)
    for (const HostAddresses &Host : this->Cluster.hosts()) {
      HttpFetchResult Answer = this->call(Host, BadStatusText, I % 2 == 0);
      EXPECT_TRUE(Answer.Head.Status == 502 || Answer.Head.Status == 503)
          << Answer.Head.Status << Answer.Body;
      // Hosts agree on a crash meanwhile, if they take it for one.
      std::this_thread::sleep_for(CallInterval);
    }
  EXPECT_EQ(this->Cluster.countCrashedEngines(), 0U);
  for (const HostAddresses &Host : this->Cluster.hosts()) {
    this->Cluster.waitFor("sound calls are answered at " + Host.Host, [&] {
      return this->call(Host, "sound").Head.Status == 200;
    });
    EXPECT_FALSE(this->isRefused(Host, BadStatusText)) << Host.Host;
  }
}

// Guards against an engine in need that gets far more requests, from all entry
// hosts together, than the limit that it announces.
TEST_F(LimitedEngines, GetNoMoreThanTheLimitThatTheyAnnounce) {
  constexpr unsigned Limit = 2;
  constexpr double Allowed = 1.5 * Limit * 4 + 5;
  constexpr int CallersPerHost = 4;
  constexpr auto Length = std::chrono::seconds(12);
  this->Cluster.setRequestLimit(Limit);
  this->Cluster.start();
  {
    std::vector<std::jthread> Callers;
    for (const HostAddresses &Host : this->Cluster.hosts())
      for (int I = 0; I < CallersPerHost; ++I)
        Callers.push_back(
            this->startCalls(Host, std::chrono::steady_clock::now() + Length));
  }
  EXPECT_LE(this->Cluster.mostArrivals(), Allowed);
  // Half of what the three groups take.
  EXPECT_GE(this->Answered, 3 * Limit * 12 / 2);
  EXPECT_EQ(this->Other, 0U);
}
