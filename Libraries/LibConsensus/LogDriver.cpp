//===- LibConsensus/LogDriver.cpp - Runs one replica in a process ---------===//

#include <LibConsensus/LogDriver.h>
#include <LibConsensus/LogEventBatch.h>
#include <LibConsensus/ReplicaRunner.h>
#include <LibStore/PosixDisk.h>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <stdexcept>
#include <thread>
#include <utility>

namespace carobhinge {

/// Ticks of the replica in one heartbeat interval.
static constexpr int TicksPerHeartbeat = 2;

/// Capacity of the event queue; requests beyond it are refused and messages
/// dropped.
static constexpr std::size_t MaxQueuedEvents = 65536;

/// The worker thread, its event queue and the state that only this thread
/// accesses.
class LogDriver::Worker : public ReplicaListener {
public:
  explicit Worker(LogDriverOptions Options);
  ~Worker() override { this->stop(); }

  /// The event is handled on the worker thread. It is refused instead if the
  /// queue is full, the worker has stopped or the disk has failed.
  void post(LogEvent NewEvent);
  void stop();

  void propose(std::string Command, std::function<void(ProposalResult)> Done);
  void read(std::function<void(ReadResult)> Done);
  [[nodiscard]] LogStatus status();
  /// For use on the worker thread only.
  ReplicaRunner &runner() { return this->Runner; }

  void send(const HostName &To,
            const message::ConsensusMessage &Message) override;
  void onEntryApplied(const message::Entry &Entry, std::string Reply) override;
  void onReadCompleted(std::uint64_t Id, bool Ready) override;
  void onLeadershipLost() override;

private:
  struct OpenProposal {
    std::uint64_t Term = 0;
    std::function<void(ProposalResult)> Done;
  };

  void work();
  bool handleBatch();
  void publishStatus(TimePoint Now);
  void fail(const std::string &Reason);
  void refuseAll();
  [[nodiscard]] Duration tickInterval() const {
    return this->Options.Timings.Heartbeat / TicksPerHeartbeat;
  }

  LogDriverOptions Options;
  PosixDisk DefaultDisk;

  std::mutex Lock;
  std::condition_variable Wake;
  /// Guarded by Lock, as are PublishedStatus and Stopping.
  std::deque<LogEvent> Queue;
  LogStatus PublishedStatus;
  bool Stopping = false;

  // Accessed by the worker thread only.
  ReplicaRunner Runner;
  bool Failed = false;
  std::string Error;
  std::map<std::uint64_t, OpenProposal> Proposals;
  std::map<std::uint64_t, std::function<void(ReadResult)>> Reads;
  std::uint64_t LastRead = 0;

  std::mutex StopLock;
  std::thread Thread;
};

static ReplicaOptions replicaOptions(const LogDriverOptions &Options) {
  if (Options.Voters.empty() || Options.Machine == nullptr || !Options.Send)
    throw std::invalid_argument(
        "a log needs voters, a state machine and a send function");
  // A restarted process with the same seed must not generate the same disk
  // identities again.
  std::random_device Entropy;
  std::uint64_t MixedSeed =
      Options.Seed ^ (std::uint64_t(Entropy()) << 32U) ^ Entropy();
  return {.Log = Options.Log,
          .Self = Options.Self,
          .Voters = Options.Voters,
          .Timings = Options.Timings,
          .Bounds = Options.Bounds,
          .Seed = MixedSeed,
          .Observer = {},
          .OnRefused = Options.OnRefused};
}

LogDriver::Worker::Worker(LogDriverOptions InitialOptions)
    : Options(std::move(InitialOptions)),
      Runner(replicaOptions(this->Options),
             {.Files = this->Options.Files != nullptr ? this->Options.Files
                                                      : &this->DefaultDisk,
              .Folder = this->Options.Folder},
             *this->Options.Machine, *this, monotonicNow()) {
  this->publishStatus(monotonicNow());
  this->Thread = std::thread([this] { this->work(); });
}

void LogDriver::Worker::post(LogEvent NewEvent) {
  {
    std::lock_guard Guard(this->Lock);
    if (!this->Stopping && this->Queue.size() < MaxQueuedEvents) {
      this->Queue.push_back(std::move(NewEvent));
      this->Wake.notify_one();
      return;
    }
  }
  NewEvent.Refuse();
}

void LogDriver::Worker::stop() {
  std::lock_guard Guard(this->StopLock);
  {
    std::lock_guard Inner(this->Lock);
    this->Stopping = true;
    this->Wake.notify_one();
  }
  if (this->Thread.joinable())
    this->Thread.join();
}

void LogDriver::Worker::work() {
  while (this->handleBatch()) {
  }
  this->refuseAll();
}

/// Handles the queued events as one batch, with one sync for all of them.
/// \returns false once the worker should stop.
bool LogDriver::Worker::handleBatch() {
  std::deque<LogEvent> Events;
  {
    std::unique_lock Guard(this->Lock);
    this->Wake.wait_for(Guard, this->tickInterval(),
                        [&] { return this->Stopping || !this->Queue.empty(); });
    if (this->Stopping)
      return false;
    std::uint64_t MaxBatchSize = this->Options.Bounds.ProposalsPerBatch;
    while (!this->Queue.empty() && Events.size() < MaxBatchSize) {
      Events.push_back(std::move(this->Queue.front()));
      this->Queue.pop_front();
    }
  }
  LogEventBatch Batch(std::move(Events));
  if (this->Failed) {
    Batch.refuse();
    return true;
  }
  try {
    Batch.handle();
    // Not before: the handlers have read the clock too.
    TimePoint Now = monotonicNow();
    this->Runner.replica().tick(Now);
    this->Runner.run(Now);
    this->publishStatus(Now);
  } catch (const std::exception &Exception) {
    this->fail(Exception.what());
    Batch.refuse();
  }
  return true;
}

/// After a failed write the state of the disk is unknown, and after any other
/// exception the state of the replica. It must neither vote nor acknowledge
/// entries until it has been read again, and the write is not retried. Whoever
/// is told that a proposal is lost finds the reason in the status.
void LogDriver::Worker::fail(const std::string &Reason) {
  this->Failed = true;
  try {
    this->Error = Reason;
    this->publishStatus(monotonicNow());
  } catch (...) {
    // Without memory for a whole status, the failure is still told.
    std::lock_guard Guard(this->Lock);
    this->PublishedStatus.Current = Role::Learner;
    this->PublishedStatus.Leader.clear();
    this->PublishedStatus.RepairComplete = false;
    this->PublishedStatus.LastError = "log failed";
  }
  this->refuseAll();
}

/// Answers one of several that wait. What \p Done throws takes no answer from
/// the others.
template <typename Result>
static void answer(const std::function<void(Result)> &Done,
                   Result Answer) noexcept {
  try {
    Done(std::move(Answer));
  } catch (...) {
    return;
  }
}

void LogDriver::Worker::refuseAll() {
  this->onLeadershipLost();
  auto OpenReads = std::exchange(this->Reads, {});
  for (auto &[Id, Done] : OpenReads)
    answer(Done, ReadResult{.Status = ProposalStatus::NotLeader});
  std::deque<LogEvent> RemainingEvents;
  {
    std::lock_guard Guard(this->Lock);
    RemainingEvents.swap(this->Queue);
  }
  LogEventBatch(std::move(RemainingEvents)).refuse();
}

void LogDriver::Worker::propose(std::string Command,
                                std::function<void(ProposalResult)> Done) {
  auto Position = this->Runner.replica().propose(
      monotonicNow(),
      milliseconds(std::chrono::system_clock::now().time_since_epoch()),
      std::move(Command));
  if (!Position) {
    Done({.Status = ProposalStatus::NotLeader,
          .LeaderHint = this->Runner.replica().leader()});
    return;
  }
  // An open proposal at the same index was overwritten in a later term.
  auto Replaced = this->Proposals.extract(Position->Index);
  this->Proposals[Position->Index] = {.Term = Position->Term,
                                      .Done = std::move(Done)};
  if (Replaced)
    Replaced.mapped().Done(
        {.Status = ProposalStatus::Lost, .Index = Position->Index});
}

void LogDriver::Worker::read(std::function<void(ReadResult)> Done) {
  std::uint64_t Id = ++this->LastRead;
  this->Reads[Id] = std::move(Done);
  this->Runner.replica().read(monotonicNow(), Id);
}

LogStatus LogDriver::Worker::status() {
  std::lock_guard Guard(this->Lock);
  return this->PublishedStatus;
}

void LogDriver::Worker::publishStatus(TimePoint Now) {
  const Replica &Node = this->Runner.replica();
  LogStatus NewStatus{.Current = this->Failed ? Role::Learner : Node.role(),
                      .Term = Node.term(),
                      .Leader = this->Failed ? HostName() : Node.leader(),
                      .Commit = Node.commitIndex(),
                      .Applied = this->Runner.appliedIndex(),
                      .VotersCommitted = Node.isConfigurationCommitted(),
                      .Learners = Node.learners(),
                      .RepairComplete =
                          !this->Failed && Node.repairComplete(Now),
                      .LastError = this->Error};
  for (const message::Member &Voter : Node.log().configuration().voters())
    NewStatus.Voters.push_back(Voter.host());
  const auto &Hosts = Node.log().configuration().hosts();
  NewStatus.RequestedHosts.assign(Hosts.begin(), Hosts.end());
  std::lock_guard Guard(this->Lock);
  this->PublishedStatus = std::move(NewStatus);
}

void LogDriver::Worker::send(const HostName &To,
                             const message::ConsensusMessage &Message) {
  this->Options.Send(To, Message);
}

void LogDriver::Worker::onEntryApplied(const message::Entry &Entry,
                                       std::string Reply) {
  auto Found = this->Proposals.find(Entry.index());
  if (Found == this->Proposals.end())
    return;
  OpenProposal Open = std::move(Found->second);
  this->Proposals.erase(Found);
  bool IsSameTerm = Open.Term == Entry.term();
  Open.Done(
      {.Status = IsSameTerm ? ProposalStatus::Committed : ProposalStatus::Lost,
       .Index = Entry.index(),
       .Reply = std::move(Reply),
       .LeaderHint = this->Runner.replica().leader()});
}

void LogDriver::Worker::onReadCompleted(std::uint64_t Id, bool Ready) {
  auto Found = this->Reads.find(Id);
  if (Found == this->Reads.end())
    return;
  std::function<void(ReadResult)> Done = std::move(Found->second);
  this->Reads.erase(Found);
  ReadResult Result{.Status = Ready ? ProposalStatus::Committed
                                    : ProposalStatus::NotLeader,
                    .LeaderHint = this->Runner.replica().leader()};
  if (Ready) {
    Result.AppliedIndex = this->Runner.appliedIndex();
    Result.Machine = this->Options.Machine;
  }
  Done(std::move(Result));
}

void LogDriver::Worker::onLeadershipLost() {
  auto OpenProposals = std::exchange(this->Proposals, {});
  for (auto &[Index, Proposal] : OpenProposals)
    answer(Proposal.Done,
           ProposalResult{.Status = ProposalStatus::Lost, .Index = Index});
}

LogDriver::LogDriver(LogDriverOptions Options)
    : Impl(std::make_unique<Worker>(std::move(Options))) {}

LogDriver::~LogDriver() = default;

void LogDriver::propose(std::string Command,
                        std::function<void(ProposalResult)> Done) {
  Worker *Target = this->Impl.get();
  Done = answerOnce(std::move(Done));
  Target->post({.Handle =
                    [Target, Command = std::move(Command), Done]() mutable {
                      Target->propose(std::move(Command), std::move(Done));
                    },
                .Refuse = [Done] { Done({}); }});
}

void LogDriver::read(std::function<void(ReadResult)> Done) {
  Worker *Target = this->Impl.get();
  Done = answerOnce(std::move(Done));
  Target->post(
      {.Handle = [Target, Done]() mutable { Target->read(std::move(Done)); },
       .Refuse = [Done = std::move(Done)] { Done({}); }});
}

void LogDriver::receive(const HostName &From,
                        const message::ConsensusMessage &Message) {
  Worker *Target = this->Impl.get();
  Target->post({.Handle =
                    [Target, From, Message] {
                      Target->runner().replica().receive(monotonicNow(), From,
                                                         Message);
                    },
                .Refuse = [] {}});
}

LogStatus LogDriver::status() const { return this->Impl->status(); }

void LogDriver::transferLeadership() {
  Worker *Target = this->Impl.get();
  Target->post({.Handle =
                    [Target] {
                      Target->runner().replica().transferLeadership(
                          monotonicNow());
                    },
                .Refuse = [] {}});
}

void LogDriver::changeHosts(std::vector<HostName> Hosts) {
  Worker *Target = this->Impl.get();
  Target->post({.Handle =
                    [Target, Hosts = std::move(Hosts)] {
                      Target->runner().replica().changeHosts(monotonicNow(),
                                                             Hosts);
                    },
                .Refuse = [] {}});
}

void LogDriver::setContactHosts(std::vector<HostName> Hosts) {
  Worker *Target = this->Impl.get();
  Target->post({.Handle =
                    [Target, Hosts = std::move(Hosts)]() mutable {
                      Target->runner().replica().setContactHosts(
                          std::move(Hosts));
                    },
                .Refuse = [] {}});
}

void LogDriver::stop() { this->Impl->stop(); }

} // namespace carobhinge
