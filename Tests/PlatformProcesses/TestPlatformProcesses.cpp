//===- Tests/PlatformProcesses/TestPlatformProcesses.cpp - The whole path -===//
///
/// \file
/// Real entry and control processes before stand-in engines, with faults from
/// outside, judged by what callers and endpoints saw.
///
//===----------------------------------------------------------------------===//

#include <LibTelemetry/LogVocabulary.h>
#include <PlatformWorld/LogReader.h>
#include <PlatformWorld/PromiseCaller.h>
#include <csignal>
#include <fstream>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

namespace {

constexpr auto StopLimit = seconds(10);
constexpr unsigned Callers = 12;
constexpr auto Pause = std::chrono::milliseconds(60);

class PlatformProcesses : public testing::Test {
protected:
  void SetUp() override {
    this->Running.start();
    for (std::size_t I = 3; I < this->Running.hosts(); ++I)
      for (CallKind Kind :
           {CallKind::Stream, CallKind::Post, CallKind::Reading})
        PlatformDeployment::waitFor("every kind is served", [&] {
          return this->Caller.callOnce(I, Kind) == CallEnd::Answered;
        });
  }
  /// Callers' view, endpoints' view and logs agree.
  void settle() {
    EXPECT_EQ(this->Caller.settle(this->Running.book()),
              std::vector<std::string>());
    std::vector<std::filesystem::path> Paths = this->Running.logs();
    LogReading Reading = readLogs(Paths);
    EXPECT_EQ(Reading.Faults, std::vector<std::string>());
    EXPECT_GT(Reading.Lines, 0U);
  }
  void rest(Duration Length) { std::this_thread::sleep_for(Length); }

  PlatformDeployment Running{PlatformPlan()};
  PromiseCaller Caller{Running, 20261204};
};

} // namespace

TEST_F(PlatformProcesses, LostEnginesCutNoStreamThatCanGoOnElsewhere) {
  this->Caller.start(Callers, Pause);
  this->rest(seconds(1));
  // Of two failure domains, so that each model keeps groups.
  for (std::size_t Engine : {0U, 6U, 12U}) {
    this->Running.endpoints().crash(Engine);
    this->rest(seconds(2));
  }
  this->Caller.stop();
  CallCounts Counts = this->Caller.counts();
  EXPECT_GT(Counts.of(CallEnd::Answered), 300U);
  // Three of some hundred calls in progress may have run out of repeats.
  EXPECT_LE(Counts.of(CallEnd::CutOff) + Counts.of(CallEnd::Unknown),
            Counts.of(CallEnd::Answered) / 50);
  this->settle();
}

TEST_F(PlatformProcesses, ControlHostsDieInTurnAndNothingIsForgotten) {
  this->Caller.start(Callers, Pause);
  for (unsigned Host = 0; Host < 3; ++Host) {
    this->Running.process(Host).signal(SIGKILL);
    this->rest(std::chrono::milliseconds(300));
    EXPECT_TRUE(this->Running.putCatalog(Host + 2));
    this->Running.startHost(Host);
    this->rest(seconds(2));
  }
  this->Caller.stop();
  PlatformDeployment::waitFor("the newest catalog is read", [this] {
    return this->Running.readVersion() == 4U;
  });
  CallCounts Counts = this->Caller.counts();
  EXPECT_EQ(Counts.of(CallEnd::CutOff), 0U);
  EXPECT_GT(Counts.of(CallEnd::Answered), 300U);
  this->settle();
}

TEST_F(PlatformProcesses, StoppedEntryHostFinishesWhatItTook) {
  this->Caller.start(Callers, Pause);
  this->rest(seconds(1));
  ChildProcess &Stopped = this->Running.process(3);
  Stopped.signal(SIGTERM);
  EXPECT_EQ(Stopped.wait(StopLimit), 0);
  this->Running.startHost(3);
  PlatformDeployment::waitFor("the host is back",
                              [this] { return this->Running.isReady(3); });
  this->rest(seconds(1));
  this->Caller.stop();
  // A call may cross the closing of its connection; what was taken is answered.
  std::map<std::string, unsigned> Runs = this->Running.book().runs();
  for (const auto &[Id, End] : this->Caller.ends())
    if (End == CallEnd::CutOff || End == CallEnd::Unknown) {
      EXPECT_FALSE(Runs.contains(Id)) << Id;
    }
  this->settle();
}

TEST_F(PlatformProcesses, EveryRequestThatWasNotServedIsFoundInTheLogs) {
  this->Caller.start(4 * Callers, std::chrono::milliseconds(5));
  for (std::size_t Engine = 0; Engine < 8; ++Engine)
    this->Running.endpoints().crash(Engine);
  this->Running.process(0).signal(SIGHUP);
  this->rest(seconds(3));
  this->Caller.stop();
  std::vector<std::filesystem::path> Paths = this->Running.logs();
  LogReading Reading = readLogs(Paths);
  unsigned NotServed = 0;
  for (const auto &[Id, End] : this->Caller.ends()) {
    if (End != CallEnd::Refused && End != CallEnd::Unknown &&
        End != CallEnd::CutOff)
      continue;
    ++NotServed;
    auto Found = Reading.Requests.find(Id);
    ASSERT_NE(Found, Reading.Requests.end())
        << Id << " ended as " << static_cast<int>(End);
    EXPECT_FALSE(Found->second.ends_with(": ")) << Id << " has no reason";
  }
  EXPECT_GT(NotServed, 20U);
  EXPECT_EQ(Reading.Events["reload"], 1U);
  this->settle();
}

TEST(LogVocabularyPage, ListsEveryEventAndField) {
  std::ifstream File(std::string(CAROBHINGE_SOURCE_FOLDER) +
                     "/docs/OPERATIONS.md");
  std::string Page{std::istreambuf_iterator<char>(File), {}};
  for (const LogEventRule &Rule : logVocabulary()) {
    EXPECT_NE(Page.find("`" + std::string(Rule.Event) + "`"), std::string::npos)
        << Rule.Event;
    for (std::string_view Field : Rule.Owes)
      EXPECT_NE(Page.find("`" + std::string(Field) + "`"), std::string::npos)
          << Rule.Event << " " << Field;
  }
}
