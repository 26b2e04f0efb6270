//===- LibFormation/LossWatch.h - Which engines are lost ------------------===//
///
/// \file
/// Weighs the signs that an engine is gone: a heartbeat that is overdue, entry
/// hosts whose streams got silent, and no answer when it is asked. An engine
/// that the control hosts can't reach but whose group goes on answering is
/// not lost.
///
//===----------------------------------------------------------------------===//

#ifndef LIBFORMATION_LOSSWATCH_H
#define LIBFORMATION_LOSSWATCH_H

#include <LibFormation/EngineRegister.h>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace carobhinge {

struct LossWatchOptions {
  /// Between two heartbeats.
  Duration ReportInterval = std::chrono::milliseconds(1200);
  /// Beyond the interval before an engine is asked: heartbeats are sent with
  /// some jitter and passed on in batches.
  Duration ReportMargin = std::chrono::milliseconds(400);
  /// Without an answer in this time the engine is taken for lost; one that
  /// lives answers within a few milliseconds.
  Duration AnswerTimeout = std::chrono::milliseconds(200);
  /// An engine that has answered isn't asked again for this long.
  Duration AskAgain = std::chrono::milliseconds(600);
  /// The same for one that didn't answer: its next heartbeat tells sooner that
  /// it is back, and a whole failure domain may be gone.
  Duration AskLostAgain = std::chrono::milliseconds(2000);
  /// A group that an entry host waits for is suspect for this long at most:
  /// by then its members have answered or not.
  Duration SuspectFor = std::chrono::milliseconds(700);
  /// A group from which an event came less than this ago, and none was missed
  /// since, has all its members. Entry hosts tell twice a second.
  Duration FlowAge = std::chrono::milliseconds(1000);
};

class LossWatch {
public:
  LossWatch(LossWatchOptions Options, const EngineRegister &Engines)
      : Options(Options), Engines(Engines) {}

  /// An entry host got an event from the group, under this list of members,
  /// at \p At.
  void flowed(const GroupName &Group, std::uint64_t Epoch, TimePoint At);
  /// An entry host waits for the group in vain.
  void silent(TimePoint Now, const GroupName &Group);

  /// Whether an entry host waits for the group in vain, and none has had an
  /// event from it since: it gets nothing new until that is settled.
  [[nodiscard]] bool suspects(TimePoint Now, const GroupName &Group) const;

  /// The engines to be asked now. Each ends in answered() or unanswered().
  [[nodiscard]] std::vector<EndpointName> toAsk(TimePoint Now);
  void answered(TimePoint Now, const EndpointName &Id);
  void unanswered(TimePoint Now, const EndpointName &Id);

  /// Engines that are lost as far as is known, as of \p Now.
  [[nodiscard]] std::set<EndpointName> lost(TimePoint Now);

private:
  struct Asked {
    TimePoint At;
    bool Waiting = false;
    /// When the engine failed to answer, if it did since it was last heard.
    std::optional<TimePoint> FailedAt;
  };

  struct Flowing {
    std::uint64_t Epoch = 0;
    TimePoint At;
  };

  [[nodiscard]] bool flows(TimePoint Now, const EngineRecord &Record) const;

  LossWatchOptions Options;
  const EngineRegister &Engines;
  std::map<EndpointName, Asked> Questions;
  std::map<GroupName, Flowing> Flow;
  /// Groups that were reported silent, and when last.
  std::map<GroupName, TimePoint> Silence;
};

} // namespace carobhinge

#endif // LIBFORMATION_LOSSWATCH_H
