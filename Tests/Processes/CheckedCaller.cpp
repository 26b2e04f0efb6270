//===- Tests/Processes/CheckedCaller.cpp - Callers that check answers -----===//
///
/// \file
/// The four kinds of calls and the bookkeeping.
///
//===----------------------------------------------------------------------===//

#include <Processes/CheckedCaller.h>

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

HttpRequest CheckedCaller::request(std::string Method, std::string Target,
                                   std::string Body, unsigned Number) const {
  const auto &Workspaces = this->Where.plan().Workspaces;
  return {.Method = std::move(Method),
          .Target = std::move(Target),
          .Headers = {{"Content-Type", "application/json"},
                      {"Carobhinge-Workspace",
                       Workspaces[Number % Workspaces.size()]},
                      {"Carobhinge-Deadline-Ms", "8000"}},
          .Body = std::move(Body)};
}

std::string CheckedCaller::prompt(unsigned Number) const {
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

/// The tokens of an event stream in order; empty if an index is out of order
/// or the closing event is missing.
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

Seen CheckedCaller::count(Seen What) {
  std::lock_guard Guard(this->Lock);
  unsigned *const Counters[] = {&this->Counts.Answered, &this->Counts.NotRun,
                                &this->Counts.Unknown, &this->Counts.HostDown,
                                &this->Counts.Wrong};
  ++*Counters[static_cast<int>(What)];
  return What;
}

void CheckedCaller::expectKill(const std::string &Host) {
  std::lock_guard Guard(this->Lock);
  this->Killed.insert(Host);
}

void CheckedCaller::complain(const HostAddresses &At,
                             const HttpAnswer &Answer) {
  std::fprintf(stderr, "wrong answer at %s: end %d, status %u, %.200s\n",
               At.Host.c_str(), static_cast<int>(Answer.End),
               Answer.Head.Status, Answer.Body.c_str());
}

/// Classifies an answer. \p Right tells whether a 200 has the right content.
Seen CheckedCaller::judge(const HostAddresses &At, const HttpAnswer &Answer,
                          bool Right) {
  if (Answer.End == HttpCallEnd::NotWritten)
    return this->count(Seen::HostDown);
  if (Answer.End == HttpCallEnd::BrokenOff) {
    bool Expected = false;
    {
      std::lock_guard Guard(this->Lock);
      Expected = this->Killed.contains(At.Host);
    }
    // An answer that was refused half-way says so in its last event.
    bool Told = Answer.Body.find("event: error\n") != std::string::npos;
    if (Expected || Told)
      return this->count(Seen::Unknown);
  }
  if (Answer.End == HttpCallEnd::Complete) {
    if (Answer.Head.Status == 200 && Right)
      return this->count(Seen::Answered);
    std::string_view Outcome = Answer.Head.Headers.value("Carobhinge-Outcome");
    if (Outcome == "not-run")
      return this->count(Seen::NotRun);
    if (Outcome == "unknown")
      return this->count(Seen::Unknown);
  }
  this->complain(At, Answer);
  return this->count(Seen::Wrong);
}

Seen CheckedCaller::stream(const HostAddresses &At, unsigned Number) {
  std::string Prompt = this->prompt(Number);
  HttpAnswer Answer = blockingFetch(
      At.Callers,
      this->request("POST", "/v1/chat/completions",
                    completionBody(this->Where.plan().Model, Prompt, true),
                    Number));
  return this->judge(At, Answer,
                     streamedText(Answer.Body) == expectedText(Prompt));
}

Seen CheckedCaller::completion(const HostAddresses &At, unsigned Number) {
  std::string Prompt = this->prompt(Number);
  HttpAnswer Answer = blockingFetch(
      At.Callers,
      this->request("POST", "/v1/chat/completions",
                    completionBody(this->Where.plan().Model, Prompt, false),
                    Number));
  std::string Expected = "\"content\":\"" + expectedText(Prompt) + "\"";
  return this->judge(At, Answer,
                     Answer.Body.find(Expected) != std::string::npos);
}

Seen CheckedCaller::lookUp(const HostAddresses &At, unsigned Number) {
  const DeploymentPlan &Plan = this->Where.plan();
  std::string Path = Plan.LookUpPrefix + std::to_string(Number);
  HttpAnswer Answer = blockingFetch(
      At.Callers, this->request("GET", "/services/" + Plan.PlainService + Path,
                                "", Number));
  std::string Expected = "\"path\":\"" + Path + "\"";
  return this->judge(At, Answer,
                     Answer.Body.find(Expected) != std::string::npos);
}

Seen CheckedCaller::once(const HostAddresses &At, unsigned Number) {
  const DeploymentPlan &Plan = this->Where.plan();
  std::string Key =
      today() + "-" + std::to_string(this->Seed) + "-" + std::to_string(Number);
  HttpRequest Request =
      this->request("POST", "/services/" + Plan.PlainService + Plan.OncePath,
                    "{\"amount\":" + std::to_string(Number) + "}", Number);
  Request.Headers.add("Idempotency-Key", Key);
  {
    std::lock_guard Guard(this->Lock);
    this->Keys.try_emplace(Key);
  }
  HttpAnswer Answer = blockingFetch(At.Callers, std::move(Request));
  bool Own = Answer.Body.find("\"key\":\"" + Key + "\"") != std::string::npos;
  bool IsAnswer =
      Answer.End == HttpCallEnd::Complete && Answer.Head.Status == 200 && Own;
  bool Same = true;
  {
    std::lock_guard Guard(this->Lock);
    KeyBook &Book = this->Keys[Key];
    if (IsAnswer) {
      // Every answer to one key is the first one.
      Same = !Book.Answered || Book.Answer == Answer.Body;
      Book.Answered = true;
      Book.Answer = Answer.Body;
    }
  }
  Seen What = this->judge(At, Answer, Own && Same);
  std::lock_guard Guard(this->Lock);
  if (What != Seen::NotRun && What != Seen::HostDown)
    this->Keys[Key].OnlyNotRun = false;
  return What;
}

LoadCounts
CheckedCaller::settle(const std::map<std::string, unsigned> &Executions) {
  std::lock_guard Guard(this->Lock);
  for (const auto &[Key, Book] : this->Keys) {
    auto Found = Executions.find(Key);
    unsigned Count = Found == Executions.end() ? 0 : Found->second;
    if (Count > 1)
      ++this->Counts.ExecutedTwice;
    bool FalseNotRun = Book.OnlyNotRun && Count > 0;
    bool FalseAnswer = Book.Answered && Count == 0;
    if (!FalseNotRun && !FalseAnswer)
      continue;
    std::fprintf(stderr, "key %s: executed %u times, answered %d\n",
                 Key.c_str(), Count, Book.Answered);
    ++this->Counts.Wrong;
  }
  return this->Counts;
}

/// One call of the mixture.
static void mixedCall(CheckedCaller &Caller, const HostAddresses &At,
                      const HostAddresses &Other, unsigned Number) {
  switch (Number % 4) {
  case 0:
    Caller.stream(At, Number);
    break;
  case 1:
    Caller.completion(At, Number);
    break;
  case 2:
    Caller.lookUp(At, Number);
    break;
  default:
    // Asked at two hosts at the same time, and once more afterwards.
    std::jthread Resend([&] { Caller.once(Other, Number); });
    Caller.once(At, Number);
    Resend.join();
    Caller.once(Other, Number);
  }
}

void runMixedLoad(CheckedCaller &Caller, std::span<const HostAddresses> Hosts,
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
