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

/// The text of event \p Event of a stream; the first is number 1.
inline std::string expectedEvent(const std::string &AttemptId,
                                 std::uint64_t Event) {
  return "id: " + std::to_string(Event) +
         "\ndata: " + digest(AttemptId + "#" + std::to_string(Event)) + "\n\n";
}

/// The body of a plain endpoint's answer.
inline std::string expectedBody(const std::string &AttemptId) {
  return R"({"done":")" + digest(AttemptId) + "\"}";
}

} // namespace carobhinge

#endif // PLATFORMWORLD_EXPECTEDANSWER_H
