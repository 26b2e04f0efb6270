//===- Tests/State/Wire.h - Links, time and hosts of the state world ------===//
///
/// \file
/// Carries messages and timers between hosts under a hand-turned clock. Link
/// faults are those of the replica cluster, so one cut holds for both. What
/// arrives at a frozen host waits for the thaw; what was meant for an earlier
/// life of a host is dropped.
///
//===----------------------------------------------------------------------===//

#ifndef STATE_WIRE_H
#define STATE_WIRE_H

#include <LibConsensus/ReplicaCluster.h>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace carobhinge::state {

using Action = std::function<void()>;

class Wire {
public:
  Wire(ReplicaCluster &Cluster, std::uint64_t Seed)
      : Cluster(Cluster), Random(Seed) {}

  [[nodiscard]] Duration now() const { return this->Now; }

  /// Runs \p Then on \p Host after \p Delay unless the host dies first.
  void after(Duration Delay, const HostName &Host, Action Then) {
    this->Queue.emplace(
        this->Now + Delay,
        Due{.Host = Host, .Life = this->Lives[Host], .Run = std::move(Then)});
  }

  /// Sends over a link that may lose, repeat, delay and reorder.
  void post(const HostName &From, const HostName &To, const Action &Then) {
    const LinkFaults &Link = this->Cluster.link(From, To);
    if (Link.Cut || this->Random() % 100 < Link.DropPercent)
      return;
    bool Twice = this->Random() % 100 < Link.DuplicatePercent;
    for (int Copy = 0; Copy <= int(Twice); ++Copy)
      this->after(this->delayOf(Link), To, Then);
  }

  /// Sends over an open connection: whole, once, or never.
  void stream(const HostName &From, const HostName &To, Action Then) {
    const LinkFaults &Link = this->Cluster.link(From, To);
    if (!Link.Cut)
      this->after(this->delayOf(Link), To, std::move(Then));
  }

  /// Ends the host's life: nothing under way to it arrives any more.
  void endLife(const HostName &Host) {
    ++this->Lives[Host];
    this->Frozen.erase(Host);
    this->Waiting.erase(Host);
  }
  [[nodiscard]] std::uint64_t life(const HostName &Host) {
    return this->Lives[Host];
  }
  void freeze(const HostName &Host) { this->Frozen.insert(Host); }
  void thaw(const HostName &Host) {
    this->Frozen.erase(Host);
    for (Due &Each : std::exchange(this->Waiting[Host], {}))
      this->Queue.emplace(this->Now, std::move(Each));
  }

  /// Runs what is due up to \p Until, in the order of time.
  void runUntil(Duration Until) {
    while (!this->Queue.empty() && this->Queue.begin()->first <= Until) {
      auto First = this->Queue.begin();
      this->Now = std::max(this->Now, First->first);
      Due Next = std::move(First->second);
      this->Queue.erase(First);
      if (Next.Life != this->Lives[Next.Host])
        continue;
      if (this->Frozen.contains(Next.Host))
        this->Waiting[Next.Host].push_back(std::move(Next));
      else
        Next.Run();
    }
    this->Now = Until;
  }

private:
  struct Due {
    HostName Host;
    std::uint64_t Life = 0;
    Action Run;
  };

  Duration delayOf(const LinkFaults &Link) {
    auto Spread = static_cast<std::uint64_t>(Link.Jitter.count()) + 1;
    return Link.Delay +
           Duration(static_cast<std::int64_t>(this->Random() % Spread));
  }

  ReplicaCluster &Cluster;
  std::mt19937_64 Random;
  Duration Now{};
  std::multimap<Duration, Due> Queue;
  std::map<HostName, std::uint64_t> Lives;
  std::set<HostName> Frozen;
  std::map<HostName, std::vector<Due>> Waiting;
};

} // namespace carobhinge::state

#endif // STATE_WIRE_H
