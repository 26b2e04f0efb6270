//===- Soak/SoakRun.h - The run of one seed -------------------------------===//
///
/// \file
/// Injects the faults of a seed into real processes under load and collects the
/// violated guarantees.
///
//===----------------------------------------------------------------------===//

#ifndef SOAK_SOAKRUN_H
#define SOAK_SOAKRUN_H

#include <PlatformWorld/LogReader.h>
#include <PlatformWorld/LostRequests.h>
#include <PlatformWorld/PlatformVerifyingCaller.h>
#include <PlatformWorld/RawSenders.h>
#include <Soak/FaultPlan.h>
#include <future>
#include <mutex>
#include <set>
#include <thread>

namespace carobhinge {

class SoakRun {
public:
  explicit SoakRun(std::uint64_t Seed, bool WithoutEndless = false);

  /// Runs the plan once. \returns a description of each violation; empty if the
  /// run passed.
  std::vector<std::string> run();
  [[nodiscard]] CallCounts counts() const { return this->Caller.counts(); }
  /// The requests that ended without a whole answer.
  [[nodiscard]] const LossSummary &losses() const { return this->Losses; }
  /// How often a host took an endpoint for lost or crashed that went on in the
  /// same life.
  [[nodiscard]] unsigned falseAlarms() const { return this->FalseAlarms; }
  /// The most memory in MiB that one of the processes has had.
  [[nodiscard]] double peakMegabytes() const { return this->PeakMegabytes; }
  /// Details of violations.
  [[nodiscard]] const std::vector<std::string> &notes() const {
    return this->Notes;
  }
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
  /// Sends SIGTERM to \p Host. \returns false if it is frozen or stopping.
  bool stopHost(std::size_t Host);
  /// Restarts a stopped \p Host once it has ended, or kills it at \p Deadline.
  void restartStoppedHost(std::size_t Host, TimePoint Deadline);
  /// Stops and continues \p Host by turns until \p End.
  void slowHost(std::size_t Host, TimePoint End);
  void cutHost(std::size_t Host, LinkMode Mode);
  void sendWithoutEnd(const Fault &Each);
  /// Sends the next version once the changes before it have ended. Does not
  /// wait, as an acknowledgement may take seconds.
  void changeCatalog();
  void recordEvent(LossCause Cause, std::optional<std::size_t> Host,
                   TimePoint From, TimePoint Until);
  /// Tells Lost about \p Each.
  void recordForLosses(const Fault &Each);
  /// Waits for the scheduled steps, and restarts hosts that ended unexpectedly.
  void endFaults();
  /// Checks the most memory that a running process of \p Host has had.
  void checkMemory(std::size_t Host);
  /// Checks that no request was lost that must not be, and counts false alarms.
  void checkLosses(const LogSummary &Log);
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
  /// The newest catalog version that was acknowledged. Written by LastChange.
  std::atomic<unsigned> AcknowledgedVersion = 1;
  std::vector<std::string> Violations;
  std::vector<std::string> Notes;
  std::mutex LostLock;
  /// Guarded by LostLock.
  LostRequests Lost;
  LossSummary Losses;
  unsigned FalseAlarms = 0;
  double PeakMegabytes = 0;
  /// Requests without end, by a number of each fault.
  std::map<std::size_t, std::unique_ptr<RawSenders>> Senders;
  std::size_t LastSenders = 0;
  /// The newest change; it waits for the ones before.
  std::future<void> LastChange;
  /// Callers of crashing prompts; declared last, as they use the members above.
  std::vector<std::jthread> CrashingCallers;
};

} // namespace carobhinge

#endif // SOAK_SOAKRUN_H
