//===- Tests/Processes/Demonstration.cpp - Meta/carobhinge.sh run ---------===//
///
/// \file
/// Runs both example deployments as real processes, sends mixed calls through
/// every entry host, kills one host and stops another one under load, and
/// compares the answers that callers got with the executions.
///
//===----------------------------------------------------------------------===//

#include <Processes/VerifyingCaller.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <map>
#include <thread>

using namespace carobhinge;

static constexpr unsigned CallsPerHost = 200;
static constexpr unsigned CallsPerHostUnderFaults = 60;
static constexpr auto Pause = std::chrono::milliseconds(2);
static constexpr auto PauseUnderFaults = std::chrono::milliseconds(20);
static constexpr std::chrono::duration<double> IdleTime(3);
static constexpr auto StopLimit = std::chrono::seconds(40);

static void print(const char *Title, const LoadCounts &Counts) {
  std::printf("%s: answered=%u not-run=%u unknown=%u executed-twice=%u "
              "wrong=%u\n",
              Title, Counts.Answered, Counts.NotRun, Counts.Unknown,
              Counts.ExecutedTwice, Counts.Wrong);
  std::fflush(stdout);
}

/// Sends mixed calls while one host is killed and another one is stopped.
static void loadUnderFaults(Deployment &Cluster, VerifyingCaller &Caller) {
  const HostAddresses &KilledHost = Cluster.hosts()[1];
  const HostAddresses &StoppedHost = Cluster.hosts()[2];
  std::jthread Load([&] {
    runMixedLoad(Caller, Cluster.hosts(), CallsPerHostUnderFaults, 1'000'000,
                 PauseUnderFaults);
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  std::printf("  SIGKILL to %s\n", KilledHost.Host.c_str());
  Caller.expectKill(KilledHost.Host);
  Cluster.process(KilledHost.Host).signal(SIGKILL);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  std::printf("  SIGTERM to %s\n", StoppedHost.Host.c_str());
  Cluster.process(StoppedHost.Host).signal(SIGTERM);
  std::optional<int> Exit = Cluster.process(StoppedHost.Host).wait(StopLimit);
  std::printf("  %s ended with %d\n", StoppedHost.Host.c_str(),
              Exit.value_or(-1));
  Load.join();
  if (Exit != 0)
    throw std::runtime_error(
        "the planned stop of a host did not end with exit status 0");
}

using UsageByHost = std::map<std::string, ChildProcess::ResourceUsage>;

static UsageByHost measure(Deployment &Cluster) {
  UsageByHost Now;
  for (const HostAddresses &Host : Cluster.hosts())
    Now[Host.Host] = Cluster.process(Host.Host).resourceUsage();
  return Now;
}

/// Prints the processor time that each host used while idle and per call, and
/// its memory.
static void printUsage(const UsageByHost &Ready, const UsageByHost &Idle,
                       const UsageByHost &Loaded) {
  for (const auto &[Host, Before] : Ready) {
    double IdleSeconds =
        Idle.at(Host).ProcessorSeconds - Before.ProcessorSeconds;
    double Load =
        Loaded.at(Host).ProcessorSeconds - Idle.at(Host).ProcessorSeconds;
    std::printf("  %s: idle %.1f %% of a core, %.2f ms a call, %.0f MB\n",
                Host.c_str(), 100 * IdleSeconds / IdleTime.count(),
                1000 * Load / CallsPerHost, Loaded.at(Host).ResidentMegabytes);
  }
}

static LoadCounts demonstrate(const DeploymentPlan &Plan, std::uint64_t Seed) {
  std::printf("deployment %s, seed %llu\n", Plan.Cluster.c_str(),
              static_cast<unsigned long long>(Seed));
  Deployment Cluster(Plan, {2, 1, 1});
  Cluster.start();
  VerifyingCaller Caller(Cluster, Seed);
  std::printf("  every host is ready; sending calls\n");
  std::fflush(stdout);
  UsageByHost Ready = measure(Cluster);
  std::this_thread::sleep_for(IdleTime);
  UsageByHost Idle = measure(Cluster);
  runMixedLoad(Caller, Cluster.hosts(), CallsPerHost, 0, Pause);
  printUsage(Ready, Idle, measure(Cluster));
  loadUnderFaults(Cluster, Caller);
  LoadCounts Counts = Caller.compareWithExecutions(Cluster.executions());
  print(Plan.Cluster.c_str(), Counts);
  return Counts;
}

int main() {
  ChildProcess::killAllWhenInterrupted();
  try {
    auto Seed = static_cast<std::uint64_t>(time(nullptr));
    LoadCounts First = demonstrate(trustPlan(), Seed);
    LoadCounts Second = demonstrate(servicioPlan(), Seed + 1);
    LoadCounts Sum{.Answered = First.Answered + Second.Answered,
                   .NotRun = First.NotRun + Second.NotRun,
                   .Unknown = First.Unknown + Second.Unknown,
                   .HostDown = First.HostDown + Second.HostDown,
                   .ExecutedTwice = First.ExecutedTwice + Second.ExecutedTwice,
                   .Wrong = First.Wrong + Second.Wrong};
    std::printf("calls to hosts that were down: %u\n", Sum.HostDown);
    print("run", Sum);
    return Sum.ExecutedTwice == 0 && Sum.Wrong == 0 ? 0 : 1;
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "run: %s\n", Error.what());
    return 1;
  }
}
