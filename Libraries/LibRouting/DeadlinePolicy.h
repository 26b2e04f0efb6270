//===- LibRouting/DeadlinePolicy.h - Refuses late requests ----------------===//
///
/// \file
/// Decides which requests are refused before they use capacity of a target.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_DEADLINEPOLICY_H
#define LIBROUTING_DEADLINEPOLICY_H

#include <LibRouting/RoutedRequest.h>
#include <memory>
#include <string_view>

namespace carobhinge {

class DeadlinePolicy {
public:
  virtual ~DeadlinePolicy() = default;

  /// Latest time at which \p Request may start if its expected service time is
  /// \p Service.
  [[nodiscard]] virtual TimePoint latestStart(const RoutedRequest &Request,
                                              Duration Service) const = 0;
  /// The part of the estimated \p Wait in the queue that admission considers.
  [[nodiscard]] virtual Duration effectiveWait(Duration Wait) const = 0;
};

/// "estimate", or "none" as the baseline, which only detects that a deadline
/// has passed. Throws std::invalid_argument for another name.
std::unique_ptr<DeadlinePolicy> makeDeadlinePolicy(std::string_view Name);

} // namespace carobhinge

#endif // LIBROUTING_DEADLINEPOLICY_H
