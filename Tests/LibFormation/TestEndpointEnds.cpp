//===- Tests/LibFormation/TestEndpointEnds.cpp - Lives that ended ---------===//
///
/// \file
/// Guards against an end that is taken for that of a later life of the same
/// endpoint, and against one that no life is found for.
///
//===----------------------------------------------------------------------===//

#include <LibFormation/EndpointEnds.h>
#include <gtest/gtest.h>

using namespace carobhinge;

TEST(EndpointEnds, CoversLivesUntilTheOneThatEnded) {
  EndpointEnds Ends;
  Ends.record("e", 20);
  EXPECT_TRUE(Ends.covers("e", 19));
  EXPECT_TRUE(Ends.covers("e", 20));
  EXPECT_FALSE(Ends.covers("e", 21));
  EXPECT_FALSE(Ends.covers("f", 20));
  // An announcement that arrives late, of an earlier life.
  Ends.record("e", 10);
  EXPECT_TRUE(Ends.covers("e", 20));
  EXPECT_EQ(Ends.size(), 1U);
}

TEST(EndpointEnds, EndsTheKnownLifeOnly) {
  EXPECT_EQ(EndpointEnds::endedUntil(500, 100000), 500);
}

TEST(EndpointEnds, EndsAnUnknownLifeButNotOneThatStartsAfterwards) {
  constexpr std::int64_t Now = 100000;
  EndpointEnds Ends;
  Ends.record("e", EndpointEnds::endedUntil({}, Now));
  EXPECT_TRUE(Ends.covers("e", Now - 10000));
  // The clock of the endpoint's host is behind.
  EXPECT_FALSE(Ends.covers("e", Now - 1000));
}
