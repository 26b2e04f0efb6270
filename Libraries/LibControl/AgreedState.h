//===- LibControl/AgreedState.h - The state that control hosts agree on ---===//
///
/// \file
/// Drives the replicated log of the control register and offers it to the
/// coroutines of the process: proposals, confirmations by a majority, and the
/// newest committed state. Apart from the log's own worker thread, everything
/// happens on the executor's thread.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONTROL_AGREEDSTATE_H
#define LIBCONTROL_AGREEDSTATE_H

#include <LibCatalog/ControlRegister.h>
#include <LibConsensus/LogDriver.h>
#include <LibCore/Signal.h>
#include <LibSettings/HostSettings.h>
#include <LibStore/PosixDisk.h>
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace carobhinge {

/// A catalog's text may have this many bytes; callers are bounded by less.
inline constexpr std::size_t MostCatalogBytes = std::size_t(8) * 1024 * 1024;

class AgreedState {
public:
  using Sender =
      std::function<void(const HostName &, const message::ConsensusMessage &)>;
  using Observer = std::function<void(const message::RegisterState &)>;

  /// Opens the files in the data folder. \p First are the hosts of the first
  /// voters. \p Files must outlive the object; null: the operating system's.
  /// \throws DiskError, DamageError
  AgreedState(const boost::asio::any_io_executor &Executor,
              const HostSettings &Own, std::vector<HostName> First,
              const Sender &Send, Observer Changed, Disk *Files = nullptr);
  ~AgreedState();

  void receive(const HostName &From, const message::ConsensusMessage &Message);

  /// Committed: the command is in force and will stay so.
  boost::asio::awaitable<ProposalStatus>
  propose(message::RegisterCommand Command);

  /// Whether a majority has confirmed, after this call began, that state()
  /// is the newest. Calls that come together share one confirmation.
  boost::asio::awaitable<bool> confirm();

  [[nodiscard]] const message::RegisterState &state() const {
    return this->Newest;
  }
  [[nodiscard]] LogStatus status() const { return this->Log->status(); }
  void changeVoters(std::vector<HostName> Hosts) {
    this->Log->changeHosts(std::move(Hosts));
  }
  /// Control hosts that may have a part in the agreement.
  void meet(std::vector<HostName> Hosts) { this->Log->meet(std::move(Hosts)); }
  void transferLeadership() { this->Log->transferLeadership(); }
  void stop() { this->Log->stop(); }

  /// A log whose disk failed takes no further part. Begins anew with what the
  /// disk holds, as a restart of the process would. \returns what failed, and
  /// empty if all is well.
  std::string mend();

private:
  /// A confirmation that calls wait for.
  struct Round {
    explicit Round(const boost::asio::any_io_executor &Executor)
        : Done(Executor) {}
    Signal Done;
    bool Confirmed = false;
  };

  void beginRound();
  void open();

  boost::asio::any_io_executor Executor;
  Observer Changed;
  /// Its revision never goes down, also while a log is read again.
  message::RegisterState Newest;
  PosixDisk DefaultDisk;
  LogDriverOptions Options;
  std::unique_ptr<ControlRegister> Register;
  std::unique_ptr<LogDriver> Log;
  /// Begun; later calls can't rely on it.
  std::shared_ptr<Round> Running;
  /// Begins when the running one has ended.
  std::shared_ptr<Round> Next;
};

} // namespace carobhinge

#endif // LIBCONTROL_AGREEDSTATE_H
