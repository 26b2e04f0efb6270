//===- LibRouting/PromptGuard.h - Refused prompts at one entry host -------===//
///
/// \file
/// What one entry host knows of prompts that crash engines: the refusals in
/// force, the evidence that it has to report, and the parts that it saw
/// answered recently. While it has no contact to the control hosts it decides
/// from its own evidence.
///
//===----------------------------------------------------------------------===//

#ifndef LIBROUTING_PROMPTGUARD_H
#define LIBROUTING_PROMPTGUARD_H

#include <LibRouting/CrashAttribution.h>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace carobhinge {

struct PromptGuardOptions {
  CrashAttributionOptions Attribution = {};
  /// Parts that were answered are remembered in two generations of at most this
  /// many. The older one is dropped when the newer one is full or as old as
  /// Attribution.AnswerMemory.
  std::size_t MaxRecentParts = 8192;
  /// Crashes kept for a control host that takes over.
  std::size_t MaxReports = 64;
  /// Without contact to the control hosts for this long the host decides by
  /// itself. Longer than the election of a leader, whose evidence is better.
  Duration OwnDecisionDelay = std::chrono::seconds(3);
  /// Refusals of its own stay this long after contact to the control hosts is
  /// back; by then these have decided from all evidence.
  Duration OwnRefusalTime = std::chrono::seconds(30);
};

/// Evidence of one host for the control hosts.
struct PromptEvidence {
  std::vector<CrashReport> Crashes = {};
  /// Suspects that were answered in full, and when.
  std::vector<std::pair<PromptPart, TimePoint>> Answers = {};
  /// Prompts that were answered in full since the last evidence.
  std::uint64_t AnswerCount = 0;
};

class PromptGuard {
public:
  explicit PromptGuard(PromptGuardOptions Options = {})
      : Options(Options), OwnAttribution(Options.Attribution) {}

  /// \returns the parts for which \p Prompt is refused; empty if it is not.
  [[nodiscard]] PromptParts findRefusal(const PromptParts &Prompt) const;

  /// An engine answered \p Prompt in full.
  void recordAnswer(TimePoint Now, const PromptParts &Prompt);
  void recordCrash(TimePoint Now, CrashReport Report);
  /// Adds the evidence of another host that decides by itself as well.
  void merge(TimePoint Now, const PromptEvidence &Other);
  /// Adds a refusal of such a host.
  void adoptRefusal(PromptParts Parts);
  /// Ends a refusal that this host put in force. \returns whether there was
  /// one.
  bool lift(const PromptParts &Parts);
  /// Refusals that this host put in force or adopted.
  [[nodiscard]] const std::vector<PromptParts> &ownRefusals() const {
    return this->OwnRefusals;
  }

  /// Puts the refusals of the control hosts in force. The evidence for those
  /// that end is forgotten.
  void setRefusals(std::vector<PromptParts> Refusals);
  /// Replaces the suspects of the control hosts, which want to know answers.
  void setSuspects(const SuspectParts &NewSuspects);
  /// \returns whether the system may send \p Prompt to a second engine after
  /// the first one may have begun with it.
  [[nodiscard]] bool mayRetry(const PromptParts &Prompt) const;
  /// \returns the part for which \p Prompt must wait for a permit; empty if it
  /// need not.
  [[nodiscard]] PromptParts findHold(const PromptParts &Prompt) const;
  /// Call regularly. \p HasContact: control hosts get the evidence and decide;
  /// otherwise this host does. \returns a refusal that it put in force.
  std::optional<PromptRefusal> update(TimePoint Now, bool HasContact);

  /// The requests that are held back.
  [[nodiscard]] std::vector<PromptPart> heldBack() const;

  /// Parts that are remembered as answered.
  [[nodiscard]] std::size_t recentPartCount() const {
    return this->NewerAnswers.size() + this->OlderAnswers.size();
  }

  /// Allows one prompt with \p Parts until \p Until.
  void grantTrial(PromptParts Parts, TimePoint Until);
  /// \returns whether a prompt that is refused or held back for \p Parts may be
  /// tried. Uses the trial up.
  bool tryUseTrial(TimePoint Now, const PromptParts &Parts);

  /// \returns whether there is evidence that should be sent at once.
  [[nodiscard]] bool hasNewEvidence() const { return this->IsUrgent; }
  /// \returns the evidence that was not confirmed yet.
  [[nodiscard]] PromptEvidence evidence();
  /// The control hosts have received \p Sent.
  void confirm(const PromptEvidence &Sent);
  /// Another control host decides; it gets all evidence again.
  void resendAll();

private:
  struct Report {
    CrashReport Crash;
    bool Confirmed = false;
  };
  [[nodiscard]] bool isRefusedPart(PromptPart Part) const;
  void forgetReports(const PromptParts &Parts);
  /// Has OwnAttribution know all refusals in force.
  void updateRefusalsInForce();
  [[nodiscard]] std::optional<TimePoint> lastAnswer(PromptPart Part) const;

  PromptGuardOptions Options;
  CrashAttribution OwnAttribution;
  std::vector<PromptParts> ControlRefusals;
  std::vector<PromptParts> OwnRefusals;
  std::optional<TimePoint> ContactSince;
  std::optional<TimePoint> ContactLostAt;
  std::unordered_map<PromptPart, TimePoint> NewerAnswers;
  std::unordered_map<PromptPart, TimePoint> OlderAnswers;
  /// When the newer generation began; empty before the first answer.
  std::optional<TimePoint> GenerationStart;
  std::unordered_set<PromptPart> Suspects;
  std::unordered_set<PromptPart> NotRetried;
  std::unordered_set<PromptPart> HeldBack;
  /// Not yet confirmed.
  std::map<PromptPart, TimePoint> SuspectAnswers;
  std::uint64_t AnswerCount = 0;
  std::deque<Report> Reports;
  bool IsUrgent = false;
  /// Until when one prompt with these parts may be tried.
  std::map<PromptParts, TimePoint> GrantedTrials;
};

} // namespace carobhinge

#endif // LIBROUTING_PROMPTGUARD_H
