//===- Tests/LibTelemetry/TestLineSink.cpp - Nobody reads the log ---------===//

#include <LibTelemetry/LineSink.h>
#include <array>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace carobhinge;

namespace {

class LineSinkTest : public testing::Test {
protected:
  LineSinkTest() { EXPECT_EQ(::pipe(this->Ends.data()), 0); }
  ~LineSinkTest() override {
    ::close(this->Ends[0]);
    ::close(this->Ends[1]);
  }

  /// Everything that is in the pipe now.
  std::string read() {
    std::string Text(std::size_t(1) << 20U, '\0');
    ssize_t Count = ::read(this->Ends[0], Text.data(), Text.size());
    Text.resize(static_cast<std::size_t>(std::max<ssize_t>(Count, 0)));
    return Text;
  }

  std::array<int, 2> Ends{};
};

} // namespace

TEST_F(LineSinkTest, AFullPipeHoldsNobodyUpAndBadEndsAreKeptLongest) {
  LineSink Sink(
      {.Descriptor = this->Ends[1], .KeptBytes = 4000, .OrdinaryShare = 0.5});
  // A pipe holds 64 KB; far more is written than that and the bound.
  std::string Line(99, 'o');
  for (int I = 0; I < 3000; ++I)
    Sink.write(Line, false);
  EXPECT_GT(Sink.takeOmitted(), 2000U);
  Sink.write(std::string(99, 'b'), true);
  EXPECT_EQ(Sink.takeOmitted(), 0U);
  std::string Text;
  for (int I = 0; I < 10; ++I) {
    Text += this->read();
    Sink.write("end", true);
  }
  EXPECT_NE(Text.find(std::string(99, 'b') + "\n"), std::string::npos);
}

TEST_F(LineSinkTest, EachEventHasItsOwnBoundInASecond) {
  LineSink Sink({.Descriptor = this->Ends[1], .LinesPerSecond = 3});
  TimePoint Now{std::chrono::seconds(10)};
  int Admitted = 0;
  for (int I = 0; I < 10; ++I)
    Admitted += Sink.admit(Now, "request", false) ? 1 : 0;
  EXPECT_EQ(Admitted, 3);
  EXPECT_TRUE(Sink.admit(Now, "order", false));
  // Many answers leave room for the lines of those that got none.
  EXPECT_TRUE(Sink.admit(Now, "request", true));
  EXPECT_EQ(Sink.takeOmitted(), 7U);
  EXPECT_TRUE(Sink.admit(Now + std::chrono::seconds(1), "request", false));
}
