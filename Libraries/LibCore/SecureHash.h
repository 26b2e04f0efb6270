//===- LibCore/SecureHash.h - Hashes of untrusted input -------------------===//
///
/// \file
/// BLAKE2b (RFC 7693) of several fields. Unlike hash64(), it is safe where
/// callers gain from two inputs with the same hash.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_SECUREHASH_H
#define LIBCORE_SECUREHASH_H

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace carobhinge {

/// Returns the first 64 bits of the hash of \p Fields. Each field is hashed
/// with its length, so that no bytes can move from one field to the next.
std::uint64_t secureHash64(std::initializer_list<std::string_view> Fields);

} // namespace carobhinge

#endif // LIBCORE_SECUREHASH_H
