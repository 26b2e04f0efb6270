//===- Tests/State/SimulatedNetwork.h - Simulated links, timers, clock ----===//
///
/// \file
/// Delivers messages and timers to simulated hosts under a manually advanced
/// clock. It uses the replica cluster's link faults, so that a cut affects
/// both. Events of a frozen host are deferred until it is thawed. Events
/// scheduled for an earlier incarnation of a host are dropped.
///
//===----------------------------------------------------------------------===//

#ifndef STATE_SIMULATEDNETWORK_H
#define STATE_SIMULATEDNETWORK_H

#include <LibConsensus/ReplicaCluster.h>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace carobhinge::state {

using Callback = std::function<void()>;

class SimulatedNetwork {
public:
  SimulatedNetwork(ReplicaCluster &Cluster, std::uint64_t Seed)
      : Cluster(Cluster), Random(Seed) {}

  [[nodiscard]] Duration now() const { return this->Now; }

  /// Runs \p OnDue on \p Host after \p Delay unless its incarnation ends first.
  void after(Duration Delay, const HostName &Host, Callback OnDue) {
    this->Events.emplace(this->Now + Delay,
                         Event{.Host = Host,
                               .Incarnation = this->Incarnations[Host],
                               .OnDue = std::move(OnDue)});
  }

  /// Sends a datagram, which the link may drop, duplicate, delay and reorder.
  void post(const HostName &From, const HostName &To,
            const Callback &OnArrival) {
    const LinkFaults &Link = this->Cluster.link(From, To);
    if (Link.Cut || this->Random() % 100 < Link.DropPercent)
      return;
    bool IsDuplicated = this->Random() % 100 < Link.DuplicatePercent;
    for (int Copy = 0; Copy <= int(IsDuplicated); ++Copy)
      this->after(this->pickDelay(Link), To, OnArrival);
  }

  /// Sends over an open connection, which delivers completely and once, or not
  /// at all.
  void stream(const HostName &From, const HostName &To, Callback OnArrival) {
    const LinkFaults &Link = this->Cluster.link(From, To);
    if (!Link.Cut)
      this->after(this->pickDelay(Link), To, std::move(OnArrival));
  }

  /// Ends the host's incarnation. Pending events for it are dropped.
  void endIncarnation(const HostName &Host) {
    ++this->Incarnations[Host];
    this->Frozen.erase(Host);
    this->DeferredEvents.erase(Host);
  }
  [[nodiscard]] std::uint64_t incarnation(const HostName &Host) {
    return this->Incarnations[Host];
  }
  void freeze(const HostName &Host) { this->Frozen.insert(Host); }
  void thaw(const HostName &Host) {
    this->Frozen.erase(Host);
    for (Event &Each : std::exchange(this->DeferredEvents[Host], {}))
      this->Events.emplace(this->Now, std::move(Each));
  }

  /// Runs all events due by \p EndTime in order of their time.
  void runUntil(Duration EndTime) {
    while (!this->Events.empty() && this->Events.begin()->first <= EndTime) {
      auto First = this->Events.begin();
      this->Now = std::max(this->Now, First->first);
      Event Next = std::move(First->second);
      this->Events.erase(First);
      if (Next.Incarnation != this->Incarnations[Next.Host])
        continue;
      if (this->Frozen.contains(Next.Host))
        this->DeferredEvents[Next.Host].push_back(std::move(Next));
      else
        Next.OnDue();
    }
    this->Now = EndTime;
  }

private:
  struct Event {
    HostName Host;
    std::uint64_t Incarnation = 0;
    Callback OnDue;
  };

  Duration pickDelay(const LinkFaults &Link) {
    auto DelayRange = static_cast<std::uint64_t>(Link.Jitter.count()) + 1;
    return Link.Delay +
           Duration(static_cast<std::int64_t>(this->Random() % DelayRange));
  }

  ReplicaCluster &Cluster;
  std::mt19937_64 Random;
  Duration Now{};
  std::multimap<Duration, Event> Events;
  std::map<HostName, std::uint64_t> Incarnations;
  std::set<HostName> Frozen;
  std::map<HostName, std::vector<Event>> DeferredEvents;
};

} // namespace carobhinge::state

#endif // STATE_SIMULATEDNETWORK_H
