//===- Tests/State/EntryHost.cpp - One incarnation of an entry host -------===//
///
/// \file
/// Executes the effects of call attempts against the simulated control plane
/// and the fake service.
///
//===----------------------------------------------------------------------===//

#include "EntryHost.h"

#include <LibCore/Hash.h>
#include <LibIntent/Intent.pb.h>

namespace carobhinge::state {

using std::chrono::milliseconds;

constexpr Duration ConnectTimeout = milliseconds(300);
constexpr Duration AnswerTimeout = milliseconds(2000);
/// Execution time of a call at the fake service.
constexpr Duration ServiceTime = milliseconds(20);

static message::LedgerKey keyOf(const std::string &Key) {
  message::LedgerKey EncodedKey;
  EncodedKey.set_workspace("tanta");
  EncodedKey.set_service("ledger");
  EncodedKey.set_key(Key);
  return EncodedKey;
}

EntryHost::EntryHost(EntryHostEnvironment &Environment, HostName Self,
                     Incarnation IncarnationNumber)
    : Environment(Environment), Self(std::move(Self)),
      IncarnationNumber(IncarnationNumber) {}

void EntryHost::start() {
  message::LedgerCommand Command;
  Command.mutable_retire()->set_host(this->Self);
  Command.mutable_retire()->set_incarnation(this->IncarnationNumber);
  this->propose(Command, [this](const auto &Reply) {
    if (!Reply)
      this->Environment.Network.after(milliseconds(200), this->Self,
                                      [this] { this->start(); });
  });
}

void EntryHost::call(const std::string &Name, Duration Deadline) {
  RequestRecord &Record = this->Environment.Records.Requests[Name];
  CallAttemptOptions Options;
  Options.Key = keyOf(Record.Key);
  Options.ContentDigest = digest(Record.Content);
  Options.Attempt.set_host(this->Self);
  Options.Attempt.set_incarnation(this->IncarnationNumber);
  Options.Attempt.set_attempt(++this->AttemptCount);
  auto CurrentCall =
      std::make_shared<Call>(Call{.Attempt = CallAttempt(std::move(Options)),
                                  .Name = Name,
                                  .CurrentConnection = nullptr,
                                  .RecordingStarted = false});
  this->Calls.insert(CurrentCall);
  this->Environment.Network.after(Deadline, this->Self, [this, CurrentCall] {
    this->handleEvent(CurrentCall, DeadlinePassed{});
  });
  for (const CallEffect &Each : CurrentCall->Attempt.start())
    std::visit([&](const auto &Effect) { this->execute(CurrentCall, Effect); },
               Each);
}

void EntryHost::handleEvent(const CallPointer &CurrentCall,
                            const CallEvent &Event) {
  std::uint64_t InitialIncarnation =
      this->Environment.Network.incarnation(this->Self);
  std::vector<CallEffect> Effects = CurrentCall->Attempt.handle(Event);
  if (this->Environment.Hook(this->Self, "event handled"))
    return;
  for (const CallEffect &Each : Effects) {
    std::visit([&](const auto &Effect) { this->execute(CurrentCall, Effect); },
               Each);
    if (this->Environment.Hook(this->Self, "effect carried out") ||
        this->Environment.Network.incarnation(this->Self) != InitialIncarnation)
      return;
  }
  if (CurrentCall->Attempt.ended())
    this->Calls.erase(CurrentCall);
}

void EntryHost::shutDown() {
  for (const CallPointer &Each : std::set<CallPointer>(this->Calls))
    this->handleEvent(Each, ShutDown{});
}

void EntryHost::stall() {
  for (const CallPointer &Each : this->Calls)
    if (Each->CurrentConnection)
      Each->CurrentConnection->IsStalled = true;
}

void EntryHost::open(const CallPointer &CurrentCall, bool IsFirst) {
  this->Environment.Control.read(
      this->Self, [this, CurrentCall, IsFirst](const ControlState *State) {
        if (!State) {
          this->handleEvent(CurrentCall, LedgerUnreachable{});
          return;
        }
        RequestRecord &Record = this->recordOf(CurrentCall);
        auto Reply = State->ledger().open(
            keyOf(Record.Key), digest(Record.Content), State->index());
        if (!Record.OpenIndex)
          Record.OpenIndex = State->index();
        if (IsFirst)
          this->handleEvent(CurrentCall, Opened{Reply});
        else
          this->handleEvent(CurrentCall, JoinAnswered{Reply});
      });
}

void EntryHost::propose(
    const message::LedgerCommand &Command,
    std::function<void(std::optional<message::LedgerReply>)> OnReply) {
  this->Environment.Control.propose(
      this->Self, CommandKind::Ledger, Command.SerializeAsString(),
      [OnReply = std::move(OnReply)](const std::optional<std::string> &Bytes) {
        message::LedgerReply Reply;
        if (!Bytes)
          OnReply(std::nullopt);
        else if (Reply.ParseFromString(*Bytes))
          OnReply(Reply);
      });
}

void EntryHost::execute(const CallPointer &CurrentCall, const RequestOpen &) {
  this->open(CurrentCall, true);
}

void EntryHost::execute(const CallPointer &CurrentCall,
                        const RequestJoin &Effect) {
  this->Environment.Network.after(
      Effect.Delay, this->Self,
      [this, CurrentCall] { this->open(CurrentCall, false); });
}

void EntryHost::execute(const CallPointer &CurrentCall, const EnterQueue &) {
  if (this->QueueHeld)
    this->Queue.push_back(CurrentCall);
  else
    this->Environment.Network.after(
        milliseconds(1), this->Self,
        [this, CurrentCall] { this->leaveQueue(CurrentCall); });
}

void EntryHost::leaveQueue(const CallPointer &CurrentCall) {
  if (this->Overloaded)
    this->handleEvent(CurrentCall,
                      RefusedByRouting{.Reason = "overload",
                                       .RetryAfter = std::chrono::seconds(1)});
  else
    this->handleEvent(CurrentCall, SlotChosen{.Endpoint = "ledger-1",
                                              .Address = "127.0.0.1:1"});
}

void EntryHost::holdQueue(bool Enabled) {
  this->QueueHeld = Enabled;
  if (Enabled)
    return;
  for (const CallPointer &Each : std::exchange(this->Queue, {}))
    this->leaveQueue(Each);
}

void EntryHost::execute(const CallPointer &, const LeaveQueue &) {}
void EntryHost::execute(const CallPointer &, const ReleaseSlot &) {}

void EntryHost::execute(const CallPointer &CurrentCall,
                        const ProposeClaim &Effect) {
  std::uint32_t Number = Effect.Command.claim().dispatch();
  this->propose(Effect.Command, [this, CurrentCall, Number](const auto &Reply) {
    if (Reply)
      this->handleEvent(CurrentCall, ClaimAnswered{*Reply});
    else
      this->handleEvent(CurrentCall, ClaimUnconfirmed{Number});
  });
}

void EntryHost::execute(const CallPointer &CurrentCall,
                        const DispatchCall &Effect) {
  auto CurrentConnection = std::make_shared<Connection>();
  CurrentCall->CurrentConnection = CurrentConnection;
  std::uint32_t Number = Effect.Number;
  SimulatedNetwork &Network = this->Environment.Network;
  Network.after(ConnectTimeout, this->Self,
                [this, CurrentCall, CurrentConnection, Number] {
                  if (!CurrentConnection->IsWritten &&
                      !std::exchange(CurrentConnection->IsClosed, true))
                    this->handleEvent(CurrentCall, ConnectFailed{Number});
                });
  Network.stream(
      this->Self, ServiceHost, [this, CurrentCall, CurrentConnection, Number] {
        this->Environment.Network.stream(
            ServiceHost, this->Self,
            [this, CurrentCall, CurrentConnection, Number] {
              if (!CurrentConnection->IsClosed && !CurrentConnection->IsStalled)
                this->write(CurrentCall, Number);
            });
      });
}

void EntryHost::write(const CallPointer &CurrentCall, std::uint32_t Number) {
  std::shared_ptr<Connection> CurrentConnection =
      CurrentCall->CurrentConnection;
  std::uint64_t InitialIncarnation =
      this->Environment.Network.incarnation(this->Self);
  this->handleEvent(CurrentCall, ByteWritten{Number});
  // Handling the event may have cancelled the dispatch or killed the host.
  if (CurrentConnection->IsClosed ||
      this->Environment.Network.incarnation(this->Self) != InitialIncarnation)
    return;
  CurrentConnection->IsWritten = true;
  this->Environment.Network.after(
      AnswerTimeout, this->Self, [this, CurrentCall, CurrentConnection] {
        if (!std::exchange(CurrentConnection->IsClosed, true))
          this->handleEvent(CurrentCall, BrokenOff{});
      });
  this->Environment.Network.stream(
      this->Self, ServiceHost, [this, CurrentCall, CurrentConnection] {
        this->executeAtService(CurrentCall, CurrentConnection);
      });
}

void EntryHost::executeAtService(
    const CallPointer &CurrentCall,
    const std::shared_ptr<Connection> &CurrentConnection) {
  if (CurrentConnection->IsStalled)
    return;
  std::string Body =
      this->Environment.Records.execute(this->recordOf(CurrentCall));
  this->Environment.Network.after(
      ServiceTime, ServiceHost, [this, CurrentCall, CurrentConnection, Body] {
        this->Environment.Network.stream(
            ServiceHost, this->Self,
            [this, CurrentCall, CurrentConnection, Body] {
              if (CurrentConnection->IsStalled ||
                  std::exchange(CurrentConnection->IsClosed, true))
                return;
              this->handleEvent(CurrentCall,
                                AnswerRead{.Status = 200,
                                           .ContentType = "text/plain",
                                           .Body = Body,
                                           .Complete = true});
            });
      });
}

void EntryHost::execute(const CallPointer &CurrentCall,
                        const CancelDispatch &Effect) {
  if (!CurrentCall->CurrentConnection->IsWritten &&
      !std::exchange(CurrentCall->CurrentConnection->IsClosed, true))
    this->handleEvent(CurrentCall, ConnectFailed{Effect.Number});
}

void EntryHost::execute(const CallPointer &, const ProposeRelease &Effect) {
  this->propose(Effect.Command, [](const auto &) {});
}

void EntryHost::execute(const CallPointer &CurrentCall,
                        const ProposeOutcome &Effect) {
  if (!std::exchange(CurrentCall->RecordingStarted, true))
    this->Environment.Network.after(
        CallAttemptOptions{}.RecordTimeout, this->Self, [this, CurrentCall] {
          this->handleEvent(CurrentCall, RecordTimeoutPassed{});
        });
  this->Environment.Network.after(
      Effect.Delay, this->Self, [this, CurrentCall, Command = Effect.Command] {
        this->propose(Command, [this, CurrentCall](const auto &Reply) {
          if (Reply)
            this->handleEvent(CurrentCall, OutcomeRecorded{});
          else
            this->handleEvent(CurrentCall, OutcomeUnconfirmed{});
        });
      });
}

void EntryHost::execute(const CallPointer &CurrentCall,
                        const ProposeClose &Effect) {
  this->Environment.Network.after(
      Effect.Delay, this->Self, [this, CurrentCall, Command = Effect.Command] {
        this->propose(Command, [this, CurrentCall](const auto &Reply) {
          if (!Reply) {
            this->handleEvent(CurrentCall, CloseUnconfirmed{});
            return;
          }
          this->recordOf(CurrentCall).CloseIndex = Reply->index();
          this->handleEvent(CurrentCall, CloseAnswered{*Reply});
        });
      });
}

void EntryHost::execute(const CallPointer &CurrentCall,
                        const Answer &FinalAnswer) {
  this->Environment.Records.recordAnswer(this->recordOf(CurrentCall),
                                         FinalAnswer);
}

void EntryHost::apply(const std::string &Name, std::uint64_t Base,
                      const std::string &Text) {
  message::IntentCommand Command;
  Command.set_base_version(Base);
  Command.set_operator_name("operator");
  Command.set_text(Text);
  this->Environment.Control.propose(
      this->Self, CommandKind::Intent, Command.SerializeAsString(),
      [this, Name](const std::optional<std::string> &Bytes) {
        RequestRecord &Record = this->Environment.Records.Requests[Name];
        message::IntentResult Result;
        Record.Result = "unknown";
        if (!Bytes || !Result.ParseFromString(*Bytes))
          return;
        bool Accepted = Result.has_accepted();
        Record.Result = Accepted ? "accepted" : "conflict";
        Record.Version = Accepted ? Result.accepted().version()
                                  : Result.conflict().winner().version();
      });
}

} // namespace carobhinge::state
