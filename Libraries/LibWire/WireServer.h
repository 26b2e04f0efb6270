//===- LibWire/WireServer.h - Server for calls from peer hosts ------------===//
///
/// \file
/// Accepts connections from peers and runs one handler coroutine per call.
///
//===----------------------------------------------------------------------===//

#ifndef LIBWIRE_WIRESERVER_H
#define LIBWIRE_WIRESERVER_H

#include <LibWire/WireOptions.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace carobhinge {

/// The handler's interface to one call. Used on the connection's strand.
class WireExchange {
public:
  virtual ~WireExchange() = default;
  /// The calling host as it identified itself; not authenticated.
  [[nodiscard]] virtual const HostName &caller() const = 0;
  [[nodiscard]] virtual const std::string &message() const = 0;
  /// Queues one reply message after waiting until the stream's send backlog is
  /// within its limit. Throws boost::system::system_error once the caller has
  /// cancelled the call or disconnected.
  virtual boost::asio::awaitable<void> send(std::string Message) = 0;
  /// True once the caller has cancelled the call or disconnected.
  [[nodiscard]] virtual bool callerDisconnected() const = 0;
  /// \p Callback is called once if the caller cancels the call or disconnects.
  virtual void onCallerDisconnected(std::function<void()> Callback) = 0;
};

/// When the handler returns, the call completes. When the handler throws, the
/// stream is reset, so that the caller sees the call as lost and never as
/// complete.
using WireHandler = std::function<boost::asio::awaitable<void>(WireExchange &)>;

class WireServer {
public:
  /// Binds to \p Listen ("IP:PORT"). \p Handlers are keyed by method name.
  /// \throws AddressError
  WireServer(boost::asio::any_io_executor Executor, std::string_view Listen,
             WireOptions Options,
             std::map<std::string, WireHandler, std::less<>> Handlers);
  ~WireServer();
  WireServer(const WireServer &) = delete;
  WireServer &operator=(const WireServer &) = delete;

  void start();
  /// Stops accepting connections; open connections continue.
  void stop();
  [[nodiscard]] std::string address() const;

private:
  class Implementation;
  /// Shared with the connections, which may outlive the server object.
  std::shared_ptr<Implementation> Impl;
};

} // namespace carobhinge

#endif // LIBWIRE_WIRESERVER_H
