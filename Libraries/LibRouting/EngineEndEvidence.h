//===- LibRouting/EngineEndEvidence.h - What speaks against a crash -------===//
///
/// \file
/// Tells crashes of engines from other ends of their connections. An engine
/// that is ordered to join another group or to leave its group ends the
/// requests in progress on it and goes on. One that answers a call which was
/// sent after all reports of its crash has not crashed, if it shows the life
/// that the lost requests were sent to: its next life answers at the same
/// address. One that refuses a connection had ended before, so that no prompt
/// which began later is the cause. The leading control host sends these calls,
/// and asks engines that are reported.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_ENGINEENDEVIDENCE_H
#define LIBROUTING_ENGINEENDEVIDENCE_H

#include <LibCore/Silence.h>
#include <LibRouting/CrashReport.h>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace carobhinge {

struct EngineEndOptions {
  /// Times that different hosts report may be this far apart.
  Duration TimeTolerance = std::chrono::milliseconds(10);
  /// By then every host has noticed that an order ended its requests.
  Duration NoticeTime = EndingSilence;
  /// Shorter than an engine takes to start again.
  Duration RestartTime = std::chrono::milliseconds(1500);
  /// Reports arrive within this time after the loss.
  Duration Memory = std::chrono::seconds(10);
};

/// An answer of an engine to a control host.
struct EngineAnswer {
  EndpointName Engine = {};
  TimePoint SentAt = {};
  TimePoint AnsweredAt = {};
  /// The call was an order that ended the requests in progress.
  bool EndsRequests = false;
  /// The life of the engine that the answer states.
  std::optional<Incarnation> StatedLife = {};
  /// The life that the control host knows by then, and since when.
  std::optional<Incarnation> KnownLife = {};
  TimePoint KnownSince = TimePoint::max();
};

/// Whether a report counts as evidence on its prompts, and if not, why.
enum class ReportVerdict {
  Counts,
  /// An order to the engine ended them.
  EndedByOrder,
  /// They were sent to an engine that had ended.
  SentAfterEnd,
};

class EngineEndEvidence {
public:
  explicit EngineEndEvidence(EngineEndOptions Options = {})
      : Options(Options) {}

  /// \returns whether the engine goes on after all crashes of it that were
  /// reported: the call was sent after the reports, and these after the losses,
  /// and the life that answers was known before the lost requests were sent.
  bool recordAnswer(const EngineAnswer &Answer);
  /// A connection of this host to \p Engine, begun at \p SentAt, was refused.
  void recordRefused(const EndpointName &Engine, TimePoint SentAt);
  /// Removes the prompts of \p Report that no crash ended. If others are left,
  /// the report counts, and the engine is to be asked.
  ReportVerdict recordReport(TimePoint Now, CrashReport &Report);
  /// \returns the engines that were reported and have not been asked since.
  [[nodiscard]] const std::set<EndpointName> &enginesToAsk() const {
    return this->Questions;
  }
  void recordAsked(const EndpointName &Engine) {
    this->Questions.erase(Engine);
  }

private:
  [[nodiscard]] bool isEndedByOrder(const EndpointName &Engine,
                                    TimePoint BeganAt, TimePoint LostAt) const;
  [[nodiscard]] bool isSentAfterEnd(const EndpointName &Engine,
                                    TimePoint BeganAt, TimePoint LostAt) const;
  void removeExpired(TimePoint Now);

  EngineEndOptions Options;
  /// The orders that ended requests, by engine.
  std::map<EndpointName, std::vector<EngineAnswer>> Orders;
  struct Reported {
    /// When a report on the engine last came.
    TimePoint At;
    /// The first loss of its last crash.
    TimePoint LostAt;
    /// When the first of the requests that it ended was sent.
    TimePoint BeganAt;
    /// From when on it refused connections after that loss.
    TimePoint RefusedAt = TimePoint::max();
  };
  std::map<EndpointName, Reported> Reports;
  std::set<EndpointName> Questions;
  TimePoint NextCleanupAt;
};

} // namespace carobhinge

#endif // LIBROUTING_ENGINEENDEVIDENCE_H
