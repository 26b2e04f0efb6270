//===- LibWire/MessageFraming.h - Length-prefixed messages ----------------===//
///
/// \file
/// Each message is preceded by its length in four bytes, most significant byte
/// first.
///
//===----------------------------------------------------------------------===//

#ifndef LIBWIRE_MESSAGEFRAMING_H
#define LIBWIRE_MESSAGEFRAMING_H

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace carobhinge {

/// Returns \p Message with its length prefix.
std::string frameMessage(std::string_view Message);

/// Thrown for a message that is longer than the limit.
class MessageTooLong : public std::runtime_error {
public:
  MessageTooLong() : std::runtime_error("a message exceeds the size limit") {}
};

/// Splits received bytes into messages.
class MessageAssembler {
public:
  explicit MessageAssembler(std::size_t MaxBytes) : MaxBytes(MaxBytes) {}

  void append(std::string_view Bytes);

  /// Returns the next complete message, or nothing if more bytes are needed.
  /// Throws MessageTooLong as soon as the length prefix of a message exceeds
  /// the limit.
  std::optional<std::string> next();

  /// Returns true if no incomplete message is buffered.
  [[nodiscard]] bool empty() const { return this->Start == this->Bytes.size(); }

  /// Returns the bytes of messages that next() has not returned.
  [[nodiscard]] std::size_t pendingBytes() const {
    return this->Bytes.size() - this->Start;
  }
  /// Returns all bytes that are kept.
  [[nodiscard]] std::size_t bufferedBytes() const { return this->Bytes.size(); }

private:
  std::size_t MaxBytes;
  std::string Bytes;
  /// Offset in Bytes of the first byte that next() has not returned.
  std::size_t Start = 0;
};

} // namespace carobhinge

#endif // LIBWIRE_MESSAGEFRAMING_H
