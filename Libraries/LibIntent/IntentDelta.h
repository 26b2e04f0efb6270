//===- LibIntent/IntentDelta.h - Deltas between intent texts --------------===//
///
/// \file
/// Operators change a few lines of a long text many times a day. A delta holds
/// only the part between the common prefix and the common suffix of two texts.
///
//===----------------------------------------------------------------------===//

#ifndef LIBINTENT_INTENTDELTA_H
#define LIBINTENT_INTENTDELTA_H

#include <LibIntent/Intent.pb.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobhinge {

/// One accepted text. Version zero is the empty initial text.
struct VersionedText {
  std::uint64_t Version = 0;
  std::string Digest;
  std::string Text;
};

/// Encodes \p Target as a delta to \p Base, or whole if \p Base is null.
message::IntentText makeDelta(const VersionedText *Base,
                              const VersionedText &Target);

/// Applies \p Delta to \p BaseText. Returns nullopt if the delta was made for
/// another base or the digest of the result does not match.
std::optional<std::string> applyDelta(const message::IntentText &Delta,
                                      std::uint64_t BaseVersion,
                                      std::string_view BaseDigest,
                                      std::string_view BaseText);

} // namespace carobhinge

#endif // LIBINTENT_INTENTDELTA_H
