//===- LibTelemetry/Metrics.h - Histograms and counters -------------------===//
///
/// \file
/// The metrics of one process: a histogram of every measured time for each
/// workspace and class, counters of outcomes and events, and gauges. They are
/// rendered in the Prometheus text format.
///
//===----------------------------------------------------------------------===//

#ifndef LIBTELEMETRY_METRICS_H
#define LIBTELEMETRY_METRICS_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <array>
#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace carobhinge {

/// A measured time of a request.
enum class RequestTiming {
  /// From arrival to the first byte of the answer.
  FirstByte,
  /// Between two chunks of a streamed answer.
  BetweenChunks,
  /// From arrival to the end of the answer.
  Total,
  /// From arrival to dispatch.
  Queue,
};

/// The workspace and class of a request; each pair has metrics of its own.
struct TrafficClass {
  WorkspaceName Workspace;
  std::string Class;

  bool operator<(const TrafficClass &Other) const {
    return std::tie(this->Workspace, this->Class) <
           std::tie(Other.Workspace, Other.Class);
  }
};

/// Collects the metrics of one process. Thread-safe: the metrics of requests
/// are split into shards, each with its own lock.
class Metrics {
public:
  /// Adds one measured time to the histogram of \p Traffic and \p Timing.
  void observe(const TrafficClass &Traffic, RequestTiming Timing,
               Duration Length);

  /// Counts one request that ended with \p Outcome ("answered", "not-run",
  /// "unknown", ...) because of \p Reason, which may be empty.
  void countOutcome(const TrafficClass &Traffic, std::string_view Outcome,
                    std::string_view Reason);

  /// Counts an event of the process, such as "peer_reconnects".
  void countEvent(std::string_view Name, std::uint64_t Count = 1);

  /// Sets a gauge of the process, such as "intent_version".
  void setGauge(std::string_view Name, double Value);

  /// Returns all metrics in the text format that metric collectors read.
  [[nodiscard]] std::string render() const;

private:
  using TimingAxis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using TimingHistogram =
      boost::histogram::histogram<std::tuple<TimingAxis>,
                                  boost::histogram::default_storage>;

  struct Series {
    TimingHistogram Histogram;
    double SumSeconds = 0;
  };
  struct Shard {
    mutable std::mutex Lock;
    std::map<std::pair<TrafficClass, RequestTiming>, Series> Timings;
    /// By class, outcome and reason.
    std::map<std::tuple<TrafficClass, std::string, std::string>, std::uint64_t>
        Outcomes;
  };

  Shard &shardOf(const TrafficClass &Traffic);
  static Series makeSeries();
  static void renderSeries(std::string &Text, const TrafficClass &Traffic,
                           RequestTiming Timing, const Series &Values);

  static constexpr std::size_t ShardCount = 16;
  std::array<Shard, ShardCount> Shards;

  mutable std::mutex ProcessLock;
  std::map<std::string, std::uint64_t, std::less<>> Events;
  std::map<std::string, double, std::less<>> Gauges;
};

} // namespace carobhinge

#endif // LIBTELEMETRY_METRICS_H
