//===- LibEntry/StopAdmission.cpp - Requests that arrive during a stop ----===//

#include <LibEntry/StopAdmission.h>
#include <algorithm>

namespace carobhinge {

/// With each answer the longest time falls by this fraction of the difference:
/// 1/32.
static constexpr int DecayDivisor = 32;

static Duration fadingMaximum(Duration Longest, Duration Newest) {
  return std::max(Newest, Longest - (Longest - Newest) / DecayDivisor);
}

static Duration perToken(Duration Time, double Tokens) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::nano>(Time) / Tokens);
}

void StopAdmission::recordEnd(const ExpectedWork &Work, Duration Took) {
  RouteTimes &Longest = this->Times[Work.Route];
  Longest.Answer = fadingMaximum(Longest.Answer, Took);
  if (Work.AnswerTokens >= 1)
    Longest.Token =
        fadingMaximum(Longest.Token, perToken(Took, Work.AnswerTokens));
}

bool StopAdmission::mayAdmit(TimePoint Now, const ExpectedWork &Work) const {
  if (!this->Deadline || Now + Work.TimeBudget <= *this->Deadline)
    return true;
  auto Longest = this->Times.find(Work.Route);
  if (!Work.IsRepeatable || Longest == this->Times.end())
    return false;
  auto ForTokens = std::chrono::duration<double, std::nano>(
      Longest->second.Token * Work.AnswerTokens);
  auto Left = std::chrono::duration<double, std::nano>(*this->Deadline - Now);
  return Longest->second.Answer <= *this->Deadline - Now && ForTokens <= Left;
}

} // namespace carobhinge
