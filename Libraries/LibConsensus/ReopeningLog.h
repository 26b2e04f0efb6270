//===- LibConsensus/ReopeningLog.h - A log that outlives its failures -----===//
///
/// \file
/// A replica whose disk or state machine failed no longer takes part in its
/// log. This class opens it again from the disk, with a new state machine, as a
/// restart of the process would. Thread-safe.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_REOPENINGLOG_H
#define LIBCONSENSUS_REOPENINGLOG_H

#include <LibConsensus/LogDriver.h>
#include <mutex>

namespace carobhinge {

class ReopeningLog {
public:
  using MachineFactory = std::function<std::unique_ptr<StateMachine>()>;

  /// Opens the log. Options.Machine is ignored.
  /// \throws DiskError, CorruptionError
  ReopeningLog(LogDriverOptions Options, MachineFactory MakeMachine);
  ~ReopeningLog() { this->stop(); }
  ReopeningLog(const ReopeningLog &) = delete;
  ReopeningLog &operator=(const ReopeningLog &) = delete;

  /// The log as it was opened last. Callbacks of the log must not hold it: its
  /// last holder waits for their thread.
  [[nodiscard]] std::shared_ptr<LogDriver> driver() const;

  /// Opens the log again if it failed and was not stopped. Blocks while it
  /// reads the disk. \returns the error that it found, or an empty string if
  /// the log works.
  std::string recover();

  void stop();

private:
  /// The members are destroyed in the opposite order.
  struct OpenLog {
    explicit OpenLog(LogDriverOptions Options,
                     std::unique_ptr<StateMachine> NewMachine);
    std::unique_ptr<StateMachine> Machine;
    LogDriver Driver;
  };

  const LogDriverOptions Options;
  const MachineFactory MakeMachine;
  /// Held while the log is opened or stopped; guards Stopped.
  std::mutex OpenLock;
  bool Stopped = false;
  /// Guards Current.
  mutable std::mutex Lock;
  std::shared_ptr<OpenLog> Current;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_REOPENINGLOG_H
