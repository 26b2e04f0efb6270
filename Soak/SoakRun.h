//===- Soak/SoakRun.h - The run of one seed -------------------------------===//
///
/// \file
/// Injects the faults of a seed into real processes under load and collects the
/// violated guarantees.
///
//===----------------------------------------------------------------------===//

#ifndef SOAK_SOAKRUN_H
#define SOAK_SOAKRUN_H

#include <PlatformWorld/PlatformVerifyingCaller.h>
#include <Soak/FaultPlan.h>
#include <set>
#include <thread>

namespace carobhinge {

class SoakRun {
public:
  explicit SoakRun(std::uint64_t Seed);

  /// Runs the plan once. \returns a description of each violation; empty if the
  /// run passed.
  std::vector<std::string> run();
  [[nodiscard]] CallCounts counts() const { return this->Caller.counts(); }
  [[nodiscard]] const std::vector<Fault> &faults() const {
    return this->Faults;
  }

private:
  /// An action and the time when it is due.
  struct ScheduledStep {
    TimePoint DueTime;
    std::function<void()> Action;
  };
  /// Starts a fault and schedules its end.
  void injectFault(const Fault &Each);
  void excuseFrom(const Fault &Each);
  void schedule(Duration Delay, std::function<void()> Action);
  void injectHostFault(const Fault &Each);
  void restartHost(std::size_t Host);
  void changeCatalog();
  /// Waits for the scheduled steps, and restarts hosts that ended unexpectedly.
  void endFaults();
  /// Checks that all entry hosts serve again, that the acknowledged catalog
  /// version is not lost, and the callers' records and the logs.
  void checkRecovery();

  PlatformDeployment Deployment{PlatformPlan()};
  PlatformVerifyingCaller Caller;
  std::vector<Fault> Faults;
  std::vector<ScheduledStep> ScheduledSteps;
  /// Hosts whose process was stopped by SIGSTOP.
  std::set<std::size_t> FrozenHosts;
  /// Hosts that were sent SIGTERM and may still run.
  std::set<std::size_t> StoppingHosts;
  /// Hosts whose process has ended and was not restarted yet.
  std::set<std::size_t> StoppedHosts;
  /// The newest catalog version that was sent.
  unsigned CatalogVersion = 1;
  /// The newest catalog version that was acknowledged.
  unsigned AcknowledgedVersion = 1;
  std::vector<std::string> Violations;
  /// Callers of crashing prompts; declared last, as they use the members above.
  std::vector<std::jthread> CrashingCallers;
};

} // namespace carobhinge

#endif // SOAK_SOAKRUN_H
