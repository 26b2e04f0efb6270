//===- Tests/LibEntry/TestEventRelay.cpp - Events once and in order -------===//
///
/// \file
/// Guards against lost, repeated or incomplete events in a stream that breaks
/// off at one endpoint and resumes on another one.
///
//===----------------------------------------------------------------------===//

#include <LibEntry/EventRelay.h>
#include <Processes/AllocatedBytes.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;

static std::string makeEvent(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: x" + std::to_string(Id) +
         "\n\n";
}

TEST(EventRelay, PassesWholeEventsOnly) {
  EventRelay Relay(std::nullopt);
  std::string First = makeEvent(1);
  EXPECT_EQ(Relay.process(First.substr(0, 8)), "");
  EXPECT_TRUE(Relay.hasPartialEvent());
  EXPECT_EQ(Relay.process(First.substr(8)), First);
  EXPECT_FALSE(Relay.hasPartialEvent());
  EXPECT_EQ(Relay.lastId(), 1U);
}

TEST(EventRelay, ResumedStreamRepeatsNoEvent) {
  EventRelay Relay(std::nullopt);
  Relay.process(makeEvent(1) + makeEvent(2) + "id: 3\nda");
  Relay.restart();
  EXPECT_EQ(Relay.process(makeEvent(2) + makeEvent(3)), makeEvent(3));
  EXPECT_EQ(Relay.lastId(), 3U);
}

TEST(EventRelay, NoEventAfterGapIsPassedOn) {
  EventRelay Relay(5);
  EXPECT_EQ(Relay.process(makeEvent(7)), "");
  EXPECT_TRUE(Relay.hasGap());
  EXPECT_EQ(Relay.process(makeEvent(6)), "");
}

// Guards against an incomplete event that is read again from its start for each
// of its pieces.
TEST(EventRelay, ReadsEachByteOfAnEventInPiecesAFewTimes) {
  constexpr std::size_t EventBytes = 64 * 1024;
  const std::string Text = "id: 1\ndata: " + std::string(EventBytes, 'x');
  for (std::string_view End : {"\n\n", "\r\n\r\n"}) {
    std::string Event = Text + std::string(End);
    EventRelay Relay(std::nullopt);
    std::string Output;
    for (char Byte : Event)
      Output += Relay.process(std::string_view(&Byte, 1));
    EXPECT_EQ(Output, Event);
    // Each piece, and what an end of four bytes may have begun with.
    EXPECT_LE(Relay.readBytes(), 4 * Event.size());
    EXPECT_GE(Relay.readBytes(), Event.size());
  }
}

// Guards against streams that each keep the storage of their longest event, and
// against an event that is given up and still takes its storage.
TEST(EventRelay, KeepsNoStorageOfLongEvents) {
  constexpr std::size_t EventBytes = EventRelay::MaxEventBytes / 2;
  EventRelay Relay(std::nullopt);
  std::size_t Before = allocatedBytes();
  Relay.process("id: 1\ndata: " + std::string(EventBytes, 'x'));
  EXPECT_GT(allocatedBytes(), Before + EventBytes);
  EXPECT_GT(Relay.process("\n\n" + makeEvent(2).substr(0, 8)).size(),
            EventBytes);
  EXPECT_LT(allocatedBytes(), Before + EventBytes / 4);
  Relay.process("\ndata: " + std::string(EventBytes, 'x'));
  Relay.restart();
  EXPECT_LT(allocatedBytes(), Before + EventBytes / 4);
}

/// However the bytes are split into chunks and wherever the first endpoint
/// breaks off, the caller gets each event once and in order.
RC_GTEST_PROP(EventRelay, EachEventOnceForAnyChunking, ()) {
  int Count = *rc::gen::inRange(1, 20);
  std::string All;
  for (int I = 1; I <= Count; ++I)
    All += makeEvent(I);
  auto BreakOffset = *rc::gen::inRange<std::size_t>(0, All.size() + 1);
  EventRelay Relay(std::nullopt);
  std::string Received;
  auto Feed = [&](std::string_view Bytes) {
    while (!Bytes.empty()) {
      auto Length = *rc::gen::inRange<std::size_t>(1, Bytes.size() + 1);
      Received += Relay.process(Bytes.substr(0, Length));
      Bytes.remove_prefix(Length);
    }
  };
  Feed(std::string_view(All).substr(0, BreakOffset));
  Relay.restart();
  std::string Remainder;
  for (int I = static_cast<int>(Relay.lastId().value_or(0)) + 1; I <= Count;
       ++I)
    Remainder += makeEvent(I);
  Feed(Remainder);
  RC_ASSERT(Received == All);
  RC_ASSERT(!Relay.hasGap());
}

// Guards against an endpoint that sends bytes without end and fills the memory.
TEST(EventRelay, BytesWithoutEndAreNotHeld) {
  EventRelay Relay(std::nullopt);
  EXPECT_EQ(Relay.process(makeEvent(1)), makeEvent(1));
  std::string Bytes(64 * 1024, 'x');
  for (std::size_t Sent = 0; Sent < 2 * EventRelay::MaxEventBytes;
       Sent += Bytes.size())
    EXPECT_EQ(Relay.process(Bytes), "");
  EXPECT_TRUE(Relay.hasGap());
  EXPECT_FALSE(Relay.hasPartialEvent());
  Relay.restart();
  EXPECT_EQ(Relay.process(makeEvent(2)), makeEvent(2));
}

// Guards against a stream of which nothing is passed on since its lines end
// with a carriage return alone, or in two ways.
TEST(EventRelay, PassesOnEventsWithAnyLineEnds) {
  for (std::string_view First : {"\n", "\r", "\r\n"})
    for (std::string_view Second : {"\n", "\r", "\r\n"}) {
      // These bytes are one line end.
      if (First == "\r" && Second == "\n")
        continue;
      EventRelay Relay(std::nullopt);
      std::string Event = "id: 1" + std::string(First) + "data: x" +
                          std::string(First) + std::string(Second);
      EXPECT_EQ(Relay.process(Event), Event);
      EXPECT_FALSE(Relay.hasPartialEvent());
      EXPECT_EQ(Relay.lastId(), 1U);
    }
}

// Guards against an event that comes twice, or loses a byte, since a chunk ends
// inside the end of a line.
TEST(EventRelay, LineFeedOfADroppedEventIsDropped) {
  EventRelay Relay(1);
  EXPECT_EQ(Relay.process("id: 1\rdata: x\r\r"), "");
  EXPECT_EQ(Relay.process("\nid: 2\r\n\r"), "id: 2\r\n\r");
  EXPECT_EQ(Relay.process("\nid: 3\n\n"), "\nid: 3\n\n");
}
