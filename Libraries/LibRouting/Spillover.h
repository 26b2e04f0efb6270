//===- LibRouting/Spillover.h - Work handed to other failure domains ------===//
///
/// \file
/// Chooses the failure domain to which a request is forwarded when its own
/// cannot serve it in time. Only spare capacity that the other domain reported
/// is used, so that its own callers do not pay.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_SPILLOVER_H
#define LIBROUTING_SPILLOVER_H

#include <LibRouting/DomainSummary.h>
#include <LibRouting/RouterOptions.h>
#include <memory>
#include <optional>
#include <span>

namespace carobhinge {

class Spillover {
public:
  virtual ~Spillover() = default;

  /// Takes \p Summaries as the whole list.
  virtual void neighboursChanged(TimePoint Now,
                                 std::span<const DomainSummary> Summaries) = 0;
  /// The failure domain that takes one request now, and counts it there.
  virtual std::optional<FailureDomainName> choose(TimePoint Now) = 0;
};

/// "spare-capacity", or "none" as the baseline. Throws std::invalid_argument
/// for another name.
std::unique_ptr<Spillover> makeSpillover(const RouterOptions &Options);

} // namespace carobhinge

#endif // LIBROUTING_SPILLOVER_H
