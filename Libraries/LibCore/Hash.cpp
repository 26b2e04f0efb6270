//===- LibCore/Hash.cpp - Digests and seeded hashes -----------------------===//
///
/// \file
/// Thin wrappers around xxHash.
///
//===----------------------------------------------------------------------===//

#include <LibCore/Hash.h>

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace carobhinge {

std::uint64_t hash64(std::string_view Bytes, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

std::string digest(std::string_view Bytes) {
  XXH128_hash_t Hash = XXH3_128bits(Bytes.data(), Bytes.size());
  std::array<char, 33> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(Hash.high64),
                static_cast<unsigned long long>(Hash.low64));
  return {Text.data(), Text.size() - 1};
}

} // namespace carobhinge
