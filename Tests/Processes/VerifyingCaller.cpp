//===- Tests/Processes/VerifyingCaller.cpp - Callers that verify answers --===//
///
/// \file
/// The four kinds of calls and the verification of their answers.
///
//===----------------------------------------------------------------------===//

#include <Processes/VerifyingCaller.h>

#include <LibHTTP/BlockingFetch.h>
#include <LibStandIn/EngineStandIn.h>
#include <array>
#include <boost/json.hpp>
#include <cstdio>
#include <ctime>
#include <thread>

namespace json = boost::json;

namespace carobhinge {

static constexpr std::uint32_t Tokens = 16;

static std::string today() {
  std::time_t Now = std::time(nullptr);
  std::tm Parts{};
  gmtime_r(&Now, &Parts);
  std::array<char, 16> Text{};
  std::strftime(Text.data(), Text.size(), "%Y-%m-%d", &Parts);
  return Text.data();
}

HttpRequest VerifyingCaller::request(std::string Method, std::string Target,
                                     std::string Body, unsigned Number) const {
  const auto &Workspaces = this->Cluster.plan().Workspaces;
  return {.Method = std::move(Method),
          .Target = std::move(Target),
          .Headers = {{"Content-Type", "application/json"},
                      {"Carobhinge-Workspace",
                       Workspaces[Number % Workspaces.size()]},
                      {"Carobhinge-Deadline-Ms", "8000"}},
          .Body = std::move(Body)};
}

std::string VerifyingCaller::prompt(unsigned Number) const {
  return "prompt " + std::to_string(this->Seed) + " " + std::to_string(Number);
}

static std::string completionBody(const std::string &Model,
                                  const std::string &Prompt, bool Stream) {
  json::object Message{{"role", "user"}, {"content", Prompt}};
  json::object Body{{"model", Model},
                    {"stream", Stream},
                    {"max_tokens", Tokens},
                    {"messages", json::array{Message}}};
  return json::serialize(Body);
}

/// Returns the concatenated tokens of an event stream; empty if an index is out
/// of order or the closing event is missing.
static std::string streamedText(const std::string &Body) {
  std::string Text;
  std::uint32_t Expected = 0;
  std::size_t Start = 0;
  for (std::size_t End = Body.find("\n\n"); End != std::string::npos;
       Start = End + 2, End = Body.find("\n\n", Start)) {
    std::string Event = Body.substr(Start, End - Start);
    if (Event == "data: [DONE]")
      return End + 2 == Body.size() ? Text : std::string();
    json::error_code Error;
    json::value Value = json::parse(Event.substr(6), Error);
    if (Error || Value.at("index").to_number<std::uint32_t>() != Expected++)
      return {};
    Text += Value.at("choices").at(0).at("delta").at("content").as_string();
  }
  return {};
}

static std::string expectedText(const std::string &Prompt) {
  std::string Text;
  for (std::uint32_t I = 0; I < Tokens; ++I)
    Text += standInToken(Prompt, I);
  return Text;
}

CallOutcome VerifyingCaller::recordOutcome(CallOutcome Outcome) {
  std::lock_guard Guard(this->Lock);
  unsigned *const Counters[] = {&this->Counts.Answered, &this->Counts.NotRun,
                                &this->Counts.Unknown, &this->Counts.HostDown,
                                &this->Counts.Wrong};
  ++*Counters[static_cast<int>(Outcome)];
  return Outcome;
}

void VerifyingCaller::expectKill(const std::string &Host) {
  std::lock_guard Guard(this->Lock);
  this->KilledHosts.insert(Host);
}

void VerifyingCaller::reportWrongAnswer(const HostAddresses &Host,
                                        const HttpFetchResult &Answer) {
  std::fprintf(stderr, "wrong answer at %s: end %d, status %u, %.200s\n",
               Host.Host.c_str(), static_cast<int>(Answer.Outcome),
               Answer.Head.Status, Answer.Body.c_str());
}

/// Classifies an answer. \p IsExpected is whether a 200 has the expected
/// content.
CallOutcome VerifyingCaller::classify(const HostAddresses &Host,
                                      const HttpFetchResult &Answer,
                                      bool IsExpected) {
  if (Answer.Outcome == HttpCallOutcome::NotWritten)
    return this->recordOutcome(CallOutcome::HostDown);
  if (Answer.Outcome == HttpCallOutcome::Incomplete) {
    bool IsKilled = false;
    {
      std::lock_guard Guard(this->Lock);
      IsKilled = this->KilledHosts.contains(Host.Host);
    }
    // A stream that failed after its start ends with an error event.
    bool HasErrorEvent =
        Answer.Body.find("event: error\n") != std::string::npos;
    if (IsKilled || HasErrorEvent)
      return this->recordOutcome(CallOutcome::Unknown);
  }
  if (Answer.Outcome == HttpCallOutcome::Complete) {
    if (Answer.Head.Status == 200 && IsExpected)
      return this->recordOutcome(CallOutcome::Answered);
    std::string_view Outcome = Answer.Head.Headers.value("Carobhinge-Outcome");
    if (Outcome == "not-run")
      return this->recordOutcome(CallOutcome::NotRun);
    if (Outcome == "unknown")
      return this->recordOutcome(CallOutcome::Unknown);
  }
  this->reportWrongAnswer(Host, Answer);
  return this->recordOutcome(CallOutcome::Wrong);
}

CallOutcome VerifyingCaller::stream(const HostAddresses &Host,
                                    unsigned Number) {
  std::string Prompt = this->prompt(Number);
  HttpFetchResult Answer = blockingFetch(
      Host.Callers,
      this->request("POST", "/v1/chat/completions",
                    completionBody(this->Cluster.plan().Model, Prompt, true),
                    Number));
  return this->classify(Host, Answer,
                        streamedText(Answer.Body) == expectedText(Prompt));
}

CallOutcome VerifyingCaller::completion(const HostAddresses &Host,
                                        unsigned Number) {
  std::string Prompt = this->prompt(Number);
  HttpFetchResult Answer = blockingFetch(
      Host.Callers,
      this->request("POST", "/v1/chat/completions",
                    completionBody(this->Cluster.plan().Model, Prompt, false),
                    Number));
  std::string Expected = "\"content\":\"" + expectedText(Prompt) + "\"";
  return this->classify(Host, Answer,
                        Answer.Body.find(Expected) != std::string::npos);
}

CallOutcome VerifyingCaller::lookUp(const HostAddresses &Host,
                                    unsigned Number) {
  const DeploymentPlan &Plan = this->Cluster.plan();
  std::string Path = Plan.LookUpPrefix + std::to_string(Number);
  HttpFetchResult Answer = blockingFetch(
      Host.Callers,
      this->request("GET", "/services/" + Plan.PlainService + Path, "",
                    Number));
  std::string Expected = "\"path\":\"" + Path + "\"";
  return this->classify(Host, Answer,
                        Answer.Body.find(Expected) != std::string::npos);
}

CallOutcome VerifyingCaller::keyedCall(const HostAddresses &Host,
                                       unsigned Number) {
  const DeploymentPlan &Plan = this->Cluster.plan();
  std::string Key =
      today() + "-" + std::to_string(this->Seed) + "-" + std::to_string(Number);
  HttpRequest Request = this->request(
      "POST", "/services/" + Plan.PlainService + Plan.KeyedCallPath,
      "{\"amount\":" + std::to_string(Number) + "}", Number);
  Request.Headers.add("Idempotency-Key", Key);
  {
    std::lock_guard Guard(this->Lock);
    this->Records.try_emplace(Key);
  }
  HttpFetchResult Answer = blockingFetch(Host.Callers, std::move(Request));
  bool HasOwnKey =
      Answer.Body.find("\"key\":\"" + Key + "\"") != std::string::npos;
  bool IsAnswer = Answer.Outcome == HttpCallOutcome::Complete &&
                  Answer.Head.Status == 200 && HasOwnKey;
  bool IsSameAnswer = true;
  {
    std::lock_guard Guard(this->Lock);
    KeyRecord &Record = this->Records[Key];
    if (IsAnswer) {
      // All answers to a key must be identical.
      IsSameAnswer = !Record.Answered || Record.Answer == Answer.Body;
      Record.Answered = true;
      Record.Answer = Answer.Body;
    }
  }
  CallOutcome Outcome = this->classify(Host, Answer, HasOwnKey && IsSameAnswer);
  std::lock_guard Guard(this->Lock);
  if (Outcome != CallOutcome::NotRun && Outcome != CallOutcome::HostDown)
    this->Records[Key].OnlyNotRun = false;
  return Outcome;
}

LoadCounts VerifyingCaller::compareWithExecutions(
    const std::map<std::string, unsigned> &Executions) {
  std::lock_guard Guard(this->Lock);
  for (const auto &[Key, Record] : this->Records) {
    auto Found = Executions.find(Key);
    unsigned Count = Found == Executions.end() ? 0 : Found->second;
    if (Count > 1)
      ++this->Counts.ExecutedTwice;
    bool FalseNotRun = Record.OnlyNotRun && Count > 0;
    bool FalseAnswer = Record.Answered && Count == 0;
    if (!FalseNotRun && !FalseAnswer)
      continue;
    std::fprintf(stderr, "key %s: %u executions, answered: %d\n", Key.c_str(),
                 Count, Record.Answered);
    ++this->Counts.Wrong;
  }
  return this->Counts;
}

/// Sends call \p Number, whose kind depends on its number.
static void mixedCall(VerifyingCaller &Caller, const HostAddresses &Host,
                      const HostAddresses &Other, unsigned Number) {
  switch (Number % 4) {
  case 0:
    Caller.stream(Host, Number);
    break;
  case 1:
    Caller.completion(Host, Number);
    break;
  case 2:
    Caller.lookUp(Host, Number);
    break;
  default:
    // Sent to two hosts at the same time, and once more afterwards.
    std::jthread Resend([&] { Caller.keyedCall(Other, Number); });
    Caller.keyedCall(Host, Number);
    Resend.join();
    Caller.keyedCall(Other, Number);
  }
}

void runMixedLoad(VerifyingCaller &Caller, std::span<const HostAddresses> Hosts,
                  unsigned PerHost, unsigned FirstNumber,
                  std::chrono::milliseconds Pause) {
  std::vector<std::jthread> Threads;
  for (std::size_t I = 0; I < Hosts.size(); ++I)
    Threads.emplace_back([&, I] {
      for (unsigned Call = 0; Call < PerHost; ++Call) {
        unsigned Number =
            FirstNumber + static_cast<unsigned>(I) * PerHost + Call;
        mixedCall(Caller, Hosts[I], Hosts[(I + 1) % Hosts.size()], Number);
        std::this_thread::sleep_for(Pause);
      }
    });
}

} // namespace carobhinge
