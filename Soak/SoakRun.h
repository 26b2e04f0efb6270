//===- Soak/SoakRun.h - One seed, played and judged -----------------------===//
///
/// \file
/// Plays a seed's faults against real processes under load and collects the
/// promises that were broken.
///
//===----------------------------------------------------------------------===//

#ifndef SOAK_SOAKRUN_H
#define SOAK_SOAKRUN_H

#include <PlatformWorld/PromiseCaller.h>
#include <Soak/FaultPlan.h>
#include <set>

namespace carobhinge {

class SoakRun {
public:
  explicit SoakRun(std::uint64_t Seed);

  /// \returns what was broken, in words; empty as it should be.
  std::vector<std::string> play();
  [[nodiscard]] CallCounts counts() const { return this->Caller.counts(); }
  [[nodiscard]] const std::vector<Fault> &faults() const {
    return this->Faults;
  }

private:
  /// An action that is due.
  struct Step {
    TimePoint At;
    std::function<void()> Do;
  };
  void begin(const Fault &Each);
  void after(Duration Length, std::function<void()> Do);
  void beginHostFault(const Fault &Each);
  void restart(std::size_t Host);
  void change();
  void heal();
  void judge();

  PlatformDeployment Running{PlatformPlan()};
  PromiseCaller Caller;
  std::vector<Fault> Faults;
  std::vector<Step> Due;
  /// Processes that are frozen, or ended and not started again.
  std::set<std::size_t> Frozen;
  /// Those that were told to stop and may still run.
  std::set<std::size_t> Stopping;
  std::set<std::size_t> Down;
  unsigned Version = 1;
  /// The newest version that was acknowledged.
  unsigned Acknowledged = 1;
  std::vector<std::string> Broken;
};

} // namespace carobhinge

#endif // SOAK_SOAKRUN_H
