//===- LibSettings/NetworkAddress.h - An IP number and a port -------------===//
///
/// \file
/// Processes find each other by IP number only, so that no name service has
/// to be up before the system is.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSETTINGS_NETWORKADDRESS_H
#define LIBSETTINGS_NETWORKADDRESS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobhinge {

/// Where a process listens or is reached over TCP.
struct NetworkAddress {
  /// An IPv4 or IPv6 number in its shortest form, without brackets.
  std::string Ip;
  /// Never zero in a parsed address.
  std::uint16_t Port = 0;

  /// "IP:PORT", with brackets around an IPv6 number.
  [[nodiscard]] std::string text() const;

  bool operator==(const NetworkAddress &) const = default;
};

/// Reads "IP:PORT" or "[IPV6]:PORT". Host names and port zero are refused.
std::optional<NetworkAddress> parseNetworkAddress(std::string_view Text);

} // namespace carobhinge

#endif // LIBSETTINGS_NETWORKADDRESS_H
