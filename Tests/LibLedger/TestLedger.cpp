//===- Tests/LibLedger/TestLedger.cpp - Rules of the ledger ---------------===//
///
/// \file
/// Drives a ledger with random commands, late copies and restores included,
/// and judges every grant by the whole history rather than by a second copy of
/// the ledger's state.
///
//===----------------------------------------------------------------------===//

#include <LibLedger/Ledger.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;
using message::LedgerCommand;
using message::LedgerReply;

namespace {

constexpr std::int64_t DayMs = 86'400'000;
/// 2026-12-01, the day on which the tests' keys are new.
constexpr std::int64_t Today = 20'788 * DayMs;

message::LedgerKey keyOf(std::string_view Key) {
  message::LedgerKey Out;
  Out.set_workspace("tanta");
  Out.set_service("ledger");
  Out.set_key(std::string(Key));
  return Out;
}

struct Asking {
  std::string Key = "2026-12-01-a";
  std::string Digest = "d";
  std::string Host = "h1";
  Incarnation Life = 1;
  std::uint64_t Attempt = 1;
  std::uint32_t Dispatch = 1;
  std::uint64_t Ticket = 0;
  message::LedgerKeyRule Rule = message::LEDGER_KEY_DATED;
  std::uint32_t RetentionDays = 30;
};

template <typename Message> void fill(Message &Out, const Asking &Who) {
  *Out.mutable_key() = keyOf(Who.Key);
  Out.mutable_attempt()->set_host(Who.Host);
  Out.mutable_attempt()->set_incarnation(Who.Life);
  Out.mutable_attempt()->set_attempt(Who.Attempt);
}

LedgerCommand claimOf(const Asking &Who) {
  LedgerCommand Out;
  fill(*Out.mutable_claim(), Who);
  Out.mutable_claim()->set_content_digest(Who.Digest);
  Out.mutable_claim()->set_dispatch(Who.Dispatch);
  Out.mutable_claim()->set_ticket(Who.Ticket);
  Out.mutable_claim()->set_endpoint("e1");
  Out.mutable_claim()->set_rule(Who.Rule);
  Out.mutable_claim()->set_retention_days(Who.RetentionDays);
  return Out;
}

LedgerCommand releaseOf(const Asking &Who) {
  LedgerCommand Out;
  fill(*Out.mutable_release(), Who);
  Out.mutable_release()->set_dispatch(Who.Dispatch);
  return Out;
}

LedgerCommand closeOf(const Asking &Who) {
  LedgerCommand Out;
  fill(*Out.mutable_close(), Who);
  Out.mutable_close()->set_content_digest(Who.Digest);
  return Out;
}

LedgerCommand recordOf(const Asking &Who, bool Answered,
                       std::string_view Body = "receipt") {
  LedgerCommand Out;
  fill(*Out.mutable_record(), Who);
  message::LedgerOutcome &Outcome = *Out.mutable_record()->mutable_outcome();
  Outcome.set_answered(Answered);
  Outcome.set_body(std::string(Body));
  Outcome.set_body_bytes(Body.size());
  return Out;
}

LedgerCommand retireOf(std::string_view Host, Incarnation Life) {
  LedgerCommand Out;
  Out.mutable_retire()->set_host(std::string(Host));
  Out.mutable_retire()->set_incarnation(Life);
  return Out;
}

LedgerCommand pruneOf(std::uint32_t RetentionDays) {
  LedgerCommand Out;
  Out.mutable_prune()->set_service("ledger");
  Out.mutable_prune()->set_retention_days(RetentionDays);
  return Out;
}

/// A ledger with its log position.
class Bench {
public:
  explicit Bench(LedgerLimits Limits = {})
      : Limits(Limits), State(std::make_unique<Ledger>(Limits)) {}

  LedgerReply apply(const LedgerCommand &Command) {
    LedgerReply Reply;
    Reply.ParseFromString(this->State->apply(++this->Index, this->StampMs,
                                             Command.SerializeAsString()));
    return Reply;
  }
  message::LedgerStanding standing(const LedgerCommand &Command) {
    return this->apply(Command).standing();
  }
  [[nodiscard]] LedgerReply open(const Asking &Who) const {
    return this->State->open(keyOf(Who.Key), Who.Digest, this->Index);
  }
  void restart() {
    std::string Bytes = this->State->snapshot();
    this->State = std::make_unique<Ledger>(this->Limits);
    this->State->restore(Bytes);
  }

  LedgerLimits Limits;
  std::unique_ptr<Ledger> State;
  std::uint64_t Index = 0;
  std::int64_t StampMs = Today;
};

/// What the history of one key says, by definition rather than by bookkeeping.
struct KeyHistory {
  bool Open = false;
  Asking Holder;
  std::string Outcome;
  std::string Digest;
  std::uint64_t ClosedAt = 0;
};

} // namespace

RC_GTEST_PROP(Ledger, GrantsFollowTheHistory, ()) {
  Bench Bench({.BodyBytes = 8, .ClosedMarks = 2});
  std::map<std::string, KeyHistory> Model;
  std::map<std::string, Incarnation> Newest;
  std::vector<LedgerCommand> Sent;
  auto Steps = *rc::gen::scale(
      4.0, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::resize(
               rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>())));
  for (std::uint32_t Step : Steps) {
    Asking Who{.Key = Step & 1 ? "2026-12-01-a" : "2026-12-01-b",
               .Digest = (Step >> 1) % 8 == 0 ? "other" : "d",
               .Host = Step & 16 ? "h1" : "h2",
               .Life = 1 + (Step >> 5) % 3,
               .Attempt = 1 + (Step >> 7) % 2,
               .Dispatch = 1 + (Step >> 8) % 2,
               .Ticket = Bench.Index -
                         std::min<std::uint64_t>(Bench.Index, (Step >> 9) % 8)};
    KeyHistory &Key = Model[Who.Key];
    bool Holds = Key.Open && Key.Holder.Host == Who.Host &&
                 Key.Holder.Life == Who.Life &&
                 Key.Holder.Attempt == Who.Attempt;
    switch ((Step >> 12) % 6) {
    case 0: {
      auto Reply = Bench.apply(claimOf(Who));
      bool Granted = Reply.standing() == message::LEDGER_GRANTED;
      if (Holds) {
        RC_ASSERT(Granted == (Who.Dispatch >= Key.Holder.Dispatch));
      } else {
        bool Free = !Key.Open && Key.Outcome.empty();
        bool Stands = Who.Ticket >= Key.ClosedAt &&
                      Who.Ticket >= Bench.State->horizon() &&
                      Who.Life >= Newest[Who.Host];
        RC_ASSERT(Granted == (Free && Stands));
        if (!Free && Who.Digest != Key.Digest)
          RC_ASSERT(Reply.standing() == message::LEDGER_CONFLICT);
      }
      if (Granted) {
        Key.Open = true;
        if (!Holds)
          Key.Digest = Who.Digest;
        Key.Holder = Who;
      }
      break;
    }
    case 1:
      Bench.apply(releaseOf(Who));
      if (Holds && Who.Dispatch == Key.Holder.Dispatch)
        Key.Open = false;
      break;
    case 2: {
      bool Answered = Step & (1U << 20);
      Bench.apply(recordOf(Who, Answered, std::to_string(Bench.Index)));
      bool Mine = Key.Holder.Host == Who.Host && Key.Holder.Life == Who.Life &&
                  Key.Holder.Attempt == Who.Attempt;
      if (Mine && (Key.Open || (Answered && Key.Outcome == "unknown"))) {
        Key.Outcome = Answered ? std::to_string(Bench.Index - 1) : "unknown";
        Key.Open = false;
      }
      break;
    }
    case 3: {
      auto Reply = Bench.apply(closeOf(Who));
      if (Holds)
        Key.Open = false;
      bool Closed = !Key.Open && Key.Outcome.empty();
      RC_ASSERT(Closed == (Reply.standing() == message::LEDGER_CLOSED));
      if (Key.Outcome.empty())
        Key.ClosedAt = Bench.Index;
      break;
    }
    case 4:
      Bench.apply(retireOf(Who.Host, Who.Life));
      Newest[Who.Host] = std::max(Newest[Who.Host], Who.Life);
      for (auto &[Name, Each] : Model) {
        if (!Each.Open || Each.Holder.Host != Who.Host ||
            Each.Holder.Life >= Newest[Who.Host])
          continue;
        Each.Open = false;
        Each.Outcome = "unknown";
      }
      break;
    default:
      Bench.restart();
    }
    auto Seen = Bench.open(Who);
    auto Expected = Key.Open                   ? message::LEDGER_CLAIMED
                    : Key.Outcome.empty()      ? message::LEDGER_FREE
                    : Key.Outcome == "unknown" ? message::LEDGER_UNKNOWN
                                               : message::LEDGER_ANSWERED;
    if (Expected != message::LEDGER_FREE && Who.Digest != Key.Digest)
      Expected = message::LEDGER_CONFLICT;
    RC_ASSERT(Seen.standing() == Expected);
    if (Expected == message::LEDGER_ANSWERED)
      RC_ASSERT(Seen.outcome().body() == Key.Outcome);
    RC_ASSERT(Bench.State->closedCount() <= 2U);
  }
}

TEST(Ledger, LateReleaseFreesNoNewerClaim) {
  Bench Bench;
  Bench.apply(claimOf({.Dispatch = 1}));
  Bench.apply(releaseOf({.Dispatch = 1}));
  Bench.apply(claimOf({.Dispatch = 2}));
  Bench.apply(releaseOf({.Dispatch = 1}));
  EXPECT_EQ(Bench.standing(claimOf({.Host = "h2"})), message::LEDGER_CLAIMED);
}

TEST(Ledger, ForgottenClosedMarkRaisesTheHorizon) {
  Bench Bench({.ClosedMarks = 1});
  Bench.apply(closeOf({.Key = "2026-12-01-a"}));
  Bench.apply(closeOf({.Key = "2026-12-01-b"}));
  EXPECT_EQ(Bench.State->closedCount(), 1U);
  Bench.restart();
  EXPECT_EQ(Bench.standing(claimOf({.Key = "2026-12-01-a", .Ticket = 0})),
            message::LEDGER_TICKET_REFUSED);
  EXPECT_EQ(Bench.standing(claimOf({.Key = "2026-12-01-a", .Ticket = 1})),
            message::LEDGER_GRANTED);
}

TEST(Ledger, ForgottenRecordNeverRunsAgain) {
  Bench Bench;
  Bench.apply(claimOf({}));
  Bench.apply(recordOf({}, true));
  Bench.StampMs += 31 * DayMs;
  Bench.apply(pruneOf(30));
  EXPECT_EQ(Bench.State->recordCount(), 0U);
  Bench.restart();
  // Neither a longer retention nor another rule brings the key back.
  Asking Late{.Ticket = Bench.Index, .RetentionDays = 400};
  EXPECT_EQ(Bench.open(Late).refusal(), message::LEDGER_KEY_TOO_OLD);
  EXPECT_EQ(Bench.apply(claimOf(Late)).refusal(), message::LEDGER_KEY_TOO_OLD);
  Late.Rule = message::LEDGER_KEY_KEPT;
  EXPECT_EQ(Bench.apply(claimOf(Late)).refusal(), message::LEDGER_KEY_TOO_OLD);
  // A refusal of the key must not be read as "not run".
  EXPECT_EQ(Bench.apply(closeOf(Late)).refusal(), message::LEDGER_KEY_TOO_OLD);
}

TEST(Ledger, KeptRecordsStayAndAreBounded) {
  Bench Bench({.KeptRecords = 2, .Records = 3});
  auto Kept = [](std::string Key) {
    return Asking{.Key = std::move(Key), .Rule = message::LEDGER_KEY_KEPT};
  };
  Bench.apply(claimOf(Kept("2026-12-01-a")));
  Bench.apply(claimOf(Kept("plain")));
  Bench.restart();
  EXPECT_EQ(Bench.apply(claimOf(Kept("third"))).refusal(),
            message::LEDGER_KEY_NO_ROOM);
  EXPECT_EQ(Bench.standing(claimOf({.Key = "2026-12-01-b"})),
            message::LEDGER_GRANTED);
  EXPECT_EQ(Bench.apply(claimOf({.Key = "2026-12-01-c"})).refusal(),
            message::LEDGER_KEY_NO_ROOM);
  Bench.StampMs += 400 * DayMs;
  Bench.apply(pruneOf(30));
  EXPECT_EQ(Bench.State->recordCount(), 2U);
  EXPECT_EQ(Bench.open(Kept("2026-12-01-a")).standing(),
            message::LEDGER_CLAIMED);
}

TEST(Ledger, KeysAreJudgedByTheirDay) {
  struct {
    const char *Key;
    message::LedgerKeyRefusal Refusal;
  } Cases[] = {{"2026-12-02-a", message::LEDGER_KEY_ACCEPTED},
               {"2026-12-03-a", message::LEDGER_KEY_TOO_NEW},
               {"2026-11-01-a", message::LEDGER_KEY_ACCEPTED},
               {"2026-10-31-a", message::LEDGER_KEY_TOO_OLD},
               {"2026-02-30-a", message::LEDGER_KEY_NOT_DATED},
               {"2026-+1-01-a", message::LEDGER_KEY_NOT_DATED},
               {"2026-12-01", message::LEDGER_KEY_NOT_DATED},
               {"payout", message::LEDGER_KEY_NOT_DATED}};
  Bench Bench;
  for (const auto &Each : Cases)
    EXPECT_EQ(Bench.apply(claimOf({.Key = Each.Key})).refusal(), Each.Refusal)
        << Each.Key;
  std::string Long = "2026-12-01-" + std::string(300, 'x');
  EXPECT_EQ(Bench.apply(claimOf({.Key = Long})).refusal(),
            message::LEDGER_KEY_TOO_LONG);
}

TEST(Ledger, LongBodiesAreKeptAsLengthOnly) {
  Bench Bench({.BodyBytes = 8, .BodyTotalBytes = 12});
  auto BodyAfter = [&](const std::string &Key, std::string_view Body) {
    Bench.apply(claimOf({.Key = Key}));
    Bench.apply(recordOf({.Key = Key}, true, Body));
    auto Outcome = Bench.open({.Key = Key}).outcome();
    EXPECT_EQ(Outcome.body_bytes(), Body.size());
    return Outcome.body();
  };
  EXPECT_EQ(BodyAfter("2026-12-01-a", "123456789"), "");
  EXPECT_EQ(BodyAfter("2026-12-01-b", "12345678"), "12345678");
  Bench.restart();
  EXPECT_EQ(BodyAfter("2026-12-01-c", "12345"), "");
  EXPECT_EQ(BodyAfter("2026-12-01-d", "1234"), "1234");
  // Room comes back with what is forgotten.
  Bench.StampMs += 32 * DayMs;
  Bench.apply(pruneOf(30));
  EXPECT_EQ(BodyAfter("2027-01-02-a", "12345678"), "12345678");
}

TEST(Ledger, DamagedBytesChangeNothing) {
  Bench Bench;
  Bench.apply(claimOf({}));
  std::string Before = Bench.State->snapshot();
  LedgerReply Reply;
  Reply.ParseFromString(Bench.State->apply(9, Today, "\xff\xff"));
  EXPECT_EQ(Reply.standing(), message::LEDGER_MALFORMED);
  EXPECT_THROW(Bench.State->restore("\xff\xff"), std::runtime_error);
  EXPECT_EQ(Bench.State->snapshot(), Before);
}

TEST(Ledger, ShardsAreStableAndEven) {
  EXPECT_EQ(ledgerShard(keyOf("2026-12-01-a"), 1), 0U);
  std::array<int, 4> Keys{};
  for (int Each = 0; Each < 4000; ++Each)
    ++Keys[ledgerShard(keyOf(std::to_string(Each)), 4)];
  for (int Count : Keys)
    EXPECT_NEAR(Count, 1000, 200);
}
