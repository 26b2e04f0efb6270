//===- LibRouting/RefusalTrials.cpp - When a refused prompt is tried again ===//

#include <LibRouting/RefusalTrials.h>

#include <LibRouting/CrashAttribution.h>
#include <algorithm>

namespace carobhinge {

void RefusalTrials::setRefusals(TimePoint Now,
                                std::span<const PromptParts> Refusals) {
  std::erase_if(this->Refused, [&](const auto &Entry) {
    return std::ranges::find(Refusals, Entry.first) == Refusals.end();
  });
  Trial New{.Interval = this->Options.FirstInterval,
            .Growth = this->Options.IntervalGrowth,
            .NextAt = Now + this->Options.FirstInterval};
  for (const PromptParts &Parts : Refusals)
    this->Refused.try_emplace(Parts, New);
}

void RefusalTrials::setHeldBack(TimePoint Now,
                                std::span<const PromptPart> Requests) {
  std::erase_if(this->HeldBack, [&](const auto &Entry) {
    return std::ranges::find(Requests, Entry.first.front()) == Requests.end();
  });
  Trial New{.Interval = this->Options.FirstHeldInterval,
            .Growth = this->Options.HeldIntervalGrowth,
            .NextAt = Now + this->Options.FirstHeldInterval};
  for (PromptPart Request : Requests)
    if (!runsOnce(Request))
      this->HeldBack.try_emplace({Request}, New);
}

std::optional<PromptParts> RefusalTrials::grant(TimePoint Now) {
  // Sound requests wait among those that are held back.
  if (auto Parts = this->grant(Now, this->HeldBack))
    return Parts;
  return this->grant(Now, this->Refused);
}

std::optional<PromptParts> RefusalTrials::grant(TimePoint Now,
                                                TrialMap &Trials) const {
  for (auto &[Parts, Each] : Trials) {
    if (Now < Each.NextAt)
      continue;
    Each.GrantedAt = Now;
    Each.NextAt = Now + 2 * this->Options.PermitTime;
    return Parts;
  }
  return std::nullopt;
}

void RefusalTrials::recordCrash(TimePoint Now,
                                std::span<const SuspectPrompt> Prompts) {
  this->recordCrash(Now, Prompts, this->Refused);
  this->recordCrash(Now, Prompts, this->HeldBack);
}

void RefusalTrials::recordCrash(TimePoint Now,
                                std::span<const SuspectPrompt> Prompts,
                                TrialMap &Trials) const {
  for (auto &Entry : Trials) {
    const PromptParts &Parts = Entry.first;
    Trial &Each = Entry.second;
    if (!Each.GrantedAt ||
        std::ranges::none_of(Prompts, [&](const SuspectPrompt &Prompt) {
          return hasAllParts(Prompt.Parts, Parts);
        }))
      continue;
    Each.GrantedAt.reset();
    Each.Interval =
        std::min(Each.Growth * Each.Interval, this->Options.MaxInterval);
    Each.NextAt = Now + Each.Interval;
  }
}

} // namespace carobhinge
