//===- LibCore/Compression.cpp - Smaller texts for disk and network -------===//
///
/// \file
/// A zlib stream behind four bytes with the length of the text.
///
//===----------------------------------------------------------------------===//

#include <LibCore/Compression.h>

#include <stdexcept>
#include <zlib.h>

namespace carobhinge {

static constexpr std::size_t LengthBytes = 4;

std::string compress(std::string_view Text) {
  uLongf Size = compressBound(Text.size());
  std::string Result(LengthBytes + Size, '\0');
  for (std::size_t I = 0; I < LengthBytes; ++I)
    Result[I] = static_cast<char>((Text.size() >> (8 * I)) & 0xffU);
  auto *To = reinterpret_cast<Bytef *>(Result.data() + LengthBytes);
  const auto *From = reinterpret_cast<const Bytef *>(Text.data());
  if (compress2(To, &Size, From, Text.size(), Z_BEST_SPEED) != Z_OK)
    throw std::runtime_error("a text could not be compressed");
  Result.resize(LengthBytes + Size);
  return Result;
}

std::optional<std::string> decompress(std::string_view Bytes,
                                      std::size_t MostBytes) {
  if (Bytes.size() < LengthBytes)
    return std::nullopt;
  std::size_t Length = 0;
  for (std::size_t I = 0; I < LengthBytes; ++I)
    Length |= std::size_t(static_cast<unsigned char>(Bytes[I])) << (8 * I);
  if (Length > MostBytes)
    return std::nullopt;
  std::string Result(Length, '\0');
  Bytes.remove_prefix(LengthBytes);
  uLongf Size = Length;
  auto *To = reinterpret_cast<Bytef *>(Result.data());
  const auto *From = reinterpret_cast<const Bytef *>(Bytes.data());
  if (uncompress(To, &Size, From, Bytes.size()) != Z_OK || Size != Length)
    return std::nullopt;
  return Result;
}

} // namespace carobhinge
