//===- LibRouting/RefusalTrials.h - When a refused prompt is tried again --===//
///
/// \file
/// A refused prompt may become harmless, for example with the next version of
/// the engines, and one that is held back may be sound. From time to time one
/// entry host may try one such prompt, so that finding out costs the whole
/// system at most one engine. Each failed trial makes the time to the next one
/// longer.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_REFUSALTRIALS_H
#define LIBROUTING_REFUSALTRIALS_H

#include <LibRouting/CrashReport.h>
#include <map>
#include <optional>
#include <span>

namespace carobhinge {

struct RefusalTrialOptions {
  Duration FirstInterval = std::chrono::minutes(10);
  int IntervalGrowth = 2;
  /// The same for prompts that are held back. The first trial comes when the
  /// newest crash has been judged.
  Duration FirstHeldInterval = std::chrono::seconds(2);
  int HeldIntervalGrowth = 4;
  Duration MaxInterval = std::chrono::hours(24);
  /// How long a permit holds. The next one is granted after twice this time at
  /// the earliest, so that no two are in use at once.
  Duration PermitTime = std::chrono::seconds(30);
};

class RefusalTrials {
public:
  explicit RefusalTrials(RefusalTrialOptions Options = {}) : Options(Options) {}

  /// Replaces the refusals in force. A new one is tried after FirstInterval.
  void setRefusals(TimePoint Now, std::span<const PromptParts> Refusals);
  /// Replaces the requests that are held back. A new one is tried after
  /// FirstHeldInterval, unless it runs once.
  void setHeldBack(TimePoint Now, std::span<const PromptPart> Requests);
  /// \returns the refusal, or the request, of which the asking host may try one
  /// prompt within PermitTime.
  [[nodiscard]] std::optional<PromptParts> grant(TimePoint Now);
  /// An engine crashed with prompts in progress.
  void recordCrash(TimePoint Now, std::span<const SuspectPrompt> Prompts);

private:
  struct Trial {
    Duration Interval{};
    int Growth = 1;
    TimePoint NextAt = {};
    /// When the newest permit was granted, until the trial has failed.
    std::optional<TimePoint> GrantedAt = {};
  };
  using TrialMap = std::map<PromptParts, Trial>;

  void recordCrash(TimePoint Now, std::span<const SuspectPrompt> Prompts,
                   TrialMap &Trials) const;
  [[nodiscard]] std::optional<PromptParts> grant(TimePoint Now,
                                                 TrialMap &Trials) const;

  RefusalTrialOptions Options;
  TrialMap Refused;
  TrialMap HeldBack;
};

} // namespace carobhinge

#endif // LIBROUTING_REFUSALTRIALS_H
