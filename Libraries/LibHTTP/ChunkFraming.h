//===- LibHTTP/ChunkFraming.h - How many bytes a parser is given ----------===//
///
/// \file
/// Beast's parser asserts that it gets at least five bytes once it has seen the
/// three of a last chunk without extensions, "0 CR LF". Callers of the parser
/// wait for as many.
///
//===----------------------------------------------------------------------===//

#ifndef LIBHTTP_CHUNKFRAMING_H
#define LIBHTTP_CHUNKFRAMING_H

#include <cstddef>

namespace carobhinge {

/// Returns how many bytes there must be before a parser that needs more than
/// \p UnparsedBytes of a message is given any. Three bytes of a chunk's framing
/// are never followed by fewer than two, so that nothing is delayed.
inline std::size_t bytesBeforeNextParse(std::size_t UnparsedBytes) {
  static constexpr std::size_t LastChunkBytes = 3;
  static constexpr std::size_t MinNextBytes = 5;
  return UnparsedBytes == LastChunkBytes ? MinNextBytes : UnparsedBytes + 1;
}

} // namespace carobhinge

#endif // LIBHTTP_CHUNKFRAMING_H
