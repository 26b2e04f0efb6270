//===- LibWire/PeerName.h - Whether a peer's name can be used -------------===//

#ifndef LIBWIRE_PEERNAME_H
#define LIBWIRE_PEERNAME_H

#include <LibCore/Findings.h>
#include <string_view>

namespace carobhinge {

/// The longest name of a host in DNS (RFC 1035) has 253 bytes.
inline constexpr std::size_t MaxPeerNameBytes = 255;

/// Checks the name by which a peer calls itself. Hosts pass such names on in
/// text fields, and a message with one that isn't text can't be read.
/// \returns nothing if \p Name can be used.
[[nodiscard]] Findings checkPeerName(std::string_view Name);

} // namespace carobhinge

#endif // LIBWIRE_PEERNAME_H
