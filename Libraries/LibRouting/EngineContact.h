//===- LibRouting/EngineContact.h - Whether a host reaches any engine -----===//
///
/// \file
/// Decides from the attempts of one entry host whether it is cut off from all
/// engines. One engine that is silent or gone is no evidence; several in a row,
/// and no byte from any other meanwhile, are. A host that is cut off hands its
/// requests on to other hosts, and sends one to an engine itself now and then,
/// so that it notices the end of the cut.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_ENGINECONTACT_H
#define LIBROUTING_ENGINECONTACT_H

#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <optional>
#include <set>

namespace carobhinge {

struct EngineContactOptions {
  /// Engines that failed, with no byte from any engine meanwhile.
  std::size_t MinFailedEngines = 3;
  /// Between two attempts to reach an engine during a cut.
  Duration ProbeInterval = std::chrono::milliseconds(300);
  int UnsafeProbeIntervals = 4;
};

class EngineContact {
public:
  explicit EngineContact(EngineContactOptions Options = {})
      : Options(Options) {}

  /// An engine sent a byte.
  void recordReached();
  /// A connection to \p Engine could not be opened, was lost or fell silent. An
  /// attempt that this host ended itself is no failure.
  void recordFailure(TimePoint Now, const EndpointName &Engine);

  [[nodiscard]] bool isCutOff() const {
    return this->FailedEngines.size() >= this->Options.MinFailedEngines;
  }
  /// Returns whether the next request should try an engine during a cut. One
  /// request does in each ProbeInterval. One that must not repeat is lost if
  /// the connection turns out to be silent; it is taken only if no other has
  /// come for UnsafeProbeIntervals.
  [[nodiscard]] bool shouldProbe(TimePoint Now, bool MayRepeat);

private:
  EngineContactOptions Options;
  /// Since an engine was reached; no more than MinFailedEngines.
  std::set<EndpointName> FailedEngines;
  TimePoint NextProbeAt;
};

} // namespace carobhinge

#endif // LIBROUTING_ENGINECONTACT_H
