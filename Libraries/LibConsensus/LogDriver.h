//===- LibConsensus/LogDriver.h - Runs one replica in a process -----------===//
///
/// \file
/// Gives a replica what it has not: a clock, files and a thread. All events go
/// through one queue to one worker thread, which alone touches the replica,
/// its files and the state machine. What arrives while a sync is under way is
/// handled, and made durable, together.
///
/// A failed write or sync ends the vote of this host until it is restarted:
/// the worker goes on answering NotLeader or Lost and handles nothing else.
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
  /// The hosts that hold the first voters; all of them must be up once for
  /// the log to come into being.
  std::vector<HostName> Voters;
  std::filesystem::path Folder;
  ReplicaTimings Timings = {};
  ReplicaBounds Bounds = {};
  /// Called on the worker thread; must not block. May drop messages.
  std::function<void(const HostName &To, const message::ConsensusMessage &)>
      Send;
  /// Must outlive the driver. Used by the worker thread only.
  StateMachine *Machine = nullptr;
  std::uint64_t Seed = 0;
  /// Must outlive the driver; null: the disk of the operating system.
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
  /// What the state machine replied, if committed.
  std::string Reply = {};
  /// Empty if no leader is known.
  HostName LeaderHint = {};
};

struct ReadResult {
  /// Committed: Machine holds everything committed before the read began.
  ProposalStatus Status = ProposalStatus::NotLeader;
  std::uint64_t AppliedIndex = 0;
  /// Not null only if Committed; valid, and not changing, during the call.
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
  /// Hosts that are being brought up to date; known to the leader only.
  std::vector<HostName> Learners = {};
  /// The full number of voters holds the data; known to the leader only.
  bool RepairComplete = false;
  /// Why this host stopped voting, if it did.
  std::string LastError = {};
};

class LogDriver {
public:
  /// Opens the files and starts the worker. \throws DiskError, DamageError
  explicit LogDriver(LogDriverOptions Options);
  LogDriver(const LogDriver &) = delete;
  LogDriver &operator=(const LogDriver &) = delete;
  ~LogDriver();

  /// \p Done is called once, on the worker thread; it must not block.
  void propose(std::string Command, std::function<void(ProposalResult)> Done);

  /// A linearizable read. \p Done as for propose().
  void read(std::function<void(ReadResult)> Done);

  void receive(const HostName &From, const message::ConsensusMessage &Message);
  [[nodiscard]] LogStatus status() const;

  /// Hands leadership to the voter that is most up to date, if leader.
  void transferLeadership();

  /// Asks for voters on exactly \p Hosts; the leader changes them one by one.
  void changeHosts(std::vector<HostName> Hosts);

  /// As Replica::meet.
  void meet(std::vector<HostName> Hosts);

  /// Ends the worker: open proposals are Lost, open reads NotLeader.
  /// Idempotent. Must not be called from a callback.
  void stop();

private:
  class Worker;
  std::unique_ptr<Worker> Running;
};

} // namespace carobhinge

#endif // LIBCONSENSUS_LOGDRIVER_H
