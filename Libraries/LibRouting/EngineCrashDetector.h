//===- LibRouting/EngineCrashDetector.h - Tells crashes from lost calls ---===//
///
/// \file
/// Watches the attempts of one entry host and reports engines that crashed,
/// with the prompts that were in progress. An engine has crashed if a
/// connection to it was lost and none of its other requests made progress after
/// that; a single lost connection to an engine that goes on is no crash.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_ENGINECRASHDETECTOR_H
#define LIBROUTING_ENGINECRASHDETECTOR_H

#include <LibRouting/CrashReport.h>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace carobhinge {

struct EngineCrashDetectorOptions {
  /// Time from the first lost connection to the report. The connections of a
  /// crashed engine all close within it.
  Duration ConfirmTime = std::chrono::milliseconds(100);
  /// An engine that still holds other requests open after this time has not
  /// crashed.
  Duration GiveUpTime = std::chrono::seconds(1);
  /// Connections of one engine may end this much apart in a crash.
  Duration CloseSpread = std::chrono::milliseconds(50);
};

/// How the connection of an attempt ended.
enum class ConnectionEnd {
  /// After a whole answer, or by this host.
  Orderly,
  /// Closed by the engine at the end of an answer without a length. That is
  /// how such an answer ends, and how a crash may look.
  Ambiguous,
  /// Closed or reset by the engine before the end of its answer.
  Lost,
};

class EngineCrashDetector {
public:
  using AttemptKey = std::uint64_t;

  explicit EngineCrashDetector(EngineCrashDetectorOptions Options = {})
      : Options(Options) {}

  /// \p Attempt is unique among the attempts in progress.
  void beginAttempt(TimePoint Now, AttemptKey Attempt,
                    const EndpointName &Engine, PromptParts Prompt);
  /// The engine sent an event or an answer.
  void recordProgress(TimePoint Now, AttemptKey Attempt);
  void endAttempt(TimePoint Now, AttemptKey Attempt, ConnectionEnd End);

  /// \returns the crashes that are certain by now, each once.
  [[nodiscard]] std::vector<CrashReport> takeCrashes(TimePoint Now);

private:
  struct Attempt {
    EndpointName Engine;
    SuspectPrompt Prompt;
  };
  struct AmbiguousEnd {
    TimePoint At;
    Attempt Ended;
  };
  /// An engine of which connections were lost.
  struct Loss {
    TimePoint FirstAt;
    TimePoint LastAt = TimePoint::min();
    TimePoint LastProgressAt = TimePoint::min();
    std::vector<SuspectPrompt> Prompts;
  };

  EngineCrashDetectorOptions Options;
  std::map<AttemptKey, Attempt> Attempts;
  /// Attempts in progress by engine; no zeros.
  std::map<EndpointName, int> InProgress;
  std::map<EndpointName, Loss> Losses;
  /// Not older than GiveUpTime, in the order of their time.
  std::deque<AmbiguousEnd> AmbiguousEnds;
};

} // namespace carobhinge

#endif // LIBROUTING_ENGINECRASHDETECTOR_H
