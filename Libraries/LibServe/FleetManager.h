//===- LibServe/FleetManager.h - Endpoints and groups on this host --------===//
///
/// \file
/// Drives the endpoint directory and the group planner of this host's failure
/// domain: accepts announcements, relays them to the domain's other entry
/// hosts, sends orders, and distributes the roster.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_FLEETMANAGER_H
#define LIBSERVE_FLEETMANAGER_H

#include <LibFleet/EndpointDirectory.h>
#include <LibFleet/GroupPlanner.h>
#include <LibHTTP/HttpClient.h>
#include <LibIntent/Intent.h>
#include <LibServe/ControlClient.h>
#include <LibServe/Peers.h>
#include <LibTelemetry/LimitReports.h>
#include <LibWire/WireServer.h>
#include <mutex>

namespace carobhinge {

/// Thread-safe.
class FleetManager {
public:
  FleetManager(const boost::asio::any_io_executor &Executor,
               const Settings &LocalSettings,
               Incarnation LocalIncarnationNumber, Peers &Links,
               ControlClient &Control, SharedByteBudget &Budget,
               LimitLog &Limits);

  /// Handles an announcement sent to this host. Adds findings to \p Out.
  void handleAnnouncement(const std::string &Json, Findings &Out);

  /// \p DomainClosed: this failure domain accepts no new work.
  void applyIntent(const Intent &IntentSnapshot, bool DomainClosed);

  [[nodiscard]] std::vector<Target> targets(const ServiceName &Service) const;
  void recordLatency(const Target &From, Duration Latency);

  /// Work outstanding by target name, for the planner's drains, and all
  /// requests in progress or queued, for the other hosts' shares of limits.
  void reportOutstanding(std::map<GroupName, std::uint32_t> Count,
                         std::uint32_t Requests);
  [[nodiscard]] EntryHostPlace place() const;

  /// Call every few tens of milliseconds.
  void tick();

  void addHandlers(std::map<std::string, WireHandler, std::less<>> &Table);

  [[nodiscard]] Roster roster() const;
  [[nodiscard]] bool isPlanner() const;

private:
  struct PendingRelay {
    std::string Json;
    TimePoint ReceivedAt;
  };

  /// Limits of the intent for the endpoints of one service.
  struct EndpointBounds {
    std::uint32_t SlotLimit = 1;
    bool IgnoresFencing = false;
  };

  bool applyAnnouncement(TimePoint Now, Announcement Received, Duration Age);
  void handleRelay(const message::AnnouncementRelay &Message);
  void handleRoster(const message::RosterUpdate &Message);
  void handleDigest(const HostName &From, const message::RosterDigest &Digest);
  void sendRelays(TimePoint Now);
  void sendDigest();
  /// \p Epoch is the one of the grant under which they were planned.
  void performEffects(std::vector<PlannerEffect> Effects, std::uint64_t Epoch);
  void publish(const Roster &NewRoster);
  boost::asio::awaitable<void> sendOrder(SendOrder Effect);
  boost::asio::awaitable<void> recordOrder(RecordOrder Effect,
                                           std::uint64_t Epoch);
  boost::asio::awaitable<void> reportPresence(HostName ControlHost);
  void handlePresenceResult(const message::PresenceResult &Result);
  [[nodiscard]] std::vector<HostName> connectedEntryHosts() const;
  void postToDomain(const std::string &Method, const std::string &Message);

  boost::asio::any_io_executor Executor;
  const HostName Self;
  const FailureDomainName FailureDomain;
  const Incarnation LocalIncarnationNumber;
  const Duration RelayInterval;
  Peers &Links;
  ControlClient &Control;
  HttpClient Client;
  LimitLog &Limits;

  mutable std::mutex Lock;
  EndpointDirectory Directory;
  GroupPlanner Planner;
  std::map<ServiceName, EndpointBounds> BoundsByService;
  std::vector<PendingRelay> Relays;
  /// Epoch of the grant that this process holds; zero if it holds none.
  std::uint64_t GrantEpoch = 0;
  /// Newest epoch reported by a control host, for any planner.
  std::uint64_t NewestEpoch = 0;
  TimePoint NextRelay;
  TimePoint NextMaintenance;
  TimePoint NextPlan;
  std::size_t NextDigestPeer = 0;
};

} // namespace carobhinge

#endif // LIBSERVE_FLEETMANAGER_H
