//===- LibWire/WireServer.h - Answers calls of other hosts ----------------===//
///
/// \file
/// Accepts connections of peers and runs one handler coroutine for each call.
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

/// One call as its handler sees it. Used on the connection's strand.
class WireExchange {
public:
  virtual ~WireExchange() = default;
  /// The host that calls, as it names itself.
  [[nodiscard]] virtual const HostName &caller() const = 0;
  [[nodiscard]] virtual const std::string &message() const = 0;
  /// Sends one reply message; waits while too much is queued. Throws
  /// boost::system::system_error once the caller is gone.
  virtual boost::asio::awaitable<void> send(std::string Message) = 0;
  [[nodiscard]] virtual bool callerGone() const = 0;
  /// \p Gone is called once if the call is cancelled or its connection ends.
  virtual void onCallerGone(std::function<void()> Gone) = 0;
};

/// A call whose handler returns is complete; one whose handler throws reaches
/// the caller as lost, never as complete.
using WireHandler = std::function<boost::asio::awaitable<void>(WireExchange &)>;

class WireServer {
public:
  /// Binds at once. \throws AddressError
  WireServer(boost::asio::any_io_executor Executor, std::string_view Listen,
             WireOptions Options,
             std::map<std::string, WireHandler, std::less<>> Handlers);
  ~WireServer();
  WireServer(const WireServer &) = delete;
  WireServer &operator=(const WireServer &) = delete;

  void start();
  /// Takes no new connection; open ones go on.
  void stop();
  [[nodiscard]] std::string address() const;

private:
  class Implementation;
  /// Shared with the connections, which may outlive the server object.
  std::shared_ptr<Implementation> Impl;
};

} // namespace carobhinge

#endif // LIBWIRE_WIRESERVER_H
