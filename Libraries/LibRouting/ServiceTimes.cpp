//===- LibRouting/ServiceTimes.cpp - Measured times of requests -----------===//
///
/// \file
/// An exponentially smoothed mean and a decaying histogram.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/ServiceTimes.h>

#include <algorithm>
#include <cmath>

namespace carobhinge {

static constexpr double MinSeconds = 64e-6;
static constexpr double BucketsPerOctave = 8;

/// Weight of a sample in the mean once there are enough samples.
static constexpr double Smoothing = 0.02;
/// No quantile or typical time is derived from fewer samples.
static constexpr std::uint64_t MinSamples = 20;
/// An outlier counts as at most e^2, about seven times, the typical time.
static constexpr double MaxLogarithmStep = 2;
/// Half-life of the estimate while no samples arrive.
static constexpr std::chrono::seconds HalfLife{10};

static double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

static Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

void DurationHistogram::add(Duration Time) {
  double Octaves = std::log2(std::max(seconds(Time), MinSeconds) / MinSeconds);
  auto Bucket = static_cast<std::size_t>(Octaves * BucketsPerOctave);
  this->Counts[std::min(Bucket, BucketCount - 1)] += 1;
  this->Total += 1;
  if (this->Total < HalvingTotal)
    return;
  for (float &Count : this->Counts)
    Count /= 2;
  this->Total /= 2;
}

std::optional<Duration> DurationHistogram::quantile(double Fraction) const {
  if (this->Total < static_cast<double>(MinSamples))
    return std::nullopt;
  double TargetCount = Fraction * this->Total;
  double CumulativeCount = 0;
  std::size_t Bucket = 0;
  while (Bucket + 1 < BucketCount &&
         CumulativeCount + this->Counts[Bucket] < TargetCount)
    CumulativeCount += this->Counts[Bucket++];
  auto UpperEdge = static_cast<double>(Bucket + 1);
  return fromSeconds(MinSeconds * std::exp2(UpperEdge / BucketsPerOctave));
}

void ServiceTimes::addSlotTime(TimePoint Now, Duration Time,
                               std::uint32_t Cost) {
  ++this->Samples;
  double Weight = std::max(Smoothing, 1.0 / static_cast<double>(this->Samples));
  double Sample = seconds(Time) / std::max(1U, Cost);
  this->SecondsPerCost += Weight * (Sample - this->SecondsPerCost);
  this->LastSampleAt = Now;
}

void ServiceTimes::addFirstByte(Duration Time) {
  this->FirstBytes.add(Time);
  ++this->FirstByteSamples;
  double Logarithm = std::log(std::max(seconds(Time), MinSeconds));
  double Step = Logarithm - this->FirstByteLogarithm;
  double Weight =
      std::max(Smoothing, 1.0 / static_cast<double>(this->FirstByteSamples));
  if (this->FirstByteSamples > MinSamples)
    Step = std::clamp(Step, -MaxLogarithmStep, MaxLogarithmStep);
  this->FirstByteLogarithm += Weight * Step;
}

std::optional<Duration> ServiceTimes::typicalFirstByte() const {
  if (this->FirstByteSamples < MinSamples)
    return std::nullopt;
  return fromSeconds(std::exp(this->FirstByteLogarithm));
}

Duration ServiceTimes::mean() const {
  return fromSeconds(this->SecondsPerCost);
}

Duration ServiceTimes::expected(TimePoint Now, std::uint32_t Cost) const {
  if (this->Samples == 0)
    return Duration::zero();
  double HalfLives = std::floor(seconds(Now - this->LastSampleAt) /
                                seconds(Duration(HalfLife)));
  return fromSeconds(this->SecondsPerCost * Cost * std::exp2(-HalfLives));
}

} // namespace carobhinge
