//===- Tests/LibFormation/TestEngineFailureDetector.cpp - Lost engines ----===//
///
/// \file
/// Guards against lost engines that are noticed late, and against engines
/// reported as lost although they answer or their group makes progress.
///
//===----------------------------------------------------------------------===//

#include <LibFormation/EngineFailureDetector.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>
#include <utility>

using namespace carobhinge;
using Milliseconds = std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class EngineFailureDetectorTest : public testing::Test {
protected:
  EngineFailureDetectorTest() {
    this->receiveReport("one", 7);
    this->receiveReport("two", 7);
  }

  void receiveReport(const EndpointName &Id, std::uint64_t Epoch,
                     std::int64_t Life = 0) {
    this->Engines.accept(
        this->Now, {.Id = Id,
                    .Address = Id,
                    .Service = "sheets",
                    .StartedAtMs = Life,
                    .Sequence = ++this->Sequence,
                    .Group = GroupMembership{.Group = "g",
                                             .Epoch = Epoch,
                                             .Rank = 0,
                                             .State = MemberState::Open}});
  }

  /// Runs one step. The engines in \p Silent don't answer their probes, which
  /// time out; the others do. \returns how many probes were sent.
  int step(const std::set<EndpointName> &Silent) {
    this->Now += Milliseconds(100);
    int Sent = 0;
    for (const EndpointName &Id : this->Detector.enginesToProbe(this->Now)) {
      ++Sent;
      if (Silent.contains(Id))
        this->Unanswered.emplace(this->Now + SilenceMargin, Id);
      else
        this->Detector.probeAnswered(this->Now, Id);
    }
    while (!this->Unanswered.empty() &&
           this->Unanswered.begin()->first <= this->Now) {
      this->Detector.probeUnanswered(this->Now,
                                     this->Unanswered.begin()->second);
      this->Unanswered.erase(this->Unanswered.begin());
    }
    return Sent;
  }

  /// Runs steps for \p Time or until an engine is lost. \returns the lost ones.
  std::set<EndpointName> run(Duration Time,
                             const std::set<EndpointName> &Silent) {
    std::set<EndpointName> Lost;
    for (TimePoint End = this->Now + Time; this->Now < End && Lost.empty();) {
      this->step(Silent);
      Lost = this->lost();
    }
    return Lost;
  }

  std::set<EndpointName> lost() {
    std::set<EndpointName> Names;
    for (const auto &[Id, Loss] : this->Detector.lostEngines(this->Now))
      Names.insert(Id);
    return Names;
  }

  EngineRegistry Engines;
  EngineFailureDetector Detector{{}, this->Engines};
  TimePoint Now{seconds(100)};
  std::uint64_t Sequence = 0;
  std::multimap<TimePoint, EndpointName> Unanswered;
};

} // namespace

// Guards against an engine that is called lost after one probe without an
// answer, although it was silent for a second only.
TEST_F(EngineFailureDetectorTest, SilentEngineIsLostAfterEndingSilenceOnly) {
  EXPECT_TRUE(this->Detector.enginesToProbe(this->Now).empty());
  this->Now += seconds(1);
  this->receiveReport("two", 7);
  this->Now += Milliseconds(600);
  EXPECT_EQ(this->step({"one"}), 1);
  TimePoint AskedAt = this->Now;
  EXPECT_EQ(this->run(EndingSilence - Milliseconds(100), {"one"}).size(), 0U);
  EXPECT_EQ(this->run(Milliseconds(300), {"one"}),
            std::set<EndpointName>{"one"});
  EngineLoss Loss = this->Detector.lostEngines(this->Now).at("one");
  EXPECT_EQ(Loss.Reason, LossReason::Silent);
  EXPECT_EQ(Loss.Since, AskedAt);
  EXPECT_EQ(Loss.HeardBy, SignOfLife::Report);
  EXPECT_EQ(Loss.HeardAt, TimePoint(seconds(100)));
}

TEST_F(EngineFailureDetectorTest, EngineThatRefusesIsLostAtOnce) {
  this->Now += seconds(1);
  this->receiveReport("two", 7);
  this->Now += Milliseconds(700);
  EXPECT_EQ(this->Detector.enginesToProbe(this->Now),
            std::vector<EndpointName>{"one"});
  EXPECT_TRUE(this->lost().empty());
  this->Detector.probeRefused(this->Now, "one");
  EXPECT_EQ(this->lost(), std::set<EndpointName>{"one"});
  EXPECT_EQ(this->Detector.lostEngines(this->Now).at("one").Reason,
            LossReason::Refused);
}

TEST_F(EngineFailureDetectorTest, AnswerEndsTheDoubt) {
  this->Now += Milliseconds(1700);
  this->receiveReport("two", 7);
  EXPECT_TRUE(this->run(MaxSoundSilence, {"one"}).empty());
  EXPECT_TRUE(this->run(MaxSoundSilence, {}).empty());
  EXPECT_TRUE(this->run(MaxSoundSilence, {"one"}).empty());
}

// Guards against the leader that stands still for seconds itself, and then
// takes what it didn't hear for the silence of others.
TEST_F(EngineFailureDetectorTest, OwnHaltIsNoSilenceOfOthers) {
  this->Now += Milliseconds(1700);
  this->receiveReport("two", 7);
  this->step({"one"});
  this->run(Milliseconds(400), {"one"});
  this->Now += seconds(10);
  this->receiveReport("two", 7);
  EXPECT_TRUE(this->run(Milliseconds(1200), {"one"}).empty());
  EXPECT_EQ(this->run(Milliseconds(800), {"one"}),
            std::set<EndpointName>{"one"});
}

// Guards against a leader whose links are cut, and which takes the silence of
// most engines at once for their end.
TEST_F(EngineFailureDetectorTest, CommonSilenceHasToLastLonger) {
  this->Now += Milliseconds(1700);
  std::set<EndpointName> Both = {"one", "two"};
  EXPECT_TRUE(this->run(2 * EndingSilence - Milliseconds(100), Both).empty());
  EXPECT_EQ(this->run(Milliseconds(500), Both), Both);
}

// Guards against a repaired group that gets no requests, because the member
// that it lost reported it last.
TEST_F(EngineFailureDetectorTest, LossOfAMemberEndsTheSuspicion) {
  this->Detector.recordStall(this->Now, "g");
  EXPECT_EQ(this->run(seconds(3), {"one"}), std::set<EndpointName>{"one"});
  EXPECT_FALSE(this->Detector.isSuspect(this->Now, "g"));
}

// Guards against a group that gets no requests for a doubt of this host alone,
// because of a stall that is long over.
TEST_F(EngineFailureDetectorTest, OldStallDoesNotMakeALaterDoubtASuspicion) {
  this->Detector.recordStall(this->Now, "g");
  this->run(Milliseconds(1000), {});
  EXPECT_FALSE(this->Detector.isSuspect(this->Now, "g"));
  this->run(Milliseconds(1500), {"one"});
  EXPECT_FALSE(this->Detector.isSuspect(this->Now, "g"));
}

// Guards against new requests for a group whose silent member is neither heard
// nor lost yet.
TEST_F(EngineFailureDetectorTest, GroupStaysSuspectWhileAMemberIsInDoubt) {
  this->Detector.recordStall(this->Now, "g");
  while (this->lost().empty()) {
    EXPECT_TRUE(this->Detector.isSuspect(this->Now, "g"));
    this->step({"one"});
    ASSERT_LT(this->Now, TimePoint(seconds(104)));
  }
}

TEST_F(EngineFailureDetectorTest,
       StalledStreamTriggersProbesBeforeAHeartbeatIsOverdue) {
  this->Now += std::chrono::milliseconds(300);
  this->Detector.recordStall(this->Now, "g");
  EXPECT_TRUE(this->Detector.isSuspect(this->Now, "g"));
  EXPECT_EQ(this->Detector.enginesToProbe(this->Now).size(), 2U);
  // An event after the stall clears the suspicion.
  this->Now += std::chrono::milliseconds(50);
  this->Detector.recordProgress("g", 7, this->Now);
  EXPECT_FALSE(this->Detector.isSuspect(this->Now, "g"));
}

TEST_F(EngineFailureDetectorTest,
       UnreachableEngineOfAGroupWithProgressIsNotLost) {
  this->Now += seconds(3);
  this->Detector.recordProgress("g", 7, this->Now);
  EXPECT_TRUE(this->Detector.enginesToProbe(this->Now).empty());
  for (int I = 0; I < 40; ++I) {
    this->step({"one", "two"});
    this->Detector.recordProgress("g", 7, this->Now);
    EXPECT_TRUE(this->lost().empty());
  }
}

TEST_F(EngineFailureDetectorTest,
       ProgressOfANewerEpochDoesNotClearAReplacedEngine) {
  this->Now += seconds(3);
  this->receiveReport("two", 8);
  this->Detector.recordProgress("g", 8, this->Now);
  EXPECT_EQ(this->run(EndingSilence + Milliseconds(300), {"one"}),
            std::set<EndpointName>{"one"});
  this->Detector.recordProgress("g", 8, this->Now);
  EXPECT_EQ(this->lost(), std::set<EndpointName>{"one"});
}

TEST_F(EngineFailureDetectorTest, HeartbeatClearsASilentEngine) {
  EXPECT_EQ(this->run(seconds(6), {"one"}), std::set<EndpointName>{"one"});
  this->Now += Milliseconds(10);
  this->receiveReport("one", 7);
  EXPECT_TRUE(this->lost().empty());
}

// Guards against a heartbeat that arrives after the end of its sender and takes
// back the refused connection that showed this end.
TEST_F(EngineFailureDetectorTest, LateHeartbeatOnlyAsksARefusedEngineAgain) {
  const std::vector<EndpointName> One = {"one"};
  this->Now += seconds(1);
  this->receiveReport("two", 7);
  this->Now += Milliseconds(700);
  ASSERT_EQ(this->Detector.enginesToProbe(this->Now), One);
  this->Detector.probeRefused(this->Now, "one");
  for (int I = 0; I < 3; ++I) {
    this->Now += Milliseconds(100);
    this->receiveReport("one", 7);
    this->receiveReport("two", 7);
    this->Detector.recordProgress("g", 7, this->Now);
    EXPECT_EQ(this->lost(), std::set<EndpointName>{"one"});
    EXPECT_EQ(this->Detector.enginesToProbe(this->Now), One);
    EXPECT_TRUE(this->Detector.enginesToProbe(this->Now).empty());
    this->Detector.probeRefused(this->Now, "one");
    EXPECT_TRUE(this->Detector.enginesToProbe(this->Now).empty());
    EXPECT_EQ(this->lost(), std::set<EndpointName>{"one"});
  }
  this->Now += Milliseconds(100);
  this->receiveReport("one", 7);
  EXPECT_EQ(this->Detector.enginesToProbe(this->Now), One);
  this->Detector.probeAnswered(this->Now, "one");
  EXPECT_TRUE(this->lost().empty());
}

TEST_F(EngineFailureDetectorTest, HeartbeatOfAnotherLifeClearsARefusedEngine) {
  this->Now += Milliseconds(1700);
  this->receiveReport("two", 7);
  ASSERT_EQ(this->Detector.enginesToProbe(this->Now).size(), 1U);
  this->Detector.probeRefused(this->Now, "one");
  EXPECT_EQ(this->lost(), std::set<EndpointName>{"one"});
  this->receiveReport("one", 7, 1);
  EXPECT_TRUE(this->lost().empty());
}

// Guards against a new life that is called lost for the refusal of the one
// before.
TEST_F(EngineFailureDetectorTest, RefusalOfAnEarlierLifeIsNoneOfTheNext) {
  this->Now += Milliseconds(1700);
  this->receiveReport("two", 7);
  ASSERT_EQ(this->Detector.enginesToProbe(this->Now).size(), 1U);
  this->receiveReport("one", 7, 1);
  this->Detector.probeRefused(this->Now, "one");
  EXPECT_TRUE(this->lost().empty());
}

namespace {

/// Engines that report, fall silent, end, refuse and come back in another life,
/// and a leader that stands still at times. Reports may take long. The clock
/// runs in steps of the leader's tick.
class DrawnHistory {
public:
  static constexpr auto Tick = Milliseconds(100);
  static constexpr auto ReportInterval = Milliseconds(1200);
  /// Longest time from the last report of a dark engine until it is lost:
  /// until it is overdue, EndingSilence, and a tick each until it is asked
  /// first, is asked last and its silence is judged.
  static constexpr auto LossBound =
      ReportInterval + Milliseconds(400) + EndingSilence + 3 * Tick;
  /// An engine speaks between two silences for long enough to be asked.
  static constexpr auto MinSpeech = Milliseconds(800);

  struct Engine {
    std::vector<std::pair<TimePoint, TimePoint>> Silences;
    TimePoint NextReportAt;
    TimePoint LastReportAt;
    /// When it ends, and whether its host then refuses connections.
    TimePoint EndsAt = TimePoint::max();
    bool Refuses = false;
    /// When it is back in another life.
    TimePoint BackAt = TimePoint::max();
    Duration AnswerTime{};
    /// How long the reports take that its first life sends from a time on.
    TimePoint SlowFrom = TimePoint::max();
    Duration ReportDelay{};
    std::uint64_t Sequence = 0;
  };

  [[nodiscard]] static bool hasEnded(const Engine &Each, TimePoint At) {
    return At >= Each.EndsAt && At < Each.BackAt;
  }

  [[nodiscard]] static bool isSilent(const Engine &Each, TimePoint At) {
    return hasEnded(Each, At) ||
           std::ranges::any_of(Each.Silences, [&](const auto &Silence) {
             return At >= Silence.first && At < Silence.second;
           });
  }

  void step() {
    this->Now += Tick;
    bool Halted = std::ranges::any_of(this->Halts, [&](const auto &Halt) {
      return this->Now >= Halt.first && this->Now < Halt.second;
    });
    for (auto &[Id, Each] : this->Engines)
      this->advance(Id, Each);
    if (Halted)
      return;
    for (auto &[DueAt, Report] : std::exchange(this->OnTheWay, {}))
      if (DueAt <= this->Now)
        this->Registry.accept(this->Now, Report);
      else
        this->OnTheWay.emplace(DueAt, Report);
    // Timers of probes come first, as if their answers had been late.
    for (auto &[Id, Ask] : std::exchange(this->Asked, {}))
      if (!this->finish(Id, Ask))
        this->Asked[Id] = Ask;
    for (const EndpointName &Id : this->Detector.enginesToProbe(this->Now))
      this->Asked[Id] = this->Now;
    this->Lost = this->Detector.lostEngines(this->Now);
  }

  std::map<EndpointName, Engine> Engines;
  std::vector<std::pair<TimePoint, TimePoint>> Halts;
  TimePoint Now{seconds(100)};
  std::map<EndpointName, EngineLoss> Lost;

private:
  void advance(const EndpointName &Id, Engine &Each) {
    if (this->Now < Each.NextReportAt)
      return;
    Each.NextReportAt += ReportInterval;
    if (isSilent(Each, this->Now))
      return;
    Each.LastReportAt = this->Now;
    bool IsBack = this->Now >= Each.BackAt;
    bool IsSlow = !IsBack && this->Now >= Each.SlowFrom;
    this->OnTheWay.emplace(IsSlow ? this->Now + Each.ReportDelay : this->Now,
                           EngineReport{.Id = Id,
                                        .Address = Id,
                                        .Service = "sheets",
                                        .StartedAtMs = IsBack ? 1 : 0,
                                        .Sequence = ++Each.Sequence});
  }

  /// \returns whether the probe that was sent at \p AskedAt has ended.
  bool finish(const EndpointName &Id, TimePoint AskedAt) {
    const Engine &Each = this->Engines.at(Id);
    if (hasEnded(Each, AskedAt) && Each.Refuses)
      this->Detector.probeRefused(this->Now, Id);
    else if (this->Now - AskedAt >= SilenceMargin)
      this->Detector.probeUnanswered(this->Now, Id);
    else if (!isSilent(Each, AskedAt) && this->Now - AskedAt >= Each.AnswerTime)
      this->Detector.probeAnswered(this->Now, Id);
    else
      return false;
    return true;
  }

  EngineRegistry Registry;
  EngineFailureDetector Detector{{}, this->Registry};
  /// By the time of their arrival.
  std::multimap<TimePoint, EngineReport> OnTheWay;
  std::map<EndpointName, TimePoint> Asked;
};

} // namespace

// Guards against sound engines that are called lost for a silence of a second
// or so, in series and for many at once, and against dead ones noticed late.
RC_GTEST_PROP(EngineFailureDetector, OnlyEnginesThatEndedAreLost, ()) {
  DrawnHistory History;
  auto DrawTime = [](int From, int To) {
    return Milliseconds(100 * *rc::gen::inRange(From / 100, To / 100 + 1));
  };
  const TimePoint Start = History.Now;
  // Silences that all engines share, as if the leader's links were cut.
  std::vector<std::pair<TimePoint, TimePoint>> Common;
  auto AddSilences = [&](auto &Silences, int Count) {
    TimePoint At = Start + DrawTime(1300, 6000);
    for (int I = 0; I < Count; ++I) {
      Duration Length = DrawTime(300, 1500);
      Silences.emplace_back(At, At + Length);
      At += Length + DrawnHistory::MinSpeech + DrawTime(0, 3000);
    }
  };
  AddSilences(Common, *rc::gen::inRange(0, 4));
  int Dead = 0;
  for (int I = 0; I < 7; ++I) {
    auto &Each = History.Engines["engine-" + std::to_string(I)];
    Each.NextReportAt = Start + DrawTime(0, 1200);
    Each.AnswerTime = DrawTime(0, 200);
    if (*rc::gen::arbitrary<bool>())
      Each.Silences = Common;
    else
      AddSilences(Each.Silences, *rc::gen::inRange(0, 5));
    // At most half end, since a common silence has a longer bound.
    if (Dead < 3 && *rc::gen::inRange(0, 4) == 0) {
      ++Dead;
      Each.Silences.clear();
      Each.EndsAt = Start + DrawTime(2000, 8000);
      Each.Refuses = *rc::gen::arbitrary<bool>();
    }
  }
  TimePoint HaltsEndAt = Start;
  if (*rc::gen::arbitrary<bool>()) {
    TimePoint At = Start + DrawTime(1300, 9000);
    HaltsEndAt = At + DrawTime(300, 4000);
    History.Halts.emplace_back(At, HaltsEndAt);
  }
  while (History.Now < Start + seconds(25)) {
    History.step();
    for (const auto &[Id, Loss] : History.Lost) {
      RC_ASSERT(History.Now >= History.Engines.at(Id).EndsAt);
      RC_ASSERT((Loss.Reason == LossReason::Refused) ==
                History.Engines.at(Id).Refuses);
    }
  }
  for (const auto &[Id, Each] : History.Engines)
    RC_ASSERT(History.Lost.contains(Id) == (Each.EndsAt != TimePoint::max()));
}

// Guards against dark engines that are noticed later than the stated times
// allow.
RC_GTEST_PROP(EngineFailureDetector, DarkEngineIsLostWithinTheBound, ()) {
  DrawnHistory History;
  const TimePoint Start = History.Now;
  for (int I = 0; I < 5; ++I)
    History.Engines["engine-" + std::to_string(I)].NextReportAt =
        Start + Milliseconds(100 * *rc::gen::inRange(0, 12));
  auto &Dark = History.Engines.at("engine-0");
  Dark.EndsAt = Start + Milliseconds(100 * *rc::gen::inRange(12, 50));
  while (History.Now < Dark.EndsAt)
    History.step();
  while (History.Now < Dark.LastReportAt + DrawnHistory::LossBound)
    History.step();
  RC_ASSERT(History.Lost.size() == 1U);
  RC_ASSERT(History.Lost.contains("engine-0"));
}

// Guards against reports that arrive after the end of their sender and take
// back its loss, and against another life that is found late.
RC_GTEST_PROP(EngineFailureDetector, RefusalHoldsUntilTheEngineIsBack, ()) {
  DrawnHistory History;
  auto DrawTime = [](int From, int To) {
    return Milliseconds(100 * *rc::gen::inRange(From / 100, To / 100 + 1));
  };
  const TimePoint Start = History.Now;
  for (int I = 0; I < 5; ++I)
    History.Engines["engine-" + std::to_string(I)].NextReportAt =
        Start + DrawTime(0, 1200);
  auto &Ended = History.Engines.at("engine-0");
  Ended.EndsAt = Start + DrawTime(1300, 5000);
  Ended.Refuses = true;
  Ended.SlowFrom = Ended.EndsAt - DrawTime(0, 4000);
  Ended.ReportDelay = DrawTime(0, 8000);
  Ended.BackAt = Ended.EndsAt + DrawTime(2000, 12000);
  bool WasLost = false;
  while (History.Now < Ended.BackAt) {
    History.step();
    bool IsLost = History.Lost.contains("engine-0");
    RC_ASSERT(History.Lost.size() == (IsLost ? 1U : 0U));
    RC_ASSERT(IsLost || !WasLost || History.Now >= Ended.BackAt);
    WasLost = IsLost;
  }
  while (History.Now <
         Ended.BackAt + DrawnHistory::ReportInterval + 2 * DrawnHistory::Tick)
    History.step();
  RC_ASSERT(History.Lost.empty());
}
