//===- LibControl/ReplicatedState.cpp - State shared by control hosts -----===//

#include <LibControl/ReplicatedState.h>

#include <LibCore/Hash.h>
#include <LibStore/DataFolder.h>
#include <boost/asio/post.hpp>
#include <filesystem>

namespace asio = boost::asio;

namespace carobhinge {

/// Operators try another host after one second. A proposal that times out has
/// an unknown outcome and is sent again.
static constexpr auto ProposalTimeout = std::chrono::milliseconds(2500);
/// Entry hosts retry after this time.
static constexpr auto ConfirmationTimeout = std::chrono::milliseconds(1500);

/// Elections end within two seconds of a leader's failure, because a catalog
/// must be accepted within a few seconds. A sync on a slow disk takes a hundred
/// milliseconds and must not be mistaken for a failed leader.
static constexpr ReplicaTimings LogTimings{
    .Heartbeat = std::chrono::milliseconds(100),
    .MinElectionTimeout = std::chrono::milliseconds(550),
    .MaxElectionTimeout = std::chrono::milliseconds(1000)};

/// Catalogs are large and each one replaces the one before, so snapshots are
/// taken early. This bounds the disk usage to a few dozen catalogs.
static constexpr ReplicaBounds LogBounds{
    .SnapshotEntries = 32, .SnapshotSizeRatio = 4, .RetainedEntries = 32};

ReplicatedState::ReplicatedState(const asio::any_io_executor &Executor,
                                 const HostSettings &Settings,
                                 std::vector<HostName> InitialVoters,
                                 const Sender &Send, Observer OnChange,
                                 Disk *Files, RefusalObserver OnRefused)
    : Executor(Executor), OnChange(std::move(OnChange)) {
  std::filesystem::path DataFolder = Settings.DataFolder;
  // Outside the log's own folder, which operators may remove alone.
  std::filesystem::path Folder = DataFolder / "register";
  Disk *UsedDisk = Files != nullptr ? Files : &this->DefaultDisk;
  this->FolderLock = lockDataFolder(*UsedDisk, DataFolder);
  UsedDisk->createFolders(Folder);
  LogDriverOptions Options{
      .Log = 0,
      .Self = Settings.Ip,
      .Voters = std::move(InitialVoters),
      .Folder = Folder,
      .Timings = LogTimings,
      .Bounds = LogBounds,
      .Send =
          [Executor, Send](const HostName &To,
                           const message::ConsensusMessage &Message) {
            asio::post(Executor, [Send, To, Message] { Send(To, Message); });
          },
      .Machine = nullptr,
      .OnRefused = std::move(OnRefused),
      .Seed = hash64(Settings.Host),
      .Files = UsedDisk};
  this->Log = std::make_unique<ReopeningLog>(
      std::move(Options), [this] { return this->makeMachine(); });
}

std::unique_ptr<StateMachine> ReplicatedState::makeMachine() {
  return std::make_unique<ControlStateMachine>(
      [this](const message::RegisterState &State) {
        asio::post(this->Executor, [this, State] {
          // The replay of a reopened log starts with states that are older
          // than the latest one.
          if (State.revision() < this->LatestState.revision())
            return;
          this->LatestState = State;
          this->OnChange(this->LatestState);
        });
      });
}

ReplicatedState::~ReplicatedState() { this->Log->stop(); }

void ReplicatedState::receive(const HostName &From,
                              const message::ConsensusMessage &Message) {
  this->Log->driver()->receive(From, Message);
}

asio::awaitable<ProposalStatus>
ReplicatedState::propose(message::RegisterCommand Command) {
  struct PendingProposal {
    explicit PendingProposal(const asio::any_io_executor &Executor)
        : Done(Executor) {}
    Signal Done;
    ProposalStatus Status = ProposalStatus::Lost;
  };
  auto Proposal = std::make_shared<PendingProposal>(this->Executor);
  asio::any_io_executor CallbackExecutor = this->Executor;
  std::function<void(ProposalResult)> OnFinished =
      [Proposal, CallbackExecutor](const ProposalResult &Result) {
        ProposalStatus Status = Result.Status;
        asio::post(CallbackExecutor, [Proposal, Status] {
          Proposal->Status = Status;
          Proposal->Done.fire();
        });
      };
  this->Log->driver()->propose(Command.SerializeAsString(),
                               std::move(OnFinished));
  co_await Proposal->Done.wait(ProposalTimeout);
  co_return Proposal->Status;
}

void ReplicatedState::startNextRound() {
  this->ActiveRound = std::exchange(this->NextRound, nullptr);
  if (!this->ActiveRound)
    return;
  this->Log->driver()->read(
      [this, Round = this->ActiveRound,
       CallbackExecutor = this->Executor](const ReadResult &Result) {
        bool Confirmed = Result.Status == ProposalStatus::Committed;
        asio::post(CallbackExecutor, [this, Round, Confirmed] {
          Round->Confirmed = Confirmed;
          Round->Done.fire();
          this->startNextRound();
        });
      });
}

asio::awaitable<bool> ReplicatedState::confirm() {
  if (!this->NextRound)
    this->NextRound = std::make_shared<ConfirmationRound>(this->Executor);
  std::shared_ptr<ConfirmationRound> AwaitedRound = this->NextRound;
  if (!this->ActiveRound)
    this->startNextRound();
  co_await AwaitedRound->Done.wait(ConfirmationTimeout);
  co_return AwaitedRound->Confirmed;
}

} // namespace carobhinge
