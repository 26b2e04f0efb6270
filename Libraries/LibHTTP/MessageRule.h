//===- LibHTTP/MessageRule.h - Which heads are HTTP messages --------------===//
///
/// \file
/// Judges the head of a message as a whole. A parser checks the grammar of each
/// line; what the lines mean together may still be nothing that HTTP allows:
/// a status that does not exist, or a length that two readers take differently.
/// RFC 9110, section 15; RFC 9112, section 6.
///
//===----------------------------------------------------------------------===//

#ifndef LIBHTTP_MESSAGERULE_H
#define LIBHTTP_MESSAGERULE_H

#include <LibHTTP/HttpMessage.h>
#include <optional>
#include <string>
#include <string_view>

namespace carobhinge {

/// Why bytes are no message.
enum class MessageFaultKind {
  /// They do not follow the grammar of HTTP/1.1 (RFC 9112).
  Syntax,
  /// A status below 100 or above 599.
  Status,
  /// The status 101, although no call asks for another protocol.
  Upgrade,
  /// A Transfer-Encoding that does not end with "chunked", names it twice or is
  /// in a message that may have none.
  TransferCoding,
  /// A Transfer-Encoding with other codings before "chunked": none is known.
  UnknownCoding,
  /// A Content-Length beside a Transfer-Encoding, or in a response without a
  /// body.
  ContentLength,
};

/// Returns a name for logs and metrics, such as "transfer-coding".
[[nodiscard]] std::string_view messageFaultName(MessageFaultKind Kind);

struct MessageFault {
  MessageFaultKind Kind = MessageFaultKind::Syntax;
  /// The offending bytes, as printableBytes() returns them.
  std::string Value = {};
};

enum class HttpVersion { Http10, Http11 };

/// Returns what makes a response with this head none; nothing if it is one,
/// final or interim.
[[nodiscard]] std::optional<MessageFault>
findResponseFault(HttpVersion Version, const HttpResponseHead &Head);

/// Returns what makes a request with these fields none. Its method and target
/// are not judged.
[[nodiscard]] std::optional<MessageFault>
findRequestFault(HttpVersion Version, const HttpHeaders &Fields);

/// Returns \p Bytes of a stranger for a log: printable ASCII as it is, all else
/// and the backslash as "\xNN", cut after the first 64.
[[nodiscard]] std::string printableBytes(std::string_view Bytes);

} // namespace carobhinge

#endif // LIBHTTP_MESSAGERULE_H
