//===- Tests/FleetCluster/FakeEngine.h - A simulated engine ---------------===//
///
/// \file
/// A model engine as the fleet sees it, without a socket: announces itself,
/// takes orders, loads weights, warms up and runs requests. It records orders
/// that violate the fleet's guarantees.
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
  /// Time to join with the weights already in memory.
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
      : Status(std::move(First)), Times(Times) {}

  OrderSendResult handleOrder(TimePoint Now, const Order &Received);
  /// Starts \p Request. Returns false if the engine refuses it without running
  /// anything.
  bool startRequest(TimePoint Now, const GroupPosition &Target,
                    EngineRequest Request);
  /// Advances loading, warm-up and requests to \p Now. Returns the requests
  /// that have ended.
  std::vector<EngineRequest> advance(TimePoint Now);
  Announcement announce();

  void kill(TimePoint Now);
  void restart(TimePoint Now);
  void pause(TimePoint Now);
  void resume();
  /// Makes the engine cold again without a restart.
  void coolDown(TimePoint Now);

  [[nodiscard]] bool isRunning() const { return this->Alive && !this->Paused; }
  /// Returns since when the engine of this incarnation has not been a running
  /// member at \p Position; empty if it is one.
  [[nodiscard]] std::optional<TimePoint>
  notMemberSince(const GroupPosition &Position,
                 Incarnation IncarnationNumber) const;

  Announcement Status;
  EngineTimes Times;
  bool Alive = true;
  bool Paused = false;
  TimePoint ColdSince;
  /// The engine became cold without a restart. Entry hosts learn of it only
  /// from the next announcement.
  bool CooledDown = false;
  TimePoint LeavingSince;
  std::vector<EngineRequest> Requests;
  /// Descriptions of orders that an engine without fencing checks must never
  /// receive.
  std::vector<std::string> Violations;
  /// The number of requests cut off by an order, by the group's number.
  std::map<FencingToken, std::uint32_t> CutOff;

private:
  struct Weights {
    std::uint32_t Rank = 0;
    std::uint32_t Size = 0;
    std::string Version;
    bool operator==(const Weights &) const = default;
  };

  OrderSendResult join(TimePoint Now, const Order &Received);
  void leaveGroup(TimePoint Now);

  std::optional<Weights> Loaded;
  std::optional<Weights> Loading;
  TimePoint LoadedAt;
  TimePoint StoppedAt;
  std::map<std::pair<FencingToken, std::uint32_t>, TimePoint> LeftAt;
};

} // namespace carobhinge

#endif // FLEETCLUSTER_FAKEENGINE_H
