//===- LibRouting/ServiceTimes.h - Measured times of requests -------------===//
///
/// \file
/// Measured times of one class of requests: the mean time on a slot, used to
/// estimate waits and deadlines, and the distribution of the time to first
/// byte, used for hedges and to detect stragglers.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_SERVICETIMES_H
#define LIBROUTING_SERVICETIMES_H

#include <LibCore/Time.h>
#include <array>
#include <optional>

namespace carobhinge {

/// Quantiles of recent durations from a histogram with logarithmic buckets,
/// eight per octave (9% wide), between 64 microseconds and two hours.
class DurationHistogram {
public:
  void add(Duration Time);
  /// Upper edge of the bucket that holds the quantile; nothing while there are
  /// too few samples.
  [[nodiscard]] std::optional<Duration> quantile(double Fraction) const;

private:
  /// Counts are halved at this total, so that old samples lose weight.
  static constexpr double HalvingTotal = 2000;
  static constexpr std::size_t BucketCount = 216;

  std::array<float, BucketCount> Counts{};
  double Total = 0;
};

class ServiceTimes {
public:
  /// Records that a request of \p Cost held its slot for \p Time.
  void addSlotTime(TimePoint Now, Duration Time, std::uint32_t Cost);
  void addFirstByte(Duration Time);

  /// Expected time on a slot; zero before the first sample. The estimate decays
  /// without new samples; otherwise an estimate high enough to refuse all
  /// requests would never be corrected.
  [[nodiscard]] Duration expected(TimePoint Now, std::uint32_t Cost) const;

  /// Mean time on a slot for a cost of one, regardless of its age.
  [[nodiscard]] Duration mean() const;

  /// Geometric mean of recent times to first byte; nothing while there are too
  /// few samples. A few outliers, however slow, barely change it.
  [[nodiscard]] std::optional<Duration> typicalFirstByte() const;

  [[nodiscard]] const DurationHistogram &firstBytes() const {
    return this->FirstBytes;
  }

private:
  /// Smoothed seconds for one unit of cost.
  double SecondsPerCost = 0;
  std::uint64_t Samples = 0;
  TimePoint LastSampleAt;
  DurationHistogram FirstBytes;
  /// Smoothed natural logarithm of the seconds to the first byte.
  double FirstByteLogarithm = 0;
  std::uint64_t FirstByteSamples = 0;
};

} // namespace carobhinge

#endif // LIBROUTING_SERVICETIMES_H
