//===- LibControl/EntrySubscriptions.h - Updates for entry hosts ----------===//
///
/// \file
/// Each entry host keeps one open call to the leading control host, through
/// which it gets the current state and then every change.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_ENTRYSUBSCRIPTIONS_H
#define LIBCONTROL_ENTRYSUBSCRIPTIONS_H

#include <LibControl/ControlHosts.h>
#include <LibControl/EntryLoads.h>
#include <LibControl/EntryPeers.h>
#include <LibControl/GroupCoordinator.h>
#include <LibControl/PromptRefusals.h>
#include <LibControl/ReplicatedState.h>
#include <LibWire/WireServer.h>
#include <functional>

namespace carobhinge {

class EntrySubscriptions {
public:
  EntrySubscriptions(const boost::asio::any_io_executor &Executor,
                     ReplicatedState &State, GroupCoordinator &Coordinator,
                     ControlHosts &Hosts, PromptRefusals &Refusals,
                     std::function<void()> OnStall,
                     std::function<bool()> IsLeader)
      : Executor(Executor), State(State), Coordinator(Coordinator),
        Hosts(Hosts), Refusals(Refusals), OnStall(std::move(OnStall)),
        IsLeader(std::move(IsLeader)),
        Changed(std::make_shared<Signal>(Executor)) {}

  /// Wakes every open call to send the changes.
  void notify();

  /// Handlers of the two calls of entry hosts.
  boost::asio::awaitable<void> handleWatch(WireExchange &Exchange);
  boost::asio::awaitable<void> handlePulse(WireExchange &Exchange);

  [[nodiscard]] int count() const {
    return static_cast<int>(this->OpenCalls.size());
  }

private:
  /// State that was sent through one open call so far.
  struct SentState {
    std::uint64_t Revision = 0;
    std::uint64_t Version = 0;
    std::uint64_t TargetRevision = 0;
    std::uint64_t SuspectRevision = 0;
    /// True if the complete list of targets was sent.
    bool AllTargets = false;
    std::vector<HostName> ControlHosts;
    int EntryHosts = 0;
    int EntryIndex = 0;
    std::vector<EntryPeer> Peers;
  };
  [[nodiscard]] int findIndex(const HostName &Host) const;
  bool fillUpdate(message::WatchUpdate &Update, const HostName &To,
                  SentState &LastSent) const;
  /// Records which engines still made progress, as the sender of \p Call saw.
  void recordProgress(TimePoint Now, const message::PulseCall &Call);
  void fillTotals(TimePoint Now, message::PulseResult &Result);

  boost::asio::any_io_executor Executor;
  ReplicatedState &State;
  GroupCoordinator &Coordinator;
  ControlHosts &Hosts;
  PromptRefusals &Refusals;
  /// Called when an entry host reports a stalled target.
  std::function<void()> OnStall;
  /// Returns whether a majority confirmed recently that this host leads. A
  /// partitioned leader still considers itself the leader and would otherwise
  /// keep entry hosts that can reach both sides of the partition.
  std::function<bool()> IsLeader;
  /// Fired and replaced at every change.
  std::shared_ptr<Signal> Changed;
  /// Number of open calls by entry host.
  std::map<HostName, int> OpenCalls;
  EntryLoads Loads;
  EntryPeers Peers;
};

} // namespace carobhinge

#endif // LIBCONTROL_ENTRYSUBSCRIPTIONS_H
