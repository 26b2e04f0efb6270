//===- LibStandIn/EngineModel.h - How long a group's work takes -----------===//
///
/// \file
/// A group of engines by its published figures: it works in passes, each of
/// which writes one event for every request that is being written and reads a
/// piece of the prompts that wait. One model for the stand-in engine, the
/// tests and the benchmarks. No clock: it is told the time and says when its
/// pass ends.
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

/// One request as a group sees it.
struct GenerationWork {
  std::uint64_t Number = 0;
  int PromptTokens = 0;
  int AnswerTokens = 1;
};

/// What a pass brought one request.
struct GenerationProgress {
  std::uint64_t Number = 0;
  /// Tokens of the one event that was written.
  int Tokens = 0;
  bool Finished = false;
};

class EngineModel {
public:
  EngineModel(const EngineSpec &Spec, const ModelSpec &Model)
      : Spec(Spec), ModelPace(Model.Pace) {}

  /// Factor of the slowest member; 1 for a healthy one. Holds from the next
  /// pass on.
  void setPace(double Slowest) { this->MemberPace = Slowest; }

  /// The pass under way ends \p Later: the group stands still.
  void delay(Duration Later) {
    if (this->PassEnd)
      *this->PassEnd += Later;
  }

  /// Takes \p Work; beyond the slots it waits for one.
  void accept(TimePoint Now, const GenerationWork &Work);
  void cancel(std::uint64_t Number);

  /// When advance() has something to do.
  [[nodiscard]] std::optional<TimePoint> passEnd() const {
    return this->PassEnd;
  }
  /// Ends the passes that are due by \p Now. \returns their progress in order.
  std::vector<GenerationProgress> advance(TimePoint Now);

  [[nodiscard]] std::size_t held() const { return this->Jobs.size(); }
  [[nodiscard]] int running() const;
  /// Requests that wait for a slot.
  [[nodiscard]] int queued() const;
  /// Tokens in memory.
  [[nodiscard]] double tokensHeld() const;
  /// How often a request lost its memory and was read anew.
  [[nodiscard]] std::uint64_t preempted() const { return this->Preempted; }

private:
  struct Job {
    GenerationWork Work;
    int Read = 0;
    int Written = 0;
    [[nodiscard]] bool writes() const {
      // What was written before a preemption is read again.
      return this->Read >= this->Work.PromptTokens + this->Written;
    }
  };

  void startPass(TimePoint At);
  void endPass(std::vector<GenerationProgress> &Progress);
  void preempt();
  [[nodiscard]] std::size_t batch() const;

  EngineSpec Spec;
  double ModelPace;
  double MemberPace = 1;
  /// Oldest first; the first Spec.Slots of them run.
  std::deque<Job> Jobs;
  std::optional<TimePoint> PassEnd;
  /// Requests that the pass under way writes, and prompt tokens it reads.
  std::vector<std::uint64_t> Writing;
  int Reading = 0;
  std::uint64_t Preempted = 0;
};

} // namespace carobhinge

#endif // LIBSTANDIN_ENGINEMODEL_H
