//===- Tests/PlatformWorld/PlatformVerifyingCaller.cpp - Test callers -----===//

#include <PlatformWorld/PlatformVerifyingCaller.h>

#include <LibCore/Signal.h>
#include <PlatformWorld/ExpectedAnswer.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_future.hpp>
#include <platform/WireNames.h>

namespace asio = boost::asio;

namespace carobhinge {

static constexpr auto StreamTimeout = std::chrono::seconds(5);
static constexpr auto CallTimeout = std::chrono::seconds(2);
/// An answer that comes later than this after the caller's deadline is a
/// violation.
static constexpr auto DeadlineTolerance = std::chrono::seconds(2);
static constexpr auto AnsweredLimit = std::chrono::seconds(120);
static constexpr std::string_view AttemptIdPrefix = "soak-";

class PlatformVerifyingCaller::AnswerCollector final : public HttpResponseSink {
public:
  asio::awaitable<void> head(const HttpResponseHead &ReceivedHead) override {
    this->Head = ReceivedHead;
    co_return;
  }
  asio::awaitable<void> chunk(std::string Data) override {
    this->Body += Data;
    co_return;
  }
  HttpResponseHead Head{.Status = 0, .Headers = {}};
  std::string Body;
};

PlatformVerifyingCaller::PlatformVerifyingCaller(
    const PlatformDeployment &Deployment, std::uint64_t Seed)
    : Deployment(Deployment), Seed(Seed) {}

Duration PlatformVerifyingCaller::timeoutOf(CallKind Kind) const {
  Duration Timeout = Kind == CallKind::Stream ? StreamTimeout : CallTimeout;
  return Timeout * this->Deployment.timeoutFactor();
}

PlatformVerifyingCaller::~PlatformVerifyingCaller() {
  this->Context.stop();
  if (this->Thread.joinable())
    this->Thread.join();
}

void PlatformVerifyingCaller::reportWrongAnswer(std::string Violation) {
  std::lock_guard Guard(this->Lock);
  this->WrongAnswers.push_back(std::move(Violation));
}

void PlatformVerifyingCaller::recordResult(const std::string &AttemptId,
                                           const Record &Result) {
  std::lock_guard Guard(this->Lock);
  this->Records[AttemptId] = Result;
}

/// Returns the text of a complete stream of \p Events events.
static std::string expectedStream(const std::string &AttemptId, int Events) {
  std::string Text;
  for (int I = 1; I <= Events; ++I)
    Text += expectedEvent(AttemptId, static_cast<std::uint64_t>(I));
  return Text;
}

/// A part that all prompts share, one of a few subjects, and one that belongs
/// to the call alone.
static std::string promptParts(const std::string &AttemptId, int PromptTokens,
                               std::string_view ExtraPart) {
  std::string Subject = "5" + std::to_string(hash64(AttemptId, 1) % 40);
  std::string Parts = "c0ffee:40," + Subject + ":10,";
  if (!ExtraPart.empty())
    Parts += std::string(ExtraPart) + ":5,";
  return Parts + AttemptId + ":" + std::to_string(PromptTokens);
}

asio::awaitable<CallEnd> PlatformVerifyingCaller::call(HttpClient &Client,
                                                       std::size_t Host,
                                                       CallKind Kind,
                                                       std::uint64_t Number,
                                                       CallDetails Details) {
  static constexpr std::array<const char *, 3> Targets = {"/draft/1", "/post/1",
                                                          "/get/1"};
  std::string AttemptId =
      digest(std::string(AttemptIdPrefix) + std::to_string(this->Seed) + "-" +
             std::to_string(Number))
          .substr(0, 16);
  std::mt19937_64 Random(hash64(AttemptId));
  int Events = 1 + static_cast<int>(Random() % 20);
  int Prompt = 50 + static_cast<int>(Random() % 1500);
  bool Streams = Kind == CallKind::Stream;
  Duration Timeout = this->timeoutOf(Kind);
  HttpRequest Request{.Method = Kind == CallKind::Get ? "GET" : "POST",
                      .Target =
                          std::string(Targets[static_cast<std::size_t>(Kind)]) +
                          std::string(Details.Query),
                      .Headers = {{"Host", "callers.example"}},
                      .Body = Kind == CallKind::Get ? "" : "{\"n\":1}"};
  Request.Headers.add(platform::AttemptIdField, AttemptId);
  Request.Headers.add(platform::KeyField, this->Deployment.key());
  Request.Headers.add(platform::DeadlineField,
                      std::to_string(milliseconds(Timeout)));
  if (Streams) {
    std::string_view Drawn = Random() % 2 == 0 ? "threes" : "pairs";
    Request.Headers.add(
        platform::ModelField,
        std::string(Details.Model.empty() ? Drawn : Details.Model));
    Request.Headers.add(platform::TokensField,
                        std::to_string(Prompt) + "," +
                            std::to_string(Events * StandInTokensPerEvent));
    Request.Headers.add(platform::PromptPartsField,
                        promptParts(AttemptId, Prompt, Details.ExtraPart));
  }
  HttpCallOptions Options{.ConnectTimeout = std::chrono::seconds(1),
                          .HeadTimeout = Timeout + DeadlineTolerance,
                          .ChunkTimeout = Timeout + DeadlineTolerance};
  AnswerCollector Answer;
  HttpCallControl Control;
  TimePoint Sent = monotonicNow();
  HttpCallOutcome End = co_await Client.perform(
      this->Deployment.callerAddress(Host), std::move(Request),
      std::move(Options), Answer, Control);
  unsigned Status = Answer.Head.Status;
  std::string Description =
      AttemptId + " (status " + std::to_string(Status) + ")";
  std::string Expected =
      Streams ? expectedStream(AttemptId, Events) : expectedBody(AttemptId);
  CallEnd Result = CallEnd::CutOff;
  if (End == HttpCallOutcome::NotWritten) {
    Result = CallEnd::NotReached;
  } else if (End == HttpCallOutcome::Incomplete) {
    // The part that was received must be the beginning of the answer.
    if (Status == 200 && !Expected.starts_with(Answer.Body))
      this->reportWrongAnswer(
          Description +
          ": the partial answer isn't the beginning of its answer: " +
          Answer.Body);
    if (monotonicNow() - Sent >= Timeout + DeadlineTolerance &&
        !this->Deployment.hadRecentLinkFault(Host))
      this->reportWrongAnswer(Description +
                              ": no final answer by its deadline");
  } else if (Status == 200) {
    Result = CallEnd::Answered;
    if (Answer.Body != Expected)
      this->reportWrongAnswer(Description +
                              ": a success without its whole answer");
    if (Answer.Head.Headers.value(platform::SignatureField) !=
        "stamp-" + digest(AttemptId))
      this->reportWrongAnswer(
          Description + ": a success with the signature of another answer");
  } else if (Status == 429 || Status == 503) {
    Result = CallEnd::Refused;
    if (Answer.Head.Headers.value("Retry-After").empty())
      this->reportWrongAnswer(Description +
                              ": refused without stating when to retry");
  } else if (Status == 400 &&
             !(Details.ExtraPart.empty() && Details.Query.empty())) {
    Result = CallEnd::RefusedForGood;
    if (Answer.Body.find("engines crash") == std::string::npos ||
        Answer.Body.find(Details.ExtraPart) == std::string::npos)
      this->reportWrongAnswer(Description +
                              ": refused without naming the part");
  } else if (Status == 502 || Status == 504) {
    Result = CallEnd::Unknown;
  } else {
    this->reportWrongAnswer(Description +
                            ": unexpected status for a valid request");
  }
  Record Finished{.Kind = Kind,
                  .End = Result,
                  .Host = Host,
                  .SentAt = Sent,
                  .EndedAt = monotonicNow(),
                  .IsOnKeptConnection = Details.KeepsConnection};
  this->recordResult(AttemptId, Finished);
  co_return Result;
}

asio::awaitable<void> PlatformVerifyingCaller::callLoop(std::size_t Host,
                                                        std::uint64_t LoopSeed,
                                                        Duration Pause) {
  std::mt19937_64 Random(LoopSeed);
  HttpClient Client(this->Context.get_executor(), {.SingleThread = true});
  Signal PauseSignal(this->Context.get_executor());
  CallDetails Details{.KeepsConnection = true};
  while (!this->Stopping) {
    auto Kind = static_cast<CallKind>(Random() % 3);
    co_await this->call(Client, Host, Kind, ++this->LastNumber, Details);
    auto Length = static_cast<Duration::rep>(
        Random() % static_cast<std::uint64_t>(Pause.count()));
    co_await PauseSignal.wait(Duration(Length));
  }
  --this->Running;
}

asio::awaitable<void> PlatformVerifyingCaller::measureLag() {
  static constexpr auto Interval = std::chrono::milliseconds(10);
  Signal Pause(this->Context.get_executor());
  while (!this->Stopping) {
    TimePoint Begin = monotonicNow();
    co_await Pause.wait(Interval);
    Duration Lag = monotonicNow() - Begin - Interval;
    this->LongestLag = std::max(this->LongestLag.load(), Lag.count());
  }
}

void PlatformVerifyingCaller::start(unsigned Callers, Duration Pause) {
  std::vector<std::size_t> EntryHosts;
  for (std::size_t I = 0; I < this->Deployment.hosts(); ++I)
    if (!this->Deployment.isControl(I))
      EntryHosts.push_back(I);
  for (unsigned I = 0; I < Callers; ++I) {
    ++this->Running;
    asio::co_spawn(this->Context,
                   this->callLoop(EntryHosts[I % EntryHosts.size()],
                                  hash64(std::to_string(I), this->Seed), Pause),
                   asio::detached);
  }
  asio::co_spawn(this->Context, this->measureLag(), asio::detached);
  this->Thread = std::jthread([this] { this->Context.run(); });
}

void PlatformVerifyingCaller::stop() {
  this->Stopping = true;
  PlatformDeployment::waitFor("all callers have stopped",
                              [this] { return this->Running == 0; });
  this->Thread.join();
}

void PlatformVerifyingCaller::waitUntilAnswered(unsigned Count) {
  PlatformDeployment::waitFor(
      "more than " + std::to_string(Count) + " calls are answered",
      [&] { return this->counts().count(CallEnd::Answered) > Count; },
      AnsweredLimit);
}

CallEnd PlatformVerifyingCaller::callOnce(std::size_t Host, CallKind Kind,
                                          CallDetails Details) {
  asio::io_context CallContext(1);
  HttpClient Client(CallContext.get_executor(), {.SingleThread = true});
  auto Future = asio::co_spawn(
      CallContext, this->call(Client, Host, Kind, ++this->LastNumber, Details),
      asio::use_future);
  CallContext.run();
  return Future.get();
}

CallCounts PlatformVerifyingCaller::counts() const {
  std::lock_guard Guard(this->Lock);
  CallCounts Counts;
  for (const auto &[Id, Each] : this->Records)
    ++Counts.Ends[Each.End];
  return Counts;
}

std::map<std::string, CallEnd> PlatformVerifyingCaller::ends() const {
  std::lock_guard Guard(this->Lock);
  std::map<std::string, CallEnd> Ends;
  for (const auto &[Id, Each] : this->Records)
    Ends[Id] = Each.End;
  return Ends;
}

std::vector<CallRecord>
PlatformVerifyingCaller::calls(const ExecutionLog &Executions) const {
  std::lock_guard Guard(this->Lock);
  std::map<std::string, unsigned> ExecutionCounts = Executions.executions();
  std::vector<CallRecord> Calls;
  for (const auto &[Id, Each] : this->Records)
    if (Each.End != CallEnd::NotReached)
      Calls.push_back({.AttemptId = Id,
                       .Host = Each.Host,
                       .SentAt = Each.SentAt,
                       .EndedAt = Each.EndedAt,
                       .Timeout = this->timeoutOf(Each.Kind),
                       .IsLost = Each.End == CallEnd::CutOff,
                       .IsUnknown = Each.End == CallEnd::Unknown,
                       .IsExecuted = ExecutionCounts.contains(Id),
                       .IsOnKeptConnection = Each.IsOnKeptConnection});
  return Calls;
}

std::vector<std::string>
PlatformVerifyingCaller::findViolations(const ExecutionLog &Executions) const {
  std::lock_guard Guard(this->Lock);
  std::vector<std::string> Violations = this->WrongAnswers;
  for (std::string &Each : Executions.violations())
    Violations.push_back(std::move(Each));
  std::map<std::string, unsigned> ExecutionCounts = Executions.executions();
  for (const auto &[Id, Count] : ExecutionCounts) {
    auto Found = this->Records.find(Id);
    if (Found == this->Records.end()) {
      Violations.push_back(Id + ": executed, but no caller sent it");
      continue;
    }
    const Record &Call = Found->second;
    if (Call.Kind == CallKind::Post && Count > 1)
      Violations.push_back(Id + ": not idempotent, but executed " +
                           std::to_string(Count) + " times");
    if (Call.End == CallEnd::RefusedForGood)
      Violations.push_back(Id + ": refused as not run, but executed");
    if (Call.Kind == CallKind::Post && Call.End == CallEnd::Refused)
      Violations.push_back(Id + ": refused as not run, but executed");
    if (Call.Kind != CallKind::Post && Count > 2)
      Violations.push_back(Id + ": executed more often than its route allows");
  }
  for (const auto &[Id, Call] : this->Records)
    if (Call.End == CallEnd::Answered && !ExecutionCounts.contains(Id))
      Violations.push_back(Id +
                           ": answered, but executed on none of the endpoints");
  return Violations;
}

} // namespace carobhinge
