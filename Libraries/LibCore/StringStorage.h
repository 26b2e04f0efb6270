//===- LibCore/StringStorage.h - Frees the storage of strings -------------===//
///
/// \file
/// Buffers that stay for long but hold many bytes only at times give their
/// storage back by these functions. clear() and the assignment of an empty
/// string keep it.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_STRINGSTORAGE_H
#define LIBCORE_STRINGSTORAGE_H

#include <string>

namespace carobhinge {

/// Empties \p Text and frees its storage.
inline void freeStorage(std::string &Text) { std::string().swap(Text); }

/// Frees most of the storage of \p Text if little of it is used. Storage of
/// ordinary size is kept for the next bytes.
inline void freeSpareStorage(std::string &Text) {
  constexpr std::size_t OrdinaryBytes = std::size_t(64) * 1024;
  if (Text.capacity() > OrdinaryBytes && Text.size() < Text.capacity() / 4)
    Text.shrink_to_fit();
}

} // namespace carobhinge

#endif // LIBCORE_STRINGSTORAGE_H
