//===- LibEntry/RetryBudget.h - Limits the retries of requests ------------===//
///
/// \file
/// Retries must not amplify an overload: over all entry hosts, the retries of a
/// service are at most a fraction of its requests plus a slack. Each host uses
/// its share of the slack. The ratio needs no sharing, since each host applies
/// it to its own requests.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_RETRYBUDGET_H
#define LIBENTRY_RETRYBUDGET_H

#include <LibCore/Time.h>
#include <deque>

namespace carobhinge {

struct RetryBudgetOptions {
  /// Retries for each request.
  double Ratio = 0.2;
  /// Retries in a window beyond that, over all entry hosts.
  double Slack = 0;
  Duration Window = std::chrono::seconds(10);
  /// Fraction of ratio and slack that is used, because the windows of the
  /// hosts start at different times.
  double SafetyFactor = 0.8;
};

class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetOptions Options) : Options(Options) {}

  void recordRequest(TimePoint Now) { this->Requests.push_back(Now); }
  /// \returns whether tryAcquire() would succeed now.
  [[nodiscard]] bool isAvailable(TimePoint Now, int EntryHosts) {
    return this->usedRetries(Now) + 1 <= this->allowedRetries(Now, EntryHosts);
  }
  /// Takes one retry from the budget. \p EntryHosts hosts share the slack.
  /// \returns whether the budget allowed it.
  bool tryAcquire(TimePoint Now, int EntryHosts);
  /// Retries in the current window.
  [[nodiscard]] double usedRetries(TimePoint Now);
  /// Retries that the current window may have in all.
  [[nodiscard]] double allowedRetries(TimePoint Now, int EntryHosts);

private:
  void removeExpired(TimePoint Now);

  RetryBudgetOptions Options;
  /// Times in ascending order; removeExpired() drops those older than the
  /// window.
  std::deque<TimePoint> Requests;
  std::deque<TimePoint> Retries;
};

} // namespace carobhinge

#endif // LIBENTRY_RETRYBUDGET_H
