//===- LibServe/IdempotentCall.cpp - Serves a call that may be repeated ---===//
///
/// \file
/// The loop over routing effects, the attempts, and the caller's answer.
///
//===----------------------------------------------------------------------===//

#include <LibServe/IdempotentCall.h>

#include <LibServe/Forwarding.h>
#include <LibTelemetry/Log.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace carobhinge {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
/// Longest answer that is kept back until it is whole.
static constexpr std::size_t WholeAnswerBytes = 8 * 1024 * 1024;
static constexpr auto ChunkTimeout = std::chrono::seconds(10);
static constexpr auto BusyRetryAfter = std::chrono::milliseconds(200);

/// A target's own word that it does not take the request.
static bool isBusy(unsigned Status) { return Status == 503 || Status == 409; }

namespace {

/// Ends an attempt whose bytes are not wanted (any more).
struct AttemptAbandoned : std::exception {};

} // namespace

/// Takes the answer of one attempt.
class IdempotentCall::AttemptSink : public HttpAnswerSink {
public:
  AttemptSink(IdempotentCall &Owner, const Dispatch &Sent)
      : Owner(Owner), Sent(Sent) {}

  asio::awaitable<void> head(const HttpResponseHead &Head) override {
    this->Busy = isBusy(Head.Status);
    if (this->Busy)
      co_return;
    IdempotentCall &Call = this->Owner;
    // Another attempt answered first.
    if (Call.Answering != 0 && Call.Answering != this->Sent.Attempt)
      throw AttemptAbandoned();
    bool FirstEver = Call.Answering == 0 && !Call.StreamStarted;
    Call.Answering = this->Sent.Attempt;
    Call.Routing.firstByte(this->Sent.Attempt);
    this->observeFirstByte(FirstEver);
    this->IsStream = Call.Call.Streamed && Head.Status == 200;
    if (!this->IsStream) {
      Call.Whole = HttpResponse{.Status = Head.Status};
      Call.Whole.ContentType = Head.Headers.value("Content-Type");
      co_return;
    }
    Call.Events.dropPartial();
    if (std::exchange(Call.StreamStarted, true))
      co_return;
    HttpResponseHead Ours = Call.headForCaller(Head);
    co_await Call.Exchange.startStream(std::move(Ours));
  }

  asio::awaitable<void> chunk(std::string Data) override {
    IdempotentCall &Call = this->Owner;
    if (this->Busy)
      co_return;
    if (!this->IsStream) {
      if (Call.Whole.Body.size() + Data.size() > WholeAnswerBytes)
        throw AttemptAbandoned();
      Call.Whole.Body += Data;
      co_return;
    }
    std::string Events = Call.Events.append(Data);
    if (Events.empty())
      co_return;
    TimePoint Now = monotonicNow();
    if (Call.LastChunkAt != TimePoint())
      Call.Parts.Figures.observe(Call.Call.Traffic,
                                 RequestTiming::BetweenChunks,
                                 Now - Call.LastChunkAt);
    Call.LastChunkAt = Now;
    co_await Call.Exchange.writeChunk(std::move(Events));
  }

  [[nodiscard]] bool busy() const { return this->Busy; }

private:
  void observeFirstByte(bool FirstEver) {
    TimePoint Now = monotonicNow();
    IdempotentCall &Call = this->Owner;
    Target From;
    From.Name = this->Sent.TargetName;
    From.Service = Call.Call.Service->Name;
    From.IncarnationNumber = this->Sent.Life;
    Call.Parts.Fleet.answered(From, Now - this->StartedAt);
    if (FirstEver)
      Call.Parts.Figures.observe(Call.Call.Traffic, RequestTiming::FirstByte,
                                 Now - Call.Call.ArrivedAt);
  }

  IdempotentCall &Owner;
  const Dispatch &Sent;
  TimePoint StartedAt = monotonicNow();
  bool Busy = false;
  bool IsStream = false;
};

IdempotentCall::IdempotentCall(ServeParts &Parts, HttpExchange &Exchange,
                               CallContext Call)
    : Parts(Parts), Exchange(Exchange), Call(std::move(Call)),
      Routing(*Parts.Routers.find(this->Call.Service->Name)),
      Inbox(this->Routing.makeInbox()) {}

asio::awaitable<void> IdempotentCall::run() {
  this->Home = co_await asio::this_coro::executor;
  this->Id = this->Routing.submit(this->Call.routed(), this->Inbox);
  this->Exchange.onCallerGone([this, Waiting = this->Inbox] {
    this->Routing.callerGone(this->Id);
    Waiting->try_send(asio::error::eof, RoutingEffect());
  });
  // Attempts put a marker into the inbox when they end, so that this loop
  // looks again.
  while (!this->Complete && !this->Refused && !this->HandedTo &&
         !this->Exchange.callerGone()) {
    auto [Error, Effect] = co_await this->Inbox->async_receive(UseTuple);
    if (!Error)
      this->apply(Effect);
  }
  co_await this->stopAttempts();
  this->Exchange.onCallerGone(nullptr);
  this->Routing.forget(this->Id);
  if (this->Exchange.callerGone()) {
    this->Parts.Figures.countOutcome(this->Call.Traffic, "caller-gone", "");
    co_return;
  }
  if (this->Complete)
    co_await this->finishAnswer();
  else if (this->HandedTo)
    co_await this->handOver(*this->HandedTo);
  else
    co_await this->refuse(problemOf(*this->Refused));
}

void IdempotentCall::apply(const RoutingEffect &Effect) {
  if (const auto *Sent = std::get_if<Dispatch>(&Effect)) {
    this->startAttempt(*Sent);
  } else if (const auto *Cancelled = std::get_if<CancelAttempt>(&Effect)) {
    auto Found = this->Attempts.find(Cancelled->Attempt);
    if (Found == this->Attempts.end())
      return;
    Found->second->Cancelled = true;
    Found->second->Control.cancel();
  } else if (const auto *Why = std::get_if<Refuse>(&Effect)) {
    this->Refused = *Why;
  } else {
    this->HandedTo = std::get<Forward>(Effect);
  }
}

/// Cancels what still runs, waits for it, and gives back what was dispatched
/// too late to be started.
asio::awaitable<void> IdempotentCall::stopAttempts() {
  for (auto &[Id, Each] : this->Attempts) {
    Each->Cancelled = true;
    Each->Control.cancel();
  }
  auto GiveBack = [this](boost::system::error_code Error,
                         const RoutingEffect &Effect) {
    if (const auto *Late = std::get_if<Dispatch>(&Effect); !Error && Late)
      this->Routing.finished(Late->Attempt, {AttemptResult::Cancelled, {}});
  };
  while (!this->Attempts.empty()) {
    auto [Error, Effect] = co_await this->Inbox->async_receive(UseTuple);
    GiveBack(Error, Effect);
  }
  while (this->Inbox->try_receive(GiveBack)) {
  }
}

void IdempotentCall::startAttempt(const Dispatch &Sent) {
  if (this->Attempts.empty() && !Sent.IsResume)
    this->Parts.Figures.observe(this->Call.Traffic, RequestTiming::Queue,
                                monotonicNow() - this->Call.ArrivedAt);
  if (Sent.IsResume)
    this->Answering = 0;
  this->Attempts[Sent.Attempt] = std::make_unique<Attempt>();
  // Runs on the strand of run(), which waits for it before it returns.
  asio::co_spawn(this->Home, this->runAttempt(Sent), asio::detached);
}

HttpRequest IdempotentCall::requestFor(const Dispatch &Sent) const {
  const HttpRequest &Given = this->Exchange.request();
  HttpRequest Request{.Method = Given.Method,
                      .Target = this->Call.Target,
                      .Headers = {},
                      .Body = Given.Body};
  if (std::string_view Type = Given.Headers.value("Content-Type");
      !Type.empty())
    Request.Headers.add("Content-Type", Type);
  Request.Headers.add(header::RequestId, this->Call.RequestText);
  Request.Headers.add(header::Workspace, this->Call.Traffic.Workspace);
  Request.Headers.add(header::Class, this->Call.Traffic.Class);
  if (this->Call.Service->Kind == ServiceKind::Model) {
    Request.Headers.add(header::Group, Sent.TargetName);
    Request.Headers.add(header::GroupNumber, std::to_string(Sent.Number));
  }
  if (Sent.IsResume && this->StreamStarted)
    Request.Headers.add(header::ResumeFrom,
                        std::to_string(this->Events.count()));
  return Request;
}

asio::awaitable<void> IdempotentCall::runAttempt(Dispatch Sent) {
  Attempt &Mine = *this->Attempts.at(Sent.Attempt);
  AttemptSink Sink(*this, Sent);
  HttpCallOptions Options{
      .HeadTimeout = std::max<Duration>(this->Call.Deadline - monotonicNow(),
                                        std::chrono::milliseconds(1)),
      .ChunkTimeout = ChunkTimeout};
  HttpCallEnd End = HttpCallEnd::BrokenOff;
  try {
    HttpRequest Request = this->requestFor(Sent);
    End = co_await this->Parts.Endpoints.perform(
        Sent.Address, std::move(Request), std::move(Options), Sink,
        Mine.Control);
  } catch (const std::exception &) {
    // The sink wanted no more bytes, or the caller could not be written to.
    Mine.Cancelled = true;
  }
  AttemptOutcome Outcome;
  if (End == HttpCallEnd::Complete && Sink.busy())
    Outcome = {AttemptResult::Overloaded, BusyRetryAfter};
  else if (End == HttpCallEnd::Complete && this->Events.hasPartial())
    Outcome.Result = AttemptResult::FailedAfterSend;
  else if (End == HttpCallEnd::Complete)
    Outcome.Result = AttemptResult::Complete;
  else if (Mine.Cancelled)
    Outcome.Result = AttemptResult::Cancelled;
  else
    Outcome.Result = End == HttpCallEnd::NotWritten
                         ? AttemptResult::FailedBeforeSend
                         : AttemptResult::FailedAfterSend;
  if (Outcome.Result == AttemptResult::Complete)
    this->Complete = true;
  this->Attempts.erase(Sent.Attempt);
  this->Routing.finished(Sent.Attempt, Outcome);
  // Wakes run().
  this->Inbox->try_send(asio::error::eof, RoutingEffect());
}

HttpResponseHead
IdempotentCall::headForCaller(const HttpResponseHead &Head) const {
  HttpResponseHead Ours{.Status = Head.Status};
  if (std::string_view Type = Head.Headers.value("Content-Type"); !Type.empty())
    Ours.Headers.add("Content-Type", Type);
  Ours.Headers.add(header::RequestId, this->Call.RequestText);
  Ours.Headers.add(header::Outcome, "answered");
  return Ours;
}

asio::awaitable<void> IdempotentCall::finishAnswer() {
  this->Parts.Figures.countOutcome(this->Call.Traffic, "answered", "");
  this->Parts.Figures.observe(this->Call.Traffic, RequestTiming::Total,
                              monotonicNow() - this->Call.ArrivedAt);
  if (this->StreamStarted) {
    co_await this->Exchange.finishStream();
    co_return;
  }
  this->Whole.Headers.add(header::RequestId, this->Call.RequestText);
  this->Whole.Headers.add(header::Outcome, "answered");
  co_await this->Exchange.respond(std::move(this->Whole));
}

asio::awaitable<void> IdempotentCall::refuse(Problem Why) {
  this->Parts.Figures.countOutcome(this->Call.Traffic, Why.outcome(),
                                   Why.Reason);
  logEvent(Severity::Info, "request-refused",
           {{"request", this->Call.RequestText},
            {"workspace", this->Call.Traffic.Workspace},
            {"class", this->Call.Traffic.Class},
            {"service", this->Call.Service->Name},
            {"outcome", Why.outcome()},
            {"decision", Why.Reason}});
  if (!this->StreamStarted) {
    HttpResponse Response = Why.response(this->Call.RequestText);
    co_await this->Exchange.respond(std::move(Response));
    co_return;
  }
  // The stream is left without its last chunk, so that it cannot pass as
  // whole; the event tells a reader of events the same.
  std::string Event =
      "event: error\ndata: " + Why.json(this->Call.RequestText) + "\n\n";
  co_await this->Exchange.writeChunk(std::move(Event));
}

asio::awaitable<void> IdempotentCall::handOver(Forward To) {
  HostName Host =
      this->Parts.Others.choose(To.FailureDomain, this->Call.Service->Name);
  ForwardEnd End =
      co_await forwardRequest(this->Exchange, this->Parts.Links, Host,
                              this->Call.Deadline, this->Call.RequestText);
  if (End == ForwardEnd::Complete) {
    this->Parts.Figures.countOutcome(this->Call.Traffic, "forwarded", "");
    co_return;
  }
  this->StreamStarted = End == ForwardEnd::BrokenOff;
  Problem Why{.Status = 502,
              .NotRun = End == ForwardEnd::NotSent,
              .Reason = "forwarding-failed",
              .RetryAfter = std::chrono::seconds(1)};
  if (!this->Exchange.callerGone())
    co_await this->refuse(std::move(Why));
}

} // namespace carobhinge
