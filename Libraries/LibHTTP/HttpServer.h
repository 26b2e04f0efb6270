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

#include <LibCore/HeldBytes.h>
#include <LibCore/Time.h>
#include <LibHTTP/HttpMessage.h>
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace carobhinge {

/// Why the server itself answered a request that no handler has processed.
enum class HttpRefusalReason {
  /// Not HTTP, or it broke off (400).
  Malformed,
  /// It has transfer codings other than "chunked" (501).
  UnknownCoding,
  /// HttpServerOptions::HeaderBytes, for the head (431).
  HeaderBytes,
  /// HttpServerOptions::HeaderBytes, for a size line or for the fields after
  /// the body (431).
  HeldBytes,
  /// HttpServerOptions::BodyBytes (413).
  BodyBytes,
  /// HttpServerOptions::HeadTimeout, or TransferTimeout (408).
  TransferTime,
  /// HttpServerOptions::Budget (503).
  ProcessBytes,
  /// HttpServerOptions::Budget, for an answer that its caller doesn't take. It
  /// is cut off, without a status.
  UntakenAnswer,
};

/// Returns a name for logs and metrics, such as "header-bytes".
[[nodiscard]] std::string_view httpRefusalReasonName(HttpRefusalReason Reason);

/// Returns whether the request, or its answer, reached a limit of the server.
[[nodiscard]] bool isLimit(HttpRefusalReason Reason);

struct HttpRefusal {
  unsigned Status = 0;
  HttpRefusalReason Reason = HttpRefusalReason::Malformed;
  /// Empty if it is not known.
  std::string CallerIp = {};
};

struct HttpServerOptions {
  /// "IP:PORT". With port 0 the system chooses the port; see address().
  std::string Listen;
  /// Size limits of a request. The first one also limits each size line of a
  /// chunked body and the fields after it.
  std::size_t HeaderBytes = 16 * 1024;
  std::size_t BodyBytes = 1024 * 1024;
  /// Limit of open connections. At the limit new ones are closed at once.
  std::size_t Connections = 4096;
  /// Timeout from the first byte of a request to the end of its head.
  Duration HeadTimeout = std::chrono::seconds(10);
  /// Timeout from the first byte of a request to its end, and for writing each
  /// chunk of a response.
  Duration TransferTimeout = std::chrono::seconds(10);
  /// A caller that takes no byte of its answer for this long doesn't take it:
  /// it is given up before the requests and answers of others.
  Duration UntakenTimeout = std::chrono::seconds(3);
  /// A connection that waits for a request this long is closed, unless bytes
  /// have arrived by then.
  Duration IdleTimeout = std::chrono::seconds(60);
  /// What the process may hold in all; null: no limit. It outlives the server
  /// and its connections. A request counts from its first byte until it has
  /// been answered; one that has no place gets 503.
  SharedByteBudget *Budget = nullptr;
  /// Requests of this server may take the whole budget, not only the part for
  /// new work: for those by which the process is observed, or that bring small
  /// reports which must not stop while callers fill that part.
  bool TakesWholeBudget = false;
  /// Called on the connection's strand when the server refuses a request or
  /// cuts off an answer.
  std::function<void(const HttpRefusal &)> OnRefused = {};
};

/// What a server may change while it runs; see HttpServerOptions.
struct HttpServerLimits {
  std::size_t HeaderBytes;
  std::size_t BodyBytes;
  Duration HeadTimeout;
  Duration TransferTimeout;
  Duration UntakenTimeout;
  Duration IdleTimeout;
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

  /// The next respond() writes what \p Place holds in the budget as a
  /// complete answer; \p Place must outlive it. A server records there what
  /// the caller takes, and cuts the response off if it is given up.
  virtual void setResponsePlace(HeldBytes &Place) { static_cast<void>(Place); }

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
  /// now on. A raised idle timeout holds for connections that wait as well.
  /// Called only on the executor's thread if it has a single one.
  void setLimits(const HttpServerLimits &Limits);

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
