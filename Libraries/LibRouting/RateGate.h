//===- LibRouting/RateGate.h - Request rates of workspaces ----------------===//
///
/// \file
/// Refuses requests of a workspace above the rate that the intent gives it.
/// One token bucket for each workspace that has a rate, filled for one second
/// at most.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_RATEGATE_H
#define LIBROUTING_RATEGATE_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <map>
#include <optional>

namespace carobhinge {

class RateGate {
public:
  /// Requests per second that this entry host may take. A workspace that is
  /// not listed has no bound.
  void ratesChanged(TimePoint Now,
                    const std::map<WorkspaceName, double> &Rates);

  /// Nothing if the request may go on; else when the next one may.
  std::optional<Duration> refuse(TimePoint Now, const WorkspaceName &Of);

private:
  struct Bucket {
    double PerSecond = 0;
    /// At most one second's worth, but always room for one request.
    double Tokens = 0;
    TimePoint FilledAt;
  };

  std::map<WorkspaceName, Bucket> Buckets;
};

} // namespace carobhinge

#endif // LIBROUTING_RATEGATE_H
