//===- LibConsensus/ReplicaRunner.h - Carries out a replica's effects -----===//
///
/// \file
/// One replica with its files and its state machine. It keeps the order that
/// safety needs: records are synced before anything that depends on them is
/// sent, applied or answered. It has no thread and no clock, so that the
/// driver and the tests run the very same code.
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

/// Learns what a replica does to the world outside.
class ReplicaListener {
public:
  ReplicaListener() = default;
  ReplicaListener(const ReplicaListener &) = delete;
  ReplicaListener &operator=(const ReplicaListener &) = delete;
  virtual ~ReplicaListener() = default;

  virtual void send(const HostName &To,
                    const message::ConsensusMessage &Message) = 0;
  /// \p Reply is empty for entries that hold no command.
  virtual void applied(const message::Entry &Entry, std::string Reply) = 0;
  virtual void readDone(std::uint64_t Id, bool Ready) = 0;
  virtual void leadershipLost() = 0;
};

class ReplicaRunner {
public:
  /// \p Machine and \p Listener must outlive the runner.
  /// \throws DiskError, DamageError
  ReplicaRunner(ReplicaOptions Options, LogStoreOptions StoreOptions,
                StateMachine &Machine, ReplicaListener &Listener,
                TimePoint Now);

  /// For events; run() afterwards.
  [[nodiscard]] Replica &replica() { return this->Decisions; }
  [[nodiscard]] const Replica &replica() const { return this->Decisions; }

  /// Carries out effects until there are none. After an exception nothing is
  /// known about the disk, and the runner must not be used any more.
  /// \throws DiskError
  void run(TimePoint Now);

  [[nodiscard]] std::uint64_t applied() const { return this->Applied; }

private:
  void sync();
  void step(std::string_view Name) const;
  void carryOut(const PersistEffect &Persist);
  void carryOut(const SendEffect &Send);
  void carryOut(const ApplyEffect &Apply);
  void carryOut(const InstallSnapshotEffect &Install);
  void carryOut(const TakeSnapshotEffect &Take);
  void carryOut(const ReadReadyEffect &Ready);
  void carryOut(const ReadFailedEffect &Failed);
  void carryOut(const LeadershipLostEffect &Lost);

  StateMachine &Machine;
  ReplicaListener &Listener;
  StepObserver Observer;
  ReplicaStore Store;
  /// What the state machine holds. Set while Decisions is made.
  std::uint64_t Applied = 0;
  Replica Decisions;
  /// Records, and among them a term or vote, that are not synced yet.
  bool Unsynced = false;
  bool HardUnsynced = false;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_REPLICARUNNER_H
