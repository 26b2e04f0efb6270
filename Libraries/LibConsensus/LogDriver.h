//===- LibConsensus/LogDriver.h - Runs one replica in a process -----------===//
///
/// \file
/// Provides a replica with a clock, files and a thread. All events pass
/// through one queue to one worker thread, the only thread that accesses the
/// replica, its files and the state machine. Events that arrive during a sync
/// are handled as one batch and made durable by one sync.
///
/// After a failed write or sync the host does not vote again until its log is
/// opened again: the worker rejects all requests with NotLeader or Lost and
/// processes no other events.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCONSENSUS_LOGDRIVER_H
#define LIBCONSENSUS_LOGDRIVER_H

#include <LibConsensus/Consensus.pb.h>
#include <LibConsensus/ReplicaOptions.h>
#include <LibConsensus/StateMachine.h>
#include <LibCore/Names.h>
#include <LibStore/Disk.h>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace carobhinge {

struct LogDriverOptions {
  std::uint32_t Log = 0;
  HostName Self;
  /// The hosts of the initial voters. The log is created only once all of them
  /// are up.
  std::vector<HostName> Voters;
  std::filesystem::path Folder;
  ReplicaTimings Timings = {};
  ReplicaBounds Bounds = {};
  /// Called on the worker thread. Must not block; may drop messages.
  std::function<void(const HostName &To, const message::ConsensusMessage &)>
      Send;
  /// Must outlive the driver. Used by the worker thread only.
  StateMachine *Machine = nullptr;
  /// Called on the worker thread. Must not block.
  RefusalObserver OnRefused = {};
  std::uint64_t Seed = 0;
  /// Must outlive the driver. Null selects the operating system's file system.
  Disk *Files = nullptr;
};

enum class ProposalStatus {
  Committed,
  /// The command is not in the log and never will be.
  NotLeader,
  /// The command may or may not be committed.
  Lost,
};

struct ProposalResult {
  ProposalStatus Status = ProposalStatus::NotLeader;
  std::uint64_t Index = 0;
  /// The state machine's reply, if committed.
  std::string Reply = {};
  /// Empty if no leader is known.
  HostName LeaderHint = {};
};

struct ReadResult {
  /// If Committed, Machine includes everything committed before the read began.
  ProposalStatus Status = ProposalStatus::NotLeader;
  std::uint64_t AppliedIndex = 0;
  /// Null unless Committed. Valid and unchanged during the callback only.
  const StateMachine *Machine = nullptr;
  HostName LeaderHint = {};
};

struct LogStatus {
  Role Current = Role::Blank;
  std::uint64_t Term = 0;
  HostName Leader = {};
  std::uint64_t Commit = 0;
  std::uint64_t Applied = 0;
  std::vector<HostName> Voters = {};
  /// Hosts that should hold a voter each; differ from Voters during a change.
  std::vector<HostName> RequestedHosts = {};
  /// Voters and RequestedHosts are known to be committed.
  bool VotersCommitted = false;
  /// Hosts that are catching up with the log; filled in on the leader only.
  std::vector<HostName> Learners = {};
  /// Every host that should hold a voter has one with all data; set on the
  /// leader only.
  bool RepairComplete = false;
  /// The disk error after which this host stopped voting; empty if none.
  std::string LastError = {};
};

class LogDriver {
public:
  /// Opens the files and starts the worker thread.
  /// \throws DiskError, CorruptionError
  explicit LogDriver(LogDriverOptions Options);
  LogDriver(const LogDriver &) = delete;
  LogDriver &operator=(const LogDriver &) = delete;
  ~LogDriver();

  /// \p Done is called exactly once and must not block. It runs on the worker
  /// thread, or on the calling thread if the event queue is full or stopped.
  void propose(std::string Command, std::function<void(ProposalResult)> Done);

  /// Performs a linearizable read. \p Done is called as for propose().
  void read(std::function<void(ReadResult)> Done);

  void receive(const HostName &From, const message::ConsensusMessage &Message);
  [[nodiscard]] LogStatus status() const;

  /// If this host leads, transfers leadership to an up-to-date voter.
  void transferLeadership();

  /// Requests voters on exactly \p Hosts; the leader changes them one by one.
  void changeHosts(std::vector<HostName> Hosts);

  /// See Replica::setContactHosts().
  void setContactHosts(std::vector<HostName> Hosts);

  /// Stops the worker thread. Open proposals complete as Lost, open reads as
  /// NotLeader. Idempotent. Must not be called from a callback.
  void stop();

private:
  class Worker;
  std::unique_ptr<Worker> Impl;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_LOGDRIVER_H
