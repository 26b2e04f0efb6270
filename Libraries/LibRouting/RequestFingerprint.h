//===- LibRouting/RequestFingerprint.h - What makes requests the same -----===//
///
/// \file
/// Identifies a request that comes again, at any entry host, as a number beside
/// the parts of its prompt. Engines that crash on one request and engines that
/// crash on a part of many prompts are then found by the same evidence.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_REQUESTFINGERPRINT_H
#define LIBROUTING_REQUESTFINGERPRINT_H

#include <LibCore/Names.h>
#include <string_view>

namespace carobhinge {

/// Requests in which all of this is equal are the same request. Other header
/// fields are left out, since they change when a caller tries again.
struct RequestIdentity {
  /// The workspace; empty on routes that need no key. No caller can have the
  /// requests of another workspace refused.
  std::string_view Workspace = {};
  std::string_view Method = {};
  /// The host that the caller named, which selects the route.
  std::string_view Host = {};
  /// Path and query.
  std::string_view Target = {};
  std::string_view Body = {};
  /// It must not be repeated, so it isn't run to find out whether engines crash
  /// on it.
  bool RunsOnce = false;
};

/// Set in fingerprints and in no part of a prompt, so that a caller can't name
/// a part that equals the fingerprint of another caller's request.
inline constexpr PromptPart FingerprintBit = PromptPart(1) << 63U;

/// Set in the fingerprints of requests that run once.
inline constexpr PromptPart RunsOnceBit = PromptPart(1) << 62U;

/// Returns whether \p Part is the fingerprint of a request.
constexpr bool isFingerprint(PromptPart Part) {
  return (Part & FingerprintBit) != 0;
}

/// Returns whether the request with fingerprint \p Part runs once.
constexpr bool runsOnce(PromptPart Part) { return (Part & RunsOnceBit) != 0; }

/// The time grows with the length of the body.
PromptPart fingerprint(const RequestIdentity &Identity);

/// Returns the part of a prompt that a caller names by \p Id.
PromptPart namedPart(std::uint64_t Id);

} // namespace carobhinge

#endif // LIBROUTING_REQUESTFINGERPRINT_H
