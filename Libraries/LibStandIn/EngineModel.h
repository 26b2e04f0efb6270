//===- LibStandIn/EngineModel.h - Timing model of an engine group ---------===//
///
/// \file
/// A timing model of an engine group from its published measurements. The group
/// works in passes. Each pass decodes one event for every request in decode and
/// prefills a part of the pending prompts. The caller passes the time, and
/// passEnd() returns when to call advance(); there is no clock.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTANDIN_ENGINEMODEL_H
#define LIBSTANDIN_ENGINEMODEL_H

#include <LibCatalog/Catalog.h>
#include <LibCore/Time.h>
#include <deque>
#include <optional>
#include <vector>

namespace carobhinge {

/// Identity and size of one request.
struct GenerationRequest {
  /// Unique among the requests of a model.
  std::uint64_t Number = 0;
  int PromptTokens = 0;
  int AnswerTokens = 1;
};

/// Result of one pass for one request.
struct GenerationProgress {
  std::uint64_t Number = 0;
  /// Tokens of the event that the pass generated.
  int Tokens = 0;
  bool Finished = false;
};

class EngineModel {
public:
  EngineModel(const EngineSpec &Spec, const ModelSpec &Model)
      : Spec(Spec), ModelPace(Model.Pace) {}

  /// Sets the factor of pass times for the slowest member: 1 for a healthy one,
  /// 2 for one that takes twice as long. Applies from the next pass.
  void setPace(double Pace) { this->MemberPace = Pace; }

  /// Postpones the end of the pass in progress, if any, by \p Delay,
  /// for a group that is stalled.
  void delayPass(Duration Delay) {
    if (this->PassEnd)
      *this->PassEnd += Delay;
  }

  /// Adds \p Request. If all slots are in use, it queues for one.
  void accept(TimePoint Now, const GenerationRequest &Request);
  void cancel(std::uint64_t Number);

  /// Returns the end of the pass in progress, or nothing if the model is idle.
  [[nodiscard]] std::optional<TimePoint> passEnd() const {
    return this->PassEnd;
  }
  /// Ends the passes that are due by \p Now. \returns their results in order.
  std::vector<GenerationProgress> advance(TimePoint Now);

  /// Returns the number of requests, running and queued.
  [[nodiscard]] std::size_t requestCount() const { return this->Jobs.size(); }
  /// Returns the number of requests that have a slot.
  [[nodiscard]] int runningCount() const;
  /// Returns the number of requests that wait for a slot.
  [[nodiscard]] int queuedCount() const;
  /// Returns the tokens that the running requests hold in memory.
  [[nodiscard]] double tokensInMemory() const;
  /// Returns how often a request lost its memory and its prefill began again.
  [[nodiscard]] std::uint64_t preemptionCount() const {
    return this->PreemptionCount;
  }

private:
  struct Job {
    GenerationRequest Request;
    /// Prompt and generated tokens in memory.
    int ProcessedTokens = 0;
    int GeneratedTokens = 0;
    [[nodiscard]] bool isDecoding() const {
      // After a preemption the tokens generated so far are prefilled again.
      return this->ProcessedTokens >=
             this->Request.PromptTokens + this->GeneratedTokens;
    }
  };

  void startPass(TimePoint Start);
  void endPass(std::vector<GenerationProgress> &Progress);
  void preempt();
  /// Returns the number of running requests.
  [[nodiscard]] std::size_t batchSize() const;

  EngineSpec Spec;
  double ModelPace;
  double MemberPace = 1;
  /// Oldest first. The first Spec.Slots jobs run.
  std::deque<Job> Jobs;
  std::optional<TimePoint> PassEnd;
  /// Numbers of the requests that the pass in progress decodes.
  std::vector<std::uint64_t> Decoding;
  /// Tokens that the pass in progress prefills.
  int PrefillTokens = 0;
  std::uint64_t PreemptionCount = 0;
};

} // namespace carobhinge

#endif // LIBSTANDIN_ENGINEMODEL_H
