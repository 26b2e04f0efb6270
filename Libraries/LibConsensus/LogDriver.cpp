//===- LibConsensus/LogDriver.cpp - Runs one replica in a process ---------===//

#include <LibConsensus/LogDriver.h>
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

/// How much of a heartbeat interval passes between two looks at the clock.
static constexpr int TicksPerHeartbeat = 2;

/// Events that wait for the worker; what comes beyond is refused or dropped.
static constexpr std::size_t MostQueued = 65536;

/// The worker thread and all that it alone touches, behind the event queue.
class LogDriver::Worker : public ReplicaListener {
public:
  explicit Worker(LogDriverOptions Options);
  ~Worker() override { this->stop(); }

  /// \p Handle runs on the worker; \p Refuse instead of it once the worker
  /// takes nothing more.
  struct Event {
    std::function<void()> Handle;
    std::function<void()> Refuse;
  };
  void post(Event Posted);
  void stop();

  void propose(std::string Command, std::function<void(ProposalResult)> Done);
  void read(std::function<void(ReadResult)> Done);
  [[nodiscard]] LogStatus status();
  /// For events that run on the worker.
  ReplicaRunner &runner() { return this->Runner; }

  void send(const HostName &To,
            const message::ConsensusMessage &Message) override;
  void applied(const message::Entry &Entry, std::string Reply) override;
  void readDone(std::uint64_t Id, bool Ready) override;
  void leadershipLost() override;

private:
  struct OpenProposal {
    std::uint64_t Term = 0;
    std::function<void(ProposalResult)> Done;
  };

  void work();
  bool handleBatch();
  void publishStatus(TimePoint Now);
  void fail(const std::string &Error);
  void refuseAll();
  [[nodiscard]] Duration tickLength() const {
    return this->Options.Timings.Heartbeat / TicksPerHeartbeat;
  }

  LogDriverOptions Options;
  PosixDisk DefaultDisk;

  std::mutex Lock;
  std::condition_variable Wake;
  /// Under Lock.
  std::deque<Event> Queue;
  LogStatus Published;
  bool Stopping = false;

  // Of the worker thread.
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
    throw std::invalid_argument("a log needs voters, a machine and a sender");
  // Disk identities must not repeat in another life with the same seed.
  std::random_device Entropy;
  std::uint64_t Mixed =
      Options.Seed ^ (std::uint64_t(Entropy()) << 32U) ^ Entropy();
  return {.Log = Options.Log,
          .Self = Options.Self,
          .Voters = Options.Voters,
          .Timings = Options.Timings,
          .Bounds = Options.Bounds,
          .Seed = Mixed,
          .Observer = {}};
}

LogDriver::Worker::Worker(LogDriverOptions Given)
    : Options(std::move(Given)),
      Runner(replicaOptions(this->Options),
             {.Files = this->Options.Files != nullptr ? this->Options.Files
                                                      : &this->DefaultDisk,
              .Folder = this->Options.Folder},
             *this->Options.Machine, *this, monotonicNow()) {
  this->publishStatus(monotonicNow());
  this->Thread = std::thread([this] { this->work(); });
}

void LogDriver::Worker::post(Event Posted) {
  {
    std::lock_guard Guard(this->Lock);
    if (!this->Stopping && this->Queue.size() < MostQueued) {
      this->Queue.push_back(std::move(Posted));
      this->Wake.notify_one();
      return;
    }
  }
  Posted.Refuse();
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

/// Handles what is in the queue as one batch: one sync for all of it.
/// \returns false once the worker is to end.
bool LogDriver::Worker::handleBatch() {
  std::deque<Event> Batch;
  {
    std::unique_lock Guard(this->Lock);
    this->Wake.wait_for(Guard, this->tickLength(),
                        [&] { return this->Stopping || !this->Queue.empty(); });
    if (this->Stopping)
      return false;
    std::uint64_t Most = this->Options.Bounds.ProposalsPerBatch;
    while (!this->Queue.empty() && Batch.size() < Most) {
      Batch.push_back(std::move(this->Queue.front()));
      this->Queue.pop_front();
    }
  }
  for (const Event &Next : Batch)
    this->Failed ? Next.Refuse() : Next.Handle();
  if (this->Failed)
    return true;
  TimePoint Now = monotonicNow();
  try {
    this->Runner.replica().tick(Now);
    this->Runner.run(Now);
  } catch (const DiskError &Problem) {
    this->fail(Problem.what());
  }
  this->publishStatus(Now);
  return true;
}

/// The disk can't be trusted any more: no vote, no acknowledgement, and no
/// second try.
void LogDriver::Worker::fail(const std::string &Problem) {
  this->Failed = true;
  this->Error = Problem;
  this->refuseAll();
}

void LogDriver::Worker::refuseAll() {
  this->leadershipLost();
  auto Open = std::exchange(this->Reads, {});
  for (auto &[Id, Done] : Open)
    Done({.Status = ProposalStatus::NotLeader});
  std::deque<Event> Left;
  {
    std::lock_guard Guard(this->Lock);
    Left.swap(this->Queue);
  }
  for (const Event &Next : Left)
    Next.Refuse();
}

void LogDriver::Worker::propose(std::string Command,
                                std::function<void(ProposalResult)> Done) {
  auto Place = this->Runner.replica().propose(
      monotonicNow(),
      milliseconds(std::chrono::system_clock::now().time_since_epoch()),
      std::move(Command));
  if (!Place) {
    Done({.Status = ProposalStatus::NotLeader,
          .LeaderHint = this->Runner.replica().leader()});
    return;
  }
  // One that stood there was replaced in an earlier term.
  auto Replaced = this->Proposals.extract(Place->Index);
  this->Proposals[Place->Index] = {.Term = Place->Term,
                                   .Done = std::move(Done)};
  if (Replaced)
    Replaced.mapped().Done(
        {.Status = ProposalStatus::Lost, .Index = Place->Index});
}

void LogDriver::Worker::read(std::function<void(ReadResult)> Done) {
  std::uint64_t Id = ++this->LastRead;
  this->Reads[Id] = std::move(Done);
  this->Runner.replica().read(monotonicNow(), Id);
}

LogStatus LogDriver::Worker::status() {
  std::lock_guard Guard(this->Lock);
  return this->Published;
}

void LogDriver::Worker::publishStatus(TimePoint Now) {
  const Replica &Known = this->Runner.replica();
  LogStatus Fresh{.Current = this->Failed ? Role::Learner : Known.role(),
                  .Term = Known.term(),
                  .Leader = this->Failed ? HostName() : Known.leader(),
                  .Commit = Known.commit(),
                  .Applied = this->Runner.applied(),
                  .Learners = Known.learners(),
                  .RepairComplete = !this->Failed && Known.repairComplete(Now),
                  .LastError = this->Error};
  for (const message::Member &Voter : Known.log().configuration().voters())
    Fresh.Voters.push_back(Voter.host());
  std::lock_guard Guard(this->Lock);
  this->Published = std::move(Fresh);
}

void LogDriver::Worker::send(const HostName &To,
                             const message::ConsensusMessage &Message) {
  this->Options.Send(To, Message);
}

void LogDriver::Worker::applied(const message::Entry &Entry,
                                std::string Reply) {
  auto Found = this->Proposals.find(Entry.index());
  if (Found == this->Proposals.end())
    return;
  OpenProposal Open = std::move(Found->second);
  this->Proposals.erase(Found);
  bool Same = Open.Term == Entry.term();
  Open.Done({.Status = Same ? ProposalStatus::Committed : ProposalStatus::Lost,
             .Index = Entry.index(),
             .Reply = std::move(Reply),
             .LeaderHint = this->Runner.replica().leader()});
}

void LogDriver::Worker::readDone(std::uint64_t Id, bool Ready) {
  auto Found = this->Reads.find(Id);
  if (Found == this->Reads.end())
    return;
  std::function<void(ReadResult)> Done = std::move(Found->second);
  this->Reads.erase(Found);
  ReadResult Result{.Status = Ready ? ProposalStatus::Committed
                                    : ProposalStatus::NotLeader,
                    .LeaderHint = this->Runner.replica().leader()};
  if (Ready) {
    Result.AppliedIndex = this->Runner.applied();
    Result.Machine = this->Options.Machine;
  }
  Done(std::move(Result));
}

void LogDriver::Worker::leadershipLost() {
  auto Open = std::exchange(this->Proposals, {});
  for (auto &[Index, Proposal] : Open)
    Proposal.Done({.Status = ProposalStatus::Lost, .Index = Index});
}

LogDriver::LogDriver(LogDriverOptions Options)
    : Running(std::make_unique<Worker>(std::move(Options))) {}

LogDriver::~LogDriver() = default;

void LogDriver::propose(std::string Command,
                        std::function<void(ProposalResult)> Done) {
  Worker *Target = this->Running.get();
  Target->post({.Handle =
                    [Target, Command = std::move(Command), Done]() mutable {
                      Target->propose(std::move(Command), std::move(Done));
                    },
                .Refuse = [Done] { Done({}); }});
}

void LogDriver::read(std::function<void(ReadResult)> Done) {
  Worker *Target = this->Running.get();
  Target->post(
      {.Handle = [Target, Done]() mutable { Target->read(std::move(Done)); },
       .Refuse = [Done = std::move(Done)] { Done({}); }});
}

void LogDriver::receive(const HostName &From,
                        const message::ConsensusMessage &Message) {
  Worker *Target = this->Running.get();
  Target->post({.Handle =
                    [Target, From, Message] {
                      Target->runner().replica().receive(monotonicNow(), From,
                                                         Message);
                    },
                .Refuse = [] {}});
}

LogStatus LogDriver::status() const { return this->Running->status(); }

void LogDriver::transferLeadership() {
  Worker *Target = this->Running.get();
  Target->post({.Handle =
                    [Target] {
                      Target->runner().replica().transferLeadership(
                          monotonicNow());
                    },
                .Refuse = [] {}});
}

void LogDriver::changeHosts(std::vector<HostName> Hosts) {
  Worker *Target = this->Running.get();
  Target->post({.Handle =
                    [Target, Hosts = std::move(Hosts)] {
                      Target->runner().replica().changeHosts(monotonicNow(),
                                                             Hosts);
                    },
                .Refuse = [] {}});
}

void LogDriver::meet(std::vector<HostName> Hosts) {
  Worker *Target = this->Running.get();
  Target->post({.Handle =
                    [Target, Hosts = std::move(Hosts)]() mutable {
                      Target->runner().replica().meet(std::move(Hosts));
                    },
                .Refuse = [] {}});
}

void LogDriver::stop() { this->Running->stop(); }

} // namespace carobhinge
