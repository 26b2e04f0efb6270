//===- LibCore/Compression.h - Smaller texts for disk and network ---------===//
///
/// \file
/// Catalogs repeat themselves: compressed they take about a tenth, which a
/// leader saves for each of many entry hosts.
///
//===----------------------------------------------------------------------===//

#ifndef LIBCORE_COMPRESSION_H
#define LIBCORE_COMPRESSION_H

#include <optional>
#include <string>
#include <string_view>

namespace carobhinge {

std::string compress(std::string_view Text);

/// Nothing if \p Bytes are damaged or hold more than \p MostBytes.
std::optional<std::string> decompress(std::string_view Bytes,
                                      std::size_t MostBytes);

} // namespace carobhinge

#endif // LIBCORE_COMPRESSION_H
