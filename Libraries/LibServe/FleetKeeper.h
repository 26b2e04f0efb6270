//===- LibServe/FleetKeeper.h - Endpoints and groups as this host sees them
//===//
///
/// \file
/// Drives the endpoint directory and the group planner of this host's failure
/// domain: takes announcements, relays them to the other entry hosts of the
/// domain, sends orders, and spreads the roster.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_FLEETKEEPER_H
#define LIBSERVE_FLEETKEEPER_H

#include <LibFleet/EndpointDirectory.h>
#include <LibFleet/GroupPlanner.h>
#include <LibHTTP/HttpClient.h>
#include <LibIntent/Intent.h>
#include <LibServe/ControlClient.h>
#include <LibServe/Peers.h>
#include <LibWire/WireServer.h>
#include <mutex>

namespace carobhinge {

/// Thread-safe.
class FleetKeeper {
public:
  FleetKeeper(const boost::asio::any_io_executor &Executor, const Settings &Own,
              Incarnation Life, Peers &Links, ControlClient &Control);

  /// An announcement made to this host. Faults are added to \p Out.
  void announced(const std::string &Json, Findings &Out);

  /// \p DomainClosed: this failure domain takes no new work.
  void intentChanged(const Intent &Wanted, bool DomainClosed);

  [[nodiscard]] std::vector<Target> targets(const ServiceName &Service) const;
  void answered(const Target &From, Duration Latency);

  /// Work outstanding by target name, for the planner's drains.
  void reportOutstanding(std::map<GroupName, std::uint32_t> Count);

  /// To be called every few tens of milliseconds.
  void tick();

  void addHandlers(std::map<std::string, WireHandler, std::less<>> &Table);

  [[nodiscard]] Roster roster() const;
  [[nodiscard]] bool isPlanner() const;

private:
  struct PendingRelay {
    std::string Json;
    TimePoint ReceivedAt;
  };

  /// What the intent allows of endpoints of one service.
  struct EndpointBounds {
    std::uint32_t SlotLimit = 1;
    bool IgnoresFencing = false;
  };

  bool take(TimePoint Now, Announcement Said, Duration Age);
  void relayed(const message::AnnouncementRelay &Message);
  void rosterReceived(const message::RosterUpdate &Message);
  void digestReceived(const HostName &From,
                      const message::RosterDigest &Digest);
  void sendRelays(TimePoint Now);
  void sendDigest();
  void carryOut(std::vector<PlannerEffect> Effects);
  void publish(const Roster &Published);
  boost::asio::awaitable<void> sendOrder(SendOrder Effect);
  boost::asio::awaitable<void> recordOrder(RecordOrder Effect);
  boost::asio::awaitable<void> tellPresence(HostName ControlHost);
  void presenceAnswered(const message::PresenceResult &Result);
  [[nodiscard]] std::vector<HostName> heardEntryHosts() const;
  void toDomain(const std::string &Method, const std::string &Message);

  boost::asio::any_io_executor Executor;
  const HostName Self;
  const FailureDomainName FailureDomain;
  const Incarnation Life;
  const Duration RelayInterval;
  Peers &Links;
  ControlClient &Control;
  HttpClient Client;

  mutable std::mutex Lock;
  EndpointDirectory Directory;
  GroupPlanner Planner;
  std::map<ServiceName, EndpointBounds> EndpointBoundsOf;
  std::vector<PendingRelay> Relays;
  /// Epoch of the grant that this process holds; zero without one.
  std::uint64_t GrantEpoch = 0;
  /// Newest epoch heard of, whoever holds it.
  std::uint64_t NewestEpoch = 0;
  TimePoint NextRelay;
  TimePoint NextSecond;
  TimePoint NextPlan;
  std::size_t NextDigestPeer = 0;
};

} // namespace carobhinge

#endif // LIBSERVE_FLEETKEEPER_H
