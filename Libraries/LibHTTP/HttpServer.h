//===- LibHTTP/HttpServer.h - HTTP server on one address ------------------===//
///
/// \file
/// Accepts connections, reads complete requests within configured limits and
/// passes each to a handler. A malformed or too large request gets a 4xx
/// response from the server and never reaches the handler.
///
//===----------------------------------------------------------------------===//

#ifndef LIBHTTP_HTTPSERVER_H
#define LIBHTTP_HTTPSERVER_H

#include <LibCore/Time.h>
#include <LibHTTP/HttpMessage.h>
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

namespace carobhinge {

struct HttpServerOptions {
  /// "IP:PORT". With port 0 the system chooses the port; see address().
  std::string Listen;
  /// Size limits of a request.
  std::size_t HeaderBytes = 16 * 1024;
  std::size_t BodyBytes = 1024 * 1024;
  /// Limit of open connections. At the limit new ones are closed at once.
  std::size_t Connections = 4096;
  /// Timeout from the first byte of a request to its end, and for writing each
  /// chunk of a response.
  Duration TransferTimeout = std::chrono::seconds(10);
  /// A connection that waits for a request this long is closed.
  Duration IdleTimeout = std::chrono::seconds(60);
};

/// One request and its response. Used by one coroutine at a time, on the
/// connection's strand. The handler calls exactly one of respond() and
/// startStream(). A failed write throws boost::system::system_error.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual const HttpRequest &request() const = 0;
  /// The IP address that the request came from; empty if it is not known.
  [[nodiscard]] virtual std::string callerIp() const { return {}; }

  /// Writes a complete response.
  virtual boost::asio::awaitable<void> respond(HttpResponse Response) = 0;

  /// Starts a response of unknown length (chunked).
  virtual boost::asio::awaitable<void> startStream(HttpResponseHead Head) = 0;
  virtual boost::asio::awaitable<void> writeChunk(std::string Data) = 0;
  /// Completes a stream by writing its last chunk. Without this call the caller
  /// receives no last chunk and cannot mistake the response for complete.
  virtual boost::asio::awaitable<void> finishStream() = 0;

  /// \p Callback is called once, on the connection's strand, if the caller
  /// closes the connection before the response is complete.
  virtual void onCallerDisconnected(std::function<void()> Callback) = 0;
  [[nodiscard]] virtual bool callerDisconnected() const = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

class HttpServer {
public:
  /// Binds to the address; start() accepts connections. \throws AddressError
  HttpServer(boost::asio::any_io_executor Executor, HttpServerOptions Options,
             HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  void start();

  /// Continues to accept connections and requests, but closes each connection
  /// after its next response.
  void drain();

  /// Changes the timeouts and the size limits for requests that are read from
  /// now on. Called only on the executor's thread if it has a single one.
  void setLimits(std::size_t HeaderBytes, std::size_t BodyBytes,
                 Duration TransferTimeout, Duration IdleTimeout);

  /// Accepts the connections that wait and no more, closes the idle ones, and
  /// closes the others after their current request. A request whose first bytes
  /// have arrived is still read and handled.
  void stop();

  /// Returns the number of requests that handlers are processing.
  [[nodiscard]] std::size_t activeExchanges() const;

  /// Returns the number of open connections. After stop(), 0 means that every
  /// request that was received has been answered; while requests are still
  /// being read, activeExchanges() may be 0 for a moment before that.
  [[nodiscard]] std::size_t openConnections() const;

  /// Returns the "IP:PORT" on which the server listens.
  [[nodiscard]] std::string address() const;

private:
  class Implementation;
  /// Shared with the connections, which may outlive the server object.
  std::shared_ptr<Implementation> Impl;
};

} // namespace carobhinge

#endif // LIBHTTP_HTTPSERVER_H
