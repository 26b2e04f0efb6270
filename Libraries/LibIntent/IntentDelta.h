//===- LibIntent/IntentDelta.h - Texts sent as what changed ---------------===//
///
/// \file
/// Operators change a few lines of a long text many times a day. What goes
/// over the wire is the middle part between what two texts share at their
/// beginnings and ends.
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

/// One accepted text. Version zero is the empty text that all start from.
struct VersionedText {
  std::uint64_t Version = 0;
  std::string Digest;
  std::string Text;
};

/// \p Wanted as a change of \p Base, or whole if \p Base is null.
message::IntentText makeDelta(const VersionedText *Base,
                              const VersionedText &Wanted);

/// The text that \p Delta makes of \p Base. Empty if it was made for another
/// base or its digest does not fit.
std::optional<std::string> applyDelta(const message::IntentText &Delta,
                                      std::uint64_t BaseVersion,
                                      std::string_view BaseDigest,
                                      std::string_view BaseText);

} // namespace carobhinge

#endif // LIBINTENT_INTENTDELTA_H
