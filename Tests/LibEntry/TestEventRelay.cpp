//===- Tests/LibEntry/TestEventRelay.cpp - Events once and in order -------===//

#include <LibEntry/EventRelay.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;

static std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: x" + std::to_string(Id) +
         "\n\n";
}

TEST(EventRelay, PassesWholeEventsOnly) {
  EventRelay Relay(std::nullopt);
  std::string First = event(1);
  EXPECT_EQ(Relay.take(First.substr(0, 8)), "");
  EXPECT_TRUE(Relay.insideEvent());
  EXPECT_EQ(Relay.take(First.substr(8)), First);
  EXPECT_FALSE(Relay.insideEvent());
  EXPECT_EQ(Relay.last(), 1U);
}

TEST(EventRelay, AnotherEndpointGoesOnWithoutRepetition) {
  EventRelay Relay(std::nullopt);
  Relay.take(event(1) + event(2) + "id: 3\nda");
  Relay.restart();
  EXPECT_EQ(Relay.take(event(2) + event(3)), event(3));
  EXPECT_EQ(Relay.last(), 3U);
}

TEST(EventRelay, NothingBehindAGapIsPassedOn) {
  EventRelay Relay(5);
  EXPECT_EQ(Relay.take(event(7)), "");
  EXPECT_TRUE(Relay.broken());
  EXPECT_EQ(Relay.take(event(6)), "");
}

/// However the bytes are cut and wherever the first endpoint breaks off, the
/// caller gets each event once and in order.
RC_GTEST_PROP(EventRelay, EachEventOnceHoweverTheBytesAreCut, ()) {
  int Count = *rc::gen::inRange(1, 20);
  std::string All;
  for (int I = 1; I <= Count; ++I)
    All += event(I);
  auto Broken = *rc::gen::inRange<std::size_t>(0, All.size() + 1);
  EventRelay Relay(std::nullopt);
  std::string Got;
  auto Feed = [&](std::string_view Bytes) {
    while (!Bytes.empty()) {
      auto Length = *rc::gen::inRange<std::size_t>(1, Bytes.size() + 1);
      Got += Relay.take(Bytes.substr(0, Length));
      Bytes.remove_prefix(Length);
    }
  };
  Feed(std::string_view(All).substr(0, Broken));
  Relay.restart();
  std::string Rest;
  for (int I = static_cast<int>(Relay.last().value_or(0)) + 1; I <= Count; ++I)
    Rest += event(I);
  Feed(Rest);
  RC_ASSERT(Got == All);
  RC_ASSERT(!Relay.broken());
}
