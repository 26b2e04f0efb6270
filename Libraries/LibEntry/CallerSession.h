//===- LibEntry/CallerSession.h - One request from a caller ---------------===//
///
/// \file
/// Handles one request from its route to its final answer: authorizes it,
/// sends it to a dispatch target, passes the answer on, retries or resumes
/// where that is allowed, and refuses at once what can't be served. A refusal
/// with 503 or 429 means that no endpoint has run the request.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_CALLERSESSION_H
#define LIBENTRY_CALLERSESSION_H

#include <LibEntry/Admission.h>
#include <LibEntry/EndpointProtocol.h>
#include <LibEntry/EntryState.h>
#include <LibEntry/EventRelay.h>
#include <LibEntry/StandbyAttempt.h>
#include <LibEntry/StandbyRace.h>
#include <LibHTTP/HttpClient.h>
#include <LibHTTP/HttpServer.h>
#include <LibRouting/StreamAnswer.h>
#include <LibTelemetry/LimitReports.h>
#include <LibTelemetry/Metrics.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carobhinge {

class CallerSession;

/// State that all sessions of a process share.
struct SessionContext {
  boost::asio::any_io_executor Executor;
  EntryState &State;
  const EndpointProtocol &Protocol;
  HttpClient &Client;
  Metrics &ProcessMetrics;
  SharedByteBudget &Budget;
  LimitLog &Limits;
  /// By attempt that may get a standby: starts one if it needs one. The
  /// argument tells whether the control hosts call its target stalled.
  std::map<AttemptNumber, std::function<void(bool IsStalled)>> StandbyCallbacks;
  /// Sessions that were admitted and have not ended.
  std::set<CallerSession *> ActiveSessions;
};

class CallerSession : public HttpResponseSink {
public:
  /// \p IsForwarded: another entry host hands the request on.
  CallerSession(SessionContext &Context, HttpExchange &Exchange,
                bool IsForwarded = false);

  boost::asio::awaitable<void> run();
  /// Ends the request as its deadline does. Called on the executor's thread.
  void endInTime() { this->handleDeadline(); }

  boost::asio::awaitable<void> head(const HttpResponseHead &Head) override;
  boost::asio::awaitable<void> chunk(std::string Data) override;

private:
  /// Next step of the session after an attempt has ended.
  enum class NextStep { Finished, Retry, GiveUp };

  /// \returns whether the request may be served; if not, it was refused.
  boost::asio::awaitable<bool> admit();
  /// Finds the route and the workspace of the request.
  [[nodiscard]] AdmissionFacts findAdmissionFacts();
  /// Only of a request whose route is known.
  [[nodiscard]] ExpectedWork expectedWork() const;
  [[nodiscard]] std::uint64_t catalogVersion() const {
    return this->Routes ? this->Routes->catalog().Version : 0;
  }
  /// Tells the host that handed the request on by which catalog this one has
  /// decided.
  void addCatalogVersion(HttpHeaders &Fields) const;
  boost::asio::awaitable<void> serve();
  boost::asio::awaitable<NextStep> runAttempt(const DispatchTarget &Target);
  /// Ends the attempt whose call has ended, with nothing if the caller is gone.
  boost::asio::awaitable<NextStep> endCall(std::optional<HttpCallOutcome> End);
  boost::asio::awaitable<NextStep> finishAttempt(HttpCallOutcome End);
  boost::asio::awaitable<NextStep> finishStream();
  /// Whether the caller's answer may end as complete with this one.
  [[nodiscard]] bool completesAnswer(bool IsComplete) const;
  /// Whether this host reaches engines of the target service.
  [[nodiscard]] EngineContact &contact();
  /// Returns whether this host should not send the request to an engine,
  /// because it reaches none.
  [[nodiscard]] bool isOutOfReach();
  /// Returns the entry host that should get the request instead. One that was
  /// handed on already stays here.
  [[nodiscard]] std::optional<EntryPeer> choosePeer();
  /// Returns whether the request may be sent to another entry host after the
  /// attempt that begins, and there is one.
  [[nodiscard]] bool canHandOn() const;
  /// Returns whether one more engine may run the request once \p Runs engines
  /// may have run it.
  [[nodiscard]] bool isRepeatable(int Runs) const;
  boost::asio::awaitable<NextStep> forward(const EntryPeer &Peer);
  boost::asio::awaitable<NextStep> finishForward(HttpCallOutcome End);
  /// Performs \p Request with this session as the sink. Returns nothing if the
  /// caller is gone.
  boost::asio::awaitable<std::optional<HttpCallOutcome>>
  perform(std::string Address, HttpRequest Request, HttpCallControl &Control);
  /// Takes note of limits that the call, which has ended, has reached, and of
  /// bytes that are no answer.
  void recordCallFaults(std::optional<HttpCallOutcome> End,
                        const HttpCallControl &Control);
  void resetAnswer();
  /// Counts the request for the retry budget, unless its peer does.
  void countRequest();
  boost::asio::awaitable<void> refuse(unsigned Status, std::string_view Reason,
                                      std::optional<Duration> RetryAfter);
  /// Refuses the prompt for good: engines crash on \p Parts.
  boost::asio::awaitable<void> refusePrompt(const PromptParts &Parts);
  [[nodiscard]] PromptPart fingerprint() const;
  /// Returns the parts for which the prompt must not be sent to an engine now;
  /// empty if it may.
  [[nodiscard]] PromptParts findRefusedParts();
  /// Returns whether the prompt must wait for a permit.
  [[nodiscard]] bool isHeldBack();
  /// Returns whether a permit for \p Parts lets this request run. Uses it up.
  [[nodiscard]] bool isTrial(const PromptParts &Parts);
  void rejectAnswer();
  /// Rejects the answer, which has reached \p Limit.
  void rejectAnswer(std::string_view Limit);
  /// Records that the session is about to keep \p Bytes bytes of the answer.
  /// \returns false if it must not.
  [[nodiscard]] bool holdAnswer(std::size_t Bytes);
  /// The process can't hold the answer: ends the attempt.
  void giveUpAnswer();
  /// Takes note of a pause that the answer asks for, and of an endpoint that
  /// leaves.
  void recordHoldOffs(unsigned Status);
  /// The head of the newest answer as the caller, or the host that handed the
  /// request on, gets it.
  [[nodiscard]] HttpResponseHead headForCaller() const;
  void recordAcquittal();
  /// Ends the newest attempt at the dispatcher and the crash detector.
  void endAttempt(DispatchResult Result, ConnectionEnd End);
  boost::asio::awaitable<void>
  endWithoutAnswer(std::string_view Reason,
                   RefusalCause Cause = RefusalCause::NoCapacity,
                   std::optional<TimePoint> PausedUntil = std::nullopt);
  /// \returns when a caller that is refused for \p Cause should come back.
  [[nodiscard]] Duration
  returnTime(RefusalCause Cause,
             std::optional<TimePoint> PausedUntil = std::nullopt) const;
  /// \returns whether a request without a place for its repeat waits for one.
  /// One that has not run is refused at once.
  [[nodiscard]] bool canAwaitPlace() const;
  /// \returns whether the route and the retry budget allow another attempt.
  /// Takes one retry from the budget if so.
  bool canRetry();
  /// Starts a standby beside the attempt in progress if that has been silent
  /// too long, or its target is stalled, and all that it takes is granted.
  void startStandbyIfNeeded(bool IsStalled);
  void startStandby(const DispatchTarget &Target, Duration Silence);
  /// The standby has an event. \returns whether this session follows it; the
  /// attempt in progress is given up then.
  bool acceptStandby();
  /// Goes on with the standby alone.
  boost::asio::awaitable<NextStep> followStandby();
  void logStandby(const DispatchTarget &Target, std::string_view Event,
                  Duration Silence) const;
  /// An attempt of which nothing was passed on, and which no call here ended.
  void recordStandbyEnd(bool MayHaveRun);
  /// Ends the standby, if there is one, since the answer comes from elsewhere
  /// or is no longer wanted.
  void dropStandby();
  /// The state of a new attempt, which is in progress at the dispatcher.
  void beginAttempt(const DispatchTarget &Target, AttemptNumber Number);
  /// Begins an attempt at the dispatcher and the crash detector.
  [[nodiscard]] AttemptNumber registerAttempt(const DispatchTarget &Target);
  [[nodiscard]] HttpRequest makeEndpointRequest(const DispatchTarget &Target);
  [[nodiscard]] HttpCallOptions makeCallOptions() const;
  /// Ends the attempt in progress, which says nothing about its endpoint.
  void cancelCall();
  void handleCallerDisconnect();
  void handleDeadline();
  [[nodiscard]] Duration remainingTime() const {
    return this->Deadline - monotonicNow();
  }
  void recordOutcome(std::string_view Outcome, std::string_view Reason);
  void logAttempt(DispatchResult Result);
  void recordEventTiming();

  SessionContext &Context;
  HttpExchange &Exchange;
  const bool IsForwarded;
  RequestMetadata CallerRequest;
  std::shared_ptr<const RouteTable> Routes;
  const Route *MatchedRoute = nullptr;
  /// Null until the key was checked, and on routes that need no key.
  const Workspace *CallerWorkspace = nullptr;
  ServiceName TargetService;
  /// The shared parts of the prompt, and last the fingerprint of the request.
  PromptParts Suspects;
  TimePoint ArrivedAt;
  TimePoint Deadline;
  EventRelay Relay;

  /// Null while no attempt is in progress.
  HttpCallControl *CallControl = nullptr;
  /// The attempt in progress, if it began as a standby and may end by itself;
  /// otherwise null.
  StandbyAttempt *FollowedAttempt = nullptr;
  /// Null while no attempt runs beside the first one.
  std::shared_ptr<StandbyAttempt> Standby;
  StandbyRace Race;
  /// State of the attempt whose answer is passed on.
  AttemptNumber CurrentAttempt = 0;
  DispatchTargetName CurrentTarget;
  ResponseMetadata AnswerMetadata;
  HttpResponseHead AnswerHttpHead;
  std::string AnswerBody;
  /// The share of AnswerBody, or of an incomplete event, in the budget.
  std::optional<HeldBytes> HeldAnswer;
  bool HasAnswerHead = false;
  AnswerUse Use = AnswerUse::Whole;
  /// The standby delivered first: nothing more of this answer is passed on.
  bool IsSuperseded = false;
  /// An event or a part of the body arrived.
  bool HasContent = false;
  /// The endpoint asked for a pause, in this answer or before the request was
  /// written.
  bool IsPaused = false;
  /// The endpoint sent bytes that are no answer; the rest isn't read.
  bool IsUnusable = false;
  /// They break HTTP itself. Implies IsUnusable.
  bool HasBrokenAnswer = false;
  /// The process could not hold the answer.
  bool IsGivenUp = false;

  std::optional<TimePoint> LastEventAt;
  /// The caller takes events; its engine is not read meanwhile.
  bool IsWritingEvents = false;
  /// True if the head of a streamed answer was sent to the caller.
  bool StreamStarted = false;
  /// True if an endpoint may have run the request.
  bool MayHaveRun = false;
  /// Attempts that an endpoint may have run, also before the request was handed
  /// on to this host; attempts that were sent from here, and all from here.
  int PossibleRuns;
  int SentAttempts = 0;
  int AttemptCount = 0;
  /// Attempts in a row that could not be written to an engine.
  int UnreachableAttempts = 0;
  bool IsCounted = false;
  /// The request finds out whether engines can be reached again.
  bool IsProbe = false;
  bool HasProbed = false;
  /// Entry hosts that the request was handed on to.
  std::vector<HostName> TriedPeers;
  /// Set by the deadline's timer.
  bool DeadlinePassed = false;
  std::vector<DispatchTargetName> TriedTargets;
  /// Parts for which this request has used a permit.
  PromptParts TriedParts;
  EndpointName LastEndpoint;
  /// Handlers that may run after the end of the session hold it weakly.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace carobhinge

#endif // LIBENTRY_CALLERSESSION_H
