//===- LibHTTP/Address.h - "IP:PORT" texts --------------------------------===//
///
/// \file
/// Hosts talk by IP number; a name is never looked up.
///
//===----------------------------------------------------------------------===//

#ifndef LIBHTTP_ADDRESS_H
#define LIBHTTP_ADDRESS_H

#include <boost/asio/ip/tcp.hpp>
#include <stdexcept>
#include <string_view>

namespace carobhinge {

/// Parses "IP:PORT" ("[IP]:PORT" for IPv6). Throws std::invalid_argument.
boost::asio::ip::tcp::endpoint parseAddress(std::string_view Text);

/// The text form of \p Endpoint, which parseAddress() reads back.
std::string formatAddress(const boost::asio::ip::tcp::endpoint &Endpoint);

/// Binds and listens. \throws AddressError
boost::asio::ip::tcp::acceptor
listenAt(const boost::asio::any_io_executor &Executor, std::string_view Text);

/// An address that cannot be listened on; what() names it and the reason.
class AddressError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

} // namespace carobhinge

#endif // LIBHTTP_ADDRESS_H
