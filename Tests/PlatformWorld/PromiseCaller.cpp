//===- Tests/PlatformWorld/PromiseCaller.cpp - Callers that keep the books ===//

#include <PlatformWorld/PromiseCaller.h>

#include <LibCore/Signal.h>
#include <PlatformWorld/Expected.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_future.hpp>
#include <platform/WireNames.h>

namespace asio = boost::asio;

namespace carobhinge {

static constexpr auto StreamPatience = std::chrono::seconds(5);
static constexpr auto CallPatience = std::chrono::seconds(2);
/// An answer is late enough to be called missing this long after the time
/// that the caller allowed.
static constexpr auto Late = std::chrono::seconds(2);
static constexpr std::string_view TracePrefix = "soak-";

class PromiseCaller::Reader final : public HttpAnswerSink {
public:
  asio::awaitable<void> head(const HttpResponseHead &Given) override {
    this->Head = Given;
    co_return;
  }
  asio::awaitable<void> chunk(std::string Data) override {
    this->Body += Data;
    co_return;
  }
  HttpResponseHead Head{.Status = 0, .Headers = {}};
  std::string Body;
};

PromiseCaller::PromiseCaller(const PlatformDeployment &Where,
                             std::uint64_t Seed)
    : Where(Where), Seed(Seed) {}

PromiseCaller::~PromiseCaller() {
  this->Context.stop();
  if (this->Thread.joinable())
    this->Thread.join();
}

void PromiseCaller::complain(std::string What) {
  std::lock_guard Guard(this->Lock);
  this->Complaints.push_back(std::move(What));
}

void PromiseCaller::note(const std::string &AttemptId, CallKind Kind,
                         CallEnd End) {
  std::lock_guard Guard(this->Lock);
  this->Records[AttemptId] = {.Kind = Kind, .End = End};
}

/// The whole stream of \p Events events.
static std::string wholeStream(const std::string &AttemptId, int Events) {
  std::string Text;
  for (int I = 1; I <= Events; ++I)
    Text += expectedEvent(AttemptId, static_cast<std::uint64_t>(I));
  return Text;
}

asio::awaitable<CallEnd> PromiseCaller::call(HttpClient &Client,
                                             std::size_t Host, CallKind Kind,
                                             std::uint64_t Number) {
  static constexpr std::array<const char *, 3> Targets = {"/draft/1", "/post/1",
                                                          "/get/1"};
  std::string AttemptId =
      digest(std::string(TracePrefix) + std::to_string(this->Seed) + "-" +
             std::to_string(Number))
          .substr(0, 16);
  std::mt19937_64 Random(hash64(AttemptId));
  int Events = 1 + static_cast<int>(Random() % 20);
  int Prompt = 50 + static_cast<int>(Random() % 1500);
  bool Streams = Kind == CallKind::Stream;
  Duration Patience = Streams ? StreamPatience : CallPatience;
  HttpRequest Request{.Method = Kind == CallKind::Reading ? "GET" : "POST",
                      .Target = Targets[static_cast<std::size_t>(Kind)],
                      .Headers = {{"Host", "callers.example"}},
                      .Body = Kind == CallKind::Reading ? "" : "{\"n\":1}"};
  Request.Headers.add(platform::AttemptIdField, AttemptId);
  Request.Headers.add(platform::KeyField, this->Where.key());
  Request.Headers.add(platform::DeadlineField,
                      std::to_string(milliseconds(Patience)));
  if (Streams) {
    Request.Headers.add(platform::ModelField,
                        Random() % 2 == 0 ? "threes" : "pairs");
    Request.Headers.add(platform::TokensField,
                        std::to_string(Prompt) + "," +
                            std::to_string(Events * StandInTokensPerEvent));
  }
  HttpCallOptions Options{.ConnectTimeout = std::chrono::seconds(1),
                          .HeadTimeout = Patience + Late,
                          .ChunkTimeout = Patience + Late};
  Reader Answer;
  HttpCallControl Control;
  TimePoint Sent = monotonicNow();
  HttpCallEnd End = co_await Client.perform(
      this->Where.callerAddress(Host), std::move(Request), std::move(Options),
      Answer, Control);
  unsigned Status = Answer.Head.Status;
  std::string About = AttemptId + " (status " + std::to_string(Status) + ")";
  std::string Whole =
      Streams ? wholeStream(AttemptId, Events) : expectedBody(AttemptId);
  CallEnd Result = CallEnd::CutOff;
  if (End == HttpCallEnd::NotWritten) {
    Result = CallEnd::NotReached;
  } else if (End == HttpCallEnd::BrokenOff) {
    // What came must be the beginning of the answer.
    if (Status == 200 && !Whole.starts_with(Answer.Body))
      this->complain(About + ": pieces that aren't its answer's beginning");
    if (monotonicNow() - Sent >= Patience + Late &&
        !this->Where.swallowsAnswers(Host))
      this->complain(About + ": no final answer in its time");
  } else if (Status == 200) {
    Result = CallEnd::Answered;
    if (Answer.Body != Whole)
      this->complain(About + ": a success that isn't its whole answer");
    if (Answer.Head.Headers.value(platform::SignatureField) !=
        "stamp-" + digest(AttemptId))
      this->complain(About + ": a success with a signature of another answer");
  } else if (Status == 429 || Status == 503) {
    Result = CallEnd::Refused;
    if (Answer.Head.Headers.value("Retry-After").empty())
      this->complain(About + ": refused without when to come back");
  } else if (Status == 502 || Status == 504) {
    Result = CallEnd::Unknown;
  } else {
    this->complain(About + ": not a status that a proper request may get");
  }
  this->note(AttemptId, Kind, Result);
  co_return Result;
}

asio::awaitable<void> PromiseCaller::callLoop(std::size_t Host,
                                              std::uint64_t LoopSeed,
                                              Duration Pause) {
  std::mt19937_64 Random(LoopSeed);
  HttpClient Client(this->Context.get_executor(), {.SingleThread = true});
  Signal Rest(this->Context.get_executor());
  while (!this->Stopping) {
    auto Kind = static_cast<CallKind>(Random() % 3);
    co_await this->call(Client, Host, Kind, ++this->LastNumber);
    auto Length = static_cast<Duration::rep>(
        Random() % static_cast<std::uint64_t>(Pause.count()));
    co_await Rest.wait(Duration(Length));
  }
  --this->Running;
}

void PromiseCaller::start(unsigned Callers, Duration Pause) {
  std::vector<std::size_t> Entries;
  for (std::size_t I = 0; I < this->Where.hosts(); ++I)
    if (!this->Where.isControl(I))
      Entries.push_back(I);
  for (unsigned I = 0; I < Callers; ++I) {
    ++this->Running;
    asio::co_spawn(this->Context,
                   this->callLoop(Entries[I % Entries.size()],
                                  hash64(std::to_string(I), this->Seed), Pause),
                   asio::detached);
  }
  this->Thread = std::jthread([this] { this->Context.run(); });
}

void PromiseCaller::stop() {
  this->Stopping = true;
  PlatformDeployment::waitFor("the callers have ended",
                              [this] { return this->Running == 0; });
  this->Thread.join();
}

CallEnd PromiseCaller::callOnce(std::size_t Host, CallKind Kind) {
  asio::io_context Own(1);
  HttpClient Client(Own.get_executor(), {.SingleThread = true});
  auto Future =
      asio::co_spawn(Own, this->call(Client, Host, Kind, ++this->LastNumber),
                     asio::use_future);
  Own.run();
  return Future.get();
}

CallCounts PromiseCaller::counts() const {
  std::lock_guard Guard(this->Lock);
  CallCounts Counts;
  for (const auto &[Id, Each] : this->Records)
    ++Counts.Ends[Each.End];
  return Counts;
}

std::map<std::string, CallEnd> PromiseCaller::ends() const {
  std::lock_guard Guard(this->Lock);
  std::map<std::string, CallEnd> Ends;
  for (const auto &[Id, Each] : this->Records)
    Ends[Id] = Each.End;
  return Ends;
}

std::vector<std::string>
PromiseCaller::settle(const ExecutionBook &Book) const {
  std::lock_guard Guard(this->Lock);
  std::vector<std::string> Broken = this->Complaints;
  for (std::string &Each : Book.broken())
    Broken.push_back(std::move(Each));
  std::map<std::string, unsigned> Runs = Book.runs();
  for (const auto &[Id, Count] : Runs) {
    auto Found = this->Records.find(Id);
    if (Found == this->Records.end()) {
      Broken.push_back(Id + ": ran, and no caller asked for it");
      continue;
    }
    const Record &Its = Found->second;
    if (Its.Kind == CallKind::Post && Count > 1)
      Broken.push_back(Id + ": must not repeat and ran " +
                       std::to_string(Count) + " times");
    if (Its.Kind == CallKind::Post && Its.End == CallEnd::Refused)
      Broken.push_back(Id + ": was refused as not run, and ran");
    if (Its.Kind != CallKind::Post && Count > 2)
      Broken.push_back(Id + ": ran on more endpoints than its route allows");
  }
  for (const auto &[Id, Its] : this->Records)
    if (Its.End == CallEnd::Answered && !Runs.contains(Id))
      Broken.push_back(Id + ": answered, and no endpoint ran it");
  return Broken;
}

} // namespace carobhinge
