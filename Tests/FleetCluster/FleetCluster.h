//===- Tests/FleetCluster/FleetCluster.h - A simulated failure domain -----===//
///
/// \file
/// The fleet's decision classes of one failure domain in a simulated
/// environment: engines, links that lose, duplicate and delay messages, and a
/// control log that commits immediately. The test advances the clock, and all
/// randomness comes from a seed. Invariants are checked five times a second.
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

/// The faults that hit a message. A test sets them in FleetCluster::OnSend.
struct MessageFault {
  bool Lost = false;
  bool Duplicated = false;
  Duration Delay = Duration::zero();
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
    Incarnation IncarnationNumber = 1;
    bool Alive = true;
    bool Frozen = false;
    std::unique_ptr<EndpointDirectory> Directory;
    std::unique_ptr<GroupPlanner> Planner;
    std::uint64_t GrantedEpoch = 0;
    /// Requests in progress, by group.
    std::map<GroupName, std::map<std::uint64_t, EndpointName>> Outstanding;
    /// Records that the control log has not confirmed yet.
    std::map<FencingToken, message::PlannerCommand> Records;
  };

  explicit FleetCluster(FleetClusterOptions Options);

  void run(Duration Passed);
  /// Runs until \p Holds returns true. Returns false if that takes longer than
  /// \p Limit.
  bool runUntil(const std::function<bool()> &Holds, Duration Limit);

  void killEntryHost(const HostName &Name);
  void restartEntryHost(const HostName &Name);
  void setFrozen(const HostName &Name, bool Frozen);
  void pause(const EndpointName &Name);
  void resume(const EndpointName &Name);
  void kill(const EndpointName &Name);
  void restart(const EndpointName &Name);
  void leave(const EndpointName &Name);
  void cut(const std::string &FirstNode, const std::string &SecondNode);
  void heal() { this->Cuts.clear(); }
  void setIntent(const FleetIntent &UpdatedIntent);

  [[nodiscard]] TimePoint now() const { return this->Now; }
  FakeEngine &engine(const EndpointName &Name);
  EntryHost &entryHost(const HostName &Name);
  /// The entry host that holds the planner grant; empty if there is no grant.
  [[nodiscard]] HostName holder() const;
  /// The number of groups whose members are all running and have loaded, by the
  /// engines' own state.
  [[nodiscard]] std::uint32_t servingGroups() const;
  /// The smallest number of targets, without draining ones, at any entry host
  /// that is up.
  [[nodiscard]] std::uint32_t minTargetCount() const;
  /// The largest number of groups that the running engines allow.
  [[nodiscard]] std::uint32_t possibleGroups() const;
  /// The number of requests cut off by orders, without those of groups with a
  /// faulty member.
  [[nodiscard]] std::uint32_t requestsCutOff() const;

  std::function<void(const Envelope &, MessageFault &)> OnSend;
  std::map<EndpointName, FakeEngine> Engines;
  std::map<HostName, EntryHost> EntryHosts;
  FleetIntent Intent;
  TimePoint DomainDrainedSince = TimePoint::max();
  /// Descriptions of invariant violations, in order.
  std::vector<std::string> Violations;
  std::uint64_t RequestsStarted = 0;

private:
  void send(std::string From, std::string To, MessageKind Kind,
            std::function<void()> Deliver);
  void enqueue(Envelope Message);
  void tick();
  void deliverDue();
  [[nodiscard]] bool isReachable(const Envelope &Message) const;
  [[nodiscard]] bool isHalted(const std::string &Node) const;
  void startEntryHost(EntryHost &Host);
  void runPeriodicWork(EntryHost &Host);
  void plan(EntryHost &Host);
  void executeEffect(EntryHost &Host, PlannerEffect &Effect);
  void sendOrder(const HostName &From, const SendOrder &Effect);
  void publish(const HostName &From, const Roster &UpdatedRoster);
  void pingControl(EntryHost &Host);
  void applyControlAnswer(const HostName &To, Incarnation IncarnationNumber);
  void proposeRecords(EntryHost &Host);
  void announceFrom(FakeEngine &Engine);
  void receiveAnnouncement(const HostName &Receiver,
                           const Announcement &Announced,
                           TimePoint AnnouncedAt);
  void startRequests(EntryHost &Host);
  void startRequest(EntryHost &Host, const Target &To);
  void endRequest(const EngineRequest &Ended, const GroupName &Group);
  /// Ends all requests on a stopped engine at the entry hosts.
  void dropRequests(const EndpointName &Engine);
  /// Marks the engine's group as hit by a fault: its requests may be cut off.
  void markFaulty(const FakeEngine &Engine);
  bool occurs(std::uint32_t PerMille);

  // FleetInvariants.cpp
  void check();
  void checkTargets(const EntryHost &Host);
  void checkBudget(const FakeEngine &Head);
  void checkRoster(const Roster &Published);
  void violation(const std::string &Description);

  FleetClusterOptions Options;
  std::mt19937_64 Random;
  TimePoint Now;
  std::uint64_t Ticks = 0;
  std::multimap<TimePoint, Envelope> InFlightMessages;
  /// Messages that arrived at a paused or frozen node, by node.
  std::map<std::string, std::deque<Envelope>> HeldMessages;
  std::set<std::pair<std::string, std::string>> Cuts;
  PlannerGrants Grants;
  PlannerMonitor Monitor;
  std::set<FencingToken> FaultyGroups;
  std::uint64_t RequestCount = 0;
};

} // namespace carobhinge

#endif // FLEETCLUSTER_FLEETCLUSTER_H
