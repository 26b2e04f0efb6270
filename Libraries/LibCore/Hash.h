//===- LibCore/Hash.h - Digests and seeded hashes -------------------------===//
///
/// \file
/// xxHash digests. They are the same in all processes and versions of the
/// program, but not cryptographic.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_HASH_H
#define LIBCORE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace carobhinge {

/// Returns a 64-bit hash of \p Bytes.
std::uint64_t hash64(std::string_view Bytes, std::uint64_t Seed = 0);

/// Returns a 128-bit digest of \p Bytes as 32 hexadecimal digits.
std::string digest(std::string_view Bytes);

} // namespace carobhinge

#endif // LIBCORE_HASH_H
