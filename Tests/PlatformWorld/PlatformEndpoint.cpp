//===- Tests/PlatformWorld/PlatformEndpoint.cpp - A simulated endpoint ----===//

#include <PlatformWorld/PlatformEndpoint.h>

#include <PlatformWorld/ExpectedAnswer.h>
#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <platform/WireNames.h>

namespace asio = boost::asio;
namespace json = boost::json;

namespace carobhinge {

/// How often the engine model and the group membership advance; events are sent
/// at most this much late.
static constexpr auto AdvanceInterval = std::chrono::milliseconds(5);
/// A heartbeat that is not acknowledged within this time has failed.
static constexpr auto ReportTimeout = std::chrono::milliseconds(1000);
/// How long an endpoint keeps serving after it announced that it is draining.
static constexpr auto DrainTime = std::chrono::milliseconds(2300);
/// Requests that an engine queues beyond its slots.
static constexpr std::size_t QueueLimit = 8;
static constexpr int PlainSlots = 24;
/// Requests to this path get an answer without end.
static constexpr std::string_view EndlessPath = "/endless";
static constexpr std::size_t EndlessChunkBytes = 64 * 1024;
/// Requests of this path get the longest body that entry hosts pass on.
static constexpr std::string_view LongPath = "/long";
static constexpr std::size_t LongBodyBytes = std::size_t(4) * 1024 * 1024;

static std::int64_t wallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

PlatformEndpoint::PlatformEndpoint(EndpointSimulator &Endpoints,
                                   EndpointName Name,
                                   FailureDomainName FailureDomain,
                                   FabricDomainName FabricDomain,
                                   const std::string &LinkAddress)
    : Endpoints(Endpoints), Id(std::move(Name)),
      Domain(std::move(FailureDomain)), Fabric(std::move(FabricDomain)),
      LinkAddress(LinkAddress),
      Client(Endpoints.Context.get_executor(), {.SingleThread = true}),
      Server(Endpoints.Context.get_executor(), {.Listen = "127.0.0.1:0"},
             [this](HttpExchange &Exchange) { return this->handle(Exchange); }),
      StartedAtMs(wallMilliseconds()),
      Changed(Endpoints.Context.get_executor()) {
  this->Link = std::make_unique<LinkStandIn>(
      Endpoints.Context.get_executor(),
      LinkStandInOptions{.Listen = this->LinkAddress,
                         .TargetAddress = this->Server.address(),
                         .Control = ""});
}

void PlatformEndpoint::start() {
  this->Server.start();
  this->Link->start();
  asio::co_spawn(this->Endpoints.Context, this->reportLoop(), asio::detached);
  if (this->isEngine())
    asio::co_spawn(this->Endpoints.Context, this->advanceLoop(),
                   asio::detached);
}

void PlatformEndpoint::crash() {
  this->IsRunning = false;
  this->Endpoints.recordLife(this->Id, false);
  if (this->isEngine())
    this->Endpoints.Pool.setRunning(this->Id, false);
  this->Link->setMode(LinkMode::Cut);
  this->failWork();
}

void PlatformEndpoint::restart() {
  if (this->IsRunning)
    return;
  this->IsRunning = true;
  this->IsDraining = false;
  this->LeavesInAnswers = false;
  this->StartedAtMs = wallMilliseconds();
  this->Sequence = 0;
  this->Endpoints.recordLife(this->Id, true);
  this->Endpoints.endRecords(
      [this](const auto &Pair) { return Pair.first == this->Id; });
  if (this->isEngine()) {
    this->Endpoints.Pool.member(this->Id).restart();
    this->Endpoints.Pool.setRunning(this->Id, true);
  }
  this->Link->setMode(LinkMode::Pass);
  this->Changed.fire();
}

void PlatformEndpoint::drain() {
  if (this->IsRunning && !this->IsDraining)
    asio::co_spawn(this->Endpoints.Context, this->drainAndStop(),
                   asio::detached);
}

asio::awaitable<void> PlatformEndpoint::drainAndStop() {
  this->IsDraining = true;
  this->Endpoints.recordLife(this->Id, false);
  this->Changed.fire();
  Signal Pause(this->Endpoints.Context.get_executor());
  co_await Pause.wait(DrainTime);
  if (this->IsRunning)
    this->crash();
}

asio::awaitable<void> PlatformEndpoint::crashAndRestart() {
  ++this->Endpoints.CrashedEngines;
  this->crash();
  Signal Pause(this->Endpoints.Context.get_executor());
  co_await Pause.wait(this->Endpoints.Options.CrashTime);
  this->restart();
}

void PlatformEndpoint::fallSilent(Duration Length) {
  // Two silences with nothing between them are one that is too long.
  bool WasSilent = this->SuspendedUntil != TimePoint::min() &&
                   monotonicNow() < this->SuspendedUntil +
                                        this->Endpoints.Options.ReportInterval;
  if (this->IsSuspended || WasSilent)
    return;
  this->IsSuspended = true;
  this->Endpoints.recordSilence(this->Id);
  this->Link->setHeld(true);
  if (this->isEngine())
    this->Endpoints.Pool.setSuspended(this->Id, true);
  asio::co_spawn(this->Endpoints.Context, this->goOnAfter(Length),
                 asio::detached);
}

asio::awaitable<void> PlatformEndpoint::goOnAfter(Duration Length) {
  Signal Pause(this->Endpoints.Context.get_executor());
  co_await Pause.wait(Length);
  this->IsSuspended = false;
  this->SuspendedUntil = monotonicNow();
  this->Endpoints.recordSilenceEnd(this->Id);
  this->Link->setHeld(false);
  if (this->isEngine())
    this->Endpoints.Pool.setSuspended(this->Id, false);
  this->Changed.fire();
}

bool PlatformEndpoint::isCrashing(const HttpRequest &Request) const {
  const std::string &Part = this->Endpoints.CrashingPart;
  if (Part.empty())
    return false;
  std::string Parts =
      "," + std::string(Request.Headers.value(platform::PromptPartsField));
  std::size_t At = Parts.find("," + Part + ":");
  return At != std::string::npos &&
         Parts.find(',', At + 1) != std::string::npos;
}

json::object PlatformEndpoint::state() const {
  json::object State;
  State["service"] = this->isEngine() ? this->Endpoints.Options.ModelService
                                      : this->Endpoints.Options.PlainService;
  State["addr"] = this->LinkAddress;
  State["zone"] = this->Domain;
  State["version"] = "v1";
  State["slots"] =
      this->isEngine() ? this->Endpoints.Options.Engines.Slots : PlainSlots;
  State["state"] = this->IsDraining ? "draining" : "ready";
  State["cold_left_ms"] = 0;
  State["born"] = this->StartedAtMs;
  if (!this->isEngine())
    return State;
  const GroupMember &Member = this->Endpoints.Pool.member(this->Id);
  State["phase"] = "colocated";
  State["domain"] = this->Fabric;
  json::array Staged;
  for (const ModelName &Each : Member.staged())
    Staged.emplace_back(Each);
  State["staged"] = std::move(Staged);
  if (const auto &Membership = Member.membership()) {
    static constexpr std::array<std::string_view, 5> States = {
        "joining", "ready", "open", "closing", "broken"};
    json::object Group;
    Group["name"] = Membership->Group;
    Group["epoch"] = Membership->Epoch;
    Group["rank"] = Membership->Rank;
    Group["state"] = States[static_cast<std::size_t>(Membership->State)];
    State["group"] = std::move(Group);
  }
  return State;
}

asio::awaitable<bool> PlatformEndpoint::reportOnce() {
  const std::vector<std::string> &Hosts =
      this->Endpoints.Options.ControlAddresses;
  json::object State = this->state();
  State["seq"] = ++this->Sequence;
  std::string Body = json::serialize(State);
  for (std::size_t I = 0; I < Hosts.size(); ++I) {
    const std::string &To =
        Hosts[(hash64(this->Id) + this->Sequence / 8 + I) % Hosts.size()];
    HttpRequest Request{.Method = "PUT",
                        .Target = "/instances/" + this->Id,
                        .Headers = {{"Content-Type", "application/json"}},
                        .Body = Body};
    HttpCallOptions Options{.ConnectTimeout = ReportTimeout,
                            .HeadTimeout = ReportTimeout,
                            .ChunkTimeout = ReportTimeout};
    HttpFetchResult Answer = co_await this->Client.fetch(
        To, std::move(Request), std::move(Options), 4096);
    if (Answer.Outcome == HttpCallOutcome::Complete && Answer.Head.Status < 300)
      co_return true;
  }
  co_return false;
}

asio::awaitable<void> PlatformEndpoint::reportLoop() {
  while (true) {
    this->Changed.reset();
    if (this->IsRunning && !this->IsSilent && !this->IsSuspended)
      co_await this->reportOnce();
    co_await this->Changed.wait(this->Endpoints.Options.ReportInterval);
  }
}

bool PlatformEndpoint::isServing() const {
  const auto &Membership = this->Endpoints.Pool.member(this->Id).membership();
  return Membership && Membership->Rank == 0 &&
         Membership->State == MemberState::Open;
}

double PlatformEndpoint::requestLimit() const {
  return hash64(this->Id) % 3 == 0 ? 0 : this->Endpoints.RequestLimit.load();
}

void PlatformEndpoint::recordLimitedArrival() {
  if (this->requestLimit() <= 0)
    return;
  std::lock_guard Guard(this->Endpoints.ArrivalLock);
  this->Endpoints.LimitedArrivals[this->Id].push_back(monotonicNow());
}

void PlatformEndpoint::failWork() {
  for (auto &[Number, Current] : this->Generations) {
    Current->Failed = true;
    Current->Progress.fire();
  }
  // The next group may run another model.
  this->Model.reset();
}

void PlatformEndpoint::advanceMembership() {
  GroupMember &Member = this->Endpoints.Pool.member(this->Id);
  if (Member.advance(monotonicNow()))
    this->Changed.fire();
}

void PlatformEndpoint::advanceWork(TimePoint Now) {
  if (!this->isServing())
    return;
  if (this->Endpoints.Pool.isComplete(this->Id)) {
    this->StalledSince.reset();
  } else {
    // The group makes no progress while a member is missing.
    if (!this->StalledSince)
      this->StalledSince = Now;
    if (this->Model)
      this->Model->delayPass(AdvanceInterval);
    if (Now - *this->StalledSince > this->Endpoints.Options.StallTimeout) {
      this->Endpoints.Pool.member(this->Id).markBroken();
      this->failWork();
      this->Changed.fire();
    }
    return;
  }
  if (!this->Model)
    return;
  for (const GenerationProgress &Each : this->Model->advance(Now)) {
    auto Found = this->Generations.find(Each.Number);
    if (Found == this->Generations.end())
      continue;
    ++Found->second->Events;
    Found->second->Finished = Each.Finished;
    Found->second->Progress.fire();
  }
}

asio::awaitable<void> PlatformEndpoint::advanceLoop() {
  Signal Pause(this->Endpoints.Context.get_executor());
  while (true) {
    if (this->IsSuspended && this->Model) {
      this->Model->delayPass(AdvanceInterval);
    } else if (this->IsRunning && !this->IsSuspended) {
      this->advanceMembership();
      this->advanceWork(monotonicNow());
    }
    co_await Pause.wait(AdvanceInterval);
  }
}

HttpHeaders PlatformEndpoint::answerFields(const HttpRequest &Request) const {
  HttpHeaders Fields;
  Fields.add(platform::AttemptIdField,
             Request.Headers.value(platform::AttemptIdField));
  if (this->IsDraining || this->LeavesInAnswers)
    Fields.add(platform::LeavingField, "1");
  return Fields;
}

asio::awaitable<void> PlatformEndpoint::refuse(HttpExchange &Exchange,
                                               unsigned Status,
                                               Duration Pause) {
  HttpResponse Response{.Status = Status,
                        .Headers = this->answerFields(Exchange.request()),
                        .Body = R"({"error":"not run"})"};
  Response.Headers.add(platform::NotRunField, "1");
  if (Pause > Duration::zero())
    Response.Headers.add(
        platform::RetryAfterField,
        std::to_string(std::chrono::duration<double>(Pause).count()));
  HttpHeaders Fields = Response.Headers;
  co_await Exchange.respond(std::move(Response));
  // A request that reached an endpoint by mistake says nothing about it.
  if (Status != 421)
    this->recordSaidLeaving(Exchange, Fields);
}

/// Orders and probes of the control hosts, which no caller has sent.
static bool isControlRequest(const HttpRequest &Request) {
  return Request.path() == "/order" || Request.path() == "/report";
}

void PlatformEndpoint::recordSaidLeaving(const HttpExchange &Exchange,
                                         const HttpHeaders &Answer) {
  if (!this->LeavesInAnswers || Answer.count(platform::LeavingField) == 0 ||
      isControlRequest(Exchange.request()))
    return;
  std::lock_guard Guard(this->Endpoints.ArrivalLock);
  this->Endpoints.Leavings.try_emplace(
      {this->Id, Exchange.callerIp()},
      EndpointSimulator::LeavingRecord{
          .SaidAt = monotonicNow(),
          .SaidTo = Exchange.request().Target + " " +
                    std::string(Answer.value(platform::AttemptIdField)),
          .SaidAtMs = wallMilliseconds(),
          .Arrivals = {}});
}

Duration PlatformEndpoint::recordArrivalFrom(const HttpExchange &Exchange) {
  /// Requests that are on their way when a host learns of a pause.
  static constexpr auto PauseGrace = std::chrono::milliseconds(500);
  std::pair Pair{this->Id, Exchange.callerIp()};
  TimePoint Now = monotonicNow();
  Duration Length = hash64(this->Id) % 3 == 0
                        ? Duration::zero()
                        : this->Endpoints.RequestedPause.load();
  std::lock_guard Guard(this->Endpoints.ArrivalLock);
  if (auto Leaving = this->Endpoints.Leavings.find(Pair);
      Leaving != this->Endpoints.Leavings.end() &&
      !isControlRequest(Exchange.request()))
    Leaving->second.Arrivals.push_back(
        {.At = Now,
         .Request =
             Exchange.request().Method + " " + Exchange.request().Target + " " +
             std::string(
                 Exchange.request().Headers.value(platform::AttemptIdField))});
  EndpointSimulator::PauseRecord &Record = this->Endpoints.Pauses[Pair];
  if (Now < Record.Until) {
    if (Now >= Record.From)
      Record.MostArrivals = std::max(Record.MostArrivals, ++Record.Arrivals);
    return Record.Until - Now;
  }
  if (Length > Duration::zero()) {
    Record.From = Now + PauseGrace;
    Record.Until = Now + Length;
    Record.Arrivals = 0;
    ++Record.Requested;
  }
  return Length;
}

asio::awaitable<void> PlatformEndpoint::handle(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  std::string_view Expected = Request.Headers.value(platform::ExpectedField);
  if (!Expected.empty() && Expected != this->Id)
    co_return co_await this->refuse(Exchange, 421);
  if (isControlRequest(Request))
    if (Duration Pause = this->recordArrivalFrom(Exchange);
        Pause > Duration::zero())
      co_return co_await this->refuse(Exchange, 503, Pause);
  if (Request.path() == "/order")
    co_return co_await this->handleOrder(Exchange);
  if (Request.path() == "/report" || Request.path() == "/healthz") {
    HttpResponse Response{.Body = json::serialize(this->state())};
    Response.Headers.add("X-Carobhinge-Instance-Id", this->Id);
    co_return co_await Exchange.respond(std::move(Response));
  }
  ++this->Arrivals;
  // API keys are secrets of the callers; the system must not forward them.
  if (Request.Headers.count(platform::KeyField) > 0)
    this->Endpoints.Executions.reportViolation(
        "an API key was passed on to an endpoint");
  if (Request.Headers.value(platform::WorkspaceField).empty())
    this->Endpoints.Executions.reportViolation(
        "a request without its workspace");
  if (Request.Headers.value(platform::DeadlineField).empty())
    this->Endpoints.Executions.reportViolation(
        "a request without its deadline");
  if (this->isEngine() && !this->isServing())
    co_return co_await this->refuse(Exchange, 421);
  Duration Pause = this->recordArrivalFrom(Exchange);
  if (Pause > Duration::zero())
    co_return co_await this->refuse(Exchange, 503, Pause);
  if (this->isEngine())
    co_return co_await this->handleGeneration(Exchange);
  co_await this->handlePlainRequest(Exchange);
}

asio::awaitable<void> PlatformEndpoint::handleOrder(HttpExchange &Exchange) {
  boost::system::error_code Error;
  json::value Value = json::parse(Exchange.request().Body, Error);
  HttpResponse Response{.Status = 400, .Body = "{}"};
  if (Error || !Value.is_object() || !this->isEngine())
    co_return co_await Exchange.respond(std::move(Response));
  const json::object &Body = Value.as_object();
  auto Text = [&](const char *Name) {
    const json::value *Found = Body.if_contains(Name);
    return Found != nullptr ? std::string(Found->as_string()) : std::string();
  };
  EngineOrder Order{.Recipient = this->Id, .Group = Text("group")};
  Order.Verb = Text("op") == "join"   ? OrderVerb::Join
               : Text("op") == "open" ? OrderVerb::Open
                                      : OrderVerb::Leave;
  Order.Epoch = Body.at("epoch").to_number<std::uint64_t>();
  Order.Token = Body.at("fencing_token").to_number<std::uint64_t>();
  Order.Model = Text("model");
  if (const json::value *Members = Body.if_contains("members"))
    for (const json::value &Each : Members->as_array())
      Order.Members.emplace_back(Each.as_string());
  std::size_t Before = this->Endpoints.Pool.violations().size();
  OrderResult Result = this->Endpoints.Pool.executeOrder(monotonicNow(), Order);
  if (this->Endpoints.Pool.violations().size() > Before)
    this->Endpoints.Executions.reportViolation(
        this->Endpoints.Pool.violations().back());
  // A new member list, like the end of a group, aborts its running requests.
  if (Result == OrderResult::Accepted && Order.Verb != OrderVerb::Open &&
      !this->isServing())
    this->failWork();
  Response.Status = Result == OrderResult::Accepted  ? 202
                    : Result == OrderResult::Refused ? 409
                                                     : 412;
  this->Changed.fire();
  co_await Exchange.respond(std::move(Response));
}

static int numberAt(std::string_view Text, std::size_t From, int Default) {
  int Value = Default;
  if (From <= Text.size())
    std::from_chars(Text.data() + From, Text.data() + Text.size(), Value);
  return Value;
}

/// \returns how many events of the answer to \p AttemptId its caller has, by
/// the id of the last one; 0 if it names none of them.
static int eventsUntil(const std::string &AttemptId, std::string_view LastId) {
  static constexpr int MaxEvents = 1000;
  for (int Event = 1; !LastId.empty() && Event <= MaxEvents; ++Event)
    if (expectedEventId(AttemptId, static_cast<std::uint64_t>(Event)) == LastId)
      return Event;
  return 0;
}

asio::awaitable<void>
PlatformEndpoint::handleGeneration(HttpExchange &Exchange) {
  const HttpHeaders &Fields = Exchange.request().Headers;
  const GroupMember &Member = this->Endpoints.Pool.member(this->Id);
  if (Fields.value(platform::ModelField) != Member.model())
    this->Endpoints.Executions.reportViolation(
        "a request for a model other than the group's");
  std::size_t MaxGenerations =
      static_cast<std::size_t>(this->Endpoints.Options.Engines.Slots) +
      QueueLimit;
  if (this->Generations.size() >= MaxGenerations)
    co_return co_await this->refuse(Exchange, 503);
  this->recordLimitedArrival();
  if (this->isCrashing(Exchange.request()))
    ++this->Endpoints.CrashingArrivals;
  if (!this->Model) {
    this->Model.emplace(this->Endpoints.Options.Engines,
                        *this->Endpoints.Options.Engines.model(Member.model()));
    this->Model->setPace(this->Pace);
  }
  std::string_view Tokens = Fields.value(platform::TokensField);
  std::size_t Comma = std::min(Tokens.find(','), Tokens.size());
  int ResumedEvents =
      eventsUntil(std::string(Fields.value(platform::AttemptIdField)),
                  Fields.value(platform::ResumeField));
  int AnswerTokens = numberAt(Tokens, Comma + 1, 1);
  if (ResumedEvents > 0 &&
      ResumedEvents * StandInTokensPerEvent >= AnswerTokens) {
    // The caller has all events; only the end of the stream was lost.
    HttpResponseHead Head = this->streamHead(Exchange.request());
    co_await Exchange.startStream(Head);
    this->recordSaidLeaving(Exchange, Head.Headers);
    co_return co_await Exchange.finishStream();
  }
  Generation Current(this->Endpoints.Context.get_executor());
  std::uint64_t Number = ++this->LastNumber;
  this->Generations[Number] = &Current;
  this->Model->accept(
      monotonicNow(),
      {.Number = Number,
       .PromptTokens =
           numberAt(Tokens, 0, 1) + ResumedEvents * StandInTokensPerEvent,
       .AnswerTokens = std::max(1, numberAt(Tokens, Comma + 1, 1) -
                                       ResumedEvents * StandInTokensPerEvent)});
  std::exception_ptr Error;
  try {
    co_await this->writeStream(Exchange, Current,
                               static_cast<std::uint64_t>(ResumedEvents) + 1);
  } catch (...) {
    Error = std::current_exception();
  }
  // The connection outlives the request, whose state the callback refers to.
  Exchange.onCallerDisconnected(nullptr);
  this->Generations.erase(Number);
  if (this->Model)
    this->Model->cancel(Number);
  if (Error)
    std::rethrow_exception(Error);
}

HttpResponseHead
PlatformEndpoint::streamHead(const HttpRequest &Request) const {
  HttpResponseHead Head{.Status = 200, .Headers = this->answerFields(Request)};
  std::string AttemptId(Request.Headers.value(platform::AttemptIdField));
  Head.Headers.add("Content-Type", "text/event-stream");
  Head.Headers.add(platform::SignatureField, "stamp-" + digest(AttemptId));
  if (double Limit = this->requestLimit(); Limit > 0)
    Head.Headers.add(platform::RequestLimitField, std::to_string(Limit));
  return Head;
}

asio::awaitable<void> PlatformEndpoint::writeStream(HttpExchange &Exchange,
                                                    Generation &Current,
                                                    std::uint64_t First) {
  std::string AttemptId(
      Exchange.request().Headers.value(platform::AttemptIdField));
  Exchange.onCallerDisconnected([&Current] {
    Current.Failed = true;
    Current.Progress.fire();
  });
  HttpResponseHead Head = this->streamHead(Exchange.request());
  bool HeadSent = false;
  int Written = 0;
  while (!Current.Failed && (Written < Current.Events || !Current.Finished)) {
    Current.Progress.reset();
    if (Written < Current.Events) {
      if (!HeadSent) {
        // A request counts as executed from its first token on.
        this->Endpoints.Executions.recordExecution(AttemptId);
        co_await Exchange.startStream(Head);
        this->recordSaidLeaving(Exchange, Head.Headers);
      }
      HeadSent = true;
      std::string Event =
          expectedEvent(AttemptId, First + static_cast<std::uint64_t>(Written));
      ++Written;
      co_await Exchange.writeChunk(std::move(Event));
      if (Written == 1 && this->IsRunning &&
          this->isCrashing(Exchange.request()))
        asio::co_spawn(this->Endpoints.Context, this->crashAndRestart(),
                       asio::detached);
      continue;
    }
    co_await Current.Progress.wait(std::chrono::seconds(30));
  }
  if (!Current.Failed)
    co_return co_await Exchange.finishStream();
  if (Exchange.callerDisconnected() || !this->IsRunning || HeadSent)
    throw boost::system::system_error(asio::error::connection_reset);
  co_await this->refuse(Exchange, 503);
}

asio::awaitable<void>
PlatformEndpoint::writeWithoutEnd(HttpExchange &Exchange) {
  HttpResponseHead Head;
  Head.Headers.add(platform::AttemptIdField,
                   Exchange.request().Headers.value(platform::AttemptIdField));
  Head.Headers.add(platform::SignatureField, "stamp");
  co_await Exchange.startStream(std::move(Head));
  ++this->Endpoints.OpenEndlessAnswers;
  auto CountClosed = [](std::atomic<unsigned> *Open) { --*Open; };
  std::unique_ptr<std::atomic<unsigned>, decltype(CountClosed)> Guard(
      &this->Endpoints.OpenEndlessAnswers, CountClosed);
  while (!Exchange.callerDisconnected()) {
    std::string Bytes(EndlessChunkBytes, 'x');
    this->Endpoints.EndlessBytes += Bytes.size();
    co_await Exchange.writeChunk(std::move(Bytes));
  }
}

asio::awaitable<void>
PlatformEndpoint::handlePlainRequest(HttpExchange &Exchange) {
  std::string AttemptId(
      Exchange.request().Headers.value(platform::AttemptIdField));
  if (this->Active >= PlainSlots)
    co_return co_await this->refuse(Exchange, 503);
  if (Exchange.request().path().ends_with(EndlessPath))
    co_return co_await this->writeWithoutEnd(Exchange);
  const std::string &CrashingTarget = this->Endpoints.CrashingTarget;
  bool IsCrashing =
      !CrashingTarget.empty() && Exchange.request().Target == CrashingTarget;
  if (IsCrashing)
    ++this->Endpoints.CrashingArrivals;
  ++this->Active;
  this->Endpoints.Executions.recordExecution(AttemptId);
  Signal Pause(this->Endpoints.Context.get_executor());
  co_await Pause.wait(this->Endpoints.Options.PlainWork);
  --this->Active;
  if (IsCrashing && this->IsRunning) {
    asio::co_spawn(this->Endpoints.Context, this->crashAndRestart(),
                   asio::detached);
    throw boost::system::system_error(asio::error::connection_reset);
  }
  HttpResponse Response{.Headers = this->answerFields(Exchange.request()),
                        .Body = expectedBody(AttemptId)};
  if (Exchange.request().path().ends_with(LongPath))
    Response.Body.assign(LongBodyBytes, 'x');
  Response.Headers.add(platform::SignatureField, "stamp-" + digest(AttemptId));
  HttpHeaders Fields = Response.Headers;
  co_await Exchange.respond(std::move(Response));
  this->recordSaidLeaving(Exchange, Fields);
}

} // namespace carobhinge
