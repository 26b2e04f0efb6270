//===- Tests/FleetCluster/FakeEngine.h - An engine without a socket -------===//
///
/// \file
/// A model engine as the fleet sees it: announces itself, takes orders, loads
/// weights, warms up and runs requests. It notes what it was made to do that
/// must never happen.
///
//===----------------------------------------------------------------------===//

#ifndef FLEETCLUSTER_FAKEENGINE_H
#define FLEETCLUSTER_FAKEENGINE_H

#include <LibFleet/Order.h>
#include <map>
#include <vector>

namespace carobhinge {

struct EngineTimes {
  Duration Load = std::chrono::seconds(20);
  /// Joining with the weights already in memory.
  Duration Rejoin = std::chrono::seconds(2);
  Duration WarmUp = std::chrono::seconds(20);
};

struct EngineRequest {
  HostName EntryHost;
  std::uint64_t Id = 0;
  TimePoint StartedAt;
  TimePoint EndsAt;
};

class FakeEngine {
public:
  FakeEngine(Announcement First, EngineTimes Times)
      : Said(std::move(First)), Times(Times) {}

  OrderResult take(TimePoint Now, const Order &Given);
  /// False if the engine refuses it: nothing was run.
  bool take(TimePoint Now, const GroupPosition &At, EngineRequest Request);
  /// Loads, warms up and ends requests, which are returned.
  std::vector<EngineRequest> advance(TimePoint Now);
  Announcement announce();

  void kill(TimePoint Now);
  void restart(TimePoint Now);
  void pause(TimePoint Now);
  void resume();
  /// Cold again without a restart.
  void chill(TimePoint Now);

  [[nodiscard]] bool isRunning() const { return this->Alive && !this->Paused; }
  /// When it stopped being a whole member of \p Position, or nothing if it is.
  [[nodiscard]] std::optional<TimePoint>
  goneSince(const GroupPosition &Position, Incarnation IncarnationNumber) const;

  Announcement Said;
  EngineTimes Times;
  bool Alive = true;
  bool Paused = false;
  TimePoint ColdSince;
  /// It became cold without a restart, which no entry host knew beforehand.
  bool Chilled = false;
  TimePoint LeavingSince;
  std::vector<EngineRequest> Requests;
  /// Broken promises: orders that a host without fencing must never see.
  std::vector<std::string> Violations;
  /// Requests that an order cut off, by the group's number.
  std::map<FencingNumber, std::uint32_t> CutOff;

private:
  struct Weights {
    std::uint32_t Rank = 0;
    std::uint32_t Size = 0;
    std::string Version;
    bool operator==(const Weights &) const = default;
  };

  OrderResult join(TimePoint Now, const Order &Given);
  void leavePlace(TimePoint Now);

  std::optional<Weights> Loaded;
  std::optional<Weights> Loading;
  TimePoint LoadedAt;
  TimePoint StoppedAt;
  std::map<std::pair<FencingNumber, std::uint32_t>, TimePoint> LeftAt;
};

} // namespace carobhinge

#endif // FLEETCLUSTER_FAKEENGINE_H
