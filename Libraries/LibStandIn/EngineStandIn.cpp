//===- LibStandIn/EngineStandIn.cpp - A small model engine for tests ------===//
///
/// \file
/// Handling of orders, generation of answers, and the statistics for tests.
///
//===----------------------------------------------------------------------===//

#include <LibStandIn/EngineStandIn.h>

#include <LibCore/Hash.h>
#include <LibCore/JsonReader.h>
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <cstdlib>
#include <deque>
#include <unistd.h>

namespace asio = boost::asio;
namespace json = boost::json;

namespace carobhinge {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
static constexpr std::uint32_t DefaultMaxTokens = 16;
/// Tokens of a stream that breaks off.
static constexpr std::uint32_t TokensBeforeBreak = 3;
static constexpr std::uint32_t MaxTokens = 4096;
static constexpr std::size_t MaxCachedPrefixes = 64;
/// Exit code of an engine that a prompt has crashed.
static constexpr int CrashExit = 70;
/// The statistics give the most requests within this time.
static constexpr auto ArrivalWindow = std::chrono::seconds(4);
/// Leading bytes of a prompt that identify its cached prefix.
static constexpr std::size_t PrefixBytes = 64;

std::string standInToken(std::string_view Prompt, std::uint32_t Index) {
  return digest(std::string(Prompt) + "#" + std::to_string(Index)).substr(0, 6);
}

/// Parameters of a chat completions request.
struct CompletionRequest {
  std::string Prompt;
  std::vector<std::string> Messages;
  std::uint32_t Tokens = DefaultMaxTokens;
  /// Index of the first token to generate.
  std::uint32_t ResumeFrom = 0;
  bool Stream = false;
};

class EngineStandIn::Implementation {
public:
  Implementation(const asio::any_io_executor &Executor,
                 EngineStandInOptions Options)
      : Executor(Executor), Options(std::move(Options)),
        IncarnationNumber(
            (static_cast<Incarnation>(
                 std::chrono::system_clock::now().time_since_epoch() /
                 std::chrono::milliseconds(1))
             << 20U) |
            static_cast<Incarnation>(getpid() & 0xfffff)),
        Server(Executor, {.Listen = this->Options.Listen},
               [this](HttpExchange &Exchange) -> asio::awaitable<void> {
                 return this->handle(Exchange);
               }),
        EndpointAnnouncer(Executor, this->Options.EntryHosts,
                          this->Options.AnnounceInterval,
                          [this] { return this->announcement(); }) {}

  asio::awaitable<void> handle(HttpExchange &Exchange);
  Announcement announcement();

  asio::any_io_executor Executor;
  const EngineStandInOptions Options;
  const Incarnation IncarnationNumber;
  HttpServer Server;
  Announcer EndpointAnnouncer;
  bool Leaving = false;

private:
  asio::awaitable<void> handleOrder(HttpExchange &Exchange);
  asio::awaitable<void> handleCompletion(HttpExchange &Exchange);
  asio::awaitable<void> generate(HttpExchange &Exchange,
                                 const CompletionRequest &Parameters);
  asio::awaitable<void> loadWeights(FencingToken LoadOrder);
  std::string refusalReason(const HttpRequest &Request) const;
  void recordArrival();
  HttpResponse statistics() const;
  Duration prefillTime(std::string_view Prompt);

  std::uint64_t Sequence = 0;
  Readiness State = Readiness::Starting;
  GroupPosition Position;
  std::string Version;
  FencingToken LastOrder = 0;
  std::uint32_t Running = 0;
  std::uint64_t Answered = 0;
  /// Hashes of prefixes, oldest first.
  std::deque<std::uint64_t> PrefixCache;

  std::uint64_t Cancelled = 0;
  std::uint64_t OverColdLimit = 0;
  std::uint64_t OverBatchLimit = 0;
  std::uint64_t WrongGroup = 0;
  std::uint64_t PrefixHits = 0;
  /// Times of the requests within the last ArrivalWindow, oldest first.
  std::deque<TimePoint> Arrivals;
  /// The most requests that arrived within ArrivalWindow.
  std::uint64_t MostArrivals = 0;
};

Announcement EngineStandIn::Implementation::announcement() {
  return {.Endpoint = this->Options.Endpoint,
          .Host = this->Options.Host,
          .FailureDomain = this->Options.FailureDomain,
          .FabricDomain = this->Options.FabricDomain,
          .Service = this->Options.Service,
          .Version = this->Version,
          .Address = this->Server.address(),
          .Accelerators = this->Options.Accelerators,
          .IncarnationNumber = this->IncarnationNumber,
          .Sequence = ++this->Sequence,
          .State = this->State,
          .Leaving = this->Leaving,
          .Position = this->Position,
          .LastOrder = this->LastOrder,
          .ChecksFencing = this->Options.ChecksFencing,
          .Running = this->Running,
          .BatchLimit = this->Options.BatchLimit,
          .Answered = this->Answered,
          .RequestLimit = this->Options.RequestLimit};
}

static HttpResponse errorResponse(unsigned Status, std::string_view Reason) {
  json::object Body{{"error", Reason}};
  return {.Status = Status, .Body = json::serialize(Body)};
}

asio::awaitable<void>
EngineStandIn::Implementation::handle(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  if (Request.path() == OrderPath)
    return this->handleOrder(Exchange);
  if (Request.path() == "/v1/chat/completions")
    return this->handleCompletion(Exchange);
  if (Request.path() == "/standin/statistics")
    return Exchange.respond(this->statistics());
  return Exchange.respond(errorResponse(404, "no such path"));
}

void EngineStandIn::Implementation::recordArrival() {
  TimePoint Now = monotonicNow();
  this->Arrivals.push_back(Now);
  while (Now - this->Arrivals.front() > ArrivalWindow)
    this->Arrivals.pop_front();
  this->MostArrivals =
      std::max<std::uint64_t>(this->MostArrivals, this->Arrivals.size());
}

HttpResponse EngineStandIn::Implementation::statistics() const {
  json::object Body{{"answered", this->Answered},
                    {"cancelled", this->Cancelled},
                    {"over_cold_limit", this->OverColdLimit},
                    {"over_batch_limit", this->OverBatchLimit},
                    {"wrong_group", this->WrongGroup},
                    {"prefix_hits", this->PrefixHits},
                    {"most_arrivals", this->MostArrivals}};
  return {.Body = json::serialize(Body)};
}

asio::awaitable<void>
EngineStandIn::Implementation::handleOrder(HttpExchange &Exchange) {
  Findings Faults;
  std::optional<Order> NewOrder = parseOrder(Exchange.request().Body, Faults);
  if (!NewOrder)
    return Exchange.respond(errorResponse(400, Faults.report()));
  if (NewOrder->ForIncarnation != this->IncarnationNumber)
    return Exchange.respond(
        errorResponse(409, "order for another incarnation"));
  if (this->Options.ChecksFencing && NewOrder->Number < this->LastOrder)
    return Exchange.respond(errorResponse(409, "old fencing number"));
  bool IsInOtherGroup = !this->Position.Group.empty() &&
                        this->Position.Group != NewOrder->Position.Group;
  if (IsInOtherGroup)
    return Exchange.respond(errorResponse(409, "member of another group"));
  bool IsRepeated = NewOrder->Number == this->LastOrder;
  this->LastOrder = NewOrder->Number;
  if (NewOrder->Action == OrderAction::Leave) {
    this->Position = GroupPosition();
    this->State = Readiness::Starting;
  } else if (!IsRepeated) {
    bool NeedsWeights = this->Version != NewOrder->Version ||
                        this->State == Readiness::Starting;
    this->Position = NewOrder->Position;
    this->Version = NewOrder->Version;
    if (NeedsWeights) {
      this->State = Readiness::Starting;
      asio::co_spawn(this->Executor, this->loadWeights(NewOrder->Number),
                     asio::detached);
    }
  }
  return Exchange.respond(HttpResponse{.Body = R"({"accepted":true})"});
}

asio::awaitable<void>
EngineStandIn::Implementation::loadWeights(FencingToken LoadOrder) {
  asio::steady_timer Timer(this->Executor, this->Options.LoadTime);
  co_await Timer.async_wait(UseTuple);
  // A later order has superseded this load.
  if (this->LastOrder != LoadOrder || this->Position.Group.empty())
    co_return;
  this->State = Readiness::Cold;
  this->Answered = 0;
}

/// Returns why this engine refuses the request, or an empty text.
std::string
EngineStandIn::Implementation::refusalReason(const HttpRequest &Request) const {
  if (this->State == Readiness::Starting)
    return "not ready";
  if (this->Position.Rank != 0)
    return "not the first member of its group";
  if (Request.Headers.value("Carobhinge-Group") != this->Position.Group ||
      Request.Headers.value("Carobhinge-Group-Number") !=
          std::to_string(this->Position.Number))
    return "another group";
  return "";
}

static std::optional<CompletionRequest>
parseCompletion(const HttpRequest &Request) {
  Findings Faults;
  auto Value = parseJson(Request.Body, Faults);
  if (!Value || !Value->is_object())
    return std::nullopt;
  CompletionRequest Parameters;
  JsonReader Reader(*Value, "", Faults);
  Parameters.Stream = Reader.optionalBool("stream", false);
  Parameters.Tokens = static_cast<std::uint32_t>(Reader.optionalInteger(
      "max_tokens", DefaultMaxTokens, {.Min = 1, .Max = MaxTokens}));
  Reader.eachObject("messages", [&Parameters](JsonReader &Message) {
    Message.optionalString("role", "user");
    Parameters.Messages.push_back(Message.requiredString("content"));
    Parameters.Prompt += Parameters.Messages.back();
  });
  std::string_view ResumeFrom = Request.Headers.value("Carobhinge-Resume-From");
  std::from_chars(ResumeFrom.data(), ResumeFrom.data() + ResumeFrom.size(),
                  Parameters.ResumeFrom);
  if (!Faults.empty())
    return std::nullopt;
  return Parameters;
}

asio::awaitable<void>
EngineStandIn::Implementation::handleCompletion(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  this->recordArrival();
  if (std::string Reason = this->refusalReason(Request); !Reason.empty()) {
    ++this->WrongGroup;
    co_await Exchange.respond(errorResponse(409, Reason));
    co_return;
  }
  std::optional<CompletionRequest> Parameters = parseCompletion(Request);
  if (!Parameters) {
    co_await Exchange.respond(errorResponse(400, "malformed request"));
    co_return;
  }
  bool IsCold = this->State == Readiness::Cold;
  std::uint32_t Limit =
      IsCold ? this->Options.ColdBatchLimit : this->Options.BatchLimit;
  if (this->Running >= Limit) {
    ++(IsCold ? this->OverColdLimit : this->OverBatchLimit);
    HttpResponse Overloaded = errorResponse(503, "overloaded");
    Overloaded.Headers.add("Retry-After", "1");
    co_await Exchange.respond(std::move(Overloaded));
    co_return;
  }
  ++this->Running;
  try {
    co_await this->generate(Exchange, *Parameters);
    ++this->Answered;
  } catch (...) {
    ++this->Cancelled;
    --this->Running;
    throw;
  }
  --this->Running;
  if (IsCold && this->Answered >= this->Options.WarmUpAnswers)
    this->State = Readiness::Ready;
}

/// Returns the prefill time of a prompt, zero if its prefix is cached, and adds
/// the prefix to the cache. The oldest prefix is evicted.
Duration EngineStandIn::Implementation::prefillTime(std::string_view Prompt) {
  std::uint64_t Prefix = hash64(Prompt.substr(0, PrefixBytes));
  if (std::ranges::find(this->PrefixCache, Prefix) != this->PrefixCache.end()) {
    ++this->PrefixHits;
    return Duration::zero();
  }
  this->PrefixCache.push_back(Prefix);
  if (this->PrefixCache.size() > MaxCachedPrefixes)
    this->PrefixCache.pop_front();
  return this->Options.PrefillTime;
}

static std::string streamEvent(std::string_view Token, std::uint32_t Index) {
  json::object Event{
      {"index", Index},
      {"choices",
       json::array{json::object{{"index", 0},
                                {"delta", json::object{{"content", Token}}}}}}};
  return "data: " + json::serialize(Event) + "\n\n";
}

asio::awaitable<void>
EngineStandIn::Implementation::generate(HttpExchange &Exchange,
                                        const CompletionRequest &Parameters) {
  asio::steady_timer Timer(this->Executor);
  auto HasMessage = [&Parameters](const std::string &Beginning) {
    return !Beginning.empty() &&
           std::ranges::any_of(Parameters.Messages, [&](const auto &Message) {
             return Message.starts_with(Beginning);
           });
  };
  if (HasMessage(this->Options.BadStatusText)) {
    static constexpr unsigned BadStatus = 600;
    HttpResponse Broken = errorResponse(BadStatus, "no such status");
    co_return co_await Exchange.respond(std::move(Broken));
  }
  bool BreaksOff = HasMessage(this->Options.BreakOffText);
  if (BreaksOff && Parameters.ResumeFrom > 0) {
    HttpResponse Failure = errorResponse(500, "the engine has failed");
    co_return co_await Exchange.respond(std::move(Failure));
  }
  Timer.expires_after(this->prefillTime(Parameters.Prompt));
  co_await Timer.async_wait(UseTuple);
  if (Parameters.Stream) {
    HttpResponseHead Head{.Headers = {{"Content-Type", "text/event-stream"}}};
    co_await Exchange.startStream(std::move(Head));
  }
  auto Last = Parameters.Messages.end() - (Parameters.Messages.empty() ? 0 : 1);
  if (!this->Options.CrashText.empty() &&
      std::find(Parameters.Messages.begin(), Last, this->Options.CrashText) !=
          Last)
    std::_Exit(CrashExit);
  std::string Text;
  for (std::uint32_t I = Parameters.ResumeFrom; I < Parameters.Tokens; ++I) {
    Timer.expires_after(this->Options.TimePerToken);
    co_await Timer.async_wait(UseTuple);
    if (Exchange.callerDisconnected() || (BreaksOff && I == TokensBeforeBreak))
      throw boost::system::system_error(asio::error::connection_aborted);
    std::string Token = standInToken(Parameters.Prompt, I);
    Text += Token;
    if (Parameters.Stream) {
      std::string Event = streamEvent(Token, I);
      co_await Exchange.writeChunk(std::move(Event));
    }
  }
  if (Parameters.Stream) {
    std::string EndMarker = "data: [DONE]\n\n";
    co_await Exchange.writeChunk(std::move(EndMarker));
    co_await Exchange.finishStream();
    co_return;
  }
  json::object Body{
      {"choices", json::array{json::object{
                      {"index", 0},
                      {"finish_reason", "stop"},
                      {"message", json::object{{"role", "assistant"},
                                               {"content", Text}}}}}}};
  HttpResponse Response{.Body = json::serialize(Body)};
  co_await Exchange.respond(std::move(Response));
}

EngineStandIn::EngineStandIn(const asio::any_io_executor &Executor,
                             EngineStandInOptions Options)
    : Impl(std::make_unique<Implementation>(Executor, std::move(Options))) {}
EngineStandIn::~EngineStandIn() = default;

void EngineStandIn::start() {
  this->Impl->Server.start();
  asio::co_spawn(this->Impl->Executor, this->Impl->EndpointAnnouncer.run(),
                 asio::detached);
}

asio::awaitable<void> EngineStandIn::leave() {
  this->Impl->Leaving = true;
  co_await this->Impl->EndpointAnnouncer.announceNow();
}

} // namespace carobhinge
