//===- LibWire/MessageFraming.cpp - Length-prefixed messages --------------===//
///
/// \file
/// Writing and parsing of the length prefix.
///
//===----------------------------------------------------------------------===//

#include <LibCore/StringStorage.h>
#include <LibWire/MessageFraming.h>

namespace carobhinge {

static constexpr std::size_t LengthPrefixBytes = 4;

std::string frameMessage(std::string_view Message) {
  std::string Framed;
  Framed.reserve(LengthPrefixBytes + Message.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Framed += static_cast<char>((Message.size() >> Shift) & 0xff);
  Framed += Message;
  return Framed;
}

void MessageAssembler::append(std::string_view Bytes) {
  this->Bytes.erase(0, this->Start);
  this->Start = 0;
  this->Bytes += Bytes;
}

std::optional<std::string> MessageAssembler::next() {
  if (this->Bytes.size() - this->Start < LengthPrefixBytes)
    return std::nullopt;
  std::size_t Length = 0;
  for (std::size_t I = 0; I < LengthPrefixBytes; ++I)
    Length =
        Length << 8 | static_cast<unsigned char>(this->Bytes[this->Start + I]);
  if (Length > this->MaxBytes)
    throw MessageTooLong();
  if (this->Bytes.size() - this->Start - LengthPrefixBytes < Length)
    return std::nullopt;
  std::string Message =
      this->Bytes.substr(this->Start + LengthPrefixBytes, Length);
  this->Start += LengthPrefixBytes + Length;
  if (this->Start == this->Bytes.size()) {
    this->Bytes.clear();
    this->Start = 0;
    freeSpareStorage(this->Bytes);
  }
  return Message;
}

} // namespace carobhinge
