//===- LibWire/MessageFraming.h - Messages inside a stream of bytes -------===//
///
/// \file
/// Each message is four bytes of length, most significant first, and the
/// message itself.
///
//===----------------------------------------------------------------------===//

#ifndef LIBWIRE_MESSAGEFRAMING_H
#define LIBWIRE_MESSAGEFRAMING_H

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace carobhinge {

/// The bytes of \p Message with its length in front.
std::string frameMessage(std::string_view Message);

/// Thrown for a message longer than the bound.
class MessageTooLong : public std::runtime_error {
public:
  MessageTooLong() : std::runtime_error("a message is longer than allowed") {}
};

/// Cuts arriving bytes into messages.
class MessageAssembler {
public:
  explicit MessageAssembler(std::size_t MostBytes) : MostBytes(MostBytes) {}

  void append(std::string_view Bytes);

  /// The next whole message, or nothing yet. Throws MessageTooLong as soon as
  /// the length of a message is known to exceed the bound.
  std::optional<std::string> next();

  /// True if no part of a message is waiting for its rest.
  [[nodiscard]] bool empty() const { return this->Start == this->Bytes.size(); }

private:
  std::size_t MostBytes;
  std::string Bytes;
  /// Bytes before this offset were handed out.
  std::size_t Start = 0;
};

} // namespace carobhinge

#endif // LIBWIRE_MESSAGEFRAMING_H
