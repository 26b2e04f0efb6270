//===- LibRouting/RouterStatus.h - What an operator sees of a Router ------===//
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

struct TargetUse {
  std::string TargetName;
  std::uint32_t Outstanding = 0;
  std::uint32_t SlotLimit = 0;
  bool Straggler = false;
  /// Failed lately; nothing is sent for a while.
  bool Aside = false;
};

struct RouterStatus {
  std::size_t Queued = 0;
  /// Sent to a target and not yet ended.
  std::size_t InFlight = 0;
  /// Attempts that may be made now beyond the first ones.
  double RetryBalance = 0;
  double HedgeBalance = 0;
  bool Draining = false;
  std::vector<TargetUse> Targets = {};
};

} // namespace carobhinge

#endif // LIBROUTING_ROUTERSTATUS_H
