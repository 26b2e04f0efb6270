//===- Tests/LibStandIn/TestEngineModel.cpp - Times of a group's work -----===//

#include <LibStandIn/EngineModel.h>
#include <gtest/gtest.h>

using namespace carobhinge;

namespace {

double toMs(Duration Length) {
  return std::chrono::duration<double, std::milli>(Length).count();
}

/// The figures of the larger model of the users' first deployment.
EngineSpec publishedSpec() {
  return {.Slots = 26,
          .MemoryTokens = 1590000,
          .StepsPerPass = 7,
          .StepMs = 5.95,
          .StepMsPerSequence = 0.0445,
          .StepMsPerThousandContext = 0.00813,
          .PrefillTokensPerSecond = 50700,
          .PrefillMsPerMillionPairs = 0.368,
          .PrefillTokensPerStep = 2048};
}

/// Runs \p Model until it is idle. \returns when request \p Number wrote its
/// first event.
TimePoint firstEvent(EngineModel &Model, std::uint64_t Number) {
  TimePoint First = TimePoint::max();
  while (auto End = Model.passEnd())
    for (const GenerationProgress &Each : Model.advance(*End))
      if (Each.Number == Number)
        First = std::min(First, *End);
  return First;
}

} // namespace

TEST(EngineModel, AloneARequestReadsItsPromptAndWritesOneEventAPass) {
  EngineModel Model(publishedSpec(), {.Pace = 1});
  TimePoint Start{};
  Model.accept(Start, {.Number = 1, .PromptTokens = 1460, .AnswerTokens = 14});
  // One step with the whole prompt: 5.95 ms, 1460 / 50.7 ms, and the pairs.
  EXPECT_NEAR(toMs(*Model.passEnd() - Start),
              5.95 + 1460 / 50.7 + 0.368 * 1460 * 730 / 1e6, 0.01);
  EXPECT_TRUE(Model.advance(*Model.passEnd()).empty());
  TimePoint Read = Start + (*Model.passEnd() - Start);
  std::vector<GenerationProgress> First = Model.advance(Read);
  ASSERT_EQ(First.size(), 1U);
  EXPECT_EQ(First.front().Tokens, 7);
  EXPECT_FALSE(First.front().Finished);
  std::vector<GenerationProgress> Second = Model.advance(*Model.passEnd());
  ASSERT_EQ(Second.size(), 1U);
  EXPECT_TRUE(Second.front().Finished);
  EXPECT_EQ(Model.passEnd(), std::nullopt);
}

TEST(EngineModel, APassOfAFullGroupTakesAboutFiftyMilliseconds) {
  EngineModel Model(publishedSpec(), {.Pace = 1});
  TimePoint Now{};
  for (std::uint64_t I = 0; I < 26; ++I)
    Model.accept(Now, {.Number = I, .PromptTokens = 10, .AnswerTokens = 700});
  // Past the reading of all prompts.
  for (int I = 0; I < 8; ++I) {
    Now = *Model.passEnd();
    Model.advance(Now);
  }
  double Pass = toMs(*Model.passEnd() - Now);
  EXPECT_NEAR(Pass, 7 * (5.95 + 26 * 0.0445), 1.0);
}

TEST(EngineModel, PaceOfModelAndSlowestMemberMultiplyAllTimes) {
  EngineModel Usual(publishedSpec(), {.Pace = 1});
  EngineModel Slow(publishedSpec(), {.Pace = 0.6});
  Slow.setPace(4);
  GenerationWork Work{.Number = 1, .PromptTokens = 700, .AnswerTokens = 7};
  Usual.accept({}, Work);
  Slow.accept({}, Work);
  double Expected = 2.4 * toMs(firstEvent(Usual, 1) - TimePoint());
  EXPECT_NEAR(toMs(firstEvent(Slow, 1) - TimePoint()), Expected, 0.01);
}

TEST(EngineModel, BeyondTheSlotsARequestWaitsForOneToEnd) {
  EngineSpec Spec = publishedSpec();
  Spec.Slots = 2;
  EngineModel Model(Spec, {.Pace = 1});
  Model.accept({}, {.Number = 1, .PromptTokens = 10, .AnswerTokens = 70});
  Model.accept({}, {.Number = 2, .PromptTokens = 10, .AnswerTokens = 700});
  Model.accept({}, {.Number = 3, .PromptTokens = 10, .AnswerTokens = 7});
  EXPECT_EQ(Model.running(), 2);
  EXPECT_EQ(Model.queued(), 1);
  // Ten passes of the first request come before.
  EXPECT_GT(toMs(firstEvent(Model, 3) - TimePoint()), 10 * 7 * 5.95);
}

TEST(EngineModel, WithoutMemoryTheNewestIsReadAgainAndLosesNothing) {
  EngineSpec Spec = publishedSpec();
  Spec.MemoryTokens = 2100;
  EngineModel Model(Spec, {.Pace = 1});
  Model.accept({}, {.Number = 1, .PromptTokens = 1000, .AnswerTokens = 140});
  Model.accept({}, {.Number = 2, .PromptTokens = 1000, .AnswerTokens = 140});
  int Tokens = 0;
  while (auto End = Model.passEnd())
    for (const GenerationProgress &Each : Model.advance(*End))
      Tokens += Each.Tokens;
  EXPECT_GT(Model.preempted(), 0U);
  EXPECT_EQ(Tokens, 280);
}

TEST(EngineModel, ACancelledRequestGivesItsSlotToTheNext) {
  EngineSpec Spec = publishedSpec();
  Spec.Slots = 1;
  EngineModel Model(Spec, {.Pace = 1});
  Model.accept({}, {.Number = 1, .PromptTokens = 10, .AnswerTokens = 70000});
  Model.accept({}, {.Number = 2, .PromptTokens = 10, .AnswerTokens = 7});
  Model.advance(*Model.passEnd());
  Model.cancel(1);
  EXPECT_LT(toMs(firstEvent(Model, 2) - TimePoint()), 500);
}
