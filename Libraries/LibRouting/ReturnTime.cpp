//===- LibRouting/ReturnTime.cpp - When refused callers should return -----===//

#include <LibRouting/ReturnTime.h>

#include <algorithm>
#include <cmath>

namespace carobhinge {

double ReturnTime::decay(TimePoint Now) const {
  std::chrono::duration<double> Age = Now - this->UpdatedAt;
  return std::exp2(-Age / this->Options.HalfLife);
}

void ReturnTime::recordArrival(TimePoint Now, bool IsRefused) {
  double Factor = this->decay(Now);
  this->Arrivals = this->Arrivals * Factor + 1;
  this->Refusals = this->Refusals * Factor + (IsRefused ? 1 : 0);
  this->UpdatedAt = Now;
}

Duration ReturnTime::estimate(TimePoint Now, RefusalCause Cause,
                              Duration Objective, Duration RemainingTime,
                              double Random, Duration PauseLeft) const {
  switch (Cause) {
  case RefusalCause::NoState:
    return this->Options.NoState;
  case RefusalCause::StateUnconfirmed:
    return this->Options.StateUnconfirmed;
  case RefusalCause::NoTarget:
    return this->Options.NoTarget;
  case RefusalCause::CrashJudged:
    return this->Options.CrashJudged;
  case RefusalCause::EndpointsPaused: {
    std::chrono::duration<double> Soonest =
        std::max(PauseLeft, this->Options.MinPause);
    return std::chrono::duration_cast<Duration>(
        Soonest * (1 + this->Options.Spread * Random));
  }
  case RefusalCause::NoCapacity:
    break;
  }
  // One arrival that was admitted keeps a single refusal from counting as an
  // overload.
  double Factor = this->decay(Now);
  double Fraction = this->Refusals * Factor / (this->Arrivals * Factor + 1);
  double Overload = std::min(Fraction / this->Options.OverloadedFraction, 1.0);
  std::chrono::duration<double> Latest =
      RemainingTime * this->Options.LatestReturn;
  std::chrono::duration<double> Soonest = std::min<decltype(Latest)>(
      Objective * this->Options.SoonestReturn, Latest);
  auto Return = Soonest + (Latest - Soonest) * Overload;
  return std::chrono::duration_cast<Duration>(
      Return * (1 - this->Options.Spread * Random));
}

} // namespace carobhinge
