//===- LibHTTP/HttpServer.h - Answers requests on one address -------------===//
///
/// \file
/// Accepts connections, reads whole requests within stated limits and hands
/// each to a handler. What is malformed or too large is answered here with a
/// clear 4xx and never reaches the handler.
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
  /// "IP:PORT". Port 0 lets the system choose; see address().
  std::string Listen;
  std::size_t HeaderBytes = 16 * 1024;
  std::size_t BodyBytes = 1024 * 1024;
  std::size_t Connections = 4096;
  /// A request must have arrived whole this long after its first byte, and a
  /// written chunk must have been taken by the caller in this time.
  Duration TransferTimeout = std::chrono::seconds(10);
  /// A connection without a request is closed after this time.
  Duration IdleTimeout = std::chrono::seconds(60);
};

/// One request and the writing of its answer. Used by one coroutine at a time,
/// on the connection's strand. Exactly one of respond() or startStream() is
/// called. A failed write throws boost::system::system_error.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual const HttpRequest &request() const = 0;

  /// Writes a whole answer.
  virtual boost::asio::awaitable<void> respond(HttpResponse Response) = 0;

  /// Starts an answer whose length is not known (chunked).
  virtual boost::asio::awaitable<void> startStream(HttpResponseHead Head) = 0;
  virtual boost::asio::awaitable<void> writeChunk(std::string Data) = 0;
  /// Ends a stream that is whole. A stream that is not ended this way reaches
  /// the caller without its last chunk, so that it cannot pass as whole.
  virtual boost::asio::awaitable<void> finishStream() = 0;

  /// \p Gone is called once, on the connection's strand, if the caller closes
  /// the connection before the answer is complete.
  virtual void onCallerGone(std::function<void()> Gone) = 0;
  [[nodiscard]] virtual bool callerGone() const = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

class HttpServer {
public:
  /// Binds at once. \throws AddressError
  HttpServer(boost::asio::any_io_executor Executor, HttpServerOptions Options,
             HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  void start();

  /// Goes on taking connections and requests, but ends each connection with
  /// its next answer.
  void drain();

  /// Changes how long a connection without a request is kept, and the bounds
  /// of requests, for what is read from now on. Only from the executor's
  /// thread, where there is one.
  void setLimits(std::size_t HeaderBytes, std::size_t BodyBytes,
                 Duration TransferTimeout, Duration IdleTimeout);

  /// Takes no new connection, closes those without a request, and each other
  /// one after its current request.
  void stop();

  /// Requests whose answer is not yet complete.
  [[nodiscard]] std::size_t activeExchanges() const;

  /// "IP:PORT" that is listened on.
  [[nodiscard]] std::string address() const;

private:
  class Implementation;
  /// Shared with the connections, which may outlive the server object.
  std::shared_ptr<Implementation> Impl;
};

} // namespace carobhinge

#endif // LIBHTTP_HTTPSERVER_H
