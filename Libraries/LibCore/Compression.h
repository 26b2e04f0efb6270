//===- LibCore/Compression.h - Compression of texts with zlib -------------===//
///
/// \file
/// Catalogs are repetitive and compress to about a tenth of their size. A
/// leader sends them to many entry hosts, so this saves most of that traffic.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_COMPRESSION_H
#define LIBCORE_COMPRESSION_H

#include <optional>
#include <string>
#include <string_view>

namespace carobhinge {

/// Returns \p Text compressed. \throws std::runtime_error if zlib fails.
std::string compress(std::string_view Text);

/// Returns the text, or nothing if \p Bytes are corrupt or the text is longer
/// than \p MaxBytes bytes.
std::optional<std::string> decompress(std::string_view Bytes,
                                      std::size_t MaxBytes);

} // namespace carobhinge

#endif // LIBCORE_COMPRESSION_H
