//===- LibConsensus/ReplicaRunner.h - Executes a replica's effects --------===//
///
/// \file
/// Combines a replica with its files and its state machine, and enforces the
/// order required for safety: records are synced before anything that depends
/// on them is sent, applied or answered. It has no thread or clock, so that the
/// driver and the tests run the same code.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_REPLICARUNNER_H
#define LIBCONSENSUS_REPLICARUNNER_H

#include <LibConsensus/Replica.h>
#include <LibConsensus/ReplicaStore.h>
#include <LibConsensus/StateMachine.h>
#include <string>
#include <string_view>

namespace carobhinge {

/// Receives a replica's messages, results and loss of leadership.
class ReplicaListener {
public:
  ReplicaListener() = default;
  ReplicaListener(const ReplicaListener &) = delete;
  ReplicaListener &operator=(const ReplicaListener &) = delete;
  virtual ~ReplicaListener() = default;

  virtual void send(const HostName &To,
                    const message::ConsensusMessage &Message) = 0;
  /// \p Reply is empty for entries that hold no command.
  virtual void onEntryApplied(const message::Entry &Entry,
                              std::string Reply) = 0;
  virtual void onReadCompleted(std::uint64_t Id, bool Ready) = 0;
  virtual void onLeadershipLost() = 0;
};

class ReplicaRunner {
public:
  /// \p Machine and \p Listener must outlive the runner.
  /// \throws DiskError, CorruptionError
  ReplicaRunner(ReplicaOptions Options, LogStoreOptions StoreOptions,
                StateMachine &Machine, ReplicaListener &Listener,
                TimePoint Now);

  /// For passing in events; call run() afterwards.
  [[nodiscard]] Replica &replica() { return this->Core; }
  [[nodiscard]] const Replica &replica() const { return this->Core; }

  /// Executes effects until there are none. After an exception the state of the
  /// disk is unknown and the runner must not be used any more.
  /// \throws DiskError
  void run(TimePoint Now);

  [[nodiscard]] std::uint64_t appliedIndex() const {
    return this->AppliedIndex;
  }

private:
  void sync();
  void notifyObserver(std::string_view Name) const;
  void execute(const PersistEffect &Persist);
  void execute(const SendEffect &Send);
  void execute(const ApplyEffect &Apply);
  void execute(const InstallSnapshotEffect &Install);
  void execute(const TakeSnapshotEffect &Take);
  void execute(const ReadReadyEffect &Ready);
  void execute(const ReadFailedEffect &Failed);
  void execute(const LeadershipLostEffect &Lost);

  StateMachine &Machine;
  ReplicaListener &Listener;
  StepObserver Observer;
  ReplicaStore Store;
  /// Index of the last entry applied to the state machine. Set while Core is
  /// initialized.
  std::uint64_t AppliedIndex = 0;
  Replica Core;
  /// True if some records are not synced yet, and if a hard state (term or
  /// vote) is among them.
  bool HasUnsyncedRecords = false;
  bool HasUnsyncedHardState = false;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_REPLICARUNNER_H
