//===- LibControl/AgreedState.cpp - The state that control hosts agree on -===//

#include <LibControl/AgreedState.h>

#include <LibCore/Hash.h>
#include <boost/asio/post.hpp>
#include <filesystem>

namespace asio = boost::asio;

namespace carobhinge {

/// Operators move on to another host after a second; a proposal that takes
/// longer ends without a clear answer and is sent again.
static constexpr auto ProposalTimeout = std::chrono::milliseconds(2500);
/// Entry hosts ask again after this.
static constexpr auto ConfirmationTimeout = std::chrono::milliseconds(1500);

/// Elections are over within two seconds of a leader's loss: bounds on
/// accepting a catalog are a few seconds. A sync on a slow disk takes a
/// hundred milliseconds, which must not pass for a lost leader.
static constexpr ReplicaTimings LogTimings{
    .Heartbeat = std::chrono::milliseconds(100),
    .ElectionLeast = std::chrono::milliseconds(550),
    .ElectionMost = std::chrono::milliseconds(1000)};

/// Catalogs are large and replace each other, so snapshots come early: the
/// disk holds little more than a few dozen of them.
static constexpr ReplicaBounds LogBounds{
    .SnapshotEntries = 32, .SnapshotShare = 4, .EntriesKept = 32};

AgreedState::AgreedState(const asio::any_io_executor &Executor,
                         const HostSettings &Own, std::vector<HostName> First,
                         const Sender &Send, Observer Changed, Disk *Files)
    : Executor(Executor), Changed(std::move(Changed)) {
  std::filesystem::path Folder =
      std::filesystem::path(Own.DataFolder) / "register";
  Disk *Used = Files != nullptr ? Files : &this->DefaultDisk;
  Used->createFolders(Folder);
  this->Options = {
      .Log = 0,
      .Self = Own.Ip,
      .Voters = std::move(First),
      .Folder = Folder,
      .Timings = LogTimings,
      .Bounds = LogBounds,
      .Send =
          [Executor, Send](const HostName &To,
                           const message::ConsensusMessage &Message) {
            asio::post(Executor, [Send, To, Message] { Send(To, Message); });
          },
      .Machine = nullptr,
      .Seed = hash64(Own.Host),
      .Files = Used};
  this->open();
}

void AgreedState::open() {
  auto Fresh = std::make_unique<ControlRegister>(
      [this](const message::RegisterState &State) {
        asio::post(this->Executor, [this, State] {
          // A log that is read again begins with what is known already.
          if (State.revision() < this->Newest.revision())
            return;
          this->Newest = State;
          this->Changed(this->Newest);
        });
      });
  this->Options.Machine = Fresh.get();
  auto Opened = std::make_unique<LogDriver>(this->Options);
  this->Log = std::move(Opened);
  this->Register = std::move(Fresh);
}

std::string AgreedState::mend() {
  std::string Error = this->Log->status().LastError;
  if (Error.empty())
    return Error;
  this->Log->stop();
  // FIXME: Reading a slow disk here holds the calls of other hosts up.
  try {
    this->open();
  } catch (const std::runtime_error &Again) {
    Error = Again.what();
  }
  return Error;
}

AgreedState::~AgreedState() { this->Log->stop(); }

void AgreedState::receive(const HostName &From,
                          const message::ConsensusMessage &Message) {
  this->Log->receive(From, Message);
}

asio::awaitable<ProposalStatus>
AgreedState::propose(message::RegisterCommand Command) {
  struct Pending {
    explicit Pending(const asio::any_io_executor &Executor) : Done(Executor) {}
    Signal Done;
    ProposalStatus Status = ProposalStatus::Lost;
  };
  auto Open = std::make_shared<Pending>(this->Executor);
  asio::any_io_executor Home = this->Executor;
  std::function<void(ProposalResult)> Finished =
      [Open, Home](const ProposalResult &Result) {
        ProposalStatus Status = Result.Status;
        asio::post(Home, [Open, Status] {
          Open->Status = Status;
          Open->Done.fire();
        });
      };
  this->Log->propose(Command.SerializeAsString(), std::move(Finished));
  co_await Open->Done.wait(ProposalTimeout);
  co_return Open->Status;
}

void AgreedState::beginRound() {
  this->Running = std::exchange(this->Next, nullptr);
  if (!this->Running)
    return;
  this->Log->read([this, Round = this->Running,
                   Home = this->Executor](const ReadResult &Result) {
    bool Confirmed = Result.Status == ProposalStatus::Committed;
    asio::post(Home, [this, Round, Confirmed] {
      Round->Confirmed = Confirmed;
      Round->Done.fire();
      this->beginRound();
    });
  });
}

asio::awaitable<bool> AgreedState::confirm() {
  if (!this->Next)
    this->Next = std::make_shared<Round>(this->Executor);
  std::shared_ptr<Round> Mine = this->Next;
  if (!this->Running)
    this->beginRound();
  co_await Mine->Done.wait(ConfirmationTimeout);
  co_return Mine->Confirmed;
}

} // namespace carobhinge
