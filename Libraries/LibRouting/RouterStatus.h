//===- LibRouting/RouterStatus.h - Status of a Router for operators -------===//
///
/// \file
/// A snapshot for the status page and for metrics.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_ROUTERSTATUS_H
#define LIBROUTING_ROUTERSTATUS_H

#include <cstdint>
#include <string>
#include <vector>

namespace carobhinge {

struct TargetUsage {
  std::string TargetName;
  std::uint32_t Outstanding = 0;
  std::uint32_t SlotLimit = 0;
  bool Straggler = false;
  /// In back-off after failures or an overload; no requests are sent to it.
  bool BackingOff = false;
};

struct RouterStatus {
  std::size_t Queued = 0;
  /// Requests sent to a target that have not ended.
  std::size_t InFlight = 0;
  /// Retries and hedges that the budgets allow now.
  double RetryBalance = 0;
  double HedgeBalance = 0;
  bool Draining = false;
  std::vector<TargetUsage> Targets = {};
};

} // namespace carobhinge

#endif // LIBROUTING_ROUTERSTATUS_H
