//===- LibRouting/RateLimiter.h - Rate limits of workspaces ---------------===//
///
/// \file
/// Refuses requests of a workspace above the rate that the intent gives it.
/// Each workspace with a rate has a token bucket that holds at most one
/// second's worth of requests.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_RATELIMITER_H
#define LIBROUTING_RATELIMITER_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <map>
#include <optional>

namespace carobhinge {

class RateLimiter {
public:
  /// Sets the requests per second that this entry host accepts. A workspace
  /// that is not listed is not limited.
  void setRates(TimePoint Now, const std::map<WorkspaceName, double> &Rates);

  /// Consumes a token and returns nothing if the request is admitted; otherwise
  /// returns how long to wait before the next one.
  std::optional<Duration> acquire(TimePoint Now,
                                  const WorkspaceName &Workspace);

private:
  struct Bucket {
    double PerSecond = 0;
    /// At most one second's worth of requests, but a capacity of at least one.
    double Tokens = 0;
    TimePoint RefilledAt;
  };

  std::map<WorkspaceName, Bucket> Buckets;
};

} // namespace carobhinge

#endif // LIBROUTING_RATELIMITER_H
