//===- Tests/PlatformWorld/PlatformEndpoint.cpp - One endpoint ------------===//

#include <PlatformWorld/PlatformEndpoint.h>

#include <PlatformWorld/Expected.h>
#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <platform/WireNames.h>

namespace asio = boost::asio;
namespace json = boost::json;

namespace carobhinge {

/// Between two looks at passes and joins; events leave at most this much late.
static constexpr auto PumpInterval = std::chrono::milliseconds(5);
/// A heartbeat counts only if it is acknowledged in this time.
static constexpr auto ReportTimeout = std::chrono::milliseconds(1000);
/// After the announcement of an end.
static constexpr auto DrainTime = std::chrono::milliseconds(2300);
/// Requests that wait beyond the slots.
static constexpr std::size_t QueueLimit = 8;
static constexpr int PlainSlots = 24;

static std::int64_t wallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

PlatformEndpoint::PlatformEndpoint(EndpointField &Field, EndpointName Name,
                                   FailureDomainName Where,
                                   FabricDomainName Domain,
                                   const std::string &LinkAddress)
    : Field(Field), Id(std::move(Name)), Place(std::move(Where)),
      Fabric(std::move(Domain)), LinkAddress(LinkAddress),
      Client(Field.Context.get_executor(), {.SingleThread = true}),
      Server(Field.Context.get_executor(), {.Listen = "127.0.0.1:0"},
             [this](HttpExchange &Exchange) { return this->handle(Exchange); }),
      StartedAtMs(wallMilliseconds()), Changed(Field.Context.get_executor()) {
  this->Link = std::make_unique<LinkStandIn>(
      Field.Context.get_executor(),
      LinkStandInOptions{.Listen = this->LinkAddress,
                         .To = this->Server.address(),
                         .Control = ""});
}

void PlatformEndpoint::start() {
  this->Server.start();
  this->Link->start();
  asio::co_spawn(this->Field.Context, this->reportLoop(), asio::detached);
  if (this->isEngine())
    asio::co_spawn(this->Field.Context, this->pumpLoop(), asio::detached);
}

void PlatformEndpoint::crash() {
  this->Alive = false;
  if (this->isEngine())
    this->Field.Crowd.setAlive(this->Id, false);
  this->Link->setMode(LinkMode::Cut);
  this->failWork();
}

void PlatformEndpoint::revive() {
  if (this->Alive)
    return;
  this->Alive = true;
  this->Leaving = false;
  this->StartedAtMs = wallMilliseconds();
  this->Sequence = 0;
  if (this->isEngine()) {
    this->Field.Crowd.member(this->Id).restart();
    this->Field.Crowd.setAlive(this->Id, true);
  }
  this->Link->setMode(LinkMode::Pass);
  this->Changed.fire();
}

void PlatformEndpoint::drain() {
  if (this->Alive && !this->Leaving)
    asio::co_spawn(this->Field.Context, this->leave(), asio::detached);
}

asio::awaitable<void> PlatformEndpoint::leave() {
  this->Leaving = true;
  this->Changed.fire();
  Signal Pause(this->Field.Context.get_executor());
  co_await Pause.wait(DrainTime);
  if (this->Alive)
    this->crash();
}

json::object PlatformEndpoint::state() const {
  json::object State;
  State["service"] = this->isEngine() ? this->Field.Options.ModelService
                                      : this->Field.Options.PlainService;
  State["addr"] = this->LinkAddress;
  State["zone"] = this->Place;
  State["version"] = "v1";
  State["slots"] =
      this->isEngine() ? this->Field.Options.Engines.Slots : PlainSlots;
  State["state"] = this->Leaving ? "draining" : "ready";
  State["cold_left_ms"] = 0;
  State["born"] = this->StartedAtMs;
  if (!this->isEngine())
    return State;
  const GroupMember &Member = this->Field.Crowd.member(this->Id);
  State["phase"] = "colocated";
  State["domain"] = this->Fabric;
  json::array Staged;
  for (const ModelName &Each : Member.staged())
    Staged.emplace_back(Each);
  State["staged"] = std::move(Staged);
  if (const auto &Its = Member.membership()) {
    static constexpr std::array<std::string_view, 5> States = {
        "joining", "ready", "open", "closing", "broken"};
    json::object Group;
    Group["name"] = Its->Group;
    Group["epoch"] = Its->Epoch;
    Group["rank"] = Its->Rank;
    Group["state"] = States[static_cast<std::size_t>(Its->State)];
    State["group"] = std::move(Group);
  }
  return State;
}

asio::awaitable<bool> PlatformEndpoint::reportOnce() {
  const std::vector<std::string> &Hosts = this->Field.Options.ControlAddresses;
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
    HttpAnswer Answer = co_await this->Client.fetch(To, std::move(Request),
                                                    std::move(Options), 4096);
    if (Answer.End == HttpCallEnd::Complete && Answer.Head.Status < 300)
      co_return true;
  }
  co_return false;
}

asio::awaitable<void> PlatformEndpoint::reportLoop() {
  while (true) {
    this->Changed.reset();
    if (this->Alive)
      co_await this->reportOnce();
    co_await this->Changed.wait(this->Field.Options.ReportInterval);
  }
}

bool PlatformEndpoint::serves() const {
  const auto &Its = this->Field.Crowd.member(this->Id).membership();
  return Its && Its->Rank == 0 && Its->State == MemberState::Open;
}

void PlatformEndpoint::failWork() {
  for (auto &[Number, Running] : this->Generations) {
    Running->Failed = true;
    Running->News.fire();
  }
  // The next group may be of another model.
  this->Model.reset();
}

void PlatformEndpoint::advanceMembership() {
  GroupMember &Member = this->Field.Crowd.member(this->Id);
  if (Member.advance(monotonicNow()))
    this->Changed.fire();
}

void PlatformEndpoint::advanceWork(TimePoint Now) {
  if (!this->serves())
    return;
  if (this->Field.Crowd.isWhole(this->Id)) {
    this->StandsSince.reset();
  } else {
    // Nothing moves while a member is missing.
    if (!this->StandsSince)
      this->StandsSince = Now;
    if (this->Model)
      this->Model->delay(PumpInterval);
    if (Now - *this->StandsSince > this->Field.Options.StandTime) {
      this->Field.Crowd.member(this->Id).breakOff();
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
    Found->second->News.fire();
  }
}

asio::awaitable<void> PlatformEndpoint::pumpLoop() {
  Signal Pause(this->Field.Context.get_executor());
  while (true) {
    if (this->Alive) {
      this->advanceMembership();
      this->advanceWork(monotonicNow());
    }
    co_await Pause.wait(PumpInterval);
  }
}

static HttpResponse refused(unsigned Status) {
  HttpResponse Response{.Status = Status, .Body = R"({"error":"not run"})"};
  Response.Headers.add(platform::NotRunField, "1");
  return Response;
}

asio::awaitable<void> PlatformEndpoint::handle(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  std::string_view Expected = Request.Headers.value(platform::ExpectedField);
  if (!Expected.empty() && Expected != this->Id)
    co_return co_await Exchange.respond(refused(421));
  if (Request.path() == "/order")
    co_return co_await this->takeOrder(Exchange);
  if (Request.path() == "/report" || Request.path() == "/healthz") {
    HttpResponse Response{.Body = json::serialize(this->state())};
    Response.Headers.add("X-Carobhinge-Instance-Id", this->Id);
    co_return co_await Exchange.respond(std::move(Response));
  }
  // A key is the caller's secret.
  if (Request.Headers.count(platform::KeyField) > 0)
    this->Field.Book.broken("a key was passed on");
  if (Request.Headers.value(platform::WorkspaceField).empty())
    this->Field.Book.broken("a request without its workspace");
  if (Request.Headers.value(platform::DeadlineField).empty())
    this->Field.Book.broken("a request without its deadline");
  if (this->isEngine())
    co_return co_await this->generate(Exchange);
  co_await this->work(Exchange);
}

asio::awaitable<void> PlatformEndpoint::takeOrder(HttpExchange &Exchange) {
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
  EngineOrder Order{.To = this->Id, .Group = Text("group")};
  Order.Verb = Text("op") == "join"   ? OrderVerb::Join
               : Text("op") == "open" ? OrderVerb::Open
                                      : OrderVerb::Leave;
  Order.Epoch = Body.at("epoch").to_number<std::uint64_t>();
  Order.Token = Body.at("fencing_token").to_number<std::uint64_t>();
  Order.Model = Text("model");
  if (const json::value *Members = Body.if_contains("members"))
    for (const json::value &Each : Members->as_array())
      Order.Members.emplace_back(Each.as_string());
  std::size_t Before = this->Field.Crowd.broken().size();
  OrderResult Result = this->Field.Crowd.carryOut(monotonicNow(), Order);
  if (this->Field.Crowd.broken().size() > Before)
    this->Field.Book.broken(this->Field.Crowd.broken().back());
  // A new list of members, and the end of a group, stop what runs in it.
  if (Result == OrderResult::Accepted && Order.Verb != OrderVerb::Open &&
      !this->serves())
    this->failWork();
  Response.Status = Result == OrderResult::Accepted  ? 202
                    : Result == OrderResult::Refused ? 409
                                                     : 412;
  this->Changed.fire();
  co_await Exchange.respond(std::move(Response));
}

static int numberAt(std::string_view Text, std::size_t From, int Otherwise) {
  int Value = Otherwise;
  if (From <= Text.size())
    std::from_chars(Text.data() + From, Text.data() + Text.size(), Value);
  return Value;
}

asio::awaitable<void> PlatformEndpoint::generate(HttpExchange &Exchange) {
  const HttpHeaders &Fields = Exchange.request().Headers;
  if (!this->serves())
    co_return co_await Exchange.respond(refused(421));
  const GroupMember &Member = this->Field.Crowd.member(this->Id);
  if (Fields.value(platform::ModelField) != Member.model())
    this->Field.Book.broken("a request for another model");
  std::size_t Most =
      static_cast<std::size_t>(this->Field.Options.Engines.Slots) + QueueLimit;
  if (this->Generations.size() >= Most)
    co_return co_await Exchange.respond(refused(503));
  if (!this->Model) {
    this->Model.emplace(this->Field.Options.Engines,
                        *this->Field.Options.Engines.model(Member.model()));
    this->Model->setPace(this->Pace);
  }
  std::string_view Tokens = Fields.value(platform::TokensField);
  std::size_t Comma = std::min(Tokens.find(','), Tokens.size());
  int Given = numberAt(Fields.value(platform::ResumeField), 0, 0);
  Generation Running(this->Field.Context.get_executor());
  std::uint64_t Number = ++this->LastNumber;
  this->Generations[Number] = &Running;
  this->Model->accept(
      monotonicNow(),
      {.Number = Number,
       .PromptTokens = numberAt(Tokens, 0, 1) + Given * StandInTokensPerEvent,
       .AnswerTokens = std::max(1, numberAt(Tokens, Comma + 1, 1) -
                                       Given * StandInTokensPerEvent)});
  std::exception_ptr Error;
  try {
    co_await this->stream(Exchange, Running,
                          static_cast<std::uint64_t>(Given) + 1);
  } catch (...) {
    Error = std::current_exception();
  }
  // The connection outlives the request.
  Exchange.onCallerGone(nullptr);
  this->Generations.erase(Number);
  if (this->Model)
    this->Model->cancel(Number);
  if (Error)
    std::rethrow_exception(Error);
}

asio::awaitable<void> PlatformEndpoint::stream(HttpExchange &Exchange,
                                               Generation &Running,
                                               std::uint64_t First) {
  std::string AttemptId(
      Exchange.request().Headers.value(platform::AttemptIdField));
  Exchange.onCallerGone([&Running] {
    Running.Failed = true;
    Running.News.fire();
  });
  HttpResponseHead Head{.Status = 200,
                        .Headers = {{"Content-Type", "text/event-stream"}}};
  Head.Headers.add(platform::AttemptIdField, AttemptId);
  Head.Headers.add(platform::SignatureField, "stamp-" + digest(AttemptId));
  bool Started = false;
  int Written = 0;
  while (!Running.Failed && (Written < Running.Events || !Running.Finished)) {
    Running.News.reset();
    if (Written < Running.Events) {
      if (!Started) {
        // A request runs from its first token on.
        this->Field.Book.ran(AttemptId);
        co_await Exchange.startStream(Head);
      }
      Started = true;
      std::string Event =
          expectedEvent(AttemptId, First + static_cast<std::uint64_t>(Written));
      ++Written;
      co_await Exchange.writeChunk(std::move(Event));
      continue;
    }
    co_await Running.News.wait(std::chrono::seconds(30));
  }
  if (!Running.Failed)
    co_return co_await Exchange.finishStream();
  if (Exchange.callerGone() || !this->Alive || Started)
    throw boost::system::system_error(asio::error::connection_reset);
  co_await Exchange.respond(refused(503));
}

asio::awaitable<void> PlatformEndpoint::work(HttpExchange &Exchange) {
  std::string AttemptId(
      Exchange.request().Headers.value(platform::AttemptIdField));
  if (this->Active >= PlainSlots)
    co_return co_await Exchange.respond(refused(503));
  ++this->Active;
  this->Field.Book.ran(AttemptId);
  Signal Pause(this->Field.Context.get_executor());
  co_await Pause.wait(this->Field.Options.PlainWork);
  --this->Active;
  HttpResponse Response{.Body = expectedBody(AttemptId)};
  Response.Headers.add(platform::AttemptIdField, AttemptId);
  Response.Headers.add(platform::SignatureField, "stamp-" + digest(AttemptId));
  co_await Exchange.respond(std::move(Response));
}

} // namespace carobhinge
