//===- LibHTTP/Address.h - Socket addresses as text -----------------------===//
///
/// \file
/// Hosts are addressed by IP address; host names are never resolved.
///
//===----------------------------------------------------------------------===//

#ifndef LIBHTTP_ADDRESS_H
#define LIBHTTP_ADDRESS_H

#include <boost/asio/ip/tcp.hpp>
#include <stdexcept>
#include <string_view>

namespace carobhinge {

/// Parses "IP:PORT" ("[IP]:PORT" for IPv6). Throws std::invalid_argument for
/// any other text.
boost::asio::ip::tcp::endpoint parseAddress(std::string_view Text);

/// Returns the text form of \p Endpoint that parseAddress() accepts.
std::string formatAddress(const boost::asio::ip::tcp::endpoint &Endpoint);

/// Opens an acceptor that listens on the address \p Text. \throws AddressError
boost::asio::ip::tcp::acceptor
listenAt(const boost::asio::any_io_executor &Executor, std::string_view Text);

/// Checks that listenAt() would succeed, without accepting any connection.
/// \throws AddressError
void checkListenAddress(std::string_view Text);

/// Thrown if listening on an address fails; what() holds the address and the
/// reason.
class AddressError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Thrown if another socket has the address, or the machine doesn't have it;
/// both may change soon.
class AddressTakenError : public AddressError {
public:
  using AddressError::AddressError;
};

} // namespace carobhinge

#endif // LIBHTTP_ADDRESS_H
