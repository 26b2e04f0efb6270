//===- LibHTTP/Address.cpp - Socket addresses as text ---------------------===//
///
/// \file
/// Parsing and formatting of socket addresses.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/Address.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <stdexcept>

namespace carobhinge {

using boost::asio::ip::tcp;

tcp::endpoint parseAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  std::string Host(Text.substr(0, Colon));
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Error;
  boost::asio::ip::address Ip = boost::asio::ip::make_address(Host, Error);
  std::uint16_t Port = 0;
  bool HasPort = false;
  if (Colon != std::string_view::npos) {
    const char *End = Text.data() + Text.size();
    auto [Stop, Code] = std::from_chars(Text.data() + Colon + 1, End, Port);
    HasPort = Code == std::errc() && Stop == End;
  }
  if (Error || !HasPort)
    throw std::invalid_argument("\"" + std::string(Text) +
                                "\" is not an IP:PORT address");
  return {Ip, Port};
}

std::string formatAddress(const tcp::endpoint &Endpoint) {
  std::string Host = Endpoint.address().to_string();
  if (Endpoint.address().is_v6())
    Host = "[" + Host + "]";
  return Host + ":" + std::to_string(Endpoint.port());
}

[[noreturn]] static void throwAddressError(std::string_view Text,
                                           boost::system::error_code Code) {
  std::string Message =
      "cannot listen on " + std::string(Text) + ": " + Code.message();
  if (Code == boost::asio::error::address_in_use ||
      Code == boost::system::errc::address_not_available)
    throw AddressTakenError(Message);
  throw AddressError(Message);
}

tcp::acceptor listenAt(const boost::asio::any_io_executor &Executor,
                       std::string_view Text) {
  try {
    return {Executor, parseAddress(Text), /*reuse_addr=*/true};
  } catch (const boost::system::system_error &Error) {
    throwAddressError(Text, Error.code());
  }
}

void checkListenAddress(std::string_view Text) {
  boost::asio::io_context Context;
  tcp::acceptor Probe(Context);
  tcp::endpoint Endpoint = parseAddress(Text);
  // Binding fails if another socket listens; without listening itself, the
  // probe takes no connection that would be reset when it closes.
  try {
    Probe.open(Endpoint.protocol());
    Probe.set_option(tcp::acceptor::reuse_address(true));
    Probe.bind(Endpoint);
  } catch (const boost::system::system_error &Error) {
    throwAddressError(Text, Error.code());
  }
}

} // namespace carobhinge
