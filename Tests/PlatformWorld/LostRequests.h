//===- Tests/PlatformWorld/LostRequests.h - Requests without an answer ----===//
///
/// \file
/// Counts the requests of a run that ended without a whole answer, by what
/// happened at the time, and names those that must not end so: during planned
/// work without a fault, and on kept connections to hosts without a fault.
///
//===----------------------------------------------------------------------===//

#ifndef PLATFORMWORLD_LOSTREQUESTS_H
#define PLATFORMWORLD_LOSTREQUESTS_H

#include <LibCore/Time.h>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace carobhinge {

/// What happened while a request was lost. The first that applies counts.
enum class LossCause { Deadline, Fault, Stop, Reload, Silence, Change, None };

/// One call, as its caller saw it.
struct CallRecord {
  std::string AttemptId;
  std::size_t Host = 0;
  TimePoint SentAt;
  TimePoint EndedAt;
  /// How long the caller waits.
  Duration Timeout{};
  /// The connection ended without a whole answer.
  bool IsLost = false;
  /// It was answered that it may or may not have run, before its deadline.
  bool IsUnknown = false;
  /// An endpoint began to run it.
  bool IsExecuted = false;
  bool IsOnKeptConnection = false;
};

struct LossSummary {
  unsigned Calls = 0;
  std::map<LossCause, unsigned> Lost;
  /// Calls that ended without an answer, but that no endpoint ran and that were
  /// too short to have been read. They count neither as calls nor as lost.
  unsigned NotRead = 0;
  std::vector<std::string> Violations;

  [[nodiscard]] unsigned lost() const;
  /// Adds the counts of \p Other.
  void add(const LossSummary &Other);
  /// Returns the count of each cause, and the sum per 1,000 calls.
  [[nodiscard]] std::string describe() const;
};

struct LossRules {
  /// How long a fault still excuses a host, and a silence of sound endpoints
  /// may still show.
  Duration ContactTime = std::chrono::seconds(3);
  /// A request whose caller sees its end within this time, and the lag of the
  /// callers, may not have been read.
  Duration Slack = std::chrono::milliseconds(200);
  /// The most requests on kept connections that may be lost without a fault.
  unsigned MaxOnKeptConnections = 3;
  /// Beside a change, requests may be lost this many times as often as without.
  double MaxChangeRatio = 3;
  /// Beside a change, a request that has used this share of its time may be
  /// lost.
  double MaxTimeShare = 0.7;
};

class LostRequests {
public:
  explicit LostRequests(LossRules InitialRules = {}) : Rules(InitialRules) {}

  /// Something happened from \p From to \p Until at \p Host, or at all hosts.
  /// \p Cause is neither Deadline nor None. A Silence of sound endpoints
  /// excuses nothing: beside it, no request may be lost or unknown.
  void add(LossCause Cause, std::optional<std::size_t> Host, TimePoint From,
           TimePoint Until);
  /// \p Lag is the longest time by which the callers ran late: they may have
  /// seen the end of a call that much later.
  [[nodiscard]] LossSummary review(std::span<const CallRecord> Calls,
                                   Duration Lag = {}) const;

private:
  struct Event {
    LossCause Cause;
    std::optional<std::size_t> Host;
    TimePoint From;
    TimePoint Until;
  };
  [[nodiscard]] bool concerns(LossCause Cause, const CallRecord &Call) const;
  [[nodiscard]] LossCause findCause(const CallRecord &Call) const;

  LossRules Rules;
  std::vector<Event> Events;
};

} // namespace carobhinge

#endif // PLATFORMWORLD_LOSTREQUESTS_H
