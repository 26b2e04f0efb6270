//===- LibCore/Compression.cpp - Compression of texts with zlib -----------===//
///
/// \file
/// The format is the length of the text in four bytes, the least significant
/// first, followed by a zlib stream.
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
  auto *Destination = reinterpret_cast<Bytef *>(Result.data() + LengthBytes);
  const auto *Source = reinterpret_cast<const Bytef *>(Text.data());
  if (compress2(Destination, &Size, Source, Text.size(), Z_BEST_SPEED) != Z_OK)
    throw std::runtime_error("zlib could not compress a text");
  Result.resize(LengthBytes + Size);
  return Result;
}

std::optional<std::string> decompress(std::string_view Bytes,
                                      std::size_t MaxBytes) {
  if (Bytes.size() < LengthBytes)
    return std::nullopt;
  std::size_t Length = 0;
  for (std::size_t I = 0; I < LengthBytes; ++I)
    Length |= std::size_t(static_cast<unsigned char>(Bytes[I])) << (8 * I);
  if (Length > MaxBytes)
    return std::nullopt;
  std::string Result(Length, '\0');
  Bytes.remove_prefix(LengthBytes);
  uLongf Size = Length;
  auto *Destination = reinterpret_cast<Bytef *>(Result.data());
  const auto *Source = reinterpret_cast<const Bytef *>(Bytes.data());
  if (uncompress(Destination, &Size, Source, Bytes.size()) != Z_OK ||
      Size != Length)
    return std::nullopt;
  return Result;
}

} // namespace carobhinge
