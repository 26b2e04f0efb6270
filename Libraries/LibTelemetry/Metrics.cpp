//===- LibTelemetry/Metrics.cpp - Histograms and counters -----------------===//
///
/// \file
/// Boost.Histogram counts the values of each bin; this file names and prints
/// the bins.
///
//===----------------------------------------------------------------------===//

#include <LibTelemetry/Metrics.h>

#include <LibCore/Hash.h>
#include <cmath>
#include <cstdio>

namespace carobhinge {

/// Bins of equal logarithmic width from half a millisecond to about seventeen
/// minutes; each bound is twice the previous one.
static constexpr unsigned TimingBins = 21;
static constexpr double MinBoundSeconds = 0.0005;
static constexpr double MaxBoundSeconds = MinBoundSeconds * (1 << TimingBins);

static constexpr std::array<std::string_view, 4> TimingNames = {
    "first_byte", "between_chunks", "total", "queue"};

Metrics::Shard &Metrics::shardOf(const TrafficClass &Traffic) {
  return this
      ->Shards[hash64(Traffic.Workspace, hash64(Traffic.Class)) % ShardCount];
}

Metrics::Series Metrics::makeSeries() {
  return Series{.Histogram = boost::histogram::make_histogram(
                    TimingAxis(TimingBins, MinBoundSeconds, MaxBoundSeconds))};
}

void Metrics::observe(const TrafficClass &Traffic, RequestTiming Timing,
                      Duration Length) {
  double Seconds = std::chrono::duration<double>(Length).count();
  Shard &ClassShard = this->shardOf(Traffic);
  std::lock_guard Guard(ClassShard.Lock);
  auto Key = std::make_pair(Traffic, Timing);
  auto Found = ClassShard.Timings.find(Key);
  if (Found == ClassShard.Timings.end())
    Found = ClassShard.Timings.emplace(Key, makeSeries()).first;
  Found->second.Histogram(Seconds);
  Found->second.SumSeconds += Seconds;
}

void Metrics::countOutcome(const TrafficClass &Traffic,
                           std::string_view Outcome, std::string_view Reason) {
  Shard &ClassShard = this->shardOf(Traffic);
  std::lock_guard Guard(ClassShard.Lock);
  ++ClassShard.Outcomes[{Traffic, std::string(Outcome), std::string(Reason)}];
}

void Metrics::countEvent(std::string_view Name, std::uint64_t Count) {
  std::lock_guard Guard(this->ProcessLock);
  this->Events[std::string(Name)] += Count;
}

void Metrics::setGauge(std::string_view Name, double Value) {
  std::lock_guard Guard(this->ProcessLock);
  this->Gauges[std::string(Name)] = Value;
}

/// Returns a label value with the reserved characters of the format escaped;
/// line breaks become spaces.
static std::string escaped(std::string_view Value) {
  std::string Result;
  for (char C : Value) {
    if (C == '\\' || C == '"')
      Result += '\\';
    Result += C == '\n' ? ' ' : C;
  }
  return Result;
}

static std::string labels(const TrafficClass &Traffic) {
  std::string Text = "workspace=\"";
  Text += escaped(Traffic.Workspace);
  Text += "\",class=\"";
  Text += escaped(Traffic.Class);
  Text += "\"";
  return Text;
}

static std::string number(double Value) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.9g", Value);
  return Text.data();
}

void Metrics::renderSeries(std::string &Text, const TrafficClass &Traffic,
                           RequestTiming Timing, const Series &Values) {
  std::string Name = "carobhinge_request_";
  Name += TimingNames[static_cast<int>(Timing)];
  Name += "_seconds";
  std::string Labels = labels(Traffic);
  auto Line = [&Text, &Name](std::string_view Suffix, std::string_view Fields,
                             std::string_view Value) {
    Text += Name;
    Text += Suffix;
    Text += "{";
    Text += Fields;
    Text += "} ";
    Text += Value;
    Text += "\n";
  };
  auto Bucket = [&Labels, &Line](std::string_view Bound, std::uint64_t Count) {
    std::string Fields = Labels;
    Fields += ",le=\"";
    Fields += Bound;
    Fields += "\"";
    Line("_bucket", Fields, std::to_string(Count));
  };
  auto CumulativeCount = static_cast<std::uint64_t>(Values.Histogram.at(-1));
  for (unsigned Bin = 0; Bin < TimingBins; ++Bin) {
    CumulativeCount += static_cast<std::uint64_t>(Values.Histogram.at(Bin));
    Bucket(number(Values.Histogram.axis().bin(Bin).upper()), CumulativeCount);
  }
  CumulativeCount +=
      static_cast<std::uint64_t>(Values.Histogram.at(TimingBins));
  Bucket("+Inf", CumulativeCount);
  Line("_sum", Labels, number(Values.SumSeconds));
  Line("_count", Labels, std::to_string(CumulativeCount));
}

std::string Metrics::render() const {
  std::string Text;
  for (const Shard &Each : this->Shards) {
    std::lock_guard Guard(Each.Lock);
    for (const auto &[Key, TimingSeries] : Each.Timings)
      renderSeries(Text, Key.first, Key.second, TimingSeries);
    for (const auto &[Key, Count] : Each.Outcomes) {
      const auto &[Traffic, Outcome, Reason] = Key;
      Text += "carobhinge_requests_total{";
      Text += labels(Traffic);
      Text += ",outcome=\"" + escaped(Outcome);
      Text += "\",reason=\"" + escaped(Reason);
      Text += "\"} " + std::to_string(Count) + "\n";
    }
  }
  std::lock_guard Guard(this->ProcessLock);
  for (const auto &[Name, Count] : this->Events)
    Text += "carobhinge_" + Name + "_total " + std::to_string(Count) + "\n";
  for (const auto &[Name, Value] : this->Gauges)
    Text += "carobhinge_" + Name + " " + number(Value) + "\n";
  return Text;
}

} // namespace carobhinge
