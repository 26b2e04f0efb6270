//===- LibStandIn/EngineModel.cpp - Timing model of an engine group -------===//

#include <LibStandIn/EngineModel.h>

#include <algorithm>
#include <cmath>

namespace carobhinge {

std::size_t EngineModel::batchSize() const {
  return std::min(this->Jobs.size(),
                  static_cast<std::size_t>(std::max(this->Spec.Slots, 1)));
}

int EngineModel::runningCount() const {
  return static_cast<int>(this->batchSize());
}

int EngineModel::queuedCount() const {
  return static_cast<int>(this->Jobs.size() - this->batchSize());
}

double EngineModel::tokensInMemory() const {
  double Tokens = 0;
  for (std::size_t I = 0; I < this->batchSize(); ++I)
    Tokens += this->Jobs[I].ProcessedTokens;
  return Tokens;
}

void EngineModel::accept(TimePoint Now, const GenerationRequest &Request) {
  this->Jobs.push_back({.Request = Request});
  if (!this->PassEnd)
    this->startPass(Now);
}

void EngineModel::cancel(std::uint64_t Number) {
  std::erase_if(this->Jobs,
                [&](const Job &Each) { return Each.Request.Number == Number; });
}

/// Frees the memory of the newest requests until the batch fits.
void EngineModel::preempt() {
  if (this->Spec.MemoryTokens <= 0)
    return;
  while (this->tokensInMemory() > this->Spec.MemoryTokens) {
    auto Newest = std::find_if(
        this->Jobs.rbegin() +
            static_cast<std::ptrdiff_t>(this->Jobs.size() - this->batchSize()),
        this->Jobs.rend(),
        [](const Job &Each) { return Each.ProcessedTokens > 0; });
    if (Newest == this->Jobs.rend())
      return;
    Newest->ProcessedTokens = 0;
    ++this->PreemptionCount;
  }
}

void EngineModel::startPass(TimePoint Start) {
  this->preempt();
  this->Decoding.clear();
  this->PrefillTokens = 0;
  this->PassEnd.reset();
  if (this->Jobs.empty())
    return;
  int PendingTokens = 0;
  double ContextTokens = 0;
  double AttentionPairs = 0;
  for (std::size_t I = 0; I < this->batchSize(); ++I) {
    const Job &Each = this->Jobs[I];
    if (Each.isDecoding()) {
      this->Decoding.push_back(Each.Request.Number);
      ContextTokens += Each.ProcessedTokens;
    } else {
      PendingTokens += Each.Request.PromptTokens + Each.GeneratedTokens -
                       Each.ProcessedTokens;
    }
  }
  int Steps = this->Decoding.empty() ? 1 : std::max(this->Spec.StepsPerPass, 1);
  this->PrefillTokens =
      std::min(PendingTokens, Steps * this->Spec.PrefillTokensPerStep);
  int RemainingTokens = this->PrefillTokens;
  for (std::size_t I = 0; I < this->batchSize() && RemainingTokens > 0; ++I) {
    const Job &Each = this->Jobs[I];
    int JobTokens = std::min(RemainingTokens, Each.Request.PromptTokens +
                                                  Each.GeneratedTokens -
                                                  Each.ProcessedTokens);
    // Attention pairs each token with all earlier tokens of its request.
    AttentionPairs += JobTokens * (Each.ProcessedTokens + JobTokens / 2.0);
    RemainingTokens -= std::max(JobTokens, 0);
  }
  double StepTime = this->Spec.StepMs +
                    this->Spec.StepMsPerSequence *
                        static_cast<double>(this->Decoding.size()) +
                    this->Spec.StepMsPerThousandContext * ContextTokens / 1000;
  double PrefillTime =
      1000.0 * this->PrefillTokens / this->Spec.PrefillTokensPerSecond +
      this->Spec.PrefillMsPerMillionPairs * AttentionPairs / 1e6;
  double PassTime =
      (Steps * StepTime + PrefillTime) * this->ModelPace * this->MemberPace;
  this->PassEnd =
      Start +
      Duration(static_cast<Duration::rep>(std::llround(PassTime * 1e6)));
}

void EngineModel::endPass(std::vector<GenerationProgress> &Progress) {
  int RemainingTokens = this->PrefillTokens;
  for (std::size_t I = 0; I < this->batchSize() && RemainingTokens > 0; ++I) {
    Job &Each = this->Jobs[I];
    int JobTokens = std::min(RemainingTokens, Each.Request.PromptTokens +
                                                  Each.GeneratedTokens -
                                                  Each.ProcessedTokens);
    Each.ProcessedTokens += std::max(JobTokens, 0);
    RemainingTokens -= std::max(JobTokens, 0);
  }
  for (std::uint64_t Number : this->Decoding) {
    auto Found = std::ranges::find_if(this->Jobs, [&](const Job &Each) {
      return Each.Request.Number == Number;
    });
    // The request was cancelled during the pass.
    if (Found == this->Jobs.end())
      continue;
    int Tokens = std::min(std::max(this->Spec.StepsPerPass, 1),
                          Found->Request.AnswerTokens - Found->GeneratedTokens);
    Found->GeneratedTokens += Tokens;
    Found->ProcessedTokens += Tokens;
    bool Finished = Found->GeneratedTokens >= Found->Request.AnswerTokens;
    Progress.push_back(
        {.Number = Number, .Tokens = Tokens, .Finished = Finished});
    if (Finished)
      this->Jobs.erase(Found);
  }
}

std::vector<GenerationProgress> EngineModel::advance(TimePoint Now) {
  std::vector<GenerationProgress> Progress;
  while (this->PassEnd && *this->PassEnd <= Now) {
    TimePoint Start = *this->PassEnd;
    this->endPass(Progress);
    this->startPass(Start);
  }
  return Progress;
}

} // namespace carobhinge
