//===- LibServe/IdempotentCall.h - Serves idempotent calls ----------------===//
///
/// \file
/// Drives one idempotent request: performs the Router's effects, relays the
/// answer of exactly one attempt, resumes broken streams, and sends one final
/// answer.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_IDEMPOTENTCALL_H
#define LIBSERVE_IDEMPOTENTCALL_H

#include <LibHTTP/HttpServer.h>
#include <LibServe/CallContext.h>
#include <LibServe/EventSplitter.h>
#include <LibServe/ServerComponents.h>

namespace carobhinge {

/// Runs on the exchange's strand until run() returns.
class IdempotentCall {
public:
  IdempotentCall(ServerComponents &Components, HttpExchange &Exchange,
                 CallContext Call);

  boost::asio::awaitable<void> run();

private:
  class AttemptSink;
  struct Attempt {
    HttpCallControl Control;
    bool Cancelled = false;
  };
  void apply(const RoutingEffect &Effect);
  void startAttempt(const Dispatch &DispatchEffect);
  boost::asio::awaitable<void> runAttempt(Dispatch DispatchEffect);
  boost::asio::awaitable<void> finishAnswer();
  boost::asio::awaitable<void> refuse(Problem Refusal);
  boost::asio::awaitable<void> forwardToDomain(Forward To);
  boost::asio::awaitable<void> stopAttempts();
  /// Records that the call is about to keep \p Bytes bytes of the answer.
  /// \returns false if it must not.
  [[nodiscard]] bool holdAnswer(std::size_t Bytes);
  /// The process can't hold the answer: ends the call.
  void giveUpAnswer();
  HttpRequest requestFor(const Dispatch &DispatchEffect) const;
  HttpResponseHead headForCaller(const HttpResponseHead &Head) const;

  ServerComponents &Components;
  HttpExchange &Exchange;
  CallContext Call;
  ServiceRouter &Routing;
  std::shared_ptr<RoutingInbox> Inbox;
  RequestId Id = 0;
  /// The strand that run() runs on.
  boost::asio::any_io_executor Strand;

  std::map<AttemptId, std::unique_ptr<Attempt>> Attempts;
  /// The attempt whose bytes are sent to the caller; zero before the first
  /// byte.
  AttemptId AnsweringAttempt = 0;
  std::string AnsweringTarget;
  /// The process could not hold the answer.
  bool IsGivenUp = false;
  bool StreamStarted = false;
  EventSplitter Events;
  /// Buffers an answer that is not streamed until it is complete.
  HttpResponse BufferedAnswer;
  /// The share of BufferedAnswer, or of an incomplete event, in the budget.
  std::optional<HeldBytes> HeldAnswer;
  bool Complete = false;
  /// An attempt failed after a byte of the request was written.
  bool HasFailedAttempt = false;
  TimePoint LastChunkAt;
  /// Set when the router ends the request.
  std::optional<Refuse> Refused;
  std::optional<Forward> ForwardTo;
  /// Handlers that may run after the end of the call hold it weakly.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace carobhinge

#endif // LIBSERVE_IDEMPOTENTCALL_H
