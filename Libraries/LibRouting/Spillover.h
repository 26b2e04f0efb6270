//===- LibRouting/Spillover.h - Forwarding to failure domains -------------===//
///
/// \file
/// Chooses the failure domain to which a request is forwarded when its own
/// cannot serve it in time. Only spare capacity that the other domain reported
/// is used, so that its own callers are not affected.
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

  /// Replaces the summaries of all other failure domains.
  virtual void
  setSpilloverDomains(TimePoint Now,
                      std::span<const DomainSummary> Summaries) = 0;
  /// Chooses a failure domain that can take one request now and counts the
  /// request against its allowance.
  virtual std::optional<FailureDomainName> choose(TimePoint Now) = 0;
};

/// "spare-capacity", or "none" as the baseline. Throws std::invalid_argument
/// for another name.
std::unique_ptr<Spillover> makeSpillover(const RouterOptions &Options);

} // namespace carobhinge

#endif // LIBROUTING_SPILLOVER_H
