//===- LibRouting/StragglerPolicy.h - Detects slow targets ----------------===//
///
/// \file
/// Compares a target's time to first byte with the geometric mean over all
/// targets for the same class of requests. It uses the mean rather than the
/// median: the time is short or long depending on whether the prefix was
/// cached, and the median jumps between the two.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_STRAGGLERPOLICY_H
#define LIBROUTING_STRAGGLERPOLICY_H

#include <LibRouting/TargetTable.h>
#include <memory>

namespace carobhinge {

class StragglerPolicy {
public:
  virtual ~StragglerPolicy() = default;

  /// Returns the health updated by an answer that took \p Ratio times the
  /// peers' mean.
  [[nodiscard]] virtual TargetHealth evaluate(TargetHealth Health,
                                              double Ratio) const = 0;
};

/// "peer-mean", or "none" as the baseline. Throws std::invalid_argument for
/// another name.
std::unique_ptr<StragglerPolicy> makeStragglerPolicy(std::string_view Name);

} // namespace carobhinge

#endif // LIBROUTING_STRAGGLERPOLICY_H
