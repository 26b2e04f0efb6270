//===- LibStandIn/EngineModel.cpp - How long a group's work takes ---------===//

#include <LibStandIn/EngineModel.h>

#include <algorithm>
#include <cmath>

namespace carobhinge {

std::size_t EngineModel::batch() const {
  return std::min(this->Jobs.size(),
                  static_cast<std::size_t>(std::max(this->Spec.Slots, 1)));
}

int EngineModel::running() const { return static_cast<int>(this->batch()); }

int EngineModel::queued() const {
  return static_cast<int>(this->Jobs.size() - this->batch());
}

double EngineModel::tokensHeld() const {
  double Tokens = 0;
  for (std::size_t I = 0; I < this->batch(); ++I)
    Tokens += this->Jobs[I].Read;
  return Tokens;
}

void EngineModel::accept(TimePoint Now, const GenerationWork &Work) {
  this->Jobs.push_back({.Work = Work});
  if (!this->PassEnd)
    this->startPass(Now);
}

void EngineModel::cancel(std::uint64_t Number) {
  std::erase_if(this->Jobs,
                [&](const Job &Each) { return Each.Work.Number == Number; });
}

/// The newest request gives up its memory while the batch doesn't fit.
void EngineModel::preempt() {
  if (this->Spec.MemoryTokens <= 0)
    return;
  while (this->tokensHeld() > this->Spec.MemoryTokens) {
    auto Newest = std::find_if(
        this->Jobs.rbegin() +
            static_cast<std::ptrdiff_t>(this->Jobs.size() - this->batch()),
        this->Jobs.rend(), [](const Job &Each) { return Each.Read > 0; });
    if (Newest == this->Jobs.rend())
      return;
    Newest->Read = 0;
    ++this->Preempted;
  }
}

void EngineModel::startPass(TimePoint At) {
  this->preempt();
  this->Writing.clear();
  this->Reading = 0;
  this->PassEnd.reset();
  if (this->Jobs.empty())
    return;
  int Waiting = 0;
  double Context = 0;
  double Pairs = 0;
  for (std::size_t I = 0; I < this->batch(); ++I) {
    const Job &Each = this->Jobs[I];
    if (Each.writes()) {
      this->Writing.push_back(Each.Work.Number);
      Context += Each.Read;
    } else {
      Waiting += Each.Work.PromptTokens + Each.Written - Each.Read;
    }
  }
  int Steps = this->Writing.empty() ? 1 : std::max(this->Spec.StepsPerPass, 1);
  this->Reading = std::min(Waiting, Steps * this->Spec.PrefillTokensPerStep);
  int Left = this->Reading;
  for (std::size_t I = 0; I < this->batch() && Left > 0; ++I) {
    const Job &Each = this->Jobs[I];
    int Take =
        std::min(Left, Each.Work.PromptTokens + Each.Written - Each.Read);
    // Each token is paired with all earlier ones of its request.
    Pairs += Take * (Each.Read + Take / 2.0);
    Left -= std::max(Take, 0);
  }
  double Step =
      this->Spec.StepMs +
      this->Spec.StepMsPerSequence * static_cast<double>(this->Writing.size()) +
      this->Spec.StepMsPerThousandContext * Context / 1000;
  double Read = 1000.0 * this->Reading / this->Spec.PrefillTokensPerSecond +
                this->Spec.PrefillMsPerMillionPairs * Pairs / 1e6;
  double Ms = (Steps * Step + Read) * this->ModelPace * this->MemberPace;
  this->PassEnd =
      At + Duration(static_cast<Duration::rep>(std::llround(Ms * 1e6)));
}

void EngineModel::endPass(std::vector<GenerationProgress> &Progress) {
  int Left = this->Reading;
  for (std::size_t I = 0; I < this->batch() && Left > 0; ++I) {
    Job &Each = this->Jobs[I];
    int Take =
        std::min(Left, Each.Work.PromptTokens + Each.Written - Each.Read);
    Each.Read += std::max(Take, 0);
    Left -= std::max(Take, 0);
  }
  for (std::uint64_t Number : this->Writing) {
    auto Found = std::ranges::find_if(this->Jobs, [&](const Job &Each) {
      return Each.Work.Number == Number;
    });
    // It was cancelled during the pass.
    if (Found == this->Jobs.end())
      continue;
    int Tokens = std::min(std::max(this->Spec.StepsPerPass, 1),
                          Found->Work.AnswerTokens - Found->Written);
    Found->Written += Tokens;
    Found->Read += Tokens;
    bool Finished = Found->Written >= Found->Work.AnswerTokens;
    Progress.push_back(
        {.Number = Number, .Tokens = Tokens, .Finished = Finished});
    if (Finished)
      this->Jobs.erase(Found);
  }
}

std::vector<GenerationProgress> EngineModel::advance(TimePoint Now) {
  std::vector<GenerationProgress> Progress;
  while (this->PassEnd && *this->PassEnd <= Now) {
    TimePoint At = *this->PassEnd;
    this->endPass(Progress);
    this->startPass(At);
  }
  return Progress;
}

} // namespace carobhinge
