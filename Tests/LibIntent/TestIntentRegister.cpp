//===- Tests/LibIntent/TestIntentRegister.cpp - Races and resends ---------===//
///
/// \file
/// Operators that race, resend and restore in any order, against a plain list
/// of what was accepted.
///
//===----------------------------------------------------------------------===//

#include <LibCore/Hash.h>
#include <LibIntent/IntentRegister.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;

static message::IntentResult apply(IntentRegister &Register, std::uint64_t Base,
                                   const std::string &Operator,
                                   const std::string &Text,
                                   std::int64_t StampMs = 0) {
  message::IntentCommand Command;
  Command.set_base_version(Base);
  Command.set_operator_name(Operator);
  Command.set_text(Text);
  message::IntentResult Result;
  EXPECT_TRUE(Result.ParseFromString(
      Register.apply(1, StampMs, Command.SerializeAsString())));
  return Result;
}

TEST(IntentRegister, OfTwoRacingOperatorsOneIsToldWhoWon) {
  IntentRegister Register;
  EXPECT_EQ(apply(Register, 0, "amal", "a", 5).accepted().version(), 1);
  message::IntentResult Lost = apply(Register, 0, "badr", "b", 6);
  ASSERT_TRUE(Lost.has_conflict());
  EXPECT_EQ(Lost.conflict().winner().operator_name(), "amal");
  EXPECT_EQ(Lost.conflict().winner().stamp_ms(), 5);
  EXPECT_EQ(Lost.conflict().winner().digest(), digest("a"));
  EXPECT_EQ(Lost.conflict().current().version(), 1);
  EXPECT_EQ(Register.text(), "a");
}

TEST(IntentRegister, ABaseNotYetReachedIsAConflict) {
  IntentRegister Register;
  message::IntentResult Result = apply(Register, 3, "amal", "a");
  ASSERT_TRUE(Result.has_conflict());
  EXPECT_FALSE(Result.conflict().has_winner());
  EXPECT_EQ(Register.version(), 0);
}

TEST(IntentRegister, AMalformedCommandChangesNothing) {
  IntentRegister Register;
  message::IntentResult Result;
  ASSERT_TRUE(Result.ParseFromString(Register.apply(1, 0, "\xff\xff")));
  EXPECT_TRUE(Result.has_malformed());
  EXPECT_EQ(Register.version(), 0);
  EXPECT_THROW(Register.restore("\xff\xff"), std::runtime_error);
}

TEST(IntentRegister, HistoryIsBoundedAndStillTellsTheCurrentVersion) {
  IntentRegister Register;
  std::uint64_t Last = IntentRegister::HistoryLimit + 10;
  for (std::uint64_t Base = 0; Base < Last; ++Base)
    apply(Register, Base, "amal", std::to_string(Base));
  EXPECT_EQ(Register.history().size(), IntentRegister::HistoryLimit);
  message::IntentResult Old = apply(Register, 0, "amal", "0");
  ASSERT_TRUE(Old.has_conflict());
  EXPECT_FALSE(Old.conflict().has_winner());
  EXPECT_EQ(Old.conflict().current().version(), Last);
}

/// Any mix of operators, bases, texts, resends and restores.
RC_GTEST_PROP(IntentRegister, AcceptedNeverReverts, ()) {
  IntentRegister Register;
  std::vector<message::IntentEntry> Accepted;
  std::vector<std::string> Texts;
  auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
  for (int Step : Steps) {
    std::uint64_t Base =
        Accepted.size() - std::min<std::size_t>(Accepted.size(), Step % 4);
    std::string Text = "text " + std::to_string(Step / 4 % 5);
    std::string Operator = Step % 3 ? "amal" : "badr";
    message::IntentResult Result = apply(Register, Base, Operator, Text, Step);
    if (Base == Accepted.size()) {
      RC_ASSERT(Result.accepted().operator_name() == Operator);
      Accepted.push_back(Result.accepted());
      Texts.push_back(Text);
    } else if (Texts[Base] == Text) {
      RC_ASSERT(Result.accepted().SerializeAsString() ==
                Accepted[Base].SerializeAsString());
    } else {
      RC_ASSERT(Result.conflict().winner().SerializeAsString() ==
                Accepted[Base].SerializeAsString());
    }
    RC_ASSERT(Register.version() == Accepted.size());
    RC_ASSERT(Register.text() == Texts.back());
    IntentRegister Restored;
    Restored.restore(Register.snapshot());
    RC_ASSERT(Restored.snapshot() == Register.snapshot());
    if (Step % 7 == 0)
      Register = Restored;
  }
}
