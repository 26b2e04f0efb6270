//===- LibRouting/EngineContact.cpp - Whether a host reaches any engine ---===//

#include <LibRouting/EngineContact.h>

namespace carobhinge {

void EngineContact::recordReached() { this->FailedEngines.clear(); }

void EngineContact::recordFailure(TimePoint Now, const EndpointName &Engine) {
  if (this->isCutOff())
    return;
  this->FailedEngines.insert(Engine);
  if (this->isCutOff())
    this->NextProbeAt = Now + this->Options.ProbeInterval;
}

bool EngineContact::shouldProbe(TimePoint Now, bool MayRepeat) {
  Duration Patience =
      (this->Options.UnsafeProbeIntervals - 1) * this->Options.ProbeInterval;
  TimePoint Due = this->NextProbeAt + (MayRepeat ? Duration::zero() : Patience);
  if (!this->isCutOff() || Now < Due)
    return false;
  this->NextProbeAt = Now + this->Options.ProbeInterval;
  return true;
}

} // namespace carobhinge
