//===- Tests/PlatformWorld/ExpectedAnswer.h - Content of answers ----------===//
///
/// \file
/// The answers of the simulated endpoints depend only on the caller's attempt
/// id, so that a caller can verify that an answer is complete and its own.
///
//===----------------------------------------------------------------------===//

#ifndef PLATFORMWORLD_EXPECTEDANSWER_H
#define PLATFORMWORLD_EXPECTEDANSWER_H

#include <LibCore/Hash.h>
#include <cstdint>
#include <string>

namespace carobhinge {

/// The number of tokens in each event of a stream.
inline constexpr int StandInTokensPerEvent = 4;

/// How the ids of a stream rise from one event to the next.
enum class EventIdForm { ByOne, BySeven, ByDrawnSteps, Beyond64Bits };

inline EventIdForm eventIdForm(const std::string &AttemptId) {
  return static_cast<EventIdForm>(hash64(AttemptId) % 4);
}

/// The id of event \p Event of a stream; the first is number 1.
inline std::string expectedEventId(const std::string &AttemptId,
                                   std::uint64_t Event) {
  static constexpr std::uint64_t MeanStep = 1'000'000'007;
  std::uint64_t Drawn = Event * MeanStep + hash64(AttemptId, Event) % MeanStep;
  switch (eventIdForm(AttemptId)) {
  case EventIdForm::ByOne:
    return std::to_string(Event);
  case EventIdForm::BySeven:
    return std::to_string(Event * 7);
  case EventIdForm::ByDrawnSteps:
    return std::to_string(Drawn);
  case EventIdForm::Beyond64Bits:
    break;
  }
  // The second numbers are all equally long.
  return "18446744073709551616" + std::to_string(MeanStep * 1000 + Drawn);
}

/// The text of event \p Event of a stream; the first is number 1.
inline std::string expectedEvent(const std::string &AttemptId,
                                 std::uint64_t Event) {
  return "id: " + expectedEventId(AttemptId, Event) +
         "\ndata: " + digest(AttemptId + "#" + std::to_string(Event)) + "\n\n";
}

/// The body of a plain endpoint's answer.
inline std::string expectedBody(const std::string &AttemptId) {
  return R"({"done":")" + digest(AttemptId) + "\"}";
}

} // namespace carobhinge

#endif // PLATFORMWORLD_EXPECTEDANSWER_H
