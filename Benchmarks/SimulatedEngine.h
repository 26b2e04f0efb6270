//===- Benchmarks/SimulatedEngine.h - Model of an inference engine --------===//
///
/// \file
/// An engine that batches continuously: all running requests advance together
/// and slow each other down. It keeps prompt prefixes in a small cache, can run
/// only a few requests while cold, and crashes when it gets more.
///
//===----------------------------------------------------------------------===//

#ifndef BENCHMARKS_SIMULATEDENGINE_H
#define BENCHMARKS_SIMULATEDENGINE_H

#include <LibRouting/RoutedRequest.h>
#include <list>
#include <vector>

namespace carobhinge {

/// Capacity and speed of an engine. Times are seconds on an idle engine.
struct EngineParameters {
  std::uint32_t BatchLimit = 16;
  /// Fraction by which each further running request slows down all of them.
  double BatchSlowdown = 0.04;
  double PrefillSeconds = 0.3;
  /// Prefill time when the prefix is cached.
  double CachedPrefillSeconds = 0.05;
  std::size_t MaxCachedPrefixes = 12;
  /// Requests that a cold engine can run at once.
  std::uint32_t ColdLimit = 2;
  /// A cold engine with more requests than this crashes.
  std::uint32_t ColdCrashLimit = 5;
  double ColdSeconds = 15;
  double DownSeconds = 10;
};

/// One attempt at a request, as sent to an engine.
struct EngineWork {
  unsigned EntryHost = 0;
  AttemptId Attempt = 0;
  std::uint64_t PrefixHash = 0;
  double DecodeSeconds = 0;
  /// The attempt fails after half of its decoding.
  bool FailsMidway = false;
};

/// Event of one attempt during a step.
struct EngineEvent {
  enum class Kind { FirstByte, Complete, Failed };
  Kind Type = Kind::Complete;
  unsigned EntryHost = 0;
  AttemptId Attempt = 0;
};

class SimulatedEngine {
public:
  explicit SimulatedEngine(const EngineParameters &Parameters)
      : Parameters(Parameters) {}

  /// Returns false if the engine is down.
  bool accept(double Second, const EngineWork &Work);
  /// Returns whether the attempt was queued or running.
  bool cancel(unsigned EntryHost, AttemptId Attempt);
  std::vector<EngineEvent> step(double Second, double StepSeconds);

  void resetToCold(double Second);
  [[nodiscard]] bool isCold(double Second) const {
    return Second < this->ColdUntil;
  }
  [[nodiscard]] bool isDown(double Second) const {
    return Second < this->DownUntil;
  }
  [[nodiscard]] std::uint32_t load() const {
    return static_cast<std::uint32_t>(this->Jobs.size());
  }

  /// Relative speed; 1 for a healthy engine.
  double Speed = 1;
  /// The engine makes no progress before this second.
  double PausedUntil = 0;
  /// Increases with each restart of the engine.
  Incarnation CurrentIncarnation = 1;
  std::uint64_t CacheHits = 0;
  std::uint64_t CacheLookups = 0;
  /// Requests accepted beyond ColdLimit while cold.
  std::uint64_t OverColdLimit = 0;
  std::uint64_t Crashes = 0;
  double WorkSeconds = 0;

private:
  struct Job {
    EngineWork Work;
    bool Started = false;
    bool Answered = false;
    double PrefillLeft = 0;
    double DecodeLeft = 0;
  };

  void start(Job &Each);
  bool lookUpPrefix(std::uint64_t PrefixHash);
  std::vector<EngineEvent> crash(double Second);

  EngineParameters Parameters;
  /// Oldest first; the first BatchLimit of them run.
  std::vector<Job> Jobs;
  /// Most recently used first.
  std::list<std::uint64_t> Prefixes;
  double ColdUntil = 0;
  double DownUntil = 0;
};

} // namespace carobhinge

#endif // BENCHMARKS_SIMULATEDENGINE_H
