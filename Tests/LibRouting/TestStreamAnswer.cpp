//===- Tests/LibRouting/TestStreamAnswer.cpp - Answers within a stream ----===//
///
/// \file
/// Guards against errors that callers find in the middle of their streams, and
/// against streams that end as complete before their last event.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/StreamAnswer.h>
#include <gtest/gtest.h>

using namespace carobhinge;

TEST(StreamAnswer, OnlyEventsReachACallerWhoseStreamHasBegun) {
  EXPECT_EQ(chooseAnswerUse({}), AnswerUse::Whole);
  EXPECT_EQ(chooseAnswerUse({.IsEventStream = true}), AnswerUse::StartsStream);
  EXPECT_EQ(chooseAnswerUse({.IsEventStream = true, .HasStreamBegun = true}),
            AnswerUse::ContinuesStream);
  EXPECT_EQ(chooseAnswerUse({.HasStreamBegun = true}), AnswerUse::None);
}

TEST(StreamAnswer, StreamEndsAsCompleteOnlyWithItsLastEvent) {
  AnswerEnd Whole{.IsComplete = true};
  for (AnswerUse Use : {AnswerUse::Whole, AnswerUse::StartsStream,
                        AnswerUse::ContinuesStream}) {
    EXPECT_TRUE(mayEndAsComplete(Use, Whole));
    EXPECT_FALSE(mayEndAsComplete(Use, {}));
  }
  // A complete error after a stream that broke off.
  EXPECT_FALSE(mayEndAsComplete(AnswerUse::None, Whole));
  for (AnswerUse Use : {AnswerUse::StartsStream, AnswerUse::ContinuesStream}) {
    EXPECT_FALSE(
        mayEndAsComplete(Use, {.IsComplete = true, .HasPartialEvent = true}));
    EXPECT_FALSE(mayEndAsComplete(Use, {.IsComplete = true, .HasGap = true}));
  }
}
