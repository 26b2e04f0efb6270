//===- LibEntry/CallerSession.h - One request from a caller ---------------===//
///
/// \file
/// Takes one request from its route to its final answer: checks it, sends it
/// to a place, passes the answer on, repeats or resumes where that is allowed,
/// and refuses at once what can't be served. A refusal with 503 or 429 means
/// that no endpoint has run the request.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_CALLERSESSION_H
#define LIBENTRY_CALLERSESSION_H

#include <LibEntry/EndpointDialect.h>
#include <LibEntry/EntryState.h>
#include <LibEntry/EventRelay.h>
#include <LibHTTP/HttpClient.h>
#include <LibHTTP/HttpServer.h>
#include <LibTelemetry/Metrics.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carobhinge {

/// What all sessions of a process share.
struct SessionContext {
  boost::asio::any_io_executor Executor;
  EntryState &State;
  const EndpointDialect &Dialect;
  HttpClient &Client;
  Metrics &Figures;
  /// Gives up the attempt of a number, to be repeated elsewhere.
  std::map<AttemptNumber, std::function<void()>> Abandon;
};

class CallerSession : public HttpAnswerSink {
public:
  CallerSession(SessionContext &Shared, HttpExchange &Exchange);

  boost::asio::awaitable<void> run();

  boost::asio::awaitable<void> head(const HttpResponseHead &Head) override;
  boost::asio::awaitable<void> chunk(std::string Data) override;

private:
  /// Why the session goes no further with an attempt.
  enum class Verdict { Finished, TryAgain, GiveUp };

  /// \returns whether the request may be served; if not, it was refused.
  boost::asio::awaitable<bool> admit();
  boost::asio::awaitable<void> serve();
  boost::asio::awaitable<Verdict> attempt(const Place &Where);
  boost::asio::awaitable<Verdict> judge(HttpCallEnd End);
  boost::asio::awaitable<Verdict> finishStream();
  boost::asio::awaitable<void> refuse(unsigned Status, std::string_view Reason,
                                      std::optional<Duration> RetryAfter);
  boost::asio::awaitable<void> giveUp(std::string_view Reason);
  /// Whether another attempt is allowed by rule, time and budget.
  bool mayRepeat();
  void callerGone();
  void expire();
  [[nodiscard]] Duration left() const {
    return this->Deadline - monotonicNow();
  }
  void note(std::string_view Outcome, std::string_view Reason);
  void noteAttempt(AttemptEnd How);
  void observeEvent();

  SessionContext &Shared;
  HttpExchange &Exchange;
  CallHead Call;
  std::shared_ptr<const RouteTable> Routes;
  const Route *Rule = nullptr;
  const Workspace *Holder = nullptr;
  ServiceName Target;
  TimePoint ArrivedAt;
  TimePoint Deadline;
  EventRelay Events;

  /// Of the attempt in progress.
  HttpCallControl *Control = nullptr;
  AttemptNumber Number = 0;
  AnswerHead Answer;
  HttpResponseHead AnswerHeadFields;
  std::string Body;
  bool HasHead = false;
  bool Streaming = false;
  bool Abandoned = false;

  std::optional<TimePoint> LastEventAt;
  /// Whether the caller's stream was started.
  bool Started = false;
  /// An attempt that an endpoint may have run.
  bool MayHaveRun = false;
  /// Endpoints that may have run it, that received it, that were tried.
  int Runs = 0;
  int Sent = 0;
  int Attempts = 0;
  /// Set by the deadline's timer.
  bool Expired = false;
  std::vector<PlaceName> Tried;
  EndpointName LastEndpoint;
};

} // namespace carobhinge

#endif // LIBENTRY_CALLERSESSION_H
