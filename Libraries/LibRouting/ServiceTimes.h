//===- LibRouting/ServiceTimes.h - How long requests take -----------------===//
///
/// \file
/// Measured times of one class of requests: the mean time on a slot, from
/// which waits and deadlines are estimated, and the spread of the time to the
/// first byte, from which hedges and stragglers are judged.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_SERVICETIMES_H
#define LIBROUTING_SERVICETIMES_H

#include <LibCore/Time.h>
#include <array>
#include <optional>

namespace carobhinge {

/// Quantiles of recent durations, from logarithmic buckets of eight to an
/// octave (9% wide) between 64 microseconds and two hours.
class RecentTimes {
public:
  void add(Duration Time);
  /// The upper edge of the bucket; nothing before enough samples came.
  [[nodiscard]] std::optional<Duration> quantile(double Fraction) const;

private:
  /// Counts are halved at this total, so that old samples fade.
  static constexpr double FullCount = 2000;
  static constexpr std::size_t Buckets = 216;

  std::array<float, Buckets> Counts{};
  double Total = 0;
};

class ServiceTimes {
public:
  /// A request of \p Cost held its slot for \p Time.
  void addSlotTime(TimePoint Now, Duration Time, std::uint32_t Cost);
  void addFirstByte(Duration Time);

  /// Expected time on a slot; zero while nothing is known. Without new samples
  /// the estimate fades, so that refusals made from it cannot keep it alive.
  [[nodiscard]] Duration expected(TimePoint Now, std::uint32_t Cost) const;

  /// Mean time on a slot for a cost of one, however old.
  [[nodiscard]] Duration mean() const;

  /// The geometric mean of recent times to the first byte; nothing before
  /// enough have come. Few outliers, however slow, hardly move it.
  [[nodiscard]] std::optional<Duration> typicalFirstByte() const;

  [[nodiscard]] const RecentTimes &firstBytes() const {
    return this->FirstBytes;
  }

private:
  /// Smoothed seconds for one unit of cost.
  double SecondsPerCost = 0;
  std::uint64_t Samples = 0;
  TimePoint LastSample;
  RecentTimes FirstBytes;
  /// Smoothed natural logarithm of the seconds to the first byte.
  double FirstByteLogarithm = 0;
  std::uint64_t FirstByteSamples = 0;
};

} // namespace carobhinge

#endif // LIBROUTING_SERVICETIMES_H
