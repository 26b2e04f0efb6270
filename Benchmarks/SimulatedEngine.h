//===- Benchmarks/SimulatedEngine.h - An engine in a few numbers ----------===//
///
/// \file
/// An engine that batches continuously: all running requests advance together
/// and slow each other down. It keeps prompt prefixes in a small cache, bears
/// little load while cold, and falls over when it is given more.
///
//===----------------------------------------------------------------------===//

#ifndef BENCHMARKS_SIMULATEDENGINE_H
#define BENCHMARKS_SIMULATEDENGINE_H

#include <LibRouting/RoutedRequest.h>
#include <list>
#include <vector>

namespace carobhinge {

/// What one kind of service can do. Times are seconds on an idle engine.
struct EngineShape {
  std::uint32_t BatchLimit = 16;
  /// Each further running request slows all by this part.
  double BatchSlowdown = 0.04;
  double PrefillSeconds = 0.3;
  /// Prefill when the prefix is cached.
  double CachedPrefillSeconds = 0.05;
  std::size_t CachedPrefixes = 12;
  /// Requests that a cold engine bears at once.
  std::uint32_t ColdLimit = 2;
  /// It falls over with more than this while cold.
  std::uint32_t ColdCollapse = 5;
  double ColdSeconds = 15;
  double DownSeconds = 10;
};

/// One request as an engine sees it.
struct EngineWork {
  unsigned EntryHost = 0;
  AttemptId Attempt = 0;
  std::uint64_t PrefixHash = 0;
  double DecodeSeconds = 0;
  /// It breaks off after half of its work.
  bool Doomed = false;
};

/// What happened to one attempt during a step.
struct EngineEvent {
  enum class Kind { FirstByte, Complete, BrokeOff };
  Kind What = Kind::Complete;
  unsigned EntryHost = 0;
  AttemptId Attempt = 0;
};

class SimulatedEngine {
public:
  explicit SimulatedEngine(const EngineShape &Shape) : Shape(Shape) {}

  /// False if the engine is down.
  bool accept(double Second, const EngineWork &Work);
  /// True if the attempt was there.
  bool cancel(unsigned EntryHost, AttemptId Attempt);
  std::vector<EngineEvent> step(double Second, double StepSeconds);

  void turnCold(double Second);
  [[nodiscard]] bool isCold(double Second) const {
    return Second < this->ColdUntil;
  }
  [[nodiscard]] bool isDown(double Second) const {
    return Second < this->DownUntil;
  }
  [[nodiscard]] std::uint32_t load() const {
    return static_cast<std::uint32_t>(this->Jobs.size());
  }

  /// One for a healthy engine.
  double Speed = 1;
  /// No progress before this second.
  double PausedUntil = 0;
  /// Changes when the engine was restarted.
  Incarnation Life = 1;
  std::uint64_t CacheHits = 0;
  std::uint64_t CacheLookups = 0;
  /// Requests taken while cold beyond ColdLimit.
  std::uint64_t BeyondBudget = 0;
  std::uint64_t Collapses = 0;
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
  std::vector<EngineEvent> collapse(double Second);

  EngineShape Shape;
  /// Oldest first; the first BatchLimit of them run.
  std::vector<Job> Jobs;
  /// Most recently used first.
  std::list<std::uint64_t> Prefixes;
  double ColdUntil = 0;
  double DownUntil = 0;
};

} // namespace carobhinge

#endif // BENCHMARKS_SIMULATEDENGINE_H
