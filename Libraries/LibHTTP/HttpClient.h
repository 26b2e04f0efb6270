//===- LibHTTP/HttpClient.h - HTTP client with exact call outcomes --------===//
///
/// \file
/// Sends one request and reports exactly how far the call proceeded. Users of
/// this class need to know whether any byte of the request was written and
/// whether the response is complete.
///
//===----------------------------------------------------------------------===//

#ifndef LIBHTTP_HTTPCLIENT_H
#define LIBHTTP_HTTPCLIENT_H

#include <LibCore/HeldBytes.h>
#include <LibCore/Time.h>
#include <LibHTTP/HttpMessage.h>
#include <LibHTTP/MessageRule.h>
#include <LibHTTP/ResponseOwner.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace carobhinge {

/// Outcome of a call.
enum class HttpCallOutcome {
  /// The complete response was received.
  Complete,
  /// No byte of the request was written, so the endpoint cannot have run it.
  NotWritten,
  /// At least one byte was written, but no complete response was received: the
  /// connection was lost, a timeout expired, the call was cancelled or what
  /// came
  /// is no response. The endpoint may have run the request.
  Incomplete,
};

/// The limit that ended a call as Incomplete.
enum class HttpCallLimit {
  /// None: the peer or the caller ended the call, or it is complete.
  None,
  /// Bytes of heads, size lines and fields after the body.
  HeldBytes,
  /// Bytes of the body that fetch() may collect.
  BodyBytes,
  /// HttpClientOptions::Budget, for all calls of the process together.
  ProcessBytes,
  /// HttpCallOptions::HeadTimeout.
  HeadTime,
  /// HttpCallOptions::ChunkTimeout.
  ChunkTime,
  /// HttpCallOptions::CallTimeout.
  CallTime,
};

/// Returns a name for logs and metrics, such as "held-bytes".
[[nodiscard]] std::string_view httpCallLimitName(HttpCallLimit Limit);

struct HttpCallOptions {
  Duration ConnectTimeout = std::chrono::seconds(1);
  /// From the end of the request to the end of the response head.
  Duration HeadTimeout = std::chrono::seconds(30);
  /// For writing the request, and for each read of the response body.
  Duration ChunkTimeout = std::chrono::seconds(10);
  /// For the whole call, from its start to the end of the response; without it,
  /// perform() has no limit of time for the whole, and fetch() has the sum of
  /// the three limits above.
  std::optional<Duration> CallTimeout = {};
  /// Always opens a new connection. If the peer of a reused connection no
  /// longer responds, it is unknown whether it received the request.
  bool FreshConnection = false;
  /// Called immediately before the first byte is written. Returning false ends
  /// the call as NotWritten.
  std::function<bool()> BeforeWrite = {};
  /// Returns the owner of a response; without it, all belong to this call. A
  /// response to another call is discarded, the next response on the connection
  /// is read instead, and the connection is not reused. One whose owner is
  /// unknown ends the call as Incomplete.
  std::function<ResponseOwner(const HttpResponseHead &,
                              const ResponseContext &)>
      FindOwner = {};
  /// Treats a response without a length as complete if the peer closed the
  /// connection in order. If false, a response without a length never counts as
  /// complete.
  bool CompleteOnClose = false;
};

/// Receives the parts of a response, on the executor of perform()'s caller.
class HttpResponseSink {
public:
  virtual ~HttpResponseSink() = default;
  virtual boost::asio::awaitable<void> head(const HttpResponseHead &Head) = 0;
  virtual boost::asio::awaitable<void> chunk(std::string Data) = 0;
};

/// Cancels a call from any thread. The call then ends as NotWritten or
/// Incomplete, and its connection is closed.
class HttpCallControl {
public:
  HttpCallControl();
  ~HttpCallControl();
  HttpCallControl(const HttpCallControl &) = delete;
  HttpCallControl &operator=(const HttpCallControl &) = delete;

  void cancel();

  /// Returns the limit that ended the call. Read after the call has ended.
  [[nodiscard]] HttpCallLimit limit() const { return this->Limit; }
  /// Returns why what came is no response, if that ended the call. The bytes
  /// are no sign of how the endpoint is. Read after the call has ended.
  [[nodiscard]] const std::optional<MessageFault> &fault() const {
    return this->Fault;
  }
  /// Returns whether the address refused the connection: nothing listens there.
  /// Read after the call has ended.
  [[nodiscard]] bool isConnectionRefused() const {
    return this->ConnectionRefused;
  }

private:
  friend class HttpClient;
  class State;
  HttpCallLimit Limit = HttpCallLimit::None;
  std::optional<MessageFault> Fault = {};
  bool ConnectionRefused = false;
  std::shared_ptr<State> Shared;
};

/// Outcome of a call and the response, or the part of it that was received.
struct HttpFetchResult {
  HttpCallOutcome Outcome = HttpCallOutcome::NotWritten;
  HttpResponseHead Head;
  std::string Body;
  /// The limit that ended the call.
  HttpCallLimit Limit = HttpCallLimit::None;
  /// Why what came is no response, if that ended the call.
  std::optional<MessageFault> Fault = {};
  /// True if the address refused the connection: nothing listens there.
  bool ConnectionRefused = false;
};

struct HttpClientOptions {
  /// The executor runs on a single thread, on which all calls are made, so that
  /// no strands are needed.
  bool SingleThread = false;
  /// An idle connection is not reused after this time, since the peer may have
  /// closed it. A shorter Keep-Alive timeout of the endpoint takes precedence.
  Duration MaxIdleTime = std::chrono::seconds(2);
  /// IP address that connections come from; empty: the system chooses.
  std::string LocalIp = {};
  /// What the process may hold in all, for the bodies that fetch() collects;
  /// null: no limit. It outlives the client. A call that is given up for
  /// others ends as Incomplete.
  SharedByteBudget *Budget = nullptr;
};

class HttpClient {
public:
  explicit HttpClient(boost::asio::any_io_executor Executor,
                      HttpClientOptions Options = {});
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request to \p Address ("IP:PORT") and passes the response to
  /// \p Sink. Network errors are reported by the outcome, not by exceptions; an
  /// exception thrown by the sink closes the connection and is rethrown.
  boost::asio::awaitable<HttpCallOutcome>
  perform(std::string Address, HttpRequest Request, HttpCallOptions Options,
          HttpResponseSink &Sink, HttpCallControl &Control);

  /// Like perform(), but collects the response body in memory. A body longer
  /// than \p MaxBytes ends the call as Incomplete.
  boost::asio::awaitable<HttpFetchResult> fetch(std::string Address,
                                                HttpRequest Request,
                                                HttpCallOptions Options,
                                                std::size_t MaxBytes);

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace carobhinge

#endif // LIBHTTP_HTTPCLIENT_H
