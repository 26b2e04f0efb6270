//===- LibServe/PromptExchange.cpp - Evidence on crashes between hosts ----===//

#include <LibServe/PromptExchange.h>

#include <LibCore/Hash.h>
#include <LibTelemetry/Log.h>
#include <algorithm>

namespace carobhinge {

/// New evidence is sent at most this often.
static constexpr auto SendInterval = std::chrono::milliseconds(100);
/// Evidence is sent again this often, for hosts that could not be reached.
static constexpr auto ResendInterval = std::chrono::seconds(5);
/// For this long after its start a host asks the others for all evidence.
static constexpr auto QuestionTime = std::chrono::seconds(10);
/// Lifted refusals are remembered at least as long as evidence counts.
static constexpr auto LiftMemory = std::chrono::minutes(20);
static constexpr auto PermitTime = RefusalTrialOptions().PermitTime;

PromptParts PromptExchange::findRefusal(const PromptParts &Prompt,
                                        std::string_view RequestIdText,
                                        bool MayTry) {
  std::lock_guard Guarded(this->Lock);
  PromptParts Parts = this->Guard.findRefusal(Prompt);
  bool IsTrial =
      !Parts.empty() && MayTry && this->useTrial(Parts, RequestIdText);
  return IsTrial ? PromptParts() : Parts;
}

bool PromptExchange::isHeldBack(const PromptParts &Prompt,
                                std::string_view RequestIdText, bool MayTry) {
  std::lock_guard Guarded(this->Lock);
  PromptParts Parts = this->Guard.findHold(Prompt);
  return !Parts.empty() && !(MayTry && this->useTrial(Parts, RequestIdText));
}

bool PromptExchange::useTrial(const PromptParts &Parts,
                              std::string_view RequestIdText) {
  if (!this->Guard.tryUseTrial(monotonicNow(), Parts))
    return false;
  logEvent(
      Severity::Warning, "prompt-tried",
      {{"request", RequestIdText}, {"prompt_parts", formatPromptParts(Parts)}});
  return true;
}

bool PromptExchange::mayRetry(const PromptParts &Prompt) {
  std::lock_guard Guarded(this->Lock);
  return this->Guard.mayRetry(Prompt) &&
         this->Guard.findRefusal(Prompt).empty();
}

EngineCrashDetector::AttemptKey
PromptExchange::beginAttempt(const std::string &Target, FencingToken Number,
                             const PromptParts &Prompt) {
  // Other failure domains have groups of the same name, and a group that is
  // formed again keeps its name.
  EndpointName Engine = this->LocalSettings.FailureDomain + "/" + Target + "#" +
                        std::to_string(Number);
  std::lock_guard Guarded(this->Lock);
  this->Detector.beginAttempt(monotonicNow(), ++this->LastAttempt, Engine,
                              Prompt);
  return this->LastAttempt;
}

void PromptExchange::recordProgress(EngineCrashDetector::AttemptKey Attempt) {
  std::lock_guard Guarded(this->Lock);
  this->Detector.recordProgress(monotonicNow(), Attempt);
}

void PromptExchange::endAttempt(EngineCrashDetector::AttemptKey Attempt,
                                ConnectionEnd End) {
  std::lock_guard Guarded(this->Lock);
  this->Detector.endAttempt(monotonicNow(), Attempt, End);
}

void PromptExchange::recordAnswer(const PromptParts &Prompt) {
  std::lock_guard Guarded(this->Lock);
  this->Guard.recordAnswer(monotonicNow(), Prompt);
}

static void addRefusals(
    TimePoint Now, const std::map<PromptParts, TimePoint> &Times,
    google::protobuf::RepeatedPtrField<message::PromptEvidenceMessage::Refusal>
        &To) {
  for (const auto &[Parts, At] : Times) {
    auto &Entry = *To.Add();
    Entry.mutable_parts()->Assign(Parts.begin(), Parts.end());
    Entry.set_age_ms(milliseconds(Now - At));
  }
}

message::PromptEvidenceMessage
PromptExchange::makeMessage(TimePoint Now,
                            const PromptEvidence &Evidence) const {
  message::PromptEvidenceMessage Message;
  for (const CrashReport &Crash : Evidence.Crashes) {
    auto &Entry = *Message.add_crashes();
    Entry.set_engine(Crash.Engine);
    Entry.set_age_ms(milliseconds(Now - Crash.At));
    for (const SuspectPrompt &Prompt : Crash.Prompts) {
      auto &Suspect = *Entry.add_prompts();
      Suspect.mutable_parts()->Assign(Prompt.Parts.begin(), Prompt.Parts.end());
      Suspect.set_running_ms(milliseconds(Crash.At - Prompt.BeganAt));
    }
  }
  for (const auto &[Part, At] : Evidence.Answers) {
    auto &Entry = *Message.add_answers();
    Entry.set_part(Part);
    Entry.set_age_ms(milliseconds(Now - At));
  }
  Message.set_answer_count(Evidence.AnswerCount);
  addRefusals(Now, this->RefusedAt, *Message.mutable_refusals());
  addRefusals(Now, this->LiftedAt, *Message.mutable_lifted());
  Message.set_wants_all(Now - this->StartedAt < QuestionTime);
  return Message;
}

void PromptExchange::received(const HostName &From,
                              const message::PromptEvidenceMessage &Message) {
  TimePoint Now = monotonicNow();
  auto At = [&](std::int64_t AgeMs) {
    return Now - std::chrono::milliseconds(AgeMs);
  };
  PromptEvidence Evidence;
  std::vector<SuspectPrompt> Crashed;
  for (const auto &Entry : Message.crashes()) {
    CrashReport Report{.Engine = Entry.engine(), .At = At(Entry.age_ms())};
    for (const auto &Prompt : Entry.prompts())
      Report.Prompts.push_back(
          {.Parts = {Prompt.parts().begin(), Prompt.parts().end()},
           .BeganAt =
               Report.At - std::chrono::milliseconds(Prompt.running_ms())});
    Crashed.insert(Crashed.end(), Report.Prompts.begin(), Report.Prompts.end());
    Evidence.Crashes.push_back(std::move(Report));
  }
  for (const auto &Entry : Message.answers())
    Evidence.Answers.emplace_back(Entry.part(), At(Entry.age_ms()));
  Evidence.AnswerCount = Message.answer_count();
  std::lock_guard Guarded(this->Lock);
  for (const auto &Entry : Message.lifted()) {
    PromptParts Parts(Entry.parts().begin(), Entry.parts().end());
    auto Found = this->RefusedAt.find(Parts);
    if (Found != this->RefusedAt.end() && Found->second < At(Entry.age_ms()))
      this->Guard.lift(Parts);
    TimePoint &Lifted = this->LiftedAt[Parts];
    Lifted = std::max(Lifted, At(Entry.age_ms()));
  }
  for (const auto &Entry : Message.refusals()) {
    PromptParts Parts(Entry.parts().begin(), Entry.parts().end());
    auto Lifted = this->LiftedAt.find(Parts);
    if (Lifted == this->LiftedAt.end() || Lifted->second < At(Entry.age_ms()))
      this->Guard.adoptRefusal(std::move(Parts));
  }
  this->Trials.recordCrash(Now, Crashed);
  this->Guard.merge(Now, Evidence);
  this->updateRefusals(Now);
  if (Message.wants_all() && !this->RefusedAt.empty())
    this->Links.post(From, "serve.prompts",
                     this->makeMessage(Now, {}).SerializeAsString());
}

void PromptExchange::updateRefusals(TimePoint Now) {
  const std::vector<PromptParts> &InForce = this->Guard.ownRefusals();
  for (const PromptParts &Parts : InForce)
    this->RefusedAt.try_emplace(Parts, Now);
  std::erase_if(this->RefusedAt, [&](const auto &Entry) {
    bool HasEnded = std::ranges::find(InForce, Entry.first) == InForce.end();
    if (HasEnded) {
      this->LiftedAt[Entry.first] = Now;
      logEvent(Severity::Warning, "prompt-lifted",
               {{"prompt_parts", formatPromptParts(Entry.first)}});
    }
    return HasEnded;
  });
  std::erase_if(this->LiftedAt, [&](const auto &Entry) {
    return Now - Entry.second > LiftMemory;
  });
  this->Trials.setRefusals(Now, InForce);
  this->Trials.setHeldBack(Now, this->Guard.heldBack());
}

/// One host, known to all in touch, tries a refused prompt again.
bool PromptExchange::isTrialHost(const PromptParts &Parts) const {
  std::uint64_t Seed = hash64(formatPromptParts(Parts));
  std::uint64_t Own = hash64(this->LocalSettings.Host, Seed);
  return std::ranges::none_of(this->Links.all(), [&](const Peer &Each) {
    WireLink *Link = this->Links.link(Each.Host);
    return Link && Link->connected() && hash64(Each.Host, Seed) < Own;
  });
}

void PromptExchange::grantTrials(TimePoint Now) {
  auto Parts = this->Trials.grant(Now);
  if (Parts && this->isTrialHost(*Parts))
    this->Guard.grantTrial(*Parts, Now + PermitTime);
}

void PromptExchange::tick() {
  TimePoint Now = monotonicNow();
  std::string Bytes;
  {
    std::lock_guard Guarded(this->Lock);
    for (CrashReport &Crash : this->Detector.takeCrashes(Now)) {
      logEvent(Severity::Warning, "engine-crashed",
               {{"endpoint", Crash.Engine},
                {"prompts", static_cast<std::int64_t>(Crash.Prompts.size())}});
      this->Trials.recordCrash(Now, Crash.Prompts);
      this->Guard.recordCrash(Now, std::move(Crash));
    }
    if (Now < this->NextSendAt)
      return;
    this->NextSendAt = Now + SendInterval;
    if (auto Refusal = this->Guard.update(Now, false)) {
      std::string Engines;
      for (const EndpointName &Engine : Refusal->Engines)
        Engines += (Engines.empty() ? "" : " ") + Engine;
      logEvent(Severity::Warning, "prompt-refused",
               {{"prompt_parts", formatPromptParts(Refusal->Parts)},
                {"engines", Engines}});
    }
    this->updateRefusals(Now);
    this->grantTrials(Now);
    bool IsResend = Now >= this->NextResendAt;
    if (IsResend) {
      this->NextResendAt = Now + ResendInterval;
      this->Guard.resendAll();
    }
    bool IsAsking = IsResend && Now - this->StartedAt < QuestionTime;
    if (!this->Guard.hasNewEvidence() && !IsAsking)
      return;
    PromptEvidence Evidence = this->Guard.evidence();
    this->Guard.confirm(Evidence);
    Bytes = this->makeMessage(Now, Evidence).SerializeAsString();
  }
  for (const Peer &Each : this->Links.all())
    this->Links.post(Each.Host, "serve.prompts", Bytes);
}

std::vector<PromptExchange::Refusal> PromptExchange::refusals() const {
  TimePoint Now = monotonicNow();
  std::lock_guard Guarded(this->Lock);
  std::vector<Refusal> Result;
  for (const auto &[Parts, At] : this->RefusedAt)
    Result.push_back({.Parts = Parts, .Age = Now - At});
  return Result;
}

bool PromptExchange::lift(PromptParts Parts) {
  std::ranges::sort(Parts);
  TimePoint Now = monotonicNow();
  std::string Bytes;
  {
    std::lock_guard Guarded(this->Lock);
    if (!this->Guard.lift(Parts))
      return false;
    this->updateRefusals(Now);
    Bytes = this->makeMessage(Now, {}).SerializeAsString();
  }
  for (const Peer &Each : this->Links.all())
    this->Links.post(Each.Host, "serve.prompts", Bytes);
  return true;
}

} // namespace carobhinge
