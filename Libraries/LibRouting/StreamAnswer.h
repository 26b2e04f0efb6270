//===- LibRouting/StreamAnswer.h - What an answer means for a stream ------===//
///
/// \file
/// A caller whose stream has begun gets events of that stream only. Decides
/// from the head of an answer what is done with it, also where it comes from
/// the next endpoint, or from another entry host, after the one before broke
/// off.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_STREAMANSWER_H
#define LIBROUTING_STREAMANSWER_H

namespace carobhinge {

enum class AnswerUse {
  /// Passed on once it is complete.
  Whole,
  StartsStream,
  ContinuesStream,
  /// No part of it may reach the caller, whose stream has begun.
  None,
};

struct AnswerTraits {
  /// The answer is a success with events, for a caller that takes events.
  bool IsEventStream = false;
  /// The caller has the head of a stream.
  bool HasStreamBegun = false;
};

inline AnswerUse chooseAnswerUse(const AnswerTraits &Answer) {
  if (!Answer.HasStreamBegun)
    return Answer.IsEventStream ? AnswerUse::StartsStream : AnswerUse::Whole;
  return Answer.IsEventStream ? AnswerUse::ContinuesStream : AnswerUse::None;
}

inline bool isStream(AnswerUse Use) {
  return Use == AnswerUse::StartsStream || Use == AnswerUse::ContinuesStream;
}

struct AnswerEnd {
  /// The answer ended as its framing says.
  bool IsComplete = false;
  /// It ended inside an event.
  bool HasPartialEvent = false;
  /// An event is missing or isn't one.
  bool HasGap = false;
};

/// Returns whether the caller's answer may end as complete with an answer that
/// was used in this way.
inline bool mayEndAsComplete(AnswerUse Use, const AnswerEnd &End) {
  if (!End.IsComplete || Use == AnswerUse::None)
    return false;
  return !isStream(Use) || (!End.HasPartialEvent && !End.HasGap);
}

} // namespace carobhinge

#endif // LIBROUTING_STREAMANSWER_H
