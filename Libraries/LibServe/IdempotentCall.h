//===- LibServe/IdempotentCall.h - Serves a call that may be repeated -----===//
///
/// \file
/// Drives one idempotent request: carries out what the Router decides, relays
/// the answer of exactly one attempt, resumes broken streams, and ends with one
/// final answer.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_IDEMPOTENTCALL_H
#define LIBSERVE_IDEMPOTENTCALL_H

#include <LibHTTP/HttpServer.h>
#include <LibServe/CallContext.h>
#include <LibServe/EventSplitter.h>
#include <LibServe/ServeParts.h>

namespace carobhinge {

/// Lives on the exchange's strand from run() to its return.
class IdempotentCall {
public:
  IdempotentCall(ServeParts &Parts, HttpExchange &Exchange, CallContext Call);

  boost::asio::awaitable<void> run();

private:
  class AttemptSink;
  struct Attempt {
    HttpCallControl Control;
    bool Cancelled = false;
  };
  void apply(const RoutingEffect &Effect);
  void startAttempt(const Dispatch &Sent);
  boost::asio::awaitable<void> runAttempt(Dispatch Sent);
  boost::asio::awaitable<void> finishAnswer();
  boost::asio::awaitable<void> refuse(Problem Why);
  boost::asio::awaitable<void> handOver(Forward To);
  boost::asio::awaitable<void> stopAttempts();
  HttpRequest requestFor(const Dispatch &Sent) const;
  HttpResponseHead headForCaller(const HttpResponseHead &Head) const;

  ServeParts &Parts;
  HttpExchange &Exchange;
  CallContext Call;
  ServiceRouter &Routing;
  std::shared_ptr<RoutingInbox> Inbox;
  RequestId Id = 0;
  /// The strand that run() is on.
  boost::asio::any_io_executor Home;

  std::map<AttemptId, std::unique_ptr<Attempt>> Attempts;
  /// The attempt whose bytes go to the caller; zero before the first byte.
  AttemptId Answering = 0;
  bool StreamStarted = false;
  EventSplitter Events;
  /// An answer that is not streamed is kept back until it is whole.
  HttpResponse Whole;
  bool Complete = false;
  TimePoint LastChunkAt;
  /// Set by the router's end of the request.
  std::optional<Refuse> Refused;
  std::optional<Forward> HandedTo;
};

} // namespace carobhinge

#endif // LIBSERVE_IDEMPOTENTCALL_H
