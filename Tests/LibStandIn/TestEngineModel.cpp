//===- Tests/LibStandIn/TestEngineModel.cpp - Times of passes -------------===//
///
/// \file
/// Guards against simulated times that differ from the published measurements,
/// and against requests or tokens that the model loses when its slots or its
/// memory are full.
///
//===----------------------------------------------------------------------===//

#include <LibStandIn/EngineModel.h>
#include <gtest/gtest.h>

using namespace carobhinge;

namespace {

double toMs(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

/// Published measurements of the larger model of the first deployment.
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

/// Runs \p Model until it is idle. \returns the time of the first event of
/// request \p Number, or TimePoint::max() if it had none.
TimePoint firstEventTime(EngineModel &Model, std::uint64_t Number) {
  TimePoint First = TimePoint::max();
  while (auto End = Model.passEnd())
    for (const GenerationProgress &Each : Model.advance(*End))
      if (Each.Number == Number)
        First = std::min(First, *End);
  return First;
}

} // namespace

TEST(EngineModel, PrefillsASingleRequestAndThenDecodesOneEventPerPass) {
  EngineModel Model(publishedSpec(), {.Pace = 1});
  TimePoint Start{};
  Model.accept(Start, {.Number = 1, .PromptTokens = 1460, .AnswerTokens = 14});
  // One step prefills the whole prompt: 5.95 ms for the step, 1460 / 50.7 ms
  // for the tokens, and the time of the attention pairs.
  EXPECT_NEAR(toMs(*Model.passEnd() - Start),
              5.95 + 1460 / 50.7 + 0.368 * 1460 * 730 / 1e6, 0.01);
  EXPECT_TRUE(Model.advance(*Model.passEnd()).empty());
  TimePoint PrefillEnd = Start + (*Model.passEnd() - Start);
  std::vector<GenerationProgress> First = Model.advance(PrefillEnd);
  ASSERT_EQ(First.size(), 1U);
  EXPECT_EQ(First.front().Tokens, 7);
  EXPECT_FALSE(First.front().Finished);
  std::vector<GenerationProgress> Second = Model.advance(*Model.passEnd());
  ASSERT_EQ(Second.size(), 1U);
  EXPECT_TRUE(Second.front().Finished);
  EXPECT_EQ(Model.passEnd(), std::nullopt);
}

TEST(EngineModel, DecodesAFullBatchInAboutFiftyMillisecondsPerPass) {
  EngineModel Model(publishedSpec(), {.Pace = 1});
  TimePoint Now{};
  for (std::uint64_t I = 0; I < 26; ++I)
    Model.accept(Now, {.Number = I, .PromptTokens = 10, .AnswerTokens = 700});
  // Eight passes prefill all prompts.
  for (int I = 0; I < 8; ++I) {
    Now = *Model.passEnd();
    Model.advance(Now);
  }
  double Pass = toMs(*Model.passEnd() - Now);
  EXPECT_NEAR(Pass, 7 * (5.95 + 26 * 0.0445), 1.0);
}

TEST(EngineModel, MultipliesPassTimesByThePacesOfModelAndSlowestMember) {
  EngineModel Nominal(publishedSpec(), {.Pace = 1});
  EngineModel Slow(publishedSpec(), {.Pace = 0.6});
  Slow.setPace(4);
  GenerationRequest Request{
      .Number = 1, .PromptTokens = 700, .AnswerTokens = 7};
  Nominal.accept({}, Request);
  Slow.accept({}, Request);
  double Expected = 2.4 * toMs(firstEventTime(Nominal, 1) - TimePoint());
  EXPECT_NEAR(toMs(firstEventTime(Slow, 1) - TimePoint()), Expected, 0.01);
}

TEST(EngineModel, QueuesRequestsBeyondTheSlots) {
  EngineSpec Spec = publishedSpec();
  Spec.Slots = 2;
  EngineModel Model(Spec, {.Pace = 1});
  Model.accept({}, {.Number = 1, .PromptTokens = 10, .AnswerTokens = 70});
  Model.accept({}, {.Number = 2, .PromptTokens = 10, .AnswerTokens = 700});
  Model.accept({}, {.Number = 3, .PromptTokens = 10, .AnswerTokens = 7});
  EXPECT_EQ(Model.runningCount(), 2);
  EXPECT_EQ(Model.queuedCount(), 1);
  // The first request takes ten decode passes before its slot is free.
  EXPECT_GT(toMs(firstEventTime(Model, 3) - TimePoint()), 10 * 7 * 5.95);
}

TEST(EngineModel, PreemptsTheNewestRequestWithoutLossOfTokensWhenMemoryIsFull) {
  EngineSpec Spec = publishedSpec();
  Spec.MemoryTokens = 2100;
  EngineModel Model(Spec, {.Pace = 1});
  Model.accept({}, {.Number = 1, .PromptTokens = 1000, .AnswerTokens = 140});
  Model.accept({}, {.Number = 2, .PromptTokens = 1000, .AnswerTokens = 140});
  int Tokens = 0;
  while (auto End = Model.passEnd())
    for (const GenerationProgress &Each : Model.advance(*End))
      Tokens += Each.Tokens;
  EXPECT_GT(Model.preemptionCount(), 0U);
  EXPECT_EQ(Tokens, 280);
}

TEST(EngineModel, GivesTheSlotOfACancelledRequestToTheNext) {
  EngineSpec Spec = publishedSpec();
  Spec.Slots = 1;
  EngineModel Model(Spec, {.Pace = 1});
  Model.accept({}, {.Number = 1, .PromptTokens = 10, .AnswerTokens = 70000});
  Model.accept({}, {.Number = 2, .PromptTokens = 10, .AnswerTokens = 7});
  Model.advance(*Model.passEnd());
  Model.cancel(1);
  EXPECT_LT(toMs(firstEventTime(Model, 2) - TimePoint()), 500);
}
