//===- LibSettings/NetworkAddress.h - IP address and port -----------------===//
///
/// \file
/// Processes address each other by IP address only, so that the system does not
/// depend on a name service when it starts.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSETTINGS_NETWORKADDRESS_H
#define LIBSETTINGS_NETWORKADDRESS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobhinge {

/// A TCP address on which a process listens or is reached.
struct NetworkAddress {
  /// An IPv4 or IPv6 address in its shortest form, without brackets.
  std::string Ip;
  /// Not 0 in a parsed address.
  std::uint16_t Port = 0;

  /// Returns "IP:PORT", with brackets around an IPv6 address.
  [[nodiscard]] std::string text() const;

  bool operator==(const NetworkAddress &) const = default;
};

/// Parses "IP:PORT" or "[IPV6]:PORT". Returns nothing for a host name, for
/// port 0 and for any other text.
std::optional<NetworkAddress> parseNetworkAddress(std::string_view Text);

} // namespace carobhinge

#endif // LIBSETTINGS_NETWORKADDRESS_H
