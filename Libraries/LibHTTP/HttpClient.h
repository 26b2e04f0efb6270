//===- LibHTTP/HttpClient.h - Calls to endpoints and operators' hosts -----===//
///
/// \file
/// Performs one call and tells exactly how far it came: a caller of this class
/// must know whether a byte was written, and whether an answer was whole.
///
//===----------------------------------------------------------------------===//

#ifndef LIBHTTP_HTTPCLIENT_H
#define LIBHTTP_HTTPCLIENT_H

#include <LibCore/Time.h>
#include <LibHTTP/HttpMessage.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

namespace carobhinge {

/// How a call ended.
enum class HttpCallEnd {
  /// The answer arrived whole.
  Complete,
  /// No byte of the request was written: the endpoint cannot have run it.
  NotWritten,
  /// At least one byte was written and no whole answer came: connection lost,
  /// silent beyond the timeout, or the call was cancelled.
  BrokenOff,
};

struct HttpCallOptions {
  Duration ConnectTimeout = std::chrono::seconds(1);
  /// From the end of the request to the first byte of the answer.
  Duration HeadTimeout = std::chrono::seconds(30);
  /// Between two reads of the answer's body.
  Duration ChunkTimeout = std::chrono::seconds(10);
  /// Never reuse a connection: one that went silent would make it impossible
  /// to tell whether the request arrived.
  bool FreshConnection = false;
  /// Called just before the first byte is written. Returning false ends the
  /// call as NotWritten.
  std::function<bool()> BeforeWrite = {};
  /// Whether an answer belongs to this call. One that doesn't is dropped, the
  /// next one on the connection is read instead, and the connection isn't
  /// used again.
  std::function<bool(const HttpResponseHead &)> Belongs = {};
  /// An answer without a length is whole if its connection was closed in
  /// order. Otherwise such an answer never counts as whole.
  bool WholeOnClose = false;
};

/// Receives the parts of an answer, on the call's coroutine.
class HttpAnswerSink {
public:
  virtual ~HttpAnswerSink() = default;
  virtual boost::asio::awaitable<void> head(const HttpResponseHead &Head) = 0;
  virtual boost::asio::awaitable<void> chunk(std::string Data) = 0;
};

/// Cancels a call from any thread. The call then ends as NotWritten or
/// BrokenOff, and its connection is closed.
class HttpCallControl {
public:
  HttpCallControl();
  ~HttpCallControl();
  HttpCallControl(const HttpCallControl &) = delete;
  HttpCallControl &operator=(const HttpCallControl &) = delete;

  void cancel();

private:
  friend class HttpClient;
  class State;
  std::shared_ptr<State> Shared;
};

/// A whole answer read into memory.
struct HttpAnswer {
  HttpCallEnd End = HttpCallEnd::NotWritten;
  HttpResponseHead Head;
  std::string Body;
};

struct HttpClientOptions {
  /// The executor runs on one thread, on which all calls are made: no strands
  /// are needed.
  bool SingleThread = false;
  /// An idle connection older than this is not trusted to be alive any more.
  /// A shorter time that the endpoint announced goes before.
  Duration IdleAge = std::chrono::seconds(2);
};

class HttpClient {
public:
  explicit HttpClient(boost::asio::any_io_executor Executor,
                      HttpClientOptions Options = {});
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Performs \p Request at \p Address ("IP:PORT") and hands the answer to
  /// \p Sink. Never throws for what the network does; an exception thrown by
  /// the sink closes the connection and passes through.
  boost::asio::awaitable<HttpCallEnd>
  perform(std::string Address, HttpRequest Request, HttpCallOptions Options,
          HttpAnswerSink &Sink, HttpCallControl &Control);

  /// As perform(), with the answer collected up to \p MostBytes; a longer
  /// answer ends as BrokenOff.
  boost::asio::awaitable<HttpAnswer> fetch(std::string Address,
                                           HttpRequest Request,
                                           HttpCallOptions Options,
                                           std::size_t MostBytes);

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace carobhinge

#endif // LIBHTTP_HTTPCLIENT_H
