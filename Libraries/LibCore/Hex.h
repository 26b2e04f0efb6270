//===- LibCore/Hex.h - Hexadecimal numbers
//---------------------------------===//
///
/// \file
/// Text form of numbers that identify things, such as hashes.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_HEX_H
#define LIBCORE_HEX_H

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobhinge {

/// Returns \p Value in lower-case hexadecimal digits without leading zeros.
inline std::string toHex(std::uint64_t Value) {
  std::array<char, 16> Digits{};
  auto Result =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Value, 16);
  return {Digits.data(), Result.ptr};
}

/// Returns the number that \p Text holds; nothing if it isn't a hexadecimal
/// number of at most 64 bits.
inline std::optional<std::uint64_t> parseHex(std::string_view Text) {
  std::uint64_t Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value, 16);
  if (Error != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

} // namespace carobhinge

#endif // LIBCORE_HEX_H
