//===- Tests/LibTelemetry/TestLogWriter.cpp - Log lines without a reader --===//
///
/// \file
/// Guards against a process that blocks because nobody reads its log, and
/// against failures that are not logged because other events used up the limit.
///
//===----------------------------------------------------------------------===//

#include <LibTelemetry/LogWriter.h>
#include <array>
#include <gtest/gtest.h>
#include <unistd.h>

using namespace carobhinge;

namespace {

class LogWriterTest : public testing::Test {
protected:
  LogWriterTest() { EXPECT_EQ(::pipe(this->Ends.data()), 0); }
  ~LogWriterTest() override {
    ::close(this->Ends[0]);
    ::close(this->Ends[1]);
  }

  /// Reads the current contents of the pipe.
  std::string read() {
    std::string Text(std::size_t(1) << 20U, '\0');
    ssize_t Count = ::read(this->Ends[0], Text.data(), Text.size());
    Text.resize(static_cast<std::size_t>(std::max<ssize_t>(Count, 0)));
    return Text;
  }

  std::array<int, 2> Ends{};
};

} // namespace

TEST_F(LogWriterTest, FullPipeNeverBlocksAndFailuresAreDroppedLast) {
  LogWriter Writer(
      {.Descriptor = this->Ends[1], .BufferBytes = 4000, .OrdinaryShare = 0.5});
  // A pipe holds 64 KB; these 300 KB exceed the pipe and the buffer.
  std::string Line(99, 'o');
  for (int I = 0; I < 3000; ++I)
    Writer.write(Line, false);
  EXPECT_GT(Writer.takeOmitted(), 2000U);
  Writer.write(std::string(99, 'b'), true);
  EXPECT_EQ(Writer.takeOmitted(), 0U);
  std::string Text;
  for (int I = 0; I < 10; ++I) {
    Text += this->read();
    Writer.write("end", true);
  }
  EXPECT_NE(Text.find(std::string(99, 'b') + "\n"), std::string::npos);
}

TEST_F(LogWriterTest, EachEventHasItsOwnLimitPerSecond) {
  LogWriter Writer({.Descriptor = this->Ends[1], .LinesPerSecond = 3});
  TimePoint Now{std::chrono::seconds(10)};
  int Admitted = 0;
  for (int I = 0; I < 10; ++I)
    Admitted += Writer.admit(Now, "request", false) ? 1 : 0;
  EXPECT_EQ(Admitted, 3);
  EXPECT_TRUE(Writer.admit(Now, "order", false));
  // The lines of answered requests do not use up the limit of failed ones.
  EXPECT_TRUE(Writer.admit(Now, "request", true));
  EXPECT_EQ(Writer.takeOmitted(), 7U);
  EXPECT_TRUE(Writer.admit(Now + std::chrono::seconds(1), "request", false));
}
