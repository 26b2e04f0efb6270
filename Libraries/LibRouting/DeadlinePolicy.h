//===- LibRouting/DeadlinePolicy.h - Whether an answer can be in time -----===//
///
/// \file
/// Decides which requests are refused before they cost a target anything.
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

  /// The last moment at which \p Request may start if it is expected to take
  /// \p Service.
  [[nodiscard]] virtual TimePoint latestStart(const RoutedRequest &Request,
                                              Duration Service) const = 0;
  /// How much of the estimated \p Wait in the queue counts on arrival.
  [[nodiscard]] virtual Duration countedWait(Duration Wait) const = 0;
};

/// "estimate", or "none" as the baseline, which sees only that a deadline has
/// passed. Throws std::invalid_argument for another name.
std::unique_ptr<DeadlinePolicy> makeDeadlinePolicy(std::string_view Name);

} // namespace carobhinge

#endif // LIBROUTING_DEADLINEPOLICY_H
