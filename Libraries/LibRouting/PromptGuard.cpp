//===- LibRouting/PromptGuard.cpp - Refused prompts at one entry host -----===//

#include <LibRouting/PromptGuard.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace carobhinge {

PromptParts PromptGuard::findRefusal(const PromptParts &Prompt) const {
  for (const auto *Refusals : {&this->ControlRefusals, &this->OwnRefusals})
    for (const PromptParts &Parts : *Refusals)
      if (hasAllParts(Prompt, Parts))
        return Parts;
  return {};
}

std::optional<TimePoint> PromptGuard::lastAnswer(PromptPart Part) const {
  for (const auto *Generation : {&this->NewerAnswers, &this->OlderAnswers})
    if (auto Found = Generation->find(Part); Found != Generation->end())
      return Found->second;
  return std::nullopt;
}

void PromptGuard::recordAnswer(TimePoint Now, const PromptParts &Prompt) {
  if (Prompt.empty())
    return;
  ++this->AnswerCount;
  this->OwnAttribution.recordAnswerCount(Now, 1);
  if (!this->GenerationStart)
    this->GenerationStart = Now;
  if (this->NewerAnswers.size() >= this->Options.MaxRecentParts ||
      Now - *this->GenerationStart > this->Options.Attribution.AnswerMemory) {
    this->OlderAnswers = std::exchange(this->NewerAnswers, {});
    this->GenerationStart = Now;
  }
  for (PromptPart Part : Prompt) {
    this->NewerAnswers[Part] = Now;
    this->OwnAttribution.recordAnswer(Now, Part);
    if (!this->Suspects.contains(Part) && !this->isRefusedPart(Part))
      continue;
    bool IsFirst = this->SuspectAnswers.insert_or_assign(Part, Now).second;
    this->IsUrgent = this->IsUrgent || IsFirst;
  }
}

void PromptGuard::recordCrash(TimePoint Now, CrashReport Report) {
  for (SuspectPrompt &Prompt : Report.Prompts)
    std::erase_if(Prompt.Parts, [&](PromptPart Part) {
      auto AnsweredAt = this->lastAnswer(Part);
      return AnsweredAt &&
             Now - *AnsweredAt < this->Options.Attribution.AnswerMemory;
    });
  std::erase_if(Report.Prompts, [](const SuspectPrompt &Prompt) {
    return Prompt.Parts.empty();
  });
  // The latest ones first: an engine crashes soon after a guilty prompt began.
  std::ranges::sort(Report.Prompts, std::ranges::greater(),
                    &SuspectPrompt::BeganAt);
  if (Report.Prompts.empty())
    return;
  if (Report.Prompts.size() > this->Options.Attribution.MaxPromptsPerCrash)
    Report.Prompts.resize(this->Options.Attribution.MaxPromptsPerCrash);
  this->OwnAttribution.recordCrash(Report);
  this->Reports.push_back({.Crash = std::move(Report)});
  if (this->Reports.size() > this->Options.MaxReports)
    this->Reports.pop_front();
  this->IsUrgent = true;
}

void PromptGuard::setRefusals(std::vector<PromptParts> Refusals) {
  for (const PromptParts &Parts : this->ControlRefusals)
    if (std::ranges::find(Refusals, Parts) == Refusals.end())
      this->forgetReports(Parts);
  this->ControlRefusals = std::move(Refusals);
}

bool PromptGuard::isRefusedPart(PromptPart Part) const {
  auto HasPart = [Part](const PromptParts &Parts) {
    return std::ranges::find(Parts, Part) != Parts.end();
  };
  return std::ranges::any_of(this->ControlRefusals, HasPart) ||
         std::ranges::any_of(this->OwnRefusals, HasPart);
}

bool PromptGuard::mayRetry(const PromptParts &Prompt) const {
  return std::ranges::none_of(Prompt, [&](PromptPart Part) {
    return this->NotRetried.contains(Part) || this->isRefusedPart(Part);
  });
}

PromptParts PromptGuard::findHold(const PromptParts &Prompt) const {
  for (PromptPart Part : Prompt)
    if (this->HeldBack.contains(Part))
      return {Part};
  return {};
}

std::vector<PromptPart> PromptGuard::heldBack() const {
  std::vector<PromptPart> Requests;
  std::ranges::copy_if(this->HeldBack, std::back_inserter(Requests),
                       isFingerprint);
  return Requests;
}

void PromptGuard::setSuspects(const SuspectParts &NewSuspects) {
  this->Suspects = {NewSuspects.Parts.begin(), NewSuspects.Parts.end()};
  this->NotRetried = {NewSuspects.NotRetried.begin(),
                      NewSuspects.NotRetried.end()};
  this->HeldBack = {NewSuspects.HeldBack.begin(), NewSuspects.HeldBack.end()};
  std::erase_if(this->SuspectAnswers, [&](const auto &Entry) {
    return !this->Suspects.contains(Entry.first) &&
           !this->isRefusedPart(Entry.first);
  });
  for (PromptPart Part : NewSuspects.Parts)
    if (auto AnsweredAt = this->lastAnswer(Part)) {
      this->SuspectAnswers[Part] = *AnsweredAt;
      this->IsUrgent = true;
    }
}

std::optional<PromptRefusal> PromptGuard::update(TimePoint Now,
                                                 bool HasContact) {
  std::optional<TimePoint> &Begun =
      HasContact ? this->ContactSince : this->ContactLostAt;
  (HasContact ? this->ContactLostAt : this->ContactSince).reset();
  if (!Begun)
    Begun = Now;
  if (this->ContactSince &&
      Now - *this->ContactSince > this->Options.OwnRefusalTime)
    this->OwnRefusals.clear();
  this->updateRefusalsInForce();
  if (HasContact || Now - *this->ContactLostAt < this->Options.OwnDecisionDelay)
    return std::nullopt;
  if (auto Change = this->OwnAttribution.findChange(Now);
      Change && this->lift(Change->Refused) && !Change->Remaining.empty())
    this->adoptRefusal(Change->Remaining);
  std::optional<PromptRefusal> Guilty = this->OwnAttribution.findGuilty(Now);
  if (Guilty)
    this->adoptRefusal(Guilty->Parts);
  this->setSuspects(this->OwnAttribution.suspects(Now));
  return Guilty;
}

void PromptGuard::updateRefusalsInForce() {
  std::vector<PromptParts> InForce = this->ControlRefusals;
  InForce.insert(InForce.end(), this->OwnRefusals.begin(),
                 this->OwnRefusals.end());
  this->OwnAttribution.setRefusals(std::move(InForce));
}

void PromptGuard::merge(TimePoint Now, const PromptEvidence &Other) {
  for (const CrashReport &Crash : Other.Crashes)
    this->OwnAttribution.recordCrash(Crash);
  for (const auto &[Part, AnsweredAt] : Other.Answers)
    this->OwnAttribution.recordAnswer(AnsweredAt, Part);
  this->OwnAttribution.recordAnswerCount(Now, Other.AnswerCount);
}

void PromptGuard::adoptRefusal(PromptParts Parts) {
  std::ranges::sort(Parts);
  if (this->OwnRefusals.size() >= this->Options.Attribution.MaxRefusals ||
      std::ranges::find(this->OwnRefusals, Parts) != this->OwnRefusals.end())
    return;
  this->OwnRefusals.push_back(std::move(Parts));
  this->updateRefusalsInForce();
}

bool PromptGuard::lift(const PromptParts &Parts) {
  if (std::erase(this->OwnRefusals, Parts) == 0)
    return false;
  this->forgetReports(Parts);
  this->updateRefusalsInForce();
  return true;
}

void PromptGuard::forgetReports(const PromptParts &Parts) {
  std::erase_if(this->Reports, [&](const Report &Each) {
    return std::ranges::any_of(Each.Crash.Prompts, [&](const auto &Prompt) {
      return hasAllParts(Prompt.Parts, Parts);
    });
  });
}

void PromptGuard::grantTrial(PromptParts Parts, TimePoint Until) {
  this->GrantedTrials[std::move(Parts)] = Until;
}

bool PromptGuard::tryUseTrial(TimePoint Now, const PromptParts &Parts) {
  std::erase_if(this->GrantedTrials,
                [&](const auto &Entry) { return Now >= Entry.second; });
  return this->GrantedTrials.erase(Parts) > 0;
}

PromptEvidence PromptGuard::evidence() {
  PromptEvidence Evidence;
  for (const Report &Each : this->Reports)
    if (!Each.Confirmed)
      Evidence.Crashes.push_back(Each.Crash);
  Evidence.Answers.assign(this->SuspectAnswers.begin(),
                          this->SuspectAnswers.end());
  Evidence.AnswerCount = std::exchange(this->AnswerCount, 0);
  this->IsUrgent = false;
  return Evidence;
}

void PromptGuard::confirm(const PromptEvidence &Sent) {
  for (const CrashReport &Crash : Sent.Crashes)
    for (Report &Each : this->Reports)
      if (Each.Crash.Engine == Crash.Engine && Each.Crash.At == Crash.At)
        Each.Confirmed = true;
  for (const auto &[Part, AnsweredAt] : Sent.Answers) {
    auto Found = this->SuspectAnswers.find(Part);
    if (Found != this->SuspectAnswers.end() && Found->second == AnsweredAt)
      this->SuspectAnswers.erase(Found);
  }
}

void PromptGuard::resendAll() {
  for (Report &Each : this->Reports)
    Each.Confirmed = false;
  this->IsUrgent = this->IsUrgent || !this->Reports.empty();
}

} // namespace carobhinge
