//===- Tests/LibLedger/TestCallAttempt.cpp - Attempts against one ledger --===//
///
/// \file
/// Call attempts of several hosts run against one ledger under any
/// interleaving: lost replies, late and duplicated proposals, refused and cut
/// connections, restarts while the earlier life goes on. A fake service counts
/// executions. Each promise of an answer is checked when it is given and for
/// ever after.
///
//===----------------------------------------------------------------------===//

#include <LibLedger/CallAttempt.h>
#include <LibLedger/Ledger.h>
#include <deque>
#include <gtest/gtest.h>
#include <optional>
#include <rapidcheck/gtest.h>

using namespace carobhinge;
using message::LedgerCommand;
using message::LedgerReply;

namespace {

constexpr std::int64_t Stamp = 20'788LL * 86'400'000;

/// Random bits of one step, consumed from the low end.
class Choice {
public:
  explicit Choice(std::uint64_t Bits) : Bits(Bits) {}
  std::size_t below(std::size_t Bound) {
    std::size_t Out = this->Bits % Bound;
    this->Bits /= Bound;
    return Out;
  }

private:
  std::uint64_t Bits;
};

/// What stands between a byte written and the answer read.
struct AwaitAnswer {
  bool Executed = false;
};
using Duty = std::variant<CallEffect, AwaitAnswer>;

struct Call {
  Call(const CallAttemptOptions &Options, std::size_t Key, std::string Digest)
      : Attempt(Options), Key(Key), Digest(std::move(Digest)) {}

  CallAttempt Attempt;
  std::size_t Key;
  std::string Digest;
  std::deque<Duty> Duties;
  /// The index of the first open, which tells older calls from newer ones.
  std::optional<std::uint64_t> OpenedAt;
  std::uint64_t ClosedAt = 0;
  /// Replies that came too late for the driver's bound.
  std::vector<LedgerReply> LateReplies;
  int SlotsHeld = 0;
  bool CallerListens = true;
  std::vector<Answer> Answers;
};

struct KeyTruth {
  int Executions = 0;
  std::string Digest;
  /// Calls opened before this index were promised never to run.
  std::uint64_t RefusedAt = 0;
};

class World {
public:
  void step(Choice Pick) {
    switch (Pick.below(12)) {
    case 0:
      if (this->Calls.size() < 8)
        this->startCall(Pick);
      break;
    case 1:
      if (!this->Late.empty())
        this->apply(this->Late[Pick.below(this->Late.size())]);
      break;
    case 2:
      this->disturb(Pick);
      break;
    case 3:
      if (Pick.below(4) == 0)
        this->restartHost(Pick.below(Hosts));
      break;
    default:
      if (!this->Calls.empty())
        this->work(this->Calls[Pick.below(this->Calls.size())], Pick, false);
    }
  }

  /// Lets everything succeed until nothing is left to do.
  void settle() {
    for (int Round = 0; Round < 200; ++Round)
      for (auto &Each : this->Calls)
        this->work(Each, Choice(0), true);
    for (auto &Each : this->Calls) {
      RC_ASSERT(Each->Attempt.ended());
      RC_ASSERT(Each->SlotsHeld == 0);
      RC_ASSERT(!Each->CallerListens || Each->Answers.size() == 1);
    }
  }

private:
  using CallPointer = std::unique_ptr<Call>;
  static constexpr std::size_t Hosts = 3;

  void startCall(Choice &Pick) {
    std::size_t Host = Pick.below(Hosts);
    CallAttemptOptions Options;
    std::size_t Key = Pick.below(2);
    Options.Key.set_service("ledger");
    Options.Key.set_key("2026-12-01-" + std::to_string(Key));
    Options.ContentDigest = Pick.below(8) == 0 ? "other" : "same";
    Options.Attempt.set_host("host" + std::to_string(Host));
    Options.Attempt.set_incarnation(this->Lives[Host]);
    Options.Attempt.set_attempt(++this->AttemptCount);
    Options.BodyBytes = 64;
    this->Calls.push_back(
        std::make_unique<Call>(Options, Key, Options.ContentDigest));
    this->take(*this->Calls.back(), this->Calls.back()->Attempt.start());
  }

  void disturb(Choice &Pick) {
    if (this->Calls.empty())
      return;
    Call &Which = *this->Calls[Pick.below(this->Calls.size())];
    switch (Pick.below(5)) {
    case 4:
      if (!Which.LateReplies.empty())
        this->tell(
            Which,
            ClaimAnswered{
                Which.LateReplies[Pick.below(Which.LateReplies.size())]});
      break;
    case 0:
      Which.CallerListens = Which.CallerListens && !Which.Answers.empty();
      this->tell(Which, CallerGone{});
      break;
    case 1:
      this->tell(Which, ShutDown{});
      break;
    case 2:
      this->tell(Which, RecordBoundPassed{});
      break;
    default:
      this->tell(Which, DeadlinePassed{});
    }
  }

  /// The calls of the earlier life go on, as those of a frozen process would.
  void restartHost(std::size_t Host) {
    LedgerCommand Command;
    Command.mutable_retire()->set_host("host" + std::to_string(Host));
    Command.mutable_retire()->set_incarnation(++this->Lives[Host]);
    this->apply(Command);
  }

  void tell(Call &Who, const CallEvent &Event) {
    this->take(Who, Who.Attempt.handle(Event));
  }

  void take(Call &Who, std::vector<CallEffect> Effects) {
    for (CallEffect &Each : Effects)
      if (const auto *Given = std::get_if<Answer>(&Each))
        this->check(Who, *Given);
      else
        Who.Duties.emplace_back(std::move(Each));
  }

  void check(Call &Who, const Answer &Given) {
    Who.Answers.push_back(Given);
    RC_ASSERT(Who.Answers.size() == 1U);
    KeyTruth &Truth = this->Keys[Who.Key];
    if (Given.Kind == AnswerKind::Answered) {
      RC_ASSERT(Truth.Executions == 1);
      RC_ASSERT(Given.Body == "receipt");
      RC_ASSERT(Who.Digest == Truth.Digest);
    }
    if (Given.Kind == AnswerKind::NotRun) {
      RC_ASSERT(Who.ClosedAt > 0U);
      Truth.RefusedAt = std::max(Truth.RefusedAt, Who.ClosedAt);
    }
  }

  void execute(Call &Who) {
    KeyTruth &Truth = this->Keys[Who.Key];
    ++Truth.Executions;
    Truth.Digest = Who.Digest;
    RC_ASSERT(Truth.Executions == 1);
    // A call that was open when another was refused as not run has not run.
    RC_ASSERT(*Who.OpenedAt >= Truth.RefusedAt);
  }

  LedgerReply apply(const LedgerCommand &Command) {
    LedgerReply Reply;
    Reply.ParseFromString(
        this->State.apply(++this->Index, Stamp, Command.SerializeAsString()));
    return Reply;
  }

  /// Proposes: committed or not, now or later, once or twice, seen or lost.
  std::optional<LedgerReply> propose(Call &Who, const LedgerCommand &Command,
                                     Choice &Pick, bool Benign) {
    std::size_t Fate = Benign ? 0 : Pick.below(6);
    if (Fate >= 2)
      this->Late.push_back(Command);
    if (Fate >= 4)
      return std::nullopt;
    LedgerReply Reply = this->apply(Command);
    if (Command.has_claim())
      Who.LateReplies.push_back(Reply);
    if (Fate == 1 || Fate == 2)
      return std::nullopt;
    return Reply;
  }

  void work(CallPointer &Which, Choice Pick, bool Benign) {
    Call &Who = *Which;
    if (Who.Duties.empty())
      return;
    Duty Next = std::move(Who.Duties.front());
    Who.Duties.pop_front();
    if (const auto *Await = std::get_if<AwaitAnswer>(&Next)) {
      this->serve(Who, *Await, Pick, Benign);
      return;
    }
    std::visit(
        [&](const auto &Each) { this->carryOut(Who, Each, Pick, Benign); },
        std::get<CallEffect>(Next));
  }

  void read(Call &Who, Choice &Pick, bool Benign, bool First) {
    if (!Benign && Pick.below(6) == 0) {
      this->tell(Who, LedgerUnreachable{});
      return;
    }
    message::LedgerKey Key;
    Key.set_service("ledger");
    Key.set_key("2026-12-01-" + std::to_string(Who.Key));
    LedgerReply Reply = this->State.open(Key, Who.Digest, this->Index);
    if (!Who.OpenedAt)
      Who.OpenedAt = this->Index;
    if (First)
      this->tell(Who, Opened{Reply});
    else
      this->tell(Who, JoinAnswered{Reply});
  }

  void carryOut(Call &Who, const AskOpen &, Choice &Pick, bool Benign) {
    this->read(Who, Pick, Benign, true);
  }
  void carryOut(Call &Who, const AskJoin &, Choice &Pick, bool Benign) {
    this->read(Who, Pick, Benign, false);
  }
  void carryOut(Call &Who, const EnterQueue &, Choice &Pick, bool Benign) {
    if (!Benign && Pick.below(3) == 0) {
      this->tell(Who, RefusedByRouting{.Reason = "overload",
                                       .RetryAfter = std::chrono::seconds(2)});
      return;
    }
    ++Who.SlotsHeld;
    this->tell(Who, SlotChosen{.Endpoint = "e1", .Address = "127.0.0.1:1"});
  }
  void carryOut(Call &, const LeaveQueue &, Choice &, bool) {}
  void carryOut(Call &Who, const AskClaim &Asked, Choice &Pick, bool Benign) {
    auto Reply = this->propose(Who, Asked.Command, Pick, Benign);
    if (Reply)
      this->tell(Who, ClaimAnswered{*Reply});
    else
      this->tell(Who, ClaimLost{Asked.Command.claim().dispatch()});
  }
  void carryOut(Call &Who, const AskRelease &Asked, Choice &Pick, bool Benign) {
    this->propose(Who, Asked.Command, Pick, Benign);
  }
  void carryOut(Call &Who, const AskRecord &Asked, Choice &Pick, bool Benign) {
    if (this->propose(Who, Asked.Command, Pick, Benign))
      this->tell(Who, OutcomeRecorded{});
    else
      this->tell(Who, RecordLost{});
  }
  void carryOut(Call &Who, const AskClose &Asked, Choice &Pick, bool Benign) {
    auto Reply = this->propose(Who, Asked.Command, Pick, Benign);
    if (!Reply) {
      this->tell(Who, CloseLost{});
      return;
    }
    Who.ClosedAt = Reply->index();
    // True when the close was committed, whatever newer calls do later.
    if (Reply->standing() == message::LEDGER_CLOSED)
      RC_ASSERT(this->Keys[Who.Key].Executions == 0);
    this->tell(Who, CloseAnswered{*Reply});
  }
  void carryOut(Call &Who, const DispatchCall &Asked, Choice &Pick,
                bool Benign) {
    if (!Benign && Pick.below(4) == 0) {
      this->tell(Who, ConnectFailed{Asked.Number});
      return;
    }
    std::size_t Before = Who.Duties.size();
    this->tell(Who, ByteWritten{Asked.Number});
    if (Who.Duties.size() > Before &&
        std::holds_alternative<CancelDispatch>(
            std::get<CallEffect>(Who.Duties.back())))
      return;
    AwaitAnswer Await{.Executed = Benign || Pick.below(3) != 0};
    if (Await.Executed)
      this->execute(Who);
    Who.Duties.emplace_back(Await);
  }
  void carryOut(Call &Who, const CancelDispatch &Asked, Choice &, bool) {
    this->tell(Who, ConnectFailed{Asked.Number});
  }
  void carryOut(Call &Who, const ReleaseSlot &, Choice &, bool) {
    --Who.SlotsHeld;
    RC_ASSERT(Who.SlotsHeld >= 0);
  }
  void carryOut(Call &, const Answer &, Choice &, bool) {}

  void serve(Call &Who, const AwaitAnswer &Await, Choice &Pick, bool Benign) {
    std::size_t Fate = Benign ? 0 : Pick.below(4);
    if (!Await.Executed || Fate == 3) {
      this->tell(Who, BrokenOff{});
      return;
    }
    this->tell(Who, AnswerRead{.Status = 200,
                               .ContentType = "text/plain",
                               .Body = Fate == 2 ? "rece" : "receipt",
                               .Complete = Fate != 2});
  }

  Ledger State{{.ClosedMarks = 2}};
  std::uint64_t Index = 0;
  std::vector<CallPointer> Calls;
  std::vector<LedgerCommand> Late;
  std::array<Incarnation, Hosts> Lives{1, 1, 1};
  std::uint64_t AttemptCount = 0;
  std::array<KeyTruth, 2> Keys;
};

} // namespace

RC_GTEST_PROP(CallAttempt, AnswersAreTrueUnderAnyInterleaving, ()) {
  auto Steps = *rc::gen::scale(
      4.0, rc::gen::container<std::vector<std::uint64_t>>(rc::gen::resize(
               rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>())));
  World World;
  for (std::uint64_t Bits : Steps)
    World.step(Choice(Bits));
  World.settle();
}

TEST(CallAttempt, LeavesNoClaimBehind) {
  // A copy of its claim may be committed after the attempt was answered.
  CallAttempt Attempt(CallAttemptOptions{});
  Attempt.start();
  LedgerReply Reply;
  Attempt.handle(Opened{Reply});
  Attempt.handle(SlotChosen{.Endpoint = "e1", .Address = "127.0.0.1:1"});
  Reply.set_standing(message::LEDGER_CLAIMED);
  Reply.set_dispatch(1);
  Attempt.handle(ClaimAnswered{Reply});
  ASSERT_EQ(Attempt.state(), CallAttempt::State::Joining);
  auto Effects = Attempt.handle(DeadlinePassed{});
  ASSERT_EQ(Effects.size(), 2U);
  EXPECT_EQ(std::get<Answer>(Effects[0]).Kind, AnswerKind::Unknown);
  EXPECT_TRUE(std::holds_alternative<AskClose>(Effects[1]));
}

TEST(CallAttempt, IgnoresRepliesToEarlierClaims) {
  // The first claim was released, and another attempt may hold the key now.
  CallAttempt Attempt(CallAttemptOptions{});
  Attempt.start();
  LedgerReply Reply;
  Attempt.handle(Opened{Reply});
  Attempt.handle(SlotChosen{.Endpoint = "e1", .Address = "127.0.0.1:1"});
  Reply.set_standing(message::LEDGER_GRANTED);
  Reply.set_dispatch(1);
  Attempt.handle(ClaimAnswered{Reply});
  Attempt.handle(ConnectFailed{.Dispatch = 1});
  Attempt.handle(SlotChosen{.Endpoint = "e2", .Address = "127.0.0.1:2"});
  ASSERT_EQ(Attempt.state(), CallAttempt::State::Claiming);
  EXPECT_TRUE(Attempt.handle(ClaimAnswered{Reply}).empty());
  EXPECT_TRUE(Attempt.handle(ClaimLost{.Dispatch = 1}).empty());
  Reply.set_dispatch(2);
  auto Effects = Attempt.handle(ClaimAnswered{Reply});
  ASSERT_EQ(Effects.size(), 1U);
  EXPECT_EQ(std::get<DispatchCall>(Effects[0]).Endpoint, "e2");
}
