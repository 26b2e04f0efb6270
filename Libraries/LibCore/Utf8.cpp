//===- LibCore/Utf8.cpp - Bytes and text ----------------------------------===//

#include <LibCore/Utf8.h>

#include <algorithm>
#include <cstdint>

namespace carobhinge {

namespace {

/// The sequences that begin with a byte from First to Last, and the range of
/// their second byte (RFC 3629, section 4).
struct SequenceForm {
  std::uint8_t First, Last;
  std::size_t Length;
  std::uint8_t SecondFirst, SecondLast;
};

constexpr SequenceForm Forms[] = {
    {0x00, 0x7f, 1, 0x80, 0xbf}, {0xc2, 0xdf, 2, 0x80, 0xbf},
    {0xe0, 0xe0, 3, 0xa0, 0xbf}, {0xe1, 0xec, 3, 0x80, 0xbf},
    {0xed, 0xed, 3, 0x80, 0x9f}, {0xee, 0xef, 3, 0x80, 0xbf},
    {0xf0, 0xf0, 4, 0x90, 0xbf}, {0xf1, 0xf3, 4, 0x80, 0xbf},
    {0xf4, 0xf4, 4, 0x80, 0x8f},
};

} // namespace

bool isUtf8(std::string_view Bytes) {
  auto IsIn = [](char Byte, std::uint8_t First, std::uint8_t Last) {
    auto Value = static_cast<std::uint8_t>(Byte);
    return Value >= First && Value <= Last;
  };
  while (!Bytes.empty()) {
    const auto *Form =
        std::ranges::find_if(Forms, [&](const SequenceForm &Each) {
          return IsIn(Bytes.front(), Each.First, Each.Last);
        });
    if (Form == std::end(Forms) || Bytes.size() < Form->Length)
      return false;
    if (Form->Length > 1 &&
        !IsIn(Bytes[1], Form->SecondFirst, Form->SecondLast))
      return false;
    for (std::size_t I = 2; I < Form->Length; ++I)
      if (!IsIn(Bytes[I], 0x80, 0xbf))
        return false;
    Bytes.remove_prefix(Form->Length);
  }
  return true;
}

std::string escapeBytes(std::string_view Bytes) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (char Each : Bytes) {
    auto Byte = static_cast<unsigned char>(Each);
    if (Byte >= ' ' && Byte < 0x7f && Each != '\\') {
      Text += Each;
      continue;
    }
    Text += "\\x";
    Text += Digits[Byte / 16];
    Text += Digits[Byte % 16];
  }
  return Text;
}

} // namespace carobhinge
