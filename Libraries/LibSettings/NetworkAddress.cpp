//===- LibSettings/NetworkAddress.cpp - IP address and port ---------------===//
///
/// \file
/// Splits at the last colon and parses the IP address with Asio.
///
//===----------------------------------------------------------------------===//

#include <LibSettings/NetworkAddress.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace carobhinge {

std::string NetworkAddress::text() const {
  bool IsIPv6 = this->Ip.find(':') != std::string::npos;
  std::string Host = IsIPv6 ? "[" + this->Ip + "]" : this->Ip;
  return Host + ":" + std::to_string(this->Port);
}

static std::optional<std::uint16_t> parsePort(std::string_view Text) {
  std::uint16_t Port = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Port);
  if (Error != std::errc() || End != Text.data() + Text.size() || Port == 0)
    return std::nullopt;
  return Port;
}

std::optional<NetworkAddress> parseNetworkAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::optional<std::uint16_t> Port = parsePort(Text.substr(Colon + 1));
  std::string_view Host = Text.substr(0, Colon);
  bool Bracketed = Host.size() > 2 && Host.front() == '[' && Host.back() == ']';
  if (Bracketed)
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Error;
  auto Ip = boost::asio::ip::make_address(std::string(Host), Error);
  // Without brackets the colons of an IPv6 address are ambiguous with the
  // separator of the port.
  if (!Port || Error || Ip.is_v6() != Bracketed)
    return std::nullopt;
  return NetworkAddress{.Ip = Ip.to_string(), .Port = *Port};
}

} // namespace carobhinge
