//===- LibServe/PromptExchange.h - Evidence on crashes between hosts ------===//
///
/// \file
/// Tells all other entry hosts which engines crashed with which prompts, and
/// merges what they tell, so that every host refuses the same prompts. There is
/// no host that decides for all: each side of a partition goes on with what it
/// knows, and the evidence of both is merged afterwards.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_PROMPTEXCHANGE_H
#define LIBSERVE_PROMPTEXCHANGE_H

#include <LibRouting/EngineCrashDetector.h>
#include <LibRouting/PromptGuard.h>
#include <LibRouting/RefusalTrials.h>
#include <LibServe/Peers.h>
#include <LibServe/Serve.pb.h>
#include <map>
#include <mutex>

namespace carobhinge {

/// Thread-safe.
class PromptExchange {
public:
  PromptExchange(const Settings &LocalSettings, Peers &Links)
      : LocalSettings(LocalSettings), Links(Links), StartedAt(monotonicNow()) {}

  /// \returns the parts for which \p Prompt is refused; empty if it may be
  /// sent to an engine. Uses up a trial, if this host has one and \p MayTry.
  [[nodiscard]] PromptParts findRefusal(const PromptParts &Prompt,
                                        std::string_view RequestIdText,
                                        bool MayTry);
  /// \returns whether \p Prompt must wait for a permit. Uses up a trial, if
  /// this host has one and \p MayTry.
  [[nodiscard]] bool isHeldBack(const PromptParts &Prompt,
                                std::string_view RequestIdText, bool MayTry);
  /// \returns whether the system may send \p Prompt to a second engine.
  [[nodiscard]] bool mayRetry(const PromptParts &Prompt);

  /// Attempts of prompts, under the returned key. \p Target is a group, with
  /// its number, or an endpoint of this host's failure domain.
  EngineCrashDetector::AttemptKey beginAttempt(const std::string &Target,
                                               FencingToken Number,
                                               const PromptParts &Prompt);
  void recordProgress(EngineCrashDetector::AttemptKey Attempt);
  void endAttempt(EngineCrashDetector::AttemptKey Attempt, ConnectionEnd End);
  void recordAnswer(const PromptParts &Prompt);

  /// Decides, and sends new evidence.
  void tick();
  void received(const HostName &From,
                const message::PromptEvidenceMessage &Message);

  struct Refusal {
    PromptParts Parts;
    Duration Age{};
  };
  [[nodiscard]] std::vector<Refusal> refusals() const;
  /// Ends a refusal, here and at all hosts. \returns whether there was one.
  bool lift(PromptParts Parts);

private:
  using TimesOfParts = std::map<PromptParts, TimePoint>;

  /// All called with the lock held.
  [[nodiscard]] message::PromptEvidenceMessage
  makeMessage(TimePoint Now, const PromptEvidence &Evidence) const;
  void updateRefusals(TimePoint Now);
  bool useTrial(const PromptParts &Parts, std::string_view RequestIdText);
  [[nodiscard]] bool isTrialHost(const PromptParts &Parts) const;
  void grantTrials(TimePoint Now);

  const Settings &LocalSettings;
  Peers &Links;
  const TimePoint StartedAt;
  mutable std::mutex Lock;
  EngineCrashDetector Detector;
  PromptGuard Guard;
  RefusalTrials Trials;
  EngineCrashDetector::AttemptKey LastAttempt = 0;
  TimesOfParts RefusedAt;
  /// Lifted refusals that other hosts may still hold.
  TimesOfParts LiftedAt;
  TimePoint NextSendAt;
  TimePoint NextResendAt;
};

} // namespace carobhinge

#endif // LIBSERVE_PROMPTEXCHANGE_H
