//===- Tests/FleetCluster/FleetCluster.h - One failure domain, by hand ----===//
///
/// \file
/// The fleet's decision classes of one failure domain with small fakes around
/// them: engines, links that lose, double and delay messages, and a control log
/// that commits at once. The clock is turned by hand and all randomness comes
/// from a seed. Invariants are checked five times a second.
///
//===----------------------------------------------------------------------===//

#ifndef FLEETCLUSTER_FLEETCLUSTER_H
#define FLEETCLUSTER_FLEETCLUSTER_H

#include "FakeEngine.h"

#include <LibFleet/EndpointDirectory.h>
#include <LibFleet/GroupPlanner.h>
#include <LibFleet/PlannerMonitor.h>
#include <deque>
#include <functional>
#include <random>

namespace carobhinge {

enum class MessageKind : std::uint8_t {
  Announcement,
  Relay,
  Roster,
  Outstanding,
  Order,
  OrderAnswer,
  Control,
  Request,
  RequestEnd,
};

struct Envelope {
  TimePoint At;
  std::string From;
  std::string To;
  MessageKind Kind = MessageKind::Request;
  std::function<void()> Deliver;
};

/// What becomes of a message. A test changes it in FleetCluster::OnSend.
struct MessageFate {
  bool Lost = false;
  bool Doubled = false;
  Duration Late = Duration::zero();
};

struct FleetClusterOptions {
  std::uint64_t Seed = 1;
  std::uint32_t EntryHosts = 2;
  std::uint32_t FabricDomains = 1;
  std::uint32_t EnginesPerFabric = 4;
  std::uint32_t HostsPerGroup = 2;
  bool ChecksFencing = true;
  EngineTimes Times = {};
  PlannerOptions Planner = {};
  /// Requests that each entry host starts per second; zero for none.
  std::uint32_t RequestsPerSecond = 8;
  bool CheckInvariants = true;
};

class FleetCluster {
public:
  struct EntryHost {
    HostName Name;
    Incarnation Life = 1;
    bool Alive = true;
    bool Frozen = false;
    std::unique_ptr<EndpointDirectory> Directory;
    std::unique_ptr<GroupPlanner> Planner;
    std::uint64_t Granted = 0;
    /// Requests under way, by group.
    std::map<GroupName, std::map<std::uint64_t, EndpointName>> Outstanding;
    /// Records that the control log has yet to confirm.
    std::map<FencingNumber, message::PlannerCommand> Records;
  };

  explicit FleetCluster(FleetClusterOptions Options);

  void run(Duration Passed);
  /// False if the condition did not come true in time.
  bool runUntil(const std::function<bool()> &Holds, Duration Limit);

  void killEntryHost(const HostName &Name);
  void restartEntryHost(const HostName &Name);
  void setFrozen(const HostName &Name, bool Frozen);
  void pause(const EndpointName &Name);
  void resume(const EndpointName &Name);
  void kill(const EndpointName &Name);
  void restart(const EndpointName &Name);
  void leave(const EndpointName &Name);
  void cut(const std::string &One, const std::string &Other);
  void heal() { this->Cuts.clear(); }
  void setIntent(const FleetIntent &New);

  [[nodiscard]] TimePoint now() const { return this->Now; }
  FakeEngine &engine(const EndpointName &Name);
  EntryHost &entryHost(const HostName &Name);
  [[nodiscard]] HostName holder() const;
  /// Groups whose members are all there and ready, by their own state.
  [[nodiscard]] std::uint32_t servingGroups() const;
  /// Groups that every entry host that is up has as a target.
  [[nodiscard]] std::uint32_t targetsEverywhere() const;
  /// The most groups that the running engines allow.
  [[nodiscard]] std::uint32_t possibleGroups() const;
  [[nodiscard]] std::uint32_t requestsCutOff() const;

  std::function<void(const Envelope &, MessageFate &)> OnSend;
  std::map<EndpointName, FakeEngine> Engines;
  std::map<HostName, EntryHost> EntryHosts;
  FleetIntent Intent;
  TimePoint DomainOutSince = TimePoint::max();
  /// Invariants that broke, in order.
  std::vector<std::string> Violations;
  std::uint64_t RequestsStarted = 0;

private:
  void send(std::string From, std::string To, MessageKind Kind,
            std::function<void()> Deliver);
  void post(Envelope What);
  void tick();
  void deliverDue();
  [[nodiscard]] bool isReachable(const Envelope &What) const;
  [[nodiscard]] bool isStopped(const std::string &Node) const;
  void startEntryHost(EntryHost &Host);
  void second(EntryHost &Host);
  void plan(EntryHost &Host);
  void carryOut(EntryHost &Host, PlannerEffect &Effect);
  void sendOrder(const HostName &From, const SendOrder &Effect);
  void publish(const HostName &From, const Roster &New);
  void pingControl(EntryHost &Host);
  void controlAnswers(const HostName &To, Incarnation Life);
  void proposeRecords(EntryHost &Host);
  void announceFrom(FakeEngine &Engine);
  void hear(const HostName &At, const Announcement &Said, TimePoint MadeAt);
  void startRequests(EntryHost &Host);
  void startRequest(EntryHost &Host, const Target &To);
  void endRequest(const EngineRequest &Which, const GroupName &Group);
  /// What ran on a stopped engine has ended for its entry hosts.
  void dropRequests(const EndpointName &Engine);
  /// Members of the engine's group did not end in a planned stop.
  void disturb(const FakeEngine &Engine);
  bool chance(std::uint32_t PerMille);

  // FleetInvariants.cpp
  void check();
  void checkTargets(const EntryHost &Host);
  void checkBudget(const FakeEngine &Front);
  void checkRoster(const Roster &Published);
  void violation(const std::string &What);

  FleetClusterOptions Options;
  std::mt19937_64 Random;
  TimePoint Now;
  std::uint64_t Ticks = 0;
  std::multimap<TimePoint, Envelope> Links;
  /// Messages that arrived at a node that stands still.
  std::map<std::string, std::deque<Envelope>> Waiting;
  std::set<std::pair<std::string, std::string>> Cuts;
  PlannerGrants Grants;
  PlannerMonitor Watch;
  std::set<FencingNumber> Disturbed;
  std::uint64_t RequestCount = 0;
};

} // namespace carobhinge

#endif // FLEETCLUSTER_FLEETCLUSTER_H
