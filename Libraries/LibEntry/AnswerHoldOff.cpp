//===- LibEntry/AnswerHoldOff.cpp - What an answer's head asks for --------===//

#include <LibEntry/AnswerHoldOff.h>

namespace carobhinge {

AnswerHoldOff recordHoldOff(Dispatcher &RequestDispatcher, TimePoint Now,
                            AttemptNumber Attempt, unsigned Status,
                            const ResponseMetadata &Metadata) {
  AnswerHoldOff Result;
  // A request that reached another endpoint by mistake says nothing about this
  // one.
  if (Status == 421)
    return Result;
  RequestDispatcher.recordLimit(Now, Attempt, Metadata.RequestLimit);
  Duration Pause = Metadata.RetryAfter.value_or(Duration::zero());
  if (Status == 503 && Pause > Duration::zero()) {
    Result.IsPaused = true;
    RequestDispatcher.recordPause(Now, Attempt, Pause);
  }
  // The endpoint still takes some requests, which callers would miss where the
  // others are full.
  if (Status == 429 && Pause > Duration::zero())
    RequestDispatcher.recordRateLimited(Now, Attempt, Pause);
  Result.IsNewlyLeaving =
      Metadata.Leaving && RequestDispatcher.recordLeaving(Now, Attempt);
  return Result;
}

} // namespace carobhinge
