//===- Tests/LibLedger/TestCallAttempt.cpp - Call attempts on a ledger ----===//
///
/// \file
/// Guards against calls that run twice and false "not run" answers. Runs call
/// attempts of several hosts against one ledger in random interleavings with
/// lost replies, late and duplicated proposals, refused and broken connections,
/// and restarts while the earlier incarnation still runs. A fake service counts
/// executions. Every answer is checked when it is given and against all later
/// executions.
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

constexpr std::int64_t TimestampMs = 20'788LL * 86'400'000;

/// Random bits of one step, consumed from the low end.
class RandomSource {
public:
  explicit RandomSource(std::uint64_t Bits) : Bits(Bits) {}
  std::size_t below(std::size_t Bound) {
    std::size_t Out = this->Bits % Bound;
    this->Bits /= Bound;
    return Out;
  }

private:
  std::uint64_t Bits;
};

/// The step between writing the first byte and reading the answer.
struct AwaitAnswer {
  bool Executed = false;
};
using PendingStep = std::variant<CallEffect, AwaitAnswer>;

struct Call {
  Call(const CallAttemptOptions &Options, std::size_t Key, std::string Digest)
      : Attempt(Options), Key(Key), Digest(std::move(Digest)) {}

  CallAttempt Attempt;
  std::size_t Key;
  std::string Digest;
  std::deque<PendingStep> PendingSteps;
  /// The index of the first open, which orders calls by age.
  std::optional<std::uint64_t> OpenedAt;
  std::uint64_t ClosedAt = 0;
  /// Claim replies that may be delivered again after the driver's time limit.
  std::vector<LedgerReply> LateReplies;
  int SlotsHeld = 0;
  bool CallerConnected = true;
  std::vector<Answer> Answers;
};

struct ExpectedKeyState {
  int Executions = 0;
  std::string Digest;
  /// Calls opened before this index were answered as not run.
  std::uint64_t RefusedAt = 0;
};

class CallSimulation {
public:
  void step(RandomSource Random) {
    switch (Random.below(12)) {
    case 0:
      if (this->Calls.size() < 8)
        this->startCall(Random);
      break;
    case 1:
      if (!this->LateCommands.empty())
        this->apply(
            this->LateCommands[Random.below(this->LateCommands.size())]);
      break;
    case 2:
      this->interruptCall(Random);
      break;
    case 3:
      if (Random.below(4) == 0)
        this->restartHost(Random.below(Hosts));
      break;
    default:
      if (!this->Calls.empty())
        this->runNextStep(this->Calls[Random.below(this->Calls.size())], Random,
                          false);
    }
  }

  /// Runs all calls to their end without further faults.
  void finishAllCalls() {
    for (int Round = 0; Round < 200; ++Round)
      for (auto &Each : this->Calls)
        this->runNextStep(Each, RandomSource(0), true);
    for (auto &Each : this->Calls) {
      RC_ASSERT(Each->Attempt.ended());
      RC_ASSERT(Each->SlotsHeld == 0);
      RC_ASSERT(!Each->CallerConnected || Each->Answers.size() == 1);
    }
  }

private:
  using CallPointer = std::unique_ptr<Call>;
  static constexpr std::size_t Hosts = 3;

  void startCall(RandomSource &Random) {
    std::size_t Host = Random.below(Hosts);
    CallAttemptOptions Options;
    std::size_t Key = Random.below(2);
    Options.Key.set_service("ledger");
    Options.Key.set_key("2026-12-01-" + std::to_string(Key));
    Options.ContentDigest = Random.below(8) == 0 ? "other" : "same";
    Options.Attempt.set_host("host" + std::to_string(Host));
    Options.Attempt.set_incarnation(this->Incarnations[Host]);
    Options.Attempt.set_attempt(++this->AttemptCount);
    Options.BodyBytes = 64;
    this->Calls.push_back(
        std::make_unique<Call>(Options, Key, Options.ContentDigest));
    this->queueEffects(*this->Calls.back(),
                       this->Calls.back()->Attempt.start());
  }

  void interruptCall(RandomSource &Random) {
    if (this->Calls.empty())
      return;
    Call &ActiveCall = *this->Calls[Random.below(this->Calls.size())];
    switch (Random.below(5)) {
    case 4:
      if (!ActiveCall.LateReplies.empty())
        this->deliver(ActiveCall,
                      ClaimAnswered{ActiveCall.LateReplies[Random.below(
                          ActiveCall.LateReplies.size())]});
      break;
    case 0:
      ActiveCall.CallerConnected =
          ActiveCall.CallerConnected && !ActiveCall.Answers.empty();
      this->deliver(ActiveCall, CallerDisconnected{});
      break;
    case 1:
      this->deliver(ActiveCall, ShutDown{});
      break;
    case 2:
      this->deliver(ActiveCall, RecordTimeoutPassed{});
      break;
    default:
      this->deliver(ActiveCall, DeadlinePassed{});
    }
  }

  /// The calls of the earlier incarnation continue, like those of a process
  /// that was suspended.
  void restartHost(std::size_t Host) {
    LedgerCommand Command;
    Command.mutable_retire()->set_host("host" + std::to_string(Host));
    Command.mutable_retire()->set_incarnation(++this->Incarnations[Host]);
    this->apply(Command);
  }

  void deliver(Call &ActiveCall, const CallEvent &Event) {
    this->queueEffects(ActiveCall, ActiveCall.Attempt.handle(Event));
  }

  void queueEffects(Call &ActiveCall, std::vector<CallEffect> Effects) {
    for (CallEffect &Each : Effects)
      if (const auto *NewAnswer = std::get_if<Answer>(&Each))
        this->checkAnswer(ActiveCall, *NewAnswer);
      else
        ActiveCall.PendingSteps.emplace_back(std::move(Each));
  }

  void checkAnswer(Call &ActiveCall, const Answer &NewAnswer) {
    ActiveCall.Answers.push_back(NewAnswer);
    RC_ASSERT(ActiveCall.Answers.size() == 1U);
    ExpectedKeyState &Expected = this->Keys[ActiveCall.Key];
    if (NewAnswer.Kind == AnswerKind::Answered) {
      RC_ASSERT(Expected.Executions == 1);
      RC_ASSERT(NewAnswer.Body == "receipt");
      RC_ASSERT(ActiveCall.Digest == Expected.Digest);
    }
    if (NewAnswer.Kind == AnswerKind::NotRun) {
      RC_ASSERT(ActiveCall.ClosedAt > 0U);
      Expected.RefusedAt = std::max(Expected.RefusedAt, ActiveCall.ClosedAt);
    }
  }

  void execute(Call &ActiveCall) {
    ExpectedKeyState &Expected = this->Keys[ActiveCall.Key];
    ++Expected.Executions;
    Expected.Digest = ActiveCall.Digest;
    RC_ASSERT(Expected.Executions == 1);
    // A call that was open when another was answered as not run must not run.
    RC_ASSERT(*ActiveCall.OpenedAt >= Expected.RefusedAt);
  }

  LedgerReply apply(const LedgerCommand &Command) {
    LedgerReply Reply;
    Reply.ParseFromString(this->State.apply(++this->Index, TimestampMs,
                                            Command.SerializeAsString()));
    return Reply;
  }

  /// Proposes a command that may be committed or not, now or later, once or
  /// twice, with or without a reply.
  std::optional<LedgerReply> propose(Call &ActiveCall,
                                     const LedgerCommand &Command,
                                     RandomSource &Random, bool FaultFree) {
    std::size_t FaultKind = FaultFree ? 0 : Random.below(6);
    if (FaultKind >= 2)
      this->LateCommands.push_back(Command);
    if (FaultKind >= 4)
      return std::nullopt;
    LedgerReply Reply = this->apply(Command);
    if (Command.has_claim())
      ActiveCall.LateReplies.push_back(Reply);
    if (FaultKind == 1 || FaultKind == 2)
      return std::nullopt;
    return Reply;
  }

  void runNextStep(CallPointer &Pointer, RandomSource Random, bool FaultFree) {
    Call &ActiveCall = *Pointer;
    if (ActiveCall.PendingSteps.empty())
      return;
    PendingStep Next = std::move(ActiveCall.PendingSteps.front());
    ActiveCall.PendingSteps.pop_front();
    if (const auto *Await = std::get_if<AwaitAnswer>(&Next)) {
      this->finishDispatch(ActiveCall, *Await, Random, FaultFree);
      return;
    }
    std::visit(
        [&](const auto &Each) {
          this->perform(ActiveCall, Each, Random, FaultFree);
        },
        std::get<CallEffect>(Next));
  }

  void readLedger(Call &ActiveCall, RandomSource &Random, bool FaultFree,
                  bool First) {
    if (!FaultFree && Random.below(6) == 0) {
      this->deliver(ActiveCall, LedgerUnreachable{});
      return;
    }
    message::LedgerKey Key;
    Key.set_service("ledger");
    Key.set_key("2026-12-01-" + std::to_string(ActiveCall.Key));
    LedgerReply Reply = this->State.open(Key, ActiveCall.Digest, this->Index);
    if (!ActiveCall.OpenedAt)
      ActiveCall.OpenedAt = this->Index;
    if (First)
      this->deliver(ActiveCall, Opened{Reply});
    else
      this->deliver(ActiveCall, JoinAnswered{Reply});
  }

  void perform(Call &ActiveCall, const RequestOpen &, RandomSource &Random,
               bool FaultFree) {
    this->readLedger(ActiveCall, Random, FaultFree, true);
  }
  void perform(Call &ActiveCall, const RequestJoin &, RandomSource &Random,
               bool FaultFree) {
    this->readLedger(ActiveCall, Random, FaultFree, false);
  }
  void perform(Call &ActiveCall, const EnterQueue &, RandomSource &Random,
               bool FaultFree) {
    if (!FaultFree && Random.below(3) == 0) {
      this->deliver(ActiveCall,
                    RefusedByRouting{.Reason = "overload",
                                     .RetryAfter = std::chrono::seconds(2)});
      return;
    }
    ++ActiveCall.SlotsHeld;
    this->deliver(ActiveCall,
                  SlotChosen{.Endpoint = "e1", .Address = "127.0.0.1:1"});
  }
  void perform(Call &, const LeaveQueue &, RandomSource &, bool) {}
  void perform(Call &ActiveCall, const ProposeClaim &Effect,
               RandomSource &Random, bool FaultFree) {
    auto Reply = this->propose(ActiveCall, Effect.Command, Random, FaultFree);
    if (Reply)
      this->deliver(ActiveCall, ClaimAnswered{*Reply});
    else
      this->deliver(ActiveCall,
                    ClaimUnconfirmed{Effect.Command.claim().dispatch()});
  }
  void perform(Call &ActiveCall, const ProposeRelease &Effect,
               RandomSource &Random, bool FaultFree) {
    this->propose(ActiveCall, Effect.Command, Random, FaultFree);
  }
  void perform(Call &ActiveCall, const ProposeOutcome &Effect,
               RandomSource &Random, bool FaultFree) {
    if (this->propose(ActiveCall, Effect.Command, Random, FaultFree))
      this->deliver(ActiveCall, OutcomeRecorded{});
    else
      this->deliver(ActiveCall, OutcomeUnconfirmed{});
  }
  void perform(Call &ActiveCall, const ProposeClose &Effect,
               RandomSource &Random, bool FaultFree) {
    auto Reply = this->propose(ActiveCall, Effect.Command, Random, FaultFree);
    if (!Reply) {
      this->deliver(ActiveCall, CloseUnconfirmed{});
      return;
    }
    ActiveCall.ClosedAt = Reply->index();
    // Holds when the close is committed; newer calls may run later.
    if (Reply->standing() == message::LEDGER_CLOSED)
      RC_ASSERT(this->Keys[ActiveCall.Key].Executions == 0);
    this->deliver(ActiveCall, CloseAnswered{*Reply});
  }
  void perform(Call &ActiveCall, const DispatchCall &Effect,
               RandomSource &Random, bool FaultFree) {
    if (!FaultFree && Random.below(4) == 0) {
      this->deliver(ActiveCall, ConnectFailed{Effect.Number});
      return;
    }
    std::size_t Before = ActiveCall.PendingSteps.size();
    this->deliver(ActiveCall, ByteWritten{Effect.Number});
    if (ActiveCall.PendingSteps.size() > Before &&
        std::holds_alternative<CancelDispatch>(
            std::get<CallEffect>(ActiveCall.PendingSteps.back())))
      return;
    AwaitAnswer Await{.Executed = FaultFree || Random.below(3) != 0};
    if (Await.Executed)
      this->execute(ActiveCall);
    ActiveCall.PendingSteps.emplace_back(Await);
  }
  void perform(Call &ActiveCall, const CancelDispatch &Effect, RandomSource &,
               bool) {
    this->deliver(ActiveCall, ConnectFailed{Effect.Number});
  }
  void perform(Call &ActiveCall, const ReleaseSlot &, RandomSource &, bool) {
    --ActiveCall.SlotsHeld;
    RC_ASSERT(ActiveCall.SlotsHeld >= 0);
  }
  void perform(Call &, const Answer &, RandomSource &, bool) {}

  void finishDispatch(Call &ActiveCall, const AwaitAnswer &Await,
                      RandomSource &Random, bool FaultFree) {
    std::size_t FaultKind = FaultFree ? 0 : Random.below(4);
    if (!Await.Executed || FaultKind == 3) {
      this->deliver(ActiveCall, BrokenOff{});
      return;
    }
    this->deliver(ActiveCall,
                  AnswerRead{.Status = 200,
                             .ContentType = "text/plain",
                             .Body = FaultKind == 2 ? "rece" : "receipt",
                             .Complete = FaultKind != 2});
  }

  Ledger State{{.ClosedMarks = 2}};
  std::uint64_t Index = 0;
  std::vector<CallPointer> Calls;
  std::vector<LedgerCommand> LateCommands;
  std::array<Incarnation, Hosts> Incarnations{1, 1, 1};
  std::uint64_t AttemptCount = 0;
  std::array<ExpectedKeyState, 2> Keys;
};

} // namespace

RC_GTEST_PROP(CallAttempt, AnswersAreCorrectUnderAnyInterleaving, ()) {
  auto Steps = *rc::gen::scale(
      4.0, rc::gen::container<std::vector<std::uint64_t>>(rc::gen::resize(
               rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>())));
  CallSimulation Simulation;
  for (std::uint64_t Bits : Steps)
    Simulation.step(RandomSource(Bits));
  Simulation.finishAllCalls();
}

TEST(CallAttempt, ClosesPossibleClaimAfterDeadline) {
  // A copy of the claim may be committed after the attempt was answered, so the
  // attempt must still close the key.
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
  EXPECT_TRUE(std::holds_alternative<ProposeClose>(Effects[1]));
}

TEST(CallAttempt, IgnoresRepliesToEarlierClaims) {
  // The first claim was released, so another attempt may now hold the key.
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
  EXPECT_TRUE(Attempt.handle(ClaimUnconfirmed{.Dispatch = 1}).empty());
  Reply.set_dispatch(2);
  auto Effects = Attempt.handle(ClaimAnswered{Reply});
  ASSERT_EQ(Effects.size(), 1U);
  EXPECT_EQ(std::get<DispatchCall>(Effects[0]).Endpoint, "e2");
}
