//===- Tests/LibEntry/TestRequestedPause.cpp - Pauses of full endpoints ---===//
///
/// \file
/// Guards against endpoints in need that get requests in the pauses that they
/// asked for, or all hosts at once at the end of them, and against pauses that
/// waste what the endpoints could serve. The entry hosts' dispatchers are
/// simulated with 6 and with 59 hosts, under even and uneven load, before three
/// endpoints that turn requests away while they are full.
///
//===----------------------------------------------------------------------===//

#include <LibEntry/Dispatcher.h>
#include <cmath>
#include <cstdio>
#include <deque>
#include <gtest/gtest.h>
#include <random>

using namespace carobhinge;
using std::chrono::seconds;

static constexpr auto Step = std::chrono::milliseconds(5);
static constexpr TimePoint Start{std::chrono::hours(1)};

namespace {

struct PauseScenario {
  int Hosts = 6;
  /// Load of host i in proportion to 1 / (i + 1) to this power; 0: even.
  double Skew = 0;
  /// Requests in a second of all hosts, against what the endpoints serve.
  double Load = 1;
};

class PauseWorld {
public:
  static constexpr int Endpoints = 3;
  static constexpr int Slots = 6;
  static constexpr Duration Pause = seconds(2);

  explicit PauseWorld(PauseScenario Scenario) : Scenario(Scenario) {
    for (int I = 0; I < Scenario.Hosts; ++I) {
      DispatchOptions Options;
      Options.Seed = static_cast<std::uint64_t>(I) + 1;
      this->Hosts.emplace_back(Options);
      this->Weights.push_back(std::pow(I + 1.0, -Scenario.Skew));
      for (int J = 0; J < Endpoints; ++J) {
        DispatchTarget Target{.Name = "e" + std::to_string(J),
                              .Endpoint = "e" + std::to_string(J),
                              .EndpointLife = 1,
                              .Service = "ledger",
                              .Slots = Slots};
        this->Hosts.back().update({&Target, 1});
      }
    }
    this->Running.resize(Endpoints);
    this->Pauses.resize(static_cast<std::size_t>(Scenario.Hosts) * Endpoints);
  }

  void run(Duration Length) {
    std::discrete_distribution<std::size_t> Host(this->Weights.begin(),
                                                 this->Weights.end());
    double Capacity =
        Endpoints * Slots / std::chrono::duration<double>(ServiceTime).count();
    std::poisson_distribution<int> Arrivals(
        this->Scenario.Load * Capacity *
        std::chrono::duration<double>(Step).count());
    for (; this->Now - Start < Length; this->Now += Step) {
      for (std::size_t J = 0; J < this->Running.size(); ++J)
        this->finishDue(J);
      for (int Left = Arrivals(this->Random); Left > 0; --Left)
        this->submit(Host(this->Random));
    }
  }

  std::uint64_t Requests = 0;
  std::uint64_t Served = 0;
  std::uint64_t TurnedAway = 0;
  /// Requests that an endpoint got from a host between half a second after it
  /// had asked for a pause and its end.
  int MostInPause = 0;
  /// Requests that an endpoint turned away within 100 ms.
  int MostTurnedAway = 0;

private:
  static constexpr Duration ServiceTime = std::chrono::milliseconds(60);

  struct RunningRequest {
    TimePoint EndsAt;
    std::size_t Host;
    AttemptNumber Attempt;
  };
  struct PauseRecord {
    TimePoint From;
    TimePoint Until;
    int Arrivals = 0;
  };

  void finishDue(std::size_t Endpoint) {
    std::deque<RunningRequest> &Queue = this->Running[Endpoint];
    while (!Queue.empty() && Queue.front().EndsAt <= this->Now) {
      this->Hosts[Queue.front().Host].endAttempt(
          this->Now, Queue.front().Attempt, DispatchResult::Answered);
      Queue.pop_front();
      ++this->Served;
    }
  }

  void submit(std::size_t Host) {
    ++this->Requests;
    Dispatcher &Selector = this->Hosts[Host];
    DispatchChoice Choice =
        Selector.chooseTarget(this->Now, {.Service = "ledger"});
    if (!Choice.Target) {
      EXPECT_TRUE(Choice.AllFull || Choice.PausedUntil);
      return;
    }
    auto Endpoint = static_cast<std::size_t>(Choice.Target->Name[1] - '0');
    AttemptNumber Attempt =
        Selector.beginAttempt(this->Now, Choice.Target->Name, false);
    PauseRecord &Record = this->Pauses[Host * Endpoints + Endpoint];
    if (this->Now >= Record.From && this->Now < Record.Until)
      this->MostInPause = std::max(this->MostInPause, ++Record.Arrivals);
    if (this->Running[Endpoint].size() < Slots) {
      this->Running[Endpoint].push_back({.EndsAt = this->Now + ServiceTime,
                                         .Host = Host,
                                         .Attempt = Attempt});
      return;
    }
    this->countTurnedAway(Endpoint);
    Record = {.From = this->Now + std::chrono::milliseconds(500),
              .Until = this->Now + Pause};
    Selector.recordPause(this->Now, Attempt, Pause);
    Selector.endAttempt(this->Now, Attempt, DispatchResult::Paused);
  }

  void countTurnedAway(std::size_t Endpoint) {
    ++this->TurnedAway;
    std::deque<TimePoint> &Times = this->TurnedAwayAt[Endpoint];
    Times.push_back(this->Now);
    while (this->Now - Times.front() > std::chrono::milliseconds(100))
      Times.pop_front();
    // The hosts learn that the endpoints are full during the first seconds.
    if (this->Now - Start > 2 * Pause)
      this->MostTurnedAway =
          std::max(this->MostTurnedAway, static_cast<int>(Times.size()));
  }

  PauseScenario Scenario;
  TimePoint Now = Start;
  std::mt19937_64 Random{1};
  std::vector<Dispatcher> Hosts;
  std::vector<double> Weights;
  std::vector<std::deque<RunningRequest>> Running;
  std::vector<PauseRecord> Pauses;
  std::map<std::size_t, std::deque<TimePoint>> TurnedAwayAt;
};

class RequestedPause : public testing::TestWithParam<PauseScenario> {};

} // namespace

TEST_P(RequestedPause, IsKeptAndEndsWithoutABurst) {
  PauseWorld World(GetParam());
  World.run(seconds(40));
  double Slots = PauseWorld::Endpoints * PauseWorld::Slots / 0.06 * 40;
  std::printf("hosts %d, skew %.1f, load %.1f: %.2f of the slots used, %.3f of "
              "the requests turned away, most in a pause %d, most turned away "
              "in 100 ms %d\n",
              GetParam().Hosts, GetParam().Skew, GetParam().Load,
              static_cast<double>(World.Served) / Slots,
              static_cast<double>(World.TurnedAway) /
                  static_cast<double>(World.Requests),
              World.MostInPause, World.MostTurnedAway);
  EXPECT_EQ(World.MostInPause, 0);
  // At most one request of each host follows a pause; they are spread over more
  // than 100 ms.
  EXPECT_LT(World.MostTurnedAway, std::max(GetParam().Hosts / 2, 6));
}

INSTANTIATE_TEST_SUITE_P(
    Hosts, RequestedPause,
    testing::Values(PauseScenario{.Hosts = 6, .Load = 0.5},
                    PauseScenario{.Hosts = 6, .Load = 1.5},
                    PauseScenario{.Hosts = 6, .Skew = 1, .Load = 1.5},
                    PauseScenario{.Hosts = 59, .Load = 0.5},
                    PauseScenario{.Hosts = 59, .Load = 1.5},
                    PauseScenario{.Hosts = 59, .Skew = 1, .Load = 1.5}));
