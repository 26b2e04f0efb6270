//===- LibServe/ControlHost.h - The replicated logs of a control host -----===//
///
/// \file
/// Runs log 0 and the ledger shards' logs of one voter, and answers the calls
/// of other hosts about them.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_CONTROLHOST_H
#define LIBSERVE_CONTROLHOST_H

#include <LibConsensus/LogRecovery.h>
#include <LibConsensus/ReopeningLog.h>
#include <LibFleet/PlannerMonitor.h>
#include <LibLedger/Ledger.h>
#include <LibServe/ControlState.h>
#include <LibServe/Peers.h>
#include <LibServe/Serve.pb.h>
#include <LibStore/DataFolder.h>
#include <LibStore/PosixDisk.h>
#include <LibWire/WireServer.h>
#include <mutex>
#include <span>

namespace carobhinge {

/// Number of the log with the intent and the planner grants.
inline constexpr std::uint32_t ControlLog = 0;
/// Number of the first ledger shard's log.
inline constexpr std::uint32_t FirstLedgerLog = 1;

struct ControlHostCallbacks {
  std::function<void(std::uint64_t Version, const std::string &Text)>
      IntentAccepted;
  /// A linearizable read that began at \p ReadStartedAt confirmed that all
  /// versions accepted before it were announced.
  std::function<void(TimePoint ReadStartedAt)> IntentConfirmed;
  /// Called on the thread of a log.
  RefusalObserver MessageRefused = {};
};

class ControlHost {
public:
  /// Opens the data folder. \p Files must outlive the object; null selects the
  /// disk of the operating system. \throws what LibStore throws.
  ControlHost(const Settings &LocalSettings, Peers &Links,
              ControlHostCallbacks Callbacks, Disk *Files = nullptr);
  ~ControlHost();

  boost::asio::awaitable<message::ProposeResult>
  propose(message::ProposeCall Call);
  boost::asio::awaitable<message::OpenResult> open(message::OpenCall Call);
  boost::asio::awaitable<message::HistoryResult> history();
  boost::asio::awaitable<message::PresenceResult>
  presence(HostName From, message::PresenceCall Call);

  /// Requests \p Hosts as the voters of every log that this host leads.
  /// \returns the number of those logs.
  std::uint32_t changeVoters(std::span<const HostName> Hosts);

  /// Adds this host's handlers to the table of a WireServer.
  void addHandlers(std::map<std::string, WireHandler, std::less<>> &Table);

  /// Call about once a second. Reassigns planner grants where needed and
  /// confirms that the intent is current.
  void tick();

  /// Proposes, in each ledger shard that this host leads, to delete the
  /// service's dated records older than \p RetentionDays.
  void prune(const ServiceName &Service, std::uint32_t RetentionDays);

  /// Call about as often as tick(), from one thread at a time. Opens logs again
  /// that failed, and blocks while it reads them from the disk.
  void recover(TimePoint Now);

  [[nodiscard]] std::vector<LogStatus> status() const;
  void transferLeadership();
  /// Returns whether this host leads any log.
  [[nodiscard]] bool leads() const;
  void stop();

private:
  struct HostedLog {
    explicit HostedLog(LogDriverOptions Options,
                       ReopeningLog::MachineFactory MakeMachine);
    std::string Folder;
    ReopeningLog Log;
    LogRecovery Recovery;
  };

  /// Null if there is no such log.
  [[nodiscard]] std::shared_ptr<LogDriver> log(std::uint32_t Number) const;
  void monitorPlanners();

  ControlHostCallbacks Callbacks;
  PosixDisk DefaultDisk;
  DataFolder Folder;
  /// By log number.
  std::vector<std::unique_ptr<HostedLog>> Logs;

  std::mutex MonitorLock;
  /// Set only while this host leads the control log.
  std::unique_ptr<PlannerMonitor> Monitor;
  /// As of the last linearizable read; read by presence().
  PlannerGrants CachedGrants;
};

} // namespace carobhinge

#endif // LIBSERVE_CONTROLHOST_H
