//===- LibTelemetry/LimitReports.h - Which limits were reached, by whom ---===//
///
/// \file
/// Tells operators which limit a peer has reached, or by what fault its answers
/// are none, and how often, in a bounded number of log lines: one peer, or many
/// of them, may do so without end.
///
//===----------------------------------------------------------------------===//

#ifndef LIBTELEMETRY_LIMITREPORTS_H
#define LIBTELEMETRY_LIMITREPORTS_H

#include <LibCore/Time.h>
#include <LibTelemetry/Metrics.h>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace carobhinge {

/// Decides when a line is due.
class LimitReports {
public:
  /// Between two lines about the same limit and peer.
  static constexpr Duration Interval = std::chrono::seconds(10);
  /// Past this number of limits and peers, all others count as one peer.
  static constexpr std::size_t MaxEntries = 256;
  static constexpr std::string_view OtherPeers = "others";

  struct Line {
    std::string Peer;
    /// How often the limit was reached since the last line.
    std::uint64_t Count = 0;
  };

  /// Records that \p Peer has reached \p Limit.
  /// \returns the line that is due, if any.
  std::optional<Line> record(TimePoint Now, std::string_view Limit,
                             std::string_view Peer);

private:
  struct Entry {
    std::uint64_t Count = 0;
    std::optional<TimePoint> LoggedAt = {};
  };
  /// By limit and peer; at most MaxEntries, and one of OtherPeers for each
  /// limit.
  std::map<std::pair<std::string, std::string>, Entry> Entries;
};

/// Writes the lines and counts in the metrics. Safe to use from any thread.
class LimitLog {
public:
  explicit LimitLog(Metrics &Output) : Output(Output) {}

  /// Records that \p Peer, an endpoint or the IP address of a caller, has
  /// reached \p Limit, such as "held-bytes".
  void record(std::string_view Limit, std::string_view Peer);
  /// Records that an answer of \p Peer was none by \p Fault, such as "status".
  /// \p Value are the offending bytes, bounded and printable.
  void recordBrokenAnswer(std::string_view Fault, std::string_view Value,
                          std::string_view Peer);

private:
  std::optional<LimitReports::Line>
  findDue(LimitReports &Of, std::string_view Cause, std::string_view Peer);

  Metrics &Output;
  std::mutex Lock;
  LimitReports Reports;
  LimitReports BrokenAnswers;
};

} // namespace carobhinge

#endif // LIBTELEMETRY_LIMITREPORTS_H
