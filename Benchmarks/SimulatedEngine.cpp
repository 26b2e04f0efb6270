//===- Benchmarks/SimulatedEngine.cpp - An engine in a few numbers --------===//
///
/// \file
/// Progress by steps of fixed length.
///
//===----------------------------------------------------------------------===//

#include "SimulatedEngine.h"

#include <algorithm>

namespace carobhinge {

bool SimulatedEngine::accept(double Second, const EngineWork &Work) {
  if (this->isDown(Second))
    return false;
  this->Jobs.push_back(Job{.Work = Work, .DecodeLeft = Work.DecodeSeconds});
  if (this->isCold(Second) && this->Jobs.size() > this->Shape.ColdLimit)
    ++this->BeyondBudget;
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
  if (this->Prefixes.size() > this->Shape.CachedPrefixes)
    this->Prefixes.pop_back();
  return Hit;
}

void SimulatedEngine::start(Job &Each) {
  Each.Started = true;
  Each.PrefillLeft = this->lookUpPrefix(Each.Work.PrefixHash)
                         ? this->Shape.CachedPrefillSeconds
                         : this->Shape.PrefillSeconds;
}

void SimulatedEngine::turnCold(double Second) {
  this->Prefixes.clear();
  this->ColdUntil = Second + this->Shape.ColdSeconds;
}

std::vector<EngineEvent> SimulatedEngine::collapse(double Second) {
  std::vector<EngineEvent> Events;
  for (const Job &Each : this->Jobs)
    Events.push_back({.What = EngineEvent::Kind::BrokeOff,
                      .EntryHost = Each.Work.EntryHost,
                      .Attempt = Each.Work.Attempt});
  this->Jobs.clear();
  ++this->Collapses;
  ++this->Life;
  this->DownUntil = Second + this->Shape.DownSeconds;
  this->turnCold(this->DownUntil);
  return Events;
}

std::vector<EngineEvent> SimulatedEngine::step(double Second,
                                               double StepSeconds) {
  bool Swamped =
      this->isCold(Second) && this->Jobs.size() > this->Shape.ColdCollapse;
  if (Swamped)
    return this->collapse(Second);
  std::vector<EngineEvent> Events;
  if (Second < this->PausedUntil)
    return Events;
  std::size_t Running =
      std::min<std::size_t>(this->Jobs.size(), this->Shape.BatchLimit);
  double Slowdown =
      1 + this->Shape.BatchSlowdown * (static_cast<double>(Running) - 1);
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
    bool BreaksOff =
        Each.Work.Doomed && Each.DecodeLeft < Each.Work.DecodeSeconds / 2;
    if (BreaksOff) {
      Event.What = EngineEvent::Kind::BrokeOff;
      Events.push_back(Event);
      Each.DecodeLeft = -1;
      continue;
    }
    // A doomed request stands for one that fails before it answers.
    if (!Each.Answered && Each.PrefillLeft <= 0 && !Each.Work.Doomed) {
      Each.Answered = true;
      Event.What = EngineEvent::Kind::FirstByte;
      Events.push_back(Event);
    }
    if (Each.DecodeLeft <= 0) {
      Event.What = EngineEvent::Kind::Complete;
      Events.push_back(Event);
    }
  }
  std::erase_if(this->Jobs,
                [](const Job &Each) { return Each.DecodeLeft <= 0; });
  return Events;
}

} // namespace carobhinge
