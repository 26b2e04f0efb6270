//===- LibWire/MessageParser.h - Reads the messages of other hosts --------===//
///
/// \file
/// Parses messages of other hosts within a limit of memory: two bytes of a
/// message may become an object of a hundred.
///
//===----------------------------------------------------------------------===//

#ifndef LIBWIRE_MESSAGEPARSER_H
#define LIBWIRE_MESSAGEPARSER_H

#include <cstddef>
#include <google/protobuf/message.h>
#include <optional>
#include <string_view>

namespace carobhinge {

/// What one message may take when it is parsed: an eighth of the 256 MB that a
/// host has by default. It does not follow the settings of one host, as all
/// must be able to read what they agree on.
inline constexpr std::size_t MaxParsedMessageBytes = 32'000'000;

/// Returns at least the bytes that \p Bytes take as a message of \p Type;
/// nothing if they are none or take more than \p Limit.
std::optional<std::size_t>
measureParsedMessage(const google::protobuf::Descriptor &Type,
                     std::string_view Bytes, std::size_t Limit);

/// Parses \p Bytes into \p Out. \returns false if they are no such message, or
/// would take more than MaxParsedMessageBytes.
[[nodiscard]] bool parseMessage(google::protobuf::Message &Out,
                                std::string_view Bytes);

} // namespace carobhinge

#endif // LIBWIRE_MESSAGEPARSER_H
