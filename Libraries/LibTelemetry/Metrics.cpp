//===- LibTelemetry/Metrics.cpp - Histograms and counters -----------------===//
///
/// \file
/// Boost.Histogram keeps the bins; this file names and prints them.
///
//===----------------------------------------------------------------------===//

#include <LibTelemetry/Metrics.h>

#include <LibCore/Hash.h>
#include <cmath>
#include <cstdio>

namespace carobhinge {

/// Bins of equal width in the logarithm, from half a millisecond to about
/// seventeen minutes; each bound is the double of the one before.
static constexpr unsigned TimingBins = 21;
static constexpr double LeastBoundSeconds = 0.0005;
static constexpr double MostBoundSeconds =
    LeastBoundSeconds * (1 << TimingBins);

static constexpr std::array<std::string_view, 4> TimingNames = {
    "first_byte", "between_chunks", "total", "queue"};

Metrics::Shard &Metrics::shardOf(const TrafficClass &For) {
  return this->Shards[hash64(For.Workspace, hash64(For.Class)) % ShardCount];
}

Metrics::Series Metrics::makeSeries() {
  return Series{.Histogram = boost::histogram::make_histogram(TimingAxis(
                    TimingBins, LeastBoundSeconds, MostBoundSeconds))};
}

void Metrics::observe(const TrafficClass &For, RequestTiming What,
                      Duration Length) {
  double Seconds = std::chrono::duration<double>(Length).count();
  Shard &Kept = this->shardOf(For);
  std::lock_guard Guard(Kept.Lock);
  auto Key = std::make_pair(For, What);
  auto Found = Kept.Timings.find(Key);
  if (Found == Kept.Timings.end())
    Found = Kept.Timings.emplace(Key, makeSeries()).first;
  Found->second.Histogram(Seconds);
  Found->second.SumSeconds += Seconds;
}

void Metrics::countOutcome(const TrafficClass &For, std::string_view Outcome,
                           std::string_view Reason) {
  Shard &Kept = this->shardOf(For);
  std::lock_guard Guard(Kept.Lock);
  ++Kept.Outcomes[{For, std::string(Outcome), std::string(Reason)}];
}

void Metrics::countEvent(std::string_view Name, std::uint64_t Count) {
  std::lock_guard Guard(this->ProcessLock);
  this->Events[std::string(Name)] += Count;
}

void Metrics::setGauge(std::string_view Name, double Value) {
  std::lock_guard Guard(this->ProcessLock);
  this->Gauges[std::string(Name)] = Value;
}

/// A label's value with the characters escaped that the format reserves.
static std::string escaped(std::string_view Value) {
  std::string Result;
  for (char C : Value) {
    if (C == '\\' || C == '"')
      Result += '\\';
    Result += C == '\n' ? ' ' : C;
  }
  return Result;
}

static std::string labels(const TrafficClass &For) {
  std::string Text = "workspace=\"";
  Text += escaped(For.Workspace);
  Text += "\",class=\"";
  Text += escaped(For.Class);
  Text += "\"";
  return Text;
}

static std::string number(double Value) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.9g", Value);
  return Text.data();
}

void Metrics::renderSeries(std::string &Text, const TrafficClass &For,
                           RequestTiming What, const Series &From) {
  std::string Name = "carobhinge_request_";
  Name += TimingNames[static_cast<int>(What)];
  Name += "_seconds";
  std::string Labels = labels(For);
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
  auto Cumulated = static_cast<std::uint64_t>(From.Histogram.at(-1));
  for (unsigned Bin = 0; Bin < TimingBins; ++Bin) {
    Cumulated += static_cast<std::uint64_t>(From.Histogram.at(Bin));
    Bucket(number(From.Histogram.axis().bin(Bin).upper()), Cumulated);
  }
  Cumulated += static_cast<std::uint64_t>(From.Histogram.at(TimingBins));
  Bucket("+Inf", Cumulated);
  Line("_sum", Labels, number(From.SumSeconds));
  Line("_count", Labels, std::to_string(Cumulated));
}

std::string Metrics::render() const {
  std::string Text;
  for (const Shard &Each : this->Shards) {
    std::lock_guard Guard(Each.Lock);
    for (const auto &[Key, Kept] : Each.Timings)
      renderSeries(Text, Key.first, Key.second, Kept);
    for (const auto &[Key, Count] : Each.Outcomes) {
      const auto &[For, Outcome, Reason] = Key;
      Text += "carobhinge_requests_total{";
      Text += labels(For);
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
