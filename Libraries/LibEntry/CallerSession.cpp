//===- LibEntry/CallerSession.cpp - One request from a caller -------------===//

#include <LibEntry/CallerSession.h>

#include <LibCore/StringStorage.h>
#include <LibEntry/AnswerHoldOff.h>
#include <LibEntry/StallRule.h>
#include <LibRouting/RequestFingerprint.h>
#include <LibTelemetry/Log.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>

namespace asio = boost::asio;

namespace carobhinge {

/// An answer that isn't a stream is buffered until it is complete, so that one
/// that broke off never looks complete to the caller. A longer answer is
/// rejected.
static constexpr std::size_t MaxBufferedBytes = std::size_t(4) * 1024 * 1024;
/// A reachable endpoint accepts a connection within a few milliseconds.
static constexpr auto ConnectTimeout = std::chrono::milliseconds(400);
static constexpr auto ProbeConnectTimeout = std::chrono::milliseconds(100);
/// A probe that gets no answer by its time objective, and by this time, is
/// handed on to an entry host that reaches engines, if there is one.
static constexpr auto ProbeHeadTimeout = std::chrono::milliseconds(500);
/// No attempt is started with less time left: no endpoint could answer.
static constexpr auto MinAttemptTime = std::chrono::milliseconds(20);
/// Between two looks for a place of a request that waits for its repeat.
static constexpr auto PlaceCheckInterval = std::chrono::milliseconds(50);
/// Attempts of one request, including those that no endpoint has run.
static constexpr int MaxAttempts = 4;
/// Attempts that could not be written, after which the request is handed on.
static constexpr int MaxUnreachableAttempts = 2;
/// Entry hosts that are tried; only the last one can have received the request.
static constexpr std::size_t MaxPeers = 2;

static constexpr std::string_view PromptRefusedReason =
    "engines crash on this prompt";
static constexpr std::string_view RequestRefusedReason =
    "engines crash on this request";
static constexpr std::string_view NoMemoryReason =
    "the host holds too many requests and answers";
static constexpr std::string_view NoPositionReason =
    "no id tells where the stream goes on";
static constexpr std::string_view HeldBackReason =
    "an engine crashed on such a request, which is being judged";

/// \returns whether callers take the status for the promise that a request has
/// not run and never will.
static bool promisesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// \returns a uniform random number in [0, 1).
static double randomFraction() {
  static thread_local std::mt19937_64 Random{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

CallerSession::CallerSession(SessionContext &Context, HttpExchange &Exchange,
                             bool IsForwarded)
    : Context(Context), Exchange(Exchange), IsForwarded(IsForwarded),
      CallerRequest(Context.Protocol.readCall(Exchange.request())),
      Routes(Context.State.Routes), ArrivedAt(monotonicNow()),
      Relay(this->CallerRequest.ResumeAfter),
      PossibleRuns(IsForwarded ? this->CallerRequest.PossibleRuns : 0) {}

asio::awaitable<void> CallerSession::run() {
  if (!co_await this->admit())
    co_return;
  asio::steady_timer Timer(this->Context.Executor);
  Timer.expires_after(this->remainingTime());
  // The timer's handler may already be queued when the session ends, and can't
  // be cancelled then. The weak pointer keeps it from using the session.
  Timer.async_wait([this, WeakAlive = std::weak_ptr<bool>(this->Alive)](
                       const boost::system::error_code &Error) {
    if (!Error && !WeakAlive.expired())
      this->handleDeadline();
  });
  this->Exchange.onCallerDisconnected(
      [this] { this->handleCallerDisconnect(); });
  // The writes of the answer throw if the caller is gone.
  struct ActiveGuard {
    SessionContext &Context;
    CallerSession *Session;
    ~ActiveGuard() {
      this->Context.ActiveSessions.erase(this->Session);
      this->Session->dropStandby();
    }
  };
  this->Context.ActiveSessions.insert(this);
  ActiveGuard Guard{this->Context, this};
  co_await this->serve();
  this->Exchange.onCallerDisconnected(nullptr);
}

void CallerSession::cancelCall() {
  if (this->FollowedAttempt != nullptr)
    this->FollowedAttempt->cancel();
  else if (this->CallControl != nullptr)
    this->CallControl->cancel();
}

void CallerSession::handleCallerDisconnect() {
  this->dropStandby();
  this->cancelCall();
}

void CallerSession::handleDeadline() {
  this->DeadlinePassed = true;
  this->dropStandby();
  this->cancelCall();
}

void CallerSession::recordOutcome(std::string_view Outcome,
                                  std::string_view Reason) {
  std::string RouteLabel =
      this->MatchedRoute != nullptr ? this->MatchedRoute->Name : "none";
  WorkspaceName WorkspaceLabel =
      this->CallerWorkspace != nullptr ? this->CallerWorkspace->Name : "none";
  TrafficClass Traffic{.Workspace = WorkspaceLabel, .Class = RouteLabel};
  this->Context.ProcessMetrics.countOutcome(Traffic, Outcome, Reason);
  this->Context.ProcessMetrics.observe(Traffic, RequestTiming::Total,
                                       monotonicNow() - this->ArrivedAt);
  auto Load = this->Context.State.RequestDispatcher.modelLoad(
      this->TargetService, this->CallerRequest.Model);
  std::optional<Duration> Age = this->Context.State.Lease.age(monotonicNow());
  bool IsAnswered = Outcome == "answered";
  // What lasts longer than its caller waits tells the same as a long answer.
  if (IsAnswered || this->DeadlinePassed)
    this->Context.State.Stop.recordEnd(this->expectedWork(),
                                       monotonicNow() - this->ArrivedAt);
  logEvent(
      IsAnswered ? Severity::Info : Severity::Warning, "request",
      {{"request", this->CallerRequest.AttemptId},
       {"route", RouteLabel},
       {"workspace", WorkspaceLabel},
       {"outcome", Outcome},
       {"reason", Reason},
       {"endpoint", this->LastEndpoint},
       {"attempts", this->AttemptCount},
       {"model", this->CallerRequest.Model},
       {"prompt_parts", formatPromptParts(this->Suspects)},
       {"in_flight", Load.InFlight},
       {"slots", Load.Slots},
       {"catalog_version", static_cast<std::int64_t>(this->catalogVersion())},
       {"confirmation_age_ms", Age ? milliseconds(*Age) : -1},
       {"took_ms", milliseconds(monotonicNow() - this->ArrivedAt)}});
}

asio::awaitable<void>
CallerSession::refuse(unsigned Status, std::string_view Reason,
                      std::optional<Duration> RetryAfter) {
  this->recordOutcome("refused", Reason);
  HttpResponse Refusal = this->Context.Protocol.makeRefusal(
      Status, Reason, this->CallerRequest.AttemptId, RetryAfter);
  this->addCatalogVersion(Refusal.Headers);
  co_await this->Exchange.respond(std::move(Refusal));
}

void CallerSession::addCatalogVersion(HttpHeaders &Fields) const {
  if (this->IsForwarded)
    this->Context.Protocol.addCatalogVersion(Fields, this->catalogVersion());
}

asio::awaitable<void> CallerSession::refusePrompt(const PromptParts &Parts) {
  // The status says that the request itself is at fault, so that callers do not
  // come back with it.
  bool IsRequest = std::ranges::any_of(Parts, isFingerprint);
  std::string_view Reason =
      IsRequest ? RequestRefusedReason : PromptRefusedReason;
  this->recordOutcome("refused", Reason);
  std::string Detail =
      IsRequest ? ", which may have run each time: request " : ": prompt part ";
  HttpResponse Refusal = this->Context.Protocol.makeRefusal(
      400, std::string(Reason) + Detail + formatPromptParts(Parts),
      this->CallerRequest.AttemptId, std::nullopt);
  co_await this->Exchange.respond(std::move(Refusal));
}

PromptPart CallerSession::fingerprint() const {
  const HttpRequest &Request = this->Exchange.request();
  RequestIdentity Identity{.Workspace = this->CallerWorkspace != nullptr
                                            ? this->CallerWorkspace->Name
                                            : std::string_view(),
                           .Method = Request.Method,
                           .Host = this->CallerRequest.Host,
                           .Target = Request.Target,
                           .Body = Request.Body,
                           .RunsOnce = !this->MatchedRoute->isSafeToRetry()};
  return carobhinge::fingerprint(Identity);
}

PromptParts CallerSession::findRefusedParts() {
  PromptParts Parts = this->Context.State.Guard.findRefusal(this->Suspects);
  return this->isTrial(Parts) ? PromptParts() : Parts;
}

bool CallerSession::isHeldBack() {
  PromptParts Parts = this->Context.State.Guard.findHold(this->Suspects);
  return !Parts.empty() && !this->isTrial(Parts);
}

bool CallerSession::isTrial(const PromptParts &Parts) {
  // What must not repeat isn't run again to find out.
  if (Parts.empty() || this->MayHaveRun || runsOnce(this->Suspects.back()))
    return false;
  if (this->TriedParts != Parts) {
    if (!this->Context.State.Guard.tryUseTrial(monotonicNow(), Parts))
      return false;
    logEvent(Severity::Warning, "prompt-tried",
             {{"request", this->CallerRequest.AttemptId},
              {"prompt_parts", formatPromptParts(Parts)}});
  }
  this->TriedParts = Parts;
  return true;
}

ExpectedWork CallerSession::expectedWork() const {
  return {.Route = this->MatchedRoute->Name,
          .AnswerTokens = this->CallerRequest.AnswerTokens,
          .TimeBudget = this->Deadline - this->ArrivedAt,
          .IsRepeatable = this->MatchedRoute->isSafeToRetry()};
}

AdmissionFacts CallerSession::findAdmissionFacts() {
  const EntryState &State = this->Context.State;
  AdmissionFacts Facts{.CatalogVersion = {},
                       .RequiredVersion = State.SeenCatalog.requiredVersion(
                           this->ArrivedAt, State.Lease.age(this->ArrivedAt)),
                       .IsStateConfirmed = State.Lease.isValid(this->ArrivedAt),
                       .IsConfirmationFresh =
                           State.Lease.isFresh(this->ArrivedAt)};
  if (this->IsForwarded)
    Facts.RequiredVersion =
        std::max(Facts.RequiredVersion, this->CallerRequest.AdmittedVersion);
  if (!this->Routes)
    return Facts;
  Facts.CatalogVersion = this->catalogVersion();
  this->MatchedRoute = this->Routes->find(this->CallerRequest.Host,
                                          this->Exchange.request().path());
  Facts.HasRoute = this->MatchedRoute != nullptr;
  Facts.RequiresKey = this->Routes->requiresKeys() && Facts.HasRoute &&
                      !this->MatchedRoute->Public;
  if (Facts.RequiresKey)
    this->CallerWorkspace =
        this->Routes->findWorkspace(this->CallerRequest.Key);
  Facts.HasKnownKey = this->CallerWorkspace != nullptr;
  return Facts;
}

asio::awaitable<bool> CallerSession::admit() {
  AdmissionFacts Facts = this->findAdmissionFacts();
  switch (decideAdmission(Facts)) {
  case Admission::Admitted:
    break;
  case Admission::NoCatalog:
    co_await this->refuse(503, "no catalog is known yet",
                          this->returnTime(RefusalCause::NoState));
    co_return false;
  case Admission::CatalogOutdated:
    co_await this->refuse(503, "the catalog is out of date",
                          this->returnTime(RefusalCause::StateUnconfirmed));
    co_return false;
  case Admission::StateUnconfirmed:
    co_await this->refuse(503,
                          Facts.HasRoute ? "keys are not confirmed"
                                         : "no route, not confirmed",
                          this->returnTime(RefusalCause::StateUnconfirmed));
    co_return false;
  case Admission::UnknownRoute:
    co_await this->refuse(404, "no route", std::nullopt);
    co_return false;
  case Admission::UnknownKey:
    co_await this->refuse(401, "unknown key", std::nullopt);
    co_return false;
  }
  if (!this->Context.Budget.mayAdmitRequest(0)) {
    this->Context.Limits.record("process-bytes", this->Exchange.callerIp());
    co_await this->refuse(503, NoMemoryReason,
                          this->returnTime(RefusalCause::NoCapacity));
    co_return false;
  }
  this->TargetService =
      RouteTable::chooseService(*this->MatchedRoute, randomFraction());
  this->Suspects = this->CallerRequest.SharedParts;
  this->Suspects.push_back(this->fingerprint());
  Duration TimeBudget = this->MatchedRoute->Timeout;
  if (this->CallerRequest.TimeBudget)
    TimeBudget = std::min(TimeBudget, *this->CallerRequest.TimeBudget);
  this->Deadline = this->ArrivedAt + TimeBudget;
  const StopAdmission &Stop = this->Context.State.Stop;
  if (!Stop.mayAdmit(this->ArrivedAt, this->expectedWork())) {
    co_await this->refuse(503, "the host stops",
                          this->returnTime(RefusalCause::StateUnconfirmed));
    co_return false;
  }
  this->Deadline =
      std::min(this->Deadline, Stop.deadline().value_or(this->Deadline));
  co_return true;
}

asio::awaitable<void> CallerSession::serve() {
  NextStep Next = NextStep::Retry;
  while (Next == NextStep::Retry) {
    if (this->Exchange.callerDisconnected())
      co_return this->recordOutcome("dropped", "caller gone");
    if (this->DeadlinePassed || this->remainingTime() < MinAttemptTime)
      co_return co_await this->endWithoutAnswer("out of time");
    if (this->Standby) {
      Next = co_await this->followStandby();
      continue;
    }
    if (!this->Relay.canContinue())
      co_return co_await this->endWithoutAnswer(NoPositionReason);
    if (this->AttemptCount >= MaxAttempts)
      co_return co_await this->endWithoutAnswer("too many attempts");
    if (PromptParts Parts = this->findRefusedParts(); !Parts.empty()) {
      if (this->MayHaveRun || this->StreamStarted)
        co_return co_await this->endWithoutAnswer(PromptRefusedReason);
      co_return co_await this->refusePrompt(Parts);
    }
    if (this->isHeldBack())
      co_return co_await this->endWithoutAnswer(HeldBackReason,
                                                RefusalCause::CrashJudged);
    if (this->isOutOfReach()) {
      if (std::optional<EntryPeer> Peer = this->choosePeer()) {
        Next = co_await this->forward(*Peer);
        continue;
      }
      // The host that handed the request on tries another peer. Without one,
      // engines may be slow for everybody.
      if (this->IsForwarded && this->AttemptCount == 0)
        co_return co_await this->endWithoutAnswer(
            "no engine can be reached", RefusalCause::StateUnconfirmed);
    }
    this->countRequest();
    DispatchRequest Wanted{.Service = this->TargetService,
                           .Model = this->CallerRequest.Model,
                           .Objective = this->MatchedRoute->Objective,
                           .ExcludedTargets = this->TriedTargets,
                           .AllowFull = this->MayHaveRun};
    DispatchChoice Choice = this->Context.State.RequestDispatcher.chooseTarget(
        monotonicNow(), Wanted);
    if (this->AttemptCount == 0 &&
        (Choice.Target || Choice.AllFull || Choice.PausedUntil))
      this->Context.State.recordArrival(monotonicNow(), this->TargetService,
                                        this->CallerRequest.Model,
                                        !Choice.Target);
    if (!Choice.Target && this->canAwaitPlace()) {
      Signal Pause(this->Context.Executor);
      co_await Pause.wait(PlaceCheckInterval);
      continue;
    }
    if (!Choice.Target && Choice.AllFull)
      co_return co_await this->endWithoutAnswer("all places are full");
    if (!Choice.Target && Choice.PausedUntil)
      co_return co_await this->endWithoutAnswer("all places asked for a pause",
                                                RefusalCause::EndpointsPaused,
                                                Choice.PausedUntil);
    if (!Choice.Target)
      co_return co_await this->endWithoutAnswer("no place",
                                                RefusalCause::NoTarget);
    if (this->AttemptCount > 0 && !this->canRetry())
      co_return co_await this->endWithoutAnswer("repeat not allowed");
    ++this->AttemptCount;
    Next = co_await this->runAttempt(*Choice.Target);
    // An end of the first attempt leaves the request to its standby.
    if (Next == NextStep::GiveUp && this->Standby)
      Next = NextStep::Retry;
  }
  if (Next == NextStep::GiveUp)
    co_await this->endWithoutAnswer(this->DeadlinePassed ? "out of time"
                                    : this->IsGivenUp    ? NoMemoryReason
                                                         : "attempt failed");
}

bool CallerSession::canAwaitPlace() const {
  return this->MayHaveRun && this->MatchedRoute->isSafeToRetry() &&
         this->PossibleRuns<this->MatchedRoute->EndpointsPerRequest &&this
                                ->remainingTime()> this->MatchedRoute
             ->Objective;
}

EngineContact &CallerSession::contact() {
  return this->Context.State.Contacts[this->TargetService];
}

bool CallerSession::isOutOfReach() {
  EngineContact &Contact = this->contact();
  if (this->AttemptCount == 0 && this->TriedPeers.empty())
    this->IsProbe = Contact.shouldProbe(
        monotonicNow(), this->isRepeatable(this->PossibleRuns + 1));
  this->HasProbed = this->HasProbed || this->IsProbe;
  bool IsProbing = this->IsProbe && this->AttemptCount == 0;
  return (Contact.isCutOff() && !IsProbing) ||
         this->UnreachableAttempts >= MaxUnreachableAttempts;
}

std::optional<EntryPeer> CallerSession::choosePeer() {
  if (this->IsForwarded || this->TriedPeers.size() >= MaxPeers)
    return std::nullopt;
  std::optional<EntryPeer> Peer =
      this->Context.State.Peers.choose(this->TriedPeers);
  bool MayTry = Peer && (this->AttemptCount == 0 || this->canRetry());
  return MayTry ? Peer : std::nullopt;
}

bool CallerSession::canHandOn() const {
  return !this->IsForwarded && this->isRepeatable(this->PossibleRuns + 1) &&
         this->Context.State.Peers.choose(this->TriedPeers);
}

bool CallerSession::isRepeatable(int Runs) const {
  return this->MatchedRoute->isSafeToRetry() &&
         Runs < this->MatchedRoute->EndpointsPerRequest &&
         this->Context.State.Guard.mayRetry(this->Suspects);
}

void CallerSession::countRequest() {
  if (!std::exchange(this->IsCounted, true))
    this->Context.State.retryBudget(this->TargetService)
        .recordRequest(this->ArrivedAt);
}

Duration CallerSession::returnTime(RefusalCause Cause,
                                   std::optional<TimePoint> PausedUntil) const {
  TimePoint Now = monotonicNow();
  Duration PauseLeft = PausedUntil ? *PausedUntil - Now : Duration::zero();
  Duration Objective = this->MatchedRoute != nullptr
                           ? this->MatchedRoute->Objective
                           : Duration::zero();
  return this->Context.State
      .returnTime(this->TargetService, this->CallerRequest.Model)
      .estimate(Now, Cause, Objective, this->remainingTime(), randomFraction(),
                PauseLeft);
}

void CallerSession::startStandbyIfNeeded(bool IsStalled) {
  if (this->CallControl == nullptr || this->IsWritingEvents ||
      !this->Race.canStart() || this->AttemptCount >= MaxAttempts)
    return;
  EntryState &State = this->Context.State;
  TimePoint Now = monotonicNow();
  StandbyFacts Facts{
      .Silence = State.RequestDispatcher.silence(Now, this->CurrentAttempt),
      .IsStalled = IsStalled,
      .IsResumable = this->MatchedRoute->Resumable && this->Relay.canContinue(),
      .PossibleRuns = this->PossibleRuns + 1,
      .EndpointsPerRequest = this->MatchedRoute->EndpointsPerRequest,
      .RemainingTime = this->remainingTime(),
      .Objective = this->MatchedRoute->Objective,
      .PauseObjective = this->MatchedRoute->PauseObjective};
  // Every stream asks all the time, and few get as far as the prompt.
  if (!shouldStartStandby(Facts))
    return;
  Facts.IsPromptSound = State.Guard.mayRetry(this->Suspects) &&
                        State.Guard.findRefusal(this->Suspects).empty() &&
                        State.Guard.findHold(this->Suspects).empty();
  RetryBudget &Budget = State.retryBudget(this->TargetService);
  if (!shouldStartStandby(Facts) ||
      !Budget.isAvailable(Now, State.EntryHostCount))
    return;
  DispatchRequest Wanted{.Service = this->TargetService,
                         .Model = this->CallerRequest.Model,
                         .Objective = this->MatchedRoute->Objective,
                         .ExcludedTargets = this->TriedTargets,
                         .OnlyTrusted = true};
  DispatchChoice Choice = State.RequestDispatcher.chooseTarget(Now, Wanted);
  if (Choice.Target && Budget.tryAcquire(Now, State.EntryHostCount))
    this->startStandby(*Choice.Target, Facts.Silence);
}

void CallerSession::startStandby(const DispatchTarget &Target,
                                 Duration Silence) {
  this->Race.start();
  ++this->AttemptCount;
  this->TriedTargets.push_back(Target.Name);
  this->Context.ProcessMetrics.countEvent("standbys_started");
  this->logStandby(Target, "started", Silence);
  this->Standby = std::make_shared<StandbyAttempt>(
      this->Context,
      StandbyOptions{.Number = this->registerAttempt(Target),
                     .Target = Target,
                     .Request = this->makeEndpointRequest(Target),
                     .RequestId = this->CallerRequest.AttemptId,
                     .Preview = this->Relay.forContinuation(),
                     .Call = this->makeCallOptions(),
                     .MayDeliver = [this] { return this->acceptStandby(); },
                     .OnEnd =
                         [this] {
                           this->recordStandbyEnd(this->Standby->mayHaveRun());
                           this->Race.endStandby();
                           this->Standby.reset();
                         }});
  this->Standby->start();
}

bool CallerSession::acceptStandby() {
  if (!this->Race.deliver(StandbyRace::Runner::Standby))
    return false;
  this->IsSuperseded = true;
  this->cancelCall();
  return true;
}

void CallerSession::logStandby(const DispatchTarget &Target,
                               std::string_view Event, Duration Silence) const {
  logEvent(Severity::Info, "standby",
           {{"request", this->CallerRequest.AttemptId},
            {"endpoint", Target.Endpoint},
            {"place", Target.Name},
            {"end", Event},
            {"silent_ms", milliseconds(Silence)}});
}

void CallerSession::recordStandbyEnd(bool MayHaveRun) {
  if (MayHaveRun)
    ++this->PossibleRuns;
  this->MayHaveRun = this->MayHaveRun || MayHaveRun;
}

void CallerSession::dropStandby() {
  if (!this->Standby)
    return;
  this->Standby->release();
  this->recordStandbyEnd(/*MayHaveRun=*/true);
  this->Race.endStandby();
  this->Standby.reset();
}

asio::awaitable<CallerSession::NextStep> CallerSession::followStandby() {
  std::shared_ptr<StandbyAttempt> Followed = std::move(this->Standby);
  this->Context.ProcessMetrics.countEvent("standbys_followed");
  this->logStandby(Followed->target(),
                   this->IsSuperseded ? "delivers" : "followed",
                   Duration::zero());
  this->Race.endFirst();
  this->beginAttempt(Followed->target(), Followed->number());
  this->CallControl = &Followed->control();
  this->FollowedAttempt = Followed.get();
  std::optional<HttpCallOutcome> End;
  bool IsCallerGone = false;
  try {
    End = co_await Followed->follow(*this);
  } catch (const boost::system::system_error &) {
    IsCallerGone = true;
  }
  this->FollowedAttempt = nullptr;
  this->CallControl = nullptr;
  if (!End && !IsCallerGone) {
    this->Context.StandbyCallbacks.erase(this->CurrentAttempt);
    this->recordStandbyEnd(Followed->mayHaveRun());
    co_return NextStep::Retry;
  }
  this->IsUnusable = this->IsUnusable || Followed->isUnusable();
  this->IsPaused = this->IsPaused || Followed->isPaused();
  this->recordCallFaults(End, Followed->control());
  co_return co_await this->endCall(End);
}

bool CallerSession::canRetry() {
  if (this->MayHaveRun && !this->isRepeatable(this->PossibleRuns))
    return false;
  if (this->PossibleRuns >= this->MatchedRoute->EndpointsPerRequest)
    return false;
  // If no endpoint has received the request, another attempt adds no load and
  // doesn't count against the budget. A probe that failed is no sign of load.
  if (this->SentAttempts == 0 || (this->HasProbed && this->SentAttempts == 1))
    return true;
  return this->Context.State.retryBudget(this->TargetService)
      .tryAcquire(monotonicNow(), this->Context.State.EntryHostCount);
}

void CallerSession::resetAnswer() {
  this->HasAnswerHead = false;
  this->AnswerMetadata = {};
  this->Use = AnswerUse::Whole;
  this->IsSuperseded = false;
  this->HasContent = false;
  this->IsPaused = false;
  this->IsUnusable = false;
  this->HasBrokenAnswer = false;
  freeStorage(this->AnswerBody);
  this->HeldAnswer.reset();
  this->Relay.restart();
}

HttpCallOptions CallerSession::makeCallOptions() const {
  HttpCallOptions Options;
  Options.ConnectTimeout =
      std::min<Duration>(this->IsProbe ? ProbeConnectTimeout : ConnectTimeout,
                         this->remainingTime());
  Options.HeadTimeout = this->remainingTime();
  if (this->IsProbe && this->canHandOn())
    Options.HeadTimeout = std::min(
        Options.HeadTimeout,
        std::max<Duration>(this->MatchedRoute->Objective, ProbeHeadTimeout));
  Options.ChunkTimeout = this->remainingTime();
  Options.FreshConnection = !this->MatchedRoute->isSafeToRetry();
  Options.CompleteOnClose = true;
  return Options;
}

asio::awaitable<std::optional<HttpCallOutcome>>
CallerSession::perform(std::string Address, HttpRequest Request,
                       HttpCallControl &Control) {
  HttpCallOptions Options = this->makeCallOptions();
  Options.BeforeWrite = [this] {
    this->IsPaused = !this->Context.State.RequestDispatcher.mayWrite(
        monotonicNow(), this->CurrentAttempt);
    return !this->IsPaused;
  };
  Options.FindOwner = [this](const HttpResponseHead &Head,
                             const ResponseContext &AnswerContext) {
    ResponseOwner Owner =
        findResponseOwner(this->Context.Protocol.readAnswer(Head).AttemptId,
                          this->CallerRequest.AttemptId, AnswerContext);
    this->IsUnusable = Owner == ResponseOwner::Unknown;
    return Owner;
  };
  this->CallControl = &Control;
  std::optional<HttpCallOutcome> End;
  try {
    End = co_await this->Context.Client.perform(
        std::move(Address), std::move(Request), std::move(Options), *this,
        Control);
  } catch (const boost::system::system_error &) {
    // The sink throws when writing to the caller fails.
  }
  this->CallControl = nullptr;
  this->recordCallFaults(End, Control);
  co_return End;
}

void CallerSession::recordCallFaults(std::optional<HttpCallOutcome> End,
                                     const HttpCallControl &Control) {
  if (End == HttpCallOutcome::Complete)
    this->Relay.finish();
  // What is no answer, or what no limit of bytes allows, is no sign of a crash.
  if (const std::optional<MessageFault> &Fault = Control.fault()) {
    this->Context.Limits.recordBrokenAnswer(messageFaultName(Fault->Kind),
                                            Fault->Value, this->LastEndpoint);
    this->HasBrokenAnswer = true;
    this->rejectAnswer();
  }
  if (End == HttpCallOutcome::Incomplete &&
      Control.limit() == HttpCallLimit::HeldBytes)
    this->rejectAnswer(httpCallLimitName(Control.limit()));
  // On its way to the caller an answer is given up only if it isn't taken.
  if (this->HeldAnswer && End == HttpCallOutcome::Complete &&
      !this->HeldAnswer->change(HeldWork::CompleteAnswer))
    this->giveUpAnswer();
}

asio::awaitable<CallerSession::NextStep>
CallerSession::forward(const EntryPeer &Peer) {
  this->TriedPeers.push_back(Peer.Host);
  this->IsProbe = false;
  this->LastEndpoint = Peer.Host;
  this->resetAnswer();
  this->CurrentAttempt = 0;
  DispatchMetadata Metadata{.RemainingTime = this->remainingTime(),
                            .ResumeAfter = this->Relay.lastId(),
                            .PossibleRuns = this->PossibleRuns,
                            .AdmittedVersion = this->catalogVersion()};
  HttpRequest Request = this->Context.Protocol.makePeerRequest(
      this->Exchange.request(), Metadata);
  std::string Address =
      Peer.Host + ":" + std::to_string(this->Context.State.Settings.PeerPort);
  HttpCallControl Control;
  this->Context.State.Peers.begin(Peer.Host);
  std::optional<HttpCallOutcome> End =
      co_await this->perform(std::move(Address), std::move(Request), Control);
  this->Context.State.Peers.end(Peer.Host);
  if (!End) {
    this->recordOutcome("dropped", "caller gone");
    throw boost::system::system_error(asio::error::connection_reset);
  }
  co_return co_await this->finishForward(*End);
}

asio::awaitable<CallerSession::NextStep>
CallerSession::finishForward(HttpCallOutcome End) {
  bool CancelledHere = this->DeadlinePassed || this->IsGivenUp ||
                       this->Exchange.callerDisconnected();
  if (End == HttpCallOutcome::NotWritten)
    co_return CancelledHere ? NextStep::GiveUp : NextStep::Retry;
  bool IsComplete = End == HttpCallOutcome::Complete && this->HasAnswerHead &&
                    !this->IsUnusable && !this->IsGivenUp &&
                    this->Relay.fault() == EventFault::None;
  unsigned Status = this->AnswerHttpHead.Status;
  bool IsOutdated =
      IsComplete &&
      isRefusedByOlderCatalog(
          {.Status = Status,
           .IsSigned = this->AnswerMetadata.Signed,
           .CatalogVersion = this->AnswerMetadata.PeerCatalogVersion},
          this->catalogVersion());
  // The peer says that the request has not run there.
  bool IsRefused =
      IsOutdated || (IsComplete && (Status == 429 || Status == 503));
  // The peer may have lost its engines too, or have no room.
  if (IsRefused && this->TriedPeers.size() < MaxPeers)
    co_return NextStep::Retry;
  if (IsRefused && this->MayHaveRun)
    co_return NextStep::GiveUp;
  if (IsOutdated) {
    co_await this->refuse(503, "the other entry hosts have an older catalog",
                          this->returnTime(RefusalCause::StateUnconfirmed));
    co_return NextStep::Finished;
  }
  this->MayHaveRun = this->MayHaveRun || !IsRefused;
  if (!this->completesAnswer(IsComplete))
    co_return NextStep::GiveUp;
  // The peer logs why.
  std::string Reason =
      Status < 400 ? "" : "the peer answered " + std::to_string(Status);
  this->recordOutcome("forwarded", Reason);
  if (isStream(this->Use)) {
    co_await this->Exchange.finishStream();
    co_return NextStep::Finished;
  }
  HttpResponseHead Head = this->headForCaller();
  HttpResponse CallerResponse{.Status = Head.Status,
                              .ContentType = "",
                              .Headers = std::move(Head.Headers),
                              .Body = std::move(this->AnswerBody)};
  if (this->HeldAnswer)
    this->Exchange.setResponsePlace(*this->HeldAnswer);
  co_await this->Exchange.respond(std::move(CallerResponse));
  co_return NextStep::Finished;
}

asio::awaitable<CallerSession::NextStep>
CallerSession::runAttempt(const DispatchTarget &Target) {
  this->TriedTargets.push_back(Target.Name);
  HttpRequest Request = this->makeEndpointRequest(Target);
  this->beginAttempt(Target, this->registerAttempt(Target));
  HttpCallControl Control;
  std::optional<HttpCallOutcome> End =
      co_await this->perform(Target.Address, std::move(Request), Control);
  co_return co_await this->endCall(End);
}

HttpRequest CallerSession::makeEndpointRequest(const DispatchTarget &Target) {
  DispatchMetadata Metadata{.ExpectedEndpoint = Target.Endpoint,
                            .RemainingTime = this->remainingTime(),
                            .Workspace = this->CallerWorkspace != nullptr
                                             ? this->CallerWorkspace->Name
                                             : WorkspaceName(),
                            .ResumeAfter = this->Relay.lastId()};
  return this->Context.Protocol.makeEndpointRequest(this->Exchange.request(),
                                                    Metadata);
}

AttemptNumber CallerSession::registerAttempt(const DispatchTarget &Target) {
  EntryState &State = this->Context.State;
  AttemptNumber Number = State.RequestDispatcher.beginAttempt(
      monotonicNow(), Target.Name,
      this->MatchedRoute->Retries == RetryRule::Stream);
  State.Crashes.beginAttempt(monotonicNow(), Number, Target.Endpoint,
                             this->Suspects);
  return Number;
}

void CallerSession::beginAttempt(const DispatchTarget &Target,
                                 AttemptNumber Number) {
  this->resetAnswer();
  this->LastEndpoint = Target.Endpoint;
  this->CurrentTarget = Target.Name;
  this->CurrentAttempt = Number;
  if (this->MatchedRoute->Retries == RetryRule::Stream &&
      this->MatchedRoute->Resumable)
    this->Context.StandbyCallbacks[Number] = [this](bool IsStalled) {
      this->startStandbyIfNeeded(IsStalled);
    };
}

asio::awaitable<CallerSession::NextStep>
CallerSession::endCall(std::optional<HttpCallOutcome> End) {
  this->Context.StandbyCallbacks.erase(this->CurrentAttempt);
  if (!End) {
    this->endAttempt(DispatchResult::Cancelled, ConnectionEnd::Orderly);
    this->recordOutcome("dropped", "caller gone");
    throw boost::system::system_error(asio::error::connection_reset);
  }
  co_return co_await this->finishAttempt(*End);
}

void CallerSession::endAttempt(DispatchResult Result, ConnectionEnd End) {
  TimePoint Now = monotonicNow();
  this->Context.State.RequestDispatcher.endAttempt(Now, this->CurrentAttempt,
                                                   Result);
  this->Context.State.Crashes.endAttempt(Now, this->CurrentAttempt, End);
}

asio::awaitable<CallerSession::NextStep>
CallerSession::finishAttempt(HttpCallOutcome End) {
  bool CancelledHere = this->DeadlinePassed || this->IsGivenUp ||
                       this->Exchange.callerDisconnected();
  if (End == HttpCallOutcome::NotWritten) {
    DispatchResult Result = CancelledHere        ? DispatchResult::Cancelled
                            : this->IsSuperseded ? DispatchResult::Superseded
                            : this->IsPaused     ? DispatchResult::Paused
                                                 : DispatchResult::Unreachable;
    this->endAttempt(Result, ConnectionEnd::Orderly);
    this->logAttempt(Result);
    if (Result == DispatchResult::Unreachable) {
      ++this->UnreachableAttempts;
      this->contact().recordFailure(monotonicNow(), this->LastEndpoint);
    }
    co_return CancelledHere ? NextStep::GiveUp : NextStep::Retry;
  }
  this->UnreachableAttempts = 0;
  ++this->SentAttempts;
  bool IsComplete = End == HttpCallOutcome::Complete && this->HasAnswerHead &&
                    !this->IsUnusable && !this->IsGivenUp &&
                    !this->IsSuperseded;
  if (IsComplete && this->AnswerMetadata.NotRun) {
    DispatchResult Result =
        this->IsPaused ? DispatchResult::Paused : DispatchResult::Refused;
    this->endAttempt(Result, ConnectionEnd::Orderly);
    this->logAttempt(Result);
    co_return NextStep::Retry;
  }
  // From here on an endpoint may have run the request.
  this->MayHaveRun = true;
  ++this->PossibleRuns;
  bool Failed = IsComplete && this->AnswerHttpHead.Status >= 500;
  DispatchResult Result = Failed               ? DispatchResult::Failed
                          : IsComplete         ? DispatchResult::Answered
                          : CancelledHere      ? DispatchResult::Cancelled
                          : this->IsSuperseded ? DispatchResult::Superseded
                                               : DispatchResult::Lost;
  if (IsComplete && isStream(this->Use) &&
      this->Relay.fault() != EventFault::None)
    Result = DispatchResult::Lost;
  bool HasLength = this->AnswerHttpHead.Headers.count("Content-Length") +
                       this->AnswerHttpHead.Headers.count("Transfer-Encoding") >
                   0;
  // A read that times out at the deadline looks like a lost connection.
  bool IsLost = End == HttpCallOutcome::Incomplete && !CancelledHere &&
                !this->IsSuperseded && !this->IsUnusable &&
                this->remainingTime() > MinAttemptTime;
  bool IsSilent = End == HttpCallOutcome::Incomplete && !this->HasAnswerHead &&
                  !this->IsUnusable && !this->IsSuperseded &&
                  !this->Exchange.callerDisconnected();
  if (IsLost || IsSilent)
    this->contact().recordFailure(monotonicNow(), this->LastEndpoint);
  // A probe is given up by this host.
  IsLost = IsLost && !(IsSilent && this->IsProbe);
  this->endAttempt(Result, IsLost                     ? ConnectionEnd::Lost
                           : IsComplete && !HasLength ? ConnectionEnd::Ambiguous
                                                      : ConnectionEnd::Orderly);
  if (Result == DispatchResult::Answered && HasLength)
    this->recordAcquittal();
  if (Result != DispatchResult::Answered)
    this->logAttempt(Result);
  if (Result == DispatchResult::Cancelled)
    co_return NextStep::GiveUp;
  if (!this->completesAnswer(IsComplete))
    co_return this->MatchedRoute->isSafeToRetry() ? NextStep::Retry
                                                  : NextStep::GiveUp;
  if (isStream(this->Use))
    co_return co_await this->finishStream();
  // A success without the endpoint's signature, or an encoded body, was not
  // written by the endpoint itself.
  if (this->AnswerMetadata.Encoded ||
      (!this->AnswerMetadata.Signed && this->AnswerHttpHead.Status < 300))
    co_return NextStep::GiveUp;
  bool ShouldRetry =
      Failed && this->MatchedRoute->isSafeToRetry() &&
      this->PossibleRuns<
          this->MatchedRoute->EndpointsPerRequest &&this->remainingTime()>
          MinAttemptTime &&
      this->AttemptCount < MaxAttempts;
  if (ShouldRetry)
    co_return NextStep::Retry;
  // Without the endpoint's word that the request has not run, its caller must
  // not read that from the status.
  if (promisesNotRun(this->AnswerHttpHead.Status))
    co_return NextStep::GiveUp;
  HttpResponseHead Head = this->headForCaller();
  this->recordOutcome(Failed ? "endpoint-failed" : "answered", "");
  HttpResponse CallerResponse{.Status = Head.Status,
                              .ContentType = "",
                              .Headers = std::move(Head.Headers),
                              .Body = std::move(this->AnswerBody)};
  if (this->HeldAnswer)
    this->Exchange.setResponsePlace(*this->HeldAnswer);
  co_await this->Exchange.respond(std::move(CallerResponse));
  co_return NextStep::Finished;
}

/// An engine that answered in full did not crash. An answer that rejects the
/// request says nothing about the parts of its prompt.
void CallerSession::recordAcquittal() {
  PromptGuard &Guard = this->Context.State.Guard;
  bool IsSuccess = this->AnswerHttpHead.Status < 300;
  // A stream that was resumed after its last event is no evidence: its engine
  // wrote nothing.
  if (isStream(this->Use) &&
      (!this->HasContent || this->Relay.hasPartialEvent()))
    return;
  if (IsSuccess && this->HasContent)
    Guard.recordAnswer(monotonicNow(), this->Suspects);
  else
    Guard.recordAnswer(monotonicNow(), {this->Suspects.back()});
}

bool CallerSession::completesAnswer(bool IsComplete) const {
  return mayEndAsComplete(this->Use,
                          {.IsComplete = IsComplete,
                           .HasPartialEvent = this->Relay.hasPartialEvent(),
                           .HasGap = this->Relay.fault() != EventFault::None});
}

asio::awaitable<CallerSession::NextStep> CallerSession::finishStream() {
  this->recordOutcome("answered", "");
  co_await this->Exchange.finishStream();
  co_return NextStep::Finished;
}

/// Ends the request without an endpoint's answer. Refuses with 503 only if no
/// endpoint may have run the request; otherwise answers that the outcome is
/// unknown. A started stream is cut off.
asio::awaitable<void>
CallerSession::endWithoutAnswer(std::string_view Reason, RefusalCause Cause,
                                std::optional<TimePoint> PausedUntil) {
  if (this->Exchange.callerDisconnected())
    co_return this->recordOutcome("dropped", "caller gone");
  if (this->StreamStarted) {
    this->recordOutcome("cut-off", Reason);
    throw boost::system::system_error(asio::error::operation_aborted);
  }
  if (!this->MayHaveRun)
    co_return co_await this->refuse(503, Reason,
                                    this->returnTime(Cause, PausedUntil));
  this->recordOutcome("unknown", Reason);
  HttpResponse Unknown = this->Context.Protocol.makeRefusal(
      this->DeadlinePassed ? 504 : 502, Reason, this->CallerRequest.AttemptId,
      std::nullopt);
  co_await this->Exchange.respond(std::move(Unknown));
}

/// Logs an attempt that did not end with an answer from the endpoint.
void CallerSession::logAttempt(DispatchResult Result) {
  std::string_view Reason = this->IsSuperseded      ? "place stood still"
                            : this->IsGivenUp       ? NoMemoryReason
                            : this->HasBrokenAnswer ? "answer broken"
                            : this->Relay.fault() != EventFault::None
                                ? eventFaultName(this->Relay.fault())
                            : this->IsUnusable     ? "answer unusable"
                            : this->DeadlinePassed ? "out of time"
                            : this->Exchange.callerDisconnected()
                                ? "caller gone"
                                : "";
  auto Load = this->Context.State.RequestDispatcher.modelLoad(
      this->TargetService, this->CallerRequest.Model);
  logEvent(
      Severity::Warning, "attempt",
      {{"request", this->CallerRequest.AttemptId},
       {"endpoint", this->LastEndpoint},
       {"place", this->CurrentTarget},
       {"end", resultName(Result)},
       {"reason", Reason},
       {"status", static_cast<std::int64_t>(
                      this->HasAnswerHead ? this->AnswerHttpHead.Status : 0)},
       {"retry_after_ms", this->AnswerMetadata.RetryAfter
                              ? milliseconds(*this->AnswerMetadata.RetryAfter)
                              : -1},
       {"leaving", static_cast<std::int64_t>(this->AnswerMetadata.Leaving)},
       {"last_event", printableBytes(this->Relay.lastId().value_or(""))},
       {"refused_event", printableBytes(this->Relay.refusedId())},
       {"prompt_parts", formatPromptParts(this->Suspects)},
       {"in_flight", Load.InFlight},
       {"slots", Load.Slots},
       {"after_ms", milliseconds(monotonicNow() - this->ArrivedAt)}});
}

void CallerSession::recordEventTiming() {
  TimePoint Now = monotonicNow();
  TrafficClass Traffic{.Workspace = this->CallerWorkspace != nullptr
                                        ? this->CallerWorkspace->Name
                                        : "none",
                       .Class = this->MatchedRoute->Name};
  if (this->LastEventAt)
    this->Context.ProcessMetrics.observe(Traffic, RequestTiming::BetweenChunks,
                                         Now - *this->LastEventAt);
  else
    this->Context.ProcessMetrics.observe(Traffic, RequestTiming::FirstByte,
                                         Now - this->ArrivedAt);
  this->LastEventAt = Now;
}

asio::awaitable<void> CallerSession::head(const HttpResponseHead &Head) {
  if (this->IsSuperseded)
    co_return;
  this->HasAnswerHead = true;
  this->AnswerHttpHead = Head;
  this->AnswerMetadata = this->Context.Protocol.readAnswer(Head);
  if (this->CurrentAttempt != 0)
    this->contact().recordReached();
  else
    this->Context.State.SeenCatalog.record(
        monotonicNow(), this->AnswerMetadata.PeerCatalogVersion);
  this->Context.State.Crashes.recordProgress(monotonicNow(),
                                             this->CurrentAttempt);
  this->recordHoldOffs(Head.Status);
  bool IsEventStream = carriesEvents(this->AnswerMetadata, Head.Status) &&
                       this->MatchedRoute->Retries == RetryRule::Stream;
  this->Use = chooseAnswerUse(
      {.IsEventStream = IsEventStream, .HasStreamBegun = this->StreamStarted});
  if (this->Use != AnswerUse::StartsStream)
    co_return;
  this->StreamStarted = true;
  HttpResponseHead CallerHead = this->headForCaller();
  co_await this->Exchange.startStream(std::move(CallerHead));
}

void CallerSession::recordHoldOffs(unsigned Status) {
  Dispatcher &RequestDispatcher = this->Context.State.RequestDispatcher;
  TimePoint Now = monotonicNow();
  AnswerHoldOff HoldOff =
      recordHoldOff(RequestDispatcher, Now, this->CurrentAttempt, Status,
                    this->AnswerMetadata);
  this->IsPaused = this->IsPaused || HoldOff.IsPaused;
  EndpointName Leaving = this->LastEndpoint;
  if (this->CurrentAttempt == 0) {
    // Another entry host handed the answer back.
    Leaving = this->AnswerMetadata.LeavingEndpoint;
    HoldOff.IsNewlyLeaving = Status != 421 && this->AnswerMetadata.Leaving &&
                             RequestDispatcher.recordLeaving(Now, Leaving);
  }
  if (HoldOff.IsNewlyLeaving)
    logEvent(
        Severity::Info, "endpoint-leaving",
        {{"request", this->CallerRequest.AttemptId}, {"endpoint", Leaving}});
}

HttpResponseHead CallerSession::headForCaller() const {
  if (!this->IsForwarded)
    return this->Context.Protocol.makeCallerHead(this->AnswerHttpHead);
  HttpResponseHead Head = this->Context.Protocol.makePeerHead(
      this->AnswerHttpHead,
      this->AnswerMetadata.Leaving ? this->LastEndpoint : EndpointName());
  this->addCatalogVersion(Head.Headers);
  return Head;
}

void CallerSession::rejectAnswer() {
  this->IsUnusable = true;
  this->cancelCall();
}

void CallerSession::rejectAnswer(std::string_view Limit) {
  this->Context.Limits.record(Limit, this->LastEndpoint);
  this->rejectAnswer();
}

bool CallerSession::holdAnswer(std::size_t Bytes) {
  if (this->IsGivenUp)
    return false;
  if (!this->HeldAnswer) {
    auto OnGivenUp = [this, WeakAlive = std::weak_ptr<bool>(this->Alive),
                      Executor = this->Context.Executor] {
      asio::post(Executor, [this, WeakAlive] {
        if (!WeakAlive.expired())
          this->giveUpAnswer();
      });
    };
    this->HeldAnswer.emplace(this->Context.Budget,
                             this->MatchedRoute->isSafeToRetry()
                                 ? HeldWork::RepeatableAnswer
                                 : HeldWork::SingleAnswer,
                             std::move(OnGivenUp));
  }
  if (this->HeldAnswer->resize(Bytes))
    return true;
  this->giveUpAnswer();
  return false;
}

void CallerSession::giveUpAnswer() {
  if (std::exchange(this->IsGivenUp, true))
    return;
  this->Context.Limits.record("process-bytes", this->LastEndpoint);
  freeStorage(this->AnswerBody);
  this->Relay.restart();
  this->dropStandby();
  this->cancelCall();
}

asio::awaitable<void> CallerSession::chunk(std::string Data) {
  if (this->IsUnusable || this->IsGivenUp || this->IsSuperseded)
    co_return;
  if (!isStream(this->Use)) {
    this->HasContent = true;
    std::size_t Bytes = this->AnswerBody.size() + Data.size();
    if (Bytes > MaxBufferedBytes)
      this->rejectAnswer(httpCallLimitName(HttpCallLimit::BodyBytes));
    else if (this->holdAnswer(Bytes))
      this->AnswerBody += Data;
    co_return;
  }
  std::string Events = this->Relay.process(Data);
  if (this->Relay.fault() == EventFault::TooLong)
    this->rejectAnswer("event-bytes");
  else if (this->Relay.fault() != EventFault::None)
    this->rejectAnswer();
  std::size_t Partial = this->Relay.partialBytes();
  if ((this->HeldAnswer || Partial > 0) && !this->holdAnswer(Partial))
    co_return;
  if (Events.empty())
    co_return;
  if (this->Race.deliver(StandbyRace::Runner::First))
    this->dropStandby();
  this->HasContent = true;
  this->recordEventTiming();
  if (this->CurrentAttempt != 0)
    this->contact().recordReached();
  this->Context.State.RequestDispatcher.recordProgress(monotonicNow(),
                                                       this->CurrentAttempt);
  this->Context.State.Crashes.recordProgress(monotonicNow(),
                                             this->CurrentAttempt);
  this->IsWritingEvents = true;
  co_await this->Exchange.writeChunk(std::move(Events));
  this->IsWritingEvents = false;
}

} // namespace carobhinge
