//===- Benchmarks/SimulatedEngine.cpp - Model of an inference engine ------===//
///
/// \file
/// Advances the requests of a simulated engine in steps of fixed length.
///
//===----------------------------------------------------------------------===//

#include "SimulatedEngine.h"

#include <algorithm>

namespace carobhinge {

bool SimulatedEngine::accept(double Second, const EngineWork &Work) {
  if (this->isDown(Second))
    return false;
  this->Jobs.push_back(Job{.Work = Work, .DecodeLeft = Work.DecodeSeconds});
  if (this->isCold(Second) && this->Jobs.size() > this->Parameters.ColdLimit)
    ++this->OverColdLimit;
  return true;
}

bool SimulatedEngine::cancel(unsigned EntryHost, AttemptId Attempt) {
  return std::erase_if(this->Jobs, [&](const Job &Each) {
           return Each.Work.EntryHost == EntryHost &&
                  Each.Work.Attempt == Attempt;
         }) > 0;
}

bool SimulatedEngine::lookUpPrefix(std::uint64_t PrefixHash) {
  if (PrefixHash == 0)
    return false;
  ++this->CacheLookups;
  auto Found = std::ranges::find(this->Prefixes, PrefixHash);
  bool Hit = Found != this->Prefixes.end();
  if (Hit)
    this->Prefixes.erase(Found);
  this->CacheHits += Hit;
  this->Prefixes.push_front(PrefixHash);
  if (this->Prefixes.size() > this->Parameters.MaxCachedPrefixes)
    this->Prefixes.pop_back();
  return Hit;
}

void SimulatedEngine::start(Job &Each) {
  Each.Started = true;
  Each.PrefillLeft = this->lookUpPrefix(Each.Work.PrefixHash)
                         ? this->Parameters.CachedPrefillSeconds
                         : this->Parameters.PrefillSeconds;
}

void SimulatedEngine::resetToCold(double Second) {
  this->Prefixes.clear();
  this->ColdUntil = Second + this->Parameters.ColdSeconds;
}

std::vector<EngineEvent> SimulatedEngine::crash(double Second) {
  std::vector<EngineEvent> Events;
  for (const Job &Each : this->Jobs)
    Events.push_back({.Type = EngineEvent::Kind::Failed,
                      .EntryHost = Each.Work.EntryHost,
                      .Attempt = Each.Work.Attempt});
  this->Jobs.clear();
  ++this->Crashes;
  ++this->CurrentIncarnation;
  this->DownUntil = Second + this->Parameters.DownSeconds;
  this->resetToCold(this->DownUntil);
  return Events;
}

std::vector<EngineEvent> SimulatedEngine::step(double Second,
                                               double StepSeconds) {
  bool Overloaded = this->isCold(Second) &&
                    this->Jobs.size() > this->Parameters.ColdCrashLimit;
  if (Overloaded)
    return this->crash(Second);
  std::vector<EngineEvent> Events;
  if (Second < this->PausedUntil)
    return Events;
  std::size_t Running =
      std::min<std::size_t>(this->Jobs.size(), this->Parameters.BatchLimit);
  double Slowdown =
      1 + this->Parameters.BatchSlowdown * (static_cast<double>(Running) - 1);
  for (std::size_t I = 0; I < Running; ++I) {
    Job &Each = this->Jobs[I];
    if (!Each.Started)
      this->start(Each);
    double Progress = StepSeconds * this->Speed / Slowdown;
    this->WorkSeconds += Progress;
    double Prefill = std::min(Progress, Each.PrefillLeft);
    Each.PrefillLeft -= Prefill;
    Each.DecodeLeft -= Progress - Prefill;
    EngineEvent Event{.EntryHost = Each.Work.EntryHost,
                      .Attempt = Each.Work.Attempt};
    bool Fails =
        Each.Work.FailsMidway && Each.DecodeLeft < Each.Work.DecodeSeconds / 2;
    if (Fails) {
      Event.Type = EngineEvent::Kind::Failed;
      Events.push_back(Event);
      Each.DecodeLeft = -1;
      continue;
    }
    // A failing attempt sends no first byte: it models a request that fails
    // before it answers.
    if (!Each.Answered && Each.PrefillLeft <= 0 && !Each.Work.FailsMidway) {
      Each.Answered = true;
      Event.Type = EngineEvent::Kind::FirstByte;
      Events.push_back(Event);
    }
    if (Each.DecodeLeft <= 0) {
      Event.Type = EngineEvent::Kind::Complete;
      Events.push_back(Event);
    }
  }
  std::erase_if(this->Jobs,
                [](const Job &Each) { return Each.DecodeLeft <= 0; });
  return Events;
}

} // namespace carobhinge
