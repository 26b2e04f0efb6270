//===- LibEntry/RepeatBudget.h - How often requests may be repeated -------===//
///
/// \file
/// Repeats must not feed an overload: over all entry hosts, a service gets at
/// most a share of its requests once more, and some in addition. Each host
/// keeps to its part of the addition; the share needs no division.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_REPEATBUDGET_H
#define LIBENTRY_REPEATBUDGET_H

#include <LibCore/Time.h>
#include <deque>

namespace carobhinge {

struct RepeatBudgetOptions {
  /// Repeats for each request.
  double Ratio = 0.2;
  /// Repeats in a window beyond that, over all entry hosts.
  double Slack = 0;
  Duration Window = std::chrono::seconds(10);
  /// Part of ratio and slack that is used: hosts count their windows at
  /// different moments.
  double Safety = 0.8;
};

class RepeatBudget {
public:
  explicit RepeatBudget(RepeatBudgetOptions Options) : Options(Options) {}

  void request(TimePoint Now) { this->Requests.push_back(Now); }
  /// Takes one repeat from the budget, if there is one. \p EntryHosts share
  /// the slack.
  bool take(TimePoint Now, int EntryHosts);
  /// Repeats in the window, and how many there may be.
  [[nodiscard]] double taken(TimePoint Now);
  [[nodiscard]] double allowed(TimePoint Now, int EntryHosts);

private:
  void forget(TimePoint Now);

  RepeatBudgetOptions Options;
  /// Both in order of time, not older than the window.
  std::deque<TimePoint> Requests;
  std::deque<TimePoint> Repeats;
};

} // namespace carobhinge

#endif // LIBENTRY_REPEATBUDGET_H
