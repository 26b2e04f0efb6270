//===- LibRouting/RequestPacer.h - One host's part of an endpoint's limit -===//
///
/// \file
/// An endpoint in need names the requests in a second that it takes from all
/// hosts together. Each host gets a share of that, in proportion to its load,
/// and spaces its requests evenly: without bursts the hosts' sum stays near the
/// limit in any span, also where many hosts have a small share each.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_REQUESTPACER_H
#define LIBROUTING_REQUESTPACER_H

#include <LibCore/Time.h>
#include <algorithm>

namespace carobhinge {

class RequestPacer {
public:
  /// Sets the requests in a second of this host; 0: unlimited. \p Phase, from 0
  /// to 1, is the part of the first interval to wait; hosts that learn of a
  /// limit at the same moment must not all begin at once.
  void setRate(TimePoint Now, double PerSecond, double Phase) {
    bool WasUnlimited = this->PerSecond <= 0;
    this->PerSecond = PerSecond;
    if (PerSecond <= 0)
      return;
    if (WasUnlimited)
      this->NextAt = Now + this->interval(Phase);
    else
      this->NextAt = std::min(this->NextAt, Now + this->interval(1));
  }

  [[nodiscard]] double rate() const { return this->PerSecond; }
  [[nodiscard]] bool isLimited() const { return this->PerSecond > 0; }
  [[nodiscard]] bool mayAcquire(TimePoint Now) const {
    return !this->isLimited() || Now >= this->NextAt;
  }
  /// Earliest time of the next request; meaningless without a limit.
  [[nodiscard]] TimePoint nextAt() const { return this->NextAt; }
  void acquire(TimePoint Now) {
    if (this->isLimited())
      this->NextAt = Now + this->interval(1);
  }

private:
  [[nodiscard]] Duration interval(double Intervals) const {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Intervals / this->PerSecond));
  }

  double PerSecond = 0;
  TimePoint NextAt;
};

} // namespace carobhinge

#endif // LIBROUTING_REQUESTPACER_H
