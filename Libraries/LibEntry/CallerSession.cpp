//===- LibEntry/CallerSession.cpp - One request from a caller -------------===//

#include <LibEntry/CallerSession.h>

#include <LibTelemetry/Log.h>
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <random>

namespace asio = boost::asio;

namespace carobhinge {

/// Answers that aren't streams are held until they are whole, so that one cut
/// off never looks complete; more than this isn't held.
static constexpr std::size_t MostHeldBytes = std::size_t(4) * 1024 * 1024;
/// An endpoint in reach accepts a connection within a few milliseconds.
static constexpr auto ConnectTimeout = std::chrono::milliseconds(400);
/// With less left, no endpoint could answer in time.
static constexpr auto LeastTime = std::chrono::milliseconds(20);
/// Attempts of one request, those that didn't run included.
static constexpr int MostAttempts = 4;
/// When to come back where nothing better is known.
static constexpr auto UsualRetryAfter = std::chrono::milliseconds(500);

CallerSession::CallerSession(SessionContext &Shared, HttpExchange &Exchange)
    : Shared(Shared), Exchange(Exchange),
      Call(Shared.Dialect.readCall(Exchange.request())),
      Routes(Shared.State.Routes), ArrivedAt(monotonicNow()),
      Events(this->Call.ResumeAfter) {}

asio::awaitable<void> CallerSession::run() {
  if (!co_await this->admit())
    co_return;
  asio::steady_timer Timer(this->Shared.Executor);
  Timer.expires_after(this->left());
  // A handler that is queued already can't be cancelled any more.
  auto Alive = std::make_shared<bool>(true);
  Timer.async_wait([this, Watch = std::weak_ptr<bool>(Alive)](
                       const boost::system::error_code &Error) {
    if (!Error && !Watch.expired())
      this->expire();
  });
  this->Exchange.onCallerGone([this] { this->callerGone(); });
  co_await this->serve();
  this->Exchange.onCallerGone(nullptr);
}

void CallerSession::callerGone() {
  if (this->Control != nullptr)
    this->Control->cancel();
}

void CallerSession::expire() {
  this->Expired = true;
  if (this->Control != nullptr)
    this->Control->cancel();
}

void CallerSession::note(std::string_view Outcome, std::string_view Reason) {
  std::string Class = this->Rule != nullptr ? this->Rule->Name : "none";
  WorkspaceName Name = this->Holder != nullptr ? this->Holder->Name : "none";
  TrafficClass For{.Workspace = Name, .Class = Class};
  this->Shared.Figures.countOutcome(For, Outcome, Reason);
  this->Shared.Figures.observe(For, RequestTiming::Total,
                               monotonicNow() - this->ArrivedAt);
  auto Load = this->Shared.State.Board.load(this->Target, this->Call.Model);
  std::optional<Duration> Age = this->Shared.State.Lease.age(monotonicNow());
  bool Good = Outcome == "answered";
  logEvent(Good ? Severity::Info : Severity::Warning, "request",
           {{"request", this->Call.AttemptId},
            {"route", Class},
            {"workspace", Name},
            {"outcome", Outcome},
            {"reason", Reason},
            {"endpoint", this->LastEndpoint},
            {"attempts", this->Attempts},
            {"model", this->Call.Model},
            {"in_flight", Load.InFlight},
            {"slots", Load.Slots},
            {"catalog_version",
             static_cast<std::int64_t>(
                 this->Routes ? this->Routes->catalog().Version : 0)},
            {"confirmation_age_ms", Age ? milliseconds(*Age) : -1},
            {"took_ms", milliseconds(monotonicNow() - this->ArrivedAt)}});
}

asio::awaitable<void>
CallerSession::refuse(unsigned Status, std::string_view Reason,
                      std::optional<Duration> RetryAfter) {
  this->note("refused", Reason);
  HttpResponse Refusal =
      this->Shared.Dialect.refusal(Status, Reason, RetryAfter);
  co_await this->Exchange.respond(std::move(Refusal));
}

asio::awaitable<bool> CallerSession::admit() {
  EntryState &State = this->Shared.State;
  // Before the first confirmation nothing is known to be missing or wrong.
  bool Sure = this->Routes && State.Lease.holds(this->ArrivedAt);
  if (!this->Routes) {
    co_await this->refuse(503, "no catalog is known yet", UsualRetryAfter);
    co_return false;
  }
  this->Rule =
      this->Routes->find(this->Call.Host, this->Exchange.request().path());
  if (this->Rule == nullptr) {
    co_await this->refuse(Sure ? 404 : 503, "no route", std::nullopt);
    co_return false;
  }
  if (this->Routes->asksForKeys() && !this->Rule->Public) {
    this->Holder = this->Routes->holder(this->Call.Key);
    if (!Sure) {
      co_await this->refuse(503, "keys are not confirmed", UsualRetryAfter);
      co_return false;
    }
    if (this->Holder == nullptr) {
      co_await this->refuse(401, "unknown key", std::nullopt);
      co_return false;
    }
  }
  static thread_local std::mt19937_64 Random{std::random_device{}()};
  std::uniform_real_distribution<double> Fraction(0, 1);
  this->Target = RouteTable::chooseService(*this->Rule, Fraction(Random));
  Duration Patience = this->Rule->Timeout;
  if (this->Call.Patience)
    Patience = std::min(Patience, *this->Call.Patience);
  this->Deadline = this->ArrivedAt + Patience;
  State.budget(this->Target).request(this->ArrivedAt);
  co_return true;
}

asio::awaitable<void> CallerSession::serve() {
  Verdict Next = Verdict::TryAgain;
  while (Next == Verdict::TryAgain) {
    if (this->Exchange.callerGone())
      co_return this->note("dropped", "caller gone");
    if (this->Expired || this->left() < LeastTime)
      co_return co_await this->giveUp("out of time");
    if (this->Attempts >= MostAttempts)
      co_return co_await this->giveUp("too many attempts");
    DispatchChoice Choice = this->Shared.State.Board.choose(
        monotonicNow(), this->Target, this->Call.Model, this->Tried,
        this->MayHaveRun);
    if (!Choice.Where)
      co_return co_await this->giveUp(Choice.Full ? "all places are full"
                                                  : "no place");
    if (this->Attempts > 0 && !this->mayRepeat())
      co_return co_await this->giveUp("repeat not allowed");
    ++this->Attempts;
    Next = co_await this->attempt(*Choice.Where);
  }
  if (Next == Verdict::GiveUp)
    co_await this->giveUp("attempt failed");
}

bool CallerSession::mayRepeat() {
  if (this->MayHaveRun && !this->Rule->mayRunAgain())
    return false;
  if (this->Runs >= this->Rule->EndpointsPerRequest)
    return false;
  // What no endpoint has received is no repeat.
  if (this->Sent == 0)
    return true;
  return this->Shared.State.budget(this->Target)
      .take(monotonicNow(), this->Shared.State.EntryHosts);
}

asio::awaitable<CallerSession::Verdict>
CallerSession::attempt(const Place &Where) {
  DispatchBoard &Board = this->Shared.State.Board;
  this->Tried.push_back(Where.Name);
  this->LastEndpoint = Where.Endpoint;
  this->HasHead = false;
  this->Streaming = false;
  this->Abandoned = false;
  this->Body.clear();
  this->Events.restart();
  DispatchTerms Terms{.Expected = Where.Endpoint,
                      .Left = this->left(),
                      .Workspace = this->Holder != nullptr ? this->Holder->Name
                                                           : WorkspaceName(),
                      .ResumeAfter = this->Events.last()};
  HttpRequest Request =
      this->Shared.Dialect.toEndpoint(this->Exchange.request(), Terms);
  HttpCallOptions Options;
  Options.ConnectTimeout = std::min<Duration>(ConnectTimeout, this->left());
  Options.HeadTimeout = this->left();
  Options.ChunkTimeout = this->left();
  Options.FreshConnection = !this->Rule->mayRunAgain();
  Options.WholeOnClose = true;
  Options.Belongs = [this](const HttpResponseHead &Head) {
    AnswerHead Read = this->Shared.Dialect.readAnswer(Head);
    return Read.AttemptId.empty() || Read.AttemptId == this->Call.AttemptId;
  };
  bool Streams = this->Rule->Repeat == RepeatRule::Stream;
  this->Number = Board.begin(monotonicNow(), Where.Name, Streams);
  HttpCallControl Control;
  this->Control = &Control;
  if (Streams && this->Rule->Resumable)
    this->Shared.Abandon[this->Number] = [this] {
      this->Abandoned = true;
      if (this->Control != nullptr)
        this->Control->cancel();
    };
  HttpCallEnd End = HttpCallEnd::BrokenOff;
  bool CallerFailed = false;
  try {
    End = co_await this->Shared.Client.perform(
        Where.Address, std::move(Request), std::move(Options), *this, Control);
  } catch (const boost::system::system_error &) {
    // Writing to the caller failed.
    CallerFailed = true;
  }
  this->Control = nullptr;
  this->Shared.Abandon.erase(this->Number);
  if (CallerFailed) {
    Board.end(monotonicNow(), this->Number, AttemptEnd::Dropped);
    this->note("dropped", "caller gone");
    throw boost::system::system_error(asio::error::connection_reset);
  }
  co_return co_await this->judge(End);
}

asio::awaitable<CallerSession::Verdict> CallerSession::judge(HttpCallEnd End) {
  DispatchBoard &Board = this->Shared.State.Board;
  TimePoint Now = monotonicNow();
  bool OwnEnd = this->Expired || this->Exchange.callerGone();
  if (End == HttpCallEnd::NotWritten) {
    Board.end(Now, this->Number,
              OwnEnd ? AttemptEnd::Dropped : AttemptEnd::Unreachable);
    this->noteAttempt(OwnEnd ? AttemptEnd::Dropped : AttemptEnd::Unreachable);
    co_return OwnEnd ? Verdict::GiveUp : Verdict::TryAgain;
  }
  ++this->Sent;
  bool Whole = End == HttpCallEnd::Complete && this->HasHead;
  if (Whole && this->Answer.NotRun) {
    Board.end(Now, this->Number, AttemptEnd::Refused);
    this->noteAttempt(AttemptEnd::Refused);
    co_return Verdict::TryAgain;
  }
  // From here on an endpoint may have run it.
  this->MayHaveRun = true;
  ++this->Runs;
  bool Failed = Whole && this->AnswerHeadFields.Status >= 500;
  AttemptEnd How = Failed   ? AttemptEnd::Failed
                   : Whole  ? AttemptEnd::Answered
                   : OwnEnd ? AttemptEnd::Dropped
                            : AttemptEnd::Lost;
  if (Whole && this->Streaming && this->Events.broken())
    How = AttemptEnd::Lost;
  Board.end(Now, this->Number, How);
  if (How != AttemptEnd::Answered)
    this->noteAttempt(How);
  if (How == AttemptEnd::Dropped)
    co_return Verdict::GiveUp;
  if (this->Streaming) {
    if (How == AttemptEnd::Answered && !this->Events.insideEvent())
      co_return co_await this->finishStream();
    co_return this->Rule->mayRunAgain() ? Verdict::TryAgain : Verdict::GiveUp;
  }
  if (!Whole || this->Started)
    co_return this->Rule->mayRunAgain() ? Verdict::TryAgain : Verdict::GiveUp;
  // A success that the endpoint didn't sign isn't its answer.
  if (this->Answer.Encoded ||
      (!this->Answer.Signed && this->AnswerHeadFields.Status < 300))
    co_return Verdict::GiveUp;
  bool Repeat =
      Failed && this->Rule->mayRunAgain() &&
      this->Runs<this->Rule->EndpointsPerRequest &&this->left()> LeastTime &&
      this->Attempts < MostAttempts;
  if (Repeat)
    co_return Verdict::TryAgain;
  HttpResponseHead Head = this->Shared.Dialect.toCaller(this->AnswerHeadFields);
  this->note(Failed ? "endpoint-failed" : "answered", "");
  HttpResponse Result{.Status = Head.Status,
                      .ContentType = "",
                      .Headers = std::move(Head.Headers),
                      .Body = std::move(this->Body)};
  co_await this->Exchange.respond(std::move(Result));
  co_return Verdict::Finished;
}

asio::awaitable<CallerSession::Verdict> CallerSession::finishStream() {
  this->note("answered", "");
  co_await this->Exchange.finishStream();
  co_return Verdict::Finished;
}

/// The request ends without an endpoint's answer. What an endpoint may have
/// run is never called not run; a stream that has begun is cut off.
asio::awaitable<void> CallerSession::giveUp(std::string_view Reason) {
  if (this->Exchange.callerGone())
    co_return this->note("dropped", "caller gone");
  if (this->Started) {
    this->note("cut-off", Reason);
    throw boost::system::system_error(asio::error::operation_aborted);
  }
  if (!this->MayHaveRun)
    co_return co_await this->refuse(503, Reason, UsualRetryAfter);
  this->note("unknown", Reason);
  HttpResponse Unknown = this->Shared.Dialect.refusal(this->Expired ? 504 : 502,
                                                      Reason, std::nullopt);
  co_await this->Exchange.respond(std::move(Unknown));
}

static std::string_view endName(AttemptEnd How) {
  switch (How) {
  case AttemptEnd::Answered:
    return "answered";
  case AttemptEnd::Refused:
    return "refused-by-endpoint";
  case AttemptEnd::Failed:
    return "endpoint-failed";
  case AttemptEnd::Unreachable:
    return "unreachable";
  case AttemptEnd::Lost:
    return "lost";
  case AttemptEnd::Dropped:
    return "given-up-here";
  }
  return "";
}

/// One line for each attempt that an endpoint didn't answer.
void CallerSession::noteAttempt(AttemptEnd How) {
  std::string_view Why = this->Abandoned               ? "place stood still"
                         : this->Expired               ? "out of time"
                         : this->Exchange.callerGone() ? "caller gone"
                                                       : "";
  auto Load = this->Shared.State.Board.load(this->Target, this->Call.Model);
  logEvent(Severity::Warning, "attempt",
           {{"request", this->Call.AttemptId},
            {"endpoint", this->LastEndpoint},
            {"place", this->Tried.back()},
            {"end", endName(How)},
            {"reason", Why},
            {"status", static_cast<std::int64_t>(
                           this->HasHead ? this->AnswerHeadFields.Status : 0)},
            {"last_event",
             static_cast<std::int64_t>(this->Events.last().value_or(0))},
            {"in_flight", Load.InFlight},
            {"slots", Load.Slots},
            {"after_ms", milliseconds(monotonicNow() - this->ArrivedAt)}});
}

void CallerSession::observeEvent() {
  TimePoint Now = monotonicNow();
  TrafficClass For{.Workspace =
                       this->Holder != nullptr ? this->Holder->Name : "none",
                   .Class = this->Rule->Name};
  if (this->LastEventAt)
    this->Shared.Figures.observe(For, RequestTiming::BetweenChunks,
                                 Now - *this->LastEventAt);
  else
    this->Shared.Figures.observe(For, RequestTiming::FirstByte,
                                 Now - this->ArrivedAt);
  this->LastEventAt = Now;
}

asio::awaitable<void> CallerSession::head(const HttpResponseHead &Head) {
  this->HasHead = true;
  this->AnswerHeadFields = Head;
  this->Answer = this->Shared.Dialect.readAnswer(Head);
  this->Streaming = this->Answer.IsEventStream && Head.Status < 300 &&
                    this->Rule->Repeat == RepeatRule::Stream &&
                    !this->Answer.Encoded;
  if (!this->Streaming || this->Started)
    co_return;
  this->Started = true;
  HttpResponseHead ForCaller = this->Shared.Dialect.toCaller(Head);
  co_await this->Exchange.startStream(std::move(ForCaller));
}

asio::awaitable<void> CallerSession::chunk(std::string Data) {
  if (!this->Streaming) {
    if (this->Body.size() + Data.size() <= MostHeldBytes)
      this->Body += Data;
    co_return;
  }
  std::string Events = this->Events.take(Data);
  if (Events.empty())
    co_return;
  this->observeEvent();
  this->Shared.State.Board.progressed(monotonicNow(), this->Number);
  co_await this->Exchange.writeChunk(std::move(Events));
}

} // namespace carobhinge
