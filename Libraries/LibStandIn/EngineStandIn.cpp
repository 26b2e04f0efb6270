//===- LibStandIn/EngineStandIn.cpp - A small model engine for tests ------===//
///
/// \file
/// Orders, generation and the counters that tests look at.
///
//===----------------------------------------------------------------------===//

#include <LibStandIn/EngineStandIn.h>

#include <LibCore/Hash.h>
#include <LibCore/JsonReader.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <deque>
#include <unistd.h>

namespace asio = boost::asio;
namespace json = boost::json;

namespace carobhinge {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
static constexpr std::uint32_t DefaultTokens = 16;
static constexpr std::uint32_t MaxTokens = 4096;
static constexpr std::size_t CachedPrefixes = 64;
static constexpr std::size_t PrefixBytes = 64;

std::string standInToken(std::string_view Prompt, std::uint32_t Index) {
  return digest(std::string(Prompt) + "#" + std::to_string(Index)).substr(0, 6);
}

/// What a chat-completions request asks for.
struct Generation {
  std::string Prompt;
  std::uint32_t Tokens = DefaultTokens;
  std::uint32_t ResumeFrom = 0;
  bool Stream = false;
};

class EngineStandIn::Implementation {
public:
  Implementation(const asio::any_io_executor &Executor,
                 EngineStandInOptions Options)
      : Executor(Executor), Options(std::move(Options)),
        Life((static_cast<Incarnation>(
                  std::chrono::system_clock::now().time_since_epoch() /
                  std::chrono::milliseconds(1))
              << 20U) |
             static_cast<Incarnation>(getpid() & 0xfffff)),
        Server(Executor, {.Listen = this->Options.Listen},
               [this](HttpExchange &Exchange) -> asio::awaitable<void> {
                 return this->handle(Exchange);
               }),
        Announcing(Executor, this->Options.EntryHosts,
                   this->Options.AnnounceInterval,
                   [this] { return this->announcement(); }) {}

  asio::awaitable<void> handle(HttpExchange &Exchange);
  Announcement announcement();

  asio::any_io_executor Executor;
  const EngineStandInOptions Options;
  const Incarnation Life;
  HttpServer Server;
  Announcer Announcing;
  bool Leaving = false;

private:
  asio::awaitable<void> takeOrder(HttpExchange &Exchange);
  asio::awaitable<void> complete(HttpExchange &Exchange);
  asio::awaitable<void> generate(HttpExchange &Exchange,
                                 const Generation &Wanted);
  asio::awaitable<void> loadWeights(FencingToken OrderNumber);
  std::string refusal(const HttpRequest &Request) const;
  HttpResponse statistics() const;
  Duration prefillTime(std::string_view Prompt);

  std::uint64_t Sequence = 0;
  Readiness State = Readiness::Starting;
  GroupPosition Position;
  std::string Version;
  FencingToken LastOrder = 0;
  std::uint32_t Running = 0;
  std::uint64_t Answered = 0;
  std::deque<std::uint64_t> PrefixCache;

  std::uint64_t Cancelled = 0;
  std::uint64_t OverColdLimit = 0;
  std::uint64_t OverBatchLimit = 0;
  std::uint64_t WrongGroup = 0;
  std::uint64_t PrefixHits = 0;
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
          .IncarnationNumber = this->Life,
          .Sequence = ++this->Sequence,
          .State = this->State,
          .Leaving = this->Leaving,
          .Position = this->Position,
          .LastOrder = this->LastOrder,
          .ChecksFencing = this->Options.ChecksFencing,
          .Running = this->Running,
          .BatchLimit = this->Options.BatchLimit,
          .Answered = this->Answered};
}

static HttpResponse refused(unsigned Status, std::string_view Why) {
  json::object Body{{"error", Why}};
  return {.Status = Status, .Body = json::serialize(Body)};
}

asio::awaitable<void>
EngineStandIn::Implementation::handle(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  if (Request.path() == OrderPath)
    return this->takeOrder(Exchange);
  if (Request.path() == "/v1/chat/completions")
    return this->complete(Exchange);
  if (Request.path() == "/standin/statistics")
    return Exchange.respond(this->statistics());
  return Exchange.respond(refused(404, "no such path"));
}

HttpResponse EngineStandIn::Implementation::statistics() const {
  json::object Body{{"answered", this->Answered},
                    {"cancelled", this->Cancelled},
                    {"over_cold_limit", this->OverColdLimit},
                    {"over_batch_limit", this->OverBatchLimit},
                    {"wrong_group", this->WrongGroup},
                    {"prefix_hits", this->PrefixHits}};
  return {.Body = json::serialize(Body)};
}

asio::awaitable<void>
EngineStandIn::Implementation::takeOrder(HttpExchange &Exchange) {
  Findings Faults;
  std::optional<Order> Wanted = parseOrder(Exchange.request().Body, Faults);
  if (!Wanted)
    return Exchange.respond(refused(400, Faults.report()));
  if (Wanted->ForIncarnation != this->Life)
    return Exchange.respond(refused(409, "order for another incarnation"));
  if (this->Options.ChecksFencing && Wanted->Number < this->LastOrder)
    return Exchange.respond(refused(409, "old fencing number"));
  bool InOtherGroup = !this->Position.Group.empty() &&
                      this->Position.Group != Wanted->Position.Group;
  if (InOtherGroup)
    return Exchange.respond(refused(409, "member of another group"));
  bool Repeated = Wanted->Number == this->LastOrder;
  this->LastOrder = Wanted->Number;
  if (Wanted->Action == OrderAction::Leave) {
    this->Position = GroupPosition();
    this->State = Readiness::Starting;
  } else if (!Repeated) {
    bool NeedsWeights =
        this->Version != Wanted->Version || this->State == Readiness::Starting;
    this->Position = Wanted->Position;
    this->Version = Wanted->Version;
    if (NeedsWeights) {
      this->State = Readiness::Starting;
      asio::co_spawn(this->Executor, this->loadWeights(Wanted->Number),
                     asio::detached);
    }
  }
  return Exchange.respond(HttpResponse{.Body = R"({"accepted":true})"});
}

asio::awaitable<void>
EngineStandIn::Implementation::loadWeights(FencingToken OrderNumber) {
  asio::steady_timer Timer(this->Executor, this->Options.LoadTime);
  co_await Timer.async_wait(UseTuple);
  // A later order has made this load pointless.
  if (this->LastOrder != OrderNumber || this->Position.Group.empty())
    co_return;
  this->State = Readiness::Cold;
  this->Answered = 0;
}

/// Why the request cannot be served here, or nothing.
std::string
EngineStandIn::Implementation::refusal(const HttpRequest &Request) const {
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

static std::optional<Generation> parseGeneration(const HttpRequest &Request) {
  Findings Faults;
  auto Value = parseJson(Request.Body, Faults);
  if (!Value || !Value->is_object())
    return std::nullopt;
  Generation Wanted;
  JsonReader Reader(*Value, "", Faults);
  Wanted.Stream = Reader.optionalBool("stream", false);
  Wanted.Tokens = static_cast<std::uint32_t>(Reader.optionalInteger(
      "max_tokens", DefaultTokens, {.Min = 1, .Max = MaxTokens}));
  Reader.eachObject("messages", [&Wanted](JsonReader &Message) {
    Message.optionalString("role", "user");
    Wanted.Prompt += Message.requiredString("content");
  });
  std::string_view From = Request.Headers.value("Carobhinge-Resume-From");
  std::from_chars(From.data(), From.data() + From.size(), Wanted.ResumeFrom);
  if (!Faults.empty())
    return std::nullopt;
  return Wanted;
}

asio::awaitable<void>
EngineStandIn::Implementation::complete(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  if (std::string Why = this->refusal(Request); !Why.empty()) {
    ++this->WrongGroup;
    co_await Exchange.respond(refused(409, Why));
    co_return;
  }
  std::optional<Generation> Wanted = parseGeneration(Request);
  if (!Wanted) {
    co_await Exchange.respond(refused(400, "malformed request"));
    co_return;
  }
  bool Cold = this->State == Readiness::Cold;
  std::uint32_t Limit =
      Cold ? this->Options.ColdBatchLimit : this->Options.BatchLimit;
  if (this->Running >= Limit) {
    ++(Cold ? this->OverColdLimit : this->OverBatchLimit);
    HttpResponse Busy = refused(503, "overloaded");
    Busy.Headers.add("Retry-After", "1");
    co_await Exchange.respond(std::move(Busy));
    co_return;
  }
  ++this->Running;
  try {
    co_await this->generate(Exchange, *Wanted);
    ++this->Answered;
  } catch (...) {
    ++this->Cancelled;
    --this->Running;
    throw;
  }
  --this->Running;
  if (Cold && this->Answered >= this->Options.WarmUpAnswers)
    this->State = Readiness::Ready;
}

/// Prefill is skipped for a prefix that is still cached.
Duration EngineStandIn::Implementation::prefillTime(std::string_view Prompt) {
  std::uint64_t Prefix = hash64(Prompt.substr(0, PrefixBytes));
  if (std::ranges::find(this->PrefixCache, Prefix) != this->PrefixCache.end()) {
    ++this->PrefixHits;
    return Duration::zero();
  }
  this->PrefixCache.push_back(Prefix);
  if (this->PrefixCache.size() > CachedPrefixes)
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
                                        const Generation &Wanted) {
  asio::steady_timer Timer(this->Executor);
  Timer.expires_after(this->prefillTime(Wanted.Prompt));
  co_await Timer.async_wait(UseTuple);
  if (Wanted.Stream) {
    HttpResponseHead Head{.Headers = {{"Content-Type", "text/event-stream"}}};
    co_await Exchange.startStream(std::move(Head));
  }
  std::string Whole;
  for (std::uint32_t I = Wanted.ResumeFrom; I < Wanted.Tokens; ++I) {
    Timer.expires_after(this->Options.TimePerToken);
    co_await Timer.async_wait(UseTuple);
    if (Exchange.callerDisconnected())
      throw boost::system::system_error(asio::error::connection_aborted);
    std::string Token = standInToken(Wanted.Prompt, I);
    Whole += Token;
    if (Wanted.Stream) {
      std::string Event = streamEvent(Token, I);
      co_await Exchange.writeChunk(std::move(Event));
    }
  }
  if (Wanted.Stream) {
    std::string Done = "data: [DONE]\n\n";
    co_await Exchange.writeChunk(std::move(Done));
    co_await Exchange.finishStream();
    co_return;
  }
  json::object Body{
      {"choices", json::array{json::object{
                      {"index", 0},
                      {"finish_reason", "stop"},
                      {"message", json::object{{"role", "assistant"},
                                               {"content", Whole}}}}}}};
  HttpResponse Response{.Body = json::serialize(Body)};
  co_await Exchange.respond(std::move(Response));
}

EngineStandIn::EngineStandIn(const asio::any_io_executor &Executor,
                             EngineStandInOptions Options)
    : Impl(std::make_unique<Implementation>(Executor, std::move(Options))) {}
EngineStandIn::~EngineStandIn() = default;

void EngineStandIn::start() {
  this->Impl->Server.start();
  asio::co_spawn(this->Impl->Executor, this->Impl->Announcing.run(),
                 asio::detached);
}

asio::awaitable<void> EngineStandIn::leave() {
  this->Impl->Leaving = true;
  co_await this->Impl->Announcing.announceNow();
}

} // namespace carobhinge
