//===- LibControl/ReplicatedState.h - State shared by control hosts -------===//
///
/// \file
/// Runs the replicated log of the control state machine and gives the
/// coroutines of the process access to it: proposals, confirmations by a
/// majority, and the newest committed state. Apart from the log's own worker
/// thread, everything runs on the executor's thread.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_REPLICATEDSTATE_H
#define LIBCONTROL_REPLICATEDSTATE_H

#include <LibCatalog/ControlStateMachine.h>
#include <LibConsensus/ReopeningLog.h>
#include <LibCore/Signal.h>
#include <LibSettings/HostSettings.h>
#include <LibStore/PosixDisk.h>
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace carobhinge {

/// Upper bound on the size of a catalog's text. Callers have a smaller bound.
inline constexpr std::size_t MaxCatalogBytes = std::size_t(8) * 1024 * 1024;

class ReplicatedState {
public:
  using Sender =
      std::function<void(const HostName &, const message::ConsensusMessage &)>;
  using Observer = std::function<void(const message::RegisterState &)>;

  /// Locks the data folder and opens the files in it. \p InitialVoters are the
  /// hosts of the first voters. \p Files must outlive the object; null selects
  /// the disk of the operating system. \p OnRefused is called on the thread of
  /// the log. \throws DiskError, CorruptionError, DataFolderError
  ReplicatedState(const boost::asio::any_io_executor &Executor,
                  const HostSettings &Settings,
                  std::vector<HostName> InitialVoters, const Sender &Send,
                  Observer OnChange, Disk *Files = nullptr,
                  RefusalObserver OnRefused = {});
  ~ReplicatedState();

  void receive(const HostName &From, const message::ConsensusMessage &Message);

  /// Committed means that the command is in effect and never reverted.
  boost::asio::awaitable<ProposalStatus>
  propose(message::RegisterCommand Command);

  /// \returns whether a majority has confirmed, after this call began, that
  /// state() is the newest. Concurrent calls share one confirmation.
  boost::asio::awaitable<bool> confirm();

  [[nodiscard]] const message::RegisterState &state() const {
    return this->LatestState;
  }
  [[nodiscard]] LogStatus status() const {
    return this->Log->driver()->status();
  }
  void changeVoters(std::vector<HostName> Hosts) {
    this->Log->driver()->changeHosts(std::move(Hosts));
  }
  /// Sets the control hosts that may hold a replica of the log.
  void setContactHosts(std::vector<HostName> Hosts) {
    this->Log->driver()->setContactHosts(std::move(Hosts));
  }
  void transferLeadership() { this->Log->driver()->transferLeadership(); }
  void stop() { this->Log->stop(); }

  /// A replica whose disk failed no longer takes part in the log. Reopens the
  /// log from the disk, as a restart of the process would. \returns the error
  /// that it found, or an empty string if the log works.
  // FIXME: Reading a slow disk here blocks the calls of other hosts.
  std::string recover() { return this->Log->recover(); }

private:
  /// One confirmation by a majority, shared by all calls that wait for it.
  struct ConfirmationRound {
    explicit ConfirmationRound(const boost::asio::any_io_executor &Executor)
        : Done(Executor) {}
    Signal Done;
    bool Confirmed = false;
  };

  void startNextRound();
  std::unique_ptr<StateMachine> makeMachine();

  boost::asio::any_io_executor Executor;
  Observer OnChange;
  /// The revision never decreases, not even while a reopened log is replayed.
  message::RegisterState LatestState;
  PosixDisk DefaultDisk;
  /// Held until the log has stopped.
  std::unique_ptr<DiskLock> FolderLock;
  std::unique_ptr<ReopeningLog> Log;
  /// In progress; calls that begin later can't use its result.
  std::shared_ptr<ConfirmationRound> ActiveRound;
  /// Starts when ActiveRound has ended.
  std::shared_ptr<ConfirmationRound> NextRound;
};

} // namespace carobhinge

#endif // LIBCONTROL_REPLICATEDSTATE_H
