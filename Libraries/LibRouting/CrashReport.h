//===- LibRouting/CrashReport.h - What ran on an engine that crashed ------===//
///
/// \file
/// The requests that one entry host had in progress at an engine when the
/// engine crashed, described by the parts of their prompts.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_CRASHREPORT_H
#define LIBROUTING_CRASHREPORT_H

#include <LibCore/Hex.h>
#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <LibRouting/RequestFingerprint.h>
#include <algorithm>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace carobhinge {

/// Parts of a prompt that are looked at; callers may send any number.
inline constexpr std::size_t MaxSharedParts = 32;

/// Distinct parts of one prompt that other prompts may share, and the
/// fingerprint of the request (RequestFingerprint.h).
using PromptParts = std::vector<PromptPart>;

/// Returns the parts as hexadecimal numbers, separated by spaces.
inline std::string formatPromptParts(std::span<const PromptPart> Parts) {
  std::string Text;
  for (PromptPart Part : Parts)
    Text += (Text.empty() ? "" : " ") + toHex(Part);
  return Text;
}

/// Reads what formatPromptParts() writes, with \p Separator between the parts.
/// \returns nothing if one isn't a hexadecimal number of 64 bits.
inline std::optional<PromptParts> parsePromptParts(std::string_view Text,
                                                   char Separator = ' ') {
  PromptParts Parts;
  while (!Text.empty()) {
    std::size_t End = std::min(Text.find(Separator), Text.size());
    std::optional<PromptPart> Part = parseHex(Text.substr(0, End));
    if (!Part)
      return std::nullopt;
    Parts.push_back(*Part);
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Parts;
}

/// A prompt in progress on an engine that crashed.
struct SuspectPrompt {
  PromptParts Parts = {};
  /// When it was sent to the engine.
  TimePoint BeganAt = {};
};

struct CrashReport {
  EndpointName Engine = {};
  /// When the reporting host lost its requests.
  TimePoint At = {};
  /// The prompts of these requests, without parts that were answered recently.
  std::vector<SuspectPrompt> Prompts = {};
};

} // namespace carobhinge

#endif // LIBROUTING_CRASHREPORT_H
