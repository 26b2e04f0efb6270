//===- LibStandIn/BrokenAnswer.h - Answers that are none -----------------===//
///
/// \file
/// Ways in which an engine in trouble breaks its answers: heads that HTTP does
/// not allow, and bytes that are no head. Each is made from a sound answer, so
/// that nothing but the fault tells the two apart.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTANDIN_BROKENANSWER_H
#define LIBSTANDIN_BROKENANSWER_H

#include <span>
#include <string>
#include <string_view>

namespace carobhinge {

struct BrokenAnswer {
  std::string_view Name;
  /// Replaces the status line; empty: it stays.
  std::string_view StatusLine = {};
  /// A further line of the head, without its end.
  std::string_view Field = {};
  /// The line is the last one of the head, not the first.
  bool IsFieldLast = false;
  /// Written before the answer.
  std::string_view Before = {};
  /// The lines that state the length are left out, and the body comes in
  /// chunks.
  bool IsChunked = false;

  /// Returns what the engine writes instead of \p Sound, a whole answer or its
  /// beginning. In place of a later part of an answer it is a whole one.
  [[nodiscard]] std::string makeFrom(std::string_view Sound) const;
};

/// All ways to break an answer.
[[nodiscard]] std::span<const BrokenAnswer> brokenAnswers();

/// What an engine does after a broken answer.
enum class AfterBrokenAnswer {
  Close,
  /// Leaves the connection open.
  Wait,
  /// Writes the sound answer, then leaves the connection open.
  Answer,
};

} // namespace carobhinge

#endif // LIBSTANDIN_BROKENANSWER_H
