//===- LibRouting/EngineCrashDetector.cpp - Tells crashes from lost calls -===//

#include <LibRouting/EngineCrashDetector.h>

#include <algorithm>
#include <utility>

namespace carobhinge {

void EngineCrashDetector::beginAttempt(TimePoint Now, AttemptKey Attempt,
                                       const EndpointName &Engine,
                                       PromptParts Prompt) {
  this->Attempts[Attempt] = {
      .Engine = Engine, .Prompt = {.Parts = std::move(Prompt), .BeganAt = Now}};
  ++this->InProgress[Engine];
}

void EngineCrashDetector::recordProgress(TimePoint Now, AttemptKey Attempt) {
  auto Found = this->Attempts.find(Attempt);
  if (Found == this->Attempts.end())
    return;
  auto Lost = this->Losses.find(Found->second.Engine);
  if (Lost != this->Losses.end())
    Lost->second.LastProgressAt = Now;
}

void EngineCrashDetector::endAttempt(TimePoint Now, AttemptKey Attempt,
                                     ConnectionEnd End) {
  auto Found = this->Attempts.find(Attempt);
  if (Found == this->Attempts.end())
    return;
  auto Ended = std::move(Found->second);
  this->Attempts.erase(Found);
  auto Count = this->InProgress.find(Ended.Engine);
  if (--Count->second == 0)
    this->InProgress.erase(Count);
  if (End == ConnectionEnd::Ambiguous)
    this->AmbiguousEnds.push_back({.At = Now, .Ended = Ended});
  if (End != ConnectionEnd::Lost)
    return;
  Loss &Lost = this->Losses.try_emplace(Ended.Engine, Loss()).first->second;
  if (Lost.LastAt == TimePoint::min())
    Lost.FirstAt = Now;
  Lost.LastAt = Now;
  if (!Ended.Prompt.Parts.empty())
    Lost.Prompts.push_back(std::move(Ended.Prompt));
}

std::vector<CrashReport> EngineCrashDetector::takeCrashes(TimePoint Now) {
  std::vector<CrashReport> Reports;
  for (auto Each = this->Losses.begin(); Each != this->Losses.end();) {
    Loss &Lost = Each->second;
    Duration Age = Now - Lost.FirstAt;
    bool HasProgress =
        Lost.LastProgressAt > Lost.LastAt + this->Options.CloseSpread;
    bool IsBusy = this->InProgress.contains(Each->first);
    bool IsOver = HasProgress || Age >= this->Options.GiveUpTime ||
                  (Age >= this->Options.ConfirmTime && !IsBusy);
    if (!IsOver) {
      ++Each;
      continue;
    }
    for (const AmbiguousEnd &End : this->AmbiguousEnds)
      if (End.Ended.Engine == Each->first && !End.Ended.Prompt.Parts.empty() &&
          End.At > Lost.FirstAt - this->Options.CloseSpread &&
          End.At < Lost.LastAt + this->Options.CloseSpread)
        Lost.Prompts.push_back(End.Ended.Prompt);
    if (!HasProgress && !IsBusy && !Lost.Prompts.empty())
      Reports.push_back({.Engine = Each->first,
                         .At = Lost.FirstAt,
                         .Prompts = std::move(Lost.Prompts)});
    Each = this->Losses.erase(Each);
  }
  while (!this->AmbiguousEnds.empty() &&
         Now - this->AmbiguousEnds.front().At > this->Options.GiveUpTime)
    this->AmbiguousEnds.pop_front();
  return Reports;
}

} // namespace carobhinge
