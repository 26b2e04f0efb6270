//===- LibControl/PromptRefusals.cpp - Evidence on crashes of all hosts ---===//

#include <LibControl/PromptRefusals.h>

#include <LibTelemetry/Log.h>
#include <algorithm>
#include <iterator>

namespace carobhinge {

/// Time between two changes of the suspects, of up to 1 KB for each entry host.
/// Shorter than the time after which a crash is judged.
static constexpr auto SuspectInterval = std::chrono::milliseconds(200);
/// Old evidence is weighed this often only, since that takes up to some
/// milliseconds, and it is kept for minutes.
static constexpr auto QuietInterval = std::chrono::seconds(2);
/// By then new evidence has had all its effects.
static constexpr auto EvidenceEffectTime = std::chrono::seconds(4);
/// Reports on one engine within this time are about the same loss.
static constexpr auto SameCrashTime = std::chrono::milliseconds(1500);
/// Engines that are named with a refusal.
static constexpr std::size_t MaxNamedEngines = 8;

std::string formatParts(const message::PromptRefusalMessage &Refusal) {
  return formatPromptParts(
      PromptParts(Refusal.parts().begin(), Refusal.parts().end()));
}

void PromptRefusals::recordDisproved(const EndpointName &Engine, TimePoint At,
                                     std::string_view Reason) {
  std::erase_if(this->DisprovedAt, [At](const auto &Entry) {
    return std::chrono::abs(At - Entry.second) > SameCrashTime;
  });
  if (!this->DisprovedAt.try_emplace(Engine, At).second)
    return;
  ++this->Disproved;
  logEvent(Severity::Info, "crash-disproved",
           {{"endpoint", Engine}, {"reason", Reason}});
}

void PromptRefusals::recordProgress(const EndpointName &Engine, TimePoint At) {
  if (this->Attribution.recordProgress(Engine, At))
    this->recordDisproved(Engine, At, "goes-on");
}

void PromptRefusals::recordEngineAnswer(const EngineAnswer &Answer) {
  if (this->EndEvidence.recordAnswer(Answer))
    this->recordProgress(Answer.Engine, Answer.SentAt);
}

void PromptRefusals::recordPulse(TimePoint Now,
                                 const message::PulseCall &Call) {
  if (Call.crashes_size() + Call.answers_size() > 0)
    this->recordEvidence(Now);
  for (const message::CrashMessage &Message : Call.crashes()) {
    CrashReport Report{.Engine = Message.engine(),
                       .At = Now - std::chrono::milliseconds(Message.age_ms())};
    for (const message::SuspectPromptMessage &Prompt : Message.prompts())
      Report.Prompts.push_back(
          {.Parts = {Prompt.parts().begin(), Prompt.parts().end()},
           .BeganAt =
               Report.At - std::chrono::milliseconds(Prompt.running_ms())});
    ReportVerdict Verdict = this->EndEvidence.recordReport(Now, Report);
    if (Verdict != ReportVerdict::Counts) {
      this->recordDisproved(Report.Engine, Report.At,
                            Verdict == ReportVerdict::EndedByOrder
                                ? "ended-by-order"
                                : "sent-after-end");
      continue;
    }
    this->Trials.recordCrash(Now, Report.Prompts);
    this->Attribution.recordCrash(Report);
  }
  for (const message::PartAnswerMessage &Answer : Call.answers())
    this->Attribution.recordAnswer(
        Now - std::chrono::milliseconds(Answer.age_ms()), Answer.part());
  this->Attribution.recordAnswerCount(Now, Call.answer_count());
}

void PromptRefusals::setState(TimePoint Now,
                              const message::RegisterState &State) {
  this->recordEvidence(Now);
  std::vector<PromptParts> Refusals;
  for (const message::PromptRefusalMessage &Each : State.refused_prompts())
    Refusals.emplace_back(Each.parts().begin(), Each.parts().end());
  this->Trials.setRefusals(Now, Refusals);
  this->Attribution.setRefusals(std::move(Refusals));
}

static void setParts(message::PromptRefusalMessage &Message,
                     const PromptParts &Parts) {
  Message.mutable_parts()->Assign(Parts.begin(), Parts.end());
}

bool PromptRefusals::isQuiet(TimePoint Now) const {
  return Now > this->LastEvidenceAt + EvidenceEffectTime;
}

void PromptRefusals::recordEvidence(TimePoint Now) {
  if (this->isQuiet(Now))
    this->NextSuspectsAt = Now;
  this->LastEvidenceAt = Now;
}

std::optional<message::RegisterCommand>
PromptRefusals::nextCommand(TimePoint Now) {
  if (this->isQuiet(Now) && Now < this->NextDecisionAt)
    return std::nullopt;
  this->NextDecisionAt = Now + QuietInterval;
  message::RegisterCommand Command;
  if (auto Change = this->Attribution.findChange(Now)) {
    setParts(*Command.mutable_lift_prompt(), Change->Refused);
    if (!Change->Remaining.empty())
      setParts(*Command.mutable_refuse_prompt(), Change->Remaining);
    return Command;
  }
  std::optional<PromptRefusal> Guilty = this->Attribution.findGuilty(Now);
  if (!Guilty)
    return std::nullopt;
  setParts(*Command.mutable_refuse_prompt(), Guilty->Parts);
  for (const EndpointName &Engine : Guilty->Engines)
    if (static_cast<std::size_t>(Command.refuse_prompt().engines_size()) <
        MaxNamedEngines)
      Command.mutable_refuse_prompt()->add_engines(Engine);
  return Command;
}

bool PromptRefusals::updateSuspects(TimePoint Now) {
  if (Now < this->NextSuspectsAt)
    return false;
  this->NextSuspectsAt =
      Now + (this->isQuiet(Now) ? Duration(QuietInterval) : SuspectInterval);
  SuspectParts Current = this->Attribution.suspects(Now);
  if (Current == this->Suspects)
    return false;
  this->Suspects = std::move(Current);
  PromptParts HeldBack;
  std::ranges::copy_if(this->Suspects.HeldBack, std::back_inserter(HeldBack),
                       isFingerprint);
  this->Trials.setHeldBack(Now, HeldBack);
  ++this->SuspectRevision;
  return true;
}

void PromptRefusals::fillTrial(TimePoint Now, message::PulseResult &Result) {
  if (auto Parts = this->Trials.grant(Now))
    Result.mutable_trial()->mutable_parts()->Assign(Parts->begin(),
                                                    Parts->end());
}

} // namespace carobhinge
