//===- Tests/LibEntry/TestDispatcher.cpp - Selection of targets -----------===//
///
/// \file
/// Guards against overloaded and stalled targets: choice of targets, detection
/// of stalled targets, limits of cold endpoints, back-off, and the load
/// patterns that the choice must handle.
///
//===----------------------------------------------------------------------===//

#include <LibEntry/Dispatcher.h>
#include <algorithm>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

static constexpr auto Millisecond = std::chrono::milliseconds(1);

static DispatchTarget makeGroup(int Number, int Slots = 26) {
  std::string Name = "g" + std::to_string(Number);
  return {.Name = Name,
          .Endpoint = "e" + std::to_string(Number),
          .Address = "10.0.0.1:" + std::to_string(Number),
          .Service = "sheets",
          .Model = "large",
          .FailureDomain = "a",
          .Slots = Slots};
}

static std::vector<DispatchTarget> makeGroups(int Count) {
  std::vector<DispatchTarget> Result;
  Result.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Result.push_back(makeGroup(I));
  return Result;
}

static Dispatcher makeDispatcher(std::uint64_t Seed = 1) {
  return Dispatcher({.FailureDomain = "a", .Seed = Seed});
}

static const TimePoint Start{seconds(1000)};
static const DispatchRequest LargeRequest{
    .Service = "sheets", .Model = "large", .Objective = 500 * Millisecond};

TEST(Dispatcher, FullGroupsRejectNewButNotAdmittedRequests) {
  Dispatcher Selector = makeDispatcher();
  Selector.update(makeGroups(1));
  Selector.setRemoteInFlight("g0", 26);
  DispatchChoice NewRequest = Selector.chooseTarget(Start, LargeRequest);
  EXPECT_FALSE(NewRequest.Target);
  EXPECT_TRUE(NewRequest.AllFull);
  EXPECT_TRUE(
      Selector
          .chooseTarget(
              Start, {.Service = "sheets", .Model = "large", .AllowFull = true})
          .Target);
  // No suitable target at all is not the same as only full targets.
  EXPECT_FALSE(
      Selector.chooseTarget(Start, {.Service = "sheets", .Model = "small"})
          .AllFull);
}

/// Short overload of a group: its slots are taken, but one becomes free every
/// 100 ms, so a few more requests still get their first event in time.
TEST(Dispatcher, FullGroupTakesWhatGetsASlotWithinTheObjective) {
  Dispatcher Selector = makeDispatcher();
  Selector.update(makeGroups(1));
  TimePoint End = Start + 2600 * Millisecond;
  AttemptNumber Sample = Selector.beginAttempt(Start, "g0", true);
  Selector.recordProgress(Start, Sample);
  Selector.endAttempt(End, Sample, DispatchResult::Answered);
  auto Admits = [&](int InFlight, Duration Objective) {
    Selector.setRemoteInFlight("g0", InFlight);
    return Selector
        .chooseTarget(
            End,
            {.Service = "sheets", .Model = "large", .Objective = Objective})
        .Target.has_value();
  };
  EXPECT_TRUE(Admits(25, Duration::zero()));
  EXPECT_FALSE(Admits(26, Duration::zero()));
  EXPECT_TRUE(Admits(27, 500 * Millisecond));
  EXPECT_FALSE(Admits(28, 500 * Millisecond));
  EXPECT_TRUE(Admits(28, 1000 * Millisecond));
}

TEST(Dispatcher, EndpointGetsNothingInItsPauseThoughThereIsNoOther) {
  Dispatcher Selector = makeDispatcher();
  Selector.update(makeGroups(1));
  AttemptNumber Stream = Selector.beginAttempt(Start, "g0", true);
  AttemptNumber Refused = Selector.beginAttempt(Start, "g0", true);
  AttemptNumber Unwritten = Selector.beginAttempt(Start, "g0", true);
  TimePoint End = Selector.recordPause(Start, Refused, seconds(3));
  Selector.endAttempt(Start, Refused, DispatchResult::Paused);
  EXPECT_FALSE(Selector.mayWrite(Start, Unwritten));
  // An event of a stream in progress is no sign that the pause is over.
  Selector.recordProgress(Start + seconds(1), Stream);
  // Neither is another group with the same head.
  DispatchTarget Changed = makeGroup(0);
  Changed.Epoch = 5;
  Selector.update({&Changed, 1});
  DispatchChoice Choice =
      Selector.chooseTarget(Start + seconds(2), LargeRequest);
  EXPECT_FALSE(Choice.Target);
  EXPECT_FALSE(Choice.AllFull);
  EXPECT_EQ(Choice.PausedUntil, End);
  EXPECT_EQ(Selector.modelLoad("sheets", "large").Slots, 0);
  EXPECT_TRUE(Selector.chooseTarget(End, LargeRequest).Target);
  // One request until the first one after the pause is answered.
  EXPECT_FALSE(Selector.chooseTarget(End, LargeRequest).Target);
  AttemptNumber Trial = Selector.beginAttempt(End, "g0", true);
  Selector.recordProgress(End + 50 * Millisecond, Trial);
  EXPECT_TRUE(
      Selector.chooseTarget(End + 50 * Millisecond, LargeRequest).Target);
}

TEST(Dispatcher, PauseIsNoFailure) {
  Dispatcher Selector = makeDispatcher();
  Selector.update(makeGroups(1));
  for (int I = 0; I < 5; ++I) {
    AttemptNumber Attempt = Selector.beginAttempt(Start, "g0", true);
    Selector.recordPause(Start, Attempt, seconds(1));
    Selector.endAttempt(Start, Attempt, DispatchResult::Paused);
  }
  EXPECT_TRUE(
      Selector.chooseTarget(Start + 1250 * Millisecond, LargeRequest).Target);
  EXPECT_TRUE(Selector.findStalledAttempts(Start + seconds(1)).empty());
  EXPECT_FALSE(Selector.consumeNewSuspicion());
}

TEST(Dispatcher, LeavingEndpointGetsNothingUntilItStartsAgain) {
  Dispatcher Selector = makeDispatcher();
  DispatchTarget Target = makeGroup(0);
  Target.EndpointLife = 1;
  Selector.update({&Target, 1});
  AttemptNumber Attempt = Selector.beginAttempt(Start, "g0", true);
  EXPECT_TRUE(Selector.recordLeaving(Start, Attempt));
  Target.Epoch = 2;
  Selector.update({&Target, 1});
  DispatchChoice Choice =
      Selector.chooseTarget(Start + seconds(60), LargeRequest);
  EXPECT_FALSE(Choice.Target);
  EXPECT_FALSE(Choice.PausedUntil);
  Target.EndpointLife = 2;
  Selector.update({&Target, 1});
  EXPECT_TRUE(Selector.chooseTarget(Start + seconds(60), LargeRequest).Target);
  // The answer came through another entry host.
  EXPECT_FALSE(Selector.recordLeaving(Start, EndpointName("e9")));
  EXPECT_TRUE(Selector.recordLeaving(Start, EndpointName("e0")));
  EXPECT_FALSE(Selector.chooseTarget(Start + seconds(60), LargeRequest).Target);
}

TEST(Dispatcher, DrainedFailureDomainGetsNoRequests) {
  Dispatcher Selector = makeDispatcher();
  Selector.update(makeGroups(3));
  Selector.setDrainedDomains({"a"});
  EXPECT_FALSE(Selector.chooseTarget(Start, LargeRequest).Target);
  Selector.setDrainedDomains({});
  EXPECT_TRUE(Selector.chooseTarget(Start, LargeRequest).Target);
}

/// Nine entry hosts that learn of each other's requests half a second late must
/// not all select the target that had the least load at that time.
TEST(Dispatcher, BurstFromManyEntryHostsSpreadsOverAllGroups) {
  static constexpr int Hosts = 9;
  static constexpr int Groups = 6;
  static constexpr int RequestsPerHost = 7;
  std::vector<Dispatcher> Dispatchers;
  for (int Host = 0; Host < Hosts; ++Host) {
    Dispatchers.push_back(makeDispatcher(static_cast<std::uint64_t>(Host) + 1));
    Dispatchers.back().update(makeGroups(Groups));
    // All hosts know one group as less loaded than the others.
    for (int I = 0; I < Groups; ++I)
      Dispatchers.back().setRemoteInFlight("g" + std::to_string(I),
                                           I == 0 ? 8 : 11);
  }
  std::map<DispatchTargetName, int> RequestCounts;
  for (Dispatcher &Selector : Dispatchers)
    for (int I = 0; I < RequestsPerHost; ++I) {
      DispatchChoice Choice = Selector.chooseTarget(Start, LargeRequest);
      ASSERT_TRUE(Choice.Target);
      Selector.beginAttempt(Start, Choice.Target->Name, true);
      ++RequestCounts[Choice.Target->Name];
    }
  double Mean = double(Hosts * RequestsPerHost) / Groups;
  for (const auto &[Name, Count] : RequestCounts)
    EXPECT_LT(Count, 2.2 * Mean) << Name;
}

TEST(Dispatcher, StalledGroupIsReportedAndThenAvoided) {
  Dispatcher Selector = makeDispatcher();
  Selector.update(makeGroups(2));
  AttemptNumber Stream = Selector.beginAttempt(Start, "g0", true);
  Selector.recordProgress(Start, Stream);
  EXPECT_TRUE(Selector.findStalledAttempts(Start + 200 * Millisecond).empty());
  EXPECT_FALSE(Selector.consumeNewSuspicion());
  EXPECT_TRUE(Selector.findStalledAttempts(Start + 300 * Millisecond).empty());
  EXPECT_TRUE(Selector.consumeNewSuspicion());
  // Silence is no reason to give up the stream, whose engine may be slow.
  TimePoint Later = Start + 500 * Millisecond;
  EXPECT_TRUE(Selector.findStalledAttempts(Later).empty());
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(Selector.chooseTarget(Later, LargeRequest).Target->Name, "g1");
  // The finding expires, so that a group that was wrongly found stalled is
  // selected again.
  Selector.endAttempt(Later, Stream, DispatchResult::Lost);
  bool SelectedAgain = false;
  TimePoint AfterExpiry = Later + seconds(5);
  for (int I = 0; I < 3; ++I)
    Selector.beginAttempt(AfterExpiry, "g1", true);
  for (int I = 0; I < 50; ++I)
    SelectedAgain =
        SelectedAgain ||
        Selector.chooseTarget(AfterExpiry, LargeRequest).Target->Name == "g0";
  EXPECT_TRUE(SelectedAgain);
}

/// Guards against new requests that go to stuck groups in equal parts because
/// most groups are stuck, and against refusals where only such ones have room.
TEST(Dispatcher, GroupsInDoubtAreSelectedOnlyWithoutOthersHoweverManyTheyAre) {
  Dispatcher Selector = makeDispatcher();
  Selector.update(makeGroups(5));
  for (const char *Name : {"g0", "g1", "g2", "g3"})
    Selector.recordProgress(Start, Selector.beginAttempt(Start, Name, true));
  AttemptNumber Sound = Selector.beginAttempt(Start, "g4", true);
  for (TimePoint Now = Start; Now < Start + seconds(5);
       Now += 60 * Millisecond) {
    Selector.recordProgress(Now, Sound);
    EXPECT_TRUE(Selector.findStalledAttempts(Now).empty());
    if (Now < Start + 500 * Millisecond)
      continue;
    for (int I = 0; I < 20; ++I)
      ASSERT_EQ(Selector.chooseTarget(Now, LargeRequest).Target->Name, "g4");
  }
  TimePoint End = Start + seconds(5);
  std::vector<DispatchTargetName> Excluded = {"g4"};
  DispatchRequest Request = LargeRequest;
  Request.ExcludedTargets = Excluded;
  EXPECT_TRUE(Selector.chooseTarget(End, Request).Target);
  Request.OnlyTrusted = true;
  EXPECT_FALSE(Selector.chooseTarget(End, Request).Target);
}

TEST(Dispatcher, EventsOfOneStreamKeepWholeGroupFromCountingAsStalled) {
  Dispatcher Selector = makeDispatcher();
  Selector.update(makeGroups(1));
  AttemptNumber Waiting = Selector.beginAttempt(Start, "g0", true);
  AttemptNumber Active = Selector.beginAttempt(Start, "g0", true);
  for (int I = 1; I <= 20; ++I) {
    TimePoint Now = Start + I * 100 * Millisecond;
    Selector.recordProgress(Now, Active);
    EXPECT_TRUE(Selector.findStalledAttempts(Now).empty()) << Waiting;
  }
}

TEST(Dispatcher, StreamsOfGroupReportedAsStalledMoveAtOnce) {
  Dispatcher Selector = makeDispatcher();
  DispatchTarget Target = makeGroup(0);
  Selector.update({&Target, 1});
  AttemptNumber Stream = Selector.beginAttempt(Start, "g0", true);
  Target.Mode = DispatchTargetMode::Stalled;
  Selector.update({&Target, 1});
  EXPECT_EQ(Selector.findStalledAttempts(Start),
            std::vector<AttemptNumber>{Stream});
}

/// The request limit of a cold endpoint applies to all entry hosts together,
/// however many there are, in any second.
TEST(Dispatcher, AllEntryHostsTogetherKeepColdEndpointLimit) {
  for (int Hosts : {1, 6, 9, 79, 300}) {
    static constexpr double PerSecond = 14;
    std::vector<Dispatcher> Dispatchers;
    for (int Host = 0; Host < Hosts; ++Host) {
      Dispatchers.push_back(
          makeDispatcher(static_cast<std::uint64_t>(Host) + 1));
      DispatchTarget Cold = makeGroup(0, 100000);
      Cold.ColdUntil = Start + seconds(100);
      Dispatchers.back().update({&Cold, 1});
      Dispatchers.back().setColdLimit("sheets", PerSecond);
      Dispatchers.back().setEntryHosts(Host, Hosts);
    }
    std::vector<TimePoint> Arrivals;
    for (int Step = 0; Step < 300; ++Step) {
      TimePoint Now = Start + Step * 10 * Millisecond;
      for (Dispatcher &Selector : Dispatchers)
        if (Selector.chooseTarget(Now, LargeRequest).Target)
          Arrivals.push_back(Now);
    }
    ASSERT_FALSE(Arrivals.empty());
    // Deployments guarantee at most half above the limit and five more.
    for (std::size_t I = 0; I < Arrivals.size(); ++I) {
      auto End = std::ranges::upper_bound(Arrivals, Arrivals[I] + seconds(1) -
                                                        Millisecond);
      EXPECT_LE(End - Arrivals.begin() - static_cast<long>(I),
                1.5 * PerSecond + 5)
          << Hosts << " entry hosts";
    }
  }
}

TEST(Dispatcher, BackOffGrowsWithEachFailure) {
  Dispatcher Selector = makeDispatcher();
  Selector.update(makeGroups(2));
  TimePoint Now = Start;
  for (int I = 0; I < 3; ++I) {
    AttemptNumber Attempt = Selector.beginAttempt(Now, "g0", true);
    Selector.endAttempt(Now, Attempt, DispatchResult::Unreachable);
  }
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(Selector.chooseTarget(Now + 900 * Millisecond, LargeRequest)
                  .Target->Name,
              "g1");
}

/// Guards against stuck groups that look idle once their callers have left, and
/// then get most of the new requests.
TEST(Dispatcher, GroupInDoubtGetsOneRequestAtATimeUntilItSendsAnEvent) {
  Dispatcher Selector = makeDispatcher();
  Selector.update(makeGroups(2));
  AttemptNumber Stream = Selector.beginAttempt(Start, "g0", true);
  EXPECT_TRUE(Selector.findStalledAttempts(Start + seconds(1)).empty());
  Selector.endAttempt(Start + seconds(1), Stream, DispatchResult::Cancelled);
  TimePoint Now = Start + seconds(3);
  for (int I = 0; I < 20; ++I)
    Selector.beginAttempt(Now, "g1", true);
  DispatchRequest Trusting = LargeRequest;
  Trusting.OnlyTrusted = true;
  EXPECT_EQ(Selector.chooseTarget(Now, Trusting).Target->Name, "g1");
  EXPECT_EQ(Selector.chooseTarget(Now, LargeRequest).Target->Name, "g0");
  AttemptNumber Trial = Selector.beginAttempt(Now, "g0", true);
  EXPECT_EQ(Selector.chooseTarget(Now, LargeRequest).Target->Name, "g1");
  Selector.recordProgress(Now, Trial);
  EXPECT_EQ(Selector.chooseTarget(Now, LargeRequest).Target->Name, "g0");
}

/// Guards against a target that is avoided for as long as it has requests,
/// although it answers those that aren't streams.
TEST(Dispatcher, WholeAnswerEndsTheDoubtAboutATarget) {
  Dispatcher Selector = makeDispatcher();
  Selector.update(makeGroups(2));
  AttemptNumber Stream = Selector.beginAttempt(Start, "g0", true);
  EXPECT_TRUE(Selector.findStalledAttempts(Start + seconds(1)).empty());
  const std::vector<DispatchTargetName> Excluded{"g1"};
  DispatchRequest Trusting = LargeRequest;
  Trusting.OnlyTrusted = true;
  Trusting.ExcludedTargets = Excluded;
  EXPECT_FALSE(Selector.chooseTarget(Start + seconds(1), Trusting).Target);
  AttemptNumber Plain = Selector.beginAttempt(Start + seconds(1), "g0", false);
  Selector.endAttempt(Start + seconds(1), Plain, DispatchResult::Answered);
  EXPECT_TRUE(Selector.chooseTarget(Start + seconds(1), Trusting).Target);
  Selector.endAttempt(Start + seconds(1), Stream, DispatchResult::Cancelled);
}

/// Guards against new requests that return at once to the place that a standby
/// has just replaced.
TEST(Dispatcher, TargetOfSupersededAttemptIsSelectedOnlyWithoutOthers) {
  Dispatcher Selector = makeDispatcher();
  Selector.update(makeGroups(2));
  AttemptNumber First = Selector.beginAttempt(Start, "g0", true);
  EXPECT_EQ(Selector.silence(Start + seconds(1), First), seconds(1));
  Selector.endAttempt(Start + seconds(1), First, DispatchResult::Superseded);
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(
        Selector.chooseTarget(Start + seconds(1), LargeRequest).Target->Name,
        "g1");
}

TEST(Dispatcher, NewMemberListDiscardsFindings) {
  Dispatcher Selector = makeDispatcher();
  DispatchTarget Target = makeGroup(0);
  Selector.update({&Target, 1});
  AttemptNumber Stream = Selector.beginAttempt(Start, "g0", true);
  Selector.recordProgress(Start, Stream);
  TimePoint Later = Start + seconds(1);
  EXPECT_TRUE(Selector.findStalledAttempts(Later).empty());
  DispatchRequest Trusting = LargeRequest;
  Trusting.OnlyTrusted = true;
  EXPECT_FALSE(Selector.chooseTarget(Later, Trusting).Target);
  Target.Epoch = 2;
  Selector.update({&Target, 1});
  EXPECT_TRUE(Selector.chooseTarget(Later, Trusting).Target);
}
