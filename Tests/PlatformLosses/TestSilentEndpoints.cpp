//===- Tests/PlatformLosses/TestSilentEndpoints.cpp - A second of silence -===//
///
/// \file
/// Guards against taking endpoints that say nothing for a second or so, and
/// then go on, for ones that have ended. The bound on a silence is the one of
/// LibCore/Silence.h. A silence that the machine made longer counts as a fault,
/// which excuses what it costs.
///
//===----------------------------------------------------------------------===//

#include <PlatformWorld/LogReader.h>
#include <PlatformWorld/PlatformVerifyingCaller.h>
#include <algorithm>
#include <array>
#include <gtest/gtest.h>

using namespace carobhinge;
using std::chrono::seconds;

namespace {

constexpr unsigned Callers = 36;
constexpr auto Pause = std::chrono::milliseconds(10);
constexpr int Silences = 9;
constexpr Duration ShortestSilence = std::chrono::milliseconds(300);
constexpr Duration LongestSilence = MaxSoundSilence;
constexpr auto TimeBetween = std::chrono::milliseconds(600);
/// Losses may still show for this long after the last silence.
constexpr auto TailTime = seconds(3);

constexpr std::array Scopes = {SilenceScope::Alone, SilenceScope::HalfGroup,
                               SilenceScope::FailureDomain};

class SilentEndpoints : public testing::Test {
protected:
  void SetUp() override {
    this->Deployment.start();
    for (std::size_t Host = 3; Host < this->Deployment.hosts(); ++Host)
      for (CallKind Kind : {CallKind::Stream, CallKind::Post, CallKind::Get})
        PlatformDeployment::waitFor("calls of every kind are answered", [&] {
          return this->Caller.callOnce(Host, Kind) == CallEnd::Answered;
        });
    this->Caller.start(Callers, Pause);
    this->Caller.waitUntilAnswered(Callers);
  }

  /// Returns what happened to requests and endpoints beside the silences that
  /// must not happen beside a silence.
  std::vector<std::string> findLosses() {
    EndpointSimulator &Endpoints = this->Deployment.endpoints();
    Duration Lag = this->Caller.longestLag();
    LogSummary Log = readLogs(this->Deployment.logs());
    LostRequests Lost;
    unsigned TooLong = 0;
    for (const EndpointSilence &Each : Endpoints.silences()) {
      bool IsSound = Each.isSound(Lag);
      TooLong += !IsSound;
      Lost.add(IsSound ? LossCause::Silence : LossCause::Fault, std::nullopt,
               Each.From, Each.Until);
    }
    std::vector<CallRecord> Calls =
        this->Caller.calls(this->Deployment.executionLog());
    for (CallRecord &Each : Calls)
      Each.IsUnknown = Each.IsUnknown && !Log.ranOutOfTime(Each.AttemptId);
    LossSummary Losses = Lost.review(Calls, Lag);
    std::vector<std::string> Violations = Losses.Violations;
    for (const EndpointAlarm &Each : Log.Alarms)
      if (Endpoints.wasSoundAt(Each.Endpoint, Each.At, Lag))
        Violations.push_back(Each.Event + ": " + Each.Endpoint +
                             ", which went on in the same life");
    std::printf(
        "%s; %zu silences of endpoints, %u of them too long; callers at "
        "most %.0f ms late\n",
        Losses.describe().c_str(), Endpoints.silences().size(), TooLong,
        std::chrono::duration<double, std::milli>(Lag).count());
    return Violations;
  }

  PlatformDeployment Deployment{{.VariesCatalog = true}};
  PlatformVerifyingCaller Caller{Deployment, 20261207};
};

} // namespace

// Guards against answers that end, and endpoints that are called lost or
// crashed, because sound endpoints were silent for a second or so beside
// changes of the configuration.
TEST_F(SilentEndpoints, LoseNoRequestAndAreNotTakenForLost) {
  std::mt19937_64 Random(44);
  unsigned Version = 1;
  for (std::size_t I = 0; I < Silences; ++I) {
    std::size_t Index = Random() % this->Deployment.endpoints().size();
    Duration Length =
        ShortestSilence +
        Duration(static_cast<Duration::rep>(
            Random() % static_cast<std::uint64_t>(
                           (LongestSilence - ShortestSilence).count())));
    TimePoint End = monotonicNow() + Length + TimeBetween;
    this->Deployment.endpoints().fallSilent(Index, Scopes[I % Scopes.size()],
                                            Length);
    EXPECT_TRUE(this->Deployment.putCatalog(++Version));
    std::this_thread::sleep_until(End);
  }
  std::this_thread::sleep_for(TailTime);
  this->Caller.stop();
  EXPECT_EQ(this->findLosses(), std::vector<std::string>());
  EXPECT_EQ(this->Caller.findViolations(this->Deployment.executionLog()),
            std::vector<std::string>());
}
