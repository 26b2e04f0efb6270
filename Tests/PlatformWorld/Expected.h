//===- Tests/PlatformWorld/Expected.h - What a whole answer holds ---------===//
///
/// \file
/// Answers of the stand-in endpoints depend on nothing but the caller's id of
/// its attempt, so that a caller can tell that one is whole and its own.
///
//===----------------------------------------------------------------------===//

#ifndef PLATFORMWORLD_EXPECTED_H
#define PLATFORMWORLD_EXPECTED_H

#include <LibCore/Hash.h>
#include <cstdint>
#include <string>

namespace carobhinge {

/// Of each stream, in tokens; an event holds StandInTokensPerEvent.
inline constexpr int StandInTokensPerEvent = 4;

/// The text of one event.
inline std::string expectedEvent(const std::string &AttemptId,
                                 std::uint64_t Event) {
  return "id: " + std::to_string(Event) +
         "\ndata: " + digest(AttemptId + "#" + std::to_string(Event)) + "\n\n";
}

/// The body of a plain answer.
inline std::string expectedBody(const std::string &AttemptId) {
  return R"({"done":")" + digest(AttemptId) + "\"}";
}

} // namespace carobhinge

#endif // PLATFORMWORLD_EXPECTED_H
