//===- LibRouting/CrashAttribution.cpp - Finds prompts that crash engines -===//

#include <LibRouting/CrashAttribution.h>

#include <algorithm>
#include <cmath>

namespace carobhinge {

bool hasAllParts(std::span<const PromptPart> Prompt,
                 std::span<const PromptPart> Parts) {
  return std::ranges::all_of(Parts, [&](PromptPart Part) {
    return std::ranges::find(Prompt, Part) != Prompt.end();
  });
}

/// Removes the parts that \p Other does not have. Both are in ascending order.
static void keepCommon(PromptParts &Parts, const PromptParts &Other) {
  std::erase_if(Parts, [&](PromptPart Part) {
    return !std::ranges::binary_search(Other, Part);
  });
}

void CrashAttribution::recordCrash(const CrashReport &Report) {
  auto Known = std::ranges::find_if(this->Crashes, [&](const Crash &Each) {
    return Each.Engine == Report.Engine &&
           std::chrono::abs(Each.At - Report.At) < this->Options.SameCrashTime;
  });
  if (Known == this->Crashes.end()) {
    if (this->Crashes.size() >= this->Options.MaxCrashes)
      this->removeFromLargestGroup();
    auto Place = std::ranges::upper_bound(this->Crashes, Report.At,
                                          std::ranges::less(), &Crash::At);
    Known = this->Crashes.insert(Place, {.At = Report.At,
                                         .Engine = Report.Engine,
                                         .Prompts = {},
                                         .LastLossAt = Report.At});
  }
  Known->LastLossAt = std::max(Known->LastLossAt, Report.At);
  for (SuspectPrompt Prompt : Report.Prompts) {
    std::ranges::sort(Prompt.Parts);
    TimePoint &BeganAt =
        Known->Prompts.try_emplace(std::move(Prompt.Parts), Prompt.BeganAt)
            .first->second;
    BeganAt = std::max(BeganAt, Prompt.BeganAt);
    // An engine crashes soon after a guilty prompt began.
    if (Known->Prompts.size() > this->Options.MaxPromptsPerCrash)
      Known->Prompts.erase(std::ranges::min_element(
          Known->Prompts, std::ranges::less(),
          [](const auto &Entry) { return Entry.second; }));
  }
}

/// Makes room where the least evidence is lost: of many engines that crashed
/// together, few are needed.
void CrashAttribution::removeFromLargestGroup() {
  std::size_t LargestStart = 0;
  std::size_t LargestSize = 0;
  std::size_t Start = 0;
  for (std::size_t I = 0; I < this->Crashes.size(); ++I) {
    if (this->Crashes[I].At - this->Crashes[Start].At >
        this->Options.CommonCauseTime)
      Start = I;
    if (I - Start + 1 > LargestSize) {
      LargestStart = Start;
      LargestSize = I - Start + 1;
    }
  }
  this->Crashes.erase(this->Crashes.begin() +
                      static_cast<std::ptrdiff_t>(LargestStart));
}

bool CrashAttribution::recordProgress(const EndpointName &Engine,
                                      TimePoint At) {
  bool IsDisproved = false;
  for (Crash &Each : this->Crashes) {
    if (Each.Engine != Engine || At >= Each.At + this->Options.SameCrashTime)
      continue;
    bool HadGoneOn = this->hasGoneOn(Each);
    Each.LastProgressAt = std::max(Each.LastProgressAt, At);
    IsDisproved = IsDisproved || (!HadGoneOn && this->hasGoneOn(Each));
  }
  return IsDisproved;
}

void CrashAttribution::recordAnswer(TimePoint At, PromptPart Part) {
  auto HasPart = [&](const PromptParts &Parts) {
    return std::ranges::binary_search(Parts, Part);
  };
  auto IsSuspect = [&](const Crash &Each) {
    return std::ranges::any_of(
        Each.Prompts, [&](const auto &Entry) { return HasPart(Entry.first); });
  };
  if (!std::ranges::any_of(this->Refusals, HasPart) &&
      !std::ranges::any_of(this->Crashes, IsSuspect))
    return;
  TimePoint &Last = this->Answers.try_emplace(Part, At).first->second;
  Last = std::max(Last, At);
}

void CrashAttribution::recordAnswerCount(TimePoint At, std::uint64_t Count) {
  auto Kept = static_cast<std::size_t>(this->Options.MinCrashes);
  for (std::uint64_t I = 0; I < std::min<std::uint64_t>(Count, Kept); ++I)
    this->RecentAnswers.push_back(At);
  std::ranges::sort(this->RecentAnswers);
  while (this->RecentAnswers.size() > Kept)
    this->RecentAnswers.pop_front();
  if (Count == 0)
    return;
  this->AnswerCounts[std::chrono::floor<std::chrono::seconds>(At)] += Count;
  auto Oldest = this->AnswerCounts.lower_bound(At - this->Options.AnswerMemory);
  this->AnswerCounts.erase(this->AnswerCounts.begin(), Oldest);
}

void CrashAttribution::setRefusals(std::vector<PromptParts> Refusals) {
  for (PromptParts &Parts : Refusals) {
    std::ranges::sort(Parts);
    if (std::ranges::find(this->Refusals, Parts) != this->Refusals.end())
      continue;
    // Only answers from now on speak against the refusal.
    for (PromptPart Part : Parts)
      this->Answers.erase(Part);
  }
  for (const PromptParts &Parts : this->Refusals)
    if (std::ranges::find(Refusals, Parts) == Refusals.end())
      std::erase_if(this->Crashes,
                    [&](const Crash &Each) { return Each.has(Parts); });
  this->Refusals = std::move(Refusals);
}

void CrashAttribution::removeExpired(TimePoint Now) {
  std::erase_if(this->Crashes, [&](const Crash &Each) {
    return Now - Each.At > this->Options.CrashMemory;
  });
  std::erase_if(this->Answers, [&](const auto &Entry) {
    return Now - Entry.second > this->Options.CrashMemory;
  });
}

bool CrashAttribution::isAcquitted(PromptPart Part, TimePoint CrashAt) const {
  auto Found = this->Answers.find(Part);
  return Found != this->Answers.end() &&
         Found->second > CrashAt - this->Options.AnswerMemory;
}

bool CrashAttribution::hasGoneOn(const Crash &Each) const {
  return Each.LastProgressAt > Each.LastLossAt + this->Options.CloseSpread;
}

bool CrashAttribution::isUnexplained(const Crash &Each) const {
  if (this->hasGoneOn(Each))
    return false;
  return std::ranges::none_of(this->Refusals, [&](const PromptParts &Parts) {
    return Each.has(Parts);
  });
}

bool CrashAttribution::Crash::has(const PromptParts &Parts) const {
  return std::ranges::any_of(this->Prompts, [&](const auto &Entry) {
    return hasAllParts(Entry.first, Parts);
  });
}

PromptParts CrashAttribution::suspectParts(const Crash &Each,
                                           const PromptParts &Prompt) const {
  PromptParts Suspects;
  for (PromptPart Part : Prompt)
    if (!this->isAcquitted(Part, Each.At))
      Suspects.push_back(Part);
  return Suspects;
}

CrashAttribution::CrashPartMap
CrashAttribution::suspectsOf(const Crash &Each) const {
  CrashPartMap Found;
  for (const auto &[Prompt, BeganAt] : Each.Prompts) {
    PromptParts Suspects = this->suspectParts(Each, Prompt);
    for (PromptPart Part : Suspects) {
      CrashPart &Entry =
          Found
              .try_emplace(Part, CrashPart{.CommonParts = Suspects,
                                           .BeganAt = BeganAt,
                                           .Request = Prompt.back()})
              .first->second;
      keepCommon(Entry.CommonParts, Suspects);
      if (BeganAt > Entry.BeganAt)
        Entry.Request = Prompt.back();
      Entry.BeganAt = std::max(Entry.BeganAt, BeganAt);
    }
  }
  return Found;
}

std::size_t CrashAttribution::countOthers(std::span<const CrashPartMap> Group,
                                          PromptPart Part,
                                          const EvidenceMap &Known) const {
  auto IsNearlyGuilty = [&](const auto &Entry) {
    auto Found = Known.find(Entry.first);
    return Found != Known.end() &&
           Found->second.SeparateCrashes >= this->minCrashes(Entry.first) - 1;
  };
  // In a larger group one failure of many engines is more likely than as many
  // crashes on prompts.
  bool IsPair = Group.size() == 2;
  return static_cast<std::size_t>(
      std::ranges::count_if(Group, [&](const CrashPartMap &Suspects) {
        return !Suspects.contains(Part) &&
               !(IsPair && std::ranges::any_of(Suspects, IsNearlyGuilty));
      }));
}

void CrashAttribution::addEvidence(std::span<const Crash *const> Group,
                                   int GroupNumber, const EvidenceMap &Known,
                                   EvidenceMap &All) const {
  std::vector<CrashPartMap> Suspects;
  std::map<PromptPart, std::size_t> CrashCounts;
  for (const Crash *Each : Group) {
    Suspects.push_back(this->suspectsOf(*Each));
    for (const auto &[Part, Entry] : Suspects.back())
      ++CrashCounts[Part];
  }
  for (std::size_t I = 0; I < Group.size(); ++I) {
    for (const auto &[Part, Entry] : Suspects[I]) {
      Evidence &Against = All[Part];
      if (++Against.Crashes == 1)
        Against.CommonParts = Entry.CommonParts;
      Against.LastBeganAt = std::max(Against.LastBeganAt, Entry.BeganAt);
      keepCommon(Against.CommonParts, Entry.CommonParts);
      // If most of the engines ended without the part, something else ended
      // them.
      if (CrashCounts[Part] <= this->countOthers(Suspects, Part, Known))
        continue;
      if (Against.Groups == 0) {
        Against.FirstAt = Group[I]->At;
        Against.FirstGroup = GroupNumber;
      }
      if (Against.Groups == 0 || Against.LastGroup != GroupNumber)
        ++Against.Groups;
      Against.LastGroup = GroupNumber;
      // While a failure ends engines with and without the part, retries begin
      // on engines that it ends next.
      bool IsSameFailure = CrashCounts[Part] < Group.size() &&
                           Against.LastSeparateGroup == GroupNumber;
      if (Against.SeparateCrashes == 0 ||
          (!IsSameFailure &&
           Entry.BeganAt + this->Options.TimeTolerance >=
               Against.LastSeparateAt &&
           !(isFingerprint(Entry.Request) && !isFingerprint(Part) &&
             Against.CrashesByRequest[Entry.Request] >=
                 this->Options.MaxCrashesOfRequest))) {
        ++Against.SeparateCrashes;
        ++Against.CrashesByRequest[Entry.Request];
        Against.LastSeparateGroup = GroupNumber;
        Against.LastSeparateAt = Group[I]->At;
      }
      Against.Engines.push_back(Group[I]->Engine);
    }
  }
  std::size_t Lost = 0;
  for (const Crash *Each : Group)
    Lost += Each->Prompts.size();
  for (const auto &[Part, Count] : CrashCounts)
    All[Part].LostBeside += Lost;
}

CrashAttribution::EvidenceMap
CrashAttribution::collectEvidence(TimePoint Until) const {
  // Two parts that crash engines at the same time explain each other's crashes
  // once other crashes speak against both.
  return this->collectEvidence(Until, this->collectEvidence(Until, {}));
}

CrashAttribution::EvidenceMap
CrashAttribution::collectEvidence(TimePoint Until,
                                  const EvidenceMap &Known) const {
  EvidenceMap All;
  std::vector<const Crash *> Group;
  int GroupNumber = 0;
  for (const Crash &Each : this->Crashes) {
    if (Each.At > Until)
      break;
    if (!this->isUnexplained(Each))
      continue;
    if (!Group.empty() &&
        Each.At - Group.front()->At > this->Options.CommonCauseTime) {
      this->addEvidence(Group, GroupNumber++, Known, All);
      Group.clear();
    }
    Group.push_back(&Each);
  }
  if (!Group.empty())
    this->addEvidence(Group, GroupNumber, Known, All);
  return All;
}

/// Returns whether a part of other prompts explains as many crashes.
bool CrashAttribution::hasRival(const EvidenceMap &All, PromptPart Part) const {
  const Evidence &Own = All.at(Part);
  return std::ranges::any_of(All, [&](const auto &Entry) {
    return Entry.second.Crashes >= Own.Crashes &&
           !std::ranges::binary_search(Own.CommonParts, Entry.first);
  });
}

int CrashAttribution::minCrashes(PromptPart Part) const {
  return isFingerprint(Part) ? this->Options.MinRequestCrashes
                             : this->Options.MinCrashes;
}

bool CrashAttribution::isSuspicious(const EvidenceMap &All, PromptPart Part,
                                    int Needed) const {
  const Evidence &Found = All.at(Part);
  if (Found.SeparateCrashes < Needed)
    return false;
  int AllGroups = Found.LastGroup - Found.FirstGroup + 1;
  if (Found.Groups < this->Options.MinCrashShare * AllGroups)
    return false;
  // Twice the evidence decides between parts that are present at the same
  // crashes: each of them crashes engines.
  return Found.SeparateCrashes >= 2 * Needed || !this->hasRival(All, Part);
}

std::size_t CrashAttribution::countLost(TimePoint Since) const {
  std::size_t Lost = 0;
  for (const Crash &Each : this->Crashes)
    if (Each.At >= Since && this->isUnexplained(Each))
      Lost += Each.Prompts.size();
  return Lost;
}

int CrashAttribution::neededCrashes(TimePoint Until, const EvidenceMap &All,
                                    PromptPart Part) const {
  int Needed = this->minCrashes(Part);
  if (!isFingerprint(Part))
    return Needed;
  TimePoint Since = Until - this->Options.AnswerMemory;
  std::size_t AllLost = this->countLost(Since);
  std::size_t Beside = All.at(Part).LostBeside;
  if (AllLost <= Beside)
    return Needed;
  double Ended = static_cast<double>(AllLost);
  for (auto Each = this->AnswerCounts.lower_bound(Since);
       Each != this->AnswerCounts.end(); ++Each)
    Ended += static_cast<double>(Each->second);
  // A sound request is lost each time with this chance.
  double Chance = static_cast<double>(AllLost - Beside) / Ended;
  double ByChance =
      std::log(Ended / this->Options.MaxChanceRefusals) / -std::log(Chance);
  return std::max(Needed, static_cast<int>(std::ceil(ByChance)));
}

CrashAttribution::RequestCrashMap
CrashAttribution::heldRequests(TimePoint Until) const {
  RequestCrashMap Found;
  for (const Crash &Each : this->Crashes) {
    if (Each.At > Until)
      break;
    if (this->hasGoneOn(Each))
      continue;
    for (const auto &[Part, Entry] : this->suspectsOf(Each))
      if (isFingerprint(Part) &&
          ++Found[Part].Count == this->Options.MinRequestCrashes)
        Found[Part].HeldBackSince = Each.At;
  }
  std::erase_if(Found, [&](const auto &Entry) {
    return Entry.second.Count < this->Options.MinRequestCrashes;
  });
  return Found;
}

bool CrashAttribution::isGuilty(TimePoint Until, const EvidenceMap &All,
                                const RequestCrashMap &Held,
                                PromptPart Part) const {
  const Evidence &Found = All.at(Part);
  if (!this->isSuspicious(All, Part, this->minCrashes(Part)) ||
      !this->isSuspicious(All, Part, this->neededCrashes(Until, All, Part)) ||
      !this->hasAnswersSince(Found.FirstAt))
    return false;
  if (!isFingerprint(Part) || runsOnce(Part))
    return true;
  // It crashed an engine while it was tried alone.
  auto Request = Held.find(Part);
  return Request != Held.end() &&
         Found.LastBeganAt >=
             Request->second.HeldBackSince + this->Options.SettleTime;
}

bool CrashAttribution::hasAnswersSince(TimePoint At) const {
  return this->RecentAnswers.size() >=
             static_cast<std::size_t>(this->Options.MinCrashes) &&
         this->RecentAnswers.front() > At;
}

std::optional<PromptRefusal> CrashAttribution::findGuilty(TimePoint Now) {
  this->removeExpired(Now);
  if (this->Refusals.size() >= this->Options.MaxRefusals)
    return std::nullopt;
  TimePoint Until = Now - this->Options.SettleTime;
  EvidenceMap All = this->collectEvidence(Until);
  RequestCrashMap Held = this->heldRequests(Until);
  for (const auto &[Part, Found] : All)
    if (this->isGuilty(Until, All, Held, Part))
      return PromptRefusal{.Parts = Found.CommonParts,
                           .Engines = Found.Engines};
  return std::nullopt;
}

PromptParts
CrashAttribution::findGuiltyAlone(TimePoint Until,
                                  const PromptParts &Refused) const {
  EvidenceMap All = this->collectEvidence(Until);
  PromptParts Guilty;
  int Innocent = 0;
  for (PromptPart Part : Refused) {
    auto Found = All.find(Part);
    int Crashes = Found == All.end() ? 0 : Found->second.SeparateCrashes;
    if (Crashes >= this->Options.MinCrashesAlone)
      Guilty.push_back(Part);
    else if (Crashes == 0)
      ++Innocent;
  }
  bool IsClear =
      Guilty.size() + static_cast<std::size_t>(Innocent) == Refused.size() &&
      Innocent > 0;
  return IsClear ? Guilty : PromptParts();
}

std::optional<CrashAttribution::Change>
CrashAttribution::findChange(TimePoint Now) const {
  for (const PromptParts &Parts : this->Refusals) {
    Change Found{.Refused = Parts, .Remaining = Parts};
    std::erase_if(Found.Remaining, [&](PromptPart Part) {
      return this->Answers.contains(Part);
    });
    if (Found.Remaining.size() < Parts.size())
      return Found;
    if (Parts.size() == 1)
      continue;
    Found.Remaining =
        this->findGuiltyAlone(Now - this->Options.SettleTime, Parts);
    if (!Found.Remaining.empty())
      return Found;
  }
  return std::nullopt;
}

SuspectParts CrashAttribution::suspects(TimePoint Now) const {
  std::vector<std::pair<int, PromptPart>> Ordered;
  EvidenceMap All = this->collectEvidence(Now);
  for (const auto &[Part, Found] : All)
    Ordered.emplace_back(-Found.Crashes, Part);
  std::ranges::sort(Ordered);
  Ordered.resize(std::min(Ordered.size(), this->Options.MaxSuspects));
  SuspectParts Result;
  for (const auto &[Count, Part] : Ordered) {
    Result.Parts.push_back(Part);
    if (All.at(Part).SeparateCrashes >= this->Options.MaxCrashesForRetry)
      Result.NotRetried.push_back(Part);
    if (!isFingerprint(Part) &&
        this->isSuspicious(All, Part, this->minCrashes(Part)) &&
        Now - All.at(Part).LastSeparateAt < this->Options.JudgeTime)
      Result.HeldBack.push_back(Part);
  }
  for (const auto &[Part, Request] : this->heldRequests(Now)) {
    if (Result.HeldBack.size() >= this->Options.MaxSuspects)
      break;
    Result.HeldBack.push_back(Part);
    // An answer ends the hold, also if a refused part explains the crashes.
    if (std::ranges::find(Result.Parts, Part) == Result.Parts.end())
      Result.Parts.push_back(Part);
  }
  return Result;
}

} // namespace carobhinge
