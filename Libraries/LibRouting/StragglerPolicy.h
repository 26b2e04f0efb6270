//===- LibRouting/StragglerPolicy.h - Targets slower than their peers -----===//
///
/// \file
/// Judges a target by the time to its first bytes, against the geometric mean
/// over all targets for the same class of requests. The mean, not the median:
/// first bytes come early or late as the prefix was cached or not, and the
/// median jumps between the two.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_STRAGGLERPOLICY_H
#define LIBROUTING_STRAGGLERPOLICY_H

#include <LibRouting/TargetBoard.h>
#include <memory>

namespace carobhinge {

class StragglerPolicy {
public:
  virtual ~StragglerPolicy() = default;

  /// The health after an answer that took \p Ratio times the peers' mean.
  [[nodiscard]] virtual TargetHealth judge(TargetHealth Health,
                                           double Ratio) const = 0;
};

/// "peer-mean", or "none" as the baseline. Throws std::invalid_argument for
/// another name.
std::unique_ptr<StragglerPolicy> makeStragglerPolicy(std::string_view Name);

} // namespace carobhinge

#endif // LIBROUTING_STRAGGLERPOLICY_H
