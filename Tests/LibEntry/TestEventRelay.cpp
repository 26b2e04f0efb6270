//===- Tests/LibEntry/TestEventRelay.cpp - Events once and in order -------===//
///
/// \file
/// Guards against lost, repeated or incomplete events in a stream that breaks
/// off at one endpoint and resumes on another one.
///
//===----------------------------------------------------------------------===//

#include <LibEntry/EventRelay.h>
#include <Processes/AllocatedBytes.h>
#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <span>
#include <vector>

using namespace carobhinge;

static std::string makeEvent(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: x" + std::to_string(Id) +
         "\n\n";
}

TEST(EventRelay, PassesWholeEventsOnly) {
  EventRelay Relay;
  std::string First = makeEvent(1);
  EXPECT_EQ(Relay.process(First.substr(0, 8)), "");
  EXPECT_TRUE(Relay.hasPartialEvent());
  EXPECT_EQ(Relay.process(First.substr(8)), First);
  EXPECT_FALSE(Relay.hasPartialEvent());
  EXPECT_EQ(Relay.lastId(), "1");
}

TEST(EventRelay, ResumedStreamRepeatsNoEvent) {
  EventRelay Relay;
  Relay.process(makeEvent(1) + makeEvent(2) + "id: 3\nda");
  Relay.restart();
  EXPECT_EQ(Relay.process(makeEvent(2) + makeEvent(3)), makeEvent(3));
  EXPECT_EQ(Relay.lastId(), "3");
}

// Guards against streams that are broken off, or lose events, since the ids of
// one answer don't count by one.
TEST(EventRelay, EventsOfOneAnswerArePassedOnWhateverTheirIds) {
  for (std::string_view Answer :
       {"id: 7\ndata: a\n\nid: 14\ndata: b\n\nid: 21\ndata: c\n\n",
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 900\ndata: c\n\n",
        "id: 1700000000000000001\n\nid: 1700000000250000007\ndata: b\n\n",
        "id: 99999999999999999998\n\nid: 100000000000000000007\ndata: b\n\n",
        "id: 007\ndata: a\n\nid: 014\ndata: b\n\n",
        "id: 1526-0\ndata: a\n\nid: 1526-1\ndata: b\n\n",
        "id: 1.1\ndata: a\n\nid: 1.2\ndata: b\n\n",
        "id: 3\ndata: a\n\ndata: b\n\nid: 9\ndata: c\n\n",
        "retry: 5\n\nid: 3\ndata: a\n\n: wait\n\nid: 5\ndata: b\n\n",
        "\xEF\xBB\xBFid: 3\ndata: a\n\nid: 5\ndata: b\n\n",
        "id: 5\ndata: a\n\nid: 5\ndata: b\n\nid: 4\ndata: c\n\n",
        "id: x\ndata: a\n\nid\ndata: b\n\n"}) {
    EventRelay Relay;
    EXPECT_EQ(Relay.process(Answer), Answer);
    Relay.finish();
    EXPECT_EQ(Relay.fault(), EventFault::None) << Answer;
    EXPECT_FALSE(Relay.hasPartialEvent());
  }
}

// Guards against a stream that its caller resumes and that gets no event, since
// the one after the caller's last id is taken for one after a gap.
TEST(EventRelay, EventsAfterTheCallersLastIdAreNext) {
  for (auto [LastId, Next] : {std::pair("20", "30"),
                              {"99999999999999999999", "100000000000000000000"},
                              {"1526-0", "1526-1"},
                              {"019", "20"}}) {
    EventRelay Relay(LastId);
    std::string Event = "id: " + std::string(Next) + "\ndata: x\n\n";
    std::string Known = "id: " + std::string(LastId) + "\ndata: x\n\n";
    EXPECT_EQ(Relay.process(Known + Event), Event);
    EXPECT_EQ(Relay.lastId(), Next);
  }
}

// Guards against an event that is missing between two answers which count by
// the same step, and is passed over.
TEST(EventRelay, NoEventAfterOneThatIsMissingIsPassedOn) {
  for (int Step : {1, 7}) {
    EventRelay Relay;
    Relay.process(makeEvent(Step) + makeEvent(2 * Step) + makeEvent(3 * Step));
    Relay.restart();
    EXPECT_EQ(Relay.process(makeEvent(5 * Step)), "");
    EXPECT_TRUE(Relay.hasPartialEvent());
    EXPECT_EQ(Relay.process(makeEvent(6 * Step)), "");
    EXPECT_EQ(Relay.fault(), EventFault::MissingEvent);
    EXPECT_EQ(Relay.refusedId(), std::to_string(5 * Step));
    EXPECT_EQ(Relay.process(makeEvent(4 * Step)), "");
    Relay.restart();
    EXPECT_EQ(Relay.process(makeEvent(4 * Step)), makeEvent(4 * Step));
  }
}

TEST(EventRelay, AnswerThatEndsWithADoubtfulEventIsNotComplete) {
  EventRelay Relay;
  Relay.process(makeEvent(1) + makeEvent(2) + makeEvent(3));
  Relay.restart();
  EXPECT_EQ(Relay.process(makeEvent(5)), "");
  Relay.finish();
  EXPECT_EQ(Relay.fault(), EventFault::MissingEvent);
}

// Guards against a stream that is broken off since the endpoint that continues
// it writes longer events.
TEST(EventRelay, AnotherEndpointMayWriteLongerEvents) {
  EventRelay Relay;
  Relay.process(makeEvent(7) + makeEvent(14) + makeEvent(21));
  Relay.restart();
  EXPECT_EQ(Relay.process(makeEvent(31)), "");
  EXPECT_EQ(Relay.process(makeEvent(41)), makeEvent(31) + makeEvent(41));
  EXPECT_EQ(Relay.process(makeEvent(51)), makeEvent(51));
  EXPECT_EQ(Relay.lastId(), "51");
}

// Guards against two answers that are joined although no id tells where the
// second one goes on.
TEST(EventRelay, AnswersOfUnknownPositionAreNotJoined) {
  const std::string First = makeEvent(3);
  for (std::string_view Next :
       {"data: x\n\n", "id: 1526-1\ndata: x\n\n", "id\ndata: x\n\n"}) {
    EventRelay Relay;
    Relay.process(First);
    EXPECT_TRUE(Relay.canContinue());
    Relay.restart();
    EXPECT_EQ(Relay.process(Next), "");
    EXPECT_EQ(Relay.fault(), EventFault::UnknownPosition);
  }
  for (std::string_view Passed :
       {"data: x\n\n", "id: 1526-1\ndata: x\n\n", "id\ndata: x\n\n",
        "id: 3\ndata: x\n\n", "id: 2\ndata: x\n\n"}) {
    EventRelay Relay;
    Relay.process(First);
    EXPECT_EQ(Relay.process(Passed), Passed);
    EXPECT_FALSE(Relay.canContinue()) << Passed;
  }
}

// Guards against a mark in the middle of a stream, where it is part of a field.
TEST(EventRelay, ByteOrderMarkStandsAtTheBeginningOnly) {
  const std::string Mark(EventParser::ByteOrderMark);
  EventRelay Relay;
  EXPECT_EQ(Relay.process(Mark + makeEvent(1)), Mark + makeEvent(1));
  Relay.restart();
  EXPECT_EQ(Relay.process(Mark + makeEvent(2)), makeEvent(2));
  Relay.process(makeEvent(3));
  Relay.restart();
  EXPECT_EQ(Relay.process(Mark + makeEvent(5)), "");
  EXPECT_EQ(Relay.process(makeEvent(9)), makeEvent(5) + makeEvent(9));
}

// Guards against an id without end that is kept for each stream, and against
// one that is compared after it was not kept.
TEST(EventRelay, IdThatIsTooLongIsNotKept) {
  const std::string Event =
      "id: " + std::string(EventRelay::MaxIdBytes + 1, '9') + "\ndata: x\n\n";
  EventRelay Relay("5");
  EXPECT_EQ(Relay.process(Event + makeEvent(7)), Event + makeEvent(7));
  EXPECT_FALSE(Relay.canContinue());
  Relay.restart();
  EXPECT_EQ(Relay.process(Event), "");
  EXPECT_EQ(Relay.fault(), EventFault::UnknownPosition);
  EXPECT_EQ(Relay.refusedId().size(), EventRelay::MaxIdBytes);
}

TEST(EventRelay, IdsAreComparedAsDecimalNumbers) {
  EXPECT_EQ(compareEventIds("9", "10"), std::strong_ordering::less);
  EXPECT_EQ(compareEventIds("010", "9"), std::strong_ordering::greater);
  EXPECT_EQ(compareEventIds("00", "0"), std::strong_ordering::equal);
  EXPECT_EQ(compareEventIds("99999999999999999999", "100000000000000000000"),
            std::strong_ordering::less);
  EXPECT_EQ(compareEventIds("a-1", "a-1"), std::strong_ordering::equal);
  EXPECT_EQ(compareEventIds("a-1", "a-2"), std::nullopt);
  EXPECT_EQ(compareEventIds("-1", "2"), std::nullopt);
  EXPECT_EQ(compareEventIds("", "2"), std::nullopt);
}

// Guards against an incomplete event that is read again from its start for each
// of its pieces.
TEST(EventRelay, ReadsEachByteOfAnEventInPiecesAFewTimes) {
  constexpr std::size_t EventBytes = 64 * 1024;
  const std::string Text = "id: 1\ndata: " + std::string(EventBytes, 'x');
  for (std::string_view End : {"\n\n", "\r\n\r\n"}) {
    std::string Event = Text + std::string(End);
    EventRelay Relay;
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
  EventRelay Relay;
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

namespace {

/// Events with ids that rise by drawn steps, or all by the same one.
std::vector<std::string> drawEvents(bool HasEqualSteps,
                                    std::size_t MinCount = 1) {
  static constexpr std::array<std::string_view, 3> LineEnds = {"\n", "\r",
                                                               "\r\n"};
  auto Count = *rc::gen::inRange<std::size_t>(MinCount, MinCount + 12);
  auto Step = *rc::gen::inRange<std::uint64_t>(1, 1000);
  auto Id = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
  std::vector<std::string> Events;
  for (std::size_t I = 0; I < Count; ++I) {
    Id += HasEqualSteps ? Step : *rc::gen::inRange<std::uint64_t>(1, 1000);
    std::string_view End = LineEnds[*rc::gen::inRange<std::size_t>(0, 3)];
    std::string Event = I % 3 == 2 ? ": wait" + std::string(End) : "";
    Event += "id: " + std::to_string(Id) + std::string(End) + "data: x" +
             std::to_string(I) + std::string(End) + std::string(End);
    Events.push_back(Event);
  }
  return Events;
}

std::string concatenate(std::span<const std::string> Events) {
  std::string Text;
  for (const std::string &Event : Events)
    Text += Event;
  return Text;
}

/// An answer that breaks off between a carriage return and its line feed has
/// brought a whole event without the last byte.
std::string withLineFeeds(std::string_view Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I)
    if (Text[I] != '\n' || I == 0 || Text[I - 1] != '\r')
      Result += Text[I] == '\r' ? '\n' : Text[I];
  return Result;
}

std::string feedInChunks(EventRelay &Relay, std::string_view Bytes) {
  std::string Output;
  while (!Bytes.empty()) {
    auto Length = *rc::gen::inRange<std::size_t>(1, Bytes.size() + 1);
    Output += Relay.process(Bytes.substr(0, Length));
    Bytes.remove_prefix(Length);
  }
  return Output;
}

/// How many of \p Events the caller has, by its last id.
std::size_t eventsUntil(std::span<const std::string> Events,
                        const std::optional<std::string> &LastId) {
  std::size_t Known = 0;
  for (std::size_t I = 0; LastId && I < Events.size(); ++I)
    if (Events[I].find(
            "id: " + *LastId +
            (Events[I].ends_with('\n') && !Events[I].ends_with("\r\n")
                 ? "\n"
                 : "\r")) != std::string::npos)
      Known = I + 1;
  return Known;
}

} // namespace

/// However the ids rise, the lines end and the bytes are split into chunks,
/// wherever endpoints break off and wherever the next ones begin, at the last
/// id or before it: the caller gets each event once and in order.
RC_GTEST_PROP(EventRelay, EachEventOnceForAnyIdsBreaksAndChunks, ()) {
  std::vector<std::string> Events = drawEvents(*rc::gen::arbitrary<bool>());
  const std::string All = concatenate(Events);
  EventRelay Relay;
  std::string Received;
  auto Breaks = *rc::gen::inRange(0, 4);
  for (int I = 0; I <= Breaks; ++I) {
    std::size_t Known = eventsUntil(Events, Relay.lastId());
    auto Begin = *rc::gen::inRange<std::size_t>(0, Known + 1);
    std::string Answer = concatenate(std::span(Events).subspan(Begin));
    auto End = I == Breaks
                   ? Answer.size()
                   : *rc::gen::inRange<std::size_t>(0, Answer.size() + 1);
    RC_ASSERT(Relay.canContinue());
    Relay.restart();
    Received += feedInChunks(Relay, std::string_view(Answer).substr(0, End));
    RC_ASSERT(Relay.fault() == EventFault::None);
  }
  Relay.finish();
  RC_ASSERT(Relay.fault() == EventFault::None);
  RC_ASSERT(withLineFeeds(Received) == withLineFeeds(All));
}

/// Where the ids rise by one step, no event after a missing one is passed on,
/// and the stream doesn't end as complete.
RC_GTEST_PROP(EventRelay, NoHoleWhereIdsRiseByOneStep, ()) {
  std::vector<std::string> Events = drawEvents(true, 6);
  auto Known = *rc::gen::inRange<std::size_t>(3, Events.size() - 2);
  auto Missing = *rc::gen::inRange<std::size_t>(1, Events.size() - Known);
  EventRelay Relay;
  std::string First = concatenate(std::span(Events).first(Known));
  RC_ASSERT(feedInChunks(Relay, First) == First);
  Relay.restart();
  std::string Second = concatenate(std::span(Events).subspan(Known + Missing));
  RC_ASSERT(feedInChunks(Relay, Second).empty());
  Relay.finish();
  RC_ASSERT(Relay.fault() == EventFault::MissingEvent);
}

/// Whatever two answers bring: what is passed on of the second one are whole
/// events of it, in their order, and none of them was passed on before.
RC_GTEST_PROP(EventRelay, NothingOfAnUnrelatedAnswerIsRepeated, ()) {
  std::vector<std::string> One = drawEvents(*rc::gen::arbitrary<bool>());
  std::vector<std::string> Other = drawEvents(*rc::gen::arbitrary<bool>());
  EventRelay Relay;
  feedInChunks(Relay, concatenate(One));
  const std::string LastId = Relay.lastId().value();
  Relay.restart();
  std::string Received = feedInChunks(Relay, concatenate(Other));
  RC_ASSERT(concatenate(Other).ends_with(Received) ||
            Relay.fault() != EventFault::None || Relay.hasPartialEvent());
  if (!Received.empty())
    RC_ASSERT(compareEventIds(Relay.lastId().value(), LastId) ==
              std::strong_ordering::greater);
}

// Guards against an endpoint that sends bytes without end and fills the memory.
TEST(EventRelay, BytesWithoutEndAreNotHeld) {
  EventRelay Relay;
  EXPECT_EQ(Relay.process(makeEvent(1)), makeEvent(1));
  std::string Bytes(64 * 1024, 'x');
  for (std::size_t Sent = 0; Sent < 2 * EventRelay::MaxEventBytes;
       Sent += Bytes.size())
    EXPECT_EQ(Relay.process(Bytes), "");
  EXPECT_EQ(Relay.fault(), EventFault::TooLong);
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
      EventRelay Relay;
      std::string Event = "id: 1" + std::string(First) + "data: x" +
                          std::string(First) + std::string(Second);
      EXPECT_EQ(Relay.process(Event), Event);
      EXPECT_FALSE(Relay.hasPartialEvent());
      EXPECT_EQ(Relay.lastId(), "1");
    }
}

// Guards against an event that comes twice, or loses a byte, since a chunk ends
// inside the end of a line.
TEST(EventRelay, LineFeedOfADroppedEventIsDropped) {
  EventRelay Relay("1");
  EXPECT_EQ(Relay.process("id: 1\rdata: x\r\r"), "");
  EXPECT_EQ(Relay.process("\nid: 2\r\n\r"), "id: 2\r\n\r");
  EXPECT_EQ(Relay.process("\nid: 3\n\n"), "\nid: 3\n\n");
}
