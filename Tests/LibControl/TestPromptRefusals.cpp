//===- Tests/LibControl/TestPromptRefusals.cpp - Merged crash reports -----===//
///
/// \file
/// Guards against evidence of different entry hosts that is not added up, and
/// against more than one trial of a refused prompt at a time.
///
//===----------------------------------------------------------------------===//

#include <LibControl/PromptRefusals.h>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::minutes;
using std::chrono::seconds;

static constexpr PromptPart Guilty = 0xbad;
static constexpr TimePoint Start{std::chrono::hours(1)};

static message::PulseCall crashReport(const std::string &Engine,
                                      PromptPart Other) {
  message::PulseCall Call;
  message::CrashMessage &Crash = *Call.add_crashes();
  Crash.set_engine(Engine);
  Crash.set_age_ms(100);
  message::SuspectPromptMessage &Prompt = *Crash.add_prompts();
  Prompt.add_parts(Other);
  Prompt.add_parts(Guilty);
  Prompt.set_running_ms(200);
  Call.set_answer_count(4);
  return Call;
}

TEST(PromptRefusals, CrashesSeenByDifferentHostsAddUp) {
  PromptRefusals Refusals;
  for (int I = 0; I < 4; ++I) {
    EXPECT_FALSE(Refusals.nextCommand(Start + I * seconds(1)));
    Refusals.recordPulse(
        Start + I * seconds(1),
        crashReport("engine-" + std::to_string(I), static_cast<PromptPart>(I)));
  }
  EXPECT_TRUE(Refusals.updateSuspects(Start + seconds(3)));
  auto Command = Refusals.nextCommand(Start + seconds(4));
  ASSERT_TRUE(Command);
  EXPECT_EQ(formatParts(Command->refuse_prompt()), "bad");
  EXPECT_EQ(Command->refuse_prompt().engines_size(), 4);
}

/// Four engines that were ordered to leave their groups closed their
/// connections, and the prompts that they had in common were refused.
TEST(PromptRefusals, EnginesThatWereOrderedToLeaveAreNoEvidence) {
  PromptRefusals Refusals;
  for (int I = 0; I < 6; ++I) {
    TimePoint Now = Start + I * seconds(1);
    std::string Engine = "engine-" + std::to_string(I);
    Refusals.recordEngineAnswer(
        {.Engine = Engine,
         .SentAt = Now - std::chrono::milliseconds(105),
         .AnsweredAt = Now - std::chrono::milliseconds(99),
         .EndsRequests = true});
    message::PulseCall Call = crashReport(Engine, static_cast<PromptPart>(I));
    Refusals.recordPulse(Now, Call);
    Refusals.recordPulse(Now, Call);
  }
  EXPECT_FALSE(Refusals.nextCommand(Start + seconds(7)));
  EXPECT_FALSE(Refusals.updateSuspects(Start + seconds(7)));
  EXPECT_EQ(Refusals.disproved(), 6U);
}

TEST(PromptRefusals, EnginesThatAnswerAfterTheReportAreNoEvidence) {
  PromptRefusals Refusals;
  for (int I = 0; I < 6; ++I) {
    TimePoint Now = Start + I * seconds(1);
    std::string Engine = "engine-" + std::to_string(I);
    Refusals.recordPulse(Now, crashReport(Engine, static_cast<PromptPart>(I)));
    ASSERT_TRUE(Refusals.endEvidence().enginesToAsk().contains(Engine));
    Refusals.recordEngineAnswer(
        {.Engine = Engine,
         .SentAt = Now + std::chrono::milliseconds(50),
         .AnsweredAt = Now + std::chrono::milliseconds(55),
         .StatedLife = 17,
         .KnownLife = 17,
         .KnownSince = Start - minutes(1)});
  }
  EXPECT_FALSE(Refusals.nextCommand(Start + seconds(7)));
  EXPECT_EQ(Refusals.disproved(), 6U);
}

/// Engines that were started again under their ids answered within a second,
/// and the prompt that had ended them was never refused.
TEST(PromptRefusals, EnginesThatAreStartedAgainTakeNoCrashBack) {
  PromptRefusals Refusals;
  for (int I = 0; I < 4; ++I) {
    TimePoint Now = Start + I * seconds(1);
    std::string Engine = "engine-" + std::to_string(I);
    Refusals.recordPulse(Now, crashReport(Engine, static_cast<PromptPart>(I)));
    Refusals.recordEngineAnswer(
        {.Engine = Engine,
         .SentAt = Now + std::chrono::milliseconds(900),
         .AnsweredAt = Now + std::chrono::milliseconds(905),
         .StatedLife = 18,
         .KnownLife = 18,
         .KnownSince = Now + std::chrono::milliseconds(800)});
  }
  EXPECT_EQ(Refusals.disproved(), 0U);
  auto Command = Refusals.nextCommand(Start + seconds(4));
  ASSERT_TRUE(Command);
  EXPECT_EQ(formatParts(Command->refuse_prompt()), "bad");
}

TEST(PromptRefusals, AnAnswerOfARefusedPromptLiftsIt) {
  PromptRefusals Refusals;
  message::RegisterState State;
  State.add_refused_prompts()->add_parts(Guilty);
  Refusals.setState(Start, State);
  message::PulseCall Call;
  message::PartAnswerMessage &Answer = *Call.add_answers();
  Answer.set_part(Guilty);
  Refusals.recordPulse(Start + seconds(1), Call);
  auto Command = Refusals.nextCommand(Start + seconds(1));
  ASSERT_TRUE(Command);
  EXPECT_EQ(formatParts(Command->lift_prompt()), "bad");
  EXPECT_FALSE(Command->has_refuse_prompt());
}

TEST(PromptRefusals, OneHostAtATimeMayTryARefusedPrompt) {
  PromptRefusals Refusals;
  message::RegisterState State;
  State.add_refused_prompts()->add_parts(Guilty);
  Refusals.setState(Start, State);
  int Granted = 0;
  for (int Second = 0; Second < 659; ++Second) {
    message::PulseResult Result;
    Refusals.fillTrial(Start + seconds(Second), Result);
    Granted += Result.has_trial() ? 1 : 0;
  }
  EXPECT_EQ(Granted, 1);
  message::PulseResult Result;
  Refusals.fillTrial(Start + minutes(11), Result);
  EXPECT_TRUE(Result.has_trial()) << "the first permit was not used";
}
