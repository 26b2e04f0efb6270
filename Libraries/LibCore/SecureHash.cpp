//===- LibCore/SecureHash.cpp - Hashes of untrusted input -----------------===//
///
/// \file
/// Thin wrapper around libsodium.
///
//===----------------------------------------------------------------------===//

#include <LibCore/SecureHash.h>

#include <array>
#include <cstring>
#include <sodium.h>

namespace carobhinge {

static void addBytes(crypto_generichash_state &State, const void *Bytes,
                     std::size_t Count) {
  crypto_generichash_update(&State, static_cast<const unsigned char *>(Bytes),
                            Count);
}

std::uint64_t secureHash64(std::initializer_list<std::string_view> Fields) {
  // Selects the implementation for this processor; the hash is the same without
  // it.
  static const int Initialized = sodium_init();
  static_cast<void>(Initialized);
  crypto_generichash_state State;
  std::array<unsigned char, crypto_generichash_BYTES_MIN> Digest{};
  crypto_generichash_init(&State, nullptr, 0, Digest.size());
  for (std::string_view Field : Fields) {
    std::uint64_t Length = Field.size();
    addBytes(State, &Length, sizeof(Length));
    addBytes(State, Field.data(), Field.size());
  }
  crypto_generichash_final(&State, Digest.data(), Digest.size());
  std::uint64_t Result = 0;
  static_assert(crypto_generichash_BYTES_MIN >= sizeof(Result));
  std::memcpy(&Result, Digest.data(), sizeof(Result));
  return Result;
}

} // namespace carobhinge
