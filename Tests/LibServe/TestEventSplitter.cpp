//===- Tests/LibServe/TestEventSplitter.cpp - Events of the own path ------===//
///
/// \file
/// Guards against a stream whose events are not found, or miscounted, so that
/// it can't be passed on or resumed.
///
//===----------------------------------------------------------------------===//

#include <LibServe/EventSplitter.h>

#include <gtest/gtest.h>

using namespace carobhinge;

// Guards against a stream of which nothing is passed on since its lines end
// with a carriage return alone.
TEST(EventSplitter, KnowsAllLineEnds) {
  for (std::string_view End : {"\n", "\r", "\r\n"}) {
    EventSplitter Splitter;
    std::string Event = "data: x" + std::string(End) + std::string(End);
    EXPECT_EQ(Splitter.append(Event), Event);
    EXPECT_EQ(Splitter.count(), 1U);
    EXPECT_FALSE(Splitter.hasPartial());
  }
}

// Guards against a resumed stream that leaves out an event for each comment.
TEST(EventSplitter, CountsNoComments) {
  EventSplitter Splitter;
  std::string Bytes = ": wait\n\ndata: x\r\r";
  EXPECT_EQ(Splitter.append(Bytes), Bytes);
  EXPECT_EQ(Splitter.append("\n"), "\n");
  EXPECT_EQ(Splitter.count(), 1U);
}

TEST(EventSplitter, DropsAnEventThatIsNotComplete) {
  EventSplitter Splitter;
  EXPECT_EQ(Splitter.append("data: x\n"), "");
  EXPECT_TRUE(Splitter.hasPartial());
  Splitter.dropPartial();
  EXPECT_EQ(Splitter.append("data: y\n\n"), "data: y\n\n");
  EXPECT_THROW(
      Splitter.append(std::string(EventSplitter::MaxEventBytes + 1, 'x')),
      std::length_error);
}
