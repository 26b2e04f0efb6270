//===- Tests/State/EntryHost.cpp - One life of an entry host --------------===//
///
/// \file
/// The driver's side of a call attempt, in miniature.
///
//===----------------------------------------------------------------------===//

#include "EntryHost.h"

#include <LibCore/Hash.h>
#include <LibIntent/Intent.pb.h>

namespace carobhinge::state {

using std::chrono::milliseconds;

constexpr Duration ConnectBound = milliseconds(300);
constexpr Duration AnswerBound = milliseconds(2000);
/// How long the service takes.
constexpr Duration ServiceTime = milliseconds(20);

static message::LedgerKey keyOf(const std::string &Key) {
  message::LedgerKey Out;
  Out.set_workspace("tanta");
  Out.set_service("ledger");
  Out.set_key(Key);
  return Out;
}

EntryHost::EntryHost(Surroundings &Around, HostName Self, Incarnation Life)
    : Around(Around), Self(std::move(Self)), Life(Life) {}

void EntryHost::start() {
  message::LedgerCommand Command;
  Command.mutable_retire()->set_host(this->Self);
  Command.mutable_retire()->set_incarnation(this->Life);
  this->propose(Command, [this](const auto &Reply) {
    if (!Reply)
      this->Around.Wires.after(milliseconds(200), this->Self,
                               [this] { this->start(); });
  });
}

void EntryHost::call(const std::string &Name, Duration Deadline) {
  Story &Told = this->Around.Real.Stories[Name];
  CallAttemptOptions Options;
  Options.Key = keyOf(Told.Key);
  Options.ContentDigest = digest(Told.Content);
  Options.Attempt.set_host(this->Self);
  Options.Attempt.set_incarnation(this->Life);
  Options.Attempt.set_attempt(++this->AttemptCount);
  auto Who =
      std::make_shared<Call>(Call{.Attempt = CallAttempt(std::move(Options)),
                                  .Name = Name,
                                  .Open = nullptr,
                                  .RecordAsked = false});
  this->Calls.insert(Who);
  this->Around.Wires.after(Deadline, this->Self,
                           [this, Who] { this->tell(Who, DeadlinePassed{}); });
  for (const CallEffect &Each : Who->Attempt.start())
    std::visit([&](const auto &Effect) { this->carryOut(Who, Effect); }, Each);
}

void EntryHost::tell(const CallPointer &Who, const CallEvent &Event) {
  std::uint64_t Life = this->Around.Wires.life(this->Self);
  std::vector<CallEffect> Effects = Who->Attempt.handle(Event);
  if (this->Around.Hook(this->Self, "event handled"))
    return;
  for (const CallEffect &Each : Effects) {
    std::visit([&](const auto &Effect) { this->carryOut(Who, Effect); }, Each);
    if (this->Around.Hook(this->Self, "effect carried out") ||
        this->Around.Wires.life(this->Self) != Life)
      return;
  }
  if (Who->Attempt.ended())
    this->Calls.erase(Who);
}

void EntryHost::shutDown() {
  for (const CallPointer &Each : std::set<CallPointer>(this->Calls))
    this->tell(Each, ShutDown{});
}

void EntryHost::stall() {
  for (const CallPointer &Each : this->Calls)
    if (Each->Open)
      Each->Open->Stalled = true;
}

void EntryHost::open(const CallPointer &Who, bool First) {
  this->Around.Control.read(
      this->Self, [this, Who, First](const ControlState *State) {
        if (!State) {
          this->tell(Who, LedgerUnreachable{});
          return;
        }
        Story &Told = this->story(Who);
        auto Reply = State->ledger().open(keyOf(Told.Key), digest(Told.Content),
                                          State->index());
        if (!Told.OpenedAt)
          Told.OpenedAt = State->index();
        if (First)
          this->tell(Who, Opened{Reply});
        else
          this->tell(Who, JoinAnswered{Reply});
      });
}

void EntryHost::propose(
    const message::LedgerCommand &Command,
    std::function<void(std::optional<message::LedgerReply>)> Done) {
  this->Around.Control.propose(
      this->Self, CommandKind::Ledger, Command.SerializeAsString(),
      [Done = std::move(Done)](const std::optional<std::string> &Bytes) {
        message::LedgerReply Reply;
        if (!Bytes)
          Done(std::nullopt);
        else if (Reply.ParseFromString(*Bytes))
          Done(Reply);
      });
}

void EntryHost::carryOut(const CallPointer &Who, const RequestOpen &) {
  this->open(Who, true);
}

void EntryHost::carryOut(const CallPointer &Who, const RequestJoin &Asked) {
  this->Around.Wires.after(Asked.After, this->Self,
                           [this, Who] { this->open(Who, false); });
}

void EntryHost::carryOut(const CallPointer &Who, const EnterQueue &) {
  if (this->SlotsHeld)
    this->Queue.push_back(Who);
  else
    this->Around.Wires.after(milliseconds(1), this->Self,
                             [this, Who] { this->leaveQueue(Who); });
}

void EntryHost::leaveQueue(const CallPointer &Who) {
  if (this->Overloaded)
    this->tell(Who, RefusedByRouting{.Reason = "overload",
                                     .RetryAfter = std::chrono::seconds(1)});
  else
    this->tell(Who,
               SlotChosen{.Endpoint = "ledger-1", .Address = "127.0.0.1:1"});
}

void EntryHost::holdSlots(bool On) {
  this->SlotsHeld = On;
  if (On)
    return;
  for (const CallPointer &Each : std::exchange(this->Queue, {}))
    this->leaveQueue(Each);
}

void EntryHost::carryOut(const CallPointer &, const LeaveQueue &) {}
void EntryHost::carryOut(const CallPointer &, const ReleaseSlot &) {}

void EntryHost::carryOut(const CallPointer &Who, const ProposeClaim &Asked) {
  std::uint32_t Number = Asked.Command.claim().dispatch();
  this->propose(Asked.Command, [this, Who, Number](const auto &Reply) {
    if (Reply)
      this->tell(Who, ClaimAnswered{*Reply});
    else
      this->tell(Who, ClaimUnconfirmed{Number});
  });
}

void EntryHost::carryOut(const CallPointer &Who, const DispatchCall &Asked) {
  auto Open = std::make_shared<Connection>();
  Who->Open = Open;
  std::uint32_t Number = Asked.Number;
  Wire &Wires = this->Around.Wires;
  Wires.after(ConnectBound, this->Self, [this, Who, Open, Number] {
    if (!Open->Written && !std::exchange(Open->Over, true))
      this->tell(Who, ConnectFailed{Number});
  });
  Wires.stream(this->Self, ServiceHost, [this, Who, Open, Number] {
    this->Around.Wires.stream(ServiceHost, this->Self,
                              [this, Who, Open, Number] {
                                if (!Open->Over && !Open->Stalled)
                                  this->write(Who, Number);
                              });
  });
}

void EntryHost::write(const CallPointer &Who, std::uint32_t Number) {
  std::shared_ptr<Connection> Open = Who->Open;
  std::uint64_t Life = this->Around.Wires.life(this->Self);
  this->tell(Who, ByteWritten{Number});
  // The attempt may have asked to cancel, and the host may have died.
  if (Open->Over || this->Around.Wires.life(this->Self) != Life)
    return;
  Open->Written = true;
  this->Around.Wires.after(AnswerBound, this->Self, [this, Who, Open] {
    if (!std::exchange(Open->Over, true))
      this->tell(Who, BrokenOff{});
  });
  this->Around.Wires.stream(this->Self, ServiceHost,
                            [this, Who, Open] { this->serve(Who, Open); });
}

void EntryHost::serve(const CallPointer &Who,
                      const std::shared_ptr<Connection> &Open) {
  if (Open->Stalled)
    return;
  std::string Body = this->Around.Real.execute(this->story(Who));
  this->Around.Wires.after(ServiceTime, ServiceHost, [this, Who, Open, Body] {
    this->Around.Wires.stream(ServiceHost, this->Self, [this, Who, Open, Body] {
      if (Open->Stalled || std::exchange(Open->Over, true))
        return;
      this->tell(Who, AnswerRead{.Status = 200,
                                 .ContentType = "text/plain",
                                 .Body = Body,
                                 .Complete = true});
    });
  });
}

void EntryHost::carryOut(const CallPointer &Who, const CancelDispatch &Asked) {
  if (!Who->Open->Written && !std::exchange(Who->Open->Over, true))
    this->tell(Who, ConnectFailed{Asked.Number});
}

void EntryHost::carryOut(const CallPointer &, const ProposeRelease &Asked) {
  this->propose(Asked.Command, [](const auto &) {});
}

void EntryHost::carryOut(const CallPointer &Who, const ProposeOutcome &Asked) {
  if (!std::exchange(Who->RecordAsked, true))
    this->Around.Wires.after(
        CallAttemptOptions{}.RecordTimeout, this->Self,
        [this, Who] { this->tell(Who, RecordTimeoutPassed{}); });
  this->Around.Wires.after(
      Asked.After, this->Self, [this, Who, Command = Asked.Command] {
        this->propose(Command, [this, Who](const auto &Reply) {
          if (Reply)
            this->tell(Who, OutcomeRecorded{});
          else
            this->tell(Who, OutcomeUnconfirmed{});
        });
      });
}

void EntryHost::carryOut(const CallPointer &Who, const ProposeClose &Asked) {
  this->Around.Wires.after(
      Asked.After, this->Self, [this, Who, Command = Asked.Command] {
        this->propose(Command, [this, Who](const auto &Reply) {
          if (!Reply) {
            this->tell(Who, CloseUnconfirmed{});
            return;
          }
          this->story(Who).ClosedAt = Reply->index();
          this->tell(Who, CloseAnswered{*Reply});
        });
      });
}

void EntryHost::carryOut(const CallPointer &Who, const Answer &Given) {
  this->Around.Real.answered(this->story(Who), Given);
}

void EntryHost::apply(const std::string &Name, std::uint64_t Base,
                      const std::string &Text) {
  message::IntentCommand Command;
  Command.set_base_version(Base);
  Command.set_operator_name("operator");
  Command.set_text(Text);
  this->Around.Control.propose(
      this->Self, CommandKind::Intent, Command.SerializeAsString(),
      [this, Name](const std::optional<std::string> &Bytes) {
        Story &Told = this->Around.Real.Stories[Name];
        message::IntentResult Result;
        Told.Result = "unknown";
        if (!Bytes || !Result.ParseFromString(*Bytes))
          return;
        bool Accepted = Result.has_accepted();
        Told.Result = Accepted ? "accepted" : "conflict";
        Told.Version = Accepted ? Result.accepted().version()
                                : Result.conflict().winner().version();
      });
}

} // namespace carobhinge::state
