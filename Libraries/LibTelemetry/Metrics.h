//===- LibTelemetry/Metrics.h - Histograms and counters -------------------===//
///
/// \file
/// What operators see of the system's work: a histogram of every measured
/// time for each workspace and class, and counters of outcomes. Rendered as
/// the usual metrics text.
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

/// Who a figure is kept for.
struct TrafficClass {
  WorkspaceName Workspace;
  std::string Class;

  bool operator<(const TrafficClass &Other) const {
    return std::tie(this->Workspace, this->Class) <
           std::tie(Other.Workspace, Other.Class);
  }
};

/// Thread-safe: state is kept in shards, each under its own lock.
class Metrics {
public:
  void observe(const TrafficClass &For, RequestTiming What, Duration Length);

  /// Counts one request that ended with \p Outcome ("answered", "not-run",
  /// "unknown", ...), for the stated \p Reason (may be empty).
  void countOutcome(const TrafficClass &For, std::string_view Outcome,
                    std::string_view Reason);

  /// Counts an event of the process itself, such as "peer_reconnects".
  void countEvent(std::string_view Name, std::uint64_t Count = 1);

  /// Sets a gauge of the process, such as "intent_version".
  void setGauge(std::string_view Name, double Value);

  /// All figures in the text format that metric collectors read.
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

  Shard &shardOf(const TrafficClass &For);
  static Series makeSeries();
  static void renderSeries(std::string &Text, const TrafficClass &For,
                           RequestTiming What, const Series &From);

  static constexpr std::size_t ShardCount = 16;
  std::array<Shard, ShardCount> Shards;

  mutable std::mutex ProcessLock;
  std::map<std::string, std::uint64_t, std::less<>> Events;
  std::map<std::string, double, std::less<>> Gauges;
};

} // namespace carobhinge

#endif // LIBTELEMETRY_METRICS_H
