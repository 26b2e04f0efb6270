//===- LibRouting/ServiceTimes.cpp - How long requests take ---------------===//
///
/// \file
/// A smoothed mean and a fading histogram.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/ServiceTimes.h>

#include <algorithm>
#include <cmath>

namespace carobhinge {

static constexpr double LeastSeconds = 64e-6;
static constexpr double BucketsPerOctave = 8;

/// Weight of one sample in the mean once enough have come.
static constexpr double Smoothing = 0.02;
/// Nothing is judged from fewer samples.
static constexpr std::uint64_t LeastSamples = 20;
/// An outlier counts as at most e^2, about seven times, the typical time.
static constexpr double MostLogarithmStep = 2;
/// Without samples the estimate halves in this time.
static constexpr std::chrono::seconds HalfLife{10};

static double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

static Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

void RecentTimes::add(Duration Time) {
  double Octaves =
      std::log2(std::max(seconds(Time), LeastSeconds) / LeastSeconds);
  auto Bucket = static_cast<std::size_t>(Octaves * BucketsPerOctave);
  this->Counts[std::min(Bucket, Buckets - 1)] += 1;
  this->Total += 1;
  if (this->Total < FullCount)
    return;
  for (float &Count : this->Counts)
    Count /= 2;
  this->Total /= 2;
}

std::optional<Duration> RecentTimes::quantile(double Fraction) const {
  if (this->Total < static_cast<double>(LeastSamples))
    return std::nullopt;
  double Wanted = Fraction * this->Total;
  double Seen = 0;
  std::size_t Bucket = 0;
  while (Bucket + 1 < Buckets && Seen + this->Counts[Bucket] < Wanted)
    Seen += this->Counts[Bucket++];
  auto UpperEdge = static_cast<double>(Bucket + 1);
  return fromSeconds(LeastSeconds * std::exp2(UpperEdge / BucketsPerOctave));
}

void ServiceTimes::addSlotTime(TimePoint Now, Duration Time,
                               std::uint32_t Cost) {
  ++this->Samples;
  double Weight = std::max(Smoothing, 1.0 / static_cast<double>(this->Samples));
  double Sample = seconds(Time) / std::max(1U, Cost);
  this->SecondsPerCost += Weight * (Sample - this->SecondsPerCost);
  this->LastSample = Now;
}

void ServiceTimes::addFirstByte(Duration Time) {
  this->FirstBytes.add(Time);
  ++this->FirstByteSamples;
  double Logarithm = std::log(std::max(seconds(Time), LeastSeconds));
  double Step = Logarithm - this->FirstByteLogarithm;
  double Weight =
      std::max(Smoothing, 1.0 / static_cast<double>(this->FirstByteSamples));
  if (this->FirstByteSamples > LeastSamples)
    Step = std::clamp(Step, -MostLogarithmStep, MostLogarithmStep);
  this->FirstByteLogarithm += Weight * Step;
}

std::optional<Duration> ServiceTimes::typicalFirstByte() const {
  if (this->FirstByteSamples < LeastSamples)
    return std::nullopt;
  return fromSeconds(std::exp(this->FirstByteLogarithm));
}

Duration ServiceTimes::mean() const {
  return fromSeconds(this->SecondsPerCost);
}

Duration ServiceTimes::expected(TimePoint Now, std::uint32_t Cost) const {
  if (this->Samples == 0)
    return Duration::zero();
  double HalfLives =
      std::floor(seconds(Now - this->LastSample) / seconds(Duration(HalfLife)));
  return fromSeconds(this->SecondsPerCost * Cost * std::exp2(-HalfLives));
}

} // namespace carobhinge
