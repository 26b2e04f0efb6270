//===- LibEntry/AnswerHoldOff.h - What an answer's head asks for ----------===//
///
/// \file
/// Notes at the dispatcher what the head of an endpoint's answer says of new
/// requests: its limit, a pause, and that the endpoint leaves.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_ANSWERHOLDOFF_H
#define LIBENTRY_ANSWERHOLDOFF_H

#include <LibEntry/Dispatcher.h>
#include <LibEntry/EndpointProtocol.h>

namespace carobhinge {

struct AnswerHoldOff {
  /// The answer asks for a pause.
  bool IsPaused = false;
  /// It says for the first time that its endpoint leaves.
  bool IsNewlyLeaving = false;
};

AnswerHoldOff recordHoldOff(Dispatcher &RequestDispatcher, TimePoint Now,
                            AttemptNumber Attempt, unsigned Status,
                            const ResponseMetadata &Metadata);

} // namespace carobhinge

#endif // LIBENTRY_ANSWERHOLDOFF_H
