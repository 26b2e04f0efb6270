//===- LibCore/Utf8.h - Bytes and text ------------------------------------===//

#ifndef LIBCORE_UTF8_H
#define LIBCORE_UTF8_H

#include <string>
#include <string_view>

namespace carobhinge {

/// \returns whether \p Bytes are UTF-8 (RFC 3629), which a protobuf message
/// must hold in its text fields; one that holds other bytes can be written but
/// not read again.
[[nodiscard]] bool isUtf8(std::string_view Bytes);

/// \returns \p Bytes as text: printable ASCII as it is, all else and the
/// backslash as "\xNN".
[[nodiscard]] std::string escapeBytes(std::string_view Bytes);

} // namespace carobhinge

#endif // LIBCORE_UTF8_H
